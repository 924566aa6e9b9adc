//! Retry delays that callers get with a failed request.
//!
//! Many callers may fail at the same moment. A caller whose request failed at a few upstreams
//! may retry at once, while an answer can still be in time: the retry is likely to reach other
//! upstreams, and it draws a new random number for its admission. So may a caller whose request
//! another node can serve, as this one is stopping. A caller whose request no
//! upstream can serve waits until that may have changed. Delays are jittered so that callers do
//! not retry together.

use std::time::{Duration, Instant};

use super::crash_quarantine;
use crate::outcome::Reason;

/// Delay if a retry may succeed at once: a fraction of the shortest goals, so that the answer to
/// the retry can be in time.
const SOON_DELAY: Duration = Duration::from_millis(30);
/// Delay if this node has reached its limit of concurrent requests: about the time that one
/// request takes.
pub const BUSY_DELAY: Duration = Duration::from_millis(100);
/// Delay if this node has just started and has no configuration yet: a few calls to the
/// platform.
const STARTUP_DELAY: Duration = Duration::from_millis(300);
/// Delay if this node looks for another one that reaches upstreams: about one round of questions.
pub const SEARCH_DELAY: Duration = Duration::from_millis(250);
/// Delay if no upstream can be reached: the time in which lost upstreams are replaced.
const OUTAGE_DELAY: Duration = Duration::from_millis(1_000);

/// Returns the typical retry delay after a failure for `reason`.
pub fn delay(reason: Reason) -> Duration {
    match reason {
        Reason::Unreachable => OUTAGE_DELAY,
        Reason::Quarantined => crash_quarantine::REPORT_TTL,
        Reason::NotReady => STARTUP_DELAY,
        _ => SOON_DELAY,
    }
}

/// Returns the delay of a caller whose request can be served from `rest_end` on, when upstreams
/// may be asked again, for a random `chance` from 0 to 1: not before, and spread.
pub fn after_rest(now: Instant, rest_end: Instant, chance: f64) -> Duration {
    let rest = rest_end.saturating_duration_since(now);
    rest + SOON_DELAY.max(rest / 2).mul_f64(chance)
}

/// Returns a delay from 0.5 to 1.5 times `typical`, for a random `chance` from 0 to 1.
pub fn jittered(typical: Duration, chance: f64) -> Duration {
    typical.mul_f64(0.5 + chance)
}
