//! ROUTE: another writer leaves an entry under a key that can't be read.

use std::{thread, time::Duration};

use crate::{
    client,
    node::{Deployment, Node},
    server::{Server, Work},
    store::Store,
    Error, Setup,
};

const REQUESTS: usize = 200;
/// Deadline of `permit-fetch`.
const DEADLINE: Duration = Duration::from_secs(4);
/// Key of the entry, as in JSON: its id has a control character.
const KEY: &str = "servers/i-7f3a\\u0001c2";

pub fn run(setup: &Setup) -> Result<bool, Error> {
    let Setup { record, folder, has_trouble } = setup;
    let store = Store::start("127.0.0.1")?;
    store.put(
        "op/config",
        r#"{"version":7,"routes":[{"name":"r-permits","host":"permits.example","prefix":"/permits/","type":"unsafe","timeout-ms":4000,"goal-ms":600,"priority":2,"service":"permisos","max-attempts":2},{"name":"r-harvest","host":"harvest.example","prefix":"/harvest/","type":"unsafe","timeout-ms":4000,"goal-ms":600,"priority":2,"service":"cosecha","max-attempts":2}],"services":[{"name":"permisos","health-path":"/health","max-conns":90},{"name":"cosecha","health-path":"/health","max-conns":90}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let time = Duration::from_millis(160);
    let work = Work { slots: 3, queue: 12, max_conns: 90, time, long: time };
    let zones = ["kino", "tastiota", "guaymas"];
    let mut servers = Vec::new();
    for service in ["permisos", "cosecha"] {
        for zone in zones {
            let id = format!("i-{service}-{zone}");
            servers.push(Server::start(&id, service, zone, work.clone(), &store, record)?);
        }
    }
    let ips: Vec<String> = (1..=3).map(|n| format!("127.0.10.{n}")).collect();
    let deployment = Deployment::new(store.address(), &ips)?;
    let mut nodes = Vec::new();
    for (n, ip) in ips.iter().enumerate() {
        nodes.push(Node::start(folder, &deployment, &format!("node-{n}"), ip, zones[n])?);
    }
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", node.name).into());
        }
    }
    thread::sleep(Duration::from_secs(6));
    if *has_trouble {
        // What a server of `permisos` once wrote of itself; its address is used by `cosecha` now.
        let address = servers.iter().find(|s| s.service == "cosecha").map(|s| s.address);
        let address = address.ok_or("no server")?;
        let entry = format!(
            r#"{{"service":"permisos","addr":"{address}","zone":"kino","version":"v1","slots":3,"state":"ready","cold-left-ms":0,"seq":4,"born":1790000000000}}"#
        );
        store.put(KEY, &entry);
        record.line(format!("another writer writes {KEY}: {entry}"));
        thread::sleep(Duration::from_secs(3));
    }
    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            thread::sleep(Duration::from_millis(50));
            let (record, address) = (record.clone(), nodes[n % nodes.len()].callers());
            thread::spawn(move || {
                let id = format!("permit-{n:03}");
                let headers =
                    [("Host", "permits.example"), ("Request-Id", &id), ("Timeout-Ms", "4000")];
                let path = format!("/permits/{n}");
                let answer = client::send(&address, "POST", &path, &headers, b"order", DEADLINE);
                let stamp = answer.as_ref().ok().and_then(|a| a.header("server-stamp"));
                let status = answer.as_ref().map_or(0, |a| a.status());
                record.line(format!("client gets {status} for {id}, stamp {stamp:?}"));
                status
            })
        })
        .collect();
    let statuses: Vec<u16> = clients.into_iter().map(|c| c.join().unwrap_or(0)).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    let others = servers.iter().filter(|s| s.service == "cosecha").flat_map(|s| s.arrivals());
    let foreign = others.filter(|a| a.ran && a.request.starts_with("permit-")).count();
    record.say(format!(
        "{served} of {REQUESTS} requests to permisos were answered 200; {foreign} were run by a \
         server of cosecha"
    ));
    Ok(foreign > 0)
}
