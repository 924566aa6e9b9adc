//! Adaptive concurrency limits.

use std::time::{Duration, Instant};

/// Detects queueing inside upstreams by comparing the mean latency with a baseline, the lowest
/// mean seen.
#[derive(Debug, Clone)]
pub struct QueueingDetector {
    mean: Duration,
    baseline: Duration,
    last_shrink: Option<Instant>,
    samples: u32,
}

/// Weight of the newest latency in the moving average.
const EWMA_WEIGHT: f64 = 0.05;
/// Number of latencies needed before the mean is used.
const MIN_SAMPLES: u32 = 40;
/// Latencies are clipped to this multiple of the mean, so that a single stall does not count as
/// queueing.
const CLIP_FACTOR: f64 = 4.0;
/// Multiple of the baseline above which queueing is assumed.
const QUEUEING_RATIO: f64 = 1.5;
/// Factor by which the baseline grows with each latency, so that it adapts to servers that have
/// become slower.
const BASELINE_GROWTH: f64 = 1.0002;
/// Minimum time between two reductions, so that a smaller limit can take effect on latencies
/// first.
const SHRINK_PERIOD: Duration = Duration::from_millis(100);
/// Mean latency assumed before the first sample.
const INITIAL_MEAN: Duration = Duration::from_millis(10);

impl QueueingDetector {
    /// Creates a detector without samples.
    pub fn new() -> QueueingDetector {
        QueueingDetector {
            mean: INITIAL_MEAN,
            baseline: Duration::MAX,
            last_shrink: None,
            samples: 0,
        }
    }

    /// Returns the moving average of the latency.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Records a latency; returns whether the limit should shrink now.
    pub fn observe(&mut self, now: Instant, latency: Duration) -> bool {
        let clipped = latency.min(self.mean.mul_f64(CLIP_FACTOR));
        self.mean = self.mean.mul_f64(1.0 - EWMA_WEIGHT) + clipped.mul_f64(EWMA_WEIGHT);
        self.samples = self.samples.saturating_add(1);
        if self.samples < MIN_SAMPLES {
            return false;
        }
        let raised = self.baseline.min(Duration::from_secs(60)).mul_f64(BASELINE_GROWTH);
        self.baseline = raised.min(self.mean);
        let queueing = self.mean > self.baseline.mul_f64(QUEUEING_RATIO);
        let due = self.last_shrink.is_none_or(|at| at + SHRINK_PERIOD <= now);
        if queueing && due {
            self.last_shrink = Some(now);
        }
        queueing && due
    }
}

impl Default for QueueingDetector {
    fn default() -> QueueingDetector {
        QueueingDetector::new()
    }
}

/// Concurrency limit that decreases multiplicatively on overload and increases additively while
/// it is in full use.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    floor: f64,
    ceiling: f64,
    value: f64,
}

/// Factor applied to the limit on overload.
const SHRINK_FACTOR: f64 = 0.8;

impl AdaptiveLimit {
    /// Creates a limit between `floor` and `ceiling` that starts at the ceiling.
    pub fn new(floor: u32, ceiling: u32) -> AdaptiveLimit {
        let ceiling = f64::from(ceiling.max(floor));
        AdaptiveLimit { floor: f64::from(floor), ceiling, value: ceiling }
    }

    /// Returns the current limit.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Reduces the limit after a sign of overload.
    pub fn shrink(&mut self) {
        self.value = (self.value * SHRINK_FACTOR).max(self.floor);
    }

    /// Reduces the limit after a sign of overload, starting from the `in_flight` requests.
    ///
    /// A limit far above the actual concurrency would otherwise take many reductions to have an
    /// effect.
    pub fn shrink_from(&mut self, in_flight: usize) {
        self.value = self.value.min(in_flight as f64 + 1.0);
        self.shrink();
    }

    /// Raises the limit after a success if the `in_flight` requests used it up.
    pub fn grow(&mut self, in_flight: usize) {
        if in_flight as f64 >= self.value - 1.0 {
            self.value = (self.value + 1.0 / self.value.max(1.0)).min(self.ceiling);
        }
    }

    /// Resets the limit to the floor, as for an upstream that has just started.
    pub fn reset_to_floor(&mut self) {
        self.value = self.floor;
    }
}
