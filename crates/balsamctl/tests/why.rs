//! A request's story out of the logs of a run of the soak (seed 1, three of its nodes).

use std::process::{Command, Output};

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/");

fn why(request: &str, logs: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balsamctl"));
    command.arg("why").arg(request).args(logs.iter().map(|name| format!("{DATA}{name}")));
    command.output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_story_has_the_decisions_in_order_and_what_was_believed() {
    let output = why("once-462", &["node-2.log", "node-0.log", "node-1.log"]);
    let story = text(&output.stdout);
    assert!(output.status.success(), "{story}");
    let parts = [
        "request once-462: 2 lines of node-0",
        "attempt brought no reply",
        "cause=connection error: Connection reset by peer",
        "request answered",
        "reason=lost",
        "believed by node-0:",
        "configuration in force",
        "upstream registered",
        "upstream=i-single-0",
    ];
    let mut rest = story.as_str();
    for part in parts {
        let Some(at) = rest.find(part) else { panic!("{part:?} in its place in {story}") };
        rest = &rest[at..];
    }
    assert!(!story.contains("node-1"), "it was not there: {story}");
    // Lines on other requests and later beliefs are none of its story.
    assert_eq!(story.matches("request answered").count(), 1, "{story}");
    assert_eq!(story.matches("configuration in force").count(), 1, "{story}");
}

#[test]
fn an_id_that_is_not_there_and_a_file_that_is_not_there_are_told_apart() {
    let check = |request: &str, logs: &[&str], expected: &str| {
        let output = why(request, logs);
        let said = text(&output.stderr);
        assert!(!output.status.success());
        assert!(said.contains(expected), "{expected:?} in {said:?}");
    };
    check("once-0", &["node-0.log"], "no line of request once-0 among 18");
    check("once-462", &["node-9.log"], "node-9.log");
}
