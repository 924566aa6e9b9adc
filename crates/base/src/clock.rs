//! Clocks behind a trait, so that tests and experiments can run on virtual time.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Monotonic clock.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the current instant, which never goes backwards.
    fn now(&self) -> Instant;
}

/// Clock of the tokio runtime; follows the runtime's paused time in tests.
#[derive(Debug, Default)]
pub struct TokioClock;

impl Clock for TokioClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }
}

/// Clock that keeps counting while the VM is suspended (`CLOCK_BOOTTIME`), unlike the monotonic
/// clock that timers use.
///
/// Deadlines and ages are computed from it, so that a request which was in flight during a
/// suspension is found to have expired.
#[derive(Debug)]
pub struct BootClock {
    /// Monotonic instant at construction.
    origin: Instant,
    /// Boot time at construction.
    origin_boot: Duration,
}

impl BootClock {
    /// Creates a clock that starts at the monotonic clock's current instant.
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
    // Fails only on kernels without this clock; tokio does not support those either.
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .expect("kernel supports CLOCK_BOOTTIME")
}

/// Wall-clock time that advances with a monotonic clock.
///
/// The system's wall clock is read once, at construction. Later adjustments of the system clock
/// in either direction have no effect, so that a process never reverses an expiry decision.
#[derive(Debug, Clone)]
pub struct WallClock {
    clock: Arc<dyn Clock>,
    origin: Instant,
    origin_unix: Duration,
}

impl WallClock {
    /// Creates a wall clock that starts at the system's current wall-clock time.
    pub fn new(clock: Arc<dyn Clock>) -> WallClock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock::with_origin(clock, unix)
    }

    /// Creates a wall clock that starts at `unix`, a time since the Unix epoch.
    pub fn with_origin(clock: Arc<dyn Clock>, unix: Duration) -> WallClock {
        let origin = clock.now();
        WallClock { clock, origin, origin_unix: unix }
    }

    /// Returns the milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        let elapsed = self.clock.now().saturating_duration_since(self.origin);
        u64::try_from((self.origin_unix + elapsed).as_millis()).unwrap_or(u64::MAX)
    }
}
