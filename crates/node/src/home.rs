//! Non-idempotent requests: run at their home, at most once.

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

/// Time kept back for the way back from the home.
const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Runs the requests whose ids name this process, and passes the others on.
#[derive(Debug)]
pub struct AtMostOnceRunner {
    context: Arc<Context>,
    root: Arc<Root>,
    memory: Mutex<DedupTable<answer::Run>>,
    /// Changes whenever an answer was recorded.
    answered: watch::Sender<u64>,
}

impl AtMostOnceRunner {
    /// A runner that remembers nothing.
    pub fn new(context: Arc<Context>, root: Arc<Root>) -> AtMostOnceRunner {
        let validity_ms = context.settings.id_validity.as_millis() as u64;
        let memory = DedupTable::new(context.node, context.incarnation, validity_ms);
        AtMostOnceRunner {
            context,
            root,
            memory: Mutex::new(memory),
            answered: watch::Sender::new(0),
        }
    }

    /// Number of ids remembered.
    pub fn remembered_ids(&self) -> usize {
        self.memory.lock().len()
    }

    /// Time of the last expiry of a remembered id, in milliseconds since the Unix epoch.
    pub fn last_expiry_ms(&self) -> Option<u64> {
        self.memory.lock().last_expiry_ms()
    }

    /// Answers a caller's request.
    ///
    /// An error means that the request was not understood and has not run.
    pub async fn run(
        self: &Arc<AtMostOnceRunner>,
        call: caller::Run,
    ) -> Result<answer::Run, caller::Error> {
        let arrived = self.context.now();
        let Some(value) = self.context.config_for_callers() else {
            // Of an id that was sent before, this node cannot say that it did not run.
            let outcome = if call.id.is_some() { Outcome::Unknown } else { Outcome::NotRun };
            return Ok(self.count(answer::Run::unanswered(outcome, Reason::NotReady)));
        };
        let class = plan::check(&value.deployment, &call.caller, &call.class, &call.service, true)?;
        let deadline = arrived + plan::allowed_time(class, call.deadline_ms)?;
        let id = call.id.clone().unwrap_or_else(|| self.fresh_id());
        let request = Request {
            caller: call.caller,
            class: class.clone(),
            service: call.service,
            key: call.key,
            body: call.body,
            id,
            deadline,
        };
        let answer = self.decide(request, false).await;
        Ok(self.count(answer))
    }

    /// Answers a request that another node passed on.
    pub async fn run_forwarded(self: &Arc<AtMostOnceRunner>, call: peer::Run) -> answer::Run {
        let arrived = self.context.now();
        let refuse = |reason| answer::Run::unanswered(Outcome::Unknown, reason);
        let Some(value) = self.context.config_for_callers() else {
            return refuse(Reason::NotReady);
        };
        let class = plan::check(&value.deployment, &call.caller, &call.class, &call.service, true);
        let Ok(class) = class else { return refuse(Reason::NotReady) };
        let request = Request {
            caller: call.caller,
            class: class.clone(),
            service: call.service,
            key: call.key,
            body: call.body,
            id: call.id,
            deadline: arrived + Duration::from_millis(call.remaining_ms),
        };
        self.decide(request, true).await
    }

    async fn decide(
        self: &Arc<AtMostOnceRunner>,
        request: Request,
        forwarded: bool,
    ) -> answer::Run {
        let now_ms = self.context.wall_clock.unix_ms();
        let verdict = self.memory.lock().admit(now_ms, &request.id, forwarded);
        let id = SmolStr::from(request.id.clone());
        let mut answer = match verdict {
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

    /// Runs the request in a task of its own, so that it is answered and remembered even if
    /// the caller goes away.
    async fn run_here(self: &Arc<AtMostOnceRunner>, request: Request) -> answer::Run {
        self.context.counters.count(Counter::RunHere);
        let guard = Unanswered { runner: self.clone(), id: request.id.clone(), armed: true };
        let task = tokio::spawn(guard.finish(request).in_current_span());
        let lost = |_| answer::Run::unanswered(Outcome::Unknown, Reason::Failed);
        task.await.unwrap_or_else(lost)
    }

    async fn execute(&self, request: &Request) -> answer::Run {
        let value = self.context.config();
        let Some(service) = value.as_ref().and_then(|v| v.service(&request.service)) else {
            return answer::Run::unanswered(Outcome::NotRun, Reason::NotReady);
        };
        let Request { class, key, body, deadline, .. } = request;
        match self.root.execute(service, class, key, body, *deadline).await {
            Ok(slice) => answer::Run {
                outcome: Outcome::Complete,
                reason: None,
                retry_after_ms: None,
                body: slice.hits.first().map(|h| h.document.clone()),
                id: SmolStr::default(),
                trace: SmolStr::default(),
            },
            Err((reason, fate)) => answer::Run::unanswered(Outcome::unanswered(fate), reason),
        }
    }

    fn record(&self, id: &RequestId, answer: answer::Run) {
        self.memory.lock().record_answer(id, answer);
        self.answered.send_modify(|n| *n += 1);
    }

    async fn wait(&self, request: Request) -> answer::Run {
        let mut changes = self.answered.subscribe();
        let deadline = tokio::time::Instant::from_std(request.deadline);
        loop {
            let now_ms = self.context.wall_clock.unix_ms();
            let verdict = self.memory.lock().admit(now_ms, &request.id, true);
            match verdict {
                Decision::Answered(answer) => return answer,
                Decision::Wait => {}
                // The id has expired meanwhile.
                _ => return answer::Run::unanswered(Outcome::Unknown, Reason::Expired),
            }
            if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
                return answer::Run::unanswered(Outcome::Unknown, Reason::Deadline);
            }
        }
    }

    async fn forward(&self, node: base::id::Node, request: Request) -> answer::Run {
        self.context.counters.count(Counter::RunForwarded);
        let left = request.deadline.saturating_duration_since(self.context.now());
        let message = peer::Run {
            hello: self.context.hello(),
            caller: request.caller,
            class: request.class.name,
            service: request.service,
            key: request.key,
            body: request.body,
            id: request.id,
            remaining_ms: left.saturating_sub(HOP_MARGIN).as_millis() as u64,
        };
        let span = tracing::debug_span!("home", %node);
        let asked = self.context.external.peer.run(node, message).instrument(span);
        match tokio::time::timeout(left, asked).await {
            Ok(Ok(answer)) => answer,
            // Another node may have had this id before: nothing here proves that it did not run.
            Ok(Err(PeerError::Unreached | PeerError::Refused(_) | PeerError::Lost)) => {
                answer::Run::unanswered(Outcome::Unknown, Reason::HomeUnreachable)
            }
            Err(_) => answer::Run::unanswered(Outcome::Unknown, Reason::Deadline),
        }
    }

    fn fresh_id(&self) -> RequestId {
        let expiry_ms = self.context.wall_clock.unix_ms()
            + self.context.settings.id_validity.as_millis() as u64;
        let home =
            Home { node: self.context.node, incarnation: self.context.incarnation, expiry_ms };
        RequestId { home, nonce: format_smolstr!("{:016x}", self.context.random()) }
    }

    fn count(&self, mut answer: answer::Run) -> answer::Run {
        if answer.outcome == Outcome::Unknown {
            self.context.counters.count(Counter::RunUnknown);
        }
        answer.trace = trace::current_trace_id(&self.context);
        answer
    }
}

/// A non-idempotent request that was understood.
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

/// Records "unknown" for a request whose task ends without an answer, as by a panic.
struct Unanswered {
    runner: Arc<AtMostOnceRunner>,
    id: RequestId,
    armed: bool,
}

impl Unanswered {
    async fn finish(mut self, request: Request) -> answer::Run {
        let answer = self.runner.execute(&request).await;
        self.armed = false;
        self.runner.record(&self.id, answer.clone());
        answer
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.armed {
            let answer = answer::Run::unanswered(Outcome::Unknown, Reason::Failed);
            self.runner.record(&self.id, answer);
        }
    }
}
