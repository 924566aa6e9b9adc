//! Gossip-based membership and failure detection in the manner of SWIM.
//!
//! Each node probes one other node per period, first directly and then through other nodes, and
//! piggybacks changed records on its messages, so that the cost per node does not grow with the
//! fleet. Records of a node are ordered by its incarnation and counter. Only the node itself
//! raises its counter, for example to refute a suspicion.

use std::{
    cell::Cell,
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{hash, hash::FastMap, id, unit::Revision};
use rand::{Rng, RngCore, seq::IndexedRandom, seq::SliceRandom};
use serde::{Deserialize, Serialize};

use crate::{adoption::Stamp, departure, quarantine::Notice, relay::crash_quarantine};

/// Mean time between two probes; each period is jittered by 10% in both directions.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time without an acknowledgement after which other nodes are asked to probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a suspected node is declared dead, unless it refutes the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the record of a dead node is retained, as a tombstone.
pub const DEAD_RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of records in one message.
pub const MAX_RECORDS: usize = 8;
/// Maximum number of quarantine notices in one message.
pub const MAX_NOTICES: usize = 8;
/// Maximum number of crash reports in one message: all of them on an ordinary day. A receiver of
/// as many fetches the others.
pub const MAX_CRASH_REPORTS: usize = 32;
/// Maximum number of departure notices in one message.
pub const MAX_DEPARTURES: usize = 8;
/// Number of nodes asked to probe a node that has not acknowledged a direct probe.
const INDIRECT_PROBES: usize = 3;
/// Number of nodes that receive updates immediately; each forwards it to as many others.
const GOSSIP_FANOUT: usize = 4;
/// Time between two ticks from which the process is assumed to have been suspended.
pub const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Number of periods between probes of dead or unknown nodes, which reconnect the fleet after a
/// partition.
const LOST_PROBE_PERIODS: u64 = 4;
/// Consecutive digest mismatches from which the records are considered divergent.
const DIVERGENCE_THRESHOLD: u32 = 3;

/// Health state of a node as observed by its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// The node acknowledges probes.
    Alive,
    /// The node did not acknowledge a probe.
    Suspect,
    /// The node did not refute a suspicion in time, for example because it has stopped.
    Dead,
}

/// Membership record of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The node.
    pub node: id::Node,
    /// Incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Version of the record within the incarnation; raised by the node itself only.
    pub counter: u32,
    /// Health state.
    pub status: Status,
    /// Whether it accepts requests from callers and roots; false while it starts or stops.
    pub serving: bool,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Address at which it serves callers.
    pub callers: SocketAddr,
    /// CPU capacity of its VM, in thousandths of a core.
    pub capacity: u32,
}

impl Record {
    /// Of two records of a node, the one with the greater precedence replaces the other.
    fn precedence(&self) -> (id::Incarnation, u32, Status) {
        (self.incarnation, self.counter, self.status)
    }
}

/// Kind of a heartbeat message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests an acknowledgement.
    Ping,
    /// Acknowledges a [`Kind::Ping`].
    Ack,
    /// Asks the receiver to probe `target` on behalf of the sender.
    PingRequest {
        /// The node to probe.
        target: id::Node,
    },
    /// Probes the receiver on behalf of `origin`.
    PingFor {
        /// The node that requested the probe.
        origin: id::Node,
    },
    /// Acknowledges a [`Kind::PingFor`]; sent by the probed node directly to the origin.
    AckFor,
    /// Carries updates and requires no acknowledgement.
    News,
}

/// One heartbeat message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The kind.
    pub kind: Kind,
    /// Record of the sender.
    pub sender: Record,
    /// Stamp of the configuration in force at the sender.
    pub stamp: Stamp,
    /// Digest of the sender's membership records.
    pub digest: u64,
    /// Recently changed records.
    pub records: Vec<Record>,
    /// Quarantined fingerprints.
    pub notices: Vec<Notice>,
    /// Upstreams that the platform lists as leaving.
    pub departures: Vec<departure::Notice>,
    /// Latest revision of the platform's registry known to the sender.
    pub revision: Revision,
    /// Crash reports: relayed requests that are suspected of crashing upstreams.
    pub accusations: Vec<crash_quarantine::CrashReport>,
    /// Age of the platform data that the sender knows of, in milliseconds: the time since the
    /// platform response that the data includes.
    pub word_age_ms: Option<u32>,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The receiver.
    pub to: id::Node,
    /// The message.
    pub message: Message,
}

/// Data from outside of membership that a node piggybacks on its messages.
#[derive(Debug, Clone, Default)]
pub struct Piggyback {
    /// Stamp of the configuration in force.
    pub stamp: Stamp,
    /// Quarantined fingerprints.
    pub notices: Vec<Notice>,
    /// Upstreams that the platform lists as leaving.
    pub departures: Vec<departure::Notice>,
    /// Latest revision of the platform's registry known to this node.
    pub revision: Revision,
    /// Crash reports: relayed requests that are suspected of crashing upstreams.
    pub accusations: Vec<crash_quarantine::CrashReport>,
    /// Age of the platform data that this node knows of, in milliseconds: the time since the
    /// platform response that the data includes.
    pub word_age_ms: Option<u32>,
}

/// Another node's record with its local state.
#[derive(Debug)]
struct Member {
    record: Record,
    changed_at: Instant,
    /// Number of messages in which the record is still to be sent.
    transmissions_left: u32,
}

/// The probe that awaits an acknowledgement.
#[derive(Debug)]
struct Probe {
    target: id::Node,
    sent_at: Instant,
    /// Whether other nodes have been asked to probe.
    indirect: bool,
}

/// One node's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    own: Record,
    members: FastMap<id::Node, Member>,
    /// Nodes that the platform lists.
    candidates: Vec<id::Node>,
    /// Shuffled nodes that are still to be probed in this round.
    probe_order: Vec<id::Node>,
    probe: Option<Probe>,
    last_tick: Option<Instant>,
    next_probe: Option<Instant>,
    /// Probe periods since the start.
    periods: u64,
    /// Detected suspensions of this process.
    suspensions: u64,
    /// Whether a message from another node has ever arrived.
    had_contact: bool,
    /// Consecutive messages whose digest differed from this node's.
    digest_mismatches: u32,
    /// Members that are not alive, so that a tick need not scan all members.
    not_alive: BTreeSet<id::Node>,
    /// Members whose records are still to be gossiped.
    to_gossip: BTreeSet<id::Node>,
    /// Incremented with each change of a record.
    version: u64,
    /// Cached digest; `None` after a change.
    digest: Cell<Option<u64>>,
}

impl Membership {
    /// Creates a membership that contains only the node itself.
    pub fn new(own: Record) -> Membership {
        Membership {
            own,
            members: FastMap::default(),
            candidates: Vec::new(),
            probe_order: Vec::new(),
            probe: None,
            last_tick: None,
            next_probe: None,
            periods: 0,
            suspensions: 0,
            had_contact: false,
            digest_mismatches: 0,
            not_alive: BTreeSet::new(),
            to_gossip: BTreeSet::new(),
            version: 0,
            digest: Cell::new(None),
        }
    }

    /// Returns the node's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the records of the other nodes, dead ones included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|m| &m.record)
    }

    /// Returns the version of the records, which changes with each change of a record.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of detected suspensions of this process.
    pub fn suspensions(&self) -> u64 {
        self.suspensions
    }

    /// Whether the node has had contact with others and now considers none of them alive.
    pub fn is_isolated(&self) -> bool {
        let alive = |m: &Member| m.record.status == Status::Alive;
        self.had_contact && !self.members.is_empty() && !self.members.values().any(alive)
    }

    /// Whether several consecutive messages had a different digest, so that the full list of
    /// records should be fetched from another node (anti-entropy).
    pub fn is_divergent(&self) -> bool {
        self.digest_mismatches >= DIVERGENCE_THRESHOLD
    }

    /// Sets the nodes that the platform lists, which are probed while not known to be live.
    pub fn set_candidates(&mut self, candidates: Vec<id::Node>) {
        self.candidates = candidates.into_iter().filter(|n| *n != self.own.node).collect();
    }

    /// Announces that this node is stopping.
    pub fn leave(&mut self, piggyback: &Piggyback, rng: &mut dyn RngCore) -> Vec<OutboundMessage> {
        self.set_serving(false);
        self.gossip_now(piggyback, rng)
    }

    /// Announces that this node serves callers.
    pub fn join(&mut self, piggyback: &Piggyback, rng: &mut dyn RngCore) -> Vec<OutboundMessage> {
        self.set_serving(true);
        self.gossip_now(piggyback, rng)
    }

    fn set_serving(&mut self, serving: bool) {
        self.own.serving = serving;
        self.own.counter += 1;
        self.record_change();
    }

    /// Sends `piggyback` and recently changed records to some nodes immediately.
    pub fn gossip_now(
        &mut self,
        piggyback: &Piggyback,
        rng: &mut dyn RngCore,
    ) -> Vec<OutboundMessage> {
        let others = self.sample_alive(GOSSIP_FANOUT, None, rng);
        others.into_iter().map(|to| self.message_to(to, Kind::News, piggyback)).collect()
    }

    /// Performs what is due; must be called several times per period.
    pub fn tick(
        &mut self,
        now: Instant,
        piggyback: &Piggyback,
        rng: &mut dyn RngCore,
    ) -> Vec<OutboundMessage> {
        self.detect_suspension(now);
        let mut messages = Vec::new();
        self.advance_probe(now, piggyback, rng, &mut messages);
        self.expire_members(now);
        if self.next_probe.is_none_or(|at| at <= now) {
            self.next_probe = Some(now + PROBE_PERIOD.mul_f64(0.9 + 0.2 * rng.random::<f64>()));
            self.periods += 1;
            self.start_probe(now, piggyback, rng, &mut messages);
        }
        messages
    }

    /// Processes a received message and returns the replies.
    pub fn receive(
        &mut self,
        now: Instant,
        message: &Message,
        piggyback: &Piggyback,
    ) -> Vec<OutboundMessage> {
        let from = message.sender.node;
        if from == self.own.node {
            return Vec::new();
        }
        self.had_contact = true;
        self.merge(now, &message.sender);
        for record in &message.records {
            self.merge(now, record);
        }
        self.compare_digest(message.digest);
        if self.probe.as_ref().is_some_and(|p| p.target == from) {
            self.probe = None;
        }
        match &message.kind {
            Kind::Ping => vec![self.message_to(from, Kind::Ack, piggyback)],
            Kind::PingRequest { target } => {
                vec![self.message_to(*target, Kind::PingFor { origin: from }, piggyback)]
            }
            Kind::PingFor { origin } => vec![self.message_to(*origin, Kind::AckFor, piggyback)],
            Kind::Ack | Kind::AckFor | Kind::News => Vec::new(),
        }
    }

    /// Merges a full list of records from another node.
    pub fn merge_all(&mut self, now: Instant, records: &[Record]) {
        self.digest_mismatches = 0;
        for record in records {
            self.merge(now, record);
        }
    }

    /// Returns a digest of all records except dead ones, the node's own record included.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let of = |r: &Record| {
            let Record { node, incarnation, counter, status, serving, .. } = r;
            let text = format!("{node} {incarnation} {counter} {status:?} {serving}");
            hash::stable(&[text.as_bytes()])
        };
        // A sum is independent of the order of the records, which differs between nodes.
        let live = self.records().filter(|r| r.status != Status::Dead);
        let digest = live.map(of).fold(of(&self.own), u64::wrapping_add);
        self.digest.set(Some(digest));
        digest
    }

    /// Updates the version and digest; must be called with each change of a record.
    fn record_change(&mut self) {
        self.version += 1;
        self.digest.set(None);
    }

    /// Updates the indices; must be called with each change of the record of `node`.
    fn record_member_change(&mut self, node: id::Node) {
        self.record_change();
        self.to_gossip.insert(node);
        let status = self.members.get(&node).map(|m| m.record.status);
        if status.is_some_and(|s| s != Status::Alive) {
            self.not_alive.insert(node);
        } else {
            self.not_alive.remove(&node);
        }
    }

    fn compare_digest(&mut self, digest: u64) {
        self.digest_mismatches =
            if digest == self.digest() { 0 } else { self.digest_mismatches + 1 };
    }

    fn detect_suspension(&mut self, now: Instant) {
        let gap = self.last_tick.map(|t| now.saturating_duration_since(t));
        self.last_tick = Some(now);
        if gap.is_none_or(|g| g < SUSPENSION_THRESHOLD) {
            return;
        }
        // Acknowledgements may have been missed during the suspension: drop the pending probe and
        // restart all timeouts.
        self.suspensions += 1;
        self.probe = None;
        for member in self.members.values_mut() {
            member.changed_at = now;
        }
    }

    fn advance_probe(
        &mut self,
        now: Instant,
        piggyback: &Piggyback,
        rng: &mut dyn RngCore,
        messages: &mut Vec<OutboundMessage>,
    ) {
        let Some(probe) = &self.probe else { return };
        let target = probe.target;
        let age = now.saturating_duration_since(probe.sent_at);
        if age >= PROBE_PERIOD {
            self.probe = None;
            self.suspect(now, target);
        } else if age >= PROBE_TIMEOUT && !probe.indirect {
            for to in self.sample_alive(INDIRECT_PROBES, Some(target), rng) {
                messages.push(self.message_to(to, Kind::PingRequest { target }, piggyback));
            }
            if let Some(probe) = &mut self.probe {
                probe.indirect = true;
            }
        }
    }

    fn suspect(&mut self, now: Instant, target: id::Node) {
        let transmissions_left = self.retransmissions();
        let Some(member) = self.members.get_mut(&target) else { return };
        if member.record.status != Status::Alive {
            return;
        }
        member.record.status = Status::Suspect;
        member.changed_at = now;
        member.transmissions_left = transmissions_left;
        self.record_member_change(target);
    }

    fn expire_members(&mut self, now: Instant) {
        let not_alive: Vec<id::Node> = self.not_alive.iter().copied().collect();
        for node in not_alive {
            let Some(member) = self.members.get(&node) else { continue };
            let age = now.saturating_duration_since(member.changed_at);
            match member.record.status {
                Status::Suspect if age >= SUSPICION_TIMEOUT => self.declare_dead(now, node),
                Status::Dead if age >= DEAD_RETENTION => self.forget(node),
                _ => {}
            }
        }
    }

    fn declare_dead(&mut self, now: Instant, node: id::Node) {
        let transmissions_left = self.retransmissions();
        if let Some(member) = self.members.get_mut(&node) {
            member.record.status = Status::Dead;
            member.changed_at = now;
            member.transmissions_left = transmissions_left;
        }
        self.record_member_change(node);
    }

    fn forget(&mut self, node: id::Node) {
        self.members.remove(&node);
        self.not_alive.remove(&node);
        self.to_gossip.remove(&node);
        self.record_change();
    }

    fn start_probe(
        &mut self,
        now: Instant,
        piggyback: &Piggyback,
        rng: &mut dyn RngCore,
        messages: &mut Vec<OutboundMessage>,
    ) {
        if self.periods.is_multiple_of(LOST_PROBE_PERIODS) || self.members.is_empty() {
            self.probe_lost_nodes(piggyback, rng, messages);
        }
        if self.probe.is_some() {
            return;
        }
        if let Some(target) = self.next_target(rng) {
            self.probe = Some(Probe { target, sent_at: now, indirect: false });
            messages.push(self.message_to(target, Kind::Ping, piggyback));
        }
    }

    fn next_target(&mut self, rng: &mut dyn RngCore) -> Option<id::Node> {
        let is_live = |m: &Member| m.record.status != Status::Dead;
        loop {
            if self.probe_order.is_empty() {
                self.probe_order =
                    self.members.values().filter(|m| is_live(m)).map(|m| m.record.node).collect();
                self.probe_order.sort_unstable();
                self.probe_order.shuffle(rng);
            }
            let target = self.probe_order.pop()?;
            if self.members.get(&target).is_some_and(is_live) {
                return Some(target);
            }
        }
    }

    /// Pings some nodes that are listed or were members but are not live.
    fn probe_lost_nodes(
        &mut self,
        piggyback: &Piggyback,
        rng: &mut dyn RngCore,
        messages: &mut Vec<OutboundMessage>,
    ) {
        let is_live =
            |n: &id::Node| self.members.get(n).is_some_and(|m| m.record.status != Status::Dead);
        let mut lost: Vec<id::Node> =
            self.candidates.iter().copied().filter(|n| !is_live(n)).collect();
        lost.extend(self.members.keys().copied().filter(|n| !is_live(n)));
        lost.sort_unstable();
        lost.dedup();
        for to in lost.choose_multiple(rng, GOSSIP_FANOUT).copied().collect::<Vec<_>>() {
            messages.push(self.message_to(to, Kind::Ping, piggyback));
        }
    }

    fn merge(&mut self, now: Instant, record: &Record) {
        if record.node == self.own.node {
            self.refute(record);
            return;
        }
        let transmissions_left = self.retransmissions();
        match self.members.get_mut(&record.node) {
            Some(member) if record.precedence() <= member.record.precedence() => return,
            Some(member) => {
                member.record = record.clone();
                member.changed_at = now;
                member.transmissions_left = transmissions_left;
            }
            None if record.status == Status::Dead => return,
            None => {
                let member = Member { record: record.clone(), changed_at: now, transmissions_left };
                self.members.insert(record.node, member);
            }
        }
        self.record_member_change(record.node);
    }

    /// Raises the own counter if another node's record of this process is wrong.
    fn refute(&mut self, record: &Record) {
        let same_process = record.incarnation == self.own.incarnation;
        let contradicts = record.status != Status::Alive || record.serving != self.own.serving;
        if same_process && contradicts && record.counter >= self.own.counter {
            self.own.counter = record.counter + 1;
            self.record_change();
        }
    }

    /// Number of messages in which a changed record is sent, logarithmic in the fleet's size.
    fn retransmissions(&self) -> u32 {
        3 * (usize::BITS - (self.members.len() + 1).leading_zeros())
    }

    fn sample_alive(
        &self,
        count: usize,
        except: Option<id::Node>,
        rng: &mut dyn RngCore,
    ) -> Vec<id::Node> {
        let usable =
            |m: &&Member| m.record.status == Status::Alive && Some(m.record.node) != except;
        let mut nodes: Vec<id::Node> =
            self.members.values().filter(usable).map(|m| m.record.node).collect();
        nodes.sort_unstable();
        nodes.choose_multiple(rng, count).copied().collect()
    }

    fn message_to(&mut self, to: id::Node, kind: Kind, piggyback: &Piggyback) -> OutboundMessage {
        // A suspected receiver must be sent its own record, or it cannot refute the suspicion.
        let receiver = self.members.get(&to).filter(|m| m.record.status != Status::Alive);
        let mut records: Vec<Record> = receiver.map(|m| m.record.clone()).into_iter().collect();
        let fresh = self.take_records(to, MAX_RECORDS - records.len());
        records.extend(fresh);
        let notices = piggyback.notices.iter().copied().take(MAX_NOTICES).collect();
        let departures = piggyback.departures.iter().copied().take(MAX_DEPARTURES).collect();
        let accusations = piggyback.accusations.iter().copied().take(MAX_CRASH_REPORTS).collect();
        let digest = self.digest();
        let sender = self.own.clone();
        OutboundMessage {
            to,
            message: Message {
                kind,
                sender,
                stamp: piggyback.stamp,
                digest,
                records,
                notices,
                departures,
                revision: piggyback.revision,
                accusations,
                word_age_ms: piggyback.word_age_ms,
            },
        }
    }

    /// Takes up to `count` records to gossip, the least transmitted first.
    fn take_records(&mut self, to: id::Node, count: usize) -> Vec<Record> {
        let transmissions_left =
            |n: &id::Node| self.members.get(n).map_or(0, |m| m.transmissions_left);
        let mut fresh: Vec<(u32, id::Node)> = self
            .to_gossip
            .iter()
            .filter(|n| **n != to)
            .map(|n| (transmissions_left(n), *n))
            .collect();
        fresh.sort_unstable_by_key(|(transmissions_left, node)| {
            (std::cmp::Reverse(*transmissions_left), *node)
        });
        let mut records = Vec::new();
        for (_, node) in fresh.into_iter().take(count) {
            let Some(member) = self.members.get_mut(&node) else { continue };
            member.transmissions_left = member.transmissions_left.saturating_sub(1);
            records.push(member.record.clone());
            if member.transmissions_left == 0 {
                self.to_gossip.remove(&node);
            }
        }
        records
    }
}
