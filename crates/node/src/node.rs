//! Assembly of a node from its parts.

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
    configuration, context::Context, fleet, home::AtMostOnceRunner, leaf::Leaf, root::Root,
};

/// Time for an announced leave to reach every node, even if some messages are lost.
const SPREAD: Duration = Duration::from_secs(3);
/// Time between two looks at whether a stop may proceed.
const STOP_POLL: Duration = Duration::from_millis(50);

/// A node of the query tier.
#[derive(Debug)]
pub struct Node {
    /// State that its parts share.
    pub context: Arc<Context>,
    /// Root role.
    pub root: Arc<Root>,
    /// Leaf role.
    pub leaf: Arc<Leaf>,
    /// Non-idempotent requests.
    pub runner: Arc<AtMostOnceRunner>,
    cancel: CancellationToken,
    fetching: AtomicBool,
}

impl Node {
    /// A node whose tasks run until `cancel`; they are started by [`Node::start`].
    pub fn new(context: Context, cancel: CancellationToken) -> Node {
        let context = Arc::new(context);
        let leaf = Arc::new(Leaf::new(context.clone(), cancel.clone()));
        let root = Arc::new(Root::new(context.clone(), leaf.clone()));
        let runner = Arc::new(AtMostOnceRunner::new(context.clone(), root.clone()));
        Node { context, root, leaf, runner, cancel, fetching: AtomicBool::new(false) }
    }

    /// Starts the background tasks.
    pub fn start(self: &Arc<Node>) {
        let (context, leaf, cancel) = (&self.context, &self.leaf, &self.cancel);
        tokio::spawn(fleet::run_heartbeats(context.clone(), cancel.clone()));
        tokio::spawn(fleet::poll_vm_list(context.clone(), leaf.clone(), cancel.clone()));
        tokio::spawn(configuration::watch(context.clone(), leaf.clone(), cancel.clone()));
        tokio::spawn(leaf.clone().run_probes());
        tokio::spawn(fleet::join(context.clone(), cancel.clone()));
    }

    /// Token that ends the node's tasks.
    pub fn cancel(&self) -> &CancellationToken {
        &self.cancel
    }

    /// Takes in a heartbeat datagram.
    pub fn receive_heartbeat(self: &Arc<Node>, bytes: &[u8]) {
        let Some(news) = fleet::receive_heartbeat(&self.context, &self.leaf, bytes) else { return };
        let fresh = news.stamp > self.context.stamp();
        if fresh && !self.fetching.swap(true, Ordering::AcqRel) {
            let node = self.clone();
            tokio::spawn(async move {
                configuration::fetch_if_newer(&node.context, &node.leaf, news.from, news.stamp)
                    .await;
                node.fetching.store(false, Ordering::Release);
            });
        }
    }

    /// Whether the node may be named to callers and is ready for them.
    pub fn is_ready(&self) -> bool {
        self.context.config_for_callers().is_some() && !self.context.is_stopping()
    }

    /// Addresses for the caller named `name`.
    pub fn addresses(&self, name: &str) -> caller::Addresses {
        let context = &self.context;
        let view = context.view();
        let (own, isolated) = {
            let fleet = context.fleet.lock();
            (fleet.own().clone(), fleet.is_isolated())
        };
        let nodes = nameable(&own, &view);
        let candidates: Vec<Candidate> =
            nodes.iter().map(|r| Candidate { node: r.node, domain: r.domain.clone() }).collect();
        let id_validity_ms = context.settings.id_validity.as_millis() as u64;
        let expiry_ms = context.wall_clock.unix_ms() + id_validity_ms;
        let chosen = address::choose(name, &candidates);
        let named = chosen.iter().filter_map(|c| nodes.iter().find(|r| r.node == c.node));
        let of = |r: &&Record| caller::Address {
            address: r.callers,
            domain: r.domain.clone(),
            home: format_smolstr!(
                "{}",
                Home { node: r.node, incarnation: r.incarnation, expiry_ms }
            ),
        };
        caller::Addresses {
            validity_ms: context.settings.address_validity.as_millis() as u64,
            addresses: named.map(of).collect(),
            isolated,
        }
    }

    /// Answers a search.
    pub async fn search(&self, call: caller::Search) -> Result<answer::Search, caller::Error> {
        let _serving = Serving::new(&self.context);
        let arrived = self.context.now();
        let answer = self.root.search(call).await;
        self.context.counters.record_latency(self.context.now().saturating_duration_since(arrived));
        answer
    }

    /// Answers a non-idempotent request.
    pub async fn run(&self, call: caller::Run) -> Result<answer::Run, caller::Error> {
        let _serving = Serving::new(&self.context);
        self.runner.run(call).await
    }

    /// Answers a non-idempotent request that another node passed on.
    pub async fn run_forwarded(&self, call: peer::Run) -> answer::Run {
        let _serving = Serving::new(&self.context);
        self.runner.run_forwarded(call).await
    }

    /// Gauges, by name.
    pub fn gauges(&self) -> [(&'static str, u64); 6] {
        let context = &self.context;
        let alive = context.view().iter().filter(|r| r.status == Status::Alive).count();
        [
            ("requests", context.active_requests() as u64),
            ("lower_limit", self.root.lower_limit() as u64),
            ("ids", self.runner.remembered_ids() as u64),
            ("members.alive", alive as u64),
            ("quarantine.size", context.book.lock().len() as u64),
            ("config.generation", context.stamp().generation.0),
        ]
    }

    /// State for operators.
    pub fn status(&self) -> operator::Status {
        let context = &self.context;
        let (own, isolated) = {
            let fleet = context.fleet.lock();
            (fleet.own().clone(), fleet.is_isolated())
        };
        operator::Status {
            deployment: context.settings.deployment.clone(),
            own,
            members: context.view().to_vec(),
            generation: context.stamp().generation,
            refused: context.refused.lock().clone(),
            isolated,
            quarantine: context.book.lock().notices(context.now(), usize::MAX),
            ids: self.runner.remembered_ids(),
            requests: context.active_requests(),
            lower_limit: self.root.lower_limit(),
            upstreams: self.leaf.upstream_status(),
            counters: context.counters.snapshot(),
        }
    }

    /// The configuration in force, if it is above `have`.
    pub fn config_newer_than(&self, have: policy::adoption::Stamp) -> Option<peer::ConfigValue> {
        let value = self.context.config().filter(|v| v.stamp > have)?;
        Some(peer::ConfigValue { stamp: value.stamp, bytes: value.bytes.clone() })
    }

    /// All membership records, the own one first.
    pub fn members(&self) -> Vec<Record> {
        let fleet = self.context.fleet.lock();
        std::iter::once(fleet.own()).chain(fleet.records()).cloned().collect()
    }

    /// First half of a planned stop: announces it, and serves on until no caller can hold an
    /// address answer or an id that names this node, or until `limit` has passed.
    pub async fn leave(&self, limit: Duration) {
        let context = &self.context;
        context.begin_stop();
        fleet::leave(context);
        log::info!("planned stop announced");
        let begun = context.now();
        let validity = context.settings.address_validity;
        let earliest = begun + SPREAD + validity;
        loop {
            let now = context.now();
            let ids_over =
                self.runner.last_expiry_ms().is_none_or(|at| at <= context.wall_clock.unix_ms());
            if (now >= earliest && ids_over) || now >= begun + limit {
                return;
            }
            tokio::time::sleep(STOP_POLL).await;
        }
    }

    /// Waits until no request is being served, or until `limit` has passed; returns the number
    /// of requests still being served.
    pub async fn drain(&self, limit: Duration) -> usize {
        let end = self.context.now() + limit;
        while self.context.active_requests() > 0 && self.context.now() < end {
            tokio::time::sleep(STOP_POLL).await;
        }
        self.context.active_requests()
    }
}

/// The nodes that callers may be told of: alive ones if there are any, and never one that is starting or stopping.
fn nameable<'a>(own: &'a Record, view: &'a [Record]) -> Vec<&'a Record> {
    let all = || std::iter::once(own).chain(view).filter(|r| r.serving);
    let alive: Vec<&Record> = all().filter(|r| r.status == Status::Alive).collect();
    if !alive.is_empty() {
        return alive;
    }
    all().filter(|r| r.status == Status::Suspect).collect()
}

/// Counts a request as being served until dropped.
struct Serving<'a>(&'a Context);

impl Serving<'_> {
    fn new(context: &Context) -> Serving<'_> {
        context.requests.fetch_add(1, Ordering::AcqRel);
        Serving(context)
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
