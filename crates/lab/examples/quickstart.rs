//! Runs two deployments in one process: real nodes on loopback, stand-ins for upstreams and
//! platform. Prints answers, a trace and a table of latency, coverage and extra load. Then keeps
//! serving for 20 s, so that you can try `curl` and `balsamctl`.
//!
//! `cargo run --release --example quickstart [-- --serve]`; `--serve` serves until interrupted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use client::Client;
use hdrhistogram::Histogram;
use http::HeaderMap;
use lab::local::{NodeAddresses, StandIns};
use node::server::Server;
use opentelemetry::{global, trace::TracerProvider};
use opentelemetry_sdk::{
    propagation::TraceContextPropagator,
    trace::{InMemorySpanExporter, SdkTracerProvider, SpanData},
};
use policy::outcome::Outcome;
use standin::service_time;
use tracing::Instrument;
use tracing_subscriber::{layer::SubscriberExt, util::SubscriberInitExt};
use wire::caller;

/// Nodes in each deployment.
const NODES: usize = 6;
/// Measured searches in each deployment.
const QUERIES: usize = 600;
/// Time between the starts of two measured searches.
const INTERVAL: Duration = Duration::from_millis(10);
/// Time to keep serving without `--serve`.
const SERVE: Duration = Duration::from_secs(20);
const SEED: u64 = 1;

/// A deployment and the search that is run on it.
struct Trial {
    questionnaire: &'static str,
    text: &'static str,
    first_port: u16,
    caller: &'static str,
    class: &'static str,
    services: [&'static str; 2],
    query: &'static str,
}

const TRIALS: [Trial; 2] = [
    Trial {
        questionnaire: "examples/deployments/cooperative.ini",
        text: include_str!("../../../examples/deployments/cooperative.ini"),
        first_port: 18_000,
        caller: "purchasing-clerks",
        class: "purchasing",
        services: ["formula-costing", "supplier-quotes"],
        query: "sodium laureth sulfate 70%",
    },
    Trial {
        questionnaire: "examples/deployments/beltran.ini",
        text: include_str!("../../../examples/deployments/beltran.ini"),
        first_port: 19_000,
        caller: "inspectors",
        class: "closure",
        services: ["batch-closure", "lease-maps"],
        query: "closures in Estero Morua",
    },
];

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), Failure> {
    let serve = std::env::args().any(|a| a == "--serve");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(serve))
}

async fn run(serve: bool) -> Result<(), Failure> {
    let spans = InMemorySpanExporter::default();
    let provider = SdkTracerProvider::builder().with_simple_exporter(spans.clone()).build();
    global::set_text_map_propagator(TraceContextPropagator::new());
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("quickstart"));
    let filter = tracing_subscriber::filter::filter_fn(|m| !m.target().starts_with("hyper"));
    tracing_subscriber::registry()
        .with(tracing_subscriber::Layer::with_filter(layer, filter))
        .try_init()?;

    let mut running = Vec::new();
    for trial in &TRIALS {
        running.push(start(trial).await?);
    }
    for (trial, (_, servers)) in TRIALS.iter().zip(&running) {
        println!("\n== {}", trial.questionnaire);
        let client = client(trial, servers);
        print_answer(trial, &client).await?;
        print_trace(&spans.get_finished_spans()?);
        spans.reset();
    }
    println!("\n== {QUERIES} searches over 25 groups in each deployment, one every {INTERVAL:?}");
    println!("deployment               p50 ms   p99 ms  p99.9 ms  complete  coverage  extra load");
    for (trial, (stand_ins, servers)) in TRIALS.iter().zip(&running) {
        measure(trial, stand_ins, servers).await?;
        spans.reset();
    }
    print_help(&running[0].1);
    if serve {
        tokio::signal::ctrl_c().await?;
    } else {
        tokio::time::sleep(SERVE).await;
    }
    Ok(())
}

async fn start(trial: &Trial) -> Result<(StandIns, Vec<Arc<Server>>), Failure> {
    let deployment = config::questionnaire::generate(trial.questionnaire, trial.text)?;
    let stand_ins = StandIns::start(deployment, false, service_time::STANDARD, SEED).await?;
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let node_addresses = |i: usize| {
        let port = trial.first_port + i as u16;
        NodeAddresses { callers: at(port), peers: at(port + 100), operators: at(port + 200) }
    };
    let addresses: Vec<NodeAddresses> = (0..NODES).map(node_addresses).collect();
    let servers = stand_ins.start_nodes(&addresses).await?;
    while !servers.iter().all(|s| s.node.is_ready() && s.node.context.view().len() == NODES - 1) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok((stand_ins, servers))
}

fn client(trial: &Trial, servers: &[Arc<Server>]) -> Arc<Client> {
    let seeds = servers.iter().map(|s| s.node.context.settings.caller_addr).collect();
    Arc::new(Client::new(trial.caller, seeds))
}

fn call(trial: &Trial) -> Result<caller::Search, Failure> {
    let services: Result<_, _> = trial.services.iter().map(|s| s.parse()).collect();
    Ok(caller::Search {
        caller: trial.caller.parse()?,
        class: trial.class.parse()?,
        services: services?,
        query: trial.query.to_owned(),
        limit: None,
        deadline_ms: None,
    })
}

/// Runs the search once and prints its answer. The request carries the context of the span
/// `caller`, which becomes the root of the trace.
async fn print_answer(trial: &Trial, client: &Client) -> Result<(), Failure> {
    let addresses = client.addresses().await?;
    println!("addresses, valid for {} ms:", addresses.validity_ms);
    for address in &addresses.addresses {
        println!("  {} in {}", address.address, address.domain);
    }
    let node = addresses.addresses.first().ok_or("no address")?.address;
    let span = tracing::info_span!("caller");
    let headers = {
        let mut headers = HeaderMap::new();
        let _entered = span.enter();
        node::trace::inject(&mut headers);
        headers
    };
    let answer = client.search(node, &call(trial)?, &headers).instrument(span.clone()).await?;
    drop(span);
    println!("answer to {:?}: {}, coverage {}", trial.query, answer.outcome, answer.coverage);
    for snapshot in &answer.snapshot {
        let version = snapshot.version.map_or("none".to_owned(), |v| v.to_string());
        println!("  snapshot of {}: map {}, version {version}", snapshot.service, snapshot.map);
    }
    for hit in answer.hits.iter().take(2) {
        println!("  {:.3} {}", hit.score, hit.document);
    }
    println!("  {} hits, trace {}", answer.hits.len(), answer.trace);
    Ok(())
}

/// Prints the trace whose root is the span `caller`.
fn print_trace(spans: &[SpanData]) {
    let Some(caller) = spans.iter().find(|s| s.name == "caller") else { return };
    let trace = caller.span_context.trace_id();
    println!("trace {trace}:");
    let mut in_trace: Vec<&SpanData> =
        spans.iter().filter(|s| s.span_context.trace_id() == trace).collect();
    in_trace.sort_by_key(|s| s.start_time);
    print_subtree(&in_trace, caller, 1);
}

/// Prints a span and its descendants, two children of each span at most.
fn print_subtree(spans: &[&SpanData], span: &SpanData, depth: usize) {
    let took = span.end_time.duration_since(span.start_time).unwrap_or_default();
    println!("{:indent$}{} {:.1} ms", "", span.name, took.as_secs_f64() * 1e3, indent = depth * 2);
    let id = span.span_context.span_id();
    let mut children: Vec<&&SpanData> = spans.iter().filter(|s| s.parent_span_id == id).collect();
    // Puts the requests to leaves before the version queries that preceded them, so that the two
    // printed children are requests.
    children.sort_by_key(|s| s.name == "Node.windows");
    for child in children.iter().take(2) {
        print_subtree(spans, child, depth + 1);
    }
    if children.len() > 2 {
        println!("{:indent$}and {} more", "", children.len() - 2, indent = depth * 2 + 2);
    }
}

/// Runs searches at a fixed rate and prints a row of the table. Latency counts from the intended
/// start of a search.
async fn measure(
    trial: &Trial,
    stand_ins: &StandIns,
    servers: &[Arc<Server>],
) -> Result<(), Failure> {
    let client = client(trial, servers);
    let call = Arc::new(call(trial)?);
    let before = stand_ins.event_log.events().len();
    let mut ticks = tokio::time::interval(INTERVAL);
    let mut tasks = Vec::new();
    for i in 0..QUERIES {
        let intended = ticks.tick().await;
        let (client, call) = (client.clone(), call.clone());
        tasks.push(tokio::spawn(async move {
            let addresses = client.addresses().await.ok()?.addresses;
            let node = addresses.get(i % addresses.len().max(1))?.address;
            let answer = client.search(node, &call, &HeaderMap::new()).await.ok()?;
            Some((intended.elapsed(), answer.outcome, answer.coverage))
        }));
    }
    let mut latency = Histogram::<u64>::new(3)?;
    let (mut complete, mut coverage, mut count) = (0, 0.0, 0);
    for task in tasks {
        let Some((took, outcome, share)) = task.await? else { continue };
        latency.record(took.as_micros() as u64)?;
        complete += usize::from(outcome == Outcome::Complete);
        coverage += share.as_f64();
        count += 1;
    }
    let arrived =
        stand_ins.event_log.events().iter().skip(before).filter(|e| is_arrival(e)).count();
    let needed = QUERIES * 25;
    let ms = |q| latency.value_at_quantile(q) as f64 / 1e3;
    println!(
        "{:24} {:6.1} {:8.1} {:9.1} {:8.1}% {:8.2}% {:10.2}%",
        stand_ins.deployment.name.as_str(),
        ms(0.5),
        ms(0.99),
        ms(0.999),
        100.0 * complete as f64 / QUERIES as f64,
        100.0 * coverage / f64::from(count.max(1)),
        100.0 * (arrived as f64 / needed as f64 - 1.0),
    );
    Ok(())
}

fn is_arrival(event: &standin::event_log::Event) -> bool {
    matches!(event, standin::event_log::Event::Arrived { .. })
}

fn print_help(servers: &[Arc<Server>]) {
    let settings = &servers[0].node.context.settings;
    let callers = settings.caller_addr;
    println!("\nserving; try, in another terminal:");
    println!("  curl 'http://{callers}{}?caller=plant-chemists'", caller::ADDRESSES_PATH);
    println!(
        "  curl http://{callers}{} -d '{{\"caller\":\"plant-chemists\",\"class\":\"kettle\",\
         \"services\":[\"formula-costing\"],\"query\":\"borax\",\"limit\":3}}'",
        caller::SEARCH_PATH
    );
    println!("  cargo run --release --bin balsamctl -- status {}", settings.operator_addr);
}
