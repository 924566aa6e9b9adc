//! Suspicion of requests that crash the upstreams that run them.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use base::hash::SeededMap;
use serde::{Deserialize, Serialize};

/// How long a fingerprint stays quarantined.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(60);
/// Fingerprints tracked or quarantined at a time.
pub const MAX_ENTRIES: usize = 1_024;
/// Weight of lost upstreams at which a fingerprint is quarantined.
const THRESHOLD: f64 = 1.5;
/// The same for a fingerprint that has completed lately: it more likely ran beside the cause.
const KNOWN_THRESHOLD: f64 = 6.0;

/// A quarantined fingerprint, as spread between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The fingerprint.
    pub fingerprint: u64,
    /// Time left, in milliseconds.
    pub remaining_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    weight: f64,
    until: Instant,
    quarantined: bool,
}

/// Evidence against fingerprints.
///
/// A lost connection weighs against each request that ran on it, divided by their number. A
/// request that completes anywhere clears what was held against it, so that requests that
/// merely ran beside a crashing one recover.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    entries: SeededMap<u64, Entry>,
    order: VecDeque<u64>,
    count: usize,
}

impl QuarantineTable {
    /// A book without entries.
    pub fn new() -> QuarantineTable {
        QuarantineTable::default()
    }

    /// Number of quarantined fingerprints, expired ones included until they are replaced.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether `fingerprint` is quarantined at `now`.
    pub fn is_quarantined(&self, now: Instant, fingerprint: u64) -> bool {
        self.entries.get(&fingerprint).is_some_and(|e| e.quarantined && e.until > now)
    }

    /// Records the loss of an upstream that ran `beside` requests, this one included. `known`
    /// says that the fingerprint has completed lately.
    /// Returns whether that newly quarantines the fingerprint.
    pub fn record_loss(
        &mut self,
        now: Instant,
        fingerprint: u64,
        beside: usize,
        known: bool,
    ) -> bool {
        let threshold = if known { KNOWN_THRESHOLD } else { THRESHOLD };
        let share = 1.0 / beside.max(1) as f64;
        let entry = self.entry(now, fingerprint);
        entry.weight += share;
        entry.until = now + QUARANTINE_TTL;
        let newly = !entry.quarantined && entry.weight >= threshold;
        entry.quarantined |= newly;
        self.count += usize::from(newly);
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

    /// Takes in a notice from another node; returns whether it was news.
    pub fn merge(&mut self, now: Instant, notice: Notice) -> bool {
        let remaining = Duration::from_millis(u64::from(notice.remaining_ms)).min(QUARANTINE_TTL);
        let until = now + remaining;
        let entry = self.entry(now, notice.fingerprint);
        let newly = !entry.quarantined;
        entry.quarantined = true;
        entry.until = entry.until.max(until);
        self.count += usize::from(newly);
        newly
    }

    /// Up to `limit` notices to spread, the newest first.
    pub fn notices(&self, now: Instant, limit: usize) -> Vec<Notice> {
        let live = |f: &u64| {
            let entry = self.entries.get(f).filter(|e| e.quarantined && e.until > now)?;
            let remaining_ms = (entry.until - now).as_millis() as u32;
            Some(Notice { fingerprint: *f, remaining_ms })
        };
        self.order.iter().rev().filter_map(live).take(limit).collect()
    }

    fn entry(&mut self, now: Instant, fingerprint: u64) -> &mut Entry {
        let expired = self.entries.get(&fingerprint).is_some_and(|e| e.until <= now);
        if expired {
            self.drop_entry(fingerprint);
        }
        if !self.entries.contains_key(&fingerprint) {
            if self.entries.len() >= MAX_ENTRIES
                && let Some(oldest) = self.order.front().copied()
            {
                self.drop_entry(oldest);
            }
            self.order.push_back(fingerprint);
        }
        let fresh = Entry { weight: 0.0, until: now + QUARANTINE_TTL, quarantined: false };
        self.entries.entry(fingerprint).or_insert(fresh)
    }

    fn drop_entry(&mut self, fingerprint: u64) {
        if self.entries.remove(&fingerprint).is_some_and(|e| e.quarantined) {
            self.count -= 1;
        }
        self.order.retain(|f| *f != fingerprint);
    }
}

/// Fingerprints that [`Known`] remembers at most.
const KNOWN: usize = 4_096;

/// Fingerprints of requests that have completed lately: lock-free, and forgetful.
///
/// Each fingerprint has one place; the last one to complete there is remembered.
#[derive(Debug)]
pub struct RecentCompletions {
    places: Vec<AtomicU64>,
}

impl Default for RecentCompletions {
    fn default() -> RecentCompletions {
        RecentCompletions::new()
    }
}

impl RecentCompletions {
    /// Remembers nothing yet.
    pub fn new() -> RecentCompletions {
        RecentCompletions { places: (0..KNOWN).map(|_| AtomicU64::new(0)).collect() }
    }

    /// Records that a request with `fingerprint` completed.
    pub fn record_completion(&self, fingerprint: u64) {
        self.place(fingerprint).store(fingerprint, Ordering::Relaxed);
    }

    /// Whether a request with `fingerprint` has completed lately.
    pub fn contains(&self, fingerprint: u64) -> bool {
        self.place(fingerprint).load(Ordering::Relaxed) == fingerprint
    }

    fn place(&self, fingerprint: u64) -> &AtomicU64 {
        &self.places[fingerprint as usize % KNOWN]
    }
}
