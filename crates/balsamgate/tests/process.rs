//! `balsamgate` as a process: starts from a settings file, answers callers, stops on SIGTERM, and
//! reports errors in its exit code and on standard error.

use std::{
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use client::Client;
use http::HeaderMap;
use lab::local::{self, StandIns};
use policy::outcome::Outcome;
use standin::service_time::ServiceTime;
use wire::{
    caller,
    platform::{State, Vm},
};

const QUESTIONNAIRE: &str = include_str!("../../../examples/deployments/beltran.ini");
const PROGRAM: &str = env!("CARGO_BIN_EXE_balsamgate");

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the settings file is written");
    path
}

fn terminate(child: &Child) {
    let pid = child.id().to_string();
    let status = Command::new("kill").args(["-TERM", &pid]).status().expect("kill starts");
    assert!(status.success());
}

fn search(query: &str) -> caller::Search {
    caller::Search {
        caller: "inspectors".parse().expect("valid name"),
        class: "closure".parse().expect("valid name"),
        services: vec![
            "batch-closure".parse().expect("valid name"),
            "lease-maps".parse().expect("valid name"),
        ],
        query: query.to_owned(),
        limit: None,
        deadline_ms: None,
    }
}

/// A stop that closes the callers' listener at once would fail requests of callers which still use
/// the node's address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_still_answers_after_sigterm_and_then_exits_cleanly() {
    let deployment = config::questionnaire::generate("beltran.ini", QUESTIONNAIRE).expect("valid");
    let slow = ServiceTime::Fixed(Duration::from_millis(20));
    let stand_ins = StandIns::start(deployment, true, slow, 1).await.expect("stand-ins");
    let addresses = local::free_node_addresses(1).expect("ports")[0];
    let vm = Vm { address: addresses.peers, state: State::Live };
    stand_ins.platform.change(|state| state.vms = vec![vm]);
    let text = local::settings_text(&stand_ins.settings(0, addresses));
    let path = settings_file("node.ini", &text);
    let child = Command::new(PROGRAM)
        .args(["run", "--settings"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("balsamgate starts");

    let client = Client::new("inspectors", vec![addresses.callers]);
    let mut answer = None;
    for _ in 0..600 {
        let result = client.search(addresses.callers, &search("veda"), &HeaderMap::new()).await;
        if let Ok(complete) = result.map_err(drop).and_then(|a| match a.outcome {
            Outcome::Complete => Ok(a),
            _ => Err(()),
        }) {
            answer = Some(complete);
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let answer = answer.expect("a complete answer within 600 attempts");
    assert_eq!((answer.hits.len(), answer.missing.len(), answer.snapshot.len()), (50, 0, 2));

    terminate(&child);
    // The node still serves callers that cached its address.
    let answer_while_stopping =
        client.search(addresses.callers, &search("lotes"), &HeaderMap::new()).await;
    assert_eq!(answer_while_stopping.expect("the node still serves").outcome, Outcome::Complete);
    let output = tokio::task::spawn_blocking(move || child.wait_with_output()).await;
    let output = output.expect("the wait task ends").expect("the exit status is read");
    assert_eq!(output.status.code(), Some(0));
    // The log has state changes only, no line per request.
    let log = String::from_utf8_lossy(&output.stderr);
    let request_line = ["root.search", "leaf;", "upstream;"].iter().find(|n| log.contains(**n));
    assert!(log.contains("planned stop announced") && request_line.is_none(), "{log}");
}

#[test]
fn exit_codes_and_errors() {
    let check = |arguments: &[&str], code: i32, error: &str| {
        let output = Command::new(PROGRAM).args(arguments).output().expect("balsamgate starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
        assert!(text.contains(error), "{arguments:?}: {text}");
    };
    let broken = settings_file("broken.ini", "[node]\ndeployment = D\n");
    let broken = broken.to_str().expect("the path is UTF-8");
    check(&["settings"], 0, "");
    check(&["check", "--settings", broken], 1, "broken.ini:2: [node] deployment: read \"D\"");
    check(&["run", "--settings", broken], 1, "[listen] callers: missing");
    check(&["check", "--settings", "absent.ini"], 1, "absent.ini");
    check(&["frobnicate"], 1, "frobnicate");
}
