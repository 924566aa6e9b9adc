//! Interface for callers over HTTP/1.1.

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
    http_body::{self, OutgoingBody},
    node::Node,
    trace,
    write_timeout::WriteTimeoutStream,
};

/// Largest number of open connections of callers.
const MAX_CONNECTIONS: usize = 10_000;
/// Largest number of header fields of a request.
const MAX_HEADERS: usize = 64;
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Delay after a failure to accept a connection, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers from `listener` until `stop`.
///
/// After that, each connection finishes its current request and closes. The task tracker is empty
/// once the last connection has closed.
pub async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            node.context.counters.count(Counter::CallerConnections);
            continue;
        };
        // With Nagle's algorithm, the end of an answer would wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        let (node, stop) = (node.clone(), stop.clone());
        let stream = WriteTimeoutStream::new(stream, node.context.settings.io_timeout);
        tasks.spawn(async move {
            serve_connection(node, stream, stop).await;
            drop(permit);
        });
    }
}

async fn serve_connection(node: Arc<Node>, stream: WriteTimeoutStream, stop: CancellationToken) {
    let timeout = node.context.settings.io_timeout;
    let service = service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(answer(&node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection error affects only its caller, who sees it as well.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn answer(node: &Node, request: Request<Incoming>) -> Response<OutgoingBody> {
    let mut response = route(node, request).await;
    if node.context.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn route(node: &Node, request: Request<Incoming>) -> Response<OutgoingBody> {
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

fn addresses(node: &Node, request: &Request<Incoming>) -> Response<OutgoingBody> {
    let query = request.uri().query().unwrap_or("");
    let name = query.split('&').find_map(|p| p.strip_prefix("caller="));
    match name {
        Some(name) if !name.is_empty() => {
            let answer = node.addresses(name);
            // A node that has just started has no addresses yet. The status makes the caller try
            // another node.
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

async fn search(node: &Node, request: Request<Incoming>) -> Response<OutgoingBody> {
    let span = tracing::debug_span!("root.search");
    trace::set_parent(&span, request.headers());
    let handler = async {
        let call = read_call(node, request).await?;
        node.search(call).await.map_err(|e| (StatusCode::BAD_REQUEST, e))
    };
    match handler.instrument(span).await {
        Ok(answer) => outcome_response(answer.outcome, answer.retry_after_ms, &answer),
        Err((status, error)) => invalid(node, status, &error),
    }
}

async fn run(node: &Node, request: Request<Incoming>) -> Response<OutgoingBody> {
    let span = tracing::debug_span!("root.run");
    trace::set_parent(&span, request.headers());
    let handler = async {
        let call = read_call(node, request).await?;
        node.run(call).await.map_err(|e| (StatusCode::BAD_REQUEST, e))
    };
    match handler.instrument(span).await {
        Ok(answer) => outcome_response(answer.outcome, answer.retry_after_ms, &answer),
        Err((status, error)) => invalid(node, status, &error),
    }
}

/// Reads and parses the body of a request, within the size and time limits of the settings.
async fn read_call<T>(
    node: &Node,
    request: Request<Incoming>,
) -> Result<T, (StatusCode, caller::Error)>
where
    T: for<'a> serde::Deserialize<'a>,
{
    let settings = &node.context.settings;
    let limit = settings.max_body_bytes;
    let reading = http_body::read(request.into_body(), limit);
    let body = match tokio::time::timeout(settings.io_timeout, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(http_body::Error::TooLarge)) => {
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

/// Returns the response for an answer; its status depends on the outcome.
fn outcome_response<T: serde::Serialize>(
    outcome: policy::outcome::Outcome,
    retry_after_ms: Option<u64>,
    answer: &T,
) -> Response<OutgoingBody> {
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

/// Returns the response to an invalid request, which has not run.
fn invalid(node: &Node, status: StatusCode, error: &caller::Error) -> Response<OutgoingBody> {
    node.context.counters.count(Counter::CallerInvalid);
    json(status, &Invalid { outcome: policy::outcome::Outcome::NotRun, error })
}

#[derive(Debug, serde::Serialize)]
struct Invalid<'a> {
    outcome: policy::outcome::Outcome,
    error: &'a caller::Error,
}

fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<OutgoingBody> {
    respond(status, "application/json", caller::encode(value))
}

fn text(status: StatusCode, text: &str) -> Response<OutgoingBody> {
    respond(status, "text/plain", text.as_bytes().to_vec())
}

fn respond(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Response<OutgoingBody> {
    let mut response = Response::new(http_body::outgoing(body));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
