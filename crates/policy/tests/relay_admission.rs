//! Which share of requests a pool is expected to serve.

use std::time::{Duration, Instant};

use policy::relay::admission::{PoolAdmission, Sample};

const SECOND: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A second with 50 requests, of which the pool is asked for the share that it admits and
/// serves those that `serves` says. Returns what it admits at the end.
fn play(gate: &mut PoolAdmission, start: Instant, mut serves: impl FnMut(u32) -> bool) -> f64 {
    for n in 0..50 {
        let now = start + ms(20) * n;
        // Spreads the requests' numbers evenly and out of order.
        let draw = f64::from(n * 7 % 50) / 50.0;
        let sample = match draw < gate.admitted_share(now) {
            true if serves(n) => Sample::Served,
            true => Sample::Failed,
            false => Sample::Refused,
        };
        gate.record(now, sample);
    }
    gate.admitted_share(start + ms(20) * 49)
}

#[test]
fn a_pool_is_asked_for_what_it_serves_and_a_little_more() {
    let check = |serves: fn(u32) -> bool, least: f64, most: f64| {
        let start = Instant::now();
        let mut gate = PoolAdmission::new(start);
        for second in 0..5 {
            play(&mut gate, start + SECOND * second, serves);
        }
        let share = play(&mut gate, start + SECOND * 5, serves);
        assert!((least..=most).contains(&share), "{share}, not from {least} to {most}");
    };
    check(|_| true, 1.0, 1.0);
    // A failure in ten is no shortage.
    check(|n| n % 10 != 0, 1.0, 1.0);
    // A pause of an upstream is none either.
    check(|n| !(20..28).contains(&n), 1.0, 1.0);
    check(|_| false, 0.05, 0.05);
}

#[test]
fn what_exceeds_a_pools_capacity_is_left_out() {
    let start = Instant::now();
    let mut gate = PoolAdmission::new(start);
    let mut share = 1.0;
    for second in 0..6 {
        // It serves the first fifteen of each second's fifty.
        let mut left = 15;
        share = play(&mut gate, start + SECOND * second, |_| {
            left -= 1;
            left >= 0
        });
    }
    assert!((0.3..=0.65).contains(&share), "{share}");
}

#[test]
fn a_pool_that_serves_again_is_asked_for_everything_within_seconds() {
    let start = Instant::now();
    let mut gate = PoolAdmission::new(start);
    for second in 0..3 {
        play(&mut gate, start + SECOND * second, |_| false);
    }
    let mut share = 0.0;
    for second in 3..9 {
        share = play(&mut gate, start + SECOND * second, |_| true);
    }
    assert_eq!(share, 1.0);
}

#[test]
fn a_node_that_starts_in_a_pause_admits_everything_soon() {
    let start = Instant::now();
    let mut gate = PoolAdmission::new(start);
    play(&mut gate, start, |n| n >= 8);
    play(&mut gate, start + SECOND, |_| true);
    assert_eq!(play(&mut gate, start + SECOND * 2, |_| true), 1.0);
}

#[test]
fn nothing_is_concluded_from_a_few_requests_or_from_old_ones() {
    let start = Instant::now();
    let mut gate = PoolAdmission::new(start);
    for _ in 0..5 {
        gate.record(start, Sample::Failed);
    }
    assert_eq!(gate.admitted_share(start), 1.0);
    play(&mut gate, start, |_| false);
    assert_eq!(gate.admitted_share(start + SECOND * 3), 1.0);
}
