//! What the log and the metrics tell of a request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{id, unit::Generation};
use http::{HeaderValue, StatusCode, request};
use policy::{
    outcome::Reason,
    relay::{
        request::{Cause, Completion, PlannedAttempt, RequestState},
        route::Route,
        upstream::AttemptEnd,
    },
};

use crate::{forward, log_limiter::LogKind, node::Node};

/// An attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt<'a> {
    /// Index of the pool in the plan.
    pub(crate) part: usize,
    /// How it ended.
    pub(crate) end: AttemptEnd,
    /// What went wrong, if anything did.
    pub(crate) cause: Option<&'a str>,
    /// Where it went.
    pub(crate) upstream: &'a id::Instance,
}

/// Records of one request, from its first attempt to its end.
#[derive(Debug)]
pub(crate) struct Story {
    node: Arc<Node>,
    request: HeaderValue,
    route: Arc<Route>,
    generation: Generation,
    arrived: Instant,
    ended: bool,
}

impl Drop for Story {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.node.now();
            let elapsed = now.saturating_duration_since(self.arrived);
            self.node.metrics.record_answer("abandoned", "caller_left", elapsed);
            if self.node.journal.allows(now, LogKind::Failed) {
                let (request, route) = (self.request(), self.route.name.as_str());
                let elapsed_ms = elapsed.as_millis() as u64;
                tracing::info!(request, route, elapsed_ms, "caller left before the answer");
            }
        }
    }
}

impl Story {
    /// Of the request with the caller's id `request`, which is decided on by `generation`.
    pub(crate) fn new(
        node: &Arc<Node>,
        request: &HeaderValue,
        route: &Arc<Route>,
        generation: Generation,
        arrived: Instant,
    ) -> Story {
        Story {
            node: node.clone(),
            request: request.clone(),
            route: route.clone(),
            generation,
            arrived,
            ended: false,
        }
    }

    fn request(&self) -> &str {
        self.request.to_str().unwrap_or("unknown")
    }

    /// Records a second attempt.
    pub(crate) fn second(&self, now: Instant, job: &RequestState, send: &PlannedAttempt) {
        let (cause, ended) = match send.cause {
            Cause::First => return,
            Cause::Slow => ("slow", None),
            Cause::Ended(end) => ("ended", Some(end)),
        };
        self.node.metrics.second_attempts.with_label_values(&[cause]).inc();
        if self.node.journal.allows(now, LogKind::SecondAttempt) {
            let pool = &job.plan().pools[send.pool_index];
            let after_ms = now.saturating_duration_since(self.arrived).as_millis() as u64;
            let upstream = &send.choice.entry.instance;
            let stuck = send.choice.stuck;
            let ended = ended.map(end_name);
            tracing::info!(
                request = self.request(), %pool, cause, ended, %upstream, stuck, after_ms,
                "second attempt"
            );
        }
    }

    /// Records the answer.
    pub(crate) fn end(&mut self, job: &RequestState, verdict: Completion) {
        self.ended = true;
        let node = &self.node;
        let now = node.now();
        let elapsed = now.saturating_duration_since(self.arrived);
        let (outcome, kind, fate, reason) = match verdict {
            Completion::Complete => ("whole", LogKind::Answered, None, None),
            Completion::Partial => ("partial", LogKind::Partial, None, None),
            Completion::Failed { fate, reason } => {
                ("failed", LogKind::Failed, Some(fate), Some(reason.to_string()))
            }
        };
        node.metrics.record_answer(outcome, reason.as_deref().unwrap_or(""), elapsed);
        node.metrics.second_attempts_denied.inc_by(job.denied() as u64);
        if verdict == Completion::Partial {
            let missing = job.plan().pools.len() - job.replied();
            node.metrics.pools_missing.inc_by(missing as u64);
        }
        if !node.journal.allows(now, kind) {
            return;
        }
        let missing: Vec<String> = job.missing().map(missing).collect();
        let missing = missing.join(" ");
        let revision = node.registry.lock().revision();
        let word_age_ms = node.platform_contact_age().map(|age| age.as_millis() as u64);
        let patience = job.plan().deadline.saturating_duration_since(self.arrived);
        tracing::info!(
            request = self.request(),
            route = self.route.name.as_str(),
            outcome,
            reason,
            fate = fate.map(|f| format!("{f:?}")),
            replied = job.replied(),
            pools = job.plan().pools.len(),
            floor = job.plan().min_replies,
            missing,
            attempts = job.attempts_sent(),
            denied = job.denied(),
            elapsed_ms = elapsed.as_millis() as u64,
            goal_ms = job.plan().goal.as_millis() as u64,
            deadline_ms = patience.as_millis() as u64,
            limit_ms = self.route.timeout.as_millis() as u64,
            generation = %self.generation,
            %revision,
            word_age_ms,
            "request answered"
        );
    }

    /// Records how an attempt ended after `after`.
    pub(crate) fn attempt(&self, job: &RequestState, attempt: Attempt<'_>, after: Duration) {
        let Attempt { part, end, cause, upstream } = attempt;
        let node = &self.node;
        let name = end_name(end);
        node.metrics.attempts.with_label_values(&[name]).inc();
        if end == (AttemptEnd::Reply { success: true }) {
            node.metrics.attempt_seconds.observe(after.as_secs_f64());
        } else if node.journal.allows(node.now(), LogKind::Attempt) {
            let pool = &job.plan().pools[part];
            let after_ms = after.as_millis() as u64;
            tracing::info!(
                request = self.request(), %pool, %upstream, end = name, cause, after_ms,
                "attempt brought no reply"
            );
        }
    }
}

/// Records that a request was refused before anything was sent.
pub(crate) fn refused(node: &Node, head: &request::Parts, reason: Reason) {
    node.metrics.requests.with_label_values(&["refused", &reason.to_string()]).inc();
    if node.journal.allows(node.now(), LogKind::Refused) {
        let request = id_of(node, head);
        let generation = node.generation();
        let word_age_ms = node.platform_contact_age().map(|age| age.as_millis() as u64);
        tracing::warn!(request, %reason, %generation, word_age_ms, "request refused, not run");
    }
}

/// Records that a request was refused because the same one is accused of crashing upstreams.
pub(crate) fn quarantined(node: &Node, request: &HeaderValue, fingerprint: u64) {
    let reason = Reason::Quarantined;
    node.metrics.requests.with_label_values(&["refused", &reason.to_string()]).inc();
    if node.journal.allows(node.now(), LogKind::Refused) {
        let request = request.to_str().unwrap_or("unknown");
        let fingerprint = format!("{fingerprint:016x}");
        tracing::warn!(request, %reason, fingerprint, "request refused, not run");
    }
}

/// Records that an upstream crashed while it ran a request.
pub(crate) fn suspected(
    node: &Node,
    request: &HeaderValue,
    fingerprint: u64,
    upstream: std::net::SocketAddr,
) {
    if node.journal.allows(node.now(), LogKind::RoutingState) {
        let request = request.to_str().unwrap_or("unknown");
        let fingerprint = format!("{fingerprint:016x}");
        tracing::warn!(request, fingerprint, %upstream, "an upstream crashed while it ran this request");
    }
}

/// Records that a request was refused because pools that it needs are short of capacity.
pub(crate) fn not_admitted(
    node: &Node,
    request: &HeaderValue,
    route: &Route,
    job: &RequestState,
    draw: f64,
) {
    let reason = Reason::Overload;
    node.metrics.requests.with_label_values(&["refused", &reason.to_string()]).inc();
    if node.journal.allows(node.now(), LogKind::Refused) {
        let request = request.to_str().unwrap_or("unknown");
        let short: Vec<&str> = job.short_pools().map(id::Pool::as_str).collect();
        let (short, floor, pools) =
            (short.join(" "), job.plan().min_replies, job.plan().pools.len());
        let route = route.name.as_str();
        let draw = format!("{draw:.2}");
        tracing::warn!(
            request, route, %reason, short, draw, floor, pools,
            "request refused, not run: too many of its pools are short of capacity"
        );
    }
}

/// Records that a request was not one that can be served.
pub(crate) fn rejected(node: &Node, head: &request::Parts, status: StatusCode) {
    node.metrics.requests.with_label_values(&["rejected", status.as_str()]).inc();
    if node.journal.allows(node.now(), LogKind::Refused) {
        let request = id_of(node, head);
        let (host, path) = (forward::host(head), head.uri.path());
        let generation = node.generation();
        tracing::warn!(request, status = status.as_u16(), host, path, %generation, "request rejected");
    }
}

fn id_of(node: &Node, head: &request::Parts) -> String {
    let caller = node.codec.read_request(head).ok();
    let id = caller.as_ref().and_then(|c| c.request_id.to_str().ok());
    id.unwrap_or("unknown").to_owned()
}

/// A pool without a reply and the upstreams that were asked: `pool(upstream,upstream)`.
fn missing((pool, asked): (&id::Pool, &[id::Instance])) -> String {
    let asked: Vec<&str> = asked.iter().map(|i| i.0.as_str()).collect();
    format!("{pool}({})", asked.join(","))
}

fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Reply { success: true } => "reply",
        AttemptEnd::Reply { success: false } => "failure",
        AttemptEnd::Refused => "refused",
        AttemptEnd::InstanceReplaced => "replaced",
        AttemptEnd::NotSent => "unreached",
        AttemptEnd::ConnectionLost => "lost",
        AttemptEnd::BadReply => "broken",
        AttemptEnd::NoReply => "silent",
    }
}
