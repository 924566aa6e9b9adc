//! Searches while upstreams are not yet registered.
//!
//! Guards against requests that are refused although all upstreams have registered, because earlier
//! ones found pools without an upstream.

use std::time::{Duration, Instant};

use base::{id, unit::Revision};
use policy::relay::{
    pool::Pools,
    registry::{Change, Entry, Event, Registry},
    request::{Plan, RequestState},
    retry_budget::RetryBound,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const POOLS: u64 = 4;
const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };

fn pool(n: u64) -> id::Pool {
    format!("p{n}").parse().expect("name")
}

fn register(registry: &mut Registry, now: Instant, n: u64) {
    let entry = Entry {
        instance: id::Instance(format!("u{n}").into()),
        born_ms: 1,
        pool: pool(n),
        address: format!("10.0.0.{}:80", n + 1).parse().expect("address"),
        domain: "a".into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    };
    let revision = Revision(n + 1);
    let event = Event { key: format!("u{n}").into(), revision, change: Change::Put(entry) };
    registry.apply(now, vec![event], revision);
}

/// Serves a search with the admission number `draw` as far as decisions go. Returns whether it is
/// sent to all pools.
fn is_sent(now: Instant, pools: &mut Pools, draw: f64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut request = RequestState::new(Plan {
        route: "search".into(),
        pools: (0..POOLS).map(pool).collect(),
        connection_limits: vec![10; POOLS as usize],
        min_replies: POOLS as usize,
        max_attempts: 2,
        repeatable: true,
        rank: 0,
        goal: Duration::from_millis(100),
        arrived: now,
        deadline: now + Duration::from_secs(1),
    });
    let sent = match request.admit(now, pools, draw) {
        true => request.due_attempts(now, pools, &mut rng).len(),
        false => 0,
    };
    request.record_samples(now, pools);
    sent == POOLS as usize
}

#[test]
fn searches_are_sent_as_soon_as_the_last_pool_has_an_upstream() {
    let start = Instant::now();
    let mut registry = Registry::new(Duration::from_secs(3));
    let mut pools = Pools::new("a".into(), BOUND, start);
    (0..POOLS - 1).for_each(|n| register(&mut registry, start, n));
    pools.sync(start, &registry);
    for at in 0..100 {
        let now = start + Duration::from_millis(at * 10);
        assert!(!is_sent(now, &mut pools, 0.5), "one pool has no upstream");
    }
    let now = start + Duration::from_secs(1);
    register(&mut registry, now, POOLS - 1);
    pools.sync(now, &registry);
    assert!(is_sent(now, &mut pools, 0.99), "all pools have an upstream");
}
