//! Decides which nodes watch the platform's service, and which rely on their peers.
//!
//! The platform charges for each call and limits the calls of all nodes together. The whole
//! fleet may start at the same moment, and the platform may refuse some nodes or stop answering
//! them.

use std::time::Duration;

/// Number of other nodes below which each node watches the platform, so that no node depends on
/// its peers.
pub const SMALL_FLEET_NODES: usize = 24;
/// Number of nodes in each failure domain that watch the platform in a larger fleet.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Longest wait of one watch call in a small fleet. A watch that has stopped delivering is
/// noticed by heartbeats of peers and by keep-alive probes.
const SMALL_FLEET_WATCH: Duration = Duration::from_secs(10);
/// Longest wait of one watch call in a larger fleet, as a share of the apply deadline: watchers
/// must notice quickly that a watch has stopped delivering.
const WATCH_SHARE: f64 = 0.35;
/// Age of the platform data at which a node that relies on peers calls the platform itself, as a
/// share of the apply deadline. The rest is for the call and for applying its result.
const STALE_SHARE: f64 = 0.75;
/// Largest share by which the stale age and the startup time are shortened at random, so that nodes
/// do not all call at once.
const JITTER_SHARE: f64 = 0.2;
/// Uptime up to which a node that is not a seed relies on its first, cheaper read and on what
/// peers send.
const STARTUP_TIME: Duration = Duration::from_millis(600);
/// Uptime up to which a node relies on peers that have fresh platform data, even if it is a
/// watcher: it does not know the size of the fleet before. Deployments enforce the call limits of
/// a VM from 4 s after its start on.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// State of a node that decides whether it watches the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WatchState {
    /// Whether it knows all registered upstreams, possibly from a read that was some seconds old.
    pub has_registry: bool,
    /// Whether other nodes use it as a seed when they start.
    pub is_seed: bool,
    /// Time since its process started.
    pub uptime: Duration,
    /// Age of the platform data: the time since the newest platform response that the node's data
    /// includes, from its own calls or from peers; `None` without one.
    pub platform_data_age: Option<Duration>,
    /// Whether it is one of the nodes that watch the platform for the others.
    pub is_watcher: bool,
    /// Time within which a published configuration must be in force.
    pub apply_deadline: Duration,
}

/// Returns whether a node relies on peers instead of calling the platform. `chance`, a random
/// number from 0 to 1, shortens the stale age and the startup time.
pub fn relies_on_peers(state: WatchState, chance: f64) -> bool {
    if !state.has_registry {
        return false;
    }
    if !state.is_seed && state.uptime < STARTUP_TIME.mul_f64(1.0 - JITTER_SHARE * chance) {
        return true;
    }
    let stale_age = state.apply_deadline.mul_f64(STALE_SHARE * (1.0 - JITTER_SHARE * chance));
    let is_fresh = state.platform_data_age.is_some_and(|age| age < stale_age);
    is_fresh && (state.uptime < JOIN_TIME || !state.is_watcher)
}

/// Returns the longest wait of one watch call in a fleet with `others` other nodes.
pub fn watch_timeout(others: usize, apply_deadline: Duration) -> Duration {
    if others < SMALL_FLEET_NODES { SMALL_FLEET_WATCH } else { apply_deadline.mul_f64(WATCH_SHARE) }
}

/// Returns whether a node watches the platform for others. `others` is the number of other nodes,
/// `before` the number of nodes in its failure domain that precede it in the common order of all
/// nodes.
pub fn is_watcher(others: usize, before: usize) -> bool {
    others < SMALL_FLEET_NODES || before < WATCHERS_PER_DOMAIN
}
