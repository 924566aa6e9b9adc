//! At-most-once execution of non-idempotent requests: request ids and the deduplication table.
//!
//! A request id contains its home, the incarnation of the only node that may run it. That node
//! records the final answer of each id until the id expires, and repeats it for every further
//! request with that id.

use std::{collections::BTreeSet, fmt, str::FromStr};

use base::{hash::SeededMap, id};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::outcome::Reason;

/// Maximum length of a nonce, in bytes.
pub const MAX_NONCE_BYTES: usize = 64;
/// Maximum number of ids in the deduplication table.
pub const MAX_IDS: usize = 100_000;
/// Maximum tolerated difference between the clocks of two nodes, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 5_000;

/// An incarnation of a node, with the expiry of the request ids that are formed from it.
///
/// Written `ADDRESS~INCARNATION~EXPIRY`, with the last two in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Home {
    /// The node.
    pub node: id::Node,
    /// Its incarnation, which changes with each start of its process.
    pub incarnation: id::Incarnation,
    /// Expiry in milliseconds since the Unix epoch.
    pub expiry_ms: u64,
}

/// Identity of a non-idempotent request: its home and a nonce chosen by the caller.
///
/// Written `HOME~NONCE`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct RequestId {
    /// The node and incarnation that may run the request.
    pub home: Home,
    /// The part chosen by the caller.
    pub nonce: SmolStr,
}

impl fmt::Display for Home {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}~{:x}", self.node, self.incarnation.0, self.expiry_ms)
    }
}

const HOME_FORMAT: &str = "a home as given with an address, ADDRESS~INCARNATION~EXPIRY";
const ID_FORMAT: &str = "HOME~NONCE with a nonce of 1 to 64 of A-Z, a-z, 0-9, - and _";

impl FromStr for Home {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<Home, id::Error> {
        let error = || id::Error { kind: "home", input: truncate(text), allowed: HOME_FORMAT };
        let mut parts = text.split('~');
        let (node, incarnation, expiry) =
            match (parts.next(), parts.next(), parts.next(), parts.next()) {
                (Some(n), Some(i), Some(e), None) => (n, i, e),
                _ => return Err(error()),
            };
        Ok(Home {
            node: node.parse().map_err(|_| error())?,
            incarnation: id::Incarnation(
                u64::from_str_radix(incarnation, 16).map_err(|_| error())?,
            ),
            expiry_ms: u64::from_str_radix(expiry, 16).map_err(|_| error())?,
        })
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}", self.home, self.nonce)
    }
}

impl FromStr for RequestId {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<RequestId, id::Error> {
        let error = || id::Error { kind: "request id", input: truncate(text), allowed: ID_FORMAT };
        let (home, nonce) = text.rsplit_once('~').ok_or_else(error)?;
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if nonce.is_empty() || nonce.len() > MAX_NONCE_BYTES || !nonce.chars().all(is_allowed) {
            return Err(error());
        }
        Ok(RequestId { home: home.parse().map_err(|_| error())?, nonce: SmolStr::new(nonce) })
    }
}

impl TryFrom<SmolStr> for RequestId {
    type Error = id::Error;

    fn try_from(text: SmolStr) -> Result<RequestId, id::Error> {
        text.parse()
    }
}

impl From<RequestId> for SmolStr {
    fn from(id: RequestId) -> SmolStr {
        smol_str::format_smolstr!("{id}")
    }
}

fn truncate(text: &str) -> String {
    text.chars().take(160).collect()
}

/// What a node does with a request that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision<A> {
    /// Run the request; it has not run before.
    Run,
    /// The request is running; wait for its answer.
    Wait,
    /// Return this recorded answer.
    Answered(A),
    /// Forward the request to its home node; a forwarded request is not forwarded again.
    Forward(id::Node),
    /// Fail the request: it must not run here and may have run before.
    Unknown(Reason),
}

#[derive(Debug, Clone)]
enum Entry<A> {
    Running,
    Answered(A),
}

/// Deduplication table of the ids whose home is this incarnation.
#[derive(Debug)]
pub struct DedupTable<A> {
    node: id::Node,
    incarnation: id::Incarnation,
    validity_ms: u64,
    entries: SeededMap<RequestId, Entry<A>>,
    /// Ids ordered by expiry, for removal.
    expiries: BTreeSet<(u64, RequestId)>,
}

impl<A: Clone> DedupTable<A> {
    /// Creates the table of `incarnation` of `node`, for ids that are valid for up to
    /// `validity_ms`.
    pub fn new(node: id::Node, incarnation: id::Incarnation, validity_ms: u64) -> DedupTable<A> {
        let (entries, expiries) = Default::default();
        DedupTable { node, incarnation, validity_ms, entries, expiries }
    }

    /// Returns the number of ids in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a request with `id` that arrived at `now_ms`, in milliseconds since the Unix
    /// epoch. Returns [`Decision::Run`] at most once per id.
    ///
    /// `forwarded` is whether another node forwarded the request.
    pub fn admit(&mut self, now_ms: u64, id: &RequestId, forwarded: bool) -> Decision<A> {
        self.remove_expired(now_ms);
        if id.home.node != self.node {
            return match forwarded {
                true => Decision::Unknown(Reason::HomeUnreachable),
                false => Decision::Forward(id.home.node),
            };
        }
        if id.home.incarnation != self.incarnation {
            return Decision::Unknown(Reason::HomeUnreachable);
        }
        match self.entries.get(id) {
            Some(Entry::Running) => return Decision::Wait,
            Some(Entry::Answered(answer)) => return Decision::Answered(answer.clone()),
            None => {}
        }
        let latest_expiry_ms = now_ms + self.validity_ms + MAX_CLOCK_SKEW_MS;
        if id.home.expiry_ms <= now_ms || id.home.expiry_ms > latest_expiry_ms {
            return Decision::Unknown(Reason::Expired);
        }
        if self.entries.len() >= MAX_IDS {
            return Decision::Unknown(Reason::Overload);
        }
        self.entries.insert(id.clone(), Entry::Running);
        self.expiries.insert((id.home.expiry_ms, id.clone()));
        Decision::Run
    }

    /// Records the final answer of an id for which [`Decision::Run`] was returned.
    pub fn record_answer(&mut self, id: &RequestId, answer: A) {
        if let Some(entry) = self.entries.get_mut(id) {
            *entry = Entry::Answered(answer);
        }
    }

    /// Returns the latest expiry in the table, in milliseconds since the Unix epoch.
    pub fn last_expiry_ms(&self) -> Option<u64> {
        self.expiries.last().map(|(at, _)| *at)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((at, _)) = self.expiries.first() {
            if *at > now_ms {
                return;
            }
            if let Some((_, id)) = self.expiries.pop_first() {
                self.entries.remove(&id);
            }
        }
    }
}
