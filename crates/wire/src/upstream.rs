//! Interface of upstreams: JSON over HTTP.

use base::{
    id,
    keyspace::{KeyRange, KeySet},
    unit::{Generation, Version},
};
use policy::replica::Window;
use serde::{Deserialize, Serialize};

use crate::answer::Hit;

/// Path of sub-requests.
pub const REQUEST_PATH: &str = "/v1/request";
/// Path of the status.
pub const STATUS_PATH: &str = "/v1/status";
/// Largest reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 32 << 20;

/// Node process that sent an attempt. Attempt numbers are unique within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Node.
    pub node: id::Node,
    /// Incarnation of the node.
    pub incarnation: id::Incarnation,
}

/// Sub-request for one shard group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of the attempt; the reply repeats it.
    pub attempt: id::Attempt,
    /// Sending process; the reply repeats it.
    pub sender: Sender,
    /// Service.
    pub service: id::Service,
    /// Generation of the plan's shard map.
    pub map: Generation,
    /// Index version of the plan.
    pub version: Option<Version>,
    /// Keys to cover.
    pub range: KeyRange,
    /// Rank of the class; 0 is served first.
    pub rank: u8,
    /// Limit on hits.
    pub limit: usize,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Request, in the upstream's syntax.
    pub body: String,
}

/// Reply to a sub-request that ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the attempt.
    pub attempt: id::Attempt,
    /// Process that sent the attempt.
    pub sender: Sender,
    /// Incarnation of the upstream.
    pub incarnation: id::Incarnation,
    /// Generation of the shard map that the data belongs to.
    pub map: Generation,
    /// Index version of the data.
    pub version: Option<Version>,
    /// Index versions that the upstream holds.
    pub window: Option<Window>,
    /// Keys that the data covers.
    pub covered: KeySet,
    /// Documents found.
    pub hits: Vec<Hit>,
}

/// Why an upstream refused a sub-request, which did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The upstream is overloaded.
    Shed,
    /// The upstream is leaving.
    Draining,
    /// The upstream does not hold the index version or the shard map.
    Version,
}

/// Body of a refusal, with HTTP status 503.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub refused: RefusalReason,
    /// Incarnation of the upstream.
    pub incarnation: id::Incarnation,
    /// Index versions that the upstream holds.
    pub window: Option<Window>,
}

/// Status that an upstream reports about itself; may be outdated or wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Incarnation of the upstream.
    pub incarnation: id::Incarnation,
    /// Whether the upstream is leaving.
    pub draining: bool,
    /// Index versions that the upstream holds.
    pub window: Option<Window>,
    /// Share of its slots in use, in percent.
    pub load_percent: u32,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

/// Decodes a message.
pub fn parse<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(bytes)
}
