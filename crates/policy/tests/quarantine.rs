//! Evidence against requests that crash upstreams.

use std::time::{Duration, Instant};

use policy::quarantine::{Book, EXPIRY, Known, LIMIT, Notice};

#[test]
fn two_upstreams_lost_by_a_request_alone_quarantine_it() {
    let now = Instant::now();
    let mut book = Book::new();
    assert!(!book.lost(now, 1, 1, false));
    assert!(!book.is_suspect(now, 1));
    assert!(book.lost(now, 1, 1, false));
    assert!(book.is_suspect(now, 1));
    assert!(!book.is_suspect(now + EXPIRY, 1));
}

#[test]
fn a_bystander_that_completes_recovers() {
    let now = Instant::now();
    let mut book = Book::new();
    for _ in 0..20 {
        assert!(!book.lost(now, 2, 2, false));
        book.completed(2);
    }
    assert!(!book.is_suspect(now, 2));
}

#[test]
fn a_quarantined_request_is_not_cleared_by_completing() {
    let now = Instant::now();
    let mut book = Book::new();
    book.lost(now, 1, 1, false);
    book.lost(now, 1, 1, false);
    book.completed(1);
    assert!(book.is_suspect(now, 1));
}

#[test]
fn a_request_that_has_completed_lately_takes_more_evidence() {
    let now = Instant::now();
    let (mut book, known) = (Book::new(), Known::new());
    known.completed(5);
    assert!(known.contains(5) && !known.contains(6));
    let newly: Vec<bool> = (0..6).map(|_| book.lost(now, 5, 1, true)).collect();
    assert_eq!(newly, [false, false, false, false, false, true]);
}

#[test]
fn notices_are_news_once_and_bounded() {
    let now = Instant::now();
    let mut book = Book::new();
    let notice = Notice { fingerprint: 3, remaining_ms: u32::MAX };
    assert!(book.learn(now, notice));
    assert!(!book.learn(now, notice));
    assert!(!book.is_suspect(now + EXPIRY, 3), "no notice outlasts the expiry");
    for fingerprint in 0..2 * LIMIT as u64 {
        book.learn(now, Notice { fingerprint, remaining_ms: 1_000 });
    }
    assert_eq!(book.len(), LIMIT);
    assert_eq!(book.notices(now, 8).len(), 8);
    assert!(book.notices(now + Duration::from_secs(61), 8).is_empty());
}
