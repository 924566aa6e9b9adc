//! Settings of a relay node: defaults, parsing and errors.

use std::time::Duration;

use config::relay::{HELP, Settings};

const MINIMAL: &str = "[node]\ndeployment = main\nfailure_domain = a\n\
    [listen]\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\ndirectory = 10.0.0.1:3\n\
    peers = 10.0.0.1:4\n[platform]\naddress = 10.9.0.1:5\n";

#[test]
fn absent_settings_have_their_defaults() {
    let settings = Settings::parse("node.ini", MINIMAL).expect("valid settings");
    assert_eq!(settings.capacity_millicores, 1_000);
    assert_eq!(settings.seeds, []);
    assert_eq!(settings.advertised_addr, settings.peer_addr);
    assert_eq!(settings.address_validity, Duration::from_secs(1));
    assert_eq!((settings.cold_excess, settings.cold_slack), (1.5, 5.0));
    assert_eq!(
        (settings.drain_limit, settings.stop_grace),
        (Duration::from_secs(3), Duration::from_secs(30))
    );
}

#[test]
fn given_settings_are_parsed() {
    let optional = "[fleet]\nseeds = 10.0.0.1:9, 10.0.0.2:9\nadvertise = 192.0.2.1:7\n[bounds]\napply = 5 s\ndrain = 3000 ms\n\
        evacuate = 4 s\ngrace = 6 s\ncold_excess = 2\ncold_slack = 0\n[extra]\nratio = 0.2\nslack = 116\nwindow = 10 s\n";
    let settings =
        Settings::parse("node.ini", &format!("{MINIMAL}{optional}")).expect("valid settings");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.advertised_addr, ([192, 0, 2, 1], 7).into());
    assert_eq!((settings.second_attempt_ratio, settings.second_attempt_slack), (0.2, 116.0));
    assert_eq!(settings.apply_limit, Duration::from_secs(5));
    assert_eq!(settings.evacuation_limit, Some(Duration::from_secs(4)));
    assert_eq!((settings.cold_excess, settings.cold_slack), (2.0, 0.0));
}

#[test]
fn regions_of_failure_domains_are_parsed() {
    let text = format!("{MINIMAL}[regions]\nus-east-1a = east\n2 = Zona_Norte\n");
    let settings = Settings::parse("node.ini", &text).expect("valid settings");
    let region = |domain: &str| {
        let region = settings.regions.get(&domain.parse().expect("name"));
        region.map(|r| r.as_str())
    };
    assert_eq!((region("us-east-1a"), region("2")), (Some("east"), Some("Zona_Norte")));
    assert_eq!(settings.regions.len(), 2);
    let empty = format!("{MINIMAL}[regions]\n");
    assert!(Settings::parse("node.ini", &empty).expect("valid settings").regions.is_empty());
}

/// A node on a small VM would hold more than its memory has room for.
#[test]
fn the_memory_of_the_vm_determines_the_buffer_unless_it_is_set() {
    let buffer = |memory: &str, limits: &str| {
        let node = format!("failure_domain = a\n{memory}");
        let text = MINIMAL.replace("failure_domain = a\n", &node) + limits;
        Settings::parse("node.ini", &text).expect("valid settings").max_buffered_bytes >> 20
    };
    assert_eq!(buffer("", ""), 32);
    assert_eq!(buffer("memory = 112\n", ""), 14);
    assert_eq!(buffer("memory = 4096\n", ""), 32);
    assert_eq!(buffer("memory = 112\n", "[limits]\nbuffer = 2097152\n"), 2);
}

#[test]
fn empty_seeds_give_a_fleet_of_one_node() {
    let text = format!("{MINIMAL}[fleet]\nseeds =\n");
    assert_eq!(Settings::parse("node.ini", &text).expect("valid settings").seeds, []);
}

#[test]
fn failure_domain_names_of_vm_operators_are_accepted() {
    let check = |name: &str, allowed: bool| {
        let text = MINIMAL.replace("failure_domain = a", &format!("failure_domain = {name}"));
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
fn errors_name_line_field_input_and_allowed_values() {
    let check = |text: &str, expected: &str| {
        let errors = Settings::parse("node.ini", text).expect_err("invalid settings").to_string();
        assert!(errors.contains(expected), "{expected:?} not in {errors:?}");
    };
    check("", "node.ini:1: [node]: missing");
    check(
        &MINIMAL.replace("10.0.0.1:1", "here"),
        "[listen] callers: read \"here\", allowed IP:port",
    );
    check(&format!("{MINIMAL}[extra]\nratio = 2\n"), "[extra] ratio: read \"2\", allowed 0 to 1");
    check(&format!("{MINIMAL}[extra]\nratoi = 0.2\n"), "[extra] ratoi");
    check(&format!("{MINIMAL}[fleet]\nseeds = one\n"), "[fleet] seeds: read \"one\"");
    check(&format!("{MINIMAL}[bounds]\ndrain = 3\n"), "[bounds] drain: read \"3\"");
    check(&format!("{MINIMAL}[bounds]\nevacuate = soon\n"), "[bounds] evacuate: read \"soon\"");
    check(&format!("{MINIMAL}[regions]\na = no region\n"), "[regions] a: read \"no region\"");
    check(&format!("{MINIMAL}[burst]\n"), "section: read \"burst\"");
}

#[test]
fn every_setting_is_described_once() {
    let mut fields: Vec<&str> = HELP.iter().map(|h| h.field).collect();
    let count = fields.len();
    fields.sort_unstable();
    fields.dedup();
    assert_eq!(fields.len(), count);
    assert!(HELP.iter().all(|h| !h.text.is_empty() && !h.allowed.is_empty()));
}
