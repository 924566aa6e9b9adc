//! Settings of a node: defaults and errors.

use config::settings::{HELP, Settings};

const MINIMAL: &str = "\
[node]
deployment = d
failure_domain = a
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operators = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
";

#[test]
fn absent_settings_have_the_described_defaults() {
    let mut full = MINIMAL.to_owned();
    for help in HELP.iter().filter(|h| !["", "(none)"].contains(&h.default)) {
        let (section, key) = help.field.split_once(' ').expect("field has a section and a key");
        let line = format!("{section}\n{key} = {}\n", help.default);
        match full.find(section) {
            Some(at) => {
                full.insert_str(at + section.len() + 1, &format!("{key} = {}\n", help.default));
            }
            None => full.push_str(&line),
        }
    }
    let parsed = Settings::parse("full.ini", &full).expect("valid settings");
    assert_eq!(Settings::parse("minimal.ini", MINIMAL).expect("valid settings"), parsed);
}

#[test]
fn invalid_settings_report_line_and_field() {
    let check = |old: &str, new: &str, expected: &str| {
        let errors = Settings::parse("n.ini", &MINIMAL.replacen(old, new, 1)).expect_err(new);
        let text = errors.to_string();
        assert!(text.contains(expected), "{new:?}: {text}");
    };
    check("deployment = d\n", "", "n.ini:1: [node] deployment: missing");
    check("127.0.0.1:1", "1", "n.ini:5: [listen] callers: read \"1\", allowed IP:port");
    check(
        "[platform]",
        "[limits]\nrequests = 0\n[platform]",
        "n.ini:9: [limits] requests: read \"0\", allowed 1 to",
    );
    check("[platform]", "[log]\nlevel = loud\n[platform]", "[log] level: read \"loud\"");
    check(
        "[platform]",
        "[stop]\nlimit = 0 s\n[platform]",
        "[stop] limit: read \"0 s\", allowed 1 s to 30 min",
    );
    check("[platform]", "[traces]\notlp = ftp://x\n[platform]", "[traces] otlp: read \"ftp://x\"");
    check("[platform]", "[limit]\n[platform]", "n.ini:8: section: read \"limit\"");
    check("address = 127.0.0.1:4", "address", "n.ini:");
}
