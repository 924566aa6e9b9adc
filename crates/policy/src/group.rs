//! Scheduler of one shard group at a leaf: queueing by rank, replica choice, concurrency limits,
//! hedged requests and retries.
//!
//! Every job ends exactly once, with [`Action::Finish`], unless it is abandoned. Every attempt
//! sent ends exactly once, in [`GroupScheduler::on_reply`] or with [`Action::Cancel`], and
//! releases its slot at that point.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use base::{hash::FastMap, id, unit::Version};
use config::deployment::Server;
use rand::{Rng, RngCore};

use crate::{
    budget::Budget,
    job::{Action, AttemptResult, Counts, Job, JobId, JobResult},
    latency::LatencyQuantile,
    limit::{AdaptiveLimit, QueueingDetector},
    outcome::{Fate, Reason},
    replica::{Replica, Window},
};

/// Maximum number of jobs queued in one group.
pub const QUEUE_LIMIT: usize = 256;
/// Number of priority ranks; rank 0 is scheduled first.
pub const RANK_COUNT: usize = 2;
/// Maximum number of attempts per job, hedges included.
const MAX_ATTEMPTS: u32 = 6;
/// Quantile of the group's recent latency that is used as the hedge delay.
const HEDGE_QUANTILE: f64 = 0.97;
/// Hedge tokens earned per job; limits hedges to 3% extra load.
const HEDGE_RATIO: f64 = 0.03;
/// Maximum number of hedge tokens saved up.
const HEDGE_BUDGET_CAP: f64 = 20.0;
/// A replica whose mean latency exceeds this multiple of the fastest replica's gets only probes.
const OUTLIER_FACTOR: f64 = 3.0;
/// Time between two probes of a slow replica.
const OUTLIER_PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Delay before a hedge that could not be sent is reconsidered.
const HEDGE_RECHECK_DELAY: Duration = Duration::from_millis(2);
/// Retry tokens earned per job; limits retries to 10% extra load after an outage.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of retry tokens saved up.
const RETRY_BUDGET_CAP: f64 = 10.0;
/// Delay before retrying a job whose connection was lost, so that further losses are observed
/// first.
const LOSS_CONFIRM_DELAY: Duration = Duration::from_millis(10);
/// Time after the last rank 0 job during which lower ranks are limited to an even share of slots.
const FIRST_RANK_PRESENCE: Duration = Duration::from_secs(1);

/// A job that has not ended, with the state of its attempts.
#[derive(Debug)]
struct JobState {
    job: Job,
    /// Attempts in flight, oldest first.
    in_flight: Vec<id::Attempt>,
    /// Indices of replicas that failed this job or refused it other than for load; they are not
    /// chosen again.
    tried: Vec<usize>,
    attempts: u32,
    fate: Fate,
    reason: Option<Reason>,
    queued: bool,
    /// Earliest time of the next attempt, while a retry is delayed.
    retry_at: Option<Instant>,
}

/// An attempt in flight.
#[derive(Debug)]
struct InFlight {
    job_id: JobId,
    replica: usize,
    at: Instant,
    hedge: bool,
}

/// Switches that disable single mechanisms, to measure what each of them contributes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Whether to send hedges.
    pub hedge: bool,
    /// Whether ranks 1 and above are subject to the adaptive concurrency limit.
    pub adaptive: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options { hedge: true, adaptive: true }
    }
}

/// Scheduler of one shard group.
#[derive(Debug)]
pub struct GroupScheduler {
    replicas: Vec<Replica>,
    jobs: FastMap<JobId, JobState>,
    queues: [VecDeque<JobId>; RANK_COUNT],
    attempts: FastMap<id::Attempt, InFlight>,
    /// Deadlines, hedge delays and retry delays of jobs.
    timers: BTreeSet<(Instant, JobId)>,
    next_job_id: u64,
    attempt_base: u64,
    /// Latency after which an attempt is hedged.
    hedge_delay: LatencyQuantile,
    hedge_budget: Budget,
    retry_budget: Budget,
    /// This node's even share of the group's slots.
    even_share: usize,
    /// Time at which a rank 0 job was last submitted.
    last_first_rank: Option<Instant>,
    /// Limit on attempts in flight of ranks 1 and above.
    lower_limit: AdaptiveLimit,
    queueing: QueueingDetector,
    /// Attempts in flight of ranks 1 and above.
    lower_in_flight: usize,
    counts: Counts,
    options: Options,
}

impl GroupScheduler {
    /// Creates a scheduler for `replicas` with `slots` slots each, which `schedulers` nodes share
    /// without coordination. Attempts are numbered from `attempt_base` on; the groups of a node
    /// need disjoint numbers.
    pub fn new(
        replicas: Vec<Replica>,
        slots: u32,
        schedulers: u32,
        attempt_base: u64,
    ) -> GroupScheduler {
        let all_slots = slots * replicas.len() as u32;
        let even_share = (all_slots / schedulers.max(1)).max(1);
        GroupScheduler {
            replicas,
            jobs: FastMap::default(),
            queues: Default::default(),
            attempts: FastMap::default(),
            timers: BTreeSet::new(),
            next_job_id: 0,
            attempt_base,
            hedge_delay: LatencyQuantile::new(HEDGE_QUANTILE),
            hedge_budget: Budget::new(HEDGE_RATIO, HEDGE_BUDGET_CAP),
            retry_budget: Budget::new(RETRY_RATIO, RETRY_BUDGET_CAP),
            even_share: even_share as usize,
            last_first_rank: None,
            lower_limit: AdaptiveLimit::new(even_share, all_slots),
            queueing: QueueingDetector::new(),
            lower_in_flight: 0,
            counts: Counts::default(),
            options: Options::default(),
        }
    }

    /// Returns the scheduler with `options` applied.
    pub fn with_options(mut self, options: Options) -> GroupScheduler {
        self.options = options;
        self
    }

    /// Returns the counts since creation.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the replicas.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Returns the replicas, for recording observations made outside of attempts.
    pub fn replicas_mut(&mut self) -> &mut [Replica] {
        &mut self.replicas
    }

    /// Returns the replica at `upstream`, for recording observations made outside of attempts.
    pub fn replica_mut(&mut self, upstream: id::Upstream) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|r| r.upstream == upstream)
    }

    /// Returns the job of an attempt in flight; `None` for an attempt that has ended.
    pub fn job_of(&self, attempt: id::Attempt) -> Option<JobId> {
        self.attempts.get(&attempt).map(|s| s.job_id)
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of queued jobs.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Applies the `servers` of a published configuration: adds new replicas, and drains those
    /// that are marked as leaving or no longer listed.
    pub fn apply_servers(&mut self, servers: &[Server], slots: u32) {
        for replica in &mut self.replicas {
            let published = servers.iter().find(|s| s.upstream == replica.upstream);
            replica.set_published_leaving(published.is_none_or(|s| s.leaving));
        }
        for server in servers {
            if !self.replicas.iter().any(|r| r.upstream == server.upstream) {
                self.replicas.push(Replica::new(server.upstream, slots, server.leaving));
            }
        }
    }

    /// Returns a window whose newest version is the newest one that at least `least` of the
    /// replicas with a known window have reached; all of them, if fewer than `least` are known.
    ///
    /// Leaving replicas do not count. Returns `None` if no window is known.
    pub fn window(&self, least: usize) -> Option<Window> {
        let windows = || self.replicas.iter().filter(|r| !r.is_leaving()).filter_map(|r| r.window);
        let mut newest: Vec<Version> = windows().map(|w| w.newest).collect();
        newest.sort_unstable();
        let enough = least.min(newest.len());
        let newest = *newest.get(newest.len().checked_sub(enough.max(1))?)?;
        let oldest = windows().filter(|w| w.newest >= newest).map(|w| w.oldest).min()?;
        Some(Window { oldest, newest })
    }

    /// Submits a job and returns its id; the appended actions may already finish the job.
    pub fn submit(
        &mut self,
        now: Instant,
        job: Job,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) -> JobId {
        let job_id = JobId(self.next_job_id);
        self.next_job_id += 1;
        self.counts.jobs += 1;
        self.hedge_budget.earn();
        self.retry_budget.earn();
        let rank = usize::from(job.rank).min(RANK_COUNT - 1);
        if rank == 0 {
            self.last_first_rank = Some(now);
        }
        self.timers.insert((job.deadline, job_id));
        let state = JobState {
            job,
            in_flight: Vec::new(),
            tried: Vec::new(),
            attempts: 0,
            fate: Fate::NotRun,
            reason: None,
            queued: true,
            retry_at: None,
        };
        let too_late = self.would_miss_deadline(now, &state.job);
        self.jobs.insert(job_id, state);
        self.queues[rank].push_back(job_id);
        if too_late {
            self.fail_job(job_id, Reason::Overload, actions);
            return job_id;
        }
        if self.queued() > QUEUE_LIMIT {
            self.evict(actions);
        }
        self.poll(now, env, actions);
        job_id
    }

    /// Cancels a job whose result is no longer needed, without [`Action::Finish`].
    pub fn abandon(
        &mut self,
        now: Instant,
        job_id: JobId,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        if self.jobs.contains_key(&job_id) {
            self.cancel_job(now, job_id, actions);
            self.poll(now, env, actions);
        }
    }

    /// Records the result of `attempt`; results of unknown attempts are counted and ignored.
    pub fn on_reply(
        &mut self,
        now: Instant,
        attempt: id::Attempt,
        result: AttemptResult,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.attempts.remove(&attempt) else {
            self.counts.stray_replies += 1;
            return;
        };
        self.record_result(now, &sent, result, env);
        self.settle_attempt(now, attempt, &sent, result, actions);
        self.poll(now, env, actions);
    }

    /// Fires due timers and sends queued jobs; returns the latest time for the next call.
    pub fn poll(
        &mut self,
        now: Instant,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) -> Option<Instant> {
        self.fire_timers(now, env, actions);
        self.dispatch(now, env, actions);
        self.next_wake(now)
    }

    /// Returns how many attempts of ranks 1 and above may be in flight.
    ///
    /// While rank 0 jobs are present, the lower ranks of all nodes together must not fill the
    /// upstreams' slots, or rank 0 jobs queue inside the upstreams.
    fn lower_rank_limit(&self, now: Instant) -> usize {
        let present = self.last_first_rank.is_some_and(|at| at + FIRST_RANK_PRESENCE > now);
        let limit = self.lower_limit.value();
        if present { limit.min(self.even_share) } else { limit }
    }

    /// Whether a job of rank 1 or above would wait in the queue past its deadline, by the mean
    /// latency and the queue length. Such jobs are refused on submission instead of at the
    /// deadline.
    fn would_miss_deadline(&self, now: Instant, job: &Job) -> bool {
        if job.rank == 0 || self.queued() == 0 {
            return false;
        }
        let turns = self.queued() as f64 / self.lower_rank_limit(now).max(1) as f64;
        let wait = self.queueing.mean().mul_f64(turns + 1.0);
        now + wait >= job.deadline
    }

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        let timer = self.timers.first().map(|(at, _)| *at);
        if self.queued() == 0 {
            return timer;
        }
        let unblocked = self.replicas.iter().filter_map(|r| r.blocked_until(now)).min();
        timer.into_iter().chain(unblocked).min()
    }

    fn evict(&mut self, actions: &mut Vec<Action>) {
        // The newest job of the lowest rank has waited the shortest time.
        let Some(job_id) = self.queues.iter_mut().rev().find_map(VecDeque::pop_back) else {
            return;
        };
        let fate = self.jobs.get(&job_id).map_or(Fate::NotRun, |s| s.fate);
        self.counts.refusals += 1;
        self.remove_job(job_id);
        let end = JobResult::Failed { reason: Reason::Overload, fate };
        actions.push(Action::Finish { job_id, end });
    }

    fn remove_job(&mut self, job_id: JobId) -> Option<JobState> {
        let state = self.jobs.remove(&job_id)?;
        self.timers.remove(&(state.job.deadline, job_id));
        let timers: Vec<_> = self.timers.iter().filter(|(_, t)| *t == job_id).copied().collect();
        for timer in timers {
            self.timers.remove(&timer);
        }
        if state.queued {
            for queue in &mut self.queues {
                queue.retain(|t| *t != job_id);
            }
        }
        Some(state)
    }

    fn cancel_job(
        &mut self,
        now: Instant,
        job_id: JobId,
        actions: &mut Vec<Action>,
    ) -> Option<JobState> {
        let state = self.remove_job(job_id)?;
        for attempt in &state.in_flight {
            let Some(sent) = self.attempts.remove(attempt) else { continue };
            let age = now.saturating_duration_since(sent.at);
            self.replicas[sent.replica].record_cancelled(age);
            if !sent.hedge {
                self.hedge_delay.record(age);
            }
            self.release_lower_rank(state.job.rank);
            actions.push(Action::Cancel { attempt: *attempt });
        }
        Some(state)
    }

    fn release_lower_rank(&mut self, rank: u8) {
        if rank > 0 {
            self.lower_in_flight -= 1;
        }
    }

    fn fire_timers(&mut self, now: Instant, env: &mut Env<'_>, actions: &mut Vec<Action>) {
        while let Some(&(at, job_id)) = self.timers.first() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            let Some(state) = self.jobs.get_mut(&job_id) else { continue };
            if state.job.deadline <= now {
                self.expire_job(now, job_id, actions);
            } else if state.retry_at.is_some_and(|t| t <= now) {
                state.retry_at = None;
                self.requeue(job_id);
            } else {
                self.try_hedge(now, job_id, env, actions);
            }
        }
    }

    fn expire_job(&mut self, now: Instant, job_id: JobId, actions: &mut Vec<Action>) {
        let Some(state) = self.cancel_job(now, job_id, actions) else { return };
        // An attempt in flight may have run already, or may run before its cancellation arrives.
        let pending = if state.in_flight.is_empty() { Fate::NotRun } else { Fate::MayHaveRun };
        if state.attempts == 0 {
            self.counts.refusals += 1;
        }
        let end = JobResult::Failed { reason: Reason::Deadline, fate: state.fate.combine(pending) };
        actions.push(Action::Finish { job_id, end });
    }

    fn requeue(&mut self, job_id: JobId) {
        let Some(state) = self.jobs.get_mut(&job_id) else { return };
        state.queued = true;
        let rank = usize::from(state.job.rank).min(RANK_COUNT - 1);
        self.queues[rank].push_front(job_id);
    }

    fn dispatch(&mut self, now: Instant, env: &mut Env<'_>, actions: &mut Vec<Action>) {
        for rank in 0..RANK_COUNT {
            let mut waiting = VecDeque::new();
            while let Some(job_id) = self.queues[rank].pop_front() {
                let step = self.next_step(now, job_id, env);
                match step {
                    Step::Send(replica) => {
                        if let Some(state) = self.jobs.get_mut(&job_id) {
                            state.queued = false;
                        }
                        self.send(now, job_id, replica, false, actions);
                    }
                    Step::Skip => waiting.push_back(job_id),
                    Step::Wait => {
                        waiting.push_back(job_id);
                        break;
                    }
                    Step::Fail(reason) => self.fail_job(job_id, reason, actions),
                }
            }
            waiting.append(&mut self.queues[rank]);
            self.queues[rank] = waiting;
            if rank == 0 && !self.queues[0].is_empty() {
                // Lower ranks must not take the slots that queued rank 0 jobs wait for.
                return;
            }
        }
    }

    fn fail_job(&mut self, job_id: JobId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(state) = self.remove_job(job_id) else { return };
        if state.attempts == 0 {
            self.counts.refusals += 1;
        }
        let reason = state.reason.unwrap_or(reason);
        actions
            .push(Action::Finish { job_id, end: JobResult::Failed { reason, fate: state.fate } });
    }

    fn next_step(&self, now: Instant, job_id: JobId, env: &mut Env<'_>) -> Step {
        let Some(state) = self.jobs.get(&job_id) else { return Step::Fail(Reason::Deadline) };
        if (env.is_quarantined)(state.job.fingerprint) {
            return Step::Fail(Reason::Quarantined);
        }
        if state.attempts >= MAX_ATTEMPTS {
            return Step::Fail(Reason::Overload);
        }
        let usable = |i: &usize| {
            let replica = &self.replicas[*i];
            !replica.is_leaving() && !replica.lacks(state.job.version) && !state.tried.contains(i)
        };
        let candidates: Vec<usize> = (0..self.replicas.len()).filter(usable).collect();
        if candidates.is_empty() {
            return Step::Fail(self.no_candidate_reason(state));
        }
        let down = |i: &usize| {
            let replica = &self.replicas[*i];
            replica.is_failing() && !replica.is_free(now)
        };
        if candidates.iter().all(down) {
            return Step::Fail(Reason::Unreachable);
        }
        if state.job.rank > 0
            && self.options.adaptive
            && self.lower_in_flight >= self.lower_rank_limit(now)
        {
            return Step::Wait;
        }
        match self.cheapest(now, &candidates, env.rng) {
            Some(replica) => Step::Send(replica),
            None if candidates.len() == self.replicas.len() => Step::Wait,
            None => Step::Skip,
        }
    }

    fn no_candidate_reason(&self, state: &JobState) -> Reason {
        if self.replicas.iter().all(Replica::is_leaving) {
            return Reason::Draining;
        }
        if self.replicas.iter().any(|r| r.lacks(state.job.version)) {
            return Reason::Version;
        }
        Reason::Unreachable
    }

    fn cheapest(&self, now: Instant, candidates: &[usize], rng: &mut dyn RngCore) -> Option<usize> {
        let fastest = candidates.iter().map(|i| self.replicas[*i].mean()).min()?;
        // A slow replica is probed periodically to detect its recovery.
        let in_rotation = |i: &usize| {
            let replica = &self.replicas[*i];
            let due = replica.last_sent().is_none_or(|t| t + OUTLIER_PROBE_PERIOD <= now);
            replica.mean() <= fastest.mul_f64(OUTLIER_FACTOR) || due
        };
        let usable = |i: &usize| self.replicas[*i].is_free(now) && in_rotation(i);
        let free: Vec<usize> = candidates.iter().copied().filter(usable).collect();
        if free.is_empty() {
            return None;
        }
        // A random start distributes ties evenly.
        let start = rng.random_range(0..free.len());
        let order = (0..free.len()).map(|i| free[(start + i) % free.len()]);
        order.min_by(|a, b| self.replicas[*a].cost().total_cmp(&self.replicas[*b].cost()))
    }

    fn send(
        &mut self,
        now: Instant,
        job_id: JobId,
        replica: usize,
        hedge: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.jobs.get_mut(&job_id) else { return };
        let attempt = id::Attempt(self.attempt_base + self.counts.attempts);
        self.counts.attempts += 1;
        state.attempts += 1;
        state.in_flight.push(attempt);
        if state.job.rank > 0 {
            self.lower_in_flight += 1;
        }
        self.replicas[replica].record_sent(now);
        self.attempts.insert(attempt, InFlight { job_id, replica, at: now, hedge });
        if let (true, true, Some(delay)) =
            (self.options.hedge, state.job.idempotent, self.hedge_delay.value())
        {
            self.timers.insert((now + delay, job_id));
        }
        let upstream = self.replicas[replica].upstream;
        actions.push(Action::Send { job_id, attempt, upstream });
    }

    fn try_hedge(
        &mut self,
        now: Instant,
        job_id: JobId,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.jobs.get(&job_id) else { return };
        let running = !state.in_flight.is_empty();
        let quarantined = (env.is_quarantined)(state.job.fingerprint);
        // Queued jobs of lower ranks do not count: they must not prevent this job's hedge.
        let rank = usize::from(state.job.rank).min(RANK_COUNT - 1);
        let ahead: usize = self.queues[..=rank].iter().map(VecDeque::len).sum();
        let overloaded = ahead > self.replicas.len();
        if !running || quarantined || state.attempts >= MAX_ATTEMPTS {
            return;
        }
        if overloaded {
            self.timers.insert((now + HEDGE_RECHECK_DELAY, job_id));
            return;
        }
        let usable = |i: &usize| {
            let replica = &self.replicas[*i];
            let running = state.in_flight.iter().filter_map(|a| self.attempts.get(a));
            let idle = !running.into_iter().any(|s| s.replica == *i);
            idle && !replica.is_leaving()
                && !replica.lacks(state.job.version)
                && !state.tried.contains(i)
        };
        let candidates: Vec<usize> = (0..self.replicas.len()).filter(usable).collect();
        if candidates.is_empty() {
            return;
        }
        let replica = self.cheapest(now, &candidates, env.rng);
        let Some(replica) = replica.filter(|_| self.hedge_budget.spend()) else {
            self.timers.insert((now + HEDGE_RECHECK_DELAY, job_id));
            return;
        };
        self.counts.hedges += 1;
        self.send(now, job_id, replica, true, actions);
    }

    fn record_result(
        &mut self,
        now: Instant,
        sent: &InFlight,
        result: AttemptResult,
        env: &mut Env<'_>,
    ) {
        let rank = self.jobs.get(&sent.job_id).map_or(0, |s| s.job.rank);
        self.release_lower_rank(rank);
        let latency = now.saturating_duration_since(sent.at);
        let replica = &mut self.replicas[sent.replica];
        match result {
            AttemptResult::Done => {
                replica.record_reply(now, latency);
                if !sent.hedge {
                    self.hedge_delay.record(latency);
                }
                self.adapt_lower_limit(now, latency);
            }
            AttemptResult::Shed => {
                self.counts.sheds += 1;
                replica.record_shed(now);
                self.lower_limit.shrink();
            }
            AttemptResult::Draining => {
                replica.record_declined();
                replica.record_leaving(None);
            }
            AttemptResult::VersionMissing => replica.record_declined(),
            AttemptResult::Failed
            | AttemptResult::NotSent
            | AttemptResult::Lost
            | AttemptResult::Bad => {
                replica.record_failure(now, env.rng.random());
            }
        }
    }

    fn adapt_lower_limit(&mut self, now: Instant, latency: Duration) {
        if self.queueing.observe(now, latency) {
            self.lower_limit.shrink();
        } else {
            self.lower_limit.grow(self.lower_in_flight + 1);
        }
    }

    fn settle_attempt(
        &mut self,
        now: Instant,
        attempt: id::Attempt,
        sent: &InFlight,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let job_id = sent.job_id;
        let Some(state) = self.jobs.get_mut(&job_id) else { return };
        state.in_flight.retain(|a| *a != attempt);
        state.fate = state.fate.combine(result.fate());
        if result == AttemptResult::Done {
            self.cancel_job(now, job_id, actions);
            actions.push(Action::Finish { job_id, end: JobResult::Done });
            return;
        }
        state.reason = Some(result.reason());
        if result != AttemptResult::Shed {
            state.tried.push(sent.replica);
        }
        if !state.in_flight.is_empty() {
            return;
        }
        let never_ran = state.fate == Fate::NotRun;
        let fate = state.fate;
        let may_repeat = never_ran || state.job.idempotent;
        let refused = matches!(
            result,
            AttemptResult::Shed | AttemptResult::Draining | AttemptResult::VersionMissing
        );
        if !may_repeat || !(refused || self.retry_budget.spend()) {
            self.remove_job(job_id);
            let end = JobResult::Failed { reason: result.reason(), fate };
            actions.push(Action::Finish { job_id, end });
            return;
        }
        self.counts.retries += 1;
        if result == AttemptResult::Lost {
            state.retry_at = Some(now + LOSS_CONFIRM_DELAY);
            self.timers.insert((now + LOSS_CONFIRM_DELAY, job_id));
            return;
        }
        self.requeue(job_id);
    }
}

/// External inputs of a scheduler call.
pub struct Env<'a> {
    /// Source of randomness.
    pub rng: &'a mut dyn RngCore,
    /// Whether a request fingerprint is quarantined, that is, suspected of crashing upstreams.
    pub is_quarantined: &'a dyn Fn(u64) -> bool,
}

impl std::fmt::Debug for Env<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Env").finish_non_exhaustive()
    }
}

/// What to do with the job at the head of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Send an attempt to the replica with this index.
    Send(usize),
    /// This job cannot be sent yet, but others of its rank may.
    Skip,
    /// No job of this rank can be sent yet.
    Wait,
    /// Fail the job.
    Fail(Reason),
}
