//! Interfaces to a deployment: the protocol of callers and upstreams, and the platform's service.

use std::{fmt, future::Future, pin::Pin, time::Duration};

use base::{
    id,
    unit::{Era, Revision},
};
use http::{HeaderMap, HeaderValue, request, response};
use policy::relay::{
    notice::Notice,
    registry::{Event, MergeError},
    route::RouteTable,
};
use smol_str::SmolStr;

/// A boxed future.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Protocol metadata in the head of a caller's request.
#[derive(Debug, Clone)]
pub struct RequestMetadata {
    /// Id of the request as the caller wrote it.
    pub request_id: HeaderValue,
    /// Time for which the caller waits for an answer; `None` if the request does not state it.
    pub timeout: Option<Duration>,
    /// Whether a peer relays the request, which must then not be relayed again.
    pub relayed: bool,
}

/// Protocol metadata in the head of an upstream's reply.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplyMetadata {
    /// Whether the request ran.
    pub kind: ReplyKind,
    /// The upstream's signature of its reply.
    pub signature: Option<HeaderValue>,
    /// Whether the reply does not carry the id of the request that was sent.
    pub id_mismatch: bool,
    /// Time after which the upstream closes an idle connection; `None` if the reply does not
    /// state it.
    pub idle_timeout: Option<Duration>,
    /// What the upstream says of itself.
    pub notice: Notice,
}

/// Whether a replied request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyKind {
    /// The request ran.
    Ran,
    /// The upstream did not run the request.
    Refused,
    /// The request did not run: a process other than the intended one serves at the address.
    InstanceReplaced,
}

/// The head of a request violates the protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedRequest(pub &'static str);

/// Headers of the protocol that callers and upstreams speak.
pub trait Codec: fmt::Debug + Send + Sync {
    /// Parses the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMetadata, MalformedRequest>;

    /// Sets the headers of an attempt that differ from the caller's: the process that may run
    /// it, and the time left. Removes what [`Codec::write_relayed`] adds.
    fn write_attempt(&self, headers: &mut HeaderMap, instance: &id::Instance, left: Duration);

    /// Sets the headers of a caller's request that a peer is to serve: the time `left`, and the mark
    /// that the request is relayed.
    fn write_relayed(&self, headers: &mut HeaderMap, left: Duration);

    /// Parses the head of a reply to the request with the id `request_id`.
    fn read_reply(&self, request_id: &HeaderValue, head: &response::Parts) -> ReplyMetadata;

    /// Sets the headers of an answer merged from replies: the signatures of the replies in it,
    /// and the number of pools missing from it.
    fn write_merged(&self, headers: &mut HeaderMap, signatures: &[HeaderValue], missing: usize);
}

/// A failed call to the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The requested history was compacted; all values must be read again.
    #[error("the platform no longer has the changes asked for")]
    Compacted,
    /// The service refused the call or did not answer it.
    #[error("platform: {0}")]
    Unavailable(String),
    /// The answer belongs to another era than the one that is known.
    #[error(transparent)]
    Era(#[from] MergeError),
}

/// A published configuration before parsing.
#[derive(Debug, Clone)]
pub struct PublishedConfig {
    /// Revision of its last change.
    pub revision: Revision,
    /// The published text.
    pub bytes: Vec<u8>,
}

/// A published value that is neither a valid upstream nor a valid configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// Key of the value.
    pub key: SmolStr,
    /// Revision of its last change.
    pub revision: Revision,
    /// Why the value is invalid.
    pub reason: String,
}

/// Changes of the values that the platform publishes.
#[derive(Debug, Clone)]
pub struct PlatformChanges {
    /// The newest configuration, if it changed.
    pub config: Option<PublishedConfig>,
    /// Changes of registered upstreams.
    pub upstreams: Vec<Event>,
    /// Changed values that were rejected.
    pub invalid_values: Vec<InvalidValue>,
    /// Revision up to which the changes are complete.
    pub until: Revision,
    /// Era that the revisions belong to; 0 if the service does not tell.
    pub era: Era,
}

/// Read-only client of the platform's service.
pub trait PlatformSource: fmt::Debug + Send + Sync {
    /// Reads all values. With `stale`, the values may be some seconds old, which costs the
    /// platform less.
    fn read(&self, stale: bool) -> BoxFuture<'_, Result<PlatformChanges, SourceError>>;

    /// Waits up to `wait` for changes after the revision `after`.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<PlatformChanges, SourceError>>;

    /// Parses a published configuration.
    fn parse_config(&self, bytes: &[u8]) -> Result<RouteTable, String>;
}
