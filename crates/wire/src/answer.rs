//! What a caller is told of its request.

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

/// One document found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Place of the document's key in the key space.
    pub key: u32,
    /// Relevance; higher comes first.
    pub score: f64,
    /// The document.
    pub document: SmolStr,
}

/// The snapshot of one service that an answer reflects.
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
    /// What became of the request.
    pub outcome: Outcome,
    /// Why there is no answer, if there is none.
    pub reason: Option<Reason>,
    /// When to come back, in milliseconds, if that may help.
    pub retry_after_ms: Option<u64>,
    /// The snapshot, service by service; empty if the request was not planned.
    pub snapshot: Vec<Snapshot>,
    /// Share of the planned keys covered by `hits`.
    pub coverage: Share,
    /// The keys that lack, and why.
    pub missing: Vec<Gap>,
    /// The documents, best first.
    pub hits: Vec<Hit>,
    /// Trace of the request.
    pub trace: SmolStr,
}

impl Search {
    /// An answer that says only why the request was not answered.
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
    /// What became of the request.
    pub outcome: Outcome,
    /// Why there is no answer, if there is none.
    pub reason: Option<Reason>,
    /// When to come back with a new id, in milliseconds, if that may help.
    pub retry_after_ms: Option<u64>,
    /// The upstream's reply.
    pub body: Option<SmolStr>,
    /// The id under which the request ran, for resends.
    pub id: SmolStr,
    /// Trace of the request.
    pub trace: SmolStr,
}

impl Run {
    /// An answer that says only why the request was not answered.
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
