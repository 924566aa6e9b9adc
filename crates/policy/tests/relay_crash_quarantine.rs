//! Quarantine of requests that crash upstreams.
//!
//! Guards against a request that crashes one upstream after another because callers send it again
//! through any node, and against refusing requests that merely ran at the same time.

use std::time::{Duration, Instant};

use policy::{
    membership::MAX_CRASH_REPORTS,
    relay::crash_quarantine::{
        CrashQuarantine, CrashReport, MAX_FINGERPRINTS, QUARANTINE_ARRIVALS, REPORT_TTL,
    },
};

fn report(fingerprint: u64, arrival: u32) -> CrashReport {
    CrashReport { fingerprint, arrival, remaining_ms: REPORT_TTL.as_millis() as u32 }
}

#[test]
fn a_request_is_quarantined_after_enough_arrivals_crashed_an_upstream() {
    let now = Instant::now();
    let check = |arrivals: &[u32], quarantined: bool| {
        let mut quarantine = CrashQuarantine::new();
        for arrival in arrivals {
            quarantine.record(now, report(7, *arrival));
        }
        assert_eq!(quarantine.is_quarantined(now, 7), quarantined, "{arrivals:?}");
        assert!(!quarantine.is_quarantined(now, 8));
    };
    check(&[], false);
    check(&[1], false);
    check(&[1, 1, 1], false);
    check(&[1, 2], true);
}

#[test]
fn reports_of_one_node_count_at_another() {
    let now = Instant::now();
    let (mut one, mut other) = (CrashQuarantine::new(), CrashQuarantine::new());
    assert!(one.record(now, report(7, 1)).is_new());
    assert!(other.record(now, report(7, 2)).is_new());
    for report in one.reports(now, 8) {
        assert!(other.record(now, report).is_new());
        assert!(!other.record(now, report).is_new(), "a repeated report is not new");
    }
    assert!(other.is_quarantined(now, 7));
}

#[test]
fn a_request_that_an_upstream_survives_is_cleared_unless_quarantined_already() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    quarantine.record(now, report(7, 1));
    quarantine.clear_unconfirmed(7);
    quarantine.record(now, report(7, 2));
    assert!(!quarantine.is_quarantined(now, 7));
    quarantine.record(now, report(7, 3));
    quarantine.clear_unconfirmed(7);
    assert!(quarantine.is_quarantined(now, 7));
}

#[test]
fn a_peer_does_not_bring_a_withdrawn_report_back() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    quarantine.record(now, report(7, 1));
    assert!(quarantine.clear_unconfirmed(7));
    assert!(!quarantine.record(now, report(7, 1)).is_new());
    quarantine.record(now, report(7, 2));
    assert!(!quarantine.is_quarantined(now, 7));
    assert!(!quarantine.clear_unconfirmed(8));
}

#[test]
fn reports_expire_although_nodes_pass_them_on() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    for arrival in 0..QUARANTINE_ARRIVALS as u32 {
        quarantine.record(now, report(7, arrival));
    }
    let late = now + REPORT_TTL - Duration::from_secs(1);
    let mut other = CrashQuarantine::new();
    for report in quarantine.reports(late, 8) {
        other.record(late, report);
    }
    assert!(other.is_quarantined(late, 7));
    assert!(!other.is_quarantined(now + REPORT_TTL, 7));
    assert!(!quarantine.is_quarantined(now + REPORT_TTL, 7));
}

#[test]
fn callers_cannot_grow_the_quarantine() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    for n in 0..3 * MAX_FINGERPRINTS as u64 {
        quarantine.record(now, report(n, 1));
    }
    assert_eq!(quarantine.reports(now, usize::MAX).len(), MAX_FINGERPRINTS);
}

/// Returns a quarantine with the request 7 in it, and then `newer` requests that are suspected
/// once, as after a crash of many upstreams.
fn quarantine_before_an_outage(now: Instant, newer: u64) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::new();
    quarantine.record(now, report(7, 1));
    quarantine.record(now, report(7, 2));
    for n in 0..newer {
        quarantine.record(now + Duration::from_millis(n), report(1_000 + n, 1));
    }
    quarantine
}

#[test]
fn an_outage_of_upstreams_does_not_evict_a_quarantined_request() {
    let now = Instant::now();
    let quarantine = quarantine_before_an_outage(now, 2 * MAX_FINGERPRINTS as u64);
    assert!(quarantine.is_quarantined(now, 7));
    assert!(quarantine.len(now) <= MAX_FINGERPRINTS + 1);
}

#[test]
fn an_outage_of_upstreams_does_not_displace_a_quarantined_request_from_messages() {
    let now = Instant::now();
    let quarantine = quarantine_before_an_outage(now, 100);
    let mut other = CrashQuarantine::new();
    for report in quarantine.reports(now, MAX_CRASH_REPORTS) {
        other.record(now, report);
    }
    assert!(other.is_quarantined(now, 7));
}
