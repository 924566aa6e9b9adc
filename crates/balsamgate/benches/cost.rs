//! Cost of a request at a node that relays requests: processor time, system calls, memory.
//!
//! `cargo bench -p balsamgate --bench cost -- [NAME=PROGRAM ...]` measures this version with and
//! without logs, and the given builds of `balsamgate`, alternating within each round. System calls
//! are counted by `strace` if it is installed.

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

/// Pools of the search route; a search has one sub-request for each.
const POOLS: usize = 10;
const ROUNDS: usize = 3;
/// Requests sent before each measurement.
const WARM_UP_REQUESTS: usize = 300;
/// Requests of each measurement.
const REQUESTS: usize = 3_000;
/// Requests while `strace` counts system calls; fewer, as it slows the process down.
const TRACED_REQUESTS: usize = 300;
/// Clock tick of `/proc/PID/stat`, in microseconds.
const TICK_US: f64 = 10_000.0;

/// A build of the program with its log settings.
#[derive(Debug, Clone)]
struct Variant {
    name: String,
    program: PathBuf,
    /// Lines of the `[log]` section of the settings.
    log: &'static str,
}

/// Measured cost of a variant.
#[derive(Debug, Default)]
struct Cost {
    /// Processor time per sub-request of a search, in microseconds.
    search_us: f64,
    /// Processor time per request to one upstream, in microseconds.
    single_us: f64,
    /// Resident memory after the measurement, in MB.
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
    for argument in std::env::args().skip(1) {
        if let Some((name, program)) = argument.split_once('=') {
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
        println!(
            "\n{}: system calls of {TRACED_REQUESTS} searches of {POOLS} pools\n{calls}",
            variant.name
        );
    }
}

/// Starts one node of `variant` with a store and upstreams, and waits until it is ready.
async fn start_node(
    variant: &Variant,
) -> (Fleet, Vec<platform_standin::upstream::Upstream>, CancellationToken) {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await.expect("a store");
    store.put(CONFIG_KEY, config(1, POOLS).to_json().as_bytes());
    let upstreams = upstreams(&store, POOLS, 2).await;
    let address = store.address();
    let mut fleet = Fleet::start_program(variant.program.clone(), 1, address, variant.log, false);
    fleet.ready().await;
    (fleet, upstreams, cancel)
}

async fn measure(variant: &Variant) -> Cost {
    let (fleet, _upstreams, cancel) = start_node(variant).await;
    send(&fleet, "/search/x", WARM_UP_REQUESTS).await;
    let search = cpu_us(&fleet, "/search/x", REQUESTS).await;
    send(&fleet, "/once/x", WARM_UP_REQUESTS).await;
    let single = cpu_us(&fleet, "/once/x", REQUESTS).await;
    let resident_mb = resident_mb(&fleet);
    cancel.cancel();
    Cost {
        search_us: search / (REQUESTS * POOLS) as f64,
        single_us: single / REQUESTS as f64,
        resident_mb,
    }
}

/// Sends `count` requests in sequence on one connection.
async fn send(fleet: &Fleet, path: &str, count: usize) {
    let mut connection = Connection::connect(fleet.nodes[0].callers()).await.expect("a connection");
    for n in 0..count {
        let request = CallerRequest {
            host: HOST.to_owned(),
            path: path.to_owned(),
            id: format!("cost-{n}"),
            timeout: Duration::from_millis(1_500),
            body: Bytes::new(),
        };
        let answer = connection.send(&request).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
}

/// Processor time of the node for `count` requests, in microseconds.
async fn cpu_us(fleet: &Fleet, path: &str, count: usize) -> f64 {
    let before = ticks(fleet);
    send(fleet, path, count).await;
    (ticks(fleet) - before) * TICK_US
}

fn pid(fleet: &Fleet) -> u32 {
    fleet.nodes[0].id().expect("the node runs")
}

/// Processor time of the node in user and kernel mode, in clock ticks.
fn ticks(fleet: &Fleet) -> f64 {
    let stat =
        std::fs::read_to_string(format!("/proc/{}/stat", pid(fleet))).expect("the node runs");
    // The process name in parentheses, before the fields, may contain spaces.
    let fields = stat.rsplit_once(')').expect("a process name in parentheses").1.split_whitespace();
    fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum()
}

fn resident_mb(fleet: &Fleet) -> f64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", pid(fleet))).expect("the node runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a VmRSS line");
    line.split_whitespace().next().and_then(|kb| kb.parse::<f64>().ok()).expect("a number of kB")
        / 1_024.0
}

/// Returns the summary of `strace` over searches, or why there is none.
async fn trace(variant: &Variant) -> String {
    let (fleet, _upstreams, cancel) = start_node(variant).await;
    send(&fleet, "/search/x", WARM_UP_REQUESTS).await;
    let pid = pid(&fleet).to_string();
    let tracer = Command::new("strace")
        .args(["-c", "-f", "-U", "calls,name", "-S", "calls", "-p", &pid])
        .stderr(std::process::Stdio::piped())
        .spawn();
    let tracer = match tracer {
        Ok(tracer) => tracer,
        Err(e) => return format!("not counted: strace: {e}"),
    };
    // strace gives no sign that it has attached, except that the node becomes slower.
    tokio::time::sleep(Duration::from_millis(500)).await;
    send(&fleet, "/search/x", TRACED_REQUESTS).await;
    let interrupted = Command::new("kill").args(["-INT", &tracer.id().to_string()]).status();
    let output = tracer.wait_with_output();
    cancel.cancel();
    match (interrupted, output) {
        (Ok(_), Ok(output)) => String::from_utf8_lossy(&output.stderr).into_owned(),
        (interrupted, output) => format!("not counted: {interrupted:?} {:?}", output.err()),
    }
}
