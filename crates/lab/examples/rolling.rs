//! 18 processes of the `balsamgate` program on loopback under load: their cost, then the
//! replacement of each in turn.
//!
//! `cargo build --release --bin balsamgate && cargo run --release --example rolling`.
//! Exits with 1 if a request was cut off or refused, or a configuration went back.

use std::{
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::unit::Generation;
use client::Client;
use config::settings::Settings;
use http::HeaderMap;
use lab::local::{self, StandIns};
use parking_lot::Mutex;
use policy::outcome::Outcome;
use standin::service_time::ServiceTime;
use tokio::time::Instant;
use wire::{
    caller,
    platform::{State, Vm},
};

const NODES: usize = 18;
const CALLERS: usize = 20;
/// Time between two searches of one caller.
const INTERVAL: Duration = Duration::from_millis(200);
const FREEZE: Duration = Duration::from_secs(5);
const COST_SPAN: Duration = Duration::from_secs(20);
const GROUPS: f64 = 25.0;
/// Ticks a second in which the system counts processor time.
const TICKS: f64 = 100.0;
const QUESTIONNAIRE: &str = include_str!("../../../examples/deployments/beltran.ini");

type Failure = Box<dyn std::error::Error + Send + Sync>;

#[derive(Debug, Default)]
struct Tally {
    asked: AtomicU64,
    complete: AtomicU64,
    failures: Mutex<Vec<String>>,
    over: AtomicBool,
}

fn main() -> Result<ExitCode, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(run())
}

async fn run() -> Result<ExitCode, Failure> {
    let deployment = config::questionnaire::generate("beltran.ini", QUESTIONNAIRE)?;
    let shape = ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.0 };
    let around = StandIns::start(deployment, true, shape, 1).await?;
    around.event_log.count_only();
    let places = local::free_node_addresses(NODES)?;
    let live = |p: &local::NodeAddresses| Vm { address: p.peers, state: State::Live };
    let vms: Vec<Vm> = places.iter().map(live).collect();
    around.platform.change(|state| state.vms = vms);
    let settings: Vec<Settings> =
        places.iter().enumerate().map(|(i, p)| around.settings(i, *p)).collect();
    let mut children = Vec::new();
    for (index, settings) in settings.iter().enumerate() {
        children.push(start(index, settings)?);
    }
    let seeds: Vec<_> = places.iter().map(|p| p.callers).collect();
    ready(&seeds).await;

    let tally = Arc::new(Tally::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            tokio::spawn(ask(Client::new(&format!("caller-{n}"), seeds.clone()), tally.clone()))
        })
        .collect();
    cost(&children, &tally).await;

    let mut second = around.deployment.clone();
    second.generation = Generation(2);
    around.platform.publish(second.generation, second.to_bytes());
    tokio::time::sleep(Duration::from_secs(2)).await;
    around.platform.publish(around.deployment.generation, around.deployment.to_bytes());
    println!("generation 2 in force; the service is stale at generation 1 from here on");
    let begun = Instant::now();
    let mut exits = Vec::new();
    for index in 0..NODES {
        let old = std::mem::replace(&mut children[index], Command::new("true").spawn()?);
        exits.push(stop(old).await?);
        println!(
            "{} stopped {:.1} s into the replacement",
            settings[index].caller_addr,
            begun.elapsed().as_secs_f64()
        );
        children[index] = start(index, &settings[index])?;
        ready(&seeds[index..=index]).await;
    }
    println!("{NODES} processes replaced in {:.0} s", begun.elapsed().as_secs_f64());
    let elsewhere = freeze(&children[0], places[0].callers, &tally).await?;
    let generations = generations(&settings).await;
    tally.over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await?;
    }
    children.iter_mut().for_each(|c| drop(c.kill()));
    Ok(if elsewhere == 0 { report(&tally, &exits, &generations)? } else { ExitCode::FAILURE })
}

/// Freezes a process under load and wakes it; returns the searches that failed elsewhere.
///
/// Callers that are connected to the frozen process itself wait for it: their searches are
/// counted apart, and taken out of the tally.
async fn freeze(
    child: &Child,
    address: std::net::SocketAddr,
    tally: &Tally,
) -> Result<usize, Failure> {
    let before = tally.failures.lock().len();
    let signal = |name: &str| Command::new("kill").args([name, &child.id().to_string()]).status();
    signal("-STOP")?;
    tokio::time::sleep(FREEZE).await;
    signal("-CONT")?;
    tokio::time::sleep(FREEZE).await;
    let mut failures = tally.failures.lock();
    let new = failures.split_off(before);
    let own = format!("by {address}:");
    let (there, elsewhere): (Vec<String>, Vec<String>) =
        new.into_iter().partition(|f| f.contains(&own));
    println!(
        "one process frozen for {} s: {} searches not complete at it, {} elsewhere",
        FREEZE.as_secs(),
        there.len(),
        elsewhere.len()
    );
    elsewhere.iter().chain(&there).take(4).for_each(|f| println!("  {}", &f[..f.len().min(160)]));
    Ok(elsewhere.len())
}

fn report(tally: &Tally, exits: &[Option<i32>], generations: &[u64]) -> Result<ExitCode, Failure> {
    let failures = tally.failures.lock();
    let clean = exits.iter().filter(|e| **e == Some(0)).count();
    let reverted = generations.iter().filter(|g| **g != 2).count();
    println!(
        "searches {}, complete {}, cut off or refused {}",
        tally.asked.load(Ordering::Relaxed),
        tally.complete.load(Ordering::Relaxed),
        failures.len()
    );
    println!(
        "stops with exit code 0: {clean} of {}, nodes not at generation 2: {reverted}",
        exits.len()
    );
    failures.iter().take(10).for_each(|f| println!("  {f}"));
    let good = failures.is_empty() && clean == exits.len() && reverted == 0;
    Ok(ExitCode::from(u8::from(!good)))
}

fn start(index: usize, settings: &Settings) -> Result<Child, Failure> {
    let own = std::env::current_exe()?;
    let directory = own.parent().and_then(|p| p.parent()).ok_or("no target directory")?;
    let file: PathBuf =
        std::env::temp_dir().join(format!("balsamgate-rolling-{}-{index}.ini", std::process::id()));
    let settings = Settings { worker_threads: 1, ..settings.clone() };
    std::fs::write(&file, local::settings_text(&settings))?;
    let log =
        if std::env::var_os("ROLLING_LOG").is_some() { Stdio::inherit() } else { Stdio::null() };
    let program = directory.join("balsamgate");
    let child = Command::new(program).args(["run", "--settings"]).arg(&file).stderr(log).spawn()?;
    Ok(child)
}

async fn stop(mut child: Child) -> Result<Option<i32>, Failure> {
    let pid = child.id().to_string();
    Command::new("kill").args(["-TERM", &pid]).status()?;
    let status = tokio::task::spawn_blocking(move || child.wait()).await??;
    Ok(status.code())
}

/// Waits until each node answers a search completely.
async fn ready(nodes: &[std::net::SocketAddr]) {
    for node in nodes {
        let client = Client::new("ready", vec![*node]);
        loop {
            let answer = client.search(*node, &search("ready"), &HeaderMap::new()).await;
            if answer.is_ok_and(|a| a.outcome == Outcome::Complete) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn search(query: &str) -> caller::Search {
    let name = "a constant name";
    caller::Search {
        caller: "inspectors".parse().expect(name),
        class: "closure".parse().expect(name),
        services: ["batch-closure", "lease-maps"].map(|s| s.parse().expect(name)).to_vec(),
        query: query.to_owned(),
        limit: None,
        deadline_ms: None,
    }
}

/// Asks for addresses, keeps them to their last moment, sends one search after another.
async fn ask(client: Client, tally: Arc<Tally>) {
    let begun = Instant::now();
    let call = search("veda en Estero Morua");
    while !tally.over.load(Ordering::Relaxed) {
        tally.asked.fetch_add(1, Ordering::Relaxed);
        let asked = Instant::now();
        let failure = match client.addresses().await {
            Err(e) => Some(e.to_string()),
            Ok(told) => {
                match client.search(told.addresses[0].address, &call, &HeaderMap::new()).await {
                    Err(e) => Some(e.to_string()),
                    Ok(answer) if answer.outcome == Outcome::Complete => None,
                    Ok(answer) => {
                        let gaps: Vec<String> = answer
                            .missing
                            .iter()
                            .map(|g| format!("{}/{} {}", g.service, g.group, g.reason))
                            .collect();
                        let (at, took) = (begun.elapsed().as_secs_f64(), asked.elapsed());
                        Some(format!(
                            "at {at:.1} s after {took:?} by {}: {:?}, lacks {gaps:?}",
                            told.addresses[0].address, answer.reason
                        ))
                    }
                }
            }
        };
        match failure {
            None => drop(tally.complete.fetch_add(1, Ordering::Relaxed)),
            Some(text) => tally.failures.lock().push(text),
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Prints processor time a query and a sub-request, and memory, over all nodes.
async fn cost(children: &[Child], tally: &Tally) {
    let cpu = || children.iter().map(|c| ticks(c.id())).sum::<f64>() / TICKS;
    let before = (cpu(), tally.asked.load(Ordering::Relaxed));
    tokio::time::sleep(COST_SPAN).await;
    let queries = (tally.asked.load(Ordering::Relaxed) - before.1) as f64;
    let spent = cpu() - before.0;
    let memory: f64 =
        children.iter().map(|c| resident_kb(c.id())).sum::<f64>() / children.len() as f64;
    println!(
        "{queries:.0} searches in {} s: {:.2} ms of processor time each over all nodes, {:.0} us a \
         sub-request, control included; {memory:.0} KB resident a node",
        COST_SPAN.as_secs(),
        spent / queries * 1e3,
        spent / queries / GROUPS * 1e6,
    );
}

fn ticks(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    field(11) + field(12)
}

fn resident_kb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

/// Generation in force at each node, by the operators' interface.
async fn generations(settings: &[Settings]) -> Vec<u64> {
    use jsonrpsee::{core::client::ClientT, http_client::HttpClientBuilder, rpc_params};
    let mut all = Vec::new();
    for settings in settings {
        let url = format!("http://{}", settings.operator_addr);
        let Ok(client) = HttpClientBuilder::default().build(url) else { continue };
        let status: Result<wire::operator::Status, _> =
            client.request(wire::operator::STATUS_METHOD, rpc_params![]).await;
        all.push(status.map_or(0, |s| s.generation.0));
    }
    all
}
