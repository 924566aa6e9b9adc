//! Requests of several ranks that compete for the limits of a pool's upstreams.
//!
//! Guards against urgent requests that are refused while less urgent ones are served, and against
//! limits that are left unused for that.

use std::time::{Duration, Instant};

use base::{
    id,
    unit::{Rate, Revision},
};
use policy::relay::{
    limiter::Attempt,
    notice::Limit,
    pool::Pools,
    registry::{Change, Entry, Event, Registry},
    request::{Plan, RequestState},
    retry_budget::RetryBound,
    upstream::AttemptEnd,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(60);
const POOLS: usize = 4;
const UPSTREAMS: usize = 2;

fn pool(n: usize) -> id::Pool {
    format!("p{n}").parse().expect("name")
}

/// One node with pools of upstreams that all state `limit`, of which its part is nearly all.
fn pools(now: Instant, limit: f64) -> Pools {
    let bound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
    let mut pools = Pools::new("a".into(), bound, now);
    let mut registry = Registry::new(Duration::from_secs(3));
    let mut events = Vec::new();
    for n in 0..POOLS * UPSTREAMS {
        let entry = Entry {
            instance: id::Instance(format!("u{n}").into()),
            born_ms: 1,
            pool: pool(n / UPSTREAMS),
            address: format!("10.0.0.{n}:80").parse().expect("address"),
            domain: "a".into(),
            slots: 3,
            draining: false,
            cold: Duration::ZERO,
        };
        let (revision, change) = (Revision(n as u64 + 1), Change::Put(entry));
        events.push(Event { key: format!("u{n}").into(), revision, change });
    }
    registry.apply(now, events, Revision(100));
    pools.sync(now, &registry);
    pools.set_node_count(Some(1));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for n in 0..POOLS {
        let mut tried = Vec::new();
        for _ in 0..UPSTREAMS {
            let choice = pools
                .choose(now, &pool(n), &tried, Attempt::First, 100, &mut rng)
                .expect("an upstream");
            pools.record_limit(now, choice.handle, Limit::Rate(Rate::new(limit)), rng.random());
            tried.push(choice.handle);
        }
    }
    pools
}

/// Plays requests to `width` pools, `demand` a second for each rank. Returns the requests a second of
/// each rank that were served.
fn play(limit: f64, width: usize, demand: &[f64]) -> Vec<f64> {
    let start = Instant::now();
    let mut pools = pools(start, limit);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut served = vec![0; demand.len()];
    let mut time = Duration::ZERO;
    while time < LENGTH {
        time += STEP;
        let now = start + time;
        for (rank, per_second) in demand.iter().enumerate() {
            if rng.random::<f64>() >= per_second * STEP.as_secs_f64() {
                continue;
            }
            let mut state = RequestState::new(Plan {
                route: "r".into(),
                pools: (0..width).map(pool).collect(),
                connection_limits: vec![100; width],
                min_replies: width.div_ceil(2),
                max_attempts: 2,
                repeatable: true,
                rank: rank as u32,
                goal: Duration::from_millis(100),
                arrived: now,
                deadline: now + Duration::from_secs(1),
            });
            if state.admit(now, &mut pools, rng.random()) {
                for attempt in state.due_attempts(now, &mut pools, &mut rng) {
                    let end = AttemptEnd::Reply { success: true };
                    state.record_end(attempt.pool_index, end);
                    pools.record_end(now, attempt.choice.handle, now, end);
                }
            }
            state.record_samples(now, &mut pools);
            served[rank] += usize::from(state.replied() >= width.div_ceil(2));
        }
    }
    served.into_iter().map(|n| n as f64 / LENGTH.as_secs_f64()).collect()
}

#[test]
fn urgent_requests_go_first_within_the_limits_of_a_pool() {
    for width in [1, POOLS] {
        // Two upstreams with 10 a second each, nearly all for this node.
        let served = play(10.0, width, &[12.0, 60.0]);
        assert!(served[0] >= 0.9 * 12.0, "{width} pools: {served:?}");
        assert!(served[1] >= 3.0, "{width} pools, what is left: {served:?}");
        assert!(served.iter().sum::<f64>() >= 0.85 * 19.0, "{width} pools: {served:?}");
    }
}

#[test]
fn less_urgent_requests_use_all_that_urgent_ones_do_not_want() {
    for width in [1, POOLS] {
        let served = play(10.0, width, &[0.0, 60.0]);
        assert!(served[1] >= 0.9 * 19.0, "{width} pools: {served:?}");
        let served = play(10.0, width, &[2.0, 10.0]);
        assert!(served[0] >= 1.9 * 0.9 && served[1] >= 9.0, "{width} pools: {served:?}");
    }
}
