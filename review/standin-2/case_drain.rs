//! DRAIN: a release while requests wait at a node for a connection to the server that drains.

use std::{
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
/// Time for which a server serves beyond `drain-ms`.
const LITTLE_LONGER: Duration = Duration::from_millis(400);
const REQUESTS: usize = 180;
/// Deadline of `sdsfetch`.
const DEADLINE: Duration = Duration::from_secs(8);

pub fn run(setup: &Setup) -> Result<bool, Error> {
    let Setup { record, folder, has_trouble } = setup;
    let store = Store::start("127.0.0.1")?;
    store.put(
        "op/config",
        r#"{"version":1,"routes":[{"name":"r-desk","host":"desk.example","prefix":"/desk/","type":"unsafe","timeout-ms":8000,"goal-ms":500,"priority":1,"service":"desk","max-attempts":2}],"services":[{"name":"desk","health-path":"/health","max-conns":12}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let work =
        Work { slots: 3, queue: 9, max_conns: 12, time: Duration::from_millis(200), long: Duration::from_millis(200) };
    let start = |id: &str, zone: &str| Server::start(id, "desk", zone, work.clone(), &store, record);
    let old = start("i-old", "kino")?;
    let other = start("i-other", "tastiota")?;
    let ips = ["127.0.1.1".to_owned(), "127.0.1.2".to_owned()];
    let deployment = Deployment::new(store.address(), &ips)?;
    let nodes = [
        Node::start(folder, &deployment, "node-1", &ips[0], "kino")?,
        Node::start(folder, &deployment, "node-2", &ips[1], "tastiota")?,
    ];
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", node.name).into());
        }
    }
    // Longer than `contact-ms`, so that the machines are in touch.
    thread::sleep(Duration::from_secs(6));

    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (record, address) = (record.clone(), nodes[n % 2].callers());
            thread::sleep(Duration::from_millis(4));
            thread::spawn(move || {
                let id = format!("request-{n:03}");
                let timeout = DEADLINE.as_millis().to_string();
                let headers =
                    [("Host", "desk.example"), ("Request-Id", &id), ("Timeout-Ms", &timeout)];
                record.line(format!("client sends {id} to {address}"));
                let path = format!("/desk/{n}");
                let limit = DEADLINE + Duration::from_secs(1);
                let answer = client::send(&address, "POST", &path, &headers, b"order", limit);
                let status = answer.as_ref().map_or(0, |a| a.status());
                match answer {
                    Ok(a) => record.line(format!("client gets {} for {id}", a.start)),
                    Err(e) => record.line(format!("client gets no answer for {id}: {e}")),
                }
                status
            })
        })
        .collect();

    let mut acknowledged = None;
    let mut new = None;
    if *has_trouble {
        thread::sleep(Duration::from_millis(200));
        // One server is replaced: the new one starts first, then the old one drains.
        new = Some(start("i-new", "kino")?);
        thread::sleep(Duration::from_millis(200));
        old.register("draining");
        let at = Instant::now();
        acknowledged = Some(at);
        let old = old.clone();
        thread::spawn(move || {
            thread::sleep(DRAIN + LITTLE_LONGER);
            old.end();
        });
    }
    let statuses: Vec<u16> =
        clients.into_iter().map(|c| c.join().unwrap_or(0)).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    let mut others = statuses.clone();
    others.retain(|s| *s != 200);
    record.say(format!("{served} of {REQUESTS} requests were served; the others: {others:?}"));
    for server in [Some(&old), Some(&other), new.as_ref()].into_iter().flatten() {
        record.say(summary(server));
    }
    let Some(at) = acknowledged else { return Ok(served < REQUESTS) };
    let late: Vec<_> = old.arrivals().into_iter().filter(|a| a.at > at + DRAIN).collect();
    for arrival in &late {
        let after = arrival.at.saturating_duration_since(at).as_millis();
        record.line(format!(
            "{} reached {} {after} ms after the store had acknowledged `draining`; answered: {}",
            arrival.request, arrival.server, arrival.answered
        ));
    }
    let lost = late.iter().filter(|a| !a.answered).count();
    record.say(format!(
        "{} requests reached the server later than drain-ms after the acknowledgement; it ended \
         before it had answered {lost} of them",
        late.len()
    ));
    Ok(!late.is_empty())
}

fn summary(server: &Arc<Server>) -> String {
    let arrivals = server.arrivals();
    let ran = arrivals.iter().filter(|a| a.ran).count();
    format!("server {}: {} arrivals, {ran} ran", server.id, arrivals.len())
}
