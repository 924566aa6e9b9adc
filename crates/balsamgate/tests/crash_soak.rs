//! Soak test of requests that crash the upstreams that run them. Several such requests come again
//! and again, each at any node, among requests that do no harm, while upstreams crash by
//! themselves, nodes are killed, suspended and cut off from each other, and the store is away.
//!
//! Checked is the stated bound: of a request that has crashed three upstreams, at most three
//! retries later than [`CONTACT`] after that reach upstreams, of those that nodes without a fault
//! of their own have sent. `SOAK_SEEDS=50` runs that many random seeds, `SOAK_SEED=7` one seed, and
//! `SOAK_NODES=30` sets the number of nodes. By default [`SEEDS`] run.

mod fleet;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
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
    caller::{CONFIG_KEY, CallerRequest, Connection},
    store::{Mode, Store},
    upstream::{Crash, Faults, Upstream},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

/// Seeds of the default run. A seed that ever failed stays here with its cause.
const SEEDS: [u64; 1] = [1];
const POOLS: usize = 4;
/// Upstreams of each pool at the start.
const UPSTREAMS: usize = 6;
const CALLERS: usize = 6;
/// Requests that crash upstreams.
const CRASHING: usize = 3;
/// Time during which faults are started.
const FAULT_DURATION: Duration = Duration::from_secs(10);
/// Time from its third crash until a request must be refused everywhere, and for which a node must
/// have had no fault to be held to that.
const CONTACT: Duration = Duration::from_secs(4);
/// Time after the last fault: long enough to hold all nodes to the bound.
const CALM_DURATION: Duration = Duration::from_secs(8);
const FREE_CRASHES: usize = 3;
const MAX_LATE_RETRIES: usize = 3;

/// A request that crashes upstreams.
#[derive(Debug, Clone)]
struct CrashingRequest {
    path: String,
    /// Time from the start of a run to the crash.
    delay: Duration,
    /// Pool whose upstreams it crashes; `None` for all.
    pool: Option<String>,
    /// Time after which its caller closes the connection; `None` if it waits for the answer.
    leaves_after: Option<Duration>,
    /// Longest pause between two arrivals.
    pause: Duration,
}

impl CrashingRequest {
    fn random(number: usize, rng: &mut ChaCha8Rng) -> CrashingRequest {
        let search = rng.random_bool(0.6);
        let ms = |list: &[u64], rng: &mut ChaCha8Rng| {
            Duration::from_millis(*list.choose(rng).expect("not empty"))
        };
        let one_pool = search && rng.random_bool(0.4);
        CrashingRequest {
            path: format!("/{}/crash-{number}", if search { "search" } else { "once" }),
            delay: ms(&[0, 0, 20, 200, 600], rng),
            pool: one_pool.then(|| pool(rng.random_range(0..POOLS))),
            leaves_after: rng.random_bool(0.4).then(|| ms(&[5, 50, 100, 400], rng)),
            pause: ms(&[100, 500, 1_500], rng),
        }
    }
}

#[derive(Debug)]
struct World {
    store: Store,
    /// All upstreams, also those that have ended.
    upstreams: Mutex<Vec<Upstream>>,
    crashing: Vec<CrashingRequest>,
    fleet: tokio::sync::Mutex<Fleet>,
    /// Times at which nodes had a fault.
    disturbances: Mutex<Vec<(usize, Instant, Instant)>>,
    /// Node that each arrival of a crashing request went to, by request id.
    arrivals: Mutex<HashMap<String, usize>>,
    next_id: AtomicU64,
    stop: AtomicBool,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl World {
    fn count(&self, name: &str, n: u64) {
        *self.counts.lock().entry(name.to_owned()).or_default() += n;
    }

    fn number(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    fn faults(&self, pool: &str) -> Faults {
        let here = self.crashing.iter().filter(|r| r.pool.as_ref().is_none_or(|p| p == pool));
        let crash =
            |r: &CrashingRequest| Crash { path: r.path.clone(), delay: r.delay, silent: false };
        Faults { crashes: here.map(crash).collect(), ..Faults::default() }
    }

    async fn start_upstream(&self, spec: fleet::Spec) {
        let pool = spec.pool.clone();
        // The address may still be in use; another upstream is started later then.
        let Ok(upstream) = Upstream::start(spec, &self.store).await else { return };
        upstream.set_faults(self.faults(&pool));
        self.upstreams.lock().push(upstream);
    }

    /// Returns whether `node` had no fault for [`CONTACT`] before `at`.
    fn in_touch(&self, node: usize, at: Instant) -> bool {
        let disturbances = self.disturbances.lock();
        !disturbances.iter().any(|(n, from, to)| *n == node && *from <= at && *to + CONTACT > at)
    }

    /// Returns the violations of the stated bound by `request`, and counts its sends.
    fn check(&self, request: &CrashingRequest) -> Option<String> {
        let upstreams = self.upstreams.lock();
        let crashed = upstreams.iter().filter_map(Upstream::crashed);
        let mut crashes: Vec<Instant> =
            crashed.filter(|(_, path)| *path == request.path).map(|(at, _)| at).collect();
        crashes.sort_unstable();
        self.count("crashes", crashes.len() as u64);
        let third = *crashes.get(FREE_CRASHES - 1)?;
        let runs: Vec<_> = upstreams.iter().flat_map(Upstream::runs).collect();
        let after = |r: &&platform_standin::upstream::Run| {
            r.message.1 == request.path && r.started_at > third
        };
        self.count("sends after the third crash", runs.iter().filter(after).count() as u64);
        let arrivals = self.arrivals.lock();
        let late: Vec<_> = runs
            .iter()
            .filter(after)
            .filter(|r| r.started_at > third + CONTACT)
            .filter(|r| {
                arrivals.get(&r.request_id).is_some_and(|n| self.in_touch(*n, r.started_at))
            })
            .collect();
        let retries: HashSet<&str> = late.iter().map(|r| r.request_id.as_str()).collect();
        self.count("late sends", late.len() as u64);
        self.count("late retries", retries.len() as u64);
        (retries.len() > MAX_LATE_RETRIES).then(|| {
            format!(
                "{request:?}: {} late retries {retries:?}, {} crashes",
                retries.len(),
                crashes.len()
            )
        })
    }
}

/// Sends a request to `node`. Returns the status and the body of the answer.
async fn send(
    world: &World,
    node: usize,
    path: &str,
    id: &str,
    leaves_after: Option<Duration>,
) -> Option<(u16, Bytes)> {
    let address = world.fleet.lock().await.nodes[node].callers();
    let timeout = Duration::from_millis(1_500);
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: path.to_owned(),
        id: id.to_owned(),
        timeout,
        body: if path.starts_with("/once/") { Bytes::from("x") } else { Bytes::new() },
    };
    let mut connection = Connection::connect(address).await.ok()?;
    let answer = tokio::time::timeout(leaves_after.unwrap_or(timeout), connection.send(&request));
    let answer = answer.await.ok()?.ok()?;
    Some((answer.status, answer.body))
}

/// Sends a crashing request again and again, each time to a random node.
async fn run_crashing(world: Arc<World>, request: CrashingRequest, seed: u64, nodes: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !world.stop.load(Ordering::Relaxed) {
        let node = rng.random_range(0..nodes);
        let id = format!("crash-{}", world.number());
        world.arrivals.lock().insert(id.clone(), node);
        let answer = send(&world, node, &request.path, &id, request.leaves_after).await;
        let refused = answer.is_some_and(|(status, body)| status == 503 && is_quarantined(&body));
        world.count("crashing requests", 1);
        world.count("crashing requests refused", u64::from(refused));
        tokio::time::sleep(request.pause.mul_f64(rng.random_range(0.5..1.0))).await;
    }
}

fn is_quarantined(body: &Bytes) -> bool {
    body.starts_with(b"quarantined")
}

/// Sends harmless requests: most of them once, some popular ones again and again. Retries a failed
/// one once, as callers do.
async fn run_caller(world: Arc<World>, seed: u64, nodes: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !world.stop.load(Ordering::Relaxed) {
        let kind = if rng.random_bool(0.5) { "search" } else { "once" };
        let popular = rng.random_bool(0.3);
        let name = if popular { rng.random_range(0..4) } else { 100 + world.number() };
        let path = format!("/{kind}/harmless-{name}");
        for attempt in 0..2 {
            let node = rng.random_range(0..nodes);
            let id = format!("{kind}-{}", world.number());
            let answer = send(&world, node, &path, &id, None).await;
            world.count("harmless requests", 1);
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            if status == 503 && answer.is_some_and(|(_, body)| is_quarantined(&body)) {
                let name = if popular { "popular" } else { "single" };
                world.count(&format!("harmless requests refused, {name}"), 1);
            }
            world.count("harmless requests served", u64::from(status == 200));
            if status == 200 || attempt > 0 {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
}

/// Starts another process for each upstream that has ended: after a while or at once, at its
/// address or at a new one; its address may go to another pool.
async fn restart_upstreams(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut restarted = HashSet::new();
    let mut tasks = Vec::new();
    while !world.stop.load(Ordering::Relaxed) {
        let ended: Vec<Upstream> = {
            let upstreams = world.upstreams.lock();
            upstreams.iter().filter(|u| u.has_ended()).cloned().collect()
        };
        for old in ended {
            if !restarted.insert(old.instance().to_owned()) {
                continue;
            }
            let at_once = rng.random_bool(0.3);
            let delay = if at_once { 5 } else { rng.random_range(200..3_000) };
            let keeps_address = rng.random_bool(0.6);
            let lends_address = !keeps_address && rng.random_bool(0.5);
            let pools: Vec<String> = (0..POOLS).map(pool).chain(["single".to_owned()]).collect();
            let other = pools.choose(&mut rng).expect("pools").clone();
            let world = world.clone();
            tasks.push(tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay)).await;
                let mut new = spec(old.pool(), 1_000 + world.number() as usize);
                if keeps_address {
                    new.address = old.address();
                }
                world.start_upstream(new).await;
                if lends_address {
                    let guest = spec(&other, 1_000 + world.number() as usize);
                    world.start_upstream(fleet::Spec { address: old.address(), ..guest }).await;
                }
                // The store notices that the old process has gone.
                tokio::time::sleep(Duration::from_secs(3)).await;
                old.crash(true);
            }));
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for task in tasks {
        task.abort();
    }
}

/// Injects one random fault and ends it.
async fn inject_fault(world: Arc<World>, seed: u64, nodes: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let time = Duration::from_millis(rng.random_range(200..2_000));
    let node = rng.random_range(0..nodes);
    let start = Instant::now();
    match rng.random_range(0..8) {
        0 => {
            world.count("fault: node killed", 1);
            world.fleet.lock().await.nodes[node].kill();
            tokio::time::sleep(time / 4).await;
            let mut fleet = world.fleet.lock().await;
            fleet.nodes[node].kill();
            fleet.nodes[node].start();
            world.disturbances.lock().push((node, start, Instant::now()));
        }
        1 => {
            world.count("fault: node suspended", 1);
            world.disturbances.lock().push((node, start, start + time));
            world.fleet.lock().await.nodes[node].signal("-STOP");
            tokio::time::sleep(time).await;
            world.fleet.lock().await.nodes[node].signal("-CONT");
            world.disturbances.lock().push((node, start, Instant::now()));
        }
        2 => {
            world.count("fault: all nodes but one restarted", 1);
            for n in (0..nodes).filter(|n| *n != node) {
                let start = Instant::now();
                let mut fleet = world.fleet.lock().await;
                fleet.nodes[n].kill();
                fleet.nodes[n].start();
                world.disturbances.lock().push((n, start, Instant::now()));
                drop(fleet);
                tokio::time::sleep(time / 4).await;
            }
        }
        3 | 4 => {
            let time = 3 * time;
            world.count("fault: node cut off from the others", 1);
            world.disturbances.lock().push((node, start, start + time));
            world.fleet.lock().await.set_cut(node, true);
            tokio::time::sleep(time).await;
            world.fleet.lock().await.set_cut(node, false);
            world.disturbances.lock().push((node, start, Instant::now()));
        }
        5 => {
            let mode = if rng.random_bool(0.5) { Mode::Busy } else { Mode::Silent };
            world.count("fault: store away", 1);
            world.store.set_mode(mode);
            tokio::time::sleep(time).await;
            world.store.set_mode(Mode::Up);
        }
        _ => {
            world.count("fault: outage of upstreams", 1);
            let share = rng.random_range(0.1..0.5);
            let upstreams = world.upstreams.lock();
            let running = upstreams.iter().filter(|u| !u.has_ended());
            let hit: Vec<&Upstream> = running.filter(|_| rng.random_bool(share)).collect();
            hit.iter().for_each(|u| u.crash(false));
        }
    }
}

async fn run_seed(seed: u64, nodes: usize) -> (Vec<String>, BTreeMap<String, u64>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let crashing: Vec<CrashingRequest> =
        (0..CRASHING).map(|n| CrashingRequest::random(n, &mut rng)).collect();
    let fleet = Fleet::start_linked(nodes as u8, store.address());
    let world = Arc::new(World {
        store,
        upstreams: Mutex::default(),
        crashing: crashing.clone(),
        fleet: tokio::sync::Mutex::new(fleet),
        disturbances: Mutex::default(),
        arrivals: Mutex::default(),
        next_id: AtomicU64::new(1),
        stop: AtomicBool::new(false),
        counts: Mutex::default(),
    });
    for name in (0..POOLS).map(pool).chain(["single".to_owned()]) {
        for n in 0..UPSTREAMS {
            world.start_upstream(spec(&name, n)).await;
        }
    }
    world.fleet.lock().await.ready().await;
    let mut tasks = vec![tokio::spawn(restart_upstreams(world.clone(), rng.random()))];
    for _ in 0..CALLERS {
        tasks.push(tokio::spawn(run_caller(world.clone(), rng.random(), nodes)));
    }
    for request in &crashing {
        let task = run_crashing(world.clone(), request.clone(), rng.random(), nodes);
        tasks.push(tokio::spawn(task));
    }
    let start = Instant::now();
    let mut faults = Vec::new();
    while start.elapsed() < FAULT_DURATION {
        faults.push(tokio::spawn(inject_fault(world.clone(), rng.random(), nodes)));
        tokio::time::sleep(Duration::from_millis(rng.random_range(300..2_000))).await;
    }
    for fault in faults {
        fault.await.expect("the fault task does not panic");
    }
    tokio::time::sleep(CALM_DURATION).await;
    world.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("the task does not panic");
    }
    let violations: Vec<String> = crashing.iter().filter_map(|r| world.check(r)).collect();
    cancel.cancel();
    if !violations.is_empty() {
        let mut fleet = world.fleet.lock().await;
        eprintln!("seed {seed}: logs are kept in {}", fleet.directory().display());
        // A fleet that is forgotten is not dropped, so its directory with the logs stays.
        let mut empty = Fleet::start(0, ([127, 0, 0, 1], 1).into());
        std::mem::swap(&mut *fleet, &mut empty);
        empty.nodes.iter_mut().for_each(fleet::Process::kill);
        std::mem::forget(empty);
    }
    let counts = world.counts.lock().clone();
    (violations, counts)
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_requests_are_refused_under_overlapping_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let nodes = number("SOAK_NODES").unwrap_or(4) as usize;
    let seeds: Vec<u64> = match (number("SOAK_SEED"), number("SOAK_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (0..count).map(|_| rand::random_range(1_000..1_000_000)).collect(),
        (None, None) => SEEDS.to_vec(),
    };
    let (mut total, mut failed) = (BTreeMap::<String, u64>::new(), Vec::new());
    for seed in seeds {
        let (violations, counts) = run_seed(seed, nodes).await;
        eprintln!("seed {seed}: {} violations {counts:?}", violations.len());
        counts.into_iter().for_each(|(name, n)| *total.entry(name).or_default() += n);
        failed.extend(violations.into_iter().map(|v| format!("seed {seed}: {v}")));
    }
    total.iter().for_each(|(name, n)| eprintln!("{n:8} {name}"));
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
