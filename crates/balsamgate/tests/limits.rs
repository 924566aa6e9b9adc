//! End-to-end tests of limits that upstreams state on the requests from all nodes together.

mod fleet;
#[path = "fleet/limit_check.rs"]
mod limit_check;

use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{Fleet, HOST, config, eventually, upstreams};
use futures::future::join_all;
use limit_check::WINDOW;
use platform_standin::{
    caller::{Answer, CONFIG_KEY, CallerRequest, Connection},
    store::Store,
    upstream::{Faults, Upstream},
};
use tokio_util::sync::CancellationToken;

const POOLS: usize = 3;
const UPSTREAMS: usize = 2;
const NODES: u8 = 4;
/// Stated limit, in requests per second.
const LIMIT: f64 = 5.0;
/// Pauses between the requests to each node: callers are spread unevenly.
const PAUSES_MS: [u64; NODES as usize] = [10, 20, 40, 160];

struct Testbed {
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
    async fn start() -> Testbed {
        let cancel = CancellationToken::new();
        let store = Store::start(cancel.clone()).await.expect("a store");
        store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
        let upstreams = upstreams(&store, POOLS, UPSTREAMS).await;
        let mut fleet = Fleet::start(NODES, store.address());
        fleet.ready().await;
        Testbed { upstreams, fleet, cancel }
    }

    fn of_pool(&self, pool: &str) -> Vec<Upstream> {
        self.upstreams.iter().filter(|u| u.pool() == pool).cloned().collect()
    }

    /// Sends requests to `path` at all nodes for `time`. Returns the answers.
    async fn send_for(&self, path: &str, time: Duration) -> Vec<Answer> {
        let end = Instant::now() + time;
        let nodes = self.fleet.nodes.iter().zip(PAUSES_MS);
        let callers = nodes.map(|(node, pause)| send_until(node.callers(), path, pause, end));
        join_all(callers).await.into_iter().flatten().collect()
    }
}

async fn send_until(
    node: std::net::SocketAddr,
    path: &str,
    pause_ms: u64,
    end: Instant,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    while Instant::now() < end {
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: path.to_owned(),
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

fn state_limit(upstreams: &[Upstream], limit: Option<f64>) {
    for upstream in upstreams {
        let limit = limit.map(|l| l.to_string());
        upstream.set_faults(Faults { limit, ..Faults::default() });
    }
}

/// Upstreams that state a limit, `limited` of the pool.
async fn check(path: &str, pool: &str, limited: usize) {
    let testbed = Testbed::start().await;
    testbed.send_for(path, Duration::from_millis(500)).await;
    let limited = &testbed.of_pool(pool)[..limited];
    state_limit(limited, Some(LIMIT));
    let answers = testbed.send_for(path, WINDOW * 5 / 2).await;
    for upstream in limited {
        // Stricter than the bound: nodes that have not been told count, too.
        let arrivals = upstream.arrivals().into_iter().map(|a| limit_check::Arrival {
            at: a.at,
            limit: a.limit,
            node: None,
            is_excused: false,
        });
        let checked = limit_check::check(&arrivals.collect::<Vec<_>>());
        assert_eq!(checked, Ok(()), "{path}: {}", upstream.instance());
    }
    if limited.len() < UPSTREAMS {
        assert!(answers.iter().all(|a| a.status == 200), "{path}: the others have room");
    } else {
        let refused = answers.iter().filter(|a| a.status == 503);
        let refused: Vec<Option<Duration>> = refused.map(|a| a.retry_after).collect();
        let served = answers.iter().filter(|a| a.status == 200).count();
        assert_eq!(served + refused.len(), answers.len(), "{path}: served, or refused at once");
        assert!(refused.iter().all(Option::is_some), "{path}: callers are told when to return");
        assert!(served > 0 && !refused.is_empty(), "{path}: {served} of {}", answers.len());
    }
    state_limit(limited, None);
    eventually("all requests are served again", async || {
        let answers = testbed.send_for(path, Duration::from_millis(500)).await;
        answers.iter().all(|a| a.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_gets_no_more_requests_than_it_takes_from_all_nodes() {
    check("/mark-1/x", "single", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_gets_no_more_searches_than_it_takes_from_all_nodes() {
    check("/search/x", "shard-1", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_limits_of_a_whole_pool_are_refused_at_once() {
    check("/mark-1/x", "single", UPSTREAMS).await;
}
