//! Latency quantile over the recent requests of a group, used as the hedge delay.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Number of samples in half a window. When the newer half is full, the older half is dropped.
const HALF_WINDOW_SAMPLES: u64 = 2_000;
/// Number of samples between two computations of the quantile.
const REFRESH_SAMPLES: u64 = 25;
/// Number of samples below which no quantile is computed.
const MIN_SAMPLES: u64 = 25;
/// Latencies are clamped to this value, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Sliding-window quantile of latencies.
///
/// The window consists of two histograms: the current one and the full previous one.
#[derive(Debug)]
pub struct LatencyQuantile {
    quantile: f64,
    current: Histogram<u32>,
    previous: Histogram<u32>,
    value: Option<Duration>,
}

impl LatencyQuantile {
    /// Creates an estimator of `quantile`, from 0 to 1.
    pub fn new(quantile: f64) -> LatencyQuantile {
        LatencyQuantile { quantile, current: histogram(), previous: histogram(), value: None }
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Duration) {
        let us = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
        self.current.saturating_record(us);
        if self.current.len() >= HALF_WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        if self.current.len().is_multiple_of(REFRESH_SAMPLES) {
            self.refresh();
        }
    }

    /// Returns the quantile; `None` before enough samples were recorded.
    pub fn value(&self) -> Option<Duration> {
        self.value
    }

    fn refresh(&mut self) {
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return;
        }
        let mut merged = self.current.clone();
        if merged.add(&self.previous).is_ok() {
            self.value = Some(Duration::from_micros(merged.value_at_quantile(self.quantile)));
        }
    }
}

fn histogram() -> Histogram<u32> {
    // Creation cannot fail: the bounds and precision are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).unwrap_or_else(|_| unreachable!())
}
