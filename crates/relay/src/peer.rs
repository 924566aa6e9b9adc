//! Requests between nodes over tarpc: what a node knows that another one does not.
//!
//! They are rare, so each call opens a connection of its own; nothing is kept that could fall
//! silent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    id,
    unit::{Generation, Revision},
};
use futures::StreamExt;
use policy::membership::Record;
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
    feed::{Feed, FeedClient, PlatformUpdate},
    heartbeat,
    peer::{Hello, MAX_FRAME_BYTES, Refusal},
};

use crate::{node::Node, platform_watch, socket};

/// Time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a call: a few hundred entries over the slowest link of a VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connections of peers at a time.
const CONNECTIONS: usize = 64;
/// Longest life of a peer's connection.
const CONNECTION_LIFE: Duration = Duration::from_secs(3);
/// Pause after a failure to accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A call to a peer that failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The call was not answered.
    #[error("{0}")]
    Call(#[from] client::RpcError),
    /// The peer refused it.
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

/// Asks `peer` for configurations above `have` and upstreams changed after `after`.
pub(crate) async fn news(
    node: &Node,
    peer: id::Node,
    have: Generation,
    after: Revision,
) -> Result<PlatformUpdate, Error> {
    let (client, context) = connect(peer).await?;
    Ok(client.news(context, hello(node), have, after).await??)
}

/// Asks `peer` for all membership records.
pub(crate) async fn members(node: &Node, peer: id::Node) -> Result<Vec<Record>, Error> {
    let (client, context) = connect(peer).await?;
    Ok(client.members(context, hello(node)).await??)
}

/// Serves peers from `listener` until `cancel`.
pub async fn serve(node: Arc<Node>, listener: TcpListener, cancel: CancellationToken) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let served = connection(node.clone(), stream);
        tokio::spawn(async move {
            // A peer that holds its connection for longer has no use for it.
            let _ = tokio::time::timeout(CONNECTION_LIFE, served).await;
            drop(place);
        });
    }
}

async fn connection(node: Arc<Node>, stream: TcpStream) {
    let transport = tarpc::serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(Server { node }.serve());
    requests.for_each(|request| request).await;
}

#[derive(Debug, Clone)]
struct Server {
    node: Arc<Node>,
}

impl Server {
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
        Ok(platform_watch::news(&self.node, have, after))
    }

    async fn members(self, _: context::Context, hello: Hello) -> Result<Vec<Record>, Refusal> {
        self.check(&hello)?;
        let fleet = self.node.fleet.lock();
        Ok(fleet.records().chain([fleet.own()]).cloned().collect())
    }
}
