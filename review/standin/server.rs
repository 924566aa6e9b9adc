//! Stand-in for a server: registers itself, runs requests in slots with a queue, drains and leaves.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    cut,
    http::{Connection, Message},
    record::Record,
    store::Store,
};

/// Interval between two beats.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// What a server does with a request that it has run.
#[derive(Clone, Default)]
pub struct Reply {
    /// Status of a run; 200 unless set.
    pub status: u16,
    /// Length of the answer in bytes.
    pub bytes: usize,
}

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    pub work: Duration,
    pub reply: fn(&Message) -> Reply,
}

/// A request that reached a server and was not turned away with 421.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub method: String,
    pub target: String,
    pub at: Instant,
    /// Whether the server began to work on it.
    pub ran: bool,
    /// Whether its work was done and the answer written.
    pub answered: bool,
}

struct Shared {
    spec: Spec,
    record: Record,
    /// Busy slots and waiting requests.
    load: (Mutex<(usize, usize)>, Condvar),
    arrivals: Mutex<Vec<Arrival>>,
    streams: Mutex<Vec<TcpStream>>,
    state: Mutex<&'static str>,
    seq: AtomicU64,
    has_ended: AtomicBool,
}

#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
    store: Store,
    pub address: SocketAddr,
    born: u64,
}

impl Server {
    pub fn start(spec: Spec, store: &Store, record: &Record) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a server");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_millis() as u64);
        let shared = Arc::new(Shared {
            spec,
            record: record.clone(),
            load: Default::default(),
            arrivals: Mutex::default(),
            streams: Mutex::default(),
            state: Mutex::new("ready"),
            seq: AtomicU64::new(1),
            has_ended: AtomicBool::new(false),
        });
        let server = Server { shared, store: store.clone(), address, born };
        server.register();
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended() {
                    return;
                }
                if cut::is_cut(&stream) {
                    cut::reset(&stream);
                    continue;
                }
                let shared = accepting.shared.clone();
                shared.streams.lock().unwrap().extend(stream.try_clone());
                thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        });
        let beating = server.clone();
        thread::spawn(move || loop {
            thread::sleep(BEAT_INTERVAL);
            if beating.has_ended() {
                return;
            }
            beating.beat();
        });
        server
    }

    pub fn id(&self) -> &str {
        &self.shared.spec.id
    }

    pub fn service(&self) -> &str {
        &self.shared.spec.service
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.shared.spec.id)
    }

    fn has_ended(&self) -> bool {
        self.shared.has_ended.load(Ordering::Relaxed)
    }

    fn entry(&self, seq: u64) -> String {
        let Spec { service, zone, slots, .. } = &self.shared.spec;
        let state = *self.shared.state.lock().unwrap();
        let (address, born) = (self.address, self.born);
        format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold-left-ms":0,"seq":{seq},"born":{born}}}"#
        )
    }

    fn register(&self) -> Instant {
        let seq = self.shared.seq.fetch_add(1, Ordering::Relaxed);
        self.store.put(&self.key(), &self.entry(seq))
    }

    /// Writes the entry if the store holds anything else than what differs in `seq` only.
    fn beat(&self) {
        let is_same = |text: &str| {
            let seq = text.split(r#""seq":"#).nth(1).and_then(|t| t.split(',').next());
            seq.and_then(|s| s.parse().ok()).is_some_and(|seq| text == self.entry(seq))
        };
        let listed = self.store.get(&self.key());
        if !listed.is_some_and(|text| is_same(&text)) {
            self.register();
        }
    }

    /// Reports that the server drains. Returns when the store has accepted that.
    pub fn drain(&self) -> Instant {
        *self.shared.state.lock().unwrap() = "draining";
        self.register()
    }

    /// Ends the process: its connections close, and its entry goes.
    pub fn exit(&self) {
        self.shared.has_ended.store(true, Ordering::Relaxed);
        self.store.remove(&self.key());
        // Wakes the thread that accepts connections.
        drop(TcpStream::connect(self.address));
        for stream in self.shared.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Resets the connections of the node that is cut off.
    pub fn reset_cut(&self) {
        self.shared.streams.lock().unwrap().retain(|stream| {
            let is_cut = cut::is_cut(stream);
            if is_cut {
                cut::reset(stream);
            }
            !is_cut
        });
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

impl Shared {
    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(None) {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let at = Instant::now();
        let (method, target) = request.target();
        if target == "/health" {
            return connection.write("HTTP/1.1 200 OK", &[("Instance-Id", &self.spec.id)], b"");
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        if request.header("expect-instance").is_some_and(|i| i != self.spec.id) {
            let headers = [headers[0], headers[1], ("Instance-Id", &self.spec.id)];
            return connection.write("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if id.is_empty() {
            return connection.write("HTTP/1.1 400 Bad Request", &[("Not-Executed", "1")], b"");
        }
        let (id_, method, target) = (id.clone(), method.to_owned(), target.to_owned());
        let arrival = Arrival { id: id_, method, target, at, ran: false, answered: false };
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(arrival);
            arrivals.len() - 1
        };
        let timeout = request.header("timeout-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
        let deadline = at + Duration::from_millis(timeout);
        if !self.take_slot(deadline) {
            let cause = if Instant::now() < deadline { "queue full" } else { "deadline" };
            self.record.line(&format!("{} rejects {id}: 503 Not-Executed, {cause}", self.spec.id));
            return connection.write("HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        self.arrivals.lock().unwrap()[index].ran = true;
        self.record.line(&format!("{} ({}) runs {id}", self.spec.id, self.spec.service));
        let done = self.run(connection, deadline);
        self.release_slot();
        let stamp = format!("{}.{index}.{id}", self.spec.id);
        let headers = [("Request-Id", id.as_str()), ("Server-Stamp", stamp.as_str())];
        match done {
            None => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            Some(false) => {
                return connection.write("HTTP/1.1 504 Gateway Timeout", &headers, b"late")
            }
            Some(true) => {}
        }
        let Reply { status, bytes } = (self.spec.reply)(request);
        let start = format!("HTTP/1.1 {} S", if status == 0 { 200 } else { status });
        connection.write(&start, &headers, &vec![b'x'; bytes])?;
        self.arrivals.lock().unwrap()[index].answered = true;
        Ok(())
    }

    /// Works until the work is done (`true`), the deadline (`false`), or the connection has ended.
    fn run(&self, connection: &Connection, deadline: Instant) -> Option<bool> {
        let end = Instant::now() + self.spec.work;
        loop {
            let now = Instant::now();
            if self.has_ended.load(Ordering::Relaxed) || connection.has_ended() {
                return None;
            }
            if now >= end || now >= deadline {
                return Some(now >= end);
            }
            thread::sleep((end.min(deadline) - now).min(Duration::from_millis(10)));
        }
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        let (lock, freed) = &self.load;
        let mut load = lock.lock().unwrap();
        if load.0 >= self.spec.slots && load.1 >= self.spec.queue {
            return false;
        }
        load.1 += 1;
        while load.0 >= self.spec.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.1 -= 1;
                return false;
            }
            load = freed.wait_timeout(load, left).unwrap().0;
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn release_slot(&self) {
        let (lock, freed) = &self.load;
        lock.lock().unwrap().0 -= 1;
        freed.notify_one();
    }
}
