//! Which nodes reach upstreams, as far as the fleet knows.
//!
//! A node that may be cut off asks peers whether they reach upstreams. A peer answers once it has had
//! contact with an upstream since the moment that the question names. If it has no requests of its
//! own, it checks its links first, so that the answer does not depend on its callers; thus it also
//! learns whether it is cut off itself. Messages carry a sample of the other nodes that are known to
//! reach upstreams, so that a few connected nodes among many are found within a few rounds. While no
//! node has a suspicion, nothing is sent.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{hash::FastMap, id};
use rand::{
    RngCore,
    seq::{IndexedRandom, IteratorRandom},
};
use serde::{Deserialize, Serialize};

use super::node_selection::{self, Candidate};

/// Interval between two rounds of questions. To be jittered.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Age up to which a contact shows that a node reaches upstreams.
pub const FRESH: Duration = Duration::from_millis(1_500);
/// Longest time for which a question waits for a contact.
pub const ANSWER_TIME: Duration = Duration::from_millis(700);
/// Time for which a question waits for a contact by the node's own requests, before it checks its
/// links.
pub const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Peers asked in a round while isolation is suspected. Half of them are strong nodes, as those carry
/// the requests.
const SUSPECTING_QUESTIONS: usize = 8;
/// The same while isolation is confirmed, and at a connected node that others have asked lately.
const QUESTIONS: usize = 4;
/// Time after a question of a node that may be cut off for which a connected node asks too, so that its address
/// lists name nodes that reach upstreams.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Maximum number of other nodes in a message.
pub const MAX_OTHERS: usize = 6;
/// Maximum number of questions that wait for a contact.
const MAX_WAITING: usize = 64;
/// Age from which what is known of a node is dropped.
const RETENTION: Duration = Duration::from_secs(5);
/// Peers that must have had contact to count as evidence: the word of a single one may be absurd.
const WITNESSES: usize = 2;
/// Weight of a node whose upstreams accept connections, relative to one whose upstreams also reply.
const ACCEPTED_SHARE: f64 = 0.25;
/// Nodes without contact from which no word to the contrary is taken for an outage, in a fleet with
/// more nodes.
const OUTAGE_WORDS: usize = 16;

/// When a node last had contact with upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Contact {
    /// When an upstream last replied.
    pub replied: Option<Instant>,
    /// When an upstream last accepted a connection.
    pub accepted: Option<Instant>,
}

impl Contact {
    /// Returns the time of the last contact of either kind.
    pub fn latest(&self) -> Option<Instant> {
        self.replied.max(self.accepted)
    }

    fn merge(&mut self, other: Contact) {
        self.replied = self.replied.max(other.replied);
        self.accepted = self.accepted.max(other.accepted);
    }
}

/// Ages of a node's last contacts, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ages {
    replied: Option<u16>,
    accepted: Option<u16>,
}

impl Ages {
    /// Returns the ages of `contact` at `now`; contacts that are too old to matter are left out.
    pub fn new(now: Instant, contact: Contact) -> Ages {
        let age = |at: Instant| {
            let age = now.saturating_duration_since(at);
            u16::try_from(age.as_millis()).ok().filter(|_| age < RETENTION)
        };
        Ages { replied: contact.replied.and_then(age), accepted: contact.accepted.and_then(age) }
    }

    fn contact(self, now: Instant) -> Contact {
        let at = |ms: u16| now.checked_sub(Duration::from_millis(ms.into()));
        Contact { replied: self.replied.and_then(at), accepted: self.accepted.and_then(at) }
    }
}

/// Kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks whether the receiver has had contact within this time, in milliseconds.
    Question {
        /// The time.
        within_ms: u16,
    },
    /// Answers a question.
    Answer,
}

/// What one node tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: id::Node,
    /// The kind.
    pub kind: Kind,
    /// Contacts of the sender, as far as it had any lately; `None` if it does not reach upstreams.
    pub own: Option<Ages>,
    /// Contacts of some other nodes that reach upstreams.
    pub others: Vec<(id::Node, Ages)>,
}

/// What a node knows of another one.
#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// Its contacts, as it has said itself or as its answers to requests show.
    shown: Contact,
    /// Its contacts, by the word of any node.
    contact: Contact,
    /// When it last said, or showed, that it does not reach upstreams.
    denied: Option<Instant>,
}

impl Peer {
    /// Returns whether it has had contact since `since` and has not denied that later.
    fn reaches(&self, since: Instant) -> bool {
        self.contact.latest().is_some_and(|at| at >= since) && self.denied < self.contact.latest()
    }

    fn latest(&self) -> Option<Instant> {
        self.contact.latest().max(self.denied)
    }
}

/// A question that waits until this node has had contact.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    from: id::Node,
    /// Contacts from then on answer it.
    since: Instant,
    asked: Instant,
    /// Whether the asking node may be cut off. Others are told what is known already.
    may_be_cut_off: bool,
}

/// What this node believes of its own links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Links {
    /// They carry replies.
    Connected,
    /// They may be cut, since this time.
    Suspected(Instant),
    /// They are cut.
    Cut,
}

/// What a node knows of who reaches upstreams.
#[derive(Debug)]
pub struct Reachability {
    own: id::Node,
    peers: FastMap<id::Node, Peer>,
    waiting: Vec<Waiting>,
    next_round: Instant,
    /// When another node that may be cut off last asked.
    cut_off_asked: Option<Instant>,
}

impl Reachability {
    /// Creates the state of the node `own`, which knows nothing of others.
    pub fn new(now: Instant, own: id::Node) -> Reachability {
        Reachability {
            own,
            peers: FastMap::default(),
            waiting: Vec::new(),
            next_round: now,
            cut_off_asked: None,
        }
    }

    /// Learns from `message`. A question is to be answered with [`Reachability::due_answers`].
    pub fn receive(&mut self, now: Instant, message: &Message) {
        let Message { from, kind, own, others } = message;
        if *from == self.own {
            return;
        }
        let peer = self.peers.entry(*from).or_default();
        match own {
            Some(ages) => {
                peer.shown.merge(ages.contact(now));
                peer.contact.merge(ages.contact(now));
            }
            None => peer.denied = Some(now),
        }
        for (node, ages) in others.iter().take(MAX_OTHERS) {
            if *node != self.own {
                self.peers.entry(*node).or_default().contact.merge(ages.contact(now));
            }
        }
        if let Kind::Question { within_ms } = kind {
            if own.is_none() {
                self.cut_off_asked = Some(now);
            }
            let within = Duration::from_millis((*within_ms).into());
            let since = now.checked_sub(within).unwrap_or(now);
            self.waiting.retain(|w| w.from != *from);
            if self.waiting.len() < MAX_WAITING {
                let may_be_cut_off = own.is_none();
                self.waiting.push(Waiting { from: *from, since, asked: now, may_be_cut_off });
            }
        }
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, p| p.latest().is_some_and(|at| now < at + RETENTION));
    }

    /// Takes the nodes to answer, each with whether this node tells it of `contact`, rather than that it
    /// does not reach upstreams. All are answered if this node may be cut off; otherwise a node that
    /// may be cut off waits for a contact that answers its question, but not for too long.
    pub fn due_answers(
        &mut self,
        now: Instant,
        links: Links,
        contact: Contact,
    ) -> Vec<(id::Node, bool)> {
        let is_answered =
            |w: &Waiting| !w.may_be_cut_off || contact.latest().is_some_and(|at| at >= w.since);
        let reaches = |w: &Waiting| links == Links::Connected && is_answered(w);
        let is_due = |w: &mut Waiting| {
            let is_late = now.saturating_duration_since(w.asked) >= ANSWER_TIME;
            links != Links::Connected || is_late || is_answered(w)
        };
        let due: Vec<Waiting> = self.waiting.extract_if(.., is_due).collect();
        due.iter().map(|w| (w.from, reaches(w))).collect()
    }

    /// Returns whether this node is to check its links, as questions wait for a contact.
    pub fn needs_check(&self, now: Instant) -> bool {
        self.waiting.iter().any(|w| now.saturating_duration_since(w.asked) >= CHECK_DELAY)
    }

    /// Returns the peers to ask now, and within which time they must have had contact. `strong` and
    /// `all` are the peers that live; the strong ones are those that carry requests.
    pub fn due_questions(
        &mut self,
        now: Instant,
        links: Links,
        strong: &[id::Node],
        all: &[id::Node],
        rng: &mut dyn RngCore,
    ) -> (Vec<id::Node>, Duration) {
        let within = match links {
            Links::Suspected(since) => now.saturating_duration_since(since),
            Links::Connected | Links::Cut => FRESH / 3,
        };
        if now < self.next_round || links == Links::Connected && !self.is_watching(now) {
            return (Vec::new(), within);
        }
        let count = match links {
            Links::Suspected(_) => SUSPECTING_QUESTIONS,
            Links::Connected | Links::Cut => QUESTIONS,
        };
        self.next_round = now + jittered(ROUND_INTERVAL, rng);
        let mut to: Vec<id::Node> = strong.choose_multiple(rng, count / 2).copied().collect();
        // What others say of them is to be heard from themselves.
        let hearsay = self.peers.iter().filter(|(_, p)| {
            p.reaches(now.checked_sub(FRESH).unwrap_or(now))
                && p.shown.latest() < p.contact.latest()
        });
        let hearsay = hearsay.map(|(node, _)| *node).choose_multiple(rng, count / 4);
        to.extend(hearsay.into_iter().filter(|node| all.contains(node)));
        to.extend(all.choose_multiple(rng, count));
        let mut seen = Vec::new();
        to.retain(|node| {
            let is_new = !seen.contains(node);
            seen.push(*node);
            is_new
        });
        to.truncate(count);
        (to, within)
    }

    /// Returns a message of `kind`. `own` has the contacts of this node, `None` if it does not reach
    /// upstreams.
    pub fn message(
        &self,
        now: Instant,
        kind: Kind,
        own: Option<Contact>,
        rng: &mut dyn RngCore,
    ) -> Message {
        let since = now.checked_sub(FRESH).unwrap_or(now);
        let others = self.peers.iter().filter(|(_, p)| p.reaches(since));
        let others = others.map(|(node, p)| (*node, Ages::new(now, p.contact)));
        Message {
            from: self.own,
            kind,
            own: own.map(|contact| Ages::new(now, contact)),
            others: others.choose_multiple(rng, MAX_OTHERS),
        }
    }

    /// Records that `peer` has served a request from upstreams.
    pub fn record_success(&mut self, now: Instant, peer: id::Node) {
        let peer = self.peers.entry(peer).or_default();
        peer.shown.replied = Some(now);
        peer.contact.replied = Some(now);
    }

    /// Records that `peer` has not served a request. It is not asked for that until its next contact.
    pub fn record_failure(&mut self, now: Instant, peer: id::Node) {
        self.peers.entry(peer).or_default().denied = Some(now);
    }

    /// Returns contacts that at least two peers have had, by their own word.
    pub fn witnessed(&self) -> Contact {
        let nth = |of: fn(&Peer) -> Option<Instant>| {
            let mut times: Vec<Instant> = self.peers.values().filter_map(of).collect();
            times.sort_unstable_by(|a, b| b.cmp(a));
            times.get(WITNESSES - 1).copied()
        };
        Contact { replied: nth(|p| p.shown.replied), accepted: nth(|p| p.shown.accepted) }
    }

    /// Returns whether so many of `living` peers have denied contact since `since`, and none has had
    /// it, that all upstreams are taken to be down.
    pub fn is_outage(&self, since: Instant, living: usize) -> bool {
        let denied = self.peers.values().filter(|p| p.denied >= Some(since)).count();
        denied >= OUTAGE_WORDS.min(living) && !self.peers.values().any(|p| p.reaches(since))
    }

    /// Returns the nodes of `candidates` that may be asked to serve a request: those that have had
    /// contact lately, and since `links` are suspected.
    pub fn servers(
        &self,
        now: Instant,
        links: Links,
        candidates: &[Candidate],
    ) -> Vec<Destination> {
        let fresh = now.checked_sub(FRESH).unwrap_or(now);
        let since = match links {
            Links::Suspected(since) => fresh.max(since),
            Links::Connected | Links::Cut => fresh,
        };
        let reaches = |c: &&Candidate| self.peers.get(&c.node).is_some_and(|p| p.reaches(since));
        let reaching: Vec<Candidate> = candidates.iter().filter(reaches).cloned().collect();
        let destination = |c: &Candidate| {
            let has_replies =
                self.peers.get(&c.node).is_some_and(|p| p.contact.replied >= Some(since));
            let share = if has_replies { 1.0 } else { ACCEPTED_SHARE };
            Destination {
                node: c.node,
                address: c.address,
                weight: share * f64::from(c.capacity.max(1)),
            }
        };
        node_selection::preferred_nodes(&reaching).into_iter().map(destination).collect()
    }

    /// Returns the nodes of `candidates` to name to callers: not those that do not reach upstreams,
    /// and, if most nodes do not, only those that are known to. All if none is known to.
    pub fn nameable(
        &self,
        now: Instant,
        links: Links,
        candidates: Vec<Candidate>,
    ) -> Vec<Candidate> {
        let counts = self.counts(now);
        if counts.denied == 0 {
            return candidates;
        }
        let fresh = now.checked_sub(FRESH).unwrap_or(now);
        let is_minority = counts.denied <= counts.reaching;
        let is_nameable = |c: &&Candidate| match self.peers.get(&c.node) {
            _ if c.node == self.own => links == Links::Connected,
            Some(p) if p.reaches(fresh) => true,
            Some(p) => is_minority && p.denied.is_none_or(|at| at < fresh),
            None => is_minority,
        };
        let named: Vec<Candidate> = candidates.iter().filter(is_nameable).cloned().collect();
        if named.is_empty() { candidates } else { named }
    }

    /// Returns how many peers are known to reach upstreams, and how many not to.
    pub fn counts(&self, now: Instant) -> Counts {
        let fresh = now.checked_sub(FRESH).unwrap_or(now);
        let reaching = self.peers.values().filter(|p| p.reaches(fresh)).count();
        let denied = |p: &&Peer| !p.reaches(fresh) && p.denied.is_some_and(|at| at >= fresh);
        Counts { reaching, denied: self.peers.values().filter(denied).count() }
    }

    /// Returns whether nodes that may be cut off have asked lately.
    pub fn is_watching(&self, now: Instant) -> bool {
        self.cut_off_asked.is_some_and(|at| now.saturating_duration_since(at) < WATCH_TIME)
    }
}

/// A node that may be asked to serve a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Destination {
    /// The node.
    pub node: id::Node,
    /// Address on which it serves callers.
    pub address: SocketAddr,
    /// How often it is to be asked, relative to others; above 0.
    pub weight: f64,
}

/// Numbers of peers, as far as they are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Those that reach upstreams.
    pub reaching: usize,
    /// Those that do not.
    pub denied: usize,
}

/// Returns 0.8 to 1.2 times `typical`.
fn jittered(typical: Duration, rng: &mut dyn RngCore) -> Duration {
    typical.mul_f64(0.8 + 0.4 * f64::from(rng.next_u32()) / f64::from(u32::MAX))
}
