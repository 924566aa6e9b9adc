//! What a request costs a node that relays requests: processor time, system calls, memory.
//!
//! `cargo bench -p balsamgate --bench cost -- [NAME=PROGRAM ...]` measures this version with
//! logs and without, and other builds of `balsamgate` beside it, in turn in one run. System
//! calls are counted by `strace`, where there is one.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::{path::PathBuf, process::Command, time::Duration};

use bytes::Bytes;
use fleet::{Fleet, HOST, config, upstreams};
use platform_standin::{
    caller::{CONFIG_KEY, CallerRequest, Connection},
    store::Store,
};
use tokio_util::sync::CancellationToken;

const POOLS: usize = 10;
const ROUNDS: usize = 3;
const WARM_UP: usize = 300;
const REQUESTS: usize = 3_000;
/// Requests while system calls are counted, which slows the process down.
const TRACED: usize = 300;
/// Units of processor time in `/proc`.
const TICK_US: f64 = 10_000.0;

#[derive(Debug, Clone)]
struct Variant {
    name: String,
    program: PathBuf,
    log: &'static str,
}

#[derive(Debug, Default)]
struct Cost {
    search_us: f64,
    single_us: f64,
    resident_mb: f64,
}

#[tokio::main]
async fn main() {
    let own = PathBuf::from(env!("CARGO_BIN_EXE_balsamgate"));
    let variant =
        |name: &str, program: PathBuf, log| Variant { name: name.to_owned(), program, log };
    let mut variants = vec![
        variant("this version", own.clone(), "rate = 20"),
        variant("this version, no log", own, "level = off"),
    ];
    for given in std::env::args().skip(1) {
        if let Some((name, program)) = given.split_once('=') {
            variants.push(variant(name, program.into(), "rate = 20"));
        }
    }
    println!(
        "| round | version | us a sub-request, search of {POOLS} | us a single request | MB resident |"
    );
    println!("|---|---|---|---|---|");
    for round in 1..=ROUNDS {
        for variant in &variants {
            let Cost { search_us, single_us, resident_mb } = measure(variant).await;
            let name = &variant.name;
            println!("| {round} | {name} | {search_us:.1} | {single_us:.1} | {resident_mb:.1} |");
        }
    }
    for variant in &variants {
        let calls = trace(variant).await;
        println!("\n{}: system calls of {TRACED} searches of {POOLS} pools\n{calls}", variant.name);
    }
}

async fn started(
    variant: &Variant,
) -> (Fleet, Vec<platform_standin::upstream::Upstream>, CancellationToken) {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let upstreams = upstreams(&store, POOLS, 2).await;
    let address = store.address();
    let fleet = Fleet::start_program(variant.program.clone(), 1, address, variant.log, false);
    fleet.ready().await;
    (fleet, upstreams, cancel)
}

async fn measure(variant: &Variant) -> Cost {
    let (fleet, _upstreams, cancel) = started(variant).await;
    send(&fleet, "/search/x", WARM_UP).await;
    let search = cpu_us(&fleet, "/search/x", REQUESTS).await;
    send(&fleet, "/once/x", WARM_UP).await;
    let single = cpu_us(&fleet, "/once/x", REQUESTS).await;
    let resident_mb = resident_mb(&fleet);
    cancel.cancel();
    Cost {
        search_us: search / (REQUESTS * POOLS) as f64,
        single_us: single / REQUESTS as f64,
        resident_mb,
    }
}

/// Sends requests one after the other on one connection.
async fn send(fleet: &Fleet, path: &str, count: usize) {
    let mut link = Connection::connect(fleet.nodes[0].callers()).await.expect("a connection");
    for n in 0..count {
        let ask = CallerRequest {
            host: HOST.to_owned(),
            path: path.to_owned(),
            id: format!("cost-{n}"),
            timeout: Duration::from_millis(1_500),
            body: Bytes::new(),
        };
        let answer = link.send(&ask).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
}

async fn cpu_us(fleet: &Fleet, path: &str, count: usize) -> f64 {
    let before = ticks(fleet);
    send(fleet, path, count).await;
    (ticks(fleet) - before) * TICK_US
}

fn id(fleet: &Fleet) -> u32 {
    fleet.nodes[0].id().expect("it runs")
}

/// Processor time of the node, in user and kernel.
fn ticks(fleet: &Fleet) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", id(fleet))).expect("it runs");
    // The name before it may hold spaces.
    let fields = stat.rsplit_once(')').expect("a name").1.split_whitespace();
    fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum()
}

fn resident_mb(fleet: &Fleet) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", id(fleet))).expect("it runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
    line.split_whitespace().next().and_then(|kb| kb.parse::<f64>().ok()).expect("kB") / 1_024.0
}

/// What `strace` counts while searches are served.
async fn trace(variant: &Variant) -> String {
    let (fleet, _upstreams, cancel) = started(variant).await;
    send(&fleet, "/search/x", WARM_UP).await;
    let pid = id(&fleet).to_string();
    let tracer = Command::new("strace")
        .args(["-c", "-f", "-U", "calls,name", "-S", "calls", "-p", &pid])
        .stderr(std::process::Stdio::piped())
        .spawn();
    let tracer = match tracer {
        Ok(tracer) => tracer,
        Err(e) => return format!("not counted: strace: {e}"),
    };
    // It has attached once the node is slower; there is no other sign.
    tokio::time::sleep(Duration::from_millis(500)).await;
    send(&fleet, "/search/x", TRACED).await;
    let stopped = Command::new("kill").args(["-INT", &tracer.id().to_string()]).status();
    let output = tracer.wait_with_output();
    cancel.cancel();
    match (stopped, output) {
        (Ok(_), Ok(output)) => String::from_utf8_lossy(&output.stderr).into_owned(),
        (stopped, output) => format!("not counted: {stopped:?} {:?}", output.err()),
    }
}
