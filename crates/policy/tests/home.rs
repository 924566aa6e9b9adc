//! At-most-once execution: decisions on request ids, and parsing of ids.

mod common;

use base::id;
use policy::{
    home::{Decision, DedupTable, Home, MAX_CLOCK_SKEW_MS, MAX_IDS, RequestId},
    outcome::Reason,
};

const NOW_MS: u64 = 1_000_000;
const VALIDITY_MS: u64 = 10_000;

fn node(port: u16) -> id::Node {
    id::Node(([10, 0, 0, 1], port).into())
}

fn request(port: u16, incarnation: u64, expiry_ms: u64, nonce: &str) -> RequestId {
    let home = Home { node: node(port), incarnation: id::Incarnation(incarnation), expiry_ms };
    RequestId { home, nonce: nonce.into() }
}

fn table() -> DedupTable<u32> {
    DedupTable::new(node(1), id::Incarnation(7), VALIDITY_MS)
}

#[test]
fn decisions_by_home_expiry_and_forwarding() {
    let check = |id: RequestId, forwarded: bool, expected: Decision<u32>| {
        assert_eq!(table().admit(NOW_MS, &id, forwarded), expected, "{id} forwarded {forwarded}");
    };
    let valid_until_ms = NOW_MS + 1;
    check(request(1, 7, valid_until_ms, "n"), false, Decision::Run);
    check(request(1, 7, valid_until_ms, "n"), true, Decision::Run);
    check(request(2, 7, valid_until_ms, "n"), false, Decision::Forward(node(2)));
    check(request(2, 7, valid_until_ms, "n"), true, Decision::Unknown(Reason::HomeUnreachable));
    check(request(1, 6, valid_until_ms, "n"), false, Decision::Unknown(Reason::HomeUnreachable));
    check(request(1, 8, valid_until_ms, "n"), false, Decision::Unknown(Reason::HomeUnreachable));
    check(request(1, 7, NOW_MS, "n"), false, Decision::Unknown(Reason::Expired));
    let latest_expiry_ms = NOW_MS + VALIDITY_MS + MAX_CLOCK_SKEW_MS;
    check(request(1, 7, latest_expiry_ms, "n"), false, Decision::Run);
    check(request(1, 7, latest_expiry_ms + 1, "n"), false, Decision::Unknown(Reason::Expired));
    check(request(1, 7, u64::MAX, "n"), false, Decision::Unknown(Reason::Expired));
}

#[test]
fn an_id_runs_once_and_its_answer_is_repeated_until_expiry() {
    let mut table = table();
    let id = request(1, 7, NOW_MS + 100, "n");
    assert_eq!(table.admit(NOW_MS, &id, false), Decision::Run);
    assert_eq!(table.admit(NOW_MS, &id, true), Decision::Wait);
    table.record_answer(&id, 5);
    assert_eq!(table.admit(NOW_MS + 99, &id, false), Decision::Answered(5));
    assert_eq!(table.admit(NOW_MS + 100, &id, false), Decision::Unknown(Reason::Expired));
    assert!(table.is_empty());
}

/// A full table cannot tell whether an id has run before, so it must not report that it has not.
#[test]
fn a_full_table_refuses_with_outcome_unknown() {
    let mut table = table();
    for i in 0..MAX_IDS {
        let id = request(1, 7, NOW_MS + 100, &format!("n{i}"));
        assert_eq!(table.admit(NOW_MS, &id, false), Decision::Run);
    }
    let id = request(1, 7, NOW_MS + 100, "one-more");
    assert_eq!(table.admit(NOW_MS, &id, false), Decision::Unknown(Reason::Overload));
    assert_eq!(table.len(), MAX_IDS);
    assert_eq!(table.admit(NOW_MS + 100, &id, false), Decision::Unknown(Reason::Expired));
    assert!(table.is_empty());
}

#[test]
fn malformed_ids_are_refused() {
    let good = request(1, 7, NOW_MS, "abc-_9").to_string();
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
    fn no_sequence_of_requests_runs_an_id_twice(requests: Vec<(u8, u8, bool)>) -> bool {
        let mut table = table();
        let mut now = NOW_MS;
        let mut ran = std::collections::HashSet::new();
        for (nonce, step, answers) in requests {
            now += u64::from(step);
            let expiry_ms = NOW_MS + 200 + u64::from(nonce % 4) * 300;
            let id = request(1, 7, expiry_ms, &(nonce % 4).to_string());
            if table.admit(now, &id, answers) == Decision::Run && !ran.insert(id.clone()) {
                return false;
            }
            if answers {
                table.record_answer(&id, 1);
            }
        }
        true
    }

    fn parsing_never_panics(text: String) -> bool {
        text.parse::<RequestId>().map_or(true, |id| id.to_string().parse::<RequestId>() == Ok(id))
    }
}
