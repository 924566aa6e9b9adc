//! Routes: which pools a request goes to, and under which limits.

use std::{sync::Arc, time::Duration};

use base::{
    hash::{FastMap, FastSet},
    id,
    unit::Generation,
};
use smol_str::SmolStr;

use super::cold;

/// A pool with its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: id::Pool,
    /// Its share of the requests is this weight divided by the sum of all weights.
    pub weight: f64,
}

/// Upstreams that a request of a route goes to.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// One upstream of one pool, chosen by weight.
    SinglePool(Vec<WeightedPool>),
    /// One upstream of each pool. The records of the replies are merged.
    FanOut {
        /// The pools, without duplicates.
        pools: Vec<id::Pool>,
        /// Number of records in an answer: the greatest of all replies.
        top_k: usize,
        /// Least number of pools that must reply for an answer.
        min_replies: usize,
    },
}

impl Target {
    /// Returns the pools.
    pub fn pools(&self) -> impl Iterator<Item = &id::Pool> {
        let (weighted, pools) = match self {
            Target::SinglePool(weighted) => (weighted.as_slice(), &[][..]),
            Target::FanOut { pools, .. } => (&[][..], pools.as_slice()),
        };
        weighted.iter().map(|w| &w.pool).chain(pools)
    }
}

/// Parameters of the requests of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: SmolStr,
    /// Path prefix of its requests.
    pub prefix: SmolStr,
    /// Upstreams that its requests go to.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Most attempts of a request to one pool, each at another upstream; at least 1.
    pub max_attempts: usize,
    /// Longest time to an answer.
    pub timeout: Duration,
    /// Target latency; a later answer is worth much less to the caller.
    pub goal: Duration,
    /// Order of service; 0 is served first.
    pub rank: u32,
    /// Regions that its requests stay in; empty if they may reach all upstreams.
    pub home_regions: Arc<[id::Region]>,
}

/// Limits on a caller's connection and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for which a connection may stay idle or take to send a request's head.
    pub idle_timeout: Duration,
}

/// Routes and limits of one generation of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Limits on callers.
    pub limits: RequestLimits,
    /// For each pool, the number of connections that each of its upstreams accepts from all
    /// nodes together.
    pub connection_limits: FastMap<id::Pool, usize>,
    /// Pools that bound the requests to their cold upstreams.
    pub cold_limits: FastMap<id::Pool, cold::Limit>,
    /// Values of the configuration that cannot be used and count as absent, for logs.
    pub ignored: Vec<String>,
    /// Routes by host, those with the longest prefix first.
    hosts: FastMap<SmolStr, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table of `routes`, each with its host.
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
        let cold_limits = FastMap::default();
        let ignored = Vec::new();
        RouteTable { generation, limits, connection_limits, cold_limits, ignored, hosts }
    }

    /// Sets the bounds on the requests to cold upstreams, by pool.
    pub fn with_cold_limits(self, cold_limits: FastMap<id::Pool, cold::Limit>) -> RouteTable {
        RouteTable { cold_limits, ..self }
    }

    /// Sets the values of the configuration that cannot be used.
    pub fn with_ignored(self, ignored: Vec<String>) -> RouteTable {
        RouteTable { ignored, ..self }
    }

    /// Returns the route with the longest prefix of `path` on `host`; `None` if there is none.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns the pools of all routes. A pool of several routes comes more than once.
    pub fn pools(&self) -> impl Iterator<Item = &id::Pool> {
        self.hosts.values().flatten().flat_map(|route| route.target.pools())
    }

    /// Returns the home regions of each route on `host` that has some.
    pub fn home_regions(&self, host: &str) -> Vec<&[id::Region]> {
        let routes = self.hosts.get(host).into_iter().flatten();
        routes.map(|r| &*r.home_regions).filter(|homes| !homes.is_empty()).collect()
    }

    /// Returns the home regions of all routes, without duplicates.
    pub fn all_home_regions(&self) -> FastSet<&id::Region> {
        self.hosts.values().flatten().flat_map(|r| r.home_regions.iter()).collect()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Distributes the requests of each weighted route by smooth weighted round robin.
///
/// A random choice would deviate from the weights over a few dozen requests by more than
/// operators accept.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    /// Current weights of the pools, by route name.
    current_weights: FastMap<SmolStr, Vec<(id::Pool, f64)>>,
}

impl WeightedRoundRobin {
    /// Creates a round robin without earlier choices.
    pub fn new() -> WeightedRoundRobin {
        WeightedRoundRobin::default()
    }

    /// Returns the next of `pools` for the route named `name`; `None` if no pool has a weight.
    /// Starts anew if the pools differ from those of the previous call.
    pub fn next_pool(&mut self, name: &SmolStr, pools: &[WeightedPool]) -> Option<id::Pool> {
        if let [only] = pools {
            return Some(only.pool.clone());
        }
        let total: f64 = pools.iter().map(|w| w.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let weights = self.current_weights.entry(name.clone()).or_default();
        let same_pools = weights.len() == pools.len()
            && weights.iter().zip(pools).all(|((pool, _), w)| *pool == w.pool);
        if !same_pools {
            *weights = pools.iter().map(|w| (w.pool.clone(), 0.0)).collect();
        }
        for ((_, current), weighted) in weights.iter_mut().zip(pools) {
            *current += weighted.weight;
        }
        let (pool, weight) = weights.iter_mut().max_by(|a, b| a.1.total_cmp(&b.1))?;
        *weight -= total;
        Some(pool.clone())
    }

    /// Drops the state of routes that are not in `table`.
    pub fn retain(&mut self, table: &RouteTable) {
        let names: Vec<&SmolStr> = table.hosts.values().flatten().map(|r| &r.name).collect();
        self.current_weights.retain(|name, _| names.contains(&name));
    }
}

/// Largest share of the goal that is taken as time spent by the caller before it sent the
/// request. A caller that seems to have spent more uses another timeout than its route, or has
/// missed the goal.
const MAX_SPENT_SHARE: f64 = 0.4;

impl Route {
    /// Returns the rest of the goal for a caller whose request states the timeout `caller_timeout`.
    ///
    /// Callers look up addresses and connect before they send a request. Their goal is already
    /// running then: the setup takes a quarter of the shortest goals. The time for which
    /// such a caller still waits is shorter than the route's timeout by the time spent.
    pub fn remaining_goal(&self, caller_timeout: Duration) -> Duration {
        let spent = self.timeout.saturating_sub(caller_timeout);
        if spent > self.goal.mul_f64(MAX_SPENT_SHARE) { self.goal } else { self.goal - spent }
    }
}
