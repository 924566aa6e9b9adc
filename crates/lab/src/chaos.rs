//! Seeded runs that mix two faults and check the history.

use std::{fmt, sync::Arc, time::Duration};

use base::unit::{Generation, Version};
use parking_lot::Mutex;
use policy::{home::RequestId, outcome::Outcome, replica::Window};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use standin::{service_time::ServiceTime, upstream::Upstream, upstream_set::INITIAL_VERSION};

use crate::{
    check::{self, History, RunAction, Search, Violation},
    cluster::{self, Cluster, FIRST_CLASS, Options, SECOND_CLASS},
};

/// A fault that a run brings about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One replica ten times slower.
    SlowReplica,
    /// Replicas that go down and come back as new processes.
    LostReplicas,
    /// Connections lost while requests run.
    LostReplies,
    /// Replies that belong to other attempts.
    CrossedReplies,
    /// Replies that cover half of what was asked.
    HalfReplies,
    /// Replies of another index version.
    MixedVersions,
    /// Index versions that move on, replica by replica.
    VersionMoves,
    /// A shard map that changes and changes back.
    Repartition,
    /// Upstreams that refuse for load.
    Sheds,
    /// Upstreams that run requests and fail.
    Failures,
    /// Upstreams that leave.
    Drains,
    /// Nodes killed.
    KilledNodes,
    /// Nodes killed and started again on their addresses.
    RestartedNodes,
    /// A fleet split in two.
    Partition,
    /// The whole process paused.
    Pause,
    /// The platform's service down, then back with an older value.
    StalePlatform,
    /// Heartbeats lost.
    LostHeartbeats,
}

/// Every fault.
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
const REPARTITIONED: usize = 4;
const SEARCHES: usize = 40;
const RUNS: usize = 20;
const SPAN: Duration = Duration::from_secs(4);
const FAULT_AFTER: Duration = Duration::from_millis(800);
const FAULT_SPAN: Duration = Duration::from_millis(1_600);

/// What one run showed.
#[derive(Debug, Clone)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// The faults.
    pub faults: [Fault; 2],
    /// Searches told each outcome: complete, partial, not run, unknown.
    pub search_outcomes: [usize; 4],
    /// Non-idempotent sends told each outcome.
    pub run_outcomes: [usize; 4],
    /// Requests that ran at upstreams.
    pub upstream_runs: usize,
    /// Promises broken.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, faults, search_outcomes, run_outcomes, upstream_runs, violations } =
            self;
        write!(
            f,
            "seed {seed} {faults:?} searches {search_outcomes:?} runs {run_outcomes:?} ran {upstream_runs}"
        )?;
        for violation in violations {
            write!(f, "\n  {violation}")?;
        }
        if !violations.is_empty() {
            write!(f, "\n  repeat: cargo run --release --example chaos -- --seed {seed}")?;
        }
        Ok(())
    }
}

/// The faults of a seed: all pairs come up in turn.
pub fn fault_pair(seed: u64) -> [Fault; 2] {
    let count = FAULTS.len() as u64;
    let first = seed % count;
    let second = (first + 1 + (seed / count) % (count - 1)) % count;
    [FAULTS[first as usize], FAULTS[second as usize]]
}

/// Runs one seed on a clock of its own; the same seed gives the same report.
pub fn run(seed: u64) -> Report {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.unwrap_or_else(|e| panic!("runtime: {e}"));
    runtime.block_on(drive(seed))
}

async fn drive(seed: u64) -> Report {
    let shape = ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.02 };
    let mut options = Options::new(shape, seed);
    options.nodes_per_domain = NODES_PER_DOMAIN;
    options.groups = GROUPS;
    options.deadline = Duration::from_millis(400);
    let cluster = Arc::new(Cluster::start(options).await);
    let record = Arc::new(Mutex::new(History::default()));
    let faults = fault_pair(seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut tasks = Vec::new();
    for fault in faults {
        let rng = ChaCha8Rng::seed_from_u64(rng.random());
        tasks.push(tokio::spawn(inject(cluster.clone(), fault, rng)));
    }
    for number in 0..SEARCHES + RUNS {
        let at = SPAN.mul_f64(rng.random());
        let mut own = ChaCha8Rng::seed_from_u64(rng.random());
        let (cluster, record) = (cluster.clone(), record.clone());
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(at).await;
            match number < SEARCHES {
                true => search(&cluster, &record, number, &mut own).await,
                false => resend(&cluster, &record, number, &mut own).await,
            }
        }));
    }
    for task in tasks {
        if let Err(e) = task.await {
            panic!("seed {seed}: {e}");
        }
    }
    // Whatever still runs is seen by the checks too.
    tokio::time::sleep(Duration::from_secs(2)).await;
    record.lock().events = cluster.event_log.events();
    report(seed, faults, &record.lock())
}

fn report(seed: u64, faults: [Fault; 2], record: &History) -> Report {
    let place = |outcome: Outcome| match outcome {
        Outcome::Complete => 0,
        Outcome::Partial => 1,
        Outcome::NotRun => 2,
        Outcome::Unknown => 3,
    };
    let (mut search_outcomes, mut run_outcomes) = ([0; 4], [0; 4]);
    record.searches.iter().for_each(|s| search_outcomes[place(s.answer.outcome)] += 1);
    let told = record.run_actions.iter().filter_map(|r| r.answer.as_ref());
    told.for_each(|t| run_outcomes[place(t.outcome)] += 1);
    let ran = |e: &&standin::event_log::Event| matches!(e, standin::event_log::Event::Ran { .. });
    let upstream_runs = record.events.iter().filter(ran).count();
    Report {
        seed,
        faults,
        search_outcomes,
        run_outcomes,
        upstream_runs,
        violations: check::all(record),
    }
}

async fn search(cluster: &Cluster, record: &Mutex<History>, number: usize, rng: &mut ChaCha8Rng) {
    let class = if rng.random() { FIRST_CLASS } else { SECOND_CLASS };
    let query = format_smolstr!("query-{number}");
    let node = cluster.node(rng.random_range(0..cluster.len()));
    if let Ok(answer) = cluster.search(&node, cluster::search_request(class, &query)).await {
        record.lock().searches.push(Search { query, answer });
    }
}

/// Sends a non-idempotent request, and sends it again in one of the ways that callers do.
async fn resend(cluster: &Cluster, record: &Mutex<History>, number: usize, rng: &mut ChaCha8Rng) {
    let body = format_smolstr!("order-{number}");
    let first = cluster.node(rng.random_range(0..cluster.len()));
    let named = first.addresses("tester").addresses;
    let Some(home) = named.first() else { return };
    let Ok(id) = format!("{}~{body}", home.home).parse::<RequestId>() else { return };
    let nodes: Vec<usize> = (0..cluster.len()).collect();
    let is_home = |i: &&usize| cluster.node(**i).context.settings.caller_addr == home.address;
    let home = nodes.iter().find(is_home).copied().unwrap_or(0);
    let pick = |rng: &mut ChaCha8Rng| *nodes.choose(rng).unwrap_or(&home);
    match rng.random_range(0..4) {
        0 => send(cluster, record, &body, &id, home, 0).await,
        1 => {
            send(cluster, record, &body, &id, home, 0).await;
            let again = pick(rng);
            send(cluster, record, &body, &id, again, 1).await;
        }
        2 => {
            let other = pick(rng);
            let one = send(cluster, record, &body, &id, home, 0);
            let two = send(cluster, record, &body, &id, other, 1);
            tokio::join!(one, two);
        }
        _ => {
            let (a, b) = (pick(rng), pick(rng));
            send(cluster, record, &body, &id, a, 0).await;
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..15_000))).await;
            send(cluster, record, &body, &id, b, 1).await;
        }
    }
}

async fn send(
    cluster: &Cluster,
    record: &Mutex<History>,
    body: &SmolStr,
    id: &RequestId,
    node: usize,
    send: usize,
) {
    let call = RunAction { body: body.clone(), send, answer: None, is_call: true };
    record.lock().run_actions.push(call.clone());
    let node = cluster.node(node);
    let told = cluster.run(&node, cluster::run_request(body, Some(id.clone()))).await.ok();
    record.lock().run_actions.push(RunAction { answer: told, is_call: false, ..call });
}

async fn inject(cluster: Arc<Cluster>, fault: Fault, mut rng: ChaCha8Rng) {
    tokio::time::sleep(FAULT_AFTER.mul_f64(rng.random::<f64>() + 0.5)).await;
    let upstreams = cluster.upstreams.all();
    let one = upstreams[rng.random_range(0..upstreams.len())].clone();
    let all = |change: &dyn Fn(&Arc<Upstream>)| upstreams.iter().for_each(change);
    let share = rng.random_range(0.02..0.4);
    match fault {
        Fault::SlowReplica => one.update_behaviour(|b| b.slowdown = 10.0),
        Fault::LostReplicas => lose_replicas(&upstreams, &mut rng).await,
        Fault::LostReplies => all(&|u| u.update_behaviour(|b| b.connection_loss_rate = share)),
        Fault::CrossedReplies => all(&|u| u.update_behaviour(|b| b.stale_reply_rate = share)),
        Fault::HalfReplies => all(&|u| u.update_behaviour(|b| b.half_coverage_rate = share)),
        Fault::MixedVersions => all(&|u| u.update_behaviour(|b| b.wrong_version_rate = share)),
        Fault::Sheds => all(&|u| u.update_behaviour(|b| b.shed_rate = share)),
        Fault::Failures => all(&|u| u.update_behaviour(|b| b.failure_rate = share)),
        Fault::VersionMoves => move_versions(&upstreams, &mut rng).await,
        Fault::Repartition => repartition(&cluster, &upstreams).await,
        Fault::Drains => {
            let honest = rng.random();
            for upstream in upstreams.iter().filter(|_| rng.random_bool(0.3)) {
                upstream.update_behaviour(|b| {
                    b.draining = true;
                    b.reports_draining = honest;
                });
            }
        }
        Fault::KilledNodes => {
            cluster.kill(rng.random_range(0..cluster.len()));
            tokio::time::sleep(FAULT_SPAN / 2).await;
            cluster.kill(rng.random_range(0..cluster.len()));
        }
        Fault::RestartedNodes => {
            for _ in 0..3 {
                cluster.restart(rng.random_range(0..cluster.len()));
                tokio::time::sleep(FAULT_SPAN / 3).await;
            }
        }
        Fault::Partition => {
            let nodes = cluster.peer_addresses();
            let (one, other) = nodes.split_at(rng.random_range(1..nodes.len()));
            cluster.mesh.partition(one, other);
            tokio::time::sleep(FAULT_SPAN).await;
            cluster.mesh.heal();
        }
        Fault::Pause => {
            tokio::time::advance(Duration::from_millis(rng.random_range(500..5_000))).await;
        }
        Fault::StalePlatform => {
            cluster.publish(Generation(9), Generation(1), GROUPS);
            tokio::time::sleep(FAULT_SPAN / 4).await;
            cluster.platform.change(|state| state.down = true);
            tokio::time::sleep(FAULT_SPAN / 4).await;
            cluster.publish(Generation(1), Generation(1), GROUPS);
            cluster.platform.change(|state| state.down = false);
        }
        Fault::LostHeartbeats => cluster.mesh.set_datagram_loss(share),
    }
}

async fn lose_replicas(upstreams: &[Arc<Upstream>], rng: &mut ChaCha8Rng) {
    let lost: Vec<&Arc<Upstream>> = upstreams.iter().filter(|_| rng.random_bool(0.25)).collect();
    lost.iter().for_each(|u| u.update_behaviour(|b| b.down = true));
    tokio::time::sleep(FAULT_SPAN).await;
    lost.iter().for_each(|u| u.update_behaviour(|b| b.down = false));
}

async fn move_versions(upstreams: &[Arc<Upstream>], rng: &mut ChaCha8Rng) {
    for step in 1..4 {
        for upstream in upstreams {
            let newest = Version(INITIAL_VERSION.0 + step);
            let keep = u64::from(rng.random::<bool>());
            let oldest = Version(newest.0 - keep);
            upstream.update_behaviour(|b| b.window = b.window.map(|_| Window { oldest, newest }));
            tokio::time::sleep(FAULT_SPAN / 200).await;
        }
    }
}

async fn repartition(cluster: &Cluster, upstreams: &[Arc<Upstream>]) {
    for (step, groups) in [(2, REPARTITIONED), (3, GROUPS)] {
        let map = Generation(step);
        // Servers get the new map before it is published, and drop old ones afterwards.
        upstreams.iter().for_each(|u| u.update_behaviour(|b| b.maps.push(map)));
        cluster.publish(Generation(step + 10), map, groups);
        tokio::time::sleep(FAULT_SPAN / 2).await;
    }
}
