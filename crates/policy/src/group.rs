//! Scheduler of one shard group at a leaf: order, replica choice, limits, hedges, retries.
//!
//! A job ends exactly once, with [`Action::Finish`]. Every attempt sent ends exactly once, by
//! [`GroupScheduler::on_reply`] or by [`Action::Cancel`], and gives its place back then.

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

/// Jobs that wait in one group.
pub const QUEUE_LIMIT: usize = 256;
/// Ranks of classes; 0 goes first.
pub const RANK_COUNT: usize = 2;
/// Attempts of one job, hedges included.
const ATTEMPT_LIMIT: u32 = 6;
/// Quantile of the group's latency after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.97;
/// Hedges allowed per job; the target is 3% extra load at most.
const HEDGE_SHARE: f64 = 0.03;
const HEDGE_SAVED: f64 = 20.0;
/// Multiple of the fastest replica's mean latency from which a replica gets only probes.
const OUTLIER: f64 = 3.0;
const OUTLIER_PROBE: Duration = Duration::from_secs(1);
/// Pause before a hedge that could not be sent is considered again.
const HEDGE_RECHECK: Duration = Duration::from_millis(2);
/// Retries allowed per job; the target is 10% extra load at most after an outage.
const RETRY_SHARE: f64 = 0.1;
const RETRY_SAVED: f64 = 10.0;
/// Time to learn of further losses before a job whose upstream was lost is sent again.
const LOSS_CONFIRM: Duration = Duration::from_millis(10);
/// Time after a job of the first rank for which lower ranks keep to an even share of slots.
const FIRST_PRESENT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct State {
    job: Job,
    /// Attempts in flight, oldest first.
    in_flight: Vec<id::Attempt>,
    /// Replicas that this job has failed at.
    tried: Vec<usize>,
    attempts: u32,
    fate: Fate,
    reason: Option<Reason>,
    queued: bool,
    not_before: Option<Instant>,
}

#[derive(Debug)]
struct Sent {
    ticket: JobId,
    replica: usize,
    at: Instant,
    hedge: bool,
}

/// Switches for measuring what each mechanism contributes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Whether to send hedges.
    pub hedge: bool,
    /// Whether to hold lower ranks to an adaptive limit.
    pub adaptive: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options { hedge: true, adaptive: true }
    }
}

/// Scheduler of one group.
#[derive(Debug)]
pub struct GroupScheduler {
    replicas: Vec<Replica>,
    jobs: FastMap<JobId, State>,
    queues: [VecDeque<JobId>; RANK_COUNT],
    sent: FastMap<id::Attempt, Sent>,
    timers: BTreeSet<(Instant, JobId)>,
    next: u64,
    attempt_base: u64,
    hedge_delay: LatencyQuantile,
    hedges: Budget,
    retries: Budget,
    /// This node's even share of the group's slots.
    share: usize,
    /// When a job of the first rank was last submitted.
    first_seen: Option<Instant>,
    lower_limit: AdaptiveLimit,
    pressure: QueueingDetector,
    lower_in_flight: usize,
    counts: Counts,
    options: Options,
}

impl GroupScheduler {
    /// Scheduler over `replicas` of `slots` slots each, which `schedulers` nodes share without
    /// talking to each other. Attempts are numbered from `attempt_base` on; different groups of a node need disjoint numbers.
    pub fn new(
        replicas: Vec<Replica>,
        slots: u32,
        schedulers: u32,
        attempt_base: u64,
    ) -> GroupScheduler {
        let all_slots = slots * replicas.len() as u32;
        let share = (all_slots / schedulers.max(1)).max(1);
        GroupScheduler {
            replicas,
            jobs: FastMap::default(),
            queues: Default::default(),
            sent: FastMap::default(),
            timers: BTreeSet::new(),
            next: 0,
            attempt_base,
            hedge_delay: LatencyQuantile::new(HEDGE_QUANTILE),
            hedges: Budget::new(HEDGE_SHARE, HEDGE_SAVED),
            retries: Budget::new(RETRY_SHARE, RETRY_SAVED),
            share: share as usize,
            first_seen: None,
            lower_limit: AdaptiveLimit::new(share, all_slots),
            pressure: QueueingDetector::new(),
            lower_in_flight: 0,
            counts: Counts::default(),
            options: Options::default(),
        }
    }

    /// The same with some mechanisms switched off.
    pub fn with_options(mut self, options: Options) -> GroupScheduler {
        self.options = options;
        self
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The replicas.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// The replicas, to record what is learned outside of attempts.
    pub fn replicas_mut(&mut self) -> &mut [Replica] {
        &mut self.replicas
    }

    /// The replica at `upstream`, to record what is learned outside of attempts.
    pub fn replica_mut(&mut self, upstream: id::Upstream) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|r| r.upstream == upstream)
    }

    /// The job that an attempt in flight belongs to.
    pub fn job_of(&self, attempt: id::Attempt) -> Option<JobId> {
        self.sent.get(&attempt).map(|s| s.ticket)
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Jobs that wait.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Takes over which `servers` the configuration publishes. A replica that is no longer
    /// published gets no new work.
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

    /// Versions that at least `least` replicas hold, as far as known.
    pub fn window(&self, least: usize) -> Option<Window> {
        let windows = || self.replicas.iter().filter(|r| !r.is_leaving()).filter_map(|r| r.window);
        let mut newest: Vec<Version> = windows().map(|w| w.newest).collect();
        newest.sort_unstable();
        let enough = least.min(newest.len());
        let newest = *newest.get(newest.len().checked_sub(enough.max(1))?)?;
        let oldest = windows().filter(|w| w.newest >= newest).map(|w| w.oldest).min()?;
        Some(Window { oldest, newest })
    }

    /// Takes in a job. The ticket may be finished by the returned actions already.
    pub fn submit(
        &mut self,
        now: Instant,
        job: Job,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) -> JobId {
        let ticket = JobId(self.next);
        self.next += 1;
        self.counts.jobs += 1;
        self.hedges.earn();
        self.retries.earn();
        let rank = usize::from(job.rank).min(RANK_COUNT - 1);
        if rank == 0 {
            self.first_seen = Some(now);
        }
        self.timers.insert((job.deadline, ticket));
        let state = State {
            job,
            in_flight: Vec::new(),
            tried: Vec::new(),
            attempts: 0,
            fate: Fate::NotRun,
            reason: None,
            queued: true,
            not_before: None,
        };
        let hopeless = self.is_hopeless(now, &state.job);
        self.jobs.insert(ticket, state);
        self.queues[rank].push_back(ticket);
        if hopeless {
            self.end(ticket, Reason::Overload, actions);
            return ticket;
        }
        if self.queued() > QUEUE_LIMIT {
            self.evict(actions);
        }
        self.poll(now, env, actions);
        ticket
    }

    /// Drops a job that nobody waits for any more.
    pub fn abandon(
        &mut self,
        now: Instant,
        ticket: JobId,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        if self.jobs.contains_key(&ticket) {
            self.remove(now, ticket, actions);
            self.poll(now, env, actions);
        }
    }

    /// Takes in how `attempt` ended.
    pub fn on_reply(
        &mut self,
        now: Instant,
        attempt: id::Attempt,
        reply: AttemptResult,
        env: &mut Env<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.sent.remove(&attempt) else {
            self.counts.stray_replies += 1;
            return;
        };
        self.observe(now, &sent, reply, env);
        self.settle(now, attempt, &sent, reply, actions);
        self.poll(now, env, actions);
    }

    /// Does what is due, and returns when to call again at the latest.
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

    /// Attempts of lower ranks that may be in flight. While first-rank jobs are about, all
    /// nodes together must not fill the upstreams' slots, or those jobs wait inside upstreams.
    fn lower_allowed(&self, now: Instant) -> usize {
        let present = self.first_seen.is_some_and(|at| at + FIRST_PRESENT > now);
        let limit = self.lower_limit.value();
        if present { limit.min(self.share) } else { limit }
    }

    /// Whether a job of a lower rank would wait past its deadline: said at once, not then.
    fn is_hopeless(&self, now: Instant, job: &Job) -> bool {
        if job.rank == 0 || self.queued() == 0 {
            return false;
        }
        let turns = self.queued() as f64 / self.lower_allowed(now).max(1) as f64;
        let wait = self.pressure.mean().mul_f64(turns + 1.0);
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
        // The newest of the lowest rank has waited least.
        let Some(ticket) = self.queues.iter_mut().rev().find_map(VecDeque::pop_back) else {
            return;
        };
        let fate = self.jobs.get(&ticket).map_or(Fate::NotRun, |s| s.fate);
        self.counts.refusals += 1;
        self.forget(ticket);
        let end = JobResult::Failed { reason: Reason::Overload, fate };
        actions.push(Action::Finish { ticket, end });
    }

    fn forget(&mut self, ticket: JobId) -> Option<State> {
        let state = self.jobs.remove(&ticket)?;
        self.timers.remove(&(state.job.deadline, ticket));
        let hedge: Vec<_> = self.timers.iter().filter(|(_, t)| *t == ticket).copied().collect();
        for timer in hedge {
            self.timers.remove(&timer);
        }
        if state.queued {
            for queue in &mut self.queues {
                queue.retain(|t| *t != ticket);
            }
        }
        Some(state)
    }

    fn remove(&mut self, now: Instant, ticket: JobId, actions: &mut Vec<Action>) -> Option<State> {
        let state = self.forget(ticket)?;
        for attempt in &state.in_flight {
            let Some(sent) = self.sent.remove(attempt) else { continue };
            let age = now.saturating_duration_since(sent.at);
            self.replicas[sent.replica].record_cancelled(age);
            if !sent.hedge {
                self.hedge_delay.record(age);
            }
            self.release(state.job.rank);
            actions.push(Action::Cancel { attempt: *attempt });
        }
        Some(state)
    }

    fn release(&mut self, rank: u8) {
        if rank > 0 {
            self.lower_in_flight -= 1;
        }
    }

    fn fire_timers(&mut self, now: Instant, env: &mut Env<'_>, actions: &mut Vec<Action>) {
        while let Some(&(at, ticket)) = self.timers.first() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            let Some(state) = self.jobs.get_mut(&ticket) else { continue };
            if state.job.deadline <= now {
                self.expire(now, ticket, actions);
            } else if state.not_before.is_some_and(|t| t <= now) {
                state.not_before = None;
                self.requeue(ticket);
            } else {
                self.hedge(now, ticket, env, actions);
            }
        }
    }

    fn expire(&mut self, now: Instant, ticket: JobId, actions: &mut Vec<Action>) {
        let Some(state) = self.remove(now, ticket, actions) else { return };
        // An attempt in flight may have run, or run before its cancellation arrives.
        let pending = if state.in_flight.is_empty() { Fate::NotRun } else { Fate::MayHaveRun };
        if state.attempts == 0 {
            self.counts.refusals += 1;
        }
        let end = JobResult::Failed { reason: Reason::Deadline, fate: state.fate.combine(pending) };
        actions.push(Action::Finish { ticket, end });
    }

    fn requeue(&mut self, ticket: JobId) {
        let Some(state) = self.jobs.get_mut(&ticket) else { return };
        state.queued = true;
        let rank = usize::from(state.job.rank).min(RANK_COUNT - 1);
        self.queues[rank].push_front(ticket);
    }

    fn dispatch(&mut self, now: Instant, env: &mut Env<'_>, actions: &mut Vec<Action>) {
        for rank in 0..RANK_COUNT {
            let mut waiting = VecDeque::new();
            while let Some(ticket) = self.queues[rank].pop_front() {
                let step = self.place(now, ticket, env);
                match step {
                    Step::Send(replica) => {
                        if let Some(state) = self.jobs.get_mut(&ticket) {
                            state.queued = false;
                        }
                        self.send(now, ticket, replica, false, actions);
                    }
                    Step::Skip => waiting.push_back(ticket),
                    Step::Wait => {
                        waiting.push_back(ticket);
                        break;
                    }
                    Step::End(reason) => self.end(ticket, reason, actions),
                }
            }
            waiting.append(&mut self.queues[rank]);
            self.queues[rank] = waiting;
            if rank == 0 && !self.queues[0].is_empty() {
                // Lower ranks must not take the places that a first class waits for.
                return;
            }
        }
    }

    fn end(&mut self, ticket: JobId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(state) = self.forget(ticket) else { return };
        if state.attempts == 0 {
            self.counts.refusals += 1;
        }
        let reason = state.reason.unwrap_or(reason);
        actions
            .push(Action::Finish { ticket, end: JobResult::Failed { reason, fate: state.fate } });
    }

    fn place(&self, now: Instant, ticket: JobId, env: &mut Env<'_>) -> Step {
        let Some(state) = self.jobs.get(&ticket) else { return Step::End(Reason::Deadline) };
        if (env.is_quarantined)(state.job.fingerprint) {
            return Step::End(Reason::Quarantined);
        }
        if state.attempts >= ATTEMPT_LIMIT {
            return Step::End(Reason::Overload);
        }
        let usable = |i: &usize| {
            let replica = &self.replicas[*i];
            !replica.is_leaving() && !replica.lacks(state.job.version) && !state.tried.contains(i)
        };
        let candidates: Vec<usize> = (0..self.replicas.len()).filter(usable).collect();
        if candidates.is_empty() {
            return Step::End(self.why_none(state));
        }
        let down = |i: &usize| {
            let replica = &self.replicas[*i];
            replica.is_failing() && !replica.is_free(now)
        };
        if candidates.iter().all(down) {
            return Step::End(Reason::Unreachable);
        }
        if state.job.rank > 0
            && self.options.adaptive
            && self.lower_in_flight >= self.lower_allowed(now)
        {
            return Step::Wait;
        }
        match self.cheapest(now, &candidates, env.rng) {
            Some(replica) => Step::Send(replica),
            None if candidates.len() == self.replicas.len() => Step::Wait,
            None => Step::Skip,
        }
    }

    fn why_none(&self, state: &State) -> Reason {
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
        // A slow replica is tried now and then, to see whether it has recovered.
        let worth = |i: &usize| {
            let replica = &self.replicas[*i];
            let due = replica.last_sent().is_none_or(|t| t + OUTLIER_PROBE <= now);
            replica.mean() <= fastest.mul_f64(OUTLIER) || due
        };
        let usable = |i: &usize| self.replicas[*i].is_free(now) && worth(i);
        let free: Vec<usize> = candidates.iter().copied().filter(usable).collect();
        if free.is_empty() {
            return None;
        }
        // A random start breaks ties evenly.
        let start = rng.random_range(0..free.len());
        let order = (0..free.len()).map(|i| free[(start + i) % free.len()]);
        order.min_by(|a, b| self.replicas[*a].cost().total_cmp(&self.replicas[*b].cost()))
    }

    fn send(
        &mut self,
        now: Instant,
        ticket: JobId,
        replica: usize,
        hedge: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.jobs.get_mut(&ticket) else { return };
        let attempt = id::Attempt(self.attempt_base + self.counts.attempts);
        self.counts.attempts += 1;
        state.attempts += 1;
        state.in_flight.push(attempt);
        if state.job.rank > 0 {
            self.lower_in_flight += 1;
        }
        self.replicas[replica].record_sent(now);
        self.sent.insert(attempt, Sent { ticket, replica, at: now, hedge });
        if let (true, true, Some(delay)) =
            (self.options.hedge, state.job.idempotent, self.hedge_delay.value())
        {
            self.timers.insert((now + delay, ticket));
        }
        let upstream = self.replicas[replica].upstream;
        actions.push(Action::Send { ticket, attempt, upstream });
    }

    fn hedge(&mut self, now: Instant, ticket: JobId, env: &mut Env<'_>, actions: &mut Vec<Action>) {
        let Some(state) = self.jobs.get(&ticket) else { return };
        let running = !state.in_flight.is_empty();
        let suspect = (env.is_quarantined)(state.job.fingerprint);
        // Jobs of lower ranks that wait are no reason to leave this one without a hedge.
        let rank = usize::from(state.job.rank).min(RANK_COUNT - 1);
        let ahead: usize = self.queues[..=rank].iter().map(VecDeque::len).sum();
        let overloaded = ahead > self.replicas.len();
        if !running || suspect || state.attempts >= ATTEMPT_LIMIT {
            return;
        }
        if overloaded {
            self.timers.insert((now + HEDGE_RECHECK, ticket));
            return;
        }
        let holds = |i: &usize| {
            let replica = &self.replicas[*i];
            let running = state.in_flight.iter().filter_map(|a| self.sent.get(a));
            let idle = !running.into_iter().any(|s| s.replica == *i);
            idle && !replica.is_leaving()
                && !replica.lacks(state.job.version)
                && !state.tried.contains(i)
        };
        let candidates: Vec<usize> = (0..self.replicas.len()).filter(holds).collect();
        if candidates.is_empty() {
            return;
        }
        let replica = self.cheapest(now, &candidates, env.rng);
        let Some(replica) = replica.filter(|_| self.hedges.spend()) else {
            self.timers.insert((now + HEDGE_RECHECK, ticket));
            return;
        };
        self.counts.hedges += 1;
        self.send(now, ticket, replica, true, actions);
    }

    fn observe(&mut self, now: Instant, sent: &Sent, reply: AttemptResult, env: &mut Env<'_>) {
        let rank = self.jobs.get(&sent.ticket).map_or(0, |s| s.job.rank);
        self.release(rank);
        let latency = now.saturating_duration_since(sent.at);
        let replica = &mut self.replicas[sent.replica];
        match reply {
            AttemptResult::Done => {
                replica.record_reply(now, latency);
                if !sent.hedge {
                    self.hedge_delay.record(latency);
                }
                self.adapt(now, latency);
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
            | AttemptResult::Unreached
            | AttemptResult::Lost
            | AttemptResult::Bad => {
                replica.record_failure(now, env.rng.random());
            }
        }
    }

    fn adapt(&mut self, now: Instant, latency: Duration) {
        if self.pressure.observe(now, latency) {
            self.lower_limit.shrink();
        } else {
            self.lower_limit.grow(self.lower_in_flight + 1);
        }
    }

    fn settle(
        &mut self,
        now: Instant,
        attempt: id::Attempt,
        sent: &Sent,
        reply: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let ticket = sent.ticket;
        let Some(state) = self.jobs.get_mut(&ticket) else { return };
        state.in_flight.retain(|a| *a != attempt);
        state.fate = state.fate.combine(reply.fate());
        if reply == AttemptResult::Done {
            self.remove(now, ticket, actions);
            actions.push(Action::Finish { ticket, end: JobResult::Done });
            return;
        }
        state.reason = Some(reply.reason());
        if reply != AttemptResult::Shed {
            state.tried.push(sent.replica);
        }
        if !state.in_flight.is_empty() {
            return;
        }
        let harmless = state.fate == Fate::NotRun;
        let fate = state.fate;
        let may_repeat = harmless || state.job.idempotent;
        let refused = matches!(
            reply,
            AttemptResult::Shed | AttemptResult::Draining | AttemptResult::VersionMissing
        );
        if !may_repeat || !(refused || self.retries.spend()) {
            self.forget(ticket);
            let end = JobResult::Failed { reason: reply.reason(), fate };
            actions.push(Action::Finish { ticket, end });
            return;
        }
        self.counts.retries += 1;
        if reply == AttemptResult::Lost {
            state.not_before = Some(now + LOSS_CONFIRM);
            self.timers.insert((now + LOSS_CONFIRM, ticket));
            return;
        }
        self.requeue(ticket);
    }
}

/// What the scheduler needs from outside at each call.
pub struct Env<'a> {
    /// Randomness.
    pub rng: &'a mut dyn RngCore,
    /// Whether requests with a fingerprint are suspected of crashing upstreams.
    pub is_quarantined: &'a dyn Fn(u64) -> bool,
}

impl std::fmt::Debug for Env<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Env").finish_non_exhaustive()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Send(usize),
    /// This job cannot be sent yet; another may.
    Skip,
    /// No job of this rank can be sent yet.
    Wait,
    End(Reason),
}
