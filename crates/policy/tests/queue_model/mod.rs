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

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    /// Share of the requests.
    pub(crate) share: f64,
    pub(crate) rank: u32,
    pub(crate) work: Duration,
    pub(crate) goal: Duration,
    pub(crate) min_replies: usize,
}

/// Who decides what is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Decision {
    /// Every request is sent.
    Everything,
    /// The decision of the nodes.
    Nodes,
    /// The nodes choose upstreams, but requests that too few pools would serve in time are refused,
    /// with knowledge of all queues.
    Foresight,
    /// One scheduler that knows all queues, the capacity and the demand by class. It sends a request
    /// to the pools that will serve it in time, and to no other.
    Oracle,
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
    pub(crate) decision: Decision,
    /// Whether slow attempts are followed by second attempts.
    pub(crate) hedges: bool,
    /// Classes of requests; if empty, one class of `work`, `goal` and `min_replies`.
    pub(crate) classes: Vec<Class>,
    /// Requests that an upstream runs concurrently, and that wait for that.
    pub(crate) slots: usize,
    pub(crate) queue: usize,
    /// Length of a pause, during which an upstream makes no progress, and the time between the
    /// starts of two pauses.
    pub(crate) pause: Duration,
    pub(crate) pause_interval: Duration,
    /// Factor on the requests per second, by time.
    pub(crate) load: fn(Duration) -> f64,
    /// Start and end of an outage in which each pool has one upstream left. Later there are new
    /// processes.
    pub(crate) outage: Option<(Duration, Duration)>,
    /// Time whose requests count by class in the outcome.
    pub(crate) counted: (Duration, Duration),
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
            decision: Decision::Nodes,
            hedges: true,
            classes: Vec::new(),
            slots: 3,
            queue: usize::MAX,
            pause: Duration::from_millis(150),
            pause_interval: Duration::from_millis(3_600),
            load: |_| 1.0,
            outage: None,
            counted: (Duration::ZERO, Duration::MAX),
            fault: |_, _| Fault::None,
            shared_vms: false,
            told: |_, _| Told::Nothing,
            seconds: 20,
        }
    }
}

/// Results of the requests of a class.
#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct ClassOutcome {
    pub(crate) requests: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) failed: usize,
    pub(crate) refused: usize,
    /// As [`Outcome::total_value`].
    pub(crate) value: f64,
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
    /// Results of the counted time by class.
    pub(crate) classes: Vec<ClassOutcome>,
    /// Requests and their value, by tenth of a second of their arrival.
    pub(crate) timeline: Vec<(usize, f64)>,
    /// Time that slots were busy with requests of the counted time, with the second attempts among
    /// them, and with requests that failed or were late.
    pub(crate) busy: Duration,
    pub(crate) busy_second: Duration,
    pub(crate) busy_in_vain: Duration,
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

/// Result of a request at an upstream.
struct Service {
    end: Duration,
    reply: Reply,
    /// Time for which a slot was busy with it.
    busy: Duration,
}

struct Upstream {
    /// When each slot becomes free.
    free_at: Vec<Duration>,
    /// When each request in the queue leaves it.
    queued_until: Vec<Duration>,
    queue: usize,
    /// When the first pause begins.
    first_pause: Duration,
    pause: Duration,
    pause_interval: Duration,
    fault: Fault,
    shared_vm: bool,
    told: Told,
    seed: u64,
    attempts: usize,
    /// When the requests that it has not finished arrived and began, and when they end.
    jobs: Vec<(Duration, Duration, Duration)>,
}

/// Time for which an upstream on a shared VM keeps its pace.
const PACE_INTERVAL: Duration = Duration::from_millis(120);
/// Share of the time in which other work slows it down, and how much.
const SLOW_PACE_SHARE: f64 = 0.25;
const SLOW_PACE: f64 = 4.0;

impl Upstream {
    /// Returns when a request that arrives at `at` starts, in which slot, and when it ends if it
    /// takes `work`.
    fn plan(&self, at: Duration, work: Duration) -> (usize, Duration, Duration) {
        let slots = self.free_at.iter().enumerate();
        let (slot, free_at) = slots.min_by_key(|(_, at)| **at).expect("an upstream has slots");
        let start = (*free_at).max(at);
        let mut end = if self.shared_vm { paced_end(self.seed, start, work) } else { start + work };
        if !self.pause.is_zero() {
            let before = start.saturating_sub(self.first_pause + self.pause);
            let passed = (before.as_nanos() / self.pause_interval.as_nanos()) as u32;
            let mut pause = self.first_pause + self.pause_interval * passed;
            while pause < end {
                if pause + self.pause > start {
                    // No progress from the start of the pause or of the request on.
                    end += pause + self.pause - pause.max(start);
                }
                pause += self.pause_interval;
            }
        }
        (slot, start, end)
    }

    /// Runs a request that arrives at `at` and takes `work`, and drops it at `until`.
    fn serve(&mut self, at: Duration, work: Duration, until: Duration) -> Service {
        self.queued_until.retain(|end| *end > at);
        if self.queued_until.len() >= self.queue {
            return Service { end: at, reply: Reply::Refused, busy: Duration::ZERO };
        }
        let (slot, start, end) = self.plan(at, work);
        if start > at {
            self.queued_until.push(start.min(until));
        }
        if start >= until {
            return Service { end: until, reply: Reply::Failure, busy: Duration::ZERO };
        }
        self.free_at[slot] = end.min(until);
        self.jobs.push((at, start, end.min(until)));
        let reply = if end <= until { Reply::Success } else { Reply::Failure };
        Service { end: end.min(until), reply, busy: end.min(until) - start }
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
        let slots = self.free_at.len() as u32;
        match self.told {
            Told::Nothing => None,
            Told::Truth => Report::new(running, waiting, slots, Some((pace * 100.0) as u32)),
            Told::Idle => Report::new(0, 0, slots, Some(100)),
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
    /// The registry lists one upstream of each pool, or all.
    Registry { all: bool },
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
    NotSent,
}

/// Time after which the platform and all nodes know that upstreams are lost or new.
const REGISTRY_DELAY: Duration = Duration::from_millis(200);

/// Returns whether the upstream at `index` of `pool` survives an outage.
fn survives(pool: usize, index: usize) -> bool {
    (pool + index).is_multiple_of(DOMAINS.len())
}

/// One scheduler with full knowledge. Work of the class that is worth least for its work is
/// limited to what the others leave of the capacity.
struct Scheduler {
    /// Work of each class that may be admitted now.
    tokens: Vec<f64>,
    updated: Duration,
}

impl Scheduler {
    /// Share of the capacity that is used: the rest is lost to uneven arrivals.
    const LOAD: f64 = 0.98;
    /// Tokens that are kept, in seconds of a pool's capacity.
    const BURST_S: f64 = 0.03;

    fn admits(
        &mut self,
        at: Duration,
        class: usize,
        classes: &[Class],
        per_second: f64,
        capacity: f64,
    ) -> bool {
        let passed = (at - self.updated).as_secs_f64();
        self.updated = at;
        let mut order: Vec<usize> = (0..classes.len()).collect();
        order.sort_by_key(|c| (classes[*c].rank, classes[*c].work));
        let mut left = Self::LOAD * capacity;
        for c in order {
            let demand = per_second * classes[c].share * classes[c].work.as_secs_f64();
            let part = if demand <= left { f64::INFINITY } else { left };
            left = (left - demand).max(0.0);
            self.tokens[c] = (self.tokens[c] + part * passed).min(Self::BURST_S * capacity);
        }
        let work = classes[class].work.as_secs_f64();
        let admitted = self.tokens[class] >= work;
        if admitted {
            self.tokens[class] -= work;
        }
        admitted
    }
}

/// Simulates `scenario` with random choices from `seed`.
pub(crate) fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = Instant::now();
    let pool_name = |p: usize| -> id::Pool { format!("pool-{p}").parse().expect("name") };
    let mut upstreams: BTreeMap<String, Upstream> = BTreeMap::new();
    let mut names: BTreeMap<(usize, UpstreamHandle), String> = BTreeMap::new();
    let mut events = Vec::new();
    let entry = |pool: usize, index: usize, born_ms: u64| Entry {
        instance: id::Instance(format!("u{pool}-{index}").into()),
        born_ms,
        pool: pool_name(pool),
        address: format!("10.0.{pool}.{index}:80").parse().expect("address"),
        domain: DOMAINS[index].into(),
        slots: scenario.slots as u16,
        draining: false,
        cold: Duration::ZERO,
    };
    for pool in 0..scenario.pools {
        for index in 0..DOMAINS.len() {
            let name = format!("u{pool}-{index}");
            let revision = Revision(events.len() as u64 + 1);
            let change = Change::Put(entry(pool, index, 1));
            events.push(Event { key: name.as_str().into(), revision, change });
            let upstream = Upstream {
                free_at: vec![Duration::ZERO; scenario.slots],
                queued_until: Vec::new(),
                queue: scenario.queue,
                first_pause: scenario.pause_interval.mul_f64(rng.random()),
                pause: scenario.pause,
                pause_interval: scenario.pause_interval,
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
        let per_second = scenario.per_second * (scenario.load)(at);
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / per_second);
        queue.push(Reverse((at, SimEvent::Arrival(rng.random_range(0..scenario.nodes)))));
    }
    if let Some((start, end)) = scenario.outage {
        queue.push(Reverse((start + REGISTRY_DELAY, SimEvent::Registry { all: false })));
        queue.push(Reverse((end, SimEvent::Registry { all: true })));
    }
    let is_lost = |at: Duration, pool: usize, index: usize| {
        scenario
            .outage
            .is_some_and(|(start, end)| at >= start && at < end && !survives(pool, index))
    };
    let classes = match scenario.classes.as_slice() {
        [] => {
            let Scenario { work, goal, min_replies, .. } = *scenario;
            vec![Class { share: 1.0, rank: 0, work, goal, min_replies }]
        }
        classes => classes.to_vec(),
    };
    let is_counted = |at: Duration| at >= scenario.counted.0 && at < scenario.counted.1;
    let mut outcome = Outcome {
        classes: vec![ClassOutcome::default(); classes.len()],
        timeline: vec![(0, 0.0); scenario.seconds as usize * 10 + 10],
        ..Outcome::default()
    };
    let mut scheduler = Scheduler { tokens: vec![0.0; classes.len()], updated: Duration::ZERO };
    let mut requests: Vec<Option<Running>> = Vec::new();
    let (mut first, mut second_attempts) = (0usize, 0usize);
    while let Some(Reverse((at, event))) = queue.pop() {
        let now = base + at;
        let index = match event {
            SimEvent::Registry { all } => {
                let mut events = Vec::new();
                let revision = Revision(until.0 + if all { 2 } else { 1 });
                for pool in 0..scenario.pools {
                    for index in (0..DOMAINS.len()).filter(|i| !survives(pool, *i)) {
                        let key = format!("u{pool}-{index}").as_str().into();
                        let change =
                            if all { Change::Put(entry(pool, index, 2)) } else { Change::Removed };
                        events.push(Event { key, revision, change });
                    }
                }
                registry.apply(now, events, revision);
                nodes.iter_mut().for_each(|pools| drop(pools.sync(now, &registry)));
                continue;
            }
            SimEvent::Arrival(node) => {
                let class = pick(&classes, &mut rng);
                let Class { rank, work, goal, min_replies, .. } = classes[class];
                let goal_left = match scenario.knows_setup_time {
                    true => goal - scenario.setup_time,
                    false => goal,
                };
                let plan = Plan {
                    route: format!("r{class}").into(),
                    pools: (0..scenario.pools).map(pool_name).collect(),
                    connection_limits: vec![66; scenario.pools],
                    min_replies,
                    max_attempts: scenario.max_attempts,
                    repeatable: scenario.hedges,
                    rank,
                    goal: goal_left,
                    arrived: now,
                    deadline: now + scenario.deadline,
                };
                outcome.requests += 1;
                outcome.timeline[at.as_millis() as usize / 100].0 += 1;
                if is_counted(at) {
                    outcome.classes[class].requests += 1;
                }
                let mut request = RequestState::new(plan);
                let draw = rng.random();
                let until = request.attempt_deadline().saturating_duration_since(base);
                // For each pool, the upstream that would be the first to serve the request in time.
                let serving = |upstreams: &BTreeMap<String, Upstream>| -> Vec<String> {
                    let of_pool = |pool: usize| {
                        let live = (0..DOMAINS.len()).filter(|i| !is_lost(at, pool, *i));
                        let ends = live.map(|index| {
                            let name = format!("u{pool}-{index}");
                            let upstream = &upstreams[&name];
                            (upstream.plan(at + ROUND_TRIP / 2, work.mul_f64(1.2)).2, name)
                        });
                        ends.min().filter(|(end, _)| *end + DEADLINE_MARGIN <= until)
                    };
                    (0..scenario.pools).filter_map(of_pool).map(|(_, name)| name).collect()
                };
                let admitted = match scenario.decision {
                    Decision::Everything => true,
                    Decision::Nodes => request.admit(now, &mut nodes[node], draw),
                    Decision::Foresight => serving(&upstreams).len() >= min_replies,
                    Decision::Oracle => {
                        let live = (0..DOMAINS.len()).filter(|i| !is_lost(at, 0, *i)).count();
                        let working = 1.0
                            - scenario.pause.as_secs_f64() / scenario.pause_interval.as_secs_f64();
                        let capacity = (live * scenario.slots) as f64 * working / MEAN_TAIL;
                        let per_second = scenario.per_second * (scenario.load)(at);
                        let serving = serving(&upstreams);
                        if serving.len() >= min_replies
                            && scheduler.admits(at, class, &classes, per_second, capacity)
                        {
                            let mut end = at;
                            let mut replied = 0;
                            for name in serving {
                                let work = random_work(work, &mut rng);
                                let upstream =
                                    upstreams.get_mut(&name).expect("the upstream exists");
                                let served = upstream.serve(at + ROUND_TRIP / 2, work, until);
                                outcome.busy += served.busy * u32::from(is_counted(at));
                                if served.reply == Reply::Success {
                                    replied += 1;
                                    end = end.max(served.end + ROUND_TRIP / 2);
                                }
                            }
                            let share = replied as f64 / scenario.pools as f64;
                            let answered = replied >= min_replies;
                            let value = if answered { share * share } else { 0.0 };
                            outcome.total_value += value;
                            outcome.failed += usize::from(!answered);
                            outcome.timeline[at.as_millis() as usize / 100].1 += value;
                            if is_counted(at) {
                                let of_class = &mut outcome.classes[class];
                                of_class.value += value;
                                of_class.in_time += usize::from(answered);
                                of_class.failed += usize::from(!answered);
                            }
                            continue;
                        }
                        false
                    }
                };
                if !admitted {
                    request.record_samples(now, &mut nodes[node]);
                    outcome.refused += 1;
                    outcome.classes[class].refused += usize::from(is_counted(at));
                    continue;
                }
                requests.push(Some(Running {
                    node,
                    class,
                    arrived: at,
                    busy: Duration::ZERO,
                    state: request,
                }));
                requests.len() - 1
            }
            SimEvent::Wake(request) => request,
            SimEvent::AttemptEnded { request, pool_index, node, handle, sent, reply } => {
                let end = match reply {
                    Reply::Success => AttemptEnd::Reply { success: true },
                    Reply::Failure => AttemptEnd::Reply { success: false },
                    Reply::Refused => AttemptEnd::Refused,
                    Reply::NotSent => AttemptEnd::NotSent,
                };
                // An upstream that was not reached reports nothing.
                let name = names.get(&(node, handle)).filter(|_| reply != Reply::NotSent);
                let upstream = name.and_then(|name| upstreams.get_mut(name));
                if let Some(report) = upstream.and_then(|u| u.report(at - ROUND_TRIP / 2)) {
                    nodes[node].record_load(now, handle, report);
                }
                nodes[node].record_end(now, handle, base + sent, end);
                if let Some(running) = &mut requests[request] {
                    running.state.record_end(pool_index, end);
                }
                request
            }
        };
        let Some(running) = &mut requests[index] else { continue };
        let Running { node, class, arrived, busy, state: request } = running;
        let (node, class, arrived) = (*node, *class, *arrived);
        let Class { work, goal, .. } = classes[class];
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
                let work = random_work(work, &mut rng).mul_f64(slow);
                let index_in_pool = DOMAINS.iter().position(|d| *d == attempt.choice.entry.domain);
                let index_in_pool = index_in_pool.expect("the domain exists");
                let (done, reply) = if refused {
                    (at + ROUND_TRIP, Reply::Refused)
                } else if is_lost(at, attempt.pool_index, index_in_pool) {
                    (at + ROUND_TRIP, Reply::NotSent)
                } else if upstream.fault == Fault::Silent {
                    continue;
                } else {
                    let until = request.attempt_deadline();
                    let until = until.saturating_duration_since(base);
                    let served = upstream.serve(at + ROUND_TRIP / 2, work, until);
                    *busy += served.busy;
                    if is_counted(arrived) {
                        outcome.busy += served.busy;
                        if attempt.cause == Cause::Slow {
                            outcome.busy_second += served.busy;
                        }
                    }
                    let reply = if failed { Reply::Failure } else { served.reply };
                    (served.end + ROUND_TRIP / 2, reply)
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
        let elapsed = at - arrived + scenario.setup_time;
        outcome.longest = outcome.longest.max(elapsed);
        outcome.denied += request.denied();
        request.record_samples(now, &mut nodes[node]);
        let share = request.replied() as f64 / scenario.pools as f64;
        let mut of_request = ClassOutcome::default();
        match completion {
            Completion::Failed { .. } => of_request.failed = 1,
            Completion::Complete | Completion::Partial => {
                let is_late = elapsed > goal;
                of_request.late = usize::from(is_late);
                of_request.in_time = usize::from(!is_late);
                of_request.value = share * share * if is_late { 0.1 } else { 1.0 };
                outcome.partial += usize::from(completion == Completion::Partial);
            }
        }
        outcome.failed += of_request.failed;
        outcome.late += of_request.late;
        outcome.total_value += of_request.value;
        outcome.timeline[arrived.as_millis() as usize / 100].1 += of_request.value;
        if is_counted(arrived) {
            let sum = &mut outcome.classes[class];
            sum.in_time += of_request.in_time;
            sum.late += of_request.late;
            sum.failed += of_request.failed;
            sum.value += of_request.value;
            if of_request.in_time == 0 {
                outcome.busy_in_vain += *busy;
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

/// A request that has been admitted.
struct Running {
    node: usize,
    class: usize,
    arrived: Duration,
    /// Time that slots were busy with it.
    busy: Duration,
    state: RequestState,
}

/// Time reserved for the reply and for work that takes longer than usual.
const DEADLINE_MARGIN: Duration = Duration::from_millis(4);
/// Mean of the random factor on the work of a request.
const MEAN_TAIL: f64 = 1.04;

/// Returns the work of one request of a class: 0.5 to 1.5 times `typical`, and one in a hundred
/// takes five times as long.
fn random_work(typical: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let spread = 0.5 + rng.random::<f64>();
    let tail = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
    typical.mul_f64(spread * tail)
}

/// Draws a class by its share.
fn pick(classes: &[Class], rng: &mut ChaCha8Rng) -> usize {
    if classes.len() < 2 {
        return 0;
    }
    let mut draw = rng.random::<f64>();
    let found = classes.iter().position(|class| {
        draw -= class.share;
        draw < 0.0
    });
    found.unwrap_or(classes.len() - 1)
}
