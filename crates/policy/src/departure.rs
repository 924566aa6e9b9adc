//! Upstreams that the platform lists as leaving, as soft state that nodes pass on.
//!
//! A few nodes read the list; the others learn of departures from them. An entry is passed on
//! until it has not been confirmed for a while; what a leaf has concluded from it stays.

use std::time::{Duration, Instant};

use base::{hash::FastMap, id};
use serde::{Deserialize, Serialize};

/// Time for which an entry is passed on without being confirmed.
pub const ENTRY_TTL: Duration = Duration::from_secs(10);
/// Entries kept; more are the business of each node's own reads of the list.
pub const MAX_ENTRIES: usize = 256;

/// A departure, as spread between nodes.
///
/// The time left is passed on with it, so that nodes cannot keep an entry alive among
/// themselves that no list confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The upstream that leaves.
    pub upstream: id::Upstream,
    /// Time left, in milliseconds.
    pub remaining_ms: u32,
}

/// Known departures.
#[derive(Debug, Default)]
pub struct DepartureTable {
    entries: FastMap<id::Upstream, Instant>,
}

impl DepartureTable {
    /// A book without entries.
    pub fn new() -> DepartureTable {
        DepartureTable::default()
    }

    /// Records that `upstream` is listed as leaving; returns whether that was news.
    pub fn record_listed(&mut self, now: Instant, upstream: id::Upstream) -> bool {
        self.keep(now, upstream, now + ENTRY_TTL)
    }

    /// Takes in a notice from another node; returns whether it was news.
    pub fn merge(&mut self, now: Instant, notice: Notice) -> bool {
        let remaining = Duration::from_millis(u64::from(notice.remaining_ms)).min(ENTRY_TTL);
        !remaining.is_zero() && self.keep(now, notice.upstream, now + remaining)
    }

    fn keep(&mut self, now: Instant, upstream: id::Upstream, until: Instant) -> bool {
        if let Some(entry) = self.entries.get_mut(&upstream) {
            let expired = *entry <= now;
            *entry = until.max(*entry);
            return expired;
        }
        self.expire(now);
        if self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        self.entries.insert(upstream, until);
        true
    }

    /// Records that `upstream` is listed as live.
    pub fn remove(&mut self, upstream: id::Upstream) {
        self.entries.remove(&upstream);
    }

    /// Up to `limit` entries, the last confirmed first.
    pub fn notices(&self, now: Instant, limit: usize) -> Vec<Notice> {
        let live = self.entries.iter().filter(|(_, until)| **until > now);
        let mut live: Vec<(Instant, id::Upstream)> = live.map(|(u, until)| (*until, *u)).collect();
        live.sort_unstable_by(|a, b| b.cmp(a));
        let notice = |(until, upstream): (Instant, id::Upstream)| {
            let remaining_ms = until.saturating_duration_since(now).as_millis() as u32;
            Notice { upstream, remaining_ms }
        };
        live.into_iter().take(limit).map(notice).collect()
    }

    fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, until| *until > now);
    }
}
