//! Stand-ins and scenarios of the review's cases. Usage: standin CASE RECORD

mod client;
mod cut;
mod http;
mod node;
mod record;
mod server;
mod store;

mod case_drain;
mod case_entry;
mod case_reader;
mod case_relay;
mod case_restart;

use std::{path::Path, process::exit, time::Duration};

use record::Record;
use server::{Server, Spec};
use store::Store;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

pub const ZONES: [&str; 3] = ["carolinas-a", "carolinas-b", "carolinas-c"];
/// Time after the start from which machines are in touch: `contact-ms` and a second.
pub const SETTLE: Duration = Duration::from_millis(5_000);

/// A route to one service.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub max_conns: usize,
}

/// Configuration with `routes` of kind `unsafe`, with the figures of `sdsfetch`.
pub fn config(version: u64, routes: &[Route]) -> String {
    let kind = r#""type":"unsafe","timeout-ms":8000,"goal-ms":500,"priority":2,"max-attempts":2"#;
    config_of(kind, version, routes)
}

/// Configuration with `routes` of `kind`.
pub fn config_of(kind: &str, version: u64, routes: &[Route]) -> String {
    let route = |r: &Route| {
        format!(
            r#"{{"name":"{}","host":"{}","prefix":"{}",{kind},"service":"{}"}}"#,
            r.name,
            client::HOST,
            r.prefix,
            r.service
        )
    };
    let service = |r: &Route| {
        format!(
            r#"{{"name":"{}","health-path":"/health","max-conns":{},"proto":"h1","tls":false}}"#,
            r.service, r.max_conns
        )
    };
    let list = |f: &dyn Fn(&Route) -> String| {
        let mut items: Vec<String> = routes.iter().map(f).collect();
        items.sort();
        items.dedup();
        items.join(",")
    };
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
        list(&route),
        list(&service)
    )
}

/// Starts `count` servers of `service`, with ids `i-SERVICE-N`.
pub fn servers(count: usize, spec: &Spec, store: &Store, record: &Record) -> Vec<Server> {
    let start = |n: usize| {
        let id = format!("i-{}-{n}", spec.service);
        let zone = ZONES[n % ZONES.len()].to_owned();
        Server::start(Spec { id, zone, ..spec.clone() }, store, record)
    };
    (0..count).map(start).collect()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::create(Path::new(path));
    record.say(&format!("case {case}, with the disruption: {trouble}"));
    let play = || match case.as_str() {
        "drain" => case_drain::run(&record, trouble),
        "entry" => case_entry::run(&record, trouble),
        "reader" => case_reader::run(&record, trouble),
        "relay" => case_relay::run(&record, trouble),
        "restart" => case_restart::run(&record, trouble),
        _ => Verdict::CannotRun,
    };
    // A panic of the stand-ins is no result. Unwinding ends the nodes.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let verdict = verdict.unwrap_or(Verdict::CannotRun);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::CannotRun => (2, "the case could not run"),
    };
    record.say(text);
    exit(code);
}
