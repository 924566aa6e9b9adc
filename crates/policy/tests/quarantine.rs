//! Quarantine of requests that crash upstreams.

use std::time::{Duration, Instant};

use policy::quarantine::{MAX_ENTRIES, Notice, QUARANTINE_TTL, QuarantineTable, RecentCompletions};

#[test]
fn losing_two_upstreams_while_running_alone_quarantines_a_request() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    assert!(!table.record_loss(now, 1, 1, false));
    assert!(!table.is_quarantined(now, 1));
    assert!(table.record_loss(now, 1, 1, false));
    assert!(table.is_quarantined(now, 1));
    assert!(!table.is_quarantined(now + QUARANTINE_TTL, 1));
}

/// A healthy request that often runs concurrently with a crashing one accumulates weight from the
/// lost connections; its completions must keep it below the threshold.
#[test]
fn completion_clears_a_request_that_ran_beside_the_cause() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    for _ in 0..20 {
        assert!(!table.record_loss(now, 2, 2, false));
        table.record_completion(2);
    }
    assert!(!table.is_quarantined(now, 2));
}

/// A request that crashes only some upstreams completes on others in between; that must not lift
/// its quarantine.
#[test]
fn a_quarantined_request_is_not_cleared_by_completing() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    table.record_loss(now, 1, 1, false);
    table.record_loss(now, 1, 1, false);
    table.record_completion(1);
    assert!(table.is_quarantined(now, 1));
}

#[test]
fn a_recently_completed_request_needs_more_evidence() {
    let now = Instant::now();
    let (mut table, completions) = (QuarantineTable::new(), RecentCompletions::new());
    completions.record_completion(5);
    assert!(completions.contains(5) && !completions.contains(6));
    let newly_quarantined: Vec<bool> = (0..6).map(|_| table.record_loss(now, 5, 1, true)).collect();
    assert_eq!(newly_quarantined, [false, false, false, false, false, true]);
}

#[test]
fn a_repeated_notice_is_not_new_and_notices_are_bounded() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    let notice = Notice { fingerprint: 3, remaining_ms: u32::MAX };
    assert!(table.merge(now, notice));
    assert!(!table.merge(now, notice));
    assert!(
        !table.is_quarantined(now + QUARANTINE_TTL, 3),
        "a notice must expire after the TTL at the latest"
    );
    for fingerprint in 0..2 * MAX_ENTRIES as u64 {
        table.merge(now, Notice { fingerprint, remaining_ms: 1_000 });
    }
    assert_eq!(table.len(), MAX_ENTRIES);
    assert_eq!(table.notices(now, 8).len(), 8);
    assert!(table.notices(now + Duration::from_secs(61), 8).is_empty());
}

#[test]
fn an_outage_of_upstreams_does_not_evict_a_quarantined_fingerprint() {
    let now = Instant::now();
    let mut table = QuarantineTable::new();
    (0..2).for_each(|_| _ = table.record_loss(now, 7, 1, false));
    assert!(table.is_quarantined(now, 7));
    for fingerprint in 0..2 * MAX_ENTRIES as u64 {
        table.record_loss(now, 1_000 + fingerprint, 1, false);
    }
    assert!(table.is_quarantined(now, 7));
    assert_eq!(table.len(), 1);
}

#[test]
fn quarantined_fingerprints_beyond_one_message_reach_other_nodes() {
    let now = Instant::now();
    let (mut one, mut other) = (QuarantineTable::new(), QuarantineTable::new());
    for fingerprint in 0..100 {
        one.merge(now, Notice { fingerprint, remaining_ms: 60_000 });
    }
    for _ in 0..25 {
        one.notices(now, 8).into_iter().for_each(|notice| _ = other.merge(now, notice));
    }
    assert_eq!(other.len(), 100);
}
