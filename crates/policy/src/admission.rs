//! Admission of requests at a root.

use std::time::{Duration, Instant};

use crate::{limit::AdaptiveLimit, outcome::Reason};

/// Share of all places that classes which do not go first may hold.
const LOWER_SHARE: f64 = 0.8;
const LOWER_FLOOR: u32 = 2;
/// Time for a smaller limit to show in answers.
const SHRINK_PERIOD: Duration = Duration::from_millis(100);

/// A place held by an admitted request.
#[derive(Debug)]
pub struct Permit {
    rank: u8,
}

/// Limit on the requests of a root, with places kept for the classes that go first.
#[derive(Debug)]
pub struct AdmissionController {
    limit: usize,
    inside: usize,
    lower: usize,
    lower_limit: AdaptiveLimit,
    shrunk: Option<Instant>,
}

impl AdmissionController {
    /// Gate for `limit` requests at a time.
    pub fn new(limit: usize) -> AdmissionController {
        let ceiling = (limit as f64 * LOWER_SHARE) as u32;
        let lower_limit = AdaptiveLimit::new(LOWER_FLOOR, ceiling.max(1));
        AdmissionController { limit, inside: 0, lower: 0, lower_limit, shrunk: None }
    }

    /// Requests inside.
    pub fn admitted(&self) -> usize {
        self.inside
    }

    /// Limit on requests of classes that do not go first.
    pub fn lower_limit(&self) -> usize {
        self.lower_limit.value()
    }

    /// Admits a request of `rank`, if there is a place.
    pub fn try_admit(&mut self, rank: u8) -> Option<Permit> {
        if self.inside >= self.limit || (rank > 0 && self.lower >= self.lower_limit.value()) {
            return None;
        }
        self.inside += 1;
        self.lower += usize::from(rank > 0);
        Some(Permit { rank })
    }

    /// Gives a place back; `reason` is why the answer lacks something, if it does.
    pub fn release(&mut self, now: Instant, pass: Permit, reason: Option<Reason>) {
        let Permit { rank } = pass;
        self.inside -= 1;
        if rank == 0 {
            return;
        }
        match reason {
            Some(Reason::Overload | Reason::Deadline | Reason::Coverage) => self.shrink(now),
            Some(_) => {}
            None => self.lower_limit.grow(self.lower),
        }
        self.lower -= 1;
    }

    fn shrink(&mut self, now: Instant) {
        if self.shrunk.is_none_or(|at| at + SHRINK_PERIOD <= now) {
            self.shrunk = Some(now);
            self.lower_limit.shrink_from(self.lower);
        }
    }
}
