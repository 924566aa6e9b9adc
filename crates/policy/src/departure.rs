//! Upstreams that the platform lists as leaving, as soft state gossiped between nodes.
//!
//! Only a few nodes read the platform's list; the others receive departures by gossip. An entry
//! expires unless a list confirms it again. Its expiry does not end the draining state that a
//! leaf has derived from it.

use std::time::{Duration, Instant};

use base::{hash::FastMap, id};
use serde::{Deserialize, Serialize};

use crate::rotation::Rotation;

/// Time for which an entry is gossiped without being confirmed by a list.
pub const ENTRY_TTL: Duration = Duration::from_secs(10);
/// Maximum number of entries; further departures are found by each node's own reads of the list.
pub const MAX_ENTRIES: usize = 256;

/// A departure, as gossiped between nodes.
///
/// It carries the remaining time, so that nodes cannot keep an entry alive among themselves that
/// no list confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The leaving upstream.
    pub upstream: id::Upstream,
    /// Remaining time until expiry, in milliseconds.
    pub remaining_ms: u32,
}

/// Departures that have not expired.
#[derive(Debug, Default)]
pub struct DepartureTable {
    entries: FastMap<id::Upstream, Instant>,
    rotation: Rotation,
}

impl DepartureTable {
    /// Creates an empty table.
    pub fn new() -> DepartureTable {
        DepartureTable::default()
    }

    /// Records that the platform lists `upstream` as leaving; returns whether the entry is new.
    pub fn record_listed(&mut self, now: Instant, upstream: id::Upstream) -> bool {
        self.insert(now, upstream, now + ENTRY_TTL)
    }

    /// Merges a notice from another node; returns whether the entry is new. The remaining time is
    /// capped at [`ENTRY_TTL`].
    pub fn merge(&mut self, now: Instant, notice: Notice) -> bool {
        let remaining = Duration::from_millis(u64::from(notice.remaining_ms)).min(ENTRY_TTL);
        !remaining.is_zero() && self.insert(now, notice.upstream, now + remaining)
    }

    fn insert(&mut self, now: Instant, upstream: id::Upstream, expiry: Instant) -> bool {
        if let Some(entry) = self.entries.get_mut(&upstream) {
            let expired = *entry <= now;
            *entry = expiry.max(*entry);
            return expired;
        }
        self.remove_expired(now);
        if self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        self.entries.insert(upstream, expiry);
        true
    }

    /// Removes the entry of `upstream`, which the platform lists as live.
    pub fn remove(&mut self, upstream: id::Upstream) {
        self.entries.remove(&upstream);
    }

    /// Returns up to `limit` notices to gossip: those with the most time left, and the others in
    /// turn.
    pub fn notices(&mut self, now: Instant, limit: usize) -> Vec<Notice> {
        let live = self.entries.iter().filter(|(_, expiry)| **expiry > now);
        let mut live: Vec<(Instant, id::Upstream)> =
            live.map(|(u, expiry)| (*expiry, *u)).collect();
        live.sort_unstable_by(|a, b| b.cmp(a));
        let notice = |(expiry, upstream): (Instant, id::Upstream)| {
            let remaining_ms = expiry.saturating_duration_since(now).as_millis() as u32;
            Notice { upstream, remaining_ms }
        };
        let all: Vec<Notice> = live.into_iter().map(notice).collect();
        self.rotation.select(&all, limit)
    }

    fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, expiry| *expiry > now);
    }
}
