//! RECOVER: most machines are partitioned from all servers while each has few requests.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    links::Links,
    node::{Deployment, Node},
    server::{Server, Work},
    store::Store,
    Error, Setup,
};

const NODES: usize = 18;
/// Machines that are partitioned.
const CUT: usize = 15;
const SERVERS: usize = 6;
/// Time between two requests of a machine.
const INTERVAL: Duration = Duration::from_millis(3300);
const CONTACT: Duration = Duration::from_millis(4000);
const PARTITION: Duration = Duration::from_secs(12);
/// Deadline of `permit-fetch`.
const DEADLINE: Duration = Duration::from_secs(4);

/// A first try at a machine.
struct Try {
    node: usize,
    at: Instant,
    served: bool,
}

pub fn run(setup: &Setup) -> Result<bool, Error> {
    let Setup { record, folder, has_trouble } = setup;
    let store = Store::start("127.0.0.1")?;
    store.put(
        "op/config",
        r#"{"version":1,"routes":[{"name":"r-permits","host":"permits.example","prefix":"/permits/","type":"unsafe","timeout-ms":4000,"goal-ms":600,"priority":2,"service":"permisos","max-attempts":2}],"services":[{"name":"permisos","health-path":"/health","max-conns":90}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let links = Links::default();
    let work = Work { slots: 3, queue: 12, max_conns: 90, time: Duration::from_millis(160), long: Duration::from_millis(160) };
    let zones = ["kino", "tastiota", "guaymas"];
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let (id, zone) = (format!("i-{n}"), zones[n % 3]);
        let (work, links) = (work.clone(), &links);
        servers.push(Server::start_behind(links, &id, "permisos", zone, work, &store, record)?);
    }
    let ips: Vec<String> = (1..=NODES).map(|n| format!("127.0.2.{n}")).collect();
    let deployment = Deployment::new(store.address(), &ips)?;
    let mut nodes = Vec::new();
    for (n, ip) in ips.iter().enumerate() {
        let name = format!("node-{n:02}");
        nodes.push(Node::start(folder, &deployment, &name, ip, zones[n % 3])?);
    }
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", node.name).into());
        }
    }
    thread::sleep(Duration::from_secs(6));

    let begin = Instant::now();
    let end = begin + Duration::from_secs(5) + PARTITION;
    let clients: Vec<_> = (0..NODES)
        .map(|n| {
            let (record, address) = (record.clone(), nodes[n].callers());
            thread::spawn(move || {
                let mut tries = Vec::new();
                thread::sleep(INTERVAL.mul_f64(n as f64 / NODES as f64));
                while Instant::now() < end {
                    let at = Instant::now();
                    let id = format!("request-{n:02}-{:02}", tries.len());
                    let status = send(&address, &id);
                    record.line(format!("client sent {id} to {address}; answer: {status:?}"));
                    tries.push(Try { node: n, at, served: status == Ok(200) });
                    thread::sleep((at + INTERVAL).saturating_duration_since(Instant::now()));
                }
                tries
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let cut_at = Instant::now();
    if *has_trouble {
        let processes: Vec<u32> = nodes[..CUT].iter().map(Node::pid).collect();
        links.cut(&processes);
        record.line(format!("{CUT} of {NODES} machines are partitioned from all servers"));
    }
    let tries: Vec<Try> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    links.cut(&[]);
    for node in &nodes {
        let text = node.log_text();
        let count = |line: &str| text.matches(line).count();
        record.line(format!(
            "{}: suspected {} times that it is cut off, found so {} times",
            node.name,
            count("no upstream replies or accepts connections"),
            count("this node is cut off from the upstreams")
        ));
    }
    let counted = |t: &&Try| t.at >= cut_at + CONTACT && t.at < cut_at + PARTITION;
    let counted: Vec<&Try> = tries.iter().filter(counted).collect();
    let count = |cut: bool, served: bool| {
        let matching = |t: &&&Try| (t.node < CUT) == cut && (!served || t.served);
        counted.iter().filter(matching).count()
    };
    let (at_cut, at_others) = (count(true, false), count(false, false));
    let (served_at_cut, served_at_others) = (count(true, true), count(false, true));
    record.say(format!(
        "first tries from contact-ms after the cut: {served_at_cut} of {at_cut} served at the \
         machines that were cut off, {served_at_others} of {at_others} at the others"
    ));
    let failed = at_cut - served_at_cut;
    let allowed = 10.0 + counted.len() as f64 / 50.0;
    let share = |served: usize, all: usize| served as f64 / all.max(1) as f64;
    let is_less = share(served_at_cut, at_cut) < share(served_at_others, at_others) * 2.0 / 3.0;
    record.say(format!("{failed} failed there; allowed: {allowed:.1}"));
    Ok(is_less && failed as f64 > allowed)
}

fn send(address: &str, id: &str) -> Result<u16, String> {
    let timeout = DEADLINE.as_millis().to_string();
    let headers = [("Host", "permits.example"), ("Request-Id", id), ("Timeout-Ms", &timeout)];
    let path = format!("/permits/{id}");
    let answer = client::send(address, "POST", &path, &headers, b"order", DEADLINE);
    answer.map(|a| a.status()).map_err(|e| e.to_string())
}
