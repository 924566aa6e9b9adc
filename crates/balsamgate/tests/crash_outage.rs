//! End-to-end tests of outages of all upstreams of a search. A search that crashes them comes again
//! while they are down, while they are slow after their restart, and later; popular searches that
//! were running when they were lost come again, too.
//!
//! Checked is the bound of `crash_soak` at nodes without a fault of their own. `OUTAGE_SEEDS=20`
//! runs that many random seeds, `OUTAGE_SEED=7` one seed, and `OUTAGE_QUOTA=40` lets each node run
//! for 40 ms of each 100 ms only.

mod fleet;

use std::{
    collections::{BTreeMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::{Fleet, HOST, config, pool, spec};
use parking_lot::Mutex;
use platform_standin::{
    caller::{Answer, CONFIG_KEY, CallerRequest, Connection},
    store::Store,
    upstream::{Crash, Faults, Upstream},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

/// Seeds of the default run. 2, 4 and 6 failed when losses without proof were forgotten.
const SEEDS: [u64; 3] = [2, 4, 6];
const NODES: usize = 8;
const POOLS: usize = 10;
/// Upstreams of each pool: three arrivals of the crashing search take all of them.
const UPSTREAMS: usize = 3;
const CALLERS: usize = 8;
/// Kinds of harmless requests: searches, and a few requests to another pool, which do not crash.
const HARMLESS_REFUSED: &str = "harmless requests refused as quarantined";
const BOTH: &[&str] = &["search", "search", "search", "search", "search", "search", "once"];
const SEARCHES: &[&str] = &["search"];
const CRASHING_PATH: &str = "/search/crash";
/// Number of searches, and of other requests, that come again and again.
const POPULAR: u64 = 4;
/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(20);
/// Time that upstreams need to start again after a crash.
const RESTART: Duration = Duration::from_millis(3_200);
/// Time for which the store lists an upstream that has crashed.
const LEASE: Duration = Duration::from_millis(3_000);
/// Time for which an upstream is slow after a restart, and the time that this adds to a request.
const COLD: (Duration, Duration) = (Duration::from_secs(4), Duration::from_millis(60));
/// Time from its third crash until the search must be refused everywhere.
const CONTACT: Duration = Duration::from_secs(4);
/// Arrivals of the crashing search within moments at the start.
const BURST: usize = 5;
const FREE_CRASHES: usize = 3;
const MAX_LATE_RETRIES: usize = 3;

#[derive(Debug)]
struct World {
    store: Store,
    /// Whether crashed upstreams fall silent.
    silent: bool,
    /// Kinds of the harmless requests.
    kinds: &'static [&'static str],
    /// All upstreams, also those that have ended.
    upstreams: Mutex<Vec<Upstream>>,
    fleet: tokio::sync::Mutex<Fleet>,
    next_id: AtomicU64,
    stop: AtomicBool,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl World {
    fn count(&self, name: &str) {
        *self.counts.lock().entry(name.to_owned()).or_default() += 1;
    }

    fn number(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    async fn start_upstream(self: &Arc<World>, spec: fleet::Spec, is_cold: bool) {
        // The address may still be in use.
        let Ok(upstream) = Upstream::start(spec, &self.store).await else { return };
        let delay = Duration::from_millis(50);
        let crashes = vec![Crash { path: CRASHING_PATH.to_owned(), delay, silent: self.silent }];
        let faults = Faults { crashes, stops_at_deadline: true, ..Faults::default() };
        let extra_latency = if is_cold { COLD.1 } else { Duration::ZERO };
        upstream.set_faults(Faults { extra_latency, ..faults.clone() });
        self.upstreams.lock().push(upstream.clone());
        if is_cold {
            tokio::spawn(async move {
                tokio::time::sleep(COLD.0).await;
                upstream.set_faults(faults);
            });
        }
    }

    /// Sends a request to `node`; returns the answer.
    async fn send(&self, node: usize, path: &str, id: &str) -> Option<Answer> {
        let address = self.fleet.lock().await.nodes[node].callers();
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: path.to_owned(),
            id: id.to_owned(),
            timeout: Duration::from_millis(800),
            body: if path.starts_with("/once/") { Bytes::from("x") } else { Bytes::new() },
        };
        let mut connection = Connection::connect(address).await.ok()?;
        connection.send(&request).await.ok()
    }

    /// Times of the crashes by the crashing search, the first one first.
    fn crashes(&self) -> Vec<Instant> {
        let upstreams = self.upstreams.lock();
        let mut crashes: Vec<Instant> =
            upstreams.iter().filter_map(|u| u.crashed().map(|(at, _)| at)).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Returns the ids of the retries that reached upstreams after the bound, with their times
    /// since the first crash.
    fn late_retries(&self) -> BTreeMap<String, Duration> {
        let crashes = self.crashes();
        let Some(third) = crashes.get(FREE_CRASHES - 1) else { return BTreeMap::new() };
        let upstreams = self.upstreams.lock();
        let runs = upstreams.iter().flat_map(Upstream::runs);
        let late = runs.filter(|r| r.message.1 == CRASHING_PATH && r.started_at > *third + CONTACT);
        late.map(|r| (r.request_id, r.started_at - crashes[0])).collect()
    }
}

/// Sends the crashing search to random nodes: a few times within moments at the start, then several
/// times a second. The caller retries once at another node.
async fn run_crashing(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for n in 0.. {
        if world.stop.load(Ordering::Relaxed) {
            break;
        }
        let nodes: [usize; 2] = std::array::from_fn(|_| rng.random_range(0..NODES));
        let world = world.clone();
        arrivals.push(tokio::spawn(async move {
            for node in nodes {
                let id = format!("crash-{}", world.number());
                let answer = world.send(node, CRASHING_PATH, &id).await;
                let status = answer.as_ref().map_or(0, |a| a.status);
                world.count(&format!("crashing search: {status}"));
                if answer.is_some_and(|a| a.body.starts_with(b"quarantined")) {
                    world.count("crashing search refused as quarantined");
                    break;
                }
            }
        }));
        let pause = if n < BURST { 0..20 } else { 50..500 };
        tokio::time::sleep(Duration::from_millis(rng.random_range(pause))).await;
    }
    for arrival in arrivals {
        arrival.await.expect("the caller does not panic");
    }
}

/// Sends harmless requests, some of them popular. Retries a failed one once.
async fn run_caller(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !world.stop.load(Ordering::Relaxed) {
        let kind = *world.kinds.choose(&mut rng).expect("not empty");
        let popular = rng.random_bool(0.3);
        let name = if popular { rng.random_range(0..POPULAR) } else { 100 + world.number() };
        let path = format!("/{kind}/harmless-{name}");
        for _ in 0..2 {
            let id = format!("{kind}-{}", world.number());
            let answer = world.send(rng.random_range(0..NODES), &path, &id).await;
            let status = answer.as_ref().map_or(0, |a| a.status);
            world.count(&format!("{kind}: {status}"));
            if answer.is_some_and(|a| a.body.starts_with(b"quarantined")) {
                world.count(HARMLESS_REFUSED);
            }
            if status == 200 {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
}

/// Starts another process at the address of each upstream that has crashed.
async fn restart_upstreams(world: Arc<World>) {
    let mut seen = HashSet::new();
    while !world.stop.load(Ordering::Relaxed) {
        let ended: Vec<Upstream> = world
            .upstreams
            .lock()
            .iter()
            .filter(|u| u.crashed().is_some() || u.has_ended())
            .cloned()
            .collect();
        for old in ended {
            if !seen.insert(old.instance().to_owned()) {
                continue;
            }
            let world = world.clone();
            tokio::spawn(async move {
                tokio::time::sleep(LEASE).await;
                old.crash(true);
                tokio::time::sleep(RESTART.saturating_sub(LEASE)).await;
                let new = spec(old.pool(), 1_000 + world.number() as usize);
                world.start_upstream(fleet::Spec { address: old.address(), ..new }, true).await;
            });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Lets each node run for `quota` of each 100 ms only, like a processor share that is a quota.
async fn throttle(world: Arc<World>, quota: Duration) {
    let ids: Vec<u32> = world.fleet.lock().await.nodes.iter().filter_map(|n| n.id()).collect();
    let signal = |name: &str| {
        let ids = ids.iter().map(u32::to_string);
        // Fails only if a node has exited, which the check of the answers shows.
        let _ = std::process::Command::new("kill").arg(name).args(ids).status();
    };
    while !world.stop.load(Ordering::Relaxed) {
        tokio::time::sleep(quota).await;
        signal("-STOP");
        tokio::time::sleep(Duration::from_millis(100).saturating_sub(quota)).await;
        signal("-CONT");
    }
}

/// Starts the nodes and upstreams.
async fn start(
    silent: bool,
    kinds: &'static [&'static str],
    cancel: &CancellationToken,
) -> Arc<World> {
    let store = Store::start(cancel.clone()).await.expect("a store");
    let config = caller_config();
    store.put(CONFIG_KEY, config.as_bytes());
    let fleet = Fleet::start(NODES as u8, store.address());
    let world = Arc::new(World {
        store,
        silent,
        kinds,
        upstreams: Mutex::default(),
        fleet: tokio::sync::Mutex::new(fleet),
        next_id: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        counts: Mutex::default(),
    });
    for name in (0..POOLS).map(pool).chain(["single".to_owned()]) {
        for n in 0..UPSTREAMS {
            world.start_upstream(spec(&name, n), false).await;
        }
    }
    world.fleet.lock().await.ready().await;
    world
}

async fn run_seed(
    seed: u64,
    silent: bool,
    kinds: &'static [&'static str],
    quota: Option<Duration>,
) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cancel = CancellationToken::new();
    let world = start(silent, kinds, &cancel).await;
    let mut tasks = vec![tokio::spawn(restart_upstreams(world.clone()))];
    if let Some(quota) = quota {
        tasks.push(tokio::spawn(throttle(world.clone(), quota)));
    }
    for _ in 0..CALLERS {
        tasks.push(tokio::spawn(run_caller(world.clone(), rng.random())));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    tasks.push(tokio::spawn(run_crashing(world.clone(), rng.random())));
    tokio::time::sleep(DURATION).await;
    world.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("the task does not panic");
    }
    cancel.cancel();
    let crashes = world.crashes();
    let late = world.late_retries();
    let counts = world.counts.lock().clone();
    eprintln!("seed {seed}: {} crashes, late retries {late:?}, {counts:?}", crashes.len());
    let mut fleet = world.fleet.lock().await;
    if late.len() <= MAX_LATE_RETRIES {
        return None;
    }
    let message = format!(
        "seed {seed}: {} crashes, late retries {late:?}; logs in {}",
        crashes.len(),
        fleet.directory().display()
    );
    // A fleet that is forgotten is not dropped, so its directory with the logs stays.
    let mut empty = Fleet::start(0, ([127, 0, 0, 1], 1).into());
    std::mem::swap(&mut *fleet, &mut empty);
    empty.nodes.iter_mut().for_each(fleet::Process::kill);
    std::mem::forget(empty);
    Some(message)
}

fn caller_config() -> String {
    let mut config = config(1, POOLS);
    config.min_share = 0.89;
    config.to_json()
}

async fn check(silent: bool, kinds: &'static [&'static str]) {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let quota = number("OUTAGE_QUOTA").map(Duration::from_millis);
    let seeds: Vec<u64> = match (number("OUTAGE_SEED"), number("OUTAGE_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (0..count).map(|_| rand::random_range(1_000..1_000_000)).collect(),
        (None, None) => SEEDS.to_vec(),
    };
    let mut failed = Vec::new();
    for seed in seeds {
        failed.extend(run_seed(seed, silent, kinds, quota).await);
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_that_crashes_all_upstreams_at_once_is_refused() {
    check(false, BOTH).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_under_which_all_upstreams_fall_silent_is_refused() {
    check(true, BOTH).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_under_which_all_upstreams_of_the_fleet_fall_silent_is_refused() {
    check(true, SEARCHES).await;
}

/// Each popular search is served by each node, is running when all upstreams of the search are lost,
/// and comes again once they are back.
#[tokio::test(flavor = "multi_thread")]
async fn popular_searches_are_served_again_after_all_upstreams_were_lost_at_once() {
    let cancel = CancellationToken::new();
    let world = start(false, SEARCHES, &cancel).await;
    let restarts = tokio::spawn(restart_upstreams(world.clone()));
    let all = || (0..POPULAR).flat_map(|name| (0..NODES).map(move |node| (name, node)));
    let send_all = |round: &'static str| {
        let world = world.clone();
        let sends = all().map(move |(name, node)| {
            let world = world.clone();
            let id = format!("{round}-{name}-{node}");
            async move { world.send(node, &format!("/search/harmless-{name}"), &id).await }
        });
        futures::future::join_all(sends)
    };
    let statuses = |answers: &[Option<Answer>]| {
        answers.iter().map(|a| a.as_ref().map_or(0, |a| a.status)).collect::<Vec<_>>()
    };
    // Nodes are ready before they have read the entries of all upstreams.
    for (name, node) in all() {
        let path = format!("/search/harmless-{name}");
        fleet::eventually("each node serves each popular search", async || {
            let id = format!("before-{}", world.number());
            world.send(node, &path, &id).await.is_some_and(|a| a.status == 200 && a.missing == 0)
        })
        .await;
    }
    let upstreams = world.upstreams.lock().clone();
    let search = || upstreams.iter().filter(|u| u.pool() != "single");
    let slow = Faults { extra_latency: Duration::from_millis(250), ..Faults::default() };
    search().for_each(|u| u.set_faults(slow.clone()));
    let crash = async {
        tokio::time::sleep(Duration::from_millis(80)).await;
        search().for_each(|u| u.crash(false));
    };
    let (during, ()) = tokio::join!(send_all("during"), crash);
    assert!(!statuses(&during).contains(&200), "{:?}", statuses(&during));
    fleet::eventually("all upstreams are back", async || {
        let running = world.upstreams.lock().iter().filter(|u| !u.has_ended()).count();
        running == (POOLS + 1) * UPSTREAMS
    })
    .await;
    tokio::time::sleep(CONTACT).await;
    let after = send_all("after").await;
    world.stop.store(true, Ordering::Relaxed);
    restarts.await.expect("the task does not panic");
    cancel.cancel();
    let quarantined =
        |a: &&Option<Answer>| a.as_ref().is_some_and(|a| a.body.starts_with(b"quarantined"));
    let refused = after.iter().filter(quarantined).count();
    assert_eq!(refused, 0, "of {}: {:?}", after.len(), statuses(&after));
}
