//! Evidence against requests that crash upstreams.

use std::time::{Duration, Instant};

use policy::quarantine::{MAX_ENTRIES, Notice, QUARANTINE_TTL, QuarantineTable, RecentCompletions};

#[test]
fn two_upstreams_lost_by_a_request_alone_quarantine_it() {
    let now = Instant::now();
    let mut book = QuarantineTable::new();
    assert!(!book.record_loss(now, 1, 1, false));
    assert!(!book.is_quarantined(now, 1));
    assert!(book.record_loss(now, 1, 1, false));
    assert!(book.is_quarantined(now, 1));
    assert!(!book.is_quarantined(now + QUARANTINE_TTL, 1));
}

#[test]
fn a_bystander_that_completes_recovers() {
    let now = Instant::now();
    let mut book = QuarantineTable::new();
    for _ in 0..20 {
        assert!(!book.record_loss(now, 2, 2, false));
        book.record_completion(2);
    }
    assert!(!book.is_quarantined(now, 2));
}

#[test]
fn a_quarantined_request_is_not_cleared_by_completing() {
    let now = Instant::now();
    let mut book = QuarantineTable::new();
    book.record_loss(now, 1, 1, false);
    book.record_loss(now, 1, 1, false);
    book.record_completion(1);
    assert!(book.is_quarantined(now, 1));
}

#[test]
fn a_request_that_has_completed_lately_takes_more_evidence() {
    let now = Instant::now();
    let (mut book, known) = (QuarantineTable::new(), RecentCompletions::new());
    known.record_completion(5);
    assert!(known.contains(5) && !known.contains(6));
    let newly: Vec<bool> = (0..6).map(|_| book.record_loss(now, 5, 1, true)).collect();
    assert_eq!(newly, [false, false, false, false, false, true]);
}

#[test]
fn notices_are_news_once_and_bounded() {
    let now = Instant::now();
    let mut book = QuarantineTable::new();
    let notice = Notice { fingerprint: 3, remaining_ms: u32::MAX };
    assert!(book.merge(now, notice));
    assert!(!book.merge(now, notice));
    assert!(!book.is_quarantined(now + QUARANTINE_TTL, 3), "no notice outlasts the expiry");
    for fingerprint in 0..2 * MAX_ENTRIES as u64 {
        book.merge(now, Notice { fingerprint, remaining_ms: 1_000 });
    }
    assert_eq!(book.len(), MAX_ENTRIES);
    assert_eq!(book.notices(now, 8).len(), 8);
    assert!(book.notices(now + Duration::from_secs(61), 8).is_empty());
}
