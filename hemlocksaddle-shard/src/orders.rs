//! Delivery of orders to workers, with retries.

use std::rc::Rc;

use hemlocksaddle_policy::{
    congestion::StartWindow,
    workflow::{Order, Start, StartAnswer, WorkerKey},
};
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Run, TaskName},
};
use serde_json::json;

use crate::{
    event::Event,
    owner::Owner,
    ports::{StartCall, WorkerError},
    worker_poll::Process,
};

/// Shortest timeout of an order; a hundred times the round trip to a worker.
const MIN_ANSWER_TIMEOUT_MS: Millis = Millis(400);

/// Longest timeout of an order, while answers take long.
const MAX_ANSWER_TIMEOUT_MS: Millis = Millis(2_000);

/// Pause before an order is sent again.
const RESEND_MS: Millis = Millis(40);

/// Longest pause before a stop order is sent again.
const MAX_RESEND_MS: Millis = Millis(500);

/// Interval at which an order checks whether its worker answers reports again.
const SILENT_CHECK_MS: Millis = Millis(100);

/// Number of unanswered orders to start a run after which a stop order cancels it.
const MAX_UNANSWERED: u32 = 3;

/// Time after which a worker refuses a delayed start order.
const START_EXPIRY_MS: Millis = Millis(3_000);

impl Owner {
    /// Sends an order in the background.
    pub(crate) fn dispatch(self: &Rc<Self>, order: Order) {
        let owner = self.clone();
        match order {
            Order::Start(start) => self.env.spawn(async move { owner.start(start).await }),
            Order::Stop { worker, task, run } => {
                self.env
                    .spawn(async move { owner.stop(worker, task, run).await });
            }
            Order::Pace {
                worker,
                task,
                run,
                percent,
            } => {
                self.env
                    .spawn(async move { owner.pace(worker, task, run, percent).await });
            }
        }
    }

    async fn start(self: Rc<Self>, start: Start) {
        let mut unanswered = 0;
        loop {
            let (answer, process) = self.send_start(&start).await;
            self.count_order("start", &format!("{answer:?}"));
            let again = self
                .scheduler
                .borrow_mut()
                .start_answered(&start, answer, self.env.now());
            match process {
                Process::Listed => {}
                Process::Later(born_ms) => {
                    self.replace_worker(start.worker, born_ms);
                }
                Process::Unknown => {
                    self.scheduler.borrow_mut().doubt_worker(start.worker);
                    self.fetch_report_now(start.worker);
                }
            }
            if answer == StartAnswer::Fenced {
                return self.step_down("worker has seen a higher term");
            }
            if answer != StartAnswer::Accepted {
                self.changed.notify();
            }
            if !again {
                return;
            }
            unanswered += 1;
            self.env.sleep(RESEND_MS).await;
            // A report shows whether the run began; until then a repeat would only add load.
            while self.is_silent(start.worker) && self.scheduler.borrow().is_start_pending(&start) {
                self.env.sleep(SILENT_CHECK_MS).await;
            }
            if !self.scheduler.borrow().is_start_pending(&start) {
                return;
            }
            // Waiting for a delayed repeat would delay the task: it starts elsewhere only after an order to stop was answered.
            if unanswered >= MAX_UNANSWERED || !self.may_repeat(start.worker) {
                self.scheduler.borrow_mut().abandon_start(&start);
                self.changed.notify();
                return;
            }
        }
    }

    fn is_silent(&self, worker: WorkerKey) -> bool {
        let scheduler = self.scheduler.borrow();
        !self.ended.get() && scheduler.worker(worker).is_some_and(|w| w.is_silent())
    }

    /// Whether an order may be repeated at a worker now; if so, the repeat counts as sent.
    fn may_repeat(&self, worker: WorkerKey) -> bool {
        self.worker_calls.take_repeat(worker, self.env.now())
    }

    /// Records whether an order was answered; one that was not sent opened no connection.
    fn record_order(&self, worker: WorkerKey, unsent: bool, answered: bool) {
        if !unsent {
            let now = self.env.now();
            self.worker_calls.record_order(worker, answered, now);
        }
    }

    /// Timeout of an order, from the latency of recent answers.
    fn answer_timeout(&self) -> Millis {
        let latency = self.latency.get();
        latency.timeout(MIN_ANSWER_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS)
    }

    /// Sends an order to start; returns the answer and the process that it came from.
    async fn send_start(self: &Rc<Self>, start: &Start) -> (StartAnswer, Process) {
        self.hold_for_release(start.worker);
        self.wait_for_release(start.worker).await;
        // The task may have been cancelled, or have started elsewhere, while its order waited.
        if !self.scheduler.borrow().is_start_pending(start) {
            return (StartAnswer::NotSent, Process::Listed);
        }
        let Some(listing) = self.listing(start.worker) else {
            return (StartAnswer::OtherLife, Process::Listed);
        };
        let clock = self.clocks.borrow().get(&start.worker).copied();
        let may_grant = |worker: &_| self.may_grant_lease(worker);
        let may_grant = self
            .scheduler
            .borrow()
            .worker(start.worker)
            .is_some_and(may_grant);
        let may_start = self.holds_lease() && may_grant;
        let Some(clock) = clock.filter(|_| may_start) else {
            return (StartAnswer::NotSent, Process::Listed);
        };
        let lease_until_ms = clock.deadline_in(self.env.now(), START_EXPIRY_MS);
        let passed_by = clock.passed_by(lease_until_ms);
        self.scheduler
            .borrow_mut()
            .extend_lease(start.worker, passed_by);
        let call = StartCall {
            task: start.name,
            run: start.run,
            text: start.text.clone(),
            checkpoint: start.checkpoint.clone(),
            lease_until_ms,
            term: self.term,
        };
        let sent_at = self.env.now();
        self.update_window(StartWindow::sent);
        let sent = self.dispatcher.start(&listing, call, self.answer_timeout());
        let timed = sent.await;
        let now = self.env.now();
        if timed.clock_ms.is_some() {
            self.record_latency(sent_at);
            self.update_window(|window| window.answered(sent_at, now));
        } else {
            self.update_window(|window| window.lost(sent_at, now));
        }
        let answer = timed.value;
        let unsent = answer == StartAnswer::NotSent;
        self.record_order(start.worker, unsent, answer != StartAnswer::Unknown);
        let process = self.check_answer(start.worker, &listing, &timed, sent_at);
        let inputs = json!({
            "task": start.name.to_string(), "run": start.run.0, "worker": &*listing.name,
            "term": self.term, "lease_until_ms": lease_until_ms,
            "waited_ms": start.waited.0, "resumed": start.checkpoint.is_some(), "answer": format!("{answer:?}"),
            "process": format!("{process:?}"),
        });
        self.env.event(Event::StartAnswered, &inputs);
        (answer, process)
    }

    fn update_window(&self, update: impl FnOnce(&mut StartWindow)) {
        let mut window = self.start_window.get();
        let was_full = window.available() == 0;
        update(&mut window);
        self.start_window.set(window);
        if was_full && window.available() > 0 {
            self.changed.notify();
        }
    }

    async fn stop(self: Rc<Self>, worker: WorkerKey, task: TaskName, run: Run) {
        let mut pause = RESEND_MS;
        let mut is_repeat = false;
        loop {
            let listing = self.listing(worker);
            let Some(listing) = listing.filter(|_| !self.ended.get()) else {
                return;
            };
            if self.is_silent(worker) || (is_repeat && !self.may_repeat(worker)) {
                if !self.scheduler.borrow().is_stop_pending(worker, task, run) {
                    return;
                }
                self.env.sleep(SILENT_CHECK_MS).await;
                continue;
            }
            let timeout = self.answer_timeout();
            let answer = self.dispatcher.stop(&listing, task, run, timeout).await;
            self.count_order("stop", &format!("{answer:?}"));
            is_repeat = true;
            let unsent = answer == Err(WorkerError::NotSent);
            let answered = answer != Err(WorkerError::Unknown);
            self.record_order(worker, unsent, answered);
            let inputs = json!({
                "task": task.to_string(), "run": run.0, "worker": &*listing.name,
                "term": self.term, "answer": format!("{answer:?}"),
            });
            self.env.event(Event::StopOrdered, &inputs);
            match answer {
                Ok(()) | Err(WorkerError::Refused) => {
                    let now = self.env.now();
                    self.scheduler
                        .borrow_mut()
                        .stop_answered(worker, task, run, now);
                    self.fetch_report_now(worker);
                    return;
                }
                Err(WorkerError::Fenced) => return self.step_down("worker has seen a higher term"),
                Err(WorkerError::OtherLife) => return,
                Err(WorkerError::NotSent | WorkerError::Unknown) => {}
            }
            if !self.scheduler.borrow().is_stop_pending(worker, task, run) {
                return;
            }
            self.env.sleep(pause).await;
            pause = Millis((pause.0 * 2).min(MAX_RESEND_MS.0));
        }
    }

    fn count_order(&self, order: &str, answer: &str) {
        let orders = &self.env.metrics.orders;
        orders.with_label_values(&[order, answer]).inc();
    }

    async fn pace(self: Rc<Self>, worker: WorkerKey, task: TaskName, run: Run, percent: u8) {
        let listing = self.listing(worker);
        let Some(listing) = listing.filter(|_| self.holds_lease()) else {
            return self.scheduler.borrow_mut().pace_unknown(task, run);
        };
        let timeout = self.answer_timeout();
        let paced = self.dispatcher.pace(&listing, task, run, percent, timeout);
        let answer = paced.await;
        self.count_order("pace", &format!("{answer:?}"));
        let inputs = json!({
            "task": task.to_string(), "run": run.0, "worker": &*listing.name,
            "percent": percent, "answer": format!("{answer:?}"),
        });
        self.env.event(Event::Paced, &inputs);
        if answer.is_err() {
            self.scheduler.borrow_mut().pace_unknown(task, run);
        }
    }
}
