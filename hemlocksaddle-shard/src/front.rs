//! Interface for callers: submissions, states and cancellations.

use std::{cell::Cell, rc::Rc};

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_node::wait::within;
use hemlocksaddle_policy::intake::{
    Action, STORE_UNAVAILABLE_MS, SUBMISSION_TIMEOUT_MS, SubmissionState,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::stable_hash,
    workflow::{Catalogue, ShardRequest, ShardResponse, State, Submission, Workflow, WorkflowId},
};
use serde_json::json;
use std::cell::RefCell;
use std::sync::Arc;

use crate::{
    claims::Claims,
    configuration::Configuration,
    event::Event,
    links::{Asked, Links},
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
const WAITING_AGE_MS: Millis = Millis(500);

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

/// Answer to a question for a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// State.
    State(State),
    /// No such workflow.
    Gone,
    /// Cannot be told now.
    Unavailable,
}

/// Interface for callers.
pub struct Front {
    env: Rc<Env>,
    configuration: Rc<Configuration>,
    claims: Rc<Claims>,
    links: Rc<Links>,
    owners: Rc<Owners>,
    waiting: RefCell<HashMap<Arc<str>, (MonoMs, u32)>>,
    open: Cell<u32>,
}

impl Front {
    pub(crate) fn new(
        env: Rc<Env>,
        configuration: Rc<Configuration>,
        claims: Rc<Claims>,
        links: Rc<Links>,
        owners: Rc<Owners>,
    ) -> Rc<Front> {
        Rc::new(Front {
            env,
            configuration,
            claims,
            links,
            owners,
            waiting: RefCell::new(HashMap::new()),
            open: Cell::new(0),
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
    pub fn open(&self) -> u32 {
        self.open.get()
    }

    /// Counts a request as in progress until the guard is dropped.
    #[must_use]
    pub fn enter(self: &Rc<Self>) -> InProgress {
        self.open.set(self.open.get() + 1);
        InProgress(self.clone())
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
        let mut tried = Tried::default();
        loop {
            if self.is_cut_off(shard) && !tried.unsure {
                return Submitted::Unavailable;
            }
            match self.situation(shard, started_at, &tried).next_action() {
                Action::AskOwner => {
                    // The owner may be gone or cut off from the store; storing twice does no harm.
                    let question = ShardRequest::Store(shard, id, submission.clone());
                    let waited = self.env.now().since(started_at);
                    let left = Millis(SUBMISSION_TIMEOUT_MS.0.saturating_sub(waited.0));
                    let asking = self.ask_once(shard, question);
                    match within(&*self.env.ports.runtime, left, asking).await {
                        Some(Asked::Answered(ShardResponse::Stored)) => return Submitted::Accepted,
                        Some(Asked::Answered(ShardResponse::StoreUnknown) | Asked::NoAnswer)
                        | None => {
                            tried.unsure = true;
                        }
                        Some(Asked::Answered(_) | Asked::NotSent) => {}
                    }
                    let term = self.claims.claim(shard).map(|claim| claim.term);
                    tried.asked = Some((term, self.env.now()));
                }
                Action::Append => {
                    let records = vec![record.clone()];
                    let append =
                        self.env
                            .append(Stream::Submissions, shard, records, Conditions::default());
                    let sent_at = self.env.now();
                    match append.await {
                        Ok(_) => return Submitted::Accepted,
                        Err(StoreError::Unknown) => tried.unsure = true,
                        Err(_) => {}
                    }
                    tried.turned_away_since.get_or_insert(sent_at);
                    self.env.sleep(RETRY_MS).await;
                }
                Action::Wait => self.env.sleep(RETRY_MS).await,
                Action::GiveUp if tried.unsure => return Submitted::Unknown,
                Action::GiveUp => return Submitted::Unavailable,
            }
        }
    }

    fn situation(&self, shard: u32, started_at: MonoMs, tried: &Tried) -> SubmissionState {
        let now = self.env.now();
        let term = self.claims.claim(shard).map(|claim| claim.term);
        let asked = tried.asked.filter(|(asked, _)| *asked == term);
        SubmissionState {
            elapsed: now.since(started_at),
            has_owner: term.is_some() && !self.claims.is_unanswered(shard),
            since_owner_asked: asked.map(|(_, at)| now.since(at)),
            store_latency: self.env.store_delay(),
            store_failing_for: self.env.store_failed_for(),
            append_failing_for: tried.turned_away_since.map(|since| now.since(since)),
            maybe_stored: tried.unsure,
        }
    }

    /// State of a workflow.
    pub async fn state(&self, id: WorkflowId) -> Found {
        let Some(shard) = self.shard(id) else {
            return Found::Unavailable;
        };
        match self.ask(shard, ShardRequest::State(shard, id)).await {
            Some(ShardResponse::State(Some(state))) => Found::State(state),
            Some(ShardResponse::State(None)) => {
                let inputs = json!({ "workflow": id.to_string(), "state": state_text(None) });
                self.env.event(Event::StateUnknown, &inputs);
                Found::Gone
            }
            _ => {
                let inputs = json!({ "workflow": id.to_string(), "reason": "no owner answered" });
                self.env.event(Event::StateUnknown, &inputs);
                Found::Unavailable
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
        let cached = self.waiting.borrow().get(queue).copied();
        if let Some((at, count)) = cached
            && now.since(at) < WAITING_AGE_MS
        {
            return Some(count);
        }
        let shards = self.claims.layout()?.shards;
        let mut count = 0;
        for shard in 0..shards {
            match self
                .ask(shard, ShardRequest::Waiting(shard, queue.clone()))
                .await
            {
                Some(ShardResponse::Waiting(waiting)) => count += waiting,
                _ => return None,
            }
        }
        self.waiting
            .borrow_mut()
            .insert(queue.clone(), (now, count));
        Some(count)
    }

    /// Asks the owner of a shard, waiting for a take-over.
    async fn ask(&self, shard: u32, question: ShardRequest) -> Option<ShardResponse> {
        if self.is_cut_off(shard) {
            return None;
        }
        let started_at = self.env.now();
        loop {
            match self.ask_once(shard, question.clone()).await {
                Asked::Answered(ShardResponse::NotOwner) | Asked::NotSent | Asked::NoAnswer => {}
                Asked::Answered(answer) => return Some(answer),
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
    fn is_cut_off(&self, shard: u32) -> bool {
        let lost = self.claims.claim(shard).is_some_and(|claim| {
            !self.claims.is_own(&claim) && self.links.just_lost(claim.address)
        });
        lost && self.env.store_failed_for() >= STORE_UNAVAILABLE_MS
    }

    async fn ask_once(&self, shard: u32, question: ShardRequest) -> Asked {
        let Some(claim) = self.claims.claim(shard) else {
            return Asked::NotSent;
        };
        if self.claims.is_own(&claim) {
            return Asked::Answered(self.owners.answer_own(question).await);
        }
        self.links.ask(&claim.node, claim.address, question).await
    }
}

/// What was done for a submission so far.
#[derive(Default)]
struct Tried {
    /// It may have been stored.
    unsure: bool,
    /// Term of the owner that was asked in vain, and the time of its answer.
    asked: Option<(Option<u64>, MonoMs)>,
    /// Time of the first append that the store did not answer with success.
    turned_away_since: Option<MonoMs>,
}

/// Request in progress.
pub struct InProgress(Rc<Front>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
