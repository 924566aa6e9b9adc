//! Keeps the long-running tasks of a node running after an unexpected error.

use std::{future::Future, time::Duration};

use tokio_util::sync::CancellationToken;

/// Pause before a task is started again. What made it panic may do so again, and a start may cost
/// calls to the platform.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs the tasks that `start` returns one after the other until one ends by itself or `cancel`. A
/// panic ends one task: it is logged, and the next one starts after a pause. `name` is the task's
/// name in the log.
pub async fn run<F, T>(name: &'static str, cancel: CancellationToken, start: F)
where
    F: Fn() -> T,
    T: Future<Output = ()> + Send + 'static,
{
    loop {
        // The runtime has written the panic's message to standard error.
        let Err(e) = tokio::spawn(start()).await else { return };
        if cancel.is_cancelled() {
            return;
        }
        tracing::error!(task = name, cause = %e, "a task ended unexpectedly; starting it again");
        tokio::time::sleep(RESTART_DELAY).await;
    }
}
