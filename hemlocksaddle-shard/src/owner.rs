//! Owner of a shard.
//!
//! One task follows each stream, one task tends each worker, one plans and one
//! makes progress durable. All of them end when the shard is lost.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_node::wait::{Signal, within};
use hemlocksaddle_policy::{
    take_over::RENEW_MS,
    workflow::{Limits, Listing, Scheduler, Unsaved, WorkerKey},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::stable_hash,
    workflow::{Answer, Question, State},
};
use serde_json::json;
use std::sync::Arc;

use crate::{
    claims::Claims,
    configuration::Configuration,
    event::Event,
    intake::ToStore,
    node::Env,
    ports::{Conditions, Record, StoreError, Stream, Writer},
    record::{self, Key},
    tend::WorkerClock,
};

/// Time for which an owner may act after its last renewal was sent.
///
/// Two missed renewals and the time of a slow answer; a longer right makes a
/// successor wait longer for workers that it cannot reach.
pub(crate) const RIGHT_MS: Millis = Millis(3_000);

/// Pause after a call to the store failed.
pub(crate) const RETRY_MS: Millis = Millis(100);

/// Wait of one read of the submissions.
const READ_WAIT_MS: Millis = Millis(1_000);

/// Age of the last read of the submissions up to which an unknown workflow is known not to exist.
const FRESH_MS: Millis = Millis(2_000);

/// Interval at which the list of workers is read.
const LIST_MS: Millis = Millis(400);

/// Shortest time between two plans, so that ends that come together are planned together.
const PLAN_EVERY_MS: Millis = Millis(4);

/// Longest time between two plans; pauses and leases pass without an event.
const PLAN_TICK_MS: Millis = Millis(100);

/// Shortest time between two appends of progress.
const SAVE_EVERY_MS: Millis = Millis(20);

/// Interval at which what was learned is stored.
const LEARNED_MS: Millis = Millis(2_000);

/// Interval at which ended workflows are forgotten.
const FORGET_MS: Millis = Millis(10_000);

/// Rate error of a worker's clock that is allowed for, in percent.
const CLOCK_ERROR_PERCENT: u64 = 3;

/// Owner of a shard in one term.
pub(crate) struct Owner {
    pub(crate) env: Rc<Env>,
    pub(crate) claims: Rc<Claims>,
    configuration: Rc<Configuration>,
    pub(crate) shard: u32,
    shards: u32,
    pub(crate) term: u64,
    pub(crate) board: RefCell<Scheduler>,
    pub(crate) clocks: RefCell<HashMap<WorkerKey, WorkerClock>>,
    listings: RefCell<HashMap<Arc<str>, Listing>>,
    /// Something changed that a plan may follow from.
    pub(crate) changed: Signal,
    /// Progress became durable.
    pub(crate) saved: Signal,
    pub(crate) ended: Cell<bool>,
    ready: Cell<bool>,
    right_until: Cell<MonoMs>,
    claim_sequence: Cell<u64>,
    progress_sequence: Cell<u64>,
    submissions_read_at: Cell<MonoMs>,
    learned_due: Cell<bool>,
    released: Cell<bool>,
    released_changed: Signal,
    pub(crate) to_store: RefCell<Vec<ToStore>>,
    pub(crate) to_store_changed: Signal,
}

impl Owner {
    pub(crate) fn new(
        env: Rc<Env>,
        claims: Rc<Claims>,
        configuration: Rc<Configuration>,
        shard: u32,
        term: u64,
    ) -> Rc<Owner> {
        let now = env.now();
        let claim_sequence = Cell::new(claims.first_sequence() + 1);
        let right_from = claims.claim_sent_at();
        let shards = claims.layout().map_or(1, |layout| layout.shards);
        let lease_ms = env.settings.lease_ms;
        let lapsed = Millis(lease_ms.0 + lease_ms.0 * CLOCK_ERROR_PERCENT / 100 + 100);
        let settled_at = now + RIGHT_MS + lapsed;
        let limits = Limits {
            keep_ended_ms: env.settings.keep_ended_ms,
        };
        Rc::new(Owner {
            board: RefCell::new(Scheduler::new(limits, term, settled_at)),
            env,
            claims,
            configuration,
            shard,
            shards,
            term,
            clocks: RefCell::new(HashMap::new()),
            listings: RefCell::new(HashMap::new()),
            changed: Signal::default(),
            saved: Signal::default(),
            ended: Cell::new(false),
            ready: Cell::new(false),
            right_until: Cell::new(right_from + RIGHT_MS),
            claim_sequence,
            progress_sequence: Cell::new(0),
            submissions_read_at: Cell::new(MonoMs(0)),
            learned_due: Cell::new(false),
            released: Cell::new(false),
            released_changed: Signal::default(),
            to_store: RefCell::default(),
            to_store_changed: Signal::default(),
        })
    }

    /// Whether orders may be sent.
    pub(crate) fn may_act(&self) -> bool {
        !self.ended.get() && self.env.now() < self.right_until.get()
    }

    /// Gives the shard up because another owner was seen.
    pub(crate) fn depose(&self, reason: &str) {
        if self.ended.replace(true) {
            return;
        }
        let inputs = json!({ "shard": self.shard, "term": self.term, "reason": reason });
        self.env.event(Event::Deposed, &inputs);
        self.changed.notify();
        self.saved.notify();
        self.to_store_changed.notify();
    }

    /// Acts as the owner until the shard is lost.
    pub(crate) async fn run(self: Rc<Self>) {
        self.spawn(|owner| owner.renew());
        self.spawn(|owner| owner.watch_claim());
        let followed = loop {
            if self.ended.get() {
                return;
            }
            match self.recover().await {
                Ok(followed) => break followed,
                Err(StoreError::Fenced) => return self.depose("progress is fenced"),
                Err(error) => self.recovery_failed(error).await,
            }
        };
        self.submissions_read_at.set(self.env.now());
        self.ready.set(true);
        self.spawn(|owner| owner.follow_configuration());
        self.spawn(move |owner| owner.follow_submissions(followed.submissions));
        self.spawn(move |owner| owner.follow_workers(followed.workers));
        self.spawn(|owner| owner.save());
        self.spawn(|owner| owner.save_learned());
        self.spawn(|owner| owner.store_submissions());
        self.spawn(|owner| owner.forget());
        self.plan().await;
    }

    fn spawn<F: Future<Output = ()> + 'static>(self: &Rc<Self>, task: impl FnOnce(Rc<Owner>) -> F) {
        self.env.spawn(task(self.clone()));
    }

    /// Offers the shard to other nodes at a planned stop.
    ///
    /// The owner goes on until another node has claimed the shard: the claim may
    /// take seconds while the store is slow.
    pub(crate) fn release(&self) {
        self.released.set(true);
        self.released_changed.notify();
    }

    async fn renew(self: Rc<Self>) {
        while !self.ended.get() {
            let sent_at = self.env.now();
            match self
                .claims
                .renew(
                    self.shard,
                    self.term,
                    self.released.get(),
                    &self.claim_sequence,
                )
                .await
            {
                Ok(()) => self.right_until.set(sent_at + RIGHT_MS),
                Err(StoreError::Fenced) => return self.depose("claim is fenced"),
                Err(StoreError::OutOfSequence(_)) => continue,
                Err(_) => {
                    self.env.sleep(RETRY_MS).await;
                    continue;
                }
            }
            let seen = self.released_changed.count();
            let released = self.released_changed.wait_past(seen);
            let _ = within(&*self.env.ports.runtime, RENEW_MS, released).await;
        }
    }

    async fn watch_claim(self: Rc<Self>) {
        while !self.ended.get() {
            let seen = self.claims.changed.count();
            let claim = self.claims.claim(self.shard);
            if claim.is_some_and(|claim| claim.term > self.term) {
                return self.depose("another node has claimed the shard");
            }
            self.claims.changed.wait_past(seen).await;
        }
    }

    async fn follow_configuration(self: Rc<Self>) {
        while !self.ended.get() {
            let seen = self.configuration.changed.count();
            if let Some(catalogue) = self.configuration.catalogue() {
                self.board.borrow_mut().configure(&catalogue);
            }
            let closed = self.configuration.closed();
            self.board.borrow_mut().close_data_centres(closed);
            self.changed.notify();
            self.configuration.changed.wait_past(seen).await;
        }
    }

    async fn follow_submissions(self: Rc<Self>, mut next: u64) {
        while !self.ended.get() {
            let sent_at = self.env.now();
            let read = self
                .env
                .read(Stream::Submissions, self.shard, next, READ_WAIT_MS)
                .await;
            match read {
                Ok(tail) => {
                    next = tail.next;
                    self.submissions_read_at.set(sent_at);
                    let records = tail.records.iter().flatten();
                    records.for_each(|record| self.apply_submission(record, false));
                    self.changed.notify();
                }
                Err(StoreError::Truncated(_)) => {
                    if let Ok((records, end)) =
                        self.env.read_all(Stream::Submissions, self.shard).await
                    {
                        records
                            .iter()
                            .for_each(|record| self.apply_submission(record, false));
                        next = end;
                    }
                }
                Err(_) => self.env.sleep(RETRY_MS).await,
            }
        }
    }

    async fn follow_workers(self: Rc<Self>, mut next: u64) {
        while !self.ended.get() {
            self.env.sleep(LIST_MS).await;
            match self.env.read(Stream::Workers, 0, next, Millis(0)).await {
                Ok(tail) => {
                    next = tail.next;
                    self.apply_listings(tail.records);
                }
                Err(StoreError::Truncated(_)) => {
                    if let Ok((records, end)) = self.env.read_all(Stream::Workers, 0).await {
                        self.listings.borrow_mut().clear();
                        self.apply_listings(records.into_iter().map(Some).collect());
                        next = end;
                    }
                }
                // Workers that are known go on; the list is read again.
                Err(_) => {}
            }
        }
    }

    /// Applies records of the workers.
    pub(crate) fn apply_listings(self: &Rc<Self>, records: Vec<Option<Record>>) {
        if records.is_empty() {
            return;
        }
        let mut listings = self.listings.borrow_mut();
        for record in records.into_iter().flatten() {
            if record.value.is_none() {
                listings.remove(&record.key);
                continue;
            }
            match self.env.ports.formats.listing(&record) {
                Ok(listing) if self.holds(&listing) => {
                    listings.insert(record.key, listing);
                }
                Ok(_) => {}
                Err(cause) => {
                    listings.remove(&record.key);
                    self.unreadable(&record, &cause);
                }
            }
        }
        let all = listings.values().cloned().collect();
        drop(listings);
        let new = self.board.borrow_mut().list_workers(all);
        self.tend_all(new);
        self.changed.notify();
    }

    /// Whether a worker belongs to this shard: all workers of a rack are in one.
    fn holds(&self, listing: &Listing) -> bool {
        let rack = listing.rack().map_or(&*listing.name, |rack| &**rack);
        stable_hash(&[rack.as_bytes()]) % u64::from(self.shards.max(1)) == u64::from(self.shard)
    }

    async fn plan(self: Rc<Self>) {
        while !self.ended.get() {
            let seen = self.changed.count();
            let orders = {
                let mut board = self.board.borrow_mut();
                board.plan(self.env.now(), self.env.wall())
            };
            for order in orders {
                self.dispatch(order);
            }
            let waiting = self.changed.wait_past(seen);
            let _ = within(&*self.env.ports.runtime, PLAN_TICK_MS, waiting).await;
            self.env.sleep(PLAN_EVERY_MS).await;
        }
    }

    /// Stores what was learned from time to time, for the next owner.
    async fn save_learned(self: Rc<Self>) {
        while !self.ended.get() {
            self.env.sleep(LEARNED_MS).await;
            self.learned_due.set(true);
            self.changed.notify();
        }
    }

    /// Writer of the progress with its next number.
    pub(crate) fn progress_writer(&self) -> Writer {
        Writer {
            name: "owner".into(),
            epoch: self.term,
            sequence: self.progress_sequence.get(),
        }
    }

    /// Makes progress durable.
    async fn save(self: Rc<Self>) {
        while !self.ended.get() {
            let seen = self.changed.count();
            let (unsaved, roster) = {
                let mut board = self.board.borrow_mut();
                (board.take_unsaved(), board.unrostered())
            };
            if unsaved.is_empty() && roster.is_empty() && !self.learned_due.get() {
                let waiting = self.changed.wait_past(seen);
                let _ = within(&*self.env.ports.runtime, PLAN_TICK_MS, waiting).await;
                continue;
            }
            self.save_batch(unsaved, &roster).await;
            self.env.sleep(SAVE_EVERY_MS).await;
        }
    }

    async fn save_batch(&self, unsaved: Unsaved, roster: &[(WorkerKey, Listing)]) {
        let started_at = self.env.now();
        let records = self.progress_records(&unsaved, roster);
        while !self.ended.get() && !records.is_empty() {
            let conditions = Conditions {
                end: None,
                writer: Some(self.progress_writer()),
            };
            let appended = self
                .env
                .append(Stream::Progress, self.shard, records.clone(), conditions)
                .await;
            match appended {
                Ok(_) => {
                    self.progress_sequence.set(self.progress_sequence.get() + 1);
                    break;
                }
                Err(StoreError::OutOfSequence(expected)) => self.progress_sequence.set(expected),
                Err(StoreError::Fenced) => return self.depose("progress is fenced"),
                Err(_) => self.env.sleep(RETRY_MS).await,
            }
        }
        if self.ended.get() {
            return;
        }
        let took_ms = self.env.now().since(started_at);
        self.env.metrics.save_s.observe(took_ms.0 as f64 / 1_000.0);
        self.log_ended(&unsaved);
        let mut board = self.board.borrow_mut();
        board.mark_saved(unsaved);
        for (key, _) in roster {
            board.mark_rostered(*key);
        }
        drop(board);
        self.saved.notify();
        self.changed.notify();
    }

    fn progress_records(&self, unsaved: &Unsaved, roster: &[(WorkerKey, Listing)]) -> Vec<Record> {
        let progress = unsaved
            .progress
            .iter()
            .map(|(id, progress)| record::encode(Key::Progress(*id).text(), progress));
        let roster = roster
            .iter()
            .map(|(_, listing)| record::encode(Key::Roster(listing.name.clone()).text(), listing));
        let learned = self.learned_due.take().then(|| {
            let learned = self.board.borrow().interference_snapshot();
            record::encode(Key::Learned.text(), &learned)
        });
        let encoded = progress
            .chain(roster)
            .chain(learned)
            .filter_map(|record| match record {
                Ok(record) => Some(record),
                Err(cause) => {
                    let inputs = json!({ "cause": cause.to_string() });
                    self.env.event(Event::InvariantViolated, &inputs);
                    None
                }
            });
        encoded.collect()
    }

    fn log_ended(&self, unsaved: &Unsaved) {
        for (id, progress) in &unsaved.progress {
            if let Some(state) = progress.ended {
                let inputs = json!({
                    "workflow": id.to_string(), "state": format!("{state:?}"), "term": self.term,
                });
                self.env.event(Event::Ended, &inputs);
            }
        }
    }

    /// Deletes the records of workflows that ended long ago.
    async fn forget(self: Rc<Self>) {
        while !self.ended.get() {
            self.env.sleep(FORGET_MS).await;
            let old = self.board.borrow_mut().forget_ended(self.env.wall());
            if old.is_empty() {
                continue;
            }
            let delete = |key: Key| Record {
                key: key.text(),
                value: None,
            };
            let submissions = old
                .iter()
                .flat_map(|&id| [delete(Key::Accepted(id)), delete(Key::Cancelled(id))]);
            let progress = old.iter().map(|&id| delete(Key::Progress(id)));
            // Records that stay are read and forgotten again by the next owner.
            let conditions = Conditions::default();
            let submissions = self.env.append(
                Stream::Submissions,
                self.shard,
                submissions.collect(),
                conditions,
            );
            if submissions.await.is_ok() {
                let conditions = Conditions::default();
                let _ = self
                    .env
                    .append(Stream::Progress, self.shard, progress.collect(), conditions)
                    .await;
            }
        }
    }

    /// Answers a question about the shard.
    pub(crate) async fn answer(&self, question: Question) -> Answer {
        if matches!(question, Question::Ownership(_)) && !self.ended.get() {
            return Answer::Owner;
        }
        if !self.ready.get() || self.ended.get() {
            return Answer::NotOwner;
        }
        if let Question::Store(_, id, submission) = question {
            return self.store(id, &submission).await;
        }
        let board = self.board.borrow();
        match question {
            Question::State(_, id) => match board.job(id).map(|job| job.state()) {
                Some(state) => Answer::State(Some(state)),
                None if self.is_fresh() => Answer::State(None),
                None => Answer::NotOwner,
            },
            Question::Waiting(_, queue) => Answer::Waiting(board.count_waiting(&queue)),
            Question::Store(..) | Question::Ownership(_) => Answer::NotOwner,
        }
    }

    fn is_fresh(&self) -> bool {
        self.env.now().since(self.submissions_read_at.get()) < FRESH_MS
    }
}

/// Text of a state for the log.
pub(crate) fn state_text(state: Option<State>) -> &'static str {
    match state {
        Some(State::Queued) => "queued",
        Some(State::Running) => "running",
        Some(State::Completed) => "completed",
        Some(State::Failed) => "failed",
        Some(State::Cancelled) => "cancelled",
        None => "unknown",
    }
}
