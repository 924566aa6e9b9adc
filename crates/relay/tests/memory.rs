//! The memory budget for bodies of requests and replies.

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
