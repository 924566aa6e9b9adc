//! Serves a caller's request: sends the attempts that its [`RequestState`] calls for, and answers.

use std::{
    hash::Hasher,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::id;
use bytes::Bytes;
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use policy::{
    outcome::{Fate, Reason},
    relay::{
        crash_suspects::{self, Suspect},
        isolation::Belief,
        merge,
        pool::UpstreamHandle,
        request::{Completion, Plan, PlannedAttempt, RequestState},
        retry_after,
        route::{Route, RouteTable, Target},
        upstream::AttemptEnd,
    },
};
use rand::Rng;
use tokio::sync::OwnedSemaphorePermit;

use crate::{
    connection::{AttemptRequest, AttemptResult, ReceivedReply},
    crash, isolation,
    node::Node,
    request_log::{self, RequestLog},
    response::{self, Body},
};

/// Longest sleep of a request: bounds the delay until it notices that the VM was suspended.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Time for which the remaining attempts of an answered request may still complete, so that their
/// connections can be reused.
const DETACHED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An attempt that has ended.
struct FinishedAttempt {
    pool_index: usize,
    result: AttemptResult,
    instance: id::Instance,
    elapsed: Duration,
}

type Attempts = FuturesUnordered<BoxFuture<'static, FinishedAttempt>>;

/// Counts a request as in flight until dropped.
struct InFlightGuard(Arc<Node>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a caller's request.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let others = node.in_flight.fetch_add(1, Ordering::Relaxed);
    let _in_flight = InFlightGuard(node.clone());
    let refuse = |reason, delay| {
        request_log::refused(&node, &head, reason);
        response::failure(Fate::NotRun, reason, Some(jittered(&node, delay)))
    };
    if others >= node.settings.max_requests {
        return refuse(Reason::Overload, retry_after::BUSY_DELAY);
    }
    if node.refusing.load(Ordering::Relaxed) {
        return refuse(Reason::Draining, retry_after::delay(Reason::Draining));
    }
    let Some(table) = node.route_table() else {
        return refuse(Reason::NotReady, retry_after::delay(Reason::NotReady));
    };
    let host = host(&head);
    let Some(route) = table.find(&host, head.uri.path()).cloned() else {
        request_log::rejected(&node, &head, StatusCode::NOT_FOUND);
        return response::plain_text(StatusCode::NOT_FOUND, "no route for this host and path");
    };
    let metadata = match node.codec.read_request(&head) {
        Ok(metadata) => metadata,
        Err(e) => {
            request_log::rejected(&node, &head, StatusCode::BAD_REQUEST);
            return response::plain_text(StatusCode::BAD_REQUEST, e.0);
        }
    };
    let limit = table.limits.body_bytes;
    // A body of unknown length may take up the whole limit.
    let expected = hyper::body::Body::size_hint(&body).upper().map_or(limit, |n| n as usize);
    let reservation = node.body_memory.reserve(arrived, expected.min(limit)).await;
    let Some(mut reservation) = reservation else {
        return refuse(Reason::Overload, retry_after::BUSY_DELAY);
    };
    let timeout = metadata.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = node.answer_by(arrived + timeout);
    let left = deadline.saturating_duration_since(arrived);
    let body = match tokio::time::timeout(left, read_body(body, limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => {
            request_log::rejected(&node, &head, status);
            return response::plain_text(status, "the body is too large or was broken off");
        }
        Err(_) => {
            request_log::rejected(&node, &head, StatusCode::REQUEST_TIMEOUT);
            return response::plain_text(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not come in time",
            );
        }
    };
    reservation.shrink_to(body.len());
    // Held until the last attempt that may still be reading it has ended.
    let body = reservation.hold(body);
    let fingerprint = fingerprint(&host, &head, &body);
    if node.crash_quarantine.lock().refuse(arrived, fingerprint) {
        let reason = Reason::Quarantined;
        request_log::quarantined(&node, &metadata.request_id, fingerprint);
        let delay = jittered(&node, retry_after::delay(reason));
        return response::failure(Fate::NotRun, reason, Some(delay));
    }
    let repeatable = route.repeatable;
    let home_regions = route.home_regions.clone();
    let exchange = isolation::Exchange {
        metadata: &metadata,
        head: &head,
        body: &body,
        deadline,
        home_regions: &home_regions,
    };
    if let Some(response) = isolation::serve(&node, exchange, repeatable).await {
        return response;
    }
    let Some(mut state) = plan(&node, &table, &route, arrived, timeout) else {
        return refuse(Reason::Unreachable, retry_after::delay(Reason::Unreachable));
    };
    let draw = node.with_rng(|rng| rng.random());
    if !state.admit(arrived, &mut node.pools.lock(), draw) {
        state.record_samples(arrived, &mut node.pools.lock());
        request_log::not_admitted(&node, &metadata.request_id, &route, &state, draw);
        let delay = jittered(&node, retry_after::delay(Reason::Overload));
        return response::failure(Fate::NotRun, Reason::Overload, Some(delay));
    }
    let suspect = Suspect {
        request_id: request_log::id_text(&metadata.request_id).into(),
        fingerprint,
        arrival: Arc::new(node.new_arrival(arrived, fingerprint)),
        after_loss: false,
    };
    let mut task = RequestTask {
        attempt_head: attempt_head(&head),
        log: RequestLog::new(&node, &metadata.request_id, &route, table.generation, arrived),
        request_id: metadata.request_id.clone(),
        body: body.clone(),
        pool_count: state.plan().pools.len(),
        suspect,
        route,
        node: node.clone(),
    };
    let (mut response, completion) = task.run(state).await;
    // The request has shown that the links still carry nothing; its caller need not lose by that.
    let is_lost = matches!(completion, Completion::Failed { .. });
    if is_lost && repeatable && node.belief.get() == Belief::Isolated {
        let by_peer = isolation::serve(&node, exchange, false).await;
        response = by_peer.unwrap_or(response);
    }
    let addressee =
        response::Addressee { request_id: task.request_id, deadline: arrived + timeout };
    response.extensions_mut().insert(addressee);
    response
}

/// Returns the host that a request names, without its port: the port does not select a route.
pub(crate) fn host(head: &request::Parts) -> String {
    let header = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = header.or(head.uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|b| b.is_ascii_digit()) { name } else { host }
    });
    name.to_ascii_lowercase()
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, StatusCode> {
    if hyper::body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Returns a hash that is equal for a request that is sent again, even under another id.
fn fingerprint(host: &str, head: &request::Parts, body: &Bytes) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(host.as_bytes());
    hasher.write(head.method.as_str().as_bytes());
    hasher.write(head.uri.path_and_query().map_or("", |p| p.as_str()).as_bytes());
    hasher.write(body);
    hasher.finish()
}

/// Returns the head that all attempts share: the caller's, without the headers that concern its
/// connection only.
pub(crate) fn attempt_head(head: &request::Parts) -> request::Parts {
    let mut request = Request::new(());
    *request.method_mut() = head.method.clone();
    if let Some(target) = head.uri.path_and_query() {
        *request.uri_mut() = target.clone().into();
    }
    let mut headers = head.headers.clone();
    response::strip_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    *request.headers_mut() = headers;
    request.into_parts().0
}

/// Plans a request of `route`; returns `None` if no pool of the route has a weight.
fn plan(
    node: &Node,
    table: &RouteTable,
    route: &Route,
    arrived: Instant,
    timeout: Duration,
) -> Option<RequestState> {
    let (pools, min_replies) = match &route.target {
        Target::SinglePool(pools) => {
            (vec![node.round_robin.lock().next_pool(&route.name, pools)?], 1)
        }
        Target::FanOut { pools, min_replies, .. } => (pools.clone(), *min_replies),
    };
    let limit = |p: &id::Pool| table.connection_limits.get(p).copied().unwrap_or(usize::MAX);
    let connection_limits = pools.iter().map(limit).collect();
    let state = RequestState::new(Plan {
        route: route.name.clone(),
        pools,
        connection_limits,
        min_replies,
        max_attempts: route.max_attempts,
        repeatable: route.repeatable,
        rank: route.rank,
        goal: route.remaining_goal(timeout),
        arrived,
        deadline: node.answer_by(arrived + timeout),
    });
    Some(state.with_home_regions(route.home_regions.clone()))
}

/// An admitted request while it is served.
struct RequestTask {
    node: Arc<Node>,
    route: Arc<Route>,
    attempt_head: request::Parts,
    request_id: HeaderValue,
    body: Bytes,
    pool_count: usize,
    suspect: Suspect,
    log: RequestLog,
}

impl RequestTask {
    async fn run(&mut self, mut state: RequestState) -> (Response<Body>, Completion) {
        let node = self.node.clone();
        let mut attempts = Attempts::new();
        let mut replies: Vec<ReceivedReply> = Vec::new();
        let mut failure_reply = None;
        let completion = loop {
            let now = node.now();
            if let Some(completion) = state.completion(now) {
                break completion;
            }
            let fingerprint = self.suspect.fingerprint;
            if state.attempts_sent() > 0
                && node.crash_quarantine.lock().is_quarantined(now, fingerprint)
            {
                state.stop_second_attempts();
            }
            let due = node.with_rng(|rng| state.due_attempts(now, &mut node.pools.lock(), rng));
            for planned in due {
                self.log.attempt_planned(now, &state, &planned);
                attempts.push(self.send(now, planned, state.attempt_deadline()));
            }
            // Attempts that cannot be sent may have decided the request.
            if let Some(completion) = state.completion(now) {
                break completion;
            }
            let sleep = state.next_wake(now).saturating_duration_since(now).min(MAX_SLEEP);
            tokio::select! {
                biased;
                Some(finished) = attempts.next(), if !attempts.is_empty() => {
                    let mut next = Some(finished);
                    while let Some(finished) = next.take() {
                        self.record(&mut state, finished, &mut replies, &mut failure_reply);
                        next = futures::FutureExt::now_or_never(attempts.next()).flatten();
                    }
                }
                () = node.end_requests.cancelled() => break state.end(),
                () = tokio::time::sleep(sleep) => {}
            }
        };
        if !attempts.is_empty()
            && let Ok(permit) = node.detached_requests.clone().try_acquire_owned()
        {
            tokio::spawn(await_detached(attempts, permit));
        }
        state.record_samples(node.now(), &mut node.pools.lock());
        self.log.answered(&state, completion);
        (self.answer(&state, completion, replies, failure_reply), completion)
    }

    /// Records a finished attempt. Adds its reply to `replies` if it counts, or stores it in
    /// `failure_reply` if the upstream reports a failure.
    fn record(
        &self,
        state: &mut RequestState,
        finished: FinishedAttempt,
        replies: &mut Vec<ReceivedReply>,
        failure_reply: &mut Option<ReceivedReply>,
    ) {
        let FinishedAttempt { pool_index, result, instance, elapsed } = finished;
        let mut end = result.end;
        let mut cause = result.cause;
        let signed = result.reply.as_ref().is_some_and(|r| r.metadata.signature.is_some());
        if end == (AttemptEnd::Reply { success: true }) && !signed {
            // A successful reply without a signature did not come from the upstream.
            end = AttemptEnd::BadReply;
            cause = Some("the reply bears no signature".to_owned());
        }
        let attempt =
            request_log::Attempt { pool_index, end, cause: cause.as_deref(), upstream: &instance };
        self.log.attempt_ended(state, attempt, elapsed);
        let counts = state.record_end(pool_index, end);
        match result.reply {
            Some(reply) if counts => replies.push(reply),
            Some(reply) if end == (AttemptEnd::Reply { success: false }) => {
                *failure_reply = Some(reply);
            }
            _ => {}
        }
    }

    /// Returns the future of an attempt sent at `now`.
    fn send(
        &self,
        now: Instant,
        planned: PlannedAttempt,
        deadline: Instant,
    ) -> BoxFuture<'static, FinishedAttempt> {
        let PlannedAttempt { pool_index, choice, cause } = planned;
        let request = Request::from_parts(self.attempt_head.clone(), Full::new(self.body.clone()));
        let message = AttemptRequest {
            request,
            request_id: self.request_id.clone(),
            deadline,
            repeatable: self.route.repeatable,
            handle: choice.handle,
            permit: choice.limited.then_some(now),
            // The attempts to all pools share the body.
            held: self.body.len() / self.pool_count.max(1),
            suspect: Suspect { after_loss: cause.is_after_loss(), ..self.suspect.clone() },
        };
        let instance = choice.entry.instance.clone();
        let node = self.node.clone();
        let connections = node.connections.upstream(choice.handle);
        let handle = choice.handle;
        let upstream = choice.entry.address;
        let mut guard = AttemptGuard { node: node.clone(), handle, upstream, sent: now, end: None };
        let entry = choice.entry.clone();
        Box::pin(async move {
            let result = connections.send(node, entry, choice.max_connections, message).await;
            guard.end = Some(result.end);
            let elapsed = guard.node.now().saturating_duration_since(now);
            drop(guard);
            FinishedAttempt { pool_index, result, instance, elapsed }
        })
    }

    fn answer(
        &self,
        state: &RequestState,
        completion: Completion,
        replies: Vec<ReceivedReply>,
        failure_reply: Option<ReceivedReply>,
    ) -> Response<Body> {
        let node = &self.node;
        let fingerprint = self.suspect.fingerprint;
        let survived = |arrival| {
            let complete = completion == Completion::Complete;
            complete || state.replied_pools().any(|pool| crash_suspects::names_pool(arrival, pool))
        };
        let (now, quarantine) = (node.now(), &node.crash_quarantine);
        if state.survived() && quarantine.lock().clear_unconfirmed(now, fingerprint, survived) {
            crash::dropped(node, Some(fingerprint), 1, crash::DropCause::Cleared);
        }
        if state.survived() && completion == Completion::Complete {
            node.completed.lock().record(now, fingerprint);
        }
        match (completion, &self.route.target) {
            (Completion::Complete | Completion::Partial, Target::FanOut { top_k, .. }) => {
                self.merge(state, replies, *top_k)
            }
            (Completion::Complete | Completion::Partial, Target::SinglePool(_)) => {
                match replies.into_iter().next() {
                    Some(reply) => relay_reply(reply),
                    None => response::failure(state.fate(), Reason::Lost, None),
                }
            }
            (Completion::Failed { fate, reason }, target) => match failure_reply {
                // The caller gets the upstream's own account of its failure.
                Some(reply) if fate == Fate::Ran && matches!(target, Target::SinglePool(_)) => {
                    relay_reply(reply)
                }
                _ => {
                    let rest_end = state.rest_end(now, &node.pools.lock());
                    let delay = match rest_end {
                        Some(end) => retry_after::after_rest(now, end, node.chance()),
                        None => jittered(node, retry_after::delay(reason)),
                    };
                    response::failure(fate, reason, Some(delay))
                }
            },
        }
    }

    fn merge(
        &self,
        state: &RequestState,
        replies: Vec<ReceivedReply>,
        top_k: usize,
    ) -> Response<Body> {
        let bodies: Vec<Bytes> = replies.iter().map(|r| r.response.body().clone()).collect();
        let signatures: Vec<HeaderValue> =
            replies.iter().filter_map(|r| r.metadata.signature.clone()).collect();
        let missing = state.plan().pools.len() - state.replied();
        let merged = merge::top_k(&bodies, top_k);
        drop(bodies);
        let mut reservation = self.node.body_memory.empty();
        replies.into_iter().for_each(|r| reservation.merge(r.reservation));
        reservation.shrink_to(merged.len());
        let mut response = Response::new(Full::new(reservation.hold(merged)));
        self.node.codec.write_merged(response.headers_mut(), &signatures, missing);
        response
    }
}

/// Waits for the remaining attempts of an answered request; drops those that exceed the timeout,
/// which closes their connections.
async fn await_detached(mut attempts: Attempts, _permit: OwnedSemaphorePermit) {
    let all = async { while attempts.next().await.is_some() {} };
    let _ = tokio::time::timeout(DETACHED_TIMEOUT, all).await;
}

/// Returns a random delay around `typical`, so that callers do not come back all at once.
fn jittered(node: &Node, typical: Duration) -> Duration {
    retry_after::jittered(typical, node.chance())
}

/// Returns the response that relays a single upstream's reply.
fn relay_reply(reply: ReceivedReply) -> Response<Body> {
    let ReceivedReply { response, reservation, .. } = reply;
    relay_response(response.map(|body| reservation.hold(body)))
}

/// Returns the response that relays `response`, which was received in full.
pub(crate) fn relay_response(response: Response<Bytes>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    response::strip_hop_by_hop_headers(&mut head.headers);
    if !body.is_empty() {
        // The server sets it anew from the body, which was received in full.
        head.headers.remove(header::CONTENT_LENGTH);
    }
    Response::from_parts(head, Full::new(body))
}

/// Records the end of an attempt in its pool, even if its future is dropped before.
struct AttemptGuard {
    node: Arc<Node>,
    handle: UpstreamHandle,
    upstream: id::Upstream,
    sent: Instant,
    end: Option<AttemptEnd>,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.node.now();
        let end = self.end.unwrap_or(AttemptEnd::NoReply);
        self.node.pools.lock().record_end(now, self.handle, self.sent, end);
        isolation::record_end(&self.node, self.upstream, self.sent, end);
    }
}
