//! What all tasks of a node share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use base::{clock::Clock, hash::FastMap, id, unit::Generation};
use config::relay::Settings;
use parking_lot::Mutex;
use policy::{
    membership::{Membership, Record},
    relay::{
        crash_quarantine,
        node_selection::Candidate,
        pool::Pools,
        registry::Registry,
        retry_budget::RetryBound,
        route::{RouteTable, WeightedRoundRobin},
    },
};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use tokio::sync::{Notify, Semaphore};

use crate::{
    connection,
    interface::{Codec, PlatformSource, PublishedConfig},
    log_limiter::LogLimiter,
    memory::MemoryBudget,
    metrics::Metrics,
};

/// What address answers are made from.
#[derive(Debug, Default)]
pub(crate) struct Names {
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) coverage: FastMap<SmolStr, usize>,
}

/// State of one node.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// The protocol's headers.
    pub codec: Arc<dyn Codec>,
    /// The platform's service.
    pub platform: Arc<dyn PlatformSource>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Bounds of the log.
    pub(crate) journal: LogLimiter,
    clock: Arc<dyn Clock>,
    rng: Mutex<ChaCha8Rng>,
    /// Configuration in force.
    pub(crate) table: ArcSwapOption<RouteTable>,
    /// The same as published.
    pub(crate) published: ArcSwapOption<PublishedConfig>,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) pools: Mutex<Pools>,
    pub(crate) splitter: Mutex<WeightedRoundRobin>,
    pub(crate) accusations: Mutex<crash_quarantine::CrashQuarantine>,
    pub(crate) links: connection::ConnectionPools,
    pub(crate) fleet: Mutex<Membership>,
    /// Records of other nodes.
    pub(crate) view: ArcSwap<Vec<Record>>,
    pub(crate) view_version: AtomicUsize,
    /// Whether the platform has told, or a peer has, all upstreams once.
    pub(crate) informed: AtomicBool,
    pub(crate) leaving: AtomicBool,
    /// Requests being served.
    pub(crate) serving: AtomicUsize,
    /// Bounds what bodies of requests and replies hold.
    pub(crate) memory: MemoryBudget,
    /// Bounds the requests whose attempts are not needed any more and have not ended.
    pub(crate) leftovers: Arc<Semaphore>,
    /// When the platform last spoke, as far as this node knows.
    pub(crate) word: Mutex<Option<Instant>>,
    /// Nodes that callers may be told to use, and what each failure domain has.
    pub(crate) names: ArcSwap<Names>,
    /// Whether callers may be told to use this node.
    pub(crate) carrier: AtomicBool,
    /// When the process started.
    pub(crate) born: Instant,
    /// Socket for heartbeats, once it is open.
    pub(crate) outbox: ArcSwapOption<tokio::net::UdpSocket>,
    /// Whether a peer is being asked for its news.
    pub(crate) catching_up: AtomicBool,
    /// Asks the follower of the platform to look again at once.
    pub(crate) look: Notify,
}

impl Node {
    /// A node that knows nothing yet. `seed` decides its random choices; `incarnation` tells
    /// it from earlier processes on its address.
    pub fn new(
        settings: Settings,
        codec: Arc<dyn Codec>,
        platform: Arc<dyn PlatformSource>,
        clock: Arc<dyn Clock>,
        incarnation: id::Incarnation,
        seed: u64,
    ) -> Node {
        let now = clock.now();
        let bound = bound(&settings);
        let domain = SmolStr::new(settings.domain.as_str());
        let own = Record {
            node: id::Node(settings.peer_addr),
            incarnation,
            counter: 0,
            status: policy::membership::Status::Alive,
            serving: false,
            domain: settings.domain.clone(),
            callers: settings.caller_addr,
            capacity: settings.capacity_millicores,
        };
        let mut fleet = Membership::new(own);
        fleet.set_candidates(seeds(&settings));
        Node {
            codec,
            platform,
            metrics: Metrics::new(),
            journal: LogLimiter::new(settings.log_rate, now),
            clock,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            table: ArcSwapOption::empty(),
            published: ArcSwapOption::empty(),
            registry: Mutex::new(Registry::new(settings.drain_limit)),
            pools: Mutex::new(Pools::new(domain, bound, now)),
            splitter: Mutex::new(WeightedRoundRobin::new()),
            accusations: Mutex::default(),
            links: connection::ConnectionPools::new(),
            fleet: Mutex::new(fleet),
            view: ArcSwap::default(),
            view_version: AtomicUsize::new(usize::MAX),
            informed: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            serving: AtomicUsize::new(0),
            memory: MemoryBudget::new(settings.max_buffered_bytes),
            leftovers: Arc::new(Semaphore::new(settings.max_requests)),
            word: Mutex::default(),
            names: ArcSwap::default(),
            carrier: AtomicBool::new(true),
            born: now,
            outbox: ArcSwapOption::empty(),
            catching_up: AtomicBool::new(false),
            look: Notify::new(),
            settings,
        }
    }

    /// Takes over what may change while the process runs: seeds, the bound on second attempts
    /// and the drain time. Returns whether anything else differs, which needs a restart.
    pub fn apply_settings(&self, settings: &Settings) -> bool {
        self.fleet.lock().set_candidates(seeds(settings));
        self.pools.lock().set_retry_bound(bound(settings));
        self.registry.lock().set_drain(settings.drain_limit);
        let live = Settings {
            seeds: settings.seeds.clone(),
            second_attempt_ratio: settings.second_attempt_ratio,
            second_attempt_slack: settings.second_attempt_slack,
            drain_limit: settings.drain_limit,
            ..self.settings.clone()
        };
        live != *settings
    }

    /// The current instant, suspensions included.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.rng.lock().next_u64()
    }

    pub(crate) fn with_rng<T>(&self, f: impl FnOnce(&mut dyn RngCore) -> T) -> T {
        f(&mut *self.rng.lock())
    }

    /// The configuration in force.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Age of the platform's last word that this node knows of.
    pub fn platform_contact_age(&self) -> Option<Duration> {
        let word = *self.word.lock();
        word.map(|at| self.now().saturating_duration_since(at))
    }

    /// All metrics as text.
    pub fn metrics_text(&self) -> Vec<u8> {
        let metrics = &self.metrics;
        metrics.requests_in_flight.set(self.serving.load(Ordering::Relaxed) as i64);
        metrics.held_bytes.set(self.memory.reserved_bytes() as i64);
        metrics.connections.set(self.links.len() as i64);
        metrics.generation.set(self.generation().0 as i64);
        metrics.revision.set(self.registry.lock().revision().0 as i64);
        metrics
            .platform_contact_age_ms
            .set(self.platform_contact_age().map_or(-1, |age| age.as_millis() as i64));
        metrics.upstreams.set(self.pools.lock().len() as i64);
        let view = self.view.load();
        let alive = view.iter().filter(|r| r.status == policy::membership::Status::Alive);
        metrics.nodes.set(alive.count() as i64 + 1);
        metrics.text()
    }

    /// Generation of the configuration in force; the lowest without one.
    pub fn generation(&self) -> Generation {
        self.table.load().as_ref().map(|t| t.generation).unwrap_or_default()
    }

    /// Whether the node may be named to callers: it knows a configuration and the upstreams,
    /// and is not stopping.
    pub fn is_ready(&self) -> bool {
        let informed = self.informed.load(Ordering::Relaxed) && self.table.load().is_some();
        informed && !self.leaving.load(Ordering::Relaxed)
    }

    /// Starts a planned stop: the node is no longer named to callers.
    pub fn start_draining(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether callers may be told to use this node; so it is until others are known.
    pub fn is_preferred(&self) -> bool {
        self.carrier.load(Ordering::Relaxed)
    }

    /// Whether the node is stopping.
    pub fn is_draining(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

fn bound(settings: &Settings) -> RetryBound {
    RetryBound {
        ratio: settings.second_attempt_ratio,
        slack: settings.second_attempt_slack,
        window: settings.second_attempt_window,
    }
}

/// Nodes to ask for the others; all nodes use the same port for their peers.
fn seeds(settings: &Settings) -> Vec<id::Node> {
    let port = settings.peer_addr.port();
    settings.seeds.iter().map(|s| id::Node(SocketAddr::new(s.ip(), port))).collect()
}
