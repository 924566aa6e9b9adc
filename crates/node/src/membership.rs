//! Membership at run time: heartbeats, gossip, anti-entropy, and the platform's list of VMs.

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

/// Period of membership ticks.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Period at which a watcher reads the list of VMs.
const VM_LIST_PERIOD: Duration = Duration::from_secs(2);
/// Period at which a node that is not a watcher reads the list of VMs.
const IDLE_VM_LIST_PERIOD: Duration = Duration::from_secs(60);
/// Period at which a starting node checks whether it may join.
const JOIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time without a heartbeat of a serving node after which a starting node assumes that there is
/// none.
const JOIN_ALONE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for fetching the full list of members from a peer.
const FETCH_MEMBERS_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of nodes in each failure domain that watch the platform's service.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Sends this node's current state to a few nodes without waiting for the next heartbeat.
pub fn gossip(context: &Context) {
    let piggyback = context.piggyback();
    let messages = {
        let mut rng = context.fork_rng();
        context.membership.lock().gossip_now(&piggyback, &mut rng)
    };
    send(context, messages);
}

/// Announces that this node is stopping.
pub(crate) fn announce_leave(context: &Context) {
    let piggyback = context.piggyback();
    let messages = {
        let mut rng = context.fork_rng();
        context.membership.lock().leave(&piggyback, &mut rng)
    };
    send(context, messages);
}

/// Waits until the configuration of this node is current, then offers the node to callers.
///
/// The configuration is current if it is as new as that of every serving node whose heartbeat
/// arrived, or if there was no such heartbeat for `JOIN_ALONE_TIMEOUT`. A node that served
/// callers before then could use an outdated configuration.
pub async fn join(context: Arc<Context>, cancel: CancellationToken) {
    let started = context.now();
    while !(context.config().is_some() && is_config_current(&context, started)) {
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(JOIN_POLL_PERIOD) => {}
        }
    }
    context.mark_joined();
    let piggyback = context.piggyback();
    let messages = {
        let mut rng = context.fork_rng();
        context.membership.lock().join(&piggyback, &mut rng)
    };
    log::info!("serving callers");
    send(&context, messages);
}

fn is_config_current(context: &Context, started: Instant) -> bool {
    match context.highest_peer_stamp() {
        Some(stamp) => context.stamp() >= stamp,
        None => context.now() >= started + JOIN_ALONE_TIMEOUT,
    }
}

/// Runs membership ticks and sends their heartbeats until `cancel`.
pub async fn run_heartbeats(context: Arc<Context>, cancel: CancellationToken) {
    let mut rng = context.fork_rng();
    loop {
        context.record_tick();
        let piggyback = context.piggyback();
        let (messages, suspensions, divergent) = {
            let mut membership = context.membership.lock();
            let before = membership.suspensions();
            let messages = membership.tick(context.now(), &piggyback, &mut rng);
            context.refresh_view(&membership);
            (messages, membership.suspensions() - before, membership.is_divergent())
        };
        if suspensions > 0 {
            context.counters.count(Counter::Suspensions);
            log::warn!("process was suspended; upstream state is refreshed before new work");
        }
        send(&context, messages);
        if divergent {
            fetch_members(&context).await;
        }
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(TICK_PERIOD) => {}
        }
    }
}

/// Configuration in force at the sender of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderConfig {
    /// The sender.
    pub from: id::Node,
    /// Stamp of that configuration.
    pub stamp: Stamp,
}

/// Processes a heartbeat datagram. Returns the sender's configuration stamp, or `None` if the
/// datagram is refused.
pub fn receive_heartbeat(context: &Context, leaf: &Leaf, bytes: &[u8]) -> Option<SenderConfig> {
    let message = match heartbeat::decode(&context.settings.deployment, bytes) {
        Ok(message) => message,
        Err(_) => {
            context.counters.count(Counter::HeartbeatRefused);
            return None;
        }
    };
    let quarantine_changed = merge_quarantine(context, &message.notices);
    let departures_changed = merge_departures(context, leaf, &message.departures);
    context.record_peer_stamp(message.sender.serving, message.stamp);
    let piggyback = context.piggyback();
    let replies = {
        let mut membership = context.membership.lock();
        let replies = membership.receive(context.now(), &message, &piggyback);
        context.refresh_view(&membership);
        replies
    };
    send(context, replies);
    if quarantine_changed || departures_changed {
        gossip(context);
    }
    Some(SenderConfig { from: message.sender.node, stamp: message.stamp })
}

/// Merges quarantine notices; returns whether any of them was new.
fn merge_quarantine(context: &Context, notices: &[policy::quarantine::Notice]) -> bool {
    if notices.is_empty() {
        return false;
    }
    context.mark_quarantine_used();
    let now = context.now();
    let mut quarantine = context.quarantine.lock();
    // `count` merges every notice, where `any` would stop at the first new one.
    notices.iter().filter(|n| quarantine.merge(now, **n)).count() > 0
}

/// Merges departure notices; returns whether any of them was new.
fn merge_departures(context: &Context, leaf: &Leaf, notices: &[departure::Notice]) -> bool {
    let now = context.now();
    let newly_leaving: Vec<id::Upstream> = {
        let mut departures = context.departures.lock();
        let new = notices.iter().filter(|n| departures.merge(now, **n));
        new.map(|n| n.upstream).collect()
    };
    leaf.set_listed_leaving(&newly_leaving, true);
    !newly_leaving.is_empty()
}

fn send(context: &Context, messages: Vec<OutboundMessage>) {
    for OutboundMessage { to, message } in messages {
        match heartbeat::encode(&context.settings.deployment, &message) {
            Ok(bytes) => {
                context.counters.count(Counter::HeartbeatSent);
                context.counters.add(Counter::HeartbeatBytes, bytes.len() as u64);
                context.external.network.send(to, bytes);
            }
            Err(e) => log::error!("cannot encode the heartbeat to {to}: {e}"),
        }
    }
}

/// Fetches the full list of members from a random live node (anti-entropy).
async fn fetch_members(context: &Context) {
    let view = context.view();
    let alive: Vec<_> = view.iter().filter(|r| r.status == Status::Alive).collect();
    if alive.is_empty() {
        return;
    }
    let peer = alive[context.random() as usize % alive.len()].node;
    let records = context.external.peer.members(peer);
    if let Ok(Ok(records)) = tokio::time::timeout(FETCH_MEMBERS_TIMEOUT, records).await {
        let mut membership = context.membership.lock();
        membership.merge_all(context.now(), &records);
        context.refresh_view(&membership);
    }
}

/// Reads the platform's list of VMs periodically until `cancel`.
///
/// Watchers read it often, and so does a node that knows no other node. The others read it
/// rarely, because departures reach them by gossip.
pub async fn poll_vm_list(context: Arc<Context>, leaf: Arc<Leaf>, cancel: CancellationToken) {
    loop {
        refresh_vm_list(&context, &leaf).await;
        let alone = context.view().is_empty();
        let frequent = alone || is_watcher(&context);
        let period = if frequent { VM_LIST_PERIOD } else { IDLE_VM_LIST_PERIOD };
        let jitter = 0.9 + 0.2 * (context.random() as f64 / u64::MAX as f64);
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(period.mul_f64(jitter)) => {}
        }
    }
}

/// Reads the platform's list of VMs once, and gossips departures that are new.
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
    context.membership.lock().set_candidates(nodes);
    let in_state = |state| -> Vec<id::Upstream> {
        vms.iter().filter(|vm| vm.state == state).map(|vm| id::Upstream(vm.address)).collect()
    };
    let (live, leaving) = (in_state(platform::State::Live), in_state(platform::State::Leaving));
    let now = context.now();
    let changed = {
        let mut departures = context.departures.lock();
        live.iter().for_each(|u| departures.remove(*u));
        leaving.iter().filter(|u| departures.record_listed(now, **u)).count() > 0
    };
    leaf.set_listed_leaving(&live, false);
    leaf.set_listed_leaving(&leaving, true);
    if changed {
        gossip(context);
    }
}

/// Returns whether this node is one of the watchers of the platform's service in its failure
/// domain: those with the highest rendezvous weight among the live nodes.
pub fn is_watcher(context: &Context) -> bool {
    let view = context.view();
    let own = &context.settings.domain;
    let alive = |r: &&policy::membership::Record| r.status == Status::Alive && r.domain == *own;
    let weight = |node| routing::rendezvous_weight(b"watcher", own.as_str().as_bytes(), node);
    let own_weight = weight(context.node);
    let ahead = view.iter().filter(alive).filter(|r| weight(r.node) > own_weight);
    ahead.count() < WATCHERS_PER_DOMAIN
}
