//! Tells peers whether this node reaches upstreams, and asks them. The decisions are in
//! [`policy::relay::reachability`].

use std::time::Instant;

use base::id;
use policy::{
    membership::Status,
    relay::{
        node_selection::{self, Candidate},
        reachability::{Contact, Counts, Destination, Kind, Links},
    },
};
use wire::{datagram::Error, reachability};

use crate::{membership, node::Node};

/// Sends what is due. Returns whether this node is to check its links, as peers wait for an answer.
/// To be called several times a second.
pub(crate) fn tick(node: &Node, now: Instant, links: Links) -> bool {
    let contact = contact(node);
    let (answers, needs_check) = {
        let mut reachability = node.reachability.lock();
        reachability.expire(now);
        (reachability.due_answers(now, links, contact), reachability.needs_check(now))
    };
    for (to, reaches) in answers {
        send(node, now, to, Kind::Answer, reaches.then_some(contact));
    }
    ask(node, now, links, contact);
    let Counts { reaching, denied } = node.reachability.lock().counts(now);
    let (before, cut_off) = (node.metrics.peers_cut_off.get(), denied as i64);
    node.metrics.peers_reaching.set(reaching as i64);
    node.metrics.peers_cut_off.set(cut_off);
    if cut_off == 0 && before > 0 {
        membership::refresh_coverage(node);
    }
    needs_check
}

/// Asks some peers, if it is time.
fn ask(node: &Node, now: Instant, links: Links, contact: Contact) {
    if links == Links::Connected && !node.reachability.lock().is_watching(now) {
        return;
    }
    let (strong, all) = living_peers(node);
    let (to, within) =
        node.with_rng(|rng| node.reachability.lock().due_questions(now, links, &strong, &all, rng));
    if to.is_empty() {
        return;
    }
    let within_ms = u16::try_from(within.as_millis()).unwrap_or(u16::MAX);
    let own = (links == Links::Connected).then_some(contact);
    for to in to {
        send(node, now, to, Kind::Question { within_ms }, own);
    }
    // Address lists follow what the answers to earlier rounds tell.
    membership::refresh_coverage(node);
}

/// Handles a datagram of this protocol.
pub(crate) fn receive(node: &Node, bytes: &[u8]) -> Result<(), Error> {
    let message = reachability::decode(&node.settings.deployment, bytes)?;
    if !node.settings.relays_through_peers() {
        return Ok(());
    }
    let (now, contact) = (node.now(), contact(node));
    let links = node.isolation.lock().links();
    let answers = {
        let mut reachability = node.reachability.lock();
        reachability.receive(now, &message);
        reachability.due_answers(now, links, contact)
    };
    for (to, reaches) in answers {
        send(node, now, to, Kind::Answer, reaches.then_some(contact));
    }
    Ok(())
}

/// Returns the peers that may serve a request for this node, with their weights.
pub(crate) fn servers(node: &Node, now: Instant, candidates: &[Candidate]) -> Vec<Destination> {
    let links = node.isolation.lock().links();
    node.reachability.lock().servers(now, links, candidates)
}

/// Returns when this node last had contact with upstreams.
fn contact(node: &Node) -> Contact {
    let last_reply = *node.last_reply.lock();
    node.isolation.lock().contact(last_reply)
}

/// Returns the peers that live: those that carry requests, if they are fewer, and all.
fn living_peers(node: &Node) -> (Vec<id::Node>, Vec<id::Node>) {
    let peers = node.peers.load();
    let living = peers.iter().filter(|r| r.status == Status::Alive);
    let candidates: Vec<Candidate> = living.map(membership::candidate).collect();
    let strong = node_selection::preferred_nodes(&candidates);
    let strong = strong.into_iter().map(|c| c.node).collect();
    (strong, candidates.iter().map(|c| c.node).collect())
}

/// Returns the number of other nodes that live.
pub(crate) fn living_count(node: &Node) -> usize {
    node.peers.load().iter().filter(|r| r.status == Status::Alive).count()
}

fn send(node: &Node, now: Instant, to: id::Node, kind: Kind, own: Option<Contact>) {
    let Some(socket) = node.heartbeat_socket.load_full() else { return };
    let message = node.with_rng(|rng| node.reachability.lock().message(now, kind, own, rng));
    match reachability::encode(&node.settings.deployment, &message) {
        // A full send buffer loses the datagram, as the network may.
        Ok(bytes) => drop(socket.try_send_to(&bytes, to.0)),
        Err(e) => tracing::error!(peer = %to, cause = %e, "failed to encode a message to a peer"),
    }
}
