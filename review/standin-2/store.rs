//! Stand-in for the platform's store: range reads and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// All writes: revision, key, and value unless it was removed.
    writes: Vec<(u64, String, Option<Vec<u8>>)>,
    revision: u64,
    /// Number of the address that is in force.
    place: u32,
}

#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    address: SocketAddr,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State { revision: 1, ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { state, address: listener.local_addr()? };
        store.listen(listener, 0);
        Ok(store)
    }

    /// Moves the store to a new address. It keeps what it holds, and the old address refuses
    /// connections.
    pub fn move_to(&self, ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let moved = Store { state: self.state.clone(), address: listener.local_addr()? };
        let place = {
            let mut state = self.lock();
            state.place += 1;
            state.place
        };
        self.state.1.notify_all();
        // Wakes the old acceptor, which then closes its listener.
        let _ = TcpStream::connect(self.address);
        moved.listen(listener, place);
        Ok(moved)
    }

    fn listen(&self, listener: TcpListener, place: u32) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.lock().place != place {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream, place));
            }
        });
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value.as_bytes().to_vec()));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => drop(state.items.insert(key.to_owned(), (value.clone(), revision))),
            None => drop(state.items.remove(key)),
        }
        state.writes.push((revision, key.to_owned(), value));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, place: u32) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            let path = request.target().1.split('?').next().unwrap_or("").to_owned();
            let prefix = request.parameter("prefix").unwrap_or_default();
            let body = match path.as_str() {
                "/api/kv-range" => {
                    self.range(&prefix, &request.parameter("after").unwrap_or_default())
                }
                "/api/kv-watch" => {
                    let number = |name| request.parameter(name).and_then(|v| v.parse().ok());
                    let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                    self.watch(&prefix, number("after").unwrap_or(0), wait, place)
                }
                _ => "{}".to_owned(),
            };
            if self.lock().place != place {
                return;
            }
            let status = if path.starts_with("/api/kv-") { "200 OK" } else { "404 Not Found" };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if http::write(&mut stream, &format!("HTTP/1.1 {status}"), &headers, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        const PAGE: usize = 500;
        let state = self.lock();
        let matching = state.items.iter().filter(|(k, _)| k.starts_with(prefix));
        let rest: Vec<_> = matching.filter(|(k, _)| k.as_str() > after).collect();
        let item = |(key, (value, rev)): &(&String, &(Vec<u8>, u64))| {
            let value = base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","rev":{rev},"created":{rev},"lease":0}}"#)
        };
        let items: Vec<String> = rest.iter().take(PAGE).map(item).collect();
        let (items, more, revision) = (items.join(","), rest.len() > PAGE, state.revision);
        format!(r#"{{"items":[{items}],"has-more":{more},"store-revision":{revision}}}"#)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, place: u32) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let new = |(rev, key, _): &&(u64, String, Option<Vec<u8>>)| {
                *rev > after && key.starts_with(prefix)
            };
            let event = |(rev, key, value): &(u64, String, Option<Vec<u8>>)| match value {
                Some(value) => {
                    let value = base64(value);
                    format!(
                        r#"{{"key":"{key}","value":"{value}","rev":{rev},"created":{rev},"lease":0}}"#
                    )
                }
                None => format!(r#"{{"key":"{key}","rev":{rev},"removed":true}}"#),
            };
            let events: Vec<String> = state.writes.iter().filter(new).map(event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.place != place {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"store-revision":{revision}}}"#);
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}
