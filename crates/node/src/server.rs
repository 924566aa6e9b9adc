//! Lifecycle of a node in a process: binds its addresses, starts it, and stops it gracefully.

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

/// Period at which metrics are sent.
const METRICS_PERIOD: Duration = Duration::from_secs(1);
/// Number of random bits of an incarnation, which distinguish processes that started in the same
/// millisecond.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// Failure to start a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("{interface} address {address}: {source}")]
    Bind {
        /// The interface that the address is for.
        interface: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
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
    /// Binds the addresses in `settings` and starts the node.
    ///
    /// The RPC method `stop` of the operators' interface only cancels the token `stop`; the caller
    /// of this function must then call [`Server::stop`]. `seed` determines the node's random
    /// choices.
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
        tokio::spawn(stop_on_cancel(handle, cancel.clone()));
        if let Some(client) = metrics {
            tokio::spawn(report_metrics(node.clone(), client, cancel));
        }
        node.start();
        Ok(Server { node, listeners, tasks })
    }

    /// Performs a planned stop: leaves and completes the requests in progress, within the time
    /// limit in the settings, then closes the connections of callers. Returns the number of
    /// requests that the limit cut off.
    pub async fn stop(self) -> usize {
        let limit = self.node.context.settings.stop_limit;
        let started = self.node.context.now();
        self.node.leave(limit).await;
        self.listeners.cancel();
        self.tasks.close();
        let elapsed = self.node.context.now().saturating_duration_since(started);
        let remaining = limit.saturating_sub(elapsed);
        let cut_off = self.node.drain(remaining).await;
        // Idle connections close at once, the others after their current request.
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, self.tasks.wait()).await;
        if closed.is_err() {
            log::warn!("connections of callers did not close within {CLOSE_TIMEOUT:?}");
        }
        self.node.context.counters.add(Counter::StopCutOff, cut_off as u64);
        self.node.cancel().cancel();
        cut_off
    }
}

/// Timeout for closing the connections of callers once no request is in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

fn incarnation(unix_ms: u64, seed: u64) -> id::Incarnation {
    let random = seed & ((1 << INCARNATION_RANDOM_BITS) - 1);
    id::Incarnation((unix_ms << INCARNATION_RANDOM_BITS) | random)
}

/// Stops the operators' interface once `cancel` is cancelled.
async fn stop_on_cancel(handle: jsonrpsee::server::ServerHandle, cancel: CancellationToken) {
    cancel.cancelled().await;
    // Fails only if the interface has stopped already.
    let _ = handle.stop();
}

/// Sends metrics to statsd periodically until `cancel`.
async fn report_metrics(node: Arc<Node>, client: StatsdClient, cancel: CancellationToken) {
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
