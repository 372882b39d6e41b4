//! Carries out calls to workers for the owners of shards.
//!
//! A node offers itself to the owner of each shard and repeats the offer. It checks
//! only the term of a call: after it has seen a higher one, it declines calls of the
//! former owner, which may not have noticed yet that it was replaced.
//!
//! A node that is stopping declines new calls and ends its open report requests, so
//! that owners move its workers to other delegates. It completes orders that it has begun.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use futures_util::future::{Either, select};
use hemlocksaddle_node::wait::{Signal, within};
use hemlocksaddle_policy::delegation::{OFFER_INTERVAL_MS, should_offer};
use hemlocksaddle_types::{
    clock::Millis,
    delegation::{Action, DelegatedAnswer, DelegatedCall, Offer, StartAnswer, WorkerError},
    workflow::{Run, ShardRequest, TaskName, WorkflowId},
};

use crate::{
    claims::Claims,
    links::Links,
    node::Env,
    ports::{ReportRequest, StartCall, Timed},
};

/// Number of workflows whose texts are kept, of at most 4,000 bytes each.
const MAX_TEXTS: usize = 2_000;

/// Time limit of an offer.
const OFFER_TIMEOUT_MS: Millis = Millis(500);

/// Texts of workflows, the oldest first.
#[derive(Default)]
struct Texts {
    by_workflow: HashMap<WorkflowId, Arc<str>>,
    order: VecDeque<WorkflowId>,
}

impl Texts {
    fn insert(&mut self, workflow: WorkflowId, text: Arc<str>) {
        if self.by_workflow.insert(workflow, text).is_none() {
            self.order.push_back(workflow);
        }
        if self.order.len() > MAX_TEXTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_workflow.remove(&oldest);
        }
    }
}

/// Carries out delegated calls.
pub(crate) struct Delegate {
    env: Rc<Env>,
    texts: RefCell<Texts>,
    /// Highest term seen of each shard.
    terms: RefCell<HashMap<u32, u64>>,
    is_stopping: Cell<bool>,
    /// Notified when the node begins to stop.
    stopped: Signal,
}

impl Delegate {
    pub(crate) fn new(env: Rc<Env>) -> Rc<Delegate> {
        Rc::new(Delegate {
            env,
            texts: RefCell::default(),
            terms: RefCell::default(),
            is_stopping: Cell::new(false),
            stopped: Signal::default(),
        })
    }

    /// Declines calls from now on.
    pub(crate) fn stop(&self) {
        self.is_stopping.set(true);
        self.stopped.notify();
    }

    /// Carries out a call for the owner of a shard.
    pub(crate) async fn carry_out(&self, shard: u32, call: DelegatedCall) -> DelegatedAnswer {
        if !self.accepts_term(shard, call.term) || self.is_stopping.get() {
            return DelegatedAnswer::Declined;
        }
        let is_report = matches!(call.action, Action::Report(..));
        let timeout = call.timeout;
        let unanswered = match &call.action {
            Action::Start(..) => DelegatedAnswer::Start(Timed {
                clock_ms: None,
                born_ms: None,
                value: StartAnswer::Unknown,
            }),
            Action::Stop(..) | Action::Pace(..) => {
                DelegatedAnswer::Order(Err(WorkerError::Unknown))
            }
            Action::Report(..) => DelegatedAnswer::Report(Err(WorkerError::Unknown)),
        };
        let called = within(&*self.env.ports.runtime, timeout, self.call_worker(call));
        if !is_report {
            return called.await.unwrap_or(unanswered);
        }
        // Unlike an order, a report request may be repeated at once whether it was sent or not.
        let stopped = self.stopped.wait_past(self.stopped.count());
        match select(pin!(called), pin!(stopped)).await {
            Either::Left((answer, _)) => answer.unwrap_or(unanswered),
            Either::Right(_) => DelegatedAnswer::Declined,
        }
    }

    fn accepts_term(&self, shard: u32, term: u64) -> bool {
        let mut terms = self.terms.borrow_mut();
        let highest = terms.entry(shard).or_default();
        *highest = (*highest).max(term);
        term == *highest
    }

    async fn call_worker(&self, call: DelegatedCall) -> DelegatedAnswer {
        let fleet = &self.env.ports.fleet;
        let (worker, term) = (&call.worker, call.term);
        let task = call.action.task();
        match (call.action, task) {
            (Action::Start(_, run, text, checkpoint, lease_until_ms), Some(task)) => {
                let Some(text) = self.text(task, text) else {
                    return DelegatedAnswer::TextMissing;
                };
                let start = StartCall {
                    task,
                    run: Run(run),
                    text,
                    checkpoint,
                    lease_until_ms,
                    term,
                };
                DelegatedAnswer::Start(fleet.start(worker, start).await)
            }
            (Action::Stop(_, run), Some(task)) => {
                DelegatedAnswer::Order(fleet.stop(worker, task, Run(run), term).await)
            }
            (Action::Pace(_, run, percent), Some(task)) => {
                let sent = fleet.pace(worker, task, Run(run), percent, term);
                DelegatedAnswer::Order(sent.await)
            }
            (Action::Report(lease_until_ms, saved_ends, wait), _) => {
                let request = ReportRequest {
                    lease_until_ms,
                    saved_ends,
                    wait,
                    term,
                };
                DelegatedAnswer::Report(fleet.fetch_report(worker, request).await)
            }
            (_, None) => DelegatedAnswer::Declined,
        }
    }

    /// Text of a task's workflow; a given one is kept for later starts.
    fn text(&self, task: TaskName, given: Option<Arc<str>>) -> Option<Arc<str>> {
        let mut texts = self.texts.borrow_mut();
        if let Some(text) = given {
            texts.insert(task.workflow, text);
        }
        texts.by_workflow.get(&task.workflow).cloned()
    }
}

/// Offers this node to the owners of all shards until the process ends.
pub(crate) async fn offer_delegation(env: Rc<Env>, claims: Rc<Claims>, links: Rc<Links>) {
    loop {
        let shards = claims.layout().map_or(0, |layout| layout.shards);
        for shard in 0..shards {
            env.spawn(offer_to_owner(
                env.clone(),
                claims.clone(),
                links.clone(),
                shard,
            ));
        }
        env.sleep(OFFER_INTERVAL_MS).await;
    }
}

/// Offers this node to the owner of a shard once.
pub(crate) async fn offer_to_owner(env: Rc<Env>, claims: Rc<Claims>, links: Rc<Links>, shard: u32) {
    let Some(claim) = claims.claim(shard) else {
        return;
    };
    let settings = &env.settings;
    let cpu_milli = settings.cpu_milli();
    if claims.is_own(&claim) || !should_offer(cpu_milli, claim.cpu_milli) {
        return;
    }
    let offer = Offer {
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.peer_address,
        cpu_milli,
        link_kbps: settings.link_kbps,
        available: !claims.stopping.get(),
        started_ms: env.started_ms,
        store_latency_ms: Some(env.store_latency()),
        store_failing_ms: env.store_failing_for(),
    };
    let request = ShardRequest::Offer(shard, offer);
    let sent = links.call_within(&claim.node, claim.address, request, OFFER_TIMEOUT_MS);
    // An owner that misses an offer receives the next one.
    let _ = sent.await;
}
