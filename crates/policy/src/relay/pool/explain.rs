//! Explains which upstream of a pool an attempt would go to.

use std::time::Instant;

use base::id;

use super::{DEFAULT_LATENCY, Pools};
use crate::relay::{
    explain::{Candidate, PoolShare, Reason},
    limiter::Attempt,
    registry::Availability,
    triage::Class,
    upstream::Upstream,
};

impl Pools {
    /// Returns the upstreams of `pool` in the order in which `attempt` would be sent to them, those
    /// that get none last, and the share of requests of `class` that the pool admits. Changes no
    /// decision.
    pub fn explain(
        &mut self,
        now: Instant,
        pool: &id::Pool,
        class: &Class,
        attempt: Attempt,
    ) -> PoolShare {
        let share = self.pools.get_mut(pool).map_or(1.0, |p| p.triage.admitted_share(now, class));
        let handles = self.pools.get(pool).map_or(&[][..], |p| &p.handles);
        let upstreams = handles.iter().filter_map(|handle| self.upstreams.get(handle));
        let mut candidates: Vec<Candidate> =
            upstreams.map(|u| self.candidate(now, u, attempt)).collect();
        candidates.sort_by(|a, b| {
            b.is_usable.cmp(&a.is_usable).then_with(|| a.cost_ms.total_cmp(&b.cost_ms))
        });
        PoolShare { pool: pool.clone(), admitted_share: share, upstreams: candidates }
    }

    fn candidate(&self, now: Instant, upstream: &Upstream, attempt: Attempt) -> Candidate {
        let Upstream { entry, availability, stats } = upstream;
        let ms_until =
            |at: Option<Instant>| at.map(|at| at.saturating_duration_since(now).as_millis() as u64);
        let mut reasons = Vec::new();
        if self.is_evacuated(&entry.domain) {
            reasons.push(Reason::Evacuated);
        }
        if stats.is_replaced() {
            reasons.push(Reason::Replaced);
        }
        if !stats.rest().allows(now, stats.in_flight()) {
            reasons.push(Reason::Rests { left_ms: ms_until(stats.rest().end(now)) });
        }
        if let Some(limiter) = stats.limiter() {
            let left_ms = ms_until(limiter.allows_at(now, attempt));
            let (limit, part) = (limiter.limit().per_second(), limiter.part().per_second());
            let is_spent = !limiter.allows(now, attempt);
            reasons.push(Reason::Limit { limit, part, is_spent, left_ms });
        }
        if stats.is_down(now) && !stats.is_replaced() {
            reasons.push(Reason::Down);
        }
        if *availability == Availability::LastResort {
            reasons.push(Reason::LastResort);
        }
        let refused = if stats.is_shedding(now) { 1.0 } else { stats.refusal_share(now) };
        if refused > 0.0 {
            reasons.push(Reason::Sheds { share: refused });
        }
        let failed = stats.failure_share(now);
        if failed > 0.0 {
            reasons.push(Reason::Fails { share: failed });
        }
        if self.is_stuck(now, stats) {
            let oldest_ms = stats.oldest_in_flight(now).as_millis() as u64;
            reasons.push(Reason::Stuck { oldest_ms });
        }
        if stats.is_cold(now) {
            reasons.push(Reason::Cold);
        }
        if entry.domain != self.domain {
            reasons.push(Reason::OtherDomain);
        }
        let latency = stats.median_latency(now);
        Candidate {
            upstream: entry.instance.clone(),
            address: entry.address.0,
            domain: entry.domain.clone(),
            is_usable: self.may_get(now, upstream, attempt),
            cost_ms: self.cost(now, upstream).as_secs_f64() * 1e3,
            latency_ms: latency.unwrap_or(DEFAULT_LATENCY).as_secs_f64() * 1e3,
            has_replied: latency.is_some(),
            in_flight: stats.in_flight(),
            slots: entry.slots,
            reasons,
        }
    }
}
