//! Registered upstreams, from the registry that the platform publishes.
//!
//! Nodes exchange changes with each other. A removed key leaves a tombstone, so that the removal
//! can be passed on to nodes that have not seen it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{hash::FastMap, id, unit::Revision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One registered process of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the instance.
    pub instance: id::Instance,
    /// Start of the process, in milliseconds since the Unix epoch by its own clock.
    /// Distinguishes successive processes with the same instance id.
    pub born_ms: u64,
    /// Pool of the upstream.
    pub pool: id::Pool,
    /// Address on which it serves.
    pub address: id::Upstream,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it is draining and must get no new requests.
    pub draining: bool,
    /// Remaining time for which it is slow after its start, as of its last registration.
    pub cold: Duration,
}

/// State of a key after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The key holds a valid entry.
    Put(Entry),
    /// The key holds a value that is not a valid entry.
    Unusable,
    /// The key was removed.
    Removed,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key.
    pub key: SmolStr,
    /// Revision of the registry at which the key changed.
    pub revision: Revision,
    /// State of the key after the change.
    pub change: Change,
}

/// For which requests an upstream may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// For any request.
    Ready,
    /// Only if its pool has no other upstream: its entry was removed without draining.
    ///
    /// The process may have ended. Or the entry's lease may have expired while the platform was
    /// unavailable, and the entry may return soon.
    LastResort,
}

/// Longest time for which an upstream whose entry was removed is still used as a last resort.
/// Entries that expired during an outage of the platform return within this time after it.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(2);
/// Largest number of tombstones kept to pass removals on to other nodes.
const MAX_TOMBSTONES: usize = 4_096;

#[derive(Debug)]
struct KeyState {
    revision: Revision,
    change: Change,
    /// After a removal without draining: the last entry, and until when it may still be used.
    last_resort: Option<(Arc<Entry>, Instant)>,
    entry: Option<Arc<Entry>>,
}

/// All registered upstreams known to one node.
#[derive(Debug)]
pub struct Registry {
    keys: FastMap<SmolStr, KeyState>,
    revision: Revision,
    last_change: Revision,
    /// Removals up to this revision are not completely known.
    tombstone_horizon: Revision,
    removal_grace: Duration,
    version: u64,
}

impl Registry {
    /// Creates an empty registry. `drain` is the time within which a draining upstream must get
    /// no more requests. Removed entries are used for at most two thirds of it.
    pub fn new(drain: Duration) -> Registry {
        Registry {
            keys: FastMap::default(),
            revision: Revision::default(),
            last_change: Revision::default(),
            tombstone_horizon: Revision::default(),
            removal_grace: REMOVAL_GRACE.min(drain * 2 / 3),
            version: 0,
        }
    }

    /// Sets the time within which a draining upstream must get no more requests.
    pub fn set_drain(&mut self, drain: Duration) {
        self.removal_grace = REMOVAL_GRACE.min(drain * 2 / 3);
    }

    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the newest known change.
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// Returns a number that increases whenever the usable upstreams may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies `events`, the changes up to revision `until`. Returns those that were new.
    pub fn apply(&mut self, now: Instant, events: Vec<Event>, until: Revision) -> Vec<Event> {
        let mut new = Vec::new();
        for event in events {
            if self.apply_event(now, &event) {
                new.push(event);
            }
        }
        self.revision = self.revision.max(until);
        self.prune_tombstones();
        new
    }

    /// Applies a full listing of the entries at revision `at`: keys that it lacks have been
    /// removed. Returns the changes that were new.
    pub fn replace(&mut self, now: Instant, entries: Vec<Event>, at: Revision) -> Vec<Event> {
        // A listing does not contain the removals before it.
        self.tombstone_horizon = self.tombstone_horizon.max(at);
        let listed: Vec<&SmolStr> = entries.iter().map(|e| &e.key).collect();
        let removal = |(key, state): (&SmolStr, &KeyState)| {
            let missing = state.change != Change::Removed && !listed.contains(&key);
            let event = Event { key: key.clone(), revision: at, change: Change::Removed };
            (missing && state.revision <= at).then_some(event)
        };
        let mut events: Vec<Event> = self.keys.iter().filter_map(removal).collect();
        // A listing older than the known revision may contain keys that were removed since. No
        // later change reports those removals to this node, so the listing must not add unknown
        // keys.
        let is_newer = at >= self.revision;
        events.extend(entries.into_iter().filter(|e| is_newer || self.keys.contains_key(&e.key)));
        self.apply(now, events, at)
    }

    /// Applies one change. Returns whether it was new.
    fn apply_event(&mut self, now: Instant, event: &Event) -> bool {
        let old = self.keys.get(&event.key);
        if old.is_some_and(|s| s.revision >= event.revision) {
            return false;
        }
        let ready = old.and_then(|s| s.entry.clone()).filter(|e| !e.draining);
        let (entry, last_resort) = match &event.change {
            Change::Put(entry) => (Some(Arc::new(entry.clone())), None),
            Change::Unusable => (None, None),
            Change::Removed => (None, ready.map(|e| (e, now + self.removal_grace))),
        };
        let Event { key, revision, change } = event.clone();
        self.last_change = self.last_change.max(revision);
        self.keys.insert(key, KeyState { revision, change, last_resort, entry });
        self.version += 1;
        true
    }

    /// Drops removed entries whose grace period has ended. Must be called several times a
    /// second.
    pub fn expire_removed(&mut self, now: Instant) {
        for state in self.keys.values_mut() {
            if state.last_resort.as_ref().is_some_and(|(_, until)| *until <= now) {
                state.last_resort = None;
                self.version += 1;
            }
        }
    }

    /// Returns the upstreams that may be used.
    pub fn usable(&self) -> impl Iterator<Item = (&Arc<Entry>, Availability)> {
        self.keys.values().filter_map(|state| {
            let ready = state.entry.as_ref().filter(|e| !e.draining);
            let removed = state.last_resort.as_ref();
            let last_resort = removed.map(|(entry, _)| (entry, Availability::LastResort));
            ready.map(|e| (e, Availability::Ready)).or(last_resort)
        })
    }

    /// Returns whether another process has taken the place of the one that `entry` registers: it
    /// started later, and has its address or its instance id.
    pub fn is_replaced(&self, entry: &Entry) -> bool {
        let entries = self.keys.values().filter_map(|state| state.entry.as_ref());
        let mut later = entries.filter(|e| e.born_ms > entry.born_ms);
        later.any(|e| e.address == entry.address || e.instance == entry.instance)
    }

    /// Returns the number of pools with a ready upstream, by failure domain.
    pub fn coverage(&self) -> FastMap<SmolStr, usize> {
        let ready = self.usable().filter(|(_, availability)| *availability == Availability::Ready);
        let mut domain_pools: Vec<(&SmolStr, &id::Pool)> =
            ready.map(|(e, _)| (&e.domain, &e.pool)).collect();
        domain_pools.sort_unstable();
        domain_pools.dedup();
        let mut coverage = FastMap::default();
        for (domain, _) in domain_pools {
            *coverage.entry(domain.clone()).or_default() += 1;
        }
        coverage
    }

    /// Returns the newest change of each key that changed after revision `after`; `None` if not
    /// all removals since then are known.
    pub fn changes_since(&self, after: Revision) -> Option<Vec<Event>> {
        if after < self.tombstone_horizon {
            return None;
        }
        Some(self.events(|s| s.revision > after))
    }

    /// Returns all keys that have not been removed.
    pub fn entries(&self) -> Vec<Event> {
        self.events(|s| s.change != Change::Removed)
    }

    fn events(&self, filter: impl Fn(&KeyState) -> bool) -> Vec<Event> {
        let event = |(key, state): (&SmolStr, &KeyState)| Event {
            key: key.clone(),
            revision: state.revision,
            change: state.change.clone(),
        };
        self.keys.iter().filter(|(_, s)| filter(s)).map(event).collect()
    }

    /// Drops the older half of the tombstones if there are too many.
    fn prune_tombstones(&mut self) {
        let is_tombstone = |s: &KeyState| s.change == Change::Removed && s.last_resort.is_none();
        let mut revisions: Vec<Revision> =
            self.keys.values().filter(|s| is_tombstone(s)).map(|s| s.revision).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        let middle = revisions[revisions.len() / 2];
        self.tombstone_horizon = self.tombstone_horizon.max(middle);
        let horizon = self.tombstone_horizon;
        self.keys.retain(|_, s| !(is_tombstone(s) && s.revision <= horizon));
    }
}
