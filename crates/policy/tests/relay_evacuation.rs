//! Evacuation of failure domains.
//!
//! Guards against requests to upstreams of a failure domain that the operator has evacuated, and
//! against an order that ends by anything but its removal.

use std::time::{Duration, Instant};

use base::{
    id,
    unit::{Era, Position, Revision},
};
use policy::relay::{
    limiter::Attempt,
    pool::Pools,
    registry::{Change, EVACUATION_RETENTION, Entry, Event, Registry},
    retry_budget::RetryBound,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A pool with one upstream in each of the failure domains a, b and c.
struct Case {
    now: Instant,
    registry: Registry,
    pools: Pools,
    rng: ChaCha8Rng,
    revision: u64,
    era: u64,
}

impl Case {
    fn new() -> Case {
        let now = Instant::now();
        let mut case = Case {
            now,
            registry: Registry::new(Duration::from_secs(3)),
            pools: Pools::new("a".into(), BOUND, now),
            rng: ChaCha8Rng::seed_from_u64(1),
            revision: 0,
            era: 1,
        };
        for domain in DOMAINS {
            case.change(domain, Change::Put(entry(domain)));
        }
        case
    }

    fn change(&mut self, key: &str, change: Change) {
        self.revision += 1;
        let event = Event { key: key.into(), revision: Revision(self.revision), change };
        let at = Position { era: Era(self.era), revision: Revision(self.revision) };
        self.registry.merge(self.now, vec![event], at, false).expect("the same era");
        self.pools.sync(self.now, &self.registry);
    }

    fn evacuate(&mut self, domain: &str) {
        self.change(&order(domain), Change::Evacuated(domain.into()));
    }

    /// Ends the evacuation of `domain`.
    fn remove(&mut self, domain: &str) {
        self.change(&order(domain), Change::Removed);
    }

    /// Enters a later era whose listing holds the upstreams and `orders`.
    fn restore(&mut self, era: u64, orders: &[&str]) {
        let listed = DOMAINS.map(|d| (SmolStr::new(d), Change::Put(entry(d))));
        let orders = orders.iter().map(|d| (order(d).into(), Change::Evacuated((*d).into())));
        let events = listed.into_iter().chain(orders);
        let events =
            events.map(|(key, change)| Event { key, revision: Revision(1), change }).collect();
        let at = Position { era: Era(era), revision: Revision(2) };
        self.registry.merge(self.now, events, at, true).expect("a later era");
        (self.era, self.revision) = (era, 2);
        self.pools.sync(self.now, &self.registry);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.registry.expire_removed(self.now);
        self.pools.sync(self.now, &self.registry);
    }

    /// Failure domains of the upstreams that attempts go to, one after the other.
    fn chosen(&mut self) -> Vec<SmolStr> {
        let mut tried = Vec::new();
        let mut domains = Vec::new();
        while let Some(choice) =
            self.pools.choose(self.now, &pool(), &tried, Attempt::First, 66, &mut self.rng)
        {
            tried.push(choice.handle);
            domains.push(choice.entry.domain.clone());
        }
        let untried = self.pools.has_untried(self.now, &pool(), &[], Attempt::First);
        assert_eq!(untried, !domains.is_empty());
        domains.sort();
        domains
    }
}

fn pool() -> id::Pool {
    "p".parse().expect("name")
}

fn order(domain: &str) -> String {
    format!("order/{domain}")
}

fn entry(domain: &str) -> Entry {
    Entry {
        instance: id::Instance(domain.into()),
        born_ms: 1,
        pool: pool(),
        address: "10.0.0.1:80".parse().expect("address"),
        domain: domain.into(),
        slots: 3,
        draining: false,
        cold: Duration::ZERO,
    }
}

#[test]
fn no_attempt_goes_to_an_evacuated_failure_domain() {
    let mut case = Case::new();
    case.evacuate("a");
    assert_eq!(case.chosen(), ["b", "c"]);
    case.evacuate("c");
    assert_eq!(case.chosen(), ["b"]);
    case.evacuate("b");
    assert_eq!(case.chosen(), [""; 0]);
    assert_eq!(case.pools.rest_end(case.now, &pool(), Attempt::First), None);
    case.remove("a");
    assert_eq!(case.chosen(), ["a"]);
}

#[test]
fn an_attempt_that_was_chosen_before_the_order_is_not_written() {
    let mut case = Case::new();
    let choice = case.pools.choose(case.now, &pool(), &[], Attempt::First, 66, &mut case.rng);
    let choice = choice.expect("an upstream");
    let domain = choice.entry.domain.clone();
    case.evacuate(&domain);
    assert!(!case.pools.may_send(case.now, choice.handle, &choice.entry, None));
    // Its entry may go meanwhile.
    case.change(&domain, Change::Removed);
    case.pass(Duration::from_secs(3));
    assert!(!case.pools.may_send(case.now, choice.handle, &choice.entry, None));
    case.remove(&domain);
    assert!(case.pools.may_send(case.now, choice.handle, &choice.entry, None));
}

#[test]
fn an_upstream_keeps_its_handle_during_an_evacuation() {
    let mut case = Case::new();
    case.evacuate("b");
    case.evacuate("c");
    let handle = |case: &mut Case| {
        let choice = case.pools.choose(case.now, &pool(), &[], Attempt::First, 66, &mut case.rng);
        choice.expect("an upstream").handle
    };
    let before = handle(&mut case);
    case.evacuate("a");
    case.remove("a");
    assert_eq!(handle(&mut case), before);
}

#[test]
fn upstreams_that_register_during_an_evacuation_get_nothing() {
    let mut case = Case::new();
    case.evacuate("b");
    let late = Entry { instance: id::Instance("late".into()), ..entry("b") };
    case.change("late", Change::Put(late));
    assert_eq!(case.chosen(), ["a", "c"]);
}

#[test]
fn an_evacuated_failure_domain_covers_no_pools() {
    let mut case = Case::new();
    case.evacuate("b");
    let coverage = case.registry.coverage();
    assert_eq!((coverage.get("a"), coverage.get("b")), (Some(&1), None));
}

#[test]
fn an_order_ends_only_by_its_removal() {
    let mut case = Case::new();
    case.evacuate("a");
    let order_revision = case.revision;
    case.pass(Duration::from_secs(3_600));
    assert_eq!(case.chosen(), ["b", "c"], "after an hour of silence");
    // A listing of an earlier moment, which lacks it.
    let listed = DOMAINS.map(|d| Event {
        key: d.into(),
        revision: Revision(1),
        change: Change::Put(entry(d)),
    });
    case.registry.replace(case.now, listed.to_vec(), Revision(order_revision - 1));
    case.pools.sync(case.now, &case.registry);
    assert_eq!(case.chosen(), ["b", "c"], "after a listing that is older");
    case.registry.replace(case.now, listed.to_vec(), Revision(order_revision + 1));
    case.pools.sync(case.now, &case.registry);
    assert_eq!(case.chosen(), DOMAINS, "after a listing that no longer holds it");
}

#[test]
fn an_order_on_an_unknown_failure_domain_changes_nothing_else() {
    let mut case = Case::new();
    case.evacuate("elsewhere");
    assert_eq!(case.chosen(), DOMAINS);
}

#[test]
fn a_copy_of_the_platform_without_the_order_does_not_end_it() {
    let mut case = Case::new();
    case.evacuate("a");
    case.restore(7, &[]);
    assert_eq!(case.chosen(), ["b", "c"]);
    case.restore(8, &[]);
    case.pass(EVACUATION_RETENTION - Duration::from_millis(1));
    assert_eq!(case.chosen(), ["b", "c"], "also after a second restore");
    case.pass(Duration::from_millis(1));
    assert_eq!(case.chosen(), DOMAINS, "it had been removed before the copy was made");
}

#[test]
fn an_order_that_is_written_again_after_a_restore_holds_until_its_removal() {
    let mut case = Case::new();
    case.evacuate("a");
    case.restore(7, &[]);
    case.evacuate("a");
    case.pass(EVACUATION_RETENTION * 2);
    assert_eq!(case.chosen(), ["b", "c"]);
    case.remove("a");
    assert_eq!(case.chosen(), DOMAINS);
}

#[test]
fn an_order_that_only_the_copy_lists_holds() {
    let mut case = Case::new();
    case.restore(7, &["b"]);
    assert_eq!(case.chosen(), ["a", "c"]);
}

#[test]
fn nodes_that_start_learn_orders_from_peers() {
    let mut case = Case::new();
    case.evacuate("a");
    let mut late = Registry::new(Duration::from_secs(3));
    let (events, is_snapshot) = case.registry.update_since(late.position());
    late.merge(case.now, events, case.registry.position(), is_snapshot).expect("the same era");
    assert!(late.evacuated().contains("a"));
    // After a restore, from what peers know better than the platform.
    case.restore(7, &[]);
    let mut late = Registry::new(Duration::from_secs(3));
    let (events, is_snapshot) = case.registry.update_since(late.position());
    late.merge(case.now, events, case.registry.position(), is_snapshot).expect("a later era");
    assert!(!late.evacuated().contains("a"));
    late.learn(case.now, case.registry.exceptions(case.now));
    assert!(late.evacuated().contains("a"));
}
