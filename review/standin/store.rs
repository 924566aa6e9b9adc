//! Stand-in for the platform's store: range reads and watches of an in-memory map.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

#[derive(Default)]
struct State {
    /// Value and revision of each key; removed ones have no value.
    items: BTreeMap<String, (Option<String>, u64)>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let state = State { revision: 1, ..State::default() };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("an address"),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes `value` and returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.write(key, Some(value.to_owned()))
    }

    pub fn remove(&self, key: &str) -> Instant {
        self.write(key, None)
    }

    pub fn get(&self, key: &str) -> Option<String> {
        self.state.0.lock().unwrap().items.get(key).and_then(|(v, _)| v.clone())
    }

    fn write(&self, key: &str, value: Option<String>) -> Instant {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value, revision));
        changed.notify_all();
        Instant::now()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(None) {
            let (_, target) = request.target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
                pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).unwrap_or_default()
            };
            let prefix = parameter("prefix");
            let (status, body) = match path {
                "/api/kv-range" => (200, self.range(&prefix, &parameter("after"))),
                "/api/kv-watch" => {
                    let after = parameter("after").parse().unwrap_or(0);
                    let wait = Duration::from_millis(parameter("wait-ms").parse().unwrap_or(0));
                    match self.watch(&prefix, after, wait) {
                        Some(body) => (200, body),
                        None => (410, String::new()),
                    }
                }
                _ => (404, String::new()),
            };
            let start = format!("HTTP/1.1 {status} S");
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if connection.write(&start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let live = state.items.iter().filter(|(k, (v, _))| k.starts_with(prefix) && v.is_some());
        let items = live.filter(|(k, _)| k.as_str() > after).map(|(k, (v, rev))| item(k, v, *rev));
        let items = items.collect::<Vec<_>>().join(",");
        format!(r#"{{"items":[{items}],"has-more":false,"store-revision":{}}}"#, state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let deadline = Instant::now() + wait;
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            if after > state.revision {
                return None;
            }
            let new = state.items.iter().filter(|(k, (_, r))| k.starts_with(prefix) && *r > after);
            let mut new = new.collect::<Vec<_>>();
            new.sort_by_key(|(_, (_, revision))| *revision);
            let events = new.into_iter().map(|(k, (v, rev))| item(k, v, *rev));
            let events = events.collect::<Vec<_>>().join(",");
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return Some(format!(r#"{{"events":[{events}],"store-revision":{revision}}}"#));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &Option<String>, rev: u64) -> String {
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            format!(r#"{{"key":"{key}","value":"{value}","rev":{rev},"created":{rev},"lease":0}}"#)
        }
        None => format!(r#"{{"key":"{key}","rev":{rev},"removed":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * n) & 63) as usize];
            text.push(if n <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
