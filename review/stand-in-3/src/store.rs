//! Stand-in of the platform's store: a partitioned log, as PROTOCOL.md describes it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt::Write,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Call, Reply},
    json::Quoted,
};

/// Time that an append takes.
const APPEND: Duration = Duration::from_millis(4);

/// Most records, and bytes of them, in a page of newest records.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Bytes that the store holds before it answers appends with 507.
const STORED_BYTES: usize = 400_000_000;

/// Number of appends of a producer whose answers are repeated.
const REPEATED: usize = 5;

struct Producer {
    epoch: u64,
    next: Option<u64>,
    /// Sequence number, first offset and end of the last appends.
    answers: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Arc<[u8]>>,
    newest: BTreeMap<Vec<u8>, usize>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Log {
    partitions: HashMap<(String, u64), Partition>,
    stored_bytes: usize,
}

/// Store in memory.
#[derive(Default)]
pub struct Store {
    log: Mutex<Log>,
    changed: Condvar,
}

fn json(status: u16, body: String) -> Reply {
    Some((status, body.into_bytes()))
}

fn split(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (&length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(length))
}

impl Partition {
    fn push(&mut self, keyed: bool, record: &[u8]) {
        if keyed && let Some((key, value)) = split(record) {
            if value.is_empty() {
                self.newest.remove(key);
            } else {
                self.newest.insert(key.to_vec(), self.records.len());
            }
        }
        self.records.push(record.into());
    }
}

impl Store {
    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record for the operator or an executor.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let mut log = self.log();
        let partition = log.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.push(true, &record);
        self.changed.notify_all();
    }

    /// Bytes of all records that nodes have appended.
    pub fn stored_bytes(&self) -> usize {
        self.log().stored_bytes
    }

    /// Answers a call of a node.
    pub fn handle(&self, call: &Call) -> Reply {
        let topic = call.query.get("topic").cloned();
        let (Some(topic), Some(part)) = (topic, call.number("part")) else {
            return json(400, "{}".to_owned());
        };
        match call.path.as_str() {
            "/log-append" => self.append(call, topic, part),
            "/log-read" => self.read(call, topic, part),
            "/log-newest" => self.newest(call, topic, part),
            _ => json(404, "{}".to_owned()),
        }
    }

    fn append(&self, call: &Call, topic: String, part: u64) -> Reply {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return json(403, "{}".to_owned());
        }
        let mut records = Vec::new();
        let mut rest = &call.body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let Some((record, after)) =
                after.split_at_checked(u32::from_be_bytes(*length) as usize)
            else {
                return json(400, "{}".to_owned());
            };
            records.push(record);
            rest = after;
        }
        thread::sleep(APPEND);
        let keyed = topic.starts_with("keyed.");
        let mut log = self.log();
        if log.stored_bytes + call.body.len() > STORED_BYTES {
            return json(507, "{}".to_owned());
        }
        log.stored_bytes += call.body.len();
        let partition = log.partitions.entry((topic, part)).or_default();
        let first = partition.records.len() as u64;
        let end = first + records.len() as u64;
        if call.number("at").is_some_and(|at| at != first) {
            return json(412, format!("{{\"end\":{first}}}"));
        }
        if let Some(name) = call.query.get("producer") {
            let (Some(epoch), Some(sequence)) = (call.number("epoch"), call.number("seq")) else {
                return json(400, "{}".to_owned());
            };
            let known = partition.producers.entry(name.clone()).or_insert(Producer {
                epoch,
                next: None,
                answers: VecDeque::new(),
            });
            if epoch < known.epoch {
                return json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > known.epoch {
                *known = Producer {
                    epoch,
                    next: None,
                    answers: VecDeque::new(),
                };
            }
            if !records.is_empty() {
                let repeated = known
                    .answers
                    .iter()
                    .find(|(number, ..)| *number == sequence);
                if let Some((_, offset, end)) = repeated {
                    return json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
                }
                if let Some(next) = known.next.filter(|next| *next != sequence) {
                    return json(409, format!("{{\"reason\":\"seq\",\"seq\":{next}}}"));
                }
                known.next = Some(sequence + 1);
                known.answers.push_back((sequence, first, end));
                if known.answers.len() > REPEATED {
                    known.answers.pop_front();
                }
            }
        }
        for record in records {
            partition.push(keyed, record);
        }
        self.changed.notify_all();
        json(200, format!("{{\"offset\":{first},\"end\":{end}}}"))
    }

    fn read(&self, call: &Call, topic: String, part: u64) -> Reply {
        let from = call.number("from").unwrap_or(0) as usize;
        let most_bytes = call.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(call.number("waitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let key = (topic, part);
        let mut log = self.log();
        loop {
            let records = log
                .partitions
                .get(&key)
                .map(|partition| &partition.records[..]);
            let records = records.unwrap_or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > most_bytes {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(&record[..]);
                }
                return Some((200, body));
            }
            let waited = self.changed.wait_timeout(log, left);
            log = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, call: &Call, topic: String, part: u64) -> Reply {
        let after = call.query.get("after").map(|key| key.clone().into_bytes());
        let log = self.log();
        let Some(partition) = log.partitions.get(&(topic, part)) else {
            return json(200, "{\"items\":[],\"more\":false,\"end\":0}".to_owned());
        };
        let keys = partition.newest.iter();
        let mut keys = keys.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let mut items = String::new();
        let (mut count, mut bytes, mut more) = (0, 0, false);
        for (key, &offset) in &mut keys {
            let value = split(&partition.records[offset]).map_or(&[][..], |(_, value)| value);
            if count == PAGE_RECORDS || count > 0 && bytes + value.len() > PAGE_BYTES {
                more = true;
                break;
            }
            count += 1;
            bytes += value.len();
            let comma = if items.is_empty() { "" } else { "," };
            let key = String::from_utf8_lossy(key);
            let _ = write!(
                items,
                "{comma}{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                Quoted(&key),
                base64(value)
            );
        }
        let end = partition.records.len();
        json(
            200,
            format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}"),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index > part.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}
