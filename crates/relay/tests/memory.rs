//! The bound on the bytes of bodies that a node holds.

use relay::memory::Memory;

#[test]
fn what_is_taken_is_given_back_when_it_is_dropped() {
    let memory = Memory::new(100);
    let request = memory.take(60).expect("room");
    assert!(memory.take(41).is_none());
    assert_eq!(memory.held(), 60, "what was refused is not held");
    drop(request);
    assert!(memory.take(100).is_some());
    assert_eq!(memory.held(), 0);
}

#[test]
fn a_reply_that_grows_past_the_bound_keeps_what_it_has() {
    let memory = Memory::new(100);
    let mut reply = memory.take(0).expect("an empty one always fits");
    assert!(reply.grow(70));
    assert!(!reply.grow(31));
    assert_eq!(memory.held(), 70);
    assert!(reply.grow(30));
    assert!(memory.take(1).is_none());
    assert!(memory.take(0).is_some(), "a request without a body needs no room");
}
