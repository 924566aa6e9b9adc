//! Changes of the configuration while a node is partitioned from all servers and relays its requests
//! through the others.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Request},
    config_of, cut,
    node::{Nodes, Site},
    record::Record,
    server::{Reply, Server, Spec},
    store::Store,
    Route, Verdict,
};

const NODES: usize = 29;
/// The node that is cut off: a weak one, no seed.
const NODE: usize = 9;
const SITE: Site = Site {
    zones: &["nl-central-a", "nl-central-b", "nl-central-c", "nl-central-d"],
    region: "nl-central",
    apply_ms: 5_000,
    contact_ms: 5_000,
    retry_slack: 182,
    machine: |n| match n {
        0..=7 => (0.5, 512),
        _ => [(0.28, 380), (0.31, 411), (0.28, 380), (0.3, 400)][n % 4],
    },
};
const SETTLE: Duration = Duration::from_millis(6_000);
/// `downgrade-slack-ms`.
const SLACK: Duration = Duration::from_millis(250);
/// Figures of `desk-lookup`.
const KIND: &str = r#""type":"safe","timeout-ms":4000,"goal-ms":250,"priority":2,"max-attempts":2"#;
const TIMEOUT: Duration = Duration::from_millis(4_000);
const OLD: &str = "supportdesk";
const NEW: &str = "retention-audit";
const MAX_CONNS: usize = 490;
const CLIENTS: usize = 12;
/// Time from the cut to the first change.
const CUT_BEFORE: Duration = Duration::from_millis(3_000);
/// Versions, each of which moves the route with its number.
const VERSIONS: [u64; 5] = [3, 4, 7, 9, 10];
const PREFIXES: [&str; 5] = ["/ruga100/", "/ruga211/", "/ruga322/", "/ruga433/", "/ruga544/"];
const NAMES: [&str; 5] = ["r-desk-0", "r-desk-1", "r-desk-2", "r-desk-3", "r-desk-4"];
/// Time between two changes.
const GAP: Duration = Duration::from_millis(2_000);

/// Configuration in which the first `moved` routes go to the new service.
fn configuration(version: u64, moved: usize) -> String {
    let mut routes = vec![
        Route { name: "r-idle-0", prefix: "/idle0/", service: OLD, max_conns: MAX_CONNS },
        Route { name: "r-idle-1", prefix: "/idle1/", service: NEW, max_conns: MAX_CONNS },
    ];
    for n in 0..NAMES.len() {
        let service = if n < moved { NEW } else { OLD };
        routes.push(Route { name: NAMES[n], prefix: PREFIXES[n], service, max_conns: MAX_CONNS });
    }
    config_of(KIND, version, &routes)
}

fn servers(service: &str, store: &Store, record: &Record) -> Vec<Server> {
    let start = |(n, zone): (usize, &&str)| {
        let spec = Spec {
            id: format!("i-{service}-{n}"),
            service: service.to_owned(),
            zone: (*zone).to_owned(),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(60),
            reply: |_| Reply { status: 200, bytes: 1_500 },
        };
        Server::start(spec, store, record)
    };
    SITE.zones.iter().enumerate().map(start).collect()
}

/// When each request began to run at one of `servers`.
fn runs(servers: &[Server]) -> HashMap<String, Instant> {
    let arrivals = servers.iter().flat_map(|s| s.arrivals()).filter(|a| a.ran);
    arrivals.map(|a| (a.id, a.at)).collect()
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", &configuration(1, 0));
    let (old, new) = (servers(OLD, &store, record), servers(NEW, &store, record));
    let Some(nodes) = Nodes::start_at(&SITE, NODES, &store, record) else {
        return Verdict::CannotRun;
    };
    thread::sleep(SETTLE);
    let sent: Arc<Mutex<Vec<(String, usize, Instant, String)>>> = Arc::default();
    let (route, stop) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (record, sent, address) = (record.clone(), sent.clone(), nodes.callers(NODE));
        let (route, stop) = (route.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let mut connection = client::connect(address).ok();
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let route = route.load(Ordering::Relaxed);
                let id = format!("c{n}-{number:03}");
                let path = format!("{}{n}/{number}", PREFIXES[route]);
                let request = Request { id: &id, path: &path, body: None, timeout: TIMEOUT };
                let at = Instant::now();
                record.line(&format!("client sends {id} to node {NODE}: GET {path}"));
                let answer = match &mut connection {
                    Some(connection) => client::exchange(connection, &request),
                    None => Err(std::io::ErrorKind::NotConnected.into()),
                };
                let outcome = client::outcome(&answer);
                record.line(&format!("client gets for {id}: {outcome}"));
                sent.lock().unwrap().push((id, route, at, outcome));
                if answer.is_err() {
                    connection = client::connect(address).ok();
                }
                thread::sleep(Duration::from_millis(80));
            }
        }));
    }
    thread::sleep(Duration::from_millis(1_000));
    if trouble {
        cut::begin(nodes.process(NODE));
        old.iter().chain(&new).for_each(Server::reset_cut);
        record.line(&format!("node {NODE} is cut off from all servers"));
    }
    thread::sleep(CUT_BEFORE);
    for (n, version) in VERSIONS.into_iter().enumerate() {
        store.put("op/config", &configuration(version, n + 1));
        record.line(&format!("version {version} is acknowledged: {} goes to {NEW}", PREFIXES[n]));
        thread::sleep(GAP * 3 / 4);
        route.store((n + 1).min(NAMES.len() - 1), Ordering::Relaxed);
        thread::sleep(GAP / 4);
    }
    cut::end();
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let served = sent.iter().filter(|(.., outcome)| outcome.starts_with("200")).count();
    record.say(&format!("{served} of {} requests were served", sent.len()));
    if served < sent.len() / 2 {
        return Verdict::CannotRun;
    }
    let (old, new) = (runs(&old), runs(&new));
    let mut regressed = 0;
    for (n, version) in VERSIONS.into_iter().enumerate() {
        let mine = || sent.iter().filter(|(_, route, ..)| *route == n);
        let Some(effect) = mine().filter_map(|(id, ..)| new.get(id)).min() else {
            record.say(&format!("no request of node {NODE} shows the effect of version {version}"));
            continue;
        };
        record.say(&format!("a server sees version {version} at {} ms", record.ms(*effect)));
        for (id, _, at, outcome) in
            mine().filter(|(id, _, at, _)| *at > *effect + SLACK && old.contains_key(id))
        {
            regressed += 1;
            record.say(&format!(
                "{id}, sent to node {NODE} {} ms after that, is run by {OLD}; the client got {outcome}",
                at.saturating_duration_since(*effect).as_millis()
            ));
        }
    }
    record.say(&format!(
        "{regressed} requests were handled as only an older version allows, later than \
         downgrade-slack-ms after a server had seen the newer one"
    ));
    if regressed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
