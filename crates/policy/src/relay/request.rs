//! State machine of one relayed request: when to send which attempt, and when to answer.
//!
//! Upstreams may pause or fall silent for longer than the goal of a request. A second attempt is
//! therefore sent while the goal can still be met. If the route allows it, an answer that lacks
//! a few pools is sent by the goal instead of a complete answer after it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::id;
use rand::RngCore;
use smol_str::SmolStr;

use super::{
    limiter::Attempt,
    pool::{Choice, Pools, UpstreamHandle},
    triage::{Class, Sample},
    upstream::AttemptEnd,
};
use crate::outcome::{Fate, Reason};

/// Share of the goal after which a second attempt is sent. In the queue model of
/// docs/design/platform.md, results hardly differ between 0.3 and 0.6.
const SECOND_ATTEMPT_SHARE: f64 = 0.3;
/// Share of the goal after which a second attempt is sent if the budget for second attempts is
/// spent, so that what is left goes to the slowest requests. Interpolated in between.
const SECOND_ATTEMPT_SHARE_SPENT: f64 = 0.6;
/// Share of the goal after which a second attempt is sent if the first upstream was already
/// stuck when it was chosen.
const SECOND_ATTEMPT_SHARE_STUCK: f64 = 0.1;
/// Share of the goal reserved for the network to and from the caller and for this node's own
/// work.
const GOAL_MARGIN_SHARE: f64 = 0.08;
/// Least time reserved for the same purpose: the round trip takes up to 6 ms in the known
/// deployments, and writing an answer takes a few milliseconds on a tenth of a core.
const MIN_GOAL_MARGIN: Duration = Duration::from_millis(10);
/// Time reserved before the deadline, so that the last answer still reaches the caller. Attempts
/// to several pools remain useful for the same time after the partial answer time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(8);
/// Longest time on the network of a reply that left its upstream by the goal: several times the
/// longest trip in the known deployments.
const MAX_REPLY_TRAVEL: Duration = Duration::from_millis(25);
/// Number of lost attempts, while no upstream has replied, from which on second attempts wait: the
/// request may be crashing its upstreams.
const MAX_LOST_WITHOUT_REPLY: usize = 3;
/// Time for which second attempts then wait: as long as it takes to check the upstreams.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(75);
/// Time after which a second attempt that the budget denied is tried again.
const BUDGET_POLL: Duration = Duration::from_millis(10);

/// Fixed parameters of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Name of its route.
    pub route: SmolStr,
    /// Pools of which one upstream each is asked.
    pub pools: Vec<id::Pool>,
    /// For each pool, the number of connections that each of its upstreams accepts from all
    /// nodes together.
    pub connection_limits: Vec<usize>,
    /// Least number of pools that must reply for an answer.
    pub min_replies: usize,
    /// Most attempts to one pool, each at another upstream.
    pub max_attempts: usize,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Rank of its route; 0 is served first.
    pub rank: u32,
    /// Target latency, counted from `arrived`; a later answer is worth much less.
    pub goal: Duration,
    /// When the request arrived at this node.
    pub arrived: Instant,
    /// Time from which an answer is of no use.
    pub deadline: Instant,
}

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It is the first attempt to its pool.
    First,
    /// The first attempt is slow; this one is a hedge.
    Slow,
    /// The previous attempt ended without a usable reply; this one is a retry.
    Ended(AttemptEnd),
}

impl Cause {
    /// Returns whether the previous attempt may have crashed its upstream.
    pub fn is_after_loss(self) -> bool {
        matches!(self, Cause::Ended(AttemptEnd::ConnectionLost | AttemptEnd::BadReply))
    }
}

/// An attempt to send now.
#[derive(Debug, Clone)]
pub struct PlannedAttempt {
    /// Index of the pool in the plan.
    pub pool_index: usize,
    /// Upstream to send it to.
    pub choice: Choice,
    /// Why it is sent.
    pub cause: Cause,
}

/// Final result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// All pools have replied.
    Complete,
    /// Enough pools have replied; the answer lacks the others.
    Partial,
    /// Too few pools have replied for an answer.
    Failed {
        /// Whether the request ran, as far as this node knows.
        fate: Fate,
        /// Why it failed.
        reason: Reason,
    },
}

/// State of a request at one pool.
#[derive(Debug, Default)]
struct PoolState {
    /// Upstreams to which attempts were sent, as handles and as ids.
    tried: Vec<UpstreamHandle>,
    tried_ids: Vec<id::Instance>,
    /// When the first attempt was sent.
    sent_at: Option<Instant>,
    /// Whether its reply has been recorded for triage.
    sampled: bool,
    in_flight: usize,
    replied: bool,
    /// Combined fate of the attempts that have ended.
    fate: Option<Fate>,
    last_end: Option<AttemptEnd>,
    /// When to send a second attempt if the first is still in flight.
    second_attempt_at: Option<Instant>,
    /// No further attempt is possible.
    exhausted: bool,
    /// The pool is short of capacity and not expected to serve this request.
    short: bool,
    /// All its upstreams have asked for no requests for a time.
    resting: bool,
    /// More urgent requests are to be served first.
    yields: bool,
}

impl PoolState {
    /// Returns which permits the next attempt may use.
    fn next_attempt(&self) -> Attempt {
        let yields = self.yields || !self.tried.is_empty();
        if yields { Attempt::Yielding } else { Attempt::First }
    }
}

/// State of one request.
#[derive(Debug)]
pub struct RequestState {
    plan: Plan,
    /// Class of the request for triage.
    class: Class,
    /// State at each pool of the plan, in the same order.
    pools: Vec<PoolState>,
    /// Number of pools that have replied.
    replied: usize,
    /// Number of pools that cannot get another attempt and have none in flight.
    exhausted: usize,
    /// Number of times that the budget denied a second attempt.
    denied: usize,
    /// Number of attempts after which the upstream may have crashed.
    lost: usize,
    /// When second attempts may be sent again, once they have had to wait.
    hold_until: Option<Instant>,
    /// Whether no second attempt may be sent any more.
    stopped: bool,
    /// Whether admission control refused the request.
    refused: bool,
    /// Whether too few pools had an upstream for an answer, so that nothing was sent.
    hopeless: bool,
    /// Regions whose upstreams may get the request; all if empty.
    home_regions: Arc<[id::Region]>,
}

impl RequestState {
    /// Creates the state of a request of which nothing has been sent.
    pub fn new(plan: Plan) -> RequestState {
        let pools = plan.pools.iter().map(|_| PoolState::default()).collect();
        let class = Class { route: plan.route.clone(), rank: plan.rank, goal: plan.goal };
        RequestState {
            plan,
            class,
            pools,
            replied: 0,
            exhausted: 0,
            denied: 0,
            lost: 0,
            hold_until: None,
            stopped: false,
            refused: false,
            hopeless: false,
            home_regions: Arc::default(),
        }
    }

    /// Sets the regions whose upstreams may get the request; all if empty.
    pub fn with_home_regions(mut self, regions: Arc<[id::Region]>) -> RequestState {
        self.home_regions = regions;
        self
    }

    /// Decides whether to admit the request, given its random number `draw` from 0 to 1. If
    /// not, the request must be refused and nothing sent: too few pools are expected to serve
    /// it.
    pub fn admit(&mut self, now: Instant, pools: &mut Pools, draw: f64) -> bool {
        let rank = self.plan.rank;
        for (state, pool) in self.pools.iter_mut().zip(&self.plan.pools) {
            pools.record_demand(now, pool, rank);
            state.yields = pools.has_more_urgent(now, pool, rank);
        }
        if self.pools.len() < 2 {
            return true;
        }
        for (state, pool) in self.pools.iter_mut().zip(&self.plan.pools) {
            state.short = !pools.admits(now, pool, &self.class, draw);
        }
        let short = self.pools.iter().filter(|p| p.short).count();
        let admitted = self.pools.len() - short >= self.plan.min_replies;
        self.refused = !admitted;
        admitted
    }

    /// Records the pools that got no reply in time, for triage. Must be called once the request has
    /// been answered or refused.
    pub fn record_samples(&mut self, now: Instant, pools: &mut Pools) {
        self.record_replies(now, pools);
        if self.pools.len() < 2 {
            return;
        }
        let late = now >= self.partial_answer_at();
        for (state, pool) in self.pools.iter().zip(&self.plan.pools) {
            // Upstreams that rest say themselves when they may be asked again. If nothing was sent, as
            // the pool had no upstream, that shows no lack of capacity, and requests would still be
            // refused once its upstreams are back. Other pools might have replied if the request had
            // not ended early.
            let is_missed = !state.replied && !state.resting && !state.tried.is_empty();
            if is_missed && (state.exhausted || late) {
                pools.record_sample(now, pool, &self.class, Sample::Missed);
            }
        }
    }

    /// Records replies that have arrived since the last call, for triage.
    fn record_replies(&mut self, now: Instant, pools: &mut Pools) {
        if self.pools.len() < 2 {
            return;
        }
        for (state, pool) in self.pools.iter_mut().zip(&self.plan.pools) {
            if state.replied && !state.sampled {
                state.sampled = true;
                let sent_at = state.sent_at.unwrap_or(now);
                let sample = Sample::Reply(now.saturating_duration_since(sent_at));
                pools.record_sample(now, pool, &self.class, sample);
            }
        }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the number of pools that have replied.
    pub fn replied(&self) -> usize {
        self.replied
    }

    /// Returns how many times the budget denied a second attempt.
    pub fn denied(&self) -> usize {
        self.denied
    }

    /// Returns the number of attempts sent.
    pub fn attempts_sent(&self) -> usize {
        self.pools.iter().map(|p| p.tried.len()).sum()
    }

    /// Returns whether every upstream that was sent the request has survived it, as far as this
    /// node knows. A pool without a reply may not have run it.
    pub fn survived(&self) -> bool {
        self.lost == 0 && self.pools.iter().all(|p| p.in_flight == 0)
    }

    /// Returns the pools that have replied.
    pub fn replied_pools(&self) -> impl Iterator<Item = &id::Pool> {
        let replied = self.pools.iter().zip(&self.plan.pools).filter(|(p, _)| p.replied);
        replied.map(|(_, pool)| pool)
    }

    /// Returns the pools that have not replied, each with the upstreams that were tried.
    pub fn missing(&self) -> impl Iterator<Item = (&id::Pool, &[id::Instance])> {
        let missing = self.pools.iter().zip(&self.plan.pools).filter(|(p, _)| !p.replied);
        missing.map(|(state, pool)| (pool, state.tried_ids.as_slice()))
    }

    /// Returns the pools that are short of capacity and not expected to serve this request.
    pub fn short_pools(&self) -> impl Iterator<Item = &id::Pool> {
        let pools = self.pools.iter().zip(&self.plan.pools);
        pools.filter(|(state, _)| state.short).map(|(_, pool)| pool)
    }

    /// Returns whether the pool at `pool_index` has not replied yet.
    pub fn needs_reply(&self, pool_index: usize) -> bool {
        !self.pools[pool_index].replied
    }

    /// Returns the attempts to send now, and counts them as sent.
    pub fn due_attempts(
        &mut self,
        now: Instant,
        pools: &mut Pools,
        rng: &mut dyn RngCore,
    ) -> Vec<PlannedAttempt> {
        self.record_replies(now, pools);
        if self.lost >= MAX_LOST_WITHOUT_REPLY && self.replied == 0 {
            self.hold_until.get_or_insert(now + CRASH_CHECK_TIME);
        }
        let mut due = Vec::new();
        if self.attempts_sent() == 0 && !self.hopeless {
            self.find_pools_without_upstream(now, pools);
        }
        if self.hopeless {
            return due;
        }
        for pool_index in 0..self.pools.len() {
            if let Some(attempt) = self.due_attempt(now, pool_index, pools, rng) {
                due.push(attempt);
            }
        }
        due
    }

    /// Marks the pools that have no upstream. If too few are left for an answer, the others must not
    /// run the request in vain.
    fn find_pools_without_upstream(&mut self, now: Instant, pools: &mut Pools) {
        for pool_index in 0..self.pools.len() {
            let pool = &self.plan.pools[pool_index];
            let attempt = self.pools[pool_index].next_attempt();
            let excluded = pools.excluded(pool, &[], &self.home_regions);
            let has_upstream = pools.has_untried(now, pool, &excluded, attempt);
            if has_upstream || self.pools[pool_index].exhausted {
                continue;
            }
            pools.record_withheld(now, pool, attempt);
            let rest_end = pools.rest_end_without(now, pool, attempt, &excluded);
            self.pools[pool_index].resting = rest_end.is_some();
            self.mark_exhausted(pool_index);
        }
        self.hopeless = self.pools.len() - self.exhausted < self.plan.min_replies;
    }

    fn due_attempt(
        &mut self,
        now: Instant,
        pool_index: usize,
        pools: &mut Pools,
        rng: &mut dyn RngCore,
    ) -> Option<PlannedAttempt> {
        let Plan { max_attempts, repeatable, goal, .. } = self.plan;
        let too_late = self.pools.len() > 1 && now >= self.partial_answer_at();
        let pool = &self.plan.pools[pool_index];
        let state = &mut self.pools[pool_index];
        if state.replied || state.exhausted {
            return None;
        }
        if too_late {
            if state.in_flight == 0 {
                self.mark_exhausted(pool_index);
            }
            return None;
        }
        let is_first = state.tried.is_empty();
        let idle = state.in_flight == 0;
        if !is_first && self.stopped {
            if idle {
                self.mark_exhausted(pool_index);
            } else {
                state.second_attempt_at = None;
            }
            return None;
        }
        if !idle {
            let hedge_due = state.second_attempt_at.is_some_and(|at| at <= now);
            if !hedge_due || !repeatable || state.tried.len() >= max_attempts {
                return None;
            }
            // A slow attempt to a short pool waits in a queue. Another one would only add to the
            // queues, unless an upstream that may get the request is idle.
            let excluded = || pools.excluded(pool, &state.tried, &self.home_regions);
            if pools.is_short(pool) && !pools.has_idle_untried(pool, &excluded()) {
                state.second_attempt_at = Some(now + BUDGET_POLL);
                return None;
            }
        }
        let may_run_again = repeatable || state.fate.is_none_or(|f| f == Fate::NotRun);
        if idle && (state.tried.len() >= max_attempts || !may_run_again) {
            self.mark_exhausted(pool_index);
            return None;
        }
        let attempt = state.next_attempt();
        let excluded = pools.excluded(pool, &state.tried, &self.home_regions);
        if !is_first && !pools.has_untried(now, pool, &excluded, attempt) {
            if idle {
                self.mark_exhausted(pool_index);
            } else {
                state.second_attempt_at = None;
            }
            return None;
        }
        if !is_first && self.hold_until.is_some_and(|until| now < until) {
            return None;
        }
        let connection_limit = self.plan.connection_limits[pool_index];
        let Some(choice) = pools.choose(now, pool, &excluded, attempt, connection_limit, rng)
        else {
            self.mark_exhausted(pool_index);
            return None;
        };
        if is_first {
            pools.record_request(now, pool);
        } else if !pools.try_spend_second_attempt(now, pool) {
            self.denied += 1;
            if idle {
                self.mark_exhausted(pool_index);
            } else {
                state.second_attempt_at = Some(now + BUDGET_POLL);
            }
            return None;
        }
        pools.record_sent(now, choice.handle);
        state.sent_at.get_or_insert(now);
        state.tried.push(choice.handle);
        state.tried_ids.push(choice.entry.instance.clone());
        state.in_flight += 1;
        let share = if choice.stuck { SECOND_ATTEMPT_SHARE_STUCK } else { SECOND_ATTEMPT_SHARE };
        let spent = 1.0 - pools.remaining_budget_share(now, pool);
        let share = share + (SECOND_ATTEMPT_SHARE_SPENT - share) * spent;
        state.second_attempt_at = is_first.then(|| now + goal.mul_f64(share));
        let cause = match (is_first, state.last_end.filter(|_| idle)) {
            (true, _) => Cause::First,
            (false, Some(end)) => Cause::Ended(end),
            (false, None) => Cause::Slow,
        };
        Some(PlannedAttempt { pool_index, choice, cause })
    }

    /// Stops second attempts. Replies to attempts in flight still count.
    pub fn stop_second_attempts(&mut self) {
        self.stopped = true;
    }

    fn mark_exhausted(&mut self, pool_index: usize) {
        self.pools[pool_index].exhausted = true;
        self.exhausted += 1;
    }

    /// Records how an attempt to the pool at `pool_index` ended. Returns whether its reply
    /// belongs in the answer: only the first successful reply of each pool does.
    pub fn record_end(&mut self, pool_index: usize, end: AttemptEnd) -> bool {
        let state = &mut self.pools[pool_index];
        state.in_flight -= 1;
        let fate = end.fate();
        state.fate = Some(state.fate.map_or(fate, |f| f.combine(fate)));
        state.last_end = Some(end);
        if matches!(end, AttemptEnd::ConnectionLost | AttemptEnd::BadReply | AttemptEnd::NoReply) {
            self.lost += 1;
        }
        let used = end == AttemptEnd::Reply { success: true } && !state.replied;
        if used {
            state.replied = true;
            self.replied += 1;
        }
        used
    }

    /// Returns the result of the request if it is to be answered now, otherwise `None`.
    pub fn completion(&self, now: Instant) -> Option<Completion> {
        let total = self.pools.len();
        let enough = self.replied >= self.plan.min_replies;
        if self.replied == total {
            return Some(Completion::Complete);
        }
        if total - self.exhausted < self.plan.min_replies {
            return Some(self.failed());
        }
        if self.replied + self.exhausted == total {
            return Some(Completion::Partial);
        }
        if enough && now >= self.partial_answer_at() {
            return Some(Completion::Partial);
        }
        if now >= self.ends_at() {
            return Some(self.end());
        }
        None
    }

    /// Returns the result of the request if it must be answered now.
    pub fn end(&self) -> Completion {
        match self.replied >= self.plan.min_replies {
            true => Completion::Partial,
            false => self.failed(),
        }
    }

    fn failed(&self) -> Completion {
        let fate = self.fate();
        let ends = || self.pools.iter().filter_map(|p| p.last_end);
        let reason = if self.exhausted == 0 {
            Reason::Deadline
        } else if self.pools.iter().any(|p| p.exhausted && p.tried.is_empty() && !p.resting) {
            Reason::Unreachable
        } else if self.pools.iter().any(|p| p.resting) {
            Reason::Overload
        } else if ends().any(|e| matches!(e, AttemptEnd::Reply { success: false })) {
            Reason::Failed
        } else if ends().any(|e| e == AttemptEnd::ConnectionLost) {
            Reason::Lost
        } else if ends().any(|e| e == AttemptEnd::BadReply) {
            Reason::BadReply
        } else if ends().any(|e| matches!(e, AttemptEnd::Refused | AttemptEnd::Withheld)) {
            Reason::Overload
        } else {
            Reason::Unreachable
        };
        Completion::Failed { fate, reason }
    }

    /// Returns when the pools that have not replied may be asked again, if upstreams have said so.
    pub fn rest_end(&self, now: Instant, pools: &Pools) -> Option<Instant> {
        let missing = self.pools.iter().zip(&self.plan.pools).filter(|(p, _)| !p.replied);
        let rest_end = |(state, pool): (&PoolState, &id::Pool)| {
            let attempt = if state.yields { Attempt::Yielding } else { Attempt::First };
            let excluded = pools.excluded(pool, &[], &self.home_regions);
            pools.rest_end_without(now, pool, attempt, &excluded)
        };
        missing.filter_map(rest_end).max()
    }

    /// Returns the combined fate of all attempts. An attempt in flight may have run.
    pub fn fate(&self) -> Fate {
        let of = |p: &PoolState| {
            let in_flight = if p.in_flight > 0 { Fate::MayHaveRun } else { Fate::NotRun };
            in_flight.combine(p.fate.unwrap_or(Fate::NotRun))
        };
        self.pools.iter().map(of).fold(Fate::NotRun, Fate::combine)
    }

    /// Returns the time from which a partial answer is better than waiting for more replies:
    /// the goal less the margin for the way back to the caller.
    fn partial_answer_at(&self) -> Instant {
        let margin = self.plan.goal.mul_f64(GOAL_MARGIN_SHARE).max(MIN_GOAL_MARGIN);
        self.plan.arrived + self.plan.goal.saturating_sub(margin)
    }

    /// Returns the deadline to send with an attempt.
    ///
    /// For several pools it lies close to the goal, so that an overloaded upstream drops work
    /// that cannot be answered in time. Otherwise everything in its first-come, first-served
    /// queue would be late, and nothing in time.
    pub fn attempt_deadline(&self) -> Instant {
        match self.pools.len() > 1 {
            true => self.plan.deadline.min(self.partial_answer_at() + DEADLINE_MARGIN),
            false => self.plan.deadline,
        }
    }

    /// Returns when the request ends, whether or not attempts are still in flight.
    fn ends_at(&self) -> Instant {
        let deadline = self.plan.deadline.checked_sub(DEADLINE_MARGIN).unwrap_or(self.plan.arrived);
        match self.pools.len() > 1 {
            true => deadline.min(self.partial_answer_at() + DEADLINE_MARGIN + MAX_REPLY_TRAVEL),
            false => deadline,
        }
    }

    /// Returns the latest time at which to poll this state again if no attempt ends before.
    pub fn next_wake(&self, now: Instant) -> Instant {
        let mut wake = self.ends_at();
        let partial_answer_at = self.partial_answer_at();
        if partial_answer_at > now {
            wake = wake.min(partial_answer_at);
        } else if self.pools.len() > 1 {
            // No attempt is sent any more.
            return wake;
        }
        let hold_until = self.hold_until.filter(|until| *until > now);
        for state in self.pools.iter().filter(|p| !p.replied && !p.exhausted) {
            let may_hedge = self.plan.repeatable && state.tried.len() < self.plan.max_attempts;
            let due = match hold_until {
                Some(until) if state.in_flight == 0 => Some(until),
                Some(until) => state.second_attempt_at.map(|at| at.max(until)),
                None => state.second_attempt_at,
            };
            if let Some(at) = due.filter(|_| may_hedge) {
                wake = wake.min(at);
            }
        }
        wake
    }
}
