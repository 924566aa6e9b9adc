//! What a node keeps of its knowledge when the platform comes back from an earlier copy of its data.
//!
//! The copy lists processes that have left since, and lacks others that have registered since.
//! What upstreams wrote is written again, but not at once. A node that knows better than the copy
//! passes that on to nodes that start meanwhile.

use std::time::Duration;

use base::unit::Revision;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::registry::Entry;

/// Knowledge that a process drains or has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Start of the process, in milliseconds since the Unix epoch by its own clock.
    pub born_ms: u64,
    /// Whether it has announced that it drains, rather than only lost its entry: it may have been
    /// cut off from the platform and return.
    pub has_drained: bool,
    /// Whether the knowledge is of an era before the current one.
    pub is_carried: bool,
}

impl Departure {
    /// Departure of the process of `entry`, which drains.
    pub fn draining(entry: &Entry) -> Departure {
        Departure { born_ms: entry.born_ms, has_drained: true, is_carried: false }
    }

    /// Departure of the process of `entry`, whose entry was removed.
    pub fn of(entry: &Entry) -> Departure {
        Departure { has_drained: entry.draining, ..Departure::draining(entry) }
    }

    /// Returns the departure of the later process; of the same process, that which tells more.
    pub fn latest(known: Option<Departure>, new: Departure) -> Option<Departure> {
        let rank = |d: &Departure| (d.born_ms, d.has_drained);
        known.into_iter().chain([new]).max_by_key(rank)
    }

    /// Returns the departure as knowledge of an earlier era.
    pub fn carried(self) -> Departure {
        Departure { is_carried: true, ..self }
    }

    /// Returns whether the process of `entry`, or a later one with its id, has departed.
    pub fn includes(&self, entry: &Entry) -> bool {
        entry.born_ms <= self.born_ms
    }

    /// Returns whether the process of `entry` has announced that it drains.
    pub fn has_drained_as(&self, entry: &Entry) -> bool {
        // Without a start time, a later process with the same id cannot be told apart.
        self.has_drained && entry.born_ms > 0 && self.includes(entry)
    }
}

/// What a node believes of a process that the platform's copy lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// What the copy says.
    Listed,
    /// It drains.
    Draining,
    /// It has probably gone. If it has not, the platform still lists it after the time in which
    /// entries that are not renewed lapse.
    Withheld,
}

/// Something that a node knows better than the platform's copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exception {
    /// A process that has departed although the copy lists it as ready.
    Departed {
        /// Key of its entry.
        key: SmolStr,
        /// Revision of the entry that is not believed.
        revision: Revision,
        /// Its departure.
        departure: Departure,
        /// Remaining time for which it is withheld; zero if it drains.
        remaining: Duration,
    },
    /// A process that is in use although the copy does not list it.
    Unlisted {
        /// Key of its entry.
        key: SmolStr,
        /// Revision at which the platform lists another process with the key; 0 if it lists none.
        revision: Revision,
        /// Its entry.
        entry: Entry,
        /// Remaining time for which it is used without being listed.
        remaining: Duration,
    },
    /// An evacuation that holds although the copy does not list it.
    Evacuated {
        /// Key of the order.
        key: SmolStr,
        /// The failure domain.
        domain: SmolStr,
        /// Remaining time for which it holds without being listed.
        remaining: Duration,
    },
}

/// Judges `listed`, an entry of the copy, by what was known before the restore: the key's entry,
/// its departure, and the start of the process known at the same address.
pub fn judge(
    listed: &Entry,
    known: Option<&Entry>,
    departure: Option<Departure>,
    born_at_address: Option<u64>,
) -> Belief {
    if listed.draining {
        return Belief::Listed;
    }
    let same_process = known.filter(|k| k.born_ms == listed.born_ms);
    if same_process.is_some_and(|k| k.draining)
        || departure.is_some_and(|d| d.has_drained_as(listed))
    {
        return Belief::Draining;
    }
    let has_later_process = known.is_some_and(|k| k.born_ms > listed.born_ms)
        || born_at_address.is_some_and(|born| born > listed.born_ms);
    let has_gone = departure.is_some_and(|d| {
        // An entry that was removed and came back before the restore is in use.
        let came_back = same_process.is_some() && d.born_ms == listed.born_ms;
        d.includes(listed) && !came_back
    });
    if has_later_process || has_gone { Belief::Withheld } else { Belief::Listed }
}
