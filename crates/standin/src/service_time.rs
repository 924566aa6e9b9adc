//! Service time distributions of simulated upstreams.

use std::time::Duration;

use rand::{Rng, RngCore};
use rand_distr::{Distribution, LogNormal, Pareto};

/// Distribution of the service time of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServiceTime {
    /// Constant.
    Fixed(Duration),
    /// Lognormal in milliseconds, with a stall of 50 to 150 ms added to a share of requests.
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
        /// Minimum, in milliseconds.
        scale: f64,
        /// Tail index; lower is heavier.
        alpha: f64,
    },
}

/// Lognormal with 1% stalls. The documented latency bounds refer to this distribution.
pub const STANDARD: ServiceTime = ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.01 };

/// Duration of a stall, in milliseconds, uniformly distributed.
const STALL_MS: std::ops::Range<f64> = 50.0..150.0;
/// Upper limit of a sampled service time, in milliseconds.
const MAX_SAMPLE_MS: f64 = 10_000.0;

impl ServiceTime {
    /// Samples one service time, at most 10 s unless the distribution is fixed.
    pub fn sample(&self, rng: &mut dyn RngCore) -> Duration {
        let ms = match self {
            ServiceTime::Fixed(time) => return *time,
            ServiceTime::LogNormal { mu, sigma, stalls } => {
                let base = LogNormal::new(*mu, *sigma).map_or(0.0, |d| d.sample(rng));
                let stalled = rng.random::<f64>() < *stalls;
                let stall = rng.random_range(STALL_MS);
                base + if stalled { stall } else { 0.0 }
            }
            ServiceTime::Pareto { scale, alpha } => {
                Pareto::new(*scale, *alpha).map_or(0.0, |d| d.sample(rng))
            }
        };
        Duration::from_secs_f64(ms.min(MAX_SAMPLE_MS) / 1_000.0)
    }

    /// Returns the mean service time, from which the offered load is computed. A Pareto
    /// distribution has a finite mean only for `alpha` above 1.
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
