//! Adaptive limits on concurrency.

use std::time::{Duration, Instant};

/// Sign of waiting inside upstreams: mean latency over the lowest mean seen.
#[derive(Debug, Clone)]
pub struct QueueingDetector {
    mean: Duration,
    lowest: Duration,
    shrunk: Option<Instant>,
    seen: u32,
}

/// Weight of the newest latency in the running mean.
const WEIGHT: f64 = 0.05;
/// Latencies that make up a first mean.
const LEAST: u32 = 40;
/// Latencies count up to this multiple of the mean, so that one stall is no sign.
const CLIP: f64 = 4.0;
/// Multiple of the lowest mean at which waiting is assumed.
const INFLATION: f64 = 1.5;
/// Growth of the lowest mean with each latency, so that it follows slower servers in time.
const CREEP: f64 = 1.0002;
/// Time for a smaller limit to show in latencies.
const SHRINK_PERIOD: Duration = Duration::from_millis(100);
const INITIAL: Duration = Duration::from_millis(10);

impl QueueingDetector {
    /// No sign yet.
    pub fn new() -> QueueingDetector {
        QueueingDetector { mean: INITIAL, lowest: Duration::MAX, shrunk: None, seen: 0 }
    }

    /// Running mean of latency.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Records a latency; returns whether a limit should shrink now.
    pub fn observe(&mut self, now: Instant, latency: Duration) -> bool {
        let clipped = latency.min(self.mean.mul_f64(CLIP));
        self.mean = self.mean.mul_f64(1.0 - WEIGHT) + clipped.mul_f64(WEIGHT);
        self.seen = self.seen.saturating_add(1);
        if self.seen < LEAST {
            return false;
        }
        let crept = self.lowest.min(Duration::from_secs(60)).mul_f64(CREEP);
        self.lowest = crept.min(self.mean);
        let waits = self.mean > self.lowest.mul_f64(INFLATION);
        let due = self.shrunk.is_none_or(|at| at + SHRINK_PERIOD <= now);
        if waits && due {
            self.shrunk = Some(now);
        }
        waits && due
    }
}

impl Default for QueueingDetector {
    fn default() -> QueueingDetector {
        QueueingDetector::new()
    }
}

/// Limit that shrinks on signs of overload and grows back while it is used.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    floor: f64,
    ceiling: f64,
    value: f64,
}

const BACKOFF: f64 = 0.8;

impl AdaptiveLimit {
    /// Limit between `floor` and `ceiling` that starts at the ceiling.
    pub fn new(floor: u32, ceiling: u32) -> AdaptiveLimit {
        let ceiling = f64::from(ceiling.max(floor));
        AdaptiveLimit { floor: f64::from(floor), ceiling, value: ceiling }
    }

    /// The limit now.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Records a sign of overload.
    pub fn shrink(&mut self) {
        self.value = (self.value * BACKOFF).max(self.floor);
    }

    /// Records a sign of overload while `in_flight` were running; a limit far above that would
    /// take long to come down.
    pub fn shrink_from(&mut self, in_flight: usize) {
        self.value = self.value.min(in_flight as f64 + 1.0);
        self.shrink();
    }

    /// Records a request that succeeded while `in_flight` were running.
    pub fn grow(&mut self, in_flight: usize) {
        if in_flight as f64 >= self.value - 1.0 {
            self.value = (self.value + 1.0 / self.value.max(1.0)).min(self.ceiling);
        }
    }

    /// Drops to the floor, as for an upstream that has just started.
    pub fn reset_to_floor(&mut self) {
        self.value = self.floor;
    }
}
