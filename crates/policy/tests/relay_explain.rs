//! Explanation of where a request would go.
//!
//! Guards against an explanation that names another upstream than the one that is chosen, lacks a
//! reason, or changes what is decided afterwards.

use std::time::{Duration, Instant};

use base::{
    hash::FastMap,
    id,
    unit::{Generation, Rate, Revision},
};
use policy::relay::{
    explain::{Explanation, Reason, explain},
    limiter::Attempt,
    notice::Limit,
    pool::{Pools, UpstreamHandle},
    registry::{Change, Entry, Event, Registry},
    retry_budget::RetryBound,
    route::{RequestLimits, Route, RouteTable, Target},
    triage::{Class, Sample},
    upstream::AttemptEnd,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
/// Upstreams of each pool, with their failure domains.
const UPSTREAMS: [(&str, &str); 5] =
    [("own", "a"), ("far", "b"), ("resting", "b"), ("limited", "b"), ("gone", "c")];

/// A node in the failure domain a with two pools, p and q.
struct Case {
    now: Instant,
    pools: Pools,
    table: RouteTable,
}

fn pool(name: &str) -> id::Pool {
    name.parse().expect("name")
}

impl Case {
    fn new(min_replies: usize) -> Case {
        let now = Instant::now();
        let mut registry = Registry::new(Duration::from_secs(3));
        let put = |pool_name: &str, n: usize, (name, domain): (&str, &str)| {
            let key = format!("{pool_name}-{name}");
            let entry = Entry {
                instance: id::Instance(key.as_str().into()),
                born_ms: 1,
                pool: pool(pool_name),
                address: format!("10.0.0.{}:80", n + 1).parse().expect("address"),
                domain: domain.into(),
                slots: 3,
                draining: false,
                cold: Duration::ZERO,
            };
            Event { key: key.into(), revision: Revision(1), change: Change::Put(entry) }
        };
        let all =
            UPSTREAMS.into_iter().enumerate().flat_map(|(n, u)| [put("p", n, u), put("q", n, u)]);
        let evacuated = Change::Evacuated("c".into());
        let order = Event { key: "order".into(), revision: Revision(2), change: evacuated };
        registry.apply(now, all.chain([order]).collect(), Revision(2));
        let mut pools = Pools::new("a".into(), BOUND, now);
        pools.sync(now, &registry);
        let limits = RequestLimits {
            head_bytes: 16_384,
            body_bytes: 262_144,
            idle_timeout: Duration::from_secs(15),
        };
        let target = Target::FanOut { pools: vec![pool("p"), pool("q")], top_k: 5, min_replies };
        let route = Route {
            home_regions: Default::default(),
            name: "search".into(),
            prefix: "/s/".into(),
            target,
            repeatable: true,
            max_attempts: 2,
            timeout: Duration::from_millis(1_500),
            goal: Duration::from_millis(120),
            rank: 1,
        };
        let routes = vec![("a.example".into(), route)];
        let table = RouteTable::new(Generation(1), limits, FastMap::default(), routes);
        Case { now, pools, table }
    }

    fn explain(&mut self) -> Explanation {
        let explained = explain(self.now, &self.table, &mut self.pools, "a.example", "/s/x");
        explained.expect("a route")
    }

    /// Upstreams of the pool p in the order in which they are chosen.
    fn chosen(&self) -> Vec<(String, UpstreamHandle)> {
        let (mut rng, mut chosen) = (ChaCha8Rng::seed_from_u64(1), Vec::new());
        loop {
            let tried: Vec<UpstreamHandle> = chosen.iter().map(|(_, handle)| *handle).collect();
            let next =
                self.pools.choose(self.now, &pool("p"), &tried, Attempt::First, 66, &mut rng);
            let Some(choice) = next else { return chosen };
            chosen.push((choice.entry.instance.to_string(), choice.handle));
        }
    }
}

#[test]
fn upstreams_are_in_the_order_of_choice_with_their_reasons() {
    let mut case = Case::new(2);
    let handle = |case: &Case, name: &str| {
        case.chosen().into_iter().find(|(n, _)| n == name).expect("an upstream").1
    };
    let (own, resting, limited) =
        (handle(&case, "p-own"), handle(&case, "p-resting"), handle(&case, "p-limited"));
    case.pools.record_end(case.now, own, case.now, AttemptEnd::NotSent);
    case.pools.record_rest(case.now, resting, Duration::from_secs(5), 0.0);
    case.pools.record_limit(case.now, limited, Limit::Rate(Rate::new(0.0)), 0.5);
    let before: Vec<String> = case.chosen().into_iter().map(|(name, _)| name).collect();
    let explained = case.explain();
    assert_eq!((explained.rank, explained.goal_ms, explained.deadline_ms), (1, 120, 1_500));
    assert_eq!((explained.usable_pools, explained.admitted_share), (2, 1.0));
    let upstreams = &explained.pools[0].upstreams;
    let usable = upstreams.iter().filter(|u| u.is_usable).map(|u| u.upstream.to_string());
    assert_eq!(usable.collect::<Vec<_>>(), before);
    let reasons = |name: &str| {
        let found = upstreams.iter().find(|u| u.upstream.to_string() == name);
        found.expect("every upstream is listed").reasons.clone()
    };
    assert_eq!(reasons("p-own"), [Reason::Down]);
    assert_eq!(reasons("p-far"), [Reason::OtherDomain]);
    assert_eq!(reasons("p-gone"), [Reason::Evacuated, Reason::OtherDomain]);
    assert!(matches!(reasons("p-resting")[..], [Reason::Rests { left_ms: Some(5_000..) }, _]));
    assert!(matches!(reasons("p-limited")[..], [Reason::Limit { is_spent: true, .. }, _]));
    assert_eq!(case.explain(), explained, "an explanation changes nothing");
}

/// A pool that is short of capacity counts only if the request cannot do without it.
#[test]
fn the_admitted_share_is_that_of_the_pools_that_are_needed() {
    for (min_replies, expected) in [(1, 1.0), (2, 0.05)] {
        let mut case = Case::new(min_replies);
        let class = Class { route: "search".into(), rank: 1, goal: Duration::from_millis(120) };
        for _ in 0..50 {
            // A sample counts for the time since the one before it.
            case.now += Duration::from_millis(100);
            case.pools.record_sample(case.now, &pool("q"), &class, Sample::Missed);
        }
        assert_eq!(case.explain().admitted_share, expected, "{min_replies}");
    }
}

#[test]
fn a_request_without_a_route_has_no_explanation() {
    let mut case = Case::new(1);
    let explained = explain(case.now, &case.table, &mut case.pools, "a.example", "/other");
    assert_eq!(explained, None);
}
