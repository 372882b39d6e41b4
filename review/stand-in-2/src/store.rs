//! Stand-in of the platform's store: a partitioned log with keyed topics.
//!
//! It keeps the limits of the settings: records of at most `recordBytes`, calls of at
//! most `callBytes`, one append at a time in a partition, each of which takes `appendMs`.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{Answer, Request, Server},
    record::Log,
};

pub const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const APPEND: Duration = Duration::from_millis(4);
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct WriterState {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, Value)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Arc<Vec<u8>>>,
    newest: BTreeMap<String, usize>,
    writers: HashMap<String, WriterState>,
}

impl Partition {
    fn push(&mut self, record: Vec<u8>) {
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
        let offset = self.records.len();
        if record.len() == 1 + length {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, offset);
        }
        self.records.push(Arc::new(record));
    }
}

type Key = (String, u64);

#[derive(Default)]
struct Shared {
    partitions: Mutex<HashMap<Key, Partition>>,
    grown: Condvar,
    busy: Mutex<HashMap<Key, Arc<Mutex<()>>>>,
}

/// Running store.
pub struct Store {
    shared: Arc<Shared>,
    pub server: Server,
}

impl Store {
    pub fn start(log: Log) -> Arc<Store> {
        let shared = Arc::new(Shared::default());
        let handled = shared.clone();
        let server = Server::start(move |request| handled.handle(&request, &log));
        Arc::new(Store { shared, server })
    }

    /// Appends a record of an operator or an executor; `None` drops the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let value = value.map(Value::to_string).unwrap_or_default();
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut partitions = self.shared.partitions.lock().unwrap();
        let partition = partitions.entry((topic.to_owned(), 0)).or_default();
        partition.push(record);
        self.shared.grown.notify_all();
    }
}

impl Shared {
    fn handle(&self, request: &Request, log: &Log) -> Answer {
        let Some(key) = request.text("topic").zip(request.number("part")) else {
            return answer(400, &json!({}));
        };
        let key = (key.0.to_owned(), key.1);
        match request.path.as_str() {
            "/log-append" if key.0 == "keyed.op" || key.0 == "keyed.servers" => {
                answer(403, &json!({}))
            }
            "/log-append" => self.append(request, key, log),
            "/log-read" => self.read(request, &key),
            "/log-newest" => self.newest(request, &key),
            _ => answer(404, &json!({})),
        }
    }

    fn append(&self, request: &Request, key: Key, log: &Log) -> Answer {
        let busy = self
            .busy
            .lock()
            .unwrap()
            .entry(key.clone())
            .or_default()
            .clone();
        let _turn = busy.lock().unwrap();
        thread::sleep(APPEND);
        let Some(records) = split(&request.body) else {
            return answer(400, &json!({}));
        };
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        if largest > RECORD_BYTES || request.body.len() > CALL_BYTES {
            log.once(
                &format!("too large {}", key.0),
                &format!(
                    "store: append to {} refused with 413 (the first of its kind): {} records, the \
                     largest of {largest} bytes, {} bytes in all",
                    key.0,
                    records.len(),
                    request.body.len()
                ),
            );
            return answer(413, &json!({ "reason": "size" }));
        }
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        let end = partition.records.len();
        if request.number("at").is_some_and(|at| at != end as u64) {
            return answer(412, &json!({ "end": end }));
        }
        let after = end + records.len();
        let done = json!({ "offset": end, "end": after });
        if let Some(producer) = request.text("producer") {
            let (Some(epoch), Some(seq)) = (request.number("epoch"), request.number("seq")) else {
                return answer(400, &json!({}));
            };
            let writer = partition.writers.entry(producer.to_owned()).or_default();
            if epoch < writer.epoch {
                return answer(409, &json!({ "reason": "fenced" }));
            }
            if epoch > writer.epoch {
                *writer = WriterState {
                    epoch,
                    ..WriterState::default()
                };
            }
            if let Some((_, first)) = writer.answers.iter().find(|(known, _)| *known == seq) {
                return answer(200, first);
            }
            if let Some(last) = writer.last.filter(|last| seq != last + 1) {
                return answer(409, &json!({ "reason": "seq", "expected": last + 1 }));
            }
            if !records.is_empty() {
                writer.last = Some(seq);
                writer.answers.push_back((seq, done.clone()));
                if writer.answers.len() > 5 {
                    writer.answers.pop_front();
                }
            }
        }
        records
            .into_iter()
            .for_each(|record| partition.push(record));
        self.grown.notify_all();
        answer(200, &done)
    }

    fn read(&self, request: &Request, key: &Key) -> Answer {
        let from = request.number("from")? as usize;
        let most = request.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let records = partitions
                .get(key)
                .map_or(&[][..], |partition| &partition.records);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend((records.len() as u64).to_be_bytes());
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record.iter());
                }
                return Some((200, body));
            }
            partitions = self.grown.wait_timeout(partitions, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request, key: &Key) -> Answer {
        let partitions = self.partitions.lock().unwrap();
        let Some(partition) = partitions.get(key) else {
            return answer(200, &json!({ "items": [], "more": false, "end": 0 }));
        };
        let after = request.text("after");
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, &offset) in &partition.newest {
            if after.is_some_and(|after| key.as_str() <= after) {
                continue;
            }
            if items.len() == PAGE_RECORDS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            let record = &partition.records[offset];
            let value = base64(&record[1 + usize::from(record[0])..]);
            bytes += value.len();
            items.push(json!({ "key": key, "value": value, "offset": offset }));
        }
        let end = partition.records.len();
        answer(200, &json!({ "items": items, "more": more, "end": end }))
    }
}

pub fn answer(status: u16, body: &Value) -> Answer {
    Some((status, body.to_string().into_bytes()))
}

fn split(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut rest = body;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (length, tail) = rest.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        records.push(tail.get(..length)?.to_vec());
        rest = &tail[length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
