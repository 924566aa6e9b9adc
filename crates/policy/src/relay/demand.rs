//! Estimates which part of the requests for a pool come to this node, without knowing the sum.
//!
//! In each round a node exchanges its estimates of the mean demand with one random peer, and both
//! move to their mean (push-pull averaging, Jelasity and others 2005). The sum over all nodes stays
//! the same while the estimates converge to the mean, at a cost for each node that does not grow
//! with the fleet. Each epoch starts anew from what the nodes measure, so that lost messages and
//! nodes that come and go have no lasting effect.

use std::time::{Duration, Instant};

use base::{hash::FastMap, id};
use rand::{Rng, RngCore};
use serde::{Deserialize, Serialize};

/// Mean interval between two rounds that a node starts.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Rounds of an epoch, besides one for each doubling of the fleet: the epoch itself spreads first,
/// then the estimates converge.
const BASE_ROUNDS: u32 = 8;
/// Exchanges in an epoch from which its result is used.
const MIN_EXCHANGES: u32 = 6;
/// Epochs for which a result is used if no other follows.
const RESULT_EPOCHS: u32 = 3;
/// Share of a limit that is divided equally, for nodes whose callers have just come.
const EQUAL_SHARE: f64 = 0.1;
/// Time constant of the measured demand.
const METER_TIME: Duration = Duration::from_secs(3);
/// Largest number of pools, and of limits, in one message; others take their turn.
pub const MAX_ITEMS: usize = 40;

/// Short stable hash of a pool's or a process's name, for messages.
pub type Key = u32;

/// Exponentially weighted rate of the requests for one pool at this node.
#[derive(Debug)]
pub struct Meter {
    per_second: f64,
    updated: Instant,
}

impl Meter {
    /// Creates a meter that has seen no requests.
    pub fn new(now: Instant) -> Meter {
        Meter { per_second: 0.0, updated: now }
    }

    /// Records a request, whether or not it can be served.
    pub fn record(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + 1.0 / METER_TIME.as_secs_f64();
        self.updated = now;
    }

    /// Returns the requests per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.per_second * (-age / METER_TIME.as_secs_f64()).exp()
    }
}

/// Rates of the requests for one pool at this node, by the rank of their routes.
#[derive(Debug, Default)]
pub struct RankedMeter {
    by_rank: Vec<(u32, Meter)>,
}

impl RankedMeter {
    /// Records a request of a route with `rank`, whether or not it can be served.
    pub fn record(&mut self, now: Instant, rank: u32) {
        match self.by_rank.iter_mut().find(|(r, _)| *r == rank) {
            Some((_, meter)) => meter.record(now),
            None => {
                let mut meter = Meter::new(now);
                meter.record(now);
                self.by_rank.push((rank, meter));
            }
        }
    }

    /// Returns the requests per second of all ranks.
    pub fn total(&self, now: Instant) -> f64 {
        self.sum(now, |_| true)
    }

    /// Returns the requests per second that are served before those of `rank`.
    pub fn before(&self, now: Instant, rank: u32) -> f64 {
        self.sum(now, |r| r < rank)
    }

    fn sum(&self, now: Instant, filter: impl Fn(u32) -> bool) -> f64 {
        let meters = self.by_rank.iter().filter(|(rank, _)| filter(*rank));
        meters.map(|(_, meter)| meter.per_second(now)).sum()
    }
}

/// Kind of an [`Exchange`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Carries the sender's estimates.
    Request,
    /// Carries by how much the estimates of the request's sender are to be raised.
    Reply,
}

/// What a node knows of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream's process.
    pub process: Key,
    /// Requests per second that it takes from all nodes together; `None` if its limit has ended.
    pub per_second: Option<f64>,
    /// Time since the newest reply that said so, in milliseconds.
    pub age_ms: u32,
}

/// Message between two nodes that average their demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Address of the sender.
    pub from: id::Node,
    /// The kind.
    pub kind: Kind,
    /// Epoch of the averages.
    pub epoch: u64,
    /// Number of nodes that the sender knows, itself included.
    pub nodes: u32,
    /// Requests per second for each pool, or their changes.
    pub demand: Vec<(Key, f32)>,
    /// What the sender knows of limits.
    pub limits: Vec<LimitReport>,
}

/// Result of an epoch.
#[derive(Debug, Clone, Copy)]
struct Completed {
    own: f64,
    mean: f64,
    at: Instant,
}

#[derive(Debug)]
struct Average {
    /// Demand at this node at the start of the epoch.
    own: f64,
    /// Estimate of the mean over all nodes.
    estimate: f64,
    completed: Option<Completed>,
}

/// Averages of the demand for each pool that has an upstream with a limit.
#[derive(Debug)]
pub struct Averages {
    epoch: u64,
    epoch_start: Instant,
    next_round: Instant,
    /// Exchanges in this epoch.
    exchanges: u32,
    /// Largest number of nodes that a peer knew in this epoch or the one before.
    peer_nodes: [usize; 2],
    pools: FastMap<Key, Average>,
    /// Item from which the next message starts.
    cursor: usize,
}

impl Averages {
    /// Creates averages without pools.
    pub fn new(now: Instant) -> Averages {
        Averages {
            epoch: 0,
            epoch_start: now,
            next_round: now,
            exchanges: 0,
            peer_nodes: [0; 2],
            pools: FastMap::default(),
            cursor: 0,
        }
    }

    /// Returns the number of nodes: `own`, which this one knows, or more if a peer knows more. A node
    /// that has just started knows few.
    pub fn nodes(&self, own: usize) -> usize {
        self.peer_nodes.into_iter().fold(own, usize::max)
    }

    /// Begins the next epoch if it is time. `demand` holds the current demand of each pool to average;
    /// others are forgotten at the next epoch.
    pub fn update(&mut self, now: Instant, nodes: usize, demand: &FastMap<Key, f64>) {
        for (key, own) in demand {
            let average = Average { own: *own, estimate: *own, completed: None };
            self.pools.entry(*key).or_insert(average);
        }
        if self.is_epoch_due(now, nodes) {
            self.begin(now, self.epoch.saturating_add(1), |key| demand.get(&key).copied());
        }
    }

    /// Returns whether [`Averages::update`] is to begin the next epoch.
    pub fn is_epoch_due(&self, now: Instant, nodes: usize) -> bool {
        now.saturating_duration_since(self.epoch_start) >= self.epoch_length(nodes)
    }

    /// Returns whether it is time for a round, and schedules the next.
    pub fn is_round_due(&mut self, now: Instant, rng: &mut dyn RngCore) -> bool {
        let is_due = !self.pools.is_empty() && now >= self.next_round;
        if is_due {
            self.next_round = now + ROUND_INTERVAL.mul_f64(0.8 + 0.4 * rng.random::<f64>());
        }
        is_due
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the estimates for a request.
    pub fn estimates(&mut self) -> Vec<(Key, f32)> {
        let mut keys: Vec<Key> = self.pools.keys().copied().collect();
        keys.sort_unstable();
        let start = if keys.is_empty() { 0 } else { self.cursor % keys.len() };
        keys.rotate_left(start);
        keys.truncate(MAX_ITEMS);
        self.cursor = start + keys.len();
        keys.into_iter().map(|key| (key, self.pools[&key].estimate as f32)).collect()
    }

    /// Moves to the mean with the sender of a request. `demand` returns the current demand for a pool
    /// at this node, `None` if it does not know the pool. Returns the changes for the reply.
    pub fn receive_request(
        &mut self,
        now: Instant,
        message: &Exchange,
        demand: impl Fn(Key) -> Option<f64>,
    ) -> Vec<(Key, f32)> {
        self.record_peer(message.nodes);
        if message.epoch > self.epoch {
            self.begin(now, message.epoch, &demand);
        }
        if message.epoch < self.epoch {
            return Vec::new();
        }
        self.exchanges += 1;
        let mut changes = Vec::new();
        for (key, estimate) in message.demand.iter().filter(|(_, e)| e.is_finite()) {
            if !self.pools.contains_key(key) {
                let Some(own) = demand(*key) else { continue };
                self.pools.insert(*key, Average { own, estimate: own, completed: None });
            }
            let Some(average) = self.pools.get_mut(key) else { continue };
            // What one node loses the other gets, whatever happens meanwhile.
            let change = ((average.estimate - f64::from(*estimate)) / 2.0) as f32;
            average.estimate -= f64::from(change);
            changes.push((*key, change));
        }
        changes
    }

    /// Applies the reply to a request of this node. `demand` is that of
    /// [`Averages::receive_request`].
    pub fn receive_reply(
        &mut self,
        now: Instant,
        message: &Exchange,
        demand: impl Fn(Key) -> Option<f64>,
    ) {
        self.record_peer(message.nodes);
        if message.epoch > self.epoch {
            self.begin(now, message.epoch, demand);
        } else if message.epoch == self.epoch {
            self.exchanges += 1;
            for (key, change) in message.demand.iter().filter(|(_, c)| c.is_finite()) {
                if let Some(average) = self.pools.get_mut(key) {
                    average.estimate += f64::from(*change);
                }
            }
        }
    }

    /// Returns the share of a limit of the pool `key` that this node may use, by its share of the
    /// demand; `None` if that is not known.
    pub fn share(&self, now: Instant, key: Key, nodes: usize) -> Option<f64> {
        let nodes = self.nodes(nodes);
        let Completed { own, mean, at } = self.pools.get(&key)?.completed?;
        let age = now.saturating_duration_since(at);
        let total = mean * nodes as f64;
        if age > self.epoch_length(nodes) * RESULT_EPOCHS || total <= f64::EPSILON {
            return None;
        }
        let by_demand = (own / total).min(1.0);
        Some((1.0 - EQUAL_SHARE) * by_demand + EQUAL_SHARE / nodes.max(1) as f64)
    }

    fn epoch_length(&self, nodes: usize) -> Duration {
        ROUND_INTERVAL * (BASE_ROUNDS + nodes.max(2).ilog2())
    }

    fn record_peer(&mut self, nodes: u32) {
        self.peer_nodes[0] = self.peer_nodes[0].max(nodes as usize);
    }

    fn begin(&mut self, now: Instant, epoch: u64, demand: impl Fn(Key) -> Option<f64>) {
        let is_complete = self.exchanges >= MIN_EXCHANGES;
        self.pools.retain(|key, average| {
            if is_complete {
                let mean = average.estimate.max(0.0);
                average.completed = Some(Completed { own: average.own, mean, at: now });
            }
            let own = demand(*key);
            average.own = own.unwrap_or_default();
            average.estimate = average.own;
            own.is_some()
        });
        self.epoch = epoch;
        self.epoch_start = now;
        self.exchanges = 0;
        self.peer_nodes = [0, self.peer_nodes[0]];
    }
}
