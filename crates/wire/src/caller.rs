//! Interface for callers: JSON over HTTP.

use std::net::SocketAddr;

use base::id;
use policy::home;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Path of the node addresses; the query `caller=NAME` names the caller.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Path of searches.
pub const SEARCH_PATH: &str = "/v1/search";
/// Path of non-idempotent requests.
pub const RUN_PATH: &str = "/v1/run";
/// Largest limit on hits that a search may set.
pub const MAX_HITS: usize = 100_000;
/// Limit on hits of a search that sets none.
pub const DEFAULT_HITS: usize = 1_000;

/// Error for an invalid request, which has not run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("{field}: {reason}")]
pub struct Error {
    /// Path of the invalid field, or `body`.
    pub field: SmolStr,
    /// Value that was read and values that are allowed.
    pub reason: String,
}

impl Error {
    /// Creates an error at `field`.
    pub fn new(field: &str, reason: String) -> Error {
        Error { field: SmolStr::new(field), reason }
    }
}

/// Search request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Search {
    /// Name of the caller.
    pub caller: id::Caller,
    /// Class of the request.
    pub class: id::Class,
    /// Services to search; the answer merges the hits of all of them.
    pub services: Vec<id::Service>,
    /// Query, in the upstreams' syntax.
    pub query: String,
    /// Limit on hits; [`DEFAULT_HITS`] if absent.
    #[serde(default)]
    pub limit: Option<usize>,
    /// Time within which to answer, in milliseconds; the class's deadline applies if it is
    /// shorter.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// Non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Name of the caller.
    pub caller: id::Caller,
    /// Class of the request.
    pub class: id::Class,
    /// Service that runs the request.
    pub service: id::Service,
    /// Key that determines which group runs the request.
    pub key: String,
    /// Request, in the upstreams' syntax.
    pub body: String,
    /// Request id, which deduplicates resends; without one a resend may run the request again.
    #[serde(default)]
    pub id: Option<home::RequestId>,
    /// Time within which to answer, in milliseconds; the class's deadline applies if it is
    /// shorter.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// Address of a node for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Socket address to connect to.
    pub address: SocketAddr,
    /// Failure domain of the node.
    pub domain: id::Domain,
    /// Prefix for the ids of non-idempotent requests sent to this address; empty if the node's
    /// incarnation is unknown.
    pub home: SmolStr,
}

/// Answer to a request for node addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Time for which the answer may be cached, in milliseconds.
    pub validity_ms: u64,
    /// Addresses, in order of preference.
    pub addresses: Vec<Address>,
    /// Whether the answering node considers no other node alive.
    pub isolated: bool,
}

/// Decodes a request body.
pub fn parse<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Error> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        let whole = path == "." || path == "?";
        let field = if whole { "body" } else { &path };
        Error::new(field, e.into_inner().to_string())
    })?;
    json.end().map_err(|e| Error::new("body", e.to_string()))?;
    Ok(parsed)
}

/// Encodes an answer.
pub fn encode<T: Serialize>(answer: &T) -> Vec<u8> {
    serde_json::to_vec(answer).unwrap_or_default()
}
