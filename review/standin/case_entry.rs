//! An entry of another writer, with fields missing, under the key of a server of another service.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    sync::Arc,
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

const CLIENTS: usize = 6;
const TIMEOUT: Duration = Duration::from_millis(8_000);
/// Writes of the other writer. The server's next beat puts its own entry back.
const WRITES: usize = 3;
const WRITE_GAP: Duration = Duration::from_millis(1_700);
const LENGTH: Duration = Duration::from_millis(8_000);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    let routes = [
        Route { name: "r-sds", prefix: "/goka902/", service: "labeldesk", max_conns: 214 },
        Route { name: "r-hub", prefix: "/nihe417/", service: "extensionhub", max_conns: 214 },
    ];
    store.put("op/config", &config(1, &routes));
    let spec = |service: &str| Spec {
        id: String::new(),
        service: service.to_owned(),
        zone: String::new(),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(120),
        reply: |_| Reply { status: 200, bytes: 300 },
    };
    let mut all = servers(3, &spec("labeldesk"), &store, record);
    all.extend(servers(3, &spec("extensionhub"), &store, record));
    let Some(nodes) = Nodes::start(3, &ZONES, &store, record) else {
        return Verdict::CannotRun;
    };
    thread::sleep(SETTLE);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let prefix = routes[n % 2].prefix;
        let (address, stop, record) = (nodes.callers(n / 2), stop.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let mut connection = client::connect(address).ok();
            let mut served = 0;
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("c{n}-{number:03}");
                let path = format!("{prefix}{n}/{number}");
                let request =
                    Request { id: &id, path: &path, body: Some(b"sheet"), timeout: TIMEOUT };
                record.line(&format!("client sends {id}: POST {path}"));
                let answer = match &mut connection {
                    Some(connection) => client::exchange(connection, &request),
                    None => Err(std::io::ErrorKind::NotConnected.into()),
                };
                let outcome = client::outcome(&answer);
                record.line(&format!("client gets for {id}: {outcome}"));
                served += usize::from(outcome.starts_with("200"));
                if answer.is_err() {
                    connection = client::connect(address).ok();
                }
                thread::sleep(Duration::from_millis(40));
            }
            served
        }));
    }
    thread::sleep(Duration::from_millis(2_500));
    let start = Instant::now();
    // No `version`, `cold-left-ms`, `seq` and `born`.
    let target = &all[5];
    let text = format!(
        r#"{{"service":"labeldesk","addr":"{}","zone":"carolinas-c","slots":6,"state":"ready"}}"#,
        target.address
    );
    for _ in 0..WRITES {
        if trouble {
            store.put(&target.key(), &text);
            record.line(&format!("another writer writes {}: {text}", target.key()));
        }
        thread::sleep(WRITE_GAP);
    }
    thread::sleep(LENGTH.saturating_sub(start.elapsed()));
    stop.store(true, Ordering::Relaxed);
    let served: usize = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    record.say(&format!("{served} requests were served"));
    if served < 50 {
        return Verdict::CannotRun;
    }
    let mut wrong = 0;
    for server in &all {
        let prefix = routes.iter().find(|r| r.service == server.service()).map_or("", |r| r.prefix);
        for arrival in server.arrivals().iter().filter(|a| a.ran && !a.target.starts_with(prefix)) {
            wrong += 1;
            record.say(&format!(
                "{} ({} {}) was run by {} of the service {}",
                arrival.id,
                arrival.method,
                arrival.target,
                server.id(),
                server.service()
            ));
        }
    }
    record.say(&format!(
        "{wrong} requests were run by a service that no configuration names for them"
    ));
    if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
