//! Passive health state of one upstream, as one node observes it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    cold,
    limiter::{Attempt, Limiter},
    load,
    notice::Rest,
    registry::{Availability, Entry},
};
use crate::outcome::Fate;

/// Number of latencies of which the median is taken: a single pause of the upstream does not
/// count, and a slow upstream is recognised by its second reply.
const LATENCY_SAMPLES: usize = 3;
/// Age from which a latency no longer counts: a slow upstream may have recovered.
const MAX_LATENCY_AGE: Duration = Duration::from_secs(4);
/// Time for which an upstream is avoided after a first failed connection; doubles with each
/// further failure.
const CONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time for which an upstream is avoided after failed connections.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which an upstream is avoided after it refused a request.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
/// Weight of the newest result in the moving averages of failures and refusals.
const NEWEST_RESULT_WEIGHT: f64 = 0.2;
/// Age of the last failure or refusal from which the average counts as 0.
const MAX_BAD_RESULT_AGE: Duration = Duration::from_secs(5);

/// Time after which a node that has no part of an upstream's limit may have got one.
const NO_PART_DELAY: Duration = Duration::from_millis(500);

/// Limit that has no permit for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// The limit that the upstream states.
    Limit,
    /// The limit of its pool for cold upstreams.
    Cold,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The upstream ran the request and replied in full.
    Reply {
        /// Whether the reply reports success.
        success: bool,
    },
    /// The upstream replied that it did not run the request.
    Refused,
    /// The request did not run: another process serves at the address.
    InstanceReplaced,
    /// The request did not run: nothing of it was sent.
    NotSent,
    /// The request did not run: nothing of it was sent, as the upstream wants no more requests now.
    Withheld,
    /// The request may have run: the connection ended before a reply began.
    ConnectionLost,
    /// The request may have run: the reply broke off, or it was not a valid reply to this
    /// request.
    BadReply,
    /// The request may have run: no reply came while this node waited for one.
    NoReply,
}

impl AttemptEnd {
    /// Returns whether the request ran, as far as this node knows.
    pub fn fate(self) -> Fate {
        match self {
            AttemptEnd::Reply { .. } => Fate::Ran,
            AttemptEnd::Refused
            | AttemptEnd::InstanceReplaced
            | AttemptEnd::NotSent
            | AttemptEnd::Withheld => Fate::NotRun,
            AttemptEnd::ConnectionLost | AttemptEnd::BadReply | AttemptEnd::NoReply => {
                Fate::MayHaveRun
            }
        }
    }
}

/// Exponentially weighted moving average of the share of bad results.
#[derive(Debug, Clone, Copy, Default)]
struct BadResultShare {
    average: f64,
    last_bad: Option<Instant>,
}

impl BadResultShare {
    fn record(&mut self, now: Instant, bad: bool) {
        let newest = if bad { 1.0 } else { 0.0 };
        self.average = self.get(now) + NEWEST_RESULT_WEIGHT * (newest - self.get(now));
        if bad {
            self.last_bad = Some(now);
        }
    }

    /// Returns the share, from 0 to 1.
    fn get(&self, now: Instant) -> f64 {
        let recent = |at: Instant| now.saturating_duration_since(at) < MAX_BAD_RESULT_AGE;
        if self.last_bad.is_some_and(recent) { self.average } else { 0.0 }
    }
}

/// Observations of one upstream.
#[derive(Debug)]
pub struct UpstreamStats {
    /// When the attempts in flight were sent.
    in_flight: Vec<Instant>,
    /// Ring of the newest latencies, each with the time at which it was observed.
    latencies: [(Option<Instant>, Duration); LATENCY_SAMPLES],
    next_latency: usize,
    last_reply: Option<Instant>,
    failures: BadResultShare,
    refusals: BadResultShare,
    last_refusal: Option<Instant>,
    connect_failures: u32,
    shedding_until: Option<Instant>,
    down_until: Option<Instant>,
    replaced: bool,
    cold: cold::Belief,
    /// Limits the requests while the upstream is cold, if its pool has such a limit.
    cold_limiter: Option<Limiter>,
    /// Whether a malformed cold time of the upstream has been reported.
    has_malformed_cold: bool,
    /// Rest that the upstream has asked for.
    rest: Rest,
    /// Keeps the limit that it states.
    limiter: Option<Limiter>,
    /// When the newest reply came that said what its limit is, or that it has ended.
    limit_heard_at: Option<Instant>,
    /// Load that it reports.
    load: load::Estimate,
}

impl UpstreamStats {
    /// Creates empty observations of the upstream registered by `entry`.
    pub fn new(now: Instant, entry: &Entry) -> UpstreamStats {
        UpstreamStats {
            in_flight: Vec::new(),
            latencies: [(None, Duration::ZERO); LATENCY_SAMPLES],
            next_latency: 0,
            last_reply: None,
            failures: BadResultShare::default(),
            refusals: BadResultShare::default(),
            last_refusal: None,
            connect_failures: 0,
            shedding_until: None,
            down_until: None,
            replaced: false,
            cold: cold::Belief::new(now, entry.cold),
            cold_limiter: None,
            has_malformed_cold: false,
            rest: Rest::default(),
            limiter: None,
            limit_heard_at: None,
            load: load::Estimate::default(),
        }
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.in_flight.push(now);
        if let Some(limiter) = &mut self.limiter {
            limiter.take(now);
        }
        if let Some(limiter) = self.active_cold_limiter_mut(now) {
            limiter.take(now);
        }
    }

    /// Takes permits for an attempt that has none, or whose permits of `taken` have expired. Returns
    /// the limit that lacks one.
    pub fn try_take(&mut self, now: Instant, taken: Option<Instant>) -> Result<(), Lack> {
        let lacks = |l: &Limiter| !taken.is_some_and(|taken| l.accepts(now, taken));
        let needs_limit = self.limiter.as_ref().is_some_and(lacks);
        let needs_cold = self.cold_limiter(now).is_some_and(lacks);
        let allows = |l: &Limiter| l.allows(now, Attempt::First);
        if needs_limit && !self.limiter.as_ref().is_some_and(allows) {
            return Err(Lack::Limit);
        }
        if needs_cold && !self.cold_limiter(now).is_some_and(allows) {
            return Err(Lack::Cold);
        }
        if let Some(limiter) = self.limiter.as_mut().filter(|_| needs_limit) {
            limiter.take(now);
        }
        if let Some(limiter) = self.active_cold_limiter_mut(now).filter(|_| needs_cold) {
            limiter.take(now);
        }
        Ok(())
    }

    /// Records how the attempt that was sent at `sent` ended.
    pub fn record_end(&mut self, now: Instant, sent: Instant, end: AttemptEnd) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent) {
            self.in_flight.swap_remove(index);
        }
        match end {
            AttemptEnd::Reply { .. } => self.load.record_end(now, sent, true),
            AttemptEnd::NoReply => self.load.record_end(now, sent, false),
            _ => self.load.forget(sent),
        }
        match end {
            AttemptEnd::Reply { success } => {
                self.last_reply = Some(now);
                self.rest.record_run(sent);
                self.connect_failures = 0;
                self.down_until = None;
                self.record_latency(now, now.saturating_duration_since(sent));
                self.failures.record(now, !success);
                self.refusals.record(now, false);
            }
            AttemptEnd::Refused => {
                self.shedding_until = Some(now + REFUSAL_BACKOFF);
                // A single refusal may come from a queue that was full for a moment, so a refusal
                // counts only if another one came less than `MAX_BAD_RESULT_AGE` before.
                let recent = |at: Instant| now.saturating_duration_since(at) < MAX_BAD_RESULT_AGE;
                if self.last_refusal.replace(now).is_some_and(recent) {
                    self.refusals.record(now, true);
                }
            }
            AttemptEnd::InstanceReplaced => self.replaced = true,
            AttemptEnd::NotSent => self.back_off(now),
            AttemptEnd::Withheld => {}
            AttemptEnd::ConnectionLost | AttemptEnd::BadReply => self.failures.record(now, true),
            AttemptEnd::NoReply => self.record_latency(now, now.saturating_duration_since(sent)),
        }
    }

    fn record_latency(&mut self, now: Instant, latency: Duration) {
        self.latencies[self.next_latency] = (Some(now), latency);
        self.next_latency = (self.next_latency + 1) % LATENCY_SAMPLES;
    }

    fn back_off(&mut self, now: Instant) {
        let backoff = CONNECT_BACKOFF * 2u32.pow(self.connect_failures.min(8));
        self.connect_failures += 1;
        self.down_until = Some(now + backoff.min(MAX_CONNECT_BACKOFF));
    }

    /// Returns the load that the upstream reports.
    pub fn load(&self) -> &load::Estimate {
        &self.load
    }

    /// Returns the load that the upstream reports for changes.
    pub fn load_mut(&mut self) -> &mut load::Estimate {
        &mut self.load
    }

    /// Sets the rest that the upstream has asked for.
    pub fn set_rest(&mut self, rest: Rest) {
        self.rest = rest;
    }

    /// Returns the rest that the upstream has asked for.
    pub fn rest(&self) -> Rest {
        self.rest
    }

    /// Sets the limiter for the limit that the upstream stated at `heard_at`.
    pub fn set_limiter(&mut self, heard_at: Option<Instant>, limiter: Option<Limiter>) {
        self.limiter = limiter;
        self.limit_heard_at = heard_at;
    }

    /// Returns when a reply last stated the upstream's limit or its end; `None` if it has never had
    /// one.
    pub fn limit_heard_at(&self) -> Option<Instant> {
        self.limit_heard_at
    }

    /// Returns the limiter for the limit that the upstream states; `None` if it states none.
    pub fn limiter(&self) -> Option<&Limiter> {
        self.limiter.as_ref()
    }

    /// Returns the limiter for changes.
    pub fn limiter_mut(&mut self) -> Option<&mut Limiter> {
        self.limiter.as_mut()
    }

    /// Returns whether `attempt` may be sent to the upstream, as far as its own replies say.
    pub fn wants(&self, now: Instant, attempt: Attempt) -> bool {
        let in_limit = self.limiter.as_ref().is_none_or(|l| l.allows(now, attempt));
        !self.replaced
            && in_limit
            && !self.is_withheld_as_cold(now, attempt)
            && self.rest.allows(now, self.in_flight.len())
    }

    /// Returns whether `attempt` may not be sent as the upstream is cold.
    pub fn is_withheld_as_cold(&self, now: Instant, attempt: Attempt) -> bool {
        self.cold_limiter(now).is_some_and(|l| !l.allows(now, attempt))
    }

    /// Returns the requests per second that this node may send; `None` if no limit applies.
    pub fn part(&self, now: Instant) -> Option<f64> {
        let limiters = self.limiter.iter().chain(self.cold_limiter(now));
        limiters.map(|l| l.part().per_second()).min_by(f64::total_cmp)
    }

    /// Returns when the upstream wants such attempts again; `None` if it wants them now, or if it has
    /// not said.
    pub fn wants_again_at(&self, now: Instant, attempt: Attempt) -> Option<Instant> {
        let limiters = self.limiter.iter().chain(self.cold_limiter(now));
        let permit = limiters
            .map(|limiter| limiter.allows_at(now, attempt).unwrap_or(now + NO_PART_DELAY))
            .max();
        self.rest.end(now).max(permit.filter(|at| *at > now))
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the age of the oldest attempt in flight; zero without one.
    pub fn oldest_in_flight(&self, now: Instant) -> Duration {
        let ages = self.in_flight.iter().map(|at| now.saturating_duration_since(*at));
        ages.max().unwrap_or_default()
    }

    /// Returns when the newest of the attempts in flight that were sent at `latest` or before was sent.
    pub fn sent_before(&self, latest: Instant) -> Option<Instant> {
        self.in_flight.iter().filter(|at| **at <= latest).max().copied()
    }

    /// Returns when the upstream last ran a request of this node.
    pub fn last_reply(&self) -> Option<Instant> {
        self.last_reply
    }

    /// Returns the median of the newest latencies; `None` without recent ones.
    pub fn median_latency(&self, now: Instant) -> Option<Duration> {
        let recent = |(at, latency): &(Option<Instant>, Duration)| {
            at.filter(|at| now.saturating_duration_since(*at) < MAX_LATENCY_AGE).map(|_| *latency)
        };
        let mut latencies: Vec<Duration> = self.latencies.iter().filter_map(recent).collect();
        latencies.sort_unstable();
        latencies.get(latencies.len().checked_sub(1)? / 2).copied()
    }

    /// Returns the share of attempts that failed recently, from 0 to 1.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failures.get(now)
    }

    /// Returns the share of attempts that were refused recently, from 0 to 1.
    pub fn refusal_share(&self, now: Instant) -> f64 {
        self.refusals.get(now)
    }

    /// Returns whether connections to the upstream have just failed, or another process has its
    /// address.
    pub fn is_down(&self, now: Instant) -> bool {
        self.replaced || self.down_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream has just refused a request.
    pub fn is_shedding(&self, now: Instant) -> bool {
        self.shedding_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream has just started and is therefore slow.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_cold(now)
    }

    /// Returns what this node believes of the upstream's coldness.
    pub fn cold(&self) -> &cold::Belief {
        &self.cold
    }

    /// Returns the belief for changes.
    pub fn cold_mut(&mut self) -> &mut cold::Belief {
        &mut self.cold
    }

    /// Returns the limiter that applies while the upstream is cold; `None` if it is not, or if its
    /// pool has no such limit.
    pub fn cold_limiter(&self, now: Instant) -> Option<&Limiter> {
        self.cold_limiter.as_ref().filter(|_| self.cold.is_cold(now))
    }

    fn active_cold_limiter_mut(&mut self, now: Instant) -> Option<&mut Limiter> {
        let is_cold = self.cold.is_cold(now);
        self.cold_limiter.as_mut().filter(|_| is_cold)
    }

    /// Returns the limiter for coldness for changes, also when the upstream is no longer cold.
    pub fn cold_limiter_mut(&mut self) -> &mut Option<Limiter> {
        &mut self.cold_limiter
    }

    /// Records a malformed cold time. Returns whether it is the first one.
    pub fn record_malformed_cold(&mut self) -> bool {
        !std::mem::replace(&mut self.has_malformed_cold, true)
    }

    /// Returns whether another process has taken over the upstream's address.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }
}

/// A registered upstream with this node's observations of it.
#[derive(Debug)]
pub struct Upstream {
    /// Its registry entry.
    pub entry: Arc<Entry>,
    /// For which requests it may be used.
    pub availability: Availability,
    /// Observations.
    pub stats: UpstreamStats,
}
