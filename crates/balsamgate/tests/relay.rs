//! The whole path on real processes: nodes, the platform's store, upstreams, callers.

mod fleet;

use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, HOST, config, eventually, upstreams};
use platform_standin::{
    caller::{self, Answer, CONFIG_KEY, CallerRequest, Connection, RequestError, TOP_K},
    store::{Mode, Store},
    upstream::{Faults, RECORD_BYTES, Run, Upstream, reply_records},
};
use tokio_util::sync::CancellationToken;

const POOLS: usize = 5;

struct Scene {
    store: Store,
    upstreams: Vec<Upstream>,
    fleet: Fleet,
    cancel: CancellationToken,
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

async fn scene(nodes: u8) -> Scene {
    scene_with(nodes, false).await
}

async fn scene_with(nodes: u8, unread: bool) -> Scene {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let upstreams = upstreams(&store, POOLS, 2).await;
    let fleet = Fleet::start_with(nodes, store.address(), unread);
    fleet.ready().await;
    Scene { store, upstreams, fleet, cancel }
}

fn ask(path: &str, id: &str) -> CallerRequest {
    CallerRequest {
        host: HOST.to_owned(),
        path: path.to_owned(),
        id: id.to_owned(),
        timeout: Duration::from_millis(1_500),
        body: Bytes::new(),
    }
}

impl Scene {
    async fn send(&self, node: usize, ask: &CallerRequest) -> Result<Answer, RequestError> {
        Connection::connect(self.fleet.nodes[node].callers()).await?.send(ask).await
    }

    async fn get(&self, node: usize, path: &str, id: &str) -> Answer {
        self.send(node, &ask(path, id)).await.expect("an answer")
    }

    fn runs_of(&self, id: &str) -> Vec<(String, Run)> {
        let of = |u: &Upstream| {
            let runs = u.runs().into_iter().filter(|r| r.request_id == id);
            runs.map(|r| (u.pool().to_owned(), r)).collect::<Vec<_>>()
        };
        self.upstreams.iter().flat_map(of).collect()
    }

    fn trouble(&self, pool: &str, trouble: &Faults) {
        self.upstreams
            .iter()
            .filter(|u| u.pool() == pool)
            .for_each(|u| u.set_faults(trouble.clone()));
    }
}

/// The greatest records of the replies with these signatures.
fn greatest(proofs: &[String]) -> Vec<u8> {
    let bodies: Vec<Bytes> = proofs.iter().map(|p| reply_records(p)).collect();
    let mut all: Vec<&[u8]> = bodies.iter().flat_map(|b| b.chunks(RECORD_BYTES)).collect();
    all.sort_unstable();
    all.into_iter().rev().take(TOP_K).flatten().copied().collect()
}

fn error(log: &str) -> Vec<&str> {
    log.lines().filter(|l| !l.starts_with('{') || l.contains("panicked")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_is_merged_from_one_reply_of_each_pool() {
    let scene = scene(2).await;
    let answer = scene.get(0, "/search/a?b=c", "q1").await;
    assert_eq!((answer.status, answer.missing, answer.merged_signatures.len()), (200, 0, POOLS));
    assert_eq!(answer.body, greatest(&answer.merged_signatures));
    let runs = scene.runs_of("q1");
    for (_, run) in &runs {
        assert_eq!(run.message, ("GET".into(), "/search/a?b=c".into(), Bytes::new()));
    }
    let mut pools: Vec<&str> = runs.iter().map(|(pool, _)| pool.as_str()).collect();
    pools.sort_unstable();
    pools.dedup();
    assert_eq!(pools.len(), POOLS);
    for node in &scene.fleet.nodes {
        assert_eq!(error(&node.log_text()), Vec::<&str>::new(), "the log is structured");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_one_upstream_is_relayed_whole_both_ways() {
    let scene = scene(1).await;
    let body = Bytes::from(vec![7; 100_000]);
    let answer = scene.send(0, &CallerRequest { body: body.clone(), ..ask("/once/x", "u1") }).await;
    let answer = answer.expect("an answer");
    let runs = scene.runs_of("u1");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].1.message, ("POST".into(), "/once/x".into(), body));
    assert_eq!(answer.signature.as_ref(), Some(&runs[0].1.signature));
    assert_eq!(answer.body, reply_records(&runs[0].1.signature));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_an_upstream_does_wrong_is_never_passed_on_as_an_answer() {
    let scene = scene(1).await;
    let troubles = [
        Faults { truncates_replies: true, ..Faults::default() },
        Faults { drops_connection: true, ..Faults::default() },
        Faults { never_replies: true, ..Faults::default() },
    ];
    for (n, trouble) in troubles.iter().enumerate() {
        scene.trouble("shard-0", trouble);
        scene.trouble("single", trouble);
        let answer = scene.get(0, "/search/x", &format!("s{n}")).await;
        assert_eq!((answer.status, answer.missing), (200, 1), "{trouble:?}");
        assert_eq!(answer.body, greatest(&answer.merged_signatures));
        let id = format!("o{n}");
        let once = CallerRequest { body: Bytes::from("x"), ..ask("/once/x", &id) };
        match scene.send(0, &once).await {
            Ok(answer) => assert!([502, 504].contains(&answer.status), "{trouble:?} {answer:?}"),
            Err(failure) => assert_eq!(failure, RequestError::TimedOut),
        }
        assert_eq!(scene.runs_of(&id).len(), 1, "{trouble:?}: it ran once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_refused_everywhere_is_told_not_to_have_run_and_when_to_come_back() {
    let scene = scene(1).await;
    scene.trouble("single", &Faults { refuses: true, ..Faults::default() });
    let answer =
        scene.send(0, &CallerRequest { body: Bytes::from("x"), ..ask("/once/x", "r1") }).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(scene.runs_of("r1"), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstreams_failure_is_told_with_its_signature() {
    let scene = scene(1).await;
    scene.trouble("single", &Faults { replies_500: true, ..Faults::default() });
    let answer =
        scene.send(0, &CallerRequest { body: Bytes::from("x"), ..ask("/once/x", "f1") }).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 500);
    assert_eq!(answer.signature, Some(scene.runs_of("f1")[0].1.signature.clone()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_upstreams_is_refused_at_every_node() {
    let scene = scene(2).await;
    let crash = Faults { crashes_on_path: Some("poison".into()), ..Faults::default() };
    scene.trouble("single", &crash);
    // Two upstreams: without suspicion each arrival would take one down.
    let first =
        scene.send(0, &CallerRequest { body: Bytes::from("x"), ..ask("/once/poison", "p1") }).await;
    assert_eq!(first.expect("an answer").status, 502);
    let second =
        scene.send(1, &CallerRequest { body: Bytes::from("x"), ..ask("/once/poison", "p2") }).await;
    assert_eq!(second.expect("an answer").status, 502);
    for node in 0..2 {
        eventually("each node refuses it", async || {
            let again = CallerRequest { body: Bytes::from("x"), ..ask("/once/poison", "p3") };
            scene.send(node, &again).await.is_ok_and(|a| a.status == 503)
        })
        .await;
    }
    assert_eq!(scene.runs_of("p3"), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_takes_its_work_with_it() {
    let scene = scene(1).await;
    let slow = Faults { extra_latency: Duration::from_secs(30), ..Faults::default() };
    (0..POOLS).for_each(|n| scene.trouble(&fleet::pool(n), &slow));
    let address = scene.fleet.nodes[0].callers();
    let mut link = Connection::connect(address).await.expect("a connection");
    let short = CallerRequest { timeout: Duration::from_millis(150), ..ask("/search/x", "left") };
    // The caller's own time is shorter than what it tells.
    let told = CallerRequest { timeout: Duration::from_millis(1_500), ..short };
    let sent = tokio::time::timeout(Duration::from_millis(100), link.send(&told)).await;
    assert!(sent.is_err());
    assert!(scene.upstreams.iter().any(|u| u.running_requests() > 0));
    drop(link);
    eventually("nobody works for it", async || {
        scene.upstreams.iter().all(|u| u.running_requests() == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_reaches_nodes_that_the_platform_turns_away() {
    let scene = scene(3).await;
    let other = Store::start(scene.cancel.clone()).await.expect("a store");
    other.set_mode(Mode::Busy);
    // One node more, whose platform answers nobody: it has the others only.
    let lonely = Fleet::start(1, other.address());
    drop(lonely);
    scene.store.put(CONFIG_KEY, config(5, POOLS).to_json().as_bytes());
    for node in 0..3 {
        eventually("the new route is served", async || {
            scene.get(node, "/mark-5/x", "m1").await.status == 200
        })
        .await;
        assert_eq!(scene.get(node, "/mark-1/x", "m2").await.status, 404);
    }
    scene.store.set_mode(Mode::Busy);
    assert_eq!(scene.get(0, "/search/x", "q").await.status, 200, "the platform is not asked");
    scene.store.compact();
    scene.store.put(CONFIG_KEY, config(9, POOLS).to_json().as_bytes());
    scene.store.set_mode(Mode::Up);
    eventually("the newest is read after the history was dropped", async || {
        scene.get(1, "/mark-9/x", "m3").await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_without_the_platform_learns_from_its_peers() {
    let mut scene = scene(3).await;
    scene.fleet.nodes[2].kill();
    scene.store.set_mode(Mode::Silent);
    scene.fleet.nodes[2].start();
    let ready = scene.fleet.nodes[2].ready();
    eventually("it is ready", async || caller::is_ready(ready).await).await;
    let answer = scene.get(2, "/search/x", "q").await;
    assert_eq!((answer.status, answer.missing), (200, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_leaves_gets_no_work_after_its_drain_time() {
    let scene = scene(2).await;
    let leaving = scene.upstreams.iter().find(|u| u.pool() == "shard-0").expect("one").clone();
    leaving.start_drain(fleet::DRAIN);
    let begun = std::time::Instant::now();
    let mut n = 0;
    while begun.elapsed() < fleet::DRAIN + Duration::from_millis(500) {
        n += 1;
        let answer = scene.get(n % 2, "/search/x", &format!("d{n}")).await;
        assert_eq!((answer.status, answer.missing), (200, 0));
    }
    assert_eq!(leaving.requests_after_drain(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_beyond_the_bound_are_refused_not_run_and_hold_up_nobody() {
    let scene = scene(1).await;
    scene.trouble(
        "single",
        &Faults { extra_latency: Duration::from_millis(400), ..Faults::default() },
    );
    let body = Bytes::from(vec![1; 200_000]);
    let asks: Vec<CallerRequest> = (0..8)
        .map(|n| CallerRequest { body: body.clone(), ..ask("/once/big", &format!("big-{n}")) })
        .collect();
    let sent = futures::future::join_all(asks.iter().map(|ask| scene.send(0, ask)));
    let small = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        scene.get(0, "/search/x", "small").await.status
    };
    let (answers, small) = tokio::join!(sent, small);
    assert_eq!(small, 200);
    // The bound of the nodes here is 1 MiB: five of these.
    let refused = answers.iter().filter(|a| a.as_ref().is_ok_and(|a| a.status == 503)).count();
    assert_eq!(refused, 3, "{answers:?}");
    for (ask, answer) in asks.iter().zip(&answers) {
        let refused = answer.as_ref().is_ok_and(|a| a.status == 503);
        assert_eq!(scene.runs_of(&ask.id).is_empty(), refused, "{}", ask.id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_delays_no_request() {
    let scene = scene_with(1, true).await;
    // A pipe holds 64 KiB; a search writes 300 bytes and more.
    for n in 0..1_000 {
        let answer = scene.get(0, "/search/x", &format!("unread-{n}")).await;
        assert_eq!((answer.status, answer.missing), (200, 0), "search {n}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_stays_within_its_rate_and_counts_what_it_leaves_out() {
    const RATE: usize = 20;
    const BURSTS: usize = 3;
    const BURST: usize = 100;
    let scene = scene(1).await;
    scene.store.set_mode(Mode::Silent);
    for burst in 0..BURSTS {
        let asks: Vec<CallerRequest> =
            (0..BURST).map(|n| ask("/search/x", &format!("load-{burst}-{n}"))).collect();
        let searches = asks.iter().map(|ask| scene.send(0, ask));
        let answers = futures::future::join_all(searches).await;
        assert!(answers.iter().all(|a| a.as_ref().is_ok_and(|a| a.status == 200)), "{answers:?}");
        tokio::time::sleep(Duration::from_millis(1_100)).await;
    }
    // Counts are written with the next line of the second after.
    scene.get(0, "/search/x", "last").await;
    let told = async || {
        let log = scene.fleet.nodes[0].log_text();
        let answered = log.lines().filter(|l| l.contains("request answered")).count();
        let left_out = log.lines().filter_map(|l| left_out(l, &["answered", "partial"]));
        (answered, left_out.sum::<usize>())
    };
    eventually("all answers are told or counted", async || {
        let (answered, left_out) = told().await;
        answered + left_out == BURSTS * BURST + 1
    })
    .await;
    let (answered, _) = told().await;
    // Whole and partial answers have a bound each; a burst may meet two seconds.
    assert!(answered <= 2 * 2 * RATE * BURSTS + 1, "{answered} lines");
}

/// The count of a line on lines of these `kinds` that were left out.
fn left_out(line: &str, kinds: &[&str]) -> Option<usize> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let kind = line.get("kind")?.as_str()?;
    kinds.contains(&kind).then(|| line.get("left_out")?.as_u64()).flatten().map(|n| n as usize)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request_and_is_not_named_meanwhile() {
    let mut scene = scene(3).await;
    let address = scene.fleet.nodes[1].callers();
    let mut link = Connection::connect(address).await.expect("a connection");
    assert_eq!(link.send(&ask("/search/x", "before")).await.expect("an answer").status, 200);
    scene.fleet.nodes[1].signal("-TERM");
    let directory = scene.fleet.nodes[0].directory();
    eventually("it is no longer named", async || {
        let named = caller::lookup_nodes(directory, "b").await;
        named.is_some_and(|(addresses, _)| !addresses.contains(&address))
    })
    .await;
    // Callers that hold an older answer are still served, and told to go.
    let answer = link.send(&ask("/search/x", "during")).await.expect("an answer");
    assert!(answer.status == 200 && answer.closes_connection, "{answer:?}");
    let new = scene.send(1, &ask("/search/x", "new")).await.expect("an answer");
    assert_eq!(new.status, 200);
    let code = scene.fleet.nodes[1].ended(fleet::GRACE).await;
    assert_eq!(code, Some(0), "it ends by itself within its time");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_and_the_metrics_tell_why_a_request_failed() {
    let scene = scene(1).await;
    scene.trouble("shard-1", &Faults { refuses: true, ..Faults::default() });
    let answer = scene.get(0, "/search/x", "why-partial").await;
    assert_eq!((answer.status, answer.missing), (200, 1));
    let of = |id: &str| {
        let text = scene.fleet.nodes[0].log_text();
        let lines = text.lines().filter(|l| l.contains(id)).map(str::to_owned);
        lines.collect::<Vec<String>>()
    };
    eventually("the end is in the log", async || {
        of("why-partial").iter().any(|l| l.contains("\"outcome\":\"partial\""))
    })
    .await;
    let lines = of("why-partial");
    let end = lines.iter().find(|l| l.contains("\"outcome\"")).expect("an end");
    for part in
        ["\"missing\":\"shard-1(i-shard-1-", "\"generation\":\"1\"", "\"revision\"", "word_age_ms"]
    {
        assert!(end.contains(part), "{part} in {end}");
    }
    assert!(lines.iter().any(|l| l.contains("\"end\":\"refused\"")), "{lines:?}");
    let ip = scene.fleet.nodes[0].ip;
    let metrics = Connection::connect((ip, 7105).into()).await.expect("a connection");
    let text = { metrics }.send(&ask("/metrics", "m")).await.expect("metrics").body;
    let text = String::from_utf8_lossy(&text).into_owned();
    for part in ["balsamgate_requests_total{outcome=\"partial\"", "balsamgate_generation 1"] {
        assert!(text.contains(part), "{part} in {text}");
    }
}
