//! Rate limit for log lines, per kind of line. Counts the lines it suppresses.
//!
//! Each kind has a limit of its own, so that lines on successes do not crowd out lines on
//! failures. Writing never blocks: the program's writer drops lines when it falls behind, and
//! counts them.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Kind of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogKind {
    /// A request with a complete answer.
    Answered,
    /// A request with a partial answer.
    Partial,
    /// A request that ended without an answer.
    Failed,
    /// A request that was refused before any attempt was sent.
    Refused,
    /// An attempt without a usable reply.
    Attempt,
    /// A second attempt.
    SecondAttempt,
    /// A change in the node's view of upstreams or routes.
    RoutingState,
    /// A change in the node's view of its peers.
    Peer,
    /// A step from a lost connection to a crash report.
    Crash,
    /// A request that is put into the crash quarantine.
    Quarantine,
    /// A connection whose other end reads too slowly.
    SlowReader,
}

/// Values of the log field `kind`, in the order of the variants.
const KINDS: [(LogKind, &str); 11] = [
    (LogKind::Answered, "answered"),
    (LogKind::Partial, "partial"),
    (LogKind::Failed, "failed"),
    (LogKind::Refused, "refused"),
    (LogKind::Attempt, "attempt"),
    (LogKind::SecondAttempt, "second"),
    (LogKind::RoutingState, "belief"),
    (LogKind::Peer, "peer"),
    (LogKind::Crash, "crash"),
    (LogKind::Quarantine, "quarantine"),
    (LogKind::SlowReader, "reader"),
];
/// Period to which the rate applies.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    written: u32,
    suppressed: u32,
}

#[derive(Debug)]
struct State {
    window_start: Instant,
    counts: [Count; KINDS.len()],
}

/// Rate limiter with fixed windows of one second.
#[derive(Debug)]
pub struct LogLimiter {
    rate: u32,
    state: Mutex<State>,
}

impl LogLimiter {
    /// Creates a limiter that allows `rate` lines of each kind a second.
    pub fn new(rate: u32, now: Instant) -> LogLimiter {
        let state = State { window_start: now, counts: Default::default() };
        LogLimiter { rate, state: Mutex::new(state) }
    }

    /// Returns whether a line of `kind` may be written now. Counts the line as written or
    /// suppressed.
    pub fn allows(&self, now: Instant, kind: LogKind) -> bool {
        let mut state = self.state.lock();
        state.end_window(now);
        let count = &mut state.counts[kind as usize];
        let allowed = count.written < self.rate;
        match allowed {
            true => count.written += 1,
            false => count.suppressed += 1,
        }
        allowed
    }

    /// Logs the counts of the current window if it has ended. To be called several times a second,
    /// as no further line may come.
    pub fn end_window(&self, now: Instant) {
        self.state.lock().end_window(now);
    }

    /// Logs the counts of the current window, as the process stops.
    pub fn finish(&self) {
        report_suppressed(&std::mem::take(&mut self.state.lock().counts));
    }
}

impl State {
    /// Starts a new window if the current one has ended, and logs the lines that it suppressed.
    fn end_window(&mut self, now: Instant) {
        if now.saturating_duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            report_suppressed(&std::mem::take(&mut self.counts));
        }
    }
}

fn report_suppressed(counts: &[Count; KINDS.len()]) {
    for ((_, name), count) in KINDS.iter().zip(counts) {
        if count.suppressed > 0 {
            tracing::warn!(
                kind = name,
                left_out = count.suppressed,
                "log lines left out in the second before"
            );
        }
    }
}
