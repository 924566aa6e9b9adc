//! Share of the requests of each class that a pool admits.
//!
//! Guards against decisions that keep requests from healthy or recovered pools, that send short pools
//! more than they can serve, and that starve a class or serve it before a more urgent one.

use std::time::{Duration, Instant};

use policy::relay::triage::{Class, PoolTriage, Sample};

const SECOND: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(8);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn class(route: &str, rank: u32) -> Class {
    Class { route: route.into(), rank, goal: ms(100) }
}

/// Plays one second with 50 requests, of the classes in turn. The pool gets the admitted share of
/// them; `latency` returns when it replies, or `None` if
/// it does not. Returns the shares at the end.
fn play(
    triage: &mut PoolTriage,
    start: Instant,
    classes: &[Class],
    mut latency: impl FnMut(u32, &Class) -> Option<Duration>,
) -> Vec<f64> {
    for n in 0..50 {
        let now = start + ms(20) * n;
        let class = &classes[n as usize % classes.len()];
        triage.record_demand(now, class);
        // Random numbers of the requests, evenly distributed and out of order.
        let draw = f64::from(n * 7 % 50) / 50.0;
        if draw >= triage.admitted_share(now, class) {
            continue;
        }
        let sample = latency(n, class).map_or(Sample::Missed, Sample::Reply);
        triage.record(now, class, sample);
    }
    classes.iter().map(|c| triage.admitted_share(start + ms(20) * 49, c)).collect()
}

/// Plays `seconds` with one class.
fn play_one(
    triage: &mut PoolTriage,
    start: Instant,
    seconds: u32,
    serves: impl Fn(u32) -> bool,
) -> f64 {
    let only = [class("only", 0)];
    let second = |s| play(triage, start + SECOND * s, &only, |n, _| serves(n).then_some(WORK))[0];
    (0..seconds).map(second).last().expect("a second was played")
}

#[test]
fn only_a_lasting_shortage_restricts_admission() {
    let check = |serves: fn(u32) -> bool, share: f64| {
        let start = Instant::now();
        assert_eq!(play_one(&mut PoolTriage::new(start), start, 6, serves), share);
    };
    check(|_| true, 1.0);
    // One failure in ten is not a shortage.
    check(|n| n % 10 != 0, 1.0);
    // Nor is a pause of an upstream.
    check(|n| !(20..28).contains(&n), 1.0);
    check(|n| n >= 8, 1.0);
    check(|_| false, 0.05);
}

#[test]
fn requests_beyond_a_pools_capacity_are_refused() {
    let start = Instant::now();
    let mut triage = PoolTriage::new(start);
    // The pool serves one request each 60 ms, a third of them; the others wait or are dropped.
    let (mut backlog, mut last) = (Duration::ZERO, 0);
    let (mut served, mut missed) = (0, 0);
    for second in 0..12 {
        play(&mut triage, start + SECOND * second, &[class("only", 0)], |n, _| {
            backlog = backlog.saturating_sub(ms(20) * (second * 50 + n - last));
            last = second * 50 + n;
            let wait = (backlog <= ms(100)).then_some(backlog);
            if second >= 2 {
                *(if wait.is_some() { &mut served } else { &mut missed }) += 1;
            }
            backlog += wait.map_or(Duration::ZERO, |_| ms(60));
            wait.map(|wait| wait + WORK)
        });
    }
    let capacity = 10.0 * 1_000.0 / 60.0;
    assert!(f64::from(served) >= 0.85 * capacity, "{served} of {capacity} served");
    assert!(f64::from(missed) <= 0.2 * capacity, "{missed} missed, {capacity} could be served");
}

#[test]
fn a_recovered_pool_gets_nearly_all_requests_within_a_second() {
    let start = Instant::now();
    let mut triage = PoolTriage::new(start);
    assert_eq!(play_one(&mut triage, start, 3, |_| false), 0.05);
    let share = play_one(&mut triage, start + SECOND * 3, 1, |_| true);
    assert!(share >= 0.95, "admitted share {share}");
}

#[test]
fn few_or_old_samples_do_not_restrict_admission() {
    let start = Instant::now();
    let (mut triage, only) = (PoolTriage::new(start), class("only", 0));
    for _ in 0..5 {
        triage.record(start, &only, Sample::Missed);
    }
    assert_eq!(triage.admitted_share(start, &only), 1.0);
    play_one(&mut triage, start, 1, |_| false);
    assert_eq!(triage.admitted_share(start + SECOND * 3, &only), 1.0);
}

#[test]
fn a_pool_that_gets_its_upstreams_back_is_not_probed() {
    let start = Instant::now();
    let mut triage = PoolTriage::new(start);
    triage.set_slots(12);
    triage.set_slots(4);
    let short = play_one(&mut triage, start, 1, |_| false);
    assert!(short < 1.0, "admitted share {short}");
    let only = class("only", 0);
    let before = triage.admitted_share(start + SECOND, &only);
    triage.set_slots(12);
    let after = triage.admitted_share(start + SECOND, &only);
    assert!(after >= (2.9 * before).min(1.0), "admitted share {before}, then {after}");
}

#[test]
fn classes_are_admitted_by_rank_then_by_work_and_none_is_starved() {
    let check = |ranks: [u32; 2], first: usize| {
        let start = Instant::now();
        let mut triage = PoolTriage::new(start);
        let classes = [class("long", ranks[0]), class("short", ranks[1])];
        let work = |c: &Class| if c.route == "long" { ms(12) } else { ms(4) };
        play(&mut triage, start, &classes, |_, c| Some(work(c)));
        for second in 1..8 {
            let at = start + SECOND * second;
            let shares = play(&mut triage, at, &classes, |n, c| (n % 4 > 1).then(|| work(c)));
            let mean = (shares[0] + shares[1]) / 2.0;
            assert!(shares[first] >= shares[1 - first], "{shares:?}");
            assert!(shares[1 - first] >= mean / 3.0, "{shares:?}");
        }
    };
    check([0, 0], 1);
    check([0, 1], 0);
    check([1, 0], 1);
}

#[test]
fn callers_with_many_routes_are_bounded_and_admitted() {
    let start = Instant::now();
    let mut triage = PoolTriage::new(start);
    play_one(&mut triage, start, 3, |_| false);
    for n in 0..1_000 {
        let class = class(&format!("r{n}"), 0);
        triage.record_demand(start + SECOND * 3, &class);
        assert!(triage.admitted_share(start + SECOND * 3, &class) >= 0.05 / 3.0);
    }
}
