//! Load that upstreams report of themselves.
//!
//! Guards against a choice of upstreams that gets worse by reports that are false, old or missing, and
//! against one that gains nothing from true ones.

mod queue_model;

use std::time::{Duration, Instant};

use policy::relay::load::{Estimate, Report};
use queue_model::{Fault, Outcome, Scenario, Told, simulate};

/// Requests per second that a pool of the model serves at most: three upstreams with three slots,
/// 15.6 ms of work, pauses deducted.
const CAPACITY: f64 = 553.0;
/// Share of it that is left on shared VMs.
const SHARED_CAPACITY: f64 = 0.57;

type Reports = fn(usize, usize) -> Told;

/// One upstream in seven, in different pools and failure domains.
fn slow(pool: usize, upstream: usize) -> Fault {
    if (pool * 3 + upstream).is_multiple_of(7) { Fault::Slow(8.0) } else { Fault::None }
}

/// Two upstreams in seven report falsely; one of them is slow if some are.
fn some_false(pool: usize, upstream: usize) -> Told {
    match (pool * 3 + upstream) % 7 {
        0 => Told::Idle,
        3 => Told::Noise,
        _ => Told::Truth,
    }
}

fn at(load: f64) -> Scenario {
    Scenario { per_second: CAPACITY * load, ..Scenario::default() }
}

fn shared(load: f64) -> Scenario {
    Scenario { shared_vms: true, ..at(load * SHARED_CAPACITY) }
}

fn run(scenario: &Scenario, told: Reports, seeds: u64) -> Vec<Outcome> {
    (0..seeds).map(|seed| simulate(&Scenario { told, ..scenario.clone() }, seed)).collect()
}

fn mean(outcomes: &[Outcome], value: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
}

/// The gain in the share of requests in time is at least `gain`, and the busiest upstream gets at most
/// a tenth of the mean more.
fn check(scenario: &Scenario, told: Reports, gain: f64) {
    let (with, without) = (run(scenario, told, 4), run(scenario, |_, _| Told::Nothing, 4));
    let in_time = |outcomes: &[Outcome]| mean(outcomes, Outcome::share_in_time);
    let busiest = |outcomes: &[Outcome]| mean(outcomes, |o| o.busiest);
    assert!(
        in_time(&with) >= in_time(&without) + gain,
        "{} with reports, {} without: {scenario:?}",
        in_time(&with),
        in_time(&without)
    );
    assert!(busiest(&with) <= busiest(&without) + 0.1, "{} with reports", busiest(&with));
}

#[test]
fn true_reports_let_more_requests_be_served_in_time() {
    check(&at(0.9), |_, _| Told::Truth, 0.01);
    check(&shared(0.9), |_, _| Told::Truth, 0.005);
}

#[test]
fn false_reports_cost_nothing() {
    // The differences are within what the seed changes.
    check(&at(0.9), some_false, -0.005);
    check(&at(0.9), |_, _| Told::Idle, -0.01);
    check(&Scenario { fault: slow, ..at(0.6) }, some_false, -0.005);
}

/// Prints the table of docs/design/told-load.md.
#[test]
#[ignore = "takes minutes"]
fn comparison() {
    let scenarios = [
        ("healthy, 0.6", at(0.6)),
        ("healthy, 0.9", at(0.9)),
        ("shared VMs, 0.6", shared(0.6)),
        ("shared VMs, 0.9", shared(0.9)),
        ("one in seven slow, 0.33", Scenario { fault: slow, ..at(0.33) }),
        ("one in seven slow, 0.6", Scenario { fault: slow, ..at(0.6) }),
    ];
    let reports: [(&str, Reports); 5] = [
        ("none", |_, _| Told::Nothing),
        ("true", |_, _| Told::Truth),
        ("some false", some_false),
        ("all idle", |_, _| Told::Idle),
        ("all noise", |_, _| Told::Noise),
    ];
    for (name, scenario) in scenarios {
        for (told_name, told) in reports {
            let outcomes = run(&scenario, told, 8);
            let worst = outcomes.iter().map(Outcome::share_in_time).fold(1.0, f64::min);
            println!(
                "| {name} | {told_name} | {:.4} | {worst:.4} | {:.4} | {:.2} |",
                mean(&outcomes, Outcome::share_in_time),
                mean(&outcomes, Outcome::mean_value),
                mean(&outcomes, |o| o.busiest),
            );
        }
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// An upstream that takes `latency_ms` for each request, in turn, and reports `paces` with its replies.
fn learn(latency_ms: [u64; 2], paces: [u32; 2]) -> (Estimate, Instant) {
    let mut estimate = Estimate::default();
    let mut now = Instant::now();
    for n in 0..100 {
        let pace = Report::new(0, 0, 3, Some(paces[n % 2])).expect("plausible");
        estimate.record_report(now, pace);
        estimate.record_sent(now, ms(20));
        let sent = now;
        now += ms(latency_ms[n % 2]);
        estimate.record_end(now, sent, true);
    }
    (estimate, now)
}

#[test]
fn only_recent_reports_that_predict_replies_change_the_estimate() {
    let check = |(mut estimate, now): (Estimate, Instant), age_ms, expected_ms: (u64, u64)| {
        estimate.record_report(now, Report::new(0, 0, 3, Some(400)).expect("plausible"));
        let delay = estimate.delay(now + ms(age_ms), ms(20));
        assert!(delay >= ms(expected_ms.0) && delay <= ms(expected_ms.1), "{delay:?}");
    };
    let observed = (20, 20);
    // It takes four times as long at a pace of 400.
    check(learn([10, 40], [100, 400]), 0, (38, 42));
    check(learn([10, 40], [100, 400]), 150, (28, 31));
    check(learn([10, 40], [100, 400]), 1_000, observed);
    // It says the opposite, or always the same.
    check(learn([40, 10], [100, 400]), 0, observed);
    check(learn([10, 40], [100, 100]), 0, observed);
    // Nothing is known of how well its reports predict.
    check((Estimate::default(), Instant::now()), 0, observed);
}

#[test]
fn an_upstream_that_claims_to_be_idle_and_never_replies_is_not_believed() {
    let (mut estimate, mut now) = learn([10, 40], [100, 400]);
    for _ in 0..20 {
        estimate.record_report(now, Report::new(0, 0, 3, None).expect("plausible"));
        estimate.record_sent(now, ms(1_000));
        let sent = now;
        now += ms(1_000);
        estimate.record_end(now, sent, false);
    }
    estimate.record_report(now, Report::new(0, 0, 3, None).expect("plausible"));
    assert_eq!(estimate.delay(now, ms(1_000)), ms(1_000));
}

#[test]
fn absurd_reports_are_not_read() {
    let check = |running, waiting, slots, pace, readable: bool| {
        assert_eq!(Report::new(running, waiting, slots, pace).is_some(), readable);
    };
    check(0, 0, 1, None, true);
    check(3, 18, 3, Some(400), true);
    check(0, 0, 0, None, false);
    check(0, 0, 3, Some(0), false);
    check(0, 0, 3, Some(u32::MAX), false);
    check(u32::MAX, 0, 3, None, false);
    check(0, u32::MAX, 3, None, false);
    check(0, 0, u32::MAX, None, false);
}
