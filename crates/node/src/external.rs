//! Interfaces to everything that a node reaches outside of its process.
//!
//! Each trait has an implementation on real sockets in this crate; tests replace them by
//! simulated ones.

use std::{fmt, future::Future, pin::Pin, time::Duration, time::Instant};

use base::{id, unit::Generation};
use policy::{adoption::Stamp, membership::Record, replica::Window};
use tokio_util::sync::CancellationToken;
use wire::{answer, peer, platform, upstream};

/// Boxed future.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Failure of a sub-request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamError {
    /// No byte of the request was sent, so it did not run.
    #[error("unreached")]
    NotSent,
    /// The upstream refused the request before running it.
    #[error("refused")]
    Refused(upstream::Refusal),
    /// The upstream ran the request and reported a failure.
    #[error("failed")]
    Failed,
    /// The connection was lost after part of the request may have been sent.
    #[error("lost")]
    Lost,
    /// The reply is too large or could not be parsed.
    #[error("bad reply")]
    BadReply,
}

/// A sub-request to one upstream, with the limits for sending it.
#[derive(Debug, Clone)]
pub struct SubRequest {
    /// The receiver.
    pub upstream: id::Upstream,
    /// The message. Its remaining time is set when it is sent.
    pub request: upstream::Request,
    /// Time after which the request must not be sent any more.
    pub deadline: Instant,
    /// Largest number of pooled connections to this upstream.
    pub max_connections: usize,
    /// Cancels the attempt.
    pub cancel: CancellationToken,
}

/// Client for upstreams.
pub trait Upstream: fmt::Debug + Send + Sync {
    /// Sends a sub-request at most once, without retries.
    fn request(
        &self,
        sub_request: SubRequest,
    ) -> BoxFuture<'static, Result<upstream::Reply, UpstreamError>>;
    /// Reads the status of an upstream.
    fn status(
        &self,
        upstream: id::Upstream,
    ) -> BoxFuture<'static, Result<upstream::Status, UpstreamError>>;
}

/// Failure of a request to another node.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No byte of the request was sent, so it did not run.
    #[error("unreached")]
    NotSent,
    /// The other node refused the request before running it.
    #[error("refused: {0}")]
    Refused(peer::Refusal),
    /// No answer arrived; the request may have run.
    #[error("lost")]
    Lost,
}

/// Client for other nodes.
pub trait Peer: fmt::Debug + Send + Sync {
    /// Runs sub-requests at a leaf.
    fn search(
        &self,
        node: id::Node,
        request: peer::Search,
    ) -> BoxFuture<'static, Result<Vec<peer::GroupAnswer>, PeerError>>;
    /// Forwards a non-idempotent request to its home node.
    fn run(
        &self,
        node: id::Node,
        request: peer::Run,
    ) -> BoxFuture<'static, Result<answer::Run, PeerError>>;
    /// Reads the version windows of shard groups from their leaf.
    fn windows(
        &self,
        node: id::Node,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> BoxFuture<'static, Result<Vec<Option<Window>>, PeerError>>;
    /// Fetches the configuration in force of a node if it is newer than `have`.
    fn config(
        &self,
        node: id::Node,
        have: Stamp,
    ) -> BoxFuture<'static, Result<Option<peer::ConfigValue>, PeerError>>;
    /// Fetches all membership records of a node.
    fn members(&self, node: id::Node) -> BoxFuture<'static, Result<Vec<Record>, PeerError>>;
}

/// Failure of a call to the platform's service, or an unusable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("platform: {0}")]
pub struct PlatformError(pub String);

/// Client for the platform's service.
pub trait Platform: fmt::Debug + Send + Sync {
    /// Reads the published configuration.
    ///
    /// With a non-zero `wait`, this is a long poll that ends at the latest after `wait`, and
    /// earlier once a generation above `after` is published. Returns `None` if there is none.
    fn config(
        &self,
        after: Generation,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Option<Vec<u8>>, PlatformError>>;
    /// Reads the list of VMs.
    fn vms(&self) -> BoxFuture<'static, Result<Vec<platform::Vm>, PlatformError>>;
}

/// Sender of datagrams to other nodes.
pub trait Network: fmt::Debug + Send + Sync {
    /// Sends a datagram without delivery guarantee.
    fn send(&self, to: id::Node, bytes: Vec<u8>);
}
