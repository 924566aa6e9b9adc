//! Borders of a node: everything that it reaches outside of its process.

use std::{fmt, future::Future, pin::Pin, time::Duration, time::Instant};

use base::{id, unit::Generation};
use policy::{adoption::Stamp, membership::Record, replica::Window};
use tokio_util::sync::CancellationToken;
use wire::{answer, peer, platform, upstream};

/// A boxed future.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How a sub-request failed at its upstream.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamError {
    /// Nothing of the request left this node.
    #[error("unreached")]
    Unreached,
    /// The upstream refused before running it.
    #[error("refused")]
    Refused(upstream::Refusal),
    /// The upstream ran it and failed.
    #[error("failed")]
    Failed,
    /// The connection was lost after something may have left.
    #[error("lost")]
    Lost,
    /// The reply was truncated or not understood.
    #[error("bad reply")]
    BadReply,
}

/// A sub-request with how it may be sent.
#[derive(Debug, Clone)]
pub struct SubRequest {
    /// Where to.
    pub upstream: id::Upstream,
    /// The message; its remaining time is set when it is sent.
    pub request: upstream::Request,
    /// Not to be sent from then on.
    pub deadline: Instant,
    /// Most connections to hold to this upstream.
    pub max_connections: usize,
    /// Cancels the attempt.
    pub cancel: CancellationToken,
}

/// Upstreams.
pub trait Upstream: fmt::Debug + Send + Sync {
    /// Sends a sub-request, once.
    fn request(
        &self,
        sub: SubRequest,
    ) -> BoxFuture<'static, Result<upstream::Reply, UpstreamError>>;
    /// Asks an upstream for its status.
    fn status(
        &self,
        upstream: id::Upstream,
    ) -> BoxFuture<'static, Result<upstream::Status, UpstreamError>>;
}

/// How a request to another node failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// Nothing of the request left this node.
    #[error("unreached")]
    Unreached,
    /// The other node refused it before running it.
    #[error("refused: {0}")]
    Refused(peer::Refusal),
    /// It may have run; its answer did not come.
    #[error("lost")]
    Lost,
}

/// Other nodes.
pub trait Peer: fmt::Debug + Send + Sync {
    /// Runs sub-requests at a leaf.
    fn search(
        &self,
        node: id::Node,
        request: peer::Search,
    ) -> BoxFuture<'static, Result<Vec<peer::GroupAnswer>, PeerError>>;
    /// Passes a non-idempotent request on to its home.
    fn run(
        &self,
        node: id::Node,
        request: peer::Run,
    ) -> BoxFuture<'static, Result<answer::Run, PeerError>>;
    /// Asks a leaf for the windows of groups.
    fn windows(
        &self,
        node: id::Node,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> BoxFuture<'static, Result<Vec<Option<Window>>, PeerError>>;
    /// Asks for a configuration above `have`.
    fn config(
        &self,
        node: id::Node,
        have: Stamp,
    ) -> BoxFuture<'static, Result<Option<peer::ConfigValue>, PeerError>>;
    /// Asks for all membership records.
    fn members(&self, node: id::Node) -> BoxFuture<'static, Result<Vec<Record>, PeerError>>;
}

/// The platform's service did not give a usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("platform: {0}")]
pub struct PlatformError(pub String);

/// The platform's service.
pub trait Platform: fmt::Debug + Send + Sync {
    /// Reads the configuration; with a `wait`, watches for a generation above `after` for so
    /// long. `None` if there is nothing newer.
    fn config(
        &self,
        after: Generation,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Option<Vec<u8>>, PlatformError>>;
    /// Reads the VM list.
    fn vms(&self) -> BoxFuture<'static, Result<Vec<platform::Vm>, PlatformError>>;
}

/// Datagrams to other nodes.
pub trait Network: fmt::Debug + Send + Sync {
    /// Sends a datagram; it may be lost.
    fn send(&self, to: id::Node, bytes: Vec<u8>);
}
