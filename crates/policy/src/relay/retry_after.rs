//! When a caller whose request failed should come back.
//!
//! Load answered: many callers whose requests fail in the same moment. Those that a few
//! upstreams failed come back at once, while an answer can still be in time: another attempt
//! meets other upstreams, and a new request draws a new number for its admission. Those that
//! nobody can serve stay away until that may have changed. No two are told the same time.

use std::time::Duration;

use super::crash_quarantine;
use crate::outcome::Reason;

/// Where another attempt may succeed right away: a fraction of the shortest goals, so that the
/// answer to it can be in time.
const SOON: Duration = Duration::from_millis(30);
/// Where this node serves as many requests as it may: about the time that one takes.
pub const BUSY_DELAY: Duration = Duration::from_millis(100);
/// Where this node has just started and reads its configuration: a few calls to the platform.
const STARTING: Duration = Duration::from_millis(300);
/// Where no upstream can be reached: the time in which lost upstreams are replaced.
const OUTAGE: Duration = Duration::from_millis(1_000);

/// Typical time after which to come back from a failure for `reason`.
pub fn delay(reason: Reason) -> Duration {
    match reason {
        Reason::Unreachable | Reason::Draining => OUTAGE,
        Reason::Quarantined => crash_quarantine::REPORT_TTL,
        Reason::NotReady => STARTING,
        _ => SOON,
    }
}

/// A time from half of `typical` to three halves of it, by `chance` from 0 to 1.
pub fn jittered(typical: Duration, chance: f64) -> Duration {
    typical.mul_f64(0.5 + chance)
}
