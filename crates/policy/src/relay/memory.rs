//! Which ends of connections are cut off because they read too slowly.
//!
//! What a node has for a caller or an upstream stays in memory until the other end has read it. A
//! caller has no use for an answer after its deadline, except while it is reading it. So a caller
//! that does not read is cut off a short time after its deadline, and each byte that it has read
//! by then puts this off by the time that a slow reader needs for it. When memory is short, readers
//! are cut off earlier, the slowest first.

use std::time::{Duration, Instant};

/// Time after its deadline that a caller has without reading: covers a caller whose process was
/// suspended for a moment, and the time that its request took to arrive.
const SPARE_TIME: Duration = Duration::from_millis(1_000);
/// Bytes per second of the slowest caller that is served to the end: 128 kbit/s.
const MIN_READ_RATE: f64 = 16_384.0;
/// Time without memory pressure for each message: a reader cannot be judged by less, as it may have
/// been busy for some tens of milliseconds.
const MIN_AGE: Duration = Duration::from_millis(50);
/// Bytes per second above which a reader is never cut off: it releases what it holds soon.
const FAST_READ_RATE: f64 = 1_048_576.0;

/// Size up to which a reply may use all of the memory for bodies.
const ORDINARY_REPLY_BYTES: usize = 64 << 10;
/// Share of the memory for bodies that other replies use at most, from 0 to 1: leaves room for ordinary
/// ones.
const LARGE_REPLY_SHARE: f64 = 0.5;

/// The room that a reply may take up while it is received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Share of the memory for bodies that may be in use, from 0 to 1.
    pub share: f64,
    /// Whether slow readers are cut off if that is not enough.
    pub may_cut_readers: bool,
}

impl Allowance {
    /// Returns the allowance of a reply of `bytes` so far. `unstated` is the number of replies that are
    /// being received without a stated length, if it is one of them, and `limit` the memory for bodies.
    ///
    /// A reply without a stated length may have no end: beyond an equal part of the share of large
    /// replies, no reader is cut off for it.
    pub fn new(bytes: usize, unstated: Option<usize>, limit: usize) -> Allowance {
        let equal_part =
            |replies: usize| (limit as f64 * LARGE_REPLY_SHARE) as usize / replies.max(1);
        if unstated.is_some_and(|replies| bytes > ORDINARY_REPLY_BYTES.min(equal_part(replies))) {
            return Allowance { share: LARGE_REPLY_SHARE, may_cut_readers: false };
        }
        let share = if bytes > ORDINARY_REPLY_BYTES { LARGE_REPLY_SHARE } else { 1.0 };
        Allowance { share, may_cut_readers: true }
    }
}

/// A message that is being written to one end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// When the message was ready to be written.
    pub started_at: Instant,
    /// Time after which the other end has no use for it.
    pub deadline: Instant,
    /// Bytes that it holds in memory until it is written.
    pub held: usize,
    /// Bytes written so far.
    pub written: usize,
    /// Bytes written that the other end may not have read: the size of the socket's buffer.
    pub buffered: usize,
    /// Whether the connection is being cut off.
    pub is_cut: bool,
}

impl Transfer {
    /// Returns the bytes that the other end has read, as far as is known.
    fn read(&self) -> usize {
        self.written.saturating_sub(self.buffered)
    }

    /// Returns when the caller is cut off if it reads nothing more.
    pub fn due(&self) -> Instant {
        let reading = Duration::from_secs_f64(self.read() as f64 / MIN_READ_RATE);
        self.deadline.max(self.started_at) + SPARE_TIME + reading
    }

    /// Returns the bytes per second that the other end has read; `None` if it is too early to tell.
    fn read_rate(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.started_at);
        (age >= MIN_AGE).then(|| self.read() as f64 / age.as_secs_f64())
    }
}

/// Returns which of `transfers` to cut off so that `bytes` become free, the slowest first, and those
/// that have waited longest among equals. Counts what is being cut off already. Returns fewer if
/// there are not enough slow ones.
pub fn slowest<K: Copy>(now: Instant, transfers: &[(K, Transfer)], bytes: usize) -> Vec<K> {
    let mut free: usize = transfers.iter().filter(|(_, t)| t.is_cut).map(|(_, t)| t.held).sum();
    let rated = transfers.iter().filter(|(_, t)| !t.is_cut && t.held > 0);
    let mut rated: Vec<(f64, &(K, Transfer))> = rated
        .filter_map(|item| Some((item.1.read_rate(now)?, item)))
        .filter(|(rate, _)| *rate < FAST_READ_RATE)
        .collect();
    rated.sort_by(|(a, (_, s)), (b, (_, t))| {
        a.total_cmp(b).then_with(|| s.started_at.cmp(&t.started_at))
    });
    let mut cut = Vec::new();
    for (_, (key, transfer)) in rated {
        if free >= bytes {
            break;
        }
        free += transfer.held;
        cut.push(*key);
    }
    cut
}
