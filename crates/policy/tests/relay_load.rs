//! Simulated loads against the decisions on attempts, answers and admission.
//!
//! Guards against changes that give callers fewer or later answers or send more second attempts
//! than the budget allows. The same load is simulated with and without a mechanism to show that
//! the mechanism pays off.

mod queue_model;

use std::time::Duration;

use queue_model::{Fault, Outcome, Scenario, simulate};

const SEED: u64 = 20_261_204;

fn slow(pool: usize, upstream: usize) -> Fault {
    // One upstream in seven, in different pools and failure domains.
    if (pool * 3 + upstream).is_multiple_of(7) { Fault::Slow(8.0) } else { Fault::None }
}

fn silent(pool: usize, upstream: usize) -> Fault {
    if (pool * 3 + upstream).is_multiple_of(7) { Fault::Silent } else { Fault::None }
}

fn silent_pool(pool: usize, _: usize) -> Fault {
    if pool == 4 { Fault::Silent } else { Fault::None }
}

fn refusing(pool: usize, upstream: usize) -> Fault {
    if (pool + upstream).is_multiple_of(4) { Fault::Refuses(0.6) } else { Fault::None }
}

/// Two upstreams in three refuse most requests; each pool has one that does not.
fn mostly_refusing(pool: usize, upstream: usize) -> Fault {
    if (pool + upstream).is_multiple_of(3) { Fault::None } else { Fault::Refuses(0.6) }
}

/// One pool in six has one upstream left, which takes three times as long as usual.
fn short_of_capacity(pool: usize, upstream: usize) -> Fault {
    match (pool % 6, upstream) {
        (0, 0) => Fault::Slow(3.0),
        (0, _) => Fault::Silent,
        _ => Fault::None,
    }
}

fn failing(pool: usize, upstream: usize) -> Fault {
    if (pool + upstream).is_multiple_of(5) { Fault::Fails(0.4) } else { Fault::None }
}

/// Simulates `scenario`, and checks the deadline and the budget for second attempts.
fn run(scenario: &Scenario) -> Outcome {
    let outcome = simulate(scenario, SEED);
    let limit = scenario.deadline + Duration::from_millis(50);
    assert!(outcome.longest <= limit, "a request ran past its deadline: {outcome:?}");
    // A ratio of 0.2 for each request, and the slack of three windows.
    let first = outcome.requests as f64;
    let allowed = 0.2 + 3.0 * 116.0 / first;
    assert!(
        outcome.second_attempt_ratio <= allowed,
        "second attempts exceed the budget: {outcome:?}"
    );
    outcome
}

#[test]
fn callers_get_complete_answers_in_time_despite_pauses() {
    let check = |fault, least: f64| {
        let outcome = run(&Scenario { fault, ..Scenario::default() });
        assert!(outcome.mean_value() >= least, "{outcome:?}");
    };
    // 0.02 to 0.04 below the result of a single scheduler with full knowledge under this load.
    check(|_, _| Fault::None, 0.97);
    check(slow, 0.96);
    check(silent, 0.96);
    check(failing, 0.95);
}

#[test]
fn requests_find_the_upstream_that_does_not_refuse() {
    // Half the load of the other scenarios, so that one upstream of each pool can serve it.
    let scenario = Scenario { per_second: 90.0, ..Scenario::default() };
    let healthy = run(&scenario);
    let outcome = run(&Scenario { fault: mostly_refusing, ..scenario });
    // Even a single scheduler that knew the refusing upstreams would lose some value to longer
    // queues.
    assert!(outcome.mean_value() >= healthy.mean_value() - 0.1, "{outcome:?} against {healthy:?}");
    // At most half of the budget: the other half is needed for slow attempts.
    assert!(
        outcome.second_attempt_ratio - healthy.second_attempt_ratio <= 0.1,
        "{outcome:?} against {healthy:?}"
    );
}

#[test]
fn second_attempts_gain_more_than_their_load_costs() {
    let check = |fault: fn(usize, usize) -> Fault, gain: f64| {
        let with = run(&Scenario { fault, ..Scenario::default() });
        let without = run(&Scenario { fault, max_attempts: 1, ..Scenario::default() });
        assert!(with.mean_value() >= without.mean_value() + gain, "{with:?} against {without:?}");
    };
    check(|_, _| Fault::None, 0.02);
    check(slow, 0.05);
    check(refusing, 0.1);
}

#[test]
fn partial_answers_are_better_than_late_ones() {
    let check = |fault: fn(usize, usize) -> Fault, gain: f64| {
        let with = run(&Scenario { fault, ..Scenario::default() });
        let without = run(&Scenario { fault, min_replies: 10, ..Scenario::default() });
        assert!(with.mean_value() >= without.mean_value() + gain, "{with:?} against {without:?}");
    };
    check(silent_pool, 0.7);
    check(slow, 0.0);
}

#[test]
fn a_pool_without_replies_delays_no_request_to_its_deadline() {
    let outcome = run(&Scenario { fault: silent_pool, ..Scenario::default() });
    assert!(outcome.longest < Duration::from_millis(400), "{outcome:?}");
    // An answer without the pool has a value of 0.81 at most.
    assert!(outcome.mean_value() >= 0.79, "{outcome:?}");
}

#[test]
fn pools_short_of_capacity_serve_the_same_requests() {
    // Six pools get two thirds more requests than they can serve; an answer may lack one pool.
    let scenario =
        Scenario { pools: 36, min_replies: 35, per_second: 110.0, ..Scenario::default() };
    let check = |fault, gain: f64| {
        let with = run(&Scenario { fault, ..scenario.clone() });
        let without = run(&Scenario { fault, admission: false, ..scenario.clone() });
        assert!(with.mean_value() >= without.mean_value() + gain, "{with:?} against {without:?}");
    };
    check(short_of_capacity, 0.15);
    // Admission control must not refuse requests that every pool can serve, even if slowly.
    check(|_, _| Fault::None, -0.01);
    check(slow, -0.01);
    check(silent_pool, -0.01);
}

#[test]
fn the_goal_includes_the_callers_setup_time() {
    // Callers spend a quarter of the shortest goal on looking up addresses and connecting.
    let scenario = Scenario {
        pools: 36,
        min_replies: 31,
        work: Duration::from_millis(7),
        goal: Duration::from_millis(60),
        setup_time: Duration::from_millis(16),
        ..Scenario::default()
    };
    let aware = run(&scenario);
    let unaware = run(&Scenario { knows_setup_time: false, ..scenario });
    // The same value as without faults above; one answer in a hundred may be late.
    assert!(aware.mean_value() >= 0.97, "{aware:?}");
    assert!(aware.late * 100 <= aware.requests, "{aware:?}");
    assert!(unaware.late * 100 > unaware.requests, "{unaware:?}");
}
