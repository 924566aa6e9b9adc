//! Counters, gauges and latencies of a node, sent to statsd once a second.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cadence::{Counted, Gauged, Histogrammed, StatsdClient};
use parking_lot::Mutex;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident => $text:literal;)*) => {
        /// Counter of a counter.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Counter {
            $($(#[$doc])* $name,)*
        }

        const TEXTS: &[&str] = &[$($text),*];
    };
}

counters! {
    /// Searches answered completely.
    SearchComplete => "search.complete";
    /// Searches answered in part.
    SearchPartial => "search.partial";
    /// Searches answered "not run".
    SearchNotRun => "search.not_run";
    /// Searches answered "unknown".
    SearchUnknown => "search.unknown";
    /// Searches planned again for a newer version.
    SearchRestarted => "search.restarted";
    /// Groups asked for again at another leaf.
    LeafReassigned => "leaf.reassigned";
    /// Non-idempotent requests run here.
    RunHere => "run.here";
    /// Non-idempotent requests passed on to their home.
    RunForwarded => "run.forwarded";
    /// Resends answered from memory.
    RunRepeated => "run.repeated";
    /// Non-idempotent requests answered "unknown".
    RunUnknown => "run.unknown";
    /// SubRequest-requests taken in by this leaf.
    LeafJobs => "leaf.jobs";
    /// Attempts sent to upstreams.
    LeafAttempts => "leaf.attempts";
    /// Replies of another attempt, plan or process, discarded.
    ReplyForeign => "reply.foreign";
    /// Replies truncated or not understood.
    ReplyBad => "reply.bad";
    /// Connections to upstreams lost while a request ran.
    UpstreamLost => "upstream.lost";
    /// Fingerprints quarantined by this node's own evidence.
    Quarantined => "quarantine.added";
    /// Requests refused by the limit on requests.
    AdmissionRefused => "admission.refused";
    /// Requests that were not understood.
    CallerInvalid => "caller.invalid";
    /// Connections refused for their number.
    CallerConnections => "caller.connections_refused";
    /// Heartbeats sent.
    HeartbeatSent => "heartbeat.sent";
    /// Bytes of heartbeats sent.
    HeartbeatBytes => "heartbeat.bytes";
    /// Heartbeats refused: another deployment or protocol, or not understood.
    HeartbeatRefused => "heartbeat.refused";
    /// Requests of other nodes refused: another deployment or protocol.
    PeerRefused => "peer.refused";
    /// Configurations that came into force.
    ConfigAdopted => "config.adopted";
    /// Configurations ignored as older.
    ConfigOlder => "config.older";
    /// Configurations refused as invalid.
    ConfigRefused => "config.refused";
    /// Calls to the platform's service.
    PlatformReads => "platform.reads";
    /// Calls to the platform's service that failed.
    PlatformErrors => "platform.errors";
    /// Pauses of this process that were noticed.
    Pauses => "pauses";
    /// Requests cut off by the limit on a planned stop.
    StopCutOff => "stop.cut_off";
}

/// Latencies kept between two sendings.
pub const MAX_LATENCIES: usize = 4_096;

/// Sends gauges.
pub fn send_gauges(client: &StatsdClient, gauges: &[(&str, u64)]) {
    for (name, value) in gauges {
        let _ = client.gauge(name, *value);
    }
}

/// The counters of one node.
#[derive(Debug)]
pub struct Counters {
    values: Vec<AtomicU64>,
    latencies: Mutex<Vec<Duration>>,
}

impl Default for Counters {
    fn default() -> Counters {
        Counters::new()
    }
}

impl Counters {
    /// Counters at zero.
    pub fn new() -> Counters {
        let values = TEXTS.iter().map(|_| AtomicU64::new(0)).collect();
        Counters { values, latencies: Mutex::default() }
    }

    /// Adds one.
    pub fn count(&self, name: Counter) {
        self.add(name, 1);
    }

    /// Adds `n`.
    pub fn add(&self, name: Counter, n: u64) {
        self.values[name as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Records the time that a search took; those beyond [`MAX_LATENCIES`] between two sendings are
    /// left out.
    pub fn record_latency(&self, took: Duration) {
        let mut latencies = self.latencies.lock();
        if latencies.len() < MAX_LATENCIES {
            latencies.push(took);
        }
    }

    /// The value of one counter.
    pub fn value(&self, name: Counter) -> u64 {
        self.values[name as usize].load(Ordering::Relaxed)
    }

    /// All counters with their names.
    pub fn snapshot(&self) -> Vec<(String, u64)> {
        let values = self.values.iter().map(|v| v.load(Ordering::Relaxed));
        TEXTS.iter().map(|t| (*t).to_owned()).zip(values).collect()
    }

    /// Sends the latencies recorded since the last sending, as `search.ms`.
    pub fn send_latencies(&self, client: &StatsdClient) {
        let latencies = std::mem::take(&mut *self.latencies.lock());
        for took in latencies {
            let _ = client.histogram("search.ms", took.as_millis() as u64);
        }
    }

    /// Sends what was added since `before`, the values sent last, and updates it.
    pub fn send(&self, client: &StatsdClient, before: &mut Vec<(String, u64)>) {
        let now = self.snapshot();
        for (i, (name, value)) in now.iter().enumerate() {
            let sent = before.get(i).map_or(0, |(_, v)| *v);
            let added = i64::try_from(value - sent).unwrap_or(i64::MAX);
            if added > 0 {
                // A datagram that is lost is lost: counters must not hold up the node.
                let _ = client.count(name, added);
            }
        }
        *before = now;
    }
}
