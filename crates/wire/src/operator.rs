//! Interface for operators: JSON-RPC.

use base::{id, unit::Generation};
use policy::{membership::Record, quarantine::Notice, replica::Window};
use serde::{Deserialize, Serialize};

/// Method that returns a [`Status`].
pub const STATUS_METHOD: &str = "status";
/// Method that starts a planned stop.
pub const STOP_METHOD: &str = "stop";

/// State of an upstream as one node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Service.
    pub service: id::Service,
    /// Shard group.
    pub group: id::Group,
    /// Address of the upstream.
    pub upstream: id::Upstream,
    /// Requests in flight from this node.
    pub in_flight: usize,
    /// Whether it gets no new requests because it is leaving.
    pub leaving: bool,
    /// Whether its latest replies were failures.
    pub failing: bool,
    /// Index versions that it holds.
    pub window: Option<Window>,
}

/// State of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Deployment.
    pub deployment: id::Deployment,
    /// Membership record of the node itself.
    pub own: Record,
    /// Membership records of the other nodes, as this node has them.
    pub members: Vec<Record>,
    /// Generation of the configuration in force; 0 if there is none.
    pub generation: Generation,
    /// Error of the last published configuration that was rejected.
    pub refused: Option<String>,
    /// Whether the node considers no other node alive.
    pub isolated: bool,
    /// Quarantined fingerprints.
    pub quarantine: Vec<Notice>,
    /// Number of remembered ids of non-idempotent requests.
    pub ids: usize,
    /// Number of requests being served.
    pub requests: usize,
    /// Limit on concurrent requests of classes below the first rank.
    pub lower_limit: usize,
    /// Upstreams of the groups that the node is the leaf for.
    pub upstreams: Vec<UpstreamStatus>,
    /// Counters since the start of the process, by name.
    pub counters: Vec<(String, u64)>,
}
