//! The platform's service in memory: a value, a VM list, and ways to misbehave.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::unit::Generation;
use node::edge::{self, Pending, PlatformError};
use parking_lot::Mutex;
use tokio::sync::watch;
use wire::platform::Vm;

const DELAY: Duration = Duration::from_millis(2);

/// State of the service.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// The published value.
    pub value: Vec<u8>,
    /// Its generation, as the service tells it apart.
    pub generation: Generation,
    /// Whether the service is down.
    pub down: bool,
    /// The VM list.
    pub vms: Vec<Vm>,
}

/// The platform's service.
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
    /// A service that has nothing published.
    pub fn new() -> Platform {
        let changes = Arc::new(watch::Sender::new(0));
        Platform { state: Arc::default(), changes, reads: Arc::default() }
    }

    /// Publishes `value`.
    pub fn publish(&self, generation: Generation, value: Vec<u8>) {
        self.change(|state| {
            state.generation = generation;
            state.value = value;
        });
    }

    /// Changes the state.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock());
        self.changes.send_modify(|n| *n += 1);
    }

    /// Calls so far, a watch as one.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Reads or watches the value.
    pub async fn read_config(
        &self,
        after: Generation,
        wait: Duration,
    ) -> Result<Option<Vec<u8>>, PlatformError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(DELAY).await;
        let end = tokio::time::Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            let state = self.state.lock().clone();
            if state.down {
                return Err(PlatformError("down".to_owned()));
            }
            // Without a wait the value is read as it is, even if it is old.
            let readable = wait.is_zero() && !state.value.is_empty();
            if state.generation > after || readable {
                return Ok(Some(state.value));
            }
            if tokio::time::timeout_at(end, changes.changed()).await.is_err() {
                return Ok(None);
            }
        }
    }

    /// Reads the VM list.
    pub async fn list_vms(&self) -> Result<Vec<Vm>, PlatformError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(DELAY).await;
        let state = self.state.lock();
        if state.down { Err(PlatformError("down".to_owned())) } else { Ok(state.vms.clone()) }
    }
}

impl edge::Platform for Platform {
    fn config(
        &self,
        after: Generation,
        wait: Duration,
    ) -> Pending<'static, Result<Option<Vec<u8>>, PlatformError>> {
        let platform = self.clone();
        Box::pin(async move { platform.read_config(after, wait).await })
    }

    fn vms(&self) -> Pending<'static, Result<Vec<Vm>, PlatformError>> {
        let platform = self.clone();
        Box::pin(async move { platform.list_vms().await })
    }
}
