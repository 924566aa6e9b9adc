//! Model of nodes that share one upstream with a limit. The nodes run the real code; messages
//! between them are lost and cut.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::{
    id,
    unit::{Rate, Revision},
};
use policy::relay::{
    demand::Exchange,
    limiter::Attempt,
    notice::Limit,
    pool::Pools,
    registry::{Change, Entry, Event, Registry},
    retry_budget::RetryBound,
    upstream::AttemptEnd,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two steps.
pub(crate) const STEP: Duration = Duration::from_millis(20);
/// Steps between two updates of a node.
const UPDATE_STEPS: u64 = 5;
/// Window of the bound.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);
/// Share of messages that are lost.
const LOSS: f64 = 0.02;

struct Node {
    pools: Pools,
    /// Before this time it is excused from the bound, as it has restarted or was cut off.
    excused_until: Duration,
    is_cut: bool,
}

/// Nodes around one upstream.
pub(crate) struct Model {
    start: Instant,
    pub(crate) time: Duration,
    step: u64,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    pub(crate) limit: Option<f64>,
    /// When the upstream first stated its limit.
    stated_at: Option<Duration>,
    in_flight: VecDeque<(usize, Exchange)>,
    /// Requests that the upstream got: when, and the limit that it had stated.
    pub(crate) arrivals: Vec<(Duration, f64)>,
}

fn entry() -> Entry {
    Entry {
        instance: id::Instance("a".into()),
        born_ms: 1,
        pool: pool(),
        address: "10.0.0.1:80".parse().expect("address"),
        domain: "a".into(),
        slots: 3,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn pool() -> id::Pool {
    "p".parse().expect("name")
}

fn address(node: usize) -> id::Node {
    id::Node(([10, 1, (node / 250) as u8, (node % 250) as u8], 7100).into())
}

impl Model {
    pub(crate) fn new(nodes: usize, limit: f64, seed: u64) -> Model {
        let start = Instant::now();
        let mut model = Model {
            start,
            time: Duration::ZERO,
            step: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            limit: Some(limit),
            stated_at: None,
            in_flight: VecDeque::new(),
            arrivals: Vec::new(),
        };
        model.nodes = (0..nodes).map(|_| model.node(nodes)).collect();
        model.nodes.iter_mut().for_each(|n| n.excused_until = Duration::ZERO);
        // The processes are older than the model.
        model.time = WINDOW * 2;
        model
    }

    fn node(&self, fleet: usize) -> Node {
        let now = self.start + self.time;
        let bound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
        let mut pools = Pools::new("a".into(), bound, now);
        let mut registry = Registry::new(Duration::from_secs(3));
        let change = Change::Put(entry());
        let event = Event { key: "a".into(), revision: Revision(1), change };
        registry.apply(now, vec![event], Revision(1));
        pools.sync(now, &registry);
        pools.set_node_count(Some(fleet));
        pools.set_fleet_size(fleet);
        Node { pools, excused_until: self.time + WINDOW, is_cut: false }
    }

    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Starts `node` anew. It knows few of the others at first.
    pub(crate) fn restart(&mut self, node: usize) {
        let known = self.rng.random_range(2..=self.nodes.len().max(2));
        self.nodes[node] = self.node(known);
    }

    /// Cuts `node` off from the others, or ends that.
    pub(crate) fn set_cut(&mut self, node: usize, is_cut: bool) {
        self.nodes[node].is_cut = is_cut;
        self.nodes[node].excused_until = self.time + WINDOW;
    }

    /// Plays one step in which node `n` is asked `demand(n)` times a second.
    pub(crate) fn step(&mut self, demand: impl Fn(usize) -> f64) {
        self.time += STEP;
        self.step += 1;
        let now = self.start + self.time;
        for n in 0..self.nodes.len() {
            if (self.step + n as u64).is_multiple_of(UPDATE_STEPS) {
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

    fn update(&mut self, now: Instant, n: usize) {
        let node = &mut self.nodes[n];
        node.pools.update_limiters(now);
        if let Some(message) = node.pools.exchange(now, address(n), &mut self.rng) {
            let to = self.rng.random_range(0..self.nodes.len());
            self.in_flight.push_back((to, message));
        }
    }

    fn deliver(&mut self, now: Instant) {
        for _ in 0..self.in_flight.len() {
            let Some((to, message)) = self.in_flight.pop_front() else { return };
            let from = (0..self.nodes.len()).find(|n| address(*n) == message.from);
            let from = from.expect("a node sent it");
            let is_lost = self.rng.random::<f64>() < LOSS;
            if is_lost || from == to || self.nodes[from].is_cut || self.nodes[to].is_cut {
                continue;
            }
            let own = address(to);
            let pools = &mut self.nodes[to].pools;
            let (reply, _) = pools.receive_exchange(now, own, &message, &mut self.rng);
            self.in_flight.extend(reply.map(|reply| (from, reply)));
        }
    }

    fn request(&mut self, now: Instant, n: usize) {
        let node = &mut self.nodes[n];
        node.pools.record_demand(now, &pool(), 0);
        let Some(choice) =
            node.pools.choose(now, &pool(), &[], Attempt::First, 1_000, &mut self.rng)
        else {
            return;
        };
        node.pools.record_sent(now, choice.handle);
        let limit = self.limit.map_or(Limit::None, |l| Limit::Rate(Rate::new(l)));
        node.pools.record_limit(now, choice.handle, limit, self.rng.random());
        node.pools.record_end(now, choice.handle, now, AttemptEnd::Reply { success: true });
        if let Some(limit) = self.limit {
            self.stated_at.get_or_insert(self.time);
            if self.time >= node.excused_until && !node.is_cut {
                self.arrivals.push((self.time, limit));
            }
        }
    }

    /// Checks that the upstream got no more in any window than one and a half times what it stated,
    /// and 5 requests, from [`WINDOW`] after it first stated it. A limit that has changed in the
    /// window, or in the second before, counts as the highest of these.
    pub(crate) fn check(&self) -> Result<(), String> {
        let Some(stated_at) = self.stated_at else { return Ok(()) };
        let second = Duration::from_secs(1);
        let first = self.arrivals.partition_point(|(at, _)| *at < stated_at + WINDOW);
        for i in first..self.arrivals.len() {
            let (from, _) = self.arrivals[i];
            let end = self.arrivals.partition_point(|(at, _)| *at < from + WINDOW);
            let before = self.arrivals.partition_point(|(at, _)| *at + second < from);
            let limit = self.arrivals[before..end].iter().map(|(_, l)| *l).fold(0.0, f64::max);
            let bound = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            if (end - i) as f64 > bound {
                let nodes = self.nodes.len();
                return Err(format!(
                    "{nodes} nodes, limit {limit}, {from:?}: {} requests",
                    end - i
                ));
            }
        }
        Ok(())
    }
}
