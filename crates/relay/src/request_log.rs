//! Log lines and metrics of requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{
    id,
    unit::{Generation, Position},
};
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

/// An attempt that has ended, for the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt<'a> {
    /// Index of the pool in the plan.
    pub(crate) pool_index: usize,
    /// How the attempt ended.
    pub(crate) end: AttemptEnd,
    /// The cause of a failure.
    pub(crate) cause: Option<&'a str>,
    /// The upstream that the attempt was for.
    pub(crate) upstream: &'a id::Instance,
}

/// Logs and counts the events of one admitted request.
///
/// A drop before [`RequestLog::answered`] means that the caller has closed its connection.
#[derive(Debug)]
pub(crate) struct RequestLog {
    node: Arc<Node>,
    request_id: HeaderValue,
    route: Arc<Route>,
    generation: Generation,
    arrived: Instant,
    answered: bool,
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.answered {
            let now = self.node.now();
            let elapsed = now.saturating_duration_since(self.arrived);
            self.node.metrics.record_answer("abandoned", "caller_left", elapsed);
            if self.node.log_limiter.allows(now, LogKind::Failed) {
                let (request, route) = (self.request_id(), self.route.name.as_str());
                let elapsed_ms = elapsed.as_millis() as u64;
                tracing::info!(request, route, elapsed_ms, "caller left before the answer");
            }
        }
    }
}

impl RequestLog {
    /// Creates the log of the request `request_id`, served under the configuration `generation`.
    pub(crate) fn new(
        node: &Arc<Node>,
        request_id: &HeaderValue,
        route: &Arc<Route>,
        generation: Generation,
        arrived: Instant,
    ) -> RequestLog {
        RequestLog {
            node: node.clone(),
            request_id: request_id.clone(),
            route: route.clone(),
            generation,
            arrived,
            answered: false,
        }
    }

    fn request_id(&self) -> &str {
        id_text(&self.request_id)
    }

    /// Records an attempt that is about to be sent; logs it if it is a second one.
    pub(crate) fn attempt_planned(
        &self,
        now: Instant,
        state: &RequestState,
        planned: &PlannedAttempt,
    ) {
        if planned.choice.limited {
            let kind = if planned.cause == Cause::First { "first" } else { "second" };
            self.node.metrics.limited_attempts.with_label_values(&[kind]).inc();
        }
        let (cause, ended) = match planned.cause {
            Cause::First => return,
            Cause::Slow => ("slow", None),
            Cause::Ended(end) => ("ended", Some(end)),
        };
        self.node.metrics.second_attempts.with_label_values(&[cause]).inc();
        if self.node.log_limiter.allows(now, LogKind::SecondAttempt) {
            let pool = &state.plan().pools[planned.pool_index];
            let after_ms = now.saturating_duration_since(self.arrived).as_millis() as u64;
            let upstream = &planned.choice.entry.instance;
            let stuck = planned.choice.stuck;
            let ended = ended.map(end_name);
            tracing::info!(
                request = self.request_id(), %pool, cause, ended, %upstream, stuck, after_ms,
                "second attempt"
            );
        }
    }

    /// Records the end of the request.
    pub(crate) fn answered(&mut self, state: &RequestState, completion: Completion) {
        self.answered = true;
        let node = &self.node;
        let now = node.now();
        let elapsed = now.saturating_duration_since(self.arrived);
        let (outcome, kind, fate, reason) = match completion {
            Completion::Complete => ("whole", LogKind::Answered, None, None),
            Completion::Partial => ("partial", LogKind::Partial, None, None),
            Completion::Failed { fate, reason } => {
                ("failed", LogKind::Failed, Some(fate), Some(reason.to_string()))
            }
        };
        node.metrics.record_answer(outcome, reason.as_deref().unwrap_or(""), elapsed);
        node.metrics.second_attempts_denied.inc_by(state.denied() as u64);
        if completion == Completion::Partial {
            let missing = state.plan().pools.len() - state.replied();
            node.metrics.pools_missing.inc_by(missing as u64);
        }
        if !node.log_limiter.allows(now, kind) {
            return;
        }
        let missing: Vec<String> = state.missing().map(format_missing).collect();
        let missing = missing.join(" ");
        let Position { era, revision } = node.registry.lock().position();
        let word_age_ms = node.platform_data_age().map(|age| age.as_millis() as u64);
        let timeout = state.plan().deadline.saturating_duration_since(self.arrived);
        tracing::info!(
            request = self.request_id(),
            route = self.route.name.as_str(),
            outcome,
            reason,
            fate = fate.map(|f| format!("{f:?}")),
            replied = state.replied(),
            pools = state.plan().pools.len(),
            floor = state.plan().min_replies,
            missing,
            attempts = state.attempts_sent(),
            denied = state.denied(),
            elapsed_ms = elapsed.as_millis() as u64,
            goal_ms = state.plan().goal.as_millis() as u64,
            deadline_ms = timeout.as_millis() as u64,
            limit_ms = self.route.timeout.as_millis() as u64,
            generation = %self.generation,
            %era,
            %revision,
            word_age_ms,
            "request answered"
        );
    }

    /// Records the end of an attempt `elapsed` after it was sent.
    pub(crate) fn attempt_ended(
        &self,
        state: &RequestState,
        attempt: Attempt<'_>,
        elapsed: Duration,
    ) {
        let Attempt { pool_index, end, cause, upstream } = attempt;
        let node = &self.node;
        let name = end_name(end);
        node.metrics.attempts.with_label_values(&[name]).inc();
        if end == (AttemptEnd::Reply { success: true }) {
            node.metrics.attempt_seconds.observe(elapsed.as_secs_f64());
        } else if node.log_limiter.allows(node.now(), LogKind::Attempt) {
            let pool = &state.plan().pools[pool_index];
            let after_ms = elapsed.as_millis() as u64;
            tracing::info!(
                request = self.request_id(), %pool, %upstream, end = name, cause, after_ms,
                "attempt brought no reply"
            );
        }
    }
}

/// Records that a request was refused before any attempt was sent.
pub(crate) fn refused(node: &Node, head: &request::Parts, reason: Reason) {
    node.metrics.requests.with_label_values(&["refused", &reason.to_string()]).inc();
    if node.log_limiter.allows(node.now(), LogKind::Refused) {
        let request = parse_id(node, head);
        let generation = node.generation();
        let word_age_ms = node.platform_data_age().map(|age| age.as_millis() as u64);
        let links = node.belief.name();
        tracing::warn!(
            request, %reason, links, %generation, word_age_ms,
            "request refused, not run"
        );
    }
}

/// Records that a request was refused because it is in the crash quarantine.
pub(crate) fn quarantined(node: &Node, request_id: &HeaderValue, fingerprint: u64) {
    let reason = Reason::Quarantined;
    node.metrics.requests.with_label_values(&["refused", &reason.to_string()]).inc();
    if node.log_limiter.allows(node.now(), LogKind::Refused) {
        let request = id_text(request_id);
        let fingerprint = format!("{fingerprint:016x}");
        tracing::warn!(request, %reason, fingerprint, "request refused, not run");
    }
}

/// Records that a request was refused because too many of its pools are short of capacity.
pub(crate) fn not_admitted(
    node: &Node,
    request_id: &HeaderValue,
    route: &Route,
    state: &RequestState,
    draw: f64,
) {
    let reason = Reason::Overload;
    node.metrics.refused_short.with_label_values(&[route.name.as_str()]).inc();
    node.metrics.requests.with_label_values(&["refused", &reason.to_string()]).inc();
    if node.log_limiter.allows(node.now(), LogKind::Refused) {
        let request = id_text(request_id);
        let short: Vec<&str> = state.short_pools().map(id::Pool::as_str).collect();
        let (short, floor, pools) =
            (short.join(" "), state.plan().min_replies, state.plan().pools.len());
        let route = route.name.as_str();
        let draw = format!("{draw:.2}");
        let links = node.belief.name();
        tracing::warn!(
            request, route, %reason, links, short, draw, floor, pools,
            "request refused, not run: too many of its pools are short of capacity"
        );
    }
}

/// Records that an invalid request was rejected with `status`.
pub(crate) fn rejected(node: &Node, head: &request::Parts, status: StatusCode) {
    node.metrics.requests.with_label_values(&["rejected", status.as_str()]).inc();
    if node.log_limiter.allows(node.now(), LogKind::Refused) {
        let request = parse_id(node, head);
        let (host, path) = (forward::host(head), head.uri.path());
        let generation = node.generation();
        tracing::warn!(request, status = status.as_u16(), host, path, %generation, "request rejected");
    }
}

pub(crate) fn id_text(request_id: &HeaderValue) -> &str {
    request_id.to_str().unwrap_or("unknown")
}

/// Returns the request id in `head`, or "unknown".
fn parse_id(node: &Node, head: &request::Parts) -> String {
    let metadata = node.codec.read_request(head).ok();
    let id = metadata.as_ref().and_then(|m| m.request_id.to_str().ok());
    id.unwrap_or("unknown").to_owned()
}

/// Formats a pool without a reply and the upstreams of its attempts: `pool(upstream,upstream)`.
fn format_missing((pool, tried): (&id::Pool, &[id::Instance])) -> String {
    let tried: Vec<&str> = tried.iter().map(|i| i.0.as_str()).collect();
    format!("{pool}({})", tried.join(","))
}

/// Returns the value of the metric label `end` and the log fields `end` and `ended`.
pub(crate) fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Reply { success: true } => "reply",
        AttemptEnd::Reply { success: false } => "failure",
        AttemptEnd::Refused => "refused",
        AttemptEnd::InstanceReplaced => "replaced",
        AttemptEnd::NotSent => "unreached",
        AttemptEnd::Withheld => "withheld",
        AttemptEnd::ConnectionLost => "lost",
        AttemptEnd::BadReply => "broken",
        AttemptEnd::NoReply => "silent",
    }
}
