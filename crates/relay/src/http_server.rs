//! HTTP servers of a node, with a graceful shutdown.

use std::{
    convert::Infallible,
    fmt,
    future::Future,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    explain, forward,
    log_limiter::LogKind,
    node::Node,
    response::{self, Body},
    socket,
    stream::{Reader, WatchedStream},
};

/// Maximum number of connections of one listener at a time: bounds file descriptors and memory.
const MAX_CONNECTIONS: usize = 2_000;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between two checks whether a connection is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Idle timeout while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Factor on the idle timeout that callers know: the excess covers the time that a request takes
/// to arrive.
const IDLE_TIMEOUT_FACTOR: f64 = 1.1;
/// Time that a stop leaves for requests that have arrived and have not been read.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Smallest buffer for a request's head that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Buffer for a request's head while there is no configuration.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 128;

/// Handles the requests of one listener.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Returns the response to `request`.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>>;
}

/// Relays callers' requests.
#[derive(Debug)]
pub struct RelayHandler(pub Arc<Node>);

impl Handler for RelayHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(forward::serve(self.0.clone(), request))
    }
}

/// Serves the node's metrics, and explanations of where requests would go.
#[derive(Debug)]
pub struct MetricsHandler(pub Arc<Node>);

impl Handler for MetricsHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            match request.uri().path() {
                METRICS_PATH => {}
                explain::PATH => {
                    return explain::answer(&self.0, request.uri().query().unwrap_or_default());
                }
                _ => {
                    let text = "metrics are at /metrics, explanations at /explain";
                    return response::plain_text(StatusCode::NOT_FOUND, text);
                }
            }
            let mut response = Response::new(Body::from(self.0.metrics_text()));
            let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            response
        })
    }
}

/// Serves `listener` until `stop`, then shuts its connections down gracefully: requests in flight
/// are answered. `tasks` is empty once the last connection has closed.
pub async fn serve(
    node: Arc<Node>,
    handler: Arc<dyn Handler>,
    listener: TcpListener,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    let close = stopped(&stop);
    tokio::pin!(close);
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut close => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(cause = %e, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if tasks.len() >= MAX_CONNECTIONS {
            if node.log_limiter.allows(node.now(), LogKind::Refused) {
                tracing::warn!(
                    open = MAX_CONNECTIONS,
                    "closed a new connection: the listener is at its connection limit"
                );
            }
            continue;
        }
        let stream = match socket::Stream::new(stream) {
            Ok(stream) => stream,
            Err(e) => {
                tracing::debug!(cause = %e, "failed to set the options of a connection; closed it");
                continue;
            }
        };
        tasks.spawn(serve_connection(node.clone(), handler.clone(), stream, stop.clone()));
    }
}

/// Completes a moment after `stop`: what has arrived by then, on connections that wait to be
/// accepted or on kept ones, is answered.
async fn stopped(stop: &CancellationToken) {
    stop.cancelled().await;
    tokio::time::sleep(ARRIVAL_TIME).await;
}

/// Tracks whether a connection is idle.
#[derive(Debug)]
struct ConnectionActivity {
    node: Arc<Node>,
    origin: Instant,
    /// When a request last began or ended, in milliseconds since `origin`.
    last_ms: AtomicU64,
    /// Whether a request is in flight.
    busy: AtomicBool,
}

impl ConnectionActivity {
    /// Records that a request begins (`busy`) or ends.
    fn record(&self, busy: bool) {
        let ms = self.node.now().saturating_duration_since(self.origin).as_millis() as u64;
        self.last_ms.store(ms, Ordering::Relaxed);
        self.busy.store(busy, Ordering::Relaxed);
    }

    fn is_idle(&self, timeout: Duration) -> bool {
        let age = self.node.now().saturating_duration_since(self.origin);
        let idle = age.saturating_sub(Duration::from_millis(self.last_ms.load(Ordering::Relaxed)));
        !self.busy.load(Ordering::Relaxed) && idle > timeout
    }
}

async fn serve_connection(
    node: Arc<Node>,
    handler: Arc<dyn Handler>,
    stream: socket::Stream,
    stop: CancellationToken,
) {
    let origin = node.now();
    let activity = Arc::new(ConnectionActivity {
        node: node.clone(),
        origin,
        last_ms: AtomicU64::new(0),
        busy: AtomicBool::new(false),
    });
    let stream = WatchedStream::new(node.clone(), Reader::Caller, stream);
    let flow = stream.flow();
    let service = service_fn(|request| {
        let (handler, activity, flow) = (handler.clone(), activity.clone(), flow.clone());
        async move {
            activity.record(true);
            let mut response = handler.handle(request).await;
            activity.record(false);
            let now = activity.node.now();
            let request = response.extensions_mut().remove::<response::Addressee>();
            let held = hyper::body::Body::size_hint(response.body()).lower() as usize;
            let (deadline, id) = request.map_or((now, None), |r| (r.deadline, Some(r.request_id)));
            flow.start(now, deadline, held, id);
            if activity.node.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let head_bytes = node.route_table().map_or(DEFAULT_HEAD_BYTES, |t| t.limits.head_bytes);
    let mut server = http1::Builder::new();
    server
        .max_headers(MAX_HEADERS)
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .auto_date_header(false);
    let serving = server.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let mut idle_check = tokio::time::interval_at(
        tokio::time::Instant::now() + IDLE_CHECK_INTERVAL,
        IDLE_CHECK_INTERVAL,
    );
    let close = stopped(&stop);
    tokio::pin!(close);
    let mut stopping = false;
    loop {
        tokio::select! {
            biased;
            ended = serving.as_mut() => {
                if let Err(e) = ended {
                    tracing::debug!(cause = %e, "a connection ended with an error");
                }
                return;
            }
            () = &mut close, if !stopping => {
                stopping = true;
                serving.as_mut().graceful_shutdown();
            }
            _ = idle_check.tick(), if !stopping => {
                let table = node.route_table();
                let timeout = table.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.limits.idle_timeout);
                if activity.is_idle(timeout.mul_f64(IDLE_TIMEOUT_FACTOR)) {
                    stopping = true;
                    serving.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
