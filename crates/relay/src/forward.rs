//! Serves one request: sends the attempts that its job asks for, and answers.

use std::{
    hash::Hasher,
    net::SocketAddr,
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
        crash_quarantine, merge,
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
    log_limiter::LogKind,
    membership,
    node::Node,
    request_log::{self, Story},
    response::{self, Body},
};

/// Longest sleep of a request, so that it sees soon that the VM was suspended.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);
/// Time for which attempts that are no longer needed may still end, so that their connections
/// can be used again.
const LEFTOVER: Duration = Duration::from_millis(1_000);

/// An attempt's end with what it was for.
struct Done {
    part: usize,
    ended: AttemptResult,
    upstream: id::Instance,
    seat: UpstreamHandle,
    address: SocketAddr,
    after: Duration,
}

type Attempts = FuturesUnordered<BoxFuture<'static, Done>>;

/// Counts a request while it is served.
struct Serving(Arc<Node>);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.serving.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a caller's request.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let others = node.serving.fetch_add(1, Ordering::Relaxed);
    let _serving = Serving(node.clone());
    let refuse = |reason, retry| {
        request_log::refused(&node, &head, reason);
        response::failure(Fate::NotRun, reason, Some(spread(&node, retry)))
    };
    if others >= node.settings.max_requests {
        return refuse(Reason::Overload, retry_after::BUSY_DELAY);
    }
    let Some(table) = node.route_table() else {
        return refuse(Reason::NotReady, retry_after::delay(Reason::NotReady));
    };
    let host = host(&head);
    let Some(route) = table.find(&host, head.uri.path()).cloned() else {
        request_log::rejected(&node, &head, StatusCode::NOT_FOUND);
        return response::plain_text(StatusCode::NOT_FOUND, "no route for this host and path");
    };
    let caller = match node.codec.read_request(&head) {
        Ok(caller) => caller,
        Err(e) => {
            request_log::rejected(&node, &head, StatusCode::BAD_REQUEST);
            return response::plain_text(StatusCode::BAD_REQUEST, e.0);
        }
    };
    let limit = table.limits.body_bytes;
    // A body of unknown length may be as long as allowed.
    let expected = hyper::body::Body::size_hint(&body).upper().map_or(limit, |n| n as usize);
    let Some(_held) = node.memory.try_reserve(expected.min(limit)) else {
        return refuse(Reason::Overload, retry_after::BUSY_DELAY);
    };
    let patience = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
    let body = match tokio::time::timeout(patience, read_body(body, limit)).await {
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
    let fingerprint = fingerprint(&host, &head, &body);
    if node.accusations.lock().is_quarantined(arrived, fingerprint) {
        let reason = Reason::Quarantined;
        request_log::quarantined(&node, &caller.request_id, fingerprint);
        return response::failure(
            Fate::NotRun,
            reason,
            Some(spread(&node, retry_after::delay(reason))),
        );
    }
    let Some(mut job) = plan(&node, &table, &route, arrived, patience) else {
        return refuse(Reason::Unreachable, retry_after::delay(Reason::Unreachable));
    };
    let draw = node.with_rng(|rng| rng.random());
    if !job.admit(arrived, &mut node.pools.lock(), draw) {
        job.record_samples(arrived, &mut node.pools.lock());
        request_log::not_admitted(&node, &caller.request_id, &route, &job, draw);
        let retry = spread(&node, retry_after::delay(Reason::Overload));
        return response::failure(Fate::NotRun, Reason::Overload, Some(retry));
    }
    let mut work = Work {
        template: template(&head),
        story: Story::new(&node, &caller.request_id, &route, table.generation, arrived),
        id: caller.request_id,
        body,
        fingerprint,
        arrival: node.random() as u32,
        route,
        node,
    };
    work.run(job).await
}

/// The host that a request names, without its port: that does not select a route.
pub(crate) fn host(head: &request::Parts) -> String {
    let named = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = named.or(head.uri.host()).unwrap_or_default();
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

/// Identifies a request that comes again, whatever its id.
fn fingerprint(host: &str, head: &request::Parts, body: &Bytes) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(host.as_bytes());
    hasher.write(head.method.as_str().as_bytes());
    hasher.write(head.uri.path_and_query().map_or("", |p| p.as_str()).as_bytes());
    hasher.write(body);
    hasher.finish()
}

/// The head of every attempt: the caller's, without what concerns its connection only.
fn template(head: &request::Parts) -> request::Parts {
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

fn plan(
    node: &Node,
    table: &RouteTable,
    route: &Route,
    arrived: Instant,
    patience: Duration,
) -> Option<RequestState> {
    let (pools, min_replies) = match &route.target {
        Target::SinglePool(among) => (vec![node.splitter.lock().next_pool(&route.name, among)?], 1),
        Target::FanOut { pools, min_replies, .. } => (pools.clone(), *min_replies),
    };
    let limit = |p: &id::Pool| table.connection_limits.get(p).copied().unwrap_or(usize::MAX);
    let connection_limits = pools.iter().map(limit).collect();
    Some(RequestState::new(Plan {
        pools,
        connection_limits,
        min_replies,
        max_attempts: route.max_attempts,
        repeatable: route.repeatable,
        goal: route.remaining_goal(patience),
        arrived,
        deadline: arrived + patience,
    }))
}

/// A request being served.
struct Work {
    node: Arc<Node>,
    route: Arc<Route>,
    template: request::Parts,
    id: HeaderValue,
    body: Bytes,
    fingerprint: u64,
    arrival: u32,
    story: Story,
}

impl Work {
    async fn run(&mut self, mut job: RequestState) -> Response<Body> {
        let node = self.node.clone();
        let mut attempts = Attempts::new();
        let mut parts: Vec<ReceivedReply> = Vec::new();
        let mut refusal = None;
        let verdict = loop {
            let now = node.now();
            if let Some(verdict) = job.completion(now) {
                break verdict;
            }
            let due = node.with_rng(|rng| job.due_attempts(now, &mut node.pools.lock(), rng));
            for send in due {
                self.story.second(now, &job, &send);
                attempts.push(self.attempt(now, send, job.attempt_deadline()));
            }
            if let Some(verdict) = job.completion(now) {
                break verdict;
            }
            let wake = job.next_wake(now).saturating_duration_since(now).min(LONGEST_SLEEP);
            tokio::select! {
                biased;
                Some(done) = attempts.next(), if !attempts.is_empty() => {
                    let mut next = Some(done);
                    while let Some(done) = next.take() {
                        self.take(&mut job, done, &mut parts, &mut refusal);
                        next = futures::FutureExt::now_or_never(attempts.next()).flatten();
                    }
                }
                () = tokio::time::sleep(wake) => {}
            }
        };
        if !attempts.is_empty()
            && let Ok(place) = node.leftovers.clone().try_acquire_owned()
        {
            tokio::spawn(finish(attempts, place));
        }
        job.record_samples(node.now(), &mut node.pools.lock());
        self.story.end(&job, verdict);
        self.answer(&job, verdict, parts, refusal)
    }

    fn take(
        &self,
        job: &mut RequestState,
        done: Done,
        parts: &mut Vec<ReceivedReply>,
        refusal: &mut Option<ReceivedReply>,
    ) {
        let Done { part, ended, upstream, seat, address, after } = done;
        let mut end = ended.end;
        let mut cause = ended.cause;
        let whole = ended.reply.as_ref().is_some_and(|r| r.metadata.signature.is_some());
        if end == (AttemptEnd::Reply { success: true }) && !whole {
            // Without a signature it is not the upstream's.
            end = AttemptEnd::BadReply;
            cause = Some("the reply bears no signature".to_owned());
        }
        let attempt =
            request_log::Attempt { part, end, cause: cause.as_deref(), upstream: &upstream };
        self.story.attempt(job, attempt, after);
        if end == AttemptEnd::ConnectionLost {
            self.investigate(seat, address);
        }
        let used = job.record_end(part, end);
        match ended.reply {
            Some(received) if used => parts.push(received),
            Some(received) if end == (AttemptEnd::Reply { success: false }) => {
                *refusal = Some(received)
            }
            _ => {}
        }
    }

    /// Accuses the request if the upstream that it ran at turns out to have crashed.
    fn investigate(&self, seat: UpstreamHandle, address: SocketAddr) {
        let node = self.node.clone();
        let links = node.links.upstream(seat);
        let request = self.id.clone();
        let notice = crash_quarantine::CrashReport {
            fingerprint: self.fingerprint,
            arrival: self.arrival,
            remaining_ms: crash_quarantine::REPORT_TTL.as_millis() as u32,
        };
        tokio::spawn(async move {
            let guilty = links.detect_crash(node.clone(), address, notice).await;
            if guilty.contains(&notice) {
                request_log::suspected(&node, &request, notice.fingerprint, address);
            }
            accuse(&node, &guilty);
        });
    }

    fn attempt(
        &self,
        now: Instant,
        send: PlannedAttempt,
        deadline: Instant,
    ) -> BoxFuture<'static, Done> {
        let PlannedAttempt { pool_index: part, choice, .. } = send;
        let request = Request::from_parts(self.template.clone(), Full::new(self.body.clone()));
        let message = AttemptRequest {
            request,
            request_id: self.id.clone(),
            instance: choice.entry.instance.clone(),
            deadline,
            repeatable: self.route.repeatable,
        };
        let upstream = choice.entry.instance.clone();
        let node = self.node.clone();
        let links = node.links.upstream(choice.handle);
        let seat = choice.handle;
        let mut guard = Guard { node: node.clone(), seat, sent: now, end: None };
        let address = choice.entry.address.0;
        Box::pin(async move {
            let ended = links.send(node, address, choice.max_connections, message).await;
            guard.end = Some(ended.end);
            let after = guard.node.now().saturating_duration_since(now);
            drop(guard);
            Done { part, ended, upstream, seat, address, after }
        })
    }

    fn answer(
        &self,
        job: &RequestState,
        verdict: Completion,
        parts: Vec<ReceivedReply>,
        refusal: Option<ReceivedReply>,
    ) -> Response<Body> {
        let node = &self.node;
        if !parts.is_empty() {
            node.accusations.lock().clear_unconfirmed(self.fingerprint);
        }
        match (verdict, &self.route.target) {
            (Completion::Complete | Completion::Partial, Target::FanOut { top_k, .. }) => {
                self.merged(job, &parts, *top_k)
            }
            (Completion::Complete | Completion::Partial, Target::SinglePool(_)) => {
                match parts.into_iter().next() {
                    Some(received) => relayed(received),
                    None => response::failure(job.fate(), Reason::Lost, None),
                }
            }
            (Completion::Failed { fate, reason }, target) => match refusal {
                // What the upstream says of its failure is the caller's to read.
                Some(received) if fate == Fate::Ran && matches!(target, Target::SinglePool(_)) => {
                    relayed(received)
                }
                _ => {
                    response::failure(fate, reason, Some(spread(node, retry_after::delay(reason))))
                }
            },
        }
    }

    fn merged(&self, job: &RequestState, parts: &[ReceivedReply], top_k: usize) -> Response<Body> {
        let bodies: Vec<Bytes> = parts.iter().map(|p| p.response.body().clone()).collect();
        let proofs: Vec<HeaderValue> =
            parts.iter().filter_map(|p| p.metadata.signature.clone()).collect();
        let missing = job.plan().pools.len() - job.replied();
        let mut response = Response::new(Full::new(merge::top_k(&bodies, top_k)));
        self.node.codec.write_merged(response.headers_mut(), &proofs, missing);
        response
    }
}

fn accuse(node: &Node, notices: &[crash_quarantine::CrashReport]) {
    let now = node.now();
    let news = {
        let mut book = node.accusations.lock();
        // Every accusation is to be learned, so no short circuit.
        notices.iter().filter(|n| book.record(now, **n)).count()
    };
    if news == 0 {
        return;
    }
    if node.journal.allows(now, LogKind::RoutingState) {
        let named = notices.iter().map(|n| format!("{:016x}", n.fingerprint));
        let fingerprints = named.collect::<Vec<_>>().join(" ");
        tracing::warn!(fingerprints, "requests accused of crashing an upstream");
    }
    membership::spread_news(node);
}

/// Waits for attempts that nobody needs any more, and then drops them with their connections.
async fn finish(mut attempts: Attempts, _place: OwnedSemaphorePermit) {
    let all = async { while attempts.next().await.is_some() {} };
    // What has not ended by then is cut off.
    let _ = tokio::time::timeout(LEFTOVER, all).await;
}

/// A time near `typical`, another one for each caller.
fn spread(node: &Node, typical: Duration) -> Duration {
    retry_after::jittered(typical, node.with_rng(|rng| rng.random()))
}

fn relayed(received: ReceivedReply) -> Response<Body> {
    let (mut head, body) = received.response.into_parts();
    response::strip_hop_by_hop_headers(&mut head.headers);
    if !body.is_empty() {
        // Set anew from the body, which came whole.
        head.headers.remove(header::CONTENT_LENGTH);
    }
    Response::from_parts(head, Full::new(body))
}

/// Records the end of an attempt, also if it is dropped before.
struct Guard {
    node: Arc<Node>,
    seat: UpstreamHandle,
    sent: Instant,
    end: Option<AttemptEnd>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.node.now();
        let end = self.end.unwrap_or(AttemptEnd::NoReply);
        self.node.pools.lock().record_end(now, self.seat, self.sent, end);
    }
}
