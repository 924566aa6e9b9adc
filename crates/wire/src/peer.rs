//! Requests between nodes, over tarpc.

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

/// Opens each request: which protocol and deployment the sender belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol, [`crate::heartbeat::PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Deployment of the sender.
    pub deployment: id::Deployment,
}

/// Why a node refused a request of another; the request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another version of the protocol.
    #[error("another protocol")]
    Protocol,
    /// Another deployment.
    #[error("another deployment")]
    Foreign,
    /// The plan's shard map is not known here.
    #[error("unknown map")]
    Map,
    /// The node serves too many requests.
    #[error("overload")]
    Overload,
}

/// Groups of one service, with the plan that they are searched under.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceGroups {
    /// The service.
    pub service: id::Service,
    /// Generation of the plan's shard map.
    pub map: Generation,
    /// Index version of the plan.
    pub version: Option<Version>,
    /// The groups.
    pub groups: Vec<id::Group>,
}

/// Sub-requests of one query for several groups of one leaf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// Sender.
    pub hello: Hello,
    /// The groups, service by service.
    pub sections: Vec<ServiceGroups>,
    /// Place in the order of service.
    pub rank: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Fingerprint of the content.
    pub fingerprint: u64,
    /// Most hits wanted.
    pub limit: usize,
    /// The request in the upstreams' terms.
    pub body: String,
    /// Time left, in milliseconds.
    pub remaining_ms: u64,
}

/// Answer of one group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupAnswer {
    /// Its coverage.
    pub part: Part,
    /// The documents.
    pub hits: Vec<Hit>,
    /// Versions that the group can serve, if known.
    pub window: Option<Window>,
}

impl GroupAnswer {
    /// A slice without data.
    pub fn missing(part: Part, reason: Reason) -> GroupAnswer {
        GroupAnswer { part: Part { reason: Some(reason), ..part }, hits: Vec::new(), window: None }
    }
}

/// A non-idempotent request passed on to its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Sender.
    pub hello: Hello,
    /// Who asks.
    pub caller: id::Caller,
    /// Class of the request.
    pub class: id::Class,
    /// The service.
    pub service: id::Service,
    /// Key that decides which group runs it.
    pub key: String,
    /// The request in the upstreams' terms.
    pub body: String,
    /// Identity.
    pub id: home::RequestId,
    /// Time left, in milliseconds.
    pub remaining_ms: u64,
}

/// A configuration value with its place in the order of adoption.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// The place.
    pub stamp: Stamp,
    /// The published text.
    pub bytes: Vec<u8>,
}

/// What a node serves to other nodes.
#[tarpc::service]
pub trait Node {
    /// Runs sub-requests as their leaf; one slice for each group, in the order asked for.
    async fn search(request: Search) -> Result<Vec<GroupAnswer>, Refusal>;
    /// Runs a non-idempotent request as its home.
    async fn run(request: Run) -> Result<answer::Run, Refusal>;
    /// The groups' windows, as far as this node knows them as their leaf.
    async fn windows(
        hello: Hello,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> Result<Vec<Option<Window>>, Refusal>;
    /// The configuration in force, if it is above `have`.
    async fn config(hello: Hello, have: Stamp) -> Result<Option<ConfigValue>, Refusal>;
    /// All membership records, the own one included.
    async fn members(hello: Hello) -> Result<Vec<Record>, Refusal>;
}
