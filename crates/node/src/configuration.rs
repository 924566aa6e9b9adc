//! Adoption of published configurations, read from the platform's service or fetched from peers.

use std::{sync::Arc, time::Duration};

use policy::adoption::{OfferResult, Stamp};
use tokio_util::sync::CancellationToken;
use wire::peer;

use crate::{context::Context, counter::Counter, leaf::Leaf, membership};

/// Longest duration of one long poll of the platform's service.
const LONG_POLL: Duration = Duration::from_secs(30);
/// Delay before the next call after one that failed or brought no new configuration.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Period at which a node that is not a watcher checks whether it has become one.
const WATCHER_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Timeout for fetching a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Offers a published configuration to this node, and gossips it if it was adopted.
pub fn offer(context: &Context, leaf: &Leaf, bytes: &[u8]) -> OfferResult {
    let (result, config) = {
        let mut active = context.active_config.lock();
        let result = active.offer(bytes);
        (result, active.current().cloned())
    };
    match &result {
        OfferResult::Adopted => {
            let Some(config) = config else { return result };
            let generation = config.stamp.generation;
            context.push_config(config);
            context.counters.count(Counter::ConfigAdopted);
            *context.config_error.lock() = None;
            log::info!("configuration {generation} in force");
            leaf.apply_config();
            membership::gossip(context);
        }
        OfferResult::Same => {}
        OfferResult::Older => context.counters.count(Counter::ConfigOlder),
        OfferResult::Refused(e) => {
            context.counters.count(Counter::ConfigRefused);
            let text = e.to_string();
            let mut config_error = context.config_error.lock();
            if config_error.as_deref() != Some(&text) {
                log::error!("configuration refused: {text}");
                *config_error = Some(text);
            }
        }
    }
    result
}

/// Reads configurations from the platform's service until `cancel`, while this node is a watcher
/// or has no configuration.
pub async fn watch(context: Arc<Context>, leaf: Arc<Leaf>, cancel: CancellationToken) {
    while !cancel.is_cancelled() {
        let delay = match membership::is_watcher(&context) || context.config().is_none() {
            true => poll_platform(&context, &leaf).await,
            false => WATCHER_CHECK_PERIOD,
        };
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(delay) => {}
        }
    }
}

/// Reads the configuration once, by a long poll if one is in force already. Returns the delay
/// before the next call.
async fn poll_platform(context: &Context, leaf: &Leaf) -> Duration {
    let after = context.stamp().generation;
    let wait = if after.0 == 0 { Duration::ZERO } else { LONG_POLL };
    context.counters.count(Counter::PlatformReads);
    match context.external.platform.config(after, wait).await {
        Ok(Some(bytes)) => match offer(context, leaf, &bytes) {
            OfferResult::Adopted => Duration::ZERO,
            _ => RETRY_DELAY,
        },
        Ok(None) if after.0 > 0 => Duration::ZERO,
        Ok(None) => RETRY_DELAY,
        Err(_) => {
            context.counters.count(Counter::PlatformErrors);
            RETRY_DELAY
        }
    }
}

/// Fetches the configuration of the node `from` if its `stamp` is newer than the one in force.
pub async fn fetch_if_newer(context: &Context, leaf: &Leaf, from: base::id::Node, stamp: Stamp) {
    let have = context.stamp();
    if stamp <= have {
        return;
    }
    let fetch = context.external.peer.config(from, have);
    if let Ok(Ok(Some(peer::ConfigValue { bytes, .. }))) =
        tokio::time::timeout(FETCH_TIMEOUT, fetch).await
    {
        offer(context, leaf, &bytes);
    }
}
