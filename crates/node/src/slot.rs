
<<<<<<< ours
//! One shard group at a leaf: runs what its scheduler decides.

use std::{sync::Arc, time::Instant};

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
    counter::Name,
    edge::{Sub, UpstreamError},
};

/// Replicas that must hold a version before it counts as served by the group.
const VERSION_REPLICAS: usize = 2;
/// Distance between the attempt numbers of two groups of one node.
const ATTEMPT_STRIDE_BITS: u32 = 40;

#[derive(Debug)]
struct State {
    group: GroupScheduler,
    rng: ChaCha8Rng,
    pending: FastMap<JobId, Pending>,
    attempts: FastMap<id::Attempt, CancellationToken>,
}

#[derive(Debug)]
struct Pending {
    answer: oneshot::Sender<GroupAnswer>,
    request: upstream::Request,
    deadline: Instant,
    fingerprint: u64,
    span: tracing::Span,
}

/// One shard group at a leaf.
#[derive(Debug)]
pub(crate) struct Slot {
    context: Arc<Context>,
    pub(crate) service: id::Service,
    pub(crate) index: id::Group,
    versioned: bool,
    connections: usize,
    range: base::keyspace::KeyRange,
    state: Mutex<State>,
    wake: Notify,
}

impl Slot {
    pub(crate) fn new(
        context: Arc<Context>,
        service: &Service,
        index: id::Group,
        serial: u64,
        schedulers: usize,
        connections: usize,
    ) -> Slot {
        let published = &service.groups[usize::from(index.0)];
        let slots = service.slots.min(u32::try_from(connections).unwrap_or(u32::MAX));
        let replicas =
            published.servers.iter().map(|s| Replica::new(s.upstream, slots, s.leaving)).collect();
        let group =
            GroupScheduler::new(replicas, slots, schedulers as u32, serial << ATTEMPT_STRIDE_BITS)
                .with_options(context.options);
        let state = State {
            group,
            rng: context.fork_rng(),
            pending: FastMap::default(),
            attempts: FastMap::default(),
        };
        Slot {
            service: service.name.clone(),
            index,
            versioned: service.versioned,
            connections,
            range: published.range,
            state: Mutex::new(state),
            wake: Notify::new(),
            context,
        }
    }

    /// Runs `query` on this group. Dropping the future abandons it.
    pub(crate) async fn run(self: &Arc<Slot>, query: Query) -> GroupAnswer {
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
        let pending = Pending {
            answer: sender,
            request,
            deadline: query.deadline,
            fingerprint: query.fingerprint,
            span: tracing::Span::current(),
        };
        let ticket = self.submit(job, pending);
        let guard = Abandon { slot: self, ticket: Some(ticket) };
        let answer = receiver.await;
        guard.disarm();
        answer.unwrap_or_else(|_| self.failure(Reason::Failed, Fate::MayHaveRun))
    }

    fn submit(self: &Arc<Slot>, job: Job, pending: Pending) -> JobId {
        self.context.counters.count(Name::LeafJobs);
        let mut state = self.state.lock();
        let mut actions = Vec::new();
        let ticket = self.step(&mut state, &mut actions, |group, now, env, actions| {
            group.submit(now, job, env, actions)
        });
        state.pending.insert(ticket, pending);
        self.perform(&mut state, actions, None);
        self.wake.notify_one();
        ticket
    }

    fn abandon(self: &Arc<Slot>, ticket: JobId) {
        let mut state = self.state.lock();
        state.pending.remove(&ticket);
        let mut actions = Vec::new();
        self.step(&mut state, &mut actions, |group, now, env, actions| {
            group.abandon(now, ticket, env, actions);
        });
        self.perform(&mut state, actions, None);
        self.wake.notify_one();
    }

    fn step<T>(
        &self,
        state: &mut State,
        actions: &mut Vec<Action>,
        f: impl FnOnce(&mut GroupScheduler, Instant, &mut Env<'_>, &mut Vec<Action>) -> T,
    ) -> T {
        let suspect = |fingerprint| self.context.is_suspect(fingerprint);
        let mut env = Env { rng: &mut state.rng, is_quarantined: &suspect };
        f(&mut state.group, self.context.now(), &mut env, actions)
    }

    /// Fires timers of the scheduler until `cancel`.
    pub(crate) async fn drive(self: Arc<Slot>, cancel: CancellationToken) {
        loop {
            let due = self.poll();
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

    fn poll(self: &Arc<Slot>) -> Option<Instant> {
        let mut state = self.state.lock();
        let mut actions = Vec::new();
        let due = self.step(&mut state, &mut actions, |group, now, env, actions| {
            group.poll(now, env, actions)
        });
        let acted = !actions.is_empty();
        self.perform(&mut state, actions, None);
        // What was done may have set an earlier timer.
        if acted { Some(self.context.now()) } else { due }
    }

    fn perform(
        self: &Arc<Slot>,
        state: &mut State,
        actions: Vec<Action>,
        mut done: Option<GroupAnswer>,
    ) {
        for action in actions {
            match action {
                Action::Send { job_id, attempt, upstream } => {
                    self.send(state, job_id, attempt, upstream);
                }
                Action::Cancel { attempt } => {
                    if let Some(token) = state.attempts.remove(&attempt) {
                        token.cancel();
                    }
                }
                Action::Finish { job_id, end } => {
                    let slice = match end {
                        JobResult::Done => done.take(),
                        JobResult::Failed { reason, fate } => Some(self.failure(reason, fate)),
                    };
                    let Some(pending) = state.pending.remove(&job_id) else { continue };
                    if let Some(mut slice) = slice {
                        slice.window = state.group.window(VERSION_REPLICAS);
                        // The receiver is gone if the query was abandoned meanwhile.
                        let _ = pending.answer.send(slice);
                    }
                }
            }
        }
    }

    fn send(
        self: &Arc<Slot>,
        state: &mut State,
        ticket: JobId,
        attempt: id::Attempt,
        upstream: id::Upstream,
    ) {
        let Some(pending) = state.pending.get(&ticket) else { return };
        let cancel = CancellationToken::new();
        state.attempts.insert(attempt, cancel.clone());
        self.context.counters.count(Name::LeafAttempts);
        let mut request = pending.request.clone();
        request.attempt = attempt;
        let sub = Sub {
            upstream,
            request,
            deadline: pending.deadline,
            connections: self.connections,
            cancel: cancel.clone(),
        };
        let guard = Unfinished {
            slot: self.clone(),
            attempt,
            upstream,
            fingerprint: pending.fingerprint,
            armed: true,
        };
        let span = tracing::debug_span!(parent: &pending.span, "upstream", %upstream, %attempt);
        tokio::spawn(guard.finish(sub).instrument(span));
    }

    fn complete(
        self: &Arc<Slot>,
        attempt: id::Attempt,
        upstream: id::Upstream,
        fingerprint: u64,
        result: Result<upstream::Reply, UpstreamError>,
    ) {
        let mut state = self.state.lock();
        if state.attempts.remove(&attempt).is_none() {
            self.context.counters.count(Name::ReplyForeign);
            return;
        }
        self.learn(&mut state, upstream, &result);
        let (reply, slice) = self.classify(&state, attempt, result);
        self.weigh(&state, upstream, fingerprint, reply);
        let mut actions = Vec::new();
        self.step(&mut state, &mut actions, |group, now, env, actions| {
            group.on_reply(now, attempt, reply, env, actions);
        });
        self.perform(&mut state, actions, slice);
        self.wake.notify_one();
    }

    fn learn(
        &self,
        state: &mut State,
        upstream: id::Upstream,
        result: &Result<upstream::Reply, UpstreamError>,
    ) {
        let Some(replica) = state.group.replica_mut(upstream) else { return };
        let (incarnation, window) = match result {
            Ok(reply) => (reply.incarnation, reply.window),
            Err(UpstreamError::Refused(refusal)) => (refusal.incarnation, refusal.window),
            Err(_) => return,
        };
        replica.record_incarnation(incarnation);
        replica.window = window.or(replica.window);
    }

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
            Err(UpstreamError::Unreached) => return (AttemptResult::Unreached, None),
            Err(UpstreamError::Failed) => return (AttemptResult::Failed, None),
            Err(UpstreamError::Lost) => {
                counters.count(Name::UpstreamLost);
                return (AttemptResult::Lost, None);
            }
            Err(UpstreamError::Bad) => {
                counters.count(Name::ReplyBad);
                return (AttemptResult::Bad, None);
            }
        };
        let plan = state.group.job_of(attempt).and_then(|t| state.pending.get(&t));
        let Some(plan) = plan.map(|p| &p.request) else { return (AttemptResult::Bad, None) };
        let belongs = reply.attempt == attempt
            && reply.sender == self.context.sender()
            && reply.map == plan.map
            && (!self.versioned || reply.version == plan.version);
        if !belongs {
            counters.count(Name::ReplyForeign);
            return (AttemptResult::Bad, None);
        }
        let covered = reply.covered.intersection(plan.range);
        let whole = covered.gaps_in(plan.range).is_empty();
        let reason = (!whole).then_some(Reason::Failed);
        let part = Part {
            service: self.service.clone(),
            group: self.index,
            range: plan.range,
            covered,
            reason,
            fate: Fate::Ran,
        };
        let hits = reply.hits.into_iter().filter(|h| plan.range.contains(h.key)).collect();
        (AttemptResult::Done, Some(GroupAnswer { part, hits, window: None }))
    }

    fn weigh(&self, state: &State, upstream: id::Upstream, fingerprint: u64, reply: AttemptResult) {
        let context = &self.context;
        match reply {
            AttemptResult::Lost => {
                let beside = state.group.replicas().iter().find(|r| r.upstream == upstream);
                let beside = beside.map_or(1, Replica::in_flight);
                context.raise_suspicion();
                let known = context.known.contains(fingerprint);
                let newly =
                    context.book.lock().record_loss(context.now(), fingerprint, beside, known);
                if newly {
                    context.counters.count(Name::Quarantined);
                    log::warn!(
                        "fingerprint {fingerprint:016x} quarantined: it ran on several lost upstreams"
                    );
                    crate::fleet::spread_news(context);
                }
            }
            AttemptResult::Done => {
                context.known.record_completion(fingerprint);
                if context.has_suspicion() {
                    context.book.lock().record_completion(fingerprint);
                }
            }
            _ => {}
        }
    }

    fn failure(&self, reason: Reason, fate: Fate) -> GroupAnswer {
        let (group, range) = (self.index, self.range);
        let service = self.service.clone();
        let part =
            Part { service, group, range, covered: KeySet::new(), reason: Some(reason), fate };
        GroupAnswer::missing(part, reason)
    }

    /// Versions that the group serves, as far as known.
    pub(crate) fn window(&self) -> Option<Window> {
        self.state.lock().group.window(VERSION_REPLICAS)
    }

    /// Takes over the published servers of this group.
    pub(crate) fn publish(&self, service: &Service) {
        if let Some(group) = service.groups.get(usize::from(self.index.0)) {
            self.state.lock().group.apply_servers(&group.servers, service.slots);
        }
    }

    /// Asks those replicas for their status for which it is time.
    pub(crate) async fn probe(&self) {
        let now = self.context.now();
        let due = |r: &Replica| r.is_status_due(now);
        self.ask_status(self.due_for_status(now, due)).await;
    }

    /// Asks all replicas for their status.
    pub(crate) async fn probe_all(&self) {
        self.ask_status(self.due_for_status(self.context.now(), |_| true)).await;
    }

    /// Asks those replicas for their status whose versions are not known.
    pub(crate) async fn probe_unknown(&self) {
        let unknown = |r: &Replica| r.window.is_none();
        self.ask_status(self.due_for_status(self.context.now(), unknown)).await;
    }

    fn due_for_status(&self, now: Instant, due: impl Fn(&Replica) -> bool) -> Vec<id::Upstream> {
        let mut state = self.state.lock();
        let replicas = state.group.replicas_mut().iter_mut().filter(|r| due(r));
        replicas
            .map(|r| {
                r.record_status_request(now);
                r.upstream
            })
            .collect()
    }

    async fn ask_status(&self, upstreams: Vec<id::Upstream>) {
        let asked = upstreams.into_iter().map(|upstream| async move {
            let status = self.context.edges.upstream.status(upstream);
            let answer = tokio::time::timeout(PROBE_TIMEOUT, status).await;
            if let Ok(Ok(status)) = answer {
                self.learn_status(upstream, &status);
            }
        });
        futures::future::join_all(asked).await;
    }

    fn learn_status(&self, upstream: id::Upstream, status: &upstream::Status) {
        let mut state = self.state.lock();
        let Some(replica) = state.group.replica_mut(upstream) else { return };
        replica.record_incarnation(status.incarnation);
        replica.window = status.window.or(replica.window);
        if status.draining {
            replica.record_leaving(Some(status.incarnation));
        }
    }

    /// Records what the platform's list says of `upstream`.
    pub(crate) fn list_leaving(&self, upstream: id::Upstream, leaving: bool) {
        if let Some(replica) = self.state.lock().group.replica_mut(upstream) {
            replica.set_listed_leaving(leaving);
        }
    }

    /// State of each replica, for operators.
    pub(crate) fn describe(&self) -> Vec<wire::operator::UpstreamStatus> {
        let state = self.state.lock();
        let describe = |r: &Replica| wire::operator::UpstreamStatus {
            service: self.service.clone(),
            group: self.index,
            upstream: r.upstream,
            in_flight: r.in_flight(),
            leaving: r.is_leaving(),
            failing: r.is_failing(),
            window: r.window,
        };
        state.group.replicas().iter().map(describe).collect()
    }

    /// Counts of the scheduler.
    pub(crate) fn counts(&self) -> policy::job::Counts {
        self.state.lock().group.counts()
    }
}

const PROBE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(250);

/// What a slot is asked to run.
#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) map: base::unit::Generation,
    pub(crate) version: Option<base::unit::Version>,
    pub(crate) rank: u8,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) fingerprint: u64,
    pub(crate) limit: usize,
    pub(crate) body: String,
}

struct Abandon<'a> {
    slot: &'a Arc<Slot>,
    ticket: Option<JobId>,
}

impl Abandon<'_> {
    fn disarm(mut self) {
        self.ticket = None;
    }
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.slot.abandon(ticket);
        }
    }
}

/// Reports an attempt as lost if its task ends without a result, as by a panic.
struct Unfinished {
    slot: Arc<Slot>,
    attempt: id::Attempt,
    upstream: id::Upstream,
    fingerprint: u64,
    armed: bool,
}

impl Unfinished {
    async fn finish(mut self, sub: Sub) {
        let cancel = sub.cancel.clone();
        let request = self.slot.context.edges.upstream.request(sub);
        let result = tokio::select! {
            biased;
            () = cancel.cancelled() => None,
            result = request => Some(result),
        };
        self.armed = false;
        if let Some(result) = result {
            self.slot.complete(self.attempt, self.upstream, self.fingerprint, result);
        }
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        if self.armed {
            self.slot.complete(
                self.attempt,
                self.upstream,
                self.fingerprint,
                Err(UpstreamError::Lost),
            );
        }
    }
}

||||||| base
//! One shard group at a leaf: runs what its scheduler decides.

use std::{sync::Arc, time::Instant};

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
    counter::Name,
    edge::{Sub, UpstreamError},
};

/// Replicas that must hold a version before it counts as served by the group.
const VERSION_REPLICAS: usize = 2;
/// Distance between the attempt numbers of two groups of one node.
const ATTEMPT_STRIDE_BITS: u32 = 40;

#[derive(Debug)]
struct State {
    group: GroupScheduler,
    rng: ChaCha8Rng,
    pending: FastMap<JobId, Pending>,
    attempts: FastMap<id::Attempt, CancellationToken>,
}

#[derive(Debug)]
struct Pending {
    answer: oneshot::Sender<GroupAnswer>,
    request: upstream::Request,
    deadline: Instant,
    fingerprint: u64,
    span: tracing::Span,
}

/// One shard group at a leaf.
#[derive(Debug)]
pub(crate) struct Slot {
    context: Arc<Context>,
    pub(crate) service: id::Service,
    pub(crate) index: id::Group,
    versioned: bool,
    connections: usize,
    range: base::keyspace::KeyRange,
    state: Mutex<State>,
    wake: Notify,
}

impl Slot {
    pub(crate) fn new(
        context: Arc<Context>,
        service: &Service,
        index: id::Group,
        serial: u64,
        schedulers: usize,
        connections: usize,
    ) -> Slot {
        let published = &service.groups[usize::from(index.0)];
        let slots = service.slots.min(u32::try_from(connections).unwrap_or(u32::MAX));
        let replicas =
            published.servers.iter().map(|s| Replica::new(s.upstream, slots, s.leaving)).collect();
        let group =
            GroupScheduler::new(replicas, slots, schedulers as u32, serial << ATTEMPT_STRIDE_BITS)
                .with_options(context.options);
        let state = State {
            group,
            rng: context.fork_rng(),
            pending: FastMap::default(),
            attempts: FastMap::default(),
        };
        Slot {
            service: service.name.clone(),
            index,
            versioned: service.versioned,
            connections,
            range: published.range,
            state: Mutex::new(state),
            wake: Notify::new(),
            context,
        }
    }

    /// Runs `query` on this group. Dropping the future abandons it.
    pub(crate) async fn run(self: &Arc<Slot>, query: Query) -> GroupAnswer {
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
        let pending = Pending {
            answer: sender,
            request,
            deadline: query.deadline,
            fingerprint: query.fingerprint,
            span: tracing::Span::current(),
        };
        let ticket = self.submit(job, pending);
        let guard = Abandon { slot: self, ticket: Some(ticket) };
        let answer = receiver.await;
        guard.disarm();
        answer.unwrap_or_else(|_| self.failure(Reason::Failed, Fate::MayHaveRun))
    }

    fn submit(self: &Arc<Slot>, job: Job, pending: Pending) -> JobId {
        self.context.counters.count(Name::LeafJobs);
        let mut state = self.state.lock();
        let mut actions = Vec::new();
        let ticket = self.step(&mut state, &mut actions, |group, now, env, actions| {
            group.submit(now, job, env, actions)
        });
        state.pending.insert(ticket, pending);
        self.perform(&mut state, actions, None);
        self.wake.notify_one();
        ticket
    }

    fn abandon(self: &Arc<Slot>, ticket: JobId) {
        let mut state = self.state.lock();
        state.pending.remove(&ticket);
        let mut actions = Vec::new();
        self.step(&mut state, &mut actions, |group, now, env, actions| {
            group.abandon(now, ticket, env, actions);
        });
        self.perform(&mut state, actions, None);
        self.wake.notify_one();
    }

    fn step<T>(
        &self,
        state: &mut State,
        actions: &mut Vec<Action>,
        f: impl FnOnce(&mut GroupScheduler, Instant, &mut Env<'_>, &mut Vec<Action>) -> T,
    ) -> T {
        let suspect = |fingerprint| self.context.is_suspect(fingerprint);
        let mut env = Env { rng: &mut state.rng, is_quarantined: &suspect };
        f(&mut state.group, self.context.now(), &mut env, actions)
    }

    /// Fires timers of the scheduler until `cancel`.
    pub(crate) async fn drive(self: Arc<Slot>, cancel: CancellationToken) {
        loop {
            let due = self.poll();
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

    fn poll(self: &Arc<Slot>) -> Option<Instant> {
        let mut state = self.state.lock();
        let mut actions = Vec::new();
        let due = self.step(&mut state, &mut actions, |group, now, env, actions| {
            group.poll(now, env, actions)
        });
        let acted = !actions.is_empty();
        self.perform(&mut state, actions, None);
        // What was done may have set an earlier timer.
        if acted { Some(self.context.now()) } else { due }
    }

    fn perform(
        self: &Arc<Slot>,
        state: &mut State,
        actions: Vec<Action>,
        mut done: Option<GroupAnswer>,
    ) {
        for action in actions {
            match action {
                Action::Send { ticket, attempt, upstream } => {
                    self.send(state, ticket, attempt, upstream);
                }
                Action::Cancel { attempt } => {
                    if let Some(token) = state.attempts.remove(&attempt) {
                        token.cancel();
                    }
                }
                Action::Finish { ticket, end } => {
                    let slice = match end {
                        JobResult::Done => done.take(),
                        JobResult::Failed { reason, fate } => Some(self.failure(reason, fate)),
                    };
                    let Some(pending) = state.pending.remove(&ticket) else { continue };
                    if let Some(mut slice) = slice {
                        slice.window = state.group.window(VERSION_REPLICAS);
                        // The receiver is gone if the query was abandoned meanwhile.
                        let _ = pending.answer.send(slice);
                    }
                }
            }
        }
    }

    fn send(
        self: &Arc<Slot>,
        state: &mut State,
        ticket: JobId,
        attempt: id::Attempt,
        upstream: id::Upstream,
    ) {
        let Some(pending) = state.pending.get(&ticket) else { return };
        let cancel = CancellationToken::new();
        state.attempts.insert(attempt, cancel.clone());
        self.context.counters.count(Name::LeafAttempts);
        let mut request = pending.request.clone();
        request.attempt = attempt;
        let sub = Sub {
            upstream,
            request,
            deadline: pending.deadline,
            connections: self.connections,
            cancel: cancel.clone(),
        };
        let guard = Unfinished {
            slot: self.clone(),
            attempt,
            upstream,
            fingerprint: pending.fingerprint,
            armed: true,
        };
        let span = tracing::debug_span!(parent: &pending.span, "upstream", %upstream, %attempt);
        tokio::spawn(guard.finish(sub).instrument(span));
    }

    fn complete(
        self: &Arc<Slot>,
        attempt: id::Attempt,
        upstream: id::Upstream,
        fingerprint: u64,
        result: Result<upstream::Reply, UpstreamError>,
    ) {
        let mut state = self.state.lock();
        if state.attempts.remove(&attempt).is_none() {
            self.context.counters.count(Name::ReplyForeign);
            return;
        }
        self.learn(&mut state, upstream, &result);
        let (reply, slice) = self.classify(&state, attempt, result);
        self.weigh(&state, upstream, fingerprint, reply);
        let mut actions = Vec::new();
        self.step(&mut state, &mut actions, |group, now, env, actions| {
            group.on_reply(now, attempt, reply, env, actions);
        });
        self.perform(&mut state, actions, slice);
        self.wake.notify_one();
    }

    fn learn(
        &self,
        state: &mut State,
        upstream: id::Upstream,
        result: &Result<upstream::Reply, UpstreamError>,
    ) {
        let Some(replica) = state.group.replica_mut(upstream) else { return };
        let (incarnation, window) = match result {
            Ok(reply) => (reply.incarnation, reply.window),
            Err(UpstreamError::Refused(refusal)) => (refusal.incarnation, refusal.window),
            Err(_) => return,
        };
        replica.record_incarnation(incarnation);
        replica.window = window.or(replica.window);
    }

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
            Err(UpstreamError::Unreached) => return (AttemptResult::Unreached, None),
            Err(UpstreamError::Failed) => return (AttemptResult::Failed, None),
            Err(UpstreamError::Lost) => {
                counters.count(Name::UpstreamLost);
                return (AttemptResult::Lost, None);
            }
            Err(UpstreamError::Bad) => {
                counters.count(Name::ReplyBad);
                return (AttemptResult::Bad, None);
            }
        };
        let plan = state.group.job_of(attempt).and_then(|t| state.pending.get(&t));
        let Some(plan) = plan.map(|p| &p.request) else { return (AttemptResult::Bad, None) };
        let belongs = reply.attempt == attempt
            && reply.sender == self.context.sender()
            && reply.map == plan.map
            && (!self.versioned || reply.version == plan.version);
        if !belongs {
            counters.count(Name::ReplyForeign);
            return (AttemptResult::Bad, None);
        }
        let covered = reply.covered.intersection(plan.range);
        let whole = covered.gaps_in(plan.range).is_empty();
        let reason = (!whole).then_some(Reason::Failed);
        let part = Part {
            service: self.service.clone(),
            group: self.index,
            range: plan.range,
            covered,
            reason,
            fate: Fate::Ran,
        };
        let hits = reply.hits.into_iter().filter(|h| plan.range.contains(h.key)).collect();
        (AttemptResult::Done, Some(GroupAnswer { part, hits, window: None }))
    }

    fn weigh(&self, state: &State, upstream: id::Upstream, fingerprint: u64, reply: AttemptResult) {
        let context = &self.context;
        match reply {
            AttemptResult::Lost => {
                let beside = state.group.replicas().iter().find(|r| r.upstream == upstream);
                let beside = beside.map_or(1, Replica::in_flight);
                context.raise_suspicion();
                let known = context.known.contains(fingerprint);
                let newly =
                    context.book.lock().record_loss(context.now(), fingerprint, beside, known);
                if newly {
                    context.counters.count(Name::Quarantined);
                    log::warn!(
                        "fingerprint {fingerprint:016x} quarantined: it ran on several lost upstreams"
                    );
                    crate::fleet::spread_news(context);
                }
            }
            AttemptResult::Done => {
                context.known.record_completion(fingerprint);
                if context.has_suspicion() {
                    context.book.lock().record_completion(fingerprint);
                }
            }
            _ => {}
        }
    }

    fn failure(&self, reason: Reason, fate: Fate) -> GroupAnswer {
        let (group, range) = (self.index, self.range);
        let service = self.service.clone();
        let part =
            Part { service, group, range, covered: KeySet::new(), reason: Some(reason), fate };
        GroupAnswer::missing(part, reason)
    }

    /// Versions that the group serves, as far as known.
    pub(crate) fn window(&self) -> Option<Window> {
        self.state.lock().group.window(VERSION_REPLICAS)
    }

    /// Takes over the published servers of this group.
    pub(crate) fn publish(&self, service: &Service) {
        if let Some(group) = service.groups.get(usize::from(self.index.0)) {
            self.state.lock().group.apply_servers(&group.servers, service.slots);
        }
    }

    /// Asks those replicas for their status for which it is time.
    pub(crate) async fn probe(&self) {
        let now = self.context.now();
        let due = |r: &Replica| r.is_status_due(now);
        self.ask_status(self.due_for_status(now, due)).await;
    }

    /// Asks all replicas for their status.
    pub(crate) async fn probe_all(&self) {
        self.ask_status(self.due_for_status(self.context.now(), |_| true)).await;
    }

    /// Asks those replicas for their status whose versions are not known.
    pub(crate) async fn probe_unknown(&self) {
        let unknown = |r: &Replica| r.window.is_none();
        self.ask_status(self.due_for_status(self.context.now(), unknown)).await;
    }

    fn due_for_status(&self, now: Instant, due: impl Fn(&Replica) -> bool) -> Vec<id::Upstream> {
        let mut state = self.state.lock();
        let replicas = state.group.replicas_mut().iter_mut().filter(|r| due(r));
        replicas
            .map(|r| {
                r.record_status_request(now);
                r.upstream
            })
            .collect()
    }

    async fn ask_status(&self, upstreams: Vec<id::Upstream>) {
        let asked = upstreams.into_iter().map(|upstream| async move {
            let status = self.context.edges.upstream.status(upstream);
            let answer = tokio::time::timeout(PROBE_TIMEOUT, status).await;
            if let Ok(Ok(status)) = answer {
                self.learn_status(upstream, &status);
            }
        });
        futures::future::join_all(asked).await;
    }

    fn learn_status(&self, upstream: id::Upstream, status: &upstream::Status) {
        let mut state = self.state.lock();
        let Some(replica) = state.group.replica_mut(upstream) else { return };
        replica.record_incarnation(status.incarnation);
        replica.window = status.window.or(replica.window);
        if status.draining {
            replica.record_leaving(Some(status.incarnation));
        }
    }

    /// Records what the platform's list says of `upstream`.
    pub(crate) fn list_leaving(&self, upstream: id::Upstream, leaving: bool) {
        if let Some(replica) = self.state.lock().group.replica_mut(upstream) {
            replica.set_listed_leaving(leaving);
        }
    }

    /// State of each replica, for operators.
    pub(crate) fn describe(&self) -> Vec<wire::operator::UpstreamStatus> {
        let state = self.state.lock();
        let describe = |r: &Replica| wire::operator::UpstreamStatus {
            service: self.service.clone(),
            group: self.index,
            upstream: r.upstream,
            in_flight: r.in_flight(),
            leaving: r.is_leaving(),
            failing: r.is_failing(),
            window: r.window,
        };
        state.group.replicas().iter().map(describe).collect()
    }

    /// Counts of the scheduler.
    pub(crate) fn counts(&self) -> policy::job::Counts {
        self.state.lock().group.counts()
    }
}

const PROBE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(250);

/// What a slot is asked to run.
#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) map: base::unit::Generation,
    pub(crate) version: Option<base::unit::Version>,
    pub(crate) rank: u8,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) fingerprint: u64,
    pub(crate) limit: usize,
    pub(crate) body: String,
}

struct Abandon<'a> {
    slot: &'a Arc<Slot>,
    ticket: Option<JobId>,
}

impl Abandon<'_> {
    fn disarm(mut self) {
        self.ticket = None;
    }
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.slot.abandon(ticket);
        }
    }
}

/// Reports an attempt as lost if its task ends without a result, as by a panic.
struct Unfinished {
    slot: Arc<Slot>,
    attempt: id::Attempt,
    upstream: id::Upstream,
    fingerprint: u64,
    armed: bool,
}

impl Unfinished {
    async fn finish(mut self, sub: Sub) {
        let cancel = sub.cancel.clone();
        let request = self.slot.context.edges.upstream.request(sub);
        let result = tokio::select! {
            biased;
            () = cancel.cancelled() => None,
            result = request => Some(result),
        };
        self.armed = false;
        if let Some(result) = result {
            self.slot.complete(self.attempt, self.upstream, self.fingerprint, result);
        }
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        if self.armed {
            self.slot.complete(
                self.attempt,
                self.upstream,
                self.fingerprint,
                Err(UpstreamError::Lost),
            );
        }
    }
}

=======

>>>>>>> theirs
