//! Nodes as processes that start while stale reads of the platform's store differ in age.

mod fleet;

use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{DRAIN, Fleet, HOST, config, eventually, upstreams};
use platform_standin::{
    caller::{CONFIG_KEY, CallerRequest, Connection},
    store::Store,
};
use tokio_util::sync::CancellationToken;

/// Pools of the search route: with the two upstreams of each, a listing has two pages.
const POOLS: usize = 12;
/// Three nodes are seeds, which ask for the newest data.
const NODES: u8 = 4;
const LAST: usize = 3;
const LISTED: &str = "all registered upstreams are known";
/// Time for which requests are sent after the drain time of the upstream that leaves.
const TRAFFIC: Duration = Duration::from_secs(1);

/// Guards against a node that uses a draining upstream because it listed it from an older page
/// than the one whose position it took for the whole listing.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_lists_an_older_second_page_stops_using_a_draining_upstream() {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let upstreams = upstreams(&store, POOLS, 2).await;
    let mut fleet = Fleet::start(NODES, store.address());
    fleet.ready().await;
    fleet.nodes.iter_mut().for_each(fleet::Process::kill);
    // It is in the failure domain of the last node, which prefers it.
    let leaving = upstreams.iter().find(|u| u.pool() == "single").expect("an upstream");
    leaving.start_drain(Duration::from_secs(60));
    let drained_at = Instant::now();
    store.set_page_ages(&[0, 1]);
    // The others start later, so that none hands on what it has listed.
    fleet.nodes[LAST].start();
    eventually("the node has listed the upstreams again", async || {
        fleet.nodes[LAST].log_text().matches(LISTED).count() == 2
    })
    .await;
    fleet.nodes[..LAST].iter_mut().for_each(fleet::Process::start);
    fleet.ready().await;
    tokio::time::sleep(DRAIN.saturating_sub(drained_at.elapsed())).await;
    let callers = fleet.nodes[LAST].callers();
    let mut connection = Connection::connect(callers).await.expect("a connection");
    let (start, mut sent) = (Instant::now(), 0);
    while start.elapsed() < TRAFFIC {
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: "/once/x".to_owned(),
            id: format!("r-{sent}"),
            timeout: Duration::from_millis(1_500),
            body: Bytes::from("x"),
        };
        let answer = connection.send(&request).await.expect("an answer");
        assert_eq!(answer.status, 200);
        sent += 1;
    }
    let late = leaving.arrivals().len();
    assert_eq!(late, 0, "of {sent} requests, after the drain time");
    cancel.cancel();
}
