//! Measures the cost of the control plane (heartbeats, configuration, platform reads) against the
//! size of the fleet, on virtual time and without queries.
//!
//! `cargo run --release --example scale [-- SIZE ...]`, sizes in nodes. The sizes run one after
//! another in one thread; CPU time is that of the whole process, divided by the number of nodes and
//! the virtual seconds.

use std::time::{Duration, Instant};

use base::unit::Generation;
use lab::cluster::{Cluster, Options};
use standin::service_time::ServiceTime;

const SIZES: [usize; 5] = [18, 51, 102, 201, 402];
/// Time from the start of a fleet to the start of the measurement.
const SETTLE: Duration = Duration::from_secs(300);
/// Length of the measurement.
const SPAN: Duration = Duration::from_secs(60);
/// Longest wait for a configuration to be in force, or for a node's loss to be detected.
const LIMIT: Duration = Duration::from_secs(30);
const GROUPS: usize = 25;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let requested: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if requested.is_empty() { SIZES.to_vec() } else { requested };
    println!(
        "nodes  bytes/s  messages/s  cpu %  KB/node  in force ms  reads/s  seen after loss ms"
    );
    for size in sizes {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().start_paused(true).build();
        runtime
            .unwrap_or_else(|e| panic!("building the runtime failed: {e}"))
            .block_on(measure(size));
    }
}

async fn measure(size: usize) {
    let mut options = Options::new(ServiceTime::Fixed(Duration::from_millis(8)), 1);
    options.nodes_per_domain = size / 3;
    let memory = resident_bytes();
    let cluster = Cluster::start(options).await;
    let count = cluster.len() as f64;
    tokio::time::sleep(SETTLE).await;
    let kb = resident_bytes().saturating_sub(memory) as f64 / 1_024.0 / count;

    let (bytes, messages) = traffic(&cluster);
    let (reads, started) = (cluster.platform.reads(), Instant::now());
    tokio::time::sleep(SPAN).await;
    let seconds = SPAN.as_secs_f64();
    let cpu = started.elapsed().as_secs_f64() / seconds / count * 100.0;
    let (bytes_now, messages_now) = traffic(&cluster);
    let reads = (cluster.platform.reads() - reads) as f64 / seconds;

    cluster.publish(Generation(2), Generation(1), GROUPS);
    let in_force = cluster.wait_until(LIMIT, |c| c.in_force(Generation(2))).await;
    cluster.kill(1);
    let lost = cluster.peer_addresses()[1];
    let unseen = |c: &Cluster| {
        let seen = |r: &policy::membership::Record| {
            r.node == lost && r.status == policy::membership::Status::Alive
        };
        !c.nodes().iter().any(|n| n.context.view().iter().any(seen))
    };
    let detected = cluster.wait_until(LIMIT, unseen).await;
    let ms = |d: Option<Duration>| d.map_or("never".to_owned(), |d| d.as_millis().to_string());
    println!(
        "{:5} {:8.0} {:11.1} {:6.3} {:8.0} {:>12} {:8.2} {:>19}",
        cluster.len(),
        (bytes_now - bytes) as f64 / seconds / count,
        (messages_now - messages) as f64 / seconds / count,
        cpu,
        kb,
        ms(in_force),
        reads,
        ms(detected),
    );
}

/// Returns the bytes and messages of heartbeats that all nodes have sent so far.
fn traffic(cluster: &Cluster) -> (u64, u64) {
    use node::counter::Counter;
    let sum = |name| cluster.nodes().iter().map(|n| n.context.counters.value(name)).sum();
    (sum(Counter::HeartbeatBytes), sum(Counter::HeartbeatSent))
}

/// Returns the resident memory of this process, in bytes; 0 if the system does not report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
