//! Applies what upstreams say of themselves in their replies.

use http::HeaderValue;
use policy::relay::{cold::Statement, notice::Limit, pool::UpstreamHandle, registry::Entry};

use crate::{
    interface::ReplyMetadata, log_limiter::LogKind, node::Node, platform_watch, request_log,
};

/// Records the notice in the `reply` of the upstream that `entry` registers, to the request with the
/// id `request_id`. To be called when the head of the reply is known: its body may be cut, or
/// nobody may wait for it.
pub(crate) fn record(
    node: &Node,
    handle: UpstreamHandle,
    entry: &Entry,
    request_id: &HeaderValue,
    reply: &ReplyMetadata,
) {
    let notice = reply.notice;
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
    record_limit(node, handle, entry, request, reply);
    record_cold(node, handle, entry, request, reply);
    record_load(node, handle, entry, reply);
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

/// Records what a `reply` says of a limit on the requests from all nodes together.
fn record_limit(
    node: &Node,
    handle: UpstreamHandle,
    entry: &Entry,
    request: &str,
    reply: &ReplyMetadata,
) {
    // It may be a late copy of an earlier reply, and the limit may have changed since.
    if reply.id_mismatch {
        return;
    }
    let limit = reply.notice.limit;
    let phase = if limit == Limit::None { 0.0 } else { node.chance() };
    let now = node.now();
    if !node.pools.lock().record_limit(now, handle, limit, phase) {
        return;
    }
    node.metrics.upstream_notices.with_label_values(&["limit"]).inc();
    if node.log_limiter.allows(now, LogKind::RoutingState) {
        let limit = match limit {
            Limit::Rate(rate) => Some(rate.per_second()),
            Limit::None | Limit::Malformed => None,
        };
        let upstream = &entry.instance;
        tracing::info!(request, %upstream, limit, "upstream changed its limit on all nodes");
    }
}

/// Records what a `reply` says of its upstream's coldness.
fn record_cold(
    node: &Node,
    handle: UpstreamHandle,
    entry: &Entry,
    request: &str,
    reply: &ReplyMetadata,
) {
    if reply.id_mismatch || reply.notice.cold == Statement::None {
        return;
    }
    let now = node.now();
    let is_first_malformed = node.pools.lock().record_cold(now, handle, reply.notice.cold);
    if is_first_malformed && node.log_limiter.allows(now, LogKind::RoutingState) {
        let upstream = &entry.instance;
        tracing::warn!(request, %upstream, "ignoring the cold time in replies of an upstream");
    }
}

/// Records what a `reply` says of the load of its upstream.
fn record_load(node: &Node, handle: UpstreamHandle, entry: &Entry, reply: &ReplyMetadata) {
    // A late copy of an earlier reply tells an earlier load.
    let Some(report) = reply.notice.load.filter(|_| !reply.id_mismatch) else { return };
    let now = node.now();
    let Some(believed) = node.pools.lock().record_load(now, handle, report) else { return };
    let kind = if believed { "load_believed" } else { "load_doubted" };
    node.metrics.upstream_notices.with_label_values(&[kind]).inc();
    if node.log_limiter.allows(now, LogKind::RoutingState) {
        let upstream = &entry.instance;
        tracing::info!(%upstream, believed, "trust in the reports of an upstream's load changed");
    }
}
