//! Home regions of routes.
//!
//! Guards against requests that reach an upstream, or a node, outside of the regions that they must stay in.

use std::time::{Duration, Instant};

use base::{id, unit::Revision};
use policy::{
    outcome::{Fate, Reason},
    relay::{
        node_selection::{Candidate, nodes_in_home_regions},
        pool::Pools,
        region::Regions,
        registry::{Change, Entry, Event, Registry},
        request::{Completion, Plan, RequestState},
        retry_budget::RetryBound,
        upstream::AttemptEnd,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn region(name: &str) -> id::Region {
    name.parse().expect("name")
}

/// The failure domains a and b are in the north, c is in the south; the region of d is not known.
fn regions() -> Regions {
    let pairs = [("a", "north"), ("b", "north"), ("c", "south")];
    Regions::new(pairs.map(|(domain, name)| (domain.into(), region(name))))
}

fn entry(domain: &str) -> Entry {
    Entry {
        instance: id::Instance(domain.into()),
        born_ms: 1,
        pool: "p".parse().expect("name"),
        address: "10.0.0.1:80".parse().expect("address"),
        domain: domain.into(),
        slots: 3,
        draining: false,
        cold: Duration::ZERO,
    }
}

/// A pool with an upstream in each of some failure domains, at a node in failure domain `d`.
struct Case {
    now: Instant,
    registry: Registry,
    pools: Pools,
    revision: u64,
}

impl Case {
    fn new(domains: &[&str]) -> Case {
        let now = Instant::now();
        let bound = RetryBound { ratio: 1.0, slack: 100.0, window: Duration::from_secs(10) };
        let start = now.checked_sub(Duration::from_secs(20)).expect("the machine is up for 20 s");
        let mut pools = Pools::new("d".into(), bound, start).with_regions(regions());
        pools.set_node_count(Some(1));
        let registry = Registry::new(Duration::from_secs(3));
        let mut case = Case { now, registry, pools, revision: 0 };
        domains.iter().for_each(|d| case.register(d));
        case
    }

    fn register(&mut self, domain: &str) {
        self.revision += 1;
        let revision = Revision(self.revision);
        let event = Event { key: domain.into(), revision, change: Change::Put(entry(domain)) };
        self.registry.apply(self.now, vec![event], revision);
        self.pools.sync(self.now, &self.registry);
    }

    fn request(&self, homes: &[&str]) -> RequestState {
        let plan = Plan {
            route: "search".into(),
            pools: vec!["p".parse().expect("name")],
            connection_limits: vec![10],
            min_replies: 1,
            max_attempts: 4,
            repeatable: true,
            rank: 0,
            goal: Duration::from_millis(100),
            arrived: self.now,
            deadline: self.now + Duration::from_secs(1),
        };
        RequestState::new(plan).with_home_regions(homes.iter().map(|name| region(name)).collect())
    }

    /// Sends attempts of `request` that fail one after the other. Returns the failure domains that they
    /// went to, sorted.
    fn reached(&mut self, request: &mut RequestState) -> Vec<String> {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut domains = Vec::new();
        loop {
            let due = request.due_attempts(self.now, &mut self.pools, &mut rng);
            let [attempt] = due.as_slice() else { break };
            domains.push(attempt.choice.entry.domain.to_string());
            request.record_end(0, AttemptEnd::NotSent);
        }
        domains.sort();
        domains
    }
}

#[test]
fn attempts_reach_upstreams_in_home_regions_only() {
    let check = |homes: &[&str], expected: &[&str]| {
        let mut case = Case::new(&["a", "b", "c", "d"]);
        let mut request = case.request(homes);
        assert_eq!(case.reached(&mut request), expected, "{homes:?}");
    };
    check(&["north"], &["a", "b"]);
    check(&["south"], &["c"]);
    check(&["north", "south"], &["a", "b", "c"]);
    check(&["elsewhere"], &[]);
    check(&[], &["a", "b", "c", "d"]);
}

#[test]
fn an_upstream_that_registers_between_two_attempts_is_not_reached_in_another_region() {
    let mut case = Case::new(&["a", "c"]);
    let mut request = case.request(&["south"]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = case.now;
    assert_eq!(request.due_attempts(now, &mut case.pools, &mut rng).len(), 1);
    case.register("b");
    request.record_end(0, AttemptEnd::NotSent);
    assert!(request.due_attempts(now, &mut case.pools, &mut rng).is_empty());
}

#[test]
fn a_request_without_an_upstream_in_its_home_regions_has_not_run() {
    let mut case = Case::new(&["a", "b", "d"]);
    let mut request = case.request(&["south"]);
    assert!(case.reached(&mut request).is_empty());
    let failed = Completion::Failed { fate: Fate::NotRun, reason: Reason::Unreachable };
    assert_eq!(request.completion(case.now), Some(failed));
}

#[test]
fn callers_are_sent_to_nodes_in_home_regions_or_their_own() {
    let node = |domain: &str, n: u8| Candidate {
        node: id::Node(([10, 0, 0, n], 81).into()),
        address: ([10, 0, 0, n], 80).into(),
        domain: domain.parse().expect("name"),
        capacity: 170,
    };
    let nodes = [node("a", 1), node("b", 2), node("c", 3), node("d", 4)];
    let check = |regions: Regions, homes: &[&[&str]], caller: Option<&str>, expected: &[&str]| {
        let homes: Vec<Vec<id::Region>> =
            homes.iter().map(|names| names.iter().map(|name| region(name)).collect()).collect();
        let homes: Vec<&[id::Region]> = homes.iter().map(Vec::as_slice).collect();
        let named = nodes_in_home_regions(&nodes, &regions, &homes, caller);
        let domains: Vec<&str> = named.iter().map(|c| c.domain.as_str()).collect();
        assert_eq!(domains, expected, "{homes:?} {caller:?}");
    };
    let all: &[&str] = &["a", "b", "c", "d"];
    check(regions(), &[&["north"]], Some("elsewhere"), &["a", "b"]);
    check(regions(), &[&["north"]], Some("south"), &["a", "b", "c"]);
    check(regions(), &[&["south"]], None, &["c"]);
    // The bodies of each route stay in its regions.
    check(regions(), &[&["north", "south"], &["south"]], None, &["c"]);
    check(regions(), &[&["north"], &["south"]], None, &[]);
    check(regions(), &[], Some("north"), all);
    check(Regions::default(), &[&["north"]], Some("north"), all);
}
