//! Settings of a relay node, parsed from INI, with a description of each setting.

use std::{net::SocketAddr, time::Duration};

use base::{hash::FastMap, id};

use crate::{
    field::{Errors, File},
    settings::Help,
};

/// Settings of a relay node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Deployment that the node belongs to.
    pub deployment: id::Deployment,
    /// Failure domain that the node's VM is in.
    pub domain: id::Domain,
    /// Processor capacity of the VM, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Region of each failure domain; empty if the deployment has one region.
    pub regions: FastMap<id::Domain, id::Region>,
    /// Address that callers connect to.
    pub caller_addr: SocketAddr,
    /// Address of the readiness check.
    pub readiness_addr: SocketAddr,
    /// Address at which callers look up which nodes to use.
    pub directory_addr: SocketAddr,
    /// Address that the node listens on for other nodes; TCP for requests, UDP for heartbeats.
    pub peer_addr: SocketAddr,
    /// Address at which other nodes reach this one. Differs from `peer_addr` if addresses or
    /// ports are translated on the way.
    pub advertised_addr: SocketAddr,
    /// Address that serves metrics, if they are served.
    pub metrics_addr: Option<SocketAddr>,
    /// Nodes to contact first to find the others. Only the IP counts, so any address of a node
    /// will do: all nodes use the same peer port.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's service.
    pub platform_addr: SocketAddr,
    /// Interval at which upstreams renew their entries in the platform's registry.
    pub renewal_interval: Duration,
    /// Time for which callers may cache an address answer.
    pub address_validity: Duration,
    /// Time within which a new configuration is in force on every node.
    pub apply_limit: Duration,
    /// Time within which a leaving upstream stops receiving requests.
    pub drain_limit: Duration,
    /// Time within which upstreams of an evacuated failure domain stop receiving requests; `None` if
    /// the operator does not evacuate failure domains.
    pub evacuation_limit: Option<Duration>,
    /// Requests that a cold upstream tolerates in any second from all nodes together, as a multiple of
    /// what it states.
    pub cold_excess: f64,
    /// Requests that it tolerates in addition.
    pub cold_slack: f64,
    /// Time within which callers of a node that is cut off from all upstreams must be served again;
    /// `None` if nodes do not relay requests through each other.
    pub contact_limit: Option<Duration>,
    /// Time from the stop signal until the process must have exited.
    pub stop_grace: Duration,
    /// Second attempts (retries and hedged requests) allowed per request to a pool, across all
    /// nodes.
    pub second_attempt_ratio: f64,
    /// Second attempts allowed per pool and window in addition to the ratio, across all nodes.
    pub second_attempt_slack: f64,
    /// Window over which the limit on second attempts applies.
    pub second_attempt_window: Duration,
    /// Limit on requests that the node serves concurrently.
    pub max_requests: usize,
    /// Limit on buffered bytes of request and reply bodies.
    pub max_buffered_bytes: usize,
    /// Log level.
    pub log_level: String,
    /// Limit on log lines of one kind per second; further lines are counted instead of written.
    pub log_rate: u32,
}

macro_rules! help {
    ($($field:literal, $allowed:literal, $default:literal, $text:literal;)*) => {
        /// Descriptions of all settings.
        pub const HELP: &[Help] =
            &[$(Help { field: $field, allowed: $allowed, default: $default, text: $text }),*];
    };
}

help! {
    "[node] deployment", "name", "", "Deployment that the node belongs to";
    "[node] failure_domain", "name", "", "Failure domain of the node's VM";
    "[node] cores", "0.001 to 1000", "1", "Processor capacity of the VM, in cores";
    "[node] memory", "16 to 1048576 MB", "(none)", "Memory of the VM; determines the default of [limits] buffer";
    "[listen] callers", "IP:port", "", "Address that callers connect to";
    "[listen] ready", "IP:port", "", "Address of the readiness check";
    "[listen] directory", "IP:port", "", "Address at which callers look up which nodes to use";
    "[listen] peers", "IP:port", "", "Address that other nodes connect to, TCP and UDP";
    "[listen] metrics", "IP:port", "(none)", "Address that serves metrics";
    "[fleet] advertise", "IP:port", "[listen] peers", "Address at which other nodes reach this one, if it listens on another";
    "[fleet] seeds", "IP:port separated by commas", "(none)", "Nodes to contact first to find the others; only the IP counts";
    "[platform] address", "IP:port", "", "Address of the platform's service";
    "[platform] renewal", "100 ms to 1 min", "1200 ms", "Interval at which upstreams renew their entries in the registry; an entry lapses after three";
    "[addresses] validity", "1 s to 5 min", "1 s", "Time for which callers may cache an address answer";
    "[bounds] apply", "100 ms to 10 min", "5 s", "Time within which a new configuration is in force on every node";
    "[bounds] drain", "100 ms to 10 min", "3 s", "Time within which a leaving upstream stops receiving requests";
    "[bounds] evacuate", "100 ms to 10 min", "(none)", "Time within which upstreams of an evacuated failure domain stop receiving requests";
    "[bounds] cold_excess", "1 to 100", "1.5", "Requests that a cold upstream tolerates in any second from all nodes, as a multiple of what it states";
    "[bounds] cold_slack", "0 to 100000", "5", "Requests that a cold upstream tolerates in any second in addition to cold_excess";
    "[bounds] contact", "2 s to 10 min", "(none)", "Time within which callers of a node that is cut off from all upstreams are served again; turns on relaying through other nodes";
    "[bounds] grace", "1 s to 30 min", "30 s", "Time from the stop signal until the process must have exited";
    "[extra] ratio", "0 to 1", "0.05", "Second attempts allowed per request to a pool, across all nodes";
    "[extra] slack", "0 to 100000", "0", "Second attempts allowed per pool and window in addition to ratio, across all nodes";
    "[extra] window", "1 s to 5 min", "10 s", "Window over which ratio and slack apply";
    "[limits] requests", "1 to 100000", "512", "Requests served concurrently";
    "[limits] buffer", "1048576 to 4294967296 bytes", "33554432, or an eighth of [node] memory if that is less", "Limit on buffered bytes of request and reply bodies";
    "[regions] FAILURE_DOMAIN", "name", "(none)", "Region that the failure domain is in; needed for routes with home regions";
    "[log] level", "off, error, warn, info, debug or trace", "info", "Log level";
    "[log] rate", "1 to 100000", "20", "Log lines of one kind per second; further lines are counted instead of written";
}

impl Settings {
    /// Returns whether nodes of this deployment relay requests through each other while they are cut
    /// off from the upstreams.
    pub fn relays_through_peers(&self) -> bool {
        self.contact_limit.is_some()
    }

    /// Parses settings from INI `text`; `name` is the file's name, for errors.
    pub fn parse(name: &str, text: &str) -> Result<Settings, Errors> {
        let mut file = File::parse(name, text)?;
        let f = &mut file;
        let mut node = f.take_one("node", true);
        let deployment = node.take(f, "deployment", id::NAME_RULE, None, |v| v.parse().ok());
        let domain = node.take(f, "failure_domain", id::DOMAIN_NAME_RULE, None, |v| v.parse().ok());
        let cores = node.take(f, "cores", "0.001 to 1000", Some(1.0), |v| within(v, 0.001, 1e3));
        let memory = node.take(f, "memory", "16 to 1048576", Some(None), |v| {
            within(v, 16.0, 1_048_576.0).map(Some)
        });
        node.finish(f, "deployment, failure_domain, cores, memory");

        let addr = "IP:port, such as 127.0.0.1:7000";
        let mut listen = f.take_one("listen", true);
        let callers = listen.take(f, "callers", addr, None, |v| v.parse().ok());
        let ready = listen.take(f, "ready", addr, None, |v| v.parse().ok());
        let directory = listen.take(f, "directory", addr, None, |v| v.parse().ok());
        let peers = listen.take(f, "peers", addr, None, |v| v.parse().ok());
        let metrics = listen.take(f, "metrics", addr, Some(None), |v| v.parse().ok().map(Some));
        listen.finish(f, "callers, ready, directory, peers, metrics");

        let mut fleet = f.take_one("fleet", false);
        let list = "IP:port separated by commas";
        let seeds = fleet.take(f, "seeds", list, Some(Vec::new()), parse_addresses);
        let advertised =
            fleet.take(f, "advertise", addr, Some(peers), |v| v.parse().ok().map(Some));
        fleet.finish(f, "advertise, seeds");

        let mut platform = f.take_one("platform", true);
        let platform_addr = platform.take(f, "address", addr, None, |v| v.parse().ok());
        let renewal = platform.take_duration(f, "renewal", 100..=60_000, Some(1_200));
        platform.finish(f, "address, renewal");

        let mut addresses = f.take_one("addresses", false);
        let validity = addresses.take_duration(f, "validity", 1_000..=300_000, Some(1_000));
        addresses.finish(f, "validity");

        let mut bounds = f.take_one("bounds", false);
        let apply = bounds.take_duration(f, "apply", 100..=600_000, Some(5_000));
        let drain = bounds.take_duration(f, "drain", 100..=600_000, Some(3_000));
        let evacuate_range = 100..=600_000;
        let evacuate = bounds.take_optional_duration(f, "evacuate", evacuate_range);
        let excess =
            bounds.take(f, "cold_excess", "1 to 100", Some(1.5), |v| within(v, 1.0, 100.0));
        let allowed = "0 to 100000";
        let cold_slack =
            bounds.take(f, "cold_slack", allowed, Some(5.0), |v| within(v, 0.0, 100_000.0));
        let contact = bounds.take_optional_duration(f, "contact", 2_000..=600_000);
        let grace = bounds.take_duration(f, "grace", 1_000..=1_800_000, Some(30_000));
        bounds.finish(f, "apply, drain, evacuate, cold_excess, cold_slack, contact, grace");

        let mut extra = f.take_one("extra", false);
        let ratio = extra.take(f, "ratio", "0 to 1", Some(0.05), |v| within(v, 0.0, 1.0));
        let slack = extra.take(f, "slack", "0 to 100000", Some(0.0), |v| within(v, 0.0, 100_000.0));
        let window = extra.take_duration(f, "window", 1_000..=300_000, Some(10_000));
        extra.finish(f, "ratio, slack, window");

        let mut limits = f.take_one("limits", false);
        let requests = limits.take_integer(f, "requests", 1..=100_000, Some(512));
        let default_buffer = default_buffer(memory.flatten());
        let buffer = limits.take_integer(f, "buffer", 1 << 20..=4 << 30, Some(default_buffer));
        limits.finish(f, "requests, buffer");

        let mut regions = f.take_one("regions", false);
        let region_pair = "failure domain = region, both names";
        let regions = regions.take_pairs::<id::Domain, id::Region>(f, region_pair);

        let mut log = f.take_one("log", false);
        let levels = ["off", "error", "warn", "info", "debug", "trace"];
        let level = |v: &str| levels.contains(&v).then(|| v.to_owned());
        let info = Some("info".to_owned());
        let log_level = log.take(f, "level", &levels.join(", "), info, level);
        let log_rate = log.take_integer(f, "rate", 1..=100_000, Some(20));
        log.finish(f, "level, rate");

        let sections = "[node], [listen], [fleet], [platform], [addresses], [bounds], [extra], \
                        [limits], [regions], [log]";
        file.finish(sections)?;
        let settings = || {
            Some(Settings {
                deployment: deployment?,
                domain: domain?,
                capacity_millicores: (cores? * 1_000.0).round() as u32,
                regions: regions.into_iter().collect(),
                caller_addr: callers?,
                readiness_addr: ready?,
                directory_addr: directory?,
                peer_addr: peers?,
                advertised_addr: advertised??,
                metrics_addr: metrics?,
                seeds: seeds?,
                platform_addr: platform_addr?,
                renewal_interval: renewal?,
                address_validity: validity?,
                apply_limit: apply?,
                drain_limit: drain?,
                evacuation_limit: evacuate?,
                cold_excess: excess?,
                cold_slack: cold_slack?,
                contact_limit: contact?,
                stop_grace: grace?,
                second_attempt_ratio: ratio?,
                second_attempt_slack: slack?,
                second_attempt_window: window?,
                max_requests: requests? as usize,
                max_buffered_bytes: buffer? as usize,
                log_level: log_level?,
                log_rate: log_rate? as u32,
            })
        };
        // `finish` has already returned the errors of fields without a value.
        settings().ok_or_else(|| Errors(Vec::new()))
    }
}

/// Returns the limit on buffered bytes for a VM with `memory_mb` of memory: an eighth, as bodies take
/// up twice their bytes while they arrive, and the node itself and its connections need the most of
/// the smallest VMs.
fn default_buffer(memory_mb: Option<f64>) -> u64 {
    let share = memory_mb.map_or(u64::MAX, |mb| (mb / 8.0 * f64::from(1 << 20)) as u64);
    share.clamp(1 << 20, 32 << 20)
}

/// Parses a comma-separated list of addresses, which may be empty.
fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| part.parse().ok()).collect()
}

/// Parses a number from `min` to `max`.
fn within(text: &str, min: f64, max: f64) -> Option<f64> {
    text.parse().ok().filter(|n| (min..=max).contains(n))
}
