//! Which pools a request goes to.

use std::{sync::Arc, time::Duration};

use base::{hash::FastMap, id, unit::Generation};
use smol_str::SmolStr;

/// One pool of a weighted choice.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedPool {
    /// The pool.
    pub pool: id::Pool,
    /// Its weight; its share of requests is this by the sum of all.
    pub weight: f64,
}

/// How many upstreams a request of a route goes to.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// One upstream of one pool.
    SinglePool(Vec<WeightedPool>),
    /// One upstream of each pool, the records of the replies merged.
    FanOut {
        /// The pools; no two alike.
        pools: Vec<id::Pool>,
        /// Records in an answer, the greatest of all.
        top_k: usize,
        /// Least number of pools whose records make an answer.
        min_replies: usize,
    },
}

/// What holds for requests of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: SmolStr,
    /// Beginning of the paths that it takes.
    pub prefix: SmolStr,
    /// Where requests go.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Upstreams of one pool that one request may be sent to; 1 or more.
    pub max_attempts: usize,
    /// Longest time to an answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub goal: Duration,
    /// Order of service; 0 goes first.
    pub rank: u32,
}

/// What a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for which a connection may stay idle, a head that comes slowly included.
    pub idle_timeout: Duration,
}

/// All routes of one generation of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// The generation.
    pub generation: Generation,
    /// What callers may send.
    pub limits: RequestLimits,
    /// Most connection_limits that each upstream of a pool accepts from all nodes together.
    pub connection_limits: FastMap<id::Pool, usize>,
    /// Routes by host, the longest prefix first.
    hosts: FastMap<SmolStr, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// RouteTable of `routes`, each with its host.
    pub fn new(
        generation: Generation,
        limits: RequestLimits,
        connection_limits: FastMap<id::Pool, usize>,
        routes: Vec<(SmolStr, Route)>,
    ) -> RouteTable {
        let mut hosts: FastMap<SmolStr, Vec<Arc<Route>>> = FastMap::default();
        for (host, route) in routes {
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        RouteTable { generation, limits, connection_limits, hosts }
    }

    /// The route of `path` on `host`: the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Shares requests of each weighted route out by smooth weighted round robin.
///
/// Exact shares rather than a coin: over a few dozen requests a coin strays by more than the
/// operator would accept.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: FastMap<SmolStr, Vec<(id::Pool, f64)>>,
}

impl WeightedRoundRobin {
    /// Without memory of earlier choices.
    pub fn new() -> WeightedRoundRobin {
        WeightedRoundRobin::default()
    }

    /// The next pool of the route named `name`; `None` if no pool has a weight.
    pub fn next_pool(&mut self, name: &SmolStr, among: &[WeightedPool]) -> Option<id::Pool> {
        if let [only] = among {
            return Some(only.pool.clone());
        }
        let total: f64 = among.iter().map(|w| w.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let credits = self.credits.entry(name.clone()).or_default();
        let same = credits.len() == among.len()
            && credits.iter().zip(among).all(|((pool, _), w)| *pool == w.pool);
        if !same {
            *credits = among.iter().map(|w| (w.pool.clone(), 0.0)).collect();
        }
        for ((_, credit), weighted) in credits.iter_mut().zip(among) {
            *credit += weighted.weight;
        }
        let (pool, credit) = credits.iter_mut().max_by(|a, b| a.1.total_cmp(&b.1))?;
        *credit -= total;
        Some(pool.clone())
    }

    /// Forgets routes that `table` no longer has.
    pub fn retain(&mut self, table: &RouteTable) {
        let names: Vec<&SmolStr> = table.hosts.values().flatten().map(|r| &r.name).collect();
        self.credits.retain(|name, _| names.contains(&name));
    }
}

/// Largest share of a goal that a caller is taken to have waited before it sent. A caller that
/// seems to have waited for longer has other limits than its route, or has missed the goal.
const WAITED: f64 = 0.4;

impl Route {
    /// What is left of the goal of a caller that waits for another `patience`.
    ///
    /// Load answered: callers that look up addresses and connect before they send. Their goal
    /// runs meanwhile, a quarter of the shortest ones; and what they still wait for is less
    /// than the route's limit by just that time.
    pub fn remaining_goal(&self, patience: Duration) -> Duration {
        let waited = self.timeout.saturating_sub(patience);
        if waited > self.goal.mul_f64(WAITED) { self.goal } else { self.goal - waited }
    }
}
