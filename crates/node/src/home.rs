//! Non-idempotent requests: each runs at most once, at the home node that its id names.
//!
//! The home keeps the ids that it has run, with their answers, so that a resent request gets the
//! recorded answer instead of running again.

use std::{sync::Arc, time::Duration, time::Instant};

use config::deployment::Class;
use parking_lot::Mutex;
use policy::{
    home::{Decision, DedupTable, Home, RequestId},
    outcome::{Outcome, Reason},
};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::watch;
use tracing::Instrument;
use wire::{answer, caller, peer};

use crate::{context::Context, counter::Counter, external::PeerError, plan, root::Root, trace};

/// Part of the remaining time reserved for the home's answer to travel back.
const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Runs the requests whose home is this process, and forwards the others to their home.
#[derive(Debug)]
pub struct AtMostOnceRunner {
    context: Arc<Context>,
    root: Arc<Root>,
    dedup: Mutex<DedupTable<answer::Run>>,
    /// Number of answers recorded; wakes resent requests that wait for one.
    answers: watch::Sender<u64>,
}

impl AtMostOnceRunner {
    /// Creates a runner with an empty deduplication table.
    pub fn new(context: Arc<Context>, root: Arc<Root>) -> AtMostOnceRunner {
        let validity_ms = context.settings.id_validity.as_millis() as u64;
        let dedup = DedupTable::new(context.node, context.incarnation, validity_ms);
        AtMostOnceRunner { context, root, dedup: Mutex::new(dedup), answers: watch::Sender::new(0) }
    }

    /// Returns the number of ids in the deduplication table.
    pub fn remembered_ids(&self) -> usize {
        self.dedup.lock().len()
    }

    /// Returns the latest expiry of a remembered id, in milliseconds since the Unix epoch.
    pub fn last_expiry_ms(&self) -> Option<u64> {
        self.dedup.lock().last_expiry_ms()
    }

    /// Answers a caller's request.
    ///
    /// Returns an error if the request is invalid; it has not run then.
    pub async fn run(
        self: &Arc<AtMostOnceRunner>,
        call: caller::Run,
    ) -> Result<answer::Run, caller::Error> {
        let arrival = self.context.now();
        let Some(config) = self.context.config_for_callers() else {
            // A request with an id may have been sent before and have run.
            let outcome = if call.id.is_some() { Outcome::Unknown } else { Outcome::NotRun };
            return Ok(self.finish(answer::Run::unanswered(outcome, Reason::NotReady)));
        };
        let class =
            plan::check(&config.deployment, &call.caller, &call.class, &call.service, true)?;
        let deadline = arrival + plan::allowed_time(class, call.deadline_ms)?;
        let id = call.id.clone().unwrap_or_else(|| self.new_request_id());
        let request = Request {
            caller: call.caller,
            class: class.clone(),
            service: call.service,
            key: call.key,
            body: call.body,
            id,
            deadline,
        };
        let answer = self.dispatch(request, false).await;
        Ok(self.finish(answer))
    }

    /// Answers a request that another node forwarded to this one.
    pub async fn run_forwarded(self: &Arc<AtMostOnceRunner>, call: peer::Run) -> answer::Run {
        let arrival = self.context.now();
        let refuse = |reason| answer::Run::unanswered(Outcome::Unknown, reason);
        let Some(config) = self.context.config_for_callers() else {
            return refuse(Reason::NotReady);
        };
        let class = plan::check(&config.deployment, &call.caller, &call.class, &call.service, true);
        let Ok(class) = class else { return refuse(Reason::NotReady) };
        let request = Request {
            caller: call.caller,
            class: class.clone(),
            service: call.service,
            key: call.key,
            body: call.body,
            id: call.id,
            deadline: arrival + Duration::from_millis(call.remaining_ms),
        };
        self.dispatch(request, true).await
    }

    /// Runs, forwards or answers a request as the deduplication table decides.
    async fn dispatch(
        self: &Arc<AtMostOnceRunner>,
        request: Request,
        forwarded: bool,
    ) -> answer::Run {
        let now_ms = self.context.wall_clock.unix_ms();
        let decision = self.dedup.lock().admit(now_ms, &request.id, forwarded);
        let id = SmolStr::from(request.id.clone());
        let mut answer = match decision {
            Decision::Run => self.run_here(request).await,
            Decision::Wait => self.wait(request).await,
            Decision::Answered(answer) => {
                self.context.counters.count(Counter::RunRepeated);
                answer
            }
            Decision::Forward(node) => self.forward(node, request).await,
            Decision::Unknown(reason) => answer::Run::unanswered(Outcome::Unknown, reason),
        };
        answer.id = id;
        answer
    }

    /// Runs the request in its own task, so that it completes and its answer is recorded even if
    /// the caller disconnects.
    async fn run_here(self: &Arc<AtMostOnceRunner>, request: Request) -> answer::Run {
        self.context.counters.count(Counter::RunHere);
        let guard = AnswerGuard { runner: self.clone(), id: request.id.clone(), armed: true };
        let task = tokio::spawn(guard.execute(request).in_current_span());
        let failed = |_| answer::Run::unanswered(Outcome::Unknown, Reason::Failed);
        task.await.unwrap_or_else(failed)
    }

    async fn execute(&self, request: &Request) -> answer::Run {
        let config = self.context.config();
        let Some(service) = config.as_ref().and_then(|c| c.service(&request.service)) else {
            return answer::Run::unanswered(Outcome::NotRun, Reason::NotReady);
        };
        let Request { class, key, body, deadline, .. } = request;
        match self.root.execute(service, class, key, body, *deadline).await {
            Ok(group_answer) => answer::Run {
                outcome: Outcome::Complete,
                reason: None,
                retry_after_ms: None,
                body: group_answer.hits.first().map(|h| h.document.clone()),
                id: SmolStr::default(),
                trace: SmolStr::default(),
            },
            Err((reason, fate)) => answer::Run::unanswered(Outcome::unanswered(fate), reason),
        }
    }

    fn record(&self, id: &RequestId, answer: answer::Run) {
        self.dedup.lock().record_answer(id, answer);
        self.answers.send_modify(|n| *n += 1);
    }

    /// Waits for the answer of an earlier request with the same id that is still running.
    async fn wait(&self, request: Request) -> answer::Run {
        let mut answers = self.answers.subscribe();
        let deadline = tokio::time::Instant::from_std(request.deadline);
        loop {
            let now_ms = self.context.wall_clock.unix_ms();
            let decision = self.dedup.lock().admit(now_ms, &request.id, true);
            match decision {
                Decision::Answered(answer) => return answer,
                Decision::Wait => {}
                // The id expired during the wait.
                _ => return answer::Run::unanswered(Outcome::Unknown, Reason::Expired),
            }
            if tokio::time::timeout_at(deadline, answers.changed()).await.is_err() {
                return answer::Run::unanswered(Outcome::Unknown, Reason::Deadline);
            }
        }
    }

    async fn forward(&self, node: base::id::Node, request: Request) -> answer::Run {
        self.context.counters.count(Counter::RunForwarded);
        let remaining = request.deadline.saturating_duration_since(self.context.now());
        let message = peer::Run {
            hello: self.context.hello(),
            caller: request.caller,
            class: request.class.name,
            service: request.service,
            key: request.key,
            body: request.body,
            id: request.id,
            remaining_ms: remaining.saturating_sub(HOP_MARGIN).as_millis() as u64,
        };
        let span = tracing::debug_span!("home", %node);
        let call = self.context.external.peer.run(node, message).instrument(span);
        match tokio::time::timeout(remaining, call).await {
            Ok(Ok(answer)) => answer,
            // The home may have run this id earlier, for a request forwarded by another node, so
            // even an unsent or refused request does not prove that it did not run.
            Ok(Err(PeerError::NotSent | PeerError::Refused(_) | PeerError::Lost)) => {
                answer::Run::unanswered(Outcome::Unknown, Reason::HomeUnreachable)
            }
            Err(_) => answer::Run::unanswered(Outcome::Unknown, Reason::Deadline),
        }
    }

    /// Creates an id with this process as its home.
    fn new_request_id(&self) -> RequestId {
        let expiry_ms = self.context.wall_clock.unix_ms()
            + self.context.settings.id_validity.as_millis() as u64;
        let home =
            Home { node: self.context.node, incarnation: self.context.incarnation, expiry_ms };
        RequestId { home, nonce: format_smolstr!("{:016x}", self.context.random()) }
    }

    /// Counts the outcome of an answer to a caller, and sets its trace id.
    fn finish(&self, mut answer: answer::Run) -> answer::Run {
        if answer.outcome == Outcome::Unknown {
            self.context.counters.count(Counter::RunUnknown);
        }
        answer.trace = trace::current_trace_id(&self.context);
        answer
    }
}

/// A validated non-idempotent request.
#[derive(Debug, Clone)]
struct Request {
    caller: base::id::Caller,
    class: Class,
    service: base::id::Service,
    key: String,
    body: String,
    id: RequestId,
    deadline: Instant,
}

/// Records the outcome "unknown" for a request whose task ends without an answer, such as after a
/// panic. Resent requests would otherwise wait until their deadline or the expiry of the id.
struct AnswerGuard {
    runner: Arc<AtMostOnceRunner>,
    id: RequestId,
    armed: bool,
}

impl AnswerGuard {
    async fn execute(mut self, request: Request) -> answer::Run {
        let answer = self.runner.execute(&request).await;
        self.armed = false;
        self.runner.record(&self.id, answer.clone());
        answer
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        if self.armed {
            let answer = answer::Run::unanswered(Outcome::Unknown, Reason::Failed);
            self.runner.record(&self.id, answer);
        }
    }
}
