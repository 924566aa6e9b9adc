//! The bound on the bytes of bodies that a node holds.

use relay::memory::MemoryBudget;

#[test]
fn what_is_taken_is_given_back_when_it_is_dropped() {
    let memory = MemoryBudget::new(100);
    let request = memory.try_reserve(60).expect("room");
    assert!(memory.try_reserve(41).is_none());
    assert_eq!(memory.reserved_bytes(), 60, "what was refused is not held");
    drop(request);
    assert!(memory.try_reserve(100).is_some());
    assert_eq!(memory.reserved_bytes(), 0);
}

#[test]
fn a_reply_that_grows_past_the_bound_keeps_what_it_has() {
    let memory = MemoryBudget::new(100);
    let mut reply = memory.try_reserve(0).expect("an empty one always fits");
    assert!(reply.try_grow(70));
    assert!(!reply.try_grow(31));
    assert_eq!(memory.reserved_bytes(), 70);
    assert!(reply.try_grow(30));
    assert!(memory.try_reserve(1).is_none());
    assert!(memory.try_reserve(0).is_some(), "a request without a body needs no room");
}
