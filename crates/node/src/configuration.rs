//! Brings published configurations into force: from the platform's service and from peers.

use std::{sync::Arc, time::Duration};

use policy::adoption::{OfferResult, Stamp};
use tokio_util::sync::CancellationToken;
use wire::peer;

use crate::{context::Context, counter::Counter, fleet, leaf::Leaf};

/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(30);
/// Pause after a failed or useless call to the service.
const RETRY: Duration = Duration::from_secs(1);
/// Time between two looks at whether this node has become a watcher.
const IDLE: Duration = Duration::from_secs(1);
/// Time for a peer to hand over its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Offers a published text to this node; tells others if it came into force.
pub fn offer(context: &Context, leaf: &Leaf, bytes: &[u8]) -> OfferResult {
    let (verdict, value) = {
        let mut holder = context.holder.lock();
        let verdict = holder.offer(bytes);
        (verdict, holder.current().cloned())
    };
    match &verdict {
        OfferResult::Adopted => {
            let Some(value) = value else { return verdict };
            let generation = value.stamp.generation;
            context.push_config(value);
            context.counters.count(Counter::ConfigAdopted);
            *context.refused.lock() = None;
            log::info!("configuration {generation} in force");
            leaf.apply_config();
            fleet::gossip(context);
        }
        OfferResult::Same => {}
        OfferResult::Older => context.counters.count(Counter::ConfigOlder),
        OfferResult::Refused(e) => {
            context.counters.count(Counter::ConfigRefused);
            let text = e.to_string();
            let mut refused = context.refused.lock();
            if refused.as_deref() != Some(&text) {
                log::error!("configuration refused: {text}");
                *refused = Some(text);
            }
        }
    }
    verdict
}

/// Watches the platform's service while this node is a watcher, until `cancel`.
pub async fn watch(context: Arc<Context>, leaf: Arc<Leaf>, cancel: CancellationToken) {
    while !cancel.is_cancelled() {
        let pause = match fleet::is_watcher(&context) || context.config().is_none() {
            true => read(&context, &leaf).await,
            false => IDLE,
        };
        tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Reads or watches once; returns how long to pause afterwards.
async fn read(context: &Context, leaf: &Leaf) -> Duration {
    let after = context.stamp().generation;
    let wait = if after.0 == 0 { Duration::ZERO } else { WATCH };
    context.counters.count(Counter::PlatformReads);
    match context.external.platform.config(after, wait).await {
        Ok(Some(bytes)) => match offer(context, leaf, &bytes) {
            OfferResult::Adopted => Duration::ZERO,
            _ => RETRY,
        },
        Ok(None) if after.0 > 0 => Duration::ZERO,
        Ok(None) => RETRY,
        Err(_) => {
            context.counters.count(Counter::PlatformErrors);
            RETRY
        }
    }
}

/// Fetches the configuration of `from` if its `stamp` is above the one in force here.
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
