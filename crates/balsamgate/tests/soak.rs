//! Fault-injection soak test: nodes run as processes while overlapping faults hit nodes, links,
//! upstreams and the store. The guarantees are checked on what callers and upstreams observe.
//!
//! `SOAK_SEEDS=50` runs that many random seeds, `SOAK_SEED=7` runs one seed, and `SOAK_NODES=30`
//! sets the number of nodes. By default a few fixed seeds run, among them each that ever failed.

mod fleet;
#[path = "fleet/limit_check.rs"]
mod limit_check;
#[path = "fleet/proxy.rs"]
mod proxy;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::{Fleet, GRACE, HOST, ZONES, config, eventually, pool, spec};
use limit_check::WINDOW;
use parking_lot::Mutex;
use platform_standin::{
    caller::{self, Answer, CONFIG_KEY, CallerRequest, Connection, RequestError, TOP_K},
    store::{Mode as StoreMode, Store},
    upstream::{Faults, RECORD_BYTES, Upstream, reply_records},
};
use proxy::{Mode, Proxy};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

/// Seeds of the default run. A seed that ever failed stays here with its cause.
///
/// 413735: the soak killed a healthy node and so cut off its callers: while one fault waited for a
/// planned stop to end, another fault had replaced the stopping process by that node.
const SEEDS: [u64; 3] = [1, 2, 413_735];
/// Seeds of the default run with restores of the store.
const RESTORE_SEEDS: [u64; 1] = [3];
const POOLS: usize = 3;
/// Upstreams of each pool at the start.
const UPSTREAMS: usize = 2;
const CALLERS: usize = 8;
/// Rest that upstreams ask for.
const REST: Duration = Duration::from_secs(1);
/// Time after a refusal within which further requests may still reach the upstream.
const REST_GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach an upstream from a node in its rest.
const MAX_DURING_REST: usize = 2;
/// Time within which upstreams write their entries again after a restore of the store.
const REWRITE_TIME: Duration = Duration::from_millis(1_200);
/// Time after which the store removes entries that are not renewed.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);
/// Chance of a restore of the store beside another fault.
const RESTORE_CHANCE: f64 = 0.25;
/// Time during which faults are started.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// What a fault disturbs.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Disturbed {
    Node(usize),
    /// The link of the upstream with this instance.
    Link(String),
}

/// State shared by the callers and faults of one seed.
#[derive(Debug)]
struct World {
    store: Store,
    store_proxy: Proxy,
    upstreams: Mutex<Vec<(Upstream, Proxy)>>,
    fleet: tokio::sync::Mutex<Fleet>,
    /// Nodes that a fault may keep from serving, with the end of that time.
    disturbed: Mutex<HashMap<usize, Instant>>,
    /// Nodes in a planned stop.
    stopping: Mutex<HashSet<usize>>,
    /// Version of the newest configuration.
    version: AtomicU64,
    next_id: AtomicU64,
    stop: AtomicBool,
    /// Faults of nodes and of links to upstreams, with their times.
    disturbances: Mutex<Vec<(Disturbed, Instant, Instant)>>,
    /// Node that each request was sent to, and when, by request id.
    sent: Mutex<HashMap<String, (usize, Instant)>>,
    /// Signatures in the answers of nodes, and when the caller got them.
    answered: Mutex<Vec<(usize, Instant, String)>>,
    /// Ids and results of non-idempotent requests.
    once: Mutex<Vec<(String, Result<Answer, RequestError>)>>,
    violations: Mutex<Vec<String>>,
    /// Counts of results and injected faults by name.
    counts: Mutex<BTreeMap<String, u64>>,
}

impl World {
    fn record_violation(&self, text: String) {
        self.violations.lock().push(text);
    }

    fn count(&self, name: &str) {
        *self.counts.lock().entry(name.to_owned()).or_default() += 1;
    }

    /// Records a fault that ends now.
    fn record_disturbance(&self, what: Disturbed, from: Instant) {
        self.disturbances.lock().push((what, from, Instant::now()));
    }

    /// Returns whether a fault of `what` overlaps the time between `from` and `to`.
    fn was_disturbed(&self, what: &Disturbed, from: Instant, to: Instant) -> bool {
        let disturbances = self.disturbances.lock();
        disturbances.iter().any(|(w, start, end)| w == what && *start <= to && *end >= from)
    }

    /// Checks that no request reaches an upstream from a node that was sent to it later than the drain
    /// time after the node had passed on a reply of that upstream which said that it leaves.
    fn check_leaving(&self) {
        let sent = self.sent.lock();
        for (upstream, _) in self.upstreams.lock().iter() {
            let mut passed_on: HashMap<usize, Instant> = HashMap::new();
            for (node, at, signature) in self.answered.lock().iter() {
                if upstream.said_leaving(signature) {
                    let first = passed_on.entry(*node).or_insert(*at);
                    *first = (*at).min(*first);
                }
            }
            for arrival in upstream.arrivals() {
                let Some((node, sent_at)) = sent.get(&arrival.request_id) else { continue };
                let Some(told) = passed_on.get(node) else { continue };
                let is_late = *sent_at > *told + fleet::DRAIN;
                if is_late && !self.was_disturbed(&Disturbed::Node(*node), *told, arrival.at) {
                    self.record_violation(format!(
                        "{} reached {} from node {node}, {:?} after it had said that it leaves",
                        arrival.request_id,
                        upstream.instance(),
                        *sent_at - *told
                    ));
                }
            }
        }
    }

    /// Checks that an upstream which has turned away a request of a node gets at most
    /// [`MAX_DURING_REST`] from that node in the rest that it has asked for.
    fn check_rests(&self) {
        let sent = self.sent.lock();
        for (upstream, _) in self.upstreams.lock().iter() {
            let node_of = |id: &str| sent.get(id).map(|(node, _)| *node);
            let arrivals = upstream.arrivals();
            let link = Disturbed::Link(upstream.instance().to_owned());
            for refusal in arrivals.iter().filter(|a| a.turned_away) {
                let Some(node) = node_of(&refusal.request_id) else { continue };
                let (from, to) = (refusal.at + REST_GRACE, refusal.at + REST);
                let excused =
                    |what: &Disturbed| self.was_disturbed(what, refusal.at - REST_GRACE, to);
                if excused(&Disturbed::Node(node)) || excused(&link) {
                    continue;
                }
                let during = arrivals
                    .iter()
                    .filter(|a| a.at > from && a.at < to && node_of(&a.request_id) == Some(node))
                    .count();
                if during > MAX_DURING_REST {
                    self.record_violation(format!(
                        "{during} requests reached {} from node {node} in its rest after {}",
                        upstream.instance(),
                        refusal.request_id
                    ));
                    break;
                }
            }
        }
    }

    /// Checks that upstreams get no more requests than they take from all nodes that they have told.
    fn check_limits(&self) {
        let sent = self.sent.lock();
        for (upstream, _) in self.upstreams.lock().iter() {
            let link = Disturbed::Link(upstream.instance().to_owned());
            let arrivals = upstream.arrivals();
            let arrivals = arrivals.iter().map(|arrival| {
                let node = sent.get(&arrival.request_id).map(|(node, _)| *node);
                let from = arrival.at.checked_sub(2 * WINDOW).unwrap_or(arrival.at);
                let excused = |what: &Disturbed| self.was_disturbed(what, from, arrival.at);
                let is_excused = node.is_none_or(|n| excused(&Disturbed::Node(n)));
                let is_excused = is_excused || excused(&link);
                limit_check::Arrival { at: arrival.at, limit: arrival.limit, node, is_excused }
            });
            if let Err(violation) = limit_check::check(&arrivals.collect::<Vec<_>>()) {
                self.record_violation(format!("{}: {violation}", upstream.instance()));
            }
        }
    }

    /// Excuses failures of `node` for `time` and for 3 s of recovery after it.
    fn disturb(&self, node: usize, time: Duration) {
        let until = Instant::now() + time + Duration::from_secs(3);
        let mut disturbed = self.disturbed.lock();
        let entry = disturbed.entry(node).or_insert(until);
        *entry = until.max(*entry);
    }

    fn is_disturbed(&self, node: usize) -> bool {
        self.disturbed.lock().get(&node).is_some_and(|until| Instant::now() < *until)
    }

    /// Checks that a complete or partial answer consists of one reply of this request from each of
    /// its pools, and has their greatest records.
    fn check_search(&self, id: &str, path: &str, answer: &Answer) {
        if answer.status != 200 {
            return;
        }
        let upstreams = self.upstreams.lock();
        let mut pools = Vec::new();
        for signature in &answer.merged_signatures {
            let run = upstreams.iter().find_map(|(u, _)| {
                let runs = u.runs();
                let run = runs.into_iter().find(|r| r.signature == *signature)?;
                Some((u.pool().to_owned(), run))
            });
            match run {
                Some((pool, run)) if run.request_id == id && run.message.1 == path => {
                    pools.push(pool);
                }
                Some((_, run)) => self.record_violation(format!(
                    "{id}: answered with the reply to another request: {run:?}"
                )),
                None => self.record_violation(format!(
                    "{id}: no upstream sent a reply with signature {signature}"
                )),
            }
        }
        pools.sort();
        pools.dedup();
        if pools.len() != answer.merged_signatures.len() || pools.len() + answer.missing != POOLS {
            self.record_violation(format!(
                "{id}: {} pools missing, which does not match the replies of {pools:?}",
                answer.missing
            ));
        }
        let mut all: Vec<Vec<u8>> = answer
            .merged_signatures
            .iter()
            .flat_map(|s| split_records(&reply_records(s)))
            .collect();
        all.sort_unstable();
        let expected: Vec<u8> = all.into_iter().rev().take(TOP_K).flatten().collect();
        if answer.body != expected {
            self.record_violation(format!(
                "{id}: the body does not have the greatest records of the merged replies"
            ));
        }
    }

    /// Checks that each non-idempotent request ran at most once, and not at all if its answer says
    /// "not run".
    fn check_once(&self) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for (upstream, _) in self.upstreams.lock().iter() {
            for run in upstream.runs().into_iter().filter(|r| r.request_id.starts_with("once")) {
                *runs.entry(run.request_id).or_default() += 1;
            }
        }
        for (id, result) in self.once.lock().iter() {
            let ran = runs.get(id).copied().unwrap_or(0);
            if ran > 1 {
                self.record_violation(format!("{id} ran {ran} times"));
            }
            let says_not_run = |a: &Answer| [408, 421, 429, 503].contains(&a.status);
            if ran > 0 && result.as_ref().is_ok_and(says_not_run) {
                self.record_violation(format!(
                    "{id} ran, and its answer says \"not run\": {result:?}"
                ));
            }
        }
    }
}

fn split_records(body: &Bytes) -> Vec<Vec<u8>> {
    body.chunks(RECORD_BYTES).map(<[u8]>::to_vec).collect()
}

/// Starts an upstream that is registered at the address of a proxy in front of it.
async fn start_upstream(store: &Store, pool: &str, n: usize) -> (Upstream, Proxy) {
    let proxy = Proxy::start().await;
    let spec = fleet::Spec { advertised_address: Some(proxy.address()), ..spec(pool, n) };
    let upstream = Upstream::start(spec, store).await.expect("an upstream starts");
    proxy.set_target(upstream.address());
    (upstream, proxy)
}

/// Sends requests until the soak ends and checks each answer.
async fn run_caller(world: Arc<World>, directories: Vec<SocketAddr>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Addresses with the time at which they expire.
    let mut addresses: (Vec<SocketAddr>, Instant) = (Vec::new(), Instant::now());
    let mut idle: Option<(SocketAddr, Connection)> = None;
    while !world.stop.load(Ordering::Relaxed) {
        if Instant::now() >= addresses.1 {
            let directory = *directories.choose(&mut rng).expect("nodes");
            let zone = ZONES.choose(&mut rng).expect("zones");
            if let Some((answer, validity)) = caller::lookup_nodes(directory, zone).await {
                // Callers may use an answer for up to three times its validity.
                let factor = if rng.random_bool(0.2) { 3 } else { 1 };
                addresses = (answer, Instant::now() + validity * factor);
            }
        }
        let Some(address) = addresses.0.choose(&mut rng).copied() else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let reused = idle.take().filter(|(_, c)| !c.is_closed() && rng.random_bool(0.8));
        let (address, mut connection) = match reused {
            Some(reused) => reused,
            None => match Connection::connect(address).await {
                Ok(connection) => (address, connection),
                Err(_) => continue,
            },
        };
        let number = world.next_id.fetch_add(1, Ordering::Relaxed);
        let once = rng.random_bool(0.3);
        let kind = if once { "once" } else { "search" };
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: format!("/{kind}/{number}"),
            id: format!("{kind}-{number}"),
            timeout: Duration::from_millis(1_500),
            body: if once { Bytes::from(number.to_string()) } else { Bytes::new() },
        };
        let node = directories.iter().position(|d| d.ip() == address.ip());
        if let Some(node) = node {
            world.sent.lock().insert(request.id.clone(), (node, Instant::now()));
        }
        let result = connection.send(&request).await;
        match &result {
            Ok(answer) => {
                world.count(&format!("{kind} {}", answer.status));
                let signatures = answer.merged_signatures.iter().chain(&answer.signature);
                if let Some(node) = node {
                    let now = Instant::now();
                    let answered = signatures.map(|s| (node, now, s.clone()));
                    world.answered.lock().extend(answered);
                }
                if !once {
                    world.check_search(&request.id, &request.path, answer);
                }
            }
            Err(failure) => {
                world.count(&format!("{kind} {failure:?}"));
                let excused = node.is_some_and(|n| world.is_disturbed(n));
                if *failure == RequestError::Disconnected && !excused {
                    world.record_violation(format!(
                        "{}: connection cut by a node without a fault",
                        request.id
                    ));
                }
            }
        }
        let closes = result.as_ref().is_ok_and(|a| a.closes_connection);
        if once {
            world.once.lock().push((request.id, result.clone()));
        }
        if result.is_ok() && !closes {
            idle = Some((address, connection));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..15))).await;
    }
}

/// Injects one random fault and ends it.
async fn inject_fault(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let time = Duration::from_millis(rng.random_range(200..2_000));
    let count = world.fleet.lock().await.nodes.len();
    let node = rng.random_range(0..count);
    let kind = rng.random_range(0..13);
    let start = Instant::now();
    match kind {
        0 => {
            world.count("fault: node killed");
            world.disturb(node, time);
            world.fleet.lock().await.nodes[node].kill();
            tokio::time::sleep(time / 4).await;
            let mut fleet = world.fleet.lock().await;
            fleet.nodes[node].kill();
            fleet.nodes[node].start();
            world.record_disturbance(Disturbed::Node(node), start);
        }
        1 => {
            world.count("fault: node suspended");
            world.disturb(node, time);
            world.fleet.lock().await.nodes[node].signal("-STOP");
            tokio::time::sleep(time).await;
            world.fleet.lock().await.nodes[node].signal("-CONT");
            world.record_disturbance(Disturbed::Node(node), start);
        }
        2 => {
            if !world.stopping.lock().insert(node) {
                return;
            }
            world.count("fault: node stopped as planned");
            let mut excused = world.is_disturbed(node);
            world.fleet.lock().await.nodes[node].signal("-TERM");
            let start = Instant::now();
            let mut code = None;
            while code.is_none() && start.elapsed() < GRACE {
                // The fleet is unlocked between polls, so that other faults can run.
                code =
                    world.fleet.lock().await.nodes[node].wait_exit(Duration::from_millis(1)).await;
                excused |= world.is_disturbed(node);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if code != Some(0) && !excused {
                world.record_violation(format!(
                    "node {node} exited with {code:?} after a planned stop"
                ));
            }
            if code.is_none() {
                // Another fault replaced the process, or the process did not exit. Either way the
                // kill below is a fault.
                world.disturb(node, Duration::ZERO);
            }
            let mut fleet = world.fleet.lock().await;
            fleet.nodes[node].kill();
            fleet.nodes[node].start();
            world.stopping.lock().remove(&node);
            world.record_disturbance(Disturbed::Node(node), start);
        }
        3 | 4 => {
            let modes = [
                Mode::Delay(Duration::from_millis(rng.random_range(5..200))),
                Mode::Stall,
                Mode::DropForward,
                Mode::DropBackward,
                Mode::Reset,
            ];
            let mode = *modes.choose(&mut rng).expect("modes");
            let (proxy, link) = match kind {
                3 => {
                    let upstreams = world.upstreams.lock();
                    let (upstream, proxy) = upstreams.choose(&mut rng).expect("upstreams");
                    (proxy.clone(), Some(upstream.instance().to_owned()))
                }
                _ => (world.store_proxy.clone(), None),
            };
            world.count(&format!("fault: link {mode:?}").replace(char::is_numeric, ""));
            proxy.set_mode(mode);
            tokio::time::sleep(time).await;
            proxy.set_mode(Mode::Pass);
            if let Some(instance) = link {
                world.record_disturbance(Disturbed::Link(instance), start);
            }
        }
        5 => {
            let mode = if rng.random_bool(0.5) { StoreMode::Busy } else { StoreMode::Silent };
            world.count(&format!("fault: store {mode:?}"));
            world.store.set_mode(mode);
            tokio::time::sleep(time).await;
            world.store.compact();
            world.store.set_mode(StoreMode::Up);
        }
        6 => {
            let fault_cases = [
                Faults { refuses: true, ..Faults::default() },
                Faults { never_replies: true, ..Faults::default() },
                Faults { replies_500: true, ..Faults::default() },
                Faults { drops_connection: true, ..Faults::default() },
                Faults { truncates_replies: true, ..Faults::default() },
                Faults { extra_latency: Duration::from_millis(200), ..Faults::default() },
            ];
            let faults = fault_cases.choose(&mut rng).expect("fault cases").clone();
            let upstream =
                world.upstreams.lock().choose(&mut rng).expect("at least one upstream").0.clone();
            world.count("fault: upstream misbehaves");
            upstream.set_faults(faults);
            tokio::time::sleep(time).await;
            upstream.set_faults(Faults::default());
        }
        9 => {
            let (pool, all) = (random_pool(&world, &mut rng), rng.random_bool(0.3));
            world.count("fault: upstreams leave by their replies alone");
            let mut leaving = running(&world, &pool);
            leaving.truncate(if all { leaving.len() } else { 1 });
            for _ in &leaving {
                let number = world.next_id.fetch_add(1, Ordering::Relaxed) as usize;
                let new = start_upstream(&world.store, &pool, 100 + number).await;
                world.upstreams.lock().push(new);
            }
            let faults = Faults { says_leaving: true, ..Faults::default() };
            leaving.iter().for_each(|u| u.set_faults(faults.clone()));
            tokio::time::sleep(2 * fleet::DRAIN).await;
            leaving.iter().for_each(|u| u.crash(true));
        }
        10 => {
            let (pool, all) = (random_pool(&world, &mut rng), rng.random_bool(0.3));
            world.count("fault: upstreams ask for a rest");
            let mut resting = running(&world, &pool);
            resting.truncate(if all { resting.len() } else { 1 });
            let retry_after = Some(REST.as_secs().to_string());
            let faults = Faults { retry_after, ..Faults::default() };
            resting.iter().for_each(|u| u.set_faults(faults.clone()));
            tokio::time::sleep(time).await;
            resting.iter().for_each(|u| u.set_faults(Faults::default()));
        }
        11 | 12 => {
            let (pool, all) = (random_pool(&world, &mut rng), rng.random_bool(0.3));
            world.count("fault: upstreams state limits");
            let mut limited = running(&world, &pool);
            limited.truncate(if all { limited.len() } else { 1 });
            let limit = [0.0, 1.0, 5.0, 20.0].choose(&mut rng).expect("limits");
            for factor in [1.0, rng.random_range(0.3..3.0)] {
                let limit = Some(format!("{:.1}", limit * factor));
                let faults = Faults { limit, ..Faults::default() };
                limited.iter().for_each(|u| u.set_faults(faults.clone()));
                tokio::time::sleep(2 * WINDOW).await;
            }
            limited.iter().for_each(|u| u.set_faults(Faults::default()));
        }
        7 => {
            world.count("fault: configuration changed");
            let version = world.version.fetch_add(rng.random_range(1..4), Ordering::Relaxed) + 10;
            world.store.put(CONFIG_KEY, config(version, POOLS).to_json().as_bytes());
            world.version.fetch_max(version, Ordering::Relaxed);
        }
        _ => {
            world.count("fault: upstream replaced");
            let old =
                world.upstreams.lock().choose(&mut rng).expect("at least one upstream").0.clone();
            let number = world.next_id.fetch_add(1, Ordering::Relaxed) as usize;
            let new = start_upstream(&world.store, old.pool(), 100 + number).await;
            world.upstreams.lock().push(new);
            old.start_drain(fleet::DRAIN);
            tokio::time::sleep(time).await;
            if rng.random_bool(0.5) {
                old.crash(true);
            }
        }
    }
}

/// Returns one of the pools.
fn random_pool(world: &World, rng: &mut ChaCha8Rng) -> String {
    world.upstreams.lock().choose(rng).expect("at least one upstream").0.pool().to_owned()
}

/// Returns the upstreams of `pool` that run and do not leave.
fn running(world: &World, pool: &str) -> Vec<Upstream> {
    let upstreams = world.upstreams.lock();
    let running = upstreams.iter().filter(|(u, _)| u.pool() == pool && !u.has_ended());
    running.map(|(u, _)| u.clone()).collect()
}

/// Restores the store from a copy that is up to 2.5 s old. What the operator and the upstreams have
/// written is then written again, and entries of upstreams that have ended lapse.
async fn restore_store(world: Arc<World>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let copy = world.store.copy();
    tokio::time::sleep(Duration::from_millis(rng.random_range(300..2_500))).await;
    world.count("fault: store restored from a copy");
    world.store.set_mode(StoreMode::Silent);
    tokio::time::sleep(Duration::from_millis(rng.random_range(100..500))).await;
    world.store.restore(copy);
    world.store.set_mode(StoreMode::Up);
    let version = world.version.load(Ordering::Relaxed);
    world.store.put(CONFIG_KEY, config(version, POOLS).to_json().as_bytes());
    let upstreams = world.upstreams.lock().clone();
    for (upstream, _) in upstreams.iter().filter(|(u, _)| !u.has_ended()) {
        tokio::time::sleep(REWRITE_TIME.mul_f64(rng.random::<f64>()) / upstreams.len() as u32)
            .await;
        upstream.register_again();
    }
    tokio::time::sleep(LAPSE_TIME).await;
    upstreams.iter().filter(|(u, _)| u.has_ended()).for_each(|(u, _)| u.crash(true));
}

/// Runs the soak with `seed`, with restores of the store among the faults if `restores`. Returns the
/// violations, and the counts of results and faults.
async fn run_seed(seed: u64, nodes: u8, restores: bool) -> (Vec<String>, BTreeMap<String, u64>) {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    let store_proxy = Proxy::start().await;
    store_proxy.set_target(store.address());
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let mut upstreams = Vec::new();
    for name in (0..POOLS).map(pool).chain(["single".to_owned()]) {
        for n in 0..UPSTREAMS {
            upstreams.push(start_upstream(&store, &name, n).await);
        }
    }
    let mut fleet = Fleet::start(nodes, store_proxy.address());
    fleet.ready().await;
    let directories: Vec<SocketAddr> = fleet.nodes.iter().map(|n| n.directory()).collect();
    let world = Arc::new(World {
        store,
        store_proxy,
        upstreams: Mutex::new(upstreams),
        fleet: tokio::sync::Mutex::new(fleet),
        disturbed: Mutex::default(),
        stopping: Mutex::default(),
        version: AtomicU64::new(1),
        next_id: AtomicU64::new(1),
        stop: AtomicBool::new(false),
        disturbances: Mutex::default(),
        sent: Mutex::default(),
        answered: Mutex::default(),
        once: Mutex::default(),
        violations: Mutex::default(),
        counts: Mutex::default(),
    });
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|n| tokio::spawn(run_caller(world.clone(), directories.clone(), seed ^ (n << 32))))
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut faults = Vec::new();
    while start.elapsed() < FAULT_DURATION {
        faults.push(tokio::spawn(inject_fault(world.clone(), rng.random())));
        if restores && rng.random_bool(RESTORE_CHANCE) {
            faults.push(tokio::spawn(restore_store(world.clone(), rng.random())));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..700))).await;
    }
    for fault in faults {
        fault.await.expect("the fault task does not panic");
    }
    check_recovery(&world, &directories).await;
    world.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("the caller task does not panic");
    }
    world.check_once();
    world.check_leaving();
    world.check_rests();
    world.check_limits();
    cancel.cancel();
    let violations = world.violations.lock().clone();
    if !violations.is_empty() {
        let logs = world.fleet.lock().await.directory().to_owned();
        eprintln!("seed {seed}: logs are kept in {}", logs.display());
        // A fleet that is forgotten is not dropped, so its directory with the logs stays.
        std::mem::forget(std::mem::replace(
            &mut *world.fleet.lock().await,
            Fleet::start(0, ([127, 0, 0, 1], 1).into()),
        ));
    }
    let counts = world.counts.lock().clone();
    (violations, counts)
}

/// Checks that after the last fault every node serves complete answers under the newest
/// configuration.
async fn check_recovery(world: &World, directories: &[SocketAddr]) {
    let version = world.version.load(Ordering::Relaxed) + 1;
    world.store.put(CONFIG_KEY, config(version, POOLS).to_json().as_bytes());
    for (n, directory) in directories.iter().enumerate() {
        let callers = SocketAddr::new(directory.ip(), 7101);
        let condition = format!("node {n} serves complete answers under version {version}");
        eventually(&condition, async || {
            let number = world.next_id.fetch_add(1, Ordering::Relaxed);
            let get = async |path: &str| {
                let request = CallerRequest {
                    host: HOST.to_owned(),
                    path: path.to_owned(),
                    id: format!("end-{number}{path}"),
                    timeout: Duration::from_millis(1_500),
                    body: Bytes::new(),
                };
                Connection::connect(callers).await?.send(&request).await
            };
            let mark = get(&format!("/mark-{version}/x")).await;
            let search = get("/search/end").await;
            mark.is_ok_and(|a| a.status == 200)
                && search.is_ok_and(|a| a.status == 200 && a.missing == 0)
        })
        .await;
    }
}

/// Runs the soak as the environment says, or with the seeds `default`.
async fn run(default: &[u64], restores: bool) {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let nodes = number("SOAK_NODES").unwrap_or(4) as u8;
    let seeds: Vec<u64> = match (number("SOAK_SEED"), number("SOAK_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (0..count).map(|_| rand::random_range(1_000..1_000_000)).collect(),
        (None, None) => default.to_vec(),
    };
    let (mut total, mut failed) = (BTreeMap::<String, u64>::new(), Vec::new());
    for seed in seeds {
        let (violations, counts) = run_seed(seed, nodes, restores).await;
        eprintln!("seed {seed}: {} violations", violations.len());
        counts.into_iter().for_each(|(name, n)| *total.entry(name).or_default() += n);
        failed.extend(violations.into_iter().map(|v| format!("seed {seed}: {v}")));
    }
    total.iter().for_each(|(name, n)| eprintln!("{n:8} {name}"));
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_overlapping_faults() {
    run(&SEEDS, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_the_store_is_restored_from_copies() {
    run(&RESTORE_SEEDS, true).await;
}
