//! Admission control at a root: limits concurrent requests, with slots reserved for rank 0.

use std::time::{Duration, Instant};

use crate::{limit::AdaptiveLimit, outcome::Reason};

/// Share of all slots that classes of rank 1 and above may occupy.
const LOWER_RANK_SHARE: f64 = 0.8;
/// Lower bound of the limit on classes of rank 1 and above.
const LOWER_RANK_FLOOR: u32 = 2;
/// Minimum time between two reductions, so that a smaller limit can take effect on answers first.
const SHRINK_PERIOD: Duration = Duration::from_millis(100);

/// Slot of an admitted request; returned with [`AdmissionController::release`].
#[derive(Debug)]
pub struct Permit {
    rank: u8,
}

/// Concurrency limit on the requests of a root.
///
/// Rank 0 may use all slots. The other ranks share an adaptive limit below that, which shrinks
/// when their answers show overload, so that slots remain for rank 0.
#[derive(Debug)]
pub struct AdmissionController {
    limit: usize,
    admitted: usize,
    lower_admitted: usize,
    lower_limit: AdaptiveLimit,
    last_shrink: Option<Instant>,
}

impl AdmissionController {
    /// Creates a controller that admits `limit` concurrent requests.
    pub fn new(limit: usize) -> AdmissionController {
        let ceiling = (limit as f64 * LOWER_RANK_SHARE) as u32;
        let lower_limit = AdaptiveLimit::new(LOWER_RANK_FLOOR, ceiling.max(1));
        AdmissionController {
            limit,
            admitted: 0,
            lower_admitted: 0,
            lower_limit,
            last_shrink: None,
        }
    }

    /// Returns the number of admitted requests that have not been released.
    pub fn admitted(&self) -> usize {
        self.admitted
    }

    /// Returns the current limit on requests of rank 1 and above.
    pub fn lower_limit(&self) -> usize {
        self.lower_limit.value()
    }

    /// Admits a request of `rank` if its limit allows; 0 is the highest priority.
    pub fn try_admit(&mut self, rank: u8) -> Option<Permit> {
        if self.admitted >= self.limit
            || (rank > 0 && self.lower_admitted >= self.lower_limit.value())
        {
            return None;
        }
        self.admitted += 1;
        self.lower_admitted += usize::from(rank > 0);
        Some(Permit { rank })
    }

    /// Releases the slot of a request; `reason` says why its answer is incomplete, if it is.
    pub fn release(&mut self, now: Instant, permit: Permit, reason: Option<Reason>) {
        let Permit { rank } = permit;
        self.admitted -= 1;
        if rank == 0 {
            return;
        }
        match reason {
            Some(Reason::Overload | Reason::Deadline | Reason::Coverage) => self.shrink(now),
            Some(_) => {}
            None => self.lower_limit.grow(self.lower_admitted),
        }
        self.lower_admitted -= 1;
    }

    fn shrink(&mut self, now: Instant) {
        if self.last_shrink.is_none_or(|at| at + SHRINK_PERIOD <= now) {
            self.last_shrink = Some(now);
            self.lower_limit.shrink_from(self.lower_admitted);
        }
    }
}
