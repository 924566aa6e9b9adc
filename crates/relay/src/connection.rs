//! Connections to upstreams: a bounded pool for each.
//!
//! The connections are hyper's low-level ones: nothing below this module sends a request a
//! second time.

use std::{
    collections::VecDeque,
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
use policy::relay::{crash_quarantine, pool::UpstreamHandle, upstream::AttemptEnd};
use tokio::sync::Notify;

use crate::{
    interface::{Codec, ReplyKind, ReplyMetadata},
    log_limiter::LogKind,
    memory::Reservation,
    node::Node,
    socket,
};

/// Time to connect; many times the way to any upstream of a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest reply, in bytes: bounds memory, many times an ordinary reply.
const REPLY_LIMIT: usize = 8 << 20;
/// Time for which a connection is kept idle if the upstream does not say for how long.
const IDLE: Duration = Duration::from_secs(20);
/// The same for a node that callers are not told to use: its connections would take the place
/// of others' who need them.
const IDLE_BRIEF: Duration = Duration::from_millis(300);
/// Kept of the time for which the upstream keeps an idle connection, for requests on the way.
const IDLE_MARGIN: f64 = 0.7;
/// A request that may run only once goes on a connection that was used within this time, or on
/// a new one: an upstream may have dropped an older one without notice.
const FRESH: Duration = Duration::from_millis(400);

/// Time between the loss of a connection and the look whether the upstream still accepts
/// others: a crash is over in a moment, a start takes longer.
const INVESTIGATE: Duration = Duration::from_millis(50);
/// Requests that are suspected of one crash at most; more run at no upstream at a time.
const SUSPECTS: usize = 64;

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
    until: Instant,
}

/// Connections to one upstream.
#[derive(Debug, Default)]
pub struct UpstreamConnections {
    state: Mutex<State>,
    returned: Notify,
}

#[derive(Debug, Default)]
struct State {
    idle: VecDeque<Idle>,
    open: usize,
    /// Requests that ran when a connection was lost, until it is known whether the upstream
    /// has crashed.
    suspects: Vec<crash_quarantine::CrashReport>,
}

/// Connections to all upstreams.
#[derive(Debug, Default)]
pub struct ConnectionPools {
    upstreams: Mutex<FastMap<UpstreamHandle, Arc<UpstreamConnections>>>,
}

impl ConnectionPools {
    /// Without connections.
    pub fn new() -> ConnectionPools {
        ConnectionPools::default()
    }

    /// Connections to the upstream at `seat`.
    pub fn upstream(&self, seat: UpstreamHandle) -> Arc<UpstreamConnections> {
        self.upstreams.lock().entry(seat).or_default().clone()
    }

    /// Drops the connections to upstreams that are gone, once they are idle.
    pub fn remove_upstreams(&self, seats: &[UpstreamHandle]) {
        let mut links = self.upstreams.lock();
        for seat in seats {
            if let Some(links) = links.remove(seat) {
                links.state.lock().idle.clear();
            }
        }
    }

    /// Drops connections that have been idle for too long or were closed.
    pub fn close_expired(&self, now: Instant) {
        for links in self.upstreams.lock().values() {
            links.state.lock().idle.retain(|i| i.until > now && !i.sender.is_closed());
        }
    }

    /// Connections held.
    pub fn len(&self) -> usize {
        self.upstreams.lock().values().map(|l| l.state.lock().open).sum()
    }

    /// Whether no connection is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Counts a connection until it is closed.
struct Place(Arc<UpstreamConnections>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.state.lock().open -= 1;
        self.0.returned.notify_one();
    }
}

/// A reply with its body.
#[derive(Debug)]
pub struct ReceivedReply {
    /// What the head says.
    pub metadata: ReplyMetadata,
    /// The reply as it came.
    pub response: Response<Bytes>,
    _held: Reservation,
}

/// How an attempt ended, with its reply if one came whole.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub end: AttemptEnd,
    /// The reply.
    pub reply: Option<ReceivedReply>,
    /// What went wrong, if anything did.
    pub cause: Option<String>,
}

impl AttemptResult {
    fn without(end: AttemptEnd, cause: impl ToString) -> AttemptResult {
        AttemptResult { end, reply: None, cause: Some(cause.to_string()) }
    }
}

/// An error with what caused it: the outermost of hyper's says little.
fn chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |e| e.source());
    let mut texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.dedup_by(|inner, outer| outer.ends_with(inner.as_str()));
    texts.join(": ")
}

/// Why a reply's body was not received whole.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("the reply broke off: {0}")]
    Cut(#[from] hyper::Error),
    #[error("the reply is longer than {REPLY_LIMIT} bytes")]
    Long,
    #[error("no room for the reply: [limits] buffer is in use")]
    NoRoom,
}

/// An attempt's message and how it may be sent.
#[derive(Debug)]
pub struct AttemptRequest {
    /// The head and body; the time left is set when it is sent.
    pub request: Request<Full<Bytes>>,
    /// The caller's id of the request.
    pub request_id: http::HeaderValue,
    /// The process that is meant.
    pub instance: base::id::Instance,
    /// Not to be sent from then on.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl UpstreamConnections {
    /// Sends `message` once. Dropping the future closes the connection that it is on.
    pub async fn send(
        self: Arc<UpstreamConnections>,
        node: Arc<Node>,
        address: std::net::SocketAddr,
        limit: usize,
        message: AttemptRequest,
    ) -> AttemptResult {
        let left = message.deadline.saturating_duration_since(node.now());
        let opened = self.open(&node, address, limit, message.repeatable);
        let mut sender = match tokio::time::timeout(left, opened).await {
            Ok(Ok(sender)) => sender,
            Ok(Err(e)) => return AttemptResult::without(AttemptEnd::NotSent, chain(&e)),
            Err(_) => return AttemptResult::without(AttemptEnd::NotSent, "no connection in time"),
        };
        let now = node.now();
        // Looked at again here: the process may have been suspended since the decision to send.
        let left = message.deadline.saturating_duration_since(now);
        if left.is_zero() {
            self.put_back(&node, sender, None);
            return AttemptResult::without(AttemptEnd::NotSent, "no time was left to send it");
        }
        let AttemptRequest { mut request, request_id, instance, .. } = message;
        node.codec.write_attempt(request.headers_mut(), &instance, left);
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            // hyper hands the message back only if it has written nothing of it.
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let end = if unsent { AttemptEnd::NotSent } else { AttemptEnd::ConnectionLost };
                return AttemptResult::without(end, chain(e.error()));
            }
        };
        self.receive(&node, node.codec.as_ref(), sender, &request_id, response).await
    }

    async fn receive(
        &self,
        node: &Node,
        codec: &dyn Codec,
        mut sender: Sender,
        id: &http::HeaderValue,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let reply = codec.read_reply(id, &head);
        if reply.id_mismatch {
            // What follows on this connection belongs to no request.
            return AttemptResult::without(AttemptEnd::BadReply, "the reply names another request");
        }
        let (body, held) = match read_body(node, body).await {
            Ok(read) => read,
            Err(e) => return AttemptResult::without(AttemptEnd::BadReply, chain(&e)),
        };
        if sender.ready().await.is_ok() {
            self.put_back(node, sender, reply.idle_timeout);
        }
        let end = match reply.kind {
            ReplyKind::Ran => AttemptEnd::Reply { success: head.status.is_success() },
            ReplyKind::Refused => AttemptEnd::Refused,
            ReplyKind::InstanceReplaced => AttemptEnd::InstanceReplaced,
        };
        let received = ReceivedReply {
            metadata: reply,
            response: Response::from_parts(head, body),
            _held: held,
        };
        AttemptResult { end, reply: Some(received), cause: None }
    }

    async fn open(
        self: &Arc<UpstreamConnections>,
        node: &Node,
        address: std::net::SocketAddr,
        limit: usize,
        repeatable: bool,
    ) -> Result<Sender, ConnectError> {
        loop {
            let returned = self.returned.notified();
            while let Some(mut sender) = self.take(node.now(), repeatable) {
                if sender.ready().await.is_ok() {
                    return Ok(sender);
                }
            }
            if let Some(place) = self.place(limit) {
                return connect(address, place).await;
            }
            returned.await;
        }
    }

    /// Finds out whether the upstream at `address` has crashed after a connection was lost on
    /// which the request of `notice` ran. Returns the requests to accuse: none if the upstream
    /// still accepts connections, or if another call finds out already.
    pub async fn detect_crash(
        self: Arc<UpstreamConnections>,
        node: Arc<Node>,
        address: std::net::SocketAddr,
        notice: crash_quarantine::CrashReport,
    ) -> Vec<crash_quarantine::CrashReport> {
        {
            let suspects = &mut self.state.lock().suspects;
            if suspects.len() >= SUSPECTS {
                return Vec::new();
            }
            suspects.push(notice);
            if suspects.len() > 1 {
                return Vec::new();
            }
        }
        tokio::time::sleep(INVESTIGATE).await;
        let connected = match self.place(usize::MAX) {
            Some(place) => connect(address, place).await,
            None => return Vec::new(),
        };
        let suspects = std::mem::take(&mut self.state.lock().suspects);
        match connected {
            Ok(sender) => {
                self.put_back(&node, sender, None);
                Vec::new()
            }
            Err(e) => {
                if node.journal.allows(node.now(), LogKind::RoutingState) {
                    let requests = suspects.len();
                    tracing::warn!(%address, requests, cause = %e, "upstream taken to have crashed");
                }
                suspects
            }
        }
    }

    fn take(&self, now: Instant, repeatable: bool) -> Option<Sender> {
        let mut state = self.state.lock();
        loop {
            // The one used last, so that the others may run out.
            let idle = state.idle.pop_back()?;
            if idle.until <= now || idle.sender.is_closed() {
                continue;
            }
            let fresh = repeatable || now.saturating_duration_since(idle.since) < FRESH;
            return fresh.then_some(idle.sender);
        }
    }

    fn place(self: &Arc<UpstreamConnections>, limit: usize) -> Option<Place> {
        let mut state = self.state.lock();
        if state.open >= limit {
            return None;
        }
        state.open += 1;
        Some(Place(self.clone()))
    }

    fn put_back(&self, node: &Node, sender: Sender, keep_alive: Option<Duration>) {
        let now = node.now();
        let allowed = keep_alive.map_or(IDLE, |k| k.mul_f64(IDLE_MARGIN));
        let until = now + if node.is_preferred() { allowed } else { allowed.min(IDLE_BRIEF) };
        self.state.lock().idle.push_back(Idle { sender, since: now, until });
        self.returned.notify_one();
    }
}

/// No connection to an upstream.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error("no connection: {0}")]
    Socket(#[from] std::io::Error),
    #[error("no connection: {0}")]
    Http(#[from] hyper::Error),
}

async fn connect(address: std::net::SocketAddr, place: Place) -> Result<Sender, ConnectError> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // Its errors reach the requests that used it.
        let _ = connection.await;
        drop(place);
    });
    Ok(sender)
}

/// Reads a reply's body, which counts against the node's bound until it is dropped.
async fn read_body(node: &Node, mut body: Incoming) -> Result<(Bytes, Reservation), BodyError> {
    let mut held = node.memory.try_reserve(0).ok_or(BodyError::NoRoom)?;
    let mut first: Option<Bytes> = None;
    let mut more = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if first.as_ref().map_or(0, Bytes::len) + more.len() + data.len() > REPLY_LIMIT {
            return Err(BodyError::Long);
        }
        if !held.try_grow(data.len()) {
            return Err(BodyError::NoRoom);
        }
        match &first {
            None => first = Some(data),
            Some(_) => more.extend_from_slice(&data),
        }
    }
    let first = first.unwrap_or_default();
    if more.is_empty() {
        return Ok((first, held));
    }
    let whole = [first.as_ref(), more.as_ref()].concat();
    Ok((whole.into(), held))
}
