//! Fleet membership by heartbeats, and the state that nodes gossip along with them.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::{
    hash::FastMap,
    id,
    unit::{Era, Generation, Position},
};
use policy::{
    adoption::Stamp,
    membership::{Membership, OutboundMessage, Piggyback, Record, Status},
    relay::{
        node_selection::{self, Candidate},
        registry::EraRelation,
        watch,
    },
    routing,
};
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use wire::{demand, heartbeat, reachability};

use crate::{
    crash, limit_exchange,
    log_limiter::LogKind,
    node::{Directory, Node},
    peer, platform_watch,
};

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of addresses returned to a caller.
const MAX_ADDRESSES: usize = 64;

/// State of the platform's service as a peer's heartbeat announces it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformState {
    /// Generation of the configuration in force at the peer.
    pub(crate) generation: Generation,
    /// Position of the last change in the peer's registry. An earlier program announces no era.
    pub(crate) position: Position,
    /// Number of things that the peer knows better than the platform.
    pub(crate) exceptions: usize,
    /// Time of the newest platform response that the peer's data includes.
    pub(crate) data_time: Option<Instant>,
}

/// Sends and receives heartbeats until `cancel`.
pub async fn run(node: Arc<Node>, socket: Arc<UdpSocket>, cancel: CancellationToken) {
    node.heartbeat_socket.store(Some(socket.clone()));
    let mut buffer = vec![0; heartbeat::MAX_DATAGRAM_BYTES + 1];
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            _ = ticks.tick() => tick(&node),
            received = socket.recv_from(&mut buffer) => match received {
                Ok((size, _)) => receive(&node, &buffer[..size]),
                // The error reports that a peer's port is closed; no incoming datagram was lost.
                Err(e) => tracing::debug!(cause = %e, "failed to receive a heartbeat"),
            },
        }
    }
}

fn tick(node: &Arc<Node>) {
    let piggyback = piggyback(node);
    let ready = node.is_ready();
    let (messages, divergent) = {
        let mut membership = node.membership.lock();
        let suspensions_before = membership.suspensions();
        let mut messages = Vec::new();
        if ready != membership.own().serving {
            let announcements = node.with_rng(|rng| match ready {
                true => membership.join(&piggyback, rng),
                false => membership.leave(&piggyback, rng),
            });
            messages.extend(announcements);
        }
        messages.extend(node.with_rng(|rng| membership.tick(node.now(), &piggyback, rng)));
        if membership.suspensions() > suspensions_before {
            node.metrics.suspensions.inc();
            tracing::warn!("this process was suspended; beliefs are refreshed");
            node.restart_watch.notify_one();
        }
        refresh_peers(node, &membership);
        (messages, membership.is_divergent())
    };
    send(node, messages);
    platform_watch::sync_pools(node);
    limit_exchange::tick(node);
    node.connections.close_expired(node.now());
    crash::expire(node, node.now());
    node.log_limiter.end_window(node.now());
    if divergent {
        tokio::spawn(fetch_members(node.clone()));
    }
}

fn receive(node: &Arc<Node>, bytes: &[u8]) {
    let message = match heartbeat::decode(&node.settings.deployment, bytes) {
        Ok(message) => message,
        Err(e) => {
            let result = match e {
                heartbeat::Error::Protocol(demand::PROTOCOL_VERSION) => {
                    limit_exchange::receive(node, bytes)
                }
                heartbeat::Error::Protocol(reachability::PROTOCOL_VERSION) => {
                    crate::reachability::receive(node, bytes)
                }
                e => Err(e),
            };
            let Err(e) = result else { return };
            if node.log_limiter.allows(node.now(), LogKind::Peer) {
                tracing::warn!(cause = %e, "rejected a heartbeat");
            }
            return;
        }
    };
    let piggyback = piggyback(node);
    let replies = {
        let mut membership = node.membership.lock();
        let replies = membership.receive(node.now(), &message, &piggyback);
        refresh_peers(node, &membership);
        replies
    };
    send(node, replies);
    crash::receive(node, &message.accusations, message.sender.node);
    let data_age = message.word_age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
    let data_time = data_age.and_then(|age| node.now().checked_sub(age));
    let (era, exceptions) = unpack_era(message.stamp.digest);
    let position = Position { era, revision: message.revision };
    let announced =
        PlatformState { generation: message.stamp.generation, position, exceptions, data_time };
    let relation = node.registry.lock().relation(era);
    if !platform_watch::is_behind(node, &announced) {
        // A peer in an earlier era cannot tell how old this node's data is.
        if relation == EraRelation::Same {
            platform_watch::record_data_time(node, data_time);
        }
    } else if !node.catching_up.swap(true, Ordering::Relaxed) {
        let (guard, from) = (CatchUpGuard(node.clone()), message.sender.node);
        tokio::spawn(async move {
            platform_watch::catch_up(guard.0.clone(), from, announced).await;
        });
    }
}

/// Allows the next catch-up when dropped, however this one ends.
struct CatchUpGuard(Arc<Node>);

impl Drop for CatchUpGuard {
    fn drop(&mut self) {
        self.0.catching_up.store(false, Ordering::Relaxed);
    }
}

/// Bits of a packed era that hold the number of exceptions.
const EXCEPTION_BITS: u32 = 16;
const MAX_EXCEPTIONS: u64 = (1 << EXCEPTION_BITS) - 1;

/// Packs the era of the platform's history, and the number of exceptions from its listing, into the
/// stamp's digest. Relay nodes have no other use for that field, and earlier programs ignore
/// it: a field of its own would need a new version of the protocol, which they reject.
fn pack_era(era: Era, exceptions: usize) -> u64 {
    let exceptions = u64::try_from(exceptions).unwrap_or(MAX_EXCEPTIONS).min(MAX_EXCEPTIONS);
    era.0 << EXCEPTION_BITS | exceptions
}

fn unpack_era(packed: u64) -> (Era, usize) {
    (Era(packed >> EXCEPTION_BITS), (packed & MAX_EXCEPTIONS) as usize)
}

/// Returns the state to attach to outgoing messages.
fn piggyback(node: &Node) -> Piggyback {
    let (digest, revision) = {
        let registry = node.registry.lock();
        (pack_era(registry.position().era, registry.exception_count()), registry.last_change())
    };
    let stamp = Stamp { generation: node.generation(), digest };
    let accusations = crash::reports_to_send(node);
    let data_time = *node.platform_data_time.lock();
    let word_age_ms = data_time.map(|at| {
        let age = node.now().saturating_duration_since(at).as_millis();
        u32::try_from(age).unwrap_or(u32::MAX)
    });
    Piggyback { stamp, revision, accusations, word_age_ms, ..Piggyback::default() }
}

/// Updates the snapshot of peers if `membership` has changed. The caller holds the lock on the
/// membership, so that snapshots are stored in order.
fn refresh_peers(node: &Node, membership: &Membership) {
    let version = membership.version() as usize;
    if node.peers_version.swap(version, Ordering::AcqRel) == version {
        return;
    }
    let mut records: Vec<Record> = membership.records().cloned().collect();
    records.sort_unstable_by_key(|r| r.node);
    log_changes(node, &node.peers.load(), &records);
    node.peers.store(Arc::new(records));
    refresh_directory(node, membership.own());
}

/// Logs the records of `after` that are new or differ from `before` in status, readiness or
/// incarnation. Both are sorted by node.
fn log_changes(node: &Node, before: &[Record], after: &[Record]) {
    for record in after {
        let old = before.binary_search_by_key(&record.node, |r| r.node).map(|i| &before[i]);
        let is_unchanged = |old: &Record| {
            (old.status, old.serving, old.incarnation)
                == (record.status, record.serving, record.incarnation)
        };
        if old.is_ok_and(is_unchanged) || !node.log_limiter.allows(node.now(), LogKind::Peer) {
            continue;
        }
        let Record { node: peer, incarnation, status, serving, domain, .. } = record;
        tracing::info!(%peer, %incarnation, ?status, serving, %domain, "node changed");
    }
}

/// Rebuilds the directory after a change of the registry.
pub(crate) fn refresh_coverage(node: &Node) {
    let membership = node.membership.lock();
    refresh_directory(node, membership.own());
}

/// Returns the node of a membership record.
pub(crate) fn candidate(record: &Record) -> Candidate {
    Candidate {
        node: record.node,
        address: record.callers,
        domain: record.domain.clone(),
        capacity: record.capacity,
    }
}

/// Rebuilds the directory, and updates the number of nodes that share the connections and the
/// retry budget of each pool.
fn refresh_directory(node: &Node, own: &Record) {
    let peers = node.peers.load();
    let serving = peers.iter().chain([own]).filter(|r| r.status == Status::Alive && r.serving);
    let candidates: Vec<Candidate> = serving.map(candidate).collect();
    let links = node.isolation.lock().links();
    let candidates = node.reachability.lock().nameable(node.now(), links, candidates);
    let coverage = node.registry.lock().coverage();
    let preferred = node_selection::preferred_nodes(&candidates);
    let is_preferred = preferred.iter().any(|c| c.address == node.settings.caller_addr);
    node.preferred.store(is_preferred || preferred.len() == candidates.len(), Ordering::Relaxed);
    // Dead nodes count too: a process may return on their VM at any moment.
    let all = peers.len() + 1;
    let nodes = match preferred.len() < candidates.len() && is_preferred {
        true => preferred.len(),
        false => all,
    };
    let nodes = (!peers.is_empty()).then_some(nodes);
    {
        let mut pools = node.pools.lock();
        pools.set_node_count(nodes);
        pools.set_fleet_size(all);
    }
    node.directory.store(Arc::new(Directory { candidates, coverage }));
}

/// Sends this node's state to some peers at once, without waiting for the next tick.
pub(crate) fn gossip_now(node: &Node) {
    let piggyback = piggyback(node);
    let messages = {
        // Locked before the random numbers, as in `tick`.
        let mut membership = node.membership.lock();
        node.with_rng(|rng| membership.gossip_now(&piggyback, rng))
    };
    send(node, messages);
}

fn send(node: &Node, messages: Vec<OutboundMessage>) {
    let Some(socket) = node.heartbeat_socket.load_full() else { return };
    for OutboundMessage { to, message } in messages {
        match heartbeat::encode(&node.settings.deployment, &message) {
            // A full send buffer loses the datagram, as the network may.
            Ok(bytes) => drop(socket.try_send_to(&bytes, to.0)),
            Err(e) => tracing::error!(peer = %to, cause = %e, "failed to encode a heartbeat"),
        }
    }
}

/// Fetches all membership records from a random peer that is alive (anti-entropy).
async fn fetch_members(node: Arc<Node>) {
    let peers = node.peers.load_full();
    let alive: Vec<id::Node> =
        peers.iter().filter(|r| r.status == Status::Alive).map(|r| r.node).collect();
    if alive.is_empty() {
        return;
    }
    let from = alive[node.random() as usize % alive.len()];
    match peer::fetch_members(&node, from).await {
        Ok(records) => {
            let mut membership = node.membership.lock();
            membership.merge_all(node.now(), &records);
            refresh_peers(&node, &membership);
        }
        Err(e) => {
            tracing::debug!(peer = %from, cause = %e, "failed to fetch the members from a peer");
        }
    }
}

/// A lookup of nodes by a caller.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lookup<'a> {
    /// Host that it will send requests to, without a port; empty if it does not say.
    pub host: &'a str,
    /// Its failure domain; empty if it does not say.
    pub domain: &'a str,
    /// Its region; that of its failure domain if it does not say.
    pub region: Option<&'a str>,
}

/// Returns the addresses of nodes for a caller, starting at a random one; empty if no node is known to
/// serve that its requests may be sent to.
pub fn caller_addresses(node: &Node, lookup: Lookup<'_>) -> Vec<SocketAddr> {
    let Lookup { host, domain, region } = lookup;
    let directory = node.directory.load();
    let table = node.route_table.load();
    let homes = table.as_ref().map(|t| t.home_regions(host)).unwrap_or_default();
    if !homes.is_empty() {
        let regions = &node.regions;
        let caller = region.or_else(|| regions.region(domain).map(id::Region::as_str));
        let candidates = &directory.candidates;
        let allowed = node_selection::nodes_in_home_regions(candidates, regions, &homes, caller);
        return shuffled_addresses(node, domain, &allowed, &directory.coverage);
    }
    shuffled_addresses(node, domain, &directory.candidates, &directory.coverage)
}

fn shuffled_addresses(
    node: &Node,
    domain: &str,
    candidates: &[Candidate],
    coverage: &FastMap<SmolStr, usize>,
) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> =
        node_selection::nodes_for_domain(domain, candidates, coverage)
            .into_iter()
            .map(|c| c.address)
            .collect();
    let start = if addresses.is_empty() { 0 } else { node.random() as usize % addresses.len() };
    addresses.rotate_left(start);
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// Returns whether this node is one of those that watch the platform for their peers.
pub(crate) fn is_watcher(node: &Node) -> bool {
    watch::is_watcher(node.peers.load().len(), preceding_watchers(node))
}

/// Returns the longest wait of one watch call of this node.
pub(crate) fn watch_timeout(node: &Node, update_deadline: Duration) -> Duration {
    let others = node.peers.load().len();
    watch::watch_timeout(others, preceding_watchers(node), update_deadline)
}

/// Returns the number of nodes of this node's failure domain that watch the platform rather than
/// this one.
fn preceding_watchers(node: &Node) -> usize {
    let peers = node.peers.load();
    let domain = &node.settings.domain;
    // An order that all nodes agree on. Nodes with more capacity come first, as callers depend
    // on them.
    let rank = |r: &Record| {
        let weight = routing::rendezvous_weight(b"watcher", domain.as_str().as_bytes(), r.node);
        (r.capacity, weight)
    };
    let own = {
        let membership = node.membership.lock();
        rank(membership.own())
    };
    let is_alive_here = |r: &&Record| r.status == Status::Alive && r.domain == *domain;
    peers.iter().filter(is_alive_here).filter(|r| rank(r) > own).count()
}
