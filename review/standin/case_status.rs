//! Servers that fail requests that they ran with a status that promises the opposite.

use std::{thread, time::Duration};

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

const REQUESTS: usize = 20;
const TIMEOUT: Duration = Duration::from_millis(8_000);

fn failing(request: &crate::http::Message) -> Reply {
    let number = request.target().1.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    let status = if number % 2 == 0 { 503 } else { 200 };
    Reply { status, bytes: 30 }
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    let route = Route { name: "r-sds", prefix: "/goka902/", service: "labeldesk", max_conns: 214 };
    store.put("op/config", &config(1, &[route]));
    let spec = Spec {
        id: String::new(),
        service: "labeldesk".to_owned(),
        zone: String::new(),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(120),
        reply: if trouble { failing } else { |_| Reply { status: 200, bytes: 30 } },
    };
    let all = servers(7, &spec, &store, record);
    let Some(nodes) = Nodes::start(3, &ZONES, &store, record) else {
        return Verdict::CannotRun;
    };
    thread::sleep(SETTLE);
    let mut refused = 0;
    for n in 0..REQUESTS {
        let (id, path) = (format!("r-{n:03}"), format!("/goka902/{n}"));
        let request = Request { id: &id, path: &path, body: Some(b"sheet"), timeout: TIMEOUT };
        record.line(&format!("client sends {id}: POST {path}"));
        let answer =
            client::connect(nodes.callers(n)).and_then(|mut c| client::exchange(&mut c, &request));
        record.line(&format!("client gets for {id}: {}", client::outcome(&answer)));
        let is_refusal = answer.as_ref().is_ok_and(|a| [408, 421, 429, 503].contains(&a.status()));
        let ran = all.iter().flat_map(|s| s.arrivals()).any(|a| a.id == id && a.ran);
        if is_refusal && ran {
            refused += 1;
            record.say(&format!("{id} has run and is answered {}", client::outcome(&answer)));
        }
    }
    record.say(&format!("{refused} requests that had run were answered as not run"));
    if refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
