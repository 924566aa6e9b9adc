//! Drives membership: heartbeats, the platform's VM list, full lists from peers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::id;
use policy::{
    adoption::Stamp,
    departure,
    membership::{OutboundMessage, Status},
    routing,
};
use tokio_util::sync::CancellationToken;
use wire::{heartbeat, platform};

use crate::{context::Context, counter::Counter, leaf::Leaf};

/// Time between two ticks of membership.
const TICK: Duration = Duration::from_millis(100);
/// Time between two reads of the VM list by a watcher.
const LIST_PERIOD: Duration = Duration::from_secs(2);
/// Time between two reads of the VM list by a node that is not a watcher.
const IDLE_LIST_PERIOD: Duration = Duration::from_secs(60);
/// Time between two looks at whether this node may join.
const JOIN_POLL: Duration = Duration::from_millis(20);
/// Time to hear from a serving node before this node takes it that there is none.
const JOIN_ALONE: Duration = Duration::from_secs(2);
/// Watchers of the platform in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Tells some nodes at once of what this node has learned.
pub fn gossip(context: &Context) {
    let extras = context.extras();
    let out = {
        let mut rng = context.fork_rng();
        context.fleet.lock().gossip_now(&extras, &mut rng)
    };
    send(context, out);
}

/// Announces that this node is stopping.
pub(crate) fn leave(context: &Context) {
    let extras = context.extras();
    let out = {
        let mut rng = context.fork_rng();
        context.fleet.lock().leave(&extras, &mut rng)
    };
    send(context, out);
}

/// Offers the node to callers once its configuration is known not to be an old one: as new as
/// that of a serving node that it has heard from, or the best there is after a while alone.
pub async fn join(context: Arc<Context>, cancel: CancellationToken) {
    let begun = context.now();
    while !(context.config().is_some() && is_current(&context, begun)) {
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(JOIN_POLL) => {}
        }
    }
    context.join();
    let extras = context.extras();
    let out = {
        let mut rng = context.fork_rng();
        context.fleet.lock().join(&extras, &mut rng)
    };
    log::info!("serving callers");
    send(&context, out);
}

fn is_current(context: &Context, begun: Instant) -> bool {
    match context.heard() {
        Some(stamp) => context.stamp() >= stamp,
        None => context.now() >= begun + JOIN_ALONE,
    }
}

/// Sends heartbeats until `cancel`.
pub async fn run_heartbeats(context: Arc<Context>, cancel: CancellationToken) {
    let mut rng = context.fork_rng();
    loop {
        context.tick();
        let extras = context.extras();
        let (out, pauses, divergent) = {
            let mut fleet = context.fleet.lock();
            let before = fleet.pauses();
            let out = fleet.tick(context.now(), &extras, &mut rng);
            context.refresh_view(&fleet);
            (out, fleet.pauses() - before, fleet.is_divergent())
        };
        if pauses > 0 {
            context.counters.count(Counter::Pauses);
            log::warn!("this process was paused; its view is refreshed before new work");
        }
        send(&context, out);
        if divergent {
            fetch_members(&context).await;
        }
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(TICK) => {}
        }
    }
}

/// What a received heartbeat leaves to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderConfig {
    /// The sender.
    pub from: id::Node,
    /// The configuration in force there.
    pub stamp: Stamp,
}

/// Takes in a datagram; returns what it tells of the sender's configuration.
pub fn receive_heartbeat(context: &Context, leaf: &Leaf, bytes: &[u8]) -> Option<SenderConfig> {
    let message = match heartbeat::decode(&context.settings.deployment, bytes) {
        Ok(message) => message,
        Err(_) => {
            context.counters.count(Counter::HeartbeatRefused);
            return None;
        }
    };
    let learned = learn_notices(context, &message.notices);
    let departed = learn_departures(context, leaf, &message.departures);
    context.hear(message.sender.serving, message.stamp);
    let extras = context.extras();
    let out = {
        let mut fleet = context.fleet.lock();
        let out = fleet.receive(context.now(), &message, &extras);
        context.refresh_view(&fleet);
        out
    };
    send(context, out);
    if learned || departed {
        gossip(context);
    }
    Some(SenderConfig { from: message.sender.node, stamp: message.stamp })
}

fn learn_notices(context: &Context, notices: &[policy::quarantine::Notice]) -> bool {
    if notices.is_empty() {
        return false;
    }
    context.raise_suspicion();
    let now = context.now();
    let mut book = context.book.lock();
    // Every notice is to be learned, so no short circuit.
    notices.iter().filter(|n| book.merge(now, **n)).count() > 0
}

fn learn_departures(context: &Context, leaf: &Leaf, notices: &[departure::Notice]) -> bool {
    let now = context.now();
    let fresh: Vec<id::Upstream> = {
        let mut departures = context.departures.lock();
        let news = notices.iter().filter(|n| departures.merge(now, **n));
        news.map(|n| n.upstream).collect()
    };
    leaf.set_listed_leaving(&fresh, true);
    !fresh.is_empty()
}

fn send(context: &Context, out: Vec<OutboundMessage>) {
    for OutboundMessage { to, message } in out {
        match heartbeat::encode(&context.settings.deployment, &message) {
            Ok(bytes) => {
                context.counters.count(Counter::HeartbeatSent);
                context.counters.add(Counter::HeartbeatBytes, bytes.len() as u64);
                context.external.network.send(to, bytes);
            }
            Err(e) => log::error!("heartbeat to {to} not sent: {e}"),
        }
    }
}

async fn fetch_members(context: &Context) {
    let view = context.view();
    let alive: Vec<_> = view.iter().filter(|r| r.status == Status::Alive).collect();
    if alive.is_empty() {
        return;
    }
    let peer = alive[context.random() as usize % alive.len()].node;
    let records = context.external.peer.members(peer);
    if let Ok(Ok(records)) = tokio::time::timeout(Duration::from_secs(1), records).await {
        let mut fleet = context.fleet.lock();
        fleet.merge_all(context.now(), &records);
        context.refresh_view(&fleet);
    }
}

/// Reads the platform's VM list until `cancel`.
pub async fn poll_vm_list(context: Arc<Context>, leaf: Arc<Leaf>, cancel: CancellationToken) {
    loop {
        refresh_vm_list(&context, &leaf).await;
        let alone = context.view().is_empty();
        let period = if alone || is_watcher(&context) { LIST_PERIOD } else { IDLE_LIST_PERIOD };
        let jitter = 0.9 + 0.2 * (context.random() as f64 / u64::MAX as f64);
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(period.mul_f64(jitter)) => {}
        }
    }
}

/// Reads the platform's VM list once.
pub async fn refresh_vm_list(context: &Context, leaf: &Leaf) {
    context.counters.count(Counter::PlatformReads);
    let vms = match context.external.platform.vms().await {
        Ok(vms) => vms,
        Err(_) => {
            context.counters.count(Counter::PlatformErrors);
            return;
        }
    };
    let live = vms.iter().filter(|vm| vm.state == platform::State::Live);
    let nodes = live.map(|vm| id::Node(vm.address)).collect();
    context.fleet.lock().set_candidates(nodes);
    let in_state = |state| -> Vec<id::Upstream> {
        vms.iter().filter(|vm| vm.state == state).map(|vm| id::Upstream(vm.address)).collect()
    };
    let (live, leaving) = (in_state(platform::State::Live), in_state(platform::State::Leaving));
    let now = context.now();
    let news = {
        let mut departures = context.departures.lock();
        live.iter().for_each(|u| departures.remove(*u));
        leaving.iter().filter(|u| departures.record_listed(now, **u)).count() > 0
    };
    leaf.set_listed_leaving(&live, false);
    leaf.set_listed_leaving(&leaving, true);
    if news {
        gossip(context);
    }
}

/// Whether this node is one of those in its failure domain that watch the platform.
pub fn is_watcher(context: &Context) -> bool {
    let view = context.view();
    let own = &context.settings.domain;
    let alive = |r: &&policy::membership::Record| r.status == Status::Alive && r.domain == *own;
    let weight = |node| routing::rendezvous_weight(b"watcher", own.as_str().as_bytes(), node);
    let mine = weight(context.node);
    let ahead = view.iter().filter(alive).filter(|r| weight(r.node) > mine);
    ahead.count() < WATCHERS_PER_DOMAIN
}
