//! Relays callers' requests through peers while this node is, or may be, cut off from the
//! upstreams. The decisions are in [`policy::relay::isolation`].

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use base::{hash::FastMap, id};
use bytes::Bytes;
use http::{Request, Response, StatusCode, request};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use policy::{
    outcome::{Fate, Reason},
    relay::{
        isolation::{Belief, Change, OVERDUE, Observation, PROBE_INTERVAL, PROBES, Server},
        isolation::{SILENCE, TICK_INTERVAL},
        node_selection,
        reachability::Destination,
        retry_after,
        upstream::AttemptEnd,
    },
};
use rand::seq::{IndexedRandom, IteratorRandom};
use tokio_util::sync::CancellationToken;

use crate::{
    connection, forward,
    interface::RequestMetadata,
    log_limiter::LogKind,
    memory::Reservation,
    node::Node,
    reachability, request_log,
    response::{self, Body},
    socket,
    stream::{Flow, Reader, WatchedStream},
};

/// Time for which a new connection must stay open to count as accepted: what cuts a node off may
/// accept connections and reset them.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Timeout for connecting to a peer: many times the latency within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of peers that are tried if connections to them fail.
const MAX_PEERS: usize = 3;
/// Time for which a connection to a peer is kept idle. A request that may run only once must not
/// meet a connection that the peer has dropped without notice.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections to one peer.
const MAX_IDLE: usize = 8;
/// Size limit of the head of a peer's answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What a node believes of its links to the upstreams; read for each request.
#[derive(Debug, Default)]
pub(crate) struct SharedBelief(AtomicU8);

impl SharedBelief {
    /// Returns the value of the log field `links`.
    pub(crate) fn name(&self) -> &'static str {
        match self.get() {
            Belief::Connected => "connected",
            Belief::Suspected => "suspected",
            Belief::Isolated => "isolated",
        }
    }

    pub(crate) fn get(&self) -> Belief {
        match self.0.load(Ordering::Relaxed) {
            0 => Belief::Connected,
            1 => Belief::Suspected,
            _ => Belief::Isolated,
        }
    }

    fn set(&self, belief: Belief) {
        let number = match belief {
            Belief::Connected => 0,
            Belief::Suspected => 1,
            Belief::Isolated => 2,
        };
        self.0.store(number, Ordering::Relaxed);
    }
}

/// A connection to a peer.
#[derive(Debug)]
struct RelayConnection {
    sender: SendRequest<Full<Bytes>>,
    flow: Arc<Flow>,
}

/// Idle connections to peers, with the times from which they are idle.
#[derive(Debug, Default)]
pub(crate) struct RelayConnections(Mutex<FastMap<SocketAddr, Vec<(RelayConnection, Instant)>>>);

impl RelayConnections {
    fn pop(&self, now: Instant, peer: SocketAddr) -> Option<RelayConnection> {
        let mut idle = self.0.lock();
        let connections = idle.get_mut(&peer)?;
        connections.retain(|(_, since)| now.saturating_duration_since(*since) < IDLE_TIMEOUT);
        connections.pop().map(|(connection, _)| connection)
    }

    fn push(&self, now: Instant, peer: SocketAddr, connection: RelayConnection) {
        let mut idle = self.0.lock();
        let connections = idle.entry(peer).or_default();
        if connections.len() < MAX_IDLE {
            connections.push((connection, now));
        }
    }

    /// Closes the connections that have been idle for long enough.
    fn close_expired(&self, now: Instant) {
        self.0.lock().retain(|_, connections| {
            connections.retain(|(_, since)| now.saturating_duration_since(*since) < IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }
}

/// A connection to an upstream that has not proved to be usable.
#[derive(Debug)]
pub(crate) struct Connecting {
    upstream: id::Upstream,
    began: Instant,
}

impl Connecting {
    pub(crate) fn new(node: &Node, upstream: id::Upstream) -> Connecting {
        Connecting { upstream, began: node.now() }
    }

    /// Records whether the upstream has `accepted` it.
    pub(crate) fn ended(self, node: &Node, accepted: bool) {
        if is_enabled(node) {
            let Connecting { upstream, began } = self;
            node.isolation.lock().record_connection(node.now(), upstream, began, accepted);
        }
    }
}

/// Returns whether nodes of this deployment relay requests through each other.
fn is_enabled(node: &Node) -> bool {
    node.settings.relays_through_peers()
}

/// Records the end of an attempt that was sent to `upstream` at `sent`.
pub(crate) fn record_end(node: &Node, upstream: id::Upstream, sent: Instant, end: AttemptEnd) {
    let is_loss = match end {
        AttemptEnd::ConnectionLost | AttemptEnd::NotSent => true,
        // A caller that leaves early ends its attempts, too.
        AttemptEnd::NoReply => node.now().saturating_duration_since(sent) >= OVERDUE,
        _ => false,
    };
    if is_loss && is_enabled(node) {
        node.isolation.lock().record_loss(node.now(), upstream, sent);
    }
}

/// Returns whether attempts that have just been lost may have been lost because this node is cut
/// off from the upstreams.
pub(crate) fn may_be_cut_off(node: &Node) -> bool {
    if !is_enabled(node) {
        return false;
    }
    let (last_reply, known) = (*node.last_reply.lock(), node.pools.lock().len());
    node.isolation.lock().may_be_cut_off(node.now(), last_reply, known)
}

/// Watches whether this node is cut off from the upstreams, until `cancel`.
pub async fn run(node: Arc<Node>, cancel: CancellationToken) {
    if !is_enabled(&node) {
        return;
    }
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut next_probes = node.now();
    loop {
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            _ = ticks.tick() => tick(&node, &mut next_probes),
        }
    }
}

fn tick(node: &Arc<Node>, next_probes: &mut Instant) {
    let now = node.now();
    let seen = observe(node, now);
    let (change, belief, links) = {
        let mut isolation = node.isolation.lock();
        (isolation.tick(now, &seen), isolation.belief(), isolation.links())
    };
    node.belief.set(belief);
    {
        let may_be_cut_off = may_be_cut_off(node);
        let mut pools = node.pools.lock();
        pools.set_may_be_cut_off(may_be_cut_off);
        if matches!(change, Some(Change::Isolated | Change::Recovered)) {
            pools.forget_shortages(now);
        }
    }
    node.metrics.isolated.set(i64::from(belief == Belief::Isolated));
    if let Some(change) = change {
        log(node, change, seen.last_reply);
        *next_probes = now;
    }
    node.relay_connections.close_expired(now);
    let needs_check = reachability::tick(node, now, links);
    if (needs_check || belief != Belief::Connected) && now >= *next_probes {
        // Jittered, so that nodes that were cut off together do not return at the same moment.
        *next_probes = now + PROBE_INTERVAL.mul_f64(0.6 + 0.8 * node.chance());
        probe(node);
    }
}

fn log(node: &Node, change: Change, last_reply: Option<Instant>) {
    let now = node.now();
    if !node.log_limiter.allows(now, LogKind::RoutingState) {
        return;
    }
    match change {
        Change::Suspected => {
            let last_reply_ms =
                last_reply.map(|at| now.saturating_duration_since(at).as_millis() as u64);
            tracing::warn!(
                last_reply_ms,
                "no upstream replies or accepts connections; peers are asked"
            );
        }
        Change::Cleared => tracing::info!("upstreams reply or accept connections again"),
        Change::Outage => {
            tracing::warn!("peers do not reach upstreams either; requests are not relayed");
        }
        Change::Isolated => tracing::warn!(
            "this node is cut off from the upstreams; it is not ready and relays through peers"
        ),
        Change::Recovered => tracing::info!("this node reaches upstreams again"),
    }
}

/// Returns what this node sees of its upstreams. Looks at each upstream only if there may be
/// something to see, as there may be tens of thousands.
fn observe(node: &Node, now: Instant) -> Observation {
    let last_reply = *node.last_reply.lock();
    let (since, has_evidence, belief) = {
        let isolation = node.isolation.lock();
        (isolation.suspected_since(), isolation.has_evidence(), isolation.belief())
    };
    let (peers, peers_deny) = {
        let reachability = node.reachability.lock();
        let living = reachability::living_count(node);
        let denied = |since| reachability.is_outage(since, living);
        (reachability.witnessed(), since.is_some_and(denied))
    };
    let pools = node.pools.lock();
    let is_silent = last_reply.is_none_or(|at| now.saturating_duration_since(at) >= SILENCE);
    let is_waiting = node.in_flight.load(Ordering::Relaxed) > 0
        || node.detached_requests.available_permits() < node.settings.max_requests;
    if belief == Belief::Connected && !(is_silent && (is_waiting || has_evidence)) {
        return Observation { last_reply, known: pools.len(), peers, ..Observation::default() };
    }
    let mut seen = Observation { last_reply, peers, peers_deny, ..Observation::default() };
    let latest = now.checked_sub(OVERDUE);
    for (_, upstream) in pools.upstreams() {
        seen.known += usize::from(!pools.is_evacuated(&upstream.entry.domain));
        let address = upstream.entry.address;
        if let Some(sent) = latest.and_then(|latest| upstream.stats.sent_before(latest)) {
            seen.overdue.push((address, sent));
        }
        if since.is_some_and(|since| upstream.stats.last_reply().is_some_and(|at| at >= since)) {
            seen.replied.push(address);
        }
    }
    seen
}

/// Opens connections to a few upstreams. Prefers some that have replied since isolation was
/// suspected: if they refuse new connections, they are not down.
fn probe(node: &Arc<Node>) {
    let since = node.isolation.lock().suspected_since();
    let targets = {
        let pools = node.pools.lock();
        let usable = || pools.upstreams().filter(|(_, u)| !pools.is_evacuated(&u.entry.domain));
        let has_replied = |at: Option<Instant>| since.is_some_and(|since| at >= Some(since));
        let live = usable().filter(|(_, u)| has_replied(u.stats.last_reply()));
        let mut targets = node.with_rng(|rng| live.choose_multiple(rng, PROBES - 1));
        let others = usable().filter(|(handle, _)| targets.iter().all(|(h, _)| h != handle));
        let count = PROBES - targets.len();
        let others = node.with_rng(|rng| others.choose_multiple(rng, count));
        targets.extend(others);
        targets.into_iter().map(|(handle, u)| (handle, u.entry.clone())).collect::<Vec<_>>()
    };
    for (handle, entry) in targets {
        let node = node.clone();
        let connections = node.connections.upstream(handle);
        // The result is recorded as for all connections.
        tokio::spawn(async move { drop(connections.accepts_connection(&node, &entry).await) });
    }
}

/// Why a peer has not answered.
#[derive(Debug)]
enum Failure {
    /// Nothing of the request was sent.
    NotSent(String),
    /// The request may have run.
    Lost(String),
    /// The request may have run; there is no time left.
    TimedOut,
}

/// A caller's request, which is to be answered by `deadline`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Exchange<'a> {
    pub(crate) metadata: &'a RequestMetadata,
    pub(crate) head: &'a request::Parts,
    pub(crate) body: &'a Bytes,
    pub(crate) deadline: Instant,
    /// Regions that the request stays in; all if empty.
    pub(crate) home_regions: &'a [id::Region],
}

/// Answers a caller's request through a peer if this node is or may be cut off. Returns `None` if
/// this node is to serve it. `may_try` tells whether a node that is cut off may use the request to see
/// whether its links carry replies.
pub(crate) async fn serve(
    node: &Arc<Node>,
    Exchange { metadata, head, body, deadline, home_regions }: Exchange<'_>,
    may_try: bool,
) -> Option<Response<Body>> {
    let belief = node.belief.get();
    if belief == Belief::Connected {
        return None;
    }
    let refuse = || {
        request_log::refused(node, head, Reason::Unreachable);
        let delay = retry_after::jittered(retry_after::SEARCH_DELAY, node.chance());
        Some(response::failure(Fate::NotRun, Reason::Unreachable, Some(delay)))
    };
    if metadata.relayed {
        // The sender can still ask a peer that reaches upstreams.
        return refuse();
    }
    let began = node.now();
    let peers = peers(node, began, home_regions);
    if node.isolation.lock().next_server(!peers.is_empty(), may_try) == Server::Own {
        return None;
    }
    let mut refusal = None;
    for Destination { node: id, address: peer, .. } in peers {
        let relayed = relay(node, peer, head, body, deadline).await;
        let (result, response) = match relayed {
            Err(Failure::NotSent(cause)) => {
                record(node, metadata, peer, "unreachable", Some(&cause));
                node.reachability.lock().record_failure(node.now(), id);
                continue;
            }
            Ok((response, reservation)) => {
                let (head, body) = response.into_parts();
                let result = match head.status.is_success() {
                    true => "answered",
                    false if is_refusal(node, metadata, &head) => "refused",
                    false => "failed",
                };
                let response = Response::from_parts(head, reservation.hold(body));
                (result, forward::relay_response(response))
            }
            Err(Failure::Lost(cause)) => {
                record(node, metadata, peer, "lost", Some(&cause));
                ("lost", response::failure(Fate::MayHaveRun, Reason::Lost, None))
            }
            Err(Failure::TimedOut) => {
                ("timeout", response::failure(Fate::MayHaveRun, Reason::Deadline, None))
            }
        };
        if result != "lost" {
            record(node, metadata, peer, result, None);
        }
        let now = node.now();
        match result {
            "answered" => node.reachability.lock().record_success(now, id),
            _ => node.reachability.lock().record_failure(now, id),
        }
        if result == "refused" {
            refusal = Some(response);
            continue;
        }
        node.isolation.lock().record_peer(now, result == "answered");
        let elapsed = now.saturating_duration_since(began);
        node.metrics.record_answer("relayed", result, elapsed);
        return Some(response);
    }
    match (refusal, belief) {
        (Some(refusal), _) => Some(refusal),
        (None, Belief::Isolated) => refuse(),
        (None, _) => None,
    }
}

/// Returns whether `head` is that of a peer's own answer, which says that the request has not run.
fn is_refusal(node: &Node, metadata: &RequestMetadata, head: &http::response::Parts) -> bool {
    let signature = node.codec.read_reply(&metadata.request_id, head).signature;
    head.status == StatusCode::SERVICE_UNAVAILABLE && signature.is_none()
}

/// Counts and logs the `result` of relaying a request to `peer`.
fn record(
    node: &Node,
    metadata: &RequestMetadata,
    peer: SocketAddr,
    result: &'static str,
    cause: Option<&str>,
) {
    node.metrics.relayed_requests.with_label_values(&[result]).inc();
    let kind = if result == "answered" { LogKind::Answered } else { LogKind::Failed };
    if node.log_limiter.allows(node.now(), kind) {
        let request = request_log::id_text(&metadata.request_id);
        tracing::info!(request, %peer, result, cause, "request relayed through a peer");
    }
}

/// Returns a few peers that reach upstreams, in random order: those in `home_regions` or in this node's
/// own region, where the request is already.
fn peers(node: &Node, now: Instant, home_regions: &[id::Region]) -> Vec<Destination> {
    let directory = node.directory.load();
    let homes = (!home_regions.is_empty()).then_some(home_regions);
    let own = node.regions.region(node.settings.domain.as_str()).map(id::Region::as_str);
    let allowed = node_selection::nodes_in_home_regions(
        &directory.candidates,
        &node.regions,
        homes.as_slice(),
        own,
    );
    let peers = reachability::servers(node, now, &allowed);
    let chosen = node.with_rng(|rng| {
        let chosen = peers.choose_multiple_weighted(rng, MAX_PEERS, |server| server.weight);
        chosen.map(|chosen| chosen.cloned().collect())
    });
    // Fails only if a weight is not a number.
    chosen.unwrap_or_default()
}

/// Sends the request to `peer` once and returns its answer.
async fn relay(
    node: &Arc<Node>,
    peer: SocketAddr,
    head: &request::Parts,
    body: &Bytes,
    deadline: Instant,
) -> Result<(Response<Bytes>, Reservation), Failure> {
    let mut connection = connect(node, peer).await?;
    let now = node.now();
    let left = deadline.saturating_duration_since(now);
    if left.is_zero() {
        return Err(Failure::NotSent("no time was left to send it".to_owned()));
    }
    // The caller's request holds the body.
    connection.flow.start(now, deadline, 0, None);
    let mut head = forward::attempt_head(head);
    node.codec.write_relayed(&mut head.headers, left);
    let request = Request::from_parts(head, Full::new(body.clone()));
    let exchange = async {
        let response = connection.sender.try_send_request(request).await.map_err(|mut e| {
            // hyper returns the message only if it has written nothing of it.
            let unsent = e.take_message().is_some();
            let cause = connection::error_chain(e.error());
            if unsent { Failure::NotSent(cause) } else { Failure::Lost(cause) }
        })?;
        let (head, body) = response.into_parts();
        let read = connection::read_body(node, body).await;
        let (body, reservation) = read.map_err(|e| Failure::Lost(connection::error_chain(&e)))?;
        Ok((Response::from_parts(head, body), reservation))
    };
    let answer = tokio::select! {
        biased;
        answer = tokio::time::timeout(left, exchange) => answer,
        () = node.end_requests.cancelled() => return Err(Failure::TimedOut),
    };
    let answer = answer.map_err(|_| Failure::TimedOut)??;
    if connection.sender.ready().await.is_ok() {
        node.relay_connections.push(node.now(), peer, connection);
    }
    Ok(answer)
}

async fn connect(node: &Arc<Node>, peer: SocketAddr) -> Result<RelayConnection, Failure> {
    while let Some(mut connection) = node.relay_connections.pop(node.now(), peer) {
        if connection.sender.ready().await.is_ok() {
            return Ok(connection);
        }
    }
    let not_sent = |cause: String| Failure::NotSent(cause);
    let stream = socket::connect(peer, CONNECT_TIMEOUT).await;
    let stream = stream.map_err(|e| not_sent(e.to_string()))?;
    let stream = WatchedStream::new(node.clone(), Reader::Peer, stream);
    let flow = stream.flow();
    let mut builder = http1::Builder::new();
    let handshake = builder.max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|e| not_sent(e.to_string()))?;
    tokio::spawn(async move {
        // An error also reaches the request that uses the connection.
        let _ = connection.await;
    });
    Ok(RelayConnection { sender, flow })
}
