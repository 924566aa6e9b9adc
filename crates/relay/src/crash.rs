//! Crash reports: records those of this node and of its peers, and publishes them.
//!
//! Each step from a lost connection to a refused request has a log line with the request's
//! fingerprint and arrival, and a metric. The decisions are in
//! [`policy::relay::crash_quarantine`].

use std::{net::SocketAddr, time::Instant};

use base::id;
use policy::{
    membership::MAX_CRASH_REPORTS,
    relay::crash_quarantine::{Change, CrashReport, Recorded},
};

use crate::{log_limiter::LogKind, membership, node::Node};

/// Why a report was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Drop {
    /// Too many requests are suspected of the same crash.
    SuspectsFull,
    /// The table of reports was full, and this one was the least important.
    TableFull,
    /// A message to a peer had no room for it.
    MessageFull,
    /// It has expired.
    Expired,
    /// Upstreams have run the request without crashing since.
    Cleared,
}

impl Drop {
    /// Value of the metric label and the log field `cause`.
    fn name(self) -> &'static str {
        match self {
            Drop::SuspectsFull => "suspects_full",
            Drop::TableFull => "table_full",
            Drop::MessageFull => "message_full",
            Drop::Expired => "expired",
            Drop::Cleared => "cleared",
        }
    }
}

/// Formats a fingerprint as in all log lines.
pub(crate) fn format_fingerprint(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

fn format_arrival(arrival: u32) -> String {
    format!("{arrival:08x}")
}

/// Records that a connection was lost while `report`'s request ran on the upstream at `address`.
pub(crate) fn lost(
    node: &Node,
    request: &str,
    report: CrashReport,
    address: SocketAddr,
    end: &str,
) {
    node.metrics.crash_losses.with_label_values(&[end]).inc();
    if node.log_limiter.allows(node.now(), LogKind::Crash) {
        let fingerprint = format_fingerprint(report.fingerprint);
        let arrival = format_arrival(report.arrival);
        tracing::info!(
            request, fingerprint, arrival, upstream = %address, end,
            "attempt lost; checking whether the upstream crashed"
        );
    }
}

/// Records the `result` of a check whether the upstream at `address` has crashed, of which
/// `suspects` are suspected.
pub(crate) fn checked(
    node: &Node,
    address: SocketAddr,
    suspects: &[CrashReport],
    result: &'static str,
    cause: Option<&str>,
) {
    node.metrics.crash_checks.with_label_values(&[result]).inc();
    if node.log_limiter.allows(node.now(), LogKind::Crash) {
        let requests = suspects.len();
        let fingerprints = format_fingerprints(suspects);
        tracing::info!(%address, result, requests, fingerprints, cause, "crash check");
    }
}

/// Records `reports` and gossips those that are new. `from` is the peer that sent them, `None` if
/// they are this node's own.
pub(crate) fn publish(node: &Node, reports: &[CrashReport], from: Option<id::Node>) {
    let now = node.now();
    let origin = if from.is_some() { "peer" } else { "own" };
    let recorded: Vec<(CrashReport, Recorded)> = {
        let mut quarantine = node.crash_quarantine.lock();
        reports.iter().map(|report| (*report, quarantine.record(now, *report))).collect()
    };
    let mut any_new = false;
    for (report, Recorded { change, evicted }) in recorded {
        if let Some(evicted) = evicted {
            dropped(node, Some(evicted), 1, Drop::TableFull);
        }
        if change == Change::None {
            continue;
        }
        any_new = true;
        node.metrics.crash_reports.with_label_values(&[origin]).inc();
        let quarantined = change == Change::Quarantined;
        if quarantined {
            node.metrics.crash_quarantined.inc();
        }
        if node.log_limiter.allows(now, LogKind::Crash) {
            let fingerprint = format_fingerprint(report.fingerprint);
            let arrival = format_arrival(report.arrival);
            let from = from.map(|f| f.to_string());
            let remaining_ms = report.remaining_ms;
            tracing::warn!(
                fingerprint,
                arrival,
                origin,
                from,
                remaining_ms,
                quarantined,
                "crash report recorded"
            );
        }
    }
    if !any_new {
        return;
    }
    if from.is_none() && node.log_limiter.allows(now, LogKind::RoutingState) {
        let fingerprints = format_fingerprints(reports);
        tracing::warn!(fingerprints, "requests accused of crashing an upstream");
    }
    membership::gossip_now(node);
}

/// Records that `count` reports were dropped, those on `fingerprint` if they concern one request.
pub(crate) fn dropped(node: &Node, fingerprint: Option<u64>, count: usize, cause: Drop) {
    let cause = cause.name();
    node.metrics.crash_reports_dropped.with_label_values(&[cause]).inc_by(count as u64);
    if node.log_limiter.allows(node.now(), LogKind::Crash) {
        let fingerprint = fingerprint.map(format_fingerprint);
        tracing::info!(fingerprint, count, cause, "crash reports dropped");
    }
}

/// Removes expired reports. To be called several times a second.
pub(crate) fn expire(node: &Node, now: Instant) {
    let expired = {
        let mut quarantine = node.crash_quarantine.lock();
        if quarantine.is_empty() { Vec::new() } else { quarantine.expire(now) }
    };
    for fingerprint in expired {
        dropped(node, Some(fingerprint), 1, Drop::Expired);
    }
}

/// Returns the reports to attach to a message.
pub(crate) fn reports_to_send(node: &Node) -> Vec<CrashReport> {
    let now = node.now();
    let (reports, known) = {
        let quarantine = node.crash_quarantine.lock();
        if quarantine.is_empty() {
            return Vec::new();
        }
        (quarantine.reports(now, MAX_CRASH_REPORTS), quarantine.len(now))
    };
    if known > reports.len() {
        dropped(node, None, known - reports.len(), Drop::MessageFull);
    }
    reports
}

fn format_fingerprints(reports: &[CrashReport]) -> String {
    let fingerprints = reports.iter().map(|r| format_fingerprint(r.fingerprint));
    fingerprints.collect::<Vec<_>>().join(" ")
}
