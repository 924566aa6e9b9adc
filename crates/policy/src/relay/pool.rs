//! Chooses the upstream of a pool for an attempt.
//!
//! Load answered: upstreams that pause, are slow, shed, fail part of their requests, have just
//! started, or have gone without notice, while each node sees only its own small part of the
//! requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{hash::FastMap, id};
use rand::{Rng, RngCore};
use smol_str::SmolStr;

use super::{
    admission::{PoolAdmission, Sample},
    registry::{Availability, Entry, Registry},
    retry_budget::{RetryBound, RetryBudget},
    upstream::{AttemptEnd, Upstream, UpstreamStats},
};

/// Latency assumed of an upstream that has not been asked lately.
const UNKNOWN: Duration = Duration::from_millis(8);
/// Added for an upstream in another failure domain: the way there and back, and what bytes
/// between failure domains cost.
const FAR: Duration = Duration::from_millis(16);
/// Factor on the latency of an upstream that has just started.
const COLD_FACTOR: f64 = 1.6;
/// An attempt in flight for longer than this many times the typical latency means that the
/// upstream is stuck.
const STUCK_FACTOR: u32 = 3;
/// Shortest time in flight that means a stuck upstream.
const STUCK: Duration = Duration::from_millis(30);
/// Added for an upstream that refused a request a moment ago, or refuses all of them; less in
/// proportion.
const SHEDDING: Duration = Duration::from_millis(800);
/// Added for an upstream that fails all of its requests; less in proportion.
const FAILING: Duration = Duration::from_millis(400);
/// Added for an upstream without a working connection.
const DOWN: Duration = Duration::from_secs(4);
/// Added for an upstream whose entry has gone.
const FADING: Duration = Duration::from_secs(8);
/// Share of the connections that an upstream accepts which nodes divide among themselves. The
/// rest is for processes that replace others, and for nodes that serve a caller now and then.
const CONNECTIONS: f64 = 0.75;
/// Spread of random additions, so that nodes do not choose alike.
const JITTER: Duration = Duration::from_millis(2);

/// Handle of an upstream in [`Pools`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamHandle(u64);

/// A chosen upstream.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Its handle.
    pub handle: UpstreamHandle,
    /// As registered.
    pub entry: Arc<Entry>,
    /// Connections that this node may hold to it.
    pub max_connections: usize,
    /// Whether an attempt there is overdue: a second one elsewhere should not wait long.
    pub stuck: bool,
}

#[derive(Debug)]
struct Pool {
    seats: Vec<UpstreamHandle>,
    budget: RetryBudget,
    admission: PoolAdmission,
}

/// All upstreams by pool, with what this node has seen of them.
#[derive(Debug)]
pub struct Pools {
    domain: SmolStr,
    bound: RetryBound,
    born: Instant,
    pools: FastMap<id::Pool, Pool>,
    upstreams: FastMap<UpstreamHandle, Upstream>,
    next_seat: u64,
    synced: Option<u64>,
    /// Nodes that may exist at once, this one included; `None` while no other is known.
    nodes: Option<usize>,
}

impl Pools {
    /// Without upstreams, for a node in `domain` whose process started at `born`.
    pub fn new(domain: SmolStr, bound: RetryBound, born: Instant) -> Pools {
        Pools {
            domain,
            bound,
            born,
            pools: FastMap::default(),
            upstreams: FastMap::default(),
            next_seat: 0,
            synced: None,
            nodes: None,
        }
    }

    /// Sets the bound on second attempts from now on; what was spent counts against it.
    pub fn set_retry_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
        self.pools.values_mut().for_each(|p| p.budget.set_bound(bound));
    }

    /// Sets the number of nodes that may exist at once, this one included.
    pub fn set_node_count(&mut self, nodes: Option<usize>) {
        self.nodes = nodes;
    }

    /// Takes over what the registry says may be used. Returns the seats that are gone.
    pub fn sync(&mut self, now: Instant, registry: &Registry) -> Vec<UpstreamHandle> {
        if self.synced == Some(registry.version()) {
            return Vec::new();
        }
        self.synced = Some(registry.version());
        type Process = (id::Instance, u64);
        let process = |e: &Entry| -> Process { (e.instance.clone(), e.born_ms) };
        let mut old: FastMap<Process, (UpstreamHandle, Upstream)> =
            self.upstreams.drain().map(|(seat, u)| (process(&u.entry), (seat, u))).collect();
        self.pools.values_mut().for_each(|p| p.seats.clear());
        for (entry, availability) in registry.usable() {
            let same = |(_, u): &(UpstreamHandle, Upstream)| u.entry.address == entry.address;
            let (seat, stats) = match old.remove(&process(entry)).filter(same) {
                Some((seat, upstream)) => (seat, upstream.stats),
                None => {
                    self.next_seat += 1;
                    (UpstreamHandle(self.next_seat), UpstreamStats::new(now, entry))
                }
            };
            let upstream = Upstream { entry: entry.clone(), availability, stats };
            self.upstreams.insert(seat, upstream);
            self.pool(now, &entry.pool).seats.push(seat);
        }
        self.pools.values_mut().for_each(|p| p.seats.sort_unstable());
        old.into_values().map(|(seat, _)| seat).collect()
    }

    fn pool(&mut self, now: Instant, name: &id::Pool) -> &mut Pool {
        if !self.pools.contains_key(name) {
            let budget = RetryBudget::new(self.bound, self.born, now);
            let pool = Pool { seats: Vec::new(), budget, admission: PoolAdmission::new(now) };
            self.pools.insert(name.clone(), pool);
        }
        self.pools.get_mut(name).unwrap_or_else(|| unreachable!())
    }

    /// Whether `pool` has an upstream that is worth an attempt, beside those in `tried`.
    pub fn has_untried(&self, pool: &id::Pool, tried: &[UpstreamHandle]) -> bool {
        let usable = |seat: &UpstreamHandle| {
            let known = self.upstreams.get(seat);
            !tried.contains(seat) && known.is_some_and(|u| !u.stats.is_replaced())
        };
        self.pools.get(pool).is_some_and(|p| p.seats.iter().any(usable))
    }

    /// Chooses an upstream of `pool` that is not in `tried`. `limit` is the number of
    /// connections that an upstream accepts from all nodes together.
    pub fn choose(
        &self,
        now: Instant,
        pool: &id::Pool,
        tried: &[UpstreamHandle],
        limit: usize,
        rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        let pool = self.pools.get(pool)?;
        let mut best: Option<(Duration, UpstreamHandle, &Upstream)> = None;
        for seat in pool.seats.iter().filter(|s| !tried.contains(s)) {
            let Some(upstream) = self.upstreams.get(seat) else { continue };
            if upstream.stats.is_replaced() {
                continue;
            }
            let jitter = JITTER.mul_f64(rng.random::<f64>());
            let cost = self.cost(now, upstream) + jitter;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, *seat, upstream));
            }
        }
        let (_, seat, upstream) = best?;
        let share = limit as f64 * CONNECTIONS / self.nodes.unwrap_or(1).max(1) as f64;
        let connections = (share as usize).max(1);
        let stuck = self.is_stuck(now, &upstream.stats);
        Some(Choice {
            handle: seat,
            entry: upstream.entry.clone(),
            max_connections: connections,
            stuck,
        })
    }

    /// Expected time to a reply, with additions for what speaks against the upstream.
    fn cost(&self, now: Instant, upstream: &Upstream) -> Duration {
        let stats = &upstream.stats;
        let typical = stats.median_latency(now).unwrap_or(UNKNOWN);
        let queue = stats.in_flight() as f64 / f64::from(upstream.entry.slots.max(1));
        let mut cost = typical.mul_f64(1.0 + queue);
        if stats.is_cold(now) {
            cost = cost.mul_f64(COLD_FACTOR);
        }
        if upstream.entry.domain != self.domain {
            cost += FAR;
        }
        if self.is_stuck(now, stats) {
            cost += stats.oldest_in_flight(now);
        }
        let refusals = if stats.is_shedding(now) { 1.0 } else { stats.refusal_share(now) };
        cost += SHEDDING.mul_f64(refusals);
        cost += FAILING.mul_f64(stats.failure_share(now));
        if stats.is_down(now) {
            cost += DOWN;
        }
        if upstream.availability == Availability::LastResort {
            cost += FADING;
        }
        cost
    }

    fn is_stuck(&self, now: Instant, stats: &UpstreamStats) -> bool {
        let typical = stats.median_latency(now).unwrap_or(UNKNOWN);
        stats.oldest_in_flight(now) > STUCK.max(typical * STUCK_FACTOR)
    }

    /// Records an ordinary request to `pool`.
    pub fn record_request(&mut self, now: Instant, pool: &id::Pool) {
        self.pool(now, pool).budget.record_request(now);
    }

    /// Takes an extra request to `pool` out of the budget, if it has room.
    pub fn try_spend_retry(&mut self, now: Instant, pool: &id::Pool) -> bool {
        let nodes = self.nodes;
        self.pool(now, pool).budget.try_spend(now, nodes)
    }

    /// Share of the budget for extra requests to `pool` that is not spent, from 0 to 1.
    pub fn remaining_retry_share(&mut self, now: Instant, pool: &id::Pool) -> f64 {
        let nodes = self.nodes;
        self.pool(now, pool).budget.remaining_share(now, nodes)
    }

    /// Whether `pool` can be expected to serve a request with the number `draw`, from 0 to 1.
    pub fn admits(&mut self, now: Instant, pool: &id::Pool, draw: f64) -> bool {
        draw < self.pool(now, pool).admission.admitted_share(now)
    }

    /// Records what became of a request at `pool`.
    pub fn record_sample(&mut self, now: Instant, pool: &id::Pool, sample: Sample) {
        self.pool(now, pool).admission.record(now, sample);
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: Instant, seat: UpstreamHandle) {
        if let Some(upstream) = self.upstreams.get_mut(&seat) {
            upstream.stats.record_sent(now);
        }
    }

    /// Records how an attempt ended.
    pub fn record_end(
        &mut self,
        now: Instant,
        seat: UpstreamHandle,
        sent: Instant,
        end: AttemptEnd,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(&seat) {
            upstream.stats.record_end(now, sent, end);
        }
    }

    /// Upstreams that may be used.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream may be used.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}
