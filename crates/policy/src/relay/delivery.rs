//! Whether the other end of a connection still receives what was written to it.
//!
//! An end that has gone and one without room, whose process reads slowly, look alike to a bound on the
//! time until bytes are acknowledged. But the second one acknowledges the system's probes.

use std::time::{Duration, Instant};

/// Time for which an end may owe an acknowledgement.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// Time from the last write to the first check. Most bytes are acknowledged long before.
const FIRST_CHECK: Duration = Duration::from_millis(1_000);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between checks that find nothing outstanding. It differs from [`CHECK_INTERVAL`], so that an end
/// that reads at that interval is seen to lack room.
const SETTLED_INTERVAL: Duration = Duration::from_millis(300);
/// Checks that must find nothing outstanding: between two reads of a slow reader, one may find nothing.
const SETTLED_CHECKS: u32 = 2;
/// Longest time between two checks that count together. After a longer one the VM was suspended, and
/// the other end has not been asked since.
const MAX_CHECK_GAP: Duration = Duration::from_millis(1_500);

/// What the system tells of the bytes written to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Whether bytes or a probe have been sent that the other end has not acknowledged.
    pub is_unacknowledged: bool,
    /// Time since bytes were last sent, if more of them wait for room at the other end.
    pub stalled_for: Option<Duration>,
    /// Time since the last acknowledgement.
    pub acknowledged_ago: Duration,
}

/// What follows from a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The other end has everything.
    Delivered,
    /// Bytes are outstanding, and the other end may be alive.
    Outstanding,
    /// The other end has owed an acknowledgement for [`SILENCE_LIMIT`].
    Silent,
}

/// Delivery of the bytes written to one connection.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Time of the last write, until everything is delivered.
    written_at: Option<Instant>,
    /// Time of the last check, and whether it found unacknowledged bytes.
    checked: Option<(Instant, bool)>,
    /// Checks in a row that found nothing outstanding.
    settled_checks: u32,
    stalled_since: Option<Instant>,
}

impl Delivery {
    /// Creates the delivery of a connection to which nothing has been written.
    pub fn new() -> Delivery {
        Delivery::default()
    }

    /// Records that bytes were written at `now`.
    pub fn record_write(&mut self, now: Instant) {
        *self = Delivery { written_at: Some(now), ..Delivery::default() };
    }

    /// Returns when the system is to be asked next; `None` if everything is delivered.
    pub fn next_check(&self) -> Option<Instant> {
        let written_at = self.written_at?;
        let interval = if self.settled_checks > 0 { SETTLED_INTERVAL } else { CHECK_INTERVAL };
        Some(self.checked.map_or(written_at + FIRST_CHECK, |(at, _)| at + interval))
    }

    /// Returns since when the other end has taken nothing for lack of room, as of the last check.
    pub fn stalled_since(&self) -> Option<Instant> {
        self.stalled_since
    }

    /// Judges `sample`, taken at `now`.
    pub fn observe(&mut self, now: Instant, sample: Sample) -> Verdict {
        let Some(written_at) = self.written_at else { return Verdict::Delivered };
        let Sample { is_unacknowledged, stalled_for, acknowledged_ago } = sample;
        let before = self.checked.replace((now, is_unacknowledged));
        self.stalled_since = stalled_for.and_then(|time| now.checked_sub(time));
        if !is_unacknowledged && stalled_for.is_none() {
            self.settled_checks += 1;
            if self.settled_checks < SETTLED_CHECKS {
                return Verdict::Outstanding;
            }
            *self = Delivery::new();
            return Verdict::Delivered;
        }
        self.settled_checks = 0;
        // A probe is sent at long intervals and may just have left: one that was unacknowledged at the
        // last check already has had time.
        let is_owed = before.is_some_and(|(at, was_unacknowledged)| {
            let gap = now.saturating_duration_since(at);
            was_unacknowledged && gap <= MAX_CHECK_GAP && acknowledged_ago >= gap
        });
        let age = now.saturating_duration_since(written_at).min(acknowledged_ago);
        match is_unacknowledged && is_owed && age >= SILENCE_LIMIT {
            true => Verdict::Silent,
            false => Verdict::Outstanding,
        }
    }
}
