//! The upstreams' interface: JSON over HTTP.

use base::{
    id,
    keyspace::{KeyRange, KeySet},
    unit::{Generation, Version},
};
use policy::replica::Window;
use serde::{Deserialize, Serialize};

use crate::answer::Hit;

/// Path for sub-requests.
pub const REQUEST_PATH: &str = "/v1/request";
/// Path for the status.
pub const STATUS_PATH: &str = "/v1/status";
/// Largest reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 32 << 20;

/// The process that sent an attempt. Attempts are numbered within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The node.
    pub node: id::Node,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
}

/// A sub-request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The attempt, echoed by the reply.
    pub attempt: id::Attempt,
    /// The sending process, echoed by the reply.
    pub sender: Sender,
    /// The service.
    pub service: id::Service,
    /// Generation of the plan's shard map.
    pub map: Generation,
    /// Index version of the plan.
    pub version: Option<Version>,
    /// The keys to cover.
    pub range: KeyRange,
    /// Place in the order of service.
    pub rank: u8,
    /// Most hits wanted.
    pub limit: usize,
    /// Time left, in milliseconds.
    pub remaining_ms: u64,
    /// The request.
    pub body: String,
}

/// The reply to a sub-request that ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The attempt that it belongs to.
    pub attempt: id::Attempt,
    /// The sender of that attempt.
    pub sender: Sender,
    /// Incarnation of the upstream.
    pub incarnation: id::Incarnation,
    /// Generation of the shard map that the data is of.
    pub map: Generation,
    /// Index version that the data is of.
    pub version: Option<Version>,
    /// Versions held.
    pub window: Option<Window>,
    /// The keys that the data covers.
    pub covered: KeySet,
    /// The documents.
    pub hits: Vec<Hit>,
}

/// Why an upstream refused a sub-request; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Load.
    Shed,
    /// It leaves.
    Draining,
    /// The version or the map is not held.
    Version,
}

/// Body of a refusal, with HTTP status 503.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub refused: RefusalReason,
    /// Incarnation of the upstream.
    pub incarnation: id::Incarnation,
    /// Versions held.
    pub window: Option<Window>,
}

/// Status of an upstream, as it says itself; it may lag or mislead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Incarnation.
    pub incarnation: id::Incarnation,
    /// Whether it leaves.
    pub draining: bool,
    /// Versions held.
    pub window: Option<Window>,
    /// Share of its slots in use, in percent.
    pub load_percent: u32,
}

/// Writes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

/// Reads a message.
pub fn parse<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(bytes)
}
