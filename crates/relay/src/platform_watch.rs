//! Watches the platform's service for configurations and registered upstreams.
//!
//! Each node of a small fleet watches it, and a few nodes of each failure domain in a larger one
//! ([`policy::relay::watch`]). Nodes announce the state that they have in heartbeats. A node that
//! relies on its peers, that the platform turns away, or whose watch has fallen silent, fetches the
//! missing changes from a peer that announces more.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::{
    hash::FastSet,
    id,
    unit::{Era, Generation, Position, Revision},
};
use policy::relay::{
    registry::{Change, EraRelation, Event, MergeError},
    restored::Exception,
    route::RouteTable,
    watch::{self, WatchState},
};
use smol_str::SmolStr;
use tokio_util::sync::CancellationToken;
use wire::feed::{self, EraUpdate};

use crate::{
    interface::{InvalidValue, PlatformChanges, PublishedConfig, SourceError},
    log_limiter::LogKind,
    membership::{self, PlatformState},
    node::Node,
    peer,
};

/// Interval at which a node that relies on its peers checks whether it still can.
const RELIANCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a node waits for its own watch to deliver what a peer already announces.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(250);

/// Watches the platform's service until `cancel`.
pub async fn run(node: Arc<Node>, cancel: CancellationToken) {
    let mut failures = 0;
    // Answers in a row that told to read all values again.
    let mut rereads = 0;
    let mut call = Call::ReadAll;
    while !cancel.is_cancelled() {
        if relies_on_peers(&node) {
            tokio::time::sleep(RELIANCE_CHECK_INTERVAL).await;
            continue;
        }
        let result = tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = node.restart_watch.notified(), if call != Call::ReadAll => continue,
            age = stale_data(&node), if call == Call::Watch => {
                node.metrics.platform_calls.with_label_values(&["abandoned"]).inc();
                if node.log_limiter.allows(node.now(), LogKind::RoutingState) {
                    let word_age_ms = age.as_millis() as u64;
                    tracing::info!(word_age_ms, "no news from the platform; asking it again");
                }
                call = Call::Probe;
                continue;
            }
            result = poll(&node, call, failures) => result,
        };
        match result {
            Ok(()) => {
                node.metrics.platform_calls.with_label_values(&["ok"]).inc();
                if failures > 0 {
                    tracing::info!(failures, "the platform answers again");
                }
                failures = 0;
                if call != Call::ReadAll {
                    rereads = 0;
                }
                call = Call::Watch;
            }
            Err(SourceError::Compacted) => {
                node.metrics.platform_calls.with_label_values(&["compacted"]).inc();
                let Position { era, revision } = node.registry.lock().position();
                tracing::info!(
                    %era, %revision,
                    "the platform compacted its change history; reading all values again"
                );
                call = Call::ReadAll;
                // A listing after which the watch fails again would be read without a pause.
                rereads += 1;
                if rereads > 1 {
                    let deadline = update_deadline(&node);
                    let chance = random_fraction(&node);
                    tokio::time::sleep(watch::retry_delay(rereads, deadline, chance)).await;
                }
            }
            Err(SourceError::Era(MergeError::Incomplete(era))) => {
                node.metrics.platform_calls.with_label_values(&["restored"]).inc();
                let before = node.registry.lock().position();
                tracing::info!(
                    %era, before = %before.era, revision = %before.revision,
                    "the platform is in a later era; reading all values again"
                );
                call = Call::ReadAll;
            }
            Err(e) => {
                node.metrics.platform_calls.with_label_values(&["failed"]).inc();
                if failures == 0 {
                    let word_age_ms = node.platform_data_age().map(|age| age.as_millis() as u64);
                    tracing::warn!(cause = %e, word_age_ms, "the platform does not answer");
                }
                failures += 1;
                if call == Call::Watch {
                    call = Call::Probe;
                }
                let deadline = update_deadline(&node);
                let delay = watch::retry_delay(failures, deadline, random_fraction(&node));
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// A call to the platform's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// Reads all values.
    ReadAll,
    /// Waits for changes.
    Watch,
    /// Asks for the changes so far without waiting, to learn whether the service answers.
    Probe,
}

/// Returns the time within which a change that the platform has acknowledged must have its effect
/// on this node: the shortest of the bounds for configurations, draining upstreams and evacuations.
fn update_deadline(node: &Node) -> Duration {
    let shortest = node.settings.apply_limit.min(node.settings.drain_limit);
    node.settings.evacuation_limit.map_or(shortest, |limit| limit.min(shortest))
}

/// Completes when the platform's last answer, to this node or to a peer, has become too old.
/// Returns the time without an answer. A node that has no answer yet counts from now.
async fn stale_data(node: &Node) -> Duration {
    let start = node.now();
    let limit = watch::stale_age(update_deadline(node), random_fraction(node));
    loop {
        let latest = node.platform_data_time.lock().unwrap_or(start);
        let age = node.now().saturating_duration_since(latest);
        if age >= limit {
            return age;
        }
        tokio::time::sleep(limit - age).await;
    }
}

/// Returns a random number from 0 to 1.
fn random_fraction(node: &Node) -> f64 {
    node.random() as f64 / u64::MAX as f64
}

fn is_seed(node: &Node) -> bool {
    let own = node.settings.caller_addr.ip();
    node.settings.seeds.iter().any(|s| s.ip() == own)
}

/// Returns whether the node may leave it to its peers to watch the platform.
fn relies_on_peers(node: &Node) -> bool {
    let now = node.now();
    let state = WatchState {
        has_registry: node.registry_loaded.load(Ordering::Relaxed),
        is_seed: is_seed(node),
        uptime: now.saturating_duration_since(node.started_at),
        platform_data_age: node.platform_data_age(),
        is_watcher: membership::is_watcher(node),
        update_deadline: update_deadline(node),
    };
    watch::relies_on_peers(state, random_fraction(node))
}

/// Records that this node's data includes the platform's response at `data_time`. An earlier time
/// than the recorded one changes nothing.
pub(crate) fn record_data_time(node: &Node, data_time: Option<Instant>) {
    let mut newest = node.platform_data_time.lock();
    *newest = (*newest).max(data_time);
}

/// Makes one call and applies its result.
async fn poll(node: &Arc<Node>, call: Call, failures: u32) -> Result<(), SourceError> {
    if call == Call::ReadAll {
        let is_loaded = node.registry_loaded.load(Ordering::Relaxed);
        let stale = !is_seed(node) && !is_loaded;
        let asked_at = node.now();
        let read = node.platform.read(stale);
        let changes = match is_loaded {
            true => read.await?,
            false => tokio::time::timeout(watch::first_read_timeout(failures), read)
                .await
                .map_err(|_| SourceError::Unavailable("no answer in time".to_owned()))??,
        };
        apply_changes(node, changes, true)?;
        if !stale {
            // The first page may be as old as the call.
            record_data_time(node, Some(asked_at));
        }
        return Ok(());
    }
    let after = node.registry.lock().revision();
    let wait = match call {
        Call::Probe => Duration::ZERO,
        _ => membership::watch_timeout(node, update_deadline(node)),
    };
    let changes = node.platform.watch(after, wait).await?;
    let has_changes = changes.config.is_some() || !changes.upstreams.is_empty();
    apply_changes(node, changes, false)?;
    record_data_time(node, Some(node.now()));
    if has_changes {
        let pause = watch::batch_pause(has_upstreams_for_all_pools(node));
        tokio::time::sleep(pause).await;
    } else {
        // Peers that hear soon that the platform answers need not ask it themselves.
        membership::gossip_now(node);
    }
    Ok(())
}

/// Returns whether each pool of the configuration in force has an upstream.
fn has_upstreams_for_all_pools(node: &Node) -> bool {
    let Some(table) = node.route_table() else { return false };
    let pools = node.pools.lock();
    table.pools().all(|pool| pools.has_upstream(pool))
}

/// Applies changes from the platform or a peer. With `is_snapshot`, they are all present entries
/// and replace the registry's. Changes of an earlier era are refused; those of a later one are
/// applied only as a snapshot.
pub(crate) fn apply_changes(
    node: &Arc<Node>,
    changes: PlatformChanges,
    is_snapshot: bool,
) -> Result<(), SourceError> {
    let now = node.now();
    // The generation decides on a configuration, in whichever era it was published; but an answer
    // of an earlier era is not used at all.
    let (before, relation) = {
        let registry = node.registry.lock();
        (registry.position(), registry.relation(changes.era))
    };
    let config = changes.config.filter(|_| relation != EraRelation::Earlier);
    let config_adopted = config.is_some_and(|config| adopt_config(node, config));
    let at = Position { era: changes.era, revision: changes.until };
    let applied = node.registry.lock().merge(now, changes.upstreams, at, is_snapshot)?;
    if relation == EraRelation::Later {
        log_restore(node, before);
    }
    if is_snapshot && !node.registry_loaded.swap(true, Ordering::Relaxed) {
        let newest = node.registry.lock().last_change();
        tracing::info!(revision = %changes.until, %newest, "all registered upstreams are known");
    }
    for event in &applied {
        if node.log_limiter.allows(now, LogKind::RoutingState) {
            log_event(event);
        }
    }
    for InvalidValue { key, revision, reason } in &changes.invalid_values {
        node.metrics.invalid_values.inc();
        if node.log_limiter.allows(now, LogKind::RoutingState) {
            tracing::warn!(%key, %revision, reason, "value in the platform's service is not usable");
        }
    }
    sync_pools(node);
    if !applied.is_empty() {
        membership::refresh_coverage(node);
    }
    if config_adopted || !applied.is_empty() || relation == EraRelation::Later {
        membership::gossip_now(node);
    }
    Ok(())
}

/// Reports that the node has entered a later era than that of `before`.
fn log_restore(node: &Node, before: Position) {
    node.metrics.platform_restores.inc();
    let registry = node.registry.lock();
    let Position { era, revision } = registry.position();
    let exceptions = registry.exceptions(node.now());
    let unlisted = exceptions.iter().filter(|e| matches!(e, Exception::Unlisted { .. })).count();
    tracing::warn!(
        %era, before = %before.era, revision_before = %before.revision, %revision, unlisted,
        departed = exceptions.len() - unlisted,
        "the platform came back from an earlier copy of its data; all entries were read again"
    );
}

/// Expires removed registry entries, synchronizes the pools with the registry, and reports requests
/// of upstreams that it shows to have crashed. To be called several times a second.
pub(crate) fn sync_pools(node: &Node) {
    let now = node.now();
    let (removed, before, after) = {
        let mut registry = node.registry.lock();
        registry.expire_removed(now);
        let mut pools = node.pools.lock();
        let before = pools.evacuated().clone();
        (pools.sync(now, &registry), before, pools.evacuated().clone())
    };
    record_evacuations(node, &before, &after);
    if !removed.is_empty() {
        node.connections.remove_upstreams(&removed);
    }
    node.suspected_upstreams.check_registry(node);
}

/// Shows and logs how the evacuated failure domains have changed.
fn record_evacuations(node: &Node, before: &FastSet<SmolStr>, after: &FastSet<SmolStr>) {
    if before == after {
        return;
    }
    node.metrics.evacuated_domains.set(after.len() as i64);
    membership::refresh_coverage(node);
    for domain in after.difference(before) {
        let registry = node.registry.lock();
        let upstreams = registry.usable().filter(|(e, _)| e.domain == *domain).count();
        let (revision, data_age) = (registry.revision(), node.platform_data_age());
        let data_age_ms = data_age.map(|age| age.as_millis() as u64);
        tracing::warn!(
            %domain, upstreams, %revision, data_age_ms,
            "failure domain evacuated: its upstreams get no requests until the order is removed"
        );
    }
    for domain in before.difference(after) {
        tracing::warn!(%domain, "failure domain no longer evacuated");
    }
}

fn log_event(event: &Event) {
    let Event { key, revision, change } = event;
    match change {
        Change::Put(e) => tracing::info!(
            upstream = %e.instance, pool = %e.pool, address = %e.address, domain = %e.domain,
            draining = e.draining, born_ms = e.born_ms, %revision, "upstream registered"
        ),
        Change::Unusable => tracing::warn!(%key, %revision, "ignoring an unusable registry entry"),
        Change::Removed => tracing::info!(%key, %revision, "registry entry has gone"),
        // Logged with its effect.
        Change::Evacuated(_) => {}
    }
}

/// Puts `config` into force if it is valid and its generation is higher than the current one.
/// Returns whether it did.
fn adopt_config(node: &Node, config: PublishedConfig) -> bool {
    let table = match node.platform.parse_config(&config.bytes) {
        Ok(table) => table,
        Err(e) => {
            let revision = config.revision;
            tracing::error!(%revision, cause = %e, "ignoring an unusable configuration");
            return false;
        }
    };
    if node.route_table.load().as_ref().is_some_and(|t| t.generation >= table.generation) {
        return false;
    }
    let before = node.generation();
    let (generation, revision) = (table.generation, config.revision);
    tracing::info!(%generation, %before, %revision, routes = table.len(), "configuration in force");
    record_home_regions(node, &table);
    node.round_robin.lock().retain(&table);
    for value in &table.ignored {
        tracing::warn!(%generation, value, "ignoring a value of the configuration");
    }
    node.pools.lock().set_cold_limits(node.now(), &table.cold_limits);
    node.route_table.store(Some(Arc::new(table)));
    node.published_config.store(Some(Arc::new(config)));
    true
}

/// Shows and logs the home regions of routes in which no failure domain is known.
fn record_home_regions(node: &Node, table: &RouteTable) {
    let homes = table.all_home_regions();
    let unknown: Vec<&id::Region> = homes.into_iter().filter(|r| !node.regions.has(r)).collect();
    node.metrics.unknown_home_regions.set(unknown.len() as i64);
    for region in unknown {
        if node.log_limiter.allows(node.now(), LogKind::RoutingState) {
            tracing::warn!(%region, "the settings name no failure domain in this home region of a route");
        }
    }
}

/// Returns whether a peer announces a generation, changes or exceptions that this node lacks.
pub(crate) fn is_behind(node: &Node, announced: &PlatformState) -> bool {
    if announced.generation > node.generation() {
        return true;
    }
    let registry = node.registry.lock();
    let fetched_era = node.exceptions_era.load(Ordering::Relaxed);
    let lacks_exceptions = announced.position.era == registry.position().era
        && announced.exceptions > registry.exception_count()
        && fetched_era < announced.position.era.0;
    lacks_exceptions || registry.is_behind(announced.position)
}

/// Fetches from the peer `from` what it announces beyond this node's state. Waits first for the
/// node's own watch to deliver it.
pub(crate) async fn catch_up(node: Arc<Node>, from: id::Node, announced: PlatformState) {
    if node.registry_loaded.load(Ordering::Relaxed) {
        tokio::time::sleep(PEER_FETCH_DELAY).await;
    }
    if !is_behind(&node, &announced) {
        return;
    }
    let after = node.registry.lock().position();
    let announces_era = announced.position.era != Era::default();
    match peer::fetch_update(&node, from, announces_era, node.generation(), after).await {
        Ok(EraUpdate { era, update, exceptions }) => {
            node.metrics.peer_calls.with_label_values(&["ok"]).inc();
            let feed::PlatformUpdate { config, mut events, mut whole, mut until } = update;
            if !announces_era && node.registry.lock().has_seen_restore() {
                // These revisions may be of an earlier era.
                (events, whole, until) = (Vec::new(), false, Revision::default());
            }
            if node.log_limiter.allows(node.now(), LogKind::Peer) {
                let changes = events.len();
                tracing::info!(
                    peer = %from, %era, %until, changes, exceptions = exceptions.len(),
                    "fetched platform changes from a peer"
                );
            }
            let config = config.map(|c| PublishedConfig { revision: c.revision, bytes: c.bytes });
            let invalid_values = Vec::new();
            let changes = PlatformChanges { config, upstreams: events, invalid_values, until, era };
            if let Err(e) = apply_changes(&node, changes, whole) {
                if node.log_limiter.allows(node.now(), LogKind::Peer) {
                    tracing::warn!(peer = %from, cause = %e, "refused platform changes of a peer");
                }
                return;
            }
            learn_exceptions(&node, era, exceptions);
            if !is_behind(&node, &announced) {
                record_data_time(&node, announced.data_time);
            }
            // The peer was ahead, so this node's own watch may have fallen silent.
            node.restart_watch.notify_one();
        }
        Err(e) => {
            node.metrics.peer_calls.with_label_values(&["failed"]).inc();
            if node.log_limiter.allows(node.now(), LogKind::Peer) {
                tracing::warn!(
                    peer = %from, cause = %e,
                    "failed to fetch platform changes from a peer"
                );
            }
        }
    }
}

/// Learns what a peer in `era` knows better than the platform. One peer is asked in each era.
fn learn_exceptions(node: &Arc<Node>, era: Era, exceptions: Vec<Exception>) {
    if exceptions.is_empty() || node.registry.lock().position().era != era {
        return;
    }
    node.exceptions_era.store(era.0, Ordering::Relaxed);
    node.registry.lock().learn(node.now(), exceptions);
    sync_pools(node);
    membership::refresh_coverage(node);
}

/// Returns the configuration in force if it is newer than `have`, and the registry's changes
/// after `after`, or all its entries if those changes are no longer known.
pub(crate) fn update_since(node: &Node, have: Generation, after: Position) -> feed::PlatformUpdate {
    let published = node.published_config.load_full().filter(|_| node.generation() > have);
    let config =
        published.map(|p| feed::PublishedConfig { revision: p.revision, bytes: p.bytes.clone() });
    let registry = node.registry.lock();
    let (events, whole) = registry.update_since(after);
    feed::PlatformUpdate { config, events, whole, until: registry.revision() }
}

/// Like [`update_since`], with the era and this node's exceptions from the platform's listing.
pub(crate) fn era_update_since(node: &Node, have: Generation, after: Position) -> EraUpdate {
    let update = update_since(node, have, after);
    let registry = node.registry.lock();
    let (era, exceptions) = (registry.position().era, registry.exceptions(node.now()));
    EraUpdate { era, update, exceptions }
}
