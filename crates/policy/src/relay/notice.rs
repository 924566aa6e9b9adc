//! What an upstream says of itself in its replies.
//!
//! A notice concerns the process that sent it, whatever the platform, peers or an earlier copy of
//! the platform's data say of it, and ends with that process.

use std::time::{Duration, Instant};

use base::unit::Rate;

use super::{cold, load::Report};

/// Longest rest that an upstream gets for one wish. One that is not asked cannot say that it has
/// recovered, and a longer wish is more likely an error.
pub const MAX_REST: Duration = Duration::from_secs(300);
/// Part by which nodes extend a rest at random, so that they do not all return at its end.
const REST_SPREAD: f64 = 0.1;
/// The same at least: several times the service time of a request.
const MIN_REST_SPREAD: Duration = Duration::from_millis(200);

/// What a reply says of a limit on the requests that its upstream takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Limit {
    /// The reply states no limit.
    #[default]
    None,
    /// The reply states a limit that cannot be read.
    Malformed,
    /// The upstream takes at most so many requests.
    Rate(Rate),
}

/// What a reply says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notice {
    /// The upstream leaves and must get no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this node.
    pub rest: Option<Duration>,
    /// Limit on the requests from all nodes together.
    pub limit: Limit,
    /// Time for which it is cold.
    pub cold: cold::Statement,
    /// Load of the upstream; `None` if the reply states none, or none that can be read.
    pub load: Option<Report>,
}

/// Rest of an upstream at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rest {
    /// When requests may be sent again; `None` if it has not asked for a rest.
    until: Option<Instant>,
    /// Whether it has not accepted a request since.
    is_on_trial: bool,
}

impl Rest {
    /// Records the wish for a rest of `time`. `chance` is random, from 0 to 1. The latest end counts.
    pub fn extend(&mut self, now: Instant, time: Duration, chance: f64) {
        let time = time.min(MAX_REST);
        if time.is_zero() {
            return;
        }
        let spread = time.mul_f64(REST_SPREAD).max(MIN_REST_SPREAD).mul_f64(chance);
        self.until = self.until.max(Some(now + time + spread));
        self.is_on_trial = true;
    }

    /// Records that the upstream ran a request that it got after the rest.
    pub fn record_run(&mut self, sent: Instant) {
        if self.until.is_some_and(|until| sent >= until) {
            *self = Rest::default();
        }
    }

    /// Returns whether a request may be sent while `in_flight` others run. After a rest, the first
    /// one is a trial.
    pub fn allows(&self, now: Instant, in_flight: usize) -> bool {
        match self.until {
            Some(until) => now >= until && (in_flight == 0 || !self.is_on_trial),
            None => true,
        }
    }

    /// Returns the end of the rest if it is not over.
    pub fn end(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }
}
