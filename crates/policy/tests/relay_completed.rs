//! Requests that have completed lately.
//!
//! Guards against popular requests that are taken for the cause of an outage, and against requests
//! that crash upstreams for the first time after they have been harmless.

use std::time::{Duration, Instant};

use policy::relay::{
    completed::{CompletedRequests, MAX_GENERATION},
    crash_quarantine::{CrashQuarantine, CrashReport},
    crash_suspects::{Arrival, PROVEN_PERIOD},
};

const FINGERPRINT: u64 = 7;

#[test]
fn a_completed_request_is_remembered_for_minutes_and_in_bounded_number() {
    let start = Instant::now();
    let check = |after_s: u64, newer: usize, known: bool| {
        let mut completed = CompletedRequests::new(start);
        completed.record(start, FINGERPRINT);
        (0..newer as u64).for_each(|n| completed.record(start, 100 + n));
        let now = start + Duration::from_secs(after_s);
        assert_eq!(completed.contains(now, FINGERPRINT), known, "{after_s} s, {newer} newer");
    };
    check(0, 0, true);
    check(299, 0, true);
    check(600, 0, false);
    check(0, MAX_GENERATION, true);
    check(0, 2 * MAX_GENERATION, false);
}

#[test]
fn a_request_is_remembered_while_it_completes_again() {
    let start = Instant::now();
    let mut completed = CompletedRequests::new(start);
    for minute in 0..60 {
        let now = start + Duration::from_secs(60 * minute);
        assert!(minute == 0 || completed.contains(now, FINGERPRINT), "minute {minute}");
        completed.record(now, FINGERPRINT);
    }
}

/// Returns the reports on an arrival under which upstreams of ten pools crash.
fn crash_ten(arrival: &Arrival) -> Vec<u32> {
    let pool = |n: u32| format!("p{n}").parse().expect("name");
    let mut ids: Vec<u32> = (0..10).flat_map(|n| arrival.record_crash(&pool(n), false)).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

/// Reports from several nodes on arrivals that are lost in one outage.
#[test]
fn an_outage_does_not_put_a_proven_request_into_quarantine() {
    let now = Instant::now();
    let unix = PROVEN_PERIOD * 1_000;
    let mut quarantine = CrashQuarantine::new();
    for _ in 0..18 {
        for arrival in crash_ten(&Arrival::of_proven(FINGERPRINT, unix)) {
            let report = quarantine.report(now, FINGERPRINT, arrival);
            quarantine.record(now, report);
        }
    }
    assert!(!quarantine.is_quarantined(now, FINGERPRINT));
    assert_eq!(quarantine.len(now), 1);
}

#[test]
fn a_proven_request_that_crashes_upstreams_again_after_an_outage_is_refused() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut quarantine = CrashQuarantine::new();
    let mut record = |now: Instant, arrival: &Arrival| {
        for id in crash_ten(arrival) {
            let report = quarantine.report(now, FINGERPRINT, id);
            quarantine.record(now, report);
        }
        quarantine.is_quarantined(now, FINGERPRINT)
    };
    assert!(!record(start, &Arrival::of_proven(FINGERPRINT, PROVEN_PERIOD)));
    assert!(record(at(2_500), &Arrival::new(40)));
    let check = |ms: u64, suspected: bool| {
        let mut quarantine = CrashQuarantine::new();
        let report = quarantine.report(start, FINGERPRINT, 8);
        quarantine.record(start, report);
        assert_eq!(quarantine.is_suspected(at(ms), FINGERPRINT), suspected, "after {ms} ms");
    };
    check(0, false);
    check(1_900, false);
    check(2_000, true);
}

#[test]
fn a_report_that_is_ignored_does_not_count_when_it_comes_again() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    let report = |arrival: u32| CrashReport { fingerprint: 7, arrival, remaining_ms: 60_000 };
    let ids = crash_ten(&Arrival::new(40));
    assert_eq!(ids.len(), 2, "conclusive");
    quarantine.ignore(now, FINGERPRINT, ids[1]);
    for id in ids.iter().chain(&ids) {
        quarantine.record(now, report(*id));
    }
    assert!(!quarantine.is_quarantined(now, FINGERPRINT));
    quarantine.record(now, report(60));
    assert!(quarantine.is_quarantined(now, FINGERPRINT));
}

#[test]
fn only_the_first_report_is_first() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::new();
    assert!(quarantine.is_first(now, FINGERPRINT, 8));
    let report = quarantine.report(now, FINGERPRINT, 8);
    quarantine.record(now, report);
    assert!(quarantine.is_first(now, FINGERPRINT, 8), "known");
    assert!(!quarantine.is_first(now, FINGERPRINT, 9));
    assert!(quarantine.is_first(now, 1, 9), "another request");
}
