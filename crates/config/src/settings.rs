//! Settings of one node, in INI, with a list of every setting.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use base::id;

use crate::field::{Errors, File};

/// How sub-requests reach upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// Through one leaf a group in the root's failure domain.
    ViaLeaf,
    /// From the root's own process.
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

/// Settings of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Deployment that the node belongs to.
    pub deployment: id::Deployment,
    /// Failure domain that the node's VM is in.
    pub domain: id::Domain,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for other nodes; TCP for requests, UDP for heartbeats.
    pub peer_addr: SocketAddr,
    /// Address for operators.
    pub operator_addr: SocketAddr,
    /// Address of the platform's service.
    pub platform_addr: SocketAddr,
    /// Routing of sub-requests.
    pub routing: Routing,
    /// Validity of an address answer.
    pub address_validity: Duration,
    /// Time after which an id for a non-idempotent request expires.
    pub id_validity: Duration,
    /// Longest duration of a planned stop.
    pub stop_limit: Duration,
    /// Requests that the node serves at a time.
    pub max_requests: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to read a request or to write an answer.
    pub io_timeout: Duration,
    /// Worker threads; 0 stands for one a core.
    pub worker_threads: usize,
    /// Level of the log.
    pub log_level: String,
    /// Address of a statsd server, if counters are sent.
    pub statsd_addr: Option<SocketAddr>,
    /// URL of an OTLP collector, if traces are sent.
    pub otlp_url: Option<String>,
}

/// Description of one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Help {
    /// Section and key.
    pub field: &'static str,
    /// Unit and accepted range.
    pub allowed: &'static str,
    /// Value if the setting is absent; empty if it must be given.
    pub default: &'static str,
    /// What it does.
    pub text: &'static str,
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
    "[node] threads", "0 to 256", "0", "Worker threads; 0 for one a core";
    "[listen] callers", "IP:port", "", "Address for callers";
    "[listen] peers", "IP:port", "", "Address for other nodes, TCP and UDP";
    "[listen] operators", "IP:port", "", "Address for operators";
    "[platform] address", "IP:port", "", "Address of the platform's service";
    "[routing] mode", "cells or direct", "cells", "How sub-requests reach upstreams";
    "[limits] requests", "1 to 100000", "1000", "Requests served at a time";
    "[limits] body", "1024 to 16777216 bytes", "1048576", "Largest body of a request";
    "[limits] io_timeout", "100 ms to 5 min", "10 s", "Longest time to read a request or to write an answer";
    "[addresses] validity", "1 s to 5 min", "10 s", "Validity of an address answer";
    "[addresses] id_validity", "1 s to 10 min", "30 s", "Time after which an id for a non-idempotent request expires";
    "[stop] limit", "1 s to 30 min", "90 s", "Longest duration of a planned stop";
    "[log] level", "off, error, warn, info, debug or trace", "info", "Level of the log";
    "[metrics] statsd", "IP:port", "(none)", "Statsd server that counters are sent to";
    "[traces] otlp", "URL", "(none)", "OTLP collector that spans are sent to";
}

impl Settings {
    /// Reads settings from INI `text`; `name` is the file's name, for errors.
    pub fn parse(name: &str, text: &str) -> Result<Settings, Errors> {
        let mut file = File::parse(name, text)?;
        let f = &mut file;
        let mut node = f.take_one("node", true);
        let deployment = node.take(f, "deployment", id::NAME_RULE, None, |v| v.parse().ok());
        let domain = node.take(f, "failure_domain", id::DOMAIN_NAME_RULE, None, |v| v.parse().ok());
        let threads = node.number(f, "threads", 0..=256, Some(0));
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
        let requests = limits.number(f, "requests", 1..=100_000, Some(1_000));
        let body = limits.number(f, "body", 1_024..=16_777_216, Some(1_048_576));
        let io_timeout = limits.span(f, "io_timeout", 100..=300_000, Some(10_000));
        limits.finish(f, "requests, body, io_timeout");

        let mut addresses = f.take_one("addresses", false);
        let validity = addresses.span(f, "validity", 1_000..=300_000, Some(10_000));
        let id_validity = addresses.span(f, "id_validity", 1_000..=600_000, Some(30_000));
        addresses.finish(f, "validity, id_validity");

        let mut stop = f.take_one("stop", false);
        let stop_limit = stop.span(f, "limit", 1_000..=1_800_000, Some(90_000));
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
        // A field without a value has been reported, and `finish` has returned the report.
        settings().ok_or_else(|| Errors(Vec::new()))
    }
}
