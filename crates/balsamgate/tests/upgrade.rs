//! Nodes that are replaced one after the other under traffic, by hand from an earlier program to this
//! one and back:
//!
//! `EARLIER_PROGRAM=path cargo test -p balsamgate --test upgrade -- --nocapture`
//!
//! Guards against nodes of two programs that do not understand each other, and against requests that
//! are lost, run twice, or sent to upstreams that drain meanwhile.

mod fleet;

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::hash::FastMap;
use bytes::Bytes;
use fleet::{DRAIN, Fleet, HOST, WAIT_LIMIT, config, eventually, spec, upstreams};
use parking_lot::Mutex;
use platform_standin::{
    caller::{CONFIG_KEY, CallerRequest, Connection, RequestError},
    store::Store,
    upstream::Upstream,
};
use tokio_util::sync::CancellationToken;

const NODES: usize = 4;
/// Pools of the search route: with their upstreams, a listing has two pages.
const POOLS: usize = 12;
const CALLERS: usize = 12;
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// The program that nodes run at first: that in `EARLIER_PROGRAM`, or this one.
fn earlier_program() -> PathBuf {
    std::env::var_os("EARLIER_PROGRAM").map_or_else(|| fleet::PROGRAM.into(), PathBuf::from)
}

fn request(path: &str, id: String) -> CallerRequest {
    let body = if path.starts_with("/once/") { Bytes::from("x") } else { Bytes::new() };
    CallerRequest { host: HOST.to_owned(), path: path.to_owned(), id, timeout: TIMEOUT, body }
}

/// What callers have seen.
#[derive(Debug, Default)]
struct Record {
    /// Nodes that callers choose from.
    open: Mutex<Vec<SocketAddr>>,
    sent: AtomicUsize,
    /// Requests that were not answered with success, with the outcome.
    failed: Mutex<Vec<(String, String)>>,
}

/// Sends requests on kept connections until `cancel`. A connection is used until the node closes it.
async fn call(number: usize, record: Arc<Record>, cancel: CancellationToken) {
    let mut connection: Option<Connection> = None;
    for n in 0.. {
        if cancel.is_cancelled() {
            return;
        }
        let id = format!("{number}-{n}");
        let path = if n % 3 == 0 { "/once/x" } else { "/search/x" };
        let request = request(path, id.clone());
        let current = match connection.take().filter(|c| !c.is_closed()) {
            Some(current) => Some(current),
            None => {
                let address = {
                    let open = record.open.lock();
                    open[rand::random_range(0..open.len())]
                };
                Connection::connect(address).await.ok()
            }
        };
        let Some(mut current) = current else { continue };
        let outcome = match current.send(&request).await {
            // The connection ended before the request was sent.
            Err(RequestError::Connect) => continue,
            Ok(answer) if answer.status == 200 && answer.missing == 0 => {
                connection = (!answer.closes_connection).then_some(current);
                None
            }
            Ok(answer) => Some(format!("{} {:?}", answer.status, answer.body)),
            Err(e) => Some(format!("{e:?}")),
        };
        record.sent.fetch_add(1, Ordering::Relaxed);
        if let Some(outcome) = outcome {
            record.failed.lock().push((id, outcome));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until each of `nodes` has put `generation` into force.
async fn assert_in_force(nodes: &[SocketAddr], generation: u64) {
    let path = format!("/mark-{generation}/x");
    for (n, node) in nodes.iter().enumerate() {
        eventually(&format!("generation {generation} at node {n}"), async || {
            let Ok(mut connection) = Connection::connect(*node).await else { return false };
            let answer = connection.send(&request(&path, format!("mark-{generation}"))).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_lost_while_nodes_of_two_programs_replace_each_other() {
    let cancel = CancellationToken::new();
    let _stop = cancel.clone().drop_guard();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    // Nodes that start see pages of different ages.
    store.set_page_ages(&[0, 1, 2]);
    let mut all = upstreams(&store, POOLS, 2).await;
    let earlier = earlier_program();
    let mut fleet =
        Fleet::start_program(earlier.clone(), NODES as u8, store.address(), "rate = 20", false);
    fleet.ready().await;
    let addresses: Vec<SocketAddr> = fleet.nodes.iter().map(fleet::Process::callers).collect();
    let record = Arc::new(Record::default());
    *record.open.lock() = addresses.clone();
    let callers: Vec<_> =
        (0..CALLERS).map(|n| tokio::spawn(call(n, record.clone(), cancel.clone()))).collect();
    // All to this program, one back to the earlier one, and that again to this one.
    let steps = [(0, true), (1, true), (2, true), (3, true), (1, false), (1, true)];
    let mut departed: Vec<(Upstream, usize)> = Vec::new();
    for (step, (n, is_current)) in steps.into_iter().enumerate() {
        record.open.lock().retain(|a| *a != addresses[n]);
        fleet.nodes[n].signal("-TERM");
        assert_eq!(fleet.nodes[n].wait_exit(WAIT_LIMIT).await, Some(0), "step {step}");
        fleet.nodes[n].set_program(if is_current {
            fleet::PROGRAM.into()
        } else {
            earlier.clone()
        });
        // Meanwhile an upstream is replaced and the configuration changes.
        let index = all.iter().position(|u| u.pool() == "single").expect("an upstream");
        let old = all.remove(index);
        let new = Upstream::start(spec("single", 10 + step), &store).await;
        all.push(new.expect("an upstream starts"));
        old.start_drain(DRAIN * 10);
        fleet.nodes[n].start();
        fleet.ready().await;
        let generation = 10 + step as u64;
        store.put(CONFIG_KEY, config(generation, POOLS).to_json().as_bytes());
        assert_in_force(&addresses, generation).await;
        *record.open.lock() = addresses.clone();
        tokio::time::sleep(DRAIN).await;
        let late = old.arrivals().len();
        departed.push((old, late));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    cancel.cancel();
    for caller in callers {
        caller.await.expect("no panic");
    }
    for (upstream, arrivals) in &departed {
        let late = upstream.arrivals().len() - arrivals;
        assert_eq!(late, 0, "{} drains", upstream.instance());
    }
    let mut runs: FastMap<String, usize> = FastMap::default();
    let once = all.iter().chain(departed.iter().map(|(u, _)| u)).filter(|u| u.pool() == "single");
    for run in once.flat_map(Upstream::runs) {
        *runs.entry(run.request_id).or_default() += 1;
    }
    runs.retain(|id, count| *count > 1 && !id.starts_with("mark-"));
    assert!(runs.is_empty(), "run more than once: {runs:?}");
    let (sent, failed) = (record.sent.load(Ordering::Relaxed), record.failed.lock());
    println!("{sent} requests, {} failed", failed.len());
    assert!(sent > 1_000, "{sent}");
    assert!(failed.is_empty(), "{} of {sent}: {failed:?}", failed.len());
    for node in &fleet.nodes {
        let log = node.log_text();
        assert!(!log.contains("failed to fetch platform changes"), "{log}");
    }
}
