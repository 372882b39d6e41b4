//! Tenants of workflows, at the owner of their shard.
//!
//! The owner knows which tenant submitted a workflow, so it decides who may see and cancel it. To a caller of
//! another tenant the workflow does not exist. One that was submitted without a tenant is open to every caller.
//!
//! Ids are shared by all tenants. An id belongs to the first workflow that the owner applies under it, until that
//! is forgotten; another tenant's submission is refused as not stored. A node without an owner appends
//! submissions without knowing this. The records of each tenant have keys of their own, so that none replaces
//! another's, and the owner leaves out all but the first.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use foldhash::{HashMap, HashMapExt, HashSet};
use hemlocksaddle_policy::{
    retries::{AttemptEnd, SubmissionKey},
    workflow::Owned,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    workflow::{Progress, Refusal, ShardResponse, State, Submission, Workflow, WorkflowId},
};
use serde_json::json;

use crate::{
    event::Event,
    node::Env,
    owner::Owner,
    ports::{Record, Stream},
    record::{self, Key, TenantTag},
    retries::{Attempt, submission_key},
    snapshot::Snapshot,
};

/// Longest wait until the owner has applied what the stream holds, before a workflow counts as unknown.
const CATCH_UP_LIMIT_MS: Millis = Millis(1_000);

/// Interval at which it is checked whether the owner has applied it.
const CATCH_UP_POLL_MS: Millis = Millis(10);

/// Tenants of the submissions that are being stored, with their number, by id.
pub(crate) type Storing = Rc<RefCell<HashMap<WorkflowId, (Option<Arc<str>>, u32)>>>;

/// Marks an id as being stored until it is dropped.
struct StoringGuard {
    storing: Storing,
    id: WorkflowId,
}

impl Drop for StoringGuard {
    fn drop(&mut self) {
        let mut storing = self.storing.borrow_mut();
        if let Some((_, count)) = storing.get_mut(&self.id) {
            *count -= 1;
            if *count == 0 {
                storing.remove(&self.id);
            }
        }
    }
}

/// Reads of the submissions up to their end.
#[derive(Default)]
pub(crate) struct FreshRead {
    is_reading: Rc<Cell<bool>>,
    /// Time at which the latest read was sent whose records are all applied.
    read_at: Cell<MonoMs>,
}

/// Marks a read as in progress until it is dropped.
struct ReadingGuard(Rc<Cell<bool>>);

impl Drop for ReadingGuard {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Effect that a cancellation may have.
enum Cancellation {
    /// Workflow is not known.
    Unknown,
    /// Workflow belongs to another tenant.
    Foreign,
    /// This record cancels the workflow.
    Record(Submission),
}

impl Owner {
    /// Whether the configuration has tenants; `None` without a configuration.
    fn has_tenants(&self) -> Option<bool> {
        let catalogue = self.configuration.catalogue()?;
        Some(!catalogue.tenants.is_empty())
    }

    /// Whether a workflow of a tenant may be seen and cancelled by a caller.
    ///
    /// Without tenants in the configuration, work of earlier ones is open to every caller.
    fn is_open_to(&self, known: &str, caller: Option<&str>) -> bool {
        caller == Some(known) || caller.is_none() && self.has_tenants() == Some(false)
    }

    fn count_refused(&self, reason: &str) {
        let refused = &self.env.metrics.refused_calls;
        refused.with_label_values(&[reason]).inc();
    }

    /// Answers a query for the state of a workflow by a caller of a tenant, or of none.
    pub(crate) fn state_for(&self, id: WorkflowId, caller: Option<&str>) -> ShardResponse {
        let scheduler = self.scheduler.borrow();
        let is_foreign = match scheduler.tenant_of(id) {
            Owned::By(known) => !self.is_open_to(known, caller),
            Owned::Unknown | Owned::ByNone => false,
        };
        if is_foreign {
            self.count_refused("other tenant");
        }
        match scheduler.state(id).filter(|_| !is_foreign) {
            Some(State::Failed) => {
                let failure = scheduler.failure(id).cloned();
                ShardResponse::Failed(failure.map(Box::new))
            }
            Some(state) => ShardResponse::State(Some(state)),
            None if self.submissions_are_fresh() => ShardResponse::State(None),
            None => ShardResponse::NotOwner,
        }
    }

    /// Counts a queue's workflows without a started task that a caller may know of.
    pub(crate) fn count_waiting_for(&self, queue: &str, caller: Option<&str>) -> ShardResponse {
        let scheduler = self.scheduler.borrow();
        let is_open = caller.is_none() && self.has_tenants() == Some(false);
        ShardResponse::Waiting(if is_open {
            scheduler.count_waiting(queue)
        } else {
            scheduler.count_waiting_of(queue, caller)
        })
    }

    /// Stores a submission or cancellation, unless it concerns a workflow of another tenant.
    pub(crate) async fn store_checked(
        &self,
        id: WorkflowId,
        submission: Submission,
    ) -> ShardResponse {
        let caller = match &submission {
            Submission::Accepted(workflow) => {
                let Some(_storing) = self.begin_to_store(id, workflow) else {
                    return ShardResponse::Refused(Refusal::IdInUse);
                };
                let tenant = workflow.tenant.as_ref();
                let tenant_name = tenant.map(|tenant| &**tenant);
                if self.scheduler.borrow().belongs_to(id, tenant_name) {
                    // Stored by an earlier attempt; its retry is answered also while nothing can be stored.
                    return ShardResponse::Stored;
                }
                let key = submission_key(id, tenant);
                // A refusal is true only if no earlier attempt has stored the submission, or still may.
                if let Err(retry_after_s) = self.admit(id, workflow)
                    && self.read_latest().await
                    && self.scheduler.borrow().tenant_of(id) == Owned::Unknown
                    && !self.may_have_stored(key)
                {
                    self.count_refused("over quota");
                    return ShardResponse::Refused(Refusal::OverQuota { retry_after_s });
                }
                let attempt = Attempt::begin(&self.env, &self.attempts, "owner", key);
                return self.store(id, &submission, Some(attempt)).await;
            }
            Submission::Cancelled => None,
            Submission::CancelledBy(tenant) => Some(tenant.clone()),
        };
        let mut effect = self.cancellation(id, caller.as_ref());
        if matches!(effect, Cancellation::Unknown) {
            if caller.is_none() && self.has_tenants() != Some(true) {
                return self.store(id, &submission, None).await;
            }
            // A workflow that is not known looks the same as one of another tenant, so that a caller
            // cannot tell them apart. Its submission may be on its way through the stream.
            if !self.read_latest().await {
                return ShardResponse::NotOwner;
            }
            effect = self.cancellation(id, caller.as_ref());
        }
        match effect {
            Cancellation::Record(record) => self.store(id, &record, None).await,
            Cancellation::Unknown => ShardResponse::State(None),
            Cancellation::Foreign => {
                self.count_refused("other tenant");
                ShardResponse::State(None)
            }
        }
    }

    /// Whether an attempt that was admitted earlier may have stored a submission, or still may.
    fn may_have_stored(&self, key: SubmissionKey) -> bool {
        let attempts = self.attempts.borrow();
        attempts.earlier(key, 0, self.env.now()) != AttemptEnd::NotStored
    }

    fn cancellation(&self, id: WorkflowId, caller: Option<&Arc<str>>) -> Cancellation {
        let scheduler = self.scheduler.borrow();
        match scheduler.tenant_of(id) {
            Owned::Unknown => Cancellation::Unknown,
            Owned::ByNone => Cancellation::Record(Submission::Cancelled),
            Owned::By(known) if self.is_open_to(known, caller.map(|caller| &**caller)) => {
                Cancellation::Record(Submission::CancelledBy(known.clone()))
            }
            Owned::By(_) => Cancellation::Foreign,
        }
    }

    /// Waits until all that the submissions hold now is applied; returns whether that succeeded.
    ///
    /// Callers that wait at the same time share a read.
    async fn read_latest(&self) -> bool {
        let asked_at = self.env.now();
        while !self.ended.get() && self.env.now().since(asked_at) < CATCH_UP_LIMIT_MS {
            let read_at = self.fresh_read.read_at.get();
            if self.submissions_read_at.get().max(read_at) > asked_at {
                return true;
            }
            if !self.fresh_read.is_reading.replace(true) {
                let _reading = ReadingGuard(self.fresh_read.is_reading.clone());
                return self.read_and_wait(asked_at).await;
            }
            self.env.sleep(CATCH_UP_POLL_MS).await;
        }
        false
    }

    async fn read_and_wait(&self, asked_at: MonoMs) -> bool {
        let sent_at = self.env.now();
        let from = self.submissions_read_to.get();
        let read = self
            .env
            .read(Stream::Submissions, self.shard, from, Millis(0));
        // A failure is an event of its own.
        let Ok(tail) = read.await else {
            return false;
        };
        while self.submissions_read_to.get() < tail.end {
            if self.ended.get() || self.env.now().since(asked_at) >= CATCH_UP_LIMIT_MS {
                return false;
            }
            self.env.sleep(CATCH_UP_POLL_MS).await;
        }
        self.fresh_read.read_at.set(sent_at);
        !self.ended.get()
    }

    /// Marks a submission as being stored; `None` if another tenant uses its id.
    fn begin_to_store(&self, id: WorkflowId, workflow: &Workflow) -> Option<StoringGuard> {
        if self.is_id_in_use(id, workflow) {
            return None;
        }
        let mut storing = self.storing.borrow_mut();
        let entry = storing.entry(id);
        let (tenant, count) = entry.or_insert_with(|| (workflow.tenant.clone(), 0));
        if *tenant != workflow.tenant {
            self.log_id_in_use(id, workflow);
            return None;
        }
        *count += 1;
        Some(StoringGuard {
            storing: self.storing.clone(),
            id,
        })
    }

    /// Whether a workflow of another tenant is known under an id; logs it.
    pub(crate) fn is_id_in_use(&self, id: WorkflowId, workflow: &Workflow) -> bool {
        let scheduler = self.scheduler.borrow();
        let is_in_use = scheduler.tenant_of(id).differs(workflow.tenant.as_deref());
        if is_in_use {
            self.log_id_in_use(id, workflow);
        }
        is_in_use
    }

    fn log_id_in_use(&self, id: WorkflowId, workflow: &Workflow) {
        log_id_in_use(&self.env, id, workflow.tenant.as_deref(), self.shard);
    }

    /// Notes the key of a record of the submissions that is not one of a workflow without a tenant.
    pub(crate) fn note_key(&self, id: WorkflowId, record: &Record) {
        let is_plain = matches!(
            Key::parse(&record.key),
            Some(Key::Accepted(_) | Key::Cancelled(_))
        );
        if is_plain && !matches!(self.scheduler.borrow().tenant_of(id), Owned::By(_)) {
            return;
        }
        let mut keys = self.tenant_keys.borrow_mut();
        let keys = keys.entry(id).or_default();
        if !keys.contains(&record.key) {
            keys.push(record.key.clone());
        }
    }

    /// Takes the keys of all records that the submissions may hold of a workflow.
    pub(crate) fn take_keys(&self, id: WorkflowId) -> Vec<Arc<str>> {
        let mut keys = self
            .tenant_keys
            .borrow_mut()
            .remove(&id)
            .unwrap_or_default();
        let scheduler = self.scheduler.borrow();
        match scheduler.tenant_of(id) {
            Owned::By(_) if !keys.is_empty() => {}
            Owned::By(tenant) => {
                let tag = TenantTag::of(tenant);
                keys.push(Key::AcceptedOf(id, tag).text());
                keys.push(Key::CancelledBy(id, tag).text());
            }
            Owned::ByNone | Owned::Unknown => {
                keys.push(Key::Accepted(id).text());
                keys.push(Key::Cancelled(id).text());
            }
        }
        keys
    }

    /// Puts back keys whose records may not have been deleted.
    pub(crate) fn put_back_keys(&self, keys: Vec<(WorkflowId, Vec<Arc<str>>)>) {
        let plain =
            |key: &Arc<str>| matches!(Key::parse(key), Some(Key::Accepted(_) | Key::Cancelled(_)));
        let mut known = self.tenant_keys.borrow_mut();
        for (id, keys) in keys {
            // Keys without a tenant are derived from the id.
            if keys.iter().all(plain) {
                continue;
            }
            let known = known.entry(id).or_default();
            for key in keys {
                if !known.contains(&key) {
                    known.push(key);
                }
            }
        }
    }
}

/// Logs and counts a submission that is not run because another tenant uses its id.
pub(crate) fn log_id_in_use(env: &Env, id: WorkflowId, tenant: Option<&str>, shard: u32) {
    let refused = &env.metrics.refused_calls;
    refused.with_label_values(&["id in use"]).inc();
    let inputs = json!({ "workflow": id.to_string(), "tenant": tenant, "shard": shard });
    env.event(Event::IdInUse, &inputs);
}

/// Keys of submissions whose id belongs to a workflow of another tenant.
///
/// Pages are ordered by key, so the order in which the predecessor applied them is not known. Progress under the
/// id tells whose workflow it is, otherwise the time at which they were received.
pub(crate) fn superseded(submissions: &Snapshot, progress: &Snapshot) -> HashSet<Arc<str>> {
    let mut by_id: HashMap<WorkflowId, Vec<&Record>> = HashMap::new();
    for record in submissions.records() {
        if let Some(Key::Accepted(id) | Key::AcceptedOf(id, _)) = Key::parse(&record.key) {
            by_id.entry(id).or_default().push(record);
        }
    }
    by_id.retain(|_, records| records.len() > 1);
    if by_id.is_empty() {
        return HashSet::default();
    }
    let mut tenants: HashMap<WorkflowId, Option<Arc<str>>> = HashMap::new();
    for record in progress.records() {
        if let Some(Key::Progress(id)) = Key::parse(&record.key)
            && by_id.contains_key(&id)
            && let Some(value) = &record.value
            && let Ok(progress) = record::decode::<Progress>(&record.key, value)
        {
            tenants.insert(id, progress.tenant);
        }
    }
    let mut superseded = HashSet::default();
    for (id, records) in by_id {
        // What cannot be decoded is logged when it is applied.
        let decoded = records.iter().filter_map(|record| {
            let value = record.value.as_ref()?;
            match record::decode::<Submission>(&record.key, value) {
                Ok(Submission::Accepted(workflow)) => Some((record.key.clone(), workflow)),
                _ => None,
            }
        });
        let rank = |workflow: &Workflow| -> (bool, WallMs, Option<Arc<str>>) {
            let is_other = tenants
                .get(&id)
                .is_some_and(|known| *known != workflow.tenant);
            (is_other, workflow.received_ms, workflow.tenant.clone())
        };
        let mut ranked: Vec<_> = decoded
            .map(|(key, workflow)| (rank(&workflow), key))
            .collect();
        ranked.sort();
        superseded.extend(ranked.into_iter().skip(1).map(|(_, key)| key));
    }
    superseded
}
