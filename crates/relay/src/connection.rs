//! Bounded connection pools, one for each upstream.
//!
//! The connections are hyper's low-level ones: nothing below this module sends a request a
//! second time.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::hash::FastMap;
use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use policy::relay::{crash_quarantine::CrashReport, pool::UpstreamHandle, upstream::AttemptEnd};
use tokio::sync::Notify;

use crate::{
    crash,
    interface::{Codec, ReplyKind, ReplyMetadata},
    log_limiter::LogKind,
    memory::Reservation,
    node::Node,
    socket,
};

/// Timeout for connecting: many times the latency to any upstream of a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Size limit of a reply's body: bounds memory, at many times an ordinary reply.
const MAX_REPLY_BYTES: usize = 8 << 20;
/// Idle timeout of a connection if the upstream does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Upper bound of the idle timeout at a node that address lists do not name: its idle connections
/// would use up the limit of the upstream at the expense of nodes that need them.
const UNPREFERRED_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Share of the upstream's idle timeout for which a connection is kept idle. The rest covers the
/// time that a request takes to reach the upstream.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// A request that may run only once is sent on a connection that was used within this time, or on
/// a new one: the upstream may have dropped an older one without notice.
const MAX_IDLE_FOR_AT_MOST_ONCE: Duration = Duration::from_millis(400);

/// Delay between the loss of a connection and the check whether the upstream accepts a new one:
/// a crash takes only a moment, but a restart takes longer.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of requests suspected of the same crash. No upstream runs more at a time.
const MAX_SUSPECTS: usize = 64;

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
    expires_at: Instant,
}

/// Connections to one upstream.
#[derive(Debug, Default)]
pub struct UpstreamConnections {
    state: Mutex<State>,
    /// Signals that a connection has become idle or was closed.
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    idle: VecDeque<IdleConnection>,
    open: usize,
    /// Reports on the requests that were running when a connection was lost. They are pending
    /// until the crash check completes.
    suspects: Vec<CrashReport>,
}

/// Connections to all upstreams.
#[derive(Debug, Default)]
pub struct ConnectionPools {
    upstreams: Mutex<FastMap<UpstreamHandle, Arc<UpstreamConnections>>>,
}

impl ConnectionPools {
    /// Creates pools without connections.
    pub fn new() -> ConnectionPools {
        ConnectionPools::default()
    }

    /// Returns the connections to the upstream `handle`.
    pub fn upstream(&self, handle: UpstreamHandle) -> Arc<UpstreamConnections> {
        self.upstreams.lock().entry(handle).or_default().clone()
    }

    /// Removes upstreams and closes their idle connections. Connections in use close once their
    /// request has ended.
    pub fn remove_upstreams(&self, handles: &[UpstreamHandle]) {
        let mut upstreams = self.upstreams.lock();
        for handle in handles {
            if let Some(connections) = upstreams.remove(handle) {
                connections.state.lock().idle.clear();
            }
        }
    }

    /// Removes idle connections that have expired or were closed by the upstream.
    pub fn close_expired(&self, now: Instant) {
        for connections in self.upstreams.lock().values() {
            let idle = &mut connections.state.lock().idle;
            idle.retain(|c| c.expires_at > now && !c.sender.is_closed());
        }
    }

    /// Returns the number of open connections, including those being established.
    pub fn len(&self) -> usize {
        self.upstreams.lock().values().map(|c| c.state.lock().open).sum()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Counts a connection against the limit of its upstream until it is closed.
struct ConnectionPermit(Arc<UpstreamConnections>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.state.lock().open -= 1;
        self.0.released.notify_one();
    }
}

/// A reply with its body.
#[derive(Debug)]
pub struct ReceivedReply {
    /// Protocol metadata from the head.
    pub metadata: ReplyMetadata,
    /// The reply as received.
    pub response: Response<Bytes>,
    _reservation: Reservation,
}

/// Result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The reply, if it was received in full.
    pub reply: Option<ReceivedReply>,
    /// The cause of a failure.
    pub cause: Option<String>,
}

impl AttemptResult {
    fn failed(end: AttemptEnd, cause: impl ToString) -> AttemptResult {
        AttemptResult { end, reply: None, cause: Some(cause.to_string()) }
    }
}

/// Returns the messages of `error` and its sources, as hyper's outermost error says little.
fn error_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |e| e.source());
    let mut texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.dedup_by(|inner, outer| outer.ends_with(inner.as_str()));
    texts.join(": ")
}

/// A failure to receive the body of a reply in full.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("the reply broke off: {0}")]
    Truncated(#[from] hyper::Error),
    #[error("the reply is longer than {MAX_REPLY_BYTES} bytes")]
    TooLong,
    #[error("no room for the reply: [limits] buffer is in use")]
    OutOfMemoryBudget,
}

/// The message of an attempt and the conditions for sending it.
#[derive(Debug)]
pub struct AttemptRequest {
    /// Head and body. The headers of the attempt are set just before it is sent.
    pub request: Request<Full<Bytes>>,
    /// The caller's request id.
    pub request_id: http::HeaderValue,
    /// The process that may run the request.
    pub instance: base::id::Instance,
    /// Time from which on the message must not be sent.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl UpstreamConnections {
    /// Sends `message` once, on one of up to `max_connections` connections to `address`.
    /// Dropping the future closes the connection in use.
    pub async fn send(
        self: Arc<UpstreamConnections>,
        node: Arc<Node>,
        address: SocketAddr,
        max_connections: usize,
        message: AttemptRequest,
    ) -> AttemptResult {
        let left = message.deadline.saturating_duration_since(node.now());
        let acquired = self.acquire(&node, address, max_connections, message.repeatable);
        let mut sender = match tokio::time::timeout(left, acquired).await {
            Ok(Ok(sender)) => sender,
            Ok(Err(e)) => return AttemptResult::failed(AttemptEnd::NotSent, error_chain(&e)),
            Err(_) => return AttemptResult::failed(AttemptEnd::NotSent, "no connection in time"),
        };
        let now = node.now();
        // Checked again because the process may have been suspended since the decision to send.
        let left = message.deadline.saturating_duration_since(now);
        if left.is_zero() {
            self.release(&node, sender, None);
            return AttemptResult::failed(AttemptEnd::NotSent, "no time was left to send it");
        }
        let AttemptRequest { mut request, request_id, instance, .. } = message;
        node.codec.write_attempt(request.headers_mut(), &instance, left);
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            // hyper returns the message only if it has written nothing of it.
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let end = if unsent { AttemptEnd::NotSent } else { AttemptEnd::ConnectionLost };
                return AttemptResult::failed(end, error_chain(e.error()));
            }
        };
        self.receive(&node, node.codec.as_ref(), sender, &request_id, response).await
    }

    async fn receive(
        &self,
        node: &Node,
        codec: &dyn Codec,
        mut sender: Sender,
        request_id: &http::HeaderValue,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let metadata = codec.read_reply(request_id, &head);
        if metadata.id_mismatch {
            // Replies on this connection no longer match their requests, so it is not reused.
            return AttemptResult::failed(AttemptEnd::BadReply, "the reply names another request");
        }
        let (body, reservation) = match read_body(node, body).await {
            Ok(read) => read,
            Err(e) => return AttemptResult::failed(AttemptEnd::BadReply, error_chain(&e)),
        };
        if sender.ready().await.is_ok() {
            self.release(node, sender, metadata.idle_timeout);
        }
        let end = match metadata.kind {
            ReplyKind::Ran => AttemptEnd::Reply { success: head.status.is_success() },
            ReplyKind::Refused => AttemptEnd::Refused,
            ReplyKind::InstanceReplaced => AttemptEnd::InstanceReplaced,
        };
        let response = Response::from_parts(head, body);
        let reply = ReceivedReply { metadata, response, _reservation: reservation };
        AttemptResult { end, reply: Some(reply), cause: None }
    }

    /// Returns an idle connection, or opens one if the limit allows it, or waits until either is
    /// possible.
    async fn acquire(
        self: &Arc<UpstreamConnections>,
        node: &Node,
        address: SocketAddr,
        max_connections: usize,
        repeatable: bool,
    ) -> Result<Sender, ConnectError> {
        loop {
            let released = self.released.notified();
            while let Some(mut sender) = self.pop_idle(node.now(), repeatable) {
                if sender.ready().await.is_ok() {
                    return Ok(sender);
                }
            }
            if let Some(permit) = self.try_permit(max_connections) {
                return connect(address, permit).await;
            }
            released.await;
        }
    }

    /// Checks whether the upstream at `address` has crashed, after it lost a connection on which
    /// the request of `report` was running. Returns the reports to publish: none if the upstream
    /// accepts a new connection, or if another call is already checking.
    pub async fn detect_crash(
        self: Arc<UpstreamConnections>,
        node: Arc<Node>,
        address: SocketAddr,
        report: CrashReport,
    ) -> Vec<CrashReport> {
        {
            let suspects = &mut self.state.lock().suspects;
            if suspects.len() >= MAX_SUSPECTS {
                crash::dropped(&node, Some(report.fingerprint), 1, crash::Drop::SuspectsFull);
                return Vec::new();
            }
            suspects.push(report);
            if suspects.len() > 1 {
                return Vec::new();
            }
        }
        tokio::time::sleep(CRASH_CHECK_DELAY).await;
        let connected = match self.try_permit(usize::MAX) {
            Some(permit) => connect(address, permit).await,
            None => return Vec::new(),
        };
        let suspects = std::mem::take(&mut self.state.lock().suspects);
        match connected {
            Ok(sender) => {
                crash::checked(&node, address, &suspects, "accepted", None);
                self.release(&node, sender, None);
                Vec::new()
            }
            Err(e) => {
                let silent =
                    matches!(&e, ConnectError::Socket(e) if e.kind() == io::ErrorKind::TimedOut);
                let result = if silent { "silent" } else { "refused" };
                crash::checked(&node, address, &suspects, result, Some(&e.to_string()));
                if node.log_limiter.allows(node.now(), LogKind::RoutingState) {
                    let requests = suspects.len();
                    tracing::warn!(
                        %address, requests, cause = %e,
                        "upstream accepts no new connection; assuming that it crashed"
                    );
                }
                suspects
            }
        }
    }

    /// Takes an idle connection that is usable for a request, which is `repeatable` or not.
    fn pop_idle(&self, now: Instant, repeatable: bool) -> Option<Sender> {
        let mut state = self.state.lock();
        loop {
            // The most recently used one, so that surplus connections expire.
            let idle = state.idle.pop_back()?;
            if idle.expires_at <= now || idle.sender.is_closed() {
                continue;
            }
            let idle_time = now.saturating_duration_since(idle.since);
            let usable = repeatable || idle_time < MAX_IDLE_FOR_AT_MOST_ONCE;
            return usable.then_some(idle.sender);
        }
    }

    fn try_permit(
        self: &Arc<UpstreamConnections>,
        max_connections: usize,
    ) -> Option<ConnectionPermit> {
        let mut state = self.state.lock();
        if state.open >= max_connections {
            return None;
        }
        state.open += 1;
        Some(ConnectionPermit(self.clone()))
    }

    /// Returns a connection to the pool. `idle_timeout` is the upstream's, if it stated one.
    fn release(&self, node: &Node, sender: Sender, idle_timeout: Option<Duration>) {
        let now = node.now();
        let timeout = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.mul_f64(IDLE_TIMEOUT_SHARE));
        let timeout =
            if node.is_preferred() { timeout } else { timeout.min(UNPREFERRED_IDLE_TIMEOUT) };
        let idle = IdleConnection { sender, since: now, expires_at: now + timeout };
        self.state.lock().idle.push_back(idle);
        self.released.notify_one();
    }
}

/// A failure to connect to an upstream.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error("no connection: {0}")]
    Socket(#[from] std::io::Error),
    #[error("no connection: {0}")]
    Http(#[from] hyper::Error),
}

async fn connect(address: SocketAddr, permit: ConnectionPermit) -> Result<Sender, ConnectError> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // An error also reaches the request that uses the connection.
        let _ = connection.await;
        drop(permit);
    });
    Ok(sender)
}

/// Reads the body of a reply. It counts against the node's memory budget until the reservation is
/// dropped.
async fn read_body(node: &Node, mut body: Incoming) -> Result<(Bytes, Reservation), BodyError> {
    let mut reservation = node.body_memory.try_reserve(0).ok_or(BodyError::OutOfMemoryBudget)?;
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if first.as_ref().map_or(0, Bytes::len) + rest.len() + data.len() > MAX_REPLY_BYTES {
            return Err(BodyError::TooLong);
        }
        if !reservation.try_grow(data.len()) {
            return Err(BodyError::OutOfMemoryBudget);
        }
        match &first {
            None => first = Some(data),
            Some(_) => rest.extend_from_slice(&data),
        }
    }
    let first = first.unwrap_or_default();
    if rest.is_empty() {
        return Ok((first, reservation));
    }
    let body = [first.as_ref(), rest.as_ref()].concat();
    Ok((body.into(), reservation))
}
