//! Latency of a group's requests: quantiles over recent requests.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Requests after which the older half of the window is dropped.
const WINDOW: u64 = 2_000;
/// Requests between two computations of the quantile.
const REFRESH: u64 = 25;
/// Requests below which a quantile says nothing.
const LEAST: u64 = 25;
const HIGHEST_US: u64 = 60_000_000;

/// Quantile of recent latencies.
#[derive(Debug)]
pub struct LatencyQuantile {
    quantile: f64,
    current: Histogram<u32>,
    previous: Histogram<u32>,
    value: Option<Duration>,
}

impl LatencyQuantile {
    /// Follows `quantile`, from 0 to 1.
    pub fn new(quantile: f64) -> LatencyQuantile {
        LatencyQuantile { quantile, current: histogram(), previous: histogram(), value: None }
    }

    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        let us = (latency.as_micros() as u64).clamp(1, HIGHEST_US);
        self.current.saturating_record(us);
        if self.current.len() >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        if self.current.len().is_multiple_of(REFRESH) {
            self.refresh();
        }
    }

    /// The quantile; `None` before enough requests were seen.
    pub fn value(&self) -> Option<Duration> {
        self.value
    }

    fn refresh(&mut self) {
        if self.current.len() + self.previous.len() < LEAST {
            return;
        }
        let mut both = self.current.clone();
        if both.add(&self.previous).is_ok() {
            self.value = Some(Duration::from_micros(both.value_at_quantile(self.quantile)));
        }
    }
}

fn histogram() -> Histogram<u32> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, HIGHEST_US, 2).unwrap_or_else(|_| unreachable!())
}
