//! End-to-end tests of what upstreams say of themselves in their replies: that they leave, and that
//! they want no requests for a time.

mod fleet;

use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{DRAIN, Fleet, HOST, config, eventually, spec, upstreams};
use platform_standin::{
    caller::{Answer, CONFIG_KEY, CallerRequest, Connection},
    store::Store,
    upstream::{Faults, Upstream},
};
use tokio_util::sync::CancellationToken;

const POOLS: usize = 3;
const UPSTREAMS: usize = 2;
/// Time after a refusal within which further requests may still reach the upstream.
const REST_GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach an upstream in the rest that it has asked a node for.
const MAX_DURING_REST: usize = 2;

struct Testbed {
    store: Store,
    upstreams: Vec<Upstream>,
    fleet: Fleet,
    next_id: u32,
    cancel: CancellationToken,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Testbed {
    /// Starts one node. The notices are per node.
    async fn start() -> Testbed {
        let cancel = CancellationToken::new();
        let store = Store::start(cancel.clone()).await.expect("a store");
        store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
        let upstreams = upstreams(&store, POOLS, UPSTREAMS).await;
        let mut fleet = Fleet::start(1, store.address());
        fleet.ready().await;
        Testbed { store, upstreams, fleet, next_id: 0, cancel }
    }

    fn of_pool(&self, pool: &str) -> Vec<Upstream> {
        self.upstreams.iter().filter(|u| u.pool() == pool).cloned().collect()
    }

    async fn send(&mut self, path: &str) -> Answer {
        self.next_id += 1;
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: path.to_owned(),
            id: format!("request-{}", self.next_id),
            timeout: Duration::from_millis(1_500),
            body: if path.starts_with("/once/") { Bytes::from("x") } else { Bytes::new() },
        };
        let address = self.fleet.nodes[0].callers();
        let mut connection = Connection::connect(address).await.expect("the node listens");
        connection.send(&request).await.expect("the node answers")
    }

    /// Sends requests to `path` for `time`. Returns the statuses of the answers.
    async fn send_for(&mut self, path: &str, time: Duration) -> Vec<u16> {
        let start = Instant::now();
        let mut statuses = Vec::new();
        while start.elapsed() < time {
            statuses.push(self.send(path).await.status);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        statuses
    }
}

/// Counts requests that arrived at `upstream` between `from` and `to`.
fn arrivals(upstream: &Upstream, from: Instant, to: Instant) -> usize {
    upstream.arrivals().into_iter().filter(|a| a.at > from && a.at < to).count()
}

/// An upstream that leaves by its replies alone, among `leaving` of its pool.
async fn check_leaving(path: &str, pool: &str, leaving: usize, served: bool) {
    let mut testbed = Testbed::start().await;
    testbed.send_for(path, Duration::from_millis(200)).await;
    let faults = Faults { says_leaving: true, ..Faults::default() };
    let leaves = testbed.of_pool(pool)[..leaving].to_vec();
    leaves.iter().for_each(|u| u.set_faults(faults.clone()));
    // Its replies bear the header from here on; each is asked at least once.
    testbed.send_for(path, DRAIN).await;
    let start = Instant::now();
    // The platform lists it as ready, again and again.
    leaves.iter().for_each(Upstream::register_again);
    let statuses = testbed.send_for(path, Duration::from_millis(800)).await;
    for upstream in &leaves {
        let late = arrivals(upstream, start, Instant::now());
        assert_eq!(late, 0, "{path}: requests to {} after the drain time", upstream.instance());
    }
    let expected = if served { 200 } else { 503 };
    assert!(statuses.iter().all(|s| *s == expected), "{path}: {statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_says_that_it_leaves_gets_no_requests() {
    check_leaving("/mark-1/x", "single", 1, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_says_that_it_leaves_gets_no_searches() {
    check_leaving("/search/x", "shard-1", 1, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_to_a_pool_that_leaves_as_a_whole_are_refused() {
    check_leaving("/mark-1/x", "single", UPSTREAMS, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_in_the_place_of_one_that_left_gets_requests() {
    let mut testbed = Testbed::start().await;
    let leaves = testbed.of_pool("single");
    let faults = Faults { says_leaving: true, ..Faults::default() };
    leaves.iter().for_each(|u| u.set_faults(faults.clone()));
    testbed.send_for("/mark-1/x", Duration::from_millis(300)).await;
    let (address, instance) = (leaves[0].address(), leaves[0].instance().to_owned());
    leaves.iter().for_each(|u| u.crash(true));
    eventually("the address is free", async || {
        let spec = fleet::Spec { address, instance: instance.clone(), ..spec("single", 0) };
        Upstream::start(spec, &testbed.store).await.is_ok()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let statuses = testbed.send_for("/mark-1/x", Duration::from_millis(300)).await;
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
}

/// Upstreams that turn requests away for 2 s, `resting` of the pool.
async fn check_rest(path: &str, pool: &str, resting: usize, served: bool) {
    const REST: Duration = Duration::from_secs(2);
    let mut testbed = Testbed::start().await;
    testbed.send_for(path, Duration::from_millis(200)).await;
    let faults = Faults { retry_after: Some("2".to_owned()), ..Faults::default() };
    let rests = testbed.of_pool(pool)[..resting].to_vec();
    rests.iter().for_each(|u| u.set_faults(faults.clone()));
    let asked = Instant::now();
    testbed.send_for(path, REST_GRACE).await;
    let first: Vec<Instant> = rests
        .iter()
        .map(|u| u.arrivals().into_iter().map(|a| a.at).find(|at| *at > asked))
        .map(|first| first.expect("it was asked"))
        .collect();
    let earliest = *first.iter().min().expect("one rests");
    let answer = testbed.send(path).await;
    let statuses = testbed.send_for(path, REST - REST_GRACE * 2).await;
    for (upstream, first) in rests.iter().zip(&first) {
        let count = arrivals(upstream, *first + REST_GRACE, *first + REST);
        assert!(count <= MAX_DURING_REST, "{path}: {count} requests to {}", upstream.instance());
    }
    if served {
        assert!(statuses.iter().all(|s| *s == 200), "{path}: {statuses:?}");
    } else {
        assert!(statuses.iter().all(|s| *s == 503), "{path}: {statuses:?}");
        let delay = answer.retry_after.expect("callers are told when to return");
        assert!(delay > REST_GRACE && delay < 2 * REST, "{delay:?}");
    }
    rests.iter().for_each(|u| u.set_faults(Faults::default()));
    tokio::time::sleep_until((earliest + REST + REST_GRACE).into()).await;
    let statuses = testbed.send_for(path, Duration::from_millis(500)).await;
    assert!(statuses.iter().all(|s| *s == 200), "{path}, afterwards: {statuses:?}");
    let used = rests.iter().filter(|u| arrivals(u, earliest + REST, Instant::now()) > 0).count();
    assert!(served || used > 0, "the pool is used again");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_asks_for_a_rest_gets_it() {
    check_rest("/mark-1/x", "single", 1, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_of_a_search_that_asks_for_a_rest_gets_it() {
    check_rest("/search/x", "shard-1", 1, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_pool_that_rests_are_told_when_to_return() {
    check_rest("/mark-1/x", "single", UPSTREAMS, false).await;
}
