//! A node as a process: binds its addresses, runs, and stops without cutting requests off.

use std::{sync::Arc, time::Duration};

use base::{
    clock::{Clock, TokioClock, WallClock},
    id,
};
use cadence::StatsdClient;
use config::settings::Settings;
use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    context::{Context, External},
    counter::{self, Counter},
    http_platform, http_server, http_upstream,
    node::Node,
    operator, tarpc_peer, udp,
};

const METRICS_PERIOD: Duration = Duration::from_secs(1);
/// Bits of the incarnation that tell apart processes started in the same millisecond.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// A node that could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("{interface} address {address}: {source}")]
    Bind {
        /// Which address.
        interface: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The operators' interface could not be served.
    #[error(transparent)]
    Operator(#[from] operator::Error),
}

/// A running node.
#[derive(Debug)]
pub struct Server {
    /// The node.
    pub node: Arc<Node>,
    listeners: CancellationToken,
    tasks: TaskTracker,
}

impl Server {
    /// Binds the addresses of `settings` and starts. The operators' method `stop` cancels
    /// `stop`; the caller of this function is to call [`Server::stop`] then. `seed` decides
    /// the node's random choices.
    pub async fn start(
        settings: Settings,
        metrics: Option<StatsdClient>,
        seed: u64,
        stop: &CancellationToken,
    ) -> Result<Server, Error> {
        let bind = async |interface, address| {
            TcpListener::bind(address).await.map_err(|source| Error::Bind {
                interface,
                address,
                source,
            })
        };
        let callers = bind("callers'", settings.caller_addr).await?;
        let peers = bind("peers'", settings.peer_addr).await?;
        let socket = udp::HeartbeatSocket::bind(settings.peer_addr).await.map_err(|source| {
            Error::Bind { interface: "heartbeat", address: settings.peer_addr, source }
        })?;
        let clock: Arc<dyn Clock> = Arc::new(TokioClock);
        let external = External {
            upstream: Arc::new(http_upstream::Client::new(clock.clone())),
            peer: Arc::new(tarpc_peer::Client::new(settings.deployment.clone())),
            platform: Arc::new(http_platform::Client::new(settings.platform_addr)),
            network: Arc::new(socket.clone()),
            clock: clock.clone(),
        };
        let wall_clock = WallClock::new(clock);
        let incarnation = incarnation(wall_clock.unix_ms(), seed);
        let operators = settings.operator_addr;
        let context = Context::new(settings, incarnation, external, wall_clock, seed);
        let cancel = CancellationToken::new();
        let node = Arc::new(Node::new(context, cancel.clone()));
        let listeners = CancellationToken::new();
        let tasks = TaskTracker::new();
        tokio::spawn(socket.receive(node.clone(), cancel.clone()));
        tokio::spawn(tarpc_peer::serve(node.clone(), peers, cancel.clone()));
        tokio::spawn(http_server::serve(node.clone(), callers, listeners.clone(), tasks.clone()));
        let handle = operator::serve(node.clone(), operators, stop.clone()).await?;
        tokio::spawn(hold(handle, cancel.clone()));
        if let Some(client) = metrics {
            tokio::spawn(report(node.clone(), client, cancel));
        }
        node.start();
        Ok(Server { node, listeners, tasks })
    }

    /// Stops without cutting off a request, within the limit in the settings. Returns the
    /// number of requests that the limit cut off.
    pub async fn stop(self) -> usize {
        let limit = self.node.context.settings.stop_limit;
        let begun = self.node.context.now();
        self.node.leave(limit).await;
        self.listeners.cancel();
        self.tasks.close();
        let spent = self.node.context.now().saturating_duration_since(begun);
        let left = limit.saturating_sub(spent);
        let cut_off = self.node.drain(left).await;
        // Connections that are idle close at once; the others after what they serve.
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, self.tasks.wait()).await;
        if closed.is_err() {
            log::warn!("some connections of callers did not close");
        }
        self.node.context.counters.add(Counter::StopCutOff, cut_off as u64);
        self.node.cancel().cancel();
        cut_off
    }
}

/// Time for idle connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

fn incarnation(unix_ms: u64, seed: u64) -> id::Incarnation {
    let random = seed & ((1 << INCARNATION_RANDOM_BITS) - 1);
    id::Incarnation((unix_ms << INCARNATION_RANDOM_BITS) | random)
}

async fn hold(handle: jsonrpsee::server::ServerHandle, cancel: CancellationToken) {
    cancel.cancelled().await;
    // Fails only if it has stopped already.
    let _ = handle.stop();
}

async fn report(node: Arc<Node>, client: StatsdClient, cancel: CancellationToken) {
    let mut sent = Vec::new();
    loop {
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(METRICS_PERIOD) => {}
        }
        node.context.counters.send(&client, &mut sent);
        node.context.counters.send_latencies(&client);
        counter::send_gauges(&client, &node.gauges());
    }
}
