//! Departures as soft state between nodes.

use std::time::{Duration, Instant};

use base::id;
use policy::departure::{Book, EXPIRY, LIMIT, Notice};

fn upstream(index: usize) -> id::Upstream {
    id::Upstream(([10, 0, (index >> 8) as u8, index as u8], 80).into())
}

#[test]
fn two_nodes_do_not_keep_an_entry_alive_that_no_list_confirms() {
    let mut now = Instant::now();
    let (mut one, mut other) = (Book::new(), Book::new());
    assert!(one.learn(now, upstream(1)));
    for _ in 0..60 {
        for notice in one.notices(now, 8) {
            other.hear(now, notice);
        }
        for notice in other.notices(now, 8) {
            one.hear(now, notice);
        }
        now += Duration::from_secs(1);
    }
    assert!(one.notices(now, 8).is_empty() && other.notices(now, 8).is_empty());
}

#[test]
fn news_is_told_once_and_entries_are_bounded() {
    let now = Instant::now();
    let mut book = Book::new();
    let notice = Notice { upstream: upstream(1), remaining_ms: u32::MAX };
    assert!(book.hear(now, notice) && !book.hear(now, notice));
    assert!(book.notices(now + EXPIRY, 8).is_empty(), "no notice outlasts the expiry");
    for i in 0..2 * LIMIT {
        book.learn(now, upstream(i));
    }
    assert_eq!(book.notices(now, usize::MAX).len(), LIMIT);
    book.forget(upstream(2));
    assert_eq!(book.notices(now, usize::MAX).len(), LIMIT - 1);
}
