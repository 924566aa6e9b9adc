//! What one node has seen of one upstream.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::registry::{Availability, Entry};
use crate::outcome::Fate;

/// Replies that the typical latency is taken from: their median, so that one pause of the
/// upstream does not count and a slow upstream is known by its second reply.
const SAMPLES: usize = 3;
/// Age at which latencies no longer count: a slow upstream may have recovered.
const SAMPLE_AGE: Duration = Duration::from_secs(4);
/// Wait after a first failed connection; doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(250);
/// Longest wait after failed connections.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);
/// Time for which an upstream that refused a request is asked last.
const SHED_PAUSE: Duration = Duration::from_millis(150);
/// Weight of the newest result in the shares of failures and refusals.
const SHARE_WEIGHT: f64 = 0.2;
/// Age of the last failure or refusal at which their share is forgotten.
const SHARE_AGE: Duration = Duration::from_secs(5);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole reply; whether the upstream calls it a success.
    Reply {
        /// Whether it is a success.
        success: bool,
    },
    /// The upstream says that it did not run the request.
    Refused,
    /// Another process has the address now; the request did not run.
    InstanceReplaced,
    /// Nothing of the request left this node.
    NotSent,
    /// It may have run: the connection ended before a reply began.
    ConnectionLost,
    /// It may have run: a reply began, and broke off or was none to this request.
    BadReply,
    /// It may have run: no reply came while anybody waited for one.
    NoReply,
}

impl AttemptEnd {
    /// What is known of whether the request ran.
    pub fn fate(self) -> Fate {
        match self {
            AttemptEnd::Reply { .. } => Fate::Ran,
            AttemptEnd::Refused | AttemptEnd::InstanceReplaced | AttemptEnd::NotSent => {
                Fate::NotRun
            }
            AttemptEnd::ConnectionLost | AttemptEnd::BadReply | AttemptEnd::NoReply => {
                Fate::MayHaveRun
            }
        }
    }
}

/// Share of results that were bad lately.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    value: f64,
    bad_at: Option<Instant>,
}

impl Share {
    fn take(&mut self, now: Instant, bad: bool) {
        let newest = if bad { 1.0 } else { 0.0 };
        self.value = self.at(now) + SHARE_WEIGHT * (newest - self.at(now));
        if bad {
            self.bad_at = Some(now);
        }
    }

    /// From 0 to 1.
    fn at(&self, now: Instant) -> f64 {
        let recent = |at: Instant| now.saturating_duration_since(at) < SHARE_AGE;
        if self.bad_at.is_some_and(recent) { self.value } else { 0.0 }
    }
}

/// Observations of one upstream.
#[derive(Debug)]
pub struct UpstreamStats {
    open: Vec<Instant>,
    samples: [(Option<Instant>, Duration); SAMPLES],
    next: usize,
    failures: Share,
    refusals: Share,
    refused_at: Option<Instant>,
    connect_failures: u32,
    shed_until: Option<Instant>,
    down_until: Option<Instant>,
    replaced: bool,
    cold_until: Instant,
}

impl UpstreamStats {
    /// Without observations of the upstream registered by `entry`.
    pub fn new(now: Instant, entry: &Entry) -> UpstreamStats {
        UpstreamStats {
            open: Vec::new(),
            samples: [(None, Duration::ZERO); SAMPLES],
            next: 0,
            failures: Share::default(),
            refusals: Share::default(),
            refused_at: None,
            connect_failures: 0,
            shed_until: None,
            down_until: None,
            replaced: false,
            cold_until: now + entry.cold,
        }
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.open.push(now);
    }

    /// Records how the attempt sent at `sent` ended.
    pub fn record_end(&mut self, now: Instant, sent: Instant, end: AttemptEnd) {
        if let Some(index) = self.open.iter().position(|at| *at == sent) {
            self.open.swap_remove(index);
        }
        match end {
            AttemptEnd::Reply { success } => {
                self.connect_failures = 0;
                self.down_until = None;
                self.sample(now, now.saturating_duration_since(sent));
                self.failures.take(now, !success);
                self.refusals.take(now, false);
            }
            AttemptEnd::Refused => {
                self.shed_until = Some(now + SHED_PAUSE);
                // One alone may be a full queue of a moment.
                let recent = |at: Instant| now.saturating_duration_since(at) < SHARE_AGE;
                if self.refused_at.replace(now).is_some_and(recent) {
                    self.refusals.take(now, true);
                }
            }
            AttemptEnd::InstanceReplaced => self.replaced = true,
            AttemptEnd::NotSent => self.back_off(now),
            AttemptEnd::ConnectionLost | AttemptEnd::BadReply => self.failures.take(now, true),
            AttemptEnd::NoReply => self.sample(now, now.saturating_duration_since(sent)),
        }
    }

    fn sample(&mut self, now: Instant, latency: Duration) {
        self.samples[self.next] = (Some(now), latency);
        self.next = (self.next + 1) % SAMPLES;
    }

    fn back_off(&mut self, now: Instant) {
        let pause = BACKOFF * 2u32.pow(self.connect_failures.min(8));
        self.connect_failures += 1;
        self.down_until = Some(now + pause.min(BACKOFF_LIMIT));
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.open.len()
    }

    /// Age of the oldest attempt in flight.
    pub fn oldest_in_flight(&self, now: Instant) -> Duration {
        let ages = self.open.iter().map(|at| now.saturating_duration_since(*at));
        ages.max().unwrap_or_default()
    }

    /// Median of the newest latencies; `None` without recent ones.
    pub fn median_latency(&self, now: Instant) -> Option<Duration> {
        let recent = |(at, latency): &(Option<Instant>, Duration)| {
            at.filter(|at| now.saturating_duration_since(*at) < SAMPLE_AGE).map(|_| *latency)
        };
        let mut latencies: Vec<Duration> = self.samples.iter().filter_map(recent).collect();
        latencies.sort_unstable();
        latencies.get(latencies.len().checked_sub(1)? / 2).copied()
    }

    /// Share of attempts that failed lately, from 0 to 1.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failures.at(now)
    }

    /// Share of attempts that were refused lately, from 0 to 1.
    pub fn refusal_share(&self, now: Instant) -> f64 {
        self.refusals.at(now)
    }

    /// Whether its connections have failed just now.
    pub fn is_down(&self, now: Instant) -> bool {
        self.replaced || self.down_until.is_some_and(|until| now < until)
    }

    /// Whether it has refused a request just now.
    pub fn is_shedding(&self, now: Instant) -> bool {
        self.shed_until.is_some_and(|until| now < until)
    }

    /// Whether it has started a moment ago and is slow for it.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Whether its address is known to be another upstream's by now.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }
}

/// A registered upstream with what this node has seen of it.
#[derive(Debug)]
pub struct Upstream {
    /// As registered.
    pub entry: Arc<Entry>,
    /// How it may be used.
    pub availability: Availability,
    /// Observations.
    pub stats: UpstreamStats,
}
