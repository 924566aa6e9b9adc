//! Departures as soft state between nodes.

use std::time::{Duration, Instant};

use base::id;
use policy::departure::{DepartureTable, ENTRY_TTL, MAX_ENTRIES, Notice};

fn upstream(index: usize) -> id::Upstream {
    id::Upstream(([10, 0, (index >> 8) as u8, index as u8], 80).into())
}

#[test]
fn two_nodes_do_not_keep_an_entry_alive_that_no_list_confirms() {
    let mut now = Instant::now();
    let (mut one, mut other) = (DepartureTable::new(), DepartureTable::new());
    assert!(one.record_listed(now, upstream(1)));
    for _ in 0..60 {
        for notice in one.notices(now, 8) {
            other.merge(now, notice);
        }
        for notice in other.notices(now, 8) {
            one.merge(now, notice);
        }
        now += Duration::from_secs(1);
    }
    assert!(one.notices(now, 8).is_empty() && other.notices(now, 8).is_empty());
}

#[test]
fn news_is_told_once_and_entries_are_bounded() {
    let now = Instant::now();
    let mut book = DepartureTable::new();
    let notice = Notice { upstream: upstream(1), remaining_ms: u32::MAX };
    assert!(book.merge(now, notice) && !book.merge(now, notice));
    assert!(book.notices(now + ENTRY_TTL, 8).is_empty(), "no notice outlasts the expiry");
    for i in 0..2 * MAX_ENTRIES {
        book.record_listed(now, upstream(i));
    }
    assert_eq!(book.notices(now, usize::MAX).len(), MAX_ENTRIES);
    book.remove(upstream(2));
    assert_eq!(book.notices(now, usize::MAX).len(), MAX_ENTRIES - 1);
}
