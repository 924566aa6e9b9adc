//! Clients that read their answers slowly, on kept connections.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Request},
    config,
    http::{Connection, Message},
    node::Nodes,
    record::Record,
    server::{Reply, Spec},
    servers,
    store::Store,
    Route, Verdict, SETTLE, ZONES,
};

const CLIENTS: usize = 12;
const TIMEOUT: Duration = Duration::from_millis(8_000);
/// Length of the second answer; the longest of `sdsfetch` has 18,000 bytes.
const ANSWER_BYTES: usize = 12_000;
/// How a slow client reads: 2,500 bytes a second at most, so that it is done within its
/// deadline.
const SLOW_CHUNK: usize = 2_500;
const SLOW_PAUSE: Duration = Duration::from_millis(1_000);
/// Receive buffer of a client.
const RECEIVE_BUFFER: i32 = 4 << 10;

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// `struct sockaddr_in`.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects with a small receive buffer, which has to be set before.
fn connect_small(node: SocketAddr) -> io::Result<Connection> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(node) = node else { return Err(io::ErrorKind::Unsupported.into()) };
    let address = SocketAddress {
        family: AF_INET as u16,
        port: node.port().to_be_bytes(),
        ip: node.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the pointers are valid for the lengths that are stated, and nothing else owns the
    // socket.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) != 0
            || connect(fd, &address, 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(Connection::new(stream))
    }
}

type Result = (String, io::Result<Message>, u128);

/// Sends two requests on one connection and reads the second answer `chunk` bytes at a time, with a
/// pause between two reads. Returns the second request's id, its answer, and the time until then.
fn read_slowly(
    address: SocketAddr,
    name: &str,
    chunk: usize,
    pause: Duration,
    record: &Record,
) -> Option<Result> {
    let mut connection = connect_small(address).ok()?;
    let (id, path) = (format!("{name}-first"), format!("/goka902/{name}/first"));
    let first = Request { id: &id, path: &path, body: Some(b"sheet"), timeout: TIMEOUT };
    let answer = client::exchange(&mut connection, &first);
    record.line(&format!("client gets for {id}: {}", client::outcome(&answer)));
    if answer.ok()?.status() != 200 {
        return None;
    }
    let (id, path) = (format!("{name}-second"), format!("/goka902/{name}/second"));
    let second = Request { id: &id, path: &path, body: Some(b"sheet"), timeout: TIMEOUT };
    let start = Instant::now();
    record.line(&format!("client sends {id} on the same connection"));
    client::send(&mut connection, &second).ok()?;
    let answer = connection.read_paced(Some(start + TIMEOUT), chunk, pause);
    let answer = answer.and_then(|a| a.ok_or(io::ErrorKind::UnexpectedEof.into()));
    let ms = start.elapsed().as_millis();
    record.line(&format!("client gets for {id}, after {ms} ms: {}", client::outcome(&answer)));
    Some((id, answer, ms))
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
        reply: |request| {
            let is_first = request.target().1.ends_with("/first");
            Reply { status: 200, bytes: if is_first { 300 } else { ANSWER_BYTES } }
        },
    };
    let all = servers(7, &spec, &store, record);
    let Some(nodes) = Nodes::start(3, &ZONES, &store, record) else {
        return Verdict::CannotRun;
    };
    thread::sleep(SETTLE);
    let (chunk, pause) = match trouble {
        true => (SLOW_CHUNK, SLOW_PAUSE),
        false => (64 << 10, Duration::ZERO),
    };
    // The same client at a server without a node in between: its pace is enough.
    let direct = read_slowly(all[0].address, "direct", chunk, pause, record);
    if !matches!(&direct, Some((_, Ok(answer), _)) if answer.body.len() == ANSWER_BYTES) {
        record.say("a server's own answer does not reach the client in time");
        return Verdict::CannotRun;
    }
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (address, record) = (nodes.callers(n), record.clone());
        clients.push(thread::spawn(move || {
            read_slowly(address, &format!("s{n}"), chunk, pause, &record)
        }));
    }
    let results: Vec<_> = clients.into_iter().filter_map(|c| c.join().ok().flatten()).collect();
    if results.len() < CLIENTS {
        return Verdict::CannotRun;
    }
    let mut lost = 0;
    for (id, answer, ms) in &results {
        let runs = all.iter().flat_map(|s| s.arrivals());
        let run = runs.into_iter().find(|a| a.id == *id && a.answered);
        let is_cut = matches!(answer, Err(e) if e.kind() != io::ErrorKind::TimedOut);
        if let (true, Some(_)) = (is_cut, run) {
            lost += 1;
            record.say(&format!(
                "{id}: a server ran it and answered; the node closed the connection {ms} ms after \
                 the request, before the client had the answer ({})",
                client::outcome(answer)
            ));
        }
    }
    record.say(&format!(
        "{lost} of {CLIENTS} requests of kept connections were closed without the answer"
    ));
    // The rule allows three.
    if lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
