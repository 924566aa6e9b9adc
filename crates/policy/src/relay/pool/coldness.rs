//! Cold upstreams: what this node knows of them, and its part of the requests to each.

use std::time::Instant;

use base::{
    hash::{self, FastMap, FastSet},
    id,
};
use smol_str::SmolStr;

use super::{Pools, UpstreamHandle, pool_key, process_key};
use crate::relay::{
    cold::{Change, Limit, Source, Statement},
    limiter::{Attempt, Limiter},
    registry::Entry,
};

/// Largest number of changes that are kept until they are taken; others are only counted by the
/// upstreams that are cold.
const MAX_CHANGES: usize = 256;

impl Pools {
    /// Sets the limits on the requests to cold upstreams, by pool. Those of zero are none.
    pub fn set_cold_limits(&mut self, now: Instant, limits: &FastMap<id::Pool, Limit>) {
        let limits = limits.iter().filter(|(_, limit)| limit.per_second.per_second() > 0.0);
        let limits = limits.map(|(pool, limit)| (pool.clone(), *limit)).collect();
        if self.coldness.limits == limits {
            return;
        }
        self.coldness.limits = limits;
        for upstream in self.upstreams.values_mut() {
            if self.coldness.limits.contains_key(&upstream.entry.pool) {
                upstream.stats.cold_mut().drop_absurd();
            }
        }
        let handles: Vec<UpstreamHandle> = self.upstreams.keys().copied().collect();
        handles.into_iter().for_each(|handle| self.refresh_coldness(now, handle));
    }

    /// Returns the number of cold upstreams in pools that bound the requests to them.
    pub fn cold_len(&self) -> usize {
        self.coldness.upstreams.len()
    }

    /// Returns the number of attempts withheld since the last call as upstreams were cold.
    pub fn take_cold_withheld(&mut self) -> u64 {
        std::mem::take(&mut self.coldness.withheld)
    }

    /// Returns the changes of belief since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.coldness.changes)
    }

    /// Records what a reply says of the coldness of its upstream. Returns whether it is the first
    /// malformed statement of the process.
    pub fn record_cold(
        &mut self,
        now: Instant,
        handle: UpstreamHandle,
        statement: Statement,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(&handle) else { return false };
        if !self.coldness.limits.contains_key(&upstream.entry.pool) {
            return false;
        }
        match statement {
            Statement::None => return false,
            Statement::Malformed => return upstream.stats.record_malformed_cold(),
            Statement::Left(left) => upstream.stats.cold_mut().record_reply(now, left),
        }
        self.refresh_coldness(now, handle);
        false
    }

    /// Records that a connection to the process of `entry` has failed: the process may have been
    /// replaced by one that is cold.
    pub fn record_connection_failure(&mut self, now: Instant, entry: &Entry) {
        let Some(handle) = self.process_keys.get(&process_key(entry)).copied() else { return };
        self.presume_cold(now, handle, Source::Failure);
    }

    /// Records that an attempt to `pool` is not sent, if that is so because upstreams are cold.
    pub fn record_withheld(&mut self, now: Instant, pool: &id::Pool, attempt: Attempt) {
        let Some(known) = self.pools.get(pool) else { return };
        let mut upstreams = known.handles.iter().filter_map(|handle| self.upstreams.get(handle));
        let is_withheld = upstreams.any(|u| {
            !self.is_evacuated(&u.entry.domain) && u.stats.is_withheld_as_cold(now, attempt)
        });
        self.coldness.withheld += u64::from(is_withheld);
    }

    /// Applies the registry entries of the upstreams `rewritten`, and presumes that those in the
    /// failure domains `released`, which are no longer evacuated, are cold.
    pub(super) fn sync_coldness(
        &mut self,
        now: Instant,
        rewritten: &[UpstreamHandle],
        released: &FastSet<SmolStr>,
    ) {
        if self.coldness.limits.is_empty() {
            return;
        }
        for handle in rewritten {
            let Some(upstream) = self.upstreams.get_mut(handle) else { continue };
            if self.coldness.limits.contains_key(&upstream.entry.pool) {
                upstream.stats.cold_mut().record_entry(now, upstream.entry.cold);
                self.refresh_coldness(now, *handle);
            }
        }
        if !released.is_empty() {
            let returned =
                self.upstreams.iter().filter(|(_, u)| released.contains(&u.entry.domain));
            let returned: Vec<UpstreamHandle> = returned.map(|(handle, _)| *handle).collect();
            returned.into_iter().for_each(|h| self.presume_cold(now, h, Source::Return));
        }
        let upstreams = &self.upstreams;
        self.coldness.upstreams.retain(|handle| upstreams.contains_key(handle));
    }

    fn presume_cold(&mut self, now: Instant, handle: UpstreamHandle, source: Source) {
        let Some(upstream) = self.upstreams.get_mut(&handle) else { return };
        let Some(limit) = self.coldness.limits.get(&upstream.entry.pool) else { return };
        upstream.stats.cold_mut().presume(now, limit.time, source);
        self.refresh_coldness(now, handle);
    }

    /// Updates this node's parts of the limits of cold upstreams.
    pub(super) fn update_cold_limiters(&mut self, now: Instant) {
        let handles: Vec<UpstreamHandle> = self.coldness.upstreams.iter().copied().collect();
        handles.into_iter().for_each(|handle| self.refresh_coldness(now, handle));
    }

    /// Creates, updates or removes the limiter of a cold upstream.
    fn refresh_coldness(&mut self, now: Instant, handle: UpstreamHandle) {
        let phase = self.phase(handle);
        let age = now.saturating_duration_since(self.process_start);
        let Some(upstream) = self.upstreams.get_mut(&handle) else { return };
        let pool = &upstream.entry.pool;
        let limit = self.coldness.limits.get(pool);
        let cold = limit.and_then(|limit| Some((limit, upstream.stats.cold().until(now)?)));
        let limiter = upstream.stats.cold_limiter_mut();
        let change = match cold {
            None => {
                self.coldness.upstreams.remove(&handle);
                limiter.take().map(|_| None)
            }
            Some((limit, (until, source))) => {
                self.coldness.upstreams.insert(handle);
                let bound = self.coldness.bound;
                let is_new = limiter.is_none();
                let limiter = limiter.get_or_insert_with(|| {
                    Limiter::new(now, limit.per_second, phase).with_bound(bound)
                });
                if limiter.limit() != limit.per_second {
                    limiter.set_limit(now, limit.per_second);
                }
                let share = self.averages.share(now, pool_key(pool), self.fleet_size);
                let part = match share {
                    Some(share) => bound.shared_part(limit.per_second, share),
                    None => bound.equal_part(limit.per_second, self.node_count, age),
                };
                limiter.set_part(now, part);
                is_new.then(|| Some((until.saturating_duration_since(now), source)))
            }
        };
        if let Some(cold) = change.filter(|_| self.coldness.changes.len() < MAX_CHANGES) {
            let instance = upstream.entry.instance.clone();
            self.coldness.changes.push(Change { instance, cold });
        }
    }

    /// Returns the phase of this node's permits for an upstream, from 0 to 1. Permits for the
    /// upstreams of a pool are spread; those of several pools come together if their parts are
    /// equal, as a search needs one of each at the same time.
    fn phase(&self, handle: UpstreamHandle) -> f64 {
        let own = hash::stable(&[&self.coldness.seed.to_be_bytes()]) as f64 / u64::MAX as f64;
        let pool = self.upstreams.get(&handle).and_then(|u| self.pools.get(&u.entry.pool));
        let handles = pool.map_or(&[][..], |p| &p.handles);
        let rank = handles.binary_search(&handle).unwrap_or(0);
        (own + rank as f64 / handles.len().max(1) as f64).fract()
    }
}
