//! `balsamctl why` on logs of three nodes, recorded in a run of the soak test (seed 1).

use std::process::{Command, Output};

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/");

fn why(request: &str, logs: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balsamctl"));
    command.arg("why").arg(request).args(logs.iter().map(|name| format!("{DATA}{name}")));
    command.output().expect("balsamctl starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn report_lists_decisions_in_order_and_the_state_behind_them() {
    let output = why("once-462", &["node-2.log", "node-0.log", "node-1.log"]);
    let report = text(&output.stdout);
    assert!(output.status.success(), "{report}");
    let parts = [
        "request once-462: 2 lines of node-0",
        "attempt brought no reply",
        "cause=connection error: Connection reset by peer",
        "request answered",
        "reason=lost",
        "state at node-0:",
        "configuration in force",
        "upstream registered",
        "upstream=i-single-0",
    ];
    let mut rest = report.as_str();
    for part in parts {
        let Some(at) = rest.find(part) else {
            panic!("{part:?} is missing or out of order in {report}")
        };
        rest = &rest[at..];
    }
    assert!(!report.contains("node-1"), "node-1 did not serve the request: {report}");
    // Lines on other requests and state recorded after the request's end are left out.
    assert_eq!(report.matches("request answered").count(), 1, "{report}");
    assert_eq!(report.matches("configuration in force").count(), 1, "{report}");
}

#[test]
fn unknown_request_and_missing_file_give_different_errors() {
    let check = |request: &str, logs: &[&str], expected: &str| {
        let output = why(request, logs);
        let error = text(&output.stderr);
        assert!(!output.status.success());
        assert!(error.contains(expected), "{expected:?} not in {error:?}");
    };
    check("once-0", &["node-0.log"], "no line of request once-0 among 18");
    check("once-462", &["node-9.log"], "node-9.log");
}
