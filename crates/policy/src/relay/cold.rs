//! Cold upstreams: for some time after its start, a process can take far fewer requests than
//! later. An upstream may become cold again at any moment.
//!
//! A node learns of it from the registry entry and from replies. It presumes it after signs that
//! the process was replaced: hundreds of nodes that have not been told could otherwise send a
//! request each.

use std::time::{Duration, Instant};

use base::{id, unit::Rate};

use super::limiter::Bound;

/// Longest cold time that is believed.
pub const MAX_TIME: Duration = Duration::from_secs(60);
/// Bound of cold upstreams unless set.
pub const DEFAULT_BOUND: Bound = Bound::cold(1.5, 5.0);

/// Limit on the requests to each cold upstream of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that it takes from all nodes together.
    pub per_second: Rate,
    /// Time for which an upstream is cold after its start.
    pub time: Duration,
}

/// What a reply says of the coldness of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Statement {
    /// Nothing.
    #[default]
    None,
    /// A cold time that cannot be believed.
    Malformed,
    /// The upstream is cold for so long; zero if it is warm.
    Left(Duration),
}

impl Statement {
    /// Returns the statement of a cold time `left`.
    pub fn new(left: Duration) -> Statement {
        if left <= MAX_TIME { Statement::Left(left) } else { Statement::Malformed }
    }
}

/// What a belief follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The registry entry.
    Entry,
    /// A reply.
    Reply,
    /// The end of an evacuation.
    Return,
    /// Failed connections.
    Failure,
}

impl Source {
    /// Returns the name, for logs.
    pub fn name(self) -> &'static str {
        match self {
            Source::Entry => "entry",
            Source::Reply => "reply",
            Source::Return => "evacuation ended",
            Source::Failure => "connections failed",
        }
    }
}

/// A change of what this node believes of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The upstream.
    pub instance: id::Instance,
    /// The time for which it is expected to be cold, and what that follows from; `None` if it is no
    /// longer cold.
    pub cold: Option<(Duration, Source)>,
}

/// A reason to believe that the upstream is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Claim {
    made_at: Instant,
    until: Instant,
    source: Source,
}

/// What one node believes of the coldness of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Belief {
    entry: Option<Claim>,
    presumption: Option<Claim>,
    reply: Option<Claim>,
}

impl Belief {
    /// Creates the belief of an upstream whose registry entry says that it is cold for `left`.
    pub fn new(now: Instant, left: Duration) -> Belief {
        Belief { entry: claim(now, left, Source::Entry), presumption: None, reply: None }
    }

    /// Records that the registry entry says that the upstream is cold for `left`. What a reply has
    /// said, or what is presumed, ends later if it lasts longer: the entry may be seconds old.
    pub fn record_entry(&mut self, now: Instant, left: Duration) {
        self.entry = claim(now, left, Source::Entry).filter(|_| left <= MAX_TIME);
    }

    /// Drops what an entry says if its time is too long to be believed.
    pub fn drop_absurd(&mut self) {
        self.entry = self.entry.filter(|c| c.until - c.made_at <= MAX_TIME);
    }

    /// Records that a reply received at `heard_at` says that the upstream is cold for `left`. It
    /// replaces all that was believed before.
    pub fn record_reply(&mut self, heard_at: Instant, left: Duration) {
        if self.reply.is_some_and(|c| c.made_at > heard_at) {
            return;
        }
        let is_newer = |claim: &Claim| claim.made_at > heard_at;
        self.entry = self.entry.filter(is_newer);
        self.presumption = self.presumption.filter(is_newer);
        self.reply = claim(heard_at, left, Source::Reply);
    }

    /// Presumes that the upstream is cold for `time`.
    pub fn presume(&mut self, now: Instant, time: Duration, source: Source) {
        let presumed = claim(now, time.min(MAX_TIME), source);
        let is_longer = |c: &Claim| self.presumption.is_none_or(|known| known.until < c.until);
        self.presumption = presumed.filter(is_longer).or(self.presumption);
    }

    /// Returns until when the upstream is cold, and why; `None` if it is not.
    pub fn until(&self, now: Instant) -> Option<(Instant, Source)> {
        let claims = [self.entry, self.presumption, self.reply].into_iter().flatten();
        let latest = claims.filter(|c| now < c.until).max_by_key(|c| c.until)?;
        Some((latest.until, latest.source))
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until(now).is_some()
    }
}

fn claim(made_at: Instant, time: Duration, source: Source) -> Option<Claim> {
    Some(Claim { made_at, until: made_at.checked_add(time)?, source })
}
