//! Callers that read their answers slowly or not at all, and upstreams that do not read requests, at
//! a node with `[limits] buffer` at 1 MiB.
//!
//! Guards against memory that grows with slow readers beyond the limit, against fast callers that
//! are refused because of them, and against answers that are cut although they are being read.

mod fleet;

use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, HOST, config, eventually, upstreams};
use futures::future::join_all;
use platform_standin::{
    caller::{Answer, CONFIG_KEY, CallerRequest, Config, Connection, RequestError},
    store::Store,
    unread::{SlowCaller, SlowUpstream, UnreadUpstream},
    upstream::{Faults, Upstream},
};
use tokio_util::sync::CancellationToken;

/// Size of a large answer: more than the buffers of its connection take up.
const LARGE_BYTES: usize = 400_000;
/// Size of a large request body: five fit into the buffer.
const LARGE_BODY_BYTES: usize = 200_000;
/// Callers that do not read: their answers are many times the buffer.
const SLOW_CALLERS: usize = 60;
/// Memory that the node may take up besides bodies, in KiB.
const OTHER_KIB: u64 = 12 << 10;

struct Testbed {
    store: Store,
    fleet: Fleet,
    upstreams: Vec<Upstream>,
    cancel: CancellationToken,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn request(path: &str, id: &str) -> CallerRequest {
    CallerRequest {
        host: HOST.to_owned(),
        path: path.to_owned(),
        id: id.to_owned(),
        timeout: Duration::from_secs(2),
        body: Bytes::new(),
    }
}

/// A node with one search pool. Upstreams of the pool `single` reply with `padding` more bytes.
async fn testbed(padding: usize) -> Testbed {
    testbed_with(padding, config(1, 1)).await
}

async fn testbed_with(padding: usize, config: Config) -> Testbed {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config.to_json().as_bytes());
    let upstreams = upstreams(&store, 1, 2).await;
    for upstream in upstreams.iter().filter(|u| u.pool() == "single") {
        upstream.set_faults(Faults { padding, ..Faults::default() });
    }
    let mut fleet = Fleet::start(1, store.address());
    fleet.ready().await;
    Testbed { store, fleet, upstreams, cancel }
}

impl Testbed {
    async fn send(&self, request: &CallerRequest) -> Result<Answer, RequestError> {
        Connection::connect(self.fleet.nodes[0].callers()).await?.send(request).await
    }

    async fn slow(&self, id: &str) -> SlowCaller {
        let request = request("/once/large", id);
        let sent = SlowCaller::send(self.fleet.nodes[0].callers(), &request).await;
        sent.expect("the request is sent")
    }

    /// Sum of the values of a metric whose lines start with `name`.
    async fn metric(&self, name: &str) -> u64 {
        let mut connection =
            Connection::connect((self.fleet.nodes[0].ip, 7105).into()).await.expect("a connection");
        let text = connection.send(&request("/metrics", "m")).await.expect("metrics").body;
        let text = String::from_utf8_lossy(&text).into_owned();
        let values = text.lines().filter(|l| l.starts_with(name));
        values.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    }

    async fn held(&self) -> u64 {
        self.metric("balsamgate_held_bytes").await
    }

    /// Largest memory that the node has had so far, in KiB.
    fn peak_kib(&self) -> u64 {
        let id = self.fleet.nodes[0].id().expect("the node runs");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("status");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("peak memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Whether the upstreams have run the request `id`.
    fn has_run(&self, id: &str) -> bool {
        self.upstreams.iter().any(|u| u.runs().iter().any(|r| r.request_id == id))
    }
}

/// The answer would no longer count while the node still holds it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_counted_until_its_caller_has_read_it() {
    let testbed = testbed(LARGE_BYTES).await;
    let mut caller = testbed.slow("held").await;
    eventually("the answer waits for its caller", async || {
        testbed.metric("balsamgate_requests_total{outcome=\"whole\"").await == 1
    })
    .await;
    assert!(testbed.held().await as usize >= LARGE_BYTES);
    let read = caller.read_slowly(64 << 10, Duration::ZERO).await.expect("the answer");
    assert!(read >= LARGE_BYTES, "{read}");
    assert_eq!(testbed.held().await, 0);
}

/// A caller that reads at a steady pace would lose its answer after its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_read_slowly_arrives_whole() {
    let testbed = testbed(LARGE_BYTES).await;
    let mut caller = testbed.slow("steady").await;
    // Takes about 5 s, the deadline and its margin 3 s.
    let read = caller.read_slowly(4 << 10, Duration::from_millis(50)).await;
    assert!(read.as_ref().is_ok_and(|r| *r >= LARGE_BYTES), "{read:?}");
}

/// Deadline of requests whose answers are read within it.
const LONG_TIMEOUT: Duration = Duration::from_secs(12);

/// Sends two requests on one connection and reads their answers of about `bytes` as told.
async fn check_late_reader(bytes: usize, wait: Duration, size: usize, pause: Duration) {
    let config = Config { once_timeout: LONG_TIMEOUT, ..config(1, 1) };
    let testbed = testbed_with(bytes, config).await;
    let mut caller =
        SlowCaller::connect(testbed.fleet.nodes[0].callers()).await.expect("a connection");
    for id in ["first", "second"] {
        let request = CallerRequest { timeout: LONG_TIMEOUT, ..request("/once/late", id) };
        caller.send_more(&request).await.expect("the request is sent");
        let read = caller.read_answer(wait, size, pause).await;
        let case = format!("{id}, {bytes} bytes, {size} bytes each {pause:?} after {wait:?}");
        assert!(read.as_ref().is_ok_and(|r| *r >= bytes), "{case}: {read:?}");
    }
}

/// Guards against a system that ends the connection of a caller without room within its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_fit_the_connections_buffer_are_kept_for_callers_that_read_late() {
    let seconds = Duration::from_secs;
    tokio::join!(
        check_late_reader(12_000, seconds(0), 2_500, seconds(1)),
        check_late_reader(60_000, seconds(5), 64 << 10, seconds(0)),
        check_late_reader(7_000, seconds(0), 4_000, seconds(3)),
        // The last part lies in the buffer after a blocked write.
        check_late_reader(200_000, seconds(4), 64 << 10, Duration::from_millis(5)),
    );
}

/// Guards against an answer that is lost with its connection's end while its caller has no room.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_kept_for_a_caller_that_reads_late_after_its_connection_was_closed() {
    let config = Config { once_timeout: LONG_TIMEOUT, ..config(1, 1) };
    let testbed = testbed_with(60_000, config).await;
    let mut caller = testbed.slow("closed").await;
    let read = caller.read_answer(Duration::from_secs(5), 64 << 10, Duration::ZERO).await;
    assert!(read.as_ref().is_ok_and(|r| *r >= 60_000), "{read:?}");
}

/// Guards against an answer that is lost as its node stops while the caller has no room.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_kept_for_a_caller_that_reads_late_over_a_planned_stop() {
    let config = Config { once_timeout: LONG_TIMEOUT, ..config(1, 1) };
    let mut testbed = testbed_with(60_000, config).await;
    let mut caller =
        SlowCaller::connect(testbed.fleet.nodes[0].callers()).await.expect("a connection");
    let request = CallerRequest { timeout: LONG_TIMEOUT, ..request("/once/late", "stop") };
    caller.send_more(&request).await.expect("the request is sent");
    eventually("the answer waits for its caller", async || testbed.has_run("stop")).await;
    testbed.fleet.nodes[0].signal("-TERM");
    let code = testbed.fleet.nodes[0].wait_exit(fleet::WAIT_LIMIT).await;
    assert_eq!(code, Some(0));
    let read = caller.read_answer(Duration::from_secs(4), 64 << 10, Duration::ZERO).await;
    assert!(read.as_ref().is_ok_and(|r| *r >= 60_000), "{read:?}");
}

/// Guards against a request that is lost as its upstream is slow to read a body that the connection's
/// buffer holds.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_kept_for_an_upstream_that_reads_late() {
    let config = Config { once_timeout: LONG_TIMEOUT, ..config(1, 1) };
    let testbed = testbed_with(0, config).await;
    let (store, cancel) = (&testbed.store, testbed.cancel.clone());
    let pause = Duration::from_secs(5);
    let slow = SlowUpstream::start("single", "i-late", pause, store, cancel).await;
    let slow = slow.expect("an upstream");
    testbed.upstreams.iter().filter(|u| u.pool() == "single").for_each(|u| u.crash(true));
    let log = || testbed.fleet.nodes[0].log_text();
    eventually("only the slow upstream is left", async || {
        log().contains("i-late") && log().matches("registry entry has gone").count() == 2
    })
    .await;
    tokio::time::sleep(policy::relay::registry::REMOVAL_GRACE).await;
    let body = Bytes::from(vec![1; 60_000]);
    let request =
        CallerRequest { body, timeout: LONG_TIMEOUT, ..request("/once/late", "late-body") };
    let answer = testbed.send(&request).await;
    assert!(answer.as_ref().is_ok_and(|a| a.status == 200), "{answer:?}");
    assert_eq!(slow.requests(), 1);
}

/// A caller that reads some bytes now and then would hold its answer for hours.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hardly_reads_is_cut_off() {
    let testbed = testbed(LARGE_BYTES).await;
    let mut caller = testbed.slow("trickle").await;
    let reading = caller.read_slowly(64, Duration::from_millis(100));
    let ended = tokio::time::timeout(fleet::WAIT_LIMIT, reading).await;
    assert!(ended.is_ok(), "the connection stays open");
    assert_eq!(testbed.held().await, 0);
    assert_eq!(testbed.metric("balsamgate_slow_readers_total{cause=\"late\"").await, 1);
}

/// Answers that nobody reads would take up all memory, or the requests of callers that do read
/// would be refused.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read_cost_others_no_answer() {
    let testbed = testbed(LARGE_BYTES).await;
    let before = testbed.peak_kib();
    let mut slow = Vec::new();
    for n in 0..SLOW_CALLERS {
        slow.push(testbed.slow(&format!("slow-{n}")).await);
        let answer = testbed.send(&request("/search/x", &format!("fast-{n}"))).await;
        assert!(answer.as_ref().is_ok_and(|a| a.status == 200), "{n}: {answer:?}");
        let large = testbed.send(&request("/once/large", &format!("large-{n}"))).await;
        assert!(large.as_ref().is_ok_and(|a| a.status == 200), "{n}: {large:?}");
    }
    let grown = testbed.peak_kib() - before;
    assert!(grown <= OTHER_KIB, "{grown} KiB more");
    assert!(testbed.metric("balsamgate_slow_readers_total{cause=\"full\"").await > 0);
    eventually("nothing is held", async || testbed.held().await == 0).await;
}

/// Upstreams that do not read would fill the buffer with the bodies of their requests, and those of
/// other pools would be refused. A request that an upstream may have read must not be reported as
/// one that has not run.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_do_not_read_cost_other_pools_no_request() {
    let testbed = testbed(0).await;
    testbed.upstreams.iter().filter(|u| u.pool() == "single").for_each(|u| u.crash(true));
    let unread = {
        let (store, cancel) = (&testbed.store, testbed.cancel.clone());
        UnreadUpstream::start("single", "i-unread", store, cancel).await.expect("an upstream")
    };
    eventually("the node uses the upstream that does not read", async || {
        let _ = testbed.send(&request("/mark-1/x", "probe")).await;
        unread.connections() > 0
    })
    .await;
    let body = Bytes::from(vec![1; LARGE_BODY_BYTES]);
    let stuck: Vec<CallerRequest> = (0..5)
        .map(|n| CallerRequest { body: body.clone(), ..request("/once/x", &format!("stuck-{n}")) })
        .collect();
    let stuck = join_all(stuck.iter().map(|request| testbed.send(request)));
    let others = async {
        eventually("the bodies fill the buffer", async || {
            testbed.held().await as usize >= 5 * LARGE_BODY_BYTES
        })
        .await;
        // The upstream's connections take no more once their buffers are full.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut answers = Vec::new();
        for n in 0..3 {
            let request = CallerRequest { body: body.clone(), ..request("/search/x", "other") };
            let request = CallerRequest { id: format!("other-{n}"), ..request };
            answers.push((request.id.clone(), testbed.send(&request).await));
        }
        answers
    };
    let (stuck, others) = tokio::join!(stuck, others);
    for (id, answer) in &others {
        assert!(answer.as_ref().is_ok_and(|a| a.status == 200), "{id}: {answer:?}");
        assert!(testbed.has_run(id), "{id}");
    }
    for answer in &stuck {
        let status = answer.as_ref().map(|a| a.status);
        assert!(matches!(status, Ok(502 | 504) | Err(RequestError::TimedOut)), "{answer:?}");
    }
    let cut = testbed.metric("balsamgate_slow_readers_total{cause=\"full\"").await;
    assert!((1..5).contains(&cut), "{cut}: some, and no more than needed");
    let log = testbed.fleet.nodes[0].log_text();
    assert!(!log.contains("the upstream may have crashed"), "this node ended the attempts");
    eventually("nothing is held", async || testbed.held().await == 0).await;
}

/// Slow callers and an upstream that does not read, together, would take up more than the buffer, or
/// a request that has run would be reported as one that has not.
#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_and_upstreams_together_stay_within_the_buffer() {
    let testbed = testbed(LARGE_BYTES).await;
    let (store, cancel) = (&testbed.store, testbed.cancel.clone());
    let unread = UnreadUpstream::start(&fleet::pool(0), "i-unread", store, cancel).await;
    let unread = unread.expect("an upstream");
    // Without the other upstream of its own failure domain, the node prefers the one that does not read.
    let near = testbed.upstreams.iter().find(|u| u.instance() == "i-shard-0-0");
    near.expect("an upstream of the pool").crash(true);
    eventually("the node uses the upstream that does not read", async || {
        let _ = testbed.send(&request("/search/x", "probe")).await;
        unread.connections() > 0
    })
    .await;
    let before = testbed.peak_kib();
    let body = Bytes::from(vec![1; LARGE_BODY_BYTES]);
    let with_body: Vec<CallerRequest> = (0..40)
        .map(|n| CallerRequest { body: body.clone(), ..request("/search/x", &format!("body-{n}")) })
        .collect();
    let with_body = join_all(with_body.iter().enumerate().map(async |(n, request)| {
        tokio::time::sleep(Duration::from_millis(50) * n as u32).await;
        (request.id.clone(), testbed.send(request).await)
    }));
    let others = async {
        let (mut slow, mut answers) = (Vec::new(), Vec::new());
        for n in 0..40 {
            slow.push(testbed.slow(&format!("slow-{n}")).await);
            answers.push(testbed.send(&request("/search/x", &format!("fast-{n}"))).await);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        answers
    };
    let (with_body, others) = tokio::join!(with_body, others);
    let served = others.iter().filter(|a| a.as_ref().is_ok_and(|a| a.status == 200)).count();
    assert!(served * 20 >= others.len() * 19, "{served} of {}: {others:?}", others.len());
    for (id, answer) in &with_body {
        let is_refused = answer.as_ref().is_ok_and(|a| a.status == 503);
        assert!(!is_refused || !testbed.has_run(id), "{id}: {answer:?}");
    }
    let grown = testbed.peak_kib() - before;
    assert!(grown <= OTHER_KIB, "{grown} KiB more");
    eventually("nothing is held", async || testbed.held().await == 0).await;
}
