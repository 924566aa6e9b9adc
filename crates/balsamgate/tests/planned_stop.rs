//! Planned stops of a node whose upstreams are slow.
//!
//! Guards against requests that are taken and passed on late in the grace period, and cut off at its
//! end without an answer.

mod fleet;

use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, GRACE, HOST, config, upstreams};
use platform_standin::{
    caller::{CONFIG_KEY, CallerRequest, Connection},
    store::Store,
    upstream::{Faults, Upstream},
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const POOLS: usize = 2;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(40);

/// Sends one request on a new connection after `delay`, or on a kept one; returns its id and the status
/// of the answer.
async fn send(
    address: std::net::SocketAddr,
    path: &'static str,
    delay: Duration,
    kept: bool,
) -> (String, Option<u16>) {
    let id = format!("{}-{}-{kept}", path.trim_matches('/'), delay.as_millis());
    let request = |id: String, path: String| CallerRequest {
        host: HOST.to_owned(),
        body: if path.starts_with("/once/") { Bytes::from("x") } else { Bytes::new() },
        path,
        id,
        timeout: Duration::from_secs(8),
    };
    let connection = match kept {
        true => Connection::connect(address).await.ok(),
        false => None,
    };
    tokio::time::sleep(delay).await;
    let connection = match connection {
        Some(connection) => Some(connection),
        None => Connection::connect(address).await.ok(),
    };
    let Some(mut connection) = connection else { return (id, None) };
    let answer = connection.send(&request(id.clone(), format!("{path}{id}"))).await;
    (id, answer.ok().map(|a| a.status))
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_taken_in_the_grace_period_are_answered_before_its_end() {
    let cancel = CancellationToken::new();
    let _stop = cancel.clone().drop_guard();
    let store = Store::start(cancel).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let upstreams = upstreams(&store, POOLS, 3).await;
    let mut fleet = Fleet::start(1, store.address());
    fleet.ready().await;
    let slow = Faults { extra_latency: Duration::from_secs(7), ..Faults::default() };
    upstreams.iter().for_each(|u| u.set_faults(slow.clone()));
    let address = fleet.nodes[0].callers();
    fleet.nodes[0].signal("-TERM");
    let start = Instant::now();
    let mut sent = Vec::new();
    // Few enough that upstreams run them all.
    for n in 0..(GRACE.as_millis() / INTERVAL.as_millis()) as u32 {
        let delay = INTERVAL * n;
        if delay > GRACE / 3 {
            let path = if n % 2 == 0 { "/once/" } else { "/mark-1/" };
            sent.push(tokio::spawn(send(address, path, delay, n % 3 == 0)));
        }
    }
    let mut answers = Vec::new();
    for task in sent {
        answers.push(task.await.expect("a caller does not panic"));
    }
    println!("the last caller is done after {:?}", start.elapsed());
    let runs: Vec<String> =
        upstreams.iter().flat_map(Upstream::runs).map(|r| r.request_id).collect();
    let cut: Vec<&str> = answers
        .iter()
        .filter(|(id, status)| status.is_none() && runs.contains(id))
        .map(|(id, _)| id.as_str())
        .collect();
    let answered = answers.iter().filter(|(_, status)| status.is_some()).count();
    println!("{answered} answered, {} run, of {}", runs.len(), answers.len());
    assert!(answered > 10 && !runs.is_empty());
    assert!(cut.is_empty(), "cut off without an answer: {cut:?}");
    for (id, status) in &answers {
        // Not run, and never will be.
        assert!(*status != Some(503) || !runs.contains(id), "{id} has run");
    }
    assert_eq!(fleet.nodes[0].wait_exit(GRACE).await, Some(0));
    assert!(start.elapsed() < GRACE + Duration::from_secs(1));
}
