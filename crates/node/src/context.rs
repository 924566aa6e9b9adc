//! State that all parts of a node share.

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
    membership::{Membership, PAUSE_THRESHOLD, Piggyback, Record},
    quarantine::{self, QuarantineTable},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{heartbeat, peer::Hello};

use crate::{
    counter::Counters,
    external::{Network, Peer, Platform, Upstream},
};

/// Configurations kept for running queries, the one in force included.
const HISTORY: usize = 4;
/// Capacity told to other nodes, in thousandths of a core: this node's settings do not say it.
const CAPACITY: u32 = 1_000;
const NOTICES: usize = policy::membership::MAX_NOTICES;
const DEPARTURES: usize = policy::membership::MAX_DEPARTURES;

/// Everything that a node reaches outside of its process.
#[derive(Debug, Clone)]
pub struct External {
    /// Upstreams.
    pub upstream: Arc<dyn Upstream>,
    /// Other nodes.
    pub peer: Arc<dyn Peer>,
    /// The platform's service.
    pub platform: Arc<dyn Platform>,
    /// Datagrams to other nodes.
    pub network: Arc<dyn Network>,
    /// Time.
    pub clock: Arc<dyn Clock>,
}

/// State that all parts of a node share.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// The process.
    pub incarnation: id::Incarnation,
    /// The node's own address.
    pub node: id::Node,
    /// What it reaches.
    pub external: External,
    /// Wall-clock time for ids.
    pub wall_clock: WallClock,
    /// Counters.
    pub counters: Counters,
    /// Mechanisms of the leaves.
    pub options: group::Options,
    pub(crate) holder: Mutex<ActiveConfig>,
    pub(crate) refused: Mutex<Option<String>>,
    /// Configurations, the one in force first.
    configs: ArcSwap<Vec<Arc<ValidatedConfig>>>,
    pub(crate) fleet: Mutex<Membership>,
    /// Members, refreshed from `fleet` after each change.
    view: ArcSwap<Vec<Record>>,
    /// Version of the records that `view` was made from.
    view_version: AtomicU64,
    pub(crate) book: Mutex<QuarantineTable>,
    pub(crate) known: quarantine::RecentCompletions,
    pub(crate) departures: Mutex<departure::DepartureTable>,
    /// Whether `book` holds anything, so that most requests need not look.
    suspicion: AtomicBool,
    pub(crate) requests: AtomicUsize,
    /// When membership last ticked, in milliseconds since `origin`.
    ticked_ms: AtomicU64,
    origin: Instant,
    stopping: AtomicBool,
    joined: AtomicBool,
    /// Highest configuration heard of from a serving node.
    heard: Mutex<Option<Stamp>>,
    rng: Mutex<ChaCha8Rng>,
}

impl Context {
    /// State of a node that has just started. `seed` decides all its random choices.
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
            status: policy::membership::Status::Alive,
            serving: false,
            domain: settings.domain.clone(),
            callers: settings.caller_addr,
            capacity: CAPACITY,
        };
        Context {
            holder: Mutex::new(ActiveConfig::new(settings.deployment.clone())),
            refused: Mutex::new(None),
            configs: ArcSwap::default(),
            fleet: Mutex::new(Membership::new(own)),
            view: ArcSwap::default(),
            view_version: AtomicU64::new(0),
            book: Mutex::new(QuarantineTable::new()),
            known: quarantine::RecentCompletions::new(),
            departures: Mutex::default(),
            suspicion: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            ticked_ms: AtomicU64::new(0),
            origin: external.clock.now(),
            stopping: AtomicBool::new(false),
            joined: AtomicBool::new(false),
            heard: Mutex::default(),
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

    /// The same with some mechanisms of the leaves switched off.
    pub fn with_options(mut self, options: group::Options) -> Context {
        self.options = options;
        self
    }

    /// The current instant.
    pub fn now(&self) -> Instant {
        self.external.clock.now()
    }

    /// This process, as upstreams are told.
    pub fn sender(&self) -> wire::upstream::Sender {
        wire::upstream::Sender { node: self.node, incarnation: self.incarnation }
    }

    /// Opening of requests to other nodes.
    pub fn hello(&self) -> Hello {
        Hello {
            protocol: heartbeat::PROTOCOL_VERSION,
            deployment: self.settings.deployment.clone(),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<ValidatedConfig>> {
        self.configs.load().first().cloned()
    }

    /// The configuration in force, once the node has joined those that serve callers.
    pub fn config_for_callers(&self) -> Option<Arc<ValidatedConfig>> {
        self.config().filter(|_| self.joined.load(Ordering::Relaxed))
    }

    pub(crate) fn join(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Records what a heartbeat says of its sender.
    pub(crate) fn hear(&self, serving: bool, stamp: Stamp) {
        if serving && !self.joined.load(Ordering::Relaxed) {
            let mut heard = self.heard.lock();
            *heard = (*heard).max(Some(stamp));
        }
    }

    pub(crate) fn heard(&self) -> Option<Stamp> {
        *self.heard.lock()
    }

    /// The service as the newest kept configuration with its map of generation `map` has it.
    pub fn service(&self, name: &id::Service, map: base::unit::Generation) -> Option<Arc<Service>> {
        let configs = self.configs.load();
        let mut found = configs.iter().filter_map(|v| v.service(name));
        found.find(|s| s.map == map).cloned()
    }

    pub(crate) fn push_config(&self, value: Arc<ValidatedConfig>) {
        self.configs.rcu(|old| {
            let kept = old.iter().take(HISTORY - 1).cloned();
            std::iter::once(value.clone()).chain(kept).collect::<Vec<_>>()
        });
    }

    /// The other nodes, as last seen.
    pub fn view(&self) -> Arc<Vec<Record>> {
        self.view.load_full()
    }

    /// Called with the lock on `fleet` held, so that views are stored in order.
    pub(crate) fn refresh_view(&self, fleet: &Membership) {
        if self.view_version.swap(fleet.version(), Ordering::AcqRel) == fleet.version() {
            return;
        }
        let mut records: Vec<Record> = fleet.records().cloned().collect();
        records.sort_unstable_by_key(|r| r.node);
        self.view.store(Arc::new(records));
    }

    /// What heartbeats carry beside membership.
    pub(crate) fn extras(&self) -> Piggyback {
        let notices = self.book.lock().notices(self.now(), NOTICES);
        let departures = self.departures.lock().notices(self.now(), DEPARTURES);
        Piggyback { stamp: self.stamp(), notices, departures, ..Piggyback::default() }
    }

    pub(crate) fn stamp(&self) -> Stamp {
        self.configs.load().first().map(|v| v.stamp).unwrap_or_default()
    }

    /// Whether requests with `fingerprint` are suspected of crashing upstreams.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.suspicion.load(Ordering::Relaxed)
            && self.book.lock().is_quarantined(self.now(), fingerprint)
    }

    pub(crate) fn raise_suspicion(&self) {
        self.suspicion.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_suspicion(&self) -> bool {
        self.suspicion.load(Ordering::Relaxed)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Records that membership ticks.
    pub(crate) fn tick(&self) {
        self.ticked_ms.store(self.age_ms(), Ordering::Relaxed);
    }

    /// Whether this process seems to have been paused and has not noticed yet.
    pub(crate) fn is_waking(&self) -> bool {
        let quiet = self.age_ms().saturating_sub(self.ticked_ms.load(Ordering::Relaxed));
        quiet >= PAUSE_THRESHOLD.as_millis() as u64
    }

    fn age_ms(&self) -> u64 {
        self.now().saturating_duration_since(self.origin).as_millis() as u64
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Requests being served.
    pub fn active_requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.rng.lock().random()
    }

    /// A generator of its own, seeded from this node's.
    pub(crate) fn fork_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.random())
    }
}
