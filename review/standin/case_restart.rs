//! Nodes that are killed at the same moment and start again while a server drains.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Request},
    config,
    node::Nodes,
    record::Record,
    server::{Reply, Spec},
    servers,
    store::Store,
    Route, Verdict, SETTLE, ZONES,
};

const DRAIN: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(4_000);
/// Time that a server serves on after `drain-ms`.
const LONGER: Duration = Duration::from_millis(8_000);
/// Age of the store's older copy.
const LAG: Duration = Duration::from_millis(3_000);
/// Three of them are seeds.
const NODES: usize = 6;
/// The nodes start one after the other, the seeds last.
const START_GAP: Duration = Duration::from_millis(50);
const CLIENTS: usize = 36;
const TIMEOUT: Duration = Duration::from_millis(8_000);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start_with(Some(record.clone()));
    let route = Route { name: "r-sds", prefix: "/goka902/", service: "labeldesk", max_conns: 214 };
    store.put("op/config", &config(1, &[route]));
    store.set_lag(LAG);
    let spec = |service: &str| Spec {
        id: String::new(),
        service: service.to_owned(),
        zone: String::new(),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(120),
        reply: |_| Reply { status: 200, bytes: 300 },
    };
    let all = servers(7, &spec("labeldesk"), &store, record);
    // The other servers of the site.
    let mut others = servers(3, &spec("extensionhub"), &store, record);
    for shard in 0..10 {
        others.extend(servers(3, &spec(&format!("costbench-{shard}")), &store, record));
    }
    // The store's older copy has them, too.
    thread::sleep(LAG + Duration::from_millis(500));
    let Some(mut nodes) = Nodes::start(NODES, &ZONES, &store, record) else {
        return Verdict::CannotRun;
    };
    thread::sleep(SETTLE);
    let leaving = &all[0];
    let drained_at = leaving.drain();
    record.line(&format!("{} drains: the store has acknowledged it", leaving.id()));
    thread::sleep(Duration::from_millis(500));
    if trouble {
        (0..NODES).for_each(|n| nodes.kill(n));
        record.line("all nodes are killed");
        thread::sleep(Duration::from_millis(500));
        for n in (0..NODES).rev() {
            if !nodes.restart(n) {
                return Verdict::CannotRun;
            }
            record.line(&format!("node {n} starts"));
            thread::sleep(START_GAP);
        }
        if !(0..NODES).all(|n| nodes.wait_ready(n)) {
            return Verdict::CannotRun;
        }
        record.line("all nodes are ready again");
    }
    let restarted_at = Instant::now();
    let sent: Arc<Mutex<HashMap<String, (usize, Instant, String)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (record, stop, sent) = (record.clone(), stop.clone(), sent.clone());
        let (node, address) = (n % NODES, nodes.callers(n));
        clients.push(thread::spawn(move || {
            let mut connection = client::connect(address).ok();
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("c{n}-{number:03}");
                let path = format!("/goka902/{n}/{number}");
                let request =
                    Request { id: &id, path: &path, body: Some(b"sheet"), timeout: TIMEOUT };
                let at = Instant::now();
                record.line(&format!("client sends {id} to node {node}"));
                let answer = match &mut connection {
                    Some(connection) => client::exchange(connection, &request),
                    None => Err(std::io::ErrorKind::NotConnected.into()),
                };
                let outcome = client::outcome(&answer);
                record.line(&format!("client gets for {id}: {outcome}"));
                sent.lock().unwrap().insert(id, (node, at, outcome));
                if answer.is_err() {
                    connection = client::connect(address).ok();
                }
                thread::sleep(Duration::from_millis(80));
            }
        }));
    }
    thread::sleep((drained_at + DRAIN + LONGER).saturating_duration_since(Instant::now()));
    leaving.exit();
    record.line(&format!("{} has left", leaving.id()));
    thread::sleep(Duration::from_millis(1_000));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let served = sent.values().filter(|(_, _, outcome)| outcome.starts_with("200")).count();
    record.say(&format!("{served} of {} requests were served", sent.len()));
    if served < sent.len() / 2 {
        return Verdict::CannotRun;
    }
    let (mut late, mut lost) = (0, 0);
    for arrival in leaving.arrivals().iter().filter(|a| a.at > drained_at + DRAIN) {
        let (node, at, outcome) = &sent[&arrival.id];
        if *at < restarted_at + CONTACT {
            continue;
        }
        late += 1;
        lost += usize::from(arrival.ran && !arrival.answered);
        let ms = arrival.at.saturating_duration_since(drained_at).as_millis();
        record.say(&format!(
            "{} reached {} {ms} ms after the acknowledgement, sent by the client to node \
             {node} {} ms after all nodes were ready again; the client got {outcome}",
            arrival.id,
            leaving.id(),
            at.saturating_duration_since(restarted_at).as_millis(),
        ));
    }
    record.say(&format!(
        "{late} requests reached the draining server later than drain-ms, sent on by a machine in \
         touch; {lost} of them were cut off as it left"
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
