//! State of one key of the registry.

use std::{sync::Arc, time::Instant};

use base::unit::Revision;
use smol_str::SmolStr;

use super::{Availability, Change, Entry};
use crate::relay::restored::{Departure, Exception};

/// An entry that is used for a time although the platform does not list it.
#[derive(Debug, Clone)]
pub(super) struct Retained {
    pub(super) entry: Arc<Entry>,
    pub(super) until: Instant,
    pub(super) availability: Availability,
}

/// An order that upstreams of a failure domain get no requests.
#[derive(Debug, Clone)]
pub(super) struct Evacuation {
    pub(super) domain: SmolStr,
    /// When it ends without being listed; `None` while the platform lists it.
    pub(super) until: Option<Instant>,
}

impl Evacuation {
    /// Returns the evacuation that `change` lists.
    pub(super) fn listed(change: &Change) -> Option<Evacuation> {
        let Change::Evacuated(domain) = change else { return None };
        Some(Evacuation { domain: domain.clone(), until: None })
    }

    /// Returns the evacuation as one that holds until `until` at most, as it is no longer listed.
    pub(super) fn unlisted(self, until: Instant) -> Evacuation {
        Evacuation { until: self.until.or(Some(until)), ..self }
    }
}

#[derive(Debug)]
pub(super) struct KeyState {
    pub(super) revision: Revision,
    pub(super) change: Change,
    pub(super) entry: Option<Arc<Entry>>,
    /// The last entry of a key that the platform no longer lists.
    pub(super) retained: Option<Retained>,
    /// Until when `entry` is not used, as its process had left before the platform's restore.
    pub(super) withheld_until: Option<Instant>,
    /// Newest process that is known to drain or to have gone.
    pub(super) departure: Option<Departure>,
    pub(super) evacuation: Option<Evacuation>,
}

impl KeyState {
    /// State of a key that the platform does not list in the current era.
    pub(super) fn unlisted(departure: Option<Departure>) -> KeyState {
        KeyState {
            revision: Revision::default(),
            change: Change::Removed,
            entry: None,
            retained: None,
            withheld_until: None,
            departure,
            evacuation: None,
        }
    }

    /// Returns the later of the entry, unless it is withheld, and one that is in use unlisted.
    pub(super) fn trusted_entry(&self) -> Option<&Arc<Entry>> {
        let unlisted = self.retained.as_ref().filter(|r| r.availability == Availability::Ready);
        let entry = self.entry.as_ref().filter(|_| self.withheld_until.is_none());
        entry.into_iter().chain(unlisted.map(|r| &r.entry)).max_by_key(|e| e.born_ms)
    }

    /// Returns whether the process of `entry` is listed or retained under this key.
    pub(super) fn holds(&self, entry: &Entry) -> bool {
        let retained = self.retained.as_ref().map(|r| &r.entry);
        let mut held = self.entry.iter().chain(retained);
        held.any(|e| e.instance == entry.instance && e.born_ms == entry.born_ms)
    }

    /// Removes expired limits. Returns whether there was one.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.retained.take_if(|r| r.until <= now);
        if let Some(Retained { entry, availability: Availability::Ready, .. }) = &expired {
            // It has not been registered again since a restore.
            self.departure = Departure::latest(self.departure, Departure::of(entry).carried());
        }
        let ended = self.evacuation.take_if(|e| e.until.is_some_and(|until| until <= now));
        let withheld = self.withheld_until.take_if(|until| *until <= now);
        withheld.is_some() || expired.is_some() || ended.is_some()
    }

    /// Returns the departure of a process that is listed as ready and believed to drain. The newest
    /// departure may be that of a later process with the same id, which had not drained.
    fn believed_drain(&self) -> Option<Departure> {
        let Change::Put(listed) = &self.change else { return None };
        let drains = self.entry.as_ref().is_some_and(|e| e.draining) && !listed.draining;
        let known = self.departure.filter(|d| d.has_drained_as(listed));
        drains.then(|| known.unwrap_or(Departure::draining(listed)))
    }

    /// Returns what this node believes against the platform's listing.
    pub(super) fn exceptions(
        &self,
        now: Instant,
        key: &SmolStr,
    ) -> impl Iterator<Item = Exception> {
        let revision = self.revision;
        let unlisted = self.retained.as_ref().filter(|r| r.availability == Availability::Ready);
        let unlisted = unlisted.map(|r| Exception::Unlisted {
            key: key.clone(),
            revision,
            entry: Entry::clone(&r.entry),
            remaining: r.until.saturating_duration_since(now),
        });
        let withheld = self.departure.filter(|d| d.is_carried && self.withheld_until.is_some());
        let departure = self.believed_drain().or(withheld);
        let until = self.withheld_until.unwrap_or(now);
        let departed = departure.map(|departure| Exception::Departed {
            key: key.clone(),
            revision,
            departure,
            remaining: until.saturating_duration_since(now),
        });
        let unlisted_order = self.evacuation.as_ref().and_then(|e| Some((e, e.until?)));
        let evacuated = unlisted_order.map(|(evacuation, until)| Exception::Evacuated {
            key: key.clone(),
            domain: evacuation.domain.clone(),
            remaining: until.saturating_duration_since(now),
        });
        departed.into_iter().chain(unlisted).chain(evacuated)
    }
}
