//! Client for upstreams over HTTP/1.1, with a bounded connection pool for each upstream.
//!
//! It uses hyper's low-level connections, so that no layer below this module retries a request.

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
/// Largest body of a status, in bytes.
const MAX_STATUS_BYTES: usize = 4 << 10;

type Connection = SendRequest<Full<Bytes>>;

/// Client for all upstreams.
#[derive(Debug)]
pub struct Client {
    clock: Arc<dyn Clock>,
    pools: Mutex<FastMap<id::Upstream, Arc<Pool>>>,
}

/// Connection pool of one upstream.
#[derive(Debug, Default)]
struct Pool {
    idle: Mutex<Vec<Connection>>,
    /// Number of connections that are open or being opened, status probes' own ones excluded.
    open: AtomicUsize,
    /// Notified when a connection or a permit is returned.
    returned: Notify,
}

/// Permit for one open connection of a pool; returned when dropped.
#[derive(Debug)]
struct ConnectionPermit(Arc<Pool>);

impl ConnectionPermit {
    fn try_acquire(pool: &Arc<Pool>, limit: usize) -> Option<ConnectionPermit> {
        let increment = |open: usize| (open < limit).then_some(open + 1);
        let acquired = pool.open.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment);
        acquired.ok().map(|_| ConnectionPermit(pool.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.returned.notify_one();
    }
}

impl Client {
    /// Creates a client without connections.
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
        sub_request: SubRequest,
    ) -> BoxFuture<'static, Result<upstream::Reply, UpstreamError>> {
        let pool = self.pool(sub_request.upstream);
        let clock = self.clock.clone();
        Box::pin(async move {
            let cancel = sub_request.cancel.clone();
            tokio::select! {
                biased;
                () = cancel.cancelled() => Err(UpstreamError::Lost),
                result = request(pool, clock, sub_request) => result,
            }
        })
    }

    fn status(
        &self,
        upstream: id::Upstream,
    ) -> BoxFuture<'static, Result<upstream::Status, UpstreamError>> {
        let pool = self.pool(upstream);
        Box::pin(async move {
            // A probe uses an idle connection, or else a temporary one outside of the pool's
            // limit, so that it does not queue behind requests.
            let idle = pool.idle.lock().pop();
            let (mut connection, pooled) = match idle.filter(|c| !c.is_closed()) {
                Some(connection) => (connection, true),
                None => (connect(upstream, None).await?, false),
            };
            let request = with_headers(Request::get(upstream::STATUS_PATH), upstream);
            let request = request.body(Full::default()).map_err(|_| UpstreamError::NotSent)?;
            let response =
                connection.send_request(request).await.map_err(|_| UpstreamError::Lost)?;
            let body = http_body::read(response.into_body(), MAX_STATUS_BYTES).await;
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
    sub_request: SubRequest,
) -> Result<upstream::Reply, UpstreamError> {
    let remaining = || sub_request.deadline.saturating_duration_since(clock.now());
    let acquire = acquire(&pool, sub_request.upstream, sub_request.max_connections);
    let acquired = tokio::time::timeout(remaining(), acquire).await;
    let mut connection = acquired.map_err(|_| UpstreamError::NotSent)??;
    // The deadline is checked again, because the process may have been suspended since the
    // scheduler decided to send the request.
    let remaining = remaining();
    if remaining.is_zero() {
        pool.put_back(connection);
        return Err(UpstreamError::NotSent);
    }
    let mut message = sub_request.request;
    message.remaining_ms = remaining.as_millis() as u64;
    let mut request = with_headers(Request::post(upstream::REQUEST_PATH), sub_request.upstream)
        .body(Full::new(Bytes::from(upstream::encode(&message))))
        .map_err(|_| UpstreamError::NotSent)?;
    trace::inject(request.headers_mut());
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        // hyper returns the message only if it has written no byte of it.
        Err(mut e) => {
            let unsent = e.take_message().is_some();
            return Err(if unsent { UpstreamError::NotSent } else { UpstreamError::Lost });
        }
    };
    let reply = read_reply(response).await?;
    if connection.ready().await.is_ok() {
        pool.put_back(connection);
    }
    reply
}

fn with_headers(builder: http::request::Builder, upstream: id::Upstream) -> http::request::Builder {
    builder
        .header(header::HOST, upstream.to_string())
        .header(header::CONTENT_TYPE, "application/json")
}

/// Reads a response. The outer error means that the connection cannot be reused.
async fn read_reply(
    response: Response<Incoming>,
) -> Result<Result<upstream::Reply, UpstreamError>, UpstreamError> {
    let status = response.status();
    let body = http_body::read(response.into_body(), upstream::MAX_REPLY_BYTES).await;
    let body = body.map_err(|e| match e {
        http_body::Error::TooLarge => UpstreamError::BadReply,
        http_body::Error::Truncated => UpstreamError::Lost,
    })?;
    Ok(match status {
        StatusCode::OK => upstream::parse(&body).map_err(|_| UpstreamError::BadReply),
        StatusCode::SERVICE_UNAVAILABLE => Err(match upstream::parse(&body) {
            Ok(refusal) => UpstreamError::Refused(refusal),
            // Without an explicit refusal, the request may have run.
            Err(_) => UpstreamError::BadReply,
        }),
        _ => Err(UpstreamError::Failed),
    })
}

/// Takes an idle connection, or opens one within `limit`, or waits for either.
async fn acquire(
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
        if let Some(permit) = ConnectionPermit::try_acquire(pool, limit) {
            return connect(upstream, Some(permit)).await;
        }
        returned.await;
    }
}

impl Pool {
    /// Returns a connection for reuse, and drops idle ones that have closed.
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
    permit: Option<ConnectionPermit>,
) -> Result<Connection, UpstreamError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(upstream.0)).await;
    let stream = connecting.ok().and_then(Result::ok).ok_or(UpstreamError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| UpstreamError::NotSent)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| UpstreamError::NotSent)?;
    tokio::spawn(async move {
        // Connection errors are returned to the requests on the connection.
        let _ = connection.await;
        drop(permit);
    });
    Ok(sender)
}
