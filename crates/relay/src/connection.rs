//! Bounded connection pools, one for each upstream.
//!
//! The connections are hyper's low-level ones: nothing below this module sends a request a
//! second time.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use base::hash::FastMap;
use bytes::{Bytes, BytesMut};
use http::{Request, Response, Version, header, response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use policy::relay::{
    crash_suspects::Suspect, pool::UpstreamHandle, registry::Entry, upstream::AttemptEnd,
};
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::{
    crash_watch::{CrashWatch, RunGuard},
    interface::{ReplyKind, ReplyMetadata},
    isolation,
    memory::Reservation,
    node::Node,
    notice, socket,
    stream::{Flow, Reader, WatchedStream},
};

/// Timeout for connecting: many times the latency to any upstream of a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Size limit of a reply's head, with its interim responses.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Size limit of a reply's body: bounds memory, at many times an ordinary reply.
const MAX_REPLY_BYTES: usize = 8 << 20;
/// Largest number of interim responses before a reply.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Longest time for which an idle connection is kept, whatever its upstream states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Idle timeout of a connection if the upstream does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Upper bound of the idle timeout at a node that address lists do not name: its idle connections
/// would use up the limit of the upstream at the expense of nodes that need them.
const UNPREFERRED_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Share of the upstream's idle timeout for which a connection is kept idle. The rest covers the
/// time that a request takes to reach the upstream.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// Time from which an idle connection may have been closed by its upstream as it was idle, if the
/// upstream has stated no time: usual times are 5 s and more.
const MIN_IDLE_CLOSE: Duration = Duration::from_secs(4);
/// A request that may run only once is sent on a connection that was used within this time, or on
/// a new one: the upstream may have dropped an older one without notice.
const MAX_IDLE_FOR_AT_MOST_ONCE: Duration = Duration::from_millis(400);

/// A connection to an upstream; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    flow: Arc<Flow>,
    /// Whether this node closed it, rather than the upstream.
    closed_here: Arc<AtomicBool>,
    /// Whether the upstream has said that it closes it.
    closing: Arc<AtomicBool>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.sender.is_closed() {
            self.closed_here.store(true, Ordering::Relaxed);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    expires_at: Instant,
    /// Whether the upstream has stated its idle timeout.
    stated: bool,
}

/// Connections to one upstream.
#[derive(Debug, Default)]
pub struct UpstreamConnections {
    state: Mutex<State>,
    /// Signals that a connection has become idle or was closed.
    released: Notify,
    pub(crate) crash_watch: CrashWatch,
}

#[derive(Debug, Default)]
struct State {
    idle: VecDeque<IdleConnection>,
    open: usize,
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
            idle.retain(|c| c.expires_at > now && !c.connection.sender.is_closed());
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
    /// Keeps the body counted against the node's memory budget.
    pub(crate) reservation: Reservation,
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
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |e| e.source());
    let mut texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.dedup_by(|inner, outer| outer.ends_with(inner.as_str()));
    texts.join(": ")
}

/// A failure to receive the body of a reply in full.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the reply broke off: {0}")]
    Truncated(#[from] hyper::Error),
    #[error("the reply is longer than {MAX_REPLY_BYTES} bytes")]
    TooLong,
    #[error("no room for the reply: [limits] buffer is in use")]
    OutOfMemoryBudget,
}

/// Counts a reply as cut if it is dropped while its body is being received.
struct BodyGuard<'a> {
    node: &'a Node,
    cause: &'static str,
}

impl BodyGuard<'_> {
    fn received(self) {
        std::mem::forget(self);
    }
}

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        self.node.metrics.replies_cut.with_label_values(&[self.cause]).inc();
    }
}

/// The message of an attempt and the conditions for sending it.
#[derive(Debug)]
pub struct AttemptRequest {
    /// Head and body. The headers of the attempt are set just before it is sent.
    pub request: Request<Full<Bytes>>,
    /// The caller's request id.
    pub request_id: http::HeaderValue,
    /// Time from which on the message must not be sent.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Upstream that it is sent to.
    pub handle: UpstreamHandle,
    /// When a permit was taken for it, if the upstream then stated a limit.
    pub permit: Option<Instant>,
    /// Bytes of memory that are free once the request has been written.
    pub held: usize,
    /// Identifies the request if the upstream crashes while it runs.
    pub suspect: Suspect,
}

impl UpstreamConnections {
    /// Sends `message` once, on one of up to `max_connections` connections to the upstream that
    /// `entry` registers. Dropping the future closes the connection in use.
    pub async fn send(
        self: Arc<UpstreamConnections>,
        node: Arc<Node>,
        entry: Arc<Entry>,
        max_connections: usize,
        message: AttemptRequest,
    ) -> AttemptResult {
        let left = message.deadline.saturating_duration_since(node.now());
        let acquired = self.acquire(&node, &entry, max_connections, message.repeatable);
        let mut connection = match tokio::time::timeout(left, acquired).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(e @ ConnectError::Evacuated(_))) => {
                return AttemptResult::failed(AttemptEnd::Withheld, error_chain(&e));
            }
            Ok(Err(e)) => {
                self.crash_watch.record_sign(&node, &self, &entry);
                return AttemptResult::failed(AttemptEnd::NotSent, error_chain(&e));
            }
            Err(_) => return AttemptResult::failed(AttemptEnd::NotSent, "no connection in time"),
        };
        let now = node.now();
        // Checked again because the process may have been suspended since the decision to send.
        let left = message.deadline.saturating_duration_since(now);
        if left.is_zero() {
            self.release(&node, connection, None);
            return AttemptResult::failed(AttemptEnd::NotSent, "no time was left to send it");
        }
        if !node.pools.lock().may_send(now, message.handle, &entry, message.permit) {
            self.release(&node, connection, None);
            let cause = "the upstream wants no more requests now";
            return AttemptResult::failed(AttemptEnd::Withheld, cause);
        }
        let AttemptRequest { mut request, request_id, handle, suspect, held, deadline, .. } =
            message;
        connection.flow.start(now, deadline, held, Some(request_id.clone()));
        node.codec.write_attempt(request.headers_mut(), &entry.instance, left);
        let interim = limit_interim_responses(&mut request);
        let run = RunGuard::new(node.clone(), self.clone(), entry.clone(), suspect);
        let sent = tokio::select! {
            biased;
            sent = connection.sender.try_send_request(request) => sent,
            () = interim.notified() => {
                node.metrics.replies_cut.with_label_values(&["interim"]).inc();
                return AttemptResult::failed(AttemptEnd::BadReply, "too many interim responses");
            }
        };
        let response = match sent {
            Ok(response) => response,
            // hyper returns the message only if it has written nothing of it.
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let end = if unsent { AttemptEnd::NotSent } else { AttemptEnd::ConnectionLost };
                if e.error().is_parse_too_large() {
                    node.metrics.replies_cut.with_label_values(&["head"]).inc();
                }
                if connection.flow.transfer().is_cut {
                    // Dropping `run` counts the request as abandoned: this node ended the attempt.
                    return AttemptResult::failed(end, "the upstream reads too slowly");
                }
                run.ended(end);
                return AttemptResult::failed(end, error_chain(e.error()));
            }
        };
        let (head, body) = response.into_parts();
        if announces_close(&head) {
            connection.closing.store(true, Ordering::Relaxed);
        }
        let metadata = node.codec.read_reply(&request_id, &head);
        if metadata.kind != ReplyKind::InstanceReplaced {
            notice::record(&node, handle, &entry, &request_id, &metadata);
        }
        self.receive(&node, connection, (head, metadata), body, run).await
    }

    async fn receive(
        &self,
        node: &Node,
        mut connection: Connection,
        (head, metadata): (response::Parts, ReplyMetadata),
        body: Incoming,
        run: RunGuard,
    ) -> AttemptResult {
        if metadata.id_mismatch {
            // Replies on this connection no longer match their requests, so it is not reused.
            return AttemptResult::failed(AttemptEnd::BadReply, "the reply names another request");
        }
        let (body, reservation) = match read_body(node, body).await {
            Ok(read) => read,
            Err(e) => {
                if matches!(e, BodyError::Truncated(_)) {
                    run.ended(AttemptEnd::BadReply);
                }
                return AttemptResult::failed(AttemptEnd::BadReply, error_chain(&e));
            }
        };
        let end = match metadata.kind {
            ReplyKind::Ran => AttemptEnd::Reply { success: head.status.is_success() },
            ReplyKind::Refused => AttemptEnd::Refused,
            ReplyKind::InstanceReplaced => AttemptEnd::InstanceReplaced,
        };
        run.ended(end);
        if connection.sender.ready().await.is_ok() {
            self.release(node, connection, metadata.idle_timeout);
        }
        let response = Response::from_parts(head, body);
        let reply = ReceivedReply { metadata, response, reservation };
        AttemptResult { end, reply: Some(reply), cause: None }
    }

    /// Returns an idle connection, or opens one if the limit allows it, or waits until either is
    /// possible.
    async fn acquire(
        self: &Arc<UpstreamConnections>,
        node: &Arc<Node>,
        entry: &Arc<Entry>,
        max_connections: usize,
        repeatable: bool,
    ) -> Result<Connection, ConnectError> {
        loop {
            let released = self.released.notified();
            while let Some(mut connection) = self.pop_idle(node.now(), repeatable) {
                if connection.sender.ready().await.is_ok() {
                    return Ok(connection);
                }
            }
            if let Some(permit) = self.try_permit(max_connections) {
                return connect(node.clone(), entry.clone(), permit).await;
            }
            released.await;
        }
    }

    /// Returns whether the upstream accepts a new connection, which is kept as an idle one.
    pub(crate) async fn accepts_connection(
        self: &Arc<UpstreamConnections>,
        node: &Arc<Node>,
        entry: &Arc<Entry>,
    ) -> Result<(), ConnectError> {
        let permit = self.open_connection();
        let connection = connect(node.clone(), entry.clone(), permit).await?;
        self.release(node, connection, None);
        Ok(())
    }

    /// Returns the number of open connections, including those being established.
    pub(crate) fn open(&self) -> usize {
        self.state.lock().open
    }

    /// Returns whether the end of a connection by the upstream is a failure, rather than what follows
    /// from its idle time. To be called when it has ended.
    fn has_failed(&self, now: Instant) -> bool {
        let state = self.state.lock();
        let ended = state.idle.iter().find(|idle| idle.connection.sender.is_closed());
        ended.is_none_or(|idle| match idle.stated {
            true => now < idle.expires_at,
            false => now.saturating_duration_since(idle.since) < MIN_IDLE_CLOSE,
        })
    }

    /// Takes an idle connection that is usable for a request, which is `repeatable` or not.
    fn pop_idle(&self, now: Instant, repeatable: bool) -> Option<Connection> {
        let mut state = self.state.lock();
        loop {
            // The most recently used one, so that surplus connections expire.
            let idle = state.idle.pop_back()?;
            if idle.expires_at <= now || idle.connection.sender.is_closed() {
                continue;
            }
            let idle_time = now.saturating_duration_since(idle.since);
            let usable = repeatable || idle_time < MAX_IDLE_FOR_AT_MOST_ONCE;
            return usable.then_some(idle.connection);
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

    /// Counts a connection that is opened whatever the limit.
    fn open_connection(self: &Arc<UpstreamConnections>) -> ConnectionPermit {
        self.state.lock().open += 1;
        ConnectionPermit(self.clone())
    }

    /// Returns a connection to the pool. `idle_timeout` is the upstream's, if it stated one.
    fn release(&self, node: &Node, connection: Connection, idle_timeout: Option<Duration>) {
        let now = node.now();
        let stated = idle_timeout.map(|t| t.min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_SHARE));
        let timeout = stated.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let timeout =
            if node.is_preferred() { timeout } else { timeout.min(UNPREFERRED_IDLE_TIMEOUT) };
        let idle = IdleConnection {
            connection,
            since: now,
            expires_at: now + timeout,
            stated: idle_timeout.is_some(),
        };
        self.state.lock().idle.push_back(idle);
        self.released.notify_one();
    }
}

/// A failure to connect to an upstream.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("no connection: {0}")]
    Socket(#[from] std::io::Error),
    #[error("no connection: {0}")]
    Http(#[from] hyper::Error),
    #[error("the failure domain {0} is evacuated")]
    Evacuated(SmolStr),
}

async fn connect(
    node: Arc<Node>,
    entry: Arc<Entry>,
    permit: ConnectionPermit,
) -> Result<Connection, ConnectError> {
    if node.pools.lock().is_evacuated(&entry.domain) {
        return Err(ConnectError::Evacuated(entry.domain.clone()));
    }
    let connecting = isolation::Connecting::new(&node, entry.address);
    let stream = match socket::connect(entry.address.0, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(e) => {
            node.pools.lock().record_connection_failure(node.now(), &entry);
            connecting.ended(&node, false);
            return Err(e.into());
        }
    };
    let stream = WatchedStream::new(node.clone(), Reader::Upstream, stream);
    let flow = stream.flow();
    let (sender, connection) =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await?;
    let closed_here = Arc::new(AtomicBool::new(false));
    let closing = Arc::new(AtomicBool::new(false));
    let connections = permit.0.clone();
    let (is_closed_here, is_closing) = (closed_here.clone(), closing.clone());
    let written = flow.clone();
    tokio::spawn(async move {
        tokio::pin!(connection);
        // An error also reaches the request that uses the connection.
        let ended = tokio::time::timeout(isolation::SETTLE_TIME, &mut connection).await;
        if ended.is_err() {
            connecting.ended(&node, true);
            let _ = connection.await;
        } else if !is_closed_here.load(Ordering::Relaxed) {
            connecting.ended(&node, false);
        }
        drop(permit);
        if !is_closed_here.load(Ordering::Relaxed) && !written.transfer().is_cut {
            connections.crash_watch.record_sign(&node, &connections, &entry);
            let now = node.now();
            if !is_closing.load(Ordering::Relaxed) && connections.has_failed(now) {
                node.pools.lock().record_connection_failure(now, &entry);
            }
        }
    });
    Ok(Connection { sender, flow, closed_here, closing })
}

/// Returns whether the upstream closes the connection after the reply with `head`.
fn announces_close(head: &response::Parts) -> bool {
    let value = head.headers.get(header::CONNECTION).and_then(|v| v.to_str().ok());
    let mut names = value.unwrap_or_default().split(',').map(str::trim);
    head.version == Version::HTTP_10 || names.any(|n| n.eq_ignore_ascii_case("close"))
}

/// Returns what is notified if `request` gets more than [`MAX_INTERIM_RESPONSES`].
fn limit_interim_responses(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let (notify, count) = (exceeded.clone(), AtomicUsize::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            notify.notify_one();
        }
    });
    exceeded
}

/// Reads the body of a reply. It counts against the node's memory budget until the reservation is
/// dropped.
pub(crate) async fn read_body(
    node: &Node,
    mut body: Incoming,
) -> Result<(Bytes, Reservation), BodyError> {
    let has_stated_length = hyper::body::Body::size_hint(&body).exact().is_some();
    let mut guard = BodyGuard { node, cause: "time" };
    let mut reservation = node.body_memory.receive(has_stated_length);
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        guard.cause = "broken";
        let Ok(data) = frame?.into_data() else { continue };
        let received =
            if rest.is_empty() { first.as_ref().map_or(0, Bytes::len) } else { rest.len() };
        let size = received + data.len();
        guard.cause = "length";
        if size > MAX_REPLY_BYTES {
            return Err(BodyError::TooLong);
        }
        guard.cause = "memory";
        if !reservation.grow(node.now(), data.len()).await {
            return Err(BodyError::OutOfMemoryBudget);
        }
        guard.cause = "time";
        match &first {
            None => first = Some(data),
            Some(first) => {
                if rest.is_empty() {
                    rest.extend_from_slice(first);
                }
                rest.extend_from_slice(&data);
            }
        }
    }
    guard.received();
    let body = if rest.is_empty() { first.unwrap_or_default() } else { rest.freeze() };
    Ok((body, reservation.received()))
}
