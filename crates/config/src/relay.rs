//! Settings of a node that relays requests, in INI, with a list of every setting.

use std::{net::SocketAddr, time::Duration};

use base::id;

use crate::{
    field::{Errors, File},
    settings::Help,
};

/// Settings of one node that relays requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Deployment that the node belongs to.
    pub deployment: id::Deployment,
    /// Failure domain that the node's VM is in.
    pub domain: id::Domain,
    /// Processor time of the VM, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address that says whether the node is ready.
    pub readiness_addr: SocketAddr,
    /// Address that tells callers which nodes to use.
    pub directory_addr: SocketAddr,
    /// Address for other nodes; TCP for requests, UDP for heartbeats.
    pub peer_addr: SocketAddr,
    /// Address that counters are read at.
    pub metrics_addr: Option<SocketAddr>,
    /// Nodes to ask for the others, by any of their addresses: only the IP counts, as all
    /// nodes use the same port for their peers.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's service.
    pub platform_addr: SocketAddr,
    /// Validity of an address answer.
    pub address_validity: Duration,
    /// Time within which a new configuration is in force on every node.
    pub apply_limit: Duration,
    /// Time within which an upstream that leaves gets no more requests.
    pub drain_limit: Duration,
    /// Time from the signal to stop until the process must have ended.
    pub stop_grace: Duration,
    /// Second attempts for each request to a pool, over all nodes.
    pub second_attempt_ratio: f64,
    /// Second attempts to a pool besides, over all nodes.
    pub second_attempt_slack: f64,
    /// Window that the two hold in.
    pub second_attempt_window: Duration,
    /// Requests that the node serves at a time.
    pub max_requests: usize,
    /// Bytes of request and reply bodies that the node holds at a time.
    pub max_buffered_bytes: usize,
    /// Level of the log.
    pub log_level: String,
    /// Log lines of one kind a second.
    pub log_rate: u32,
}

macro_rules! help {
    ($($field:literal, $allowed:literal, $default:literal, $text:literal;)*) => {
        /// Every setting.
        pub const HELP: &[Help] =
            &[$(Help { field: $field, allowed: $allowed, default: $default, text: $text }),*];
    };
}

help! {
    "[node] deployment", "name", "", "Deployment that the node belongs to";
    "[node] failure_domain", "name", "", "Failure domain of the node's VM";
    "[node] cores", "0.001 to 1000", "1", "Processor time of the VM, in cores";
    "[listen] callers", "IP:port", "", "Address for callers";
    "[listen] ready", "IP:port", "", "Address that says whether the node is ready";
    "[listen] directory", "IP:port", "", "Address that tells callers which nodes to use";
    "[listen] peers", "IP:port", "", "Address for other nodes, TCP and UDP";
    "[listen] metrics", "IP:port", "(none)", "Address that counters are read at";
    "[fleet] seeds", "IP:port separated by commas", "(none)", "Nodes to ask for the others; only the IP counts";
    "[platform] address", "IP:port", "", "Address of the platform's service";
    "[addresses] validity", "1 s to 5 min", "1 s", "Validity of an address answer";
    "[bounds] apply", "100 ms to 10 min", "5 s", "Time within which a new configuration is in force on every node";
    "[bounds] drain", "100 ms to 10 min", "3 s", "Time within which an upstream that leaves gets no more requests";
    "[bounds] grace", "1 s to 30 min", "30 s", "Time from the signal to stop until the process must have ended";
    "[extra] ratio", "0 to 1", "0.05", "Second attempts for each request to a pool, over all nodes";
    "[extra] slack", "0 to 100000", "0", "Second attempts to a pool besides, over all nodes";
    "[extra] window", "1 s to 5 min", "10 s", "Window that ratio and slack hold in";
    "[limits] requests", "1 to 100000", "512", "Requests served at a time";
    "[limits] buffer", "1048576 to 4294967296 bytes", "33554432", "Bytes of request and reply bodies held at a time";
    "[log] level", "off, error, warn, info, debug or trace", "info", "Level of the log";
    "[log] rate", "1 to 100000", "20", "Log lines of one kind a second; the others are counted";
}

impl Settings {
    /// Reads settings from INI `text`; `name` is the file's name, for errors.
    pub fn parse(name: &str, text: &str) -> Result<Settings, Errors> {
        let mut file = File::parse(name, text)?;
        let f = &mut file;
        let mut node = f.take_one("node", true);
        let deployment = node.take(f, "deployment", id::NAME_RULE, None, |v| v.parse().ok());
        let domain = node.take(f, "failure_domain", id::DOMAIN_NAME_RULE, None, |v| v.parse().ok());
        let cores = node.take(f, "cores", "0.001 to 1000", Some(1.0), |v| within(v, 0.001, 1e3));
        node.finish(f, "deployment, failure_domain, cores");

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
        let seeds = fleet.take(f, "seeds", list, Some(Vec::new()), addresses);
        fleet.finish(f, "seeds");

        let mut platform = f.take_one("platform", true);
        let platform_addr = platform.take(f, "address", addr, None, |v| v.parse().ok());
        platform.finish(f, "address");

        let mut addresses = f.take_one("addresses", false);
        let validity = addresses.span(f, "validity", 1_000..=300_000, Some(1_000));
        addresses.finish(f, "validity");

        let mut bounds = f.take_one("bounds", false);
        let apply = bounds.span(f, "apply", 100..=600_000, Some(5_000));
        let drain = bounds.span(f, "drain", 100..=600_000, Some(3_000));
        let grace = bounds.span(f, "grace", 1_000..=1_800_000, Some(30_000));
        bounds.finish(f, "apply, drain, grace");

        let mut extra = f.take_one("extra", false);
        let ratio = extra.take(f, "ratio", "0 to 1", Some(0.05), |v| within(v, 0.0, 1.0));
        let slack = extra.take(f, "slack", "0 to 100000", Some(0.0), |v| within(v, 0.0, 100_000.0));
        let window = extra.span(f, "window", 1_000..=300_000, Some(10_000));
        extra.finish(f, "ratio, slack, window");

        let mut limits = f.take_one("limits", false);
        let requests = limits.number(f, "requests", 1..=100_000, Some(512));
        let buffer = limits.number(f, "buffer", 1 << 20..=4 << 30, Some(32 << 20));
        limits.finish(f, "requests, buffer");

        let mut log = f.take_one("log", false);
        let levels = ["off", "error", "warn", "info", "debug", "trace"];
        let level = |v: &str| levels.contains(&v).then(|| v.to_owned());
        let info = Some("info".to_owned());
        let log_level = log.take(f, "level", &levels.join(", "), info, level);
        let log_rate = log.number(f, "rate", 1..=100_000, Some(20));
        log.finish(f, "level, rate");

        let sections = "[node], [listen], [fleet], [platform], [addresses], [bounds], [extra], \
                        [limits], [log]";
        file.finish(sections)?;
        let settings = || {
            Some(Settings {
                deployment: deployment?,
                domain: domain?,
                capacity_millicores: (cores? * 1_000.0).round() as u32,
                caller_addr: callers?,
                readiness_addr: ready?,
                directory_addr: directory?,
                peer_addr: peers?,
                metrics_addr: metrics?,
                seeds: seeds?,
                platform_addr: platform_addr?,
                address_validity: validity?,
                apply_limit: apply?,
                drain_limit: drain?,
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
        // A field without a value has been reported, and `finish` has returned the report.
        settings().ok_or_else(|| Errors(Vec::new()))
    }
}

fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let given = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    given.map(|part| part.parse().ok()).collect()
}

fn within(text: &str, least: f64, most: f64) -> Option<f64> {
    text.parse().ok().filter(|n| (least..=most).contains(n))
}
