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
    quarantine.clear_unconfirmed(now, 7, |_| true);
    quarantine.record(now, report(7, 2));
    assert!(!quarantine.is_quarantined(now, 7));
    quarantine.record(now, report(7, 3));
    quarantine.clear_unconfirmed(now, 7, |_| true);
    assert!(quarantine.is_quarantined(now, 7));
}

#[test]
fn a_peer_does_not_bring_a_withdrawn_report_back() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    quarantine.record(now, report(7, 1));
    assert!(quarantine.clear_unconfirmed(now, 7, |_| true));
    assert!(!quarantine.record(now, report(7, 1)).is_new());
    quarantine.record(now, report(7, 2));
    assert!(!quarantine.is_quarantined(now, 7));
    assert!(!quarantine.clear_unconfirmed(now, 8, |_| true));
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

/// Plays a request that comes each `interval` for `time` and crashes an upstream each time that it
/// is let through. Returns how often it was.
fn play(
    quarantine: &mut CrashQuarantine,
    start: Instant,
    interval: Duration,
    time: Duration,
) -> u32 {
    let mut sent = 0;
    let mut now = start;
    while now < start + time {
        quarantine.expire(now);
        if !quarantine.refuse(now, 7) {
            sent += 1;
            let report = quarantine.report(now, 7, sent);
            quarantine.record(now, report);
        }
        now += interval;
    }
    sent
}

#[test]
fn a_request_that_crashes_upstreams_again_is_refused_as_long_as_it_comes() {
    let check = |interval_s: u64| {
        let start = Instant::now();
        let mut quarantine = CrashQuarantine::new();
        let (interval, day) = (Duration::from_secs(interval_s), Duration::from_secs(86_400));
        let sent = play(&mut quarantine, start, interval, day);
        // Three crashes are free, and three retries may come later.
        assert!(sent <= 6, "each {interval_s} s: sent {sent} times in a day");
    };
    [1, 7, 30, 59, 90].into_iter().for_each(check);
}

#[test]
fn an_innocent_request_is_refused_for_the_time_of_a_report_at_most() {
    let start = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    quarantine.record(start, report(7, 1));
    quarantine.record(start, report(7, 2));
    let mut now = start;
    while quarantine.refuse(now, 7) {
        now += Duration::from_secs(1);
    }
    assert!(now <= start + REPORT_TTL);
    assert!(quarantine.clear_unconfirmed(now, 7, |_| true), "its upstreams survive it");
    quarantine.record(now, report(7, 3));
    assert!(!quarantine.is_quarantined(now, 7));
}

#[test]
fn a_renewed_quarantine_reaches_other_nodes_and_does_not_renew_itself() {
    let start = Instant::now();
    let (mut one, mut other) = (CrashQuarantine::new(), CrashQuarantine::new());
    for arrival in 1..=3 {
        let report = one.report(start, 7, arrival);
        one.record(start, report);
    }
    let exchange = |now: Instant, one: &mut CrashQuarantine, other: &mut CrashQuarantine| {
        let delay = Duration::from_millis(200);
        for report in one.reports(now, 8) {
            other.record(now + delay, report);
        }
        for report in other.reports(now + delay, 8) {
            one.record(now + 2 * delay, report);
        }
    };
    exchange(start, &mut one, &mut other);
    let later = start + REPORT_TTL;
    assert!(one.refuse(later, 7));
    exchange(later, &mut one, &mut other);
    let end = later + 2 * REPORT_TTL;
    assert!(other.is_quarantined(end - Duration::from_secs(1), 7), "renewed by the refusal");
    for second in 0..300 {
        exchange(later + Duration::from_secs(second), &mut one, &mut other);
    }
    let forgotten = end + Duration::from_secs(2);
    assert!(!one.is_quarantined(forgotten, 7) && !other.is_quarantined(forgotten, 7));
}

#[test]
fn an_arrival_withdraws_only_reports_on_crashes_that_it_has_disproved() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    quarantine.record(now, report(7, 1));
    assert!(!quarantine.clear_unconfirmed(now, 7, |arrival| arrival == 2));
    quarantine.record(now, report(7, 2));
    assert!(quarantine.is_quarantined(now, 7));
}
