//! Requests that may have crashed one upstream.
//!
//! A node sees a crash only as connections that end, and not always on the connection of the
//! request: the caller may have left, or the answer may have been sent without the upstream's
//! reply. A request therefore stays suspected for a while after its attempt, until the upstream
//! turns out to live or to have crashed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use base::{hash, id};
use smol_str::SmolStr;

/// Delay between the loss of a connection and the check whether the upstream accepts a new one:
/// a crash takes only a moment, but a restart takes longer.
pub const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Shortest time from a check that found the upstream alive to the next one that a sign of a crash
/// causes: an upstream that is at its connection limit ends the connection of each check.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an upstream may go on with a request after its connection was closed.
pub const ABANDONED_RUN: Duration = Duration::from_secs(1);
/// Time for which a request is suspected. With the check and the reports that follow, less than
/// the 4 s within which a deployment expects a request that crashes upstreams to be refused.
pub const SUSPICION: Duration = Duration::from_secs(3);
/// The same at an upstream that is silent while this node may be cut off. The platform removes the
/// entry of a process that has ended within 4.8 s, and nodes retain it for 2 s longer.
pub const SILENT_SUSPICION: Duration = Duration::from_secs(8);
/// Longest time between replies to a node that is not cut off. On the smallest deployments a node
/// gets several replies a second.
pub const MAX_REPLY_GAP: Duration = Duration::from_secs(1);
/// Maximum number of requests suspected at one upstream; the oldest is dropped first. No upstream
/// runs more at a time.
pub const MAX_SUSPECTS: usize = 64;

/// How the attempt of a suspected request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exposure {
    /// The upstream ended the connection.
    Lost,
    /// This node closed the connection; the upstream may still run the request.
    Abandoned,
}

/// How an upstream turned out to have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// It refuses a new connection.
    Unreachable,
    /// It does not answer to a new connection.
    Silent,
    /// Another process has taken its place, at its address or under its id.
    Replaced,
    /// It was silent, and the platform no longer lists it.
    Gone,
}

impl Proof {
    /// Returns whether the upstream has crashed, rather than this node being cut off from it.
    /// `others_reply` is whether other upstreams replied to this node before and after the upstream
    /// was found silent.
    pub fn is_crash(self, others_reply: bool) -> bool {
        self != Proof::Silent || others_reply
    }
}

/// Returns whether this node can reach upstreams during a check that began at `began`, given the
/// last reply before it and the last reply so far. A reply after the check began does not
/// suffice: the node may have been cut off until then.
pub fn others_reply(began: Instant, before: Option<Instant>, latest: Option<Instant>) -> bool {
    let recent = |at: Instant| began.saturating_duration_since(at) < MAX_REPLY_GAP;
    before.is_some_and(recent) && latest.is_some_and(|at| at >= began)
}

/// Period in which the arrivals of a proven request count as one: long, so that an outage rarely
/// falls into two of them.
pub const PROVEN_PERIOD: Duration = Duration::from_secs(60);
/// Number of upstreams that may crash under one arrival before it is reported twice. Upstreams of
/// several pools crash at the same time in an outage, but other pools then reply.
pub const CONCLUSIVE_CRASHES: u32 = 3;
/// The same if one of them crashed under an attempt that was sent after another one had been lost.
pub const CONCLUSIVE_CRASHES_IN_TURN: u32 = 2;

/// One arrival of a request, shared by its attempts.
///
/// Its id, by which nodes report it, consists of the tag of the pool that lost an upstream first,
/// 15 random bits, and a bit that is set in a second report. That of a proven request names no pool.
#[derive(Debug)]
pub struct Arrival {
    id: AtomicU32,
    replied: AtomicBool,
    crashes: AtomicU32,
    /// Whether an upstream crashed under an attempt sent after a loss.
    in_turn: AtomicBool,
    /// Whether upstreams have lately run the request without a crash.
    proven: bool,
}

/// Returns the part of an arrival's id that names `pool`.
fn pool_tag(pool: &id::Pool) -> u32 {
    (hash::stable(&[pool.as_str().as_bytes()]) as u32) << 16
}

/// Returns whether `pool` lost an upstream under the reported `arrival`, the first if several did.
pub fn names_pool(arrival: u32, pool: &id::Pool) -> bool {
    arrival & 0xffff_0000 == pool_tag(pool)
}

impl Arrival {
    /// Creates an arrival with the random bits of `random`.
    pub fn new(random: u32) -> Arrival {
        Arrival {
            id: AtomicU32::new(random & 0xfffe),
            replied: AtomicBool::new(false),
            crashes: AtomicU32::new(0),
            in_turn: AtomicBool::new(false),
            proven: false,
        }
    }

    /// Creates an arrival of a request that upstreams have lately run without a crash. It is never
    /// conclusive, and has the same id as the request's other such arrivals at any node within
    /// [`PROVEN_PERIOD`], so that those lost in one outage count as one.
    pub fn of_proven(fingerprint: u64, unix: Duration) -> Arrival {
        let period = unix.as_secs() / PROVEN_PERIOD.as_secs();
        let id = hash::stable(&[&fingerprint.to_le_bytes(), &period.to_le_bytes()]) as u32;
        Arrival { proven: true, ..Arrival::new(id) }
    }

    /// Returns its id.
    pub fn id(&self) -> u32 {
        self.id.load(Ordering::Relaxed)
    }

    /// Records that an upstream has replied to the request.
    pub fn record_reply(&self) {
        self.replied.store(true, Ordering::Relaxed);
    }

    /// Records that an upstream of `pool` has crashed under the request, perhaps `in_turn`: under
    /// an attempt that was sent after another one had been lost. Returns the ids to report: a
    /// second one if all upstreams that are known to have run the request have crashed, and they
    /// are [`CONCLUSIVE_CRASHES`] or more, or [`CONCLUSIVE_CRASHES_IN_TURN`].
    pub fn record_crash(
        &self,
        pool: &id::Pool,
        in_turn: bool,
    ) -> impl Iterator<Item = u32> + use<> {
        let crashes = self.crashes.fetch_add(1, Ordering::Relaxed) + 1;
        if crashes == 1 && !self.proven {
            self.id.fetch_or(pool_tag(pool), Ordering::Relaxed);
        }
        let in_turn = self.in_turn.fetch_or(in_turn, Ordering::Relaxed) || in_turn;
        let enough = if in_turn { CONCLUSIVE_CRASHES_IN_TURN } else { CONCLUSIVE_CRASHES };
        let unanswered = !self.replied.load(Ordering::Relaxed);
        let conclusive = crashes >= enough && unanswered && !self.proven;
        let id = self.id();
        [id].into_iter().chain(conclusive.then_some(id | 1))
    }
}

/// A request that an upstream was running.
#[derive(Debug, Clone)]
pub struct Suspect {
    /// The caller's request id, for logs.
    pub request_id: SmolStr,
    /// Hash of the request's host, method, path and body.
    pub fingerprint: u64,
    /// The arrival that the upstream was running.
    pub arrival: Arc<Arrival>,
    /// Whether the attempt was sent after another one of the arrival had been lost.
    pub after_loss: bool,
}

#[derive(Debug)]
struct Entry {
    suspect: Suspect,
    exposure: Exposure,
    since: Instant,
    /// When to check the upstream; `None` once that has been done.
    check_at: Option<Instant>,
    /// Whether there has been a sign of a crash since.
    sign: bool,
    /// Whether the upstream has been found silent while this node may have been cut off.
    silent: bool,
}

impl Entry {
    fn is_expired(&self, now: Instant) -> bool {
        let limit = if self.silent { SILENT_SUSPICION } else { SUSPICION };
        now.saturating_duration_since(self.since) >= limit
    }
}

/// Suspected requests of one upstream.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    entries: Vec<Entry>,
    /// When the upstream was last seen alive.
    alive_at: Option<Instant>,
    /// When it last accepted a connection that was opened to check it.
    checked_at: Option<Instant>,
    /// Number of suspects of a silent upstream that have expired without proof of a crash.
    unresolved: usize,
}

impl CrashSuspects {
    /// Creates a list without suspects.
    pub fn new() -> CrashSuspects {
        CrashSuspects::default()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of suspects that are kept because the upstream is silent.
    pub fn silent_len(&self) -> usize {
        self.entries.iter().filter(|e| e.silent).count()
    }

    /// Adds a suspect. `connected` is whether this node has another connection to the upstream,
    /// whose end would show a crash. Returns the suspect that was dropped to make room.
    pub fn add(
        &mut self,
        now: Instant,
        suspect: Suspect,
        exposure: Exposure,
        connected: bool,
    ) -> Option<Suspect> {
        self.expire(now);
        let full = self.entries.len() >= MAX_SUSPECTS;
        let dropped = full.then(|| self.entries.remove(0).suspect);
        let check_at = match exposure {
            Exposure::Lost => Some(now + CHECK_DELAY),
            Exposure::Abandoned if connected => Some(now + ABANDONED_RUN),
            Exposure::Abandoned => Some(self.next_recheck(now)),
        };
        self.entries.push(Entry {
            suspect,
            exposure,
            since: now,
            check_at,
            sign: false,
            silent: false,
        });
        dropped
    }

    /// Returns when the upstream is to be checked; `None` if no check is needed.
    pub fn next_check(&self) -> Option<Instant> {
        self.entries.iter().filter_map(|e| e.check_at).min()
    }

    /// Returns when to check the upstream for a reason that may occur often.
    fn next_recheck(&self, now: Instant) -> Instant {
        let soon = now + CHECK_DELAY;
        self.checked_at.map_or(soon, |at| soon.max(at + RECHECK_INTERVAL))
    }

    /// Records that the upstream accepted a connection that was opened to check it.
    pub fn record_check(&mut self, now: Instant) {
        self.checked_at = Some(now);
        self.record_alive(now);
    }

    /// Records that the upstream replied. Requests that it must have
    /// finished by then are no longer suspected.
    pub fn record_alive(&mut self, now: Instant) {
        self.alive_at = Some(now);
        // What accepts connections again after a silence may be another process.
        self.entries.retain(|e| {
            e.exposure == Exposure::Lost
                || e.silent
                || now.saturating_duration_since(e.since) < ABANDONED_RUN
        });
        for entry in &mut self.entries {
            // Unless a connection ends, an upstream that replies has not crashed. The check after
            // a loss stays: the reply may have been sent before it.
            let settled = entry.exposure == Exposure::Abandoned && !entry.sign;
            entry.check_at = entry.check_at.filter(|at| *at > now && !settled);
        }
    }

    /// Records a sign that the upstream may have crashed: it ended a connection, or did not accept
    /// one. It is then checked again.
    pub fn record_sign(&mut self, now: Instant) {
        self.expire(now);
        let check_at = self.next_recheck(now);
        for entry in &mut self.entries {
            entry.check_at = Some(entry.check_at.map_or(check_at, |at| at.min(check_at)));
            entry.sign = true;
        }
    }

    /// Records that the upstream does not answer to a new connection while this node may be cut
    /// off. Its suspects are kept until there is proof of a crash, and it is checked again.
    pub fn record_silence(&mut self, now: Instant) {
        self.expire(now);
        for entry in &mut self.entries {
            entry.silent = true;
            entry.check_at = Some(now + RECHECK_INTERVAL);
        }
    }

    /// Removes the suspects that `proof` shows to be or not to be involved in a crash, and returns
    /// those that may have been running when the upstream crashed.
    pub fn take(&mut self, now: Instant, proof: Proof) -> Vec<Suspect> {
        self.expire(now);
        let alive_at = self.alive_at.filter(|_| proof != Proof::Replaced);
        let ran = |e: &Entry| {
            let run = match e.exposure {
                Exposure::Lost => CHECK_DELAY,
                Exposure::Abandoned => ABANDONED_RUN,
            };
            let is_proof = proof != Proof::Gone || e.silent;
            is_proof && alive_at.is_none_or(|at| at < e.since + run)
        };
        self.entries.drain(..).filter(ran).map(|e| e.suspect).collect()
    }

    /// Removes those that have been suspected long enough.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.entries.extract_if(.., |e| e.is_expired(now));
        self.unresolved += expired.filter(|e| e.silent).count();
    }

    /// Returns the number of suspects of a silent upstream that have expired without proof since
    /// the last call.
    pub fn take_unresolved(&mut self) -> usize {
        std::mem::take(&mut self.unresolved)
    }
}
