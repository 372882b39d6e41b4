//! Interface for callers: submissions, states and cancellations.

use std::{cell::Cell, rc::Rc};

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_node::wait::within;
use hemlocksaddle_policy::intake::{SETTLE_MS, STORE_AWAY_MS, Situation, Step};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::stable_hash,
    workflow::{Answer, Catalogue, Question, State, Submission, Workflow, WorkflowId},
};
use serde_json::json;
use std::cell::RefCell;
use std::sync::Arc;

use crate::{
    claims::Claims,
    configuration::Configuration,
    event::Event,
    links::{CallOutcome, Links},
    node::{Env, Owners},
    owner::state_text,
    ports::{Conditions, StoreError, Stream},
    record::{self, Key},
};

/// Pause between two tries.
const RETRY_MS: Millis = Millis(50);

/// Time for which the owner of a shard is looked for.
///
/// As long as a take-over usually takes.
const OWNER_WAIT_MS: Millis = Millis(2_200);

/// Age up to which a count of waiting workflows is told again.
const WAITING_CACHE_MS: Millis = Millis(500);

/// Time after which a refused caller is asked to come back.
pub const RETRY_AFTER_S: u32 = 1;

/// Answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// Stored.
    Accepted,
    /// Certain never to run: the store cannot be reached now.
    Unavailable,
    /// Outcome unknown; the caller has to ask again under the same id.
    Unknown,
}

/// Answer to a request for a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateLookup {
    /// State.
    State(State),
    /// No such workflow.
    NotFound,
    /// Cannot be told now.
    Unavailable,
}

/// Interface for callers.
pub struct Frontend {
    env: Rc<Env>,
    configuration: Rc<Configuration>,
    claims: Rc<Claims>,
    links: Rc<Links>,
    owners: Rc<Owners>,
    waiting_cache: RefCell<HashMap<Arc<str>, (MonoMs, u32)>>,
    open_requests: Cell<u32>,
}

impl Frontend {
    pub(crate) fn new(
        env: Rc<Env>,
        configuration: Rc<Configuration>,
        claims: Rc<Claims>,
        links: Rc<Links>,
        owners: Rc<Owners>,
    ) -> Rc<Frontend> {
        Rc::new(Frontend {
            env,
            configuration,
            claims,
            links,
            owners,
            waiting_cache: RefCell::new(HashMap::new()),
            open_requests: Cell::new(0),
        })
    }

    /// Configuration in force; `None` before the first was read.
    #[must_use]
    pub fn catalogue(&self) -> Option<Rc<Catalogue>> {
        self.configuration.catalogue()
    }

    /// Wall-clock time.
    #[must_use]
    pub fn wall(&self) -> hemlocksaddle_types::clock::WallMs {
        self.env.wall()
    }

    /// Requests in progress.
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

    fn shard(&self, id: WorkflowId) -> Option<u32> {
        let shards = self.claims.layout()?.shards.max(1);
        let hash = stable_hash(&[&id.0.to_be_bytes()]);
        u32::try_from(hash % u64::from(shards)).ok()
    }

    /// Stores a workflow.
    pub async fn submit(&self, id: WorkflowId, workflow: Workflow) -> Submitted {
        let started_at = self.env.now();
        let queue = workflow.queue.clone();
        let submission = Submission::Accepted(Box::new(workflow));
        let outcome = self.store(id, Key::Accepted(id), &submission).await;
        let took_ms = self.env.now().since(started_at);
        let (event, label) = match outcome {
            Submitted::Accepted => (Event::Accepted, "accepted"),
            Submitted::Unavailable => (Event::Refused, "refused"),
            Submitted::Unknown => (Event::OutcomeUnknown, "unknown"),
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
        let inputs = json!({
            "workflow": id.to_string(), "queue": &*queue, "took_ms": took_ms.0,
            "version": self.catalogue().map(|catalogue| catalogue.version),
            "shard": self.shard(id),
        });
        self.env.event(event, &inputs);
        outcome
    }

    async fn store(&self, id: WorkflowId, key: Key, submission: &Submission) -> Submitted {
        let started_at = self.env.now();
        let Some(shard) = self.shard(id) else {
            return Submitted::Unavailable;
        };
        let record = match record::encode(key.text(), submission) {
            Ok(record) => record,
            Err(cause) => {
                let inputs = json!({ "workflow": id.to_string(), "cause": cause.to_string() });
                self.env.event(Event::InvariantViolated, &inputs);
                return Submitted::Unavailable;
            }
        };
        let mut attempts = SubmissionAttempts::default();
        loop {
            if self.is_isolated(shard) && !attempts.maybe_stored {
                return Submitted::Unavailable;
            }
            match self
                .submission_state(shard, started_at, &attempts)
                .next_step()
            {
                Step::AskOwner => {
                    // The owner may be gone or cut off from the store; storing twice does no harm.
                    let request = Question::Store(shard, id, submission.clone());
                    let waited = self.env.now().since(started_at);
                    let left = Millis(SETTLE_MS.0.saturating_sub(waited.0));
                    let call = self.call_owner_once(shard, request);
                    match within(&*self.env.ports.runtime, left, call).await {
                        Some(CallOutcome::Answered(Answer::Stored)) => return Submitted::Accepted,
                        Some(
                            CallOutcome::Answered(Answer::StoreUnknown) | CallOutcome::NoAnswer,
                        )
                        | None => {
                            attempts.maybe_stored = true;
                        }
                        Some(CallOutcome::Answered(_) | CallOutcome::NotSent) => {}
                    }
                    let term = self.claims.claim(shard).map(|claim| claim.term);
                    attempts.last_asked = Some((term, self.env.now()));
                }
                Step::Append => {
                    let records = vec![record.clone()];
                    let append =
                        self.env
                            .append(Stream::Submissions, shard, records, Conditions::default());
                    let sent_at = self.env.now();
                    match append.await {
                        Ok(_) => return Submitted::Accepted,
                        Err(StoreError::Unknown) => attempts.maybe_stored = true,
                        Err(_) => {}
                    }
                    attempts.append_failing_since.get_or_insert(sent_at);
                    self.env.sleep(RETRY_MS).await;
                }
                Step::Wait => self.env.sleep(RETRY_MS).await,
                Step::GiveUp if attempts.maybe_stored => return Submitted::Unknown,
                Step::GiveUp => return Submitted::Unavailable,
            }
        }
    }

    fn submission_state(
        &self,
        shard: u32,
        started_at: MonoMs,
        attempts: &SubmissionAttempts,
    ) -> Situation {
        let now = self.env.now();
        let term = self.claims.claim(shard).map(|claim| claim.term);
        let asked = attempts.last_asked.filter(|(asked, _)| *asked == term);
        Situation {
            waited: now.since(started_at),
            has_owner: term.is_some() && !self.claims.is_unanswered(shard),
            asked_ago: asked.map(|(_, at)| now.since(at)),
            store_delay: self.env.store_latency(),
            store_failing_for: self.env.store_failing_for(),
            turned_away_for: attempts.append_failing_since.map(|since| now.since(since)),
            unsure: attempts.maybe_stored,
        }
    }

    /// State of a workflow.
    pub async fn state(&self, id: WorkflowId) -> StateLookup {
        let Some(shard) = self.shard(id) else {
            return StateLookup::Unavailable;
        };
        match self.call_owner(shard, Question::State(shard, id)).await {
            Some(Answer::State(Some(state))) => StateLookup::State(state),
            Some(Answer::State(None)) => {
                let inputs = json!({ "workflow": id.to_string(), "state": state_text(None) });
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

    /// Cancels a workflow.
    pub async fn cancel(&self, id: WorkflowId) -> Submitted {
        let outcome = self
            .store(id, Key::Cancelled(id), &Submission::Cancelled)
            .await;
        let inputs = json!({ "workflow": id.to_string(), "outcome": format!("{outcome:?}") });
        self.env.event(Event::Cancelled, &inputs);
        outcome
    }

    /// Number of waiting workflows of a queue; `None` if it cannot be told.
    pub async fn waiting(&self, queue: &Arc<str>) -> Option<u32> {
        let now = self.env.now();
        let cached = self.waiting_cache.borrow().get(queue).copied();
        if let Some((at, count)) = cached
            && now.since(at) < WAITING_CACHE_MS
        {
            return Some(count);
        }
        let shards = self.claims.layout()?.shards;
        let mut count = 0;
        for shard in 0..shards {
            match self
                .call_owner(shard, Question::Waiting(shard, queue.clone()))
                .await
            {
                Some(Answer::Waiting(waiting)) => count += waiting,
                _ => return None,
            }
        }
        self.waiting_cache
            .borrow_mut()
            .insert(queue.clone(), (now, count));
        Some(count)
    }

    /// Asks the owner of a shard, waiting for a take-over.
    async fn call_owner(&self, shard: u32, request: Question) -> Option<Answer> {
        if self.is_isolated(shard) {
            return None;
        }
        let started_at = self.env.now();
        loop {
            match self.call_owner_once(shard, request.clone()).await {
                CallOutcome::Answered(Answer::NotOwner)
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

    /// Whether neither the store nor the owner answers this node now.
    ///
    /// Callers are then told at once to go elsewhere: nothing is sent that could
    /// be carried out later.
    fn is_isolated(&self, shard: u32) -> bool {
        let lost = self.claims.claim(shard).is_some_and(|claim| {
            !self.claims.is_own(&claim) && self.links.recently_lost(claim.address)
        });
        lost && self.env.store_failing_for() >= STORE_AWAY_MS
    }

    async fn call_owner_once(&self, shard: u32, request: Question) -> CallOutcome {
        let Some(claim) = self.claims.claim(shard) else {
            return CallOutcome::NotSent;
        };
        if self.claims.is_own(&claim) {
            return CallOutcome::Answered(self.owners.answer_locally(request).await);
        }
        self.links.call(&claim.node, claim.address, request).await
    }
}

/// What was done for a submission so far.
#[derive(Default)]
struct SubmissionAttempts {
    /// It may have been stored.
    maybe_stored: bool,
    /// Term of the owner that was asked in vain, and the time of its answer.
    last_asked: Option<(Option<u64>, MonoMs)>,
    /// Time of the first append that the store did not answer with success.
    append_failing_since: Option<MonoMs>,
}

/// Request in progress.
pub struct RequestGuard(Rc<Frontend>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
