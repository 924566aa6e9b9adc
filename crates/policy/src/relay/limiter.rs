//! This node's part of a limit that an upstream states on the requests from all nodes together.
//!
//! No node sees the sum, so each sends only its part of the limit. In a large fleet a part is far
//! below one request per second. A token bucket would then let every node that has been idle send
//! one request at once, many times the limit together. Permits therefore come at regular times,
//! with a random phase at each node, and expire soon.

use std::time::{Duration, Instant};

use base::unit::Rate;

/// Longest time between taking a permit and sending the request.
pub const MAX_PERMIT_AGE: Duration = Duration::from_millis(500);
/// Window in which upstreams measure the requests that they get.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that an upstream tolerates in the window, as a multiple of what its limit allows.
const TOLERANCE: f64 = 1.5;
/// Requests that it tolerates in addition, however low its limit.
const TOLERATED_EXTRA: f64 = 5.0;
/// Standard deviations of the number of requests in a window that must fit into the tolerance.
const DEVIATIONS: f64 = 3.0;
/// Shortest life of a permit.
const MIN_LIFETIME: Duration = Duration::from_millis(250);
/// Longest life of a permit.
const MAX_LIFETIME: Duration = Duration::from_secs(2);
/// Life of a permit as a multiple of the interval between two, within these bounds and what the
/// tolerance allows.
const LIFETIME_INTERVALS: f64 = 4.0;
/// Share of its life after which a permit may be used for [`Attempt::Yielding`].
const YIELDING_AGE: f64 = 0.5;
/// Share of the limit that the parts of all nodes add up to. The rest is a margin for nodes that
/// count the fleet differently.
const LIMIT_SHARE: f64 = 0.95;
/// Least limit that is applied, in requests per second: an upstream that gets no requests at all
/// could not tell that its limit has ended.
const MIN_LIMIT: f64 = 0.1;
/// Time without a known peer after which a node takes itself for the whole fleet. Peers are found
/// within a fraction of it.
pub const LONE_NODE_DELAY: Duration = Duration::from_secs(4);
/// Shortest interval between two permits: far more requests than a node can send.
const MIN_INTERVAL: Duration = Duration::from_micros(1);
/// Longest interval between two permits.
const MAX_INTERVAL: Duration = Duration::from_secs(1_000_000);

/// Returns the equal part of `limit` for one of `nodes`, this one included. While none is known, it
/// is nothing until `age`, the time since the start of the process, shows that there is none.
pub fn equal_part(limit: Rate, nodes: Option<usize>, age: Duration) -> Rate {
    match nodes {
        Some(nodes) => shared_part(limit, 1.0 / nodes.max(1) as f64),
        None if age < LONE_NODE_DELAY => Rate::ZERO,
        None => shared_part(limit, 1.0),
    }
}

/// Returns the part of `limit` for a node that may use `share` of it, from 0 to 1.
pub fn shared_part(limit: Rate, share: f64) -> Rate {
    Rate::new(limit.per_second().max(MIN_LIMIT) * LIMIT_SHARE * share)
}

/// Returns the longest time for which permits can be used under `limit`, so that the tolerance holds
/// if all nodes have been idle and use all their permits at once. Each node's count in the window
/// is random by its phase, in large fleets nearly as in a Poisson distribution.
fn max_lifetime(limit: Rate) -> Duration {
    let allowed = limit.per_second().max(MIN_LIMIT) * LIMIT_SHARE;
    let tolerated = limit.per_second() * TOLERANCE * WINDOW.as_secs_f64() + TOLERATED_EXTRA;
    // The mean that solves `mean + DEVIATIONS * sqrt(mean) = tolerated`.
    let root = ((DEVIATIONS.powi(2) + 4.0 * tolerated).sqrt() - DEVIATIONS) / 2.0;
    let seconds = root.powi(2) / allowed - WINDOW.as_secs_f64();
    let lifetime = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_LIFETIME);
    lifetime.clamp(MIN_LIFETIME, MAX_LIFETIME)
}

/// Which permits an attempt may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// Any.
    First,
    /// Those that no first attempt has needed for some time: it is a hedge or a retry, or less urgent
    /// than others.
    Yielding,
}

/// Limits the requests of this node to one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Limiter {
    /// Limit on all nodes together, as stated.
    limit: Rate,
    /// Part of this node.
    part: Rate,
    /// When the oldest unused permit came, or the next one comes. Permits that have expired are
    /// skipped when they are looked at.
    next: Instant,
    /// Random phase of the permits, from 0 to 1.
    phase: f64,
}

impl Limiter {
    /// Creates a limiter without a part for an upstream that states `limit`. `phase` is random, from
    /// 0 to 1.
    pub fn new(now: Instant, limit: Rate, phase: f64) -> Limiter {
        Limiter { limit, part: Rate::ZERO, next: now, phase }
    }

    /// Returns the stated limit on all nodes together.
    pub fn limit(&self) -> Rate {
        self.limit
    }

    /// Returns the part of this node.
    pub fn part(&self) -> Rate {
        self.part
    }

    /// Sets the stated limit. The part keeps its share of it until it is set again.
    pub fn set_limit(&mut self, now: Instant, limit: Rate) {
        let before = self.limit.per_second().max(MIN_LIMIT);
        let ratio = limit.per_second().max(MIN_LIMIT) / before;
        self.limit = limit;
        self.set_part(now, Rate::new(self.part.per_second() * ratio));
    }

    /// Sets the part of this node. The time to the next permit changes in proportion.
    pub fn set_part(&mut self, now: Instant, part: Rate) {
        if part == self.part {
            return;
        }
        let next = self.next_permit(now);
        let before = std::mem::replace(&mut self.part, part);
        self.next = match next {
            None => now + interval(part).mul_f64(self.phase),
            Some(next) if next <= now => next,
            Some(next) => {
                let wait = (next - now).mul_f64(before.per_second() / part.per_second().max(1e-6));
                now + wait.min(interval(part))
            }
        };
    }

    /// Returns the time for which a permit can be used.
    fn lifetime(&self) -> Duration {
        let wanted = interval(self.part).mul_f64(LIFETIME_INTERVALS).max(MIN_LIFETIME);
        wanted.min(max_lifetime(self.limit))
    }

    /// Returns whether a permit is there for an attempt.
    pub fn allows(&self, now: Instant, attempt: Attempt) -> bool {
        self.allows_at(now, attempt).is_some_and(|at| at <= now)
    }

    /// Returns since when, or from when on, a permit is there for an attempt; `None` if the node has
    /// no part of the limit.
    pub fn allows_at(&self, now: Instant, attempt: Attempt) -> Option<Instant> {
        let next = self.next_permit(now)?;
        Some(match attempt {
            Attempt::First => next,
            Attempt::Yielding => next + self.lifetime().mul_f64(YIELDING_AGE),
        })
    }

    /// Uses up a permit. Without one, the next is used up in advance.
    pub fn take(&mut self, now: Instant) {
        if let Some(next) = self.next_permit(now) {
            self.next = next + interval(self.part);
        }
    }

    /// Returns when the oldest permit that has not expired came, or when the next one comes; `None`
    /// if the node has no part of the limit.
    pub fn next_permit(&self, now: Instant) -> Option<Instant> {
        if self.part <= Rate::ZERO {
            return None;
        }
        let interval = interval(self.part);
        let age = now.saturating_duration_since(self.next);
        let expired = age.saturating_sub(self.lifetime()).as_secs_f64() / interval.as_secs_f64();
        Some(self.next + interval.mul_f64(expired.ceil()))
    }
}

/// Returns the time between two permits of `part`.
fn interval(part: Rate) -> Duration {
    let seconds = 1.0 / part.per_second();
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
