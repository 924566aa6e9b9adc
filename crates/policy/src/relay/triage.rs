//! Load shedding: which requests to many pools are admitted while pools are short of capacity.
//!
//! A pool is short if requests wait at its upstreams for so long that they miss their goals. The
//! node then admits only part of the work that it is asked for. The part follows from the waits that
//! replies show: all nodes see the same queues, so they need not agree. Within the part, classes of
//! requests are served by rank, then by work (least first), and none is starved.
//!
//! An answer with fewer replies than the route's minimum is worthless. If each pool shed requests
//! independently, hardly any request would get enough replies. Therefore one random number, drawn
//! for each request, decides for all pools, and requests that too few pools would serve are refused
//! before anything is sent.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::demand::Meter;

/// Share of the shortest goal of a pool's classes for which its requests may wait on average. In the
/// queue model, results hardly differ from 0.2 to 0.3; with 0.5, more searches fail.
const WAIT_SHARE: f64 = 0.3;
/// Largest wait of one sample, and that of a missing reply, in target waits: a pause of an upstream must not look like a
/// lasting shortage. With 3.0, pauses alone make pools short.
const MAX_WAIT: f64 = 2.0;
/// Rate at which the admitted part grows if nothing waits, for each second.
const GROWTH_PER_S: f64 = 4.0;
/// Longest time for which one sample stands while the pool is not short: a few waits that a node with
/// few callers sees show no shortage.
const MAX_CALM_SAMPLE_TIME: Duration = Duration::from_millis(60);
/// Longest time for which one sample stands while the pool is short, so that a recovery is noticed.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(500);
/// Time without samples from which the admitted part grows, as old waits show no shortage.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);
/// Largest admitted part of a pool that has not been short lately. Above 1, so that a pause of an
/// upstream has no effect in a pool with capacity to spare: with 2.0, pauses of 100 ms
/// make searches be refused.
const MAX_PART: f64 = 4.0;
/// Largest admitted part of a pool that has been short lately.
const MAX_SHORT_PART: f64 = 1.5;
/// Time for which a pool has been short lately.
const SHORT_MEMORY: Duration = Duration::from_millis(2_000);
/// Least admitted part, so that a recovery of the pool is noticed.
const MIN_PART: f64 = 0.05;
/// Each class is admitted at least this often, relative to all requests of the pool: a third, and a
/// margin, as what is admitted is not always served.
const MIN_CLASS_SHARE: f64 = 0.36;
/// Most classes of a pool that are told apart.
const MAX_CLASSES: usize = 32;
/// Time constant with which the learned work of a class follows faster replies.
const FASTER_TIME: Duration = Duration::from_millis(1_000);
/// Time constant with which it follows slower replies while the pool is not short. Longer than a
/// shortage takes to be noticed; otherwise a busy node takes the waits for work.
const SLOWER_TIME: Duration = Duration::from_millis(4_000);
/// Work assumed for a class without replies.
const DEFAULT_WORK: Duration = Duration::from_millis(8);
/// Least rate of requests for which a class counts, in requests per second.
const MIN_DEMAND: f64 = 0.05;
/// Least wait for which requests may wait on average.
const MIN_TARGET_WAIT: Duration = Duration::from_millis(1);
/// Goal assumed without requests.
const DEFAULT_GOAL: Duration = Duration::from_millis(100);

/// What requests of one route have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Name of the route.
    pub route: SmolStr,
    /// Rank of the route; 0 is served first.
    pub rank: u32,
    /// Target latency.
    pub goal: Duration,
}

/// Result of a request that was sent to a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The pool replied after this time.
    Reply(Duration),
    /// The pool did not reply by the goal, or no upstream has served the request.
    Missed,
}

/// Work that this node is asked for at a pool, as the mean number of requests that would run
/// concurrently.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// All of it.
    pub demand: f64,
    /// What is admitted.
    pub admitted: f64,
}

#[derive(Debug)]
struct ClassState {
    class: Class,
    demand: Meter,
    /// Typical time to a reply without a wait; `None` before the first reply.
    work: Option<Duration>,
    /// When the last reply came.
    learned: Instant,
    /// Share of the requests that is admitted, as of the last allocation.
    share: f64,
}

impl ClassState {
    fn work(&self) -> Duration {
        self.work.unwrap_or(DEFAULT_WORK)
    }
}

/// Decides for one pool which share of the requests of each class is admitted.
#[derive(Debug)]
pub struct PoolTriage {
    classes: Vec<ClassState>,
    /// Part of the work asked for that the pool can serve.
    part: f64,
    /// Time of the last sample.
    sampled: Instant,
    /// When the pool was last short.
    short_at: Option<Instant>,
    /// Requests that its upstreams run concurrently; 0 before they are known.
    slots: u32,
}

impl PoolTriage {
    /// Creates a state without samples, which admits all requests.
    pub fn new(now: Instant) -> PoolTriage {
        PoolTriage { classes: Vec::new(), part: MAX_PART, sampled: now, short_at: None, slots: 0 }
    }

    /// Sets the number of requests that the pool's upstreams run concurrently. The admitted part
    /// changes in proportion, so that a pool that returns from an outage need not be probed.
    pub fn set_slots(&mut self, slots: u32) {
        if slots > self.slots && self.slots > 0 {
            self.part *= f64::from(slots) / f64::from(self.slots);
            self.part = self.part.min(MAX_PART);
        }
        if slots > 0 {
            self.slots = slots;
        }
    }

    /// Forgets that the pool is or was short of capacity.
    pub fn forget_shortage(&mut self, now: Instant) {
        (self.part, self.sampled, self.short_at) = (MAX_PART, now, None);
    }

    /// Records a request, whether or not it is admitted.
    pub fn record_demand(&mut self, now: Instant, class: &Class) {
        if let Some(state) = self.class_mut(now, class) {
            state.demand.record(now);
        }
    }

    /// Records the result of a request that was sent.
    pub fn record(&mut self, now: Instant, class: &Class, sample: Sample) {
        let wait = match sample {
            Sample::Reply(latency) => self.wait(now, class, latency),
            Sample::Missed => MAX_WAIT,
        };
        let longest = if self.is_short() { MAX_SAMPLE_TIME } else { MAX_CALM_SAMPLE_TIME };
        let time = now.saturating_duration_since(self.sampled).min(longest);
        self.sampled = self.sampled.max(now);
        let change = GROWTH_PER_S * time.as_secs_f64() * (1.0 - wait);
        let lately = |at: Instant| now.saturating_duration_since(at) < SHORT_MEMORY;
        let most = if self.short_at.is_some_and(lately) { MAX_SHORT_PART } else { MAX_PART };
        self.part = (self.part * change.exp()).clamp(MIN_PART, most);
        if self.is_short() {
            self.short_at = Some(now);
        }
    }

    /// Learns the work of a class from a reply. Returns how long the request waited, in target
    /// waits.
    fn wait(&mut self, now: Instant, class: &Class, latency: Duration) -> f64 {
        let is_short = self.is_short();
        let target = self.target_wait(now);
        let Some(state) = self.class_mut(now, class) else { return 0.0 };
        let age = now.saturating_duration_since(state.learned).as_secs_f64();
        state.learned = now;
        let work = state.work.map_or(latency, |work| {
            let weight = match latency < work {
                true => 1.0 - (-age / FASTER_TIME.as_secs_f64()).exp(),
                // Its wait would be taken for work.
                false if is_short => 0.0,
                false => 1.0 - (-age / SLOWER_TIME.as_secs_f64()).exp(),
            };
            work.mul_f64(1.0 - weight) + latency.min(work * 2).mul_f64(weight)
        });
        state.work = Some(work);
        (latency.saturating_sub(work).as_secs_f64() / target.as_secs_f64()).min(MAX_WAIT)
    }

    /// Returns the share of requests of `class` to admit, from 0 to 1.
    pub fn admitted_share(&mut self, now: Instant, class: &Class) -> f64 {
        let silence = now.saturating_duration_since(self.sampled).saturating_sub(MAX_SILENCE);
        if self.is_short() && !silence.is_zero() {
            self.part = (self.part * (GROWTH_PER_S * silence.as_secs_f64()).exp()).min(1.0);
            self.sampled += silence;
        }
        if !self.is_short() {
            return 1.0;
        }
        self.allocate(now);
        let state = self.classes.iter().find(|c| c.class.route == class.route);
        state.map_or(self.part, |state| state.share)
    }

    /// Returns whether the pool is short of capacity.
    pub fn is_short(&self) -> bool {
        self.part < 1.0
    }

    /// Returns the work asked for and the work admitted, each as the mean number of requests that run
    /// concurrently.
    pub fn load(&self, now: Instant) -> Load {
        let of = |c: &ClassState| c.demand.per_second(now) * c.work().as_secs_f64();
        let demand = self.classes.iter().map(of).sum::<f64>();
        Load { demand, admitted: demand * self.part.min(1.0) }
    }

    fn class_mut(&mut self, now: Instant, class: &Class) -> Option<&mut ClassState> {
        let known = self.classes.iter().position(|c| c.class.route == class.route);
        if known.is_none() && self.classes.len() >= MAX_CLASSES {
            self.classes.retain(|c| c.demand.per_second(now) >= MIN_DEMAND);
        }
        let index = match known {
            Some(index) => index,
            None if self.classes.len() < MAX_CLASSES => {
                let (class, demand) = (class.clone(), Meter::new(now));
                self.classes.push(ClassState {
                    class,
                    demand,
                    work: None,
                    learned: now,
                    share: 1.0,
                });
                self.classes.len() - 1
            }
            None => return None,
        };
        let state = self.classes.get_mut(index)?;
        (state.class.rank, state.class.goal) = (class.rank, class.goal);
        Some(state)
    }

    fn target_wait(&self, now: Instant) -> Duration {
        let asked = self.classes.iter().filter(|c| c.demand.per_second(now) >= MIN_DEMAND);
        let goal = asked.map(|c| c.class.goal).min().unwrap_or(DEFAULT_GOAL);
        goal.mul_f64(WAIT_SHARE).max(MIN_TARGET_WAIT)
    }

    /// Allocates the admitted part to the classes.
    fn allocate(&mut self, now: Instant) {
        self.classes.sort_by_key(|c| (c.class.rank, c.work()));
        let demand: Vec<(f64, f64)> = self
            .classes
            .iter()
            .map(|c| (c.demand.per_second(now), c.work().as_secs_f64()))
            .collect();
        let requests: f64 = demand.iter().map(|(rate, _)| rate).sum();
        let capacity = self.part * demand.iter().map(|(rate, work)| rate * work).sum::<f64>();
        let mut least = 0.0;
        // The floor depends on what is admitted and the other way round; three rounds suffice.
        for _ in 0..3 {
            let reserved: f64 = demand.iter().map(|(rate, work)| least * rate * work).sum();
            let mut left = (capacity - reserved).max(0.0);
            let mut admitted = 0.0;
            for (state, (rate, work)) in self.classes.iter_mut().zip(&demand) {
                let rest = (1.0 - least) * rate * work;
                let part = if rest > left { left / rest } else { 1.0 };
                left -= rest * part;
                state.share = least + (1.0 - least) * part;
                admitted += state.share * rate;
            }
            least = if requests > 0.0 { MIN_CLASS_SHARE * admitted / requests } else { 0.0 };
        }
    }
}
