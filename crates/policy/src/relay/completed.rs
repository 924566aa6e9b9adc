//! Requests that upstreams have run lately without a crash.
//!
//! When many upstreams are lost at once, every request that was running looks like their cause.
//! One that comes often was among them by its frequency: several arrivals of it then count as one,
//! see [`super::crash_suspects::Arrival::of_proven`].

use std::time::{Duration, Instant};

use base::hash::SeededMap;

/// Time for which a completed request is remembered at least, and twice that at most: longer than
/// popular requests are apart at one node.
const GENERATION_TIME: Duration = Duration::from_secs(300);
/// Largest number of requests in a generation. Beyond it, a generation is shorter.
pub const MAX_GENERATION: usize = 4_096;

/// Fingerprints of requests that were answered in full, in two generations.
#[derive(Debug)]
pub struct CompletedRequests {
    current: SeededMap<u64, ()>,
    previous: SeededMap<u64, ()>,
    began: Instant,
}

impl CompletedRequests {
    /// Creates an empty set.
    pub fn new(now: Instant) -> CompletedRequests {
        let (current, previous) = (SeededMap::default(), SeededMap::default());
        CompletedRequests { current, previous, began: now }
    }

    /// Records that all upstreams that ran a request have replied.
    pub fn record(&mut self, now: Instant, fingerprint: u64) {
        let age = now.saturating_duration_since(self.began);
        if age >= GENERATION_TIME || self.current.len() >= MAX_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            self.began = now;
            if age >= 2 * GENERATION_TIME {
                self.previous.clear();
            }
        }
        self.current.insert(fingerprint, ());
    }

    /// Returns whether the request has completed lately.
    pub fn contains(&self, now: Instant, fingerprint: u64) -> bool {
        let age = now.saturating_duration_since(self.began);
        age < 2 * GENERATION_TIME
            && (self.current.contains_key(&fingerprint) || self.previous.contains_key(&fingerprint))
    }
}
