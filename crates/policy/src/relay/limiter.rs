//! This node's part of a limit that an upstream states on the requests from all nodes together.
//!
//! No node sees the sum, so each sends only its part of the limit. In a large fleet a part is far
//! below one request per second. A token bucket would then let every node that has been idle send
//! one request at once, many times the limit together. Permits therefore come at regular times,
//! with a random phase at each node, and expire soon.

use std::time::{Duration, Instant};

use base::unit::Rate;

/// Longest time between taking a permit for a stated limit and sending the request.
pub const MAX_PERMIT_AGE: Duration = Duration::from_millis(500);
/// The same for a cold upstream, whose window is shorter: permits that wait for a connection and are
/// then used together must not fill a window.
const MAX_COLD_PERMIT_AGE: Duration = Duration::from_millis(100);
/// Standard deviations of the number of requests in a window that must fit into the tolerance of
/// stated limits.
const DEVIATIONS: f64 = 3.0;
/// The same for cold upstreams. With 3, a random history of the fleet model (136 nodes) exceeded the
/// bound: in a window of 1 s the counts are small, and the tail of their distribution is longer.
const COLD_DEVIATIONS: f64 = 5.0;
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

/// What an upstream tolerates from all nodes together in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Window in which the upstream measures the requests that it gets.
    window: Duration,
    /// Requests that it tolerates in the window, as a multiple of what its limit allows.
    factor: f64,
    /// Requests that it tolerates in addition, however low its limit.
    extra: f64,
    /// Standard deviations of the number of requests in a window that must fit into this.
    deviations: f64,
    /// Longest time between taking a permit and sending the request.
    max_permit_age: Duration,
}

impl Bound {
    /// Bound of limits that upstreams state in their replies.
    pub const STATED: Bound = Bound {
        window: Duration::from_secs(4),
        factor: 1.5,
        extra: 5.0,
        deviations: DEVIATIONS,
        max_permit_age: MAX_PERMIT_AGE,
    };

    /// Bound of cold upstreams: in any second, `factor` times what the limit allows, and `extra`
    /// requests.
    pub const fn cold(factor: f64, extra: f64) -> Bound {
        let window = Duration::from_secs(1);
        let (deviations, max_permit_age) = (COLD_DEVIATIONS, MAX_COLD_PERMIT_AGE);
        Bound { window, factor, extra, deviations, max_permit_age }
    }

    /// Returns the equal part of `limit` for one of `nodes`, this one included. While none is known,
    /// it is nothing until `age`, the time since the start of the process, shows that there is none.
    pub fn equal_part(&self, limit: Rate, nodes: Option<usize>, age: Duration) -> Rate {
        match nodes {
            Some(nodes) => self.shared_part(limit, 1.0 / nodes.max(1) as f64),
            None if age < LONE_NODE_DELAY => Rate::ZERO,
            None => self.shared_part(limit, 1.0),
        }
    }

    /// Returns the part of `limit` for a node that may use `share` of it, from 0 to 1.
    pub fn shared_part(&self, limit: Rate, share: f64) -> Rate {
        Rate::new(self.allowed(limit) * share)
    }

    /// Returns the requests per second that the parts of all nodes add up to. With a short window it
    /// may be less than [`LIMIT_SHARE`] of the limit, as permits that live for less than
    /// [`MIN_LIFETIME`] mostly expire unused.
    fn allowed(&self, limit: Rate) -> f64 {
        let longest_window = (self.window + MIN_LIFETIME).as_secs_f64();
        let wanted = limit.per_second().max(MIN_LIMIT) * LIMIT_SHARE;
        wanted.min(self.tolerated_mean(limit) / longest_window)
    }

    /// Returns the mean number of requests in a window with which the bound holds. Each node's count
    /// in the window is random by its phase, in large fleets nearly as in a Poisson distribution.
    fn tolerated_mean(&self, limit: Rate) -> f64 {
        let tolerated = limit.per_second() * self.factor * self.window.as_secs_f64() + self.extra;
        // Solves `mean + deviations * sqrt(mean) = tolerated`.
        let root = ((self.deviations.powi(2) + 4.0 * tolerated).sqrt() - self.deviations) / 2.0;
        root.powi(2)
    }

    /// Returns the longest time for which permits can be used under `limit`, so that the bound holds
    /// if all nodes have been idle and use all their permits at once.
    fn max_lifetime(&self, limit: Rate) -> Duration {
        let seconds = self.tolerated_mean(limit) / self.allowed(limit) - self.window.as_secs_f64();
        let lifetime = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_LIFETIME);
        lifetime.clamp(MIN_LIFETIME, MAX_LIFETIME)
    }
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
    bound: Bound,
    created: Instant,
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
        let (bound, part) = (Bound::STATED, Rate::ZERO);
        Limiter { limit, bound, created: now, part, next: now, phase }
    }

    /// Sets what the upstream tolerates.
    pub fn with_bound(self, bound: Bound) -> Limiter {
        Limiter { bound, ..self }
    }

    /// Returns what the upstream tolerates.
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// Returns whether a permit taken at `taken` may still be used. One from before this limiter was
    /// created was not taken from it.
    pub fn accepts(&self, now: Instant, taken: Instant) -> bool {
        let age = now.saturating_duration_since(taken);
        taken >= self.created && age <= self.bound.max_permit_age
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
        wanted.min(self.bound.max_lifetime(self.limit))
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
