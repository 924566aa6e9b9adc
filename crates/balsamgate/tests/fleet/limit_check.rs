//! Checks the requests that an upstream got against the limits that it stated.

use std::time::{Duration, Instant};

/// Window of the bound, and time from the first statement of a limit until it holds.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);
/// Time after which a node has taken note of a limit that it has been told.
const NOTE_TIME: Duration = Duration::from_millis(500);

/// A request that arrived at an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    /// Limit that the upstream stated then.
    pub(crate) limit: Option<f64>,
    /// Node that it came from.
    pub(crate) node: Option<usize>,
    /// Whether a fault of the node or the link excuses it.
    pub(crate) is_excused: bool,
}

/// Checks that within any [`WINDOW`], from one window after a limit was first stated, at most one
/// and a half times the limit arrived, and 5 requests, from nodes that had been told. A limit that
/// has changed counts as the highest one of the window and the second before.
pub(crate) fn check(arrivals: &[Arrival]) -> Result<(), String> {
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_by_key(|a| a.at);
    arrivals.chunk_by(|a, b| a.limit.is_some() == b.limit.is_some()).try_for_each(check_period)
}

/// Checks the arrivals of a time in which the upstream always stated a limit, or never.
fn check_period(arrivals: &[Arrival]) -> Result<(), String> {
    let Some(first) = arrivals.first().filter(|a| a.limit.is_some()) else { return Ok(()) };
    let is_told = |arrival: &Arrival| {
        let mut earlier = arrivals.iter().filter(|a| a.at + NOTE_TIME < arrival.at);
        earlier.any(|a| a.node == arrival.node)
    };
    let told: Vec<&Arrival> = arrivals.iter().filter(|a| !a.is_excused && is_told(a)).collect();
    for start in told.iter().filter(|a| a.at >= first.at + WINDOW) {
        let count = told.iter().filter(|a| a.at >= start.at && a.at < start.at + WINDOW).count();
        let relevant = arrivals
            .iter()
            .filter(|a| a.at + Duration::from_secs(1) >= start.at && a.at < start.at + WINDOW);
        let limit = relevant.filter_map(|a| a.limit).fold(0.0, f64::max);
        let bound = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        if count as f64 > bound {
            return Err(format!("{count} requests within {WINDOW:?} under a limit of {limit}"));
        }
    }
    Ok(())
}
