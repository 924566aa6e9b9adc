//! Quarantine of requests that crash the upstreams that run them.
//!
//! Without it, retries would carry such a request from one replica to the next.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use base::hash::SeededMap;
use serde::{Deserialize, Serialize};

use crate::rotation::Rotation;

/// Time for which a fingerprint stays quarantined.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(60);
/// Maximum number of fingerprints tracked or quarantined at a time.
pub const MAX_ENTRIES: usize = 1_024;
/// Weight of lost connections from which a fingerprint is quarantined.
const QUARANTINE_THRESHOLD: f64 = 1.5;
/// Weight from which a recently completed fingerprint is quarantined. Higher, because such a
/// request more likely ran concurrently with the cause.
const COMPLETED_THRESHOLD: f64 = 6.0;

/// A quarantined fingerprint, as gossiped between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The fingerprint.
    pub fingerprint: u64,
    /// Remaining time of the quarantine, in milliseconds.
    pub remaining_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    weight: f64,
    until: Instant,
    quarantined: bool,
}

/// Fingerprints that are suspected or quarantined.
///
/// A lost connection has weight 1, divided equally among the requests that were running on it.
/// A completed request resets its weight unless it is quarantined already, so that requests that
/// merely ran concurrently with a crashing one are not quarantined in the end.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    entries: SeededMap<u64, Entry>,
    insertion_order: VecDeque<u64>,
    quarantined: usize,
    rotation: Rotation,
}

impl QuarantineTable {
    /// Creates an empty table.
    pub fn new() -> QuarantineTable {
        QuarantineTable::default()
    }

    /// Returns the number of quarantined fingerprints, including expired ones that have not been
    /// replaced yet.
    pub fn len(&self) -> usize {
        self.quarantined
    }

    /// Whether no fingerprint is quarantined.
    pub fn is_empty(&self) -> bool {
        self.quarantined == 0
    }

    /// Whether `fingerprint` is quarantined at `now`.
    pub fn is_quarantined(&self, now: Instant, fingerprint: u64) -> bool {
        self.entries.get(&fingerprint).is_some_and(|e| e.quarantined && e.until > now)
    }

    /// Records the loss of an upstream that ran `concurrent` requests, this one included.
    ///
    /// `recently_completed` is whether a request with this fingerprint has completed recently.
    /// Returns whether the loss newly quarantines the fingerprint.
    pub fn record_loss(
        &mut self,
        now: Instant,
        fingerprint: u64,
        concurrent: usize,
        recently_completed: bool,
    ) -> bool {
        let threshold = if recently_completed { COMPLETED_THRESHOLD } else { QUARANTINE_THRESHOLD };
        let share = 1.0 / concurrent.max(1) as f64;
        let entry = self.entry(now, fingerprint);
        entry.weight += share;
        entry.until = now + QUARANTINE_TTL;
        let newly = !entry.quarantined && entry.weight >= threshold;
        entry.quarantined |= newly;
        self.quarantined += usize::from(newly);
        newly
    }

    /// Records that a request with `fingerprint` completed.
    pub fn record_completion(&mut self, fingerprint: u64) {
        if let Some(entry) = self.entries.get_mut(&fingerprint)
            && !entry.quarantined
        {
            entry.weight = 0.0;
        }
    }

    /// Merges a notice from another node; returns whether it newly quarantines the fingerprint.
    /// The remaining time is capped at [`QUARANTINE_TTL`].
    pub fn merge(&mut self, now: Instant, notice: Notice) -> bool {
        let remaining = Duration::from_millis(u64::from(notice.remaining_ms)).min(QUARANTINE_TTL);
        let until = now + remaining;
        let entry = self.entry(now, notice.fingerprint);
        let newly = !entry.quarantined;
        entry.quarantined = true;
        entry.until = entry.until.max(until);
        self.quarantined += usize::from(newly);
        newly
    }

    /// Returns up to `limit` notices to gossip: the newest fingerprints, and the others in turn.
    pub fn notices(&mut self, now: Instant, limit: usize) -> Vec<Notice> {
        let live = |f: &u64| {
            let entry = self.entries.get(f).filter(|e| e.quarantined && e.until > now)?;
            let remaining_ms = (entry.until - now).as_millis() as u32;
            Some(Notice { fingerprint: *f, remaining_ms })
        };
        let all: Vec<Notice> = self.insertion_order.iter().rev().filter_map(live).collect();
        self.rotation.select(&all, limit)
    }

    fn entry(&mut self, now: Instant, fingerprint: u64) -> &mut Entry {
        let expired = self.entries.get(&fingerprint).is_some_and(|e| e.until <= now);
        if expired {
            self.drop_entry(fingerprint);
        }
        if !self.entries.contains_key(&fingerprint) {
            if self.entries.len() >= MAX_ENTRIES {
                // Quarantined ones last: after an outage of upstreams the suspected ones are newer.
                let quarantined = |f: &u64| self.entries.get(f).is_some_and(|e| e.quarantined);
                let suspected = self.insertion_order.iter().find(|f| !quarantined(f));
                if let Some(oldest) = suspected.or(self.insertion_order.front()).copied() {
                    self.drop_entry(oldest);
                }
            }
            self.insertion_order.push_back(fingerprint);
        }
        let fresh = Entry { weight: 0.0, until: now + QUARANTINE_TTL, quarantined: false };
        self.entries.entry(fingerprint).or_insert(fresh)
    }

    fn drop_entry(&mut self, fingerprint: u64) {
        if self.entries.remove(&fingerprint).is_some_and(|e| e.quarantined) {
            self.quarantined -= 1;
        }
        self.insertion_order.retain(|f| *f != fingerprint);
    }
}

/// Number of slots of [`RecentCompletions`].
const COMPLETION_SLOTS: usize = 4_096;

/// Lock-free lossy set of the fingerprints of recently completed requests.
///
/// Each fingerprint maps to one slot, which holds the last one that completed there.
#[derive(Debug)]
pub struct RecentCompletions {
    slots: Vec<AtomicU64>,
}

impl Default for RecentCompletions {
    fn default() -> RecentCompletions {
        RecentCompletions::new()
    }
}

impl RecentCompletions {
    /// Creates an empty set.
    pub fn new() -> RecentCompletions {
        RecentCompletions { slots: (0..COMPLETION_SLOTS).map(|_| AtomicU64::new(0)).collect() }
    }

    /// Records that a request with `fingerprint` completed.
    pub fn record_completion(&self, fingerprint: u64) {
        self.slot(fingerprint).store(fingerprint, Ordering::Relaxed);
    }

    /// Whether a request with `fingerprint` has completed recently.
    pub fn contains(&self, fingerprint: u64) -> bool {
        self.slot(fingerprint).load(Ordering::Relaxed) == fingerprint
    }

    fn slot(&self, fingerprint: u64) -> &AtomicU64 {
        &self.slots[fingerprint as usize % COMPLETION_SLOTS]
    }
}
