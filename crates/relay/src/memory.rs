//! Bounds the bytes of bodies that a node holds.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that may be held, and those that are.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: usize,
    held: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Room for `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget { limit, held: Arc::default() }
    }

    /// Bytes held now.
    pub fn reserved_bytes(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Takes `bytes`; `None` if there is no room.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut held = Reservation { memory: self.clone(), bytes: 0 };
        held.try_grow(bytes).then_some(held)
    }
}

/// Bytes taken, given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Takes `more` bytes. Returns `false`, and takes none, if there is no room.
    pub fn try_grow(&mut self, more: usize) -> bool {
        let MemoryBudget { limit, held } = &self.memory;
        let before = held.fetch_add(more, Ordering::Relaxed);
        if more > 0 && before.saturating_add(more) > *limit {
            held.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
