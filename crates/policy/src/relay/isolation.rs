//! Whether this node is cut off from all upstreams, while its callers and other nodes reach it.
//!
//! A node cannot tell from its own attempts whether it is cut off or all upstreams are down. It
//! therefore first suspects isolation, and asks peers whether they reach upstreams: isolation is
//! confirmed if peers have contact with upstreams and later attempts of this node still fail; if no
//! peer has, it is an outage.

use std::time::{Duration, Instant};

use base::{
    hash::{FastMap, FastSet},
    id,
};

use super::reachability::{Contact, Links};

/// Interval between two calls of [`Isolation::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without any reply, or without any accepted connection, from which isolation is suspected:
/// longer than any upstream needs that is not overloaded.
pub const SILENCE: Duration = Duration::from_millis(250);
/// Time in flight from which an attempt without a reply counts as evidence.
pub const OVERDUE: Duration = Duration::from_millis(250);
/// Interval between two rounds of probes while isolation is suspected or confirmed. To be jittered.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of upstreams that a round probes: one more than the accepted connections that end
/// isolation, so that one upstream that is down does not delay that.
pub const PROBES: usize = 3;
/// Age from which evidence no longer counts.
const WINDOW: Duration = Duration::from_secs(3);
/// Distinct upstreams with evidence from which isolation is suspected: a request has two attempts
/// at one pool, so fewer may be those of one pool.
const SUSPICIOUS_UPSTREAMS: usize = 3;
/// Distinct upstreams at which attempts must fail after a peer's success to confirm isolation, and
/// that must accept connections to end it.
const CONCLUSIVE_UPSTREAMS: usize = 2;
/// Peers' failures from which a suspicion is taken for an outage of the upstreams.
const OUTAGE_FAILURES: usize = 3;
/// Time after an outage or a false suspicion in which isolation is not suspected for the same reason.
const QUIET: Duration = Duration::from_secs(1);
/// Time between two ticks from which the process was suspended: evidence from before is void.
const SUSPENSION: Duration = Duration::from_millis(400);
/// Age from which an accepted probe no longer counts.
const ACCEPTED_AGE: Duration = Duration::from_secs(1);
/// Longest time for which crash reports wait until it is clear whether the node is cut off. Less
/// than the second or so that remains of the time in which a crashing request must be refused.
const MAX_DOUBT: Duration = Duration::from_millis(1_500);
/// Time from a recovery within which another isolation is a relapse: links then accept connections
/// but carry no replies.
const RELAPSE: Duration = Duration::from_secs(10);
/// Time for which connections must be accepted after a first relapse; doubles with each further one.
const RELAPSE_HOLD: Duration = Duration::from_secs(1);
const MAX_RELAPSES: u32 = 4;
/// Maximum number of upstreams with evidence that are retained.
const MAX_EVIDENCE: usize = 256;
/// One in this many requests is still served by the node itself while isolation is suspected, peers
/// reach upstreams, and upstreams accept connections of this node.
const OWN_SHARE: u32 = 4;

/// What a node believes of its links to the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// They carry replies.
    Connected,
    /// They may be cut; peers are asked.
    Suspected,
    /// They are cut, but those of peers are not.
    Isolated,
}

/// A change of belief.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The node may be isolated.
    Suspected,
    /// Upstreams reply, or accept connections.
    Cleared,
    /// Peers do not reach upstreams either.
    Outage,
    /// The node is isolated.
    Isolated,
    /// The isolation has ended.
    Recovered,
}

/// Who serves a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Server {
    /// This node.
    Own,
    /// A peer.
    Peer,
}

/// What a node sees at a tick.
#[derive(Debug, Clone, Default)]
pub struct Observation {
    /// When an upstream last replied.
    pub last_reply: Option<Instant>,
    /// Number of upstreams that the node knows.
    pub known: usize,
    /// Upstreams with an attempt in flight for at least [`OVERDUE`], and when the newest such
    /// attempt was sent.
    pub overdue: Vec<(id::Upstream, Instant)>,
    /// Upstreams that have replied since [`Isolation::suspected_since`].
    pub replied: Vec<id::Upstream>,
    /// Contacts that several peers have had with upstreams.
    pub peers: Contact,
    /// Whether peers have denied contact with upstreams since then, and none is known to have it.
    pub peers_deny: bool,
}

/// An attempt, or an attempt to connect, that failed.
#[derive(Debug, Clone, Copy)]
struct Failure {
    began: Instant,
    ended: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Instant,
    /// Whether upstreams do not reply.
    silent: bool,
    /// Whether upstreams do not accept connections.
    refused: bool,
    /// When peers were first known to have had contact with upstreams.
    peer_success: Option<Instant>,
    peer_failures: usize,
}

/// A request that the node itself serves while it is isolated, to see whether it gets a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trial {
    NotDue,
    Due,
    Sent,
}

/// Isolated, while too few upstreams accept connections.
const ISOLATED: State = State::Isolated { accepting_since: None, trial: Trial::NotDue };

#[derive(Debug, Clone, Copy)]
enum State {
    Connected,
    Suspected(Suspicion),
    Isolated {
        /// Since when enough upstreams have accepted connections.
        accepting_since: Option<Instant>,
        trial: Trial,
    },
}

/// Decides whether this node is isolated.
#[derive(Debug)]
pub struct Isolation {
    state: State,
    /// Newest failed attempt of each upstream.
    lost: FastMap<id::Upstream, Failure>,
    /// Newest failed connection of each upstream, since one was accepted.
    refused: FastMap<id::Upstream, Failure>,
    /// When each upstream last accepted a connection.
    accepted: FastMap<id::Upstream, Instant>,
    last_accepted: Option<Instant>,
    /// When an attempt last ended without a reply.
    last_loss: Option<Instant>,
    /// When the first attempt was sent that failed since the last reply.
    silent_since: Option<Instant>,
    /// When the first connection was opened that failed since one was accepted.
    refused_since: Option<Instant>,
    last_tick: Instant,
    /// Attempts that began earlier are no evidence.
    valid_since: Instant,
    /// Time until which silence causes no suspicion.
    silence_quiet_until: Instant,
    /// Time until which refused connections cause no suspicion.
    refusal_quiet_until: Instant,
    /// When an outage was last concluded, unless peers have had contact since.
    outage_at: Option<Instant>,
    recovered_at: Option<Instant>,
    relapses: u32,
    requests: u32,
}

impl Isolation {
    /// Creates the state of a node that is connected at `now`.
    pub fn new(now: Instant) -> Isolation {
        Isolation {
            state: State::Connected,
            lost: FastMap::default(),
            refused: FastMap::default(),
            accepted: FastMap::default(),
            last_accepted: None,
            last_loss: None,
            silent_since: None,
            refused_since: None,
            last_tick: now,
            valid_since: now,
            silence_quiet_until: now,
            refusal_quiet_until: now,
            outage_at: None,
            recovered_at: None,
            relapses: 0,
            requests: 0,
        }
    }

    /// Returns what the node believes.
    pub fn belief(&self) -> Belief {
        match self.state {
            State::Connected => Belief::Connected,
            State::Suspected(_) => Belief::Suspected,
            State::Isolated { .. } => Belief::Isolated,
        }
    }

    /// Returns what the node believes, as peers are told.
    pub fn links(&self) -> Links {
        match self.state {
            State::Connected => Links::Connected,
            State::Suspected(suspicion) => Links::Suspected(suspicion.since),
            State::Isolated { .. } => Links::Cut,
        }
    }

    /// Returns when this node last had contact with upstreams, of which the last reply came at
    /// `last_reply`. Accepted connections do not count after a lost attempt: links may accept
    /// connections and carry nothing.
    pub fn contact(&self, last_reply: Option<Instant>) -> Contact {
        let is_trusted = self.last_loss <= last_reply;
        Contact { replied: last_reply, accepted: self.last_accepted.filter(|_| is_trusted) }
    }

    /// Returns since when isolation has been suspected; `None` if it is not, or if it is confirmed.
    pub fn suspected_since(&self) -> Option<Instant> {
        match self.state {
            State::Suspected(suspicion) => Some(suspicion.since),
            _ => None,
        }
    }

    /// Returns whether there is evidence of isolation.
    pub fn has_evidence(&self) -> bool {
        !self.lost.is_empty() || !self.refused.is_empty()
    }

    /// Records that the attempt that was sent to `upstream` at `sent` ended without a reply.
    pub fn record_loss(&mut self, now: Instant, upstream: id::Upstream, sent: Instant) {
        self.last_loss = Some(now);
        record(&mut self.lost, upstream, Failure { began: sent, ended: now });
    }

    /// Records whether `upstream` has `accepted` the connection that was opened at `began`.
    pub fn record_connection(
        &mut self,
        now: Instant,
        upstream: id::Upstream,
        began: Instant,
        accepted: bool,
    ) {
        if accepted {
            self.refused.clear();
            self.last_accepted = Some(now);
            if self.belief() != Belief::Connected {
                self.accepted.insert(upstream, now);
            }
            return;
        }
        self.accepted.remove(&upstream);
        record(&mut self.refused, upstream, Failure { began, ended: now });
    }

    /// Returns who is to serve the next request of a caller. `peers` tells whether any peer is known
    /// to reach upstreams, `may_try` whether a node that is cut off may use the request to see whether
    /// its links carry replies.
    pub fn next_server(&mut self, peers: bool, may_try: bool) -> Server {
        let last_accepted = self.last_accepted;
        match &mut self.state {
            State::Connected => Server::Own,
            State::Isolated { trial, .. } if may_try && *trial == Trial::Due => {
                *trial = Trial::Sent;
                Server::Own
            }
            State::Isolated { .. } => Server::Peer,
            State::Suspected(_) if !peers => Server::Own,
            State::Suspected(s) if last_accepted.is_none_or(|at| at < s.since) => Server::Peer,
            State::Suspected(_) => {
                // Only requests show whether links that accept connections carry replies.
                self.requests = self.requests.wrapping_add(1);
                if self.requests.is_multiple_of(OWN_SHARE) { Server::Own } else { Server::Peer }
            }
        }
    }

    /// Records whether a peer has served a request from upstreams.
    pub fn record_peer(&mut self, now: Instant, success: bool) {
        let State::Suspected(suspicion) = &mut self.state else { return };
        match success {
            true => drop(suspicion.peer_success.get_or_insert(now)),
            false => suspicion.peer_failures += 1,
        }
    }

    /// Returns whether attempts that were lost may have been lost because this node is cut off.
    /// `known` is the number of upstreams that it knows.
    pub fn may_be_cut_off(&self, now: Instant, last_reply: Option<Instant>, known: usize) -> bool {
        match self.state {
            State::Isolated { .. } => true,
            State::Suspected(s) => now.saturating_duration_since(s.since) < MAX_DOUBT,
            State::Connected if known < CONCLUSIVE_UPSTREAMS => false,
            State::Connected if now < self.silence_quiet_until => false,
            State::Connected => {
                let recent = |f: &&Failure| {
                    self.counts(f, last_reply) && now.saturating_duration_since(f.ended) < MAX_DOUBT
                };
                self.lost.values().filter(recent).count() >= SUSPICIOUS_UPSTREAMS.min(known)
            }
        }
    }

    /// Draws the conclusions that are due. Returns the change of belief, if there is one.
    pub fn tick(&mut self, now: Instant, seen: &Observation) -> Option<Change> {
        if self.outage_at.is_some_and(|at| seen.peers.latest() > Some(at)) {
            // Peers reach upstreams, so that silence is no longer due to the outage.
            self.outage_at = None;
            self.silence_quiet_until = now;
        }
        let last_tick = std::mem::replace(&mut self.last_tick, now);
        if now.saturating_duration_since(last_tick) >= SUSPENSION {
            return self.forget(now);
        }
        let expired = |f: &Failure| now.saturating_duration_since(f.ended) >= WINDOW;
        self.lost.retain(|_, f| !expired(f));
        self.refused.retain(|_, f| !expired(f));
        match self.state {
            State::Isolated { accepting_since, trial } => {
                self.try_recover(now, accepting_since, trial, seen)
            }
            State::Suspected(suspicion) => self.conclude(now, last_tick, suspicion, seen),
            State::Connected => {
                let (silent, refused) = self.suspicions(now, last_tick, seen);
                if !silent && !refused {
                    return None;
                }
                self.accepted.clear();
                self.state = State::Suspected(Suspicion {
                    since: now,
                    silent,
                    refused,
                    peer_success: None,
                    peer_failures: 0,
                });
                Some(Change::Suspected)
            }
        }
    }

    /// Drops all evidence after the process was suspended. Confirmed isolation stays.
    fn forget(&mut self, now: Instant) -> Option<Change> {
        self.valid_since = now;
        self.lost.clear();
        self.refused.clear();
        self.accepted.clear();
        match &mut self.state {
            State::Connected => None,
            State::Isolated { .. } => {
                self.state = ISOLATED;
                None
            }
            State::Suspected(_) => {
                self.state = State::Connected;
                Some(Change::Cleared)
            }
        }
    }

    /// Returns whether `failure` is evidence, given the last reply of any upstream.
    fn counts(&self, failure: &Failure, last_reply: Option<Instant>) -> bool {
        failure.began >= self.valid_since && last_reply.is_none_or(|at| at < failure.ended)
    }

    /// Returns the failed attempts that are evidence, also those in flight, and those of
    /// `failed_connections`.
    fn losses(
        &self,
        now: Instant,
        seen: &Observation,
        failed_connections: &FastMap<id::Upstream, Failure>,
    ) -> FastMap<id::Upstream, Failure> {
        let mut losses: FastMap<id::Upstream, Failure> = FastMap::default();
        let in_flight =
            seen.overdue.iter().map(|(u, sent)| (*u, Failure { began: *sent, ended: now }));
        let ended = self.lost.iter().chain(failed_connections).map(|(u, f)| (*u, *f));
        for (upstream, failure) in ended.chain(in_flight) {
            if self.counts(&failure, seen.last_reply) {
                record(&mut losses, upstream, failure);
            }
        }
        losses
    }

    /// Returns whether upstreams are suspiciously silent, and whether they suspiciously refuse
    /// connections. Times are compared with the tick before, so that the process has had time to
    /// read what came while it did not run.
    fn suspicions(&mut self, now: Instant, last_tick: Instant, seen: &Observation) -> (bool, bool) {
        if seen.known < CONCLUSIVE_UPSTREAMS {
            return (false, false);
        }
        let enough = SUSPICIOUS_UPSTREAMS.min(seen.known);
        let losses = self.losses(now, seen, &self.refused);
        // Upstreams are asked again and again, so the newest failure of each is no measure.
        let first = losses.values().map(|f| f.began).min();
        self.silent_since = first.map(|at| self.silent_since.unwrap_or(at));
        let silent_since = self.silent_since.max(seen.last_reply.filter(|_| first.is_some()));
        let long = |since: Option<Instant>| {
            since.is_some_and(|at| last_tick.saturating_duration_since(at) >= SILENCE)
        };
        let silent =
            now >= self.silence_quiet_until && losses.len() >= enough && long(silent_since);
        let refused = self.refused.values().filter(|f| f.began >= self.valid_since);
        let first = refused.clone().map(|f| f.began).min();
        self.refused_since = first.map(|at| self.refused_since.unwrap_or(at));
        let refused = now >= self.refusal_quiet_until
            && refused.count() >= enough
            && long(self.refused_since);
        (silent, refused)
    }

    fn conclude(
        &mut self,
        now: Instant,
        last_tick: Instant,
        mut suspicion: Suspicion,
        seen: &Observation,
    ) -> Option<Change> {
        let Suspicion { since, .. } = suspicion;
        let (silent, refused) = self.suspicions(now, last_tick, seen);
        let has_replied = seen.last_reply.is_some_and(|at| at >= since);
        let has_accepted = self.last_accepted.is_some_and(|at| at >= since);
        let losses = self.losses(now, seen, &self.refused);
        suspicion.silent = (silent || suspicion.silent && !has_replied) && !losses.is_empty();
        suspicion.refused =
            (suspicion.refused || refused) && !has_accepted && !self.refused.is_empty();
        self.state = State::Suspected(suspicion);
        if !suspicion.silent && !suspicion.refused {
            if has_accepted {
                // Some upstreams are down, or at their limit.
                self.refusal_quiet_until = now + QUIET;
            }
            self.state = State::Connected;
            return Some(Change::Cleared);
        }
        let witnessed = match suspicion.silent {
            true if !has_accepted => seen.peers.latest(),
            // Upstreams that accept connections and do not reply may do so at peers, too.
            true => seen.peers.replied,
            false => seen.peers.accepted,
        };
        if let Some(at) = witnessed.filter(|at| *at >= since) {
            suspicion.peer_success.get_or_insert(at);
            self.state = State::Suspected(suspicion);
        }
        if let Some(success) = suspicion.peer_success {
            let enough = CONCLUSIVE_UPSTREAMS.min(seen.known);
            // Attempts from before the peer's success may have met an outage that is over.
            let later = |f: &&Failure| f.began >= success;
            let silent = suspicion.silent && losses.values().filter(later).count() >= enough;
            // An upstream that still replies on its older connections is not down.
            let live: FastSet<id::Upstream> = seen.replied.iter().copied().collect();
            let refused =
                self.refused.iter().filter(|(u, f)| f.began >= success && live.contains(u));
            if silent || suspicion.refused && refused.count() >= enough {
                let is_relapse =
                    self.recovered_at.is_some_and(|at| now.saturating_duration_since(at) < RELAPSE);
                // Connections that are accepted do not show that such links carry replies.
                let least = u32::from(has_accepted);
                self.relapses = if is_relapse { self.relapses + 1 } else { least };
                self.relapses = self.relapses.min(MAX_RELAPSES);
                self.accepted.clear();
                self.state = ISOLATED;
                return Some(Change::Isolated);
            }
        } else if suspicion.peer_failures >= OUTAGE_FAILURES || seen.peers_deny {
            self.lost.clear();
            self.refused.clear();
            self.silence_quiet_until = now + QUIET;
            self.refusal_quiet_until = now + QUIET;
            self.outage_at = Some(now);
            self.state = State::Connected;
            return Some(Change::Outage);
        }
        None
    }

    fn try_recover(
        &mut self,
        now: Instant,
        accepting_since: Option<Instant>,
        trial: Trial,
        seen: &Observation,
    ) -> Option<Change> {
        self.accepted.retain(|_, at| now.saturating_duration_since(*at) < ACCEPTED_AGE);
        if self.accepted.len() < CONCLUSIVE_UPSTREAMS.min(seen.known) {
            self.state = ISOLATED;
            return None;
        }
        let since = accepting_since.unwrap_or(now);
        let replied = accepting_since.is_some() && seen.last_reply.is_some_and(|at| at >= since);
        let hold = match self.relapses {
            0 => Duration::ZERO,
            n => RELAPSE_HOLD * 2u32.pow(n - 1),
        };
        let accepting = now.saturating_duration_since(since);
        if !replied
            && self.losses(now, seen, &FastMap::default()).values().any(|f| f.began >= since)
        {
            self.relapses = (self.relapses + 1).min(MAX_RELAPSES);
            self.state = ISOLATED;
            return None;
        }
        // Half-way, one request shows whether the links carry replies. It needs time for that.
        let (trial, hold) = match trial {
            Trial::NotDue if accepting >= hold / 2 => (Trial::Due, hold),
            Trial::Sent => (Trial::Sent, hold * 2),
            trial => (trial, hold),
        };
        if !replied && accepting < hold {
            self.state = State::Isolated { accepting_since: Some(since), trial };
            return None;
        }
        self.state = State::Connected;
        self.recovered_at = Some(now);
        self.valid_since = now;
        self.lost.clear();
        self.refused.clear();
        self.accepted.clear();
        Some(Change::Recovered)
    }
}

/// Records a failure, unless too many upstreams have failed already or a later attempt is known.
fn record(failures: &mut FastMap<id::Upstream, Failure>, upstream: id::Upstream, failure: Failure) {
    let len = failures.len();
    match failures.get_mut(&upstream) {
        Some(known) if known.began <= failure.began => *known = failure,
        Some(_) => {}
        None if len < MAX_EVIDENCE => drop(failures.insert(upstream, failure)),
        None => {}
    }
}
