//! CONFIG: the settings name another address of the store, and the operator changes the configuration.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
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

const APPLY: Duration = Duration::from_millis(3000);
const CONTACT: Duration = Duration::from_millis(4000);
/// Deadline of `permit-fetch`.
const DEADLINE: Duration = Duration::from_secs(4);

fn config(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-permits","host":"permits.example","prefix":"/permits/","type":"unsafe","timeout-ms":4000,"goal-ms":600,"priority":2,"service":"{service}","max-attempts":2}}],"services":[{{"name":"permisos","health-path":"/health","max-conns":90}},{{"name":"cosecha","health-path":"/health","max-conns":90}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

pub fn run(setup: &Setup) -> Result<bool, Error> {
    let Setup { record, folder, has_trouble } = setup;
    let store = Store::start("127.0.0.1")?;
    store.put("op/config", &config(7, "permisos"));
    let time = Duration::from_millis(40);
    let work = Work { slots: 3, queue: 12, max_conns: 90, time, long: time };
    let mut servers = Vec::new();
    for (service, zone) in
        [("permisos", "kino"), ("permisos", "tastiota"), ("cosecha", "kino"), ("cosecha", "tastiota")]
    {
        let id = format!("i-{service}-{zone}");
        servers.push(Server::start(&id, service, zone, work.clone(), &store, record)?);
    }
    let ips = ["127.0.6.1".to_owned(), "127.0.6.2".to_owned()];
    let mut deployment = Deployment::new(store.address(), &ips)?;
    let nodes = [
        Node::start(folder, &deployment, "node-1", &ips[0], "kino")?,
        Node::start(folder, &deployment, "node-2", &ips[1], "tastiota")?,
    ];
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", node.name).into());
        }
    }
    thread::sleep(Duration::from_secs(6));

    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (name, address) = (node.name.clone(), node.callers());
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                let mut sent = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let at = Instant::now();
                    let id = format!("{name}-{:03}", sent.len());
                    let status = send(&address, &id);
                    record.line(format!("client sent {id} to {address}; answer: {status:?}"));
                    sent.push((id, at));
                    thread::sleep(Duration::from_millis(100));
                }
                sent
            })
        })
        .collect();
    let mut store = store;
    if *has_trouble {
        // The settings of all machines change, with a signal, and name the store's new address.
        store = store.move_to("127.0.0.2")?;
        deployment.store = store.address();
        for node in &nodes {
            node.write_settings(&deployment)?;
            node.signal("-HUP");
        }
        record.line(format!("the store is at {}; settings changed, SIGHUP sent", store.address()));
    }
    // Longer than `contact-ms`, and than any bound on the change of settings that the pages name.
    thread::sleep(CONTACT * 2);
    store.put("op/config", &config(9, "cosecha"));
    let acknowledged = Instant::now();
    record.line("store has acknowledged: version 9, the route goes to cosecha");
    thread::sleep(APPLY + Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<_> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();

    let late = sent.iter().filter(|(_, at)| *at > acknowledged + APPLY);
    let late: Vec<&str> = late.map(|(id, _)| id.as_str()).collect();
    let old = servers.iter().filter(|s| s.service == "permisos").flat_map(|s| s.arrivals());
    let by_old = old.filter(|a| a.ran && late.contains(&a.request.as_str())).count();
    record.say(format!(
        "{by_old} of {} requests that were sent later than config-apply-ms after the \
         acknowledgement were run by the service of the older version",
        late.len()
    ));
    Ok(by_old > 0)
}

fn send(address: &str, id: &str) -> Result<u16, String> {
    let timeout = DEADLINE.as_millis().to_string();
    let headers = [("Host", "permits.example"), ("Request-Id", id), ("Timeout-Ms", &timeout)];
    let path = format!("/permits/{id}");
    let answer = client::send(address, "POST", &path, &headers, b"order", DEADLINE);
    answer.map(|a| a.status()).map_err(|e| e.to_string())
}
