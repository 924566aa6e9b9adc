//! Operators' interface: JSON-RPC.

use base::{id, unit::Generation};
use policy::{membership::Record, quarantine::Notice, replica::Window};
use serde::{Deserialize, Serialize};

/// Method that returns a [`Status`].
pub const STATUS_METHOD: &str = "status";
/// Method that starts a planned stop.
pub const STOP_METHOD: &str = "stop";

/// State of one upstream at one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The service.
    pub service: id::Service,
    /// The group.
    pub group: id::Group,
    /// The upstream.
    pub upstream: id::Upstream,
    /// Requests in flight from this node.
    pub in_flight: usize,
    /// Whether it gets no new work because it leaves.
    pub leaving: bool,
    /// Whether its last replies were failures.
    pub failing: bool,
    /// Versions held.
    pub window: Option<Window>,
}

/// State of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Deployment.
    pub deployment: id::Deployment,
    /// Its own membership record.
    pub own: Record,
    /// The other nodes, as it sees them.
    pub members: Vec<Record>,
    /// Generation of the configuration in force; 0 if there is none.
    pub generation: Generation,
    /// Why the last refused value was refused.
    pub refused: Option<String>,
    /// Whether it sees no other node alive.
    pub isolated: bool,
    /// Quarantined fingerprints.
    pub quarantine: Vec<Notice>,
    /// Ids of non-idempotent requests remembered.
    pub ids: usize,
    /// Requests being served.
    pub requests: usize,
    /// Limit on requests of classes that do not go first.
    pub lower_limit: usize,
    /// Upstreams of the groups that it is the leaf of.
    pub upstreams: Vec<UpstreamStatus>,
    /// Counters since the start, by name.
    pub counters: Vec<(String, u64)>,
}
