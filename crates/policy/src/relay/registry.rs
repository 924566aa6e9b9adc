//! Which upstreams there are, from a registry that the platform publishes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{hash::FastMap, id, unit::Revision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One process of an upstream as registered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The process.
    pub instance: id::Instance,
    /// Start of the process, in milliseconds since the Unix epoch by its own clock; two starts
    /// under one instance differ in it.
    pub born_ms: u64,
    /// Pool that it belongs to.
    pub pool: id::Pool,
    /// Where it serves.
    pub address: id::Upstream,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Whether it is leaving and must get no new work.
    pub draining: bool,
    /// Time for which it is slow after its start, as last told.
    pub cold: Duration,
}

/// What became of a registered key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It holds an upstream.
    Put(Entry),
    /// It holds something that names no upstream.
    Unusable,
    /// It was removed.
    Removed,
}

/// One change with its place in the registry's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key.
    pub key: SmolStr,
    /// Place in the history.
    pub revision: Revision,
    /// What became of the key.
    pub change: Change,
}

/// How an upstream may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// For any request.
    Ready,
    /// Only where its pool has nobody else: its entry has gone without notice.
    ///
    /// It may have ended, or its entry may have lapsed while the platform was away and may be
    /// back in a moment.
    LastResort,
}

/// Longest time for which an upstream whose entry has gone is still used as a last resort.
/// Entries that lapsed with the platform's service are back within this time of its return.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(2);
/// Removed keys that are remembered, to pass removals on to other nodes.
const REMOVED_LIMIT: usize = 4_096;

#[derive(Debug)]
struct Held {
    revision: Revision,
    change: Change,
    /// The last entry, and until when it fades; only after a removal.
    fading: Option<(Arc<Entry>, Instant)>,
    entry: Option<Arc<Entry>>,
}

/// All registered upstreams.
#[derive(Debug)]
pub struct Registry {
    held: FastMap<SmolStr, Held>,
    revision: Revision,
    last_change: Revision,
    /// Revision before which removals are not known, or no longer.
    horizon: Revision,
    fade: Duration,
    version: u64,
}

impl Registry {
    /// Without entries. `drain` is the time within which an upstream that leaves must get no
    /// more work; entries that have gone fade for two thirds of it at most.
    pub fn new(drain: Duration) -> Registry {
        Registry {
            held: FastMap::default(),
            revision: Revision::default(),
            last_change: Revision::default(),
            horizon: Revision::default(),
            fade: REMOVAL_GRACE.min(drain * 2 / 3),
            version: 0,
        }
    }

    /// Sets the time within which an upstream that leaves must get no more work.
    pub fn set_drain(&mut self, drain: Duration) {
        self.fade = REMOVAL_GRACE.min(drain * 2 / 3);
    }

    /// The history is known up to here.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Revision of the last change known.
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// Raised with each change of what may be used.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in `events` that tell the history up to `until`.
    /// Returns those that were news.
    pub fn apply(&mut self, now: Instant, events: Vec<Event>, until: Revision) -> Vec<Event> {
        let mut news = Vec::new();
        for event in events {
            if self.take(now, &event) {
                news.push(event);
            }
        }
        self.revision = self.revision.max(until);
        self.forget_removed();
        news
    }

    /// Takes in all entries as they were at `at`: what is not among them has gone. Returns what
    /// was news.
    pub fn replace(&mut self, now: Instant, entries: Vec<Event>, at: Revision) -> Vec<Event> {
        // A listing does not tell what was removed before it.
        self.horizon = self.horizon.max(at);
        let listed: Vec<&SmolStr> = entries.iter().map(|e| &e.key).collect();
        let gone = |(key, held): (&SmolStr, &Held)| {
            let missing = held.change != Change::Removed && !listed.contains(&key);
            let event = Event { key: key.clone(), revision: at, change: Change::Removed };
            (missing && held.revision <= at).then_some(event)
        };
        let mut gone: Vec<Event> = self.held.iter().filter_map(gone).collect();
        // An older listing may name what has gone since, and that will not be told again.
        let is_newer = at >= self.revision;
        gone.extend(entries.into_iter().filter(|e| is_newer || self.held.contains_key(&e.key)));
        self.apply(now, gone, at)
    }

    fn take(&mut self, now: Instant, event: &Event) -> bool {
        let old = self.held.get(&event.key);
        if old.is_some_and(|h| h.revision >= event.revision) {
            return false;
        }
        let before = old.and_then(|h| h.entry.clone()).filter(|e| !e.draining);
        let (entry, fading) = match &event.change {
            Change::Put(entry) => (Some(Arc::new(entry.clone())), None),
            Change::Unusable => (None, None),
            Change::Removed => (None, before.map(|e| (e, now + self.fade))),
        };
        let Event { key, revision, change } = event.clone();
        self.last_change = self.last_change.max(revision);
        self.held.insert(key, Held { revision, change, fading, entry });
        self.version += 1;
        true
    }

    /// Ends what has faded; to be called several times a second.
    pub fn expire_removed(&mut self, now: Instant) {
        for held in self.held.values_mut() {
            if held.fading.as_ref().is_some_and(|(_, until)| *until <= now) {
                held.fading = None;
                self.version += 1;
            }
        }
    }

    /// Upstreams that may be used.
    pub fn usable(&self) -> impl Iterator<Item = (&Arc<Entry>, Availability)> {
        self.held.values().filter_map(|held| {
            let ready = held.entry.as_ref().filter(|e| !e.draining);
            let fading = held.fading.as_ref().map(|(entry, _)| (entry, Availability::LastResort));
            ready.map(|e| (e, Availability::Ready)).or(fading)
        })
    }

    /// Pools that have a ready upstream in each failure domain.
    pub fn coverage(&self) -> FastMap<SmolStr, usize> {
        let ready = self.usable().filter(|(_, availability)| *availability == Availability::Ready);
        let mut places: Vec<(&SmolStr, &id::Pool)> =
            ready.map(|(e, _)| (&e.domain, &e.pool)).collect();
        places.sort_unstable();
        places.dedup();
        let mut coverage = FastMap::default();
        for (domain, _) in places {
            *coverage.entry(domain.clone()).or_default() += 1;
        }
        coverage
    }

    /// What happened after `after`; `None` if that is too long ago to tell.
    pub fn changes_since(&self, after: Revision) -> Option<Vec<Event>> {
        if after < self.horizon {
            return None;
        }
        Some(self.events(|h| h.revision > after))
    }

    /// All entries.
    pub fn entries(&self) -> Vec<Event> {
        self.events(|h| h.change != Change::Removed)
    }

    fn events(&self, which: impl Fn(&Held) -> bool) -> Vec<Event> {
        let event = |(key, held): (&SmolStr, &Held)| Event {
            key: key.clone(),
            revision: held.revision,
            change: held.change.clone(),
        };
        self.held.iter().filter(|(_, h)| which(h)).map(event).collect()
    }

    fn forget_removed(&mut self) {
        let done = |h: &Held| h.change == Change::Removed && h.fading.is_none();
        let mut removed: Vec<Revision> =
            self.held.values().filter(|h| done(h)).map(|h| h.revision).collect();
        if removed.len() <= REMOVED_LIMIT {
            return;
        }
        removed.sort_unstable();
        self.horizon = self.horizon.max(removed[removed.len() / 2]);
        let horizon = self.horizon;
        self.held.retain(|_, h| !(done(h) && h.revision <= horizon));
    }
}
