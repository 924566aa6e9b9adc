//! Requests that wait for a connection while the server they were meant for begins to drain.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
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

const DRAIN_MS: u64 = 3_000;
/// Time that a server serves on after `drain-ms`.
const LONGER: Duration = Duration::from_millis(1_500);
const REQUESTS: usize = 1_100;
/// 125 requests a second; the servers can do 75.
const GAP: Duration = Duration::from_millis(8);
/// When the server begins to drain, from the first request on.
const DRAIN_AT: Duration = Duration::from_millis(8_000);
const TIMEOUT: Duration = Duration::from_millis(8_000);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    let route =
        Route { name: "r-sds", prefix: "/goka902/", service: "extensionhub", max_conns: 30 };
    store.put("op/config", &config(1, &[route]));
    let spec = Spec {
        id: String::new(),
        service: "extensionhub".to_owned(),
        zone: String::new(),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(240),
        reply: |_| Reply { status: 200, bytes: 300 },
    };
    let all = servers(3, &spec, &store, record);
    let Some(nodes) = Nodes::start(3, &ZONES, &store, record) else {
        return Verdict::CannotRun;
    };
    thread::sleep(SETTLE);
    let sent: Arc<Mutex<HashMap<String, (usize, Instant, String)>>> = Arc::default();
    let start = Instant::now();
    let mut drained_at = None;
    let mut clients = Vec::new();
    for n in 0..REQUESTS {
        let (node, address) = (n % nodes.len(), nodes.callers(n));
        let (log, sent) = (record.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            let id = format!("sds-{n:04}");
            let (path, body) = (format!("/goka902/{n}"), vec![b'b'; 300]);
            let request = Request { id: &id, path: &path, body: Some(&body), timeout: TIMEOUT };
            let at = Instant::now();
            log.line(&format!("client sends {id} to node {node}"));
            let answer =
                client::connect(address).and_then(|mut c| client::exchange(&mut c, &request));
            let outcome = client::outcome(&answer);
            log.line(&format!("client gets for {id}: {outcome}"));
            sent.lock().unwrap().insert(id, (node, at, outcome));
        }));
        if trouble && drained_at.is_none() && start.elapsed() >= DRAIN_AT {
            let at = all[0].drain();
            record.line(&format!("{} drains: the store has acknowledged it", all[0].id()));
            drained_at = Some(at);
            let (leaving, record) = (all[0].clone(), record.clone());
            clients.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(DRAIN_MS) + LONGER);
                leaving.exit();
                record.line(&format!("{} has left", leaving.id()));
            }));
        }
        thread::sleep((start + GAP * (n as u32 + 1)).saturating_duration_since(Instant::now()));
    }
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let served = sent.values().filter(|(_, _, outcome)| outcome.starts_with("200")).count();
    record.say(&format!("{served} of {REQUESTS} requests were served"));
    if served < REQUESTS / 4 {
        return Verdict::CannotRun;
    }
    let Some(drained_at) = drained_at else { return Verdict::Held };
    let limit = drained_at + Duration::from_millis(DRAIN_MS);
    let mut late = 0;
    let mut lost = 0;
    for arrival in all[0].arrivals().iter().filter(|a| a.at > limit) {
        late += 1;
        let ms = arrival.at.saturating_duration_since(drained_at).as_millis();
        let (node, at, outcome) = &sent[&arrival.id];
        lost += usize::from(arrival.ran && !arrival.answered);
        record.say(&format!(
            "{} reached {} {ms} ms after the acknowledgement, sent by the client at {} ms to node \
             {node}; ran: {}; the client got {outcome}",
            arrival.id,
            all[0].id(),
            record.ms(*at),
            arrival.ran,
        ));
    }
    record.say(&format!(
        "{late} requests reached the draining server later than drain-ms; {lost} of them began to \
         run there and were cut off as it left"
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
