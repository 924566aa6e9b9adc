//! Metrics of a node, exported in the Prometheus text format.

use std::time::Duration;

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds: from one network hop to the longest deadline.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.04, 0.06, 0.09, 0.12, 0.15, 0.25, 0.5, 1.0, 2.5, 8.0];

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome and reason.
    pub requests: IntCounterVec,
    /// Time from a request's arrival to its answer, by outcome.
    pub request_seconds: HistogramVec,
    /// Attempts by end.
    pub attempts: IntCounterVec,
    /// Time from sending an attempt to its successful reply.
    pub attempt_seconds: Histogram,
    /// Second attempts by cause.
    pub second_attempts: IntCounterVec,
    /// Second attempts that the retry budget denied.
    pub second_attempts_denied: IntCounter,
    /// Pools missing from partial answers.
    pub pools_missing: IntCounter,
    /// Replies that were not received in full, by cause.
    pub replies_cut: IntCounterVec,
    /// Connections closed because the other end read too slowly, by cause and reader.
    pub slow_readers: IntCounterVec,
    /// Connections that failed, by cause and by who the other end is.
    pub connections_failed: IntCounterVec,
    /// Calls to the platform by result.
    pub platform_calls: IntCounterVec,
    /// Values published by the platform that were rejected.
    pub invalid_values: IntCounter,
    /// Replies by which an upstream changed what it wants, by kind.
    pub upstream_notices: IntCounterVec,
    /// Attempts to upstreams that state a limit, by kind.
    pub limited_attempts: IntCounterVec,
    /// Upstreams that state a limit, by what this node's part of it follows from.
    pub limited_upstreams: IntGaugeVec,
    /// Upstreams that are cold, in pools that bound the requests to cold ones.
    pub cold_upstreams: IntGauge,
    /// Attempts that were withheld because an upstream is cold.
    pub cold_withheld: IntCounter,
    /// Whether this node is cut off from the upstreams.
    pub isolated: IntGauge,
    /// Peers that are known to reach upstreams; 0 while nobody asks.
    pub peers_reaching: IntGauge,
    /// Peers that are known not to reach upstreams.
    pub peers_cut_off: IntGauge,
    /// Callers' requests that were relayed through peers, by result.
    pub relayed_requests: IntCounterVec,
    /// Calls to peers by result.
    pub peer_calls: IntCounterVec,
    /// Attempts that ended as if their upstream had crashed, by end.
    pub crash_losses: IntCounterVec,
    /// Checks whether an upstream has crashed, by result.
    pub crash_checks: IntCounterVec,
    /// New crash reports, by origin.
    pub crash_reports: IntCounterVec,
    /// Crash reports that were dropped, by cause.
    pub crash_reports_dropped: IntCounterVec,
    /// Requests put into the crash quarantine.
    pub crash_quarantined: IntCounter,
    /// Detected suspensions of the process.
    pub suspensions: IntCounter,
    /// Requests in flight.
    pub requests_in_flight: IntGauge,
    /// Bytes reserved for bodies of requests and replies.
    pub held_bytes: IntGauge,
    /// Connections whose other end has to read before more can be written.
    pub blocked_connections: IntGauge,
    /// Open connections to upstreams.
    pub connections: IntGauge,
    /// Requests refused because too many of their pools are short of capacity, by route.
    pub refused_short: IntCounterVec,
    /// Pools that are short of capacity.
    pub short_pools: IntGauge,
    /// Work that this node is asked for at pools that are short, as the number of requests that
    /// would run concurrently, by pool and by kind.
    pub short_pool_load: GaugeVec,
    /// Generation of the configuration in force.
    pub generation: IntGauge,
    /// Revision up to which this node knows the registry.
    pub revision: IntGauge,
    /// Era that the revision belongs to; 0 if the platform does not tell.
    pub era: IntGauge,
    /// Times that the platform came back from an earlier copy of its data.
    pub platform_restores: IntCounter,
    /// Age of the platform data, in milliseconds; -1 without any.
    pub platform_data_age_ms: IntGauge,
    /// Upstreams eligible for attempts.
    pub upstreams: IntGauge,
    /// Failure domains whose upstreams get no requests, by order of the operator.
    pub evacuated_domains: IntGauge,
    /// Home regions of routes in which no failure domain is known.
    pub unknown_home_regions: IntGauge,
    /// Nodes believed alive, including this one.
    pub nodes: IntGauge,
    /// Log lines that the writer dropped because it fell behind.
    pub log_dropped: IntGauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics, at zero.
    pub fn new() -> Metrics {
        let r = Registry::new();
        Metrics {
            requests: counters(&r, "requests_total", "Answers", &["outcome", "reason"]),
            request_seconds: {
                let help = "Time from a request's arrival to its answer";
                let opts = HistogramOpts::new("balsamgate_request_seconds", help);
                let metric =
                    HistogramVec::new(opts.buckets(LATENCY_BUCKETS_S.to_vec()), &["outcome"]);
                register(&r, metric)
            },
            attempts: counters(&r, "attempts_total", "Attempts by end", &["end"]),
            attempt_seconds: {
                let help = "Time from an attempt to its reply";
                let opts = HistogramOpts::new("balsamgate_attempt_seconds", help);
                register(&r, Histogram::with_opts(opts.buckets(LATENCY_BUCKETS_S.to_vec())))
            },
            second_attempts: counters(&r, "second_attempts_total", "Second attempts", &["cause"]),
            second_attempts_denied: {
                let help = "Second attempts that the budget did not allow";
                register(&r, IntCounter::new("balsamgate_second_denied_total", help))
            },
            pools_missing: {
                let help = "Pools left out of merged answers";
                register(&r, IntCounter::new("balsamgate_pools_missing_total", help))
            },
            replies_cut: {
                let help = "Replies that were not received in full";
                counters(&r, "replies_cut_total", help, &["cause"])
            },
            slow_readers: {
                let help = "Connections closed because the other end read too slowly";
                counters(&r, "slow_readers_total", help, &["cause", "reader"])
            },
            connections_failed: {
                let help = "Connections that failed";
                counters(&r, "connections_failed_total", help, &["cause", "reader"])
            },
            platform_calls: counters(&r, "platform_calls_total", "Platform calls", &["result"]),
            invalid_values: {
                let help = "Values in the platform's service that were of no use";
                register(&r, IntCounter::new("balsamgate_platform_unusable_total", help))
            },
            upstream_notices: {
                let help = "Replies by which an upstream changed what it wants";
                counters(&r, "upstream_notices_total", help, &["kind"])
            },
            limited_upstreams: {
                let help = "Upstreams that state a limit, by what this node's part follows from";
                let opts = Opts::new("balsamgate_limited_upstreams", help);
                register(&r, IntGaugeVec::new(opts, &["basis"]))
            },
            limited_attempts: {
                let help = "Attempts to upstreams with a limit on all nodes";
                counters(&r, "limited_attempts_total", help, &["kind"])
            },
            cold_upstreams: gauge(&r, "cold_upstreams", "Upstreams that are cold"),
            cold_withheld: {
                let help = "Attempts that were withheld because an upstream is cold";
                register(&r, IntCounter::new("balsamgate_cold_withheld_total", help))
            },
            isolated: gauge(&r, "isolated", "Whether this node is cut off from the upstreams"),
            peers_reaching: gauge(&r, "peers_reaching", "Peers known to reach upstreams"),
            peers_cut_off: gauge(&r, "peers_cut_off", "Peers known not to reach upstreams"),
            relayed_requests: {
                let help = "Requests of callers relayed through other nodes";
                counters(&r, "relayed_requests_total", help, &["result"])
            },
            peer_calls: counters(&r, "peer_calls_total", "Calls to peers", &["result"]),
            crash_losses: {
                let help = "Attempts that ended as if the upstream had crashed";
                counters(&r, "crash_losses_total", help, &["end"])
            },
            crash_checks: {
                let help = "Checks whether an upstream has crashed";
                counters(&r, "crash_checks_total", help, &["result"])
            },
            crash_reports: counters(&r, "crash_reports_total", "New crash reports", &["origin"]),
            crash_reports_dropped: {
                let help = "Crash reports that were dropped";
                counters(&r, "crash_reports_dropped_total", help, &["cause"])
            },
            crash_quarantined: {
                let help = "Requests put into the crash quarantine";
                register(&r, IntCounter::new("balsamgate_crash_quarantined_total", help))
            },
            suspensions: {
                let help = "Times that the process was suspended";
                register(&r, IntCounter::new("balsamgate_suspensions_total", help))
            },
            requests_in_flight: gauge(&r, "serving", "Requests being served"),
            held_bytes: gauge(&r, "held_bytes", "Bytes of requests and replies held"),
            blocked_connections: {
                let help = "Connections that wait for the other end to read";
                gauge(&r, "blocked_connections", help)
            },
            connections: gauge(&r, "connections", "Connections to upstreams"),
            refused_short: {
                let help = "Requests refused as too many of their pools are short of capacity";
                counters(&r, "refused_short_total", help, &["route"])
            },
            short_pools: gauge(&r, "short_pools", "Pools that are short of capacity"),
            short_pool_load: {
                let help = "Work asked for at pools short of capacity, in concurrent requests";
                let opts = Opts::new("balsamgate_short_pool_load", help);
                register(&r, GaugeVec::new(opts, &["pool", "kind"]))
            },
            generation: gauge(&r, "generation", "Generation of the configuration in force"),
            revision: gauge(&r, "revision", "Revision of the registry that is known"),
            era: gauge(&r, "era", "Era of the platform's change history that is known"),
            platform_restores: {
                let help = "Times that the platform came back from an earlier copy of its data";
                register(&r, IntCounter::new("balsamgate_platform_restores_total", help))
            },
            platform_data_age_ms: gauge(&r, "word_age_ms", "Age of the platform's last word"),
            upstreams: gauge(&r, "upstreams", "Upstreams that may be used"),
            evacuated_domains: gauge(&r, "evacuated_domains", "Failure domains that are evacuated"),
            unknown_home_regions: gauge(
                &r,
                "unknown_home_regions",
                "Home regions of routes in which no failure domain is known",
            ),
            nodes: gauge(&r, "nodes", "Nodes known to live, this one included"),
            log_dropped: gauge(&r, "log_dropped", "Log lines dropped by the writer"),
            registry: r,
        }
    }

    /// Records the end of a request `elapsed` after its arrival.
    pub fn record_answer(&self, outcome: &str, reason: &str, elapsed: Duration) {
        self.requests.with_label_values(&[outcome, reason]).inc();
        self.request_seconds.with_label_values(&[outcome]).observe(elapsed.as_secs_f64());
    }

    /// Encodes all metrics.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(error = %e, "failed to encode all metrics");
        }
        text
    }
}

fn register<T>(registry: &Registry, metric: prometheus::Result<T>) -> T
where
    T: prometheus::core::Collector + Clone + 'static,
{
    // Neither call fails: names and labels are valid constants, and each is registered once.
    let metric = metric.unwrap_or_else(|e| unreachable!("{e}"));
    registry.register(Box::new(metric.clone())).unwrap_or_else(|e| unreachable!("{e}"));
    metric
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(format!("balsamgate_{name}"), help);
    register(registry, IntCounterVec::new(opts, labels))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(format!("balsamgate_{name}"), help))
}
