//! Bounds how many log lines of one kind are written a second, and counts the others.
//!
//! Each kind has a bound of its own, so that lines on failures are not crowded out by lines on
//! successes. Writing never waits: the program's writer drops lines rather than block, and
//! counts them.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// What a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogKind {
    /// A request that was answered whole.
    Answered,
    /// A request that was answered in part.
    Partial,
    /// A request that ended without an answer.
    Failed,
    /// A request that was refused before anything was sent.
    Refused,
    /// An attempt that did not bring a reply.
    Attempt,
    /// A second attempt.
    SecondAttempt,
    /// A change of what the node believes of upstreams and routes.
    RoutingState,
    /// A change of what it believes of other nodes.
    Peer,
}

const KINDS: [(LogKind, &str); 8] = [
    (LogKind::Answered, "answered"),
    (LogKind::Partial, "partial"),
    (LogKind::Failed, "failed"),
    (LogKind::Refused, "refused"),
    (LogKind::Attempt, "attempt"),
    (LogKind::SecondAttempt, "second"),
    (LogKind::RoutingState, "belief"),
    (LogKind::Peer, "peer"),
];
/// Time that a bound holds for.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    written: u32,
    left_out: u32,
}

#[derive(Debug)]
struct State {
    began: Instant,
    counts: [Count; KINDS.len()],
}

/// Lines of this second.
#[derive(Debug)]
pub struct LogLimiter {
    rate: u32,
    state: Mutex<State>,
}

impl LogLimiter {
    /// At most `rate` lines of each kind a second.
    pub fn new(rate: u32, now: Instant) -> LogLimiter {
        let state = State { began: now, counts: Default::default() };
        LogLimiter { rate, state: Mutex::new(state) }
    }

    /// Whether a line of `kind` may be written now; otherwise it is counted.
    pub fn allows(&self, now: Instant, kind: LogKind) -> bool {
        let mut state = self.state.lock();
        if now.saturating_duration_since(state.began) >= WINDOW {
            let counts = std::mem::take(&mut state.counts);
            state.began = now;
            report(&counts);
        }
        let count = &mut state.counts[kind as usize];
        let allowed = count.written < self.rate;
        match allowed {
            true => count.written += 1,
            false => count.left_out += 1,
        }
        allowed
    }

    /// Lines left out in this second so far.
    pub fn suppressed_lines(&self) -> u32 {
        self.state.lock().counts.iter().map(|c| c.left_out).sum()
    }
}

fn report(counts: &[Count; KINDS.len()]) {
    for ((_, name), count) in KINDS.iter().zip(counts) {
        if count.left_out > 0 {
            let left_out = count.left_out;
            tracing::warn!(kind = name, left_out, "log lines left out in the second before");
        }
    }
}
