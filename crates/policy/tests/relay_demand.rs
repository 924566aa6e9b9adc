//! Division of an upstream's limit by the demand at the nodes.
//!
//! Guards against a limit that is broken, or left unused where callers are spread unevenly, and
//! against nodes that do not notice its end.

mod fleet_model;

use std::time::{Duration, Instant};

use base::{hash::FastMap, id};
use fleet_model::{Model, STEP, WINDOW};
use policy::relay::demand::{Averages, Exchange, Kind, Meter};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Demand of `node` if the nodes together ask `total` times a second, distributed by Zipf's law.
fn zipf(node: usize, nodes: usize, total: f64) -> f64 {
    let sum: f64 = (1..=nodes).map(|n| 1.0 / n as f64).sum();
    total / sum / (node + 1) as f64
}

/// Plays `seconds` with a demand of `total`, `even` or by Zipf's law.
fn play(model: &mut Model, seconds: u64, total: f64, even: bool) {
    let nodes = model.len();
    let demand = |n: usize| if even { total / nodes as f64 } else { zipf(n, nodes, total) };
    for _ in 0..seconds * 1_000 / STEP.as_millis() as u64 {
        model.step(demand);
    }
}

#[test]
fn three_times_the_limit_uses_most_of_it_and_no_more() {
    let check = |nodes: usize, limit: f64, even: bool, least: f64| {
        let mut model = Model::new(nodes, limit, 1);
        play(&mut model, 12, 3.0 * limit, even);
        let first = model.arrivals.len();
        play(&mut model, 40, 3.0 * limit, even);
        let used = (model.arrivals.len() - first) as f64 / (limit * 40.0);
        println!("{nodes} nodes, limit {limit}, even {even}: {used:.2}");
        assert_eq!(model.check(), Ok(()));
        assert!(used >= least, "{nodes} nodes, limit {limit}, even {even}: {used:.2}");
    };
    for even in [true, false] {
        check(18, 50.0, even, 0.9);
        check(18, 500.0, even, 0.9);
        check(118, 500.0, even, 0.9);
        // A permit waits for a request that a node gets less than once in its life.
        check(18, 2.0, even, 0.1);
        check(118, 50.0, even, 0.6);
        check(118, 10.0, even, 0.1);
    }
}

#[test]
fn a_burst_after_idle_time_stays_within_the_limit() {
    for (nodes, limit) in [(18, 2.0), (18, 50.0), (118, 2.0), (118, 10.0), (118, 50.0)] {
        for seed in 0..3 {
            let mut model = Model::new(nodes, limit, seed);
            play(&mut model, 8, 3.0 * limit, false);
            play(&mut model, 8, 0.1 * limit, true);
            play(&mut model, 8, 100.0 * limit, true);
            assert_eq!(model.check(), Ok(()), "seed {seed}");
        }
    }
}

#[test]
fn nodes_notice_the_end_of_a_limit_of_which_their_parts_are_small() {
    let mut model = Model::new(118, 2.0, 1);
    play(&mut model, 8, 2_000.0, true);
    model.limit = None;
    // Some node has a permit each half second; the others hear of it.
    play(&mut model, 8, 2_000.0, true);
    model.limit = Some(2.0);
    let before = model.arrivals.len();
    play(&mut model, 1, 2_000.0, true);
    assert!(model.arrivals.len() - before > 100, "all nodes had noticed the end");
}

#[test]
fn the_sum_stays_within_the_limit_in_random_histories() {
    const HISTORIES: u64 = 60;
    let histories = std::env::var("LIMIT_HISTORIES").ok().and_then(|n| n.parse().ok());
    for seed in 0..histories.unwrap_or(HISTORIES) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = [3, 8, 18, 40][rng.random_range(0..4)];
        let limit = [0.5, 2.0, 7.6, 34.0, 300.0][rng.random_range(0..5)];
        let mut model = Model::new(nodes, limit, seed);
        for _ in 0..rng.random_range(3..8) {
            match rng.random_range(0..6) {
                0 => model.restart(rng.random_range(0..nodes)),
                1 => (0..nodes / 3).for_each(|n| model.restart(n)),
                2 => model.set_cut(rng.random_range(0..nodes), true),
                3 => (0..nodes).for_each(|n| model.set_cut(n, false)),
                4 => model.limit = Some(limit * rng.random_range(0.3..3.0)),
                _ => {}
            }
            let total = limit * rng.random_range(0.2..20.0);
            play(&mut model, rng.random_range(1..6), total, rng.random());
        }
        assert_eq!(model.check(), Ok(()), "seed {seed}");
    }
}

#[test]
fn meter_follows_the_rate_of_requests() {
    let start = Instant::now();
    let mut meter = Meter::new(start);
    for n in 0..1_000 {
        meter.record(start + Duration::from_millis(20 * n));
    }
    let now = start + Duration::from_millis(20_000);
    assert!((meter.per_second(now) - 50.0).abs() < 1.0, "{}", meter.per_second(now));
    assert!(meter.per_second(now + WINDOW * 5) < 0.1);
}

#[test]
fn two_nodes_meet_at_the_mean_of_their_demand() {
    let start = Instant::now();
    let averages = |demand: f64| {
        let mut averages = Averages::new(start);
        averages.update(start, 2, &FastMap::from_iter([(1, demand)]));
        averages
    };
    let (mut left, mut right) = (averages(10.0), averages(30.0));
    let message = |kind, demand| Exchange {
        from: id::Node(([10, 0, 0, 1], 1).into()),
        kind,
        epoch: 0,
        nodes: 2,
        demand,
        limits: Vec::new(),
    };
    let request = message(Kind::Request, left.estimates());
    let changes = right.receive_request(start, &request, |_| None);
    left.receive_reply(start, &message(Kind::Reply, changes), |_| None);
    assert_eq!((left.estimates(), right.estimates()), (vec![(1, 20.0)], vec![(1, 20.0)]));
}

#[test]
fn share_by_demand_is_forgotten_when_no_peer_answers() {
    let start = Instant::now();
    let mut averages = Averages::new(start);
    let demand = FastMap::from_iter([(1, 30.0)]);
    let message = |epoch, change| Exchange {
        from: id::Node(([10, 0, 0, 1], 1).into()),
        kind: Kind::Reply,
        epoch,
        nodes: 2,
        demand: vec![(1, change)],
        limits: Vec::new(),
    };
    let mut share_at = |ms: u64, answers: bool| {
        let now = start + Duration::from_millis(ms);
        averages.update(now, 2, &demand);
        if answers {
            averages.receive_reply(now, &message(averages.epoch(), -0.1), |_| Some(30.0));
        }
        averages.share(now, 1, 2)
    };
    let known = (0..40).filter_map(|n| share_at(100 * n, true)).last().expect("an epoch ended");
    assert!((0.5..0.6).contains(&known), "half of the demand and a little more: {known}");
    assert!(share_at(5_000, false).is_some());
    let left = (0..200).filter(|n| share_at(5_000 + 100 * n, false).is_some()).count();
    assert!(left < 100, "still known after {left} times 100 ms");
}

#[test]
fn share_is_not_known_before_an_epoch_with_peers_has_ended() {
    let start = Instant::now();
    let mut averages = Averages::new(start);
    let demand = FastMap::from_iter([(1, 10.0)]);
    for n in 0..100 {
        let now = start + Duration::from_millis(100 * n);
        averages.update(now, 18, &demand);
        assert_eq!(averages.share(now, 1, 18), None, "after {n} updates");
    }
}
