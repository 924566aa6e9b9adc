//! At most once: what a node decides on an id.

mod common;

use base::id;
use policy::{
    home::{Home, Id, MEMORY_LIMIT, Memory, SKEW_MS, Verdict},
    outcome::Reason,
};

const NOW: u64 = 1_000_000;
const VALIDITY: u64 = 10_000;

fn node(port: u16) -> id::Node {
    id::Node(([10, 0, 0, 1], port).into())
}

fn request(port: u16, incarnation: u64, expiry_ms: u64, nonce: &str) -> Id {
    let home = Home { node: node(port), incarnation: id::Incarnation(incarnation), expiry_ms };
    Id { home, nonce: nonce.into() }
}

fn memory() -> Memory<u32> {
    Memory::new(node(1), id::Incarnation(7), VALIDITY)
}

#[test]
fn verdicts() {
    let check = |id: Id, forwarded: bool, expected: Verdict<u32>| {
        assert_eq!(memory().admit(NOW, &id, forwarded), expected, "{id} forwarded {forwarded}");
    };
    let soon = NOW + 1;
    check(request(1, 7, soon, "n"), false, Verdict::Run);
    check(request(1, 7, soon, "n"), true, Verdict::Run);
    check(request(2, 7, soon, "n"), false, Verdict::Forward(node(2)));
    check(request(2, 7, soon, "n"), true, Verdict::Unknown(Reason::HomeUnreachable));
    check(request(1, 6, soon, "n"), false, Verdict::Unknown(Reason::HomeUnreachable));
    check(request(1, 8, soon, "n"), false, Verdict::Unknown(Reason::HomeUnreachable));
    check(request(1, 7, NOW, "n"), false, Verdict::Unknown(Reason::Expired));
    let latest = NOW + VALIDITY + SKEW_MS;
    check(request(1, 7, latest, "n"), false, Verdict::Run);
    check(request(1, 7, latest + 1, "n"), false, Verdict::Unknown(Reason::Expired));
    check(request(1, 7, u64::MAX, "n"), false, Verdict::Unknown(Reason::Expired));
}

#[test]
fn an_id_runs_once_and_keeps_its_answer_until_it_expires() {
    let mut memory = memory();
    let id = request(1, 7, NOW + 100, "n");
    assert_eq!(memory.admit(NOW, &id, false), Verdict::Run);
    assert_eq!(memory.admit(NOW, &id, true), Verdict::Wait);
    memory.answer(&id, 5);
    assert_eq!(memory.admit(NOW + 99, &id, false), Verdict::Answered(5));
    assert_eq!(memory.admit(NOW + 100, &id, false), Verdict::Unknown(Reason::Expired));
    assert!(memory.is_empty());
}

#[test]
fn a_full_memory_refuses_without_claiming_that_nothing_ran() {
    let mut memory = memory();
    for i in 0..MEMORY_LIMIT {
        let id = request(1, 7, NOW + 100, &format!("n{i}"));
        assert_eq!(memory.admit(NOW, &id, false), Verdict::Run);
    }
    let id = request(1, 7, NOW + 100, "one-more");
    assert_eq!(memory.admit(NOW, &id, false), Verdict::Unknown(Reason::Overload));
    assert_eq!(memory.len(), MEMORY_LIMIT);
    assert_eq!(memory.admit(NOW + 100, &id, false), Verdict::Unknown(Reason::Expired));
    assert!(memory.is_empty());
}

#[test]
fn malformed_ids_are_refused() {
    let good = request(1, 7, NOW, "abc-_9").to_string();
    assert_eq!(good.parse::<Id>().map(|id| id.to_string()), Ok(good.clone()));
    let long = format!("10.0.0.1:1~7~f~{}", "n".repeat(65));
    for bad in [
        "",
        "~",
        "~~~",
        "10.0.0.1:1~7~f",
        "10.0.0.1:1~7~f~",
        "10.0.0.1:1~7~f~a b",
        "10.0.0.1:1~g~f~a",
        "10.0.0.1~7~f~a",
        "host:1~7~f~a",
        "10.0.0.1:1~7~f~f~a",
        &long,
    ] {
        assert!(bad.parse::<Id>().is_err(), "{bad:?}");
    }
}

seeded! {
    fn no_sequence_of_arrivals_lets_an_id_run_twice(arrivals: Vec<(u8, u8, bool)>) -> bool {
        let mut memory = memory();
        let mut now = NOW;
        let mut ran = std::collections::HashSet::new();
        for (nonce, step, answers) in arrivals {
            now += u64::from(step);
            let id = request(1, 7, NOW + 200 + u64::from(nonce % 4) * 300, &(nonce % 4).to_string());
            if memory.admit(now, &id, answers) == Verdict::Run && !ran.insert(id.clone()) {
                return false;
            }
            if answers {
                memory.answer(&id, 1);
            }
        }
        true
    }

    fn parsing_never_panics(text: String) -> bool {
        text.parse::<Id>().map_or(true, |id| id.to_string().parse::<Id>() == Ok(id))
    }
}
