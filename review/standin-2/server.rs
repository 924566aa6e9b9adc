//! Stand-in for a server: registers itself in the store, runs requests in its slots, and drains as
//! PROTOCOL.md says.

use std::{
    collections::VecDeque,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Condvar, Mutex, MutexGuard,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, links::Links, record::Record, store::Store};

/// What a server does with requests.
#[derive(Debug, Clone)]
pub struct Work {
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    pub max_conns: usize,
    pub time: Duration,
    /// Time of every second request, as the work of requests differs.
    pub long: Duration,
}

/// One request that arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub server: String,
    pub request: String,
    pub at: Instant,
    /// Whether a whole answer was written.
    pub answered: bool,
    pub ran: bool,
}

#[derive(Debug, Default)]
struct Slots {
    running: usize,
    waiting: VecDeque<usize>,
    next: usize,
}

#[derive(Debug)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    work: Work,
    store: Store,
    record: Record,
    links: Links,
    born: u128,
    slots: (Mutex<Slots>, Condvar),
    connections: Mutex<Vec<TcpStream>>,
    open: AtomicUsize,
    ended: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Server {
    /// Starts a server and registers it as ready.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Work,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Arc<Server>> {
        Server::start_behind(&Links::default(), id, service, zone, work, store, record)
    }

    /// Starts a server whose connections are `links`.
    pub fn start_behind(
        links: &Links,
        id: &str,
        service: &str,
        zone: &str,
        work: Work,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let server = Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            work,
            store: store.clone(),
            record: record.clone(),
            links: links.clone(),
            born,
            slots: Default::default(),
            connections: Mutex::default(),
            open: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
        });
        server.register("ready");
        let acceptor = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = acceptor.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    pub fn register(&self, state: &str) {
        let Server { id, service, address, zone, work, born, .. } = self;
        let slots = work.slots;
        let entry = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold-left-ms":0,"seq":1,"born":{born}}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
        self.record.line(format!("store has acknowledged: server {id} ({service}) is {state}"));
    }

    /// Removes the entry, as of a server that leaves without having reported that it drains.
    pub fn unregister(&self) {
        self.store.remove(&format!("servers/{}", self.id));
        self.record.line(format!("store has acknowledged: the entry of {} is removed", self.id));
    }

    /// Ends the server: its entry is removed and its connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
        // Wakes the acceptor, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.slots.1.notify_all();
        self.record.line(format!("server {} ends", self.id));
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    fn serve(self: Arc<Server>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if self.links.add(&stream) {
            return;
        }
        if self.open.fetch_add(1, Ordering::SeqCst) < self.work.max_conns {
            if let Ok(copy) = stream.try_clone() {
                lock(&self.connections).push(copy);
            }
            let mut buffer = Vec::new();
            while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
                if !self.answer(&mut stream, &request) {
                    break;
                }
            }
        } else {
            self.record.line(format!("server {} closes a connection over its limit", self.id));
        }
        let _ = stream.shutdown(Shutdown::Both);
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Answers a request. Returns whether the connection goes on.
    fn answer(&self, stream: &mut TcpStream, request: &http::Message) -> bool {
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|i| i != self.id) {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"").is_ok();
        }
        let at = Instant::now();
        let index = {
            let mut arrivals = lock(&self.arrivals);
            let (server, request) = (self.id.clone(), id.clone());
            arrivals.push(Arrival { server, request, at, answered: false, ran: false });
            arrivals.len() - 1
        };
        let left = request.header("timeout-ms").and_then(|t| t.parse().ok()).unwrap_or(60_000);
        let deadline = at + Duration::from_millis(left);
        self.record.line(format!("server {} gets {id}, {left} ms left", self.id));
        let mut headers = vec![("Request-Id", id.as_str()), ("Keep-Alive", "timeout=10")];
        if !self.take_slot(deadline) {
            self.record.line(format!("server {} turns {id} away, not run", self.id));
            headers.push(("Not-Executed", "1"));
            return http::write(stream, "HTTP/1.1 503 Service Unavailable", &headers, b"").is_ok();
        }
        lock(&self.arrivals)[index].ran = true;
        let time = if index % 2 == 0 { self.work.time } else { self.work.long };
        let end = (Instant::now() + time).min(deadline);
        thread::sleep(end.saturating_duration_since(Instant::now()));
        lock(&self.slots.0).running -= 1;
        self.slots.1.notify_all();
        if self.ended.load(Ordering::SeqCst) {
            self.record.line(format!("server {} has ended while it ran {id}", self.id));
            return false;
        }
        let stamp = format!("{}.{index}", self.id);
        headers.push(("Server-Stamp", &stamp));
        let status = if end < deadline { "200 OK" } else { "504 Gateway Timeout" };
        // A path that ends with a number asks for so many bytes.
        let path = request.target().1;
        let size = path.strip_prefix("/sheets/").and_then(|n| n.parse::<usize>().ok());
        let body = size.map_or_else(|| id.clone().into_bytes(), |size| vec![b'x'; size]);
        let written = http::write(stream, &format!("HTTP/1.1 {status}"), &headers, &body);
        lock(&self.arrivals)[index].answered = written.is_ok();
        self.record.line(format!("server {} has run {id}: {status}", self.id));
        written.is_ok()
    }

    /// Waits for a slot, in order of arrival. Returns `false` if too many wait or at `deadline`.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut slots = lock(&self.slots.0);
        if slots.running >= self.work.slots && slots.waiting.len() >= self.work.queue {
            return false;
        }
        let number = slots.next;
        slots.next += 1;
        slots.waiting.push_back(number);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.ended.load(Ordering::SeqCst) {
                slots.waiting.retain(|n| *n != number);
                return false;
            }
            if slots.running < self.work.slots && slots.waiting.front() == Some(&number) {
                slots.waiting.pop_front();
                slots.running += 1;
                self.slots.1.notify_all();
                return true;
            }
            let waited = self.slots.1.wait_timeout(slots, left);
            slots = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}
