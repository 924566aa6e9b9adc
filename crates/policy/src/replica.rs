//! What a leaf knows of one upstream from its own observations.

use std::time::{Duration, Instant};

use base::{id, unit::Version};
use serde::{Deserialize, Serialize};

use crate::limit::AdaptiveLimit;

/// Index versions that an upstream holds, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Oldest version held.
    pub oldest: Version,
    /// Newest version held.
    pub newest: Version,
}

impl Window {
    /// Whether `version` is held.
    pub fn holds(&self, version: Version) -> bool {
        self.oldest <= version && version <= self.newest
    }
}

/// Weight of the newest latency in the running mean.
const WEIGHT: f64 = 0.1;
const INITIAL: Duration = Duration::from_millis(5);
/// Time between two statuses of an upstream; a little below the leaf's own period, so that the
/// two do not beat.
const STATUS_PERIOD: Duration = Duration::from_millis(900);
/// The same while it replies; a departure that only its status tells must be noticed within 3 s.
const BUSY_STATUS_PERIOD: Duration = Duration::from_millis(1_900);
const SHED_PAUSE: Duration = Duration::from_millis(5);
const BACKOFF_FIRST: Duration = Duration::from_millis(50);
const BACKOFF_LAST: Duration = Duration::from_secs(2);

/// State of one upstream.
#[derive(Debug)]
pub struct Replica {
    /// Its address.
    pub upstream: id::Upstream,
    /// Versions that it said it holds.
    pub window: Option<Window>,
    limit: AdaptiveLimit,
    in_flight: usize,
    mean: Duration,
    last_sent: Option<Instant>,
    last_reply: Option<Instant>,
    last_status: Option<Instant>,
    blocked_until: Option<Instant>,
    failures: u32,
    incarnation: Option<id::Incarnation>,
    /// The incarnation that said that it leaves; `None` inside if it gave none.
    leaving: Option<Option<id::Incarnation>>,
    /// The same, of the platform's list.
    listed: Option<Option<id::Incarnation>>,
    published_leaving: bool,
}

impl Replica {
    /// An upstream of `slots` slots, not yet observed.
    pub fn new(upstream: id::Upstream, slots: u32, published_leaving: bool) -> Replica {
        Replica {
            upstream,
            window: None,
            limit: AdaptiveLimit::new(1, slots),
            in_flight: 0,
            mean: INITIAL,
            last_sent: None,
            last_reply: None,
            last_status: None,
            blocked_until: None,
            failures: 0,
            incarnation: None,
            leaving: None,
            listed: None,
            published_leaving,
        }
    }

    /// Requests in flight from this node.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether it takes no new work because it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some() || self.listed.is_some() || self.published_leaving
    }

    /// Whether it is known not to hold `version`.
    pub fn lacks(&self, version: Option<Version>) -> bool {
        matches!((version, self.window), (Some(v), Some(w)) if !w.holds(v))
    }

    /// Until when it gets no work after a failure or a refusal.
    pub fn blocked_until(&self, now: Instant) -> Option<Instant> {
        self.blocked_until.filter(|at| *at > now)
    }

    /// Whether the last signs were failures.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether a request may be sent now.
    pub fn is_free(&self, now: Instant) -> bool {
        let probing = self.failures > 0 && self.in_flight > 0;
        !probing && self.in_flight < self.limit.value() && self.blocked_until(now).is_none()
    }

    /// Expected cost of one more request; lower is better.
    pub fn cost(&self) -> f64 {
        self.mean.as_secs_f64() * (1.0 + self.in_flight as f64)
    }

    /// Running mean of latency.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// When it was last sent a request.
    pub fn last_sent(&self) -> Option<Instant> {
        self.last_sent
    }

    /// Records a request sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.in_flight += 1;
        self.last_sent = Some(now);
    }

    /// Records a reply after `latency`.
    pub fn record_reply(&mut self, now: Instant, latency: Duration) {
        self.last_reply = Some(now);
        self.limit.grow(self.in_flight);
        self.in_flight -= 1;
        self.failures = 0;
        self.observe(latency);
    }

    /// Whether it is time to ask for its status: less often while replies tell the same.
    pub fn is_status_due(&self, now: Instant) -> bool {
        let quiet = self.last_reply.is_none_or(|at| at + STATUS_PERIOD <= now);
        let period = if quiet { STATUS_PERIOD } else { BUSY_STATUS_PERIOD };
        self.last_status.is_none_or(|at| at + period <= now)
    }

    /// Records that its status is being asked for.
    pub fn record_status_request(&mut self, now: Instant) {
        self.last_status = Some(now);
    }

    /// Records a request cancelled after `age` without a reply.
    pub fn record_cancelled(&mut self, age: Duration) {
        self.in_flight -= 1;
        if age > self.mean {
            self.observe(age);
        }
    }

    /// Records a refusal before running.
    pub fn record_shed(&mut self, now: Instant) {
        self.in_flight -= 1;
        self.limit.shrink();
        self.blocked_until = Some(now + SHED_PAUSE);
    }

    /// Records a reply that says that the upstream could not serve this very request.
    pub fn record_declined(&mut self) {
        self.in_flight -= 1;
    }

    /// Records a failure; `jitter` from 0 to 1 spreads the next attempts of many nodes.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.in_flight -= 1;
        self.failures = self.failures.saturating_add(1);
        self.limit.reset_to_floor();
        let doubled = BACKOFF_FIRST.saturating_mul(1 << (self.failures - 1).min(16));
        let longest = doubled.min(BACKOFF_LAST);
        self.blocked_until = Some(now + longest.mul_f64(0.5 + 0.5 * jitter));
    }

    /// Records the incarnation that the upstream names in a reply or a status.
    ///
    /// A new incarnation ends the drain of an earlier one.
    pub fn record_incarnation(&mut self, incarnation: id::Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.window = None;
        self.leaving = bind(self.leaving, incarnation);
        self.listed = bind(self.listed, incarnation);
    }

    /// Records a sign that the upstream leaves; it lasts as long as its incarnation.
    pub fn record_leaving(&mut self, incarnation: Option<id::Incarnation>) {
        if self.leaving.is_none() {
            self.leaving = Some(incarnation.or(self.incarnation));
        }
    }

    /// Records what the platform's list says of it; a departure lasts as long as its
    /// incarnation, or until the list says that it is live.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed = leaving.then(|| self.listed.unwrap_or(self.incarnation));
    }

    /// Records whether the published configuration says that it leaves.
    pub fn set_published_leaving(&mut self, leaving: bool) {
        self.published_leaving = leaving;
    }

    fn observe(&mut self, latency: Duration) {
        self.mean = self.mean.mul_f64(1.0 - WEIGHT) + latency.mul_f64(WEIGHT);
    }
}

/// What is left of a departure once the upstream is known to be `incarnation`.
fn bind(
    departure: Option<Option<id::Incarnation>>,
    incarnation: id::Incarnation,
) -> Option<Option<id::Incarnation>> {
    match departure? {
        // It was not known which process left; the first one seen since is taken for it.
        None => Some(Some(incarnation)),
        Some(left) => (left == incarnation).then_some(Some(left)),
    }
}
