//! Requests between nodes over tarpc: client with one connection to each peer, and server.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{hash::FastMap, id};
use futures::StreamExt;
use parking_lot::Mutex;
use policy::{adoption::Stamp, membership::Record, replica::Window};
use tarpc::{
    client,
    client::RpcError,
    context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use wire::{
    answer, heartbeat,
    peer::{self, ConfigValue, GroupAnswer, Hello, Node as _, NodeClient, Refusal, Search},
};

use crate::{
    counter::Counter,
    external::{self, BoxFuture, PeerError},
    node::Node,
    stream::{Watch, Watched},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for calls that carry no deadline of a caller's.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests of one peer that are served at a time.
const IN_FLIGHT_LIMIT: usize = 4_096;
/// Requests to one peer that wait for their answer.
const PENDING_LIMIT: usize = 4_096;

type Links = Mutex<FastMap<id::Node, Link>>;

/// A connection to a peer.
#[derive(Debug, Clone)]
struct Link {
    client: NodeClient,
    watch: Watch,
    /// Cancelled once nobody drives the connection any more.
    ended: CancellationToken,
}

impl Link {
    /// Whether a call on it would be lost.
    fn has_ended(&self) -> bool {
        self.ended.is_cancelled() || self.watch.has_ended()
    }
}

/// Client for all peers.
#[derive(Debug)]
pub struct Client {
    hello: Hello,
    links: Arc<Links>,
}

impl Client {
    /// A client of nodes in `deployment`.
    pub fn new(deployment: id::Deployment) -> Client {
        let hello = Hello { protocol: heartbeat::PROTOCOL_VERSION, deployment };
        Client { hello, links: Arc::default() }
    }

    /// Calls `node` by `f`. A call is sent once; a broken connection is replaced for the next.
    fn call<T, F, R>(
        &self,
        node: id::Node,
        limit: Duration,
        f: F,
    ) -> BoxFuture<'static, Result<T, PeerError>>
    where
        T: Send + 'static,
        F: FnOnce(NodeClient, context::Context) -> R + Send + 'static,
        R: Future<Output = Result<Result<T, Refusal>, RpcError>> + Send,
    {
        let links = self.links.clone();
        Box::pin(async move {
            let Link { client, watch, .. } = link(&links, node).await?;
            let mut context = context::current();
            context.deadline = Instant::now() + limit;
            let before = watch.written();
            match f(client, context).await {
                Ok(Ok(value)) => Ok(value),
                Ok(Err(refusal)) => Err(PeerError::Refused(refusal)),
                Err(RpcError::DeadlineExceeded) => Err(PeerError::Lost),
                Err(e) => {
                    links.lock().remove(&node);
                    // Calls share the connection: bytes written since may be this one's.
                    let unsent = watch.written() == before;
                    tracing::debug!(%node, unsent, error = %e, "connection to a peer ended");
                    Err(if unsent { PeerError::Unreached } else { PeerError::Lost })
                }
            }
        })
    }
}

async fn link(links: &Links, node: id::Node) -> Result<Link, PeerError> {
    if let Some(link) = links.lock().get(&node).filter(|l| !l.has_ended()) {
        return Ok(link.clone());
    }
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(node.0)).await;
    let stream = connecting.ok().and_then(Result::ok).ok_or(PeerError::Unreached)?;
    stream.set_nodelay(true).map_err(|_| PeerError::Unreached)?;
    let (stream, watch) = Watched::new(stream);
    let transport = tarpc::serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let mut config = client::Config::default();
    config.pending_request_buffer = PENDING_LIMIT;
    config.max_in_flight_requests = PENDING_LIMIT;
    let client::NewClient { client, dispatch } = NodeClient::new(config, transport);
    let ended = CancellationToken::new();
    let guard = ended.clone().drop_guard();
    tokio::spawn(async move {
        // Its errors reach the calls that it carries.
        let _ = dispatch.await;
        drop(guard);
    });
    let link = Link { client, watch, ended };
    links.lock().insert(node, link.clone());
    Ok(link)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(peer::MAX_FRAME_BYTES).new_codec()
}

impl external::Peer for Client {
    fn search(
        &self,
        node: id::Node,
        request: Search,
    ) -> BoxFuture<'static, Result<Vec<GroupAnswer>, PeerError>> {
        let limit = Duration::from_millis(request.remaining_ms);
        self.call(node, limit, |link, context| async move { link.search(context, request).await })
    }

    fn run(
        &self,
        node: id::Node,
        request: peer::Run,
    ) -> BoxFuture<'static, Result<answer::Run, PeerError>> {
        let limit = Duration::from_millis(request.remaining_ms);
        self.call(node, limit, |link, context| async move { link.run(context, request).await })
    }

    fn windows(
        &self,
        node: id::Node,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> BoxFuture<'static, Result<Vec<Option<Window>>, PeerError>> {
        let hello = self.hello.clone();
        self.call(node, CONTROL_TIMEOUT, |link, context| async move {
            link.windows(context, hello, service, groups).await
        })
    }

    fn config(
        &self,
        node: id::Node,
        have: Stamp,
    ) -> BoxFuture<'static, Result<Option<ConfigValue>, PeerError>> {
        let hello = self.hello.clone();
        self.call(node, CONTROL_TIMEOUT, move |link, context| async move {
            link.config(context, hello, have).await
        })
    }

    fn members(&self, node: id::Node) -> BoxFuture<'static, Result<Vec<Record>, PeerError>> {
        let hello = self.hello.clone();
        self.call(node, CONTROL_TIMEOUT, |link, context| async move {
            link.members(context, hello).await
        })
    }
}

/// Serves peers from `listener` until `cancel`.
pub async fn serve(node: Arc<Node>, listener: TcpListener, cancel: CancellationToken) {
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
        tokio::spawn(connection(node.clone(), stream, cancel.clone()));
    }
}

/// Pause after a failure to accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

async fn connection(node: Arc<Node>, stream: TcpStream, cancel: CancellationToken) {
    // Without it, small messages wait for acknowledgements of earlier ones.
    let _ = stream.set_nodelay(true);
    let transport = tarpc::serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let requests = BaseChannel::with_defaults(transport)
        .max_concurrent_requests(IN_FLIGHT_LIMIT)
        .execute(Server { node }.serve());
    let served = requests.for_each(|request| async move {
        tokio::spawn(request);
    });
    tokio::select! {
        biased;
        () = cancel.cancelled() => {}
        () = served => {}
    }
}

#[derive(Debug, Clone)]
struct Server {
    node: Arc<Node>,
}

impl Server {
    fn check(&self, hello: &Hello) -> Result<(), Refusal> {
        let refusal = if hello.protocol != heartbeat::PROTOCOL_VERSION {
            Refusal::Protocol
        } else if hello.deployment != self.node.context.settings.deployment {
            Refusal::Foreign
        } else {
            return Ok(());
        };
        self.node.context.counters.count(Counter::PeerRefused);
        Err(refusal)
    }
}

impl peer::Node for Server {
    async fn search(
        self,
        _: context::Context,
        request: Search,
    ) -> Result<Vec<GroupAnswer>, Refusal> {
        self.check(&request.hello)?;
        self.node.leaf.search(request).await
    }

    async fn run(self, _: context::Context, request: peer::Run) -> Result<answer::Run, Refusal> {
        self.check(&request.hello)?;
        Ok(self.node.run_forwarded(request).await)
    }

    async fn windows(
        self,
        _: context::Context,
        hello: Hello,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> Result<Vec<Option<Window>>, Refusal> {
        self.check(&hello)?;
        Ok(self.node.leaf.windows(&service, &groups).await)
    }

    async fn config(
        self,
        _: context::Context,
        hello: Hello,
        have: Stamp,
    ) -> Result<Option<ConfigValue>, Refusal> {
        self.check(&hello)?;
        Ok(self.node.config_newer_than(have))
    }

    async fn members(self, _: context::Context, hello: Hello) -> Result<Vec<Record>, Refusal> {
        self.check(&hello)?;
        Ok(self.node.members())
    }
}
