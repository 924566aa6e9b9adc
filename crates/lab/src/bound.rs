//! Lower bound on latency: an ideal central scheduler that hedges at no cost.
//!
//! Each group is one queue in front of nine slots. Idle slots run copies of running requests, those
//! with the fewest attempts first and of these the oldest. Each copy has an independent service
//! time; a queued request preempts a copy at once. No real node can reach this bound: the scheduler
//! knows all queues, and it cancels and preempts without delay.

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

const SLOTS_PER_GROUP: usize = 9;
const GROUPS: usize = 25;
/// Concurrent attempts of a request, including the first.
const MAX_ATTEMPTS: usize = 3;
/// Network delay of a query: caller to node and node to upstream, both ways, in milliseconds.
const NETWORK_MS: f64 = 4.0;
/// Mean rounding error of the runtime's timers, in milliseconds: half their resolution. The
/// measured times of the other policies contain it.
const TIMER_ROUNDING_MS: f64 = 0.5;

#[derive(Debug)]
struct RunningRequest {
    /// Index of the request.
    request: usize,
    /// Start of the first attempt, in milliseconds.
    started: f64,
    /// End of each attempt, in milliseconds.
    attempt_ends: Vec<f64>,
}

#[derive(Debug)]
struct Group {
    queue: VecDeque<usize>,
    running: Vec<RunningRequest>,
    rng: ChaCha8Rng,
    service_time: ServiceTime,
}

impl Group {
    /// Samples a service time, in milliseconds.
    fn sample_ms(&mut self) -> f64 {
        self.service_time.sample(&mut self.rng).as_secs_f64() * 1e3 + TIMER_ROUNDING_MS
    }

    fn used_slots(&self) -> usize {
        self.running.iter().map(|r| r.attempt_ends.len()).sum()
    }

    /// Starts queued requests, preempting copies if necessary, then copies on the remaining slots.
    /// Returns the time at which the next attempt ends.
    fn schedule(&mut self, now: f64) -> Option<f64> {
        while !self.queue.is_empty() {
            if self.used_slots() >= SLOTS_PER_GROUP && !self.preempt_copy() {
                break;
            }
            let Some(request) = self.queue.pop_front() else { break };
            let end = now + self.sample_ms();
            self.running.push(RunningRequest { request, started: now, attempt_ends: vec![end] });
        }
        while self.used_slots() < SLOTS_PER_GROUP {
            let attempts = |r: &RunningRequest| r.attempt_ends.len();
            let candidates =
                self.running.iter().enumerate().filter(|(_, r)| attempts(r) < MAX_ATTEMPTS);
            let next = candidates.min_by(|(_, a), (_, b)| {
                attempts(a).cmp(&attempts(b)).then(a.started.total_cmp(&b.started))
            });
            let Some(index) = next.map(|(i, _)| i) else { break };
            let end = now + self.sample_ms();
            self.running[index].attempt_ends.push(end);
        }
        self.running.iter().flat_map(|r| &r.attempt_ends).copied().min_by(f64::total_cmp)
    }

    /// Cancels, among the requests with several attempts, the attempt that would end last. Returns
    /// whether there was one.
    fn preempt_copy(&mut self) -> bool {
        let last_end = |r: &RunningRequest| r.attempt_ends.iter().copied().fold(0.0, f64::max);
        let copied = self.running.iter_mut().filter(|r| r.attempt_ends.len() > 1);
        let Some(running) = copied.max_by(|a, b| last_end(a).total_cmp(&last_end(b))) else {
            return false;
        };
        let latest = last_end(running);
        if let Some(index) = running.attempt_ends.iter().position(|e| *e == latest) {
            running.attempt_ends.remove(index);
        }
        true
    }
}

/// Simulates `queries` queries under the ideal scheduler and returns their latency, in
/// microseconds. `load` is the offered load as a share of all slots.
pub fn run(service_time: ServiceTime, load: f64, queries: usize, seed: u64) -> Histogram<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rate_per_ms = load::arrival_rate(service_time, load) / 1e3;
    let interarrival =
        Exp::new(rate_per_ms).unwrap_or_else(|_| unreachable!("the arrival rate is positive"));
    let mut starts = Vec::with_capacity(queries);
    let mut at = 0.0;
    for _ in 0..queries {
        at += interarrival.sample(&mut rng);
        starts.push(at);
    }
    let mut ends: BTreeMap<usize, f64> = BTreeMap::new();
    for group in 0..GROUPS {
        let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(group as u64 + 1));
        let group = Group { queue: VecDeque::new(), running: Vec::new(), rng, service_time };
        for (request, group_end) in run_group(group, &starts) {
            let end = ends.entry(request).or_insert(0.0);
            *end = end.max(group_end);
        }
    }
    let mut latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
        .unwrap_or_else(|_| unreachable!("the histogram bounds are valid"));
    for (request, end) in ends {
        let ms = end - starts[request] + NETWORK_MS;
        latency.saturating_record((ms * 1e3) as u64);
    }
    latency
}

/// Runs one group to the end. Returns each request with the time at which its first attempt to
/// finish did so, in milliseconds.
fn run_group(mut group: Group, starts: &[f64]) -> Vec<(usize, f64)> {
    let mut finished = Vec::with_capacity(starts.len());
    let mut arrivals: BinaryHeap<Reverse<usize>> = (0..starts.len()).map(Reverse).collect();
    let mut next_end: Option<f64> = None;
    loop {
        let arrival = arrivals.peek().map(|Reverse(i)| starts[*i]);
        let now = match (arrival, next_end) {
            (Some(a), Some(e)) => a.min(e),
            (Some(t), None) | (None, Some(t)) => t,
            (None, None) => return finished,
        };
        if arrival == Some(now)
            && let Some(Reverse(request)) = arrivals.pop()
        {
            group.queue.push_back(request);
        }
        group.running.retain(|r| {
            let ended = r.attempt_ends.iter().any(|e| *e <= now);
            if ended {
                finished.push((r.request, now));
            }
            !ended
        });
        next_end = group.schedule(now);
    }
}
