//! Discrete-event queue model of pools of upstreams that several nodes send requests to, in
//! virtual time.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use base::{hash, id, unit::Revision};
use policy::relay::{
    load::Report,
    pool::{Pools, UpstreamHandle},
    registry::{Change, Entry, Event, Registry},
    request::{Cause, Completion, Plan, RequestState},
    retry_budget::RetryBound,
    upstream::AttemptEnd,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Network round trip to an upstream.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Failure domains; nodes and the upstreams of each pool are spread over them.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Requests take this many times as long.
    Slow(f64),
    /// It accepts requests and never replies.
    Silent,
    /// It refuses this share of requests.
    Refuses(f64),
    /// It fails this share of requests.
    Fails(f64),
}

/// What an upstream reports of its load in its replies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Told {
    Nothing,
    Truth,
    /// It always claims to be idle.
    Idle,
    /// It reports arbitrary numbers.
    Noise,
}

/// Load, upstreams and parameters of the decisions.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) pools: usize,
    pub(crate) nodes: usize,
    /// Requests per second to all nodes together.
    pub(crate) per_second: f64,
    /// Typical time that an upstream works on a request.
    pub(crate) work: Duration,
    pub(crate) goal: Duration,
    /// Part of the goal that the caller has spent before its request arrives.
    pub(crate) setup_time: Duration,
    /// Whether the node subtracts `setup_time` from the goal.
    pub(crate) knows_setup_time: bool,
    pub(crate) deadline: Duration,
    /// Least number of pools that must reply for an answer.
    pub(crate) min_replies: usize,
    pub(crate) max_attempts: usize,
    /// Whether admission control is used.
    pub(crate) admission: bool,
    /// Fault of an upstream, by the index of its pool and its index in the pool.
    pub(crate) fault: fn(pool: usize, upstream: usize) -> Fault,
    /// Whether upstreams share their VMs with other work, and slow down many times a second.
    pub(crate) shared_vms: bool,
    /// What an upstream reports, by the index of its pool and its index in the pool.
    pub(crate) told: fn(pool: usize, upstream: usize) -> Told,
    pub(crate) seconds: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            pools: 10,
            nodes: 15,
            per_second: 180.0,
            work: Duration::from_millis(15),
            goal: Duration::from_millis(120),
            setup_time: Duration::ZERO,
            knows_setup_time: true,
            deadline: Duration::from_secs(2),
            min_replies: 9,
            max_attempts: 2,
            admission: true,
            fault: |_, _| Fault::None,
            shared_vms: false,
            told: |_, _| Told::Nothing,
            seconds: 20,
        }
    }
}

/// Results of all requests of a simulation.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    /// Requests sent by callers.
    pub(crate) requests: usize,
    /// Sum of the values of all answers: the square of the share of pools that replied, and a
    /// tenth of it if the answer came after the goal.
    pub(crate) total_value: f64,
    /// Requests that failed.
    pub(crate) failed: usize,
    /// Requests refused before anything was sent.
    pub(crate) refused: usize,
    /// Longest time to an answer or a failure.
    pub(crate) longest: Duration,
    /// Number of second attempts for each first attempt.
    pub(crate) second_attempt_ratio: f64,
    /// Partial answers.
    pub(crate) partial: usize,
    /// Answers after the goal.
    pub(crate) late: usize,
    /// Second attempts that the budget denied.
    pub(crate) denied: usize,
    /// Attempts to the upstream that got most of them, as a multiple of the mean.
    pub(crate) busiest: f64,
}

impl Outcome {
    /// Returns the mean value of a request, from 0 to 1.
    pub(crate) fn mean_value(&self) -> f64 {
        self.total_value / self.requests as f64
    }

    /// Returns the share of requests that were answered by the goal.
    pub(crate) fn share_in_time(&self) -> f64 {
        let in_time = self.requests - self.failed - self.refused - self.late;
        in_time as f64 / self.requests as f64
    }
}

struct Upstream {
    /// When each slot becomes free.
    free_at: Vec<Duration>,
    /// When the first pause begins.
    first_pause: Duration,
    fault: Fault,
    shared_vm: bool,
    told: Told,
    seed: u64,
    attempts: usize,
    /// When the requests that it has not finished arrived and began, and when they end.
    jobs: Vec<(Duration, Duration, Duration)>,
}

/// Requests that an upstream runs concurrently.
const SLOTS: usize = 3;
/// Length of a pause, during which an upstream makes no progress.
const PAUSE: Duration = Duration::from_millis(150);
/// Time between the starts of two pauses of an upstream.
const PAUSE_INTERVAL: Duration = Duration::from_millis(3_600);
/// Time for which an upstream on a shared VM keeps its pace.
const PACE_INTERVAL: Duration = Duration::from_millis(120);
/// Share of the time in which other work slows it down, and how much.
const SLOW_PACE_SHARE: f64 = 0.25;
const SLOW_PACE: f64 = 4.0;

impl Upstream {
    /// Runs a request that arrives at `at` and takes `work`, and drops it at `until`. Returns
    /// when it ends, and whether it was completed.
    fn serve(&mut self, at: Duration, work: Duration, until: Duration) -> (Duration, bool) {
        let slot = self.free_at.iter_mut().min().expect("an upstream has slots");
        if (*slot).max(at) >= until {
            return (until, false);
        }
        let begin = (*slot).max(at);
        let mut end = if self.shared_vm { paced_end(self.seed, begin, work) } else { begin + work };
        let mut pause = self.first_pause;
        while pause < end {
            if pause + PAUSE > (*slot).max(at) {
                end += PAUSE;
            }
            pause += PAUSE_INTERVAL;
        }
        *slot = end.min(until);
        self.jobs.push((at, begin, end.min(until)));
        (end.min(until), end <= until)
    }

    /// Returns the load that it reports in a reply that it sends at `at`.
    fn report(&mut self, at: Duration) -> Option<Report> {
        self.jobs.retain(|(_, _, end)| *end > at);
        let present = self.jobs.iter().filter(|(arrived, _, _)| *arrived <= at);
        let begun = present.map(|(_, begin, _)| *begin <= at);
        let (running, waiting): (Vec<bool>, Vec<bool>) = begun.partition(|begun| *begun);
        let pace = if self.shared_vm { pace(self.seed, at) } else { 1.0 };
        let pace = if let Fault::Slow(x) = self.fault { pace * x } else { pace };
        let (running, waiting) = (running.len() as u32, waiting.len() as u32);
        let noise = hash::stable(&[&self.seed.to_be_bytes(), &at.as_nanos().to_be_bytes()]) as u32;
        match self.told {
            Told::Nothing => None,
            Told::Truth => Report::new(running, waiting, SLOTS as u32, Some((pace * 100.0) as u32)),
            Told::Idle => Report::new(0, 0, SLOTS as u32, Some(100)),
            Told::Noise => Report::new(noise % 4, noise / 4 % 20, 3, Some(10 + noise / 80 % 500)),
        }
    }
}

/// Returns how many times as long work takes at `at` on a shared VM.
fn pace(seed: u64, at: Duration) -> f64 {
    let interval = (at.as_nanos() / PACE_INTERVAL.as_nanos()) as u64;
    let draw = hash::stable(&[&seed.to_be_bytes(), &interval.to_be_bytes()]) as f64;
    if draw < SLOW_PACE_SHARE * u64::MAX as f64 { SLOW_PACE } else { 1.0 }
}

/// Returns when `work` ends that begins at `at` on a shared VM.
fn paced_end(seed: u64, mut at: Duration, mut work: Duration) -> Duration {
    loop {
        let pace = pace(seed, at);
        let next = PACE_INTERVAL * ((at.as_nanos() / PACE_INTERVAL.as_nanos()) as u32 + 1);
        let done = (next - at).div_f64(pace);
        if done >= work {
            return at + work.mul_f64(pace);
        }
        (at, work) = (next, work - done);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A request arrives at the node.
    Arrival(usize),
    /// The request with this index is polled.
    Wake(usize),
    /// An attempt ends.
    AttemptEnded {
        request: usize,
        pool_index: usize,
        node: usize,
        handle: UpstreamHandle,
        sent: Duration,
        reply: Reply,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Success,
    Failure,
    Refused,
}

/// Simulates `scenario` with random choices from `seed`.
pub(crate) fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = Instant::now();
    let pool_name = |p: usize| -> id::Pool { format!("pool-{p}").parse().expect("name") };
    let mut upstreams: BTreeMap<String, Upstream> = BTreeMap::new();
    let mut names: BTreeMap<(usize, UpstreamHandle), String> = BTreeMap::new();
    let mut events = Vec::new();
    for pool in 0..scenario.pools {
        for (index, domain) in DOMAINS.iter().enumerate() {
            let name = format!("u{pool}-{index}");
            let entry = Entry {
                instance: id::Instance(name.as_str().into()),
                born_ms: 1,
                pool: pool_name(pool),
                address: format!("10.0.{pool}.{index}:80").parse().expect("address"),
                domain: (*domain).into(),
                slots: SLOTS as u16,
                draining: false,
                cold: Duration::ZERO,
            };
            let revision = Revision(events.len() as u64 + 1);
            events.push(Event { key: name.as_str().into(), revision, change: Change::Put(entry) });
            let upstream = Upstream {
                free_at: vec![Duration::ZERO; SLOTS],
                first_pause: PAUSE_INTERVAL.mul_f64(rng.random()),
                fault: (scenario.fault)(pool, index),
                shared_vm: scenario.shared_vms,
                told: (scenario.told)(pool, index),
                seed: hash::stable(&[name.as_bytes(), &seed.to_be_bytes()]),
                attempts: 0,
                jobs: Vec::new(),
            };
            upstreams.insert(name, upstream);
        }
    }
    let mut registry = Registry::new(Duration::from_secs(3));
    let until = Revision(events.len() as u64);
    registry.apply(base, events, until);
    let bound = RetryBound { ratio: 0.2, slack: 116.0, window: Duration::from_secs(10) };
    let process_start =
        base.checked_sub(Duration::from_secs(60)).expect("the machine has been up for a minute");
    let mut nodes: Vec<Pools> = (0..scenario.nodes)
        .map(|n| {
            let mut pools = Pools::new(DOMAINS[n % 3].into(), bound, process_start);
            pools.set_node_count(Some(scenario.nodes));
            pools.sync(base, &registry);
            pools
        })
        .collect();

    let mut queue: BinaryHeap<Reverse<(Duration, SimEvent)>> = BinaryHeap::new();
    let mut at = Duration::ZERO;
    while at < Duration::from_secs(scenario.seconds) {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / scenario.per_second);
        queue.push(Reverse((at, SimEvent::Arrival(rng.random_range(0..scenario.nodes)))));
    }
    let mut outcome = Outcome::default();
    let mut requests: Vec<Option<(usize, Duration, RequestState)>> = Vec::new();
    let (mut first, mut second_attempts) = (0usize, 0usize);
    while let Some(Reverse((at, event))) = queue.pop() {
        let now = base + at;
        let index = match event {
            SimEvent::Arrival(node) => {
                let goal = match scenario.knows_setup_time {
                    true => scenario.goal - scenario.setup_time,
                    false => scenario.goal,
                };
                let plan = Plan {
                    pools: (0..scenario.pools).map(pool_name).collect(),
                    connection_limits: vec![66; scenario.pools],
                    min_replies: scenario.min_replies,
                    max_attempts: scenario.max_attempts,
                    repeatable: true,
                    rank: 0,
                    goal,
                    arrived: now,
                    deadline: now + scenario.deadline,
                };
                outcome.requests += 1;
                let mut request = RequestState::new(plan);
                if scenario.admission && !request.admit(now, &mut nodes[node], rng.random()) {
                    request.record_samples(now, &mut nodes[node]);
                    outcome.refused += 1;
                    continue;
                }
                requests.push(Some((node, at, request)));
                requests.len() - 1
            }
            SimEvent::Wake(request) => request,
            SimEvent::AttemptEnded { request, pool_index, node, handle, sent, reply } => {
                let end = match reply {
                    Reply::Success => AttemptEnd::Reply { success: true },
                    Reply::Failure => AttemptEnd::Reply { success: false },
                    Reply::Refused => AttemptEnd::Refused,
                };
                let upstream = names.get(&(node, handle)).and_then(|name| upstreams.get_mut(name));
                if let Some(report) = upstream.and_then(|u| u.report(at - ROUND_TRIP / 2)) {
                    nodes[node].record_load(now, handle, report);
                }
                nodes[node].record_end(now, handle, base + sent, end);
                if let Some((_, _, running)) = &mut requests[request] {
                    running.record_end(pool_index, end);
                }
                request
            }
        };
        let Some((node, arrived, request)) = &mut requests[index] else { continue };
        let node = *node;
        let mut completion = request.completion(now);
        if completion.is_none() {
            for attempt in request.due_attempts(now, &mut nodes[node], &mut rng) {
                match attempt.cause {
                    Cause::First => first += 1,
                    _ => second_attempts += 1,
                }
                let name = attempt.choice.entry.instance.to_string();
                let upstream = upstreams.get_mut(&name).expect("the upstream exists");
                upstream.attempts += 1;
                if upstream.told != Told::Nothing {
                    names.entry((node, attempt.choice.handle)).or_insert(name);
                }
                let refused = matches!(upstream.fault, Fault::Refuses(x) if rng.random_bool(x));
                let failed = matches!(upstream.fault, Fault::Fails(x) if rng.random_bool(x));
                let slow = if let Fault::Slow(x) = upstream.fault { x } else { 1.0 };
                let spread = 0.5 + rng.random::<f64>();
                let tail = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
                let work = scenario.work.mul_f64(slow * spread * tail);
                let (done, reply) = if refused {
                    (at + ROUND_TRIP, Reply::Refused)
                } else if upstream.fault == Fault::Silent {
                    continue;
                } else {
                    let until = request.attempt_deadline();
                    let until = until.saturating_duration_since(base);
                    let (done, completed) = upstream.serve(at + ROUND_TRIP / 2, work, until);
                    let success = completed && !failed;
                    (done + ROUND_TRIP / 2, if success { Reply::Success } else { Reply::Failure })
                };
                let event = SimEvent::AttemptEnded {
                    request: index,
                    pool_index: attempt.pool_index,
                    node,
                    handle: attempt.choice.handle,
                    sent: at,
                    reply,
                };
                queue.push(Reverse((done, event)));
            }
            completion = request.completion(now);
        }
        let Some(completion) = completion else {
            let wake = request.next_wake(now).saturating_duration_since(base);
            let wake = wake.max(at + Duration::from_micros(100));
            queue.push(Reverse((wake, SimEvent::Wake(index))));
            continue;
        };
        let elapsed = at - *arrived + scenario.setup_time;
        outcome.longest = outcome.longest.max(elapsed);
        outcome.denied += request.denied();
        request.record_samples(now, &mut nodes[node]);
        let share = request.replied() as f64 / scenario.pools as f64;
        match completion {
            Completion::Failed { .. } => outcome.failed += 1,
            Completion::Complete | Completion::Partial => {
                let late = if elapsed > scenario.goal { 0.1 } else { 1.0 };
                outcome.late += usize::from(elapsed > scenario.goal);
                outcome.partial += usize::from(completion == Completion::Partial);
                outcome.total_value += share * share * late;
            }
        }
        requests[index] = None;
    }
    let attempts: Vec<usize> = upstreams.values().map(|u| u.attempts).collect();
    let mean = attempts.iter().sum::<usize>() as f64 / attempts.len() as f64;
    outcome.busiest = attempts.into_iter().max().unwrap_or_default() as f64 / mean;
    outcome.second_attempt_ratio = second_attempts as f64 / first as f64;
    outcome
}
