//! The platform's store: a log with topics and keyed records, as PROTOCOL.md describes it.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{Request, Response, serve};

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<HashMap<String, Vec<Vec<u8>>>>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> (Self, SocketAddr) {
        let addr = listener
            .local_addr()
            .expect("a bound listener has an address");
        let store = Self::default();
        let served = store.clone();
        serve(listener, move |request| served.handle(&request));
        (store, addr)
    }

    /// Writes a keyed record, as the operator and the replicas do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (topics, changed) = &*self.state;
        topics
            .lock()
            .expect("lock")
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        let topic = request.query("Topic").unwrap_or_default().to_owned();
        match request.path() {
            "/v1/log-append" => self.append(&topic, request),
            "/v1/log-read" => self.read(&topic, request),
            "/v1/log-newest" => self.newest(&topic),
            _ => Response::new(404, ""),
        }
    }

    fn append(&self, topic: &str, request: &Request) -> Response {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Response::new(403, "");
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + len {
                return Response::new(400, "");
            }
            records.push(rest[4..4 + len].to_vec());
            rest = &rest[4 + len..];
        }
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().expect("lock");
        let log = topics.entry(topic.to_owned()).or_default();
        let at = request.query("At").and_then(|v| v.parse::<usize>().ok());
        if at.is_some_and(|at| at != log.len()) {
            return json(412, format!("{{\"End\":{}}}", log.len()));
        }
        let offset = log.len();
        log.extend(records);
        changed.notify_all();
        json(
            200,
            format!("{{\"Offset\":{offset},\"End\":{}}}", log.len()),
        )
    }

    fn read(&self, topic: &str, request: &Request) -> Response {
        let number = |name: &str| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = usize::try_from(number("From").unwrap_or(0)).unwrap_or(usize::MAX);
        let end = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().expect("lock");
        loop {
            let log = topics.entry(topic.to_owned()).or_default();
            let left = end.saturating_duration_since(Instant::now());
            if log.len() > from || left.is_zero() {
                let mut body = (log.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in log.iter().skip(from) {
                    body.extend_from_slice(
                        &u32::try_from(record.len()).expect("short").to_be_bytes(),
                    );
                    body.extend_from_slice(record);
                }
                return Response::new(200, body);
            }
            topics = changed.wait_timeout(topics, left).expect("lock").0;
        }
    }

    fn newest(&self, topic: &str) -> Response {
        let mut topics = self.state.0.lock().expect("lock");
        let log = topics.entry(topic.to_owned()).or_default();
        let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let Some((len, rest)) = record.split_first() else {
                continue;
            };
            let (key, value) = rest.split_at(usize::from(*len).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value.to_vec()));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        json(
            200,
            format!(
                "{{\"items\":[{}],\"HasMore\":false,\"End\":{}}}",
                items.join(","),
                log.len()
            ),
        )
    }
}

pub fn json(status: u16, body: String) -> Response {
    Response::new(status, body).with("content-type", "application/json")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(char::from(DIGITS[(n >> (18 - 6 * i) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
