//! Registry of upstreams across restores of the platform from earlier copies of its data.
//!
//! Guards against requests to upstreams that left before a restore, against the loss of upstreams
//! that the copy does not have yet, and against nodes that stay in an earlier era.

mod restore_model;

use std::time::{Duration, Instant};

use base::{
    id,
    unit::{Era, Position, Revision},
};
use policy::relay::{
    registry::{Change, Entry, Event, MergeError, REMOVAL_GRACE, Registry},
    restored::{Belief, Departure, judge},
};
use quickcheck::{QuickCheck, TestResult};
use restore_model::{Model, Op};
use smol_str::SmolStr;

const DRAIN: Duration = Duration::from_secs(3);
const LAPSE: Duration = Duration::from_secs(5);

fn entry(name: &str, born_ms: u64, draining: bool) -> Entry {
    Entry {
        instance: id::Instance(name.into()),
        born_ms,
        pool: "p".parse().expect("name"),
        address: format!("10.0.0.{}:80", name.as_bytes()[0] - b'a' + 1).parse().expect("address"),
        domain: "a".into(),
        slots: 3,
        draining,
        cold: Duration::ZERO,
    }
}

fn event(name: &str, revision: u64, change: Change) -> Event {
    Event { key: SmolStr::new(name), revision: Revision(revision), change }
}

fn ready(name: &str, revision: u64) -> Event {
    event(name, revision, Change::Put(entry(name, 1, false)))
}

fn draining(name: &str, revision: u64) -> Event {
    event(name, revision, Change::Put(entry(name, 1, true)))
}

fn removed(name: &str, revision: u64) -> Event {
    event(name, revision, Change::Removed)
}

fn at(era: u64, revision: u64) -> Position {
    Position { era: Era(era), revision: Revision(revision) }
}

/// Names of the upstreams in use at `now`.
fn in_use(registry: &mut Registry, now: Instant) -> String {
    registry.expire_removed(now);
    let mut names: Vec<String> = registry.usable().map(|(e, _)| e.instance.to_string()).collect();
    names.sort();
    names.concat()
}

/// A registry in era 1 that has `events` up to revision 100.
fn registry(now: Instant, events: Vec<Event>) -> Registry {
    let mut registry = Registry::new(DRAIN).with_lapse(LAPSE);
    registry.merge(now, events, at(1, 100), false).expect("the first era");
    registry
}

#[test]
fn what_is_known_of_a_listed_process_decides_whether_it_is_believed() {
    let check =
        |case: &str, listed: Entry, known: Option<Entry>, departure, at_address, expected| {
            assert_eq!(judge(&listed, known.as_ref(), departure, at_address), expected, "{case}");
        };
    let process = |born_ms| entry("a", born_ms, false);
    let drained = |born_ms| Some(Departure::of(&entry("a", born_ms, true)).carried());
    let gone = |born_ms| Some(Departure::of(&process(born_ms)).carried());
    check("unknown", process(5), None, None, None, Belief::Listed);
    check("known", process(5), Some(process(5)), None, Some(5), Belief::Listed);
    check("drained", process(5), None, drained(5), None, Belief::Draining);
    check(
        "a later process of one that drained",
        process(6),
        None,
        drained(5),
        None,
        Belief::Listed,
    );
    check("gone", process(5), None, gone(5), None, Belief::Withheld);
    check("gone and back", process(5), Some(process(5)), gone(5), Some(5), Belief::Listed);
    check("a later process of one that went", process(6), None, gone(5), None, Belief::Listed);
    check("restarted since the copy", process(5), Some(process(6)), None, None, Belief::Withheld);
    check("address given to another", process(5), None, None, Some(6), Belief::Withheld);
    check("address taken from another", process(6), None, None, Some(5), Belief::Listed);
}

/// Revisions given out again hide changes: each of these went wrong while revisions only rose.
#[test]
fn a_listing_of_a_later_era_holds_although_its_revisions_are_lower() {
    let now = Instant::now();
    let mut node = registry(now, vec![ready("a", 50), ready("b", 90)]);
    let listing = vec![ready("a", 50), event("c", 60, Change::Put(entry("c", 1, false)))];
    node.merge(now, listing, at(2, 60), true).expect("a later era");
    assert_eq!(in_use(&mut node, now), "abc", "b is registered again soon");
    assert_eq!(in_use(&mut node, now + REMOVAL_GRACE), "ac", "b has not come back");
    assert_eq!(node.position(), at(2, 60));
    // Revision 61 was another change in era 1.
    node.merge(now, vec![removed("c", 61)], at(2, 61), false).expect("the same era");
    assert_eq!(in_use(&mut node, now + REMOVAL_GRACE), "a");
}

#[test]
fn an_upstream_that_left_before_the_restore_is_not_used_again() {
    let now = Instant::now();
    let check = |case: &str, before: Vec<Event>, after: Vec<Event>, expected: &str| {
        let mut node = registry(now, before);
        node.merge(now, vec![ready("a", 50), ready("b", 51)], at(2, 60), true)
            .expect("a later era");
        assert_eq!(in_use(&mut node, now), "b", "{case}, at the restore");
        node.merge(now, after, at(2, 70), false).expect("the same era");
        assert_eq!(in_use(&mut node, now + Duration::from_millis(1)), expected, "{case}");
    };
    let before = |last: Event| vec![ready("a", 50), ready("b", 51), last];
    check("drained", before(draining("a", 80)), vec![], "b");
    check("drained, earlier writes repeated", before(draining("a", 80)), vec![ready("a", 61)], "b");
    let repeated = vec![ready("a", 61), ready("a", 62)];
    check("drained, writes repeated twice", before(draining("a", 80)), repeated, "b");
    let later = event("a", 61, Change::Put(entry("a", 2, false)));
    check("drained, a later process registers", before(draining("a", 80)), vec![later], "ab");
    check("removed", before(removed("a", 80)), vec![], "b");
    check("removed, and registered again", before(removed("a", 80)), vec![ready("a", 61)], "ab");
    check("removed, and removed again", before(removed("a", 80)), vec![removed("a", 61)], "b");
}

#[test]
fn an_upstream_that_lapsed_and_lives_returns_when_the_platform_still_lists_it() {
    let now = Instant::now();
    let mut node = registry(now, vec![ready("a", 50), removed("a", 80)]);
    node.merge(now, vec![ready("a", 50)], at(2, 60), true).expect("a later era");
    assert_eq!(in_use(&mut node, now + LAPSE - Duration::from_millis(1)), "");
    assert_eq!(in_use(&mut node, now + LAPSE), "a");
}

#[test]
fn what_left_stays_away_over_two_restores() {
    let now = Instant::now();
    let mut node = registry(now, vec![ready("a", 50), ready("b", 51), removed("a", 80)]);
    let drained = draining("b", 81);
    node.merge(now, vec![drained], at(1, 101), false).expect("the same era");
    for era in 2..5 {
        let listing = vec![ready("a", 50), ready("b", 51), ready("c", 52)];
        node.merge(now, listing, at(era, 60), true).expect("a later era");
        assert_eq!(in_use(&mut node, now), "c", "era {era}");
    }
}

#[test]
fn answers_of_other_eras_are_refused() {
    let now = Instant::now();
    let mut node = registry(now, vec![ready("a", 50)]);
    let later = node.merge(now, vec![removed("a", 70)], at(2, 70), false);
    assert_eq!(later, Err(MergeError::Incomplete(Era(2))));
    node.merge(now, vec![ready("a", 50)], at(3, 60), true).expect("a later era");
    for is_snapshot in [true, false] {
        let earlier = node.merge(now, vec![removed("a", 200)], at(2, 200), is_snapshot);
        assert_eq!(earlier, Err(MergeError::Earlier { found: Era(2), known: Era(3) }));
    }
    assert_eq!((in_use(&mut node, now).as_str(), node.position()), ("a", at(3, 60)));
    // A platform that does not tell its era is taken to be in the same one.
    node.merge(now, vec![removed("a", 61)], at(0, 61), false).expect("no era");
    assert_eq!(node.position(), at(3, 61));
}

#[test]
fn a_node_is_behind_a_later_era_and_not_behind_an_earlier_one() {
    let now = Instant::now();
    let mut node = registry(now, vec![ready("a", 50)]);
    let check = |node: &Registry, position: Position, expected: bool| {
        assert_eq!(node.is_behind(position), expected, "{position:?}");
    };
    check(&node, at(1, 100), false);
    check(&node, at(1, 101), true);
    check(&node, at(0, 101), true);
    check(&node, at(2, 1), true);
    node.merge(now, vec![ready("a", 50)], at(2, 60), true).expect("a later era");
    check(&node, at(1, 500), false);
    check(&node, at(0, 500), false);
    check(&node, at(2, 61), true);
}

#[test]
fn a_node_that_starts_after_the_restore_learns_from_a_peer_what_the_copy_lacks() {
    let now = Instant::now();
    let known = vec![ready("a", 50), ready("b", 51), ready("c", 52), ready("d", 90)];
    let mut peer = registry(now, known);
    peer.merge(now, vec![draining("a", 101), removed("b", 102)], at(1, 102), false)
        .expect("the same era");
    let copy = vec![ready("a", 50), ready("b", 51), ready("c", 52)];
    peer.merge(now, copy.clone(), at(2, 60), true).expect("a later era");
    let mut started = Registry::new(DRAIN).with_lapse(LAPSE);
    started.merge(now, copy, at(2, 60), true).expect("the first era");
    assert_eq!(in_use(&mut started, now), "abc");
    assert_eq!(in_use(&mut peer, now), "cd");
    assert_eq!(peer.exception_count(), 3);
    started.learn(now, peer.exceptions(now));
    assert_eq!(in_use(&mut started, now), "cd");
    // It passes them on itself, and forgets them when the platform has caught up.
    assert_eq!(started.exception_count(), 3);
    let writes = vec![draining("a", 61), removed("b", 62), ready("d", 63)];
    started.merge(now, writes, at(2, 63), false).expect("the same era");
    assert_eq!(in_use(&mut started, now), "cd");
    assert_eq!(started.exception_count(), 0);
}

#[test]
fn a_process_whose_predecessor_drained_is_withheld_once_it_has_gone() {
    use Op::{Call, Drain, End, Restart, Restore, Start, Wait};
    let waits = |n: usize| vec![Wait; n];
    let history = [
        vec![Start(0)],
        waits(10),
        vec![Drain(0)],
        waits(15),
        vec![End(0), Start(0), Wait, Call(0), End(0)],
        waits(6),
        vec![Restore(73), Wait, Restore(32), Call(0), Restart(1, 0)],
    ];
    assert_eq!(Model::new().run(&history.concat()), Ok(()));
}

/// Random histories of upstreams, restores and nodes, checked against what is true.
/// `RESTORE_HISTORIES` sets their number.
#[test]
fn nodes_use_what_lives_and_not_what_left_in_random_histories() {
    const HISTORIES: u64 = 2_000;
    let histories = std::env::var("RESTORE_HISTORIES").ok().and_then(|n| n.parse().ok());
    let histories = histories.unwrap_or(HISTORIES);
    fn holds(ops: Vec<Op>) -> TestResult {
        match Model::new().run(&ops) {
            Ok(()) => TestResult::passed(),
            Err(violation) => TestResult::error(violation),
        }
    }
    let mut check = QuickCheck::new().tests(histories).max_tests(histories);
    check.quickcheck(holds as fn(Vec<Op>) -> TestResult);
}
