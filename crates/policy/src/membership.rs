//! Membership by heartbeats: which nodes live, which are suspected, which leave.
//!
//! Each node probes one other a period, directly and then through others, and passes records
//! on with its probes, so that the cost for a node does not grow with the fleet. A record is
//! ordered by its node's incarnation and counter; only the node itself raises the counter, and
//! does so to refute a suspicion.

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

/// Time between two probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time within which a probe is answered before others are asked to probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time from suspicion to death, unless refuted.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a dead node's record is kept.
pub const DEAD_RETENTION: Duration = Duration::from_secs(300);
/// Records carried by one message.
pub const MAX_RECORDS: usize = 8;
/// Notices of quarantined fingerprints carried by one message.
pub const MAX_NOTICES: usize = 8;
/// Accusations carried by one message.
pub const MAX_ACCUSATIONS: usize = 8;
/// Leaving upstreams named by one message.
pub const MAX_DEPARTURES: usize = 8;
const INDIRECT: usize = 3;
/// Nodes told at once of news; they tell as many others.
const FANOUT: usize = 4;
/// A gap between two ticks from which the process is assumed to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Dead or unknown nodes are probed every so many periods, to find the way back after a partition.
const REVIVE_PERIODS: u64 = 4;

/// Liveness of a node as its peers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer a probe.
    Suspect,
    /// It did not refute a suspicion, or has stopped.
    Dead,
}

/// What is known of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The node.
    pub node: id::Node,
    /// Its process.
    pub incarnation: id::Incarnation,
    /// Raised by the node itself with each change.
    pub counter: u32,
    /// Liveness.
    pub status: Status,
    /// Whether it takes callers and work of roots: not while it starts or stops.
    pub serving: bool,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Processor time of its VM, in thousandths of a core.
    pub capacity: u32,
}

impl Record {
    fn rank(&self) -> (id::Incarnation, u32, Status) {
        (self.incarnation, self.counter, self.status)
    }
}

/// Kind of a heartbeat message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an acknowledgement.
    Ping,
    /// Acknowledges a ping; relayed to `origin` if another node asked for the probe.
    Ack,
    /// Asks the receiver to probe `target`.
    PingRequest {
        /// The node to probe.
        target: id::Node,
    },
    /// A ping on behalf of `origin`.
    PingFor {
        /// The node that doubts.
        origin: id::Node,
    },
    /// Tells `origin`'s probe target's answer: the sender of this message lives.
    AckFor,
    /// Carries news and asks for nothing.
    News,
}

/// One heartbeat message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// What it is.
    pub kind: Kind,
    /// The sender.
    pub sender: Record,
    /// The configuration in force at the sender.
    pub stamp: Stamp,
    /// Digest of the records that the sender holds.
    pub digest: u64,
    /// Records that changed lately.
    pub records: Vec<Record>,
    /// Quarantined fingerprints.
    pub notices: Vec<Notice>,
    /// Upstreams that the platform lists as leaving.
    pub departures: Vec<departure::Notice>,
    /// Last change in the platform's registry that the sender knows of.
    pub revision: Revision,
    /// Relayed requests that are accused of crashing upstreams.
    pub accusations: Vec<crash_quarantine::CrashReport>,
    /// Age of the platform's last word that the sender knows of, in milliseconds.
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

/// What a node adds to its messages from outside of membership.
#[derive(Debug, Clone, Default)]
pub struct Piggyback {
    /// The configuration in force.
    pub stamp: Stamp,
    /// Quarantined fingerprints.
    pub notices: Vec<Notice>,
    /// Upstreams that the platform lists as leaving.
    pub departures: Vec<departure::Notice>,
    /// Last change in the platform's registry that this node knows of.
    pub revision: Revision,
    /// Relayed requests that are accused of crashing upstreams.
    pub accusations: Vec<crash_quarantine::CrashReport>,
    /// Age of the platform's last word that this node knows of, in milliseconds.
    pub word_age_ms: Option<u32>,
}

#[derive(Debug)]
struct Member {
    record: Record,
    changed: Instant,
    /// Times that the record is still to be passed on.
    spread: u32,
}

#[derive(Debug)]
struct Probe {
    target: id::Node,
    at: Instant,
    indirect: bool,
}

/// The membership of one node.
#[derive(Debug)]
pub struct Membership {
    own: Record,
    members: FastMap<id::Node, Member>,
    candidates: Vec<id::Node>,
    order: Vec<id::Node>,
    probe: Option<Probe>,
    last_tick: Option<Instant>,
    next_probe: Option<Instant>,
    periods: u64,
    pauses: u64,
    ever_met: bool,
    divergences: u32,
    /// Members that are not alive, so that a tick need not look at all.
    doubtful: BTreeSet<id::Node>,
    /// Members whose records are still to be passed on.
    spreading: BTreeSet<id::Node>,
    /// Raised with each change of a record.
    version: u64,
    digest: Cell<Option<u64>>,
}

impl Membership {
    /// Membership with only the node itself.
    pub fn new(own: Record) -> Membership {
        Membership {
            own,
            members: FastMap::default(),
            candidates: Vec::new(),
            order: Vec::new(),
            probe: None,
            last_tick: None,
            next_probe: None,
            periods: 0,
            pauses: 0,
            ever_met: false,
            divergences: 0,
            doubtful: BTreeSet::new(),
            spreading: BTreeSet::new(),
            version: 0,
            digest: Cell::new(None),
        }
    }

    /// The node's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Records of the other nodes.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|m| &m.record)
    }

    /// Version of the records: equal if nothing has changed in between.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Pauses of this process that were noticed.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    /// Whether the node has met others before and now sees none of them alive.
    pub fn is_isolated(&self) -> bool {
        let alive = |m: &Member| m.record.status == Status::Alive;
        self.ever_met && !self.members.is_empty() && !self.members.values().any(alive)
    }

    /// Whether the records have differed from several other nodes' in a row, so that the
    /// full list should be fetched from one.
    pub fn is_divergent(&self) -> bool {
        self.divergences >= 3
    }

    /// Sets the nodes that the platform lists.
    pub fn set_candidates(&mut self, candidates: Vec<id::Node>) {
        self.candidates = candidates.into_iter().filter(|n| *n != self.own.node).collect();
    }

    /// Announces that this node is stopping.
    pub fn leave(&mut self, extras: &Piggyback, rng: &mut dyn RngCore) -> Vec<OutboundMessage> {
        self.set_serving(false);
        self.gossip_now(extras, rng)
    }

    /// Announces that this node serves callers.
    pub fn join(&mut self, extras: &Piggyback, rng: &mut dyn RngCore) -> Vec<OutboundMessage> {
        self.set_serving(true);
        self.gossip_now(extras, rng)
    }

    fn set_serving(&mut self, serving: bool) {
        self.own.serving = serving;
        self.own.counter += 1;
        self.changed();
    }

    /// Tells some nodes of news at once; `extras` holds what is new.
    pub fn gossip_now(
        &mut self,
        extras: &Piggyback,
        rng: &mut dyn RngCore,
    ) -> Vec<OutboundMessage> {
        let others = self.sample(FANOUT, None, rng);
        others.into_iter().map(|to| self.out(to, Kind::News, extras)).collect()
    }

    /// Does what is due; to be called several times a period.
    pub fn tick(
        &mut self,
        now: Instant,
        extras: &Piggyback,
        rng: &mut dyn RngCore,
    ) -> Vec<OutboundMessage> {
        self.notice_pause(now);
        let mut out = Vec::new();
        self.follow_probe(now, extras, rng, &mut out);
        self.bury(now);
        if self.next_probe.is_none_or(|at| at <= now) {
            self.next_probe = Some(now + PROBE_PERIOD.mul_f64(0.9 + 0.2 * rng.random::<f64>()));
            self.periods += 1;
            self.start_probe(now, extras, rng, &mut out);
        }
        out
    }

    /// Takes in a message.
    pub fn receive(
        &mut self,
        now: Instant,
        message: &Message,
        extras: &Piggyback,
    ) -> Vec<OutboundMessage> {
        let from = message.sender.node;
        if from == self.own.node {
            return Vec::new();
        }
        self.ever_met = true;
        self.merge(now, &message.sender);
        for record in &message.records {
            self.merge(now, record);
        }
        self.compare(message.digest);
        if self.probe.as_ref().is_some_and(|p| p.target == from) {
            self.probe = None;
        }
        match &message.kind {
            Kind::Ping => vec![self.out(from, Kind::Ack, extras)],
            Kind::PingRequest { target } => {
                vec![self.out(*target, Kind::PingFor { origin: from }, extras)]
            }
            Kind::PingFor { origin } => vec![self.out(*origin, Kind::AckFor, extras)],
            Kind::Ack | Kind::AckFor | Kind::News => Vec::new(),
        }
    }

    /// Takes in a full list of records from another node.
    pub fn merge_all(&mut self, now: Instant, records: &[Record]) {
        self.divergences = 0;
        for record in records {
            self.merge(now, record);
        }
    }

    /// Digest of all records, the own one included.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let of = |r: &Record| {
            let Record { node, incarnation, counter, status, serving, .. } = r;
            let text = format!("{node} {incarnation} {counter} {status:?} {serving}");
            hash::stable(&[text.as_bytes()])
        };
        // The sum does not depend on the order, which differs between nodes.
        let live = self.records().filter(|r| r.status != Status::Dead);
        let digest = live.map(of).fold(of(&self.own), u64::wrapping_add);
        self.digest.set(Some(digest));
        digest
    }

    /// To be called with each change of a record.
    fn changed(&mut self) {
        self.version += 1;
        self.digest.set(None);
    }

    /// To be called with each change of the record of `node`.
    fn member_changed(&mut self, node: id::Node) {
        self.changed();
        self.spreading.insert(node);
        let status = self.members.get(&node).map(|m| m.record.status);
        if status.is_some_and(|s| s != Status::Alive) {
            self.doubtful.insert(node);
        } else {
            self.doubtful.remove(&node);
        }
    }

    fn compare(&mut self, digest: u64) {
        self.divergences = if digest == self.digest() { 0 } else { self.divergences + 1 };
    }

    fn notice_pause(&mut self, now: Instant) {
        let gap = self.last_tick.map(|t| now.saturating_duration_since(t));
        self.last_tick = Some(now);
        if gap.is_none_or(|g| g < PAUSE_THRESHOLD) {
            return;
        }
        // What did not answer meanwhile may have answered to nobody: judge nobody by it.
        self.pauses += 1;
        self.probe = None;
        for member in self.members.values_mut() {
            member.changed = now;
        }
    }

    fn follow_probe(
        &mut self,
        now: Instant,
        extras: &Piggyback,
        rng: &mut dyn RngCore,
        out: &mut Vec<OutboundMessage>,
    ) {
        let Some(probe) = &self.probe else { return };
        let target = probe.target;
        let age = now.saturating_duration_since(probe.at);
        if age >= PROBE_PERIOD {
            self.probe = None;
            self.suspect(now, target);
        } else if age >= PROBE_TIMEOUT && !probe.indirect {
            for to in self.sample(INDIRECT, Some(target), rng) {
                out.push(self.out(to, Kind::PingRequest { target }, extras));
            }
            if let Some(probe) = &mut self.probe {
                probe.indirect = true;
            }
        }
    }

    fn suspect(&mut self, now: Instant, target: id::Node) {
        let spread = self.retransmissions();
        let Some(member) = self.members.get_mut(&target) else { return };
        if member.record.status != Status::Alive {
            return;
        }
        member.record.status = Status::Suspect;
        member.changed = now;
        member.spread = spread;
        self.member_changed(target);
    }

    fn bury(&mut self, now: Instant) {
        let doubtful: Vec<id::Node> = self.doubtful.iter().copied().collect();
        for node in doubtful {
            let Some(member) = self.members.get(&node) else { continue };
            let age = now.saturating_duration_since(member.changed);
            match member.record.status {
                Status::Suspect if age >= SUSPICION_TIMEOUT => self.declare_dead(now, node),
                Status::Dead if age >= DEAD_RETENTION => self.forget(node),
                _ => {}
            }
        }
    }

    fn declare_dead(&mut self, now: Instant, node: id::Node) {
        let spread = self.retransmissions();
        if let Some(member) = self.members.get_mut(&node) {
            member.record.status = Status::Dead;
            member.changed = now;
            member.spread = spread;
        }
        self.member_changed(node);
    }

    fn forget(&mut self, node: id::Node) {
        self.members.remove(&node);
        self.doubtful.remove(&node);
        self.spreading.remove(&node);
        self.changed();
    }

    fn start_probe(
        &mut self,
        now: Instant,
        extras: &Piggyback,
        rng: &mut dyn RngCore,
        out: &mut Vec<OutboundMessage>,
    ) {
        if self.periods.is_multiple_of(REVIVE_PERIODS) || self.members.is_empty() {
            self.revive(extras, rng, out);
        }
        if self.probe.is_some() {
            return;
        }
        if let Some(target) = self.next_target(rng) {
            self.probe = Some(Probe { target, at: now, indirect: false });
            out.push(self.out(target, Kind::Ping, extras));
        }
    }

    fn next_target(&mut self, rng: &mut dyn RngCore) -> Option<id::Node> {
        let is_live = |m: &Member| m.record.status != Status::Dead;
        loop {
            if self.order.is_empty() {
                self.order =
                    self.members.values().filter(|m| is_live(m)).map(|m| m.record.node).collect();
                self.order.sort_unstable();
                self.order.shuffle(rng);
            }
            let target = self.order.pop()?;
            if self.members.get(&target).is_some_and(is_live) {
                return Some(target);
            }
        }
    }

    fn revive(
        &mut self,
        extras: &Piggyback,
        rng: &mut dyn RngCore,
        out: &mut Vec<OutboundMessage>,
    ) {
        let is_live =
            |n: &id::Node| self.members.get(n).is_some_and(|m| m.record.status != Status::Dead);
        let mut lost: Vec<id::Node> =
            self.candidates.iter().copied().filter(|n| !is_live(n)).collect();
        lost.extend(self.members.keys().copied().filter(|n| !is_live(n)));
        lost.sort_unstable();
        lost.dedup();
        for to in lost.choose_multiple(rng, FANOUT).copied().collect::<Vec<_>>() {
            out.push(self.out(to, Kind::Ping, extras));
        }
    }

    fn merge(&mut self, now: Instant, record: &Record) {
        if record.node == self.own.node {
            self.refute(record);
            return;
        }
        let spread = self.retransmissions();
        match self.members.get_mut(&record.node) {
            Some(member) if record.rank() <= member.record.rank() => return,
            Some(member) => {
                member.record = record.clone();
                member.changed = now;
                member.spread = spread;
            }
            None if record.status == Status::Dead => return,
            None => {
                let member = Member { record: record.clone(), changed: now, spread };
                self.members.insert(record.node, member);
            }
        }
        self.member_changed(record.node);
    }

    fn refute(&mut self, record: &Record) {
        let same = record.incarnation == self.own.incarnation;
        let doubted = record.status != Status::Alive || record.serving != self.own.serving;
        if same && doubted && record.counter >= self.own.counter {
            self.own.counter = record.counter + 1;
            self.changed();
        }
    }

    fn retransmissions(&self) -> u32 {
        3 * (usize::BITS - (self.members.len() + 1).leading_zeros())
    }

    fn sample(
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

    fn out(&mut self, to: id::Node, kind: Kind, extras: &Piggyback) -> OutboundMessage {
        // A suspected receiver must learn of the suspicion, or it cannot refute it.
        let about = self.members.get(&to).filter(|m| m.record.status != Status::Alive);
        let mut records: Vec<Record> = about.map(|m| m.record.clone()).into_iter().collect();
        let fresh = self.freshest(to, MAX_RECORDS - records.len());
        records.extend(fresh);
        let notices = extras.notices.iter().copied().take(MAX_NOTICES).collect();
        let departures = extras.departures.iter().copied().take(MAX_DEPARTURES).collect();
        let accusations = extras.accusations.iter().copied().take(MAX_ACCUSATIONS).collect();
        let digest = self.digest();
        let sender = self.own.clone();
        OutboundMessage {
            to,
            message: Message {
                kind,
                sender,
                stamp: extras.stamp,
                digest,
                records,
                notices,
                departures,
                revision: extras.revision,
                accusations,
                word_age_ms: extras.word_age_ms,
            },
        }
    }

    /// Takes up to `count` records to pass on, those passed on least first.
    fn freshest(&mut self, to: id::Node, count: usize) -> Vec<Record> {
        let spread = |n: &id::Node| self.members.get(n).map_or(0, |m| m.spread);
        let mut fresh: Vec<(u32, id::Node)> =
            self.spreading.iter().filter(|n| **n != to).map(|n| (spread(n), *n)).collect();
        fresh.sort_unstable_by_key(|(spread, node)| (std::cmp::Reverse(*spread), *node));
        let mut records = Vec::new();
        for (_, node) in fresh.into_iter().take(count) {
            let Some(member) = self.members.get_mut(&node) else { continue };
            member.spread = member.spread.saturating_sub(1);
            records.push(member.record.clone());
            if member.spread == 0 {
                self.spreading.remove(&node);
            }
        }
        records
    }
}
