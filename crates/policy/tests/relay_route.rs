//! Routes: the longest matching prefix is used, weighted pools get their exact shares, and the
//! goal is reduced by the time that the caller has already spent.

use std::time::Duration;

use base::{hash::FastMap, unit::Generation};
use policy::relay::route::{
    RequestLimits, Route, RouteTable, Target, WeightedPool, WeightedRoundRobin,
};
use smol_str::SmolStr;

fn weighted(pools: &[(&str, f64)]) -> Vec<WeightedPool> {
    let one = |(name, weight): &(&str, f64)| WeightedPool {
        pool: name.parse().expect("name"),
        weight: *weight,
    };
    pools.iter().map(one).collect()
}

fn route(prefix: &str) -> (SmolStr, Route) {
    let route = Route {
        name: prefix.into(),
        prefix: prefix.into(),
        target: Target::SinglePool(weighted(&[("p", 1.0)])),
        repeatable: true,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        rank: 0,
        home_regions: [].into(),
    };
    ("a.example".into(), route)
}

fn table(prefixes: &[&str]) -> RouteTable {
    let limits = RequestLimits {
        head_bytes: 16_384,
        body_bytes: 262_144,
        idle_timeout: Duration::from_secs(15),
    };
    let routes = prefixes.iter().map(|p| route(p)).collect();
    RouteTable::new(Generation(1), limits, FastMap::default(), routes)
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_used() {
    let table = table(&["/a/", "/a/b/", "/c/"]);
    let check = |host: &str, path: &str, expected: Option<&str>| {
        let found = table.find(host, path).map(|r| r.name.as_str());
        assert_eq!(found, expected, "{host} {path}");
    };
    check("a.example", "/a/x", Some("/a/"));
    check("a.example", "/a/b/x", Some("/a/b/"));
    check("a.example", "/a/bx", Some("/a/"));
    check("a.example", "/c/", Some("/c/"));
    check("a.example", "/d/x", None);
    check("b.example", "/a/x", None);
}

#[test]
fn weighted_pools_get_their_shares_in_every_stretch() {
    let check = |pools: &[(&str, f64)]| {
        let pools_by_weight = weighted(pools);
        let total: f64 = pools.iter().map(|(_, w)| w).sum();
        let mut round_robin = WeightedRoundRobin::new();
        let mut counts = vec![0; pools.len()];
        for sent in 1..=300 {
            let pool = round_robin.next_pool(&"r".into(), &pools_by_weight).expect("a pool");
            let index =
                pools_by_weight.iter().position(|w| w.pool == pool).expect("a pool of the route");
            counts[index] += 1;
            for (count, (_, weight)) in counts.iter().zip(pools) {
                let due = f64::from(sent) * weight / total;
                assert!((f64::from(*count) - due).abs() <= pools.len() as f64, "{counts:?}");
            }
        }
    };
    check(&[("a", 1.0), ("b", 1.0)]);
    check(&[("a", 9.0), ("b", 1.0)]);
    check(&[("a", 0.2), ("b", 0.3), ("c", 0.5)]);
    check(&[("a", 0.0), ("b", 1.0)]);
}

#[test]
fn no_pool_is_chosen_where_none_has_a_weight() {
    let pools_by_weight = weighted(&[("a", 0.0), ("b", 0.0)]);
    assert_eq!(WeightedRoundRobin::new().next_pool(&"r".into(), &pools_by_weight), None);
}

#[test]
fn time_spent_by_the_caller_is_subtracted_from_its_goal() {
    let check = |caller_timeout_ms: u64, left_ms: u64| {
        // The timeout is 1 s, the goal 100 ms.
        let (_, route) = route("/a/");
        let left = route.remaining_goal(Duration::from_millis(caller_timeout_ms));
        assert_eq!(left, Duration::from_millis(left_ms), "caller timeout {caller_timeout_ms} ms");
    };
    check(1_000, 100);
    check(985, 85);
    check(960, 60);
    // The caller uses another timeout than its route, or the goal has passed.
    check(950, 100);
    check(200, 100);
    check(1_200, 100);
}
