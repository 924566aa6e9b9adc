//! In-memory platform service: the published configuration and the VM list, either of which can be
//! made stale or unavailable.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::unit::Generation;
use node::external::{self, BoxFuture, PlatformError};
use parking_lot::Mutex;
use tokio::sync::watch;
use wire::platform::Vm;

/// Time that each call takes.
const CALL_DELAY: Duration = Duration::from_millis(2);

/// State of the platform service.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// The published configuration.
    pub value: Vec<u8>,
    /// Generation that the service assigns to the configuration. It may differ from the one
    /// encoded in `value`.
    pub generation: Generation,
    /// Whether the service is down.
    pub down: bool,
    /// The VM list.
    pub vms: Vec<Vm>,
}

/// Handle to the simulated platform service.
#[derive(Debug, Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changes: Arc<watch::Sender<u64>>,
    reads: Arc<AtomicU64>,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform::new()
    }
}

impl Platform {
    /// Creates a service without a published configuration.
    pub fn new() -> Platform {
        let changes = Arc::new(watch::Sender::new(0));
        Platform { state: Arc::default(), changes, reads: Arc::default() }
    }

    /// Publishes `value` as `generation`, which may be lower than the current one.
    pub fn publish(&self, generation: Generation, value: Vec<u8>) {
        self.change(|state| {
            state.generation = generation;
            state.value = value;
        });
    }

    /// Applies `change` to the state and wakes waiting reads.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock());
        self.changes.send_modify(|n| *n += 1);
    }

    /// Returns the number of calls so far, counting each long poll as one.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Reads the configuration. With a `wait` of zero it is returned whatever its generation;
    /// otherwise the call waits up to `wait` for a generation above `after` and returns `None`
    /// if none is published in time.
    pub async fn read_config(
        &self,
        after: Generation,
        wait: Duration,
    ) -> Result<Option<Vec<u8>>, PlatformError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(CALL_DELAY).await;
        let deadline = tokio::time::Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            let state = self.state.lock().clone();
            if state.down {
                return Err(PlatformError("down".to_owned()));
            }
            // A read without a wait returns the current value, even a stale one.
            let plain_read = wait.is_zero() && !state.value.is_empty();
            if state.generation > after || plain_read {
                return Ok(Some(state.value));
            }
            if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
                return Ok(None);
            }
        }
    }

    /// Returns the VM list.
    pub async fn list_vms(&self) -> Result<Vec<Vm>, PlatformError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(CALL_DELAY).await;
        let state = self.state.lock();
        if state.down { Err(PlatformError("down".to_owned())) } else { Ok(state.vms.clone()) }
    }
}

impl external::Platform for Platform {
    fn config(
        &self,
        after: Generation,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Option<Vec<u8>>, PlatformError>> {
        let platform = self.clone();
        Box::pin(async move { platform.read_config(after, wait).await })
    }

    fn vms(&self) -> BoxFuture<'static, Result<Vec<Vm>, PlatformError>> {
        let platform = self.clone();
        Box::pin(async move { platform.list_vms().await })
    }
}
