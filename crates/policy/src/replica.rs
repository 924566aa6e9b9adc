//! State of one upstream as a leaf observes it: load, latency, health and draining.

use std::time::{Duration, Instant};

use base::{id, unit::Version};
use serde::{Deserialize, Serialize};

use crate::limit::AdaptiveLimit;

/// Range of index versions that an upstream holds, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Oldest version held.
    pub oldest: Version,
    /// Newest version held.
    pub newest: Version,
}

impl Window {
    /// Whether `version` is in the window.
    pub fn holds(&self, version: Version) -> bool {
        self.oldest <= version && version <= self.newest
    }
}

/// Weight of the newest latency in the moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Mean latency assumed before the first sample.
const INITIAL_MEAN: Duration = Duration::from_millis(5);
/// Time between two status requests to an idle upstream. Slightly below the leaf's polling period,
/// so that every poll finds the request due instead of every other one.
const STATUS_PERIOD: Duration = Duration::from_millis(900);
/// Time between two status requests to an upstream that replies to queries. A departure that only
/// the status reveals must be noticed within 3 s.
const BUSY_STATUS_PERIOD: Duration = Duration::from_millis(1_900);
/// Time without new requests after a refusal because of load.
const SHED_BACKOFF: Duration = Duration::from_millis(5);
/// Backoff before jitter after the first failure; doubles with each further one, up to
/// [`MAX_FAILURE_BACKOFF`].
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the backoff after failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// One upstream that serves the group's shard.
#[derive(Debug)]
pub struct Replica {
    /// Its address.
    pub upstream: id::Upstream,
    /// Index versions that it has reported; `None` if not known.
    pub window: Option<Window>,
    limit: AdaptiveLimit,
    in_flight: usize,
    mean: Duration,
    last_sent: Option<Instant>,
    last_reply: Option<Instant>,
    last_status_request: Option<Instant>,
    blocked_until: Option<Instant>,
    failures: u32,
    incarnation: Option<id::Incarnation>,
    /// Incarnation that announced its departure; the inner `None` is an unknown incarnation.
    leaving: Option<Option<id::Incarnation>>,
    /// Incarnation that the platform lists as leaving; the inner `None` is an unknown one.
    listed_leaving: Option<Option<id::Incarnation>>,
    /// Whether the published configuration marks the upstream as leaving or omits it.
    published_leaving: bool,
}

impl Replica {
    /// Creates an upstream with `slots` slots and no observations.
    pub fn new(upstream: id::Upstream, slots: u32, published_leaving: bool) -> Replica {
        Replica {
            upstream,
            window: None,
            limit: AdaptiveLimit::new(1, slots),
            in_flight: 0,
            mean: INITIAL_MEAN,
            last_sent: None,
            last_reply: None,
            last_status_request: None,
            blocked_until: None,
            failures: 0,
            incarnation: None,
            leaving: None,
            listed_leaving: None,
            published_leaving,
        }
    }

    /// Returns the number of requests in flight from this node.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether the upstream is draining and gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some() || self.listed_leaving.is_some() || self.published_leaving
    }

    /// Whether the upstream is known not to hold `version`.
    pub fn lacks(&self, version: Option<Version>) -> bool {
        matches!((version, self.window), (Some(v), Some(w)) if !w.holds(v))
    }

    /// Returns the end of the current backoff after a failure or refusal, if there is one.
    pub fn blocked_until(&self, now: Instant) -> Option<Instant> {
        self.blocked_until.filter(|at| *at > now)
    }

    /// Whether the upstream has failed since its last reply.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether a request may be sent now.
    ///
    /// A failing upstream gets one request at a time, as a probe.
    pub fn is_free(&self, now: Instant) -> bool {
        let probing = self.failures > 0 && self.in_flight > 0;
        !probing && self.in_flight < self.limit.value() && self.blocked_until(now).is_none()
    }

    /// Returns the expected cost of one more request; lower is better.
    pub fn cost(&self) -> f64 {
        self.mean.as_secs_f64() * (1.0 + self.in_flight as f64)
    }

    /// Returns the moving average of the latency.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the time of the last request sent.
    pub fn last_sent(&self) -> Option<Instant> {
        self.last_sent
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.in_flight += 1;
        self.last_sent = Some(now);
    }

    /// Records a successful reply after `latency`.
    pub fn record_reply(&mut self, now: Instant, latency: Duration) {
        self.last_reply = Some(now);
        self.limit.grow(self.in_flight);
        self.in_flight -= 1;
        self.failures = 0;
        self.record_latency(latency);
    }

    /// Whether a status request is due. They are less frequent while replies carry the same
    /// information.
    pub fn is_status_due(&self, now: Instant) -> bool {
        let idle = self.last_reply.is_none_or(|at| at + STATUS_PERIOD <= now);
        let period = if idle { STATUS_PERIOD } else { BUSY_STATUS_PERIOD };
        self.last_status_request.is_none_or(|at| at + period <= now)
    }

    /// Records that a status request was sent.
    pub fn record_status_request(&mut self, now: Instant) {
        self.last_status_request = Some(now);
    }

    /// Records that a request was cancelled after `age` without a reply.
    ///
    /// An age above the mean is a lower bound of the latency and counts as a sample.
    pub fn record_cancelled(&mut self, age: Duration) {
        self.in_flight -= 1;
        if age > self.mean {
            self.record_latency(age);
        }
    }

    /// Records a refusal because of load.
    pub fn record_shed(&mut self, now: Instant) {
        self.in_flight -= 1;
        self.limit.shrink();
        self.blocked_until = Some(now + SHED_BACKOFF);
    }

    /// Records a refusal that concerns this request only and implies no backoff.
    pub fn record_declined(&mut self) {
        self.in_flight -= 1;
    }

    /// Records a failure and starts an exponential backoff; `jitter` from 0 to 1 spreads the next
    /// attempts of many nodes.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.in_flight -= 1;
        self.failures = self.failures.saturating_add(1);
        self.limit.reset_to_floor();
        let doubled = MIN_FAILURE_BACKOFF.saturating_mul(1 << (self.failures - 1).min(16));
        let backoff = doubled.min(MAX_FAILURE_BACKOFF);
        self.blocked_until = Some(now + backoff.mul_f64(0.5 + 0.5 * jitter));
    }

    /// Records the incarnation that the upstream reports in a reply or status.
    ///
    /// A new incarnation ends the draining state of an earlier one.
    pub fn record_incarnation(&mut self, incarnation: id::Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.window = None;
        self.leaving = resolve_departure(self.leaving, incarnation);
        self.listed_leaving = resolve_departure(self.listed_leaving, incarnation);
    }

    /// Records that the upstream announced its departure, which holds for its incarnation.
    pub fn record_leaving(&mut self, incarnation: Option<id::Incarnation>) {
        if self.leaving.is_none() {
            self.leaving = Some(incarnation.or(self.incarnation));
        }
    }

    /// Records whether the platform lists the upstream as leaving. A listed departure holds for its
    /// incarnation, or until the platform lists the upstream as live.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving.then(|| self.listed_leaving.unwrap_or(self.incarnation));
    }

    /// Records whether the published configuration marks the upstream as leaving.
    pub fn set_published_leaving(&mut self, leaving: bool) {
        self.published_leaving = leaving;
    }

    fn record_latency(&mut self, latency: Duration) {
        self.mean = self.mean.mul_f64(1.0 - EWMA_WEIGHT) + latency.mul_f64(EWMA_WEIGHT);
    }
}

/// Returns the departure that remains once the upstream is known to be `incarnation`.
fn resolve_departure(
    departure: Option<Option<id::Incarnation>>,
    incarnation: id::Incarnation,
) -> Option<Option<id::Incarnation>> {
    match departure? {
        // The departing incarnation was unknown: assume the first one observed since.
        None => Some(Some(incarnation)),
        Some(departing) => (departing == incarnation).then_some(Some(departing)),
    }
}
