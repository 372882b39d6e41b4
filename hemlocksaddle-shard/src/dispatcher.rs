//! Calls of an owner to its workers, made directly or through delegates.
//!
//! `hemlocksaddle_policy::delegation` decides which nodes are delegates and through
//! which one a worker is called. A call that was certainly not sent to the delegate
//! is made directly, and one that it declined through another. One that got no answer
//! has an unknown outcome, as if the worker had not answered; the owner repeats it,
//! by then through another node.

use std::{cell::RefCell, rc::Rc};

use foldhash::{HashMap, HashSet};
use hemlocksaddle_policy::{
    delegation::{Delegate, Delegates},
    workflow::Listing,
};
use hemlocksaddle_types::{
    clock::Millis,
    delegation::{Action, DelegatedAnswer, DelegatedCall, Offer, Report, StartAnswer},
    name::NodeName,
    workflow::{Run, ShardRequest, ShardResponse, TaskName, WorkflowId},
};
use serde_json::json;

use crate::{
    event::Event,
    links::{CallOutcome, Links},
    node::Env,
    ports::{ReportRequest, StartCall, Timed, WorkerError},
};

/// Time without any message of a delegate after which an unanswered call counts against it.
///
/// Each of its workers answers a report request at least once a second, so that a working
/// delegate with several workers is heard much more often.
const DELEGATE_SILENT_MS: Millis = Millis(700);

/// Time by which a delegate gives up a call before the owner does, so that its answer shows that the
/// worker is silent and not the delegate.
const ANSWER_MARGIN_MS: u64 = 40;

/// Number of workflows per delegate whose text it is assumed to keep; below what it keeps.
const MAX_KNOWN_TEXTS: usize = 1_000;

/// Workflows whose text was sent to a delegate.
type KnownTexts = Rc<RefCell<HashSet<WorkflowId>>>;

/// Outcome of a delegated call.
enum Outcome {
    Answered(DelegatedAnswer),
    /// Certainly not carried out.
    NotSent,
    /// Not carried out, since the delegate is stopping.
    Declined,
    NoAnswer,
}

/// Sender of an owner's calls to workers.
pub(crate) struct Dispatcher {
    env: Rc<Env>,
    links: Rc<Links>,
    shard: u32,
    term: u64,
    delegates: RefCell<Delegates>,
    known_texts: RefCell<HashMap<NodeName, KnownTexts>>,
}

impl Dispatcher {
    pub(crate) fn new(env: Rc<Env>, links: Rc<Links>, shard: u32, term: u64) -> Dispatcher {
        let settings = &env.settings;
        let delegates = Delegates::new(settings.cpu_milli(), settings.link_kbps);
        Dispatcher {
            env,
            links,
            shard,
            term,
            delegates: RefCell::new(delegates),
            known_texts: RefCell::default(),
        }
    }

    /// Records the offer of a node.
    pub(crate) fn record_offer(&self, offer: Offer) {
        if offer.available {
            self.links.prepare(&offer.node, offer.address);
        }
        self.delegates
            .borrow_mut()
            .record_offer(offer, self.env.now());
    }

    /// Chooses the delegates for a number of workers.
    pub(crate) fn choose_delegates(&self, workers: usize) {
        let mut delegates = self.delegates.borrow_mut();
        delegates.record_connections(|address| self.links.is_open(address));
        if !delegates.choose(workers, self.env.now()) {
            return;
        }
        let names: Vec<_> = delegates.active().iter().map(|d| d.node.as_str()).collect();
        let inputs = json!({
            "shard": self.shard, "term": self.term, "workers": workers, "delegates": names,
        });
        self.env.event(Event::DelegatesChosen, &inputs);
        let count = i64::try_from(names.len()).unwrap_or(i64::MAX);
        self.env.metrics.delegates.set(count);
    }

    /// Node that should own the shard next, if one is known.
    pub(crate) fn successor(&self) -> Option<NodeName> {
        let delegates = self.delegates.borrow();
        delegates
            .successor(self.env.started_ms, self.env.now())
            .cloned()
    }

    /// Node that may recover the shard sooner than this one, if one is known.
    pub(crate) fn better_owner(&self) -> Option<NodeName> {
        let settings = &self.env.settings;
        let (store, now) = (self.env.store_view(), self.env.now());
        let delegates = self.delegates.borrow();
        delegates
            .better_owner(settings.cpu_milli(), settings.link_kbps, store, now)
            .cloned()
    }

    /// Node that should own the shard after it was offered to `named` for `waited`.
    pub(crate) fn next_successor(
        &self,
        named: Option<&NodeName>,
        waited: Millis,
    ) -> Option<NodeName> {
        let delegates = self.delegates.borrow();
        let started_ms = self.env.started_ms;
        delegates
            .next_successor(named, started_ms, waited, self.env.now())
            .cloned()
    }

    fn route(&self, worker: &Listing) -> Option<Delegate> {
        let rack = worker.rack().unwrap_or(&worker.name);
        let delegates = self.delegates.borrow();
        delegates.route(&worker.data_centre, rack).cloned()
    }

    fn known_texts(&self, node: &NodeName) -> KnownTexts {
        let mut known = self.known_texts.borrow_mut();
        known.entry(node.clone()).or_default().clone()
    }

    /// Orders a task to start.
    pub(crate) async fn start(
        &self,
        worker: &Listing,
        call: StartCall,
        timeout: Millis,
    ) -> Timed<StartAnswer> {
        let unknown = Timed {
            clock_ms: None,
            born_ms: None,
            value: StartAnswer::Unknown,
        };
        while let Some(delegate) = self.route(worker) {
            match self.delegate_start(&delegate, worker, &call, timeout).await {
                Outcome::Answered(DelegatedAnswer::Start(answer)) => return answer,
                Outcome::NoAnswer => return unknown,
                Outcome::Declined => {}
                Outcome::Answered(_) | Outcome::NotSent => break,
            }
        }
        let sent = self.env.ports.fleet.start(&worker.endpoint(), call);
        self.limit(timeout, sent).await.unwrap_or(unknown)
    }

    async fn delegate_start(
        &self,
        delegate: &Delegate,
        worker: &Listing,
        call: &StartCall,
        timeout: Millis,
    ) -> Outcome {
        let texts = self.known_texts(&delegate.node);
        let workflow = call.task.workflow;
        let is_known = texts.borrow().contains(&workflow);
        let action = Action::start(call, !is_known);
        let mut outcome = self.delegate(delegate, worker, action, timeout).await;
        if matches!(outcome, Outcome::Answered(DelegatedAnswer::TextMissing)) {
            texts.borrow_mut().remove(&workflow);
            let action = Action::start(call, true);
            outcome = self.delegate(delegate, worker, action, timeout).await;
        }
        if matches!(outcome, Outcome::Answered(DelegatedAnswer::Start(_))) {
            let mut texts = texts.borrow_mut();
            if texts.len() >= MAX_KNOWN_TEXTS {
                texts.clear();
            }
            texts.insert(workflow);
        }
        outcome
    }

    /// Orders a run to stop.
    pub(crate) async fn stop(
        &self,
        worker: &Listing,
        task: TaskName,
        run: Run,
        timeout: Millis,
    ) -> Result<(), WorkerError> {
        let action = Action::stop(task, run);
        if let Some(answer) = self.delegate_order(worker, action, timeout).await {
            return answer;
        }
        let fleet = &self.env.ports.fleet;
        let sent = fleet.stop(&worker.endpoint(), task, run, self.term);
        let answer = self.limit(timeout, sent).await;
        answer.unwrap_or(Err(WorkerError::Unknown))
    }

    /// Sets the share of its processors that a run may use, in percent.
    pub(crate) async fn pace(
        &self,
        worker: &Listing,
        task: TaskName,
        run: Run,
        percent: u8,
        timeout: Millis,
    ) -> Result<(), WorkerError> {
        let action = Action::pace(task, run, percent);
        if let Some(answer) = self.delegate_order(worker, action, timeout).await {
            return answer;
        }
        let fleet = &self.env.ports.fleet;
        let sent = fleet.pace(&worker.endpoint(), task, run, percent, self.term);
        let answer = self.limit(timeout, sent).await;
        answer.unwrap_or(Err(WorkerError::Unknown))
    }

    async fn delegate_order(
        &self,
        worker: &Listing,
        action: Action,
        timeout: Millis,
    ) -> Option<Result<(), WorkerError>> {
        loop {
            let delegate = self.route(worker)?;
            let called = self.delegate(&delegate, worker, action.clone(), timeout);
            match called.await {
                Outcome::Answered(DelegatedAnswer::Order(answer)) => return Some(answer),
                Outcome::NoAnswer => return Some(Err(WorkerError::Unknown)),
                Outcome::Declined => {}
                Outcome::Answered(_) | Outcome::NotSent => return None,
            }
        }
    }

    /// Requests a report.
    pub(crate) async fn fetch_report(
        &self,
        worker: &Listing,
        request: ReportRequest,
        timeout: Millis,
    ) -> Result<Timed<Report>, WorkerError> {
        while let Some(delegate) = self.route(worker) {
            let ReportRequest {
                lease_until_ms,
                saved_ends,
                wait,
                ..
            } = request;
            let action = Action::Report(lease_until_ms, saved_ends, wait);
            match self.delegate(&delegate, worker, action, timeout).await {
                Outcome::Answered(DelegatedAnswer::Report(answer)) => return answer,
                Outcome::NoAnswer => return Err(WorkerError::Unknown),
                Outcome::Declined => {}
                Outcome::Answered(_) | Outcome::NotSent => break,
            }
        }
        let fleet = &self.env.ports.fleet;
        let sent = fleet.fetch_report(&worker.endpoint(), request);
        let answer = self.limit(timeout, sent).await;
        answer.unwrap_or(Err(WorkerError::Unknown))
    }

    async fn limit<T>(&self, timeout: Millis, call: impl Future<Output = T>) -> Option<T> {
        hemlocksaddle_node::wait::within(&*self.env.ports.runtime, timeout, call).await
    }

    async fn delegate(
        &self,
        delegate: &Delegate,
        worker: &Listing,
        action: Action,
        timeout: Millis,
    ) -> Outcome {
        let call = DelegatedCall {
            worker: worker.endpoint(),
            term: self.term,
            timeout: Millis(timeout.0.saturating_sub(ANSWER_MARGIN_MS)),
            action,
        };
        let request = ShardRequest::Delegate(self.shard, Box::new(call));
        let sent_at = self.env.now();
        let called = self
            .links
            .call_within(&delegate.node, delegate.address, request, timeout);
        let outcome = called.await;
        let label = match &outcome {
            CallOutcome::Answered(_) => "answered",
            CallOutcome::NotSent => "not sent",
            CallOutcome::NoAnswer => "no answer",
        };
        let calls = &self.env.metrics.delegated_calls;
        calls.with_label_values(&[label]).inc();
        match outcome {
            CallOutcome::Answered(ShardResponse::Delegated(DelegatedAnswer::Declined)) => {
                self.stop_using(delegate, "is stopping", |delegates| {
                    delegates.record_declined(&delegate.node);
                });
                Outcome::Declined
            }
            CallOutcome::Answered(ShardResponse::Delegated(answer)) => {
                let now = self.env.now();
                let mut delegates = self.delegates.borrow_mut();
                delegates.record_answer(&delegate.node, now);
                Outcome::Answered(answer)
            }
            CallOutcome::Answered(_) => {
                self.drop_delegate(delegate, "does not take delegated calls");
                Outcome::NotSent
            }
            CallOutcome::NotSent => {
                self.stop_using(delegate, "cannot be reached", |delegates| {
                    delegates.record_disconnected(&delegate.node);
                });
                Outcome::NotSent
            }
            CallOutcome::NoAnswer => {
                // Late answers to earlier calls show that the path is slow and the delegate alive.
                let heard_at = self.links.heard_at(delegate.address);
                let heard_at = heard_at.unwrap_or(sent_at).max(sent_at);
                if self.env.now().since(heard_at) >= DELEGATE_SILENT_MS.min(timeout) {
                    self.drop_delegate(delegate, "does not answer");
                }
                Outcome::NoAnswer
            }
        }
    }

    fn drop_delegate(&self, delegate: &Delegate, reason: &str) {
        let now = self.env.now();
        self.stop_using(delegate, reason, |delegates| {
            delegates.record_failure(&delegate.node, now);
        });
    }

    fn stop_using(&self, delegate: &Delegate, reason: &str, record: impl FnOnce(&mut Delegates)) {
        let mut delegates = self.delegates.borrow_mut();
        let was_active = delegates.active().contains(delegate);
        record(&mut delegates);
        drop(delegates);
        self.known_texts.borrow_mut().remove(&delegate.node);
        if was_active {
            let inputs = json!({
                "shard": self.shard, "delegate": delegate.node.as_str(), "reason": reason,
            });
            self.env.event(Event::DelegateLost, &inputs);
        }
    }
}
