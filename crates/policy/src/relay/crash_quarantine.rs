//! Quarantine of requests that crash the upstreams that run them.
//!
//! A caller may send the same request again through any node, so nodes exchange crash reports. A
//! node reports a request if the connection to an upstream ends while the request runs there and
//! the upstream then accepts no new connection. Each arrival of the request counts once, however
//! many upstreams crashed: when many upstreams crash at the same time, every request that was
//! running is reported, and most of those requests are sent again once at most.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::hash::SeededMap;
use serde::{Deserialize, Serialize};

/// Time for which a crash report is valid after the newest report on its request.
pub const REPORT_TTL: Duration = Duration::from_secs(60);
/// Number of reported arrivals from which on a request is refused.
pub const QUARANTINE_ARRIVALS: usize = 2;
/// Largest number of requests with reports. The oldest entry is evicted first, and quarantined
/// requests last.
pub const MAX_FINGERPRINTS: usize = 1_024;

/// Largest number of withdrawn reports remembered for one request.
const MAX_WITHDRAWN: usize = 8;

/// A crash report as exchanged between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the request's host, method, path and body.
    pub fingerprint: u64,
    /// Random id of the arrival under which an upstream crashed. An arrival that is conclusive
    /// by itself is reported under two ids.
    pub arrival: u32,
    /// Remaining validity, in milliseconds.
    pub remaining_ms: u32,
}

/// Effect of recording a crash report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The report was known, or has expired.
    None,
    /// The request is suspected now, by a report that was not known.
    Suspected,
    /// The report has put the request into quarantine.
    Quarantined,
}

/// Result of recording a crash report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recorded {
    /// What the report changed.
    pub change: Change,
    /// Fingerprint whose reports were evicted because the table was full.
    pub evicted: Option<u64>,
}

impl Recorded {
    /// Returns whether the report was new.
    pub fn is_new(self) -> bool {
        self.change != Change::None
    }
}

#[derive(Debug)]
struct Suspect {
    /// Reported arrivals, without duplicates.
    arrivals: Vec<u32>,
    /// Arrivals whose reports were withdrawn. Peers may send those reports again.
    withdrawn: Vec<u32>,
    expires_at: Instant,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.arrivals.len() >= QUARANTINE_ARRIVALS
    }
}

/// Crash reports known to one node, by request fingerprint.
#[derive(Debug, Default)]
pub struct CrashQuarantine {
    suspects: SeededMap<u64, Suspect>,
    /// Fingerprints in `suspects`, the oldest first.
    order: VecDeque<u64>,
}

impl CrashQuarantine {
    /// Creates a quarantine without reports.
    pub fn new() -> CrashQuarantine {
        CrashQuarantine::default()
    }

    /// Records a crash report.
    pub fn record(&mut self, now: Instant, report: CrashReport) -> Recorded {
        let remaining = Duration::from_millis(u64::from(report.remaining_ms)).min(REPORT_TTL);
        if remaining.is_zero() {
            return Recorded { change: Change::None, evicted: None };
        }
        let evicted = self.make_room(now, report.fingerprint);
        let suspect = self.suspect_mut(now, report.fingerprint);
        let arrivals = &mut suspect.arrivals;
        let known =
            arrivals.contains(&report.arrival) || suspect.withdrawn.contains(&report.arrival);
        if known || arrivals.len() >= QUARANTINE_ARRIVALS {
            return Recorded { change: Change::None, evicted };
        }
        arrivals.push(report.arrival);
        suspect.expires_at = suspect.expires_at.max(now + remaining);
        let change = if suspect.is_quarantined() { Change::Quarantined } else { Change::Suspected };
        Recorded { change, evicted }
    }

    /// Returns whether the request must be refused.
    pub fn is_quarantined(&self, now: Instant, fingerprint: u64) -> bool {
        let quarantined = |s: &Suspect| s.expires_at > now && s.is_quarantined();
        self.suspects.get(&fingerprint).is_some_and(quarantined)
    }

    /// Withdraws the reports on a request that all its upstreams have run without crashing. A
    /// request that is already quarantined stays so. Returns whether there were reports to
    /// withdraw.
    pub fn clear_unconfirmed(&mut self, fingerprint: u64) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        if suspect.arrivals.is_empty() || suspect.is_quarantined() {
            return false;
        }
        suspect.withdrawn.append(&mut suspect.arrivals);
        let excess = suspect.withdrawn.len().saturating_sub(MAX_WITHDRAWN);
        suspect.withdrawn.drain(..excess);
        true
    }

    /// Removes the entries that have expired and returns their fingerprints.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let expired = |f: &u64| self.suspects.get(f).is_none_or(|s| s.expires_at <= now);
        let expired: Vec<u64> = self.order.iter().copied().filter(expired).collect();
        expired.iter().for_each(|f| self.remove(*f));
        expired
    }

    /// Returns the number of valid reports.
    pub fn len(&self, now: Instant) -> usize {
        let valid = self.suspects.values().filter(|s| s.expires_at > now);
        valid.map(|s| s.arrivals.len()).sum()
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns up to `limit` valid reports to send to other nodes: those on quarantined requests
    /// first, then those on the newest fingerprints.
    pub fn reports(&self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let reports_on = |fingerprint: &u64| {
            let suspect = self.suspects.get(fingerprint).filter(|s| s.expires_at > now)?;
            let remaining_ms = (suspect.expires_at - now).as_millis() as u32;
            let report = move |arrival: &u32| CrashReport {
                fingerprint: *fingerprint,
                arrival: *arrival,
                remaining_ms,
            };
            Some(suspect.arrivals.iter().map(report).collect::<Vec<_>>())
        };
        let is_quarantined = |f: &&u64| self.suspects.get(f).is_some_and(Suspect::is_quarantined);
        let newest = || self.order.iter().rev();
        let quarantined = newest().filter(is_quarantined);
        let suspected = newest().filter(|f| !is_quarantined(f));
        quarantined.chain(suspected).filter_map(reports_on).flatten().take(limit).collect()
    }

    /// Makes room for an entry of `fingerprint`: if the table is full, evicts the oldest entry, of
    /// a request that is not quarantined if possible. Returns its fingerprint.
    fn make_room(&mut self, now: Instant, fingerprint: u64) -> Option<u64> {
        if self.suspects.get(&fingerprint).is_some_and(|s| s.expires_at <= now) {
            self.remove(fingerprint);
        }
        if self.suspects.contains_key(&fingerprint) || self.suspects.len() < MAX_FINGERPRINTS {
            return None;
        }
        let is_quarantined = |f: &u64| self.suspects.get(f).is_some_and(Suspect::is_quarantined);
        let suspected = self.order.iter().find(|f| !is_quarantined(f));
        let oldest = suspected.or(self.order.front()).copied()?;
        self.remove(oldest);
        Some(oldest)
    }

    /// Returns the entry of `fingerprint`, a new one if there is none.
    fn suspect_mut(&mut self, now: Instant, fingerprint: u64) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.order.push_back(fingerprint);
        }
        let new = Suspect { arrivals: Vec::new(), withdrawn: Vec::new(), expires_at: now };
        self.suspects.entry(fingerprint).or_insert(new)
    }

    fn remove(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
        self.order.retain(|f| *f != fingerprint);
    }
}
