//! Answers that the relay gives itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use policy::outcome::{Fate, Reason};

/// Body of an answer.
pub type Body = Full<Bytes>;

/// Headers that concern one connection and are not passed on.
static HOP: [HeaderName; 7] = [
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

/// Removes the headers that concern one connection only.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    if let Some(named) = headers.get(header::CONNECTION) {
        let named = named.to_str().unwrap_or_default().to_owned();
        for name in named.split(',').map(str::trim) {
            headers.remove(name);
        }
    }
    HOP.iter().for_each(|name| drop(headers.remove(name)));
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// An answer of `status` that says why.
pub fn plain_text(status: StatusCode, why: &str) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{why}\n"))));
    *response.status_mut() = status;
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}

/// The answer to a request that failed, with the time after which to come back.
///
/// Only a request that has not run and never will is told so.
pub fn failure(fate: Fate, reason: Reason, retry: Option<Duration>) -> Response<Body> {
    let status = match (fate, reason) {
        (Fate::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let mut response = plain_text(status, &reason.to_string());
    if let Some(retry) = retry {
        let seconds = format!("{:.3}", retry.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
