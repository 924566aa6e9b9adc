//! Limits that upstreams state on the requests from all nodes together: what this node knows of
//! them, and its part of each.

use std::time::{Duration, Instant};

use base::{
    hash::{FastMap, FastSet},
    id,
    unit::Rate,
};
use rand::{Rng, RngCore};

use super::{Pools, Upstream, UpstreamHandle, pool_key, process_key};
use crate::relay::{
    demand::{Exchange, Key, Kind, LimitReport, MAX_ITEMS},
    limiter::Limiter,
    notice::Limit,
};

/// Time for which peers are told that a limit has ended.
const END_RETENTION: Duration = Duration::from_secs(30);
/// Least rate of urgent requests for which others wait, in requests per second.
const MIN_URGENT_RATE: f64 = 0.05;
/// Longest time to return for callers that compete for permits, besides that to the next permit.
const MAX_COMPETITION_DELAY: Duration = Duration::from_secs(2);

/// What the parts of this node follow from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Basis {
    /// Limits of which the part is proportional to the demand.
    pub by_demand: usize,
    /// Limits of which the part is equal for all nodes, as the demand of the others is not known.
    pub equal: usize,
}

/// A limit that this node has learned of from a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct Learned {
    /// The upstream.
    pub instance: id::Instance,
    /// Its limit; `None` if that has ended.
    pub limit: Option<Rate>,
}

impl Pools {
    /// Records a request to `pool` of a route with `rank`, whether or not it can be served.
    pub fn record_demand(&mut self, now: Instant, pool: &id::Pool, rank: u32) {
        self.pool_mut(now, pool).demand.record(now, rank);
    }

    /// Returns whether requests for `pool` that are more urgent than those of `rank` come to this
    /// node.
    pub fn has_more_urgent(&self, now: Instant, pool: &id::Pool, rank: u32) -> bool {
        self.pools.get(pool).is_some_and(|p| p.demand.before(now, rank) >= MIN_URGENT_RATE)
    }

    /// Returns the time in which the permits of `pool` serve the requests that compete for one of
    /// them; zero if not all its upstreams state limits.
    pub(super) fn competition_delay(&self, now: Instant, pool: &id::Pool) -> Duration {
        let Some(capacity) = self.limited_capacity(now, pool).filter(|c| *c > 0.0) else {
            return Duration::ZERO;
        };
        let waiting = (self.demand_for(now, pool) / capacity - 1.0).max(0.0);
        let delay = Duration::try_from_secs_f64(waiting / capacity);
        delay.unwrap_or(MAX_COMPETITION_DELAY).min(MAX_COMPETITION_DELAY)
    }

    /// Returns the requests per second that this node may send to `pool`; `None` if no limit applies
    /// to one of its upstreams, or it has none.
    fn limited_capacity(&self, now: Instant, pool: &id::Pool) -> Option<f64> {
        let handles = self.pools.get(pool)?.handles.iter();
        let upstreams = handles.filter_map(|handle| self.upstreams.get(handle));
        let parts =
            upstreams.filter(|u| !u.stats.is_replaced() && !self.is_evacuated(&u.entry.domain));
        let parts: Vec<f64> = parts.map(|u| u.stats.part(now)).collect::<Option<_>>()?;
        (!parts.is_empty()).then(|| parts.iter().sum())
    }

    /// Updates this node's parts of the limits that upstreams state. To be called several times a
    /// second.
    pub fn update_limiters(&mut self, now: Instant) -> Basis {
        self.forget_ended(now);
        let mut demand: FastMap<Key, f64> = self
            .limited()
            .filter(|u| u.stats.limiter().is_some())
            .map(|u| (pool_key(&u.entry.pool), self.demand_for(now, &u.entry.pool)))
            .collect();
        if self.averages.is_epoch_due(now, self.fleet_size) {
            // Averaged also while none of their upstreams is cold: coldness may last for less than
            // two epochs.
            let pools = self.coldness.limits.keys().filter(|p| self.pools.contains_key(*p));
            demand.extend(pools.map(|pool| (pool_key(pool), self.demand_for(now, pool))));
        }
        self.averages.update(now, self.fleet_size, &demand);
        self.update_cold_limiters(now);
        let age = now.saturating_duration_since(self.process_start);
        let mut basis = Basis::default();
        for handle in &self.limited {
            let Some(upstream) = self.upstreams.get_mut(handle) else { continue };
            let Some(limiter) = upstream.stats.limiter_mut() else { continue };
            let share = self.averages.share(now, pool_key(&upstream.entry.pool), self.fleet_size);
            let part = match share {
                Some(share) => limiter.bound().shared_part(limiter.limit(), share),
                None => limiter.bound().equal_part(limiter.limit(), self.node_count, age),
            };
            limiter.set_part(now, part);
            *(if share.is_some() { &mut basis.by_demand } else { &mut basis.equal }) += 1;
        }
        basis
    }

    /// Records what a reply of an upstream says of its limit. `phase` is random, from 0 to 1. Returns
    /// whether the limit has changed.
    pub fn record_limit(
        &mut self,
        now: Instant,
        handle: UpstreamHandle,
        limit: Limit,
        phase: f64,
    ) -> bool {
        match limit {
            Limit::Malformed => false,
            Limit::None => self.set_limit(now, handle, None, now, phase),
            Limit::Rate(rate) => self.set_limit(now, handle, Some(rate), now, phase),
        }
    }

    /// Sets the limit that an upstream stated at `heard_at`. Returns whether it has changed.
    fn set_limit(
        &mut self,
        now: Instant,
        handle: UpstreamHandle,
        limit: Option<Rate>,
        heard_at: Instant,
        phase: f64,
    ) -> bool {
        let age = now.saturating_duration_since(self.process_start);
        let Some(upstream) = self.upstreams.get_mut(&handle) else { return false };
        let stats = &mut upstream.stats;
        let never_limited = limit.is_none() && stats.limit_heard_at().is_none();
        if never_limited || stats.limit_heard_at().is_some_and(|known| known >= heard_at) {
            return false;
        }
        let before = stats.limiter().map(Limiter::limit);
        let limiter = match (stats.limiter().cloned(), limit) {
            (_, None) => None,
            (Some(mut limiter), Some(rate)) => {
                if limiter.limit() != rate {
                    limiter.set_limit(now, rate);
                }
                Some(limiter)
            }
            (None, Some(rate)) => {
                let mut limiter = Limiter::new(now, rate, phase);
                limiter.set_part(now, limiter.bound().equal_part(rate, self.node_count, age));
                Some(limiter)
            }
        };
        stats.set_limiter(Some(heard_at), limiter);
        self.limited.insert(handle);
        before != limit
    }

    /// Returns a request to send to a random peer if it is time for one.
    pub fn exchange(
        &mut self,
        now: Instant,
        from: id::Node,
        rng: &mut dyn RngCore,
    ) -> Option<Exchange> {
        if !self.averages.is_round_due(now, rng) {
            return None;
        }
        let demand = self.averages.estimates();
        Some(self.message(now, from, Kind::Request, demand, rng))
    }

    /// Learns from a peer's message. Returns the reply to it, if it is a request, and the limits that
    /// were new.
    pub fn receive_exchange(
        &mut self,
        now: Instant,
        from: id::Node,
        message: &Exchange,
        rng: &mut dyn RngCore,
    ) -> (Option<Exchange>, Vec<Learned>) {
        let learned = self.learn_limits(now, &message.limits, rng);
        let mut known: FastSet<Key> = message.demand.iter().map(|(key, _)| *key).collect();
        let limited = self.limited().filter(|u| u.stats.limiter().is_some());
        known.extend(limited.map(|u| pool_key(&u.entry.pool)));
        let (pools, keys, cold) = (&self.pools, &self.pool_keys, &self.coldness.limits);
        let demand = |key: Key| {
            let name = keys.get(&key)?;
            let is_averaged = known.contains(&key) || cold.contains_key(name);
            is_averaged.then(|| pools.get(name).map_or(0.0, |p| p.demand.total(now)))
        };
        match message.kind {
            Kind::Request => {
                let changes = self.averages.receive_request(now, message, demand);
                (Some(self.message(now, from, Kind::Reply, changes, rng)), learned)
            }
            Kind::Reply => {
                self.averages.receive_reply(now, message, demand);
                (None, learned)
            }
        }
    }

    fn learn_limits(
        &mut self,
        now: Instant,
        reports: &[LimitReport],
        rng: &mut dyn RngCore,
    ) -> Vec<Learned> {
        let mut learned = Vec::new();
        for LimitReport { process, per_second, age_ms } in reports {
            let Some(handle) = self.process_keys.get(process).copied() else { continue };
            let age = Duration::from_millis(u64::from(*age_ms));
            let Some(heard_at) = now.checked_sub(age) else { continue };
            if per_second.is_some_and(|rate| !rate.is_finite()) {
                continue;
            }
            let limit = per_second.map(Rate::new);
            if self.set_limit(now, handle, limit, heard_at, rng.random())
                && let Some(upstream) = self.upstreams.get(&handle)
            {
                learned.push(Learned { instance: upstream.entry.instance.clone(), limit });
            }
        }
        learned
    }

    fn message(
        &self,
        now: Instant,
        from: id::Node,
        kind: Kind,
        demand: Vec<(Key, f32)>,
        rng: &mut dyn RngCore,
    ) -> Exchange {
        let nodes = u32::try_from(self.fleet_size).unwrap_or(u32::MAX);
        let limits = self.limit_reports(now, rng);
        Exchange { from, kind, epoch: self.averages.epoch(), nodes, demand, limits }
    }

    /// Returns what this node knows of limits; a random part of it if a message cannot hold it all.
    fn limit_reports(&self, now: Instant, rng: &mut dyn RngCore) -> Vec<LimitReport> {
        let report = |upstream: &Upstream| {
            let age = now.saturating_duration_since(upstream.stats.limit_heard_at()?);
            Some(LimitReport {
                process: process_key(&upstream.entry),
                per_second: upstream.stats.limiter().map(|l| l.limit().per_second()),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        };
        let mut reports: Vec<LimitReport> = self.limited().filter_map(report).collect();
        while reports.len() > MAX_ITEMS {
            reports.swap_remove(rng.random_range(0..reports.len()));
        }
        reports
    }

    /// Upstreams that state a limit, or whose limit has ended lately.
    fn limited(&self) -> impl Iterator<Item = &Upstream> {
        self.limited.iter().filter_map(|handle| self.upstreams.get(handle))
    }

    /// Forgets limits of which peers need not be told any more that they have ended.
    fn forget_ended(&mut self, now: Instant) {
        let upstreams = &self.upstreams;
        self.limited.retain(|handle| {
            let Some(stats) = upstreams.get(handle).map(|u| &u.stats) else { return false };
            let heard_at = stats.limit_heard_at();
            let age = heard_at.map_or(END_RETENTION, |at| now.saturating_duration_since(at));
            stats.limiter().is_some() || age < END_RETENTION
        });
    }

    fn demand_for(&self, now: Instant, pool: &id::Pool) -> f64 {
        self.pools.get(pool).map_or(0.0, |p| p.demand.total(now))
    }
}
