//! The platform's store: a partitioned log of keyed records.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Connection, Handler, Request},
    json::{Json, object},
};

/// Time that an append takes in its partition, and an answer to a read.
const APPEND: Duration = Duration::from_millis(4);

const MAX_PAGE: usize = 500;

#[derive(Default)]
struct Writer {
    epoch: u64,
    next: Option<u64>,
    /// Sequence numbers and answers of the last five appends.
    last: VecDeque<(u64, (u64, u64))>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    writers: HashMap<String, Writer>,
}

impl Partition {
    fn newest(&self) -> BTreeMap<String, (Vec<u8>, u64)> {
        let mut newest = BTreeMap::new();
        for (offset, record) in (0u64..).zip(&self.records) {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = &record[1 + length..];
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (value.to_vec(), offset));
            }
        }
        newest
    }
}

type Partitions = HashMap<(String, u64), Partition>;

/// All partitions.
#[derive(Default)]
pub struct Store {
    partitions: Mutex<Partitions>,
    grown: Condvar,
    /// Number of the node that last appended under a condition.
    last_conditional: Mutex<Option<usize>>,
    appending: Mutex<HashMap<(String, u64), Arc<Mutex<()>>>>,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Partitions> {
        self.partitions.lock().expect("store lock")
    }

    /// Writes a record of the operator or of an executor; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("short key")];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut partitions = self.lock();
        let partition = partitions.entry((topic.to_owned(), 0)).or_default();
        partition.records.push(record);
        drop(partitions);
        self.grown.notify_all();
    }

    pub fn last_conditional(&self) -> Option<usize> {
        *self.last_conditional.lock().expect("store lock")
    }

    fn append(&self, node: usize, request: &Request) -> Option<(u16, Json)> {
        let key = partition_key(request)?;
        let turn = {
            let mut appending = self.appending.lock().expect("store lock");
            appending.entry(key.clone()).or_default().clone()
        };
        let _turn = turn.lock().expect("store lock");
        thread::sleep(APPEND);
        let records = split(&request.body)?;
        let mut partitions = self.lock();
        let partition = partitions.entry(key).or_default();
        let offset = partition.records.len() as u64;
        let end = offset + records.len() as u64;
        if let Some(producer) = request.query.get("producer") {
            let (epoch, sequence) = (request.number("epoch")?, request.number("seq")?);
            let writer = partition.writers.entry(producer.clone()).or_default();
            if epoch < writer.epoch {
                return Some((409, object([("reason", "fenced".into())])));
            }
            if epoch == writer.epoch {
                let repeated = writer.last.iter().find(|(known, _)| *known == sequence);
                if let Some(&(_, answer)) = repeated {
                    return Some((200, appended(answer)));
                }
                if let Some(next) = writer.next.filter(|&next| next != sequence) {
                    let refused = object([("reason", "seq".into()), ("seq", next.into())]);
                    return Some((409, refused));
                }
            }
        }
        if request.number("at").is_some_and(|at| at != offset) {
            return Some((412, object([("end", offset.into())])));
        }
        if let Some(producer) = request.query.get("producer") {
            let (epoch, sequence) = (request.number("epoch")?, request.number("seq")?);
            let writer = partition.writers.entry(producer.clone()).or_default();
            if epoch > writer.epoch {
                *writer = Writer {
                    epoch,
                    ..Writer::default()
                };
            }
            if !records.is_empty() {
                writer.next = Some(sequence + 1);
                writer.last.push_back((sequence, (offset, end)));
                if writer.last.len() > 5 {
                    writer.last.pop_front();
                }
            }
            *self.last_conditional.lock().expect("store lock") = Some(node);
        }
        partition.records.extend(records);
        drop(partitions);
        self.grown.notify_all();
        Some((200, appended((offset, end))))
    }

    fn read(&self, request: &Request) -> Option<Vec<u8>> {
        let key = partition_key(request)?;
        let from = request.number("from")? as usize;
        let max_bytes = request.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        thread::sleep(APPEND);
        let mut partitions = self.lock();
        loop {
            let records = partitions.get(&key).map_or(&[][..], |p| &p.records[..]);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend((records.len() as u64).to_be_bytes());
                body.extend(0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() + record.len() > max_bytes {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Some(body);
            }
            partitions = self
                .grown
                .wait_timeout(partitions, left)
                .expect("store lock")
                .0;
        }
    }

    fn newest(&self, request: &Request) -> Option<Json> {
        thread::sleep(APPEND);
        let partitions = self.lock();
        let partition = partitions.get(&partition_key(request)?);
        let after = request.query.get("after").cloned().unwrap_or_default();
        let newest = partition.map(Partition::newest).unwrap_or_default();
        let later: Vec<_> = newest.into_iter().filter(|(key, _)| *key > after).collect();
        let more = later.len() > MAX_PAGE;
        let items = later
            .into_iter()
            .take(MAX_PAGE)
            .map(|(key, (value, offset))| {
                object([
                    ("key", key.into()),
                    ("value", base64(&value).into()),
                    ("offset", offset.into()),
                ])
            });
        let end = partition.map_or(0, |partition| partition.records.len() as u64);
        Some(object([
            ("items", Json::List(items.collect())),
            ("more", Json::Bool(more)),
            ("end", end.into()),
        ]))
    }
}

fn appended((offset, end): (u64, u64)) -> Json {
    object([("offset", offset.into()), ("end", end.into())])
}

fn partition_key(request: &Request) -> Option<(String, u64)> {
    Some((request.query.get("topic")?.clone(), request.number("part")?))
}

fn split(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut rest = body;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let length = u32::from_be_bytes(*rest.first_chunk::<4>()?) as usize;
        records.push(rest.get(4..4 + length)?.to_vec());
        rest = &rest[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number =
            chunk.iter().fold(0u32, |n, &b| n << 8 | u32::from(b)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

/// Address at which one node reaches the store.
pub struct Port {
    store: Arc<Store>,
    node: usize,
    pub address: SocketAddr,
}

impl Port {
    /// Opens an address of the store for a node.
    pub fn open(store: &Arc<Store>, node: usize) -> std::io::Result<Arc<Port>> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let port = Arc::new(Port {
            store: store.clone(),
            node,
            address: listener.local_addr()?,
        });
        http::serve(listener, port.clone());
        Ok(port)
    }
}

impl Handler for Port {
    fn handle(&self, _connection: &Connection, request: Request) -> Answer {
        let answer = match &*request.path {
            "/log-append" => self.store.append(self.node, &request),
            "/log-read" => {
                return match self.store.read(&request) {
                    Some(body) => Answer::Send(200, body),
                    None => Answer::Send(400, Vec::new()),
                };
            }
            "/log-newest" => self.store.newest(&request).map(|page| (200, page)),
            _ => None,
        };
        match answer {
            Some((status, body)) => Answer::Send(status, body.to_string().into_bytes()),
            None => Answer::Send(400, Vec::new()),
        }
    }
}
