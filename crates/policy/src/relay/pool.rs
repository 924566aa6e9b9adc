//! Load balancing: chooses the upstream of a pool for each attempt by expected cost.
//!
//! Upstreams may pause, be slow, shed load, fail part of their requests, have just started, or
//! disappear without notice, while each node sees only a small part of the requests.

mod coldness;
mod explain;
mod limits;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    hash::{self, FastMap, FastSet},
    id,
    unit::Era,
};
use rand::{Rng, RngCore};
use smol_str::SmolStr;

use super::{
    cold,
    demand::{Averages, Key, RankedMeter},
    limiter::{Attempt, Bound, Limiter},
    load,
    notice::Rest,
    region::Regions,
    registry::{Availability, Entry, EraRelation, Registry},
    retry_budget::{RetryBound, RetryBudget},
    triage::{Class, Load, PoolTriage, Sample},
    upstream::{AttemptEnd, Lack, Upstream, UpstreamStats},
};

pub use limits::{Basis, Learned};

/// Latency assumed for an upstream without recent replies.
const DEFAULT_LATENCY: Duration = Duration::from_millis(8);
/// Penalty for an upstream in another failure domain: the round trip, and the price of traffic
/// between failure domains.
const REMOTE_DOMAIN_PENALTY: Duration = Duration::from_millis(16);
/// Factor on the expected latency of an upstream that has just started.
const COLD_FACTOR: f64 = 1.6;
/// Penalty for a cold upstream of a pool that bounds the requests to cold ones: above what failures
/// and other failure domains add, so that warm upstreams are used, and below that for refusals, so
/// that cold ones serve what they can while warm ones are full.
const COLD_PENALTY: Duration = Duration::from_millis(600);
/// An upstream is stuck if an attempt has been in flight for more than this many times its
/// median latency, and for more than [`MIN_STUCK_AGE`].
const STUCK_FACTOR: u32 = 3;
/// Least time in flight that makes an upstream count as stuck.
const MIN_STUCK_AGE: Duration = Duration::from_millis(30);
/// Penalty for an upstream that has just refused a request, or that refuses all requests. Scaled
/// by the share of refused requests.
const SHEDDING_PENALTY: Duration = Duration::from_millis(800);
/// Penalty for an upstream that fails all requests. Scaled by the share of failed requests.
const FAILURE_PENALTY: Duration = Duration::from_millis(400);
/// Penalty for an upstream to which connections fail.
const DOWN_PENALTY: Duration = Duration::from_secs(4);
/// Penalty for an upstream whose registry entry was removed without notice.
const LAST_RESORT_PENALTY: Duration = Duration::from_secs(8);
/// Share of an upstream's connection limit that is divided among the nodes. The rest is for
/// processes that replace others, and for nodes that serve callers only occasionally.
const SHARED_CONNECTIONS: f64 = 0.75;
/// Largest random addition to a cost, so that nodes do not all choose the same upstream.
const MAX_JITTER: Duration = Duration::from_millis(2);

/// Time for which the limit of an upstream without a registry entry is kept: an entry that lapsed
/// while the platform was away is back within this time.
const LIMIT_RETENTION: Duration = Duration::from_secs(60);

/// Handle of an upstream in [`Pools`]. Not reused for another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamHandle(u64);

/// An upstream chosen for an attempt.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Handle of the upstream.
    pub handle: UpstreamHandle,
    /// Its registry entry.
    pub entry: Arc<Entry>,
    /// Most connections that this node may open to it.
    pub max_connections: usize,
    /// Whether an attempt to it is overdue, so that a second attempt to another upstream should
    /// be sent early.
    pub stuck: bool,
    /// Whether a limit on the requests from all nodes together applies to the upstream.
    pub limited: bool,
}

/// Instance and start of a process.
type Process = (id::Instance, u64);

/// Returns the expected time to a reply by this node's own observations.
fn observed_delay(now: Instant, upstream: &Upstream) -> Duration {
    let latency = upstream.stats.median_latency(now).unwrap_or(DEFAULT_LATENCY);
    let queue = upstream.stats.in_flight() as f64 / f64::from(upstream.entry.slots.max(1));
    latency.mul_f64(1.0 + queue)
}

fn process(entry: &Entry) -> Process {
    (entry.instance.clone(), entry.born_ms)
}

/// What a process has said of itself.
#[derive(Debug)]
struct Wishes {
    rest: Rest,
    limiter: Option<Limiter>,
    limit_heard_at: Option<Instant>,
    cold: cold::Belief,
    removed_at: Instant,
}

impl Wishes {
    fn of(now: Instant, upstream: &Upstream) -> Wishes {
        let Upstream { stats, .. } = upstream;
        Wishes {
            rest: stats.rest(),
            limiter: stats.limiter().cloned(),
            limit_heard_at: stats.limit_heard_at(),
            cold: *stats.cold(),
            removed_at: now,
        }
    }

    fn is_useful(&self, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.removed_at) < LIMIT_RETENTION;
        let is_limited = self.limiter.is_some() || self.cold.is_cold(now);
        self.rest.end(now).is_some() || is_limited && is_recent
    }
}

/// Returns the key of a pool in messages.
fn pool_key(name: &id::Pool) -> Key {
    hash::stable(&[name.as_str().as_bytes()]) as Key
}

/// Returns the key of a process in messages.
fn process_key(entry: &Entry) -> Key {
    hash::stable(&[entry.instance.0.as_bytes(), &entry.born_ms.to_be_bytes()]) as Key
}

#[derive(Debug)]
struct Pool {
    /// Upstreams of the pool, sorted.
    handles: Vec<UpstreamHandle>,
    budget: RetryBudget,
    triage: PoolTriage,
    demand: RankedMeter,
}

/// All usable upstreams by pool, with what this node has observed of them.
#[derive(Debug)]
pub struct Pools {
    domain: SmolStr,
    bound: RetryBound,
    process_start: Instant,
    pools: FastMap<id::Pool, Pool>,
    upstreams: FastMap<UpstreamHandle, Upstream>,
    /// What processes whose entries have been removed, and may return, have said of themselves.
    removed: FastMap<Process, Wishes>,
    /// Number of the newest handle.
    last_handle: u64,
    /// Registry version of the last [`Pools::sync`].
    synced_version: Option<u64>,
    /// Era of the registry at that time.
    synced_era: Option<Era>,
    /// Number of nodes that share the requests, this one included; `None` while no other is known.
    node_count: Option<usize>,
    /// Number of nodes that may exist, this one included.
    fleet_size: usize,
    averages: Averages,
    pool_keys: FastMap<Key, id::Pool>,
    process_keys: FastMap<Key, UpstreamHandle>,
    /// Upstreams that state a limit, or whose limit has ended lately.
    limited: FastSet<UpstreamHandle>,
    /// Failure domains whose upstreams get no requests.
    evacuated: FastSet<SmolStr>,
    /// Whether replies may be missing because this node is cut off from the upstreams.
    may_be_cut_off: bool,
    coldness: Coldness,
    regions: Regions,
}

/// What the pools know of cold upstreams.
#[derive(Debug)]
struct Coldness {
    /// Pools that bound the requests to cold upstreams.
    limits: FastMap<id::Pool, cold::Limit>,
    bound: Bound,
    /// Determines when this node's permits come.
    seed: u64,
    /// Cold upstreams of these pools.
    upstreams: FastSet<UpstreamHandle>,
    /// Changes that have not been taken.
    changes: Vec<cold::Change>,
    /// Number of attempts withheld.
    withheld: u64,
}

impl Pools {
    /// Creates pools without upstreams for a node in the failure domain `domain` whose process
    /// started at `process_start`.
    pub fn new(domain: SmolStr, bound: RetryBound, process_start: Instant) -> Pools {
        Pools {
            domain,
            bound,
            process_start,
            pools: FastMap::default(),
            upstreams: FastMap::default(),
            removed: FastMap::default(),
            last_handle: 0,
            synced_version: None,
            synced_era: None,
            node_count: None,
            fleet_size: 1,
            averages: Averages::new(process_start),
            pool_keys: FastMap::default(),
            process_keys: FastMap::default(),
            limited: FastSet::default(),
            evacuated: FastSet::default(),
            may_be_cut_off: false,
            coldness: Coldness {
                limits: FastMap::default(),
                bound: cold::DEFAULT_BOUND,
                seed: 0,
                upstreams: FastSet::default(),
                changes: Vec::new(),
                withheld: 0,
            },
            regions: Regions::default(),
        }
    }

    /// Sets what cold upstreams tolerate. `seed` is random: it determines when permits for cold
    /// upstreams come at this node.
    pub fn with_cold_bound(self, bound: Bound, seed: u64) -> Pools {
        Pools { coldness: Coldness { bound, seed, ..self.coldness }, ..self }
    }

    /// Sets the regions of failure domains.
    pub fn with_regions(mut self, regions: Regions) -> Pools {
        self.regions = regions;
        self
    }

    /// Sets the bound on second attempts. Attempts that were already sent count against it.
    pub fn set_retry_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
        self.pools.values_mut().for_each(|p| p.budget.set_bound(bound));
    }

    /// Sets the number of nodes that share the requests, this one included; `None` while no other is
    /// known.
    pub fn set_node_count(&mut self, nodes: Option<usize>) {
        self.node_count = nodes;
    }

    /// Sets the number of nodes that may exist, this one included.
    pub fn set_fleet_size(&mut self, nodes: usize) {
        self.fleet_size = nodes.max(1);
    }

    /// Replaces the upstreams by those that `registry` lists as usable. An upstream keeps its
    /// handle and its observations as long as instance, start time and address stay the same.
    /// Returns the handles that have become invalid.
    pub fn sync(&mut self, now: Instant, registry: &Registry) -> Vec<UpstreamHandle> {
        if self.synced_version == Some(registry.version()) {
            return Vec::new();
        }
        self.synced_version = Some(registry.version());
        let evacuated = registry.evacuated();
        let released = self.evacuated.difference(&evacuated).cloned().collect();
        self.evacuated = evacuated;
        let mut old: FastMap<Process, (UpstreamHandle, Upstream)> =
            self.upstreams.drain().map(|(handle, u)| (process(&u.entry), (handle, u))).collect();
        self.pools.values_mut().for_each(|p| p.handles.clear());
        self.removed.retain(|_, wishes| wishes.is_useful(now));
        let same_era = self
            .synced_era
            .replace(registry.position().era)
            .is_none_or(|era| registry.relation(era) == EraRelation::Same);
        let mut rewritten = Vec::new();
        for (entry, availability) in registry.usable() {
            let same_address =
                |(_, u): &(UpstreamHandle, Upstream)| u.entry.address == entry.address;
            let (handle, stats) = match old.remove(&process(entry)).filter(same_address) {
                Some((handle, upstream)) => {
                    // A listing after a restore repeats what was written long ago.
                    if same_era && !Arc::ptr_eq(&upstream.entry, entry) {
                        rewritten.push(handle);
                    }
                    (handle, upstream.stats)
                }
                None => {
                    self.last_handle += 1;
                    let mut stats = UpstreamStats::new(now, entry);
                    if let Some(wishes) = self.removed.remove(&process(entry)) {
                        stats.set_rest(wishes.rest);
                        stats.set_limiter(wishes.limit_heard_at, wishes.limiter);
                        *stats.cold_mut() = wishes.cold;
                    }
                    rewritten.push(UpstreamHandle(self.last_handle));
                    (UpstreamHandle(self.last_handle), stats)
                }
            };
            let upstream = Upstream { entry: entry.clone(), availability, stats };
            self.upstreams.insert(handle, upstream);
            self.pool_mut(now, &entry.pool).handles.push(handle);
        }
        let (upstreams, evacuated) = (&self.upstreams, &self.evacuated);
        for pool in self.pools.values_mut() {
            pool.handles.sort_unstable();
            let entries = pool.handles.iter().filter_map(|handle| upstreams.get(handle));
            let usable = entries.filter(|u| {
                u.availability != Availability::LastResort && !evacuated.contains(&u.entry.domain)
            });
            pool.triage.set_slots(usable.map(|u| u32::from(u.entry.slots.max(1))).sum());
        }
        let keys = self.upstreams.iter().map(|(handle, u)| (process_key(&u.entry), *handle));
        self.process_keys = keys.collect();
        let limited = self.upstreams.iter().filter(|(_, u)| u.stats.limit_heard_at().is_some());
        self.limited = limited.map(|(handle, _)| *handle).collect();
        let removed = old.iter().map(|(process, (_, u))| (process.clone(), Wishes::of(now, u)));
        self.removed.extend(removed.filter(|(_, wishes)| wishes.is_useful(now)));
        self.sync_coldness(now, &rewritten, &released);
        old.into_values().map(|(handle, _)| handle).collect()
    }

    /// Returns the pool `name`, creating it if it is unknown.
    fn pool_mut(&mut self, now: Instant, name: &id::Pool) -> &mut Pool {
        if !self.pools.contains_key(name) {
            let budget = RetryBudget::new(self.bound, self.process_start, now);
            let triage = PoolTriage::new(now);
            let demand = RankedMeter::default();
            let pool = Pool { handles: Vec::new(), budget, triage, demand };
            self.pools.insert(name.clone(), pool);
            self.pool_keys.insert(pool_key(name), name.clone());
        }
        self.pools.get_mut(name).unwrap_or_else(|| unreachable!())
    }

    /// Returns whether `pool` has an upstream that may be used.
    pub fn has_upstream(&self, pool: &id::Pool) -> bool {
        self.pools.get(pool).is_some_and(|p| !p.handles.is_empty())
    }

    /// Returns whether upstreams of the failure domain `domain` get no requests.
    pub fn is_evacuated(&self, domain: &SmolStr) -> bool {
        self.evacuated.contains(domain)
    }

    /// Returns the failure domains whose upstreams get no requests.
    pub fn evacuated(&self) -> &FastSet<SmolStr> {
        &self.evacuated
    }

    /// Returns the upstreams of `pool` that a request with the home regions `homes` must not be sent to:
    /// those in `tried`, and those in other regions.
    pub fn excluded(
        &self,
        pool: &id::Pool,
        tried: &[UpstreamHandle],
        homes: &[id::Region],
    ) -> Vec<UpstreamHandle> {
        let mut excluded = tried.to_vec();
        if let Some(pool) = self.pools.get(pool).filter(|_| !homes.is_empty()) {
            let is_home = |handle: &UpstreamHandle| {
                let upstream = self.upstreams.get(handle);
                upstream.is_some_and(|u| self.regions.is_home(homes, &u.entry.domain))
            };
            excluded.extend(pool.handles.iter().filter(|handle| !is_home(handle)));
        }
        excluded
    }

    /// Returns whether `attempt` may be sent to `upstream`.
    fn may_get(&self, now: Instant, upstream: &Upstream, attempt: Attempt) -> bool {
        !self.is_evacuated(&upstream.entry.domain) && upstream.stats.wants(now, attempt)
    }

    /// Returns whether `pool` has an upstream worth an attempt that is not in `tried`.
    pub fn has_untried(
        &self,
        now: Instant,
        pool: &id::Pool,
        tried: &[UpstreamHandle],
        attempt: Attempt,
    ) -> bool {
        let usable = |handle: &UpstreamHandle| {
            let upstream = self.upstreams.get(handle);
            !tried.contains(handle) && upstream.is_some_and(|u| self.may_get(now, u, attempt))
        };
        self.pools.get(pool).is_some_and(|p| p.handles.iter().any(usable))
    }

    /// Returns whether an attempt to the upstream that `entry` registers may still be sent. Takes a
    /// permit if it had none, or if that has expired.
    pub fn may_send(
        &mut self,
        now: Instant,
        handle: UpstreamHandle,
        entry: &Entry,
        permit: Option<Instant>,
    ) -> bool {
        if self.is_evacuated(&entry.domain) {
            return false;
        }
        // Another process, which may be cold, may have the address of one that is not registered.
        let Some(upstream) = self.upstreams.get_mut(&handle) else {
            return !self.coldness.limits.contains_key(&entry.pool);
        };
        if upstream.stats.rest().end(now).is_some() {
            return false;
        }
        let taken = upstream.stats.try_take(now, permit);
        self.coldness.withheld += u64::from(taken == Err(Lack::Cold));
        taken.is_ok()
    }

    /// Returns when the first upstream of `pool` may get such attempts again; `None` if one may get
    /// them now or none has said when.
    pub fn rest_end(&self, now: Instant, pool: &id::Pool, attempt: Attempt) -> Option<Instant> {
        self.rest_end_without(now, pool, attempt, &[])
    }

    /// Like [`Pools::rest_end`], but for the upstreams that are not in `excluded`.
    pub fn rest_end_without(
        &self,
        now: Instant,
        pool: &id::Pool,
        attempt: Attempt,
        excluded: &[UpstreamHandle],
    ) -> Option<Instant> {
        let handles = self.pools.get(pool)?.handles.iter().filter(|h| !excluded.contains(h));
        let upstreams = handles.filter_map(|handle| self.upstreams.get(handle));
        let wanting =
            upstreams.filter(|u| !u.stats.is_replaced() && !self.is_evacuated(&u.entry.domain));
        let times =
            wanting.map(|u| u.stats.wants_again_at(now, attempt)).collect::<Option<Vec<_>>>()?;
        Some(times.into_iter().min()? + self.competition_delay(now, pool))
    }

    /// Records that an upstream wants no requests for `time`. `chance` is random, from 0 to 1.
    /// Returns the end of its rest.
    pub fn record_rest(
        &mut self,
        now: Instant,
        handle: UpstreamHandle,
        time: Duration,
        chance: f64,
    ) -> Option<Instant> {
        let stats = &mut self.upstreams.get_mut(&handle)?.stats;
        let mut rest = stats.rest();
        rest.extend(now, time, chance);
        stats.set_rest(rest);
        rest.end(now)
    }

    /// Chooses the upstream of `pool` with the lowest cost that is not in `tried`; `None` if
    /// there is none. `connection_limit` is the number of connections that each upstream accepts
    /// from all nodes together.
    pub fn choose(
        &self,
        now: Instant,
        pool: &id::Pool,
        tried: &[UpstreamHandle],
        attempt: Attempt,
        connection_limit: usize,
        rng: &mut dyn RngCore,
    ) -> Option<Choice> {
        let pool = self.pools.get(pool)?;
        let mut best: Option<(Duration, UpstreamHandle, &Upstream)> = None;
        for handle in pool.handles.iter().filter(|h| !tried.contains(h)) {
            let Some(upstream) = self.upstreams.get(handle) else { continue };
            if !self.may_get(now, upstream, attempt) {
                continue;
            }
            let jitter = MAX_JITTER.mul_f64(rng.random::<f64>());
            let cost = self.cost(now, upstream) + jitter;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, *handle, upstream));
            }
        }
        let (_, handle, upstream) = best?;
        let nodes = self.node_count.unwrap_or(1).max(1) as f64;
        let share = connection_limit as f64 * SHARED_CONNECTIONS / nodes;
        let max_connections = (share as usize).max(1);
        let stuck = self.is_stuck(now, &upstream.stats);
        let limited = upstream.stats.part(now).is_some();
        Some(Choice { handle, entry: upstream.entry.clone(), max_connections, stuck, limited })
    }

    /// Returns the expected time to a reply plus the penalties that apply to the upstream.
    fn cost(&self, now: Instant, upstream: &Upstream) -> Duration {
        let stats = &upstream.stats;
        let mut cost = stats.load().delay(now, observed_delay(now, upstream));
        if stats.is_cold(now) {
            cost = cost.mul_f64(COLD_FACTOR);
        }
        if stats.cold_limiter(now).is_some() {
            cost += COLD_PENALTY;
        }
        if upstream.entry.domain != self.domain {
            cost += REMOTE_DOMAIN_PENALTY;
        }
        if self.is_stuck(now, stats) {
            cost += stats.oldest_in_flight(now);
        }
        let refusals = if stats.is_shedding(now) { 1.0 } else { stats.refusal_share(now) };
        cost += SHEDDING_PENALTY.mul_f64(refusals);
        cost += FAILURE_PENALTY.mul_f64(stats.failure_share(now));
        if stats.is_down(now) {
            cost += DOWN_PENALTY;
        }
        if upstream.availability == Availability::LastResort {
            cost += LAST_RESORT_PENALTY;
        }
        cost
    }

    fn is_stuck(&self, now: Instant, stats: &UpstreamStats) -> bool {
        let latency = stats.median_latency(now).unwrap_or(DEFAULT_LATENCY);
        stats.oldest_in_flight(now) > MIN_STUCK_AGE.max(latency * STUCK_FACTOR)
    }

    /// Records an ordinary request to `pool`, which adds to its budget for second attempts.
    pub fn record_request(&mut self, now: Instant, pool: &id::Pool) {
        self.pool_mut(now, pool).budget.record_request(now);
    }

    /// Takes a second attempt to `pool` out of the budget. Returns whether the budget allowed it.
    pub fn try_spend_second_attempt(&mut self, now: Instant, pool: &id::Pool) -> bool {
        let nodes = self.node_count;
        self.pool_mut(now, pool).budget.try_spend(now, nodes)
    }

    /// Returns the share of the budget for second attempts to `pool` that is not spent, from 0
    /// to 1.
    pub fn remaining_budget_share(&mut self, now: Instant, pool: &id::Pool) -> f64 {
        let nodes = self.node_count;
        self.pool_mut(now, pool).budget.remaining_share(now, nodes)
    }

    /// Records a request of `class` to `pool` among several pools. Returns whether the pool is
    /// expected to serve it, given its random number `draw` from 0 to 1.
    pub fn admits(&mut self, now: Instant, pool: &id::Pool, class: &Class, draw: f64) -> bool {
        let triage = &mut self.pool_mut(now, pool).triage;
        triage.record_demand(now, class);
        draw < triage.admitted_share(now, class)
    }

    /// Returns whether `pool` is short of capacity.
    pub fn is_short(&self, pool: &id::Pool) -> bool {
        self.pools.get(pool).is_some_and(|p| p.triage.is_short())
    }

    /// Returns the pools that are short of capacity, with the work that this node is asked for.
    pub fn short_pools(&self, now: Instant) -> impl Iterator<Item = (&id::Pool, Load)> {
        let short = self.pools.iter().filter(|(_, p)| p.triage.is_short());
        short.map(move |(name, pool)| (name, pool.triage.load(now)))
    }

    /// Returns whether `pool` has an upstream that is not in `tried` and has no attempt of this node
    /// in flight.
    pub fn has_idle_untried(&self, pool: &id::Pool, tried: &[UpstreamHandle]) -> bool {
        let idle = |handle: &UpstreamHandle| {
            let upstream = self.upstreams.get(handle);
            !tried.contains(handle) && upstream.is_some_and(|u| u.stats.in_flight() == 0)
        };
        self.pools.get(pool).is_some_and(|p| p.handles.iter().any(idle))
    }

    /// Sets whether replies may be missing because this node is cut off from the upstreams. Such
    /// replies do not count as a shortage.
    pub fn set_may_be_cut_off(&mut self, may_be: bool) {
        self.may_be_cut_off = may_be;
    }

    /// Forgets which pools are short of capacity: this node was cut off from the upstreams, so that
    /// missing replies have shown no shortage.
    pub fn forget_shortages(&mut self, now: Instant) {
        self.pools.values_mut().for_each(|p| p.triage.forget_shortage(now));
    }

    /// Records the result of a request of `class` among several pools at `pool`.
    pub fn record_sample(&mut self, now: Instant, pool: &id::Pool, class: &Class, sample: Sample) {
        if self.may_be_cut_off && sample == Sample::Missed {
            return;
        }
        self.pool_mut(now, pool).triage.record(now, class, sample);
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: Instant, handle: UpstreamHandle) {
        if let Some(upstream) = self.upstreams.get_mut(&handle) {
            let observed = observed_delay(now, upstream);
            upstream.stats.load_mut().record_sent(now, observed);
            upstream.stats.record_sent(now);
        }
    }

    /// Records the load that a reply of an upstream reports. Returns whether its reports are believed
    /// if that has changed.
    pub fn record_load(
        &mut self,
        now: Instant,
        handle: UpstreamHandle,
        report: load::Report,
    ) -> Option<bool> {
        self.upstreams.get_mut(&handle)?.stats.load_mut().record_report(now, report)
    }

    /// Records how an attempt that was sent at `sent` ended.
    pub fn record_end(
        &mut self,
        now: Instant,
        handle: UpstreamHandle,
        sent: Instant,
        end: AttemptEnd,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(&handle) {
            upstream.stats.record_end(now, sent, end);
        }
    }

    /// Returns all usable upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamHandle, &Upstream)> {
        self.upstreams.iter().map(|(handle, upstream)| (*handle, upstream))
    }

    /// Returns the number of usable upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether there are no usable upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}
