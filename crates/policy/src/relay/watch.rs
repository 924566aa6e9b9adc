//! Decides which nodes watch the platform's service, and which rely on their peers.
//!
//! The platform charges for each call and limits the calls of all nodes together. The whole
//! fleet may start at the same moment, and the platform may refuse some nodes or stop answering
//! them.
//!
//! No node stays without an answer of the platform for long, be it its own or one that a peer
//! announces: from [`stale_age`] on it calls the platform itself, at any size of the fleet. A few
//! nodes with short watches keep the others below that age, so that a calm fleet makes few calls.

use std::time::Duration;

/// Number of other nodes below which each node watches the platform, so that no node depends on
/// its peers.
pub const SMALL_FLEET_NODES: usize = 24;
/// Number of nodes in each failure domain that watch the platform in a larger fleet.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Number of nodes in each failure domain of a small fleet that notice early if the platform does
/// not answer.
pub const SMALL_FLEET_WATCHERS_PER_DOMAIN: usize = 1;
/// Longest wait of one watch call of a node that need not notice silence early: in a small fleet,
/// nodes beside those that watch for others learn from these that the platform still answers.
const LONG_WATCH: Duration = Duration::from_secs(10);
/// Longest wait of one watch call of the other nodes, as a share of the update deadline.
const WATCH_SHARE: f64 = 0.35;
/// Age of the platform data at which a node calls the platform itself and gives up a watch that
/// is still open, as a share of the update deadline. The rest is for the call and for applying its
/// result.
const STALE_SHARE: f64 = 0.75;
/// Largest share by which the stale age and the startup time are shortened at random, so that nodes
/// do not all call at once.
const JITTER_SHARE: f64 = 0.2;
/// Delay after the first failed call; doubles with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the delay after failed calls, before jitter. Registry entries that expired while
/// the platform was down are back within 2 s of its return.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of the same delay as a share of the update deadline.
const MAX_RETRY_SHARE: f64 = 0.34;
/// Largest share by which a delay is shortened or extended at random.
const RETRY_JITTER_SHARE: f64 = 0.25;
/// Uptime up to which a node that is not a seed relies on its first, cheaper read and on what
/// peers send.
const STARTUP_TIME: Duration = Duration::from_millis(600);
/// Uptime up to which a node relies on peers that have fresh platform data, even if it is a
/// watcher: it does not know the size of the fleet before. Deployments enforce the call limits of
/// a VM from 4 s after its start on.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// Pause after a watch that returned changes. It batches changes: each call has its price, and
/// upstreams of a starting fleet register one by one. It must stay well under the time within which
/// a configuration is to be in force.
const BATCH_PAUSE: Duration = Duration::from_millis(700);
/// The same while a pool of the configuration has no upstream, so that its requests are refused.
const SHORT_BATCH_PAUSE: Duration = Duration::from_millis(150);
/// Time limit of the first read of a node that knows nothing: it cannot serve anybody, and the call may
/// have gone to a platform that has just come back and never answers it.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Factor by which the limit grows with each failure, as the platform may be slow.
const FIRST_READ_GROWTH: f64 = 1.5;

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
    /// Time within which the node must act on a change that the platform has acknowledged.
    pub update_deadline: Duration,
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
    let is_fresh =
        state.platform_data_age.is_some_and(|age| age < stale_age(state.update_deadline, chance));
    is_fresh && (state.uptime < JOIN_TIME || !state.is_watcher)
}

/// Returns the age of the platform data from which a node calls the platform itself. An open watch
/// does not count as an answer: a service that went silent may never answer it, even once it is
/// back and the connection has stayed up.
pub fn stale_age(update_deadline: Duration, chance: f64) -> Duration {
    update_deadline.mul_f64(STALE_SHARE * (1.0 - JITTER_SHARE * chance))
}

/// Returns the longest wait of one watch call in a fleet with `others` other nodes, `before` of
/// them preceding this one in its failure domain.
pub fn watch_timeout(others: usize, before: usize, update_deadline: Duration) -> Duration {
    match others < SMALL_FLEET_NODES && before >= SMALL_FLEET_WATCHERS_PER_DOMAIN {
        true => LONG_WATCH,
        false => update_deadline.mul_f64(WATCH_SHARE),
    }
}

/// Returns the delay before the next call after `failures` failed ones in a row.
pub fn retry_delay(failures: u32, update_deadline: Duration, chance: f64) -> Duration {
    let delay = FIRST_RETRY_DELAY * 2u32.pow(failures.clamp(1, 8) - 1);
    let limit = MAX_RETRY_DELAY.min(update_deadline.mul_f64(MAX_RETRY_SHARE));
    delay.min(limit).mul_f64(1.0 + RETRY_JITTER_SHARE * (2.0 * chance - 1.0))
}

/// Returns the pause after a watch that returned changes.
pub fn batch_pause(has_upstreams_for_all_pools: bool) -> Duration {
    if has_upstreams_for_all_pools { BATCH_PAUSE } else { SHORT_BATCH_PAUSE }
}

/// Returns the time limit of a read by a node that has no configuration or no upstreams yet, after
/// `failures` failed calls.
pub fn first_read_timeout(failures: u32) -> Duration {
    FIRST_READ_TIMEOUT.mul_f64(FIRST_READ_GROWTH.powi(failures.min(8) as i32))
}

/// Returns whether a node watches the platform for others. `others` is the number of other nodes,
/// `before` the number of nodes in its failure domain that precede it in the common order of all
/// nodes.
pub fn is_watcher(others: usize, before: usize) -> bool {
    others < SMALL_FLEET_NODES || before < WATCHERS_PER_DOMAIN
}
