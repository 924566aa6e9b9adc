//! HTTP servers of a node, with a stop that cuts off no request.

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
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    forward,
    log_limiter::LogKind,
    node::Node,
    response::{self, Body},
    socket,
};

/// Connections of one listener at a time: bounds descriptors and memory.
const CONNECTIONS: usize = 2_000;
/// Pause after a failure to accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between two looks for idle connections.
const SWEEP: Duration = Duration::from_secs(1);
/// Idle time allowed before a configuration says so.
const IDLE: Duration = Duration::from_secs(60);
/// Kept over the idle time that callers are told, for requests on the way.
const IDLE_FACTOR: f64 = 1.1;
/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Least size of the buffer for a head that the HTTP library takes.
const HEAD_LEAST: usize = 8 << 10;
/// Size of the buffer for a head before a configuration says so.
const HEAD: usize = 16 << 10;
/// Header fields of a request.
const HEADERS: usize = 128;

/// Answers requests of one listener.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Answers `request`.
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

/// Serves counters and histograms.
#[derive(Debug)]
pub struct MetricsHandler(pub Arc<Node>);

impl Handler for MetricsHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            if request.uri().path() != METRICS {
                return response::plain_text(StatusCode::NOT_FOUND, "metrics are at /metrics");
            }
            let mut response = Response::new(Body::from(self.0.metrics_text()));
            let text = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(header::CONTENT_TYPE, text);
            response
        })
    }
}

/// Serves `listener` until `stop`, then lets its connections finish what they serve. `tasks`
/// is empty once the last connection has closed.
pub async fn serve(
    node: Arc<Node>,
    handler: Arc<dyn Handler>,
    listener: TcpListener,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(cause = %e, "a connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if tasks.len() >= CONNECTIONS {
            if node.journal.allows(node.now(), LogKind::Refused) {
                tracing::warn!(open = CONNECTIONS, "a connection was refused: too many are open");
            }
            continue;
        }
        if let Err(e) = socket::set_options(&stream) {
            tracing::debug!(cause = %e, "a connection ended before it was served");
            continue;
        }
        tasks.spawn(connection(node.clone(), handler.clone(), stream, stop.clone()));
    }
}

/// When a connection was last used.
#[derive(Debug)]
struct Use {
    node: Arc<Node>,
    origin: Instant,
    last_ms: AtomicU64,
    busy: AtomicBool,
}

impl Use {
    fn touch(&self, busy: bool) {
        let ms = self.node.now().saturating_duration_since(self.origin).as_millis() as u64;
        self.last_ms.store(ms, Ordering::Relaxed);
        self.busy.store(busy, Ordering::Relaxed);
    }

    fn is_idle(&self, limit: Duration) -> bool {
        let age = self.node.now().saturating_duration_since(self.origin);
        let idle = age.saturating_sub(Duration::from_millis(self.last_ms.load(Ordering::Relaxed)));
        !self.busy.load(Ordering::Relaxed) && idle > limit
    }
}

async fn connection(
    node: Arc<Node>,
    handler: Arc<dyn Handler>,
    stream: TcpStream,
    stop: CancellationToken,
) {
    let origin = node.now();
    let used = Arc::new(Use {
        node: node.clone(),
        origin,
        last_ms: AtomicU64::new(0),
        busy: AtomicBool::new(false),
    });
    let service = service_fn(|request| {
        let (handler, used) = (handler.clone(), used.clone());
        async move {
            used.touch(true);
            let mut response = handler.handle(request).await;
            used.touch(false);
            if used.node.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let head = node.route_table().map_or(HEAD, |t| t.limits.head_bytes);
    let mut server = http1::Builder::new();
    server.max_headers(HEADERS).max_buf_size(head.max(HEAD_LEAST)).auto_date_header(false);
    let serving = server.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let mut sweep = tokio::time::interval_at(tokio::time::Instant::now() + SWEEP, SWEEP);
    let mut stopping = false;
    loop {
        tokio::select! {
            biased;
            ended = serving.as_mut() => {
                if let Err(e) = ended {
                    tracing::debug!(cause = %e, "a connection ended");
                }
                return;
            }
            () = stop.cancelled(), if !stopping => {
                stopping = true;
                serving.as_mut().graceful_shutdown();
            }
            _ = sweep.tick(), if !stopping => {
                let limit = node.route_table().map_or(IDLE, |t| t.limits.idle_timeout);
                if used.is_idle(limit.mul_f64(IDLE_FACTOR)) {
                    stopping = true;
                    serving.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
