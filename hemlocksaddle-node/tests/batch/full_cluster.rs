//! Complete nodes on the fake platform, which checks them from outside.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc};

use googletest::prelude::*;
use hemlocksaddle_node::{invariant::OnViolation, parts::Parts, queue::Queues};
use hemlocksaddle_types::{
    clock::Millis,
    job::{JobId, JobSpec, JobStatus, Urgency},
    outcome::{ResultCode, RunState},
};

use crate::{
    cluster::Cluster,
    sim_cluster::{cores, job, keyed, name},
};

/// Cluster of complete nodes, with access to their queues.
struct FullCluster {
    inner: Cluster,
    queues: RefCell<BTreeMap<usize, Rc<Queues>>>,
    submitted: RefCell<u64>,
}

impl FullCluster {
    fn new(nodes: usize, seed: u64) -> FullCluster {
        let cluster = FullCluster {
            inner: Cluster::new(nodes, seed),
            queues: RefCell::default(),
            submitted: RefCell::new(0),
        };
        (0..nodes).for_each(|index| cluster.start(index));
        cluster.inner.run(8_000);
        cluster.inner.publish(0, 0, &[]).expect("published");
        cluster.inner.run(2_000);
        cluster
    }

    fn start(&self, index: usize) {
        let queues = &self.queues;
        self.inner.start_with(index, OnViolation::Panic, |core| {
            let parts = Parts::new(core);
            queues.borrow_mut().insert(index, parts.queues.clone());
            parts.list()
        });
    }

    fn kill(&self, index: usize) {
        self.queues.borrow_mut().remove(&index);
        self.inner.kill(index);
    }

    /// Submits with a unique key; a refusal that means "not run" is reported to the checkers.
    fn submit(&self, node: usize, spec: JobSpec) -> Result<JobId, ResultCode> {
        *self.submitted.borrow_mut() += 1;
        let key = format!("job-{}", self.submitted.borrow());
        let spec = JobSpec {
            service: self.inner.platform.service(),
            team: name(self.inner.platform.deployment.team),
            ..keyed(spec, &key)
        };
        let queues = self.queues.borrow()[&node].clone();
        let submit = async move { queues.submit(spec).await };
        let submitted = self.inner.platform.sim.block_on(submit);
        submitted.map_err(|(code, _)| {
            if code.run_state() == RunState::NotRun {
                self.inner
                    .platform
                    .checker
                    .refused(&Arc::from(key.as_str()));
            }
            code
        })
    }

    fn status(&self, node: usize, id: JobId, wait_ms: u64) -> JobStatus {
        let queues = self.queues.borrow()[&node].clone();
        let status = async move { queues.job_status(id, Millis(wait_ms)).await };
        self.inner.platform.sim.block_on(status).expect("status")
    }

    fn check(&self) {
        let violations = self.inner.platform.checker.violations();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

fn spec(tasks: u32, size: u64) -> JobSpec {
    job("makers", tasks, size)
}

/// Guards against parts that work only with fakes: ownership, journal and peers are real here.
#[gtest]
fn a_job_completes_on_full_nodes() {
    let cluster = FullCluster::new(3, 1);
    let id = cluster.submit(1, spec(20, 2)).expect("accepted");
    let status = cluster.status(2, id, 30_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    cluster.check();
}

/// Guards against jobs that are lost or repeated when nodes crash one after the other.
#[gtest]
fn jobs_survive_node_crashes() {
    for seed in 2..6 {
        let cluster = FullCluster::new(5, seed);
        let long = |size| JobSpec {
            expected_run_ms: 20_000,
            ..spec(12, size)
        };
        let ids: Vec<JobId> = (1..=4)
            .map(|size| cluster.submit(4, long(size)).expect("accepted"))
            .collect();
        cluster.inner.run(3_000);
        cluster.kill(0);
        cluster.inner.run(15_000);
        cluster.kill(1);
        for id in ids {
            let status = cluster.status(4, id, 120_000);
            expect_that!(status.result, some(eq(ResultCode::Completed)), "{status:?}");
        }
        cluster.check();
    }
}

/// Guards against starts in a data centre that is out, and tasks lost during an evacuation.
#[gtest]
fn jobs_survive_evacuation_and_return_of_a_data_centre() {
    for seed in 10..13 {
        let cluster = FullCluster::new(3, seed);
        let long = |tasks| JobSpec {
            expected_run_ms: 15_000,
            urgency: Urgency::Batch,
            ..spec(tasks, 4)
        };
        let mut ids = vec![cluster.submit(0, long(30)).expect("accepted")];
        cluster.inner.run(4_000);
        let out = cluster.inner.platform.deployment.data_centres[1];
        cluster.inner.publish(0, 1, &[out]).expect("published");
        cluster
            .inner
            .platform
            .checker
            .mark_out("document", &name(out));
        ids.push(cluster.submit(0, long(30)).expect("accepted"));
        cluster.inner.run(20_000);
        cluster
            .inner
            .platform
            .checker
            .mark_in("document", &name(out));
        cluster.inner.publish(2, 2, &[]).expect("published");
        for id in ids {
            let status = cluster.status(2, id, 120_000);
            expect_that!(status.result, some(eq(ResultCode::Completed)), "{status:?}");
        }
        cluster.check();
    }
}

/// Guards against a log outage that stops accepted tasks although they may run again.
#[gtest]
fn accepted_jobs_progress_during_a_log_outage() {
    let cluster = FullCluster::new(3, 20);
    let short = JobSpec {
        expected_run_ms: 2_000,
        urgency: Urgency::Batch,
        ..spec(300, 4)
    };
    let id = cluster.submit(0, short).expect("accepted");
    cluster.inner.run(2_000);
    cluster.inner.set_log_down(true);
    cluster.inner.run(6_000);
    let before = cluster.inner.platform.checker.counts().starts;
    cluster.inner.run(10_000);
    expect_that!(
        cluster.inner.platform.checker.counts().starts - before,
        gt(40)
    );
    expect_that!(
        cluster.submit(0, spec(1, 1)),
        err(eq(ResultCode::LogUnavailable))
    );
    cluster.inner.set_log_down(false);
    let status = cluster.status(1, id, 120_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    cluster.check();
}

/// Guards against a planned stop that loses or repeats tasks, or that takes too long.
#[gtest]
fn a_planned_stop_hands_over_without_repeats() {
    let cluster = FullCluster::new(3, 30);
    let long = JobSpec {
        expected_run_ms: 10_000,
        ..spec(30, 2)
    };
    let id = cluster.submit(0, long).expect("accepted");
    cluster.inner.run(2_000);
    let node = cluster.inner.node(1);
    cluster
        .inner
        .platform
        .sim
        .block_on(async move { node.stop().await });
    cluster.kill(1);
    let status = cluster.status(0, id, 60_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    expect_that!(
        cluster.inner.platform.checker.counts().starts,
        eq(30),
        "no attempt was repeated"
    );
    cluster.check();
}

/// Runs jobs under random faults; every accepted job must end, and the checkers must find no
/// violation.
fn random_run(seed: u64) {
    let cluster = FullCluster::new(5, seed);
    let sim = cluster.inner.platform.sim.clone();
    let below = |bound: u64| sim.below(bound);
    let mut ids = Vec::new();
    let mut dead = None;
    for _ in 0..25 {
        let alive: Vec<usize> = cluster.queues.borrow().keys().copied().collect();
        let node = alive[below(alive.len() as u64) as usize];
        let random = JobSpec {
            expected_run_ms: 500 + below(15_000),
            urgency: [Urgency::Batch, Urgency::Normal, Urgency::Urgent][below(3) as usize],
            resumable: below(3) > 0,
            idempotent: below(3) == 0,
            demand: cores(1 + below(8)),
            ..spec(1 + below(8) as u32, 1)
        };
        ids.extend(cluster.submit(node, random).ok());
        let worker = name(&format!("worker-{}", below(12)));
        match below(10) {
            0 => {
                cluster.inner.platform.kill_worker(&worker);
                cluster.inner.platform.restart_worker(&worker);
            }
            1 => cluster.inner.set_log_down(true),
            2 | 3 => cluster.inner.set_log_down(false),
            4 => cluster.inner.pause(node, below(6_000)),
            5 if dead.is_none() => {
                cluster.kill(node);
                dead = Some(node);
            }
            6 => {
                if let Some(node) = dead.take() {
                    cluster.start(node);
                    cluster.inner.run(8_000);
                }
            }
            _ => {}
        }
        cluster.inner.run(below(4_000));
    }
    cluster.inner.set_log_down(false);
    let node = *cluster
        .queues
        .borrow()
        .keys()
        .next()
        .expect("a node is alive");
    for id in ids {
        let status = cluster.status(node, id, 180_000);
        assert!(status.result.is_some(), "seed {seed}: {status:?}");
    }
    cluster.check();
}

/// Guards against combinations of faults that violate an invariant.
#[gtest]
fn random_faults_violate_no_invariant() {
    for seed in 200..206 {
        random_run(seed);
    }
}

/// Guards against a planned stop that leaves callers who wait for a job without an answer, or that
/// waits until they have one.
#[gtest]
fn a_planned_stop_answers_waiting_callers() {
    let cluster = FullCluster::new(3, 31);
    let long = JobSpec {
        expected_run_ms: 60_000,
        ..spec(3, 2)
    };
    let id = cluster.submit(0, long).expect("accepted");
    let sim = cluster.inner.platform.sim.clone();
    for index in 0..3 {
        let queues = cluster.queues.borrow()[&index].clone();
        let answered = Rc::new(RefCell::new(None));
        let answer = answered.clone();
        let waiting = async move { queues.job_status(id, Millis(50_000)).await };
        sim.spawn(0, async move { *answer.borrow_mut() = Some(waiting.await) });
        cluster.inner.run(500);
        let node = cluster.inner.node(index);
        let before = sim.now();
        sim.block_on(async move { node.stop().await });
        expect_that!(sim.now().0 - before.0, lt(12_000));
        expect_that!(answered.borrow().is_some(), eq(true), "node {index}");
        cluster.kill(index);
        cluster.start(index);
        cluster.inner.run(8_000);
    }
    let status = cluster.status(1, id, 120_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    cluster.check();
}
