//! Callers' interface over HTTP/1.1.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{Method, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::Instrument;
use wire::caller;

use crate::{
    counter::Counter,
    http_body::{self, Outgoing},
    io,
    node::Node,
    trace,
};

/// Connections of callers at a time.
const CONNECTIONS: usize = 10_000;
/// Header fields of a request.
const HEADERS: usize = 64;
/// Bytes of a request's head.
const HEAD_LIMIT: usize = 16 << 10;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers from `listener` until `stop`; then lets the connections finish what they
/// serve. The task tracker is empty once the last connection has closed.
pub async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            node.context.counters.count(Counter::CallerConnections);
            continue;
        };
        // Without it, the end of an answer waits for an acknowledgement.
        let _ = stream.set_nodelay(true);
        let (node, stop) = (node.clone(), stop.clone());
        let stream = io::Stream::new(stream, node.context.settings.io_timeout);
        tasks.spawn(async move {
            connection(node, stream, stop).await;
            drop(place);
        });
    }
}

async fn connection(node: Arc<Node>, stream: io::Stream, stop: CancellationToken) {
    let timeout = node.context.settings.io_timeout;
    let service = service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(answer(&node, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(timeout)
        .max_headers(HEADERS)
        .max_buf_size(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    // Errors of a connection concern its caller alone, who sees them.
    tokio::select! {
        _ = served.as_mut() => return,
        () = stop.cancelled() => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}

async fn answer(node: &Node, request: Request<Incoming>) -> Response<Outgoing> {
    let mut response = route(node, request).await;
    if node.context.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn route(node: &Node, request: Request<Incoming>) -> Response<Outgoing> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (&method, path.as_str()) {
        (&Method::GET, caller::ADDRESSES_PATH) => addresses(node, &request),
        (&Method::GET, "/healthz") => text(StatusCode::OK, "alive\n"),
        (&Method::GET, "/readyz") if node.is_ready() => text(StatusCode::OK, "ready\n"),
        (&Method::GET, "/readyz") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (&Method::POST, caller::SEARCH_PATH) => search(node, request).await,
        (&Method::POST, caller::RUN_PATH) => run(node, request).await,
        (
            _,
            caller::ADDRESSES_PATH
            | caller::SEARCH_PATH
            | caller::RUN_PATH
            | "/healthz"
            | "/readyz",
        ) => {
            let error = caller::Error::new("method", format!("{method} is not served at {path}"));
            invalid(node, StatusCode::METHOD_NOT_ALLOWED, &error)
        }
        _ => {
            let allowed =
                [caller::ADDRESSES_PATH, caller::SEARCH_PATH, caller::RUN_PATH].join(", ");
            let error = caller::Error::new("path", format!("allowed {allowed}, /healthz, /readyz"));
            invalid(node, StatusCode::NOT_FOUND, &error)
        }
    }
}

fn addresses(node: &Node, request: &Request<Incoming>) -> Response<Outgoing> {
    let query = request.uri().query().unwrap_or("");
    let name = query.split('&').find_map(|p| p.strip_prefix("caller="));
    match name {
        Some(name) if !name.is_empty() => {
            let answer = node.addresses(name);
            // A node that has just started knows none yet; the caller should ask another.
            let status = match answer.addresses.is_empty() {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::OK,
            };
            json(status, &answer)
        }
        _ => {
            let error = caller::Error::new("caller", "missing, allowed ?caller=NAME".to_owned());
            invalid(node, StatusCode::BAD_REQUEST, &error)
        }
    }
}

async fn search(node: &Node, request: Request<Incoming>) -> Response<Outgoing> {
    let span = tracing::debug_span!("root.search");
    trace::set_parent(&span, request.headers());
    let answered = async {
        let call = read(node, request).await?;
        node.search(call).await.map_err(|e| (StatusCode::BAD_REQUEST, e))
    };
    match answered.instrument(span).await {
        Ok(answer) => outcome(answer.outcome, answer.retry_after_ms, &answer),
        Err((status, error)) => invalid(node, status, &error),
    }
}

async fn run(node: &Node, request: Request<Incoming>) -> Response<Outgoing> {
    let span = tracing::debug_span!("root.run");
    trace::set_parent(&span, request.headers());
    let answered = async {
        let call = read(node, request).await?;
        node.run(call).await.map_err(|e| (StatusCode::BAD_REQUEST, e))
    };
    match answered.instrument(span).await {
        Ok(answer) => outcome(answer.outcome, answer.retry_after_ms, &answer),
        Err((status, error)) => invalid(node, status, &error),
    }
}

async fn read<T>(node: &Node, request: Request<Incoming>) -> Result<T, (StatusCode, caller::Error)>
where
    T: for<'a> serde::Deserialize<'a>,
{
    let settings = &node.context.settings;
    let limit = settings.max_body_bytes;
    let reading = http_body::read(request.into_body(), limit);
    let body = match tokio::time::timeout(settings.io_timeout, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(http_body::Error::Size)) => {
            let error = caller::Error::new("body", format!("allowed {limit} bytes"));
            return Err((StatusCode::PAYLOAD_TOO_LARGE, error));
        }
        Ok(Err(http_body::Error::Truncated)) => {
            return Err((
                StatusCode::BAD_REQUEST,
                caller::Error::new("body", "truncated".to_owned()),
            ));
        }
        Err(_) => {
            let error = caller::Error::new("body", "sent too slowly".to_owned());
            return Err((StatusCode::REQUEST_TIMEOUT, error));
        }
    };
    caller::parse(&body).map_err(|e| (StatusCode::BAD_REQUEST, e))
}

fn outcome<T: serde::Serialize>(
    outcome: policy::outcome::Outcome,
    retry_after_ms: Option<u64>,
    answer: &T,
) -> Response<Outgoing> {
    use policy::outcome::Outcome;
    let status = match outcome {
        Outcome::Complete => StatusCode::OK,
        Outcome::Partial => StatusCode::PARTIAL_CONTENT,
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = json(status, answer);
    if let Some(ms) = retry_after_ms {
        let seconds = header::HeaderValue::from(ms.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// A request that was not understood; it has not run.
fn invalid(node: &Node, status: StatusCode, error: &caller::Error) -> Response<Outgoing> {
    node.context.counters.count(Counter::CallerInvalid);
    json(status, &Invalid { outcome: policy::outcome::Outcome::NotRun, error })
}

#[derive(Debug, serde::Serialize)]
struct Invalid<'a> {
    outcome: policy::outcome::Outcome,
    error: &'a caller::Error,
}

fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Outgoing> {
    respond(status, "application/json", caller::encode(value))
}

fn text(status: StatusCode, text: &str) -> Response<Outgoing> {
    respond(status, "text/plain", text.as_bytes().to_vec())
}

fn respond(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Response<Outgoing> {
    let mut response = Response::new(http_body::stream(body));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
