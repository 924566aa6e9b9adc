//! The clock as an interface, so that tests and experiments can run on virtual time.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Source of monotonic time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// The current instant. Never goes backwards.
    fn now(&self) -> Instant;
}

/// Clock of the tokio runtime; follows its paused time in tests.
#[derive(Debug, Default)]
pub struct TokioClock;

impl Clock for TokioClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }
}

/// Clock that goes on while the VM is suspended, unlike the steady clock that timers use.
///
/// Deadlines and ages are judged by it, so that a request which was held through a suspension
/// is seen to have expired.
#[derive(Debug)]
pub struct BootClock {
    origin: Instant,
    origin_boot: Duration,
}

impl BootClock {
    /// Starts at the steady clock's current instant.
    pub fn new() -> BootClock {
        BootClock { origin: Instant::now(), origin_boot: boot_time() }
    }
}

impl Default for BootClock {
    fn default() -> BootClock {
        BootClock::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.origin + boot_time().saturating_sub(self.origin_boot)
    }
}

fn boot_time() -> Duration {
    // Fails only on kernels without this clock, which tokio does not run on either.
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .expect("the kernel has CLOCK_BOOTTIME")
}

/// Wall-clock time that advances with a monotonic clock.
///
/// The system's wall clock is read once, at construction. Later corrections of the system
/// clock, forwards or backwards, do not affect it, so that expiry decisions of one process are
/// never revised.
#[derive(Debug, Clone)]
pub struct WallClock {
    clock: Arc<dyn Clock>,
    origin: Instant,
    origin_unix: Duration,
}

impl WallClock {
    /// Anchors `clock` to the system's wall clock as it reads now.
    pub fn new(clock: Arc<dyn Clock>) -> WallClock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock::with_origin(clock, unix)
    }

    /// Anchors `clock` to a given time since the Unix epoch.
    pub fn with_origin(clock: Arc<dyn Clock>, unix: Duration) -> WallClock {
        let origin = clock.now();
        WallClock { clock, origin, origin_unix: unix }
    }

    /// Milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        let elapsed = self.clock.now().saturating_duration_since(self.origin);
        u64::try_from((self.origin_unix + elapsed).as_millis()).unwrap_or(u64::MAX)
    }
}
