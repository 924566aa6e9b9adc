//! Load experiments on virtual time, which compare query policies under load and faults.

use std::{sync::Arc, time::Duration};

use base::id;
use config::settings::Routing;
use hdrhistogram::Histogram;
use node::external::{SubRequest, Upstream as _};
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

/// One-way delay between a caller and a node.
const CALLER_DELAY: Duration = Duration::from_millis(1);
/// Resolution of the runtime's timers, which round up: each service time grows by half of it on
/// average.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
/// Share of queries at the start of a run that are not measured, from 0 to 1.
const WARM_UP: f64 = 0.1;
const GROUPS: usize = 25;
/// Highest latency that histograms resolve, in microseconds.
pub(crate) const MAX_LATENCY_US: u64 = 600_000_000;
const SLOTS_PER_GROUP: f64 = 9.0;

/// Policy by which queries are run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Baseline without nodes: each group's sub-request goes to a random replica and is retried
    /// once, on another replica, after an error. There is no other mechanism.
    Plain,
    /// Real nodes with direct routing: each node sends to all upstreams itself.
    Direct,
    /// Real nodes with a leaf for each group in each failure domain.
    Cells,
    /// `Cells` without hedged requests.
    CellsNoHedge,
}

/// Fault injected into an experiment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// One replica of one group is ten times slower.
    SlowReplica,
    /// All search upstreams of one failure domain stall at the same time, periodically.
    DomainStalls,
    /// All upstreams of one group go down in the middle of the run and come back cold.
    GroupOutage,
}

/// Parameters of one experiment.
#[derive(Debug, Clone)]
pub struct Trial {
    /// Policy by which queries are run.
    pub policy: Policy,
    /// Offered load as a share of the capacity of all slots; above 1 is overload.
    pub load: f64,
    /// Share of queries in the first class, from 0 to 1.
    pub first_class_share: f64,
    /// Number of queries.
    pub queries: usize,
    /// Service time distribution of upstreams.
    pub service_time: ServiceTime,
    /// Injected fault.
    pub fault: Fault,
    /// Deadline of each query.
    pub deadline: Duration,
    /// Seed of all random number generators.
    pub seed: u64,
}

impl Trial {
    /// Returns a trial without faults in which all queries are of the first class.
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

/// Measurements of one class in one experiment.
#[derive(Debug, Clone)]
pub struct ClassFigures {
    /// Latency of all queries but those not run, in microseconds from the intended start, so that
    /// delayed starts count.
    pub latency: Histogram<u64>,
    /// Number of queries.
    pub queries: u64,
    /// Queries answered completely.
    pub complete: u64,
    /// Queries refused with the outcome "not run".
    pub not_run: u64,
    /// Sum of the coverage of all queries, each from 0 to 1.
    pub coverage_sum: f64,
}

impl ClassFigures {
    fn new() -> ClassFigures {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .unwrap_or_else(|_| unreachable!("the histogram bounds are valid"));
        ClassFigures { latency, queries: 0, complete: 0, not_run: 0, coverage_sum: 0.0 }
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the mean coverage of all queries, from 0 to 1.
    pub fn mean_coverage(&self) -> f64 {
        self.coverage_sum / self.queries.max(1) as f64
    }
}

/// Measurements of one experiment.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Measurements of the first class.
    pub first: ClassFigures,
    /// Measurements of the second class.
    pub second: ClassFigures,
    /// Sub-requests that arrived at upstreams per sub-request needed by the queries that ran.
    pub sent_per_needed: f64,
    /// Share of arrivals that found all slots of the server occupied, from 0 to 1.
    pub queued_share: f64,
    /// Hedged requests per sub-request.
    pub hedges: f64,
    /// Retries per sub-request.
    pub retries: f64,
    /// Complete answers per second, over both classes.
    pub goodput: f64,
    /// 99th percentile of the latency of answers in each tenth of the queries, in milliseconds.
    pub p99_ms_by_tenth: Vec<f64>,
}

/// Runs one experiment. The same trial gives the same figures.
pub fn run(trial: &Trial) -> Figures {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.unwrap_or_else(|e| panic!("building the runtime failed: {e}"));
    runtime.block_on(drive(trial))
}

/// Returns the arrival rate, in queries per second, that occupies the share `load` of all slots.
pub fn arrival_rate(service_time: ServiceTime, load: f64) -> f64 {
    load * SLOTS_PER_GROUP / (service_time.mean() + TIMER_RESOLUTION / 2).as_secs_f64()
}

#[derive(Debug)]
struct Tally {
    first: ClassFigures,
    second: ClassFigures,
    /// Latency of answers in each tenth of the queries, in microseconds.
    latency_by_tenth: Vec<Histogram<u64>>,
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
    let interarrival =
        Exp::new(rate).unwrap_or_else(|_| unreachable!("the arrival rate is positive"));
    let expected_duration = Duration::from_secs_f64(trial.queries as f64 / rate);
    let fault = tokio::spawn(inject(cluster.clone(), trial.fault, expected_duration));
    let latency_by_tenth = (0..10).map(|_| ClassFigures::new().latency).collect();
    let tally = Arc::new(Mutex::new(Tally {
        first: ClassFigures::new(),
        second: ClassFigures::new(),
        latency_by_tenth,
    }));
    let warm_up = (trial.queries as f64 * WARM_UP) as usize;
    let mut before = (cluster.event_log.counts(), leaf_counts(&cluster));
    let started = Instant::now();
    let mut at = started;
    let mut tasks = Vec::new();
    for number in 0..trial.queries {
        if number == warm_up {
            before = (cluster.event_log.counts(), leaf_counts(&cluster));
        }
        at += Duration::from_secs_f64(interarrival.sample(&mut rng));
        tokio::time::sleep_until(at).await;
        let query = Query {
            cluster: cluster.clone(),
            tally: tally.clone(),
            policy: trial.policy,
            deadline: trial.deadline,
            first: rng.random::<f64>() < trial.first_class_share,
            measured: number >= warm_up,
            tenth: number * 10 / trial.queries,
            number,
            seed: rng.random(),
        };
        tasks.push(tokio::spawn(query.run(at)));
    }
    for task in tasks {
        if let Err(e) = task.await {
            panic!("a query task failed: {e}");
        }
    }
    let seconds = started.elapsed().as_secs_f64() * (1.0 - WARM_UP);
    fault.abort();
    figures(&cluster, &tally.lock(), before, seconds)
}

/// Returns the sum of the schedulers' counts over all running nodes.
fn leaf_counts(cluster: &Cluster) -> policy::job::Counts {
    let mut sum = policy::job::Counts::default();
    for counts in cluster.nodes().iter().map(|n| n.leaf.counts()) {
        sum.jobs += counts.jobs;
        sum.hedges += counts.hedges;
        sum.retries += counts.retries;
    }
    sum
}

/// Computes the figures of a run from its tally and from the counts at the end of the warm-up.
fn figures(
    cluster: &Cluster,
    tally: &Tally,
    (events, leaf): (standin::event_log::Counts, policy::job::Counts),
    seconds: f64,
) -> Figures {
    let (events_now, leaf_now) = (cluster.event_log.counts(), leaf_counts(cluster));
    let arrived = (events_now.arrived - events.arrived) as f64;
    let ran = |c: &ClassFigures| c.queries - c.not_run;
    let needed = ((ran(&tally.first) + ran(&tally.second)) * GROUPS as u64).max(1) as f64;
    let jobs = (leaf_now.jobs - leaf.jobs).max(1) as f64;
    Figures {
        sent_per_needed: arrived / needed,
        queued_share: (events_now.queued - events.queued) as f64 / arrived.max(1.0),
        hedges: (leaf_now.hedges - leaf.hedges) as f64 / jobs,
        retries: (leaf_now.retries - leaf.retries) as f64 / jobs,
        goodput: (tally.first.complete + tally.second.complete) as f64 / seconds,
        p99_ms_by_tenth: tally
            .latency_by_tenth
            .iter()
            .map(|h| h.value_at_quantile(0.99) as f64 / 1e3)
            .collect(),
        first: tally.first.clone(),
        second: tally.second.clone(),
    }
}

/// Injects `fault` into a run of about `expected_duration`.
async fn inject(cluster: Arc<Cluster>, fault: Fault, expected_duration: Duration) {
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
            tokio::time::sleep(expected_duration.mul_f64(0.3)).await;
            upstreams.iter().for_each(|u| u.update_behaviour(|b| b.down = true));
            tokio::time::sleep(OUTAGE_DURATION).await;
            upstreams.iter().for_each(|u| {
                u.update_behaviour(|b| {
                    b.down = false;
                    b.slowdown = COLD_SLOWDOWN;
                });
            });
            tokio::time::sleep(COLD_DURATION).await;
            upstreams.iter().for_each(|u| u.update_behaviour(|b| b.slowdown = 1.0));
        }
    }
}

/// Periodically stalls the first replica of each search group; these replicas share a failure
/// domain.
async fn stall_domain(cluster: &Cluster) {
    let one = base::unit::Generation(1);
    let deployment = cluster::deployment(&cluster.options, one, one, GROUPS);
    let first = deployment.services[0].groups.iter().filter_map(|g| g.servers.first());
    let upstreams: Vec<_> = first.filter_map(|s| cluster.upstreams.get(s.upstream)).collect();
    let set_slowdown =
        |factor: f64| upstreams.iter().for_each(|u| u.update_behaviour(|b| b.slowdown = factor));
    loop {
        tokio::time::sleep(STALL_INTERVAL).await;
        set_slowdown(STALL_SLOWDOWN);
        tokio::time::sleep(STALL_DURATION).await;
        set_slowdown(1.0);
    }
}

/// Factor on the service time of requests that arrive during a stall of their failure domain.
const STALL_SLOWDOWN: f64 = 10.0;
/// Time from the end of one stall to the start of the next.
const STALL_INTERVAL: Duration = Duration::from_secs(2);
const STALL_DURATION: Duration = Duration::from_millis(100);
/// Duration of the outage of a group.
pub const OUTAGE_DURATION: Duration = Duration::from_secs(10);
/// Factor on the service time of upstreams that have just restarted.
const COLD_SLOWDOWN: f64 = 2.0;
/// Time during which restarted upstreams are slow.
const COLD_DURATION: Duration = Duration::from_secs(2);

/// One query of a trial.
struct Query {
    cluster: Arc<Cluster>,
    tally: Arc<Mutex<Tally>>,
    policy: Policy,
    deadline: Duration,
    /// Whether the query is in the first class.
    first: bool,
    /// Whether the query is measured, that is, after the warm-up.
    measured: bool,
    /// Tenth of the queries that the query belongs to, from 0 to 9.
    tenth: usize,
    number: usize,
    seed: u64,
}

impl Query {
    /// Runs the query and records its result. Latency counts from `intended_start`.
    async fn run(self, intended_start: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        tokio::time::sleep(CALLER_DELAY).await;
        let (outcome, coverage) = match self.policy {
            Policy::Plain => self.run_baseline(&mut rng).await,
            _ => self.run_on_node(&mut rng).await,
        };
        tokio::time::sleep(CALLER_DELAY).await;
        let latency_us = intended_start.elapsed().as_micros() as u64;
        let mut tally = self.tally.lock();
        if matches!(outcome, Outcome::Complete | Outcome::Partial) {
            tally.latency_by_tenth[self.tenth].saturating_record(latency_us);
        }
        if !self.measured {
            return;
        }
        let class = if self.first { &mut tally.first } else { &mut tally.second };
        class.queries += 1;
        class.coverage_sum += coverage;
        class.complete += u64::from(outcome == Outcome::Complete);
        class.not_run += u64::from(outcome == Outcome::NotRun);
        if outcome != Outcome::NotRun {
            class.latency.saturating_record(latency_us);
        }
    }

    /// Sends the query to a random node. Returns its outcome and coverage.
    async fn run_on_node(&self, rng: &mut ChaCha8Rng) -> (Outcome, f64) {
        let node = self.cluster.node(rng.random_range(0..self.cluster.len()));
        let class = if self.first { FIRST_CLASS } else { SECOND_CLASS };
        let call = cluster::search_request(class, &format!("query-{}", self.number));
        match self.cluster.search(&node, call).await {
            Ok(answer) => (answer.outcome, answer.coverage.as_f64()),
            Err(cluster::NoAnswer) => (Outcome::Unknown, 0.0),
        }
    }

    /// Runs the query by the baseline policy, without a node. Returns its outcome and coverage.
    async fn run_baseline(&self, rng: &mut ChaCha8Rng) -> (Outcome, f64) {
        let one = base::unit::Generation(1);
        let deployment = cluster::deployment(&self.cluster.options, one, one, GROUPS);
        let service = &deployment.services[0];
        let sub_requests = service.groups.iter().map(|group| {
            let first = rng.random_range(0..group.servers.len());
            async move {
                for attempt in 0..2 {
                    let server = &group.servers[(first + attempt) % group.servers.len()];
                    if self.attempt(service, group.range, server.upstream).await {
                        return true;
                    }
                }
                false
            }
        });
        let sub_requests: Vec<_> = sub_requests.collect();
        let results = futures::future::join_all(
            sub_requests.into_iter().map(|s| tokio::time::timeout(self.deadline, s)),
        );
        let answered = results.await.into_iter().filter(|r| *r == Ok(true)).count();
        let outcome = if answered == GROUPS { Outcome::Complete } else { Outcome::Partial };
        (outcome, answered as f64 / GROUPS as f64)
    }

    /// Sends one sub-request to `upstream` and returns whether it got a reply.
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
        let sub = SubRequest {
            upstream,
            request,
            deadline: (Instant::now() + self.deadline).into_std(),
            max_connections: usize::MAX,
            cancel: CancellationToken::new(),
        };
        self.cluster.upstreams.request(sub).await.is_ok()
    }
}
