//! Whole nodes on the fake platform, which judges them from outside.

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
    world::{cores, job, keyed, name},
};

/// Cluster whose queues can be called.
struct Whole {
    cluster: Cluster,
    queues: RefCell<BTreeMap<usize, Rc<Queues>>>,
    submitted: RefCell<u64>,
}

impl Whole {
    fn new(nodes: usize, seed: u64) -> Whole {
        let whole = Whole {
            cluster: Cluster::new(nodes, seed),
            queues: RefCell::default(),
            submitted: RefCell::new(0),
        };
        (0..nodes).for_each(|index| whole.start(index));
        whole.cluster.run(8_000);
        whole.cluster.publish(0, 0, &[]).expect("published");
        whole.cluster.run(2_000);
        whole
    }

    fn start(&self, index: usize) {
        let queues = &self.queues;
        self.cluster.start_with(index, OnViolation::Panic, |core| {
            let parts = Parts::new(core);
            queues.borrow_mut().insert(index, parts.queues.clone());
            parts.list()
        });
    }

    fn kill(&self, index: usize) {
        self.queues.borrow_mut().remove(&index);
        self.cluster.kill(index);
    }

    /// Submits with a key of its own; a refusal that says "not run" is told to the judges.
    fn submit(&self, node: usize, spec: JobSpec) -> Result<JobId, ResultCode> {
        *self.submitted.borrow_mut() += 1;
        let key = format!("job-{}", self.submitted.borrow());
        let spec = JobSpec {
            service: self.cluster.platform.service(),
            team: name(self.cluster.platform.deployment.team),
            ..keyed(spec, &key)
        };
        let queues = self.queues.borrow()[&node].clone();
        let submit = async move { queues.submit(spec).await };
        let submitted = self.cluster.platform.sim.block_on(submit);
        submitted.map_err(|(code, _)| {
            if code.run_state() == RunState::NotRun {
                self.cluster
                    .platform
                    .judges
                    .refused(&Arc::from(key.as_str()));
            }
            code
        })
    }

    fn status(&self, node: usize, id: JobId, wait_ms: u64) -> JobStatus {
        let queues = self.queues.borrow()[&node].clone();
        let status = async move { queues.job_status(id, Millis(wait_ms)).await };
        self.cluster.platform.sim.block_on(status).expect("status")
    }

    fn judge(&self) {
        let violations = self.cluster.platform.judges.violations();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

fn spec(tasks: u32, size: u64) -> JobSpec {
    job("makers", tasks, size)
}

/// Guards against parts that work on stand-ins only: ownership, journal and peers are real here.
#[gtest]
fn a_job_runs_on_whole_nodes() {
    let whole = Whole::new(3, 1);
    let id = whole.submit(1, spec(20, 2)).expect("accepted");
    let status = whole.status(2, id, 30_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    whole.judge();
}

/// Guards against jobs that are lost or repeated when nodes die one after the other.
#[gtest]
fn jobs_survive_the_death_of_nodes() {
    for seed in 2..6 {
        let whole = Whole::new(5, seed);
        let long = |size| JobSpec {
            expected_run_ms: 20_000,
            ..spec(12, size)
        };
        let ids: Vec<JobId> = (1..=4)
            .map(|size| whole.submit(4, long(size)).expect("accepted"))
            .collect();
        whole.cluster.run(3_000);
        whole.kill(0);
        whole.cluster.run(15_000);
        whole.kill(1);
        for id in ids {
            let status = whole.status(4, id, 120_000);
            expect_that!(status.result, some(eq(ResultCode::Completed)), "{status:?}");
        }
        whole.judge();
    }
}

/// Guards against starts in a data centre after it was taken out, and work that is lost on the way.
#[gtest]
fn a_data_centre_leaves_and_returns() {
    for seed in 10..13 {
        let whole = Whole::new(3, seed);
        let long = |tasks| JobSpec {
            expected_run_ms: 15_000,
            urgency: Urgency::Batch,
            ..spec(tasks, 4)
        };
        let mut ids = vec![whole.submit(0, long(30)).expect("accepted")];
        whole.cluster.run(4_000);
        let out = whole.cluster.platform.deployment.data_centres[1];
        whole.cluster.publish(0, 1, &[out]).expect("published");
        whole
            .cluster
            .platform
            .judges
            .take_out("document", &name(out));
        ids.push(whole.submit(0, long(30)).expect("accepted"));
        whole.cluster.run(20_000);
        whole
            .cluster
            .platform
            .judges
            .take_in("document", &name(out));
        whole.cluster.publish(2, 2, &[]).expect("published");
        for id in ids {
            let status = whole.status(2, id, 120_000);
            expect_that!(status.result, some(eq(ResultCode::Completed)), "{status:?}");
        }
        whole.judge();
    }
}

/// Guards against accepted work that stops for a log outage although it may run again.
#[gtest]
fn accepted_work_goes_on_while_the_log_is_down() {
    let whole = Whole::new(3, 20);
    let short = JobSpec {
        expected_run_ms: 2_000,
        urgency: Urgency::Batch,
        ..spec(300, 4)
    };
    let id = whole.submit(0, short).expect("accepted");
    whole.cluster.run(2_000);
    whole.cluster.set_log_down(true);
    whole.cluster.run(6_000);
    let before = whole.cluster.platform.judges.counts().starts;
    whole.cluster.run(10_000);
    expect_that!(
        whole.cluster.platform.judges.counts().starts - before,
        gt(40)
    );
    expect_that!(
        whole.submit(0, spec(1, 1)),
        err(eq(ResultCode::LogUnavailable))
    );
    whole.cluster.set_log_down(false);
    let status = whole.status(1, id, 120_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    whole.judge();
}

/// Guards against a planned stop that loses or repeats work, or that takes long.
#[gtest]
fn a_planned_stop_hands_over() {
    let whole = Whole::new(3, 30);
    let long = JobSpec {
        expected_run_ms: 10_000,
        ..spec(30, 2)
    };
    let id = whole.submit(0, long).expect("accepted");
    whole.cluster.run(2_000);
    let node = whole.cluster.node(1);
    whole
        .cluster
        .platform
        .sim
        .block_on(async move { node.stop().await });
    whole.kill(1);
    let status = whole.status(0, id, 60_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    expect_that!(
        whole.cluster.platform.judges.counts().starts,
        eq(30),
        "no attempt was repeated"
    );
    whole.judge();
}

/// One run with faults drawn from the seed; every accepted job must end, and the judges find nothing.
fn random_run(seed: u64) {
    let whole = Whole::new(5, seed);
    let sim = whole.cluster.platform.sim.clone();
    let below = |bound: u64| sim.below(bound);
    let mut ids = Vec::new();
    let mut dead = None;
    for _ in 0..25 {
        let alive: Vec<usize> = whole.queues.borrow().keys().copied().collect();
        let node = alive[below(alive.len() as u64) as usize];
        let random = JobSpec {
            expected_run_ms: 500 + below(15_000),
            urgency: [Urgency::Batch, Urgency::Normal, Urgency::Urgent][below(3) as usize],
            resumable: below(3) > 0,
            idempotent: below(3) == 0,
            demand: cores(1 + below(8)),
            ..spec(1 + below(8) as u32, 1)
        };
        ids.extend(whole.submit(node, random).ok());
        let worker = name(&format!("worker-{}", below(12)));
        match below(10) {
            0 => {
                whole.cluster.platform.kill_worker(&worker);
                whole.cluster.platform.restart_worker(&worker);
            }
            1 => whole.cluster.set_log_down(true),
            2 | 3 => whole.cluster.set_log_down(false),
            4 => whole.cluster.pause(node, below(6_000)),
            5 if dead.is_none() => {
                whole.kill(node);
                dead = Some(node);
            }
            6 => {
                if let Some(node) = dead.take() {
                    whole.start(node);
                    whole.cluster.run(8_000);
                }
            }
            _ => {}
        }
        whole.cluster.run(below(4_000));
    }
    whole.cluster.set_log_down(false);
    let node = *whole
        .queues
        .borrow()
        .keys()
        .next()
        .expect("a node is alive");
    for id in ids {
        let status = whole.status(node, id, 180_000);
        assert!(status.result.is_some(), "seed {seed}: {status:?}");
    }
    whole.judge();
}

/// Guards against combinations of faults that break one of the sentences that must always hold.
#[gtest]
fn random_faults_break_no_rule() {
    for seed in 200..206 {
        random_run(seed);
    }
}

/// Guards against a planned stop that cuts off callers who wait for a job, or that waits for them.
#[gtest]
fn a_planned_stop_answers_waiting_callers() {
    let whole = Whole::new(3, 31);
    let long = JobSpec {
        expected_run_ms: 60_000,
        ..spec(3, 2)
    };
    let id = whole.submit(0, long).expect("accepted");
    let sim = whole.cluster.platform.sim.clone();
    for index in 0..3 {
        let queues = whole.queues.borrow()[&index].clone();
        let answered = Rc::new(RefCell::new(None));
        let answer = answered.clone();
        let waiting = async move { queues.job_status(id, Millis(50_000)).await };
        sim.spawn(0, async move { *answer.borrow_mut() = Some(waiting.await) });
        whole.cluster.run(500);
        let node = whole.cluster.node(index);
        let before = sim.now();
        sim.block_on(async move { node.stop().await });
        expect_that!(sim.now().0 - before.0, lt(12_000));
        expect_that!(answered.borrow().is_some(), eq(true), "node {index}");
        whole.kill(index);
        whole.start(index);
        whole.cluster.run(8_000);
    }
    let status = whole.status(1, id, 120_000);
    expect_that!(status.result, some(eq(ResultCode::Completed)));
    whole.judge();
}
