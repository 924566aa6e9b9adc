//! Lower bound on latency: one scheduler that knows all queues and hedges on idle slots for
//! free.
//!
//! Each group is one queue before nine slots. Idle slots run copies of the requests that have
//! run longest, each with a service time of its own; a copy makes way at once for a request
//! that waits. What no real node can do: know all queues, cancel and preempt in no time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use standin::service_time::ServiceTime;

use crate::load::{self, MAX_LATENCY_US};

const PLACES: usize = 9;
const GROUPS: usize = 25;
const COPIES: usize = 3;
/// Hops: caller to node and node to upstream, there and back, in milliseconds.
const HOPS_MS: f64 = 4.0;
/// Half a step of the runtime's timers, which the measured times contain, in milliseconds.
const TIMER_MS: f64 = 0.5;

#[derive(Debug)]
struct Running {
    request: usize,
    started: f64,
    /// Ends of its copies, the first one's first.
    ends: Vec<f64>,
}

#[derive(Debug)]
struct Group {
    waiting: VecDeque<usize>,
    running: Vec<Running>,
    rng: ChaCha8Rng,
    shape: ServiceTime,
}

impl Group {
    fn draw(&mut self) -> f64 {
        self.shape.sample(&mut self.rng).as_secs_f64() * 1e3 + TIMER_MS
    }

    fn used(&self) -> usize {
        self.running.iter().map(|r| r.ends.len()).sum()
    }

    /// Starts what can start, copies last; returns the next end.
    fn settle(&mut self, now: f64) -> Option<f64> {
        while !self.waiting.is_empty() {
            if self.used() >= PLACES && !self.preempt() {
                break;
            }
            let Some(request) = self.waiting.pop_front() else { break };
            let end = now + self.draw();
            self.running.push(Running { request, started: now, ends: vec![end] });
        }
        while self.used() < PLACES {
            let few = |r: &Running| r.ends.len();
            let wants = self.running.iter().enumerate().filter(|(_, r)| few(r) < COPIES);
            let oldest = wants
                .min_by(|(_, a), (_, b)| few(a).cmp(&few(b)).then(a.started.total_cmp(&b.started)));
            let Some(index) = oldest.map(|(i, _)| i) else { break };
            let end = now + self.draw();
            self.running[index].ends.push(end);
        }
        self.running.iter().flat_map(|r| &r.ends).copied().min_by(f64::total_cmp)
    }

    /// Ends the copy that would take longest.
    fn preempt(&mut self) -> bool {
        let last = |r: &Running| r.ends.iter().copied().fold(0.0, f64::max);
        let copied = self.running.iter_mut().filter(|r| r.ends.len() > 1);
        let Some(running) = copied.max_by(|a, b| last(a).total_cmp(&last(b))) else { return false };
        let longest = last(running);
        if let Some(at) = running.ends.iter().position(|e| *e == longest) {
            running.ends.remove(at);
        }
        true
    }
}

/// Latency of queries, in microseconds, under the bound's scheduler.
pub fn run(shape: ServiceTime, load: f64, queries: usize, seed: u64) -> Histogram<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rate = load::arrival_rate(shape, load) / 1e3;
    let gap = Exp::new(rate).unwrap_or_else(|_| unreachable!("a positive rate"));
    let mut starts = Vec::with_capacity(queries);
    let mut at = 0.0;
    for _ in 0..queries {
        at += gap.sample(&mut rng);
        starts.push(at);
    }
    let mut ends: BTreeMap<usize, f64> = BTreeMap::new();
    for group in 0..GROUPS {
        let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(group as u64 + 1));
        let group = Group { waiting: VecDeque::new(), running: Vec::new(), rng, shape };
        for (request, end) in run_group(group, &starts) {
            let latest = ends.entry(request).or_insert(0.0);
            *latest = latest.max(end);
        }
    }
    let mut latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
        .unwrap_or_else(|_| unreachable!("a valid precision"));
    for (request, end) in ends {
        let ms = end - starts[request] + HOPS_MS;
        latency.saturating_record((ms * 1e3) as u64);
    }
    latency
}

fn run_group(mut group: Group, starts: &[f64]) -> Vec<(usize, f64)> {
    let mut done = Vec::with_capacity(starts.len());
    let mut arrivals: BinaryHeap<Reverse<usize>> = (0..starts.len()).map(Reverse).collect();
    let mut next_end: Option<f64> = None;
    loop {
        let arrival = arrivals.peek().map(|Reverse(i)| starts[*i]);
        let now = match (arrival, next_end) {
            (Some(a), Some(e)) => a.min(e),
            (Some(t), None) | (None, Some(t)) => t,
            (None, None) => return done,
        };
        if arrival == Some(now)
            && let Some(Reverse(request)) = arrivals.pop()
        {
            group.waiting.push_back(request);
        }
        group.running.retain(|r| {
            let over = r.ends.iter().any(|e| *e <= now);
            if over {
                done.push((r.request, now));
            }
            !over
        });
        next_end = group.settle(now);
    }
}
