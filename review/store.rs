//! A stand-in for the platform's metadata store: topics that keep the newest record of each key.

use super::http::{Handler, Request, Response, Server};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

type Record = (String, Vec<u8>);

#[derive(Default)]
struct Topic {
    records: Vec<Record>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    epoch: u64,
    sequence: u64,
    last_answers: Vec<(u64, u64)>,
}

impl Topic {
    fn push(
        &mut self,
        records: &[Record],
    ) -> u64 {
        let first = self.records.len() as u64;
        for (key, value) in records {
            let offset = self.records.len() as u64;
            self.records.push((key.clone(), value.clone()));
            if value.is_empty() {
                self.newest.remove(key);
            } else {
                self.newest.insert(key.clone(), (offset, value.clone()));
            }
        }
        first
    }
}

/// Decides on an append without a condition: `Some` means that it gets no answer and is done after
/// this time.
pub type Lateness = Box<dyn Fn(&str, &[Record]) -> Option<Duration> + Send + Sync>;

/// The store.
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
    lateness: Mutex<Option<Lateness>>,
    is_down: AtomicBool,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<(Arc<Self>, Server)> {
        let store = Arc::new(Self {
            topics: Mutex::default(),
            appended: Condvar::new(),
            lateness: Mutex::default(),
            is_down: AtomicBool::new(false),
        });
        let own = store.clone();
        let handler: Handler = Arc::new(move |req| own.answer(&req));
        Ok((store, Server::bind(address, handler)?))
    }

    pub fn set_lateness(
        &self,
        lateness: Option<Lateness>,
    ) {
        *self.lateness.lock().unwrap() = lateness;
    }

    /// Sets whether the store refuses every call with 503.
    pub fn set_down(
        &self,
        is_down: bool,
    ) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Appends a record as the operator does.
    pub fn put(
        &self,
        topic: &str,
        key: &str,
        value: &[u8],
    ) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.push(&[(key.to_owned(), value.to_vec())]);
        self.appended.notify_all();
    }

    fn answer(
        self: &Arc<Self>,
        req: &Request,
    ) -> Option<Response> {
        if self.is_down.load(Ordering::SeqCst) {
            return Response::json(503, "{}".to_owned());
        }
        let topic = req.query.get("Topic")?.clone();
        match req.path.as_str() {
            "/log-append" => self.append(&topic, req),
            "/log-read" => self.read(&topic, req),
            "/log-newest" => self.newest(&topic),
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn append(
        self: &Arc<Self>,
        topic: &str,
        req: &Request,
    ) -> Option<Response> {
        let number = |name: &str| req.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let records = decode_records(&req.body);
        let (at, epoch, sequence) = (number("At"), number("epoch"), number("Sequence"));
        if at.is_none() && epoch.is_none() {
            let delay = self
                .lateness
                .lock()
                .unwrap()
                .as_ref()
                .and_then(|l| l(topic, &records));
            if let Some(delay) = delay {
                let (store, topic) = (self.clone(), topic.to_owned());
                thread::spawn(move || {
                    thread::sleep(delay);
                    store
                        .topics
                        .lock()
                        .unwrap()
                        .entry(topic)
                        .or_default()
                        .push(&records);
                    store.appended.notify_all();
                });
                return None;
            }
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let end = topic.records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return Response::json(412, format!("{{\"EndOffset\":{end}}}"));
        }
        if let (Some(epoch), Some(sequence)) = (epoch, sequence) {
            if epoch < topic.epoch {
                return Response::json(409, "{\"Reason\":\"fenced\"}".to_owned());
            }
            if epoch == topic.epoch {
                let earlier = topic.last_answers.iter().find(|(s, _)| *s == sequence);
                if let Some((_, offset)) = earlier {
                    return Response::json(
                        200,
                        format!("{{\"Offset\":{offset},\"EndOffset\":{end}}}"),
                    );
                }
                if sequence != topic.sequence + 1 {
                    let expected = topic.sequence + 1;
                    return Response::json(
                        409,
                        format!("{{\"Reason\":\"seq\",\"Sequence\":{expected}}}"),
                    );
                }
            } else {
                topic.last_answers.clear();
            }
            (topic.epoch, topic.sequence) = (epoch, sequence);
            topic.last_answers.push((sequence, end));
            if topic.last_answers.len() > 5 {
                topic.last_answers.remove(0);
            }
        }
        let offset = topic.push(&records);
        let end = topic.records.len();
        drop(topics);
        self.appended.notify_all();
        Response::json(200, format!("{{\"Offset\":{offset},\"EndOffset\":{end}}}"))
    }

    fn read(
        &self,
        topic: &str,
        req: &Request,
    ) -> Option<Response> {
        let number = |name: &str| req.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("From").unwrap_or(0) as usize;
        let deadline =
            Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0).min(30_000));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, |t| t.records.len());
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                if let Some(topic) = topics.get(topic) {
                    for (key, value) in topic.records.iter().skip(from) {
                        let len = 1 + key.len() + value.len();
                        if body.len() + len > 1_048_576 {
                            break;
                        }
                        body.extend((len as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend(key.as_bytes());
                        body.extend(value);
                    }
                }
                return Some(Response { status: 200, body });
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(
        &self,
        topic: &str,
    ) -> Option<Response> {
        let topics = self.topics.lock().unwrap();
        let topic = topics.get(topic);
        let items = topic.into_iter().flat_map(|t| &t.newest);
        let items = items.map(|(key, (offset, value))| {
            format!(
                "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}",
                base64(value)
            )
        });
        let items: Vec<String> = items.collect();
        let end = topic.map_or(0, |t| t.records.len());
        Response::json(
            200,
            format!(
                "{{\"items\":[{}],\"HasMore\":false,\"EndOffset\":{end}}}",
                items.join(",")
            ),
        )
    }
}

fn decode_records(mut body: &[u8]) -> Vec<Record> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let len = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let (content, rest) = body[4..].split_at(len);
        body = rest;
        let key_len = usize::from(content[0]);
        let key = String::from_utf8_lossy(&content[1..=key_len]).into_owned();
        records.push((key, content[1 + key_len..].to_vec()));
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut padded = [0u8; 3];
        padded[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * i) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
