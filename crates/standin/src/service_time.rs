//! Distributions of service time.

use std::time::Duration;

use rand::{Rng, RngCore};
use rand_distr::{Distribution, LogNormal, Pareto};

/// Distribution of the service time of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServiceTime {
    /// Always the same.
    Fixed(Duration),
    /// Lognormal in milliseconds, with a stall added to a share of requests.
    LogNormal {
        /// Mean of the logarithm.
        mu: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
        /// Share of requests that stall, from 0 to 1.
        stalls: f64,
    },
    /// Pareto in milliseconds.
    Pareto {
        /// Least value.
        scale: f64,
        /// Tail index; lower is heavier.
        alpha: f64,
    },
}

/// Lognormal with 1% stalls, the shape that bounds are stated for.
pub const STANDARD: ServiceTime = ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.01 };

const STALL_MS: std::ops::Range<f64> = 50.0..150.0;

impl ServiceTime {
    /// Draws one service time.
    pub fn sample(&self, rng: &mut dyn RngCore) -> Duration {
        let ms = match self {
            ServiceTime::Fixed(time) => return *time,
            ServiceTime::LogNormal { mu, sigma, stalls } => {
                let body = LogNormal::new(*mu, *sigma).map_or(0.0, |d| d.sample(rng));
                let stalled = rng.random::<f64>() < *stalls;
                let stall = rng.random_range(STALL_MS);
                body + if stalled { stall } else { 0.0 }
            }
            ServiceTime::Pareto { scale, alpha } => {
                Pareto::new(*scale, *alpha).map_or(0.0, |d| d.sample(rng))
            }
        };
        Duration::from_secs_f64(ms.min(10_000.0) / 1_000.0)
    }

    /// Mean service time of a lognormal shape or a fixed one, to work out the offered load.
    pub fn mean(&self) -> Duration {
        let ms = match self {
            ServiceTime::Fixed(time) => return *time,
            ServiceTime::LogNormal { mu, sigma, stalls } => {
                (mu + sigma * sigma / 2.0).exp() + stalls * (STALL_MS.start + STALL_MS.end) / 2.0
            }
            ServiceTime::Pareto { scale, alpha } => scale * alpha / (alpha - 1.0),
        };
        Duration::from_secs_f64(ms / 1_000.0)
    }
}
