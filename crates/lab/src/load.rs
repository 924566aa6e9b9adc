//! Load experiments on virtual time: policies under load and faults, side by side.

use std::{sync::Arc, time::Duration};

use base::id;
use config::settings::Routing;
use hdrhistogram::Histogram;
use node::edge::{Sub, Upstream as _};
use parking_lot::Mutex;
use policy::{group, outcome::Outcome};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use standin::{service_time::ServiceTime, upstream_set::INITIAL_VERSION};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::upstream;

use crate::cluster::{self, Cluster, FIRST_CLASS, Options, SECOND_CLASS};

/// One way between a caller and a node.
const CALLER_DELAY: Duration = Duration::from_millis(1);
/// The runtime's timers round up to this; half of it is added to each time on average.
const TIMER: Duration = Duration::from_millis(1);
/// Share of queries at the start that are not measured.
const WARM_UP: f64 = 0.1;
const GROUPS: usize = 25;
/// Longest latency that is told apart, in microseconds.
pub(crate) const MAX_LATENCY_US: u64 = 600_000_000;
const PLACES_PER_GROUP: f64 = 9.0;

/// How queries are run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Baseline: a random replica of each group, a retry elsewhere on error, nothing else.
    Plain,
    /// The product, each node reaching all upstreams itself.
    Direct,
    /// The product, with a leaf for each group in each failure domain.
    Cells,
    /// As `Cells`, without hedges.
    CellsNoHedge,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One replica of one group is ten times slower.
    SlowReplica,
    /// All upstreams of one failure domain stall together, again and again.
    DomainStalls,
    /// All upstreams of a group are down for a while, in the middle of the run.
    GroupOutage,
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Trial {
    /// How queries are run.
    pub policy: Policy,
    /// Offered load as a share of all slots.
    pub load: f64,
    /// Share of queries that are of the first class.
    pub first_class_share: f64,
    /// Queries.
    pub queries: usize,
    /// Service time.
    pub service_time: ServiceTime,
    /// What goes wrong.
    pub fault: Fault,
    /// Deadline of queries.
    pub deadline: Duration,
    /// Seed.
    pub seed: u64,
}

impl Trial {
    /// A healthy trial of one class.
    pub fn new(policy: Policy, load: f64, queries: usize, seed: u64) -> Trial {
        Trial {
            policy,
            load,
            first_class_share: 1.0,
            queries,
            service_time: standin::service_time::STANDARD,
            fault: Fault::None,
            deadline: Duration::from_secs(2),
            seed,
        }
    }
}

/// Figures of one class in one experiment.
#[derive(Debug, Clone)]
pub struct ClassFigures {
    /// Latency of answers, in microseconds, from the intended start.
    pub latency: Histogram<u64>,
    /// Queries.
    pub queries: u64,
    /// Complete answers.
    pub complete: u64,
    /// Refusals "not run".
    pub not_run: u64,
    /// Sum of coverage.
    pub coverage_sum: f64,
}

impl ClassFigures {
    fn new() -> ClassFigures {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .unwrap_or_else(|_| unreachable!("a valid precision"));
        ClassFigures { latency, queries: 0, complete: 0, not_run: 0, coverage_sum: 0.0 }
    }

    /// A quantile of latency, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Mean coverage of all queries, from 0 to 1.
    pub fn mean_coverage(&self) -> f64 {
        self.coverage_sum / self.queries.max(1) as f64
    }
}

/// Figures of one experiment.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Of the first class.
    pub first: ClassFigures,
    /// Of the second class.
    pub second: ClassFigures,
    /// Sub-requests that arrived at upstreams, for each that the run queries needed.
    pub sent_per_needed: f64,
    /// Share of arrivals that found all slots of the server taken.
    pub queued_share: f64,
    /// Hedges per sub-request.
    pub hedges: f64,
    /// Retries per sub-request.
    pub retries: f64,
    /// Complete answers per second of both classes.
    pub goodput: f64,
    /// Complete answers of each tenth of the run.
    pub p99_ms_by_tenth: Vec<f64>,
}

/// Runs one experiment; the same trial gives the same figures.
pub fn run(trial: &Trial) -> Figures {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.unwrap_or_else(|e| panic!("runtime: {e}"));
    runtime.block_on(drive(trial))
}

/// Queries a second that make up `load` of all slots.
pub fn arrival_rate(shape: ServiceTime, load: f64) -> f64 {
    load * PLACES_PER_GROUP / (shape.mean() + TIMER / 2).as_secs_f64()
}

#[derive(Debug)]
struct Tally {
    first: ClassFigures,
    second: ClassFigures,
    tenths: Vec<Histogram<u64>>,
}

async fn drive(trial: &Trial) -> Figures {
    let mut options = Options::new(trial.service_time, trial.seed);
    options.groups = GROUPS;
    options.deadline = trial.deadline;
    options.routing =
        if trial.policy == Policy::Direct { Routing::Direct } else { Routing::ViaLeaf };
    options.mechanisms =
        group::Options { hedge: trial.policy != Policy::CellsNoHedge, adaptive: true };
    let cluster = Arc::new(Cluster::start(options).await);
    cluster.event_log.count_only();
    let mut rng = ChaCha8Rng::seed_from_u64(trial.seed);
    let rate = arrival_rate(trial.service_time, trial.load);
    let gap = Exp::new(rate).unwrap_or_else(|_| unreachable!("a positive rate"));
    let span = Duration::from_secs_f64(trial.queries as f64 / rate);
    let fault = tokio::spawn(bring_about(cluster.clone(), trial.fault, span));
    let tenths = (0..10).map(|_| ClassFigures::new().latency).collect();
    let tally = Arc::new(Mutex::new(Tally {
        first: ClassFigures::new(),
        second: ClassFigures::new(),
        tenths,
    }));
    let skipped = (trial.queries as f64 * WARM_UP) as usize;
    let mut before = (cluster.event_log.counts(), leaf_counts(&cluster));
    let begun = Instant::now();
    let mut at = begun;
    let mut tasks = Vec::new();
    for number in 0..trial.queries {
        if number == skipped {
            before = (cluster.event_log.counts(), leaf_counts(&cluster));
        }
        at += Duration::from_secs_f64(gap.sample(&mut rng));
        tokio::time::sleep_until(at).await;
        let query = Query {
            cluster: cluster.clone(),
            tally: tally.clone(),
            policy: trial.policy,
            deadline: trial.deadline,
            first: rng.random::<f64>() < trial.first_class_share,
            counted: number >= skipped,
            tenth: number * 10 / trial.queries,
            number,
            seed: rng.random(),
        };
        tasks.push(tokio::spawn(query.run(at)));
    }
    for task in tasks {
        if let Err(e) = task.await {
            panic!("query: {e}");
        }
    }
    let took = begun.elapsed().as_secs_f64() * (1.0 - WARM_UP);
    fault.abort();
    figures(&cluster, &tally.lock(), before, took)
}

fn leaf_counts(cluster: &Cluster) -> policy::job::Counts {
    let mut sum = policy::job::Counts::default();
    for counts in cluster.nodes().iter().map(|n| n.leaf.counts()) {
        sum.jobs += counts.jobs;
        sum.hedges += counts.hedges;
        sum.retries += counts.retries;
    }
    sum
}

fn figures(
    cluster: &Cluster,
    tally: &Tally,
    (log, leaf): (standin::event_log::Counts, policy::job::Counts),
    took: f64,
) -> Figures {
    let (log_now, leaf_now) = (cluster.event_log.counts(), leaf_counts(cluster));
    let arrived = (log_now.arrived - log.arrived) as f64;
    let run = |c: &ClassFigures| c.queries - c.not_run;
    let needed = ((run(&tally.first) + run(&tally.second)) * GROUPS as u64).max(1) as f64;
    let jobs = (leaf_now.jobs - leaf.jobs).max(1) as f64;
    Figures {
        sent_per_needed: arrived / needed,
        queued_share: (log_now.queued - log.queued) as f64 / arrived.max(1.0),
        hedges: (leaf_now.hedges - leaf.hedges) as f64 / jobs,
        retries: (leaf_now.retries - leaf.retries) as f64 / jobs,
        goodput: (tally.first.complete + tally.second.complete) as f64 / took,
        p99_ms_by_tenth: tally
            .tenths
            .iter()
            .map(|h| h.value_at_quantile(0.99) as f64 / 1e3)
            .collect(),
        first: tally.first.clone(),
        second: tally.second.clone(),
    }
}

async fn bring_about(cluster: Arc<Cluster>, fault: Fault, span: Duration) {
    let group = &cluster::deployment(
        &cluster.options,
        base::unit::Generation(1),
        base::unit::Generation(1),
        GROUPS,
    )
    .services[0]
        .groups[0];
    let upstreams: Vec<_> =
        group.servers.iter().filter_map(|s| cluster.upstreams.get(s.upstream)).cloned().collect();
    match fault {
        Fault::None => {}
        Fault::SlowReplica => upstreams[0].update_behaviour(|b| b.slowdown = 10.0),
        Fault::DomainStalls => stall_domain(&cluster).await,
        Fault::GroupOutage => {
            tokio::time::sleep(span.mul_f64(0.3)).await;
            upstreams.iter().for_each(|u| u.update_behaviour(|b| b.down = true));
            tokio::time::sleep(OUTAGE_DURATION).await;
            upstreams.iter().for_each(|u| {
                u.update_behaviour(|b| {
                    b.down = false;
                    b.slowdown = COLD;
                });
            });
            tokio::time::sleep(COLD_SPAN).await;
            upstreams.iter().for_each(|u| u.update_behaviour(|b| b.slowdown = 1.0));
        }
    }
}

/// Stalls the first replica of each group, which are in one failure domain.
async fn stall_domain(cluster: &Cluster) {
    let one = base::unit::Generation(1);
    let deployment = cluster::deployment(&cluster.options, one, one, GROUPS);
    let first = deployment.services[0].groups.iter().filter_map(|g| g.servers.first());
    let upstreams: Vec<_> = first.filter_map(|s| cluster.upstreams.get(s.upstream)).collect();
    let slow =
        |factor: f64| upstreams.iter().for_each(|u| u.update_behaviour(|b| b.slowdown = factor));
    loop {
        tokio::time::sleep(STALL_EVERY).await;
        slow(STALLED);
        tokio::time::sleep(STALL_SPAN).await;
        slow(1.0);
    }
}

/// Requests that start within a stall of their failure domain take so many times longer.
const STALLED: f64 = 10.0;
const STALL_EVERY: Duration = Duration::from_secs(2);
const STALL_SPAN: Duration = Duration::from_millis(100);
/// Length of an outage of a group.
pub const OUTAGE_DURATION: Duration = Duration::from_secs(10);
/// Factor on the service time of an upstream that has just started, and for how long.
const COLD: f64 = 2.0;
const COLD_SPAN: Duration = Duration::from_secs(2);

struct Query {
    cluster: Arc<Cluster>,
    tally: Arc<Mutex<Tally>>,
    policy: Policy,
    deadline: Duration,
    first: bool,
    counted: bool,
    tenth: usize,
    number: usize,
    seed: u64,
}

impl Query {
    async fn run(self, intended: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        tokio::time::sleep(CALLER_DELAY).await;
        let (outcome, coverage) = match self.policy {
            Policy::Plain => self.plain(&mut rng).await,
            _ => self.product(&mut rng).await,
        };
        tokio::time::sleep(CALLER_DELAY).await;
        let us = intended.elapsed().as_micros() as u64;
        let mut tally = self.tally.lock();
        if matches!(outcome, Outcome::Complete | Outcome::Partial) {
            tally.tenths[self.tenth].saturating_record(us);
        }
        if !self.counted {
            return;
        }
        let class = if self.first { &mut tally.first } else { &mut tally.second };
        class.queries += 1;
        class.coverage_sum += coverage;
        class.complete += u64::from(outcome == Outcome::Complete);
        class.not_run += u64::from(outcome == Outcome::NotRun);
        if outcome != Outcome::NotRun {
            class.latency.saturating_record(us);
        }
    }

    async fn product(&self, rng: &mut ChaCha8Rng) -> (Outcome, f64) {
        let node = self.cluster.node(rng.random_range(0..self.cluster.len()));
        let class = if self.first { FIRST_CLASS } else { SECOND_CLASS };
        let call = cluster::search_request(class, &format!("query-{}", self.number));
        match self.cluster.search(&node, call).await {
            Ok(answer) => (answer.outcome, answer.coverage.as_f64()),
            Err(cluster::NoAnswer) => (Outcome::Unknown, 0.0),
        }
    }

    async fn plain(&self, rng: &mut ChaCha8Rng) -> (Outcome, f64) {
        let one = base::unit::Generation(1);
        let deployment = cluster::deployment(&self.cluster.options, one, one, GROUPS);
        let service = &deployment.services[0];
        let asked = service.groups.iter().map(|group| {
            let first = rng.random_range(0..group.servers.len());
            async move {
                for turn in 0..2 {
                    let server = &group.servers[(first + turn) % group.servers.len()];
                    if self.attempt(service, group.range, server.upstream).await {
                        return true;
                    }
                }
                false
            }
        });
        let asked: Vec<_> = asked.collect();
        let all = futures::future::join_all(
            asked.into_iter().map(|a| tokio::time::timeout(self.deadline, a)),
        );
        let done = all.await.into_iter().filter(|r| *r == Ok(true)).count();
        let outcome = if done == GROUPS { Outcome::Complete } else { Outcome::Partial };
        (outcome, done as f64 / GROUPS as f64)
    }

    async fn attempt(
        &self,
        service: &config::deployment::Service,
        range: base::keyspace::KeyRange,
        upstream: id::Upstream,
    ) -> bool {
        let node = self.cluster.node(0);
        let request = upstream::Request {
            attempt: id::Attempt(self.number as u64),
            sender: node.context.sender(),
            service: service.name.clone(),
            map: service.map,
            version: Some(INITIAL_VERSION),
            range,
            rank: 0,
            limit: 1,
            remaining_ms: 0,
            body: String::new(),
        };
        let sub = Sub {
            upstream,
            request,
            deadline: (Instant::now() + self.deadline).into_std(),
            connections: usize::MAX,
            cancel: CancellationToken::new(),
        };
        self.cluster.upstreams.request(sub).await.is_ok()
    }
}
