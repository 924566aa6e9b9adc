//! Exchanges with peers by which nodes divide the limits of upstreams. The decisions are in
//! [`policy::relay::demand`] and [`policy::relay::pool`].

use base::id;
use policy::{
    membership::Status,
    relay::{
        cold,
        demand::Exchange,
        pool::{Basis, Learned},
        triage::Load,
    },
};
use rand::Rng;
use wire::{datagram::Error, demand};

use crate::{log_limiter::LogKind, node::Node};

/// Most pools named in a line on pools that are short of capacity.
const MAX_LOGGED_POOLS: usize = 8;

/// Updates this node's parts of the limits, and exchanges demand with a peer if it is time. To be
/// called several times a second.
pub(crate) fn tick(node: &Node) {
    let now = node.now();
    let own = id::Node(node.settings.advertised_addr);
    let basis = node.pools.lock().update_limiters(now);
    record_basis(node, basis);
    record_coldness(node);
    record_short_pools(node);
    // The random numbers are locked before the pools, as for requests.
    let request = node.with_rng(|rng| node.pools.lock().exchange(now, own, rng));
    let Some(request) = request else { return };
    let peers = node.peers.load();
    let alive: Vec<id::Node> =
        peers.iter().filter(|r| r.status == Status::Alive).map(|r| r.node).collect();
    if alive.is_empty() {
        return;
    }
    let to = alive[node.with_rng(|rng| rng.random_range(0..alive.len()))];
    send(node, to, &request);
}

/// Handles a datagram of this protocol.
pub(crate) fn receive(node: &Node, bytes: &[u8]) -> Result<(), Error> {
    let message = demand::decode(&node.settings.deployment, bytes)?;
    let now = node.now();
    let own = id::Node(node.settings.advertised_addr);
    let (reply, learned) =
        node.with_rng(|rng| node.pools.lock().receive_exchange(now, own, &message, rng));
    for Learned { instance, limit } in learned {
        node.metrics.upstream_notices.with_label_values(&["limit"]).inc();
        if node.log_limiter.allows(now, LogKind::RoutingState) {
            let limit = limit.map(|rate| rate.per_second());
            let peer = message.from;
            tracing::info!(%peer, upstream = %instance, limit, "upstream changed its limit on all nodes");
        }
    }
    if let Some(reply) = reply {
        send(node, message.from, &reply);
    }
    Ok(())
}

/// Shows and logs what the parts follow from.
fn record_basis(node: &Node, basis: Basis) {
    let Basis { by_demand, equal } = basis;
    let by_basis = [("demand", by_demand), ("equal", equal)];
    let gauges = by_basis.map(|(name, count)| {
        (node.metrics.limited_upstreams.with_label_values(&[name]), count as i64)
    });
    if gauges.iter().all(|(gauge, count)| gauge.get() == *count) {
        return;
    }
    gauges.iter().for_each(|(gauge, count)| gauge.set(*count));
    if node.log_limiter.allows(node.now(), LogKind::RoutingState) {
        tracing::info!(by_demand, equal, "parts of upstreams' limits");
    }
}

/// Shows and logs which upstreams are cold.
fn record_coldness(node: &Node) {
    let (changes, withheld, cold) = {
        let mut pools = node.pools.lock();
        (pools.take_cold_changes(), pools.take_cold_withheld(), pools.cold_len())
    };
    node.metrics.cold_withheld.inc_by(withheld);
    node.metrics.cold_upstreams.set(cold as i64);
    for cold::Change { instance, cold } in changes {
        if !node.log_limiter.allows(node.now(), LogKind::RoutingState) {
            continue;
        }
        match cold {
            Some((left, source)) => {
                let (left_ms, source) = (left.as_millis() as u64, source.name());
                tracing::info!(upstream = %instance, left_ms, source, "upstream is cold");
            }
            None => tracing::info!(upstream = %instance, "upstream is no longer cold"),
        }
    }
}

/// Shows the pools that are short of capacity, and logs changes of their number.
fn record_short_pools(node: &Node) {
    let now = node.now();
    let short: Vec<(id::Pool, Load)> = {
        let pools = node.pools.lock();
        pools.short_pools(now).map(|(pool, load)| (pool.clone(), load)).collect()
    };
    let before = node.metrics.short_pools.get();
    if short.is_empty() && before == 0 {
        return;
    }
    node.metrics.short_pool_load.reset();
    for (pool, Load { demand, admitted }) in &short {
        for (kind, value) in [("demand", demand), ("capacity", admitted)] {
            node.metrics.short_pool_load.with_label_values(&[pool.as_str(), kind]).set(*value);
        }
    }
    let count = short.len() as i64;
    node.metrics.short_pools.set(count);
    if count == before || !node.log_limiter.allows(now, LogKind::RoutingState) {
        return;
    }
    let demand: f64 = short.iter().map(|(_, load)| load.demand).sum();
    let capacity: f64 = short.iter().map(|(_, load)| load.admitted).sum();
    let names: Vec<&str> = short.iter().take(MAX_LOGGED_POOLS).map(|(p, _)| p.as_str()).collect();
    let (demand, capacity) = (format!("{demand:.2}"), format!("{capacity:.2}"));
    let pools = names.join(" ");
    tracing::info!(short = count, before, pools, demand, capacity, "pools short of capacity");
}

fn send(node: &Node, to: id::Node, message: &Exchange) {
    let Some(socket) = node.heartbeat_socket.load_full() else { return };
    match demand::encode(&node.settings.deployment, message) {
        // A full send buffer loses the datagram, as the network may.
        Ok(bytes) => drop(socket.try_send_to(&bytes, to.0)),
        Err(e) => tracing::error!(peer = %to, cause = %e, "failed to encode an exchange of demand"),
    }
}
