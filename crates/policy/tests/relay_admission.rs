//! Estimate of the share of requests that a pool can serve.
//!
//! Guards against an estimate that keeps requests from healthy or recovered pools, and against one
//! that sends short pools more than they can serve.

use std::time::{Duration, Instant};

use policy::relay::admission::{PoolAdmission, Sample};

const SECOND: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Plays one second with 50 requests. The pool gets the admitted share of them and replies to
/// those for which `serves` returns true. Returns the admitted share at the end.
fn play(admission: &mut PoolAdmission, start: Instant, mut serves: impl FnMut(u32) -> bool) -> f64 {
    for n in 0..50 {
        let now = start + ms(20) * n;
        // Random numbers of the requests, evenly distributed and out of order.
        let draw = f64::from(n * 7 % 50) / 50.0;
        let sample = match draw < admission.admitted_share(now) {
            true if serves(n) => Sample::Served,
            true => Sample::Failed,
            false => Sample::Refused,
        };
        admission.record(now, sample);
    }
    admission.admitted_share(start + ms(20) * 49)
}

#[test]
fn a_pool_gets_the_requests_that_it_serves_and_a_few_more() {
    let check = |serves: fn(u32) -> bool, least: f64, most: f64| {
        let start = Instant::now();
        let mut admission = PoolAdmission::new(start);
        for second in 0..5 {
            play(&mut admission, start + SECOND * second, serves);
        }
        let share = play(&mut admission, start + SECOND * 5, serves);
        assert!(
            (least..=most).contains(&share),
            "admitted share {share} is not from {least} to {most}"
        );
    };
    check(|_| true, 1.0, 1.0);
    // One failure in ten is not a shortage.
    check(|n| n % 10 != 0, 1.0, 1.0);
    // Nor is a pause of an upstream.
    check(|n| !(20..28).contains(&n), 1.0, 1.0);
    check(|_| false, 0.05, 0.05);
}

#[test]
fn requests_beyond_a_pools_capacity_are_refused() {
    let start = Instant::now();
    let mut admission = PoolAdmission::new(start);
    let mut share = 1.0;
    for second in 0..6 {
        // The pool serves the first 15 of the 50 requests of each second.
        let mut left = 15;
        share = play(&mut admission, start + SECOND * second, |_| {
            left -= 1;
            left >= 0
        });
    }
    assert!((0.3..=0.65).contains(&share), "admitted share {share}");
}

#[test]
fn a_recovered_pool_gets_all_requests_within_seconds() {
    let start = Instant::now();
    let mut admission = PoolAdmission::new(start);
    for second in 0..3 {
        play(&mut admission, start + SECOND * second, |_| false);
    }
    let mut share = 0.0;
    for second in 3..9 {
        share = play(&mut admission, start + SECOND * second, |_| true);
    }
    assert_eq!(share, 1.0);
}

#[test]
fn a_node_that_starts_during_a_pause_soon_admits_all_requests() {
    let start = Instant::now();
    let mut admission = PoolAdmission::new(start);
    play(&mut admission, start, |n| n >= 8);
    play(&mut admission, start + SECOND, |_| true);
    assert_eq!(play(&mut admission, start + SECOND * 2, |_| true), 1.0);
}

#[test]
fn few_or_old_samples_do_not_restrict_admission() {
    let start = Instant::now();
    let mut admission = PoolAdmission::new(start);
    for _ in 0..5 {
        admission.record(start, Sample::Failed);
    }
    assert_eq!(admission.admitted_share(start), 1.0);
    play(&mut admission, start, |_| false);
    assert_eq!(admission.admitted_share(start + SECOND * 3), 1.0);
}
