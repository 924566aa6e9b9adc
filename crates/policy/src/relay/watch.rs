//! Which nodes follow the platform themselves, and which rely on their peers.
//!
//! Load answered: a platform that prices each call and bounds them over all nodes, that starts
//! with the whole fleet at once, and that turns some nodes away or falls silent for them.

use std::time::Duration;

/// Nodes up to which each follows the platform itself, so that nothing rests on the others.
pub const SMALL_FLEET_NODES: usize = 24;
/// Nodes of a failure domain that follow the platform in a larger fleet.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Longest wait of one watch where each node watches. A watch that has fallen silent is noticed
/// by heartbeats of peers and by keep-alive probes.
const WATCH: Duration = Duration::from_secs(10);
/// Share of the time for a configuration to be in force that one watch waits where nodes watch
/// for others: they must notice soon when it has fallen silent.
const WATCH_SHARE: f64 = 0.35;
/// The same share as the age of the platform's last word at which a node that relies_on_peers on others
/// looks for itself: a call and its way to the pools take the rest.
const STALE_SHARE: f64 = 0.75;
/// Part of that age over which nodes spread, so that not all look at once.
const SPREAD: f64 = 0.2;
/// Time after its start that a node which is nobody's seed relies_on_peers on its first, cheaper read
/// and on what peers tell beyond it.
const SETTLE: Duration = Duration::from_millis(600);
/// Time after its start for which a node that hears of the platform's word from peers relies_on_peers on
/// them: until then it does not know how many there are. Deployments hold a VM to their bounds
/// from 4 s after its start on.
const NEWCOMER: Duration = Duration::from_secs(3);

/// What a node knows of itself and of the platform's word.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WatchState {
    /// Whether it knows all registered upstreams, be it from a read some seconds old.
    pub has_registry: bool,
    /// Whether other nodes ask it for the fleet when they start.
    pub is_seed: bool,
    /// Time since its process started.
    pub uptime: Duration,
    /// Age of the platform's last word that it knows of, from its own calls or from peers.
    pub word_age: Option<Duration>,
    /// Whether it is one of those that follow the platform for the others.
    pub is_watcher: bool,
    /// Time within which a configuration is to be in force.
    pub apply_deadline: Duration,
}

/// Whether a node leaves it to others to follow the platform. `chance`, from 0 to 1, spreads
/// nodes that would look at the same moment.
pub fn relies_on_peers(known: WatchState, chance: f64) -> bool {
    if !known.has_registry {
        return false;
    }
    if !known.is_seed && known.uptime < SETTLE.mul_f64(1.0 - SPREAD * chance) {
        return true;
    }
    let stale = known.apply_deadline.mul_f64(STALE_SHARE * (1.0 - SPREAD * chance));
    let told = known.word_age.is_some_and(|age| age < stale);
    told && (known.uptime < NEWCOMER || !known.is_watcher)
}

/// Longest wait of one watch in a fleet with `others` other nodes.
pub fn watch_timeout(others: usize, apply_deadline: Duration) -> Duration {
    if others < SMALL_FLEET_NODES { WATCH } else { apply_deadline.mul_f64(WATCH_SHARE) }
}

/// Whether a node follows the platform for others, given how many other nodes there are, and
/// how many of its failure domain come before it in the order that all nodes agree on.
pub fn is_watcher(others: usize, before: usize) -> bool {
    others < SMALL_FLEET_NODES || before < WATCHERS_PER_DOMAIN
}
