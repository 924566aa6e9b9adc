//! HTTP servers for the simulated upstreams and the simulated platform.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use base::unit::Generation;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use wire::{platform, upstream};

use crate::{
    platform::Platform,
    upstream::{Failure, Upstream},
};

/// Values of the `traceparent` headers that upstreams received, newest last.
pub type TraceHeaders = Arc<parking_lot::Mutex<Vec<String>>>;

/// Serves `upstream` on `listener` until accepting a connection fails. Each new connection is
/// served only after `setup`, which simulates the time to establish it.
pub async fn serve_upstream(
    upstream: Arc<Upstream>,
    listener: TcpListener,
    setup: Duration,
    trace_headers: TraceHeaders,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (upstream, trace_headers) = (upstream.clone(), trace_headers.clone());
        tokio::spawn(async move {
            tokio::time::sleep(setup).await;
            let service = service_fn(move |request| {
                handle_sub_request(upstream.clone(), trace_headers.clone(), request)
            });
            // An error closes the connection: clients observe a lost upstream.
            let _ = serve_connection(stream, service).await;
        });
    }
}

async fn serve_connection<S>(stream: TcpStream, service: S) -> Result<(), hyper::Error>
where
    S: hyper::service::Service<Request<Incoming>, Response = Response<Full<Bytes>>>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Nagle's algorithm would delay replies until earlier segments are acknowledged.
    let _ = stream.set_nodelay(true);
    http1::Builder::new().serve_connection(TokioIo::new(stream), service).await
}

async fn handle_sub_request(
    upstream: Arc<Upstream>,
    trace_headers: TraceHeaders,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, io::Error> {
    let lost = || io::Error::from(io::ErrorKind::ConnectionReset);
    if request.uri().path() == upstream::STATUS_PATH {
        let status = upstream.status().ok_or_else(lost)?;
        return Ok(respond(StatusCode::OK, upstream::encode(&status)));
    }
    if let Some(trace) = request.headers().get("traceparent") {
        trace_headers.lock().push(trace.to_str().unwrap_or_default().to_owned());
    }
    let body = request.into_body().collect().await.map_err(|_| lost())?.to_bytes();
    let Ok(message) = upstream::parse(&body) else {
        return Ok(respond(StatusCode::BAD_REQUEST, Vec::new()));
    };
    match upstream.handle(message).await {
        Ok(reply) => Ok(respond(StatusCode::OK, upstream::encode(&reply))),
        Err(Failure::Refused(refusal)) => {
            Ok(respond(StatusCode::SERVICE_UNAVAILABLE, upstream::encode(&refusal)))
        }
        Err(Failure::Failed) => Ok(respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())),
        Err(Failure::Lost | Failure::Down) => Err(lost()),
    }
}

/// Serves `platform` on `listener` until accepting a connection fails.
pub async fn serve_platform(platform: Platform, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let platform = platform.clone();
        tokio::spawn(async move {
            let service =
                service_fn(move |request| handle_platform_request(platform.clone(), request));
            // An error affects this client only.
            let _ = serve_connection(stream, service).await;
        });
    }
}

async fn handle_platform_request(
    platform: Platform,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let unavailable = |_| respond(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    if request.uri().path() == platform::VMS_PATH {
        let vms = platform.list_vms().await;
        let response = vms.map(|vms| respond(StatusCode::OK, platform::encode_vms(&vms)));
        return Ok(response.unwrap_or_else(unavailable));
    }
    let query = request.uri().query().unwrap_or("");
    let parameter = |key: &str| {
        let value = query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        value.and_then(|v| v.parse::<u64>().ok()).unwrap_or(0)
    };
    let wait = Duration::from_millis(parameter("wait_ms"));
    let config = platform.read_config(Generation(parameter("after")), wait).await;
    Ok(match config {
        Ok(Some(value)) => respond(StatusCode::OK, value),
        Ok(None) => respond(StatusCode::NO_CONTENT, Vec::new()),
        Err(e) => unavailable(e),
    })
}

fn respond(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
