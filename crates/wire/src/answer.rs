//! Answers to callers.

use base::{
    id,
    unit::{Generation, Share, Version},
};
use policy::{
    coverage::Gap,
    outcome::{Outcome, Reason},
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Document found by a search.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Position of the document's key in the key space.
    pub key: u32,
    /// Relevance; hits with a higher score come first.
    pub score: f64,
    /// The document.
    pub document: SmolStr,
}

/// Version of one service's data that an answer reflects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The service.
    pub service: id::Service,
    /// Generation of the shard map.
    pub map: Generation,
    /// Index version, if the service has one.
    pub version: Option<Version>,
}

/// Answer to a search.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason why the request was not answered.
    pub reason: Option<Reason>,
    /// Time after which to retry, in milliseconds, if a retry may succeed.
    pub retry_after_ms: Option<u64>,
    /// Snapshot of each service; empty if the request failed before it was planned.
    pub snapshot: Vec<Snapshot>,
    /// Share of the planned keys that `hits` covers.
    pub coverage: Share,
    /// Keys that are not covered, with the reasons.
    pub missing: Vec<Gap>,
    /// Documents, best first.
    pub hits: Vec<Hit>,
    /// Trace id of the request.
    pub trace: SmolStr,
}

impl Search {
    /// Creates an answer without data that carries only `outcome` and `reason`.
    pub fn unanswered(outcome: Outcome, reason: Reason) -> Search {
        Search {
            outcome,
            reason: Some(reason),
            retry_after_ms: reason.retry_after().map(|d| d.as_millis() as u64),
            snapshot: Vec::new(),
            coverage: Share::ZERO,
            missing: Vec::new(),
            hits: Vec::new(),
            trace: SmolStr::default(),
        }
    }
}

/// Answer to a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason why the request was not answered.
    pub reason: Option<Reason>,
    /// Time after which to retry with a new id, in milliseconds, if a retry may succeed.
    pub retry_after_ms: Option<u64>,
    /// Reply of the upstream.
    pub body: Option<SmolStr>,
    /// Id that the request ran under, for resends.
    pub id: SmolStr,
    /// Trace id of the request.
    pub trace: SmolStr,
}

impl Run {
    /// Creates an answer without data that carries only `outcome` and `reason`.
    pub fn unanswered(outcome: Outcome, reason: Reason) -> Run {
        Run {
            outcome,
            reason: Some(reason),
            retry_after_ms: reason.retry_after().map(|d| d.as_millis() as u64),
            body: None,
            id: SmolStr::default(),
            trace: SmolStr::default(),
        }
    }
}
