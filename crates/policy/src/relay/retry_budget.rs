//! Budget for second attempts that many nodes share without talking.
//!
//! The bound is for all nodes together: in any window, at most `ratio` extra requests for each
//! ordinary one and `slack` besides. A node spends `ratio` of its own ordinary requests, which
//! sums up to the bound, and its equal part of the slack.

use std::time::{Duration, Instant};

/// The bound for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Extra requests for each ordinary one.
    pub ratio: f64,
    /// Extra requests besides.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Parts that a window is counted in.
const STEPS: usize = 20;
/// Share of the bound that is used: what other nodes believe of the fleet's size differs.
const CAUTION: f64 = 0.85;
/// Share of a node's slack in the first window of its process: the process before it on the
/// same VM may have spent the other half.
const EARLY: f64 = 0.5;

/// Spending of one node on one pool.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    born: Instant,
    /// Ordinary and extra requests of each step; the newest at `at`.
    steps: [(u32, u32); STEPS],
    at: usize,
    step_began: Instant,
}

impl RetryBudget {
    /// Nothing spent yet. `born` is when the process started.
    pub fn new(bound: RetryBound, born: Instant, now: Instant) -> RetryBudget {
        RetryBudget { bound, born, steps: [(0, 0); STEPS], at: 0, step_began: now }
    }

    /// Sets the bound from now on. The window keeps its length.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = RetryBound { window: self.bound.window, ..bound };
    }

    /// Records an ordinary request.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.steps[self.at].0 += 1;
    }

    /// Spends one extra request, if the bound has room. `nodes` is the number of nodes that
    /// may be spending, this one included; `None` if the node knows of no other yet.
    pub fn try_spend(&mut self, now: Instant, nodes: Option<usize>) -> bool {
        self.advance(now);
        let room = self.room(now, nodes);
        if room >= 1.0 {
            self.steps[self.at].1 += 1;
        }
        room >= 1.0
    }

    /// Share of the budget of this window that is not spent yet, from 0 to 1.
    pub fn remaining_share(&mut self, now: Instant, nodes: Option<usize>) -> f64 {
        self.advance(now);
        let (allowed, extra) = self.totals(now, nodes);
        if allowed < 1.0 { 0.0 } else { ((allowed - extra) / allowed).clamp(0.0, 1.0) }
    }

    fn room(&self, now: Instant, nodes: Option<usize>) -> f64 {
        let (allowed, extra) = self.totals(now, nodes);
        allowed - extra
    }

    fn totals(&self, now: Instant, nodes: Option<usize>) -> (f64, f64) {
        let (ordinary, extra) = self.steps.iter().fold((0, 0), |(o, e), s| (o + s.0, e + s.1));
        let early = now.saturating_duration_since(self.born) < self.bound.window;
        let slack = nodes.map_or(0.0, |n| self.bound.slack / n.max(1) as f64);
        let slack = if early { slack * EARLY } else { slack };
        (CAUTION * (self.bound.ratio * f64::from(ordinary) + slack), f64::from(extra))
    }

    fn advance(&mut self, now: Instant) {
        let step = self.bound.window / STEPS as u32;
        let passed = now.saturating_duration_since(self.step_began).as_nanos();
        let passed = (passed / step.as_nanos().max(1)) as usize;
        if passed == 0 {
            return;
        }
        for _ in 0..passed.min(STEPS) {
            self.at = (self.at + 1) % STEPS;
            self.steps[self.at] = (0, 0);
        }
        self.step_began += step * passed as u32;
    }
}
