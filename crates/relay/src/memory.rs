//! Bounds the memory that bodies of requests and replies take up in a node.
//!
//! A body stays reserved until the last copy of it is dropped: also while it waits in a connection
//! for the other end to read it. If the budget is in use, the slowest readers are cut off.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use base::hash::FastMap;
use bytes::Bytes;
use parking_lot::Mutex;
use policy::relay::memory::{self, Allowance};
use tokio::sync::Notify;

use crate::stream::Flow;

/// Longest wait for what slow readers hold.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which slow readers are judged again during that wait.
const RECHECK_INTERVAL: Duration = Duration::from_millis(15);

/// A limit on reserved bytes, shared by all clones.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: usize,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    reserved: AtomicUsize,
    /// Replies without a stated length that are being received.
    unstated_replies: AtomicUsize,
    /// Signals that bytes were released.
    released: Notify,
    /// Connections whose other end has to read before more can be written, by number.
    blocked: Mutex<FastMap<u64, Arc<Flow>>>,
}

impl Shared {
    /// Cuts off the slowest readers that together hold `bytes`. Returns whether a reader holds any.
    fn cut_slowest(&self, now: Instant, bytes: usize) -> bool {
        let blocked = self.blocked.lock();
        let transfers: Vec<_> = blocked.iter().map(|(n, flow)| (*n, flow.transfer())).collect();
        let cut = memory::slowest(now, &transfers, bytes);
        cut.iter().filter_map(|n| blocked.get(n)).for_each(|flow| flow.cut());
        transfers.iter().any(|(_, t)| t.held > 0)
    }
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget { limit, shared: Arc::default() }
    }

    /// Returns the number of bytes reserved at present.
    pub fn reserved_bytes(&self) -> usize {
        self.shared.reserved.load(Ordering::Relaxed)
    }

    /// Reserves `bytes`; returns `None` if they exceed the budget.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.empty();
        reservation.try_grow(bytes).then_some(reservation)
    }

    /// Reserves `bytes`. If they exceed the budget at the time `now`, cuts off slow readers and waits
    /// for what they hold; returns `None` if that does not suffice.
    pub async fn reserve(&self, now: Instant, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.empty();
        reservation.grow_within(now, bytes, 1.0).await.then_some(reservation)
    }

    /// Begins to receive a reply, which may have stated its length.
    pub fn receive(&self, has_stated_length: bool) -> ReplyReservation {
        if !has_stated_length {
            self.shared.unstated_replies.fetch_add(1, Ordering::Relaxed);
        }
        ReplyReservation { reservation: self.empty(), has_stated_length }
    }

    /// Returns a reservation of no bytes.
    pub fn empty(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns the number of connections whose other end has to read before more can be written.
    pub fn blocked_connections(&self) -> usize {
        self.shared.blocked.lock().len()
    }

    /// Records that the other end of `flow` has to read before more can be written.
    pub(crate) fn block(&self, flow: &Arc<Flow>) {
        self.shared.blocked.lock().entry(flow.number()).or_insert_with(|| flow.clone());
    }

    /// Records that more can be written on `flow`, or that its connection has ended.
    pub(crate) fn unblock(&self, flow: &Flow) {
        self.shared.blocked.lock().remove(&flow.number());
    }

    fn release(&self, bytes: usize) {
        self.shared.reserved.fetch_sub(bytes, Ordering::Relaxed);
        if bytes > 0 {
            self.shared.released.notify_waiters();
        }
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
        let MemoryBudget { limit, shared } = &self.budget;
        let limit = (*limit as f64 * share) as usize;
        let before = shared.reserved.fetch_add(more, Ordering::Relaxed);
        if more > 0 && before.saturating_add(more) > limit {
            shared.reserved.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes += more;
        true
    }

    /// Like [`Reservation::try_grow_within`]. If the bytes exceed the budget at the time `now`, cuts
    /// off slow readers and waits for what they hold.
    pub async fn grow_within(&mut self, now: Instant, more: usize, share: f64) -> bool {
        if self.try_grow_within(more, share) {
            return true;
        }
        let MemoryBudget { limit, shared } = self.budget.clone();
        let limit = (limit as f64 * share) as usize;
        if more > limit {
            return false;
        }
        let start = tokio::time::Instant::now();
        while start.elapsed() < RELEASE_TIMEOUT {
            let mut released = std::pin::pin!(shared.released.notified());
            released.as_mut().enable();
            if self.try_grow_within(more, share) {
                return true;
            }
            let reserved = shared.reserved.load(Ordering::Relaxed);
            let missing = reserved.saturating_add(more).saturating_sub(limit);
            if !shared.cut_slowest(now + start.elapsed(), missing) {
                return false;
            }
            // Readers that are too new to be judged are judged again after a moment.
            let _ = tokio::time::timeout(RECHECK_INTERVAL, released).await;
        }
        self.try_grow_within(more, share)
    }

    /// Adds the bytes of `other`.
    pub fn merge(&mut self, mut other: Reservation) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.budget.release(excess);
    }

    /// Returns `body` with the reservation attached: it lasts until the last clone or part of the
    /// returned bytes is dropped.
    pub fn hold(self, body: Bytes) -> Bytes {
        match self.bytes {
            0 => body,
            _ => Bytes::from_owner(HeldBody { body, _reservation: self }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// Room for a reply that is being received.
#[derive(Debug)]
pub struct ReplyReservation {
    reservation: Reservation,
    has_stated_length: bool,
}

impl ReplyReservation {
    /// Reserves `more` bytes at the time `now`, as far as [`Allowance`] permits. Returns whether there is
    /// room for them.
    pub async fn grow(&mut self, now: Instant, more: usize) -> bool {
        let MemoryBudget { limit, shared } = &self.reservation.budget;
        let replies = shared.unstated_replies.load(Ordering::Relaxed);
        let unstated = (!self.has_stated_length).then_some(replies);
        let allowance = Allowance::new(self.reservation.bytes + more, unstated, *limit);
        match allowance.may_cut_readers {
            true => self.reservation.grow_within(now, more, allowance.share).await,
            false => self.reservation.try_grow_within(more, allowance.share),
        }
    }

    /// Returns the reservation of the whole reply.
    pub fn received(mut self) -> Reservation {
        let empty = self.reservation.budget.empty();
        std::mem::replace(&mut self.reservation, empty)
    }
}

impl Drop for ReplyReservation {
    fn drop(&mut self) {
        if !self.has_stated_length {
            let shared = &self.reservation.budget.shared;
            shared.unstated_replies.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A body with its reservation.
struct HeldBody {
    body: Bytes,
    _reservation: Reservation,
}

impl fmt::Debug for HeldBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeldBody").field("bytes", &self.body.len()).finish_non_exhaustive()
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
