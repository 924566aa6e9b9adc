//! Choice of the upstream for an attempt.
//!
//! Guards against attempts that keep going to an upstream that is slow, refuses, fails, is stuck
//! or has gone, and against upstreams that are never tried again after they recover.

use std::time::{Duration, Instant};

use base::{id, unit::Revision};
use policy::relay::{
    limiter::Attempt,
    pool::Pools,
    registry::{Change, Entry, Event, Registry},
    retry_budget::RetryBound,
    triage::{Class, Sample},
    upstream::AttemptEnd,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
const OK: AttemptEnd = AttemptEnd::Reply { success: true };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A pool of three upstreams, of which the first is in the node's own failure domain.
struct Case {
    now: Instant,
    registry: Registry,
    pools: Pools,
    rng: ChaCha8Rng,
}

impl Case {
    fn new() -> Case {
        let now = Instant::now();
        let mut registry = Registry::new(ms(3_000));
        let events = ["near", "far", "farther"].iter().enumerate().map(|(n, name)| put(n, name));
        registry.apply(now, events.collect(), Revision(3));
        let mut pools = Pools::new("a".into(), BOUND, now);
        pools.set_node_count(Some(3));
        pools.sync(now, &registry);
        Case { now, registry, pools, rng: ChaCha8Rng::seed_from_u64(1) }
    }

    fn choice(&mut self, tried: &[&str]) -> Option<policy::relay::pool::Choice> {
        let handles: Vec<_> = tried.iter().map(|name| self.handle(name)).collect();
        self.pools.choose(self.now, &pool(), &handles, Attempt::Yielding, 66, &mut self.rng)
    }

    fn chosen(&mut self) -> String {
        self.choice(&[]).expect("an upstream").entry.instance.to_string()
    }

    /// Returns the handle of the upstream `name`, by excluding others until it is chosen.
    fn handle(&mut self, name: &str) -> policy::relay::pool::UpstreamHandle {
        let mut tried = Vec::new();
        loop {
            let choice =
                self.pools.choose(self.now, &pool(), &tried, Attempt::First, 66, &mut self.rng);
            let choice = choice.expect("the upstream exists");
            if choice.entry.instance.to_string() == name {
                return choice.handle;
            }
            tried.push(choice.handle);
        }
    }

    /// Sends an attempt to the upstream `name` that ends after `after`.
    fn attempt(&mut self, name: &str, after: Duration, end: AttemptEnd) {
        let handle = self.handle(name);
        self.pools.record_sent(self.now, handle);
        let sent = self.now;
        self.now += after;
        self.pools.record_end(self.now, handle, sent, end);
    }
}

fn pool() -> id::Pool {
    "p".parse().expect("name")
}

fn put(n: usize, name: &str) -> Event {
    let entry = Entry {
        instance: id::Instance(name.into()),
        born_ms: 1,
        pool: pool(),
        address: format!("10.0.0.{}:80", n + 1).parse().expect("address"),
        domain: if n == 0 { "a".into() } else { "b".into() },
        slots: 3,
        draining: false,
        cold: Duration::ZERO,
    };
    Event { key: name.into(), revision: Revision(n as u64 + 1), change: Change::Put(entry) }
}

#[test]
fn a_healthy_upstream_of_the_own_domain_is_preferred() {
    let mut case = Case::new();
    for _ in 0..50 {
        assert_eq!(case.chosen(), "near");
    }
}

#[test]
fn an_unhealthy_upstream_is_avoided_and_tried_again_later() {
    let check = |name: &str, after: Duration, end: AttemptEnd, times: usize, back: Duration| {
        let mut case = Case::new();
        for _ in 0..times {
            case.attempt("near", after, end);
        }
        assert_ne!(case.chosen(), "near", "{name}");
        case.now += back;
        assert_eq!(case.chosen(), "near", "{name}: not tried again after the pause");
    };
    check("slow", ms(120), OK, 2, ms(4_500));
    check("refuses", ms(1), AttemptEnd::Refused, 1, ms(200));
    check("fails", ms(5), AttemptEnd::Reply { success: false }, 3, ms(6_000));
    check("not sent", ms(5), AttemptEnd::NotSent, 1, ms(300));
    check("loses connections", ms(5), AttemptEnd::ConnectionLost, 3, ms(6_000));
}

#[test]
fn one_pause_does_not_move_attempts_away() {
    let mut case = Case::new();
    case.attempt("near", ms(10), OK);
    case.attempt("near", ms(150), OK);
    case.attempt("near", ms(10), OK);
    assert_eq!(case.chosen(), "near");
}

#[test]
fn an_upstream_with_an_overdue_attempt_is_avoided_and_marked_as_stuck() {
    let mut case = Case::new();
    let handle = case.handle("near");
    case.pools.record_sent(case.now, handle);
    case.now += ms(100);
    assert_ne!(case.chosen(), "near");
    let choice = case.choice(&["far", "farther"]).expect("the only upstream left");
    assert!(choice.stuck);
}

#[test]
fn an_upstream_is_not_chosen_twice() {
    let mut case = Case::new();
    let second = case.choice(&["near"]).expect("another upstream").entry.instance.to_string();
    assert_ne!(second, "near");
    assert!(case.choice(&["near", "far", "farther"]).is_none());
}

#[test]
fn an_upstream_whose_address_was_taken_over_is_not_used_until_it_registers_again() {
    let mut case = Case::new();
    case.attempt("near", ms(1), AttemptEnd::InstanceReplaced);
    assert_ne!(case.chosen(), "near");
    case.now += ms(60_000);
    assert_ne!(case.chosen(), "near");
    let Event { key, change: Change::Put(entry), .. } = put(0, "near") else { unreachable!() };
    let entry = Entry { born_ms: 2, ..entry };
    let event = Event { key, revision: Revision(9), change: Change::Put(entry) };
    case.registry.apply(case.now, vec![event], Revision(9));
    case.pools.sync(case.now, &case.registry);
    assert_eq!(case.chosen(), "near", "a new process of the same instance is used");
}

#[test]
fn a_removed_upstream_is_used_only_as_a_last_resort() {
    let mut case = Case::new();
    let removed = Event { key: "near".into(), revision: Revision(9), change: Change::Removed };
    case.registry.apply(case.now, vec![removed], Revision(9));
    case.pools.sync(case.now, &case.registry);
    assert_ne!(case.chosen(), "near");
    let last_resort = case.choice(&["far", "farther"]).expect("the last resort");
    assert_eq!(last_resort.entry.instance.to_string(), "near");
}

#[test]
fn observations_survive_changes_of_other_upstreams() {
    let mut case = Case::new();
    case.attempt("near", ms(120), OK);
    case.attempt("near", ms(120), OK);
    case.registry.apply(case.now, vec![put(3, "another")], Revision(4));
    case.pools.sync(case.now, &case.registry);
    assert_ne!(case.chosen(), "near");
}

#[test]
fn connections_are_divided_among_the_nodes_that_may_exist() {
    let check = |nodes: Option<usize>, limit: usize, expected: usize| {
        let mut case = Case::new();
        case.pools.set_node_count(nodes);
        let choice =
            case.pools.choose(case.now, &pool(), &[], Attempt::First, limit, &mut case.rng);
        assert_eq!(choice.expect("an upstream").max_connections, expected);
    };
    check(Some(15), 66, 3);
    check(Some(6), 106, 13);
    check(Some(118), 110, 1);
    check(None, 66, 49);
}

/// Guards against a node that refuses its callers' requests as pools seem short, while it is cut off and
/// afterwards.
#[test]
fn replies_that_are_missing_at_a_node_that_is_cut_off_show_no_shortage() {
    let class = Class { route: "search".into(), rank: 0, goal: ms(100) };
    let miss = |case: &mut Case| {
        for _ in 0..200 {
            case.now += ms(20);
            case.pools.admits(case.now, &pool(), &class, 0.5);
            case.pools.record_sample(case.now, &pool(), &class, Sample::Missed);
        }
        case.pools.is_short(&pool())
    };
    let mut case = Case::new();
    case.pools.set_may_be_cut_off(true);
    assert!(!miss(&mut case));
    case.pools.set_may_be_cut_off(false);
    assert!(miss(&mut case));
    // What it learned before it knew.
    case.pools.forget_shortages(case.now);
    assert!(!case.pools.is_short(&pool()));
    assert!(case.pools.admits(case.now, &pool(), &class, 0.99));
}
