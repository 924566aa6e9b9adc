//! Crash reports: records those of this node and of its peers, and publishes them.
//!
//! Each step from a lost connection to a refused request has a log line with the request's
//! fingerprint and arrival, and a metric. The decisions are in
//! [`policy::relay::crash_quarantine`].

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::id;
use policy::{
    membership::MAX_CRASH_REPORTS,
    relay::{
        crash_quarantine::{Change, CrashQuarantine, CrashReport, Recorded},
        crash_suspects::Suspect,
        registry::Entry,
        upstream::AttemptEnd,
    },
};

use crate::{log_limiter::LogKind, membership, node::Node, peer, request_log};

/// Shortest time between two fetches of crash reports: about half the time within which all nodes
/// are to know a report.
const FETCH_INTERVAL: Duration = Duration::from_secs(2);
/// Time until the next fetch after one that brought nothing new.
const IDLE_FETCH_INTERVAL: Duration = Duration::from_secs(10);
/// Time without any message after which this node may have missed reports.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// When to fetch crash reports from a peer.
#[derive(Debug)]
pub(crate) struct FetchSchedule {
    /// When the last message from a peer arrived.
    last_message: Instant,
    /// When the next fetch is allowed.
    next: Instant,
}

impl FetchSchedule {
    pub(crate) fn new(now: Instant) -> FetchSchedule {
        FetchSchedule { last_message: now, next: now }
    }
}

/// Why a report was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DropCause {
    /// Too many requests are suspected of the same crash.
    SuspectsFull,
    /// The table of reports was full, and this one was the least important.
    TableFull,
    /// A message to a peer had no room for it.
    MessageFull,
    /// No upstream replies to this node, so it may be cut off.
    CutOff,
    /// It has expired.
    Expired,
    /// Upstreams have run the request without crashing since.
    Cleared,
}

impl DropCause {
    /// Value of the metric label and the log field `cause`.
    fn name(self) -> &'static str {
        match self {
            DropCause::SuspectsFull => "suspects_full",
            DropCause::TableFull => "table_full",
            DropCause::MessageFull => "message_full",
            DropCause::CutOff => "cut_off",
            DropCause::Expired => "expired",
            DropCause::Cleared => "cleared",
        }
    }
}

/// Formats a fingerprint as in all log lines.
pub(crate) fn format_fingerprint(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

/// Formats the part of an arrival's id that does not change.
fn format_arrival(arrival: u32) -> String {
    format!("{:04x}", arrival & 0xffff)
}

/// Records that an attempt of `suspect` ended by `end`, without a reply from the upstream that
/// `entry` registers.
pub(crate) fn lost(node: &Node, entry: &Entry, suspect: &Suspect, end: AttemptEnd) {
    let end = request_log::end_name(end);
    node.metrics.crash_losses.with_label_values(&[end]).inc();
    if node.log_limiter.allows(node.now(), LogKind::Crash) {
        let Suspect { request_id, fingerprint, arrival, .. } = suspect;
        let fingerprint = format_fingerprint(*fingerprint);
        let arrival = format_arrival(arrival.id());
        tracing::info!(
            request = %request_id, fingerprint, arrival, upstream = %entry.instance, end,
            "attempt lost; the upstream may have crashed"
        );
    }
}

/// Records the `result` of a check whether an upstream with `suspects` suspected requests has
/// crashed.
pub(crate) fn checked(
    node: &Node,
    entry: &Entry,
    suspects: usize,
    result: &'static str,
    cause: Option<&str>,
) {
    node.metrics.crash_checks.with_label_values(&[result]).inc();
    let now = node.now();
    let (upstream, address) = (&entry.instance, entry.address);
    if node.log_limiter.allows(now, LogKind::Crash) {
        tracing::info!(%upstream, %address, result, suspects, cause, "crash check");
    }
}

/// Records that an upstream accepts no new connection, for `cause`, and counts as crashed.
pub(crate) fn unreachable(node: &Node, entry: &Entry, suspects: usize, cause: &str) {
    if node.log_limiter.allows(node.now(), LogKind::Crash) {
        let address = entry.address;
        tracing::warn!(
            %address, requests = suspects, cause,
            "upstream accepts no new connection; assuming that it crashed"
        );
    }
}

/// Records that an upstream crashed, perhaps by one of `suspects`, and reports those.
pub(crate) fn upstream_crashed(node: &Node, entry: &Entry, suspects: &[Suspect]) {
    for Suspect { request_id, fingerprint, arrival, .. } in suspects {
        if node.log_limiter.allows(node.now(), LogKind::Crash) {
            let fingerprint = format_fingerprint(*fingerprint);
            let arrival = format_arrival(arrival.id());
            let upstream = entry.address;
            tracing::warn!(
                request = %request_id, fingerprint, arrival, %upstream,
                "an upstream crashed while it ran this request"
            );
        }
    }
    let now = node.now();
    let reports: Vec<CrashReport> = {
        let quarantine = node.crash_quarantine.lock();
        let report = |s: &Suspect, arrival| quarantine.report(now, s.fingerprint, arrival);
        let reports_on = |s: &Suspect| {
            let ids: Vec<u32> = s.arrival.record_crash(&entry.pool, s.after_loss).collect();
            ids.into_iter().map(|id| report(s, id)).collect::<Vec<_>>()
        };
        suspects.iter().flat_map(reports_on).collect()
    };
    publish(node, &reports, None);
}

/// Records `reports` and gossips if any is new, which it returns. `from` is the peer that sent
/// them, `None` if they are this node's own.
fn publish(node: &Node, reports: &[CrashReport], from: Option<id::Node>) -> bool {
    let now = node.now();
    let origin = if from.is_some() { "peer" } else { "own" };
    let recorded: Vec<(CrashReport, Recorded)> = {
        let mut quarantine = node.crash_quarantine.lock();
        let record = |report: &CrashReport| {
            if from.is_some() {
                ignore_if_repeated(node, &mut quarantine, report);
            }
            (*report, quarantine.record(now, *report))
        };
        reports.iter().map(record).collect()
    };
    let mut any_new = false;
    for (report, Recorded { change, evicted }) in recorded {
        if let Some(evicted) = evicted {
            dropped(node, Some(evicted), 1, DropCause::TableFull);
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
        let kind = if quarantined { LogKind::Quarantine } else { LogKind::Crash };
        if node.log_limiter.allows(now, kind) {
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
        return false;
    }
    if from.is_none() && node.log_limiter.allows(now, LogKind::Crash) {
        let fingerprints = format_fingerprints(reports);
        tracing::warn!(fingerprints, "requests accused of crashing an upstream");
    }
    membership::gossip_now(node);
    true
}

/// Records the reports in a message of the peer `from`. Fetches all its reports if the message had
/// no room for more.
pub(crate) fn receive(node: &Arc<Node>, reports: &[CrashReport], from: id::Node) {
    publish(node, reports, Some(from));
    let now = node.now();
    {
        let mut schedule = node.report_fetches.lock();
        let silence = now.saturating_duration_since(schedule.last_message);
        schedule.last_message = now;
        if silence > MAX_SILENCE {
            schedule.next = now;
        }
        if reports.len() < MAX_CRASH_REPORTS || schedule.next > now {
            return;
        }
        schedule.next = now + FETCH_INTERVAL;
    }
    tokio::spawn(fetch(node.clone(), from));
}

/// Ignores a peer's `report` on a request that this node has lately seen completed, unless it is the
/// first in an outage: peers that have not seen that take each of their losses for evidence.
fn ignore_if_repeated(node: &Node, quarantine: &mut CrashQuarantine, report: &CrashReport) {
    let now = node.now();
    let CrashReport { fingerprint, arrival, .. } = *report;
    let is_proven = node.completed.lock().contains(now, fingerprint);
    if !is_proven
        || quarantine.is_suspected(now, fingerprint)
        || quarantine.is_first(now, fingerprint, arrival)
    {
        return;
    }
    if let Some(evicted) = quarantine.ignore(now, fingerprint, arrival) {
        dropped(node, Some(evicted), 1, DropCause::TableFull);
    }
}

async fn fetch(node: Arc<Node>, from: id::Node) {
    match peer::fetch_crash_reports(&node, from).await {
        Ok(reports) => {
            node.metrics.peer_calls.with_label_values(&["ok"]).inc();
            if node.log_limiter.allows(node.now(), LogKind::Crash) {
                tracing::info!(peer = %from, reports = reports.len(), "fetched crash reports");
            }
            if !publish(&node, &reports, Some(from)) {
                node.report_fetches.lock().next = node.now() + IDLE_FETCH_INTERVAL;
            }
        }
        Err(e) => {
            node.metrics.peer_calls.with_label_values(&["failed"]).inc();
            if node.log_limiter.allows(node.now(), LogKind::Peer) {
                tracing::warn!(peer = %from, cause = %e, "failed to fetch crash reports");
            }
        }
    }
}

/// Records that `count` reports were dropped, those on `fingerprint` if they concern one request.
pub(crate) fn dropped(node: &Node, fingerprint: Option<u64>, count: usize, cause: DropCause) {
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
        dropped(node, Some(fingerprint), 1, DropCause::Expired);
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
    let left_out = known - reports.len();
    let before = node.reports_left_out.swap(left_out, Ordering::Relaxed);
    if left_out > before {
        dropped(node, None, left_out - before, DropCause::MessageFull);
    }
    reports
}

fn format_fingerprints(reports: &[CrashReport]) -> String {
    let fingerprints = reports.iter().map(|r| format_fingerprint(r.fingerprint));
    fingerprints.collect::<Vec<_>>().join(" ")
}
