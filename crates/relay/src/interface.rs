//! Borders: what a deployment's protocol and platform look like to the relay.

use std::{fmt, future::Future, pin::Pin, time::Duration};

use base::{id, unit::Revision};
use http::{HeaderMap, HeaderValue, request, response};
use policy::relay::{registry::Event, route::RouteTable};
use smol_str::SmolStr;

/// A boxed future.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// What the head of a caller's request says beside its HTTP meaning.
#[derive(Debug, Clone)]
pub struct RequestMetadata {
    /// Id of this request, as the caller wrote it.
    pub request_id: HeaderValue,
    /// Time that the caller waits for an answer; `None` if it does not say.
    pub timeout: Option<Duration>,
}

/// What the head of an upstream's reply says beside its HTTP meaning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyMetadata {
    /// What the reply says of the request.
    pub kind: ReplyKind,
    /// The upstream's signature of its reply.
    pub signature: Option<HeaderValue>,
    /// Whether it names another request than the one that was sent.
    pub id_mismatch: bool,
    /// Time for which the upstream keeps an idle connection; `None` if it does not say.
    pub idle_timeout: Option<Duration>,
}

/// What a reply says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyKind {
    /// It ran.
    Ran,
    /// It did not run.
    Refused,
    /// It did not run: another process than the one meant serves at the address.
    InstanceReplaced,
}

/// A head that the protocol does not allow.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedRequest(pub &'static str);

/// Headers of the protocol that callers and upstreams speak.
pub trait Codec: fmt::Debug + Send + Sync {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMetadata, MalformedRequest>;

    /// Sets what an attempt says beside the caller's own headers: which process is meant, and
    /// the time that is left.
    fn write_attempt(&self, headers: &mut HeaderMap, instance: &id::Instance, left: Duration);

    /// Reads the head of a reply to the request with the id `request`.
    fn read_reply(&self, request: &HeaderValue, head: &response::Parts) -> ReplyMetadata;

    /// Writes what an answer merged from replies says of them: the signatures of the replies
    /// in it, and the number of pools left out.
    fn write_merged(&self, headers: &mut HeaderMap, signatures: &[HeaderValue], missing: usize);
}

/// The platform's service did not give a usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The history asked for is gone; all must be read again.
    #[error("the platform no longer has the changes asked for")]
    Compacted,
    /// It refused or did not answer.
    #[error("platform: {0}")]
    Unavailable(String),
}

/// A configuration as published, read or not.
#[derive(Debug, Clone)]
pub struct PublishedConfig {
    /// Place of its last change in the history.
    pub revision: Revision,
    /// The text.
    pub bytes: Vec<u8>,
}

/// A value that names no upstream or configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// Where it stands.
    pub key: SmolStr,
    /// Place of its last change in the history.
    pub revision: Revision,
    /// What is wrong with it.
    pub reason: String,
}

/// Changes in the platform's service.
#[derive(Debug, Clone)]
pub struct PlatformChanges {
    /// The newest configuration, if it is among them.
    pub config: Option<PublishedConfig>,
    /// Changes of registered upstreams.
    pub upstreams: Vec<Event>,
    /// Values among them that are of no use, with the reason.
    pub invalid_values: Vec<InvalidValue>,
    /// The history is known up to here.
    pub until: Revision,
}

/// The platform's service, which is only read.
pub trait PlatformSource: fmt::Debug + Send + Sync {
    /// Reads everything as it is now; with `stale`, as it was up to some seconds ago, which
    /// costs the platform less.
    fn read(&self, stale: bool) -> BoxFuture<'_, Result<PlatformChanges, SourceError>>;

    /// Waits up to `wait` for changes after `after`.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<PlatformChanges, SourceError>>;

    /// Reads a published configuration.
    fn parse_config(&self, bytes: &[u8]) -> Result<RouteTable, String>;
}
