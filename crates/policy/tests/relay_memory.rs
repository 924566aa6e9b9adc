//! Which readers are cut off, and when.

use std::time::{Duration, Instant};

use policy::relay::memory::{Allowance, Transfer, slowest};

const BUFFERED: usize = 128 << 10;

fn transfer(now: Instant, written: usize) -> Transfer {
    let deadline = now + Duration::from_secs(2);
    Transfer { started_at: now, deadline, held: 100, written, buffered: BUFFERED, is_cut: false }
}

/// Bytes in the socket's buffer must not count as read, or a caller that reads nothing would be
/// given as much time as one that has read them.
#[test]
fn a_caller_that_reads_nothing_is_due_soon_after_its_deadline() {
    let now = Instant::now();
    let due = transfer(now, BUFFERED).due();
    assert_eq!(due, now + Duration::from_secs(3));
    let late = Transfer { started_at: now + Duration::from_secs(9), ..transfer(now, 0) };
    assert_eq!(late.due(), now + Duration::from_secs(10), "an answer after its deadline");
}

/// A caller that reads at a modest pace would lose an answer that it is about to have.
#[test]
fn a_caller_that_keeps_reading_is_never_due() {
    let now = Instant::now();
    for second in 0..100 {
        let read = second * 20_000;
        let due = transfer(now, BUFFERED + read).due();
        assert!(due > now + Duration::from_secs(second as u64), "after {second} s");
    }
}

/// Cutting off a faster reader before a slower one, one that has just begun, or more than needed,
/// costs answers that would be delivered.
#[test]
fn the_slowest_are_cut_off_first_and_no_more_than_needed() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let at = |written| transfer(start, BUFFERED + written);
    let older = Transfer { started_at: start - Duration::from_secs(1), ..at(0) };
    let new = transfer(now - Duration::from_millis(10), 0);
    let all = [
        ("steady", at(50_000)),
        ("none", at(0)),
        ("fast", at(2 << 20)),
        ("older", older),
        ("new", new),
    ];
    assert_eq!(slowest(now, &all, 1), ["older"]);
    assert_eq!(slowest(now, &all, 200), ["older", "none"]);
    assert_eq!(slowest(now, &all, 1_000), ["older", "none", "steady"]);
}

/// Two requests that need room at the same moment would each cut off readers for all of it.
#[test]
fn what_is_being_cut_off_counts_as_free() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let cut = Transfer { is_cut: true, ..transfer(start, 0) };
    let all = [(0, cut), (1, transfer(start, 0))];
    assert_eq!(slowest(now, &all, 100), [] as [i32; 0]);
    assert_eq!(slowest(now, &all, 101), [1]);
}

/// A reply that may have no end would cut off callers that are reading, or many of them would
/// together; an ordinary one would be refused because of callers that do not read.
#[test]
fn readers_are_cut_off_for_ordinary_replies_and_stated_lengths_only() {
    const LIMIT: usize = 1 << 20;
    const LARGE: usize = 100 << 10;
    let check = |bytes, unstated, share, may_cut_readers| {
        let allowance = Allowance::new(bytes, unstated, LIMIT);
        assert_eq!(allowance, Allowance { share, may_cut_readers }, "{bytes} {unstated:?}");
    };
    check(1_000, None, 1.0, true);
    check(LARGE, None, 0.5, true);
    check(1_000, Some(1), 1.0, true);
    check(64 << 10, Some(1), 1.0, true);
    check(LARGE, Some(1), 0.5, false);
    check(1_000, Some(100), 1.0, true);
    check(10_000, Some(100), 0.5, false);
    for replies in [1, 10, 100, 1_000] {
        let with_cuts =
            (0..LARGE).rfind(|b| Allowance::new(*b, Some(replies), LIMIT).may_cut_readers);
        let most = with_cuts.unwrap_or_default() * replies;
        assert!(most <= LIMIT / 2, "{replies} replies take {most} bytes from readers");
    }
}
