//! Admission control for requests to many pools while some pools are short of capacity.
//!
//! A pool is short if it has lost most of its upstreams, or if its upstreams have become many
//! times slower, so that it serves only part of the requests sent to it. An answer with fewer
//! replies than the route's minimum is worthless. If each pool shed requests independently,
//! hardly any request would get enough replies. Therefore one random number, drawn for each
//! request, decides for all pools: the pools that are short serve the same subset of requests,
//! and all other requests are refused before anything is sent.

use std::time::{Duration, Instant};

/// Buckets of the sliding window.
const BUCKETS: usize = 5;
/// Length of one bucket. The window is 1 s, several times as long as a pause of an upstream, so
/// that a single pause does not look like a shortage.
const BUCKET_LENGTH: Duration = Duration::from_millis(200);
/// Number of requests in the window below which every request is admitted: fewer do not show a
/// shortage.
const MIN_SAMPLES: u32 = 6;
/// A pool that serves at least this share of the requests sent to it is not short of capacity.
const HEALTHY_SHARE: f64 = 0.9;
/// Requests admitted for each served request while the pool is short. Above 1 in order to probe
/// for more capacity.
const SHORT_FACTOR: f64 = 1.5;
/// Requests admitted for each served request while the pool serves nearly all that it is sent:
/// it may have recovered, so the share rises faster.
const HEALTHY_FACTOR: f64 = 2.0;
/// Least share of requests admitted, so that a recovery of the pool is noticed.
const MIN_SHARE: f64 = 0.05;

/// Result of one request at one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The pool replied in time.
    Served,
    /// The request was sent, but the pool did not reply in time.
    Failed,
    /// The request was not admitted and not sent.
    Refused,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    served: u32,
    failed: u32,
    refused: u32,
}

/// Estimates the share of requests that one pool can serve, from the samples of this node in a
/// sliding window.
#[derive(Debug)]
pub struct PoolAdmission {
    /// Ring of buckets; `current` is the newest one.
    buckets: [Counts; BUCKETS],
    current: usize,
    bucket_start: Instant,
}

impl PoolAdmission {
    /// Creates an estimate without samples, which admits all requests.
    pub fn new(now: Instant) -> PoolAdmission {
        PoolAdmission { buckets: [Counts::default(); BUCKETS], current: 0, bucket_start: now }
    }

    /// Records the result of a request.
    pub fn record(&mut self, now: Instant, sample: Sample) {
        self.advance(now);
        let counts = &mut self.buckets[self.current];
        match sample {
            Sample::Served => counts.served += 1,
            Sample::Failed => counts.failed += 1,
            Sample::Refused => counts.refused += 1,
        }
    }

    /// Returns the share of requests to admit, from 0 to 1.
    pub fn admitted_share(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let sum = |of: fn(&Counts) -> u32| self.buckets.iter().map(of).sum::<u32>();
        let (served, failed) = (sum(|c| c.served), sum(|c| c.failed));
        let offered = served + failed + sum(|c| c.refused);
        if offered < MIN_SAMPLES {
            return 1.0;
        }
        let healthy = f64::from(served) >= HEALTHY_SHARE * f64::from(served + failed);
        let factor = if healthy { HEALTHY_FACTOR } else { SHORT_FACTOR };
        (factor * f64::from(served) / f64::from(offered)).clamp(MIN_SHARE, 1.0)
    }

    /// Clears the buckets that have left the window.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.bucket_start).as_nanos();
        let passed = (passed / BUCKET_LENGTH.as_nanos()) as u32;
        if passed == 0 {
            return;
        }
        for _ in 0..passed.min(BUCKETS as u32) {
            self.current = (self.current + 1) % BUCKETS;
            self.buckets[self.current] = Counts::default();
        }
        self.bucket_start += BUCKET_LENGTH * passed;
    }
}
