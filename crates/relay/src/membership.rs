//! Membership of the fleet by heartbeats, and what nodes tell each other along with them.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::{
    id,
    unit::{Generation, Revision},
};
use policy::{
    adoption::Stamp,
    membership::{MAX_ACCUSATIONS, OutboundMessage, Piggyback, Record, Status},
    relay::{
        node_selection::{self, Candidate},
        watch,
    },
    routing,
};
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use wire::heartbeat;

use crate::{
    log_limiter::LogKind,
    node::{Names, Node},
    peer, platform_watch,
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Addresses in one answer.
const ADDRESSES: usize = 64;
/// What a peer's heartbeat says of the platform's service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Said {
    pub(crate) generation: Generation,
    pub(crate) revision: Revision,
    /// When the platform last spoke.
    pub(crate) word: Option<Instant>,
}

/// Sends and receives heartbeats until `cancel`.
pub async fn run(node: Arc<Node>, socket: UdpSocket, cancel: CancellationToken) {
    let socket = Arc::new(socket);
    node.outbox.store(Some(socket.clone()));
    let mut buffer = vec![0; heartbeat::MAX_DATAGRAM_BYTES + 1];
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            _ = ticks.tick() => tick(&node),
            received = socket.recv_from(&mut buffer) => match received {
                Ok((size, _)) => receive(&node, &buffer[..size]),
                // A port that was closed at the other end shows here; nothing was lost by it.
                Err(e) => tracing::debug!(cause = %e, "heartbeat socket"),
            },
        }
    }
}

fn tick(node: &Arc<Node>) {
    let extras = extras(node);
    let ready = node.is_ready();
    let (out, divergent) = {
        let mut fleet = node.fleet.lock();
        let pauses = fleet.pauses();
        let mut out = Vec::new();
        if ready != fleet.own().serving {
            let change = node.with_rng(|rng| match ready {
                true => fleet.join(&extras, rng),
                false => fleet.leave(&extras, rng),
            });
            out.extend(change);
        }
        out.extend(node.with_rng(|rng| fleet.tick(node.now(), &extras, rng)));
        if fleet.pauses() > pauses {
            node.metrics.suspensions.inc();
            tracing::warn!("this process was suspended; beliefs are refreshed");
            node.look.notify_one();
        }
        refresh_view(node, &fleet);
        (out, fleet.is_divergent())
    };
    send(node, out);
    platform_watch::refresh(node);
    node.links.close_expired(node.now());
    if divergent {
        tokio::spawn(fetch_members(node.clone()));
    }
}

fn receive(node: &Arc<Node>, bytes: &[u8]) {
    let message = match heartbeat::decode(&node.settings.deployment, bytes) {
        Ok(message) => message,
        Err(e) => {
            if node.journal.allows(node.now(), LogKind::Peer) {
                tracing::warn!(cause = %e, "heartbeat refused");
            }
            return;
        }
    };
    let accused = {
        let now = node.now();
        let mut book = node.accusations.lock();
        // Every accusation is to be learned, so no short circuit.
        message.accusations.iter().filter(|a| book.record(now, **a)).count() > 0
    };
    let extras = extras(node);
    let out = {
        let mut fleet = node.fleet.lock();
        let out = fleet.receive(node.now(), &message, &extras);
        refresh_view(node, &fleet);
        out
    };
    send(node, out);
    if accused {
        spread_news(node);
    }
    let age = message.word_age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
    let word = age.and_then(|age| node.now().checked_sub(age));
    let said = Said { generation: message.stamp.generation, revision: message.revision, word };
    let known = node.registry.lock().revision();
    let behind = said.generation > node.generation() || said.revision > known;
    if !behind {
        platform_watch::hear_word(node, word);
    } else if !node.catching_up.swap(true, Ordering::Relaxed) {
        let (node, from) = (node.clone(), message.sender.node);
        tokio::spawn(async move {
            platform_watch::catch_up(node.clone(), from, said).await;
            node.catching_up.store(false, Ordering::Relaxed);
        });
    }
}

fn extras(node: &Node) -> Piggyback {
    let stamp = Stamp { generation: node.generation(), digest: 0 };
    let revision = node.registry.lock().last_change();
    let accusations = {
        let book = node.accusations.lock();
        if book.is_empty() { Vec::new() } else { book.reports(node.now(), MAX_ACCUSATIONS) }
    };
    let word = *node.word.lock();
    let word_age_ms = word.map(|at| {
        let age = node.now().saturating_duration_since(at).as_millis();
        u32::try_from(age).unwrap_or(u32::MAX)
    });
    Piggyback { stamp, revision, accusations, word_age_ms, ..Piggyback::default() }
}

/// Called with the lock on the fleet held, so that views are stored in order.
fn refresh_view(node: &Node, fleet: &policy::membership::Membership) {
    let version = fleet.version() as usize;
    if node.view_version.swap(version, Ordering::AcqRel) == version {
        return;
    }
    let mut records: Vec<Record> = fleet.records().cloned().collect();
    records.sort_unstable_by_key(|r| r.node);
    report_changes(node, &node.view.load(), &records);
    node.view.store(Arc::new(records));
    refresh_names(node, fleet.own());
}

/// Logs nodes that came, were lost or changed between two views, both sorted by node.
fn report_changes(node: &Node, before: &[Record], after: &[Record]) {
    for record in after {
        let old = before.binary_search_by_key(&record.node, |r| r.node).map(|i| &before[i]);
        let same = |r: &Record| {
            (r.status, r.serving, r.incarnation)
                == (record.status, record.serving, record.incarnation)
        };
        if old.is_ok_and(same) || !node.journal.allows(node.now(), LogKind::Peer) {
            continue;
        }
        let Record { node: peer, incarnation, status, serving, domain, .. } = record;
        tracing::info!(%peer, %incarnation, ?status, serving, %domain, "node changed");
    }
}

/// Renews what address answers are made from after a change of the registry.
pub(crate) fn refresh_coverage(node: &Node) {
    let fleet = node.fleet.lock();
    refresh_names(node, fleet.own());
}

/// Renews what address answers are made from, and the share of what all nodes may use.
fn refresh_names(node: &Node, own: &Record) {
    let view = node.view.load();
    let serving = view.iter().chain([own]).filter(|r| r.status == Status::Alive && r.serving);
    let candidate = |r: &Record| Candidate {
        address: r.callers,
        domain: r.domain.clone(),
        capacity: r.capacity,
    };
    let candidates: Vec<Candidate> = serving.map(candidate).collect();
    let coverage = node.registry.lock().coverage();
    let carriers = node_selection::preferred_nodes(&candidates);
    let carries = carriers.iter().any(|c| c.address == node.settings.caller_addr);
    node.carrier.store(carries || carriers.len() == candidates.len(), Ordering::Relaxed);
    // Dead ones count: a process may come back on their VM at any moment.
    let all = view.len() + 1;
    let nodes = match carriers.len() < candidates.len() && carries {
        true => carriers.len(),
        false => all,
    };
    let nodes = (!view.is_empty()).then_some(nodes);
    node.pools.lock().set_node_count(nodes);
    node.names.store(Arc::new(Names { candidates, coverage }));
}

/// Tells some nodes at once of what this node has learned.
pub(crate) fn spread_news(node: &Node) {
    let extras = extras(node);
    let out = node.with_rng(|rng| node.fleet.lock().gossip_now(&extras, rng));
    send(node, out);
}

fn send(node: &Node, out: Vec<OutboundMessage>) {
    let Some(socket) = node.outbox.load_full() else { return };
    for OutboundMessage { to, message } in out {
        match heartbeat::encode(&node.settings.deployment, &message) {
            // A full buffer loses the datagram, as the network may.
            Ok(bytes) => drop(socket.try_send_to(&bytes, to.0)),
            Err(e) => tracing::error!(peer = %to, cause = %e, "heartbeat not sent"),
        }
    }
}

async fn fetch_members(node: Arc<Node>) {
    let view = node.view.load_full();
    let alive: Vec<id::Node> =
        view.iter().filter(|r| r.status == Status::Alive).map(|r| r.node).collect();
    if alive.is_empty() {
        return;
    }
    let from = alive[node.random() as usize % alive.len()];
    match peer::members(&node, from).await {
        Ok(records) => {
            let mut fleet = node.fleet.lock();
            fleet.merge_all(node.now(), &records);
            refresh_view(&node, &fleet);
        }
        Err(e) => tracing::debug!(peer = %from, cause = %e, "a peer did not tell the members"),
    }
}

/// Addresses of nodes for a caller in the failure domain `domain`; empty if the node knows no
/// node that serves.
pub fn caller_addresses(node: &Node, domain: &str) -> Vec<SocketAddr> {
    let names = node.names.load();
    let mut chosen: Vec<SocketAddr> =
        node_selection::nodes_for_domain(domain, &names.candidates, &names.coverage)
            .into_iter()
            .map(|c| c.address)
            .collect();
    let start = if chosen.is_empty() { 0 } else { node.random() as usize % chosen.len() };
    chosen.rotate_left(start);
    chosen.truncate(ADDRESSES);
    chosen
}

/// Whether this node is one of those that follow the platform for the others.
pub(crate) fn is_watcher(node: &Node) -> bool {
    let view = node.view.load();
    let domain = &node.settings.domain;
    // The order that all nodes agree on: strong ones first, as callers depend on them.
    let rank = |r: &Record| {
        let weight = routing::rendezvous_weight(b"watcher", domain.as_str().as_bytes(), r.node);
        (r.capacity, weight)
    };
    let own = {
        let fleet = node.fleet.lock();
        rank(fleet.own())
    };
    let alive = |r: &&Record| r.status == Status::Alive && r.domain == *domain;
    let before = view.iter().filter(alive).filter(|r| rank(r) > own).count();
    watch::is_watcher(view.len(), before)
}
