//! Upstreams over HTTP/1.1, with a bounded pool of connections to each.
//!
//! The connections are hyper's low-level ones: nothing below this module sends a request a
//! second time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{clock::Clock, hash::FastMap, id};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, sync::Notify};
use wire::upstream;

use crate::{
    external::{self, BoxFuture, SubRequest, UpstreamError},
    http_body, trace,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest status, in bytes.
const STATUS_LIMIT: usize = 4 << 10;

type Connection = SendRequest<Full<Bytes>>;

/// Client for all upstreams.
#[derive(Debug)]
pub struct Client {
    clock: Arc<dyn Clock>,
    pools: Mutex<FastMap<id::Upstream, Arc<Pool>>>,
}

#[derive(Debug, Default)]
struct Pool {
    idle: Mutex<Vec<Connection>>,
    /// Connections open or being opened.
    open: AtomicUsize,
    returned: Notify,
}

/// Holds a place in the pool's limit until dropped.
#[derive(Debug)]
struct Place(Arc<Pool>);

impl Place {
    fn take(pool: &Arc<Pool>, limit: usize) -> Option<Place> {
        let free = |open: usize| (open < limit).then_some(open + 1);
        let taken = pool.open.fetch_update(Ordering::AcqRel, Ordering::Acquire, free);
        taken.ok().map(|_| Place(pool.clone()))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.returned.notify_one();
    }
}

impl Client {
    /// A client without connections.
    pub fn new(clock: Arc<dyn Clock>) -> Client {
        Client { clock, pools: Mutex::default() }
    }

    fn pool(&self, upstream: id::Upstream) -> Arc<Pool> {
        self.pools.lock().entry(upstream).or_default().clone()
    }
}

impl external::Upstream for Client {
    fn request(
        &self,
        sub: SubRequest,
    ) -> BoxFuture<'static, Result<upstream::Reply, UpstreamError>> {
        let pool = self.pool(sub.upstream);
        let clock = self.clock.clone();
        Box::pin(async move {
            let cancel = sub.cancel.clone();
            tokio::select! {
                biased;
                () = cancel.cancelled() => Err(UpstreamError::Lost),
                result = request(pool, clock, sub) => result,
            }
        })
    }

    fn status(
        &self,
        upstream: id::Upstream,
    ) -> BoxFuture<'static, Result<upstream::Status, UpstreamError>> {
        let pool = self.pool(upstream);
        Box::pin(async move {
            // A probe uses an idle connection or a short-lived one of its own, so that it does
            // not wait behind requests.
            let idle = pool.idle.lock().pop();
            let (mut connection, pooled) = match idle.filter(|c| !c.is_closed()) {
                Some(connection) => (connection, true),
                None => (connect(upstream, None).await?, false),
            };
            let request = head(Request::get(upstream::STATUS_PATH), upstream);
            let request = request.body(Full::default()).map_err(|_| UpstreamError::Unreached)?;
            let response =
                connection.send_request(request).await.map_err(|_| UpstreamError::Lost)?;
            let body = http_body::read(response.into_body(), STATUS_LIMIT).await;
            let body = body.map_err(|_| UpstreamError::BadReply)?;
            if pooled {
                pool.put_back(connection);
            }
            upstream::parse(&body).map_err(|_| UpstreamError::BadReply)
        })
    }
}

async fn request(
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    sub: SubRequest,
) -> Result<upstream::Reply, UpstreamError> {
    let left = || sub.deadline.saturating_duration_since(clock.now());
    let opened = tokio::time::timeout(left(), open(&pool, sub.upstream, sub.max_connections)).await;
    let mut connection = opened.map_err(|_| UpstreamError::Unreached)??;
    // Looked at again here: the process may have been paused since the decision to send.
    let remaining = left();
    if remaining.is_zero() {
        pool.put_back(connection);
        return Err(UpstreamError::Unreached);
    }
    let mut message = sub.request;
    message.remaining_ms = remaining.as_millis() as u64;
    let mut request = head(Request::post(upstream::REQUEST_PATH), sub.upstream)
        .body(Full::new(Bytes::from(upstream::encode(&message))))
        .map_err(|_| UpstreamError::Unreached)?;
    trace::inject(request.headers_mut());
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        // hyper hands the message back only if it has written nothing of it.
        Err(mut e) => {
            let unsent = e.take_message().is_some();
            return Err(if unsent { UpstreamError::Unreached } else { UpstreamError::Lost });
        }
    };
    let reply = read(response).await?;
    if connection.ready().await.is_ok() {
        pool.put_back(connection);
    }
    reply
}

fn head(builder: http::request::Builder, upstream: id::Upstream) -> http::request::Builder {
    builder
        .header(header::HOST, upstream.to_string())
        .header(header::CONTENT_TYPE, "application/json")
}

/// Reads a response. The outer error means that the connection cannot be used again.
async fn read(
    response: Response<Incoming>,
) -> Result<Result<upstream::Reply, UpstreamError>, UpstreamError> {
    let status = response.status();
    let body = http_body::read(response.into_body(), upstream::MAX_REPLY_BYTES).await;
    let body = body.map_err(|e| match e {
        http_body::Error::Size => UpstreamError::BadReply,
        http_body::Error::Truncated => UpstreamError::Lost,
    })?;
    Ok(match status {
        StatusCode::OK => upstream::parse(&body).map_err(|_| UpstreamError::BadReply),
        StatusCode::SERVICE_UNAVAILABLE => Err(match upstream::parse(&body) {
            Ok(refusal) => UpstreamError::Refused(refusal),
            // Without the statement that it did not run, it may have.
            Err(_) => UpstreamError::BadReply,
        }),
        _ => Err(UpstreamError::Failed),
    })
}

async fn open(
    pool: &Arc<Pool>,
    upstream: id::Upstream,
    limit: usize,
) -> Result<Connection, UpstreamError> {
    loop {
        let returned = pool.returned.notified();
        while let Some(mut connection) = pool.pop() {
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        if let Some(place) = Place::take(pool, limit) {
            return connect(upstream, Some(place)).await;
        }
        returned.await;
    }
}

impl Pool {
    /// Keeps a connection for the next request, and drops those that have closed meanwhile.
    fn put_back(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        idle.retain(|c| !c.is_closed());
        idle.push(connection);
        self.returned.notify_one();
    }

    fn pop(&self) -> Option<Connection> {
        self.idle.lock().pop()
    }
}

async fn connect(
    upstream: id::Upstream,
    place: Option<Place>,
) -> Result<Connection, UpstreamError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(upstream.0)).await;
    let stream = connecting.ok().and_then(Result::ok).ok_or(UpstreamError::Unreached)?;
    stream.set_nodelay(true).map_err(|_| UpstreamError::Unreached)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| UpstreamError::Unreached)?;
    tokio::spawn(async move {
        // Its errors reach the requests that used it.
        let _ = connection.await;
        drop(place);
    });
    Ok(sender)
}
