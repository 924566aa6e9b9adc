//! The memory budget for bodies of requests and replies.

use std::time::Instant;

use bytes::Bytes;
use relay::memory::MemoryBudget;

#[test]
fn a_dropped_reservation_releases_its_bytes() {
    let budget = MemoryBudget::new(100);
    let request = budget.try_reserve(60).expect("60 of 100 bytes fit");
    assert!(budget.try_reserve(41).is_none());
    assert_eq!(budget.reserved_bytes(), 60, "a rejected reservation must not count");
    drop(request);
    assert!(budget.try_reserve(100).is_some());
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test]
fn a_reservation_that_cannot_grow_keeps_its_bytes() {
    let budget = MemoryBudget::new(100);
    let mut reply = budget.try_reserve(0).expect("an empty reservation always succeeds");
    assert!(reply.try_grow(70));
    assert!(!reply.try_grow(31));
    assert_eq!(budget.reserved_bytes(), 70);
    assert!(reply.try_grow(30));
    assert!(budget.try_reserve(1).is_none());
    assert!(budget.try_reserve(0).is_some(), "a request without a body needs no memory");
}

/// A body that is still being written would no longer count.
#[test]
fn a_held_body_counts_until_its_last_part_is_dropped() {
    let budget = MemoryBudget::new(100);
    let mut reservation = budget.try_reserve(60).expect("60 of 100 bytes fit");
    reservation.merge(budget.try_reserve(30).expect("90 of 100 bytes fit"));
    reservation.shrink_to(80);
    let body = reservation.hold(Bytes::from(vec![1; 80]));
    let part = body.slice(70..);
    drop(body);
    assert_eq!(budget.reserved_bytes(), 80);
    drop(part);
    assert_eq!(budget.reserved_bytes(), 0);
}

/// A request would wait for memory that no slow reader holds.
#[tokio::test(start_paused = true)]
async fn without_slow_readers_a_full_budget_refuses_at_once() {
    let budget = MemoryBudget::new(100);
    let _held = budget.try_reserve(60).expect("60 of 100 bytes fit");
    let start = tokio::time::Instant::now();
    assert!(budget.reserve(Instant::now(), 41).await.is_none());
    assert_eq!(start.elapsed().as_millis(), 0);
}
