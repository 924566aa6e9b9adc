//! Follows the platform's service: configuration and registered upstreams.
//!
//! Each node follows it itself. What one node learns it announces by its heartbeats; a node
//! that the platform turns away, or whose watch has fallen silent, asks such a peer.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::id;
use policy::relay::{
    registry::{Change, Event},
    watch::{self, WatchState},
};
use tokio_util::sync::CancellationToken;
use wire::feed;

use crate::{
    interface::{InvalidValue, PlatformChanges, PublishedConfig, SourceError},
    log_limiter::LogKind,
    membership,
    node::Node,
    peer,
};

/// Time between two looks of a node that relies on others at whether it still can.
const RELY: Duration = Duration::from_millis(200);
/// Time between a watch that told something and the next: each call has its price, and
/// upstreams of a fleet that starts register one by one. Well under the 3 s within which a
/// configuration is to be in force.
const GATHER: Duration = Duration::from_millis(700);
/// Wait after a failed call; doubles with each further one.
const RETRY: Duration = Duration::from_millis(200);
/// Longest wait after failed calls: entries that lapsed with the service are back within 2 s
/// of its return, and must be seen to be.
const RETRY_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for which a node waits for its own watch to tell what a peer knows already.
const PEER_DELAY: Duration = Duration::from_millis(250);

/// Follows the platform's service until `cancel`.
pub async fn run(node: Arc<Node>, cancel: CancellationToken) {
    let mut failures = 0;
    let mut whole = true;
    while !cancel.is_cancelled() {
        if relies_on_others(&node) {
            tokio::time::sleep(RELY).await;
            continue;
        }
        let result = tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = node.look.notified(), if !whole => continue,
            result = look(&node, whole) => result,
        };
        match result {
            Ok(()) => {
                node.metrics.platform_calls.with_label_values(&["ok"]).inc();
                if failures > 0 {
                    tracing::info!(failures, "the platform answers again");
                }
                failures = 0;
                whole = false;
            }
            Err(SourceError::Compacted) => {
                node.metrics.platform_calls.with_label_values(&["compacted"]).inc();
                let revision = node.registry.lock().revision();
                tracing::info!(%revision, "the platform's history is gone; all is read again");
                whole = true;
            }
            Err(e) => {
                node.metrics.platform_calls.with_label_values(&["failed"]).inc();
                if failures == 0 {
                    let word_age_ms = node.platform_contact_age().map(|age| age.as_millis() as u64);
                    tracing::warn!(cause = %e, word_age_ms, "the platform does not answer");
                }
                failures += 1;
                let pause = RETRY * 2u32.pow(failures.min(4) - 1);
                tokio::time::sleep(pause.min(RETRY_LIMIT).mul_f64(0.75 + 0.5 * chance(&node)))
                    .await;
            }
        }
    }
}

/// A random number from 0 to 1.
fn chance(node: &Node) -> f64 {
    node.random() as f64 / u64::MAX as f64
}

fn is_seed(node: &Node) -> bool {
    let own = node.settings.caller_addr.ip();
    node.settings.seeds.iter().any(|s| s.ip() == own)
}

/// Whether the node may leave it to others to follow the platform.
fn relies_on_others(node: &Node) -> bool {
    let now = node.now();
    let known = WatchState {
        has_registry: node.informed.load(Ordering::Relaxed),
        is_seed: is_seed(node),
        uptime: now.saturating_duration_since(node.born),
        word_age: node.platform_contact_age(),
        is_watcher: membership::is_watcher(node),
        apply_deadline: node.settings.apply_limit,
    };
    watch::relies_on_peers(known, chance(node))
}

/// Records that the platform has spoken at `word`, and that this node knows all it said.
pub(crate) fn hear_word(node: &Node, word: Option<Instant>) {
    let mut known = node.word.lock();
    *known = (*known).max(word);
}

async fn look(node: &Arc<Node>, whole: bool) -> Result<(), SourceError> {
    if whole {
        let stale = !is_seed(node) && !node.informed.load(Ordering::Relaxed);
        let changes = node.platform.read(stale).await?;
        learn(node, changes, true);
        if !stale {
            hear_word(node, Some(node.now()));
        }
        return Ok(());
    }
    let after = node.registry.lock().revision();
    let wait = watch::watch_timeout(node.view.load().len(), node.settings.apply_limit);
    let changes = node.platform.watch(after, wait).await?;
    hear_word(node, Some(node.now()));
    let told = changes.config.is_some() || !changes.upstreams.is_empty();
    learn(node, changes, false);
    if told {
        tokio::time::sleep(GATHER).await;
    }
    Ok(())
}

/// Takes in what the platform or a peer says. `whole` says that it is all there is.
pub(crate) fn learn(node: &Arc<Node>, changes: PlatformChanges, whole: bool) {
    let now = node.now();
    let adopted = changes.config.is_some_and(|config| adopt(node, config));
    let news = {
        let mut registry = node.registry.lock();
        match whole {
            true => registry.replace(now, changes.upstreams, changes.until),
            false => registry.apply(now, changes.upstreams, changes.until),
        }
    };
    if whole && !node.informed.swap(true, Ordering::Relaxed) {
        let newest = node.registry.lock().last_change();
        tracing::info!(revision = %changes.until, %newest, "all registered upstreams are known");
    }
    for event in &news {
        if node.journal.allows(now, LogKind::RoutingState) {
            report(event);
        }
    }
    for InvalidValue { key, revision, reason } in &changes.invalid_values {
        node.metrics.invalid_values.inc();
        if node.journal.allows(now, LogKind::RoutingState) {
            tracing::warn!(%key, %revision, reason, "value in the platform's service is not usable");
        }
    }
    refresh(node);
    if !news.is_empty() {
        membership::refresh_coverage(node);
    }
    if adopted || !news.is_empty() {
        membership::spread_news(node);
    }
}

/// Lets the pools follow the registry; to be called several times a second.
pub(crate) fn refresh(node: &Node) {
    let now = node.now();
    let gone = {
        let mut registry = node.registry.lock();
        registry.expire_removed(now);
        node.pools.lock().sync(now, &registry)
    };
    if !gone.is_empty() {
        node.links.remove_upstreams(&gone);
    }
}

fn report(event: &Event) {
    let Event { key, revision, change } = event;
    match change {
        Change::Put(e) => tracing::info!(
            upstream = %e.instance, pool = %e.pool, address = %e.address, domain = %e.domain,
            draining = e.draining, born_ms = e.born_ms, %revision, "upstream registered"
        ),
        Change::Unusable => tracing::warn!(%key, %revision, "registry entry is left out"),
        Change::Removed => tracing::info!(%key, %revision, "registry entry has gone"),
    }
}

fn adopt(node: &Node, config: PublishedConfig) -> bool {
    let table = match node.platform.parse_config(&config.bytes) {
        Ok(table) => table,
        Err(e) => {
            let revision = config.revision;
            tracing::error!(%revision, cause = %e, "configuration is not usable and is left out");
            return false;
        }
    };
    if node.table.load().as_ref().is_some_and(|t| t.generation >= table.generation) {
        return false;
    }
    let before = node.generation();
    let (generation, revision) = (table.generation, config.revision);
    tracing::info!(%generation, %before, %revision, routes = table.len(), "configuration in force");
    node.splitter.lock().retain(&table);
    node.table.store(Some(Arc::new(table)));
    node.published.store(Some(Arc::new(config)));
    true
}

/// Whether a peer that announces `generation` and `revision` knows more than this node.
fn is_behind(node: &Node, said: &membership::Said) -> bool {
    said.generation > node.generation() || said.revision > node.registry.lock().revision()
}

/// Asks `peer` for what it knows beyond this node, unless the node's own watch tells it first.
pub(crate) async fn catch_up(node: Arc<Node>, from: id::Node, said: membership::Said) {
    if node.informed.load(Ordering::Relaxed) {
        tokio::time::sleep(PEER_DELAY).await;
    }
    if !is_behind(&node, &said) {
        return;
    }
    let after = node.registry.lock().revision();
    match peer::news(&node, from, node.generation(), after).await {
        Ok(feed::PlatformUpdate { config, events, whole, until }) => {
            node.metrics.peer_calls.with_label_values(&["ok"]).inc();
            if node.journal.allows(node.now(), LogKind::Peer) {
                let changes = events.len();
                tracing::info!(peer = %from, %until, changes, "a peer told what it knows");
            }
            let config = config.map(|c| PublishedConfig { revision: c.revision, bytes: c.bytes });
            learn(
                &node,
                PlatformChanges { config, upstreams: events, invalid_values: Vec::new(), until },
                whole,
            );
            if !is_behind(&node, &said) {
                hear_word(&node, said.word);
            }
            // Its own watch may have fallen silent.
            node.look.notify_one();
        }
        Err(e) => {
            node.metrics.peer_calls.with_label_values(&["failed"]).inc();
            if node.journal.allows(node.now(), LogKind::Peer) {
                tracing::warn!(peer = %from, cause = %e, "a peer did not tell what it knows");
            }
        }
    }
}

/// What this node knows beyond `have` and `after`.
pub(crate) fn news(
    node: &Node,
    have: base::unit::Generation,
    after: base::unit::Revision,
) -> feed::PlatformUpdate {
    let published = node.published.load_full().filter(|_| node.generation() > have);
    let config =
        published.map(|p| feed::PublishedConfig { revision: p.revision, bytes: p.bytes.clone() });
    let registry = node.registry.lock();
    let (events, whole) = match registry.changes_since(after).filter(|_| after.0 > 0) {
        Some(events) => (events, false),
        None => (registry.entries(), true),
    };
    feed::PlatformUpdate { config, events, whole, until: registry.revision() }
}
