//! Bounds the memory that bodies of requests and replies take up in a node.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A limit on reserved bytes, shared by all clones.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget { limit, reserved: Arc::default() }
    }

    /// Returns the number of bytes reserved at present.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reserves `bytes`; returns `None` if they exceed the budget.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation { budget: self.clone(), bytes: 0 };
        reservation.try_grow(bytes).then_some(reservation)
    }
}

/// Reserved bytes, released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Reserves `more` bytes. Returns `false` and reserves none if they exceed the budget;
    /// growing by zero always succeeds.
    pub fn try_grow(&mut self, more: usize) -> bool {
        self.try_grow_within(more, 1.0)
    }

    /// Like [`Reservation::try_grow`], within the `share` of the budget, from 0 to 1.
    pub fn try_grow_within(&mut self, more: usize, share: f64) -> bool {
        let MemoryBudget { limit, reserved } = &self.budget;
        let limit = (*limit as f64 * share) as usize;
        let before = reserved.fetch_add(more, Ordering::Relaxed);
        if more > 0 && before.saturating_add(more) > limit {
            reserved.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
