//! Calls between nodes over tarpc, which fetch the state that a node lacks.
//!
//! Calls are rare, so each one opens a connection of its own: a pooled connection could fall
//! silent while idle.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    id,
    unit::{Era, Generation, Position, Revision},
};
use futures::StreamExt;
use policy::{membership::Record, relay::crash_quarantine::CrashReport};
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::sync::CancellationToken;
use wire::{
    feed::{EraUpdate, Feed, FeedClient, PlatformUpdate},
    heartbeat,
    peer::{Hello, MAX_FRAME_BYTES, Refusal},
};

use crate::{node::Node, platform_watch, socket};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call: enough for a few hundred entries over the slowest link of a VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of connections from peers at a time.
const MAX_CONNECTIONS: usize = 64;
/// Maximum lifetime of a connection from a peer: no call takes longer.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(3);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A failed call to a peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The call was not answered in time, or the connection was lost.
    #[error("{0}")]
    Call(#[from] client::RpcError),
    /// The peer refused the call.
    #[error("refused: {0}")]
    Refused(#[from] Refusal),
}

fn hello(node: &Node) -> Hello {
    Hello { protocol: heartbeat::PROTOCOL_VERSION, deployment: node.settings.deployment.clone() }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

async fn connect(peer: id::Node) -> Result<(FeedClient, context::Context), Error> {
    let stream = socket::connect(peer.0, CONNECT_TIMEOUT).await?;
    let transport = tarpc::serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let client = FeedClient::new(client::Config::default(), transport).spawn();
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    Ok((client, context))
}

/// Fetches from `peer` a configuration newer than `have` and the registry's changes after
/// `after`. A peer that announces no era, such as an earlier program, is taken to be in that of
/// `after`.
pub(crate) async fn fetch_update(
    node: &Node,
    peer: id::Node,
    announces_era: bool,
    have: Generation,
    after: Position,
) -> Result<EraUpdate, Error> {
    let (client, context) = connect(peer).await?;
    if announces_era {
        return Ok(client.era_news(context, hello(node), have, after).await??);
    }
    let update = client.news(context, hello(node), have, after.revision).await??;
    Ok(EraUpdate { era: Era::default(), update, exceptions: Vec::new() })
}

/// Fetches all membership records from `peer`.
pub(crate) async fn fetch_members(node: &Node, peer: id::Node) -> Result<Vec<Record>, Error> {
    let (client, context) = connect(peer).await?;
    Ok(client.members(context, hello(node)).await??)
}

/// Fetches all valid crash reports from `peer`.
pub(crate) async fn fetch_crash_reports(
    node: &Node,
    peer: id::Node,
) -> Result<Vec<CrashReport>, Error> {
    let (client, context) = connect(peer).await?;
    Ok(client.crash_reports(context, hello(node)).await??)
}

/// Serves calls from peers on `listener` until `cancel`.
pub async fn serve(node: Arc<Node>, listener: Arc<TcpListener>, cancel: CancellationToken) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let served = serve_connection(node.clone(), stream);
        tokio::spawn(async move {
            // Closes connections that peers hold on to.
            let _ = tokio::time::timeout(CONNECTION_LIFETIME, served).await;
            drop(permit);
        });
    }
}

async fn serve_connection(node: Arc<Node>, stream: TcpStream) {
    let transport = tarpc::serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(Server { node }.serve());
    requests.for_each(|request| request).await;
}

#[derive(Debug, Clone)]
struct Server {
    node: Arc<Node>,
}

impl Server {
    /// Refuses a peer that speaks another protocol version or belongs to another deployment.
    fn check(&self, hello: &Hello) -> Result<(), Refusal> {
        if hello.protocol != heartbeat::PROTOCOL_VERSION {
            return Err(Refusal::Protocol);
        }
        if hello.deployment != self.node.settings.deployment {
            return Err(Refusal::Foreign);
        }
        Ok(())
    }
}

impl Feed for Server {
    async fn news(
        self,
        _: context::Context,
        hello: Hello,
        have: Generation,
        after: Revision,
    ) -> Result<PlatformUpdate, Refusal> {
        self.check(&hello)?;
        // Earlier programs call this; they know a single era.
        let after = Position { revision: after, ..self.node.registry.lock().position() };
        Ok(platform_watch::update_since(&self.node, have, after))
    }

    async fn members(self, _: context::Context, hello: Hello) -> Result<Vec<Record>, Refusal> {
        self.check(&hello)?;
        let membership = self.node.membership.lock();
        Ok(membership.records().chain([membership.own()]).cloned().collect())
    }

    async fn crash_reports(
        self,
        _: context::Context,
        hello: Hello,
    ) -> Result<Vec<CrashReport>, Refusal> {
        self.check(&hello)?;
        Ok(self.node.crash_quarantine.lock().reports(self.node.now(), usize::MAX))
    }

    async fn era_news(
        self,
        _: context::Context,
        hello: Hello,
        have: Generation,
        after: Position,
    ) -> Result<EraUpdate, Refusal> {
        self.check(&hello)?;
        Ok(platform_watch::era_update_since(&self.node, have, after))
    }
}
