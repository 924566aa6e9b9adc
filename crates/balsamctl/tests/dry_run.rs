//! The `dry-run` command against an answer of a node.
//!
//! Guards against a call that the node does not understand and against an exit code that does not
//! tell whether the request would be refused.

use std::{
    io::{Read, Write},
    net::TcpListener,
    process::Command,
};

use policy::relay::explain::{Candidate, Explanation, PoolShare, Reason};

/// Runs the command against a node that answers with `request`. Returns what it sent, its standard
/// output and whether it succeeded.
fn run(request: Option<&Explanation>) -> (String, String, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let body = serde_json::json!({"generation": 7, "is_ready": true, "request": request});
    let node = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut call = [0; 4_096];
        let size = stream.read(&mut call).expect("a call");
        write!(stream, "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}").expect("an answer");
        String::from_utf8_lossy(&call[..size]).into_owned()
    });
    let output = Command::new(env!("CARGO_BIN_EXE_balsamctl"))
        .args(["dry-run", &address.to_string(), "a.example", "/s/a b"])
        .output()
        .expect("the program runs");
    let call = node.join().expect("a call");
    (call, String::from_utf8_lossy(&output.stdout).into_owned(), output.status.success())
}

#[test]
fn the_explanation_is_shown_and_the_exit_code_tells_whether_the_request_would_run() {
    let upstream = Candidate {
        upstream: base::id::Instance("i-1".into()),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "b".into(),
        is_usable: false,
        cost_ms: 24.0,
        latency_ms: 8.0,
        has_replied: false,
        in_flight: 1,
        slots: 3,
        reasons: vec![Reason::Evacuated, Reason::OtherDomain],
    };
    let pool = "p".parse().expect("name");
    let mut explained = Explanation {
        route: "search".into(),
        prefix: "/s/".into(),
        rank: 1,
        goal_ms: 120,
        deadline_ms: 1_500,
        repeatable: true,
        min_replies: 1,
        is_weighted: false,
        usable_pools: 0,
        admitted_share: 0.0,
        pools: vec![PoolShare { pool, admitted_share: 1.0, upstreams: vec![upstream] }],
    };
    let (call, output, is_success) = run(Some(&explained));
    assert!(call.starts_with("GET /explain?host=a.example&path=/s/a%20b HTTP/1.1\r\n"), "{call}");
    assert!(output.contains("route search (/s/*): rank 1, goal 120 ms"), "{output}");
    assert!(output.contains("i-1 10.0.0.1:80 in b: gets nothing"), "{output}");
    assert!(output.contains("evacuated; another failure domain"), "{output}");
    assert!(!is_success, "refused");
    explained.admitted_share = 0.5;
    assert!(run(Some(&explained)).2);
    assert!(!run(None).2, "no route");
}
