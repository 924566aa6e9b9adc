//! Log of the events at upstreams, recorded independently of the nodes under test, so that checks
//! need not trust what nodes report.

use std::sync::Arc;

use base::{
    id,
    keyspace::KeySet,
    unit::{Generation, Version},
};
use parking_lot::Mutex;
use smol_str::SmolStr;

/// An event at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A sub-request arrived.
    Arrived {
        /// The upstream.
        upstream: id::Upstream,
        /// Body of the request.
        body: SmolStr,
        /// Whether all slots of the server were occupied.
        queued: bool,
    },
    /// A sub-request started to run.
    Ran {
        /// The upstream.
        upstream: id::Upstream,
        /// The service.
        service: id::Service,
        /// Body of the request.
        body: SmolStr,
        /// Generation of the shard map.
        map: Generation,
        /// Index version of the data.
        version: Option<Version>,
        /// Keys covered by the data.
        covered: KeySet,
    },
    /// The upstream crashed while it ran a sub-request.
    Crashed {
        /// The upstream.
        upstream: id::Upstream,
        /// Body of the request.
        body: SmolStr,
    },
}

/// Event counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sub-requests that arrived.
    pub arrived: u64,
    /// Sub-requests that arrived while all slots of the server were occupied.
    pub queued: u64,
    /// Sub-requests that started to run.
    pub ran: u64,
    /// Crashes.
    pub crashed: u64,
}

#[derive(Debug, Default)]
struct State {
    events: Vec<Event>,
    counts: Counts,
    counts_only: bool,
}

/// Shared log of events in the order of their occurrence.
#[derive(Debug, Clone, Default)]
pub struct EventLog {
    state: Arc<Mutex<State>>,
}

impl EventLog {
    /// Creates an empty log.
    pub fn new() -> EventLog {
        EventLog::default()
    }

    /// Counts further events without storing them, which bounds the memory of long runs.
    pub fn count_only(&self) {
        self.state.lock().counts_only = true;
    }

    /// Records an event.
    pub fn record(&self, event: Event) {
        let mut state = self.state.lock();
        match &event {
            Event::Arrived { queued, .. } => {
                state.counts.arrived += 1;
                state.counts.queued += u64::from(*queued);
            }
            Event::Ran { .. } => state.counts.ran += 1,
            Event::Crashed { .. } => state.counts.crashed += 1,
        }
        if !state.counts_only {
            state.events.push(event);
        }
    }

    /// Returns the events stored so far.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().events.clone()
    }

    /// Returns the counts of all events so far.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }
}
