//! Applies what upstreams say of themselves in their replies.

use http::HeaderValue;
use policy::relay::{
    notice::{Limit, Notice},
    pool::UpstreamHandle,
    registry::Entry,
};

use crate::{log_limiter::LogKind, node::Node, platform_watch, request_log};

/// Records the `notice` in a reply of the upstream that `entry` registers, to the request with the
/// id `request_id`. To be called when the head of the reply is known: its body may be cut, or
/// nobody may wait for it.
pub(crate) fn record(
    node: &Node,
    handle: UpstreamHandle,
    entry: &Entry,
    request_id: &HeaderValue,
    notice: Notice,
) {
    let now = node.now();
    let request = request_log::id_text(request_id);
    let upstream = &entry.instance;
    if notice.is_leaving && node.registry.lock().record_leaving(now, entry) {
        node.metrics.upstream_notices.with_label_values(&["leaving"]).inc();
        if node.log_limiter.allows(now, LogKind::RoutingState) {
            tracing::info!(request, %upstream, "upstream leaves, as its reply says");
        }
        platform_watch::sync_pools(node);
    }
    if node.pools.lock().record_limit(handle, notice.limit) {
        node.metrics.upstream_notices.with_label_values(&["limit"]).inc();
        if node.log_limiter.allows(now, LogKind::RoutingState) {
            let limit = match notice.limit {
                Limit::Rate(rate) => Some(rate.per_second()),
                Limit::None | Limit::Malformed => None,
            };
            tracing::info!(request, %upstream, limit, "upstream changed its limit on all nodes");
        }
    }
    let Some(time) = notice.rest else { return };
    let chance = node.chance();
    let rest_end = node.pools.lock().record_rest(now, handle, time, chance);
    node.metrics.upstream_notices.with_label_values(&["rest"]).inc();
    if node.log_limiter.allows(now, LogKind::RoutingState) {
        let rest_ms = rest_end.map(|end| end.saturating_duration_since(now).as_millis() as u64);
        let asked_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(request, %upstream, asked_ms, rest_ms, "upstream wants no requests for a time");
    }
}
