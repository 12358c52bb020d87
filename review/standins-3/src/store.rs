//! The platform's store, as PROTOCOL.md describes it, with the calls that the gateway makes.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Conn, Head, serve};

/// How the store handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Each call gets 503, so nothing is done.
    Away,
}

pub type Topics = HashMap<String, Vec<(Vec<u8>, Vec<u8>)>>;

struct State {
    topics: Topics,
    mode: Mode,
    era: u64,
}

/// A store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let state = State { topics: HashMap::new(), mode: Mode::Up, era: 0 };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), addr };
        let served = store.clone();
        serve(listener, move |head, conn| served.handle(head, conn));
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no holder of the lock panics")
    }

    /// Writes a record as the operator or a replica does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.lock();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.into(), value.into()));
        self.state.1.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let records = state.topics.get(topic)?;
        let (_, value) = records.iter().rev().find(|(k, _)| k == key.as_bytes())?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Topics {
        self.lock().topics.clone()
    }

    /// Comes back from a copy.
    pub fn restore(&self, copy: Topics) {
        let mut state = self.lock();
        state.topics = copy;
        state.era += 1;
        state.mode = Mode::Up;
        self.state.1.notify_all();
    }

    fn handle(&self, head: &Head, conn: &mut Conn) -> io::Result<bool> {
        let body = conn.read_body(head)?;
        let (status, body) = self.answer(head, &body);
        // The store takes about 4 ms to answer.
        thread::sleep(Duration::from_millis(3));
        let era = self.lock().era;
        conn.respond(status, &format!("Store-Era: {era}\r\n"), &body)?;
        Ok(true)
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let mut state = self.lock();
        if state.mode == Mode::Away {
            return (503, Vec::new());
        }
        let topic = head.query("Topic").unwrap_or_default().to_owned();
        match head.path() {
            "/v1/log-append" => {
                let at = head.query("At").and_then(|v| v.parse::<usize>().ok());
                let records = state.topics.entry(topic).or_default();
                let offset = records.len();
                if at.is_some_and(|at| at != offset) {
                    return (412, format!("{{\"End\":{offset}}}").into_bytes());
                }
                let mut rest = body;
                while rest.len() >= 5 {
                    let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + len];
                    let key = usize::from(record[0]);
                    records.push((record[1..=key].to_vec(), record[1 + key..].to_vec()));
                    rest = &rest[4 + len..];
                }
                let end = records.len();
                self.state.1.notify_all();
                (200, format!("{{\"Offset\":{offset},\"End\":{end}}}").into_bytes())
            }
            "/v1/log-newest" => {
                let records = state.topics.entry(topic).or_default();
                let mut newest = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                let items: Vec<String> = newest
                    .into_iter()
                    .filter(|(_, (_, value))| !value.is_empty())
                    .map(|(key, (offset, value))| {
                        let (key, value) = (String::from_utf8_lossy(key), base64(value));
                        format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
                    })
                    .collect();
                let end = records.len();
                let items = items.join(",");
                let page = format!("{{\"items\":[{items}],\"HasMore\":false,\"End\":{end}}}");
                (200, page.into_bytes())
            }
            "/v1/log-read" => {
                let number = |n: &str| head.query(n).and_then(|v| v.parse::<u64>().ok());
                let from = number("From").unwrap_or(0) as usize;
                let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
                let era = state.era;
                loop {
                    let len = state.topics.get(&topic).map_or(0, Vec::len);
                    let left = until.saturating_duration_since(Instant::now());
                    if len != from || left.is_zero() || state.mode != Mode::Up || state.era != era {
                        break;
                    }
                    let waited = self.state.1.wait_timeout(state, left);
                    state = waited.expect("no holder of the lock panics").0;
                }
                if state.mode != Mode::Up {
                    return (503, Vec::new());
                }
                let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                if from > records.len() {
                    return (410, b"{\"First\":0}".to_vec());
                }
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&[0; 8]);
                for (key, value) in &records[from..] {
                    let len = (1 + key.len() + value.len()) as u32;
                    bytes.extend_from_slice(&len.to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend_from_slice(key);
                    bytes.extend_from_slice(value);
                }
                (200, bytes)
            }
            _ => (404, Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let get = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let n = get(0) << 16 | get(1) << 8 | get(2);
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(ALPHABET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
