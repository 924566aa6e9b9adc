//! Bound on the requests from all nodes together to cold upstreams.
//!
//! Guards against a sum over nodes that crashes an upstream that has just started, against nodes that
//! have not been told that it is cold, and against cold times that no sound upstream states.

#[path = "fleet_model/cold.rs"]
mod model;

use std::time::{Duration, Instant};

use base::{
    hash::FastMap,
    id,
    unit::{Era, Position, Rate, Revision},
};
use model::{COLD, Model};
use policy::relay::{
    cold::{self, Belief, Source, Statement},
    limiter::Attempt,
    pool::{Choice, Pools},
    registry::{Change, Entry, Event, Registry},
    request::{Completion, Plan, RequestState},
    retry_budget::RetryBound,
    upstream::AttemptEnd,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FLEETS: [usize; 3] = [18, 136, 300];
const LIMITS: [f64; 4] = [2.0, 8.0, 20.0, 100.0];

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Demand of `node` if the nodes together ask `total` times a second: even, or a tenth of the nodes
/// carries nearly all.
fn demand(node: usize, nodes: usize, total: f64, even: bool) -> f64 {
    let mean = total / nodes as f64;
    match (even, node % 10) {
        (true, _) => mean,
        (false, 0) => 9.1 * mean,
        (false, _) => 0.1 * mean,
    }
}

/// Plays a random history of restarts, evacuations and coldness of a running process.
fn play_history(nodes: usize, seed: u64, is_blind: bool) -> Model {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limit = LIMITS[rng.random_range(0..LIMITS.len())];
    let mut model = Model::new(nodes, limit, seed, is_blind);
    let total = nodes as f64 * rng.random_range(1.0..4.0);
    let even = rng.random();
    let demand = |n: usize| demand(n, nodes, total, even);
    model.play(s(10), demand);
    for _ in 0..3 {
        match rng.random_range(0..4) {
            0 => {
                model.crash();
                model.play(s(1).mul_f64(rng.random_range(0.1..2.0)), demand);
                model.restart();
            }
            1 => {
                model.evacuate();
                model.play(s(3), demand);
                model.end_evacuation();
            }
            2 => model.chill(),
            _ => {
                model.crash();
                model.restart();
                model.play(s(2), demand);
                (0..nodes / 10).for_each(|n| model.restart_node(n));
            }
        }
        model.play(COLD + s(2), demand);
    }
    model
}

fn histories() -> u64 {
    let histories = std::env::var("LIMIT_HISTORIES").ok().and_then(|n| n.parse().ok());
    histories.unwrap_or(8)
}

#[test]
fn the_sum_over_nodes_stays_within_the_bound_in_random_histories() {
    for nodes in FLEETS {
        for seed in 0..histories() {
            let model = play_history(nodes, seed, false);
            println!("{nodes} nodes, seed {seed}: {} requests", model.cold_len());
            assert_eq!(model.check(), Ok(()), "seed {seed}");
        }
    }
}

#[test]
fn the_model_finds_nodes_that_do_not_notice_failed_connections() {
    for nodes in FLEETS {
        let found = (0..8).any(|seed| play_history(nodes, seed, true).check().is_err());
        assert!(found, "{nodes} nodes");
    }
}

#[test]
fn an_entirely_cold_pool_is_filled_to_most_of_what_it_takes() {
    let check = |nodes: usize, limit: f64, even: bool, least: f64| {
        let mut model = Model::new(nodes, limit, 1, false);
        let demand = |n: usize| demand(n, nodes, 20.0 * limit.max(nodes as f64 / 4.0), even);
        model.play(s(10), demand);
        model.crash();
        model.restart();
        model.play(COLD, demand);
        let used = model.cold_len() as f64 / (limit * COLD.as_secs_f64());
        println!("{nodes} nodes, {limit} a second, even {even}: {used:.2}");
        assert_eq!(model.check(), Ok(()));
        assert!(used >= least, "{nodes} nodes, {limit} a second, even {even}: {used:.2}");
    };
    for even in [true, false] {
        for nodes in FLEETS {
            check(nodes, 100.0, even, 0.5);
            check(nodes, 20.0, even, 0.3);
        }
    }
}

#[test]
fn newest_word_of_the_process_holds_and_others_last_as_long_as_the_longest() {
    let start = Instant::now();
    let at = |n: u64| start + s(n);
    let until = |belief: &Belief, now: u64| belief.until(at(now)).map(|(end, _)| end - start);
    let mut belief = Belief::new(start, s(5));
    assert_eq!(until(&belief, 0), Some(s(5)));
    assert_eq!(until(&belief, 5), None);
    // The entry follows the process, and may become longer again.
    belief.record_entry(at(1), s(9));
    assert_eq!(until(&belief, 1), Some(s(10)));
    belief.record_entry(at(2), Duration::ZERO);
    assert_eq!(until(&belief, 2), None);
    // An entry is older than a reply.
    belief.record_reply(at(3), s(4));
    belief.record_entry(at(4), Duration::ZERO);
    assert_eq!(until(&belief, 4), Some(s(7)));
    belief.presume(at(5), s(10), Source::Failure);
    assert_eq!(belief.until(at(5)), Some((at(15), Source::Failure)));
    belief.record_entry(at(6), Duration::ZERO);
    assert_eq!(until(&belief, 6), Some(s(15)), "it may have been written before the failure");
    belief.record_reply(at(7), Duration::ZERO);
    assert_eq!(until(&belief, 7), None);
    belief.record_entry(at(8), cold::MAX_TIME + s(1));
    assert_eq!(until(&belief, 8), None, "too long to be believed");
    assert_eq!(Statement::new(cold::MAX_TIME + s(1)), Statement::Malformed);
}

/// One node and a pool with an upstream in each of the failure domains a, b and c.
struct Case {
    now: Instant,
    registry: Registry,
    pools: Pools,
    revision: u64,
    rng: ChaCha8Rng,
}

impl Case {
    /// Creates a node whose part of `per_second` is nearly all. All upstreams are cold for `cold`.
    fn new(per_second: f64, cold: Duration) -> Case {
        let now = Instant::now();
        let bound = RetryBound { ratio: 0.2, slack: 100.0, window: s(10) };
        let mut case = Case {
            now,
            registry: Registry::new(s(3)),
            pools: Pools::new("a".into(), bound, now),
            revision: 0,
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        case.pools.set_node_count(Some(1));
        let limit = cold::Limit { per_second: Rate::new(per_second), time: s(8) };
        case.pools.set_cold_limits(now, &FastMap::from_iter([(pool(), limit)]));
        ["a", "b", "c"].into_iter().for_each(|domain| case.write(domain, cold));
        case
    }

    fn write(&mut self, domain: &str, cold: Duration) {
        let entry = Entry {
            instance: id::Instance(domain.into()),
            born_ms: 1,
            pool: pool(),
            address: "10.0.0.1:80".parse().expect("address"),
            domain: domain.into(),
            slots: 3,
            draining: false,
            cold,
        };
        self.change(domain, Change::Put(entry));
    }

    fn change(&mut self, key: &str, change: Change) {
        self.revision += 1;
        let event = Event { key: key.into(), revision: Revision(self.revision), change };
        let at = Position { era: Era(1), revision: Revision(self.revision) };
        self.registry.merge(self.now, vec![event], at, false).expect("the same era");
        self.pools.sync(self.now, &self.registry);
    }

    fn choose(&mut self, attempt: Attempt) -> Option<Choice> {
        self.pools.choose(self.now, &pool(), &[], attempt, 66, &mut self.rng)
    }

    /// Sends what may be sent within `time`, in small steps. Returns the failure domains.
    fn send_for(&mut self, time: Duration, attempt: Attempt) -> Vec<String> {
        let (end, mut sent) = (self.now + time, Vec::new());
        while self.now < end {
            self.now += Duration::from_millis(5);
            self.pools.update_limiters(self.now);
            while let Some(choice) = self.choose(attempt) {
                self.pools.record_sent(self.now, choice.handle);
                let end = AttemptEnd::Reply { success: true };
                self.pools.record_end(self.now, choice.handle, self.now, end);
                sent.push(choice.entry.domain.to_string());
                if !choice.limited {
                    break;
                }
            }
        }
        sent
    }
}

fn pool() -> id::Pool {
    "p".parse().expect("name")
}

#[test]
fn warm_upstreams_are_used_before_cold_ones() {
    let mut case = Case::new(10.0, Duration::ZERO);
    case.write("a", s(5));
    case.write("b", s(5));
    let sent = case.send_for(s(4), Attempt::First);
    assert!(sent.iter().all(|domain| domain == "c"), "{sent:?}");
    assert_eq!(case.pools.cold_len(), 2);
    let sent = case.send_for(s(4), Attempt::First);
    assert!(sent.iter().any(|domain| domain == "a"), "no longer cold");
    assert_eq!(case.pools.take_cold_changes().len(), 4);
}

#[test]
fn an_entirely_cold_pool_refuses_at_once_what_it_cannot_take_and_tells_when_to_return() {
    let mut case = Case::new(2.0, s(30));
    let sent = case.send_for(s(10), Attempt::First).len();
    // 1.3 a second each: with more, chance alone would exceed the bound of 8 in a second.
    assert!((36..=42).contains(&sent), "{sent} requests in 10 s, of three upstreams");
    let plan = Plan {
        route: "search".into(),
        pools: vec![pool()],
        connection_limits: vec![66],
        min_replies: 1,
        max_attempts: 2,
        repeatable: true,
        rank: 0,
        goal: s(1),
        arrived: case.now,
        deadline: case.now + s(2),
    };
    let mut state = RequestState::new(plan);
    assert!(state.admit(case.now, &mut case.pools, 0.5));
    assert!(state.due_attempts(case.now, &mut case.pools, &mut case.rng).is_empty());
    assert!(matches!(state.completion(case.now), Some(Completion::Failed { .. })));
    let end = state.rest_end(case.now, &case.pools).expect("a time to return");
    assert!(end > case.now && end < case.now + s(2));
    assert_eq!(case.pools.take_cold_withheld(), 1);
}

#[test]
fn less_urgent_attempts_leave_permits_to_first_attempts() {
    let mut case = Case::new(2.0, s(30));
    case.send_for(s(2), Attempt::First);
    while case.choose(Attempt::First).is_none() {
        case.now += Duration::from_millis(5);
    }
    assert!(case.choose(Attempt::Yielding).is_none(), "the permit has just come");
    assert!(!case.send_for(s(2), Attempt::Yielding).is_empty(), "nobody else needs them");
}

#[test]
fn an_attempt_that_was_chosen_before_the_upstream_became_cold_needs_a_permit() {
    let mut case = Case::new(2.0, Duration::ZERO);
    let choice = case.choose(Attempt::First).expect("an upstream");
    assert!(!choice.limited);
    case.now += Duration::from_millis(1);
    case.pools.record_cold(case.now, choice.handle, Statement::Left(s(5)));
    let writes = |case: &mut Case, permit| {
        case.pools.may_send(case.now, choice.handle, &choice.entry, permit)
    };
    assert!(!writes(&mut case, None), "the first permit comes later");
    let early = case.now - Duration::from_millis(1);
    assert!(!writes(&mut case, Some(early)), "no permit of this limit");
    let taken = case.now;
    assert!(writes(&mut case, Some(taken)));
    case.now += Duration::from_millis(101);
    assert!(!writes(&mut case, Some(taken)), "expired");
    assert_eq!(case.pools.take_cold_withheld(), 3);
}

#[test]
fn upstreams_are_presumed_cold_after_failed_connections_and_evacuations() {
    let mut case = Case::new(2.0, Duration::ZERO);
    case.change("order", Change::Evacuated("c".into()));
    case.change("order", Change::Removed);
    let sources = |case: &mut Case| {
        let changes = case.pools.take_cold_changes().into_iter();
        changes.filter_map(|c| Some((c.instance.to_string(), c.cold?))).collect::<Vec<_>>()
    };
    assert_eq!(sources(&mut case), [("c".to_owned(), (s(8), Source::Return))]);
    let entry = case.choose(Attempt::First).expect("an upstream").entry;
    case.pools.record_connection_failure(case.now, &entry);
    let expected = (entry.instance.to_string(), (s(8), Source::Failure));
    assert_eq!(sources(&mut case), [expected]);
    case.now += s(8);
    case.pools.update_limiters(case.now);
    assert_eq!(case.pools.cold_len(), 0);
}

#[test]
fn without_a_limit_nothing_is_presumed_exchanged_or_withheld() {
    let mut case = Case::new(0.0, s(5));
    let entry = case.choose(Attempt::First).expect("an upstream").entry;
    case.pools.record_connection_failure(case.now, &entry);
    assert_eq!(case.send_for(s(1), Attempt::First).len(), 200);
    assert_eq!((case.pools.cold_len(), case.pools.take_cold_changes().len()), (0, 0));
    let own = id::Node(([10, 1, 0, 1], 1).into());
    assert_eq!(case.pools.exchange(case.now, own, &mut case.rng), None);
}
