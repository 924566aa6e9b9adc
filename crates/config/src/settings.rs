//! Settings of a node, parsed from INI, with a description of each setting.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use base::id;

use crate::field::{Errors, File};

/// How sub-requests are routed to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// Through the leaf of each group, which is one node of the root's failure domain.
    ViaLeaf,
    /// Directly from the root's process.
    Direct,
}

impl fmt::Display for Routing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Routing::ViaLeaf => "cells",
            Routing::Direct => "direct",
        })
    }
}

impl FromStr for Routing {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<Routing, id::Error> {
        match text {
            "cells" => Ok(Routing::ViaLeaf),
            "direct" => Ok(Routing::Direct),
            _ => {
                let allowed = "cells or direct";
                Err(id::Error { kind: "routing", input: text.to_owned(), allowed })
            }
        }
    }
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Deployment that the node belongs to.
    pub deployment: id::Deployment,
    /// Failure domain that the node's VM is in.
    pub domain: id::Domain,
    /// Address that callers connect to.
    pub caller_addr: SocketAddr,
    /// Address that other nodes connect to; TCP for requests, UDP for heartbeats.
    pub peer_addr: SocketAddr,
    /// Address that operators connect to.
    pub operator_addr: SocketAddr,
    /// Address of the platform's service.
    pub platform_addr: SocketAddr,
    /// Routing of sub-requests.
    pub routing: Routing,
    /// Time for which callers may cache an address answer.
    pub address_validity: Duration,
    /// Time after which the id of a non-idempotent request expires.
    pub id_validity: Duration,
    /// Time limit of a planned stop.
    pub stop_limit: Duration,
    /// Limit on requests that the node serves concurrently.
    pub max_requests: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request or writing an answer.
    pub io_timeout: Duration,
    /// Number of worker threads; 0 means one per core.
    pub worker_threads: usize,
    /// Log level.
    pub log_level: String,
    /// Address of the statsd server that counters are sent to, if any.
    pub statsd_addr: Option<SocketAddr>,
    /// URL of the OTLP collector that spans are sent to, if any.
    pub otlp_url: Option<String>,
}

/// Description of one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Help {
    /// Section and key.
    pub field: &'static str,
    /// Accepted values, with their unit.
    pub allowed: &'static str,
    /// Value if the setting is absent; empty if the setting is required.
    pub default: &'static str,
    /// Effect of the setting.
    pub text: &'static str,
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
    "[node] threads", "0 to 256", "0", "Worker threads; 0 means one per core";
    "[listen] callers", "IP:port", "", "Address that callers connect to";
    "[listen] peers", "IP:port", "", "Address that other nodes connect to, TCP and UDP";
    "[listen] operators", "IP:port", "", "Address that operators connect to";
    "[platform] address", "IP:port", "", "Address of the platform's service";
    "[routing] mode", "cells or direct", "cells", "How sub-requests are routed: cells uses one leaf node for each group in the failure domain, direct uses the node itself";
    "[limits] requests", "1 to 100000", "1000", "Requests served concurrently";
    "[limits] body", "1024 to 16777216 bytes", "1048576", "Largest request body";
    "[limits] io_timeout", "100 ms to 5 min", "10 s", "Timeout for reading a request or writing an answer";
    "[addresses] validity", "1 s to 5 min", "10 s", "Time for which callers may cache an address answer";
    "[addresses] id_validity", "1 s to 10 min", "30 s", "Time after which the id of a non-idempotent request expires";
    "[stop] limit", "1 s to 30 min", "90 s", "Time limit of a planned stop";
    "[log] level", "off, error, warn, info, debug or trace", "info", "Log level";
    "[metrics] statsd", "IP:port", "(none)", "Statsd server that counters are sent to";
    "[traces] otlp", "URL", "(none)", "OTLP collector that spans are sent to";
}

impl Settings {
    /// Parses settings from INI `text`; `name` is the file's name, for errors.
    pub fn parse(name: &str, text: &str) -> Result<Settings, Errors> {
        let mut file = File::parse(name, text)?;
        let f = &mut file;
        let mut node = f.take_one("node", true);
        let deployment = node.take(f, "deployment", id::NAME_RULE, None, |v| v.parse().ok());
        let domain = node.take(f, "failure_domain", id::DOMAIN_NAME_RULE, None, |v| v.parse().ok());
        let threads = node.take_integer(f, "threads", 0..=256, Some(0));
        node.finish(f, "deployment, failure_domain, threads");

        let addr = "IP:port, such as 127.0.0.1:7000";
        let mut listen = f.take_one("listen", true);
        let callers = listen.take(f, "callers", addr, None, |v| v.parse().ok());
        let peers = listen.take(f, "peers", addr, None, |v| v.parse().ok());
        let operators = listen.take(f, "operators", addr, None, |v| v.parse().ok());
        listen.finish(f, "callers, peers, operators");

        let mut platform = f.take_one("platform", true);
        let platform_addr = platform.take(f, "address", addr, None, |v| v.parse().ok());
        platform.finish(f, "address");

        let mut routing = f.take_one("routing", false);
        let cells = Some(Routing::ViaLeaf);
        let mode = routing.take(f, "mode", "cells or direct", cells, |v| v.parse().ok());
        routing.finish(f, "mode");

        let mut limits = f.take_one("limits", false);
        let requests = limits.take_integer(f, "requests", 1..=100_000, Some(1_000));
        let body = limits.take_integer(f, "body", 1_024..=16_777_216, Some(1_048_576));
        let io_timeout = limits.take_duration(f, "io_timeout", 100..=300_000, Some(10_000));
        limits.finish(f, "requests, body, io_timeout");

        let mut addresses = f.take_one("addresses", false);
        let validity = addresses.take_duration(f, "validity", 1_000..=300_000, Some(10_000));
        let id_validity = addresses.take_duration(f, "id_validity", 1_000..=600_000, Some(30_000));
        addresses.finish(f, "validity, id_validity");

        let mut stop = f.take_one("stop", false);
        let stop_limit = stop.take_duration(f, "limit", 1_000..=1_800_000, Some(90_000));
        stop.finish(f, "limit");

        let mut log = f.take_one("log", false);
        let levels = ["off", "error", "warn", "info", "debug", "trace"];
        let level = |v: &str| levels.contains(&v).then(|| v.to_owned());
        let info = Some("info".to_owned());
        let log_level = log.take(f, "level", &levels.join(", "), info, level);
        log.finish(f, "level");

        let mut metrics = f.take_one("metrics", false);
        let statsd = metrics.take(f, "statsd", addr, Some(None), |v| v.parse().ok().map(Some));
        metrics.finish(f, "statsd");

        let mut traces = f.take_one("traces", false);
        let url = |v: &str| v.starts_with("http://").then(|| Some(v.to_owned()));
        let otlp = traces.take(f, "otlp", "a URL that starts with http://", Some(None), url);
        traces.finish(f, "otlp");

        let sections = "[node], [listen], [platform], [routing], [limits], [addresses], [stop], \
                        [log], [metrics], [traces]";
        file.finish(sections)?;
        let settings = || {
            Some(Settings {
                deployment: deployment?,
                domain: domain?,
                caller_addr: callers?,
                peer_addr: peers?,
                operator_addr: operators?,
                platform_addr: platform_addr?,
                routing: mode?,
                address_validity: validity?,
                id_validity: id_validity?,
                stop_limit: stop_limit?,
                max_requests: requests? as usize,
                max_body_bytes: body? as usize,
                io_timeout: io_timeout?,
                worker_threads: threads? as usize,
                log_level: log_level?,
                statsd_addr: statsd?,
                otlp_url: otlp?,
            })
        };
        // `finish` has already returned the errors of fields without a value.
        settings().ok_or_else(|| Errors(Vec::new()))
    }
}
