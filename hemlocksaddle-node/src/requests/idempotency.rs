//! Idempotency keys of non-idempotent requests and the outcomes of these requests.
//!
//! The owner of a queue holds one table per queue. It is rebuilt by replaying the
//! queue's stream: the queue part calls [`IdempotencyTable::reset`] when it acquires
//! the queue, [`IdempotencyTable::apply`] for each valid record, and
//! [`IdempotencyTable::finish_replay`] once it has read up to its own fence. Until
//! then no request is accepted.
//!
//! An intent without an outcome means that the request may have run, so its key
//! never runs again. An outcome of "not run" frees the key.
//!
//! Keys are kept for the retention of the log, because a successor cannot read
//! an older intent anyway. Their number is bounded: beyond [`MAX_KEYS`] new keys are
//! refused rather than old ones evicted, since an evicted key could run twice.
//! Only the latest [`MAX_RESPONSES`] responses are kept; for a repeat of an older
//! key the outcome is reported as unknown.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use futures_channel::oneshot;
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    name::{IdempotencyKey, ServiceName},
    outcome::{ResultCode, RunState},
    record::Record,
    request::QuickResponse,
    unit::{QueueIndex, Term},
};

/// Maximum number of keys per queue; at about 150 bytes each, 10 MB.
pub const MAX_KEYS: usize = 65_536;

/// Maximum number of recorded responses per queue.
pub const MAX_RESPONSES: usize = 4_096;

/// Prefix of the keys that nodes generate for requests without one.
pub const GENERATED_PREFIX: &str = "auto.";

/// Retention of a generated key; only the entry node can repeat it, within its deadline.
const GENERATED_KEY_RETENTION: Millis = Millis(60_000);

/// Idempotency key qualified by its service.
pub type ScopedKey = (ServiceName, IdempotencyKey);

/// Result of looking up the key of a non-idempotent request.
#[derive(Debug)]
pub enum BeginOutcome {
    /// First use of the key; the intent must be made durable before the run.
    Run,
    /// The same request is in progress; the receiver yields its response.
    Wait(oneshot::Receiver<QuickResponse>),
    /// The request has run; carries the recorded response.
    Recorded(QuickResponse),
    /// An earlier request with the key may have run; its response is unknown.
    Unknown,
    /// The key belongs to a request with another body.
    Reused,
    /// The table is full.
    Full,
    /// The queue is not owned under this term, or its stream is not replayed yet.
    NotOwner,
}

#[derive(Debug)]
enum State {
    Pending {
        sent: bool,
        waiters: Vec<oneshot::Sender<QuickResponse>>,
    },
    Unknown,
    Recorded(Rc<QuickResponse>),
}

#[derive(Debug)]
struct Entry {
    body_hash: u64,
    at_ms: WallMs,
    state: State,
}

#[derive(Debug, Default)]
struct Queue {
    term: Term,
    replayed: bool,
    entries: HashMap<ScopedKey, Entry>,
    by_age: VecDeque<(WallMs, ScopedKey)>,
    generated_by_age: VecDeque<(WallMs, ScopedKey)>,
    recorded: VecDeque<ScopedKey>,
}

/// Idempotency keys of all queues that this node owns.
#[derive(Debug)]
pub struct IdempotencyTable {
    retention_ms: Millis,
    max_keys: usize,
    queues: RefCell<HashMap<QueueIndex, Queue>>,
}

impl IdempotencyTable {
    /// Creates an empty table with the given retention of keys.
    #[must_use]
    pub fn new(retention_ms: Millis) -> IdempotencyTable {
        IdempotencyTable::with_max_keys(retention_ms, MAX_KEYS)
    }

    /// Creates an empty table with another maximum number of keys per queue.
    #[must_use]
    pub fn with_max_keys(retention_ms: Millis, max_keys: usize) -> IdempotencyTable {
        IdempotencyTable {
            retention_ms,
            max_keys,
            queues: RefCell::default(),
        }
    }

    /// Clears the table of a queue before its stream is replayed.
    pub fn reset(&self, queue: QueueIndex, term: Term) {
        let fresh = Queue {
            term,
            ..Queue::default()
        };
        self.queues.borrow_mut().insert(queue, fresh);
    }

    /// Replays one valid record of the queue's stream; records of other kinds are ignored.
    pub fn apply(&self, queue: QueueIndex, record: &Record) {
        let mut queues = self.queues.borrow_mut();
        let Some(table) = queues.get_mut(&queue) else {
            return;
        };
        match record {
            Record::RequestIntent {
                service,
                key,
                body_hash,
                at_ms,
            } => {
                let entry = Entry {
                    body_hash: *body_hash,
                    at_ms: *at_ms,
                    state: State::Unknown,
                };
                table.insert((service.clone(), key.clone()), entry);
            }
            Record::RequestOutcome {
                service,
                key,
                response,
            } => table.conclude(&(service.clone(), key.clone()), response),
            _ => {}
        }
    }

    /// Marks the stream as replayed up to the owner's fence, so that requests are accepted.
    pub fn finish_replay(&self, queue: QueueIndex) {
        if let Some(table) = self.queues.borrow_mut().get_mut(&queue) {
            table.replayed = true;
        }
    }

    /// Removes the table of a queue that is no longer owned.
    pub fn forget(&self, queue: QueueIndex) {
        self.queues.borrow_mut().remove(&queue);
    }

    /// Looks up a key and reserves it if it is new.
    pub fn begin(
        &self,
        queue: QueueIndex,
        term: Term,
        key: &ScopedKey,
        body_hash: u64,
        now: WallMs,
    ) -> BeginOutcome {
        let mut queues = self.queues.borrow_mut();
        let table = queues.get_mut(&queue);
        let Some(table) = table.filter(|table| table.replayed && table.term == term) else {
            return BeginOutcome::NotOwner;
        };
        table.drop_old(now, self.retention_ms);
        if let Some(entry) = table.entries.get_mut(key) {
            return entry.repeat(body_hash);
        }
        if table.entries.len() >= self.max_keys {
            return BeginOutcome::Full;
        }
        let entry = Entry {
            body_hash,
            at_ms: now,
            state: State::Pending {
                sent: false,
                waiters: Vec::new(),
            },
        };
        table.insert(key.clone(), entry);
        BeginOutcome::Run
    }

    /// Marks a reserved key as sent and returns whether this is the first send.
    ///
    /// Returns `None` if the key is not reserved under this term.
    #[must_use]
    pub fn mark_sent(&self, queue: QueueIndex, term: Term, key: &ScopedKey) -> Option<bool> {
        let mut queues = self.queues.borrow_mut();
        let table = queues.get_mut(&queue).filter(|table| table.term == term);
        let entry = table.and_then(|table| table.entries.get_mut(key));
        match entry.map(|entry| &mut entry.state) {
            Some(State::Pending { sent, .. }) => Some(!std::mem::replace(sent, true)),
            _ => None,
        }
    }

    /// Records the response of a reserved key and sends it to all waiting repeats.
    pub fn finish(&self, queue: QueueIndex, term: Term, key: &ScopedKey, response: &QuickResponse) {
        let mut queues = self.queues.borrow_mut();
        if let Some(table) = queues.get_mut(&queue).filter(|table| table.term == term) {
            table.conclude(key, response);
        }
    }

    /// Number of keys held for a queue.
    #[must_use]
    pub fn len(&self, queue: QueueIndex) -> usize {
        let queues = self.queues.borrow();
        queues.get(&queue).map_or(0, |table| table.entries.len())
    }
}

impl Entry {
    fn repeat(&mut self, body_hash: u64) -> BeginOutcome {
        if self.body_hash != body_hash {
            return BeginOutcome::Reused;
        }
        match &mut self.state {
            State::Pending { waiters, .. } => {
                let (sender, receiver) = oneshot::channel();
                waiters.push(sender);
                BeginOutcome::Wait(receiver)
            }
            State::Unknown => BeginOutcome::Unknown,
            State::Recorded(response) => BeginOutcome::Recorded(QuickResponse::clone(response)),
        }
    }
}

impl Queue {
    fn insert(&mut self, key: ScopedKey, entry: Entry) {
        let generated = key.1.as_str().starts_with(GENERATED_PREFIX);
        let by_age = if generated {
            &mut self.generated_by_age
        } else {
            &mut self.by_age
        };
        by_age.push_back((entry.at_ms, key.clone()));
        self.entries.insert(key, entry);
    }

    /// Ignores a response without an intent, because that key is older than the retention.
    fn conclude(&mut self, key: &ScopedKey, response: &QuickResponse) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let state = match response.code.run_state() {
            RunState::Done => State::Recorded(Rc::new(response.clone())),
            RunState::MayHaveRun | RunState::NotRun => State::Unknown,
        };
        let before = std::mem::replace(&mut entry.state, state);
        match response.code.run_state() {
            RunState::NotRun => drop(self.entries.remove(key)),
            RunState::MayHaveRun => {}
            RunState::Done => self.keep_response(key),
        }
        if let State::Pending { waiters, .. } = before {
            for waiter in waiters {
                // The receiver is gone if its caller has given up.
                let _ = waiter.send(for_repeat(response));
            }
        }
    }

    fn keep_response(&mut self, key: &ScopedKey) {
        self.recorded.push_back(key.clone());
        if self.recorded.len() <= MAX_RESPONSES {
            return;
        }
        let oldest = self.recorded.pop_front();
        let entry = oldest.and_then(|oldest| self.entries.get_mut(&oldest));
        if let Some(entry) = entry {
            entry.state = State::Unknown;
        }
    }

    fn drop_old(&mut self, now: WallMs, retention_ms: Millis) {
        drop_older(&mut self.entries, &mut self.by_age, now, retention_ms);
        let retention_ms = retention_ms.min(GENERATED_KEY_RETENTION);
        drop_older(
            &mut self.entries,
            &mut self.generated_by_age,
            now,
            retention_ms,
        );
    }
}

fn drop_older(
    entries: &mut HashMap<ScopedKey, Entry>,
    by_age: &mut VecDeque<(WallMs, ScopedKey)>,
    now: WallMs,
    retention_ms: Millis,
) {
    while let Some((at_ms, key)) = by_age.front() {
        if now.since(*at_ms) < retention_ms {
            return;
        }
        // A key that was freed and used again has a newer entry, which is kept.
        if entries.get(key).is_some_and(|entry| entry.at_ms == *at_ms) {
            entries.remove(key);
        }
        by_age.pop_front();
    }
}

/// Response to a repeat, given the response to the first request with the key.
fn for_repeat(response: &QuickResponse) -> QuickResponse {
    match response.code.run_state() {
        RunState::MayHaveRun => QuickResponse::refusal(
            ResultCode::EarlierAttemptUnknown,
            "an earlier request with this key may have run",
        ),
        RunState::NotRun | RunState::Done => response.clone(),
    }
}
