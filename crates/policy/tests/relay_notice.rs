//! What upstreams say of themselves.
//!
//! Guards against requests to an upstream that has said that it leaves or wants none for a time, also
//! if its registry entry is lost and returns, and against all nodes returning at once.

use std::time::{Duration, Instant};

use base::{
    id,
    unit::{Rate, Revision},
};
use policy::relay::{
    limiter::{Attempt, LONE_NODE_DELAY, MAX_PERMIT_AGE},
    notice::{Limit, MAX_REST, Rest},
    pool::{Choice, Pools},
    registry::{Availability, Change, Entry, Event, REMOVAL_GRACE, Registry},
    retry_after,
    retry_budget::RetryBound,
    upstream::AttemptEnd,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DRAIN: Duration = Duration::from_secs(3);
const LIMIT: usize = 10;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn entry(name: &str, born_ms: u64) -> Entry {
    Entry {
        instance: id::Instance(name.into()),
        born_ms,
        pool: "p".parse().expect("name"),
        address: format!("10.0.0.{}:80", name.len()).parse().expect("address"),
        domain: "a".into(),
        slots: 3,
        draining: false,
        cold: Duration::ZERO,
    }
}

/// A pool of upstreams with their registry.
struct Case {
    start: Instant,
    registry: Registry,
    pools: Pools,
    revision: u64,
}

impl Case {
    fn new(names: &[&str]) -> Case {
        let start = Instant::now();
        let bound = RetryBound { ratio: 0.2, slack: 100.0, window: ms(10_000) };
        let pools = Pools::new("a".into(), bound, start);
        let mut case = Case { start, registry: Registry::new(DRAIN), pools, revision: 0 };
        names.iter().for_each(|n| case.change(0, n, Change::Put(entry(n, 1))));
        case
    }

    fn change(&mut self, at_ms: u64, name: &str, change: Change) {
        self.revision += 1;
        let revision = Revision(self.revision);
        let now = self.start + ms(at_ms);
        self.registry.apply(now, vec![Event { key: name.into(), revision, change }], revision);
        self.registry.expire_removed(now);
        self.pools.sync(now, &self.registry);
    }

    /// Returns the upstream that a request gets at `at_ms`.
    fn chosen(&mut self, at_ms: u64) -> Option<String> {
        let now = self.start + ms(at_ms);
        self.registry.expire_removed(now);
        self.pools.sync(now, &self.registry);
        let pool = "p".parse().expect("name");
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let choice = self.pools.choose(now, &pool, &[], Attempt::First, LIMIT, &mut rng);
        assert_eq!(
            choice.is_some(),
            self.pools.has_untried(now, &pool, &[], Attempt::First),
            "at {at_ms} ms"
        );
        choice.map(|c| c.entry.instance.to_string())
    }

    fn leave(&mut self, at_ms: u64, name: &str) -> bool {
        self.registry.record_leaving(self.start + ms(at_ms), &entry(name, 1))
    }

    /// Records that the chosen upstream asks for a rest of `rest_ms`.
    fn rest(&mut self, at_ms: u64, rest_ms: u64) {
        let now = self.start + ms(at_ms);
        let pool = "p".parse().expect("name");
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let choice = self
            .pools
            .choose(now, &pool, &[], Attempt::First, LIMIT, &mut rng)
            .expect("an upstream");
        self.pools.record_sent(now, choice.handle);
        self.pools.record_rest(now, choice.handle, ms(rest_ms), 0.0);
        self.pools.record_end(now, choice.handle, now, AttemptEnd::Refused);
    }
}

#[test]
fn an_upstream_that_leaves_is_a_last_resort_for_less_than_the_drain_time() {
    let mut case = Case::new(&["a", "bb"]);
    assert!(case.leave(0, "a"));
    assert!(!case.leave(10, "a"), "known");
    assert_eq!(case.chosen(10).as_deref(), Some("bb"));
    assert!(case.leave(20, "bb"));
    assert!(case.chosen(30).is_some());
    assert!(case.registry.usable().all(|(_, a)| a == Availability::LastResort));
    assert_eq!(case.chosen(30 + REMOVAL_GRACE.as_millis() as u64), None);
    assert!(REMOVAL_GRACE < DRAIN);
}

#[test]
fn what_the_platform_says_later_does_not_bring_a_leaving_process_back() {
    let check = |changes: &[(u64, Change)], at_ms: u64, used: bool| {
        let mut case = Case::new(&["a"]);
        case.leave(0, "a");
        changes.iter().for_each(|(at, change)| case.change(*at, "a", change.clone()));
        assert_eq!(case.chosen(at_ms).is_some(), used, "{changes:?} at {at_ms} ms");
    };
    let listed = Change::Put(entry("a", 1));
    check(&[], 2_000, false);
    check(&[(1_200, listed.clone())], 1_300, true);
    check(&[(1_200, listed.clone())], 2_000, false);
    check(&[(1_200, Change::Removed), (5_000, listed.clone())], 5_100, false);
    check(&[(1_200, Change::Unusable), (5_000, listed)], 5_100, false);
    // Another process with the same id.
    check(&[(1_200, Change::Put(entry("a", 2)))], 5_100, true);
}

#[test]
fn a_rest_ends_with_one_request_at_a_time_until_one_has_run() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut rest = Rest::default();
    assert!(rest.allows(at(0), 9));
    rest.extend(at(0), ms(1_000), 0.0);
    rest.extend(at(0), ms(500), 0.0);
    assert!(!rest.allows(at(999), 0));
    assert_eq!(rest.end(at(0)), Some(at(1_000)), "the latest end counts");
    assert!(rest.allows(at(1_000), 0));
    assert!(!rest.allows(at(1_000), 1));
    rest.record_run(at(900));
    assert!(!rest.allows(at(1_000), 1), "sent before the end of the rest");
    rest.record_run(at(1_000));
    assert!(rest.allows(at(1_001), 9));
}

#[test]
fn a_rest_is_bounded_and_spread() {
    let start = Instant::now();
    let check = |time: Duration, chance: f64, expected: Option<Duration>| {
        let mut rest = Rest::default();
        rest.extend(start, time, chance);
        let end = rest.end(start).map(|end| end - start);
        assert_eq!(end, expected, "{time:?}, chance {chance}");
    };
    check(Duration::ZERO, 1.0, None);
    check(ms(300), 0.0, Some(ms(300)));
    check(ms(300), 1.0, Some(ms(500)));
    check(Duration::from_secs(10), 1.0, Some(Duration::from_secs(11)));
    check(Duration::MAX, 0.0, Some(MAX_REST));
}

#[test]
fn an_upstream_that_rests_is_not_asked_although_its_entry_is_lost_and_returns() {
    let mut case = Case::new(&["a"]);
    case.rest(0, 5_000);
    let pool: id::Pool = "p".parse().expect("name");
    assert_eq!(
        case.pools.rest_end(case.start, &pool, Attempt::First),
        Some(case.start + ms(5_000))
    );
    assert_eq!(case.chosen(100), None);
    case.change(200, "a", Change::Unusable);
    case.change(400, "a", Change::Put(entry("a", 1)));
    assert_eq!(case.chosen(4_900), None);
    assert_eq!(case.chosen(5_000).as_deref(), Some("a"));
}

#[test]
fn another_process_with_the_id_of_one_that_rests_is_asked() {
    let mut case = Case::new(&["a"]);
    case.rest(0, 5_000);
    case.change(200, "a", Change::Put(entry("a", 2)));
    assert_eq!(case.chosen(300).as_deref(), Some("a"));
}

#[test]
fn requests_go_to_the_upstreams_that_do_not_rest() {
    let mut case = Case::new(&["a", "bb"]);
    let first = case.chosen(0).expect("an upstream");
    case.rest(0, 2_000);
    let pool: id::Pool = "p".parse().expect("name");
    let other = case.chosen(10).expect("the other");
    assert_ne!(first, other);
    assert_eq!(case.pools.rest_end(case.start, &pool, Attempt::First), None);
    case.rest(20, 1_000);
    assert_eq!(case.chosen(30), None);
    assert_eq!(
        case.pools.rest_end(case.start, &pool, Attempt::First),
        Some(case.start + ms(1_020))
    );
}

#[test]
fn callers_return_after_the_rest_and_spread() {
    let now = Instant::now();
    let check = |rest_ms: u64, chance: f64, expected_ms: u64| {
        let delay = retry_after::after_rest(now, now + ms(rest_ms), chance);
        assert_eq!(delay, ms(expected_ms), "rest {rest_ms} ms, chance {chance}");
    };
    check(1_000, 0.0, 1_000);
    check(1_000, 1.0, 1_500);
    check(0, 1.0, 30);
}

impl Case {
    fn choice(&self, at_ms: u64) -> Option<Choice> {
        let pool = "p".parse().expect("name");
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        self.pools.choose(self.start + ms(at_ms), &pool, &[], Attempt::First, LIMIT, &mut rng)
    }

    /// Records that the chosen upstream says `limit`.
    fn limit(&mut self, at_ms: u64, choice: &Choice, limit: Limit) -> bool {
        self.pools.record_limit(self.start + ms(at_ms), choice.handle, limit, 1.0)
    }
}

/// Limit of which this node's part is about one request per second.
fn one_per_second() -> Limit {
    Limit::Rate(Rate::new(4.0 / 0.95))
}

#[test]
fn a_limited_upstream_gets_no_more_than_the_part_of_this_node() {
    let mut case = Case::new(&["a"]);
    case.pools.set_node_count(Some(4));
    let choice = case.choice(0).expect("an upstream");
    assert!(!choice.limited);
    assert!(case.limit(0, &choice, one_per_second()));
    assert!(!case.limit(1, &choice, one_per_second()), "known");
    let pool: id::Pool = "p".parse().expect("name");
    assert_eq!(case.chosen(900), None);
    let again = case.pools.rest_end(case.start + ms(900), &pool, Attempt::First).expect("a time");
    assert!(again > case.start + ms(990) && again < case.start + ms(1_010));
    assert_eq!(case.chosen(1_010).as_deref(), Some("a"));
    assert!(case.choice(1_010).expect("an upstream").limited);
    case.pools.record_sent(case.start + ms(1_010), choice.handle);
    assert_eq!(case.chosen(1_900), None);
    assert_eq!(case.chosen(2_010).as_deref(), Some("a"));
}

#[test]
fn a_limit_ends_with_a_reply_that_states_none_and_not_with_one_that_cannot_be_read() {
    let check = |limit: Limit, ends: bool| {
        let mut case = Case::new(&["a"]);
        case.pools.set_node_count(Some(4));
        let choice = case.choice(0).expect("an upstream");
        case.limit(0, &choice, one_per_second());
        assert_eq!(case.limit(10, &choice, limit), ends, "{limit:?}");
        assert_eq!(case.chosen(20).is_some(), ends, "{limit:?}");
    };
    check(Limit::None, true);
    check(Limit::Malformed, false);
}

#[test]
fn a_limit_outlives_the_registry_entry_and_not_the_process() {
    let check = |born_ms: u64, used: bool| {
        let mut case = Case::new(&["a"]);
        case.pools.set_node_count(Some(4));
        let choice = case.choice(0).expect("an upstream");
        case.limit(0, &choice, one_per_second());
        case.change(100, "a", Change::Unusable);
        case.change(200, "a", Change::Put(entry("a", born_ms)));
        assert_eq!(case.chosen(300).is_some(), used, "born {born_ms}");
    };
    check(1, false);
    check(2, true);
}

#[test]
fn a_request_that_waited_while_the_limit_was_stated_needs_a_permit() {
    let mut case = Case::new(&["a"]);
    case.pools.set_node_count(Some(4));
    let choice = case.choice(0).expect("an upstream");
    let at = |case: &Case, at_ms: u64| case.start + ms(at_ms);
    assert!(case.pools.may_send(at(&case, 0), choice.handle, &choice.entry, None));
    case.limit(10, &choice, one_per_second());
    assert!(!case.pools.may_send(at(&case, 20), choice.handle, &choice.entry, None));
    assert!(case.pools.may_send(at(&case, 20), choice.handle, &choice.entry, Some(at(&case, 15))));
    let late = 15 + MAX_PERMIT_AGE.as_millis() as u64;
    assert!(!case.pools.may_send(
        at(&case, late + 1),
        choice.handle,
        &choice.entry,
        Some(at(&case, 15))
    ));
    assert!(case.pools.may_send(at(&case, 1_020), choice.handle, &choice.entry, None));
    assert!(!case.pools.may_send(at(&case, 1_021), choice.handle, &choice.entry, None), "used up");
}

#[test]
fn a_node_that_knows_no_other_yet_has_no_part_of_a_limit() {
    let mut case = Case::new(&["a"]);
    let choice = case.choice(0).expect("an upstream");
    case.limit(0, &choice, Limit::Rate(Rate::new(100.0)));
    let lone_ms = LONE_NODE_DELAY.as_millis() as u64;
    case.pools.update_limiters(case.start + ms(lone_ms - 1));
    assert_eq!(case.chosen(lone_ms - 1), None);
    case.pools.update_limiters(case.start + ms(lone_ms));
    assert_eq!(case.chosen(lone_ms + 20).as_deref(), Some("a"));
}

#[test]
fn callers_that_compete_for_permits_are_told_to_return_later() {
    let check = |demand: u32, least_ms: u64, most_ms: u64| {
        let mut case = Case::new(&["a"]);
        case.pools.set_node_count(Some(4));
        let choice = case.choice(0).expect("an upstream");
        case.limit(0, &choice, one_per_second());
        let pool: id::Pool = "p".parse().expect("name");
        (0..demand).for_each(|_| case.pools.record_demand(case.start, &pool, 0));
        let end =
            case.pools.rest_end(case.start, &pool, Attempt::First).expect("a time") - case.start;
        assert!((ms(least_ms)..=ms(most_ms)).contains(&end), "{demand} requests: {end:?}");
    };
    check(1, 990, 1_010);
    // Three a second compete for one.
    check(6, 1_900, 2_100);
    check(1_000, 2_900, 3_100);
}

#[test]
fn a_request_that_waited_while_the_upstream_asked_for_a_rest_is_not_sent() {
    let mut case = Case::new(&["a"]);
    let choice = case.choice(0).expect("an upstream");
    assert!(case.pools.may_send(case.start, choice.handle, &choice.entry, None));
    case.rest(10, 1_000);
    assert!(!case.pools.may_send(case.start + ms(20), choice.handle, &choice.entry, None));
    assert!(case.pools.may_send(case.start + ms(1_010), choice.handle, &choice.entry, None));
}
