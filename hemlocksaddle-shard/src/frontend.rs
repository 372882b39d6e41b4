//! Interface for callers: submitting, querying and cancelling workflows.

use std::{cell::Cell, pin::pin, rc::Rc};

use foldhash::{HashMap, HashMapExt};
use futures_util::future::{Either, select};
use hemlocksaddle_node::wait::{Signal, within};
use hemlocksaddle_policy::{
    intake::{Action, STORE_UNAVAILABLE_MS, SUBMISSION_TIMEOUT_MS, SubmissionState},
    retries::{UnservedAnswer, answer_unserved},
    shutdown::Shutdown,
    unserved::refuse_until,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::stable_hash,
    workflow::{
        Catalogue, Failure, Queue, Refusal, ShardRequest, ShardResponse, State, Submission,
        Workflow, WorkflowId,
    },
};
use serde_json::json;
use std::cell::RefCell;
use std::sync::Arc;

use crate::{
    caller::{Caller, RefusedCalls},
    claims::Claims,
    configuration::Configuration,
    event::Event,
    links::{CallOutcome, Links},
    node::{Env, Owners},
    parts::record_bytes,
    ports::{Conditions, Stream},
    record::{self, Key},
    retries::{Attempt, Retries, SubmissionAttempts, log_recognised, submission_key},
    tenants::log_id_in_use,
};

/// Pause between two attempts.
const RETRY_MS: Millis = Millis(50);

/// Time for which calls to a shard's owner are retried; a failover usually takes about as long.
const OWNER_WAIT_MS: Millis = Millis(2_200);

/// Time for which a count of waiting workflows is cached.
const WAITING_CACHE_MS: Millis = Millis(500);

/// Time after which a refused caller is asked to retry, in seconds.
pub const RETRY_AFTER_S: u32 = 1;

/// Outcome of a submission or cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// Stored.
    Accepted,
    /// Certainly not stored; the store is unavailable.
    Unavailable,
    /// Certainly not stored; no owner starts work, and the caller should retry after the given time in seconds.
    Unserved(u32),
    /// Outcome unknown; the caller has to retry with the same id.
    Unknown,
    /// Certainly not stored; the store takes no record of this size.
    TooLarge,
    /// Certainly not stored; the tenant has more accepted work than it can run in time.
    OverQuota {
        /// Time after which there is probably room, in seconds.
        retry_after_s: u32,
    },
    /// Cancellation without effect: the caller has no such workflow.
    NotFound,
}

/// Outcome of a state query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateLookup {
    /// Current state, if it is not failed.
    State(State),
    /// Workflow has failed, with the reason if it is known.
    Failed(Option<Box<Failure>>),
    /// No such workflow.
    NotFound,
    /// Owner of the shard did not answer.
    Unavailable,
}

/// Counts of waiting workflows with their times, by queue and tenant.
type WaitingCounts = HashMap<(Arc<str>, Option<Arc<str>>), (MonoMs, u32)>;

/// Interface for callers.
pub struct Frontend {
    env: Rc<Env>,
    configuration: Rc<Configuration>,
    claims: Rc<Claims>,
    links: Rc<Links>,
    owners: Rc<Owners>,
    retries: Rc<Retries>,
    waiting_cache: RefCell<WaitingCounts>,
    refused_calls: RefusedCalls,
    open_requests: Cell<u32>,
    /// Times of the graceful shutdown, once it has begun.
    shutdown: Cell<Option<Shutdown>>,
    shutdown_begun: Signal,
}

impl Frontend {
    pub(crate) fn new(
        env: Rc<Env>,
        configuration: Rc<Configuration>,
        claims: Rc<Claims>,
        links: Rc<Links>,
        owners: Rc<Owners>,
        retries: Rc<Retries>,
    ) -> Rc<Frontend> {
        Rc::new(Frontend {
            env,
            configuration,
            claims,
            links,
            owners,
            retries,
            waiting_cache: RefCell::new(HashMap::new()),
            refused_calls: RefusedCalls::default(),
            open_requests: Cell::new(0),
            shutdown: Cell::new(None),
            shutdown_begun: Signal::default(),
        })
    }

    /// Returns the active configuration; `None` before the first was read.
    #[must_use]
    pub fn catalogue(&self) -> Option<Rc<Catalogue>> {
        self.configuration.catalogue()
    }

    fn has_tenants(&self) -> bool {
        let catalogue = self.catalogue();
        catalogue.is_some_and(|catalogue| !catalogue.tenants.is_empty())
    }

    /// Identifies the caller of a queue by the key that it presents; `None` if it has to be refused.
    ///
    /// The configuration in force decides: without tenants, and on a public queue, no key is needed.
    #[must_use]
    pub fn identify(&self, queue: &Queue, key: Option<&[u8]>) -> Option<Caller> {
        let caller = key.and_then(|key| self.configuration.caller(key));
        if caller.is_some() || queue.public || !self.has_tenants() {
            return Some(caller.unwrap_or_default());
        }
        let reason = match key {
            Some(_) => "unknown key",
            None => "no key",
        };
        self.refused_calls.record(&self.env, &queue.name, reason);
        None
    }

    /// Whether the key that a caller was identified by is still in the configuration.
    ///
    /// The body of a request may take longer to arrive than a change of the configuration.
    #[must_use]
    pub fn is_still_known(&self, queue: &Queue, caller: &Caller) -> bool {
        let is_known = self.configuration.is_known(caller);
        if !is_known {
            let reason = "unknown key";
            self.refused_calls.record(&self.env, &queue.name, reason);
        }
        is_known
    }

    /// Returns the wall-clock time.
    #[must_use]
    pub fn wall(&self) -> hemlocksaddle_types::clock::WallMs {
        self.env.wall()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Counts a request as in progress until the guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.open_requests.set(self.open_requests.get() + 1);
        RequestGuard(self.clone())
    }

    /// Bounds the time of requests in progress and of new ones by that of a graceful shutdown.
    pub(crate) fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.shutdown_begun.notify();
    }

    fn refuses(&self) -> bool {
        let shutdown = self.shutdown.get();
        shutdown.is_some_and(|shutdown| shutdown.refuses(self.env.now()))
    }

    /// Runs a part of a request; `None` if a graceful shutdown leaves no time for its end.
    async fn until_shutdown<T>(&self, part: impl Future<Output = T>) -> Option<T> {
        let mut part = pin!(part);
        if self.shutdown.get().is_none() {
            let begun = pin!(self.shutdown_begun.wait_past(0));
            if let Either::Left((value, _)) = select(part.as_mut(), begun).await {
                return Some(value);
            }
        }
        let shutdown = self.shutdown.get()?;
        let left = shutdown.time_to_answer(self.env.now());
        within(&*self.env.ports.runtime, left, part).await
    }

    fn shard(&self, id: WorkflowId) -> Option<u32> {
        let shards = self.claims.layout()?.shards.max(1);
        let hash = stable_hash(&[&id.0.to_be_bytes()]);
        u32::try_from(hash % u64::from(shards)).ok()
    }

    /// Stores a workflow durably, through the shard's owner or directly.
    pub async fn submit(&self, id: WorkflowId, workflow: Workflow) -> Submitted {
        let started_at = self.env.now();
        let queue = workflow.queue.clone();
        let tenant = workflow.tenant.clone();
        let attempt = self.retries.begin(submission_key(id, tenant.as_ref()));
        let outcome = match self.answer_unserved(&attempt, &workflow).await {
            Some(answered) => answered,
            None => {
                let submission = Submission::Accepted(Box::new(workflow));
                let (started_at, progress) = (attempt.started_at, &attempt.progress);
                self.store(id, &submission, started_at, progress).await
            }
        };
        let outcome = attempt.finish(outcome);
        let took_ms = self.env.now().since(started_at);
        let (event, label) = match outcome {
            Submitted::Accepted => (Event::Accepted, "accepted"),
            Submitted::Unavailable => (Event::Refused, "refused"),
            Submitted::Unserved(_) => (Event::Refused, "unserved"),
            Submitted::Unknown => (Event::OutcomeUnknown, "unknown"),
            Submitted::TooLarge => (Event::Refused, "too large"),
            Submitted::OverQuota { .. } => (Event::Refused, "over quota"),
            // Only a cancellation is answered so.
            Submitted::NotFound => (Event::Refused, "refused"),
        };
        self.env
            .metrics
            .submissions
            .with_label_values(&[label])
            .inc();
        self.env
            .metrics
            .accept_s
            .observe(took_ms.0 as f64 / 1_000.0);
        let mut inputs = json!({
            "workflow": id.to_string(), "queue": &*queue, "took_ms": took_ms.0,
            "version": self.catalogue().map(|catalogue| catalogue.version),
            "shard": self.shard(id), "outcome": label,
        });
        if let Some(tenant) = tenant {
            inputs["tenant"] = json!(&*tenant);
        }
        if let Submitted::OverQuota { retry_after_s } = outcome {
            inputs["retry_after_s"] = json!(retry_after_s);
        }
        self.env.event(event, &inputs);
        outcome
    }

    /// Answers a workflow whose result would come too late because no owner starts work of its shard, or whose id
    /// another tenant uses; `None` if it is to be stored.
    ///
    /// It is refused only if no earlier attempt has stored it. Nothing has been sent for this one.
    async fn answer_unserved(&self, attempt: &Attempt, workflow: &Workflow) -> Option<Submitted> {
        let key = attempt.key;
        let shard = self.shard(key.id)?;
        let unserved_for = self.claims.unserved_for(shard);
        if unserved_for == Millis(0) || self.refuses() {
            return None;
        }
        let catalogue = self.catalogue()?;
        let mut queues = catalogue.queues.iter();
        let queue = queues.find(|queue| queue.name == workflow.queue)?;
        let after = refuse_until(workflow, queue, unserved_for);
        if after.is_none() && !self.retries.is_used_by_other(shard, key) {
            return None;
        }
        let lookup = self.until_shutdown(self.retries.lookup(shard, key)).await?;
        match answer_unserved(after, lookup) {
            UnservedAnswer::Store => None,
            UnservedAnswer::AlreadyStored => {
                log_recognised(&self.env, key, "stream", Submitted::Accepted);
                Some(Submitted::Accepted)
            }
            UnservedAnswer::Refuse(after) => {
                let after_s = u32::try_from(after.0.div_ceil(1_000)).unwrap_or(u32::MAX);
                Some(Submitted::Unserved(after_s))
            }
            UnservedAnswer::IdInUse => {
                attempt.progress.borrow_mut().is_id_in_use = true;
                let tenant = workflow.tenant.as_deref();
                log_id_in_use(&self.env, key.id, tenant, shard);
                Some(Submitted::Unavailable)
            }
        }
    }

    async fn store(
        &self,
        id: WorkflowId,
        submission: &Submission,
        started_at: MonoMs,
        attempts: &RefCell<SubmissionAttempts>,
    ) -> Submitted {
        let Some(shard) = self.shard(id).filter(|_| !self.refuses()) else {
            return Submitted::Unavailable;
        };
        let stored = self.try_to_store(shard, id, submission, started_at, attempts);
        match self.until_shutdown(stored).await {
            Some(outcome) => outcome,
            None if attempts.borrow().may_be_stored() => Submitted::Unknown,
            None => Submitted::Unavailable,
        }
    }

    async fn try_to_store(
        &self,
        shard: u32,
        id: WorkflowId,
        submission: &Submission,
        started_at: MonoMs,
        attempts: &RefCell<SubmissionAttempts>,
    ) -> Submitted {
        let is_cancellation = !matches!(submission, Submission::Accepted(_));
        let record = match record::encode(Key::of(id, submission).text(), submission) {
            Ok(record) => record,
            Err(cause) => {
                let inputs = json!({ "workflow": id.to_string(), "cause": cause.to_string() });
                self.env.event(Event::InvariantViolated, &inputs);
                return Submitted::Unavailable;
            }
        };
        if record_bytes(&record) > self.env.settings.max_record_bytes {
            return Submitted::TooLarge;
        }
        loop {
            if self.is_isolated(shard) && !attempts.borrow().maybe_stored {
                return Submitted::Unavailable;
            }
            let state = self.submission_state(shard, started_at, &attempts.borrow());
            match state.next_action() {
                Action::AskOwner => {
                    // The owner may have failed or lost the store; storing twice is harmless.
                    let request = ShardRequest::Store(shard, id, submission.clone());
                    let waited = self.env.now().since(started_at);
                    let left = Millis(SUBMISSION_TIMEOUT_MS.0.saturating_sub(waited.0));
                    let call = self.call_owner_once(shard, request);
                    attempts.borrow_mut().in_flight = true;
                    let answer = within(&*self.env.ports.runtime, left, call).await;
                    let mut attempts = attempts.borrow_mut();
                    attempts.in_flight = false;
                    match answer {
                        Some(CallOutcome::Answered(ShardResponse::Stored)) => {
                            return Submitted::Accepted;
                        }
                        Some(CallOutcome::Answered(ShardResponse::State(None))) => {
                            return Submitted::NotFound;
                        }
                        Some(CallOutcome::Answered(ShardResponse::Refused(refusal))) => {
                            return match refusal {
                                Refusal::OverQuota { retry_after_s } if !attempts.maybe_stored => {
                                    Submitted::OverQuota { retry_after_s }
                                }
                                Refusal::IdInUse => {
                                    attempts.is_id_in_use = true;
                                    attempts.refused()
                                }
                                Refusal::OverQuota { .. } => attempts.refused(),
                            };
                        }
                        Some(
                            CallOutcome::Answered(ShardResponse::StoreUnknown)
                            | CallOutcome::NoAnswer,
                        )
                        | None => {
                            attempts.maybe_stored = true;
                        }
                        Some(CallOutcome::Answered(_) | CallOutcome::NotSent) => {}
                    }
                    let term = self.claims.claim(shard).map(|claim| claim.term);
                    attempts.last_asked = Some((term, self.env.now()));
                }
                // Only the owner knows whether the caller may cancel the workflow.
                Action::Append if is_cancellation && self.has_tenants() => {
                    self.env.sleep(RETRY_MS).await;
                }
                Action::Append => {
                    let records = vec![record.clone()];
                    let append =
                        self.env
                            .append(Stream::Submissions, shard, records, Conditions::default());
                    let sent_at = self.env.now();
                    attempts.borrow_mut().in_flight = true;
                    let appended = append.await;
                    {
                        let mut attempts = attempts.borrow_mut();
                        attempts.in_flight = false;
                        match appended {
                            Ok(_) => return Submitted::Accepted,
                            Err(error) => attempts.maybe_stored |= !error.is_certain(),
                        }
                        attempts.append_failing_since.get_or_insert(sent_at);
                    }
                    self.env.sleep(RETRY_MS).await;
                }
                Action::Wait => self.env.sleep(RETRY_MS).await,
                Action::GiveUp => return attempts.borrow().refused(),
            }
        }
    }

    fn submission_state(
        &self,
        shard: u32,
        started_at: MonoMs,
        attempts: &SubmissionAttempts,
    ) -> SubmissionState {
        let now = self.env.now();
        let term = self.claims.claim(shard).map(|claim| claim.term);
        let asked = attempts.last_asked.filter(|(asked, _)| *asked == term);
        SubmissionState {
            elapsed: now.since(started_at),
            has_owner: term.is_some() && !self.claims.is_unanswered(shard),
            since_owner_asked: asked.map(|(_, at)| now.since(at)),
            store_latency: self.env.store_latency(),
            store_failing_for: self.env.store_failing_for(),
            append_failing_for: attempts.append_failing_since.map(|since| now.since(since)),
            maybe_stored: attempts.maybe_stored,
        }
    }

    /// Returns the state of a workflow that its caller may see.
    pub async fn state(&self, id: WorkflowId, caller: &Caller) -> StateLookup {
        let Some(shard) = self.shard(id) else {
            return StateLookup::Unavailable;
        };
        let request = match caller.tenant() {
            Some(tenant) => ShardRequest::TenantState(shard, id, tenant.clone()),
            None => ShardRequest::State(shard, id),
        };
        match self.call_owner(shard, request).await {
            Some(ShardResponse::State(Some(state))) => StateLookup::State(state),
            Some(ShardResponse::Failed(failure)) => StateLookup::Failed(failure),
            Some(ShardResponse::State(None)) => {
                let inputs = json!({ "workflow": id.to_string(), "state": "unknown" });
                self.env.event(Event::StateUnknown, &inputs);
                StateLookup::NotFound
            }
            _ => {
                let inputs = json!({ "workflow": id.to_string(), "reason": "no owner answered" });
                self.env.event(Event::StateUnknown, &inputs);
                StateLookup::Unavailable
            }
        }
    }

    /// Cancels a workflow that its caller may see.
    pub async fn cancel(&self, id: WorkflowId, caller: &Caller) -> Submitted {
        let submission = match caller.tenant() {
            Some(tenant) => Submission::CancelledBy(tenant.clone()),
            None => Submission::Cancelled,
        };
        let attempts = RefCell::default();
        let outcome = self.store(id, &submission, self.env.now(), &attempts).await;
        let inputs = json!({ "workflow": id.to_string(), "outcome": format!("{outcome:?}") });
        self.env.event(Event::Cancelled, &inputs);
        outcome
    }

    /// Returns the number of waiting workflows of a queue that a caller may see; `None` if an owner does not
    /// answer.
    pub async fn waiting(&self, queue: &Arc<str>, caller: &Caller) -> Option<u32> {
        let now = self.env.now();
        let tenant = caller.tenant();
        let counted = (queue.clone(), tenant.cloned());
        let cached = self.waiting_cache.borrow().get(&counted).copied();
        if let Some((at, count)) = cached
            && now.since(at) < WAITING_CACHE_MS
        {
            return Some(count);
        }
        let shards = self.claims.layout()?.shards;
        let mut count = 0;
        for shard in 0..shards {
            let queue = queue.clone();
            let request = match tenant {
                Some(tenant) => ShardRequest::TenantWaiting(shard, queue, tenant.clone()),
                None => ShardRequest::Waiting(shard, queue),
            };
            match self.call_owner(shard, request).await {
                Some(ShardResponse::Waiting(waiting)) => count += waiting,
                _ => return None,
            }
        }
        let mut cache = self.waiting_cache.borrow_mut();
        // Counts of tenants that do not ask any more are dropped.
        cache.retain(|_, (at, _)| now.since(*at) < WAITING_CACHE_MS);
        cache.insert(counted, (now, count));
        Some(count)
    }

    /// Calls the owner of a shard and retries for as long as a failover usually takes.
    async fn call_owner(&self, shard: u32, request: ShardRequest) -> Option<ShardResponse> {
        if self.is_isolated(shard) || self.refuses() {
            return None;
        }
        let answer = self.call_owner_until_answered(shard, request);
        self.until_shutdown(answer).await?
    }

    async fn call_owner_until_answered(
        &self,
        shard: u32,
        request: ShardRequest,
    ) -> Option<ShardResponse> {
        let started_at = self.env.now();
        loop {
            match self.call_owner_once(shard, request.clone()).await {
                CallOutcome::Answered(ShardResponse::NotOwner)
                | CallOutcome::NotSent
                | CallOutcome::NoAnswer => {}
                CallOutcome::Answered(answer) => return Some(answer),
            }
            if self.env.now().since(started_at) >= OWNER_WAIT_MS {
                return None;
            }
            self.env.sleep(RETRY_MS).await;
        }
    }

    /// Returns whether neither the store nor the shard's owner answers this node.
    ///
    /// Requests are then refused at once, and nothing is sent that could still take
    /// effect, so that the caller can safely retry at another node.
    fn is_isolated(&self, shard: u32) -> bool {
        let lost = self.claims.claim(shard).is_some_and(|claim| {
            !self.claims.is_own(&claim) && self.links.recently_lost(claim.address)
        });
        lost && self.env.store_failing_for() >= STORE_UNAVAILABLE_MS
    }

    async fn call_owner_once(&self, shard: u32, request: ShardRequest) -> CallOutcome {
        let Some(claim) = self.claims.claim(shard) else {
            return CallOutcome::NotSent;
        };
        if self.claims.is_own(&claim) {
            return CallOutcome::Answered(self.owners.answer_locally(request).await);
        }
        self.links.call(&claim.node, claim.address, request).await
    }
}

/// Counts a request as in progress until it is dropped.
pub struct RequestGuard(Rc<Frontend>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
