//! Requests that crash upstreams are refused everywhere; those that ran beside are not.

use std::time::{Duration, Instant};

use policy::relay::crash_quarantine::{
    CrashQuarantine, CrashReport, MAX_FINGERPRINTS, QUARANTINE_ARRIVALS, REPORT_TTL,
};

fn notice(fingerprint: u64, arrival: u32) -> CrashReport {
    CrashReport { fingerprint, arrival, remaining_ms: REPORT_TTL.as_millis() as u32 }
}

#[test]
fn a_request_is_refused_once_enough_arrivals_lost_an_upstream() {
    let now = Instant::now();
    let check = |arrivals: &[u32], guilty: bool| {
        let mut book = CrashQuarantine::new();
        for arrival in arrivals {
            book.record(now, notice(7, *arrival));
        }
        assert_eq!(book.is_quarantined(now, 7), guilty, "{arrivals:?}");
        assert!(!book.is_quarantined(now, 8));
    };
    check(&[], false);
    check(&[1], false);
    check(&[1, 1, 1], false);
    check(&[1, 2], true);
}

#[test]
fn what_one_node_saw_counts_at_another() {
    let now = Instant::now();
    let (mut one, mut other) = (CrashQuarantine::new(), CrashQuarantine::new());
    assert!(one.record(now, notice(7, 1)));
    assert!(other.record(now, notice(7, 2)));
    for told in one.reports(now, 8) {
        assert!(other.record(now, told));
        assert!(!other.record(now, told), "told twice is no news");
    }
    assert!(other.is_quarantined(now, 7));
}

#[test]
fn a_request_that_an_upstream_survived_is_acquitted_unless_refused_already() {
    let now = Instant::now();
    let mut book = CrashQuarantine::new();
    book.record(now, notice(7, 1));
    book.clear_unconfirmed(7);
    book.record(now, notice(7, 2));
    assert!(!book.is_quarantined(now, 7));
    book.record(now, notice(7, 3));
    book.clear_unconfirmed(7);
    assert!(book.is_quarantined(now, 7));
}

#[test]
fn accusations_expire_also_when_nodes_tell_each_other() {
    let now = Instant::now();
    let mut book = CrashQuarantine::new();
    for arrival in 0..QUARANTINE_ARRIVALS as u32 {
        book.record(now, notice(7, arrival));
    }
    let late = now + REPORT_TTL - Duration::from_secs(1);
    let mut other = CrashQuarantine::new();
    for told in book.reports(late, 8) {
        other.record(late, told);
    }
    assert!(other.is_quarantined(late, 7));
    assert!(!other.is_quarantined(now + REPORT_TTL, 7));
    assert!(!book.is_quarantined(now + REPORT_TTL, 7));
}

#[test]
fn callers_cannot_grow_the_book() {
    let now = Instant::now();
    let mut book = CrashQuarantine::new();
    for n in 0..3 * MAX_FINGERPRINTS as u64 {
        book.record(now, notice(n, 1));
    }
    assert_eq!(book.reports(now, usize::MAX).len(), MAX_FINGERPRINTS);
}
