//! DRAIN: a server leaves without notice while a restarted node relies on a peer that is then lost.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    node::{Deployment, Node},
    server::{Server, Work},
    store::Store,
    Error, Setup,
};

const DRAIN: Duration = Duration::from_millis(3000);
const CONTACT: Duration = Duration::from_millis(4000);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(100);
const ROUNDS: usize = 3;
/// Deadline of `permit-fetch`.
const DEADLINE: Duration = Duration::from_secs(4);

pub fn run(setup: &Setup) -> Result<bool, Error> {
    let Setup { record, folder, .. } = setup;
    let store = Store::start("127.0.0.1")?;
    store.put(
        "op/config",
        r#"{"version":1,"routes":[{"name":"r-permits","host":"permits.example","prefix":"/permits/","type":"safe","timeout-ms":4000,"goal-ms":600,"priority":2,"service":"permisos","max-attempts":2}],"services":[{"name":"permisos","health-path":"/health","max-conns":90}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let work = Work {
        slots: 16,
        queue: 60,
        max_conns: 90,
        time: Duration::from_millis(80),
        long: Duration::from_millis(400),
    };
    let start = |id: &str, zone: &str| {
        Server::start(id, "permisos", zone, work.clone(), &store, record)
    };
    let staying = start("i-staying", "tastiota")?;
    let ips = ["127.0.3.1".to_owned(), "127.0.3.2".to_owned()];
    let deployment = Deployment::new(store.address(), &ips)?;
    let mut node = Node::start(folder, &deployment, "node-1", &ips[0], "kino")?;
    let mut peer = Node::start(folder, &deployment, "node-2", &ips[1], "tastiota")?;
    let mut late = 0;
    for round in 0..ROUNDS {
        record.line(format!("round {round}"));
        let leaving = start(&format!("i-leaving-{round}"), "kino")?;
        for node in [&node, &peer] {
            if !node.wait_ready(Duration::from_secs(10)) {
                return Err(format!("{} is not ready", node.name).into());
            }
        }
        thread::sleep(Duration::from_secs(6));
        late += play(setup, &mut node, &mut peer, &leaving)?;
    }
    record.say(format!(
        "{late} requests reached servers that had left later than drain-ms after the \
         acknowledgement, from a machine in touch; {} reached the other server",
        staying.arrivals().len()
    ));
    Ok(late > 0)
}

/// Plays one round. Returns the number of requests that reached the server that left too late.
fn play(
    setup: &Setup,
    node: &mut Node,
    peer: &mut Node,
    leaving: &Arc<Server>,
) -> Result<usize, Error> {
    let Setup { record, has_trouble, .. } = setup;
    // One machine after the other loses its process: the first is back at once.
    let mut started = Instant::now();
    if *has_trouble {
        node.kill();
        record.line("node-1 is killed");
        thread::sleep(Duration::from_millis(300));
        started = Instant::now();
        node.run()?;
        record.line("node-1 starts again");
    }
    let at = |ms: u64| {
        let moment = started + Duration::from_millis(ms);
        thread::sleep(moment.saturating_duration_since(Instant::now()));
    };
    at(1000);
    if *has_trouble {
        peer.kill();
        record.line("node-2 is killed and stays down for 5.5 s");
    }
    at(1050);
    leaving.unregister();
    let acknowledged = Instant::now();

    let stop = Arc::new(AtomicBool::new(false));
    let (sent, address, load) = (record.clone(), node.callers(), stop.clone());
    let name = leaving.id.clone();
    let callers = thread::spawn(move || {
        let mut n = 0;
        while !load.load(Ordering::SeqCst) {
            let (record, address) = (sent.clone(), address.clone());
            let id = format!("request-{name}-{n:03}");
            thread::spawn(move || {
                let timeout = DEADLINE.as_millis().to_string();
                let headers =
                    [("Host", "permits.example"), ("Request-Id", &id), ("Timeout-Ms", &timeout)];
                let path = format!("/permits/{id}");
                let answer = client::send(&address, "GET", &path, &headers, b"", DEADLINE);
                let answer = answer.map(|a| a.start);
                record.line(format!("client sent {id} to {address}; answer: {answer:?}"));
            });
            n += 1;
            thread::sleep(INTERVAL);
        }
    });
    // It serves on for a while, as a server that leaves does.
    at(6500);
    stop.store(true, Ordering::SeqCst);
    let _ = callers.join();
    thread::sleep(Duration::from_millis(500));
    leaving.end();
    if *has_trouble {
        peer.run()?;
        record.line("node-2 starts again");
    }

    // The machine is in touch from `contact-ms` after its start, which is measured before it.
    let in_touch = started + CONTACT + Duration::from_millis(100);
    let late = |a: &crate::server::Arrival| a.at > acknowledged + DRAIN && a.at > in_touch;
    let late: Vec<_> = leaving.arrivals().into_iter().filter(late).collect();
    for arrival in &late {
        let after = arrival.at.saturating_duration_since(acknowledged).as_millis();
        let up = arrival.at.saturating_duration_since(started).as_millis();
        record.line(format!(
            "{} reached {} {after} ms after the acknowledgement, {up} ms after node-1 started",
            arrival.request, arrival.server
        ));
    }
    Ok(late.len())
}
