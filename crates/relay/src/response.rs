//! Responses that a node generates itself, and header handling for those it relays.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use policy::outcome::{Fate, Reason};

/// Body of a response.
pub type Body = Full<Bytes>;

/// The request that a response answers. An extension of the response.
#[derive(Debug, Clone)]
pub(crate) struct Addressee {
    /// The caller's id of the request.
    pub(crate) request_id: HeaderValue,
    /// Time until which the caller waits for the answer.
    pub(crate) deadline: Instant,
}

/// Hop-by-hop headers: they concern a single connection and are not forwarded.
static HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    if let Some(listed) = headers.get(header::CONNECTION) {
        let listed = listed.to_str().unwrap_or_default().to_owned();
        for name in listed.split(',').map(str::trim) {
            headers.remove(name);
        }
    }
    HOP_BY_HOP.iter().for_each(|name| drop(headers.remove(name)));
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// Returns a plain-text response with `status` and the body `text`.
pub fn plain_text(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns the response to a failed request. `retry_after` becomes the `Retry-After` header, in
/// seconds with three decimals.
///
/// The status is 503 only if the request has not run and never will.
pub fn failure(fate: Fate, reason: Reason, retry_after: Option<Duration>) -> Response<Body> {
    let status = match (fate, reason) {
        (Fate::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let mut response = plain_text(status, &reason.to_string());
    if let Some(delay) = retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
