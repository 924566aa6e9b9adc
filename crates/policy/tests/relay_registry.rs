//! Registry of upstreams.
//!
//! Guards against requests to upstreams that drain or have gone, against the loss of upstreams
//! whose entries expire for a moment during an outage of the platform, and against removals that
//! nodes miss because a peer does not know them either.

use std::time::{Duration, Instant};

use base::{id, unit::Revision};
use policy::relay::registry::{Availability, Change, Entry, Event, REMOVAL_GRACE, Registry};
use smol_str::SmolStr;

const DRAIN: Duration = Duration::from_secs(3);

fn entry(name: &str, draining: bool) -> Entry {
    Entry {
        instance: id::Instance(name.into()),
        born_ms: 1,
        pool: "p".parse().expect("name"),
        address: "10.0.0.1:80".parse().expect("address"),
        domain: "a".into(),
        slots: 3,
        draining,
        cold: Duration::ZERO,
    }
}

fn event(name: &str, revision: u64, change: Change) -> Event {
    Event { key: SmolStr::new(name), revision: Revision(revision), change }
}

fn put(name: &str, revision: u64) -> Event {
    event(name, revision, Change::Put(entry(name, false)))
}

fn usable(registry: &Registry) -> Vec<(String, Availability)> {
    let of = |(e, s): (&std::sync::Arc<Entry>, Availability)| (e.instance.to_string(), s);
    let mut all: Vec<(String, Availability)> = registry.usable().map(of).collect();
    all.sort();
    all
}

fn ready(name: &str) -> (String, Availability) {
    (name.to_owned(), Availability::Ready)
}

#[test]
fn a_draining_upstream_gets_no_requests_from_then_on() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    registry.apply(now, vec![put("a", 1), put("b", 2)], Revision(2));
    let draining = event("a", 3, Change::Put(entry("a", true)));
    registry.apply(now, vec![draining], Revision(3));
    assert_eq!(usable(&registry), [ready("b")]);
    registry.apply(now, vec![event("a", 4, Change::Removed)], Revision(4));
    assert_eq!(usable(&registry), [ready("b")], "a drained upstream is not a last resort");
}

#[test]
fn a_removed_entry_is_a_last_resort_for_less_than_the_drain_time() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    registry.apply(now, vec![put("a", 1)], Revision(1));
    registry.apply(now, vec![event("a", 2, Change::Removed)], Revision(2));
    assert_eq!(usable(&registry), [("a".to_owned(), Availability::LastResort)]);
    registry.expire_removed(now + REMOVAL_GRACE);
    assert_eq!(usable(&registry), []);
    assert!(REMOVAL_GRACE < DRAIN);
}

/// Guards against a pool left without upstreams because a listing and the watch after it both report
/// that an entry was removed.
#[test]
fn a_removal_that_is_reported_twice_leaves_its_upstream_a_last_resort() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    registry.apply(now, vec![put("a", 1), put("b", 2)], Revision(2));
    registry.replace(now, vec![put("b", 2)], Revision(4));
    registry.apply(now, vec![event("a", 5, Change::Removed)], Revision(5));
    assert_eq!(usable(&registry), [("a".to_owned(), Availability::LastResort), ready("b")]);
    registry.expire_removed(now + REMOVAL_GRACE);
    assert_eq!(usable(&registry), [ready("b")]);
}

#[test]
fn a_process_has_gone_once_its_entry_is_removed_without_a_drain_and_not_retained() {
    let now = Instant::now();
    let check = |changes: &[Change], expired: bool, gone: bool| {
        let mut registry = Registry::new(DRAIN);
        for (change, revision) in changes.iter().zip(1..) {
            registry.apply(now, vec![event("a", revision, change.clone())], Revision(revision));
        }
        registry.expire_removed(if expired { now + REMOVAL_GRACE } else { now });
        assert_eq!(registry.has_gone(&entry("a", false)), gone, "{changes:?}, expired: {expired}");
    };
    let listed = Change::Put(entry("a", false));
    let later = Change::Put(Entry { born_ms: 2, ..entry("a", false) });
    check(std::slice::from_ref(&listed), true, false);
    check(&[listed.clone(), Change::Removed], false, false);
    check(&[listed.clone(), Change::Removed], true, true);
    check(&[listed.clone(), Change::Removed, listed.clone()], true, false);
    check(&[listed.clone(), later], true, true);
    let draining = Change::Put(entry("a", true));
    check(&[listed, draining.clone()], true, false);
    check(&[draining, Change::Removed], true, false);
}

#[test]
fn a_short_drain_time_shortens_the_removal_grace() {
    let now = Instant::now();
    let mut registry = Registry::new(Duration::from_millis(900));
    registry.apply(now, vec![put("a", 1)], Revision(1));
    registry.apply(now, vec![event("a", 2, Change::Removed)], Revision(2));
    registry.expire_removed(now + Duration::from_millis(600));
    assert_eq!(usable(&registry), []);
}

#[test]
fn an_entry_that_expired_is_ready_again_after_its_next_write() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    registry.apply(now, vec![put("a", 1)], Revision(1));
    registry.apply(now, vec![event("a", 2, Change::Removed)], Revision(2));
    registry.apply(now, vec![put("a", 3)], Revision(3));
    assert_eq!(usable(&registry), [ready("a")]);
}

#[test]
fn older_changes_are_ignored() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    registry.apply(now, vec![put("a", 5)], Revision(5));
    let new = registry.apply(now, vec![event("a", 4, Change::Removed)], Revision(4));
    assert_eq!(new, []);
    assert_eq!(usable(&registry), [ready("a")]);
    assert_eq!(registry.revision(), Revision(5));
}

#[test]
fn a_key_missing_from_a_full_listing_is_removed_unless_it_is_newer() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    registry.apply(now, vec![put("a", 1), put("b", 2), put("late", 12)], Revision(12));
    registry.replace(now, vec![put("b", 2)], Revision(10));
    registry.expire_removed(now + REMOVAL_GRACE);
    assert_eq!(usable(&registry), [ready("b"), ready("late")]);
}

#[test]
fn an_unusable_entry_removes_its_upstream_and_no_other() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    registry.apply(now, vec![put("a", 1), put("b", 2)], Revision(2));
    registry.apply(now, vec![event("a", 3, Change::Unusable)], Revision(3));
    assert_eq!(usable(&registry), [ready("b")]);
}

#[test]
fn a_peer_gets_changes_and_removals_since_its_revision() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    registry.apply(now, vec![put("a", 1), put("b", 2)], Revision(2));
    registry.apply(now, vec![event("a", 3, Change::Removed)], Revision(3));
    let mut behind = Registry::new(DRAIN);
    behind.apply(now, vec![put("a", 1)], Revision(1));
    let events = registry.changes_since(Revision(1)).expect("removals are known since then");
    behind.apply(now, events, registry.revision());
    behind.expire_removed(now + REMOVAL_GRACE);
    assert_eq!(usable(&behind), [ready("b")]);
    assert_eq!(behind.last_change(), Revision(3));
}

#[test]
fn tombstones_are_bounded_and_a_full_listing_is_needed_after_pruning() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    for n in 0..10_000u64 {
        let name = format!("u{n}");
        registry.apply(now, vec![put(&name, 2 * n + 1)], Revision(2 * n + 1));
        let removed = event(&name, 2 * n + 2, Change::Removed);
        registry.apply(now, vec![removed], Revision(2 * n + 2));
        registry.expire_removed(now + REMOVAL_GRACE);
    }
    assert_eq!(registry.changes_since(Revision(1)), None);
    let recent = registry.changes_since(Revision(19_990)).expect("removals are known since then");
    assert_eq!(recent.len(), 5);
}

#[test]
fn coverage_counts_pools_with_a_ready_upstream_in_each_domain() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    let in_domain = |name: &str, pool: &str, domain: &str, revision| {
        let pool = pool.parse().expect("name");
        let entry = Entry { pool, domain: domain.into(), ..entry(name, false) };
        event(name, revision, Change::Put(entry))
    };
    let events = vec![
        in_domain("1", "p", "a", 1),
        in_domain("2", "p", "a", 2),
        in_domain("3", "q", "a", 3),
        in_domain("4", "q", "b", 4),
    ];
    registry.apply(now, events, Revision(4));
    let coverage = registry.coverage();
    assert_eq!((coverage.get("a"), coverage.get("b")), (Some(&2), Some(&1)));
}

#[test]
fn a_node_that_read_a_listing_does_not_claim_to_know_earlier_removals() {
    let now = Instant::now();
    let mut behind = Registry::new(DRAIN);
    behind.apply(now, vec![put("a", 1), put("b", 2)], Revision(2));
    // This node starts after the removal of "a" and has never seen "a".
    let mut started = Registry::new(DRAIN);
    started.replace(now, vec![put("b", 2), put("c", 4)], Revision(4));
    assert_eq!(started.changes_since(Revision(2)), None);
    behind.replace(now, started.entries(), started.revision());
    behind.expire_removed(now + REMOVAL_GRACE);
    assert_eq!(usable(&behind), [ready("b"), ready("c")]);
    // It knows all changes after its listing.
    started.apply(now, vec![event("c", 5, Change::Removed)], Revision(5));
    assert_eq!(started.changes_since(Revision(4)).map(|events| events.len()), Some(1));
}

#[test]
fn a_listing_older_than_the_known_revision_restores_no_removed_key() {
    let now = Instant::now();
    let mut registry = Registry::new(DRAIN);
    // A peer sent all entries at revision 5; "a", removed at revision 3, is not among them.
    registry.replace(now, vec![put("b", 2), put("c", 5)], Revision(5));
    let new = registry.replace(now, vec![put("a", 1), put("b", 2)], Revision(2));
    assert_eq!(new, []);
    assert_eq!(usable(&registry), [ready("b"), ready("c")]);
    assert_eq!(registry.revision(), Revision(5));
}

#[test]
fn a_process_that_another_one_has_replaced_is_recognized() {
    let now = Instant::now();
    let old = entry("a", false);
    let check = |registered: Entry, replaced: bool| {
        let mut registry = Registry::new(DRAIN);
        let text = format!("{registered:?}");
        let events = vec![put("a", 1), event("other", 2, Change::Put(registered))];
        registry.apply(now, events, Revision(2));
        assert_eq!(registry.is_replaced(&old), replaced, "{text}");
    };
    let elsewhere = |name| Entry {
        address: "10.0.0.2:80".parse().expect("address"),
        born_ms: 2,
        ..entry(name, false)
    };
    check(Entry { born_ms: 2, ..entry("b", false) }, true);
    check(elsewhere("a"), true);
    check(elsewhere("b"), false);
    check(entry("b", false), false);
}
