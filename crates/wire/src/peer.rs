//! Interface between nodes: requests over tarpc.

use base::{
    id,
    unit::{Generation, Version},
};
use policy::{
    adoption::Stamp, coverage::Part, home, membership::Record, outcome::Reason, replica::Window,
};
use serde::{Deserialize, Serialize};

use crate::answer::{self, Hit};

/// Largest frame between nodes, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Protocol version and deployment of the sender; part of each request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version, [`crate::heartbeat::PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Deployment.
    pub deployment: id::Deployment,
}

/// Why a node refused a request of a peer; the request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The sender uses another version of the protocol.
    #[error("another protocol")]
    Protocol,
    /// The sender belongs to another deployment.
    #[error("another deployment")]
    Foreign,
    /// The node does not have the shard map of the plan.
    #[error("unknown map")]
    Map,
    /// The node is at its limit of requests.
    #[error("overload")]
    Overload,
}

/// Groups of one service to search, with the shard map and version of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceGroups {
    /// Service.
    pub service: id::Service,
    /// Generation of the plan's shard map.
    pub map: Generation,
    /// Index version of the plan.
    pub version: Option<Version>,
    /// Groups to search.
    pub groups: Vec<id::Group>,
}

/// Sub-requests of one query for the groups of one leaf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// Protocol version and deployment of the sender.
    pub hello: Hello,
    /// Groups to search, by service.
    pub sections: Vec<ServiceGroups>,
    /// Rank of the class; 0 is served first.
    pub rank: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Fingerprint of the request, for the quarantine of requests that crash upstreams.
    pub fingerprint: u64,
    /// Limit on hits.
    pub limit: usize,
    /// Request, in the upstreams' syntax.
    pub body: String,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Answer of one shard group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupAnswer {
    /// Coverage of the group.
    pub part: Part,
    /// Documents found.
    pub hits: Vec<Hit>,
    /// Index versions that the group can serve, if known.
    pub window: Option<Window>,
}

impl GroupAnswer {
    /// Creates an answer without data for `part`, with `reason`.
    pub fn missing(part: Part, reason: Reason) -> GroupAnswer {
        GroupAnswer { part: Part { reason: Some(reason), ..part }, hits: Vec::new(), window: None }
    }
}

/// Non-idempotent request that is forwarded to its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Protocol version and deployment of the sender.
    pub hello: Hello,
    /// Name of the caller.
    pub caller: id::Caller,
    /// Class of the request.
    pub class: id::Class,
    /// Service.
    pub service: id::Service,
    /// Key that determines which group runs the request.
    pub key: String,
    /// Request, in the upstreams' syntax.
    pub body: String,
    /// Request id.
    pub id: home::RequestId,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Published configuration with its position in the order of adoption.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// Position in the order of adoption.
    pub stamp: Stamp,
    /// Published text.
    pub bytes: Vec<u8>,
}

/// Interface that a node serves to its peers.
#[tarpc::service]
pub trait Node {
    /// Runs sub-requests as the leaf of their groups. Returns one answer for each group, in the
    /// order of the request.
    async fn search(request: Search) -> Result<Vec<GroupAnswer>, Refusal>;
    /// Runs a non-idempotent request as its home.
    async fn run(request: Run) -> Result<answer::Run, Refusal>;
    /// Returns the version windows of the groups, as far as this node knows them as their leaf.
    async fn windows(
        hello: Hello,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> Result<Vec<Option<Window>>, Refusal>;
    /// Returns the configuration in force, if it is above `have`.
    async fn config(hello: Hello, have: Stamp) -> Result<Option<ConfigValue>, Refusal>;
    /// Returns all membership records, including the node's own.
    async fn members(hello: Hello) -> Result<Vec<Record>, Refusal>;
}
