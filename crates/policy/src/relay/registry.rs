//! Registered upstreams, from the registry that the platform publishes.
//!
//! Nodes exchange changes with each other. A removed key leaves a tombstone, so that the removal
//! can be passed on to nodes that have not seen it.
//!
//! Revisions are compared within one era of the platform's change history only. A later era begins
//! with a listing; [`super::restored`] decides what is kept beside it.

mod key_state;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    hash::{FastMap, FastSet},
    id,
    unit::{Era, Position, Revision},
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use key_state::{Evacuation, KeyState, Retained};

use super::restored::{Belief, Departure, Exception, judge};

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

impl Entry {
    /// Returns the entry, as one of a process that drains if `draining`.
    fn with_draining(&self, draining: bool) -> Entry {
        Entry { draining: self.draining || draining, ..self.clone() }
    }
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
    /// The key holds the operator's order that upstreams of the failure domain get no requests.
    Evacuated(SmolStr),
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
/// Time for which an evacuation holds that the platform no longer lists since it came back from an
/// earlier copy: the operator's writes since that copy are repeated, and an order ends only by its
/// removal.
pub const EVACUATION_RETENTION: Duration = Duration::from_secs(30);
/// Time within which the platform removes the entry of a process that has ended, unless set.
const DEFAULT_LAPSE: Duration = Duration::from_millis(4_800);
/// Largest number of tombstones kept to pass removals on to other nodes.
const MAX_TOMBSTONES: usize = 4_096;

/// Why changes were not merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MergeError {
    /// They belong to an earlier era.
    #[error("changes of era {found}, known {known}")]
    Earlier {
        /// Their era.
        found: Era,
        /// Era of the registry.
        known: Era,
    },
    /// They belong to a later era, and do not list all its entries.
    #[error("changes of the later era {0} without the other entries")]
    Incomplete(Era),
}

/// Relation of an era to the one that a registry is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraRelation {
    /// The same era, or one of the two is not known.
    Same,
    /// A later era: revisions cannot be compared, and all entries must be read again.
    Later,
    /// An earlier era, of which nothing is to be used.
    Earlier,
}

/// All registered upstreams known to one node.
#[derive(Debug)]
pub struct Registry {
    keys: FastMap<SmolStr, KeyState>,
    era: Era,
    /// Whether the platform has come back from an earlier copy while this registry existed.
    has_seen_restore: bool,
    revision: Revision,
    last_change: Revision,
    /// Removals up to this revision are not completely known.
    tombstone_horizon: Revision,
    removal_grace: Duration,
    /// Time within which the platform removes the entry of a process that has ended.
    lapse: Duration,
    exception_count: usize,
    version: u64,
}

impl Registry {
    /// Creates an empty registry. `drain` is the time within which a draining upstream must get
    /// no more requests. Removed entries are used for at most two thirds of it.
    pub fn new(drain: Duration) -> Registry {
        Registry {
            keys: FastMap::default(),
            era: Era::default(),
            has_seen_restore: false,
            revision: Revision::default(),
            last_change: Revision::default(),
            tombstone_horizon: Revision::default(),
            removal_grace: REMOVAL_GRACE.min(drain * 2 / 3),
            lapse: DEFAULT_LAPSE,
            exception_count: 0,
            version: 0,
        }
    }

    /// Sets the time within which the platform removes the entry of a process that has ended.
    pub fn with_lapse(self, lapse: Duration) -> Registry {
        Registry { lapse, ..self }
    }

    /// Sets the time within which a draining upstream must get no more requests.
    pub fn set_drain(&mut self, drain: Duration) {
        self.removal_grace = REMOVAL_GRACE.min(drain * 2 / 3);
    }

    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the position up to which all changes are known.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    /// Returns the relation of `era` to the registry's.
    pub fn relation(&self, era: Era) -> EraRelation {
        if era == self.era || era == Era::default() || self.era == Era::default() {
            return EraRelation::Same;
        }
        if era > self.era { EraRelation::Later } else { EraRelation::Earlier }
    }

    /// Returns whether revisions have been given out again while this registry existed.
    pub fn has_seen_restore(&self) -> bool {
        self.has_seen_restore
    }

    /// Returns whether a node at `position` knows changes that this one lacks. A position without
    /// an era tells nothing once revisions have been given out again.
    pub fn is_behind(&self, position: Position) -> bool {
        match self.relation(position.era) {
            EraRelation::Later => true,
            EraRelation::Earlier => false,
            EraRelation::Same if position.era == Era::default() && self.has_seen_restore => false,
            EraRelation::Same => position.revision > self.revision,
        }
    }

    /// Returns the revision of the newest known change.
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// Returns a number that increases whenever the usable upstreams may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Merges `events`, the changes up to `at`, or all entries if `is_snapshot`. Returns those
    /// that were new.
    pub fn merge(
        &mut self,
        now: Instant,
        events: Vec<Event>,
        at: Position,
        is_snapshot: bool,
    ) -> Result<Vec<Event>, MergeError> {
        let relation = self.relation(at.era);
        match (relation, is_snapshot) {
            (EraRelation::Earlier, _) => {
                Err(MergeError::Earlier { found: at.era, known: self.era })
            }
            (EraRelation::Later, false) => Err(MergeError::Incomplete(at.era)),
            (EraRelation::Later, true) => Ok(self.restore(now, events, at)),
            (EraRelation::Same, _) => {
                self.era = self.era.max(at.era);
                Ok(match is_snapshot {
                    true => self.replace(now, events, at.revision),
                    false => self.apply(now, events, at.revision),
                })
            }
        }
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
        let Event { key, revision, change } = event.clone();
        let old_entry = old.and_then(KeyState::trusted_entry).cloned();
        let mut departure = old.and_then(|s| s.departure);
        let mut retained = None;
        let entry = match &change {
            Change::Put(written) => {
                if written.draining {
                    departure = Departure::latest(departure, Departure::draining(written));
                }
                // A process that drained before the restore may register as ready once more while
                // its earlier writes are repeated.
                let has_drained = departure.is_some_and(|d| d.has_drained_as(written));
                if has_drained && !written.draining {
                    let last_resort = old.and_then(|s| s.retained.clone());
                    retained = last_resort.filter(|r| {
                        r.availability == Availability::LastResort
                            && r.entry.born_ms == written.born_ms
                    });
                }
                Some(Arc::new(written.with_draining(has_drained)))
            }
            Change::Unusable | Change::Evacuated(_) => None,
            Change::Removed => {
                match old_entry {
                    Some(entry) => {
                        departure = Departure::latest(departure, Departure::of(&entry));
                        retained = (!entry.draining).then(|| Retained {
                            entry,
                            until: now + self.removal_grace,
                            availability: Availability::LastResort,
                        });
                    }
                    // A listing reports a removal as of an earlier revision than the watch after it.
                    None => {
                        let removed = old.filter(|s| s.change == Change::Removed);
                        retained = removed.and_then(|s| s.retained.clone());
                    }
                }
                None
            }
        };
        self.last_change = self.last_change.max(revision);
        let evacuation = Evacuation::listed(&change);
        let withheld_until = None;
        let state =
            KeyState { revision, change, entry, retained, withheld_until, departure, evacuation };
        self.keys.insert(key, state);
        self.version += 1;
        true
    }

    /// Enters the later era of `at` with `entries`, a full listing of it. Returns the changes.
    fn restore(&mut self, now: Instant, entries: Vec<Event>, at: Position) -> Vec<Event> {
        let mut known = std::mem::take(&mut self.keys);
        let mut born_at: FastMap<id::Upstream, u64> = FastMap::default();
        for entry in known.values().filter_map(KeyState::trusted_entry) {
            let born = born_at.entry(entry.address).or_default();
            *born = entry.born_ms.max(*born);
        }
        self.era = at.era;
        self.has_seen_restore = true;
        self.revision = at.revision;
        self.last_change = Revision::default();
        // Removals of earlier eras have no revision in this one.
        self.tombstone_horizon = at.revision;
        self.version += 1;
        let mut changes = Vec::new();
        for Event { key, revision, change } in entries {
            let old = known.remove(&key);
            let departure = old.as_ref().and_then(|s| s.departure).map(Departure::carried);
            let trusted = old.as_ref().and_then(KeyState::trusted_entry);
            let unlisted = trusted.filter(|e| !e.draining).map(|entry| self.retain(now, entry));
            let evacuation = Evacuation::listed(&change);
            let mut state =
                KeyState { revision, change, evacuation, ..KeyState::unlisted(departure) };
            if let Change::Put(listed) = &state.change {
                let at_address = born_at.get(&listed.address).copied();
                let belief = judge(listed, trusted.map(Arc::as_ref), departure, at_address);
                if listed.draining {
                    state.departure = Departure::latest(departure, Departure::draining(listed));
                }
                if belief == Belief::Withheld {
                    state.withheld_until = Some(now + self.lapse);
                    state.departure = Departure::latest(departure, Departure::of(listed).carried());
                }
                state.entry = Some(Arc::new(listed.with_draining(belief == Belief::Draining)));
                // A later process with the same id registers again.
                state.retained = unlisted.filter(|r| r.entry.born_ms > listed.born_ms);
            }
            if old.is_none_or(|s| s.change != state.change) {
                let change = state.change.clone();
                changes.push(Event { key: key.clone(), revision, change });
            }
            self.last_change = self.last_change.max(revision);
            self.keys.insert(key, state);
        }
        for (key, old) in known {
            let mut state = KeyState::unlisted(old.departure.map(Departure::carried));
            // The copy may be older than the registration, which is then repeated.
            let unlisted = old.trusted_entry().filter(|e| !e.draining);
            state.retained = unlisted.map(|entry| self.retain(now, entry)).or(old.retained);
            state.evacuation = old.evacuation.map(|e| e.unlisted(now + EVACUATION_RETENTION));
            self.keys.insert(key, state);
        }
        self.prune_tombstones();
        changes
    }

    /// Keeps `entry` in use for the time in which it must be registered again after a restore.
    fn retain(&self, now: Instant, entry: &Arc<Entry>) -> Retained {
        let until = now + self.removal_grace;
        Retained { entry: entry.clone(), until, availability: Availability::Ready }
    }

    /// Returns what this node believes against the platform's listing since the last restore.
    pub fn exceptions(&self, now: Instant) -> Vec<Exception> {
        if !self.has_seen_restore {
            return Vec::new();
        }
        self.keys.iter().flat_map(|(key, state)| state.exceptions(now, key)).collect()
    }

    /// Learns the exceptions of a peer in the same era.
    pub fn learn(&mut self, now: Instant, exceptions: Vec<Exception>) {
        self.has_seen_restore |= !exceptions.is_empty();
        self.version += 1;
        for exception in exceptions {
            match exception {
                Exception::Departed { key, revision, departure, remaining } => {
                    let departure = departure.carried();
                    let state = self.keys.entry(key).or_insert_with(|| KeyState::unlisted(None));
                    if state.revision > revision || state.departure.is_some() {
                        continue;
                    }
                    state.departure = Some(departure);
                    let Change::Put(listed) = &state.change else { continue };
                    let belief = judge(listed, None, Some(departure), None);
                    if belief == Belief::Withheld {
                        state.withheld_until = Some(now + remaining.min(self.lapse));
                    }
                    state.entry = Some(Arc::new(listed.with_draining(belief == Belief::Draining)));
                }
                Exception::Unlisted { key, revision, entry, remaining } => {
                    let state = self.keys.entry(key).or_insert_with(|| KeyState::unlisted(None));
                    let has_gone = state.departure.is_some_and(|d| d.includes(&entry));
                    let known = state.trusted_entry();
                    let is_outdated = known.is_some_and(|known| known.born_ms >= entry.born_ms);
                    if state.revision > revision || has_gone || is_outdated {
                        continue;
                    }
                    state.retained = Some(Retained {
                        entry: Arc::new(entry),
                        until: now + remaining.min(self.removal_grace),
                        availability: Availability::Ready,
                    });
                }
                Exception::Evacuated { key, domain, remaining } => {
                    let state = self.keys.entry(key).or_insert_with(|| KeyState::unlisted(None));
                    let until = now + remaining.min(EVACUATION_RETENTION);
                    state.evacuation.get_or_insert(Evacuation { domain, until: Some(until) });
                }
            }
        }
    }

    /// Returns the failure domains whose upstreams get no requests.
    pub fn evacuated(&self) -> FastSet<SmolStr> {
        self.keys.values().filter_map(|s| s.evacuation.as_ref()).map(|e| e.domain.clone()).collect()
    }

    /// Records that the process of `entry` has said itself that it leaves, whatever the platform lists
    /// then or later. It remains a last resort for a time. Returns whether that was not known.
    pub fn record_leaving(&mut self, now: Instant, entry: &Entry) -> bool {
        let Some(state) = self.keys.values_mut().find(|s| s.holds(entry)) else { return false };
        if state.departure.is_some_and(|d| d.has_drained_as(entry)) {
            return false;
        }
        state.departure = Departure::latest(state.departure, Departure::draining(entry));
        let until = now + self.removal_grace;
        let availability = Availability::LastResort;
        state.retained = Some(Retained { entry: Arc::new(entry.clone()), until, availability });
        if let Some(listed) = state.entry.as_mut().filter(|e| e.born_ms == entry.born_ms) {
            *listed = Arc::new(listed.with_draining(true));
        }
        self.version += 1;
        true
    }

    /// Drops entries that were retained and ends withholding when their time is over. Must be
    /// called several times a second.
    pub fn expire_removed(&mut self, now: Instant) {
        for state in self.keys.values_mut() {
            self.version += u64::from(state.expire(now));
        }
        self.exception_count = self.exceptions(now).len();
    }

    /// Returns the number of exceptions as of the last call of [`Registry::expire_removed`].
    pub fn exception_count(&self) -> usize {
        self.exception_count
    }

    /// Returns the upstreams that may be used.
    pub fn usable(&self) -> impl Iterator<Item = (&Arc<Entry>, Availability)> {
        self.keys.values().filter_map(|state| {
            let is_usable = |e: &&Arc<Entry>| !e.draining && state.withheld_until.is_none();
            let ready = state.entry.as_ref().filter(is_usable);
            let retained = state.retained.as_ref().map(|r| (&r.entry, r.availability));
            ready.map(|e| (e, Availability::Ready)).or(retained)
        })
    }

    /// Returns whether another process has taken the place of the one that `entry` registers: it
    /// started later, and has its address or its instance id.
    pub fn is_replaced(&self, entry: &Entry) -> bool {
        let entries = self.keys.values().filter_map(|state| state.entry.as_ref());
        let mut later = entries.filter(|e| e.born_ms > entry.born_ms);
        later.any(|e| e.address == entry.address || e.instance == entry.instance)
    }

    /// Returns whether the process of `entry` is neither listed nor retained any more, and had not
    /// announced that it drains.
    pub fn has_gone(&self, entry: &Entry) -> bool {
        let has_drained =
            |state: &KeyState| state.departure.is_some_and(|d| d.has_drained_as(entry));
        !entry.draining && !self.keys.values().any(|s| s.holds(entry) || has_drained(s))
    }

    /// Returns the number of pools with a ready upstream, by failure domain. Those of evacuated failure
    /// domains do not count.
    pub fn coverage(&self) -> FastMap<SmolStr, usize> {
        let evacuated = self.evacuated();
        let ready = self.usable().filter(|(entry, availability)| {
            *availability == Availability::Ready && !evacuated.contains(&entry.domain)
        });
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

    /// Returns what a node at `after` lacks: the changes since then, or all entries if it is in
    /// another era or not all removals are known. The flag tells whether they are all entries.
    pub fn update_since(&self, after: Position) -> (Vec<Event>, bool) {
        let is_same_era = after.era == self.era && after.revision > Revision::default();
        match self.changes_since(after.revision).filter(|_| is_same_era) {
            Some(events) => (events, false),
            None => (self.entries(), true),
        }
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
        let is_tombstone = |s: &KeyState| {
            s.change == Change::Removed && s.retained.is_none() && s.evacuation.is_none()
        };
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
