//! Quarantine of requests that crash the upstreams that run them.
//!
//! A caller may send the same request again through any node, so nodes exchange crash reports. A
//! node reports a request if an upstream crashed that may have been running it. Each arrival of
//! the request counts once, unless it is conclusive by itself: when many upstreams crash at the
//! same time, every request that was running is reported, and most of those requests are sent
//! again once at most.
//!
//! Two errors are bounded. A request that crashes upstreams is let through once after a
//! quarantine, and if it crashes one again, it is refused as long as it comes. A request that was
//! reported by chance is refused for [`REPORT_TTL`] at most, as nothing renews its quarantine.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::hash::SeededMap;
use serde::{Deserialize, Serialize};

/// Time for which a request is refused after the second reported arrival. Doubles with each
/// further one, up to [`MAX_ARRIVALS`].
pub const REPORT_TTL: Duration = Duration::from_secs(60);
/// Time for which an arrival counts against a request that is not refused.
pub const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// Number of reported arrivals from which on a request is refused.
pub const QUARANTINE_ARRIVALS: usize = 2;
/// Number of reported arrivals from which on a refusal renews the quarantine.
pub const RENEWAL_ARRIVALS: usize = 3;
/// Largest number of reported arrivals of one request that are remembered.
pub const MAX_ARRIVALS: usize = 4;
/// Largest number of requests with reports. The oldest entry is evicted first, and quarantined
/// requests last.
pub const MAX_FINGERPRINTS: usize = 1_024;
/// Time within which the upstreams that are lost in one outage are found to have crashed: checks of
/// silent ones included.
const OUTAGE_SPREAD: Duration = Duration::from_secs(2);
/// Largest number of withdrawn reports remembered for one request.
const MAX_WITHDRAWN: usize = 64;
/// Time for which reports on a request that is not refused are passed on. Later they matter only
/// to nodes that have restarted since.
const GOSSIP_TIME: Duration = Duration::from_secs(60);
/// Least time by which a known report extends a quarantine: more than a message takes, so that
/// nodes do not extend it by passing it on.
const RENEWAL_STEP: Duration = Duration::from_secs(5);

/// A crash report as exchanged between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the request's host, method, path and body.
    pub fingerprint: u64,
    /// Random id of the arrival under which an upstream crashed. An arrival that is conclusive
    /// by itself is reported under two ids.
    pub arrival: u32,
    /// Remaining validity, in milliseconds: of the quarantine, or of the suspicion before it.
    pub remaining_ms: u32,
}

/// Effect of recording a crash report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The report was known, or has expired.
    None,
    /// The request is suspected now, by a report that was not known.
    Suspected,
    /// The report has put the request into quarantine, or extended it by a further arrival.
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

/// Returns the time for which a request with `arrivals` reported arrivals is refused.
fn refusal_time(arrivals: usize) -> Duration {
    let further = arrivals.min(MAX_ARRIVALS).saturating_sub(QUARANTINE_ARRIVALS);
    REPORT_TTL * (1 << further)
}

#[derive(Debug)]
struct Suspect {
    /// Reported arrivals, without duplicates.
    arrivals: Vec<u32>,
    /// Arrivals whose reports were withdrawn. Peers may send those reports again.
    withdrawn: Vec<u32>,
    /// When the newest of the arrivals became known here.
    reported_at: Instant,
    /// End of the quarantine.
    refused_until: Instant,
    /// When the arrivals no longer count.
    forgotten_at: Instant,
}

impl Suspect {
    fn new(now: Instant) -> Suspect {
        let (arrivals, withdrawn) = (Vec::new(), Vec::new());
        Suspect { arrivals, withdrawn, reported_at: now, refused_until: now, forgotten_at: now }
    }

    fn is_quarantined(&self, now: Instant) -> bool {
        self.arrivals.len() >= QUARANTINE_ARRIVALS && now < self.refused_until
    }

    /// Returns the remaining validity of the reports; zero if they are not to be passed on.
    fn remaining(&self, now: Instant) -> Duration {
        if self.arrivals.len() >= QUARANTINE_ARRIVALS {
            return self.refused_until.saturating_duration_since(now);
        }
        let fresh = now.saturating_duration_since(self.reported_at) < GOSSIP_TIME;
        let until = if fresh { self.forgotten_at } else { now };
        until.saturating_duration_since(now)
    }

    fn record(&mut self, now: Instant, arrival: u32, remaining: Duration) -> Change {
        if self.withdrawn.contains(&arrival) {
            return Change::None;
        }
        let known = self.arrivals.contains(&arrival) || self.arrivals.len() >= MAX_ARRIVALS;
        if !known {
            self.arrivals.push(arrival);
            self.reported_at = now;
        }
        if self.arrivals.len() < QUARANTINE_ARRIVALS {
            if known {
                return Change::None;
            }
            self.forgotten_at = self.forgotten_at.max(now + remaining.min(SUSPICION_TTL));
            return Change::Suspected;
        }
        let until = now + remaining.min(refusal_time(self.arrivals.len()));
        if known && until <= self.refused_until + RENEWAL_STEP {
            return Change::None;
        }
        self.refuse_until(until);
        if known { Change::None } else { Change::Quarantined }
    }

    fn withdraw(&mut self, arrivals: impl IntoIterator<Item = u32>) {
        self.withdrawn.extend(arrivals);
        let excess = self.withdrawn.len().saturating_sub(MAX_WITHDRAWN);
        self.withdrawn.drain(..excess);
    }

    fn refuse_until(&mut self, until: Instant) {
        self.refused_until = self.refused_until.max(until);
        self.forgotten_at = self.refused_until + SUSPICION_TTL;
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

    /// Returns this node's report that an upstream crashed under `arrival` of a request.
    pub fn report(&self, now: Instant, fingerprint: u64, arrival: u32) -> CrashReport {
        let suspect = self.suspects.get(&fingerprint).filter(|s| s.forgotten_at > now);
        let arrivals = suspect.map_or(0, |s| s.arrivals.len()) + 1;
        let remaining = match arrivals < QUARANTINE_ARRIVALS {
            true => SUSPICION_TTL,
            false => refusal_time(arrivals),
        };
        CrashReport { fingerprint, arrival, remaining_ms: remaining.as_millis() as u32 }
    }

    /// Records a crash report.
    pub fn record(&mut self, now: Instant, report: CrashReport) -> Recorded {
        let CrashReport { fingerprint, arrival, remaining_ms } = report;
        if remaining_ms == 0 {
            return Recorded { change: Change::None, evicted: None };
        }
        let evicted = self.make_room(now, fingerprint);
        let remaining = Duration::from_millis(u64::from(remaining_ms));
        let change = self.suspect_mut(now, fingerprint).record(now, arrival, remaining);
        Recorded { change, evicted }
    }

    /// Returns whether the request must be refused.
    pub fn is_quarantined(&self, now: Instant, fingerprint: u64) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|s| s.is_quarantined(now))
    }

    /// Returns whether the request is suspected of an earlier crash than those of an outage that
    /// may be going on.
    pub fn is_suspected(&self, now: Instant, fingerprint: u64) -> bool {
        let is_earlier = |s: &&Suspect| {
            let age = now.saturating_duration_since(s.reported_at);
            s.forgotten_at > now && !s.arrivals.is_empty() && age >= OUTAGE_SPREAD
        };
        self.suspects.get(&fingerprint).filter(is_earlier).is_some()
    }

    /// Returns whether `arrival` is the only reported one of a request, or would be.
    pub fn is_first(&self, now: Instant, fingerprint: u64, arrival: u32) -> bool {
        let suspect = self.suspects.get(&fingerprint).filter(|s| s.forgotten_at > now);
        suspect.is_none_or(|s| s.arrivals.iter().all(|known| *known == arrival))
    }

    /// Ignores the report on `arrival` of a request from now on. Returns the fingerprint whose reports
    /// were evicted because the table was full.
    pub fn ignore(&mut self, now: Instant, fingerprint: u64, arrival: u32) -> Option<u64> {
        let evicted = self.make_room(now, fingerprint);
        let suspect = self.suspect_mut(now, fingerprint);
        suspect.forgotten_at = suspect.forgotten_at.max(now + OUTAGE_SPREAD);
        suspect.withdraw([arrival]);
        evicted
    }

    /// Returns whether the request must be refused, for an arrival of it. Renews the quarantine if
    /// it has crashed an upstream again after an earlier one.
    pub fn refuse(&mut self, now: Instant, fingerprint: u64) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some(suspect) = suspect.filter(|s| s.is_quarantined(now)) else { return false };
        if suspect.arrivals.len() >= RENEWAL_ARRIVALS {
            suspect.refuse_until(now + refusal_time(suspect.arrivals.len()));
        }
        true
    }

    /// Withdraws the reports on a request for those `survived` arrivals that it has turned out not
    /// to have crashed upstreams under. A request that is quarantined stays so. Returns whether
    /// there were reports to withdraw.
    pub fn clear_unconfirmed(
        &mut self,
        now: Instant,
        fingerprint: u64,
        survived: impl Fn(u32) -> bool,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        if suspect.is_quarantined(now) {
            return false;
        }
        let withdrawn: Vec<u32> = suspect.arrivals.extract_if(.., |a| survived(*a)).collect();
        let any = !withdrawn.is_empty();
        suspect.withdraw(withdrawn);
        any
    }

    /// Removes the entries that have expired and returns their fingerprints.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let expired = |f: &u64| self.suspects.get(f).is_none_or(|s| s.forgotten_at <= now);
        let expired: Vec<u64> = self.order.iter().copied().filter(expired).collect();
        expired.iter().for_each(|f| self.remove(*f));
        expired
    }

    /// Returns the number of reports to send to other nodes.
    pub fn len(&self, now: Instant) -> usize {
        let valid = self.suspects.values().filter(|s| !s.remaining(now).is_zero());
        valid.map(|s| s.arrivals.len()).sum()
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns up to `limit` reports to send to other nodes: those on quarantined requests
    /// first, then those on the newest fingerprints.
    pub fn reports(&self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let reports_on = |fingerprint: &u64| {
            let suspect = self.suspects.get(fingerprint)?;
            let remaining_ms = suspect.remaining(now).as_millis() as u32;
            let report = move |arrival: &u32| CrashReport {
                fingerprint: *fingerprint,
                arrival: *arrival,
                remaining_ms,
            };
            (remaining_ms > 0).then(|| suspect.arrivals.iter().map(report).collect::<Vec<_>>())
        };
        let is_quarantined = |f: &&u64| self.is_quarantined(now, **f);
        let newest = || self.order.iter().rev();
        let quarantined = newest().filter(is_quarantined);
        let suspected = newest().filter(|f| !is_quarantined(f));
        quarantined.chain(suspected).filter_map(reports_on).flatten().take(limit).collect()
    }

    /// Makes room for an entry of `fingerprint`: if the table is full, evicts the oldest entry, of
    /// a request that is not quarantined if possible. Returns its fingerprint.
    fn make_room(&mut self, now: Instant, fingerprint: u64) -> Option<u64> {
        if self.suspects.get(&fingerprint).is_some_and(|s| s.forgotten_at <= now) {
            self.remove(fingerprint);
        }
        if self.suspects.contains_key(&fingerprint) || self.suspects.len() < MAX_FINGERPRINTS {
            return None;
        }
        let suspected = self.order.iter().find(|f| !self.is_quarantined(now, **f));
        let oldest = suspected.or(self.order.front()).copied()?;
        self.remove(oldest);
        Some(oldest)
    }

    /// Returns the entry of `fingerprint`, a new one if there is none.
    fn suspect_mut(&mut self, now: Instant, fingerprint: u64) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.order.push_back(fingerprint);
        }
        self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(now))
    }

    fn remove(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
        self.order.retain(|f| *f != fingerprint);
    }
}
