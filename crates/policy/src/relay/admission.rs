//! Which requests to many pools are begun while some pools cannot serve all of them.
//!
//! Load answered: pools that have lost most of their upstreams, or whose upstreams have become
//! many times slower, so that each serves only part of what it is asked. An answer that lacks
//! more pools than its floor allows is worth nothing. If each pool left out requests of its own
//! choosing, hardly one would get enough of them. So one number, drawn for the request, decides
//! at all pools: those that are short serve the same requests, and the others are refused
//! before anything is sent.

use std::time::{Duration, Instant};

/// Parts that the window is counted in.
const STEPS: usize = 5;
/// Length of a part. The window, a second, is several times the pauses of an upstream, so that
/// one of them does not look like a shortage.
const STEP: Duration = Duration::from_millis(200);
/// Requests in a window below which nothing is concluded from it.
const FEW: u32 = 6;
/// A pool that serves this share of what is sent to it is not short of capacity.
const SOUND: f64 = 0.9;
/// Requests admitted for each one served, while the pool is short: what it could serve beyond
/// that is found out by asking for a little more.
const SHORT_FACTOR: f64 = 1.5;
/// The same while it serves nearly all: it may have recovered.
const SOUND_FACTOR: f64 = 2.0;
/// Share of requests that a pool is asked for in any case, to notice its recovery.
const LEAST: f64 = 0.05;

/// What became of a request at one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// It was served.
    Served,
    /// It was sent, and not served in time.
    Failed,
    /// It was not admitted.
    Refused,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    served: u32,
    failed: u32,
    refused: u32,
}

/// Share of requests that one pool can serve, as one node sees it.
#[derive(Debug)]
pub struct PoolAdmission {
    steps: [Counts; STEPS],
    at: usize,
    step_began: Instant,
}

impl PoolAdmission {
    /// A pool that nothing is known of.
    pub fn new(now: Instant) -> PoolAdmission {
        PoolAdmission { steps: [Counts::default(); STEPS], at: 0, step_began: now }
    }

    /// Records what became of a request.
    pub fn record(&mut self, now: Instant, sample: Sample) {
        self.advance(now);
        let counts = &mut self.steps[self.at];
        match sample {
            Sample::Served => counts.served += 1,
            Sample::Failed => counts.failed += 1,
            Sample::Refused => counts.refused += 1,
        }
    }

    /// Share of requests to admit, from 0 to 1.
    pub fn admitted_share(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let sum = |of: fn(&Counts) -> u32| self.steps.iter().map(of).sum::<u32>();
        let (served, failed) = (sum(|c| c.served), sum(|c| c.failed));
        let wanted = served + failed + sum(|c| c.refused);
        if wanted < FEW {
            return 1.0;
        }
        let sound = f64::from(served) >= SOUND * f64::from(served + failed);
        let factor = if sound { SOUND_FACTOR } else { SHORT_FACTOR };
        (factor * f64::from(served) / f64::from(wanted)).clamp(LEAST, 1.0)
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.step_began).as_nanos();
        let passed = (passed / STEP.as_nanos()) as u32;
        if passed == 0 {
            return;
        }
        for _ in 0..passed.min(STEPS as u32) {
            self.at = (self.at + 1) % STEPS;
            self.steps[self.at] = Counts::default();
        }
        self.step_began += STEP * passed;
    }
}
