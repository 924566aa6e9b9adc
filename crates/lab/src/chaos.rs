//! Fault injection: seeded runs on virtual time that combine two faults under load and check the
//! resulting history.

use std::{fmt, sync::Arc, time::Duration};

use base::unit::{Generation, Version};
use parking_lot::Mutex;
use policy::{home::RequestId, outcome::Outcome, replica::Window};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use standin::{
    service_time::ServiceTime,
    upstream::{Behaviour, Upstream},
    upstream_set::INITIAL_VERSION,
};

use crate::{
    check::{self, History, RunAction, Search, Violation},
    cluster::{self, Cluster, FIRST_CLASS, Options, SECOND_CLASS},
};

/// Kind of fault that a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One replica is ten times slower.
    SlowReplica,
    /// A quarter of the upstreams, on average, goes down and comes back.
    LostReplicas,
    /// Connections to upstreams are lost while requests run.
    LostReplies,
    /// Upstreams reply with the reply to an earlier attempt.
    CrossedReplies,
    /// Replies cover half of the requested range.
    HalfReplies,
    /// Replies use another index version than the requested one.
    MixedVersions,
    /// Index versions advance replica by replica.
    VersionMoves,
    /// The number of shard groups changes and changes back.
    Repartition,
    /// Upstreams shed requests.
    Sheds,
    /// Requests run at upstreams and fail.
    Failures,
    /// Upstreams drain, whether or not their status says so.
    Drains,
    /// Nodes are killed.
    KilledNodes,
    /// Nodes are killed and restarted at their addresses.
    RestartedNodes,
    /// The fleet is partitioned in two.
    Partition,
    /// The whole process is suspended.
    Pause,
    /// The platform service goes down and comes back with an older configuration.
    StalePlatform,
    /// Heartbeats are lost.
    LostHeartbeats,
}

/// All faults.
pub const FAULTS: [Fault; 17] = [
    Fault::SlowReplica,
    Fault::LostReplicas,
    Fault::LostReplies,
    Fault::CrossedReplies,
    Fault::HalfReplies,
    Fault::MixedVersions,
    Fault::VersionMoves,
    Fault::Repartition,
    Fault::Sheds,
    Fault::Failures,
    Fault::Drains,
    Fault::KilledNodes,
    Fault::RestartedNodes,
    Fault::Partition,
    Fault::Pause,
    Fault::StalePlatform,
    Fault::LostHeartbeats,
];

const NODES_PER_DOMAIN: usize = 2;
const GROUPS: usize = 6;
/// Shard groups between the two map changes of `Fault::Repartition`.
const REPARTITIONED_GROUPS: usize = 4;
const SEARCHES: usize = 40;
/// Non-idempotent requests, each of which may be sent twice.
const RUNS: usize = 20;
/// Time over which the requests are spread.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Mean time until a fault is injected; the actual time is 0.5 to 1.5 times as long.
const FAULT_DELAY: Duration = Duration::from_millis(800);
/// Duration of a fault that is reverted; the steps of other faults are fractions of it.
const FAULT_DURATION: Duration = Duration::from_millis(1_600);
/// Time from the last response to the checks, so that requests that still run enter the history.
const TAIL: Duration = Duration::from_secs(2);

/// Result of one run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Injected faults.
    pub faults: [Fault; 2],
    /// Searches by outcome: complete, partial, not run, unknown.
    pub search_outcomes: [usize; 4],
    /// Answered sends of non-idempotent requests, by outcome in the same order.
    pub run_outcomes: [usize; 4],
    /// Sub-requests that ran at upstreams.
    pub upstream_runs: usize,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, faults, search_outcomes, run_outcomes, upstream_runs, violations } =
            self;
        write!(f, "seed {seed} {faults:?} searches {search_outcomes:?} ")?;
        write!(f, "runs {run_outcomes:?} ran {upstream_runs}")?;
        for violation in violations {
            write!(f, "\n  {violation}")?;
        }
        if !violations.is_empty() {
            write!(f, "\n  repeat: cargo run --release --example chaos -- --seed {seed}")?;
        }
        Ok(())
    }
}

/// Returns the pair of faults of a seed. Consecutive seeds cycle through all ordered pairs.
pub fn fault_pair(seed: u64) -> [Fault; 2] {
    let count = FAULTS.len() as u64;
    let first = seed % count;
    let second = (first + 1 + (seed / count) % (count - 1)) % count;
    [FAULTS[first as usize], FAULTS[second as usize]]
}

/// Runs one seed on its own virtual clock. The same seed gives the same report.
pub fn run(seed: u64) -> Report {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.unwrap_or_else(|e| panic!("building the runtime failed: {e}"));
    runtime.block_on(drive(seed))
}

async fn drive(seed: u64) -> Report {
    let service_time = ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.02 };
    let mut options = Options::new(service_time, seed);
    options.nodes_per_domain = NODES_PER_DOMAIN;
    options.groups = GROUPS;
    options.deadline = Duration::from_millis(400);
    let cluster = Arc::new(Cluster::start(options).await);
    let history = Arc::new(Mutex::new(History::default()));
    let faults = fault_pair(seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut tasks = Vec::new();
    for fault in faults {
        let rng = ChaCha8Rng::seed_from_u64(rng.random());
        tasks.push(tokio::spawn(inject(cluster.clone(), fault, rng)));
    }
    for number in 0..SEARCHES + RUNS {
        let delay = LOAD_DURATION.mul_f64(rng.random());
        let mut task_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let (cluster, history) = (cluster.clone(), history.clone());
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            match number < SEARCHES {
                true => search(&cluster, &history, number, &mut task_rng).await,
                false => resend(&cluster, &history, number, &mut task_rng).await,
            }
        }));
    }
    for task in tasks {
        if let Err(e) = task.await {
            panic!("seed {seed}: a task failed: {e}");
        }
    }
    tokio::time::sleep(TAIL).await;
    history.lock().events = cluster.event_log.events();
    report(seed, faults, &history.lock())
}

fn report(seed: u64, faults: [Fault; 2], history: &History) -> Report {
    let index = |outcome: Outcome| match outcome {
        Outcome::Complete => 0,
        Outcome::Partial => 1,
        Outcome::NotRun => 2,
        Outcome::Unknown => 3,
    };
    let (mut search_outcomes, mut run_outcomes) = ([0; 4], [0; 4]);
    history.searches.iter().for_each(|s| search_outcomes[index(s.answer.outcome)] += 1);
    let answers = history.run_actions.iter().filter_map(|r| r.answer.as_ref());
    answers.for_each(|a| run_outcomes[index(a.outcome)] += 1);
    let ran = |e: &&standin::event_log::Event| matches!(e, standin::event_log::Event::Ran { .. });
    let upstream_runs = history.events.iter().filter(ran).count();
    Report {
        seed,
        faults,
        search_outcomes,
        run_outcomes,
        upstream_runs,
        violations: check::all(history),
    }
}

async fn search(cluster: &Cluster, history: &Mutex<History>, number: usize, rng: &mut ChaCha8Rng) {
    let class = if rng.random() { FIRST_CLASS } else { SECOND_CLASS };
    let query = format_smolstr!("query-{number}");
    let node = cluster.node(rng.random_range(0..cluster.len()));
    if let Ok(answer) = cluster.search(&node, cluster::search_request(class, &query)).await {
        history.lock().searches.push(Search { query, answer });
    }
}

/// Sends a non-idempotent request under one id, in one of the ways that callers send and resend:
/// once to its home node, to the home node and then to any node, to both of these concurrently, or
/// to any two nodes up to 15 s apart.
async fn resend(cluster: &Cluster, history: &Mutex<History>, number: usize, rng: &mut ChaCha8Rng) {
    let body = format_smolstr!("order-{number}");
    let first = cluster.node(rng.random_range(0..cluster.len()));
    let addresses = first.addresses("tester").addresses;
    let Some(home) = addresses.first() else { return };
    let Ok(id) = format!("{}~{body}", home.home).parse::<RequestId>() else { return };
    let nodes: Vec<usize> = (0..cluster.len()).collect();
    let is_home = |i: &&usize| cluster.node(**i).context.settings.caller_addr == home.address;
    let home = nodes.iter().find(is_home).copied().unwrap_or(0);
    let random_node = |rng: &mut ChaCha8Rng| *nodes.choose(rng).unwrap_or(&home);
    match rng.random_range(0..4) {
        0 => send(cluster, history, &body, &id, home, 0).await,
        1 => {
            send(cluster, history, &body, &id, home, 0).await;
            let second = random_node(rng);
            send(cluster, history, &body, &id, second, 1).await;
        }
        2 => {
            let other = random_node(rng);
            let at_home = send(cluster, history, &body, &id, home, 0);
            let elsewhere = send(cluster, history, &body, &id, other, 1);
            tokio::join!(at_home, elsewhere);
        }
        _ => {
            let (first, second) = (random_node(rng), random_node(rng));
            send(cluster, history, &body, &id, first, 0).await;
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..15_000))).await;
            send(cluster, history, &body, &id, second, 1).await;
        }
    }
}

/// Sends a non-idempotent request to one node and records its invocation and response.
async fn send(
    cluster: &Cluster,
    history: &Mutex<History>,
    body: &SmolStr,
    id: &RequestId,
    node: usize,
    send: usize,
) {
    let call = RunAction { body: body.clone(), send, answer: None, is_call: true };
    history.lock().run_actions.push(call.clone());
    let node = cluster.node(node);
    let answer = cluster.run(&node, cluster::run_request(body, Some(id.clone()))).await.ok();
    history.lock().run_actions.push(RunAction { answer, is_call: false, ..call });
}

/// Injects `fault` after a random delay. Some faults are reverted after a while, others last until
/// the end of the run.
async fn inject(cluster: Arc<Cluster>, fault: Fault, mut rng: ChaCha8Rng) {
    tokio::time::sleep(FAULT_DELAY.mul_f64(rng.random::<f64>() + 0.5)).await;
    let upstreams = cluster.upstreams.all();
    let replica = upstreams[rng.random_range(0..upstreams.len())].clone();
    let update_all = |change: &dyn Fn(&mut Behaviour)| {
        upstreams.iter().for_each(|u| u.update_behaviour(change));
    };
    let rate = rng.random_range(0.02..0.4);
    match fault {
        Fault::SlowReplica => replica.update_behaviour(|b| b.slowdown = 10.0),
        Fault::LostReplicas => lose_replicas(&upstreams, &mut rng).await,
        Fault::LostReplies => update_all(&|b| b.connection_loss_rate = rate),
        Fault::CrossedReplies => update_all(&|b| b.stale_reply_rate = rate),
        Fault::HalfReplies => update_all(&|b| b.half_coverage_rate = rate),
        Fault::MixedVersions => update_all(&|b| b.wrong_version_rate = rate),
        Fault::Sheds => update_all(&|b| b.shed_rate = rate),
        Fault::Failures => update_all(&|b| b.failure_rate = rate),
        Fault::VersionMoves => advance_versions(&upstreams, &mut rng).await,
        Fault::Repartition => repartition(&cluster, &upstreams).await,
        Fault::Drains => {
            let reports_draining = rng.random();
            for upstream in upstreams.iter().filter(|_| rng.random_bool(0.3)) {
                upstream.update_behaviour(|b| {
                    b.draining = true;
                    b.reports_draining = reports_draining;
                });
            }
        }
        Fault::KilledNodes => {
            cluster.kill(rng.random_range(0..cluster.len()));
            tokio::time::sleep(FAULT_DURATION / 2).await;
            cluster.kill(rng.random_range(0..cluster.len()));
        }
        Fault::RestartedNodes => {
            for _ in 0..3 {
                cluster.restart(rng.random_range(0..cluster.len()));
                tokio::time::sleep(FAULT_DURATION / 3).await;
            }
        }
        Fault::Partition => {
            let nodes = cluster.peer_addresses();
            let (left, right) = nodes.split_at(rng.random_range(1..nodes.len()));
            cluster.mesh.partition(left, right);
            tokio::time::sleep(FAULT_DURATION).await;
            cluster.mesh.heal();
        }
        Fault::Pause => {
            tokio::time::advance(Duration::from_millis(rng.random_range(500..5_000))).await;
        }
        Fault::StalePlatform => {
            cluster.publish(Generation(9), Generation(1), GROUPS);
            tokio::time::sleep(FAULT_DURATION / 4).await;
            cluster.platform.change(|state| state.down = true);
            tokio::time::sleep(FAULT_DURATION / 4).await;
            cluster.publish(Generation(1), Generation(1), GROUPS);
            cluster.platform.change(|state| state.down = false);
        }
        Fault::LostHeartbeats => cluster.mesh.set_datagram_loss(rate),
    }
}

async fn lose_replicas(upstreams: &[Arc<Upstream>], rng: &mut ChaCha8Rng) {
    let lost: Vec<&Arc<Upstream>> = upstreams.iter().filter(|_| rng.random_bool(0.25)).collect();
    lost.iter().for_each(|u| u.update_behaviour(|b| b.down = true));
    tokio::time::sleep(FAULT_DURATION).await;
    lost.iter().for_each(|u| u.update_behaviour(|b| b.down = false));
}

async fn advance_versions(upstreams: &[Arc<Upstream>], rng: &mut ChaCha8Rng) {
    for step in 1..4 {
        for upstream in upstreams {
            let newest = Version(INITIAL_VERSION.0 + step);
            let retained = u64::from(rng.random::<bool>());
            let oldest = Version(newest.0 - retained);
            upstream.update_behaviour(|b| b.window = b.window.map(|_| Window { oldest, newest }));
            tokio::time::sleep(FAULT_DURATION / 200).await;
        }
    }
}

async fn repartition(cluster: &Cluster, upstreams: &[Arc<Upstream>]) {
    for (step, groups) in [(2, REPARTITIONED_GROUPS), (3, GROUPS)] {
        let map = Generation(step);
        // Upstreams hold a map before it is published, and keep the earlier ones.
        upstreams.iter().for_each(|u| u.update_behaviour(|b| b.maps.push(map)));
        cluster.publish(Generation(step + 10), map, groups);
        tokio::time::sleep(FAULT_DURATION / 2).await;
    }
}
