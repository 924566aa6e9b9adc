//! Answers where a request would go now, and why, without sending it.

use std::sync::atomic::Ordering;

use http::{HeaderValue, Response, StatusCode, header};
use policy::relay::explain::{Explanation, explain};
use serde::{Deserialize, Serialize};

use crate::{
    node::Node,
    response::{self, Body},
};

/// Path of the explanations on the metrics address.
pub const PATH: &str = "/explain";

/// What a node says of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeExplanation {
    /// Generation of the configuration in force.
    pub generation: u64,
    /// Age of the platform data, if there is any.
    pub platform_data_age_ms: Option<u64>,
    /// Whether address lists may name the node.
    pub is_ready: bool,
    /// Requests in flight.
    pub requests: usize,
    /// Requests from which on the node refuses others.
    pub max_requests: usize,
    /// Bytes of bodies held.
    pub held_bytes: usize,
    /// Bytes from which on the node refuses bodies.
    pub max_held_bytes: usize,
    /// Where the request would go; `None` without a route for it.
    pub request: Option<Explanation>,
}

/// Answers a call whose parameters `host` and `path` are in `query`.
pub(crate) fn answer(node: &Node, query: &str) -> Response<Body> {
    let parameter = |name: &str| {
        let mut parameters = query.split('&').filter_map(|p| p.split_once('='));
        parameters.find(|(n, _)| *n == name).and_then(|(_, value)| decode(value))
    };
    let (Some(host), Some(path)) = (parameter("host"), parameter("path")) else {
        let usage = "the parameters host and path are needed, percent-encoded";
        return response::plain_text(StatusCode::BAD_REQUEST, usage);
    };
    let path = path.split('?').next().unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let now = node.now();
    let request = node
        .route_table()
        .and_then(|table| explain(now, &table, &mut node.pools.lock(), &host, path));
    let explained = NodeExplanation {
        generation: node.generation().0,
        platform_data_age_ms: node.platform_data_age().map(|age| age.as_millis() as u64),
        is_ready: node.is_ready(),
        requests: node.in_flight.load(Ordering::Relaxed),
        max_requests: node.settings.max_requests,
        held_bytes: node.body_memory.reserved_bytes(),
        max_held_bytes: node.settings.max_buffered_bytes,
        request,
    };
    // Serialization of these types cannot fail.
    let body = serde_json::to_vec(&explained).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Decodes percent-encoded text; `None` if it is malformed.
fn decode(text: &str) -> Option<String> {
    let (mut decoded, mut bytes) = (Vec::new(), text.bytes());
    while let Some(byte) = bytes.next() {
        let hex = |b: u8| char::from(b).to_digit(16);
        decoded.push(match byte {
            b'%' => (hex(bytes.next()?)? * 16 + hex(bytes.next()?)?) as u8,
            byte => byte,
        });
    }
    String::from_utf8(decoded).ok()
}
