//! LOST: replies without end take the room of answers that callers are reading slowly.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client, http, links,
    node::{Deployment, Node},
    record::Record,
    server::{Arrival, Server, Work},
    store::Store,
    Error, Setup,
};

const READERS: usize = 24;
const ANSWER_BYTES: usize = 300_000;
/// Bytes that a reader takes every tenth of a second.
const READ_BYTES: usize = 4_200;
/// Receive buffer of a reader, in bytes.
const RECEIVE_BUFFER: i32 = 16_384;
/// Deadline of `sdsfetch`.
const DEADLINE: Duration = Duration::from_secs(8);
/// Requests to faulty servers, in two waves: their number, and the bytes that a server sends at once
/// before it goes on byte by byte.
const WAVES: [(usize, usize); 2] = [(120, 60_000), (120, 20_000)];
/// Time between two small requests to sound servers.
const INTERVAL: Duration = Duration::from_millis(50);

pub fn run(setup: &Setup) -> Result<bool, Error> {
    let Setup { record, folder, has_trouble } = setup;
    let store = Store::start("127.0.0.1")?;
    store.put(
        "op/config",
        r#"{"version":7,"routes":[{"name":"r-sheets","host":"desk.example","prefix":"/sheets/","type":"unsafe","timeout-ms":8000,"goal-ms":500,"priority":1,"service":"labeldesk","max-attempts":2},{"name":"r-hub","host":"desk.example","prefix":"/hub/","type":"safe","timeout-ms":8000,"goal-ms":500,"priority":1,"service":"extensionhub","max-attempts":1}],"services":[{"name":"labeldesk","health-path":"/health","max-conns":753},{"name":"extensionhub","health-path":"/health","max-conns":753}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#,
    );
    let time = Duration::from_millis(20);
    let work = Work { slots: 12, queue: 60, max_conns: 753, time, long: time };
    let mut sound = Vec::new();
    for zone in ["kino", "tastiota"] {
        let id = format!("i-sound-{zone}");
        sound.push(Server::start(&id, "labeldesk", zone, work.clone(), &store, record)?);
    }
    for (n, zone) in ["kino", "tastiota", "guaymas"].into_iter().enumerate() {
        start_faulty(&format!("i-hub-{n}"), zone, *has_trouble, &store, record)?;
    }
    let ips = ["127.0.8.1".to_owned(), "127.0.8.2".to_owned()];
    let deployment = Deployment { memory_mb: 112, ..Deployment::new(store.address(), &ips)? };
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

    let address = nodes[0].callers();
    let readers: Vec<_> = (0..READERS)
        .map(|n| {
            let (record, address) = (record.clone(), address.clone());
            thread::spawn(move || read_slowly(n, &address, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));
    let mut others = Vec::new();
    let stop = Arc::new(AtomicBool::new(false));
    let (load, sheets) = (stop.clone(), address.clone());
    let small = thread::spawn(move || {
        let (mut sent, mut served) = (0, 0);
        while !load.load(Ordering::SeqCst) {
            let id = format!("small-{sent:03}");
            let headers = [("Host", "desk.example"), ("Request-Id", &id), ("Timeout-Ms", "8000")];
            let answer = client::send(&sheets, "POST", "/sheets/300", &headers, b"", DEADLINE);
            served += usize::from(answer.is_ok_and(|a| a.status() == 200));
            sent += 1;
            thread::sleep(INTERVAL);
        }
        (served, sent)
    });
    for (wave, (count, first_bytes)) in WAVES.into_iter().enumerate() {
        record.line(format!("{count} requests to extensionhub"));
        for n in 0..count {
            let (record, address) = (record.clone(), address.clone());
            others.push(thread::spawn(move || {
                let id = format!("hub-{wave}-{n:03}");
                let headers =
                    [("Host", "desk.example"), ("Request-Id", &id), ("Timeout-Ms", "8000")];
                let path = format!("/hub/{first_bytes}/{id}");
                let limit = DEADLINE + Duration::from_secs(1);
                let answer = client::send(&address, "GET", &path, &headers, b"", limit);
                record.line(format!("client gets {:?} for {id}", answer.map(|a| a.start)));
            }));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let whole = readers.into_iter().filter_map(|r| r.join().ok()).filter(|whole| *whole).count();
    for other in others {
        let _ = other.join();
    }
    stop.store(true, Ordering::SeqCst);
    let (served, sent) = small.join().unwrap_or_default();
    record.line(format!("{served} of {sent} small requests were served"));
    let lost = READERS - whole;
    let is_large = |a: &Arrival| a.request.starts_with("reader-") && a.request.len() == 9;
    let arrivals = sound.iter().flat_map(|s| s.arrivals());
    let answered = arrivals.filter(|a| a.answered && is_large(a)).count();
    record.say(format!(
        "{lost} of {READERS} clients on kept connections lost the answer that they were reading; \
         the servers had answered {answered} of them in full; allowed: 3"
    ));
    let cut = nodes[0].log_text().matches("its other end reads too slowly").count();
    record.line(format!("node-1 says that it cut off {cut} slow readers"));
    Ok(lost > 3)
}

/// Sends two requests on one connection and reads the second answer slowly. Returns whether it came whole.
fn read_slowly(n: usize, address: &str, record: &Record) -> bool {
    let read = || -> std::io::Result<usize> {
        let mut stream = TcpStream::connect(address)?;
        links::set_receive_buffer(&stream, RECEIVE_BUFFER);
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let send = |stream: &mut TcpStream, id: &str, bytes: usize| {
            let headers = [("Host", "desk.example"), ("Request-Id", id), ("Timeout-Ms", "8000")];
            http::write(stream, &format!("POST /sheets/{bytes} HTTP/1.1"), &headers, b"order")
        };
        send(&mut stream, &format!("reader-{n:02}-first"), 0)?;
        http::read(&mut stream, &mut Vec::new())?;
        send(&mut stream, &format!("reader-{n:02}"), ANSWER_BYTES)?;
        let mut read = 0;
        let mut next = Instant::now();
        while read < ANSWER_BYTES {
            let mut chunk = [0; READ_BYTES];
            match stream.read(&mut chunk)? {
                0 => break,
                bytes => read += bytes,
            }
            next += Duration::from_millis(100);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        Ok(read)
    };
    let start = Instant::now();
    let result = read();
    let ms = start.elapsed().as_millis();
    record.line(format!("reader-{n:02} of {ANSWER_BYTES} bytes: {result:?} after {ms} ms"));
    // The head comes on top of the body.
    result.is_ok_and(|read| read >= ANSWER_BYTES)
}

/// Starts a server whose replies have no end, if `has_trouble`.
fn start_faulty(
    id: &str,
    zone: &str,
    has_trouble: bool,
    store: &Store,
    record: &Record,
) -> Result<(), Error> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"service":"extensionhub","addr":"{address}","zone":"{zone}","version":"v1","slots":100,"state":"ready","cold-left-ms":0,"seq":1,"born":1790000000000}}"#
        ),
    );
    let (id, record) = (id.to_owned(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), record.clone());
            thread::spawn(move || answer(stream, &id, has_trouble, &record));
        }
    });
    Ok(())
}

fn answer(mut stream: TcpStream, server: &str, has_trouble: bool, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let stamp = format!("{server}.{id}");
        record.line(format!("server {server} gets {id}"));
        let number = request.target().1.split('/').nth(2).and_then(|n| n.parse().ok());
        let first_bytes: usize = number.unwrap_or(0);
        if !has_trouble {
            let headers = [("Request-Id", id.as_str()), ("Server-Stamp", &stamp)];
            if http::write(&mut stream, "HTTP/1.1 200 OK", &headers, &vec![b'x'; first_bytes]).is_err() {
                return;
            }
            continue;
        }
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err()
            || stream.write_all(&vec![b'x'; first_bytes]).is_err()
        {
            return;
        }
        while stream.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
        return;
    }
}
