//! Runs 18 processes of the `balsamgate` program on loopback under load: measures their cost, then
//! replaces one after another and suspends one.
//!
//! `cargo build --release --bin balsamgate && cargo run --release --example rolling`.
//! Exits with 1 if a request was cut off or refused, a process did not stop with exit code 0, or a
//! node went back to an older configuration.

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
/// Time for which one process is suspended, and the time after it resumes in which failures still
/// count.
const SUSPENSION: Duration = Duration::from_secs(5);
/// Length of the cost measurement.
const COST_SPAN: Duration = Duration::from_secs(20);
/// Shard groups that each search covers.
const GROUPS: f64 = 25.0;
/// Clock ticks per second, the unit in which `/proc` counts CPU time.
const TICKS_PER_SECOND: f64 = 100.0;
const QUESTIONNAIRE: &str = include_str!("../../../examples/deployments/beltran.ini");

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Results of all callers.
#[derive(Debug, Default)]
struct Tally {
    searches: AtomicU64,
    complete: AtomicU64,
    /// Descriptions of the searches that were not complete.
    failures: Mutex<Vec<String>>,
    /// Tells the callers to stop.
    stop: AtomicBool,
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
    let service_time = ServiceTime::LogNormal { mu: 1.9, sigma: 0.7, stalls: 0.0 };
    let stand_ins = StandIns::start(deployment, true, service_time, 1).await?;
    stand_ins.event_log.count_only();
    let addresses = local::free_node_addresses(NODES)?;
    let live = |p: &local::NodeAddresses| Vm { address: p.peers, state: State::Live };
    let vms: Vec<Vm> = addresses.iter().map(live).collect();
    stand_ins.platform.change(|state| state.vms = vms);
    let settings: Vec<Settings> =
        addresses.iter().enumerate().map(|(i, p)| stand_ins.settings(i, *p)).collect();
    let mut children = Vec::new();
    for (index, settings) in settings.iter().enumerate() {
        children.push(start(index, settings)?);
    }
    let seeds: Vec<_> = addresses.iter().map(|p| p.callers).collect();
    wait_until_ready(&seeds).await;

    let tally = Arc::new(Tally::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            tokio::spawn(run_caller(
                Client::new(&format!("caller-{n}"), seeds.clone()),
                tally.clone(),
            ))
        })
        .collect();
    measure_cost(&children, &tally).await;

    let mut second = stand_ins.deployment.clone();
    second.generation = Generation(2);
    stand_ins.platform.publish(second.generation, second.to_bytes());
    tokio::time::sleep(Duration::from_secs(2)).await;
    stand_ins.platform.publish(stand_ins.deployment.generation, stand_ins.deployment.to_bytes());
    println!("generation 2 in force; the service is stale at generation 1 from here on");
    let started = Instant::now();
    let mut exit_codes = Vec::new();
    for index in 0..NODES {
        // The placeholder `true` takes the slot until the new process starts.
        let old = std::mem::replace(&mut children[index], Command::new("true").spawn()?);
        exit_codes.push(stop(old).await?);
        println!(
            "{} stopped {:.1} s into the replacement",
            settings[index].caller_addr,
            started.elapsed().as_secs_f64()
        );
        children[index] = start(index, &settings[index])?;
        wait_until_ready(&seeds[index..=index]).await;
    }
    println!("{NODES} processes replaced in {:.0} s", started.elapsed().as_secs_f64());
    let elsewhere = suspend_and_resume(&children[0], addresses[0].callers, &tally).await?;
    let generations = generations(&settings).await;
    tally.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await?;
    }
    children.iter_mut().for_each(|c| drop(c.kill()));
    Ok(if elsewhere == 0 { report(&tally, &exit_codes, &generations)? } else { ExitCode::FAILURE })
}

/// Suspends a process under load and resumes it; returns the number of searches at other nodes that
/// were not complete.
///
/// Callers that are connected to the suspended process wait for it: their searches are counted
/// separately. All these failures are removed from the tally.
async fn suspend_and_resume(
    child: &Child,
    address: std::net::SocketAddr,
    tally: &Tally,
) -> Result<usize, Failure> {
    let before = tally.failures.lock().len();
    let signal = |name: &str| Command::new("kill").args([name, &child.id().to_string()]).status();
    signal("-STOP")?;
    tokio::time::sleep(SUSPENSION).await;
    signal("-CONT")?;
    tokio::time::sleep(SUSPENSION).await;
    let mut failures = tally.failures.lock();
    let new = failures.split_off(before);
    let at_address = format!("by {address}:");
    let (at_process, elsewhere): (Vec<String>, Vec<String>) =
        new.into_iter().partition(|f| f.contains(&at_address));
    println!(
        "one process frozen for {} s: {} searches not complete at it, {} elsewhere",
        SUSPENSION.as_secs(),
        at_process.len(),
        elsewhere.len()
    );
    elsewhere
        .iter()
        .chain(&at_process)
        .take(4)
        .for_each(|f| println!("  {}", &f[..f.len().min(160)]));
    Ok(elsewhere.len())
}

/// Prints the results of the callers and the stops; returns the exit code of the program.
fn report(
    tally: &Tally,
    exit_codes: &[Option<i32>],
    generations: &[u64],
) -> Result<ExitCode, Failure> {
    let failures = tally.failures.lock();
    let clean = exit_codes.iter().filter(|e| **e == Some(0)).count();
    let reverted = generations.iter().filter(|g| **g != 2).count();
    println!(
        "searches {}, complete {}, cut off or refused {}",
        tally.searches.load(Ordering::Relaxed),
        tally.complete.load(Ordering::Relaxed),
        failures.len()
    );
    println!(
        "stops with exit code 0: {clean} of {}, nodes not at generation 2: {reverted}",
        exit_codes.len()
    );
    failures.iter().take(10).for_each(|f| println!("  {f}"));
    let passed = failures.is_empty() && clean == exit_codes.len() && reverted == 0;
    Ok(ExitCode::from(u8::from(!passed)))
}

/// Starts the `balsamgate` program of the same build as node `index`. Its log goes to standard
/// error if `ROLLING_LOG` is set.
fn start(index: usize, settings: &Settings) -> Result<Child, Failure> {
    let program = std::env::current_exe()?;
    let directory = program.parent().and_then(|p| p.parent()).ok_or("no target directory")?;
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

/// Sends SIGTERM to the process and returns its exit code, or `None` if a signal ended it.
async fn stop(mut child: Child) -> Result<Option<i32>, Failure> {
    let pid = child.id().to_string();
    Command::new("kill").args(["-TERM", &pid]).status()?;
    let status = tokio::task::spawn_blocking(move || child.wait()).await??;
    Ok(status.code())
}

/// Waits until each node returns a complete answer to a search.
async fn wait_until_ready(nodes: &[std::net::SocketAddr]) {
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
    let message = "constant names should be valid";
    caller::Search {
        caller: "inspectors".parse().expect(message),
        class: "closure".parse().expect(message),
        services: ["batch-closure", "lease-maps"].map(|s| s.parse().expect(message)).to_vec(),
        query: query.to_owned(),
        limit: None,
        deadline_ms: None,
    }
}

/// Sends one search after another, each to the first address of the list that the client caches
/// until it expires.
async fn run_caller(client: Client, tally: Arc<Tally>) {
    let caller_start = Instant::now();
    let call = search("veda en Estero Morua");
    while !tally.stop.load(Ordering::Relaxed) {
        tally.searches.fetch_add(1, Ordering::Relaxed);
        let started = Instant::now();
        let failure = match client.addresses().await {
            Err(e) => Some(e.to_string()),
            Ok(list) => {
                match client.search(list.addresses[0].address, &call, &HeaderMap::new()).await {
                    Err(e) => Some(e.to_string()),
                    Ok(answer) if answer.outcome == Outcome::Complete => None,
                    Ok(answer) => {
                        let gaps: Vec<String> = answer
                            .missing
                            .iter()
                            .map(|g| format!("{}/{} {}", g.service, g.group, g.reason))
                            .collect();
                        let (at, took) = (caller_start.elapsed().as_secs_f64(), started.elapsed());
                        Some(format!(
                            "at {at:.1} s after {took:?} by {}: {:?}, lacks {gaps:?}",
                            list.addresses[0].address, answer.reason
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

/// Prints the CPU time of all nodes for each query and each sub-request, and the mean memory of a
/// node.
async fn measure_cost(children: &[Child], tally: &Tally) {
    let cpu = || children.iter().map(|c| cpu_ticks(c.id())).sum::<f64>() / TICKS_PER_SECOND;
    let before = (cpu(), tally.searches.load(Ordering::Relaxed));
    tokio::time::sleep(COST_SPAN).await;
    let queries = (tally.searches.load(Ordering::Relaxed) - before.1) as f64;
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

/// Returns the user and system CPU time of a process, in clock ticks.
fn cpu_ticks(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    // Fields 14 (utime) and 15 (stime); the text after the program's name starts at field 3.
    field(11) + field(12)
}

fn resident_kb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

/// Reads the generation in force at each node from its interface for operators; 0 if the request
/// fails.
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
