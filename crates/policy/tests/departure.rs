//! Departures as soft state gossiped between nodes.

use std::time::{Duration, Instant};

use base::id;
use policy::departure::{DepartureTable, ENTRY_TTL, MAX_ENTRIES, Notice};

fn upstream(index: usize) -> id::Upstream {
    id::Upstream(([10, 0, (index >> 8) as u8, index as u8], 80).into())
}

/// Two nodes that exchange notices must not refresh each other's entries, or an entry that no list
/// confirms any more never expires.
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
fn a_repeated_notice_is_not_new_and_entries_are_bounded() {
    let now = Instant::now();
    let mut table = DepartureTable::new();
    let notice = Notice { upstream: upstream(1), remaining_ms: u32::MAX };
    assert!(table.merge(now, notice) && !table.merge(now, notice));
    assert!(
        table.notices(now + ENTRY_TTL, 8).is_empty(),
        "a notice must expire after the TTL at the latest"
    );
    for i in 0..2 * MAX_ENTRIES {
        table.record_listed(now, upstream(i));
    }
    assert_eq!(table.notices(now, usize::MAX).len(), MAX_ENTRIES);
    table.remove(upstream(2));
    assert_eq!(table.notices(now, usize::MAX).len(), MAX_ENTRIES - 1);
}

#[test]
fn departures_beyond_one_message_reach_other_nodes() {
    let now = Instant::now();
    let (mut one, mut other) = (DepartureTable::new(), DepartureTable::new());
    (0..100).for_each(|i| _ = one.record_listed(now, upstream(i)));
    for _ in 0..25 {
        one.notices(now, 8).into_iter().for_each(|notice| _ = other.merge(now, notice));
    }
    assert_eq!(other.notices(now, usize::MAX).len(), 100);
}
