//! At most once: what a node decides on an id.

mod common;

use base::id;
use policy::{
    home::{Decision, DedupTable, Home, MAX_CLOCK_SKEW_MS, MAX_IDS, RequestId},
    outcome::Reason,
};

const NOW: u64 = 1_000_000;
const VALIDITY: u64 = 10_000;

fn node(port: u16) -> id::Node {
    id::Node(([10, 0, 0, 1], port).into())
}

fn request(port: u16, incarnation: u64, expiry_ms: u64, nonce: &str) -> RequestId {
    let home = Home { node: node(port), incarnation: id::Incarnation(incarnation), expiry_ms };
    RequestId { home, nonce: nonce.into() }
}

fn memory() -> DedupTable<u32> {
    DedupTable::new(node(1), id::Incarnation(7), VALIDITY)
}

#[test]
fn verdicts() {
    let check = |id: RequestId, forwarded: bool, expected: Decision<u32>| {
        assert_eq!(memory().admit(NOW, &id, forwarded), expected, "{id} forwarded {forwarded}");
    };
    let soon = NOW + 1;
    check(request(1, 7, soon, "n"), false, Decision::Run);
    check(request(1, 7, soon, "n"), true, Decision::Run);
    check(request(2, 7, soon, "n"), false, Decision::Forward(node(2)));
    check(request(2, 7, soon, "n"), true, Decision::Unknown(Reason::HomeUnreachable));
    check(request(1, 6, soon, "n"), false, Decision::Unknown(Reason::HomeUnreachable));
    check(request(1, 8, soon, "n"), false, Decision::Unknown(Reason::HomeUnreachable));
    check(request(1, 7, NOW, "n"), false, Decision::Unknown(Reason::Expired));
    let latest = NOW + VALIDITY + MAX_CLOCK_SKEW_MS;
    check(request(1, 7, latest, "n"), false, Decision::Run);
    check(request(1, 7, latest + 1, "n"), false, Decision::Unknown(Reason::Expired));
    check(request(1, 7, u64::MAX, "n"), false, Decision::Unknown(Reason::Expired));
}

#[test]
fn an_id_runs_once_and_keeps_its_answer_until_it_expires() {
    let mut memory = memory();
    let id = request(1, 7, NOW + 100, "n");
    assert_eq!(memory.admit(NOW, &id, false), Decision::Run);
    assert_eq!(memory.admit(NOW, &id, true), Decision::Wait);
    memory.record_answer(&id, 5);
    assert_eq!(memory.admit(NOW + 99, &id, false), Decision::Answered(5));
    assert_eq!(memory.admit(NOW + 100, &id, false), Decision::Unknown(Reason::Expired));
    assert!(memory.is_empty());
}

#[test]
fn a_full_memory_refuses_without_claiming_that_nothing_ran() {
    let mut memory = memory();
    for i in 0..MAX_IDS {
        let id = request(1, 7, NOW + 100, &format!("n{i}"));
        assert_eq!(memory.admit(NOW, &id, false), Decision::Run);
    }
    let id = request(1, 7, NOW + 100, "one-more");
    assert_eq!(memory.admit(NOW, &id, false), Decision::Unknown(Reason::Overload));
    assert_eq!(memory.len(), MAX_IDS);
    assert_eq!(memory.admit(NOW + 100, &id, false), Decision::Unknown(Reason::Expired));
    assert!(memory.is_empty());
}

#[test]
fn malformed_ids_are_refused() {
    let good = request(1, 7, NOW, "abc-_9").to_string();
    assert_eq!(good.parse::<RequestId>().map(|id| id.to_string()), Ok(good.clone()));
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
        assert!(bad.parse::<RequestId>().is_err(), "{bad:?}");
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
            if memory.admit(now, &id, answers) == Decision::Run && !ran.insert(id.clone()) {
                return false;
            }
            if answers {
                memory.record_answer(&id, 1);
            }
        }
        true
    }

    fn parsing_never_panics(text: String) -> bool {
        text.parse::<RequestId>().map_or(true, |id| id.to_string().parse::<RequestId>() == Ok(id))
    }
}
