//! End-to-end tests of requests that crash the upstreams that run them: nodes run as processes,
//! and such a request comes again at any node.

mod fleet;

use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{Fleet, HOST, config, eventually, upstreams};
use platform_standin::{
    caller::{self, CONFIG_KEY, CallerRequest, Connection},
    store::Store,
    upstream::{Crash, Faults, Run, Upstream},
};
use tokio_util::sync::CancellationToken;

/// Pools of the search route.
const POOLS: usize = 5;
/// Upstreams of each pool: more than the request may crash.
const UPSTREAMS: usize = 12;
/// Arrivals after which the request counts as refused, if it has not crashed that many upstreams.
const MAX_EARLY_ARRIVALS: usize = 12;
const LATE_ARRIVALS: usize = 8;
/// Crash from which on the time to refuse the request everywhere runs.
const LAST_FREE_CRASH: usize = 3;
/// Time from that crash until every node must refuse the request.
const CONTACT: Duration = Duration::from_secs(4);
/// Sends to upstreams that may come later than that. The stated bound counts retries; a retry of
/// a search has a send to each pool.
const MAX_LATE_SENDS: usize = 3;

/// What happens to the address of an upstream that has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum After {
    /// Nothing listens there.
    Gone,
    /// Another process of the pool is there at once.
    Replaced,
}

/// How the request crashes upstreams, and how it comes.
#[derive(Debug, Clone, Copy)]
struct Case {
    path: &'static str,
    /// Time from the start of a run to the crash.
    crash_delay: Duration,
    /// Time after which the caller closes its connection; `None` if it waits for the answer.
    leaves_after: Option<Duration>,
    after: After,
    /// Pool whose upstreams the request crashes; `None` for all pools.
    pool: Option<&'static str>,
    nodes: usize,
}

const CASE: Case = Case {
    path: "/search/crash",
    crash_delay: Duration::ZERO,
    leaves_after: None,
    after: After::Gone,
    pool: None,
    nodes: 2,
};

struct Testbed {
    store: Store,
    upstreams: Vec<Upstream>,
    fleet: Fleet,
    cancel: CancellationToken,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Testbed {
    async fn start(case: Case) -> Testbed {
        let cancel = CancellationToken::new();
        let store = Store::start(cancel.clone()).await.expect("a store");
        store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
        let upstreams = upstreams(&store, POOLS, UPSTREAMS).await;
        let mut fleet = Fleet::start_linked(case.nodes as u8, store.address());
        fleet.ready().await;
        let testbed = Testbed { store, upstreams, fleet, cancel };
        let crashes = |u: &&Upstream| case.pool.is_none_or(|pool| u.pool() == pool);
        testbed.upstreams.iter().filter(crashes).for_each(|u| u.set_faults(faults(case)));
        testbed
    }

    /// Sends the request of `case` once to `node`.
    async fn arrive(&self, node: usize, case: Case, id: &str) {
        self.send(node, case.path, id, case.leaves_after).await;
    }

    /// Sends a request once to `node`. The caller leaves after `leaves_after`, if that is set.
    async fn send(&self, node: usize, path: &str, id: &str, leaves_after: Option<Duration>) {
        let once = path.starts_with("/once/");
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: path.to_owned(),
            id: id.to_owned(),
            timeout: Duration::from_millis(1_500),
            body: if once { Bytes::from("x") } else { Bytes::new() },
        };
        let Ok(mut connection) = Connection::connect(self.fleet.nodes[node].callers()).await else {
            return;
        };
        let limit = leaves_after.unwrap_or(request.timeout);
        // What the caller gets does not matter here.
        let _ = tokio::time::timeout(limit, connection.send(&request)).await;
    }

    /// Starts another process at the address of each upstream that has crashed.
    async fn replace_crashed(&mut self, case: Case, number: &mut usize) {
        for n in 0..self.upstreams.len() {
            let old = self.upstreams[n].clone();
            let replaced = self.upstreams.iter().any(|u| {
                u.address() == old.address()
                    && u.instance() != old.instance()
                    && u.crashed() >= old.crashed()
            });
            if old.crashed().is_none() || replaced {
                continue;
            }
            *number += 1;
            let spec =
                fleet::Spec { address: old.address(), ..fleet::spec(old.pool(), 1_000 + *number) };
            if let Ok(new) = Upstream::start(spec, &self.store).await {
                new.set_faults(faults(case));
                self.upstreams.push(new);
            }
        }
    }

    /// Waits for `time`, during which crashed upstreams may be replaced.
    async fn pause(&mut self, case: Case, time: Duration, replaced: &mut usize) {
        let start = Instant::now();
        while start.elapsed() < time {
            if case.after == After::Replaced {
                self.replace_crashed(case, replaced).await;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Crashes half of the upstreams of all search pools while `requests` searches run there, each
    /// of them sent once.
    async fn run_outage(&self, requests: usize) {
        let search = |u: &&Upstream| u.pool() != "single";
        let slow = Faults { extra_latency: Duration::from_secs(1), ..Faults::default() };
        self.upstreams.iter().filter(search).for_each(|u| u.set_faults(slow.clone()));
        let searches = (0..requests).map(|n| async move {
            let node = n % self.fleet.nodes.len();
            self.send(node, &format!("/search/outage-{n}"), &format!("outage-{n}"), None).await;
        });
        let crash = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            self.upstreams.iter().filter(search).step_by(2).for_each(|u| u.crash(false));
        };
        tokio::join!(futures::future::join_all(searches), crash);
    }

    /// Sends the request once to every node. None of these arrivals may reach an upstream.
    async fn assert_refused(&self, case: Case) {
        for node in 0..case.nodes {
            self.arrive(node, case, &format!("late-{node}")).await;
        }
        let late: Vec<Run> =
            self.runs().into_iter().filter(|r| r.request_id.starts_with("late")).collect();
        assert_eq!(late, [], "logs in {}", self.fleet.directory().display());
    }

    fn runs(&self) -> Vec<Run> {
        self.upstreams.iter().flat_map(Upstream::runs).collect()
    }

    /// Times of the crashes, the first one first.
    fn crashes(&self) -> Vec<Instant> {
        let mut crashes: Vec<Instant> =
            self.upstreams.iter().filter_map(|u| u.crashed().map(|(at, _)| at)).collect();
        crashes.sort_unstable();
        crashes
    }
}

fn faults(case: Case) -> Faults {
    let path = case.path.to_owned();
    let crashes = vec![Crash { path, delay: case.crash_delay, silent: false }];
    Faults { crashes, ..Faults::default() }
}

/// Sends the request to the nodes in turn: until it has crashed three upstreams or seems to be
/// refused, and again once the time to refuse it is over. Checks the retries that then reach
/// upstreams.
async fn check(case: Case) {
    let mut testbed = Testbed::start(case).await;
    let mut ids = Vec::new();
    let mut replaced = 0;
    while ids.len() < MAX_EARLY_ARRIVALS && testbed.crashes().len() < LAST_FREE_CRASH {
        let id = format!("early-{}", ids.len());
        testbed.arrive(ids.len() % case.nodes, case, &id).await;
        ids.push(id);
        testbed.pause(case, Duration::from_millis(400), &mut replaced).await;
    }
    let crashes = testbed.crashes();
    let last = crashes.iter().take(LAST_FREE_CRASH).next_back().expect("an upstream crashes");
    tokio::time::sleep_until((*last + CONTACT).into()).await;
    let mut late = Vec::new();
    for n in 0..LATE_ARRIVALS {
        let id = format!("late-{n}");
        testbed.arrive(n % case.nodes, case, &id).await;
        // Long enough for the crash and its report.
        let pause = case.crash_delay + Duration::from_millis(150);
        testbed.pause(case, pause, &mut replaced).await;
        late.push(id);
    }
    let runs = testbed.runs();
    let sends = |id: &String| runs.iter().filter(|r| r.request_id == *id).count();
    let before: Vec<usize> = ids.iter().map(sends).collect();
    let after: Vec<usize> = late.iter().map(sends).collect();
    let crashed = testbed.upstreams.iter().filter(|u| u.crashed().is_some()).count();
    eprintln!("{case:?}: sends {before:?}, late {after:?}, {crashed} upstreams crashed");
    let late_sends: usize = after.iter().sum();
    assert!(
        late_sends <= MAX_LATE_SENDS,
        "{case:?}: sends {before:?}, late {after:?}, {crashed} upstreams crashed; logs in {}",
        testbed.fleet.directory().display()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_that_crashes_upstreams_at_once_is_refused() {
    check(CASE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_whose_crashes_come_after_the_answer_is_refused() {
    check(Case { crash_delay: Duration::from_millis(600), ..CASE }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_whose_caller_leaves_before_the_crashes_is_refused() {
    let leaves_after = Some(Duration::from_millis(100));
    check(Case { crash_delay: Duration::from_millis(200), leaves_after, ..CASE }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_leaves_before_the_crash_is_refused() {
    let leaves_after = Some(Duration::from_millis(100));
    let path = "/once/crash";
    check(Case { path, crash_delay: Duration::from_millis(200), leaves_after, ..CASE }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_although_its_upstreams_return_at_once() {
    check(Case { path: "/once/crash", after: After::Replaced, ..CASE }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_that_only_some_of_its_pools_survive_is_refused() {
    check(Case { pool: Some("shard-1"), nodes: 1, ..CASE }).await;
}

/// A node that restarts has lost its reports and must get them back, even if an outage of many
/// upstreams has added more reports than a message holds.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_refuses_the_request_after_an_outage_of_many_upstreams() {
    let case = Case { path: "/once/crash", nodes: 3, ..CASE };
    let mut testbed = Testbed::start(case).await;
    for n in 0..2 {
        testbed.arrive(n, case, &format!("early-{n}")).await;
        let mut replaced = 0;
        testbed.pause(case, Duration::from_millis(200), &mut replaced).await;
    }
    testbed.run_outage(100).await;
    testbed.fleet.nodes[0].kill();
    testbed.fleet.nodes[0].start();
    let ready = testbed.fleet.nodes[0].ready();
    eventually("the restarted node is ready", async || caller::is_ready(ready).await).await;
    tokio::time::sleep(CONTACT).await;
    testbed.assert_refused(case).await;
}

/// Sends the request twice to each of the nodes `early` while node 2 is cut off from the others,
/// and once to every node after it is back in touch. Checks that none of the latter reach upstreams.
async fn check_cut(early: &[usize], outage: usize) {
    const CUT_OFF: usize = 2;
    let case = Case { path: "/once/crash", nodes: 3, ..CASE };
    let mut testbed = Testbed::start(case).await;
    testbed.fleet.set_cut(CUT_OFF, true);
    let mut replaced = 0;
    // Long enough for the nodes to take each other for dead.
    testbed.pause(case, CONTACT, &mut replaced).await;
    for n in early.iter().chain(early) {
        testbed.arrive(*n, case, &format!("early-{n}")).await;
        testbed.pause(case, Duration::from_millis(200), &mut replaced).await;
    }
    let knows = |n: usize| testbed.fleet.nodes[n].log_text().contains("\"quarantined\":true");
    let reported: &[usize] = if early.contains(&CUT_OFF) { &[CUT_OFF] } else { &[0, 1] };
    eventually("the nodes on one side of the cut refuse the request", async || {
        reported.iter().all(|n| knows(*n))
    })
    .await;
    let knowing: Vec<usize> = (0..case.nodes).filter(|n| knows(*n)).collect();
    assert_eq!(knowing, reported, "nodes that refuse the request during the cut");
    testbed.run_outage(outage).await;
    testbed.fleet.set_cut(CUT_OFF, false);
    tokio::time::sleep(CONTACT).await;
    testbed.assert_refused(case).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_cut_off_refuses_a_request_that_the_others_have_reported() {
    check_cut(&[0], 100).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_others_refuse_a_request_that_a_node_has_reported_while_it_was_cut_off() {
    check_cut(&[2], 0).await;
}

/// Two attempts of one arrival crash two upstreams, one after the other, which is enough to refuse
/// the request before it has crashed the third.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_two_upstreams_in_turn_is_refused() {
    let testbed = Testbed::start(Case { path: "/mark-1/crash", ..CASE }).await;
    // On a busy machine the second attempt may be sent before the first is lost, and then the two
    // crashes are not one after the other.
    for n in 0..UPSTREAMS / 2 {
        let path = format!("/mark-1/crash-{n}");
        testbed.send(0, &path, &format!("first-{n}"), None).await;
        let log = testbed.fleet.nodes[0].log_text();
        let mut lines = log.lines().filter(|l| l.contains(&format!("first-{n}")));
        if !lines.any(|l| l.contains("\"cause\":\"ended\",\"ended\":\"lost\"")) {
            continue;
        }
        eventually("each node knows the request as quarantined", async || {
            testbed.fleet.nodes.iter().all(|n| n.log_text().contains("\"quarantined\":true"))
        })
        .await;
        for node in 0..CASE.nodes {
            testbed.send(node, &path, "again", None).await;
        }
        let runs = testbed.runs();
        assert!(!runs.iter().any(|r| r.request_id == "again"), "{runs:?}");
        assert_eq!(runs.iter().filter(|r| r.request_id == format!("first-{n}")).count(), 2);
        return;
    }
    panic!("no second attempt was sent after a loss");
}
