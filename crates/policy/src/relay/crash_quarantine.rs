//! Requests that crash the upstreams that run them, found by all nodes together.
//!
//! The same request comes again through any node. A node that loses an upstream's connection
//! while a request runs there, and then finds that the upstream accepts no other, accuses the
//! request and tells the others. Each arrival of the
//! request counts once, however many upstreams it took down: a crash of many upstreams at once
//! strikes each request that ran there, and most of those come back once at most.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::hash::SeededMap;
use serde::{Deserialize, Serialize};

/// How long an accusation stands after it was last confirmed.
pub const REPORT_TTL: Duration = Duration::from_secs(60);
/// Arrivals that lost an upstream from which on a request is refused.
pub const QUARANTINE_ARRIVALS: usize = 2;
/// Requests that are accused at a time; the oldest are forgotten first.
pub const MAX_FINGERPRINTS: usize = 1_024;

/// An accusation as passed between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of what identifies the request: host, path and body.
    pub fingerprint: u64,
    /// The arrival that lost an upstream; random.
    pub arrival: u32,
    /// Time left, in milliseconds.
    pub remaining_ms: u32,
}

#[derive(Debug)]
struct Accused {
    arrivals: Vec<u32>,
    until: Instant,
}

/// Accusations known to one node.
#[derive(Debug, Default)]
pub struct CrashQuarantine {
    accused: SeededMap<u64, Accused>,
    order: VecDeque<u64>,
}

impl CrashQuarantine {
    /// A book without accusations.
    pub fn new() -> CrashQuarantine {
        CrashQuarantine::default()
    }

    /// Takes in an accusation; returns whether it was news.
    pub fn record(&mut self, now: Instant, notice: CrashReport) -> bool {
        let left = Duration::from_millis(u64::from(notice.remaining_ms)).min(REPORT_TTL);
        if left.is_zero() {
            return false;
        }
        let accused = self.accused(now, notice.fingerprint);
        if accused.arrivals.contains(&notice.arrival)
            || accused.arrivals.len() >= QUARANTINE_ARRIVALS
        {
            return false;
        }
        accused.arrivals.push(notice.arrival);
        accused.until = accused.until.max(now + left);
        true
    }

    /// Whether the request is to be refused.
    pub fn is_quarantined(&self, now: Instant, fingerprint: u64) -> bool {
        let guilty = |a: &Accused| a.until > now && a.arrivals.len() >= QUARANTINE_ARRIVALS;
        self.accused.get(&fingerprint).is_some_and(guilty)
    }

    /// Withdraws accusations: the request was run by an upstream that lives. Those that led to
    /// its refusal stand.
    pub fn clear_unconfirmed(&mut self, fingerprint: u64) {
        let Some(accused) = self.accused.get(&fingerprint) else { return };
        if accused.arrivals.len() < QUARANTINE_ARRIVALS {
            self.drop_accused(fingerprint);
        }
    }

    /// Whether nobody is accused.
    pub fn is_empty(&self) -> bool {
        self.accused.is_empty()
    }

    /// Up to `limit` accusations to pass on, the newest first.
    pub fn reports(&self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let live = |f: &u64| {
            let accused = self.accused.get(f).filter(|a| a.until > now)?;
            let remaining_ms = (accused.until - now).as_millis() as u32;
            let notice = move |arrival: &u32| CrashReport {
                fingerprint: *f,
                arrival: *arrival,
                remaining_ms,
            };
            Some(accused.arrivals.iter().map(notice).collect::<Vec<_>>())
        };
        self.order.iter().rev().filter_map(live).flatten().take(limit).collect()
    }

    fn accused(&mut self, now: Instant, fingerprint: u64) -> &mut Accused {
        if self.accused.get(&fingerprint).is_some_and(|a| a.until <= now) {
            self.drop_accused(fingerprint);
        }
        if !self.accused.contains_key(&fingerprint) {
            if self.accused.len() >= MAX_FINGERPRINTS
                && let Some(oldest) = self.order.front().copied()
            {
                self.drop_accused(oldest);
            }
            self.order.push_back(fingerprint);
        }
        let fresh = Accused { arrivals: Vec::new(), until: now };
        self.accused.entry(fingerprint).or_insert(fresh)
    }

    fn drop_accused(&mut self, fingerprint: u64) {
        self.accused.remove(&fingerprint);
        self.order.retain(|f| *f != fingerprint);
    }
}
