//! State of a node, shared by its tasks.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use base::{
    clock::{Clock, WallClock},
    hash::FastMap,
    id,
    unit::Generation,
};
use config::relay::Settings;
use parking_lot::Mutex;
use policy::{
    membership::{Membership, Record},
    relay::{
        completed::CompletedRequests,
        crash_quarantine,
        crash_suspects::Arrival,
        isolation::{Belief, Isolation},
        limiter::Bound,
        node_selection::Candidate,
        pool::Pools,
        reachability::Reachability,
        region::Regions,
        registry::Registry,
        retry_budget::RetryBound,
        route::{RouteTable, WeightedRoundRobin},
    },
};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::{
    connection, crash,
    crash_watch::SuspectedUpstreams,
    interface::{Codec, PlatformSource, PublishedConfig},
    isolation,
    log_limiter::LogLimiter,
    memory::MemoryBudget,
    metrics::Metrics,
};

/// Renewals of an entry within which the platform has removed it if its process has ended: it waits
/// for three, and one more is for its delays.
const LAPSE_RENEWALS: u32 = 4;

/// Input for the address lists that callers look up.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    /// Nodes that serve.
    pub(crate) candidates: Vec<Candidate>,
    /// Number of pools with an upstream, by failure domain.
    pub(crate) coverage: FastMap<SmolStr, usize>,
}

/// State of a node.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Codec for the headers of callers' and upstreams' messages.
    pub codec: Arc<dyn Codec>,
    /// Client of the platform's service.
    pub platform: Arc<dyn PlatformSource>,
    /// Metrics.
    pub metrics: Metrics,
    pub(crate) log_limiter: LogLimiter,
    clock: Arc<dyn Clock>,
    wall_clock: WallClock,
    rng: Mutex<ChaCha8Rng>,
    /// Routes of the configuration in force.
    pub(crate) route_table: ArcSwapOption<RouteTable>,
    /// Configuration in force, as published.
    pub(crate) published_config: ArcSwapOption<PublishedConfig>,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) pools: Mutex<Pools>,
    /// Regions of failure domains.
    pub(crate) regions: Regions,
    pub(crate) round_robin: Mutex<WeightedRoundRobin>,
    pub(crate) crash_quarantine: Mutex<crash_quarantine::CrashQuarantine>,
    /// Requests that upstreams have lately run without a crash.
    pub(crate) completed: Mutex<CompletedRequests>,
    pub(crate) connections: connection::ConnectionPools,
    pub(crate) suspected_upstreams: SuspectedUpstreams,
    /// When an upstream last replied to this node.
    pub(crate) last_reply: Mutex<Option<Instant>>,
    /// Crash reports that the last message had no room for.
    pub(crate) reports_left_out: AtomicUsize,
    /// When to fetch crash reports from a peer.
    pub(crate) report_fetches: Mutex<crash::FetchSchedule>,
    /// Whether this node is cut off from the upstreams.
    pub(crate) isolation: Mutex<Isolation>,
    /// Which nodes reach upstreams.
    pub(crate) reachability: Mutex<Reachability>,
    /// Copy of what `isolation` believes, so that requests need no lock.
    pub(crate) belief: isolation::SharedBelief,
    /// Idle connections to peers that serve requests for this node.
    pub(crate) relay_connections: isolation::RelayConnections,
    pub(crate) membership: Mutex<Membership>,
    /// Records of the other nodes, sorted by node: a snapshot of `membership`.
    pub(crate) peers: ArcSwap<Vec<Record>>,
    /// Membership version that `peers` was taken from.
    pub(crate) peers_version: AtomicUsize,
    /// Whether all registered upstreams have been read once, from the platform or a peer.
    pub(crate) registry_loaded: AtomicBool,
    /// Whether a planned stop has begun.
    pub(crate) draining: AtomicBool,
    /// When a planned stop answers the requests that still run.
    pub(crate) stop_at: Mutex<Option<Instant>>,
    /// Whether a planned stop no longer takes requests.
    pub(crate) refusing: AtomicBool,
    /// Ends the requests that still run at the end of a planned stop.
    pub(crate) end_requests: CancellationToken,
    /// Requests in flight.
    pub(crate) in_flight: AtomicUsize,
    /// Bounds the memory for bodies of requests and replies.
    pub(crate) body_memory: MemoryBudget,
    /// Bounds the answered requests that still have attempts in flight.
    pub(crate) detached_requests: Arc<Semaphore>,
    /// Time of the newest platform response that this node's data includes, from its own calls or
    /// from peers.
    pub(crate) platform_data_time: Mutex<Option<Instant>>,
    /// Input for the address lists that callers look up.
    pub(crate) directory: ArcSwap<Directory>,
    /// Whether address lists may name this node.
    pub(crate) preferred: AtomicBool,
    /// When the process started.
    pub(crate) started_at: Instant,
    /// Socket for heartbeats, once [`crate::membership::run`] has started.
    pub(crate) heartbeat_socket: ArcSwapOption<tokio::net::UdpSocket>,
    /// Whether a request for a peer's updates is in flight.
    pub(crate) catching_up: AtomicBool,
    /// Interrupts the current watch of the platform, so that a new one starts at once.
    pub(crate) restart_watch: Notify,
    /// Last era in which a peer was asked for its exceptions from the platform's listing.
    pub(crate) exceptions_era: AtomicU64,
}

impl Node {
    /// Creates a node without configuration, upstreams or peers. `seed` determines its random
    /// choices; `incarnation` distinguishes it from earlier processes at its address.
    pub fn new(
        settings: Settings,
        codec: Arc<dyn Codec>,
        platform: Arc<dyn PlatformSource>,
        clock: Arc<dyn Clock>,
        incarnation: id::Incarnation,
        seed: u64,
    ) -> Node {
        let now = clock.now();
        let bound = retry_bound(&settings);
        let domain = SmolStr::new(settings.domain.as_str());
        let region_of = |(d, r): (&id::Domain, &id::Region)| (SmolStr::new(d.as_str()), r.clone());
        let regions = Regions::new(settings.regions.iter().map(region_of));
        let own = Record {
            node: id::Node(settings.advertised_addr),
            incarnation,
            counter: 0,
            status: policy::membership::Status::Alive,
            serving: false,
            domain: settings.domain.clone(),
            callers: settings.caller_addr,
            capacity: settings.capacity_millicores,
        };
        let mut membership = Membership::new(own);
        membership.set_candidates(seeds(&settings));
        Node {
            codec,
            platform,
            metrics: Metrics::new(),
            log_limiter: LogLimiter::new(settings.log_rate, now),
            wall_clock: WallClock::new(clock.clone()),
            clock,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            route_table: ArcSwapOption::empty(),
            published_config: ArcSwapOption::empty(),
            registry: Mutex::new(
                Registry::new(settings.drain_limit)
                    .with_lapse(settings.renewal_interval * LAPSE_RENEWALS),
            ),
            pools: Mutex::new(
                Pools::new(domain, bound, now)
                    .with_cold_bound(Bound::cold(settings.cold_excess, settings.cold_slack), seed)
                    .with_regions(regions.clone()),
            ),
            regions,
            round_robin: Mutex::new(WeightedRoundRobin::new()),
            crash_quarantine: Mutex::default(),
            completed: Mutex::new(CompletedRequests::new(now)),
            connections: connection::ConnectionPools::new(),
            suspected_upstreams: SuspectedUpstreams::default(),
            last_reply: Mutex::default(),
            reports_left_out: AtomicUsize::new(0),
            report_fetches: Mutex::new(crash::FetchSchedule::new(now)),
            isolation: Mutex::new(Isolation::new(now)),
            reachability: Mutex::new(Reachability::new(now, id::Node(settings.advertised_addr))),
            belief: isolation::SharedBelief::default(),
            relay_connections: isolation::RelayConnections::default(),
            membership: Mutex::new(membership),
            peers: ArcSwap::default(),
            peers_version: AtomicUsize::new(usize::MAX),
            registry_loaded: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            stop_at: Mutex::default(),
            refusing: AtomicBool::new(false),
            end_requests: CancellationToken::new(),
            in_flight: AtomicUsize::new(0),
            body_memory: MemoryBudget::new(settings.max_buffered_bytes),
            detached_requests: Arc::new(Semaphore::new(settings.max_requests)),
            platform_data_time: Mutex::default(),
            directory: ArcSwap::default(),
            preferred: AtomicBool::new(true),
            started_at: now,
            heartbeat_socket: ArcSwapOption::empty(),
            catching_up: AtomicBool::new(false),
            restart_watch: Notify::new(),
            exceptions_era: AtomicU64::new(0),
            settings,
        }
    }

    /// Applies the settings that may change while the process runs: seeds, the bound on second
    /// attempts and the drain time. Returns whether any other setting differs, which needs a
    /// restart.
    pub fn apply_settings(&self, settings: &Settings) -> bool {
        self.membership.lock().set_candidates(seeds(settings));
        self.pools.lock().set_retry_bound(retry_bound(settings));
        self.registry.lock().set_drain(settings.drain_limit);
        let applied = Settings {
            seeds: settings.seeds.clone(),
            second_attempt_ratio: settings.second_attempt_ratio,
            second_attempt_slack: settings.second_attempt_slack,
            drain_limit: settings.drain_limit,
            ..self.settings.clone()
        };
        applied != *settings
    }

    /// Logs the counts of log lines that were dropped and not reported yet, before the process
    /// ends.
    pub fn log_dropped_lines(&self) {
        self.log_limiter.finish();
    }

    /// Returns the current time of a clock that includes suspensions.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the arrival, at `now`, of the request with `fingerprint`.
    pub(crate) fn new_arrival(&self, now: Instant, fingerprint: u64) -> Arrival {
        let is_suspected = self.crash_quarantine.lock().is_suspected(now, fingerprint);
        if is_suspected || !self.completed.lock().contains(now, fingerprint) {
            return Arrival::new(self.random() as u32);
        }
        let unix = Duration::from_millis(self.wall_clock.unix_ms());
        Arrival::of_proven(fingerprint, unix)
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        self.rng.lock().next_u64()
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn chance(&self) -> f64 {
        self.with_rng(|rng| rng.random())
    }

    pub(crate) fn with_rng<T>(&self, f: impl FnOnce(&mut dyn RngCore) -> T) -> T {
        f(&mut *self.rng.lock())
    }

    /// Returns the routes of the configuration in force, if there is one.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.route_table.load_full()
    }

    /// Returns the age of the platform data: the time since the newest platform response that this
    /// node's data includes, from its own calls or from peers. `None` without one.
    pub fn platform_data_age(&self) -> Option<Duration> {
        let data_time = *self.platform_data_time.lock();
        data_time.map(|at| self.now().saturating_duration_since(at))
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> Vec<u8> {
        let metrics = &self.metrics;
        metrics.requests_in_flight.set(self.in_flight.load(Ordering::Relaxed) as i64);
        metrics.held_bytes.set(self.body_memory.reserved_bytes() as i64);
        metrics.blocked_connections.set(self.body_memory.blocked_connections() as i64);
        metrics.connections.set(self.connections.len() as i64);
        metrics.generation.set(self.generation().0 as i64);
        let position = self.registry.lock().position();
        metrics.revision.set(position.revision.0 as i64);
        metrics.era.set(position.era.0 as i64);
        metrics
            .platform_data_age_ms
            .set(self.platform_data_age().map_or(-1, |age| age.as_millis() as i64));
        metrics.upstreams.set(self.pools.lock().len() as i64);
        let peers = self.peers.load();
        let alive = peers.iter().filter(|r| r.status == policy::membership::Status::Alive);
        metrics.nodes.set(alive.count() as i64 + 1);
        metrics.text()
    }

    /// Returns the generation of the configuration in force, or the lowest one if there is none.
    pub fn generation(&self) -> Generation {
        self.route_table.load().as_ref().map(|t| t.generation).unwrap_or_default()
    }

    /// Returns whether address lists may name the node: it has a configuration and the
    /// registered upstreams, is not cut off from them, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let loaded =
            self.registry_loaded.load(Ordering::Relaxed) && self.route_table.load().is_some();
        let isolated = self.belief.get() == Belief::Isolated;
        loaded && !isolated && !self.draining.load(Ordering::Relaxed)
    }

    /// Begins a planned stop: address lists no longer name the node, and requests are answered within
    /// `time`.
    pub fn start_draining(&self, time: Duration) {
        *self.stop_at.lock() = Some(self.now() + time);
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Refuses requests that arrive from now on, as not run.
    pub fn refuse_requests(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    /// Answers the requests that still run.
    pub fn end_requests(&self) {
        self.end_requests.cancel();
    }

    /// Returns the time by which a request with `deadline` must have been answered.
    pub(crate) fn answer_by(&self, deadline: Instant) -> Instant {
        (*self.stop_at.lock()).map_or(deadline, |at| deadline.min(at))
    }

    /// Returns whether address lists may name this node; true until other nodes are known.
    pub fn is_preferred(&self) -> bool {
        self.preferred.load(Ordering::Relaxed)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

fn retry_bound(settings: &Settings) -> RetryBound {
    RetryBound {
        ratio: settings.second_attempt_ratio,
        slack: settings.second_attempt_slack,
        window: settings.second_attempt_window,
    }
}

/// Returns the nodes to contact for the membership. All nodes use the same port for their peers.
fn seeds(settings: &Settings) -> Vec<id::Node> {
    let port = settings.advertised_addr.port();
    settings.seeds.iter().map(|s| id::Node(SocketAddr::new(s.ip(), port))).collect()
}
