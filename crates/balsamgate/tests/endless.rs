//! End-to-end tests of replies that never end, in their head or body.

mod fleet;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{Fleet, HOST, config, eventually, pool, upstreams};
use futures::future::join_all;
use platform_standin::{
    caller::{Answer, CONFIG_KEY, CallerRequest, Config, Connection, RequestError},
    endless::{Endless, EndlessUpstream},
    store::Store,
    unread::SlowCaller,
    upstream::Faults,
};
use tokio_util::sync::CancellationToken;

/// Pools of the search route, the first of which has an upstream with endless replies.
const POOLS: usize = 3;
/// Requests sent at the same time.
const REQUESTS: usize = 100;
/// `[limits] buffer` of the fixture, in KiB.
const BUFFER_KIB: u64 = 1_024;
/// Memory of one connection, in KiB: the largest head, and buffers of the same size.
const CONNECTION_KIB: u64 = 256;
/// Memory for the requests themselves and for the log, in KiB.
const OTHER_KIB: u64 = 16 * 1_024;

fn request(path: &str, id: &str) -> CallerRequest {
    CallerRequest {
        host: HOST.to_owned(),
        path: path.to_owned(),
        id: id.to_owned(),
        // Longer than the routes': the node's limits decide.
        timeout: Duration::from_secs(10),
        body: if path.starts_with("/once/") { Bytes::from("x") } else { Bytes::new() },
    }
}

/// Sends `path` on a new connection.
async fn send(fleet: &Fleet, path: &str, id: &str) -> Result<Answer, RequestError> {
    let request = request(path, id);
    Connection::connect(fleet.nodes[0].callers()).await?.send(&request).await
}

/// Largest memory that node 0 has had so far, in KiB.
fn peak_kib(fleet: &Fleet) -> u64 {
    let id = fleet.nodes[0].id().expect("the node runs");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("process status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("peak memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

async fn metric(fleet: &Fleet, name: &str) -> u64 {
    let address = (fleet.nodes[0].ip, 7105).into();
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: "/metrics".to_owned(),
        id: "m".to_owned(),
        timeout: Duration::from_secs(1),
        body: Bytes::new(),
    };
    let mut connection = Connection::connect(address).await.expect("a connection");
    let text = connection.send(&request).await.expect("metrics").body;
    let text = String::from_utf8_lossy(&text).into_owned();
    let values = text.lines().filter(|l| l.starts_with(name));
    values.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Checks that requests to an upstream with endless replies are answered, that its connections are
/// closed and counted, and that it takes up no more memory than the limits allow. Requests to
/// other upstreams are served meanwhile.
async fn check(kind: Endless) {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let _sound = upstreams(&store, POOLS, 2).await;
    let endless = {
        let start = |pool: String, name: &'static str| {
            let (store, cancel) = (store.clone(), cancel.clone());
            async move { EndlessUpstream::start(kind, &pool, name, &store, cancel).await }
        };
        [
            start(pool(0), "i-endless-0").await.expect("an upstream"),
            start("single".to_owned(), "i-endless-1").await.expect("an upstream"),
        ]
    };
    let mut fleet = Fleet::start(1, store.address());
    fleet.ready().await;
    let fleet = Arc::new(fleet);
    let before = peak_kib(&fleet);
    let requests = (0..REQUESTS).map(|n| {
        let fleet = fleet.clone();
        async move {
            let kind = if n % 2 == 0 { "once" } else { "search" };
            send(&fleet, &format!("/{kind}/{n}"), &format!("{kind}-{n}")).await
        }
    });
    let answers = join_all(requests).await;
    let outcomes: Vec<String> = answers
        .iter()
        .map(|a| a.as_ref().map_or_else(|e| format!("{e:?}"), |a| a.status.to_string()))
        .collect();
    assert!(endless.iter().any(|u| u.requests() > 0), "{kind:?}: no request got there");
    assert!(answers.iter().all(Result::is_ok), "{kind:?}: {outcomes:?}");
    let served = answers.iter().filter(|a| a.as_ref().is_ok_and(|a| a.status == 200)).count();
    assert!(served * 2 >= REQUESTS, "{kind:?}: {outcomes:?}");
    eventually("the connections of endless replies are closed", async || {
        endless.iter().all(|u| u.open() == 0)
    })
    .await;
    assert_eq!(metric(&fleet, "balsamgate_held_bytes").await, 0, "{kind:?}");
    // What is no reply from its first byte on is a failed attempt, not a reply that is cut.
    let is_cut = kind != Endless::Noise;
    let cut = metric(&fleet, "balsamgate_replies_cut_total").await;
    assert_eq!(cut > 0, is_cut, "{kind:?}: {cut} counted");
    let sent: usize = endless.iter().map(EndlessUpstream::requests).sum();
    let limit = BUFFER_KIB + CONNECTION_KIB * sent.min(REQUESTS) as u64 + OTHER_KIB;
    let grown = peak_kib(&fleet) - before;
    assert!(grown <= limit, "{kind:?}: {grown} KiB more, {sent} replies, at most {limit}");
    cancel.cancel();
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_are_cut() {
    for kind in [Endless::Field, Endless::Fields, Endless::Interim, Endless::Noise] {
        check(kind).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_are_cut() {
    for kind in [Endless::Chunks, Endless::Body, Endless::Trickle, Endless::Extension] {
        check(kind).await;
    }
    for kind in [Endless::Trailers, Endless::SlowField, Endless::SlowChunks] {
        check(kind).await;
    }
}

/// Guards against bodies without end that take the room of answers which callers are reading.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_cost_no_caller_the_answer_that_it_reads_slowly() {
    /// More than the buffers of its connection take up, and less than half of the node's buffer.
    const ANSWER_BYTES: usize = 400_000;
    for kind in [Endless::Chunks, Endless::Body, Endless::SlowChunks] {
        let cancel = CancellationToken::new();
        let store = Store::start(cancel.clone()).await.expect("a store");
        store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
        let sound = upstreams(&store, POOLS, 2).await;
        for upstream in sound.iter().filter(|u| u.pool() == "single") {
            upstream.set_faults(Faults { padding: ANSWER_BYTES, ..Faults::default() });
        }
        let endless_pool = pool(0);
        let endless =
            EndlessUpstream::start(kind, &endless_pool, "i-endless", &store, cancel.clone());
        let endless = endless.await.expect("an upstream");
        let mut fleet = Fleet::start(1, store.address());
        fleet.ready().await;
        let fleet = Arc::new(fleet);
        let mut reader =
            SlowCaller::send(fleet.nodes[0].callers(), &request("/once/large", "reader"))
                .await
                .expect("the request is sent");
        let reading =
            tokio::spawn(
                async move { reader.read_slowly(4 << 10, Duration::from_millis(25)).await },
            );
        eventually("the answer waits for its caller", async || {
            metric(&fleet, "balsamgate_held_bytes").await as usize >= ANSWER_BYTES
        })
        .await;
        let searches = (0..REQUESTS).map(|n| {
            let fleet = fleet.clone();
            async move { send(&fleet, &format!("/search/{n}"), &format!("search-{n}")).await }
        });
        let answers = join_all(searches).await;
        assert!(endless.requests() > 0, "{kind:?}: no request got there");
        let served = answers.iter().filter(|a| a.as_ref().is_ok_and(|a| a.status == 200)).count();
        assert_eq!(served, REQUESTS, "{kind:?}: a search is served without one pool");
        let read = reading.await.expect("no panic");
        assert!(read.as_ref().is_ok_and(|r| *r >= ANSWER_BYTES), "{kind:?}: {read:?}");
        assert_eq!(metric(&fleet, "balsamgate_slow_readers_total").await, 0, "{kind:?}");
        cancel.cancel();
    }
}

/// Guards against replies without end that take more memory than the smallest VM has.
#[tokio::test(flavor = "multi_thread")]
async fn many_endless_replies_at_once_leave_room_on_the_smallest_vm() {
    /// Memory of the smallest VM, in KiB, of which a node takes up 26 MB without such replies.
    const FREE_KIB: u64 = (112 - 26) * 1_024;
    /// An eighth of that memory, as the node sets it by default.
    const LIMITS: &str = "[limits]\nbuffer = 14680064\n";
    /// Upstreams that share the pool's requests, each of which accepts 64 connections.
    const UPSTREAMS: usize = 8;
    const MANY_REQUESTS: usize = 600;
    for kind in Endless::ALL {
        let cancel = CancellationToken::new();
        let store = Store::start(cancel.clone()).await.expect("a store");
        // Long enough for all requests to get there on a busy machine.
        let config = Config { once_timeout: Duration::from_secs(6), ..config(1, POOLS) };
        store.put(CONFIG_KEY, config.to_json().as_bytes());
        let mut endless = Vec::new();
        for n in 0..UPSTREAMS {
            let name = format!("i-endless-{n}");
            let started =
                EndlessUpstream::start(kind, "single", &name, &store, cancel.clone()).await;
            endless.push(started.expect("an upstream"));
        }
        let mut fleet = Fleet::start_relaying_with(&[1.0], store.address(), LIMITS);
        fleet.ready().await;
        let fleet = Arc::new(fleet);
        let before = peak_kib(&fleet);
        let requests = (0..MANY_REQUESTS).map(|n| {
            let fleet = fleet.clone();
            async move { send(&fleet, &format!("/once/{n}"), &format!("once-{n}")).await }
        });
        let answers = join_all(requests).await;
        assert!(answers.iter().all(Result::is_ok), "{kind:?}: a caller gets no answer");
        let sent: usize = endless.iter().map(EndlessUpstream::requests).sum();
        assert!(sent >= MANY_REQUESTS / 2, "{kind:?}: {sent} requests got there");
        eventually("the connections of endless replies are closed", async || {
            endless.iter().all(|u| u.open() == 0)
        })
        .await;
        let grown = peak_kib(&fleet) - before;
        println!("{kind:?}: {grown} KiB more, {sent} replies");
        assert!(grown <= FREE_KIB, "{kind:?}: {grown} KiB more, {sent} replies");
        cancel.cancel();
    }
}
