//! End-to-end tests of `balsamgate relay`: nodes run as processes, with callers, upstreams and the
//! platform's store around them.

mod fleet;

use std::{collections::HashSet, time::Duration};

use bytes::Bytes;
use fleet::{Fleet, HOST, config, eventually, upstreams};
use platform_standin::{
    caller::{self, Answer, CONFIG_KEY, CallerRequest, Connection, RequestError, TOP_K},
    store::{Mode, Store},
    upstream::{Crash, Faults, RECORD_BYTES, Run, Upstream, reply_records},
};
use tokio_util::sync::CancellationToken;

/// Pools of the search route.
const POOLS: usize = 5;

/// Running nodes with their store and upstreams.
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

/// Starts `nodes` nodes, a store, and two upstreams for each pool.
async fn testbed(nodes: u8) -> Testbed {
    testbed_with(nodes, false).await
}

/// Like [`testbed`]. With `unread_stdout`, nobody reads what the nodes log.
async fn testbed_with(nodes: u8, unread_stdout: bool) -> Testbed {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let upstreams = upstreams(&store, POOLS, 2).await;
    let mut fleet = Fleet::start_with(nodes, store.address(), unread_stdout);
    fleet.ready().await;
    Testbed { store, upstreams, fleet, cancel }
}

fn request(path: &str, id: &str) -> CallerRequest {
    CallerRequest {
        host: HOST.to_owned(),
        path: path.to_owned(),
        id: id.to_owned(),
        timeout: Duration::from_millis(1_500),
        body: Bytes::new(),
    }
}

impl Testbed {
    async fn send(&self, node: usize, request: &CallerRequest) -> Result<Answer, RequestError> {
        Connection::connect(self.fleet.nodes[node].callers()).await?.send(request).await
    }

    async fn get(&self, node: usize, path: &str, id: &str) -> Answer {
        self.send(node, &request(path, id)).await.expect("an answer")
    }

    /// Sends `count` searches at once, all of which must be answered.
    async fn send_burst(&self, count: usize, id: &str) {
        let requests: Vec<CallerRequest> =
            (0..count).map(|n| request("/search/x", &format!("{id}-{n}"))).collect();
        let searches = requests.iter().map(|request| self.send(0, request));
        let answers = futures::future::join_all(searches).await;
        assert!(answers.iter().all(|a| a.as_ref().is_ok_and(|a| a.status == 200)), "{answers:?}");
    }

    /// Runs of the request `id` at all upstreams, with the pool of each.
    fn runs_of(&self, id: &str) -> Vec<(String, Run)> {
        let at_upstream = |u: &Upstream| {
            let runs = u.runs().into_iter().filter(|r| r.request_id == id);
            runs.map(|r| (u.pool().to_owned(), r)).collect::<Vec<_>>()
        };
        self.upstreams.iter().flat_map(at_upstream).collect()
    }

    /// Sets `faults` at all upstreams of `pool`.
    fn set_faults(&self, pool: &str, faults: &Faults) {
        self.upstreams
            .iter()
            .filter(|u| u.pool() == pool)
            .for_each(|u| u.set_faults(faults.clone()));
    }
}

/// Expected body of a search: the [`TOP_K`] greatest records of the replies with these signatures.
fn merged_records(signatures: &[String]) -> Vec<u8> {
    let bodies: Vec<Bytes> = signatures.iter().map(|s| reply_records(s)).collect();
    let mut all: Vec<&[u8]> = bodies.iter().flat_map(|b| b.chunks(RECORD_BYTES)).collect();
    all.sort_unstable();
    all.into_iter().rev().take(TOP_K).flatten().copied().collect()
}

/// Lines that are not structured, or that report a panic.
fn error_lines(log: &str) -> Vec<&str> {
    log.lines().filter(|l| !l.starts_with('{') || l.contains("panicked")).collect()
}

/// A reply merged twice or a pool left out would give a wrong result with status 200.
#[tokio::test(flavor = "multi_thread")]
async fn a_search_is_merged_from_one_reply_of_each_pool() {
    let testbed = testbed(2).await;
    let answer = testbed.get(0, "/search/a?b=c", "q1").await;
    assert_eq!((answer.status, answer.missing, answer.merged_signatures.len()), (200, 0, POOLS));
    assert_eq!(answer.body, merged_records(&answer.merged_signatures));
    let runs = testbed.runs_of("q1");
    for (_, run) in &runs {
        assert_eq!(run.message, ("GET".into(), "/search/a?b=c".into(), Bytes::new()));
    }
    let mut pools: Vec<&str> = runs.iter().map(|(pool, _)| pool.as_str()).collect();
    pools.sort_unstable();
    pools.dedup();
    assert_eq!(pools.len(), POOLS);
    for node in &testbed.fleet.nodes {
        assert_eq!(
            error_lines(&node.log_text()),
            Vec::<&str>::new(),
            "the log has JSON lines only and no panic"
        );
    }
}

/// Method, path, query and body must reach the upstream unchanged, and its reply the caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_one_upstream_is_relayed_unchanged_both_ways() {
    let testbed = testbed(1).await;
    let body = Bytes::from(vec![7; 100_000]);
    let answer =
        testbed.send(0, &CallerRequest { body: body.clone(), ..request("/once/x", "u1") }).await;
    let answer = answer.expect("an answer");
    let runs = testbed.runs_of("u1");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].1.message, ("POST".into(), "/once/x".into(), body));
    assert_eq!(answer.signature.as_ref(), Some(&runs[0].1.signature));
    assert_eq!(answer.body, reply_records(&runs[0].1.signature));
}

/// Upstreams truncate replies, close connections without a reply, or never reply. None of this may
/// reach a caller as a valid answer, nor cause a second run of a non-idempotent request.
#[tokio::test(flavor = "multi_thread")]
async fn faults_of_an_upstream_are_never_answered_as_success() {
    let testbed = testbed(1).await;
    let fault_cases = [
        Faults { truncates_replies: true, ..Faults::default() },
        Faults { drops_connection: true, ..Faults::default() },
        Faults { never_replies: true, ..Faults::default() },
    ];
    for (n, faults) in fault_cases.iter().enumerate() {
        testbed.set_faults("shard-0", faults);
        testbed.set_faults("single", faults);
        let answer = testbed.get(0, "/search/x", &format!("s{n}")).await;
        assert_eq!((answer.status, answer.missing), (200, 1), "{faults:?}");
        assert_eq!(answer.body, merged_records(&answer.merged_signatures));
        let id = format!("o{n}");
        let once = CallerRequest { body: Bytes::from("x"), ..request("/once/x", &id) };
        match testbed.send(0, &once).await {
            Ok(answer) => assert!([502, 504].contains(&answer.status), "{faults:?} {answer:?}"),
            Err(failure) => assert_eq!(failure, RequestError::TimedOut),
        }
        assert_eq!(testbed.runs_of(&id).len(), 1, "{faults:?}: the request must run exactly once");
    }
}

/// All upstreams of the pool shed the request. The caller gets "not run" and a time to retry after.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_by_all_upstreams_is_answered_not_run_with_retry_after() {
    let testbed = testbed(1).await;
    testbed.set_faults("single", &Faults { refuses: true, ..Faults::default() });
    let answer = testbed
        .send(0, &CallerRequest { body: Bytes::from("x"), ..request("/once/x", "r1") })
        .await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(testbed.runs_of("r1"), []);
}

/// A failure that the upstream itself replies with must be distinguishable from one of the node: it
/// is relayed with the upstream's signature.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_reply_of_an_upstream_is_relayed_with_its_signature() {
    let testbed = testbed(1).await;
    testbed.set_faults("single", &Faults { replies_500: true, ..Faults::default() });
    let answer = testbed
        .send(0, &CallerRequest { body: Bytes::from("x"), ..request("/once/x", "f1") })
        .await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 500);
    assert_eq!(answer.signature, Some(testbed.runs_of("f1")[0].1.signature.clone()));
}

/// A request that crashes its upstream would take down one upstream on each arrival. After two
/// crashes, at different nodes, every node must refuse it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_upstreams_is_refused_at_every_node() {
    let testbed = testbed(2).await;
    let crashes = vec![Crash { path: "poison".into(), delay: Duration::ZERO, silent: false }];
    let crash = Faults { crashes, ..Faults::default() };
    testbed.set_faults("single", &crash);
    // The pool has two upstreams; each of the two arrivals crashes one.
    let first = testbed
        .send(0, &CallerRequest { body: Bytes::from("x"), ..request("/once/poison", "p1") })
        .await;
    assert_eq!(first.expect("an answer").status, 502);
    let second = testbed
        .send(1, &CallerRequest { body: Bytes::from("x"), ..request("/once/poison", "p2") })
        .await;
    assert_eq!(second.expect("an answer").status, 502);
    for node in 0..2 {
        eventually("each node refuses the request", async || {
            let again = CallerRequest { body: Bytes::from("x"), ..request("/once/poison", "p3") };
            testbed.send(node, &again).await.is_ok_and(|a| a.status == 503)
        })
        .await;
    }
    assert_eq!(testbed.runs_of("p3"), []);
}

/// Attempts that outlive their caller's connection would occupy slots of upstreams for a reply that
/// is never read.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_its_attempts() {
    let testbed = testbed(1).await;
    let slow = Faults { extra_latency: Duration::from_secs(30), ..Faults::default() };
    (0..POOLS).for_each(|n| testbed.set_faults(&fleet::pool(n), &slow));
    let address = testbed.fleet.nodes[0].callers();
    let mut connection = Connection::connect(address).await.expect("a connection");
    let short =
        CallerRequest { timeout: Duration::from_millis(150), ..request("/search/x", "left") };
    // The caller gives up earlier than the timeout that it sends.
    let early = CallerRequest { timeout: Duration::from_millis(1_500), ..short };
    tokio::select! {
        biased;
        answer = connection.send(&early) => panic!("the caller leaves before {answer:?}"),
        () = eventually("an upstream runs the request", async || {
            testbed.upstreams.iter().any(|u| u.running_requests() > 0)
        }) => {}
    }
    drop(connection);
    eventually("no upstream runs the request", async || {
        testbed.upstreams.iter().all(|u| u.running_requests() == 0)
    })
    .await;
}

/// A new configuration must reach all nodes, also after the store refused calls and compacted its
/// history, so that nodes cannot follow the changes and must read the newest state. Requests are
/// served while the store refuses calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_reaches_nodes_after_the_store_refused_calls() {
    let testbed = testbed(3).await;
    let other = Store::start(testbed.cancel.clone()).await.expect("a store");
    other.set_mode(Mode::Busy);
    // Another node, whose store refuses all calls, starts and is killed at once.
    let isolated = Fleet::start(1, other.address());
    drop(isolated);
    testbed.store.put(CONFIG_KEY, config(5, POOLS).to_json().as_bytes());
    for node in 0..3 {
        eventually("the route of the new configuration is served", async || {
            testbed.get(node, "/mark-5/x", "m1").await.status == 200
        })
        .await;
        assert_eq!(testbed.get(node, "/mark-1/x", "m2").await.status, 404);
    }
    testbed.store.set_mode(Mode::Busy);
    assert_eq!(
        testbed.get(0, "/search/x", "q").await.status,
        200,
        "serving needs no answer of the store"
    );
    testbed.store.compact();
    testbed.store.put(CONFIG_KEY, config(9, POOLS).to_json().as_bytes());
    testbed.store.set_mode(Mode::Up);
    eventually("the newest configuration is read after the history was compacted", async || {
        testbed.get(1, "/mark-9/x", "m3").await.status == 200
    })
    .await;
}

/// A node that restarts during an outage of the store has no configuration or upstreams of its own
/// and must get them from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_without_the_store_gets_its_state_from_peers() {
    let mut testbed = testbed(3).await;
    testbed.fleet.nodes[2].kill();
    testbed.store.set_mode(Mode::Silent);
    testbed.fleet.nodes[2].start();
    let ready = testbed.fleet.nodes[2].ready();
    eventually("the restarted node is ready", async || caller::is_ready(ready).await).await;
    let answer = testbed.get(2, "/search/x", "q").await;
    assert_eq!((answer.status, answer.missing), (200, 0));
}

/// An upstream announces that it leaves and may exit after its drain time; a request sent to it
/// later would fail.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_leaves_gets_no_requests_after_its_drain_time() {
    let testbed = testbed(2).await;
    let leaving = testbed
        .upstreams
        .iter()
        .find(|u| u.pool() == "shard-0")
        .expect("an upstream of shard-0")
        .clone();
    leaving.start_drain(fleet::DRAIN);
    let start = std::time::Instant::now();
    let mut n = 0;
    while start.elapsed() < fleet::DRAIN + Duration::from_millis(500) {
        n += 1;
        let answer = testbed.get(n % 2, "/search/x", &format!("d{n}")).await;
        assert_eq!((answer.status, answer.missing), (200, 0));
    }
    assert_eq!(leaving.requests_after_drain(), 0);
}

/// Slow upstreams make bodies pile up in memory. Requests over the limit on buffered bytes are
/// refused without running, and other requests are not blocked.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_beyond_the_buffer_limit_are_refused_and_block_no_other_request() {
    let testbed = testbed(1).await;
    testbed.set_faults(
        "single",
        &Faults { extra_latency: Duration::from_millis(400), ..Faults::default() },
    );
    let body = Bytes::from(vec![1; 200_000]);
    let requests: Vec<CallerRequest> = (0..8)
        .map(|n| CallerRequest { body: body.clone(), ..request("/once/big", &format!("big-{n}")) })
        .collect();
    let sent = futures::future::join_all(requests.iter().map(|request| testbed.send(0, request)));
    let small = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        testbed.get(0, "/search/x", "small").await.status
    };
    let (answers, small) = tokio::join!(sent, small);
    assert_eq!(small, 200);
    // The fixture sets the limit to 1 MiB, which is five of these bodies.
    let refused = answers.iter().filter(|a| a.as_ref().is_ok_and(|a| a.status == 503)).count();
    assert_eq!(refused, 3, "{answers:?}");
    for (request, answer) in requests.iter().zip(&answers) {
        let refused = answer.as_ref().is_ok_and(|a| a.status == 503);
        assert_eq!(testbed.runs_of(&request.id).is_empty(), refused, "{}", request.id);
    }
}

/// Nobody reads standard output, so that the pipe fills and writes to it block. Requests that wait
/// for the log would hang.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_delays_no_request() {
    let testbed = testbed_with(1, true).await;
    // A pipe buffers 64 KiB; a search logs at least 300 bytes.
    for n in 0..1_000 {
        let answer = testbed.get(0, "/search/x", &format!("unread-{n}")).await;
        assert_eq!((answer.status, answer.missing), (200, 0), "search {n}");
    }
}

/// Load must not fill the log: each kind of line has a rate limit, and lines over it are counted in
/// a summary line, so that no answer is missing from the log unnoticed.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_stays_within_its_rate_and_counts_dropped_lines() {
    /// Lines per second and kind, as in the fixture's settings.
    const RATE: usize = 20;
    const BURSTS: usize = 3;
    const BURST: usize = 100;
    let testbed = testbed(1).await;
    testbed.store.set_mode(Mode::Silent);
    for burst in 0..BURSTS {
        testbed.send_burst(BURST, &format!("load-{burst}")).await;
        tokio::time::sleep(Duration::from_millis(1_100)).await;
    }
    testbed.get(0, "/search/x", "last").await;
    eventually("all answers are logged or counted", async || {
        let (answered, left_out) = count_answers(&testbed.fleet.nodes[0].log_text());
        answered + left_out == BURSTS * BURST + 1
    })
    .await;
    let (answered, _) = count_answers(&testbed.fleet.nodes[0].log_text());
    // Complete and partial answers have a rate limit each, and a burst may span two seconds.
    assert!(answered <= 2 * 2 * RATE * BURSTS + 1, "{answered} lines");
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_lines_are_counted_although_no_request_follows() {
    let testbed = testbed(1).await;
    testbed.send_burst(100, "burst").await;
    eventually("all answers are logged or counted", async || {
        let (answered, left_out) = count_answers(&testbed.fleet.nodes[0].log_text());
        answered + left_out == 100
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_lines_are_counted_before_a_stop() {
    let mut testbed = testbed(1).await;
    testbed.send_burst(100, "burst").await;
    testbed.fleet.nodes[0].signal("-TERM");
    assert_eq!(testbed.fleet.nodes[0].wait_exit(fleet::GRACE).await, Some(0));
    let (answered, left_out) = count_answers(&testbed.fleet.nodes[0].log_text());
    assert_eq!(answered + left_out, 100);
}

/// Answers that `log` has lines on, and those whose lines it reports as dropped.
fn count_answers(log: &str) -> (usize, usize) {
    let answered = log.lines().filter(|l| l.contains("request answered")).count();
    let left_out = log.lines().filter_map(|l| left_out(l, &["answered", "partial"]));
    (answered, left_out.sum::<usize>())
}

/// Number of dropped lines that `line` reports, if it is the summary of one of `kinds`.
fn left_out(line: &str, kinds: &[&str]) -> Option<usize> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let kind = line.get("kind")?.as_str()?;
    kinds.contains(&kind).then(|| line.get("left_out")?.as_u64()).flatten().map(|n| n as usize)
}

/// A node that stops on SIGTERM is no longer given to callers, still serves callers that cached its
/// address, and exits within its grace period.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request_and_removes_the_node_from_address_answers() {
    let mut testbed = testbed(3).await;
    let address = testbed.fleet.nodes[1].callers();
    let mut connection = Connection::connect(address).await.expect("a connection");
    assert_eq!(
        connection.send(&request("/search/x", "before")).await.expect("an answer").status,
        200
    );
    testbed.fleet.nodes[1].signal("-TERM");
    let directory = testbed.fleet.nodes[0].directory();
    eventually("address answers no longer name the node", async || {
        let answer = caller::lookup_nodes(directory, "b").await;
        answer.is_some_and(|(addresses, _)| !addresses.contains(&address))
    })
    .await;
    // A caller with an older address answer is still served, and its connection is then closed.
    let answer = connection.send(&request("/search/x", "during")).await.expect("an answer");
    assert!(answer.status == 200 && answer.closes_connection, "{answer:?}");
    let new = testbed.send(1, &request("/search/x", "new")).await.expect("an answer");
    assert_eq!(new.status, 200);
    let code = testbed.fleet.nodes[1].wait_exit(fleet::GRACE).await;
    assert_eq!(code, Some(0), "the node exits by itself within its grace period");
}

/// The log lines of a partial answer must name the missing pool, the upstreams tried and the state
/// that the decision was based on; the metrics count the answer by its outcome.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_and_the_metrics_explain_a_partial_answer() {
    let testbed = testbed(1).await;
    testbed.set_faults("shard-1", &Faults { refuses: true, ..Faults::default() });
    let answer = testbed.get(0, "/search/x", "why-partial").await;
    assert_eq!((answer.status, answer.missing), (200, 1));
    let lines_with = |id: &str| {
        let text = testbed.fleet.nodes[0].log_text();
        let lines = text.lines().filter(|l| l.contains(id)).map(str::to_owned);
        lines.collect::<Vec<String>>()
    };
    eventually("the request's end is in the log", async || {
        lines_with("why-partial").iter().any(|l| l.contains("\"outcome\":\"partial\""))
    })
    .await;
    let lines = lines_with("why-partial");
    let end = lines.iter().find(|l| l.contains("\"outcome\"")).expect("a line with the outcome");
    for part in
        ["\"missing\":\"shard-1(i-shard-1-", "\"generation\":\"1\"", "\"revision\"", "word_age_ms"]
    {
        assert!(end.contains(part), "{part} not in {end}");
    }
    assert!(lines.iter().any(|l| l.contains("\"end\":\"refused\"")), "{lines:?}");
    let ip = testbed.fleet.nodes[0].ip;
    let metrics = Connection::connect((ip, 7105).into()).await.expect("a connection");
    let text = { metrics }.send(&request("/metrics", "m")).await.expect("metrics").body;
    let text = String::from_utf8_lossy(&text).into_owned();
    for part in ["balsamgate_requests_total{outcome=\"partial\"", "balsamgate_generation 1"] {
        assert!(text.contains(part), "{part} not in {text}");
    }
}

/// Lines that the writer drops must be counted, or a gap in the log looks like silence.
#[tokio::test(flavor = "multi_thread")]
async fn log_lines_that_the_writer_drops_are_counted() {
    /// More lines than the pipe and the writer's buffer hold.
    const SEARCHES: usize = 8_000;
    let testbed = testbed_with(1, true).await;
    let searches = (0..SEARCHES).map(|n| {
        let request = request("/search/x", &format!("unread-{n}"));
        let testbed = &testbed;
        async move { testbed.send(0, &request).await.is_ok() }
    });
    let answered = futures::StreamExt::buffer_unordered(futures::stream::iter(searches), 32);
    let answered: Vec<bool> = futures::StreamExt::collect(answered).await;
    assert_eq!(answered.len(), SEARCHES);
    let ip = testbed.fleet.nodes[0].ip;
    eventually("dropped lines are counted", async || {
        let Ok(mut metrics) = Connection::connect((ip, 7105).into()).await else { return false };
        let Ok(answer) = metrics.send(&request("/metrics", "m")).await else { return false };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let line = text.lines().find(|l| l.starts_with("balsamgate_log_dropped "));
        line.is_some_and(|l| !l.ends_with(" 0"))
    })
    .await;
}

/// A node that finds its address taken would leave its test to a node of another test.
#[test]
fn fleets_that_run_at_once_share_no_address() {
    let fleets: Vec<Fleet> = (0..20).map(|_| Fleet::start(1, ([127, 0, 0, 1], 1).into())).collect();
    let addresses: HashSet<_> = fleets.iter().map(|f| f.nodes[0].ip).collect();
    assert_eq!(addresses.len(), fleets.len());
}
