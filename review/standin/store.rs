//! Stand-in for the platform's store: range reads and watches of an in-memory map.
//!
//! Reads that allow stale data may be served by two copies of the data in turn, one of which is some
//! seconds old.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record};

#[derive(Default)]
struct State {
    /// Value and revision of each key; removed ones have no value.
    items: BTreeMap<String, (Option<String>, u64)>,
    revision: u64,
    /// All writes so far, in order.
    writes: Vec<(Instant, String, Option<String>)>,
    /// Age of the older copy; none if stale reads get the newest data.
    lag: Option<Duration>,
    stale_reads: u64,
}

/// Revision before the first write.
const FIRST_REVISION: u64 = 1;
/// Time of an answer, as in the site.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Largest number of items of a page. The pages allow about 500 at most.
const PAGE_ITEMS: usize = 25;

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    record: Option<Record>,
}

impl Store {
    pub fn start() -> Store {
        Store::start_with(None)
    }

    /// Starts a store that records the listings that it returns.
    pub fn start_with(record: Option<Record>) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let state = State { revision: FIRST_REVISION, ..State::default() };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("an address"),
            record,
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
        state.items.insert(key.to_owned(), (value.clone(), revision));
        let now = Instant::now();
        state.writes.push((now, key.to_owned(), value));
        changed.notify_all();
        now
    }

    /// Serves stale reads from the newest data and from a copy that is `lag` old, in turn.
    pub fn set_lag(&self, lag: Duration) {
        self.state.0.lock().unwrap().lag = Some(lag);
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
                "/api/kv-range" => {
                    std::thread::sleep(ANSWER_TIME);
                    let allow_stale = parameter("allow-stale") == "1";
                    let after = decode(&parameter("after"));
                    let (body, note) = self.range(&prefix, &after, allow_stale);
                    if let Some(record) = &self.record {
                        record.line(&format!("the store returns {note}"));
                    }
                    (200, body)
                }
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

    fn range(&self, prefix: &str, after: &str, allow_stale: bool) -> (String, String) {
        let mut state = self.state.0.lock().unwrap();
        let mut age = None;
        if let (true, Some(lag)) = (allow_stale, state.lag) {
            state.stale_reads += 1;
            age = (state.stale_reads % 2 == 0).then_some(lag);
        }
        let (items, revision) = match age {
            Some(age) => state.as_of(Instant::now() - age),
            None => (state.items.clone(), state.revision),
        };
        let live = items.iter().filter(|(k, (v, _))| k.starts_with(prefix) && v.is_some());
        let mut rest = live.filter(|(k, _)| k.as_str() > after);
        let page: Vec<_> = rest.by_ref().take(PAGE_ITEMS).collect();
        let has_more = rest.next().is_some();
        let last = page.last().map(|(k, _)| k.as_str()).unwrap_or("").to_owned();
        let list = page.into_iter().map(|(k, (v, rev))| item(k, v, *rev)).collect::<Vec<_>>();
        let note = format!(
            "a page of {} items up to {last}, {}, as of revision {revision}, {} ms old",
            list.len(),
            if allow_stale { "stale data allowed" } else { "newest data asked for" },
            age.unwrap_or_default().as_millis()
        );
        let list = list.join(",");
        let body =
            format!(r#"{{"items":[{list}],"has-more":{has_more},"store-revision":{revision}}}"#);
        (body, note)
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

impl State {
    /// Returns the items and the revision at an earlier time.
    fn as_of(&self, at: Instant) -> (BTreeMap<String, (Option<String>, u64)>, u64) {
        let mut items = BTreeMap::new();
        let mut revision = FIRST_REVISION;
        for (_, key, value) in self.writes.iter().take_while(|(written, ..)| *written <= at) {
            revision += 1;
            items.insert(key.clone(), (value.clone(), revision));
        }
        (items, revision)
    }
}

/// Decodes percent-encoding.
fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or("").to_owned();
    for part in parts {
        let code = part.get(..2).and_then(|hex| u8::from_str_radix(hex, 16).ok()).unwrap_or(b'?');
        decoded.push(char::from(code));
        decoded.push_str(part.get(2..).unwrap_or(""));
    }
    decoded
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
