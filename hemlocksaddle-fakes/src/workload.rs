//! Random load of callers and operators: synchronous requests, jobs and publications.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use hemlocksaddle_node::invariant::Invariant;
use hemlocksaddle_types::{
    clock::Millis,
    document::Revision,
    job::{JobId, JobSpec, Urgency},
    outcome::{ResultCode, RunState},
    request::{QuickRequest, QuickResponse, RequestId},
    resources::Resources,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use crate::{
    checker::Rule, cluster::Cluster, platform::name, runtime::ENVIRONMENT, workers::TaskBehaviour,
};

/// Mean time between synchronous requests per executor, at normal load.
const REQUEST_INTERVAL_US: u64 = 600_000;
/// Mean time between jobs per worker, at normal load.
const JOB_INTERVAL_US: u64 = 60_000_000;
/// Delay before a caller retries a call.
const RETRY_DELAY: Millis = Millis(2_000);
/// Maximum number of times that a caller submits a job.
const MAX_SUBMISSIONS: u32 = 8;

/// Load generator, with what its callers observed.
pub struct Workload {
    /// Nodes under load.
    pub cluster: Rc<Cluster>,
    /// Load in percent of the normal load.
    pub load_percent: Cell<u64>,
    /// Data centres that the operators' document marks as out.
    pub data_centres_out: RefCell<BTreeSet<&'static str>>,
    /// Number of calls without a response so far.
    pub open_calls: Cell<u64>,
    /// Latencies of completed synchronous requests, in milliseconds.
    pub latencies: RefCell<Vec<u64>>,
    /// Number of synchronous requests by result code; 0 stands for no response.
    pub results: RefCell<BTreeMap<u16, u64>>,
    /// Acknowledged jobs.
    pub jobs: RefCell<Vec<JobId>>,
    arrivals_stopped: Cell<bool>,
    random: RefCell<Pcg64Mcg>,
    published: RefCell<BTreeSet<Revision>>,
}

impl Workload {
    /// Starts callers and publishes the first document.
    #[must_use]
    pub fn start(cluster: &Rc<Cluster>, seed: u64) -> Rc<Workload> {
        let workload = Rc::new(Workload {
            cluster: cluster.clone(),
            load_percent: Cell::new(100),
            data_centres_out: RefCell::default(),
            open_calls: Cell::default(),
            latencies: RefCell::default(),
            results: RefCell::default(),
            jobs: RefCell::default(),
            arrivals_stopped: Cell::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            published: RefCell::default(),
        });
        workload.spawn(workload.clone().publish());
        let deployment = &cluster.platform.deployment;
        let request_us = REQUEST_INTERVAL_US / deployment.executors as u64;
        let job_us = JOB_INTERVAL_US / deployment.workers.0 as u64;
        workload.spawn(
            workload
                .clone()
                .generate_arrivals(request_us, |workload, number| {
                    workload.spawn(workload.clone().run_request(number));
                }),
        );
        workload.spawn(
            workload
                .clone()
                .generate_arrivals(job_us, |workload, number| {
                    workload.spawn(workload.clone().run_job(number));
                }),
        );
        workload
    }

    /// Stops the arrival of new requests and jobs.
    pub fn stop_arrivals(&self) {
        self.arrivals_stopped.set(true);
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.cluster.platform.sim.spawn(ENVIRONMENT, future);
    }

    /// Uniform random number below a bound.
    pub fn below(&self, bound: u64) -> u64 {
        self.random.borrow_mut().random_range(0..bound.max(1))
    }

    async fn sleep(&self, duration: Millis) {
        self.cluster.platform.sim.sleep(duration).await;
    }

    /// Picks a serving node at random, as a load balancer does; waits until there is one.
    async fn pick_node(&self) -> usize {
        loop {
            let serving = self.cluster.serving();
            if let Some(index) = serving.choose(&mut *self.random.borrow_mut()) {
                return *index;
            }
            self.sleep(Millis(100)).await;
        }
    }

    async fn generate_arrivals(self: Rc<Self>, mean_us: u64, arrive: impl Fn(&Rc<Workload>, u64)) {
        for number in 0.. {
            let wait_us = self.below(2 * mean_us) * 100 / self.load_percent.get().max(1);
            let at_us = self.cluster.platform.sim.now_us() + wait_us;
            self.cluster.platform.sim.sleep_until(at_us).await;
            if self.arrivals_stopped.get() {
                return;
            }
            arrive(&self, number);
        }
    }

    async fn run_request(self: Rc<Self>, number: u64) {
        let idempotent = self.below(10) < 7;
        let tag: Arc<str> = format!("request-{number}").into();
        let header = |key: &str, value: String| (Arc::from(key), Arc::from(value));
        let request = QuickRequest {
            id: RequestId {
                node: name("caller"),
                started_ms: 0,
                number,
            },
            service: self.cluster.platform.service(),
            key: (!idempotent).then(|| name(&tag)),
            idempotent,
            deadline_ms: Millis(500 + self.below(5_000)),
            urgency: Urgency::Normal,
            headers: BTreeMap::from([
                header("tag", tag.to_string()),
                header("service-ms", (10 + self.below(40)).to_string()),
            ]),
            body: Bytes::from(format!("order {number}")),
        };
        let repeated = (!idempotent && self.below(5) == 0).then(|| request.clone());
        self.send(request, &tag, true).await;
        if let Some(request) = repeated {
            self.cluster.platform.checker.submitted_again(&tag);
            self.send(request, &tag, false).await;
        }
    }

    async fn send(&self, mut request: QuickRequest, tag: &Arc<str>, first: bool) {
        let sim = &self.cluster.platform.sim;
        let (sent, entry) = (sim.now().0, self.pick_node().await);
        let expected = [b"answer to ", &*request.body].concat();
        self.open_calls.set(self.open_calls.get() + 1);
        let response: Option<QuickResponse> = self
            .cluster
            .call(entry, |member| async move {
                request.id = member.requests.next_request_id();
                member.requests.execute(request).await
            })
            .await;
        self.open_calls.set(self.open_calls.get() - 1);
        let code = response.as_ref().map(|response| response.code);
        let number = code.map_or(0, ResultCode::number);
        *self.results.borrow_mut().entry(number).or_default() += 1;
        let Some(response) = response else {
            return;
        };
        let is_done = response.code.run_state() == RunState::Done;
        if first || is_done {
            let body_matches = response.body == expected;
            self.cluster
                .platform
                .checker
                .response_received(tag, response.code, body_matches);
        }
        if first && is_done {
            self.latencies.borrow_mut().push(sim.now().0 - sent);
        }
    }

    async fn run_job(self: Rc<Self>, number: u64) {
        let spec = self.random_job(number);
        let tag: Arc<str> = format!("job-{number}").into();
        let checker = &self.cluster.platform.checker;
        for _ in 0..MAX_SUBMISSIONS {
            let entry = self.pick_node().await;
            let submitted = spec.clone();
            self.open_calls.set(self.open_calls.get() + 1);
            let response = self
                .cluster
                .call(entry, |member| async move {
                    member.queues.submit(submitted).await
                })
                .await;
            self.open_calls.set(self.open_calls.get() - 1);
            match response {
                Some(Ok(job)) => return self.handle_accepted(job).await,
                Some(Err((code, _))) if code.run_state() == RunState::NotRun => {
                    checker.refused(&tag);
                    if code == ResultCode::CanNeverRun {
                        return;
                    }
                    self.sleep(RETRY_DELAY).await;
                    checker.submitted_again(&tag);
                }
                _ => self.sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Random job; declared sizes and run times are often wrong, and some jobs can never run.
    fn random_job(&self, number: u64) -> JobSpec {
        let tag = format!("job-{number}");
        let kind = self.below(20);
        let expected_run_ms = 2_000 + self.below(60_000);
        let behaviour = TaskBehaviour {
            run_ms: expected_run_ms * [100, 100, 30, 300][self.below(4) as usize] / 100,
            usage_percent: [100, 80, 100, 160][self.below(4) as usize],
            fails: kind == 1,
        };
        self.cluster
            .platform
            .task_behaviours
            .borrow_mut()
            .insert(tag.as_str().into(), behaviour);
        let capacity = self.cluster.platform.deployment.capacity;
        let share = if kind == 0 { 40 } else { 1 + self.below(8) };
        let deployment = &self.cluster.platform.deployment;
        JobSpec {
            service: self.cluster.platform.service(),
            team: name(deployment.team),
            key: Some(name(&tag)),
            body_hash: number,
            tasks: 1 + u32::try_from(self.below(4)).unwrap_or(0),
            demand: Resources {
                cpu_milli: capacity.cpu_milli * share / 16,
                memory_mb: capacity.memory_mb * share / 20,
                accelerators: 0,
            },
            expected_run_ms,
            urgency: [
                Urgency::Urgent,
                Urgency::Normal,
                Urgency::Batch,
                Urgency::Batch,
            ][self.below(4) as usize],
            idempotent: self.below(2) == 0,
            resumable: self.below(2) == 0,
            deadline_ms: None,
        }
    }

    async fn handle_accepted(&self, job: JobId) {
        if self.cluster.platform.checker.spec(job).is_none() {
            let detail = format!("job {job} was acknowledged but is not in the log");
            self.cluster
                .platform
                .checker
                .report(Rule::Unsettled, detail);
        }
        self.jobs.borrow_mut().push(job);
        match self.below(10) {
            0 => {
                let later = Millis(self.below(60_000));
                self.sleep(later).await;
                self.cancel(job).await;
            }
            1..4 => self.await_result(job).await,
            _ => {}
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: JobId) {
        let entry = self.pick_node().await;
        let call = |member: crate::cluster::Member| async move { member.queues.cancel(job).await };
        let _ = self.cluster.call(entry, call).await;
    }

    /// Polls a job's status until it has a result, and compares the result with the log.
    async fn await_result(&self, job: JobId) {
        while !self.arrivals_stopped.get() {
            let entry = self.pick_node().await;
            let wait = Millis(10_000);
            let call = |member: crate::cluster::Member| async move {
                member.queues.job_status(job, wait).await
            };
            let Some(Ok(status)) = self.cluster.call(entry, call).await else {
                self.sleep(RETRY_DELAY).await;
                continue;
            };
            if let Some(result) = status.result {
                let logged = self.cluster.platform.checker.result(job);
                if logged != Some(result) {
                    let detail = format!("job {job}: told {result:?}, log has {logged:?}");
                    let rule = Rule::Invariant(Invariant::OwnAnswer);
                    self.cluster.platform.checker.report(rule, detail);
                }
                return;
            }
        }
    }

    /// Cancels every second job of the 40 that were acknowledged last.
    pub async fn cancel_wave(&self) {
        let jobs: Vec<JobId> = self.jobs.borrow().iter().rev().take(40).copied().collect();
        for job in jobs.into_iter().step_by(2) {
            self.cancel(job).await;
        }
    }

    /// Publishes the operators' document, with retries until it is accepted.
    pub async fn publish(self: Rc<Self>) {
        while !self.publish_once().await {
            self.sleep(RETRY_DELAY).await;
        }
    }

    /// Publishes once, based on the chosen node's revision; returns whether it was accepted.
    pub async fn publish_once(&self) -> bool {
        let platform = &self.cluster.platform;
        let out: Vec<&str> = self.data_centres_out.borrow().iter().copied().collect();
        let text: Arc<str> = platform.deployment.document(&out).into();
        let (service, entry) = (platform.service(), self.pick_node().await);
        let call = |member: crate::cluster::Member| async move {
            let documents = member.node.documents();
            let known = documents
                .iter()
                .find(|(document, _)| document.service == service);
            let expected = known.map_or(Revision(0), |(_, revision)| *revision);
            member.node.publish(service, expected, text).await
        };
        let Some(Ok(revision)) = self.cluster.call(entry, call).await else {
            return false;
        };
        if !self.published.borrow_mut().insert(revision) {
            let detail = format!("{revision:?} was acknowledged to two operators");
            let rule = Rule::Invariant(Invariant::ConfigurationNeverReverts);
            platform.checker.report(rule, detail);
        }
        true
    }
}
