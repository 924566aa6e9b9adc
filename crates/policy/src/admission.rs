//! Admission of requests at a root.

use crate::{limit::Adaptive, outcome::Reason};

/// Share of all places that classes which do not go first may hold.
const LOWER_SHARE: f64 = 0.8;
const LOWER_FLOOR: u32 = 2;

/// A place held by an admitted request.
#[derive(Debug)]
pub struct Pass {
    rank: u8,
}

/// Limit on the requests of a root, with places kept for the classes that go first.
#[derive(Debug)]
pub struct Gate {
    limit: usize,
    inside: usize,
    lower: usize,
    lower_limit: Adaptive,
}

impl Gate {
    /// Gate for `limit` requests at a time.
    pub fn new(limit: usize) -> Gate {
        let ceiling = (limit as f64 * LOWER_SHARE) as u32;
        Gate { limit, inside: 0, lower: 0, lower_limit: Adaptive::new(LOWER_FLOOR, ceiling.max(1)) }
    }

    /// Requests inside.
    pub fn inside(&self) -> usize {
        self.inside
    }

    /// Limit on requests of classes that do not go first.
    pub fn lower_limit(&self) -> usize {
        self.lower_limit.value()
    }

    /// Admits a request of `rank`, if there is a place.
    pub fn enter(&mut self, rank: u8) -> Option<Pass> {
        if self.inside >= self.limit || (rank > 0 && self.lower >= self.lower_limit.value()) {
            return None;
        }
        self.inside += 1;
        self.lower += usize::from(rank > 0);
        Some(Pass { rank })
    }

    /// Gives a place back; `reason` is why the request was not answered, if it was not.
    pub fn leave(&mut self, pass: Pass, reason: Option<Reason>) {
        self.inside -= 1;
        if pass.rank == 0 {
            return;
        }
        match reason {
            Some(Reason::Overload | Reason::Deadline | Reason::Coverage) => {
                self.lower_limit.shrink();
            }
            Some(_) => {}
            None => self.lower_limit.grow(self.lower),
        }
        self.lower -= 1;
    }
}
