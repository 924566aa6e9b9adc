//! Explains where a request would go now, and why, without sending it.

use std::{fmt, net::SocketAddr, time::Instant};

use base::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    limiter::Attempt,
    pool::Pools,
    route::{RouteTable, Target},
    triage::Class,
};

/// A circumstance that excludes an upstream or adds to its cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Its failure domain is evacuated: it gets nothing.
    Evacuated,
    /// Another process serves at its address: it gets nothing.
    Replaced,
    /// It has asked for a rest: it gets nothing.
    Rests {
        /// Time left; `None` if it is on trial after the rest.
        left_ms: Option<u64>,
    },
    /// It states a limit on all nodes together.
    Limit {
        /// Limit, in requests per second.
        limit: f64,
        /// Part of this node.
        part: f64,
        /// Whether no permit is left: it gets nothing.
        is_spent: bool,
        /// Time to the next permit; `None` if this node has no part.
        left_ms: Option<u64>,
    },
    /// Connections to it have just failed.
    Down,
    /// Its registry entry was removed without notice.
    LastResort,
    /// It refuses requests.
    Sheds {
        /// Share of refused requests, from 0 to 1.
        share: f64,
    },
    /// It fails requests.
    Fails {
        /// Share of failed requests, from 0 to 1.
        share: f64,
    },
    /// An attempt is overdue.
    Stuck {
        /// Age of the oldest attempt in flight.
        oldest_ms: u64,
    },
    /// It has just started and is slow.
    Cold,
    /// It is in another failure domain than the node.
    OtherDomain,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Evacuated => write!(f, "evacuated"),
            Reason::Replaced => write!(f, "another process has its address"),
            Reason::Rests { left_ms: Some(left) } => write!(f, "asks for a rest, {left} ms left"),
            Reason::Rests { left_ms: None } => write!(f, "on trial after a rest"),
            Reason::Limit { limit, part, is_spent, .. } => {
                let spent = if *is_spent { ", no permit left" } else { "" };
                write!(f, "limit {limit:.1}/s, this node's part {part:.1}/s{spent}")
            }
            Reason::Down => write!(f, "connections fail"),
            Reason::LastResort => write!(f, "last resort: its registry entry has gone"),
            Reason::Sheds { share } => write!(f, "refuses {:.0}%", share * 100.0),
            Reason::Fails { share } => write!(f, "fails {:.0}%", share * 100.0),
            Reason::Stuck { oldest_ms } => write!(f, "no reply for {oldest_ms} ms"),
            Reason::Cold => write!(f, "cold"),
            Reason::OtherDomain => write!(f, "another failure domain"),
        }
    }
}

/// An upstream with what an attempt to it would cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its instance.
    pub upstream: id::Instance,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Whether it would get an attempt now.
    pub is_usable: bool,
    /// Expected time to a reply with all penalties, without the random part.
    pub cost_ms: f64,
    /// Median latency that the cost is based on.
    pub latency_ms: f64,
    /// Whether that latency was observed lately; it is assumed otherwise.
    pub has_replied: bool,
    /// Attempts of this node in flight.
    pub in_flight: usize,
    /// Requests that it runs concurrently.
    pub slots: u16,
    /// What excludes it or adds to its cost, besides latency and load.
    pub reasons: Vec<Reason>,
}

/// A pool with its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: id::Pool,
    /// Share of the requests to many pools that it admits, from 0 to 1.
    pub admitted_share: f64,
    /// Upstreams, those that would be asked first in front.
    pub upstreams: Vec<Candidate>,
}

/// Where a request would go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of its route.
    pub route: SmolStr,
    /// Path prefix of the route.
    pub prefix: SmolStr,
    /// Order of service; 0 is first.
    pub rank: u32,
    /// Target latency.
    pub goal_ms: u64,
    /// Longest time to an answer.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Number of pools that must reply; one of them is chosen by weight if `is_weighted`.
    pub min_replies: usize,
    /// Whether it goes to one of the pools rather than to all.
    pub is_weighted: bool,
    /// Number of pools with an upstream that would get an attempt now.
    pub usable_pools: usize,
    /// Share of such requests that would be admitted, from 0 to 1; 0 if too few pools are usable.
    pub admitted_share: f64,
    /// Pools of the route.
    pub pools: Vec<PoolShare>,
}

/// Explains where a request for `path` on `host` would go at `now`; `None` if it has no route. Sends
/// nothing and counts nothing.
pub fn explain(
    now: Instant,
    table: &RouteTable,
    pools: &mut Pools,
    host: &str,
    path: &str,
) -> Option<Explanation> {
    let route = table.find(host, path)?;
    let (names, min_replies, is_weighted): (Vec<id::Pool>, usize, bool) = match &route.target {
        Target::SinglePool(weighted) => {
            let weighted = weighted.iter().filter(|w| w.weight > 0.0 || weighted.len() == 1);
            (weighted.map(|w| w.pool.clone()).collect(), 1, true)
        }
        Target::FanOut { pools, min_replies, .. } => (pools.clone(), *min_replies, false),
    };
    let attempt =
        |pools: &Pools, pool: &id::Pool| match pools.has_more_urgent(now, pool, route.rank) {
            true => Attempt::Yielding,
            false => Attempt::First,
        };
    let class = Class { route: route.name.clone(), rank: route.rank, goal: route.goal };
    let explained: Vec<PoolShare> = names
        .iter()
        .map(|name| {
            let attempt = attempt(pools, name);
            pools.explain(now, name, &class, attempt)
        })
        .collect();
    let is_usable = |p: &&PoolShare| p.upstreams.iter().any(|u| u.is_usable);
    let usable_pools = explained.iter().filter(is_usable).count();
    let admitted_share = match (usable_pools < min_replies, is_weighted || names.len() < 2) {
        (true, _) => 0.0,
        (false, true) => 1.0,
        // One random number decides for all pools: enough of them must admit it.
        (false, false) => {
            let mut shares: Vec<f64> = explained.iter().map(|p| p.admitted_share).collect();
            shares.sort_by(|a, b| b.total_cmp(a));
            shares.get(min_replies.saturating_sub(1)).copied().unwrap_or(0.0)
        }
    };
    Some(Explanation {
        route: route.name.clone(),
        prefix: route.prefix.clone(),
        rank: route.rank,
        goal_ms: route.goal.as_millis() as u64,
        deadline_ms: route.timeout.as_millis() as u64,
        repeatable: route.repeatable,
        min_replies,
        is_weighted,
        usable_pools,
        admitted_share,
        pools: explained,
    })
}
