//! Follows the platform's service: configuration and registered upstreams.
//!
//! Each node follows it itself. What one node learns it announces by its heartbeats; a node
//! that the platform turns away, or whose watch has fallen silent, asks such a peer.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::id;
use policy::relay::registry::{Change, Event};
use tokio_util::sync::CancellationToken;
use wire::feed;

use crate::{
    edge::{Changes, Published, SourceError},
    fleet,
    node::Node,
    peer,
};

/// Longest wait of one watch where each node watches. Each call has its price; a watch that
/// has fallen silent is noticed by heartbeats of peers and by keep-alive probes.
const WATCH: Duration = Duration::from_secs(10);
/// Share of the time for a configuration to be in force that one watch waits where nodes watch
/// for others: they must notice soon when it has fallen silent.
const WATCH_SHARE: f64 = 0.35;
/// The same share as the age of the platform's last word at which a node that relies on others
/// looks for itself.
const STALE_SHARE: f64 = 0.6;
/// Time between two looks of a node that relies on others at whether it still can.
const RELY: Duration = Duration::from_millis(200);
/// Time that a starting node which is nobody's seed waits for peers to tell it everything.
const START_DELAY: Duration = Duration::from_millis(300);
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
pub async fn follow(node: Arc<Node>, cancel: CancellationToken) {
    let mut failures = 0;
    let mut whole = true;
    while !cancel.is_cancelled() {
        if relies_on_others(&node) {
            whole &= !node.informed.load(Ordering::Relaxed);
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
                if failures > 0 {
                    log::info!("platform is back after {failures} failed calls");
                }
                failures = 0;
                whole = false;
            }
            Err(SourceError::Compacted) => whole = true,
            Err(e) => {
                if failures == 0 {
                    log::warn!("platform is away: {e}");
                }
                failures += 1;
                let pause = RETRY * 2u32.pow(failures.min(4) - 1);
                tokio::time::sleep(pause.min(RETRY_LIMIT).mul_f64(jitter(&node))).await;
            }
        }
    }
}

fn jitter(node: &Node) -> f64 {
    0.75 + 0.5 * (node.random() as f64 / u64::MAX as f64)
}

/// Whether the node may leave it to others to follow the platform.
fn relies_on_others(node: &Node) -> bool {
    let now = node.now();
    if !node.informed.load(Ordering::Relaxed) {
        let own = node.settings.callers.ip();
        let is_seed = node.settings.seeds.iter().any(|s| s.ip() == own);
        let age = now.saturating_duration_since(node.born);
        return !is_seed && age < START_DELAY.mul_f64(jitter(node));
    }
    if fleet::is_watcher(node) {
        return false;
    }
    let stale = node.settings.apply.mul_f64(STALE_SHARE * jitter(node));
    let word = *node.word.lock();
    word.is_some_and(|at| now.saturating_duration_since(at) < stale)
}

/// Records that the platform has spoken at `word`, and that this node knows all it said.
pub(crate) fn hear_word(node: &Node, word: Option<Instant>) {
    let mut known = node.word.lock();
    *known = (*known).max(word);
}

async fn look(node: &Arc<Node>, whole: bool) -> Result<(), SourceError> {
    if whole {
        let changes = node.source.read().await?;
        learn(node, changes, true);
        hear_word(node, Some(node.now()));
        return Ok(());
    }
    let after = node.registry.lock().revision();
    let alone = node.view.load().len() < fleet::SMALL;
    let wait = if alone { WATCH } else { node.settings.apply.mul_f64(WATCH_SHARE) };
    let changes = node.source.watch(after, wait).await?;
    hear_word(node, Some(node.now()));
    let told = changes.config.is_some() || !changes.upstreams.is_empty();
    learn(node, changes, false);
    if told {
        tokio::time::sleep(GATHER).await;
    }
    Ok(())
}

/// Takes in what the platform or a peer says. `whole` says that it is all there is.
pub(crate) fn learn(node: &Arc<Node>, changes: Changes, whole: bool) {
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
        log::info!("registry of upstreams known at revision {}", changes.until);
    }
    news.iter().for_each(report);
    refresh(node);
    if !news.is_empty() {
        fleet::refresh_coverage(node);
    }
    if adopted || !news.is_empty() {
        fleet::spread_news(node);
    }
}

/// Lets the pools follow the registry; to be called several times a second.
pub(crate) fn refresh(node: &Node) {
    let now = node.now();
    let gone = {
        let mut registry = node.registry.lock();
        registry.tick(now);
        node.pools.lock().sync(now, &registry)
    };
    if !gone.is_empty() {
        node.links.forget(&gone);
    }
}

fn report(event: &Event) {
    let Event { key, revision, change } = event;
    match change {
        Change::Put(e) => log::info!(
            "upstream {} of {} at {}: draining {} (revision {revision})",
            e.instance,
            e.pool,
            e.address,
            e.draining
        ),
        Change::Unusable => log::warn!("registry entry {key} names no upstream"),
        Change::Removed => log::info!("registry entry {key} has gone (revision {revision})"),
    }
}

fn adopt(node: &Node, config: Published) -> bool {
    let table = match node.source.parse(&config.bytes) {
        Ok(table) => table,
        Err(e) => {
            log::error!("configuration at revision {} is not usable: {e}", config.revision);
            return false;
        }
    };
    if node.table.load().as_ref().is_some_and(|t| t.generation >= table.generation) {
        return false;
    }
    log::info!("configuration {} in force, {} routes", table.generation, table.len());
    node.splitter.lock().retain(&table);
    node.table.store(Some(Arc::new(table)));
    node.published.store(Some(Arc::new(config)));
    true
}

/// Whether a peer that announces `generation` and `revision` knows more than this node.
fn is_behind(node: &Node, said: &fleet::Said) -> bool {
    said.generation > node.generation() || said.revision > node.registry.lock().revision()
}

/// Asks `peer` for what it knows beyond this node, unless the node's own watch tells it first.
pub(crate) async fn catch_up(node: Arc<Node>, from: id::Node, said: fleet::Said) {
    if node.informed.load(Ordering::Relaxed) {
        tokio::time::sleep(PEER_DELAY).await;
    }
    if !is_behind(&node, &said) {
        return;
    }
    let after = node.registry.lock().revision();
    match peer::news(&node, from, node.generation(), after).await {
        Ok(feed::News { config, events, whole, until }) => {
            log::info!("{} changes up to revision {until} from peer {from}", events.len());
            let config =
                config.map(|c| Published { revision: c.revision, bytes: c.bytes });
            learn(&node, Changes { config, upstreams: events, until }, whole);
            if !is_behind(&node, &said) {
                hear_word(&node, said.word);
            }
            // Its own watch may have fallen silent.
            node.look.notify_one();
        }
        Err(e) => log::warn!("peer {from} did not tell its news: {e}"),
    }
}

/// What this node knows beyond `have` and `after`.
pub(crate) fn news(
    node: &Node,
    have: base::unit::Generation,
    after: base::unit::Revision,
) -> feed::News {
    let published = node.published.load_full().filter(|_| node.generation() > have);
    let config = published
        .map(|p| feed::Config { revision: p.revision, bytes: p.bytes.clone() });
    let registry = node.registry.lock();
    let (events, whole) = match registry.since(after).filter(|_| after.0 > 0) {
        Some(events) => (events, false),
        None => (registry.all(), true),
    };
    feed::News { config, events, whole, until: registry.revision() }
}
