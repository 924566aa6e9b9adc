//! A queue model of pools of upstreams under several nodes, on computed time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use base::{id, unit::Revision};
use policy::relay::{
    pool::{Pools, UpstreamHandle},
    registry::{Change, Entry, Event, Registry},
    request::{Completion, Plan, RequestState},
    retry_budget::RetryBound,
    upstream::AttemptEnd,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Way to an upstream and back.
const HOP: Duration = Duration::from_millis(1);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// What troubles an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Trouble {
    None,
    /// Its work takes so many times as long.
    Slow(f64),
    /// It takes requests and never replies.
    Silent,
    /// It refuses this share of requests.
    Sheds(f64),
    /// It fails this share of requests.
    Fails(f64),
}

/// A load and what answers it.
#[derive(Debug, Clone)]
pub(crate) struct Scene {
    pub(crate) pools: usize,
    pub(crate) nodes: usize,
    pub(crate) per_second: f64,
    pub(crate) work: Duration,
    pub(crate) goal: Duration,
    /// Time of the goal that has passed when a request arrives.
    pub(crate) waited: Duration,
    /// Whether the node knows of it.
    pub(crate) knows_waited: bool,
    pub(crate) deadline: Duration,
    /// Least share of pools in an answer.
    pub(crate) floor: usize,
    pub(crate) attempts: usize,
    /// Whether pools that are short leave out requests.
    pub(crate) admission: bool,
    /// Trouble of the upstream with this index in its pool, by pool.
    pub(crate) trouble: fn(pool: usize, upstream: usize) -> Trouble,
    pub(crate) seconds: u64,
}

impl Default for Scene {
    fn default() -> Scene {
        Scene {
            pools: 10,
            nodes: 15,
            per_second: 180.0,
            work: Duration::from_millis(15),
            goal: Duration::from_millis(120),
            waited: Duration::ZERO,
            knows_waited: true,
            deadline: Duration::from_secs(2),
            floor: 9,
            attempts: 2,
            admission: true,
            trouble: |_, _| Trouble::None,
            seconds: 20,
        }
    }
}

/// What callers got.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) asked: usize,
    /// Sum over answers: share of pools squared within the goal, a tenth of it after.
    pub(crate) credit: f64,
    pub(crate) failed: usize,
    /// Refused before anything was sent.
    pub(crate) refused: usize,
    /// Longest time to an answer of any kind.
    pub(crate) longest: Duration,
    /// Extra attempts for each ordinary one.
    pub(crate) extra: f64,
    /// Answers that lack pools.
    pub(crate) partial: usize,
    /// Answers after the goal.
    pub(crate) late: usize,
    /// Second attempts that the budget did not allow.
    pub(crate) denied: usize,
}

impl Outcome {
    pub(crate) fn worth(&self) -> f64 {
        self.credit / self.asked as f64
    }
}

struct Upstream {
    free: Vec<Duration>,
    pause_at: Duration,
    trouble: Trouble,
}

const SLOTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(150);
const PAUSE_EVERY: Duration = Duration::from_millis(3_600);

impl Upstream {
    /// When work that arrives at `at` and takes `work` ends, and whether it is done; it is
    /// dropped at `until`.
    fn serve(&mut self, at: Duration, work: Duration, until: Duration) -> (Duration, bool) {
        let slot = self.free.iter_mut().min().expect("slots");
        if (*slot).max(at) >= until {
            return (until, false);
        }
        let mut end = (*slot).max(at) + work;
        let mut pause = self.pause_at;
        while pause < end {
            if pause + PAUSE > (*slot).max(at) {
                end += PAUSE;
            }
            pause += PAUSE_EVERY;
        }
        *slot = end.min(until);
        (end.min(until), end <= until)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tick {
    Arrive(usize),
    Wake(usize),
    End { job: usize, part: usize, node: usize, seat: UpstreamHandle, sent: Duration, end: Kind },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Success,
    Failure,
    Refused,
}

/// Plays `scene` with `seed`.
pub(crate) fn play(scene: &Scene, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = Instant::now();
    let pool_name = |p: usize| -> id::Pool { format!("pool-{p}").parse().expect("name") };
    let mut upstreams: BTreeMap<String, Upstream> = BTreeMap::new();
    let mut events = Vec::new();
    for pool in 0..scene.pools {
        for (index, zone) in ZONES.iter().enumerate() {
            let name = format!("u{pool}-{index}");
            let entry = Entry {
                instance: id::Instance(name.as_str().into()),
                born_ms: 1,
                pool: pool_name(pool),
                address: format!("10.0.{pool}.{index}:80").parse().expect("address"),
                domain: (*zone).into(),
                slots: SLOTS as u16,
                draining: false,
                cold: Duration::ZERO,
            };
            let revision = Revision(events.len() as u64 + 1);
            events.push(Event { key: name.as_str().into(), revision, change: Change::Put(entry) });
            let upstream = Upstream {
                free: vec![Duration::ZERO; SLOTS],
                pause_at: PAUSE_EVERY.mul_f64(rng.random()),
                trouble: (scene.trouble)(pool, index),
            };
            upstreams.insert(name, upstream);
        }
    }
    let mut registry = Registry::new(Duration::from_secs(3));
    let until = Revision(events.len() as u64);
    registry.apply(base, events, until);
    let bound = RetryBound { ratio: 0.2, slack: 116.0, window: Duration::from_secs(10) };
    let born = base.checked_sub(Duration::from_secs(60)).expect("up for a minute");
    let mut nodes: Vec<Pools> = (0..scene.nodes)
        .map(|n| {
            let mut pools = Pools::new(ZONES[n % 3].into(), bound, born);
            pools.set_node_count(Some(scene.nodes));
            pools.sync(base, &registry);
            pools
        })
        .collect();

    let mut heap: BinaryHeap<Reverse<(Duration, Tick)>> = BinaryHeap::new();
    let mut at = Duration::ZERO;
    while at < Duration::from_secs(scene.seconds) {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / scene.per_second);
        heap.push(Reverse((at, Tick::Arrive(rng.random_range(0..scene.nodes)))));
    }
    let mut outcome = Outcome::default();
    let mut jobs: Vec<Option<(usize, Duration, RequestState)>> = Vec::new();
    let (mut first, mut extra) = (0usize, 0usize);
    while let Some(Reverse((at, tick))) = heap.pop() {
        let now = base + at;
        let index = match tick {
            Tick::Arrive(node) => {
                let plan = Plan {
                    pools: (0..scene.pools).map(pool_name).collect(),
                    connection_limits: vec![66; scene.pools],
                    min_replies: scene.floor,
                    max_attempts: scene.attempts,
                    repeatable: true,
                    goal: if scene.knows_waited { scene.goal - scene.waited } else { scene.goal },
                    arrived: now,
                    deadline: now + scene.deadline,
                };
                outcome.asked += 1;
                let mut job = RequestState::new(plan);
                if scene.admission && !job.admit(now, &mut nodes[node], rng.random()) {
                    job.record_samples(now, &mut nodes[node]);
                    outcome.refused += 1;
                    continue;
                }
                jobs.push(Some((node, at, job)));
                jobs.len() - 1
            }
            Tick::Wake(job) => job,
            Tick::End { job, part, node, seat, sent, end } => {
                let end = match end {
                    Kind::Success => AttemptEnd::Reply { success: true },
                    Kind::Failure => AttemptEnd::Reply { success: false },
                    Kind::Refused => AttemptEnd::Refused,
                };
                nodes[node].record_end(now, seat, base + sent, end);
                if let Some((_, _, running)) = &mut jobs[job] {
                    running.record_end(part, end);
                }
                job
            }
        };
        let Some((node, arrived, job)) = &mut jobs[index] else { continue };
        let node = *node;
        let mut completion = job.completion(now);
        if completion.is_none() {
            for send in job.due_attempts(now, &mut nodes[node], &mut rng) {
                match send.cause {
                    policy::relay::request::Cause::First => first += 1,
                    _ => extra += 1,
                }
                let name = send.choice.entry.instance.to_string();
                let upstream = upstreams.get_mut(&name).expect("known");
                let refused = matches!(upstream.trouble, Trouble::Sheds(x) if rng.random_bool(x));
                let failed = matches!(upstream.trouble, Trouble::Fails(x) if rng.random_bool(x));
                let slow = if let Trouble::Slow(x) = upstream.trouble { x } else { 1.0 };
                let spread = 0.5 + rng.random::<f64>();
                let tail = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
                let work = scene.work.mul_f64(slow * spread * tail);
                let (done, end) = if refused {
                    (at + HOP, Kind::Refused)
                } else if upstream.trouble == Trouble::Silent {
                    continue;
                } else {
                    let until = job.attempt_deadline();
                    let until = until.saturating_duration_since(base);
                    let (done, whole) = upstream.serve(at + HOP / 2, work, until);
                    let success = whole && !failed;
                    (done + HOP / 2, if success { Kind::Success } else { Kind::Failure })
                };
                let (part, seat) = (send.pool_index, send.choice.handle);
                let tick = Tick::End { job: index, part, node, seat, sent: at, end };
                heap.push(Reverse((done, tick)));
            }
            completion = job.completion(now);
        }
        let Some(completion) = completion else {
            let wake = job.next_wake(now).saturating_duration_since(base);
            heap.push(Reverse((wake.max(at + Duration::from_micros(100)), Tick::Wake(index))));
            continue;
        };
        let elapsed = at - *arrived + scene.waited;
        outcome.longest = outcome.longest.max(elapsed);
        outcome.denied += job.denied();
        job.record_samples(now, &mut nodes[node]);
        let share = job.replied() as f64 / scene.pools as f64;
        match completion {
            Completion::Failed { .. } => outcome.failed += 1,
            Completion::Complete | Completion::Partial => {
                let late = if elapsed > scene.goal { 0.1 } else { 1.0 };
                outcome.late += usize::from(elapsed > scene.goal);
                outcome.partial += usize::from(completion == Completion::Partial);
                outcome.credit += share * share * late;
            }
        }
        jobs[index] = None;
    }
    outcome.extra = extra as f64 / first as f64;
    outcome
}
