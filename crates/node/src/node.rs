//! Assembly of a node from its roles, its readiness, and its planned stop.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use policy::{
    address::{self, Candidate},
    home::Home,
    membership::{Record, Status},
};
use smol_str::format_smolstr;
use tokio_util::sync::CancellationToken;
use wire::{answer, caller, operator, peer};

use crate::{
    configuration, context::Context, home::AtMostOnceRunner, leaf::Leaf, membership, root::Root,
};

/// Time for an announced leave to reach every node, even if some messages are lost.
const LEAVE_PROPAGATION: Duration = Duration::from_secs(3);
/// Period at which a planned stop checks whether it may proceed.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(50);

/// A node of the query tier.
#[derive(Debug)]
pub struct Node {
    /// State shared by all parts.
    pub context: Arc<Context>,
    /// Root role.
    pub root: Arc<Root>,
    /// Leaf role.
    pub leaf: Arc<Leaf>,
    /// Runner of non-idempotent requests.
    pub runner: Arc<AtMostOnceRunner>,
    cancel: CancellationToken,
    /// Whether a configuration is being fetched from a peer.
    fetching_config: AtomicBool,
}

impl Node {
    /// Creates a node. [`Node::start`] starts its background tasks, which run until `cancel`.
    pub fn new(context: Context, cancel: CancellationToken) -> Node {
        let context = Arc::new(context);
        let leaf = Arc::new(Leaf::new(context.clone(), cancel.clone()));
        let root = Arc::new(Root::new(context.clone(), leaf.clone()));
        let runner = Arc::new(AtMostOnceRunner::new(context.clone(), root.clone()));
        Node { context, root, leaf, runner, cancel, fetching_config: AtomicBool::new(false) }
    }

    /// Starts the background tasks.
    pub fn start(self: &Arc<Node>) {
        let (context, leaf, cancel) = (&self.context, &self.leaf, &self.cancel);
        tokio::spawn(membership::run_heartbeats(context.clone(), cancel.clone()));
        tokio::spawn(membership::poll_vm_list(context.clone(), leaf.clone(), cancel.clone()));
        tokio::spawn(configuration::watch(context.clone(), leaf.clone(), cancel.clone()));
        tokio::spawn(leaf.clone().run_probes());
        tokio::spawn(membership::join(context.clone(), cancel.clone()));
    }

    /// Returns the token that ends the background tasks.
    pub fn cancel(&self) -> &CancellationToken {
        &self.cancel
    }

    /// Processes a heartbeat datagram, and fetches the sender's configuration if it is newer. At
    /// most one fetch runs at a time.
    pub fn receive_heartbeat(self: &Arc<Node>, bytes: &[u8]) {
        let sender = membership::receive_heartbeat(&self.context, &self.leaf, bytes);
        let Some(sender) = sender else { return };
        let newer = sender.stamp > self.context.stamp();
        if newer && !self.fetching_config.swap(true, Ordering::AcqRel) {
            let node = self.clone();
            tokio::spawn(async move {
                configuration::fetch_if_newer(&node.context, &node.leaf, sender.from, sender.stamp)
                    .await;
                node.fetching_config.store(false, Ordering::Release);
            });
        }
    }

    /// Returns whether the node serves callers: it has joined and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.context.config_for_callers().is_some() && !self.context.is_stopping()
    }

    /// Returns the addresses of the nodes that the caller `name` should use.
    pub fn addresses(&self, name: &str) -> caller::Addresses {
        let context = &self.context;
        let view = context.view();
        let (own, isolated) = {
            let membership = context.membership.lock();
            (membership.own().clone(), membership.is_isolated())
        };
        let nodes = advertised_nodes(&own, &view);
        let candidates: Vec<Candidate> =
            nodes.iter().map(|r| Candidate { node: r.node, domain: r.domain.clone() }).collect();
        let id_validity_ms = context.settings.id_validity.as_millis() as u64;
        let expiry_ms = context.wall_clock.unix_ms() + id_validity_ms;
        let chosen = address::choose(name, &candidates);
        let records = chosen.iter().filter_map(|c| nodes.iter().find(|r| r.node == c.node));
        let address = |r: &&Record| caller::Address {
            address: r.callers,
            domain: r.domain.clone(),
            home: format_smolstr!(
                "{}",
                Home { node: r.node, incarnation: r.incarnation, expiry_ms }
            ),
        };
        caller::Addresses {
            validity_ms: context.settings.address_validity.as_millis() as u64,
            addresses: records.map(address).collect(),
            isolated,
        }
    }

    /// Answers a search, and records its latency.
    pub async fn search(&self, call: caller::Search) -> Result<answer::Search, caller::Error> {
        let _guard = RequestGuard::new(&self.context);
        let arrival = self.context.now();
        let answer = self.root.search(call).await;
        self.context.counters.record_latency(self.context.now().saturating_duration_since(arrival));
        answer
    }

    /// Answers a non-idempotent request.
    pub async fn run(&self, call: caller::Run) -> Result<answer::Run, caller::Error> {
        let _guard = RequestGuard::new(&self.context);
        self.runner.run(call).await
    }

    /// Answers a non-idempotent request that another node forwarded to this one.
    pub async fn run_forwarded(&self, call: peer::Run) -> answer::Run {
        let _guard = RequestGuard::new(&self.context);
        self.runner.run_forwarded(call).await
    }

    /// Returns the gauges sent to statsd, with their names.
    pub fn gauges(&self) -> [(&'static str, u64); 6] {
        let context = &self.context;
        let alive = context.view().iter().filter(|r| r.status == Status::Alive).count();
        [
            ("requests", context.active_requests() as u64),
            ("lower_limit", self.root.lower_limit() as u64),
            ("ids", self.runner.remembered_ids() as u64),
            ("members.alive", alive as u64),
            ("quarantine.size", context.quarantine.lock().len() as u64),
            ("config.generation", context.stamp().generation.0),
        ]
    }

    /// Returns the node's state for operators.
    pub fn status(&self) -> operator::Status {
        let context = &self.context;
        let (own, isolated) = {
            let membership = context.membership.lock();
            (membership.own().clone(), membership.is_isolated())
        };
        operator::Status {
            deployment: context.settings.deployment.clone(),
            own,
            members: context.view().to_vec(),
            generation: context.stamp().generation,
            refused: context.config_error.lock().clone(),
            isolated,
            quarantine: context.quarantine.lock().notices(context.now(), usize::MAX),
            ids: self.runner.remembered_ids(),
            requests: context.active_requests(),
            lower_limit: self.root.lower_limit(),
            upstreams: self.leaf.upstream_status(),
            counters: context.counters.snapshot(),
        }
    }

    /// Returns the configuration in force if it is newer than `have`.
    pub fn config_newer_than(&self, have: policy::adoption::Stamp) -> Option<peer::ConfigValue> {
        let config = self.context.config().filter(|c| c.stamp > have)?;
        Some(peer::ConfigValue { stamp: config.stamp, bytes: config.bytes.clone() })
    }

    /// Returns all membership records, that of this node first.
    pub fn members(&self) -> Vec<Record> {
        let membership = self.context.membership.lock();
        std::iter::once(membership.own()).chain(membership.records()).cloned().collect()
    }

    /// First half of a planned stop: announces it, and continues to serve until no caller holds a
    /// valid address answer or request id that names this node, or until `limit` has passed.
    pub async fn leave(&self, limit: Duration) {
        let context = &self.context;
        context.begin_stop();
        membership::announce_leave(context);
        log::info!("planned stop announced");
        let started = context.now();
        let validity = context.settings.address_validity;
        let addresses_expired_at = started + LEAVE_PROPAGATION + validity;
        loop {
            let now = context.now();
            let ids_expired =
                self.runner.last_expiry_ms().is_none_or(|at| at <= context.wall_clock.unix_ms());
            if (now >= addresses_expired_at && ids_expired) || now >= started + limit {
                return;
            }
            tokio::time::sleep(STOP_POLL_PERIOD).await;
        }
    }

    /// Second half of a planned stop: waits until no request is in progress, or until `limit` has
    /// passed. Returns the number of requests still in progress.
    pub async fn drain(&self, limit: Duration) -> usize {
        let end = self.context.now() + limit;
        while self.context.active_requests() > 0 && self.context.now() < end {
            tokio::time::sleep(STOP_POLL_PERIOD).await;
        }
        self.context.active_requests()
    }
}

/// Returns the nodes whose addresses callers may get: the live ones, or the suspected ones if none
/// is live. Excludes nodes that are starting or stopping.
fn advertised_nodes<'a>(own: &'a Record, view: &'a [Record]) -> Vec<&'a Record> {
    let serving = || std::iter::once(own).chain(view).filter(|r| r.serving);
    let alive: Vec<&Record> = serving().filter(|r| r.status == Status::Alive).collect();
    if !alive.is_empty() {
        return alive;
    }
    serving().filter(|r| r.status == Status::Suspect).collect()
}

/// Counts a request as in progress until dropped.
struct RequestGuard<'a>(&'a Context);

impl RequestGuard<'_> {
    fn new(context: &Context) -> RequestGuard<'_> {
        context.active_requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard(context)
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::AcqRel);
    }
}
