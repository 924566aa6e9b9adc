//! The stand-ins over HTTP.

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

/// Traces that an upstream was given, newest last.
pub type TraceHeaders = Arc<parking_lot::Mutex<Vec<String>>>;

/// Serves `upstream` from `listener` for ever; `setup` is the time to set up a connection.
pub async fn serve_upstream(
    upstream: Arc<Upstream>,
    listener: TcpListener,
    setup: Duration,
    traces: TraceHeaders,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (upstream, traces) = (upstream.clone(), traces.clone());
        tokio::spawn(async move {
            tokio::time::sleep(setup).await;
            let service =
                service_fn(move |request| answer(upstream.clone(), traces.clone(), request));
            // An error closes the connection, which is what a lost upstream looks like.
            let _ = connection(stream, service).await;
        });
    }
}

async fn connection<S>(stream: TcpStream, service: S) -> Result<(), hyper::Error>
where
    S: hyper::service::Service<Request<Incoming>, Response = Response<Full<Bytes>>>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Without it, replies wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    http1::Builder::new().serve_connection(TokioIo::new(stream), service).await
}

async fn answer(
    upstream: Arc<Upstream>,
    traces: TraceHeaders,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, io::Error> {
    let lost = || io::Error::from(io::ErrorKind::ConnectionReset);
    if request.uri().path() == upstream::STATUS_PATH {
        let status = upstream.status().ok_or_else(lost)?;
        return Ok(respond(StatusCode::OK, upstream::encode(&status)));
    }
    if let Some(trace) = request.headers().get("traceparent") {
        traces.lock().push(trace.to_str().unwrap_or_default().to_owned());
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

/// Serves `platform` from `listener` for ever.
pub async fn serve_platform(platform: Platform, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let platform = platform.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| read(platform.clone(), request));
            // An error concerns the reader alone.
            let _ = connection(stream, service).await;
        });
    }
}

async fn read(
    platform: Platform,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let down = |_| respond(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    if request.uri().path() == platform::VMS_PATH {
        let listed = platform.list_vms().await;
        let answer = listed.map(|vms| respond(StatusCode::OK, platform::encode_vms(&vms)));
        return Ok(answer.unwrap_or_else(down));
    }
    let query = request.uri().query().unwrap_or("");
    let number = |key: &str| {
        let value = query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        value.and_then(|v| v.parse::<u64>().ok()).unwrap_or(0)
    };
    let wait = Duration::from_millis(number("wait_ms"));
    let read = platform.read_config(Generation(number("after")), wait).await;
    Ok(match read {
        Ok(Some(value)) => respond(StatusCode::OK, value),
        Ok(None) => respond(StatusCode::NO_CONTENT, Vec::new()),
        Err(e) => down(e),
    })
}

fn respond(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
