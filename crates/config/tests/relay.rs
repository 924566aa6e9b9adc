//! Settings of a node that relays requests.

use std::time::Duration;

use config::relay::{HELP, Settings};

const LEAST: &str = "[node]\ndeployment = main\nfailure_domain = a\n\
    [listen]\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\ndirectory = 10.0.0.1:3\n\
    peers = 10.0.0.1:4\n[platform]\naddress = 10.9.0.1:5\n";

#[test]
fn what_is_not_given_has_its_default() {
    let settings = Settings::parse("node.ini", LEAST).expect("valid");
    assert_eq!(settings.capacity_millicores, 1_000);
    assert_eq!(settings.seeds, []);
    assert_eq!(settings.address_validity, Duration::from_secs(1));
    assert_eq!(
        (settings.drain_limit, settings.stop_grace),
        (Duration::from_secs(3), Duration::from_secs(30))
    );
}

#[test]
fn everything_that_is_given_is_read() {
    let more = "[fleet]\nseeds = 10.0.0.1:9, 10.0.0.2:9\n[bounds]\napply = 5 s\ndrain = 3000 ms\n\
        grace = 6 s\n[extra]\nratio = 0.2\nslack = 116\nwindow = 10 s\n";
    let settings = Settings::parse("node.ini", &format!("{LEAST}{more}")).expect("valid");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!((settings.second_attempt_ratio, settings.second_attempt_slack), (0.2, 116.0));
    assert_eq!(settings.apply_limit, Duration::from_secs(5));
}

#[test]
fn a_fleet_without_seeds_is_a_fleet_of_one() {
    let text = format!("{LEAST}[fleet]\nseeds =\n");
    assert_eq!(Settings::parse("node.ini", &text).expect("valid").seeds, []);
}

#[test]
fn a_failure_domain_has_the_name_that_the_vms_operator_gave_it() {
    let check = |name: &str, allowed: bool| {
        let text = LEAST.replace("failure_domain = a", &format!("failure_domain = {name}"));
        assert_eq!(Settings::parse("node.ini", &text).is_ok(), allowed, "{name}");
    };
    for name in ["a", "us-east-1a", "2", "1b", "Zona_Norte", "rack.7"] {
        check(name, true);
    }
    for name in ["", "a b", "-a", "a/b"] {
        check(name, false);
    }
}

#[test]
fn each_error_says_where_it_is_what_was_read_and_what_is_allowed() {
    let check = |text: &str, expected: &str| {
        let errors = Settings::parse("node.ini", text).expect_err("an error").to_string();
        assert!(errors.contains(expected), "{expected:?} in {errors:?}");
    };
    check("", "node.ini:1: [node]: missing");
    check(&LEAST.replace("10.0.0.1:1", "here"), "[listen] callers: read \"here\", allowed IP:port");
    check(&format!("{LEAST}[extra]\nratio = 2\n"), "[extra] ratio: read \"2\", allowed 0 to 1");
    check(&format!("{LEAST}[extra]\nratoi = 0.2\n"), "[extra] ratoi");
    check(&format!("{LEAST}[fleet]\nseeds = one\n"), "[fleet] seeds: read \"one\"");
    check(&format!("{LEAST}[bounds]\ndrain = 3\n"), "[bounds] drain: read \"3\"");
    check(&format!("{LEAST}[burst]\n"), "section: read \"burst\"");
}

#[test]
fn every_setting_is_listed_once() {
    let mut fields: Vec<&str> = HELP.iter().map(|h| h.field).collect();
    let count = fields.len();
    fields.sort_unstable();
    fields.dedup();
    assert_eq!(fields.len(), count);
    assert!(HELP.iter().all(|h| !h.text.is_empty() && !h.allowed.is_empty()));
}
