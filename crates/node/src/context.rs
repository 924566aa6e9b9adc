//! State shared by all parts of a node.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use base::{
    clock::{Clock, WallClock},
    id,
};
use config::{deployment::Service, settings::Settings};
use parking_lot::Mutex;
use policy::{
    adoption::{ActiveConfig, Stamp, ValidatedConfig},
    departure, group,
    membership::{
        MAX_DEPARTURES, MAX_NOTICES, Membership, Piggyback, Record, SUSPENSION_THRESHOLD, Status,
    },
    quarantine::{self, QuarantineTable},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{heartbeat, peer::Hello};

use crate::{
    counter::Counters,
    external::{Network, Peer, Platform, Upstream},
};

/// Configurations retained for queries planned under them, the one in force included.
const CONFIG_HISTORY: usize = 4;
/// Capacity that this node announces, in thousandths of a core; fixed, because the settings do
/// not give the capacity of the VM.
const CAPACITY_MILLICORES: u32 = 1_000;

/// Clients and clock through which a node reaches everything outside of its process.
#[derive(Debug, Clone)]
pub struct External {
    /// Client for upstreams.
    pub upstream: Arc<dyn Upstream>,
    /// Client for requests to other nodes.
    pub peer: Arc<dyn Peer>,
    /// Client for the platform's service.
    pub platform: Arc<dyn Platform>,
    /// Sender of datagrams to other nodes.
    pub network: Arc<dyn Network>,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
}

/// State shared by all parts of a node.
#[derive(Debug)]
pub struct Context {
    /// Settings of the node.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: id::Incarnation,
    /// The node's own address.
    pub node: id::Node,
    /// Access to everything outside of the process.
    pub external: External,
    /// Wall-clock time, for the expiry of request ids.
    pub wall_clock: WallClock,
    /// Counters sent to statsd.
    pub counters: Counters,
    /// Switches of the leaf's schedulers.
    pub options: group::Options,
    pub(crate) active_config: Mutex<ActiveConfig>,
    /// Error of the last refused configuration, until another one is adopted.
    pub(crate) config_error: Mutex<Option<String>>,
    /// Retained configurations, the one in force first.
    configs: ArcSwap<Vec<Arc<ValidatedConfig>>>,
    pub(crate) membership: Mutex<Membership>,
    /// Records of the other nodes, updated from `membership` after each change.
    view: ArcSwap<Vec<Record>>,
    /// Version of the membership records in `view`.
    view_version: AtomicU64,
    pub(crate) quarantine: Mutex<QuarantineTable>,
    pub(crate) recent_completions: quarantine::RecentCompletions,
    pub(crate) departures: Mutex<departure::DepartureTable>,
    /// Whether `quarantine` has ever had an entry. Spares most requests its lock.
    quarantine_used: AtomicBool,
    pub(crate) active_requests: AtomicUsize,
    /// Time of the last membership tick, in milliseconds since `created_at`.
    last_tick_ms: AtomicU64,
    created_at: Instant,
    stopping: AtomicBool,
    joined: AtomicBool,
    /// Highest configuration stamp received from a serving node before joining.
    highest_peer_stamp: Mutex<Option<Stamp>>,
    rng: Mutex<ChaCha8Rng>,
}

impl Context {
    /// Creates the state of a starting node. `seed` determines all of its random choices.
    pub fn new(
        settings: Settings,
        incarnation: id::Incarnation,
        external: External,
        wall_clock: WallClock,
        seed: u64,
    ) -> Context {
        let node = id::Node(settings.peer_addr);
        let own = Record {
            node,
            incarnation,
            counter: 0,
            status: Status::Alive,
            serving: false,
            domain: settings.domain.clone(),
            callers: settings.caller_addr,
            capacity: CAPACITY_MILLICORES,
        };
        Context {
            active_config: Mutex::new(ActiveConfig::new(settings.deployment.clone())),
            config_error: Mutex::new(None),
            configs: ArcSwap::default(),
            membership: Mutex::new(Membership::new(own)),
            view: ArcSwap::default(),
            view_version: AtomicU64::new(0),
            quarantine: Mutex::new(QuarantineTable::new()),
            recent_completions: quarantine::RecentCompletions::new(),
            departures: Mutex::default(),
            quarantine_used: AtomicBool::new(false),
            active_requests: AtomicUsize::new(0),
            last_tick_ms: AtomicU64::new(0),
            created_at: external.clock.now(),
            stopping: AtomicBool::new(false),
            joined: AtomicBool::new(false),
            highest_peer_stamp: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            counters: Counters::new(),
            options: group::Options::default(),
            settings,
            incarnation,
            node,
            external,
            wall_clock,
        }
    }

    /// Replaces the switches of the leaf's schedulers, for measurements with some of them off.
    pub fn with_options(mut self, options: group::Options) -> Context {
        self.options = options;
        self
    }

    /// Returns the current instant of the monotonic clock.
    pub fn now(&self) -> Instant {
        self.external.clock.now()
    }

    /// Returns the identity of this process that requests to upstreams carry.
    pub fn sender(&self) -> wire::upstream::Sender {
        wire::upstream::Sender { node: self.node, incarnation: self.incarnation }
    }

    /// Returns the protocol version and deployment that requests to other nodes start with.
    pub fn hello(&self) -> Hello {
        Hello {
            protocol: heartbeat::PROTOCOL_VERSION,
            deployment: self.settings.deployment.clone(),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<ValidatedConfig>> {
        self.configs.load().first().cloned()
    }

    /// Returns the configuration in force once the node has joined and may serve callers.
    pub fn config_for_callers(&self) -> Option<Arc<ValidatedConfig>> {
        self.config().filter(|_| self.joined.load(Ordering::Relaxed))
    }

    pub(crate) fn mark_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Records the configuration stamp of a heartbeat from a serving node, until this node has
    /// joined.
    pub(crate) fn record_peer_stamp(&self, serving: bool, stamp: Stamp) {
        if serving && !self.joined.load(Ordering::Relaxed) {
            let mut highest = self.highest_peer_stamp.lock();
            *highest = (*highest).max(Some(stamp));
        }
    }

    pub(crate) fn highest_peer_stamp(&self) -> Option<Stamp> {
        *self.highest_peer_stamp.lock()
    }

    /// Returns the service from the newest retained configuration whose shard map for it has
    /// the generation `map`.
    pub fn service(&self, name: &id::Service, map: base::unit::Generation) -> Option<Arc<Service>> {
        let configs = self.configs.load();
        let mut services = configs.iter().filter_map(|c| c.service(name));
        services.find(|s| s.map == map).cloned()
    }

    /// Puts `config` in force, and drops the oldest beyond the history limit.
    pub(crate) fn push_config(&self, config: Arc<ValidatedConfig>) {
        self.configs.rcu(|old| {
            let retained = old.iter().take(CONFIG_HISTORY - 1).cloned();
            std::iter::once(config.clone()).chain(retained).collect::<Vec<_>>()
        });
    }

    /// Returns the current membership records of the other nodes.
    pub fn view(&self) -> Arc<Vec<Record>> {
        self.view.load_full()
    }

    /// Updates the view if the records have changed.
    ///
    /// The lock on `membership` must be held, so that views are stored in order.
    pub(crate) fn refresh_view(&self, membership: &Membership) {
        let version = membership.version();
        if self.view_version.swap(version, Ordering::AcqRel) == version {
            return;
        }
        let mut records: Vec<Record> = membership.records().cloned().collect();
        records.sort_unstable_by_key(|r| r.node);
        self.view.store(Arc::new(records));
    }

    /// Returns the state that heartbeats carry in addition to membership records.
    pub(crate) fn piggyback(&self) -> Piggyback {
        let notices = self.quarantine.lock().notices(self.now(), MAX_NOTICES);
        let departures = self.departures.lock().notices(self.now(), MAX_DEPARTURES);
        Piggyback { stamp: self.stamp(), notices, departures, ..Piggyback::default() }
    }

    /// Returns the stamp of the configuration in force, or the lowest one without a configuration.
    pub(crate) fn stamp(&self) -> Stamp {
        self.configs.load().first().map(|c| c.stamp).unwrap_or_default()
    }

    /// Returns whether requests with `fingerprint` are quarantined for crashing upstreams.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.quarantine_used() && self.quarantine.lock().is_quarantined(self.now(), fingerprint)
    }

    /// Must be called before an entry is added to the quarantine table.
    pub(crate) fn mark_quarantine_used(&self) {
        self.quarantine_used.store(true, Ordering::Relaxed);
    }

    pub(crate) fn quarantine_used(&self) -> bool {
        self.quarantine_used.load(Ordering::Relaxed)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Records the time of a membership tick.
    pub(crate) fn record_tick(&self) {
        self.last_tick_ms.store(self.age_ms(), Ordering::Relaxed);
    }

    /// Returns whether this process was probably suspended since the last membership tick: the
    /// tick is overdue by more than normal scheduling explains.
    pub(crate) fn is_tick_overdue(&self) -> bool {
        let since_tick = self.age_ms().saturating_sub(self.last_tick_ms.load(Ordering::Relaxed));
        since_tick >= SUSPENSION_THRESHOLD.as_millis() as u64
    }

    fn age_ms(&self) -> u64 {
        self.now().saturating_duration_since(self.created_at).as_millis() as u64
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::Relaxed)
    }

    /// Returns a random number from the node's generator.
    pub fn random(&self) -> u64 {
        self.rng.lock().random()
    }

    /// Returns a new generator, seeded from the node's own.
    pub(crate) fn fork_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.random())
    }
}
