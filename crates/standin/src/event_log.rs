//! What upstreams saw, for checks that do not rely on the product's own word.

use std::sync::Arc;

use base::{
    id,
    keyspace::KeySet,
    unit::{Generation, Version},
};
use parking_lot::Mutex;
use smol_str::SmolStr;

/// One thing that happened at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A sub-request arrived.
    Arrived {
        /// The upstream.
        upstream: id::Upstream,
        /// The request.
        body: SmolStr,
        /// Whether it exceeded the server's slots.
        queued: bool,
    },
    /// A sub-request ran, at least in part.
    Ran {
        /// The upstream.
        upstream: id::Upstream,
        /// The service.
        service: id::Service,
        /// The request.
        body: SmolStr,
        /// Shard map of the data.
        map: Generation,
        /// Index version of the data.
        version: Option<Version>,
        /// The keys that the data covered.
        covered: KeySet,
    },
    /// The upstream crashed while it ran a sub-request.
    Crashed {
        /// The upstream.
        upstream: id::Upstream,
        /// The request.
        body: SmolStr,
    },
}

/// Numbers of events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sub-requests that arrived.
    pub arrived: u64,
    /// Those of them that exceeded the server's slots.
    pub queued: u64,
    /// Sub-requests that ran.
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

/// Events in the order in which they happened.
#[derive(Debug, Clone, Default)]
pub struct EventLog {
    state: Arc<Mutex<State>>,
}

impl EventLog {
    /// An empty log.
    pub fn new() -> EventLog {
        EventLog::default()
    }

    /// From now on only counts events.
    pub fn count_only(&self) {
        self.state.lock().counts_only = true;
    }

    /// Adds an event.
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

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().events.clone()
    }

    /// Numbers of events so far.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }
}
