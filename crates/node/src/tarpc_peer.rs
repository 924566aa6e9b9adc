//! Requests between nodes over tarpc: a client with one connection to each peer, and the server.

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
    monitored_stream::{MonitoredStream, StreamMonitor},
    node::Node,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for calls that do not belong to a caller's request and so have no deadline.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of requests of one connection that are served at a time.
const MAX_CONCURRENT_REQUESTS: usize = 4_096;
/// Largest number of requests to one peer whose answer is outstanding.
const MAX_PENDING_REQUESTS: usize = 4_096;

type Connections = Mutex<FastMap<id::Node, Connection>>;

/// Connection to a peer.
#[derive(Debug, Clone)]
struct Connection {
    client: NodeClient,
    monitor: StreamMonitor,
    /// Cancelled once the task that drives the connection has ended.
    closed: CancellationToken,
}

impl Connection {
    /// Returns whether a new call on this connection would be lost.
    fn is_closed(&self) -> bool {
        self.closed.is_cancelled() || self.monitor.is_closed()
    }
}

/// Client for all peers.
#[derive(Debug)]
pub struct Client {
    hello: Hello,
    connections: Arc<Connections>,
}

impl Client {
    /// Creates a client for nodes in `deployment`.
    pub fn new(deployment: id::Deployment) -> Client {
        let hello = Hello { protocol: heartbeat::PROTOCOL_VERSION, deployment };
        Client { hello, connections: Arc::default() }
    }

    /// Makes the call `f` to `node`, without retries. A broken connection is replaced at the next
    /// call.
    fn call<T, F, R>(
        &self,
        node: id::Node,
        timeout: Duration,
        f: F,
    ) -> BoxFuture<'static, Result<T, PeerError>>
    where
        T: Send + 'static,
        F: FnOnce(NodeClient, context::Context) -> R + Send + 'static,
        R: Future<Output = Result<Result<T, Refusal>, RpcError>> + Send,
    {
        let connections = self.connections.clone();
        Box::pin(async move {
            let Connection { client, monitor, .. } = connect(&connections, node).await?;
            let mut context = context::current();
            context.deadline = Instant::now() + timeout;
            let written_before = monitor.written();
            match f(client, context).await {
                Ok(Ok(value)) => Ok(value),
                Ok(Err(refusal)) => Err(PeerError::Refused(refusal)),
                Err(RpcError::DeadlineExceeded) => Err(PeerError::Lost),
                Err(e) => {
                    connections.lock().remove(&node);
                    // The request is certainly unsent only if nothing was written since: bytes of
                    // other calls on the connection cannot be distinguished from this call's.
                    let unsent = monitor.written() == written_before;
                    tracing::debug!(%node, unsent, error = %e, "connection to a peer lost");
                    Err(if unsent { PeerError::NotSent } else { PeerError::Lost })
                }
            }
        })
    }
}

/// Returns the open connection to `node`, or establishes one.
async fn connect(connections: &Connections, node: id::Node) -> Result<Connection, PeerError> {
    if let Some(connection) = connections.lock().get(&node).filter(|c| !c.is_closed()) {
        return Ok(connection.clone());
    }
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(node.0)).await;
    let stream = connecting.ok().and_then(Result::ok).ok_or(PeerError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| PeerError::NotSent)?;
    let (stream, monitor) = MonitoredStream::new(stream);
    let transport = tarpc::serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let mut config = client::Config::default();
    config.pending_request_buffer = MAX_PENDING_REQUESTS;
    config.max_in_flight_requests = MAX_PENDING_REQUESTS;
    let client::NewClient { client, dispatch } = NodeClient::new(config, transport);
    let closed = CancellationToken::new();
    let guard = closed.clone().drop_guard();
    tokio::spawn(async move {
        // Connection errors are returned to the calls on the connection.
        let _ = dispatch.await;
        drop(guard);
    });
    let connection = Connection { client, monitor, closed };
    connections.lock().insert(node, connection.clone());
    Ok(connection)
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
        let timeout = Duration::from_millis(request.remaining_ms);
        self.call(
            node,
            timeout,
            |client, context| async move { client.search(context, request).await },
        )
    }

    fn run(
        &self,
        node: id::Node,
        request: peer::Run,
    ) -> BoxFuture<'static, Result<answer::Run, PeerError>> {
        let timeout = Duration::from_millis(request.remaining_ms);
        self.call(
            node,
            timeout,
            |client, context| async move { client.run(context, request).await },
        )
    }

    fn windows(
        &self,
        node: id::Node,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> BoxFuture<'static, Result<Vec<Option<Window>>, PeerError>> {
        let hello = self.hello.clone();
        self.call(node, CONTROL_TIMEOUT, |client, context| async move {
            client.windows(context, hello, service, groups).await
        })
    }

    fn config(
        &self,
        node: id::Node,
        have: Stamp,
    ) -> BoxFuture<'static, Result<Option<ConfigValue>, PeerError>> {
        let hello = self.hello.clone();
        self.call(node, CONTROL_TIMEOUT, move |client, context| async move {
            client.config(context, hello, have).await
        })
    }

    fn members(&self, node: id::Node) -> BoxFuture<'static, Result<Vec<Record>, PeerError>> {
        let hello = self.hello.clone();
        self.call(node, CONTROL_TIMEOUT, |client, context| async move {
            client.members(context, hello).await
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        tokio::spawn(serve_connection(node.clone(), stream, cancel.clone()));
    }
}

/// Delay after a failure to accept a connection, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

async fn serve_connection(node: Arc<Node>, stream: TcpStream, cancel: CancellationToken) {
    // With Nagle's algorithm, small messages would wait for acknowledgements of earlier ones.
    let _ = stream.set_nodelay(true);
    let transport = tarpc::serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let requests = BaseChannel::with_defaults(transport)
        .max_concurrent_requests(MAX_CONCURRENT_REQUESTS)
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
    /// Refuses requests of another deployment or protocol version.
    fn check_hello(&self, hello: &Hello) -> Result<(), Refusal> {
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
        self.check_hello(&request.hello)?;
        self.node.leaf.search(request).await
    }

    async fn run(self, _: context::Context, request: peer::Run) -> Result<answer::Run, Refusal> {
        self.check_hello(&request.hello)?;
        Ok(self.node.run_forwarded(request).await)
    }

    async fn windows(
        self,
        _: context::Context,
        hello: Hello,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> Result<Vec<Option<Window>>, Refusal> {
        self.check_hello(&hello)?;
        Ok(self.node.leaf.windows(&service, &groups).await)
    }

    async fn config(
        self,
        _: context::Context,
        hello: Hello,
        have: Stamp,
    ) -> Result<Option<ConfigValue>, Refusal> {
        self.check_hello(&hello)?;
        Ok(self.node.config_newer_than(have))
    }

    async fn members(self, _: context::Context, hello: Hello) -> Result<Vec<Record>, Refusal> {
        self.check_hello(&hello)?;
        Ok(self.node.members())
    }
}
