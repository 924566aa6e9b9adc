//! Budget for second attempts (hedges and retries), shared by all nodes without coordination.
//!
//! The bound holds for the whole fleet: in any window, at most `ratio` second attempts for each
//! ordinary request, plus `slack` second attempts. Each node may spend `ratio` of its own ordinary
//! requests, which adds up to the bound, and an equal part of the slack.

use std::time::{Duration, Instant};

/// Bound on the second attempts of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Second attempts for each ordinary request.
    pub ratio: f64,
    /// Second attempts in each window in addition to `ratio`.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Buckets of the sliding window.
const BUCKETS: usize = 20;
/// Share of the bound that is used. The rest is a margin for nodes that count the fleet's size
/// differently.
const BOUND_SHARE: f64 = 0.85;
/// Share of a node's slack in the first window of its process: an earlier process on the same VM
/// may have spent the other half.
const FIRST_WINDOW_SLACK_SHARE: f64 = 0.5;

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    ordinary: u32,
    second_attempts: u32,
}

/// Budget of one node for second attempts at one pool, over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    process_start: Instant,
    /// Ring of buckets; `current` is the newest one.
    buckets: [Counts; BUCKETS],
    current: usize,
    bucket_start: Instant,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent, for a process that started at
    /// `process_start`.
    pub fn new(bound: RetryBound, process_start: Instant, now: Instant) -> RetryBudget {
        let buckets = [Counts::default(); BUCKETS];
        RetryBudget { bound, process_start, buckets, current: 0, bucket_start: now }
    }

    /// Sets the ratio and the slack of the bound. The window keeps its length.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = RetryBound { window: self.bound.window, ..bound };
    }

    /// Records an ordinary request.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.buckets[self.current].ordinary += 1;
    }

    /// Takes one second attempt out of the budget. Returns whether the budget allowed it.
    ///
    /// `nodes` is the number of nodes that may spend from the bound, this one included; `None`
    /// if the node knows no other node yet, which leaves it no part of the slack.
    pub fn try_spend(&mut self, now: Instant, nodes: Option<usize>) -> bool {
        self.advance(now);
        let (allowed, sent) = self.totals(now, nodes);
        let allows = allowed - sent >= 1.0;
        if allows {
            self.buckets[self.current].second_attempts += 1;
        }
        allows
    }

    /// Returns the share of this window's budget that is not spent, from 0 to 1.
    pub fn remaining_share(&mut self, now: Instant, nodes: Option<usize>) -> f64 {
        self.advance(now);
        let (allowed, sent) = self.totals(now, nodes);
        if allowed < 1.0 { 0.0 } else { ((allowed - sent) / allowed).clamp(0.0, 1.0) }
    }

    /// Returns the second attempts that the window allows, and those that were sent in it.
    fn totals(&self, now: Instant, nodes: Option<usize>) -> (f64, f64) {
        let ordinary: u32 = self.buckets.iter().map(|b| b.ordinary).sum();
        let sent: u32 = self.buckets.iter().map(|b| b.second_attempts).sum();
        let first_window = now.saturating_duration_since(self.process_start) < self.bound.window;
        let slack = nodes.map_or(0.0, |n| self.bound.slack / n.max(1) as f64);
        let slack = if first_window { slack * FIRST_WINDOW_SLACK_SHARE } else { slack };
        let allowed = BOUND_SHARE * (self.bound.ratio * f64::from(ordinary) + slack);
        (allowed, f64::from(sent))
    }

    /// Clears the buckets that have left the window.
    fn advance(&mut self, now: Instant) {
        let length = self.bound.window / BUCKETS as u32;
        let passed = now.saturating_duration_since(self.bucket_start).as_nanos();
        let passed = (passed / length.as_nanos().max(1)) as usize;
        if passed == 0 {
            return;
        }
        for _ in 0..passed.min(BUCKETS) {
            self.current = (self.current + 1) % BUCKETS;
            self.buckets[self.current] = Counts::default();
        }
        self.bucket_start += length * passed as u32;
    }
}
