//! Requests that crash upstreams are refused everywhere; those that ran beside are not.

use std::time::{Duration, Instant};

use policy::relay::accusation::{ARRIVALS, Book, EXPIRY, LIMIT, Notice};

fn notice(fingerprint: u64, arrival: u32) -> Notice {
    Notice { fingerprint, arrival, remaining_ms: EXPIRY.as_millis() as u32 }
}

#[test]
fn a_request_is_refused_once_enough_arrivals_lost_an_upstream() {
    let now = Instant::now();
    let check = |arrivals: &[u32], guilty: bool| {
        let mut book = Book::new();
        for arrival in arrivals {
            book.learn(now, notice(7, *arrival));
        }
        assert_eq!(book.is_guilty(now, 7), guilty, "{arrivals:?}");
        assert!(!book.is_guilty(now, 8));
    };
    check(&[], false);
    check(&[1], false);
    check(&[1, 1, 1], false);
    check(&[1, 2], true);
}

#[test]
fn what_one_node_saw_counts_at_another() {
    let now = Instant::now();
    let (mut one, mut other) = (Book::new(), Book::new());
    assert!(one.learn(now, notice(7, 1)));
    assert!(other.learn(now, notice(7, 2)));
    for told in one.notices(now, 8) {
        assert!(other.learn(now, told));
        assert!(!other.learn(now, told), "told twice is no news");
    }
    assert!(other.is_guilty(now, 7));
}

#[test]
fn a_request_that_an_upstream_survived_is_acquitted_unless_refused_already() {
    let now = Instant::now();
    let mut book = Book::new();
    book.learn(now, notice(7, 1));
    book.acquit(7);
    book.learn(now, notice(7, 2));
    assert!(!book.is_guilty(now, 7));
    book.learn(now, notice(7, 3));
    book.acquit(7);
    assert!(book.is_guilty(now, 7));
}

#[test]
fn accusations_expire_also_when_nodes_tell_each_other() {
    let now = Instant::now();
    let mut book = Book::new();
    for arrival in 0..ARRIVALS as u32 {
        book.learn(now, notice(7, arrival));
    }
    let late = now + EXPIRY - Duration::from_secs(1);
    let mut other = Book::new();
    for told in book.notices(late, 8) {
        other.learn(late, told);
    }
    assert!(other.is_guilty(late, 7));
    assert!(!other.is_guilty(now + EXPIRY, 7));
    assert!(!book.is_guilty(now + EXPIRY, 7));
}

#[test]
fn callers_cannot_grow_the_book() {
    let now = Instant::now();
    let mut book = Book::new();
    for n in 0..3 * LIMIT as u64 {
        book.learn(now, notice(n, 1));
    }
    assert_eq!(book.notices(now, usize::MAX).len(), LIMIT);
}
