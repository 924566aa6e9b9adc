//! Bounds the bytes of bodies that a node holds.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that may be held, and those that are.
#[derive(Debug, Clone)]
pub struct Memory {
    limit: usize,
    held: Arc<AtomicUsize>,
}

impl Memory {
    /// Room for `limit` bytes.
    pub fn new(limit: usize) -> Memory {
        Memory { limit, held: Arc::default() }
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Takes `bytes`; `None` if there is no room.
    pub fn take(&self, bytes: usize) -> Option<Held> {
        let mut held = Held { memory: self.clone(), bytes: 0 };
        held.grow(bytes).then_some(held)
    }
}

/// Bytes taken, given back when dropped.
#[derive(Debug)]
pub struct Held {
    memory: Memory,
    bytes: usize,
}

impl Held {
    /// Takes `more` bytes. Returns `false`, and takes none, if there is no room.
    pub fn grow(&mut self, more: usize) -> bool {
        let Memory { limit, held } = &self.memory;
        let before = held.fetch_add(more, Ordering::Relaxed);
        if more > 0 && before.saturating_add(more) > *limit {
            held.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes += more;
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
