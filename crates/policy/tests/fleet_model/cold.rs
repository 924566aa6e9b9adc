//! Model of nodes around one upstream that is sometimes cold. The nodes run the real code; each
//! learns the registry's changes after a delay of its own, and messages between nodes are lost.

use std::time::{Duration, Instant};

use base::{
    hash::FastMap,
    id,
    unit::{Rate, Revision},
};
use policy::relay::{
    cold::{self, Statement},
    demand::Exchange,
    limiter::Attempt,
    pool::Pools,
    registry::{Change, Entry, Event, Registry},
    retry_budget::RetryBound,
    upstream::AttemptEnd,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) const STEP: Duration = Duration::from_millis(20);
const UPDATE_STEPS: u64 = 5;
/// Time for which the upstream is cold.
pub(crate) const COLD: Duration = Duration::from_secs(6);
/// Longest time until a node knows a change of the registry.
const MAX_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which nodes keep idle connections.
const IDLE: Duration = Duration::from_secs(10);
const LOSS: f64 = 0.02;

struct Node {
    pools: Pools,
    registry: Registry,
    delay: Duration,
    /// When it last sent a request.
    last_sent: Option<Duration>,
    /// Whether it had no connection to the process that crashed, and has not tried since.
    is_unaware: bool,
    /// Before this time it is excused from the bound: it cannot know of the new process.
    excused_until: Duration,
}

pub(crate) struct Model {
    start: Instant,
    pub(crate) time: Duration,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    per_second: f64,
    events: Vec<(Duration, Event)>,
    born: u64,
    is_up: bool,
    cold_until: Duration,
    /// Before this time, some nodes may not have been told yet.
    untold_until: Duration,
    /// Whether nodes do not notice that connections fail: a fault that the check must find.
    is_blind: bool,
    in_flight: Vec<(usize, usize, Exchange)>,
    /// Times at which requests arrived while the upstream was cold and the nodes had been told.
    cold_arrivals: Vec<Duration>,
}

fn pool() -> id::Pool {
    "p".parse().expect("name")
}

impl Model {
    pub(crate) fn new(nodes: usize, per_second: f64, seed: u64, is_blind: bool) -> Model {
        let mut model = Model {
            start: Instant::now(),
            time: Duration::from_secs(8),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            per_second,
            events: Vec::new(),
            born: 1,
            is_up: true,
            cold_until: Duration::ZERO,
            untold_until: Duration::ZERO,
            is_blind,
            in_flight: Vec::new(),
            cold_arrivals: Vec::new(),
        };
        model.register();
        for _ in 0..nodes {
            let node = model.node(nodes, Duration::ZERO);
            model.nodes.push(node);
        }
        model
    }

    fn node(&mut self, fleet: usize, started: Duration) -> Node {
        let bound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
        let start = self.start + started;
        let seed = self.rng.random();
        let mut pools =
            Pools::new("a".into(), bound, start).with_cold_bound(cold::DEFAULT_BOUND, seed);
        let limit = cold::Limit { per_second: Rate::new(self.per_second), time: COLD };
        pools.set_cold_limits(start, &FastMap::from_iter([(pool(), limit)]));
        pools.set_node_count(Some(fleet));
        pools.set_fleet_size(fleet);
        let delay = MAX_DELAY.mul_f64(self.rng.random());
        let registry = Registry::new(Duration::from_secs(3));
        let excused_until = Duration::ZERO;
        Node { pools, registry, delay, last_sent: None, is_unaware: false, excused_until }
    }

    fn publish(&mut self, key: &str, change: Change) {
        let revision = Revision(self.events.len() as u64 + 1);
        self.events.push((self.time, Event { key: key.into(), revision, change }));
    }

    fn register(&mut self) {
        let entry = Entry {
            instance: id::Instance("a".into()),
            born_ms: self.born,
            pool: pool(),
            address: "10.0.0.1:80".parse().expect("address"),
            domain: "a".into(),
            slots: 3,
            draining: false,
            cold: self.cold_until.saturating_sub(self.time),
        };
        self.publish("a", Change::Put(entry));
    }

    /// Ends the process of the upstream. Nodes with a connection to it notice.
    pub(crate) fn crash(&mut self) {
        self.is_up = false;
        for n in 0..self.nodes.len() {
            let last_sent = self.nodes[n].last_sent.take();
            let had_connection = last_sent.is_some_and(|at| at + IDLE > self.time);
            self.nodes[n].is_unaware = !had_connection;
            if had_connection {
                self.connection_failed(n);
            }
        }
    }

    /// Starts a cold process at the same address.
    pub(crate) fn restart(&mut self) {
        self.is_up = true;
        self.born += 1;
        for node in self.nodes.iter_mut().filter(|n| n.is_unaware) {
            node.excused_until = self.time + node.delay + STEP * UPDATE_STEPS as u32 * 2;
        }
        self.become_cold();
    }

    fn become_cold(&mut self) {
        self.cold_until = self.time + COLD;
        self.register();
    }

    /// Makes the running process cold. Nodes learn it from its entry and its replies.
    pub(crate) fn chill(&mut self) {
        self.untold_until = self.time + MAX_DELAY + STEP * 2;
        self.become_cold();
    }

    pub(crate) fn evacuate(&mut self) {
        self.publish("order", Change::Evacuated("a".into()));
    }

    /// Ends the evacuation. The upstream is cold, and says so only in its replies.
    pub(crate) fn end_evacuation(&mut self) {
        self.publish("order", Change::Removed);
        self.cold_until = self.time + COLD;
    }

    pub(crate) fn restart_node(&mut self, node: usize) {
        let fleet = self.nodes.len();
        self.nodes[node] = self.node(fleet, self.time);
        self.learn(node);
    }

    /// Plays `time` in which the nodes are asked `demand(n)` times a second.
    pub(crate) fn play(&mut self, time: Duration, demand: impl Fn(usize) -> f64) {
        let end = self.time + time;
        while self.time < end {
            self.time += STEP;
            let now = self.start + self.time;
            let step = (self.time.as_millis() / STEP.as_millis()) as u64;
            for n in 0..self.nodes.len() {
                if (step + n as u64).is_multiple_of(UPDATE_STEPS) {
                    self.learn(n);
                    self.update(now, n);
                }
            }
            self.deliver(now);
            for n in 0..self.nodes.len() {
                let mut wanted = demand(n) * STEP.as_secs_f64();
                while wanted > 0.0 && self.rng.random::<f64>() < wanted {
                    self.request(now, n);
                    wanted -= 1.0;
                }
            }
        }
    }

    fn learn(&mut self, n: usize) {
        let (now, node) = (self.start + self.time, &mut self.nodes[n]);
        let known = self.events.iter().filter(|(at, _)| *at + node.delay <= self.time);
        let events: Vec<Event> = known.map(|(_, event)| event.clone()).collect();
        let until = events.last().map_or(Revision(0), |e| e.revision);
        node.registry.apply(now, events, until);
        node.registry.expire_removed(now);
        node.pools.sync(now, &node.registry);
    }

    fn update(&mut self, now: Instant, n: usize) {
        let pools = &mut self.nodes[n].pools;
        pools.update_limiters(now);
        let from = id::Node(([10, 1, 0, 1], n as u16).into());
        if let Some(message) = pools.exchange(now, from, &mut self.rng) {
            let to = self.rng.random_range(0..self.nodes.len());
            self.in_flight.push((n, to, message));
        }
    }

    fn deliver(&mut self, now: Instant) {
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            if from == to || self.rng.random::<f64>() < LOSS {
                continue;
            }
            let own = id::Node(([10, 1, 0, 1], to as u16).into());
            let pools = &mut self.nodes[to].pools;
            let (reply, _) = pools.receive_exchange(now, own, &message, &mut self.rng);
            self.in_flight.extend(reply.map(|reply| (to, from, reply)));
        }
    }

    fn connection_failed(&mut self, n: usize) {
        let now = self.start + self.time;
        let node = &mut self.nodes[n];
        let entry = node.registry.usable().next().map(|(entry, _)| entry.clone());
        if let Some(entry) = entry.filter(|_| !self.is_blind) {
            node.pools.record_connection_failure(now, &entry);
        }
    }

    fn request(&mut self, now: Instant, n: usize) {
        let pools = &mut self.nodes[n].pools;
        pools.record_demand(now, &pool(), 0);
        let Some(choice) = pools.choose(now, &pool(), &[], Attempt::First, 1_000, &mut self.rng)
        else {
            return;
        };
        pools.record_sent(now, choice.handle);
        if !self.is_up {
            pools.record_end(now, choice.handle, now, AttemptEnd::NotSent);
            self.nodes[n].is_unaware = false;
            return self.connection_failed(n);
        }
        let left = self.cold_until.saturating_sub(self.time);
        pools.record_cold(now, choice.handle, Statement::new(left));
        pools.record_end(now, choice.handle, now, AttemptEnd::Reply { success: true });
        let is_excused = self.time < self.untold_until.max(self.nodes[n].excused_until);
        if !left.is_zero() && !is_excused {
            self.cold_arrivals.push(self.time);
        }
        self.nodes[n].last_sent = Some(self.time);
    }

    /// Number of requests that arrived while the upstream was cold and the nodes had been told.
    pub(crate) fn cold_len(&self) -> usize {
        self.cold_arrivals.len()
    }

    /// Checks that no more arrived in any second of the cold time than the bound allows.
    pub(crate) fn check(&self) -> Result<(), String> {
        let bound = 1.5 * self.per_second + 5.0;
        for (i, from) in self.cold_arrivals.iter().enumerate() {
            let second = *from + Duration::from_secs(1);
            let count = self.cold_arrivals.partition_point(|at| *at < second) - i;
            if count as f64 > bound {
                let (nodes, limit) = (self.nodes.len(), self.per_second);
                return Err(format!("{nodes} nodes, {limit} a second: {count} at {from:?}"));
            }
        }
        Ok(())
    }
}
