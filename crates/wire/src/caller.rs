//! Callers' interface: JSON over HTTP.

use std::net::SocketAddr;

use base::id;
use policy::home;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Path for addresses; the query `caller=NAME` names the caller.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Path for searches.
pub const SEARCH_PATH: &str = "/v1/search";
/// Path for non-idempotent requests.
pub const RUN_PATH: &str = "/v1/run";
/// Most hits that a search may ask for.
pub const MAX_HITS: usize = 100_000;
/// Hits of a search that names no limit.
pub const DEFAULT_HITS: usize = 1_000;

/// A request that is not understood; it has not run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("{field}: {reason}")]
pub struct Error {
    /// The field at fault.
    pub field: SmolStr,
    /// What was read and what is allowed.
    pub reason: String,
}

impl Error {
    /// Error at `field`.
    pub fn new(field: &str, reason: String) -> Error {
        Error { field: SmolStr::new(field), reason }
    }
}

/// A search.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Search {
    /// Who asks.
    pub caller: id::Caller,
    /// Class of the request.
    pub class: id::Class,
    /// Services to search; the answer is merged over all of them.
    pub services: Vec<id::Service>,
    /// What to search for, in the upstreams' terms.
    pub query: String,
    /// Most hits wanted.
    #[serde(default)]
    pub limit: Option<usize>,
    /// Time to answer in, in milliseconds; the class's deadline applies if it is shorter.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// A non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Who asks.
    pub caller: id::Caller,
    /// Class of the request.
    pub class: id::Class,
    /// Service to run it on.
    pub service: id::Service,
    /// Key that decides which group runs it.
    pub key: String,
    /// The request, in the upstreams' terms.
    pub body: String,
    /// Identity; without one the request cannot be sent again safely.
    #[serde(default)]
    pub id: Option<home::RequestId>,
    /// Time to answer in, in milliseconds; the class's deadline applies if it is shorter.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// One address to use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Where to connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Prefix for the ids of non-idempotent requests sent there; absent at nodes whose
    /// process is not known.
    pub home: SmolStr,
}

/// Answer to a question for addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// How long the answer may be kept, in milliseconds.
    pub validity_ms: u64,
    /// The addresses, in order of preference.
    pub addresses: Vec<Address>,
    /// Whether the answering node sees no other node alive.
    pub isolated: bool,
}

/// Reads a request body.
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

/// Writes an answer.
pub fn encode<T: Serialize>(answer: &T) -> Vec<u8> {
    serde_json::to_vec(answer).unwrap_or_default()
}
