//! What upstreams and callers saw, for checks that do not rely on the product's own word.

use std::sync::Arc;

use base::{
    id,
    keyspace::Set,
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
        covered: Set,
    },
    /// The upstream crashed while it ran a sub-request.
    Crashed {
        /// The upstream.
        upstream: id::Upstream,
        /// The request.
        body: SmolStr,
    },
}

/// Events in the order in which they happened.
#[derive(Debug, Clone, Default)]
pub struct Log {
    events: Arc<Mutex<Vec<Event>>>,
}

impl Log {
    /// An empty log.
    pub fn new() -> Log {
        Log::default()
    }

    /// Adds an event.
    pub fn record(&self, event: Event) {
        self.events.lock().push(event);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().clone()
    }
}
