//! End-to-end tests of the evacuation of failure domains.
//!
//! Guards against requests that reach upstreams of an evacuated failure domain: on kept connections,
//! as second attempts, as parts of searches, and from nodes that start while the platform is silent.

mod fleet;

use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{Fleet, HOST, ZONES, config, eventually, upstreams};
use futures::future::join_all;
use platform_standin::{
    caller::{Answer, CONFIG_KEY, CallerRequest, Connection},
    store::{Mode, Store},
    upstream::{Faults, Upstream},
};
use tokio_util::sync::{CancellationToken, DropGuard};

const POOLS: usize = 3;
const NODES: u8 = 3;
/// Time within which an order has its effect: the bound of the nodes' settings.
const BOUND: Duration = Duration::from_secs(3);
/// Time for which callers ask while an order holds.
const OBSERVED: Duration = Duration::from_millis(800);
const PATHS: [&str; 3] = ["/search/x", "/mark-1/x", "/once/x"];

struct Testbed {
    store: Store,
    upstreams: Vec<Upstream>,
    fleet: Fleet,
    _stop: DropGuard,
}

impl Testbed {
    async fn start() -> Testbed {
        let cancel = CancellationToken::new();
        let store = Store::start(cancel.clone()).await.expect("a store");
        store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
        let upstreams = upstreams(&store, POOLS, ZONES.len()).await;
        let mut fleet = Fleet::start(NODES, store.address());
        fleet.ready().await;
        Testbed { store, upstreams, fleet, _stop: cancel.drop_guard() }
    }

    fn evacuate(&self, zone: &str) {
        self.store.evacuate(zone);
    }

    fn arrivals(&self, zone: &str) -> usize {
        let suffix = format!("-{}", ZONES.iter().position(|z| *z == zone).expect("a zone"));
        let there = self.upstreams.iter().filter(|u| u.instance().ends_with(&suffix));
        there.map(|u| u.arrivals().len()).sum()
    }

    /// Sends requests of all routes to all nodes for `time`. Returns the answers.
    async fn send_for(&self, time: Duration) -> Vec<Answer> {
        let end = Instant::now() + time;
        let nodes = self.fleet.nodes.iter().map(fleet::Process::callers);
        let callers = nodes.flat_map(|node| PATHS.map(|path| send_until(node, path, end)));
        join_all(callers).await.into_iter().flatten().collect()
    }

    /// Returns the requests that reach `zone` while callers ask, and their answers.
    async fn observe(&self, zone: &str) -> (usize, Vec<Answer>) {
        let before = self.arrivals(zone);
        let answers = self.send_for(OBSERVED).await;
        (self.arrivals(zone) - before, answers)
    }

    async fn eventually_used(&self, zone: &str) {
        eventually("upstreams get requests again", async || {
            self.observe(zone).await.0 > 0 && self.observe(zone).await.1.iter().all(is_served)
        })
        .await;
    }
}

/// Sends requests on one connection, which stays open across orders.
async fn send_until(node: std::net::SocketAddr, path: &str, end: Instant) -> Vec<Answer> {
    let mut connection = Connection::connect(node).await.expect("the node listens");
    let mut answers = Vec::new();
    while Instant::now() < end {
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: path.to_owned(),
            id: format!("{node}{path}{:?}", Instant::now()),
            timeout: Duration::from_millis(1_500),
            body: Bytes::new(),
        };
        answers.push(connection.send(&request).await.expect("the node answers"));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    answers
}

fn is_served(answer: &Answer) -> bool {
    answer.status == 200
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_of_an_evacuated_failure_domain_get_nothing_until_the_order_is_removed() {
    let testbed = Testbed::start().await;
    testbed.eventually_used("a").await;
    testbed.evacuate("a");
    testbed.send_for(BOUND).await;
    let (arrived, answers) = testbed.observe("a").await;
    assert_eq!(arrived, 0, "requests in an evacuated failure domain");
    assert!(answers.iter().all(is_served), "the others have room");
    testbed.store.end_evacuation("a");
    testbed.eventually_used("a").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn second_attempts_do_not_go_to_an_evacuated_failure_domain() {
    let testbed = Testbed::start().await;
    testbed.evacuate("a");
    testbed.send_for(BOUND).await;
    for upstream in testbed.upstreams.iter().filter(|u| u.instance().ends_with("-1")) {
        upstream.set_faults(Faults { never_replies: true, ..Faults::default() });
    }
    let (arrived, _) = testbed.observe("a").await;
    assert_eq!(arrived, 0, "second attempts in an evacuated failure domain");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_if_all_failure_domains_are_evacuated() {
    let testbed = Testbed::start().await;
    ZONES.iter().for_each(|zone| testbed.evacuate(zone));
    testbed.send_for(BOUND).await;
    for zone in ZONES {
        let (arrived, answers) = testbed.observe(zone).await;
        assert_eq!(arrived, 0, "requests in the evacuated failure domain {zone}");
        let refused = |a: &Answer| a.status == 503 && a.retry_after.is_some();
        assert!(answers.iter().all(refused), "refused with a time to return");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_during_an_evacuation_learns_it_while_the_platform_is_silent() {
    let mut testbed = Testbed::start().await;
    testbed.evacuate("a");
    testbed.send_for(BOUND).await;
    testbed.store.set_mode(Mode::Silent);
    testbed.fleet.nodes[0].kill();
    testbed.fleet.nodes[0].start();
    testbed.fleet.ready().await;
    let (arrived, answers) = testbed.observe("a").await;
    assert_eq!(arrived, 0, "requests of a node that started during the evacuation");
    assert!(answers.iter().all(is_served));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlives_a_restore_of_the_platform() {
    let testbed = Testbed::start().await;
    let copy = testbed.store.copy();
    testbed.evacuate("a");
    testbed.send_for(BOUND).await;
    testbed.store.restore(copy);
    testbed.send_for(BOUND).await;
    let (arrived, _) = testbed.observe("a").await;
    assert_eq!(arrived, 0, "the copy lacks the order");
    testbed.evacuate("a");
    testbed.send_for(BOUND).await;
    assert_eq!(testbed.observe("a").await.0, 0, "it is written again");
    testbed.store.end_evacuation("a");
    testbed.eventually_used("a").await;
}
