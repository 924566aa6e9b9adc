//! One shard group at a leaf: carries out the actions of its scheduler.
//!
//! The scheduler of the `policy` crate decides which attempt goes to which replica and when. This
//! module sends the attempts, drives the scheduler's timers, and reports results back to it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{hash::FastMap, id, keyspace::KeySet};
use config::deployment::Service;
use parking_lot::Mutex;
use policy::{
    coverage::Part,
    group::{Env, GroupScheduler},
    job::{Action, AttemptResult, Job, JobId, JobResult},
    outcome::{Fate, Reason},
    replica::{Replica, Window},
};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;
use tracing::Instrument;
use wire::{peer::GroupAnswer, upstream};

use crate::{
    context::Context,
    counter::Counter,
    external::{SubRequest, UpstreamError},
};

/// Number of replicas that must hold a version before it counts as served by the group.
const MIN_VERSION_REPLICAS: usize = 2;
/// Binary logarithm of the size of the range of attempt numbers that each group of a node has, so
/// that attempts of different groups never share a number.
const ATTEMPT_RANGE_BITS: u32 = 40;
/// Timeout for a status probe of an upstream.
const STATUS_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct State {
    scheduler: GroupScheduler,
    rng: ChaCha8Rng,
    /// Jobs that have not finished.
    jobs: FastMap<JobId, PendingJob>,
    /// Attempts in flight, with the tokens that cancel them.
    attempts: FastMap<id::Attempt, CancellationToken>,
}

/// A submitted job whose answer is awaited.
#[derive(Debug)]
struct PendingJob {
    answer: oneshot::Sender<GroupAnswer>,
    /// Template of the requests to upstreams; each attempt sets its own number.
    request: upstream::Request,
    deadline: Instant,
    fingerprint: u64,
    span: tracing::Span,
}

/// One shard group at a leaf.
#[derive(Debug)]
pub(crate) struct ShardGroup {
    context: Arc<Context>,
    service: id::Service,
    index: id::Group,
    versioned: bool,
    /// Largest number of connections from this node to one upstream.
    max_connections: usize,
    range: base::keyspace::KeyRange,
    state: Mutex<State>,
    /// Wakes the timer task after a change that may have set an earlier timer.
    wake: Notify,
}

impl ShardGroup {
    /// Creates the group `index` of `service`.
    ///
    /// `serial` must be unique among the groups of this node. `scheduler_count` is the number of
    /// nodes that send to the group's upstreams.
    pub(crate) fn new(
        context: Arc<Context>,
        service: &Service,
        index: id::Group,
        serial: u64,
        scheduler_count: usize,
        max_connections: usize,
    ) -> ShardGroup {
        let group = &service.groups[usize::from(index.0)];
        let slots = service.slots.min(u32::try_from(max_connections).unwrap_or(u32::MAX));
        let replicas =
            group.servers.iter().map(|s| Replica::new(s.upstream, slots, s.leaving)).collect();
        let first_attempt = serial << ATTEMPT_RANGE_BITS;
        let scheduler = GroupScheduler::new(replicas, slots, scheduler_count as u32, first_attempt)
            .with_options(context.options);
        let state = State {
            scheduler,
            rng: context.fork_rng(),
            jobs: FastMap::default(),
            attempts: FastMap::default(),
        };
        ShardGroup {
            service: service.name.clone(),
            index,
            versioned: service.versioned,
            max_connections,
            range: group.range,
            state: Mutex::new(state),
            wake: Notify::new(),
            context,
        }
    }

    /// Runs `query` on this group. Dropping the future cancels the query.
    pub(crate) async fn run(self: &Arc<ShardGroup>, query: GroupQuery) -> GroupAnswer {
        let (sender, receiver) = oneshot::channel();
        let job = Job {
            rank: query.rank,
            deadline: query.deadline,
            idempotent: query.idempotent,
            version: query.version,
            fingerprint: query.fingerprint,
        };
        let request = upstream::Request {
            attempt: id::Attempt(0),
            sender: self.context.sender(),
            service: self.service.clone(),
            map: query.map,
            version: query.version,
            range: self.range,
            rank: query.rank,
            limit: query.limit,
            remaining_ms: 0,
            body: query.body,
        };
        let pending = PendingJob {
            answer: sender,
            request,
            deadline: query.deadline,
            fingerprint: query.fingerprint,
            span: tracing::Span::current(),
        };
        let job_id = self.submit(job, pending);
        let guard = AbandonGuard { group: self, job_id: Some(job_id) };
        let answer = receiver.await;
        guard.disarm();
        answer.unwrap_or_else(|_| self.failed_answer(Reason::Failed, Fate::MayHaveRun))
    }

    fn submit(self: &Arc<ShardGroup>, job: Job, pending: PendingJob) -> JobId {
        self.context.counters.count(Counter::LeafJobs);
        let mut state = self.state.lock();
        let mut actions = Vec::new();
        let job_id = self.with_scheduler(&mut state, &mut actions, |s, now, env, actions| {
            s.submit(now, job, env, actions)
        });
        state.jobs.insert(job_id, pending);
        self.apply_actions(&mut state, actions, None);
        self.wake.notify_one();
        job_id
    }

    /// Abandons a job whose answer nobody awaits any more.
    fn abandon(self: &Arc<ShardGroup>, job_id: JobId) {
        let mut state = self.state.lock();
        state.jobs.remove(&job_id);
        let mut actions = Vec::new();
        self.with_scheduler(&mut state, &mut actions, |s, now, env, actions| {
            s.abandon(now, job_id, env, actions);
        });
        self.apply_actions(&mut state, actions, None);
        self.wake.notify_one();
    }

    /// Calls the scheduler with the current time and its environment.
    fn with_scheduler<T>(
        &self,
        state: &mut State,
        actions: &mut Vec<Action>,
        f: impl FnOnce(&mut GroupScheduler, Instant, &mut Env<'_>, &mut Vec<Action>) -> T,
    ) -> T {
        let is_quarantined = |fingerprint| self.context.is_quarantined(fingerprint);
        let mut env = Env { rng: &mut state.rng, is_quarantined: &is_quarantined };
        f(&mut state.scheduler, self.context.now(), &mut env, actions)
    }

    /// Drives the scheduler's timers until `cancel`.
    pub(crate) async fn run_timers(self: Arc<ShardGroup>, cancel: CancellationToken) {
        loop {
            let due = self.poll_scheduler();
            let sleep = async {
                match due {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = cancel.cancelled() => return,
                () = self.wake.notified() => {}
                () = sleep => {}
            }
        }
    }

    /// Runs expired timers; returns when the next one expires.
    fn poll_scheduler(self: &Arc<ShardGroup>) -> Option<Instant> {
        let mut state = self.state.lock();
        let mut actions = Vec::new();
        let due = self.with_scheduler(&mut state, &mut actions, |s, now, env, actions| {
            s.poll(now, env, actions)
        });
        let acted = !actions.is_empty();
        self.apply_actions(&mut state, actions, None);
        // The actions may have set a timer earlier than `due`, so the scheduler is polled again.
        if acted { Some(self.context.now()) } else { due }
    }

    /// Carries out the scheduler's actions. `answer` is that of the attempt which has just
    /// completed its job, if one has.
    fn apply_actions(
        self: &Arc<ShardGroup>,
        state: &mut State,
        actions: Vec<Action>,
        mut answer: Option<GroupAnswer>,
    ) {
        for action in actions {
            match action {
                Action::Send { job_id, attempt, upstream } => {
                    self.send_attempt(state, job_id, attempt, upstream);
                }
                Action::Cancel { attempt } => {
                    if let Some(token) = state.attempts.remove(&attempt) {
                        token.cancel();
                    }
                }
                Action::Finish { job_id, end } => {
                    let answer = match end {
                        JobResult::Done => answer.take(),
                        JobResult::Failed { reason, fate } => {
                            Some(self.failed_answer(reason, fate))
                        }
                    };
                    let Some(pending) = state.jobs.remove(&job_id) else { continue };
                    if let Some(mut answer) = answer {
                        answer.window = state.scheduler.window(MIN_VERSION_REPLICAS);
                        // The receiver has been dropped if the query was cancelled meanwhile.
                        let _ = pending.answer.send(answer);
                    }
                }
            }
        }
    }

    fn send_attempt(
        self: &Arc<ShardGroup>,
        state: &mut State,
        job_id: JobId,
        attempt: id::Attempt,
        upstream: id::Upstream,
    ) {
        let Some(pending) = state.jobs.get(&job_id) else { return };
        let cancel = CancellationToken::new();
        state.attempts.insert(attempt, cancel.clone());
        self.context.counters.count(Counter::LeafAttempts);
        let mut request = pending.request.clone();
        request.attempt = attempt;
        let sub_request = SubRequest {
            upstream,
            request,
            deadline: pending.deadline,
            max_connections: self.max_connections,
            cancel: cancel.clone(),
        };
        let guard = AttemptGuard {
            group: self.clone(),
            attempt,
            upstream,
            fingerprint: pending.fingerprint,
            armed: true,
        };
        let span = tracing::debug_span!(parent: &pending.span, "upstream", %upstream, %attempt);
        tokio::spawn(guard.run(sub_request).instrument(span));
    }

    /// Reports the result of an attempt to the scheduler. Ignores it if the attempt was cancelled.
    fn complete_attempt(
        self: &Arc<ShardGroup>,
        attempt: id::Attempt,
        upstream: id::Upstream,
        fingerprint: u64,
        result: Result<upstream::Reply, UpstreamError>,
    ) {
        let mut state = self.state.lock();
        if state.attempts.remove(&attempt).is_none() {
            self.context.counters.count(Counter::ReplyForeign);
            return;
        }
        self.update_replica(&mut state, upstream, &result);
        let (result, answer) = self.classify(&state, attempt, result);
        self.update_quarantine(&state, upstream, fingerprint, result);
        let mut actions = Vec::new();
        self.with_scheduler(&mut state, &mut actions, |s, now, env, actions| {
            s.on_reply(now, attempt, result, env, actions);
        });
        self.apply_actions(&mut state, actions, answer);
        self.wake.notify_one();
    }

    /// Records the incarnation and version window that a reply or refusal reports.
    fn update_replica(
        &self,
        state: &mut State,
        upstream: id::Upstream,
        result: &Result<upstream::Reply, UpstreamError>,
    ) {
        let Some(replica) = state.scheduler.replica_mut(upstream) else { return };
        let (incarnation, window) = match result {
            Ok(reply) => (reply.incarnation, reply.window),
            Err(UpstreamError::Refused(refusal)) => (refusal.incarnation, refusal.window),
            Err(_) => return,
        };
        replica.record_incarnation(incarnation);
        replica.window = window.or(replica.window);
    }

    /// Converts the result of an attempt for the scheduler. Returns the group's answer as well if
    /// the reply belongs to the attempt and its plan.
    fn classify(
        &self,
        state: &State,
        attempt: id::Attempt,
        result: Result<upstream::Reply, UpstreamError>,
    ) -> (AttemptResult, Option<GroupAnswer>) {
        let counters = &self.context.counters;
        let reply = match result {
            Ok(reply) => reply,
            Err(UpstreamError::Refused(refusal)) => {
                return match refusal.refused {
                    upstream::RefusalReason::Shed => (AttemptResult::Shed, None),
                    upstream::RefusalReason::Draining => (AttemptResult::Draining, None),
                    upstream::RefusalReason::Version => (AttemptResult::VersionMissing, None),
                };
            }
            Err(UpstreamError::NotSent) => return (AttemptResult::NotSent, None),
            Err(UpstreamError::Failed) => return (AttemptResult::Failed, None),
            Err(UpstreamError::Lost) => {
                counters.count(Counter::UpstreamLost);
                return (AttemptResult::Lost, None);
            }
            Err(UpstreamError::BadReply) => {
                counters.count(Counter::ReplyBad);
                return (AttemptResult::Bad, None);
            }
        };
        let pending = state.scheduler.job_of(attempt).and_then(|id| state.jobs.get(&id));
        let Some(request) = pending.map(|p| &p.request) else { return (AttemptResult::Bad, None) };
        let matches = reply.attempt == attempt
            && reply.sender == self.context.sender()
            && reply.map == request.map
            && (!self.versioned || reply.version == request.version);
        if !matches {
            counters.count(Counter::ReplyForeign);
            return (AttemptResult::Bad, None);
        }
        let covered = reply.covered.intersection(request.range);
        let complete = covered.gaps_in(request.range).is_empty();
        let reason = (!complete).then_some(Reason::Failed);
        let part = Part {
            service: self.service.clone(),
            group: self.index,
            range: request.range,
            covered,
            reason,
            fate: Fate::Ran,
        };
        let hits = reply.hits.into_iter().filter(|h| request.range.contains(h.key)).collect();
        (AttemptResult::Done, Some(GroupAnswer { part, hits, window: None }))
    }

    /// Records a lost connection as evidence that requests with this fingerprint crash upstreams,
    /// and a completed attempt as evidence that they do not.
    fn update_quarantine(
        &self,
        state: &State,
        upstream: id::Upstream,
        fingerprint: u64,
        result: AttemptResult,
    ) {
        let context = &self.context;
        match result {
            AttemptResult::Lost => {
                let replica = state.scheduler.replicas().iter().find(|r| r.upstream == upstream);
                let in_flight = replica.map_or(1, Replica::in_flight);
                context.mark_quarantine_used();
                let completed_recently = context.recent_completions.contains(fingerprint);
                let newly_quarantined = context.quarantine.lock().record_loss(
                    context.now(),
                    fingerprint,
                    in_flight,
                    completed_recently,
                );
                if newly_quarantined {
                    context.counters.count(Counter::Quarantined);
                    log::warn!(
                        "fingerprint {fingerprint:016x} quarantined: several upstreams were lost \
                         while running its requests"
                    );
                    crate::membership::gossip(context);
                }
            }
            AttemptResult::Done => {
                context.recent_completions.record_completion(fingerprint);
                if context.quarantine_used() {
                    context.quarantine.lock().record_completion(fingerprint);
                }
            }
            _ => {}
        }
    }

    /// Returns an answer without data.
    fn failed_answer(&self, reason: Reason, fate: Fate) -> GroupAnswer {
        let (group, range) = (self.index, self.range);
        let service = self.service.clone();
        let part =
            Part { service, group, range, covered: KeySet::new(), reason: Some(reason), fate };
        GroupAnswer::missing(part, reason)
    }

    /// Returns the index versions that the group serves, as far as its replicas have reported them.
    pub(crate) fn window(&self) -> Option<Window> {
        self.state.lock().scheduler.window(MIN_VERSION_REPLICAS)
    }

    /// Applies the servers that `service` publishes for this group.
    pub(crate) fn apply_config(&self, service: &Service) {
        if let Some(group) = service.groups.get(usize::from(self.index.0)) {
            self.state.lock().scheduler.apply_servers(&group.servers, service.slots);
        }
    }

    /// Probes the replicas whose status probe is due.
    pub(crate) async fn probe_due(&self) {
        let now = self.context.now();
        let due = |r: &Replica| r.is_status_due(now);
        self.probe(self.begin_probes(now, due)).await;
    }

    /// Probes all replicas.
    pub(crate) async fn probe_all(&self) {
        self.probe(self.begin_probes(self.context.now(), |_| true)).await;
    }

    /// Probes the replicas without a known version window.
    pub(crate) async fn probe_unknown(&self) {
        let unknown = |r: &Replica| r.window.is_none();
        self.probe(self.begin_probes(self.context.now(), unknown)).await;
    }

    /// Selects the replicas to probe, and records that their probes begin.
    fn begin_probes(&self, now: Instant, select: impl Fn(&Replica) -> bool) -> Vec<id::Upstream> {
        let mut state = self.state.lock();
        let replicas = state.scheduler.replicas_mut().iter_mut().filter(|r| select(r));
        replicas
            .map(|r| {
                r.record_status_request(now);
                r.upstream
            })
            .collect()
    }

    async fn probe(&self, upstreams: Vec<id::Upstream>) {
        let probes = upstreams.into_iter().map(|upstream| async move {
            let status = self.context.external.upstream.status(upstream);
            let answer = tokio::time::timeout(STATUS_TIMEOUT, status).await;
            if let Ok(Ok(status)) = answer {
                self.record_status(upstream, &status);
            }
        });
        futures::future::join_all(probes).await;
    }

    fn record_status(&self, upstream: id::Upstream, status: &upstream::Status) {
        let mut state = self.state.lock();
        let Some(replica) = state.scheduler.replica_mut(upstream) else { return };
        replica.record_incarnation(status.incarnation);
        replica.window = status.window.or(replica.window);
        if status.draining {
            replica.record_leaving(Some(status.incarnation));
        }
    }

    /// Records whether the platform lists `upstream` as leaving.
    pub(crate) fn set_listed_leaving(&self, upstream: id::Upstream, leaving: bool) {
        if let Some(replica) = self.state.lock().scheduler.replica_mut(upstream) {
            replica.set_listed_leaving(leaving);
        }
    }

    /// Returns the state of each replica for operators.
    pub(crate) fn upstream_status(&self) -> Vec<wire::operator::UpstreamStatus> {
        let state = self.state.lock();
        let status = |r: &Replica| wire::operator::UpstreamStatus {
            service: self.service.clone(),
            group: self.index,
            upstream: r.upstream,
            in_flight: r.in_flight(),
            leaving: r.is_leaving(),
            failing: r.is_failing(),
            window: r.window,
        };
        state.scheduler.replicas().iter().map(status).collect()
    }

    /// Returns the scheduler's counters.
    pub(crate) fn counts(&self) -> policy::job::Counts {
        self.state.lock().scheduler.counts()
    }
}

/// A query for one shard group.
#[derive(Debug, Clone)]
pub(crate) struct GroupQuery {
    pub(crate) map: base::unit::Generation,
    pub(crate) version: Option<base::unit::Version>,
    pub(crate) rank: u8,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) fingerprint: u64,
    pub(crate) limit: usize,
    pub(crate) body: String,
}

/// Abandons a job if the future that awaits its answer is dropped.
struct AbandonGuard<'a> {
    group: &'a Arc<ShardGroup>,
    job_id: Option<JobId>,
}

impl AbandonGuard<'_> {
    fn disarm(mut self) {
        self.job_id = None;
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if let Some(job_id) = self.job_id {
            self.group.abandon(job_id);
        }
    }
}

/// Reports an attempt as lost if its task ends without a result, such as after a panic.
struct AttemptGuard {
    group: Arc<ShardGroup>,
    attempt: id::Attempt,
    upstream: id::Upstream,
    fingerprint: u64,
    armed: bool,
}

impl AttemptGuard {
    async fn run(mut self, sub_request: SubRequest) {
        let cancel = sub_request.cancel.clone();
        let request = self.group.context.external.upstream.request(sub_request);
        let result = tokio::select! {
            biased;
            () = cancel.cancelled() => None,
            result = request => Some(result),
        };
        self.armed = false;
        if let Some(result) = result {
            self.group.complete_attempt(self.attempt, self.upstream, self.fingerprint, result);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.armed {
            self.group.complete_attempt(
                self.attempt,
                self.upstream,
                self.fingerprint,
                Err(UpstreamError::Lost),
            );
        }
    }
}
