//! Counters, gauges and latencies of a node, sent to statsd once a second.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cadence::{Counted, Gauged, Histogrammed, StatsdClient};
use parking_lot::Mutex;

macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident => $name:literal;)*) => {
        /// A counter.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Counter {
            $($(#[$doc])* $counter,)*
        }

        /// Names in statsd, in the order of [`Counter`].
        const NAMES: &[&str] = &[$($name),*];
    };
}

counters! {
    /// Searches answered with complete coverage.
    SearchComplete => "search.complete";
    /// Searches answered with partial coverage.
    SearchPartial => "search.partial";
    /// Searches that did not run.
    SearchNotRun => "search.not_run";
    /// Searches with the outcome "unknown": they may have run.
    SearchUnknown => "search.unknown";
    /// Searches restarted with a new plan for a newer index version.
    SearchRestarted => "search.restarted";
    /// Shard groups reassigned to another leaf.
    LeafReassigned => "leaf.reassigned";
    /// Non-idempotent requests run by this node as their home.
    RunHere => "run.here";
    /// Non-idempotent requests forwarded to their home node.
    RunForwarded => "run.forwarded";
    /// Resent requests answered from the deduplication table.
    RunRepeated => "run.repeated";
    /// Non-idempotent requests with the outcome "unknown": they may have run.
    RunUnknown => "run.unknown";
    /// Sub-requests received by this leaf.
    LeafJobs => "leaf.jobs";
    /// Attempts sent to upstreams.
    LeafAttempts => "leaf.attempts";
    /// Replies discarded because they belong to another attempt, plan or process.
    ReplyForeign => "reply.foreign";
    /// Replies that were too large or could not be parsed.
    ReplyBad => "reply.bad";
    /// Connections to upstreams lost while a request may have been running.
    UpstreamLost => "upstream.lost";
    /// Fingerprints quarantined from this node's own observations.
    Quarantined => "quarantine.added";
    /// Requests refused by admission control.
    AdmissionRefused => "admission.refused";
    /// Invalid requests of callers.
    CallerInvalid => "caller.invalid";
    /// Connections of callers refused by the connection limit.
    CallerConnections => "caller.connections_refused";
    /// Heartbeats sent.
    HeartbeatSent => "heartbeat.sent";
    /// Bytes of heartbeats sent.
    HeartbeatBytes => "heartbeat.bytes";
    /// Heartbeats refused: malformed, or of another deployment or protocol version.
    HeartbeatRefused => "heartbeat.refused";
    /// Requests refused because the sender has another deployment or protocol version.
    PeerRefused => "peer.refused";
    /// Configurations adopted.
    ConfigAdopted => "config.adopted";
    /// Configurations ignored because they are older than the one in force.
    ConfigOlder => "config.older";
    /// Invalid configurations refused.
    ConfigRefused => "config.refused";
    /// Calls to the platform's service.
    PlatformReads => "platform.reads";
    /// Calls to the platform's service that failed.
    PlatformErrors => "platform.errors";
    /// Detected suspensions of this process.
    Suspensions => "pauses";
    /// Requests cut off by the time limit of a planned stop.
    StopCutOff => "stop.cut_off";
}

/// Capacity of the latency buffer between two reports.
pub const MAX_LATENCIES: usize = 4_096;

/// Sends gauges to statsd.
pub fn send_gauges(client: &StatsdClient, gauges: &[(&str, u64)]) {
    for (name, value) in gauges {
        let _ = client.gauge(name, *value);
    }
}

/// The counters and search latencies of one node.
#[derive(Debug)]
pub struct Counters {
    /// Values in the order of [`Counter`].
    values: Vec<AtomicU64>,
    /// Search latencies since the last report.
    latencies: Mutex<Vec<Duration>>,
}

impl Default for Counters {
    fn default() -> Counters {
        Counters::new()
    }
}

impl Counters {
    /// Creates counters with the value zero.
    pub fn new() -> Counters {
        let values = NAMES.iter().map(|_| AtomicU64::new(0)).collect();
        Counters { values, latencies: Mutex::default() }
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increments a counter by `n`.
    pub fn add(&self, counter: Counter, n: u64) {
        self.values[counter as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Records the latency of a search. Drops it if [`MAX_LATENCIES`] were recorded since the last
    /// report.
    pub fn record_latency(&self, latency: Duration) {
        let mut latencies = self.latencies.lock();
        if latencies.len() < MAX_LATENCIES {
            latencies.push(latency);
        }
    }

    /// Returns the value of a counter.
    pub fn value(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns the values of all counters with their names.
    pub fn snapshot(&self) -> Vec<(String, u64)> {
        let values = self.values.iter().map(|v| v.load(Ordering::Relaxed));
        NAMES.iter().map(|name| (*name).to_owned()).zip(values).collect()
    }

    /// Sends the latencies recorded since the last report as the histogram `search.ms`.
    pub fn send_latencies(&self, client: &StatsdClient) {
        let latencies = std::mem::take(&mut *self.latencies.lock());
        for latency in latencies {
            let _ = client.histogram("search.ms", latency.as_millis() as u64);
        }
    }

    /// Sends the increments since `before`, the snapshot of the last report, and updates it.
    pub fn send(&self, client: &StatsdClient, before: &mut Vec<(String, u64)>) {
        let now = self.snapshot();
        for (i, (name, value)) in now.iter().enumerate() {
            let sent = before.get(i).map_or(0, |(_, v)| *v);
            let increment = i64::try_from(value - sent).unwrap_or(i64::MAX);
            if increment > 0 {
                // A lost datagram is not sent again: metrics must not block the node.
                let _ = client.count(name, increment);
            }
        }
        *before = now;
    }
}
