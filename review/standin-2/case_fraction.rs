//! Fault: a bound of the settings becomes a fraction, and the machines are restarted in turn.

use std::{
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

const GRACE: Duration = Duration::from_secs(6);
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const STARTS: usize = 3;

pub fn run(setup: &Setup) -> Result<bool, Error> {
    let Setup { record, folder, has_trouble } = setup;
    let store = Store::start("127.0.0.1")?;
    store.put(
        "op/config",
        r#"{"version":7,"routes":[{"name":"r-permits","host":"permits.example","prefix":"/permits/","type":"safe","timeout-ms":4000,"goal-ms":600,"priority":2,"service":"permisos","max-attempts":2}],"services":[{"name":"permisos","health-path":"/health","max-conns":90}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let time = Duration::from_millis(40);
    let work = Work { slots: 3, queue: 12, max_conns: 90, time, long: time };
    let mut servers = Vec::new();
    for zone in ["kino", "tastiota"] {
        let id = format!("i-{zone}");
        servers.push(Server::start(&id, "permisos", zone, work.clone(), &store, record)?);
    }
    let ips = ["127.0.7.1".to_owned(), "127.0.7.2".to_owned()];
    let mut deployment = Deployment::new(store.address(), &ips)?;
    let mut nodes = [
        Node::start(folder, &deployment, "node-1", &ips[0], "kino")?,
        Node::start(folder, &deployment, "node-2", &ips[1], "tastiota")?,
    ];
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", node.name).into());
        }
        record.line(format!("{}: answer {:?}", node.name, send(node)));
    }
    // The settings change, with a signal; nodes that run go on.
    deployment.grace_s = if *has_trouble { "6.5".to_owned() } else { "7".to_owned() };
    for node in &nodes {
        node.write_settings(&deployment)?;
        node.signal("-HUP");
    }
    record.line(format!("grace-s is {} now; settings changed, SIGHUP sent", deployment.grace_s));
    thread::sleep(Duration::from_secs(5));
    let mut failed = 0;
    for node in &mut nodes {
        record.line(format!("{}: SIGTERM", node.name));
        node.signal("-TERM");
        let stopping = Instant::now();
        while node.ended().is_none() && stopping.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(20));
        }
        node.kill();
        for start in 1..=STARTS {
            thread::sleep(RESTART_DELAY);
            node.run()?;
            record.line(format!("{}: started again", node.name));
            if node.wait_ready(Duration::from_secs(3)) {
                break;
            }
            let Some(exit) = node.ended() else { continue };
            record.line(format!("{}: start {start} ended by itself: {exit}", node.name));
            failed += usize::from(start == STARTS);
        }
        let log = node.log_text();
        if let Some(line) = log.lines().rev().find(|l| l.contains("read \"")) {
            let (_, reason) = line.split_once("[bounds]").unwrap_or(("", line));
            record.line(format!("{}: {reason}", node.name));
        }
    }
    for node in &nodes {
        record.line(format!("{}: answer {:?}", node.name, send(node)));
    }
    record.say(format!("{failed} of 2 machines do not start, in {STARTS} starts each"));
    Ok(failed > 0)
}

fn send(node: &Node) -> Result<u16, String> {
    let headers =
        [("Host", "permits.example"), ("Request-Id", "request"), ("Timeout-Ms", "4000")];
    let limit = Duration::from_secs(4);
    let answer = client::send(&node.callers(), "GET", "/permits/1", &headers, b"", limit);
    answer.map(|a| a.status()).map_err(|e| e.to_string())
}
