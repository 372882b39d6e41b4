//! Earlier attempts of submissions, as a node knows them: its own, and the ids in the submissions of a shard that no
//! owner serves.
//!
//! `hemlocksaddle_policy::retries` decides which retry may be refused.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
};

use hemlocksaddle_node::wait::{Signal, within};
use hemlocksaddle_policy::retries::{
    AfterRead, Arrival, AttemptEnd, Attempts, FOLLOW_AFTER_MS, LOOKUP_LIMIT_MS, Lookup, StoredIds,
    SubmissionKey,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::WorkflowId,
};
use serde_json::json;

use crate::{
    claims::Claims,
    event::Event,
    frontend::Submitted,
    node::Env,
    parts::record_bytes,
    ports::{Record, StoreError, Stream, Tail},
    record::{Key, TenantTag},
};

/// Interval between checks whether shards are served.
const CHECK_INTERVAL_MS: Millis = Millis(100);

/// Longest time between two reads: little is left to read once a submission waits for one, and 100 nodes read a
/// partition 100 times a second.
const IDLE_INTERVAL_MS: Millis = Millis(1_000);

/// Pause after a failed call to the store.
const RETRY_MS: Millis = Millis(150);

/// Returns the key that the attempts of a submission share.
pub(crate) fn submission_key(id: WorkflowId, tenant: Option<&Arc<str>>) -> SubmissionKey {
    let tenant = tenant.map(|tenant| TenantTag::of(tenant).value());
    SubmissionKey { id, tenant }
}

/// Attempts of the submissions at a node or an owner.
pub(crate) type SharedAttempts = Rc<RefCell<Attempts>>;

/// Progress of storing a submission.
#[derive(Default)]
pub(crate) struct SubmissionAttempts {
    /// Whether an attempt without an answer may have stored it.
    pub(crate) maybe_stored: bool,
    /// Whether an attempt waits for its answer.
    pub(crate) in_flight: bool,
    /// Term of the owner that failed to store it, and the time of the failure.
    pub(crate) last_asked: Option<(Option<u64>, MonoMs)>,
    /// Time at which the first failed append was sent.
    pub(crate) append_failing_since: Option<MonoMs>,
    /// Whether another tenant uses the id, so that no attempt of this one ever runs.
    pub(crate) is_id_in_use: bool,
}

impl SubmissionAttempts {
    pub(crate) fn may_be_stored(&self) -> bool {
        self.maybe_stored || self.in_flight
    }

    /// Outcome without a further attempt.
    pub(crate) fn refused(&self) -> Submitted {
        if self.maybe_stored {
            Submitted::Unknown
        } else {
            Submitted::Unavailable
        }
    }
}

/// Attempt of a submission; what is known of it when it ends, or is abandoned, is remembered.
pub(crate) struct Attempt {
    env: Rc<Env>,
    shared: SharedAttempts,
    /// Whether this node or the owner makes it, for the log.
    made_by: &'static str,
    pub(crate) key: SubmissionKey,
    pub(crate) started_at: MonoMs,
    pub(crate) progress: RefCell<SubmissionAttempts>,
    is_stored: Cell<bool>,
}

impl Attempt {
    /// Begins an attempt.
    pub(crate) fn begin(
        env: &Rc<Env>,
        shared: &SharedAttempts,
        made_by: &'static str,
        key: SubmissionKey,
    ) -> Attempt {
        shared.borrow_mut().begin(key);
        Attempt {
            env: env.clone(),
            shared: shared.clone(),
            made_by,
            key,
            started_at: env.now(),
            progress: RefCell::default(),
            is_stored: Cell::new(false),
        }
    }

    /// Ends the attempt; returns the outcome to answer, which takes earlier attempts into account.
    pub(crate) fn finish(&self, outcome: Submitted) -> Submitted {
        if outcome == Submitted::Accepted {
            self.is_stored.set(true);
        }
        let is_refused = matches!(
            outcome,
            Submitted::Unavailable | Submitted::Unserved(_) | Submitted::OverQuota { .. }
        );
        if !is_refused || self.progress.borrow().is_id_in_use {
            return outcome;
        }
        let earlier = self.shared.borrow().earlier(self.key, 1, self.env.now());
        let answered = match earlier {
            AttemptEnd::NotStored => return outcome,
            AttemptEnd::Unknown => Submitted::Unknown,
            AttemptEnd::Stored => Submitted::Accepted,
        };
        log_recognised(&self.env, self.key, self.made_by, answered);
        answered
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let end = if self.is_stored.get() {
            AttemptEnd::Stored
        } else if self.progress.borrow().may_be_stored() {
            AttemptEnd::Unknown
        } else {
            AttemptEnd::NotStored
        };
        let mut shared = self.shared.borrow_mut();
        shared.end(self.key, end, self.env.now());
    }
}

/// Logs and counts a submission that would have been refused if no earlier attempt were known.
pub(crate) fn log_recognised(env: &Env, key: SubmissionKey, known_by: &str, answer: Submitted) {
    let answer = match answer {
        Submitted::Accepted => "accepted",
        _ => "unknown",
    };
    let recognised = &env.metrics.recognised_retries;
    recognised.with_label_values(&[known_by, answer]).inc();
    let inputs = json!({
        "workflow": key.id.to_string(), "known_by": known_by, "answer": answer,
    });
    env.event(Event::RetryRecognised, &inputs);
}

/// Submissions of a shard that a node follows.
struct Followed {
    ids: RefCell<Option<StoredIds>>,
    /// Signals that a read has ended.
    read: Signal,
    /// Signals that a submission waits for a read.
    wanted: Signal,
}

/// This node's knowledge of earlier attempts.
pub(crate) struct Retries {
    env: Rc<Env>,
    claims: Rc<Claims>,
    attempts: SharedAttempts,
    followed: RefCell<BTreeMap<u32, Rc<Followed>>>,
}

impl Retries {
    pub(crate) fn new(env: Rc<Env>, claims: Rc<Claims>) -> Rc<Retries> {
        Rc::new(Retries {
            env,
            claims,
            attempts: SharedAttempts::default(),
            followed: RefCell::default(),
        })
    }

    /// Begins an attempt of a submission.
    pub(crate) fn begin(&self, key: SubmissionKey) -> Attempt {
        Attempt::begin(&self.env, &self.attempts, "node", key)
    }

    /// Whether another tenant is known to have stored a submission under the id while no owner serves the shard.
    pub(crate) fn is_used_by_other(&self, shard: u32, key: SubmissionKey) -> bool {
        let followed = self.followed.borrow();
        followed.get(&shard).is_some_and(|followed| {
            let ids = followed.ids.borrow();
            ids.as_ref().is_some_and(|ids| ids.is_used_by_other(key))
        })
    }

    /// Looks an id up in the submissions of a shard that no owner serves; waits for a read where that tells more.
    pub(crate) async fn lookup(&self, shard: u32, key: SubmissionKey) -> Lookup {
        let asked_at = self.env.now();
        let followed = self.followed.borrow().get(&shard).cloned();
        let Some(followed) = followed else {
            return Lookup::Unsure;
        };
        let arrival = match &*followed.ids.borrow() {
            Some(ids) => ids.arrival(asked_at),
            None => return Lookup::Unsure,
        };
        loop {
            let seen = followed.read.count();
            let found = followed.find(key, arrival);
            let waited = self.env.now().since(asked_at);
            if found != Lookup::Behind || waited >= LOOKUP_LIMIT_MS {
                return found;
            }
            followed.wanted.notify();
            let left = Millis(LOOKUP_LIMIT_MS.0 - waited.0);
            let read = followed.read.wait_past(seen);
            // The next round ends after the limit.
            let _ = within(&*self.env.ports.runtime, left, read).await;
        }
    }

    fn is_unserved(&self, shard: u32) -> bool {
        self.claims.unserved_for(shard) > Millis(0)
    }

    /// Follows the submissions of shards while no owner serves them, until the process ends.
    pub(crate) async fn watch(self: Rc<Self>) {
        loop {
            self.env.sleep(CHECK_INTERVAL_MS).await;
            let shards = self.claims.layout().map_or(0, |layout| layout.shards);
            for shard in 0..shards {
                let is_due = self.claims.unserved_for(shard) >= FOLLOW_AFTER_MS;
                if is_due && !self.followed.borrow().contains_key(&shard) {
                    let followed = Rc::new(Followed {
                        ids: RefCell::new(None),
                        read: Signal::default(),
                        wanted: Signal::default(),
                    });
                    self.followed.borrow_mut().insert(shard, followed.clone());
                    self.env.spawn(self.clone().follow(shard, followed));
                }
            }
        }
    }

    /// Follows the submissions of a shard until an owner serves it.
    async fn follow(self: Rc<Self>, shard: u32, followed: Rc<Followed>) {
        self.log_followed(shard, "unserved", 0);
        while self.is_unserved(shard) {
            let (reason, pause) = match self.env.submissions_end(shard).await {
                Ok(end) => {
                    let ids = StoredIds::new(self.env.now());
                    followed.ids.replace(Some(ids));
                    self.follow_from(shard, &followed, end).await
                }
                Err(_) => ("failed", RETRY_MS),
            };
            let known = followed.ids.take().map_or(0, |ids| ids.len());
            if reason != "failed" {
                self.log_followed(shard, reason, known);
            }
            self.env.sleep(pause).await;
        }
        self.followed.borrow_mut().remove(&shard);
    }

    /// Reads the submissions from an offset on until an owner serves the shard or the position is given up;
    /// returns the reason, and the pause before reading begins anew.
    async fn follow_from(
        &self,
        shard: u32,
        followed: &Followed,
        mut next: u64,
    ) -> (&'static str, Millis) {
        while self.is_unserved(shard) {
            let seen = followed.wanted.count();
            followed.with_ids(StoredIds::begin_read);
            let pause = match self.env.read_submissions_aside(shard, next).await {
                Ok(tail) => {
                    next = tail.next;
                    let after = self.apply(followed, &tail);
                    followed.read.notify();
                    match after {
                        AfterRead::Continue(pause) => pause,
                        AfterRead::Restart(pause) => return ("behind", pause),
                    }
                }
                Err(StoreError::Truncated(first)) => {
                    self.env
                        .log_position_lost(Stream::Submissions, shard, next, first);
                    return ("position lost", RETRY_MS);
                }
                Err(_) => RETRY_MS,
            };
            self.env.sleep(pause).await;
            let wanted = followed.wanted.wait_past(seen);
            // Without a submission that waits, the next read follows after the interval.
            let _ = within(&*self.env.ports.runtime, IDLE_INTERVAL_MS, wanted).await;
        }
        ("served", Millis(0))
    }

    fn apply(&self, followed: &Followed, tail: &Tail) -> AfterRead {
        let now = self.env.now();
        let mut bytes = 0;
        let mut ids = followed.ids.borrow_mut();
        let Some(ids) = ids.as_mut() else {
            return AfterRead::Restart(RETRY_MS);
        };
        for record in tail.records.iter().flatten() {
            bytes += record_bytes(record);
            if let Some(key) = submitted_key(record) {
                ids.add(key, record.value.is_none(), now);
            }
        }
        let is_at_end = tail.next >= tail.end;
        ids.end_read(is_at_end, bytes, self.env.settings.link_kbps)
    }

    fn log_followed(&self, shard: u32, reason: &str, known: usize) {
        let inputs = json!({
            "shard": shard, "reason": reason, "ids": known,
            "unserved_ms": self.claims.unserved_for(shard).0,
        });
        self.env.event(Event::SubmissionsFollowed, &inputs);
    }
}

impl Followed {
    fn with_ids(&self, change: impl FnOnce(&mut StoredIds)) {
        if let Some(ids) = self.ids.borrow_mut().as_mut() {
            change(ids);
        }
    }

    fn find(&self, key: SubmissionKey, arrival: Arrival) -> Lookup {
        let ids = self.ids.borrow();
        ids.as_ref()
            .map_or(Lookup::Unsure, |ids| ids.lookup(key, arrival))
    }
}

/// Key of a submission that a record stores or deletes.
fn submitted_key(record: &Record) -> Option<SubmissionKey> {
    let (id, tenant) = match Key::parse(&record.key)? {
        Key::Accepted(id) => (id, None),
        Key::AcceptedOf(id, tag) => (id, Some(tag.value())),
        _ => return None,
    };
    Some(SubmissionKey { id, tenant })
}
