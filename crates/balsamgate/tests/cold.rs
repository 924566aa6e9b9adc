//! End-to-end test of cold upstreams.
//!
//! Guards against a sum over nodes that crashes processes that have just started in the place of
//! others, also while the store does not answer, and against a bound that outlasts the coldness.

mod fleet;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::{Fleet, HOST, Spec, config, eventually, spec, upstreams};
use futures::future::join_all;
use platform_standin::{
    caller::{Answer, CONFIG_KEY, CallerRequest, Config, Connection},
    store::{Mode, Store},
    upstream::{Faults, Upstream},
};
use tokio_util::sync::CancellationToken;

const NODES: u8 = 4;
const UPSTREAMS: usize = 2;
/// Limit of each cold upstream, in requests per second.
const LIMIT: f64 = 5.0;
const COLD: Duration = Duration::from_secs(4);
/// Pauses between the requests to each node: callers are spread unevenly.
const PAUSES_MS: [u64; NODES as usize] = [10, 20, 40, 160];

async fn send_until(node: SocketAddr, pause_ms: u64, end: Instant) -> Vec<Answer> {
    let mut answers = Vec::new();
    while Instant::now() < end {
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: "/mark-1/x".to_owned(),
            id: format!("{node}-{}", answers.len()),
            timeout: Duration::from_millis(1_500),
            body: Bytes::new(),
        };
        let mut connection = Connection::connect(node).await.expect("the node listens");
        answers.push(connection.send(&request).await.expect("the node answers"));
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    answers
}

/// Sends requests to all nodes for `time`. Returns the answers.
async fn send_for(fleet: &Fleet, time: Duration) -> Vec<Answer> {
    let end = Instant::now() + time;
    let callers = fleet.nodes.iter().zip(PAUSES_MS);
    let callers = callers.map(|(node, pause)| send_until(node.callers(), pause, end));
    join_all(callers).await.into_iter().flatten().collect()
}

/// Starts an upstream at an address that another one is about to leave.
async fn start(spec: Spec, store: &Store) -> Upstream {
    let end = Instant::now() + fleet::WAIT_LIMIT;
    loop {
        match Upstream::start(spec.clone(), store).await {
            Ok(upstream) => return upstream,
            Err(e) => assert!(Instant::now() < end, "an upstream starts: {e}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Largest number of requests that arrived within a second while `upstream` was cold.
fn most_in_second(upstream: &Upstream) -> usize {
    let arrivals = upstream.arrivals().into_iter().filter(|a| a.is_cold);
    let arrivals: Vec<Instant> = arrivals.map(|a| a.at).collect();
    let until = |from: Instant| from + Duration::from_secs(1);
    let counts = arrivals
        .iter()
        .map(|from| arrivals.iter().filter(|a| **a >= *from && **a < until(*from)).count());
    counts.max().unwrap_or(0)
}

/// Replaces all processes of a pool by cold ones while the store is in `mode`.
async fn check(mode: Mode) {
    let cancel = CancellationToken::new();
    let _guard = cancel.clone().drop_guard();
    let store = Store::start(cancel).await.expect("a store");
    let cold = Some((LIMIT, COLD.as_secs_f64()));
    store.put(CONFIG_KEY, Config { cold, ..config(1, 1) }.to_json().as_bytes());
    let all = upstreams(&store, 1, UPSTREAMS).await;
    let before: Vec<Upstream> = all.into_iter().filter(|u| u.pool() == "single").collect();
    let mut fleet = Fleet::start(NODES, store.address());
    fleet.ready().await;
    eventually("requests are served", async || {
        send_for(&fleet, Duration::from_millis(500)).await.iter().all(|a| a.status == 200)
    })
    .await;
    store.set_mode(mode);
    let replacement = async {
        let mut after = Vec::new();
        for (n, upstream) in before.iter().enumerate() {
            upstream.crash(false);
            let spec = Spec { address: upstream.address(), cold: Some(COLD), ..spec("single", n) };
            after.push(start(spec, &store).await);
        }
        after
    };
    let (answers, after) = tokio::join!(send_for(&fleet, COLD), replacement);
    for upstream in &after {
        let most = most_in_second(upstream);
        assert!(most as f64 <= 1.5 * LIMIT + 5.0, "{mode:?}: {most} in a second");
    }
    let refused = answers.iter().filter(|a| a.status == 503);
    assert!(refused.clone().count() > 0, "{mode:?}: more was asked for than they take");
    assert!(refused.clone().all(|a| a.retry_after.is_some()), "{mode:?}: a time to return");
    let cold_runs = after.iter().map(|u| u.arrivals().len()).sum::<usize>();
    assert!(cold_runs > 0, "{mode:?}: cold upstreams are used");
    eventually("all requests are served again", async || {
        send_for(&fleet, Duration::from_millis(500)).await.iter().all(|a| a.status == 200)
    })
    .await;
    // An absurd cold time affects nothing.
    let faults = Faults { cold_ms: Some("-5".to_owned()), ..Faults::default() };
    after.iter().for_each(|u| u.set_faults(faults.clone()));
    let answers = send_for(&fleet, Duration::from_secs(1)).await;
    assert!(answers.iter().all(|a| a.status == 200), "{mode:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_that_replace_others_get_no_more_requests_than_they_take_while_cold() {
    check(Mode::Up).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_bound_holds_while_the_store_does_not_answer() {
    check(Mode::Silent).await;
}
