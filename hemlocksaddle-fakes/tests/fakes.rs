//! Tests of the fakes and of the judges: each judge must fire when a rule is broken on purpose.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc};

use bytes::Bytes;
use googletest::prelude::*;
use hemlocksaddle_fakes::{
    cluster::Cluster,
    judge::Rule,
    platform::{Deployment, Platform},
};
use hemlocksaddle_node::{
    invariant::Invariant,
    ports::{PortError, Ports},
};
use hemlocksaddle_types::{
    clock::Millis,
    document::Revision,
    host::{Host, HostRole},
    job::{Attempt, Checkpoint, JobId, TaskEnd, TaskId, Urgency},
    name::WorkerName,
    outcome::ResultCode,
    record::{Batch, BatchId, Offset, Publish, Record, Stream},
    request::{QuickRequest, RequestId},
    resources::Resources,
    unit::{QueueIndex, Term},
    worker::{Renew, StartReply, StartTask, WorkerReport},
};

struct Bench {
    platform: Rc<Platform>,
    ports: Ports,
    worker: Host,
    executor: SocketAddr,
}

impl Bench {
    fn new() -> Bench {
        let platform = Platform::new(Deployment::small(), 7);
        let hosts = platform.true_hosts();
        let executor = hosts
            .iter()
            .find(|host| matches!(host.role, HostRole::Executor { .. }));
        Bench {
            ports: platform.ports(&platform.nodes[0]),
            worker: hosts[0].clone(),
            executor: executor.expect("an executor").address,
            platform,
        }
    }

    fn worker(&self) -> WorkerName {
        match &self.worker.role {
            HostRole::Worker { name, .. } => name.clone(),
            other => panic!("{other:?} is not a worker"),
        }
    }

    fn renew(&self, renew: Renew) -> WorkerReport {
        let name = self.worker();
        let call = self.ports.workers.renew(self.worker.address, &name, renew);
        self.platform.sim.block_on(call).expect("a report")
    }

    fn order(&self, job: u64, attempt: u32, lease: Millis) -> StartTask {
        let report = self.renew(Renew::default());
        let now = report.worker_ms;
        StartTask {
            incarnation: report.incarnation,
            task: task(job),
            attempt: Attempt(attempt),
            service: self.platform.service(),
            demand: Resources {
                cpu_milli: 9_000,
                memory_mb: 100,
                accelerators: 0,
            },
            expected_run_ms: 60_000,
            urgency: Urgency::Batch,
            resumable: true,
            checkpoint: None,
            start_by_worker_ms: now + Millis(1_000),
            lease_until_worker_ms: now + lease,
        }
    }

    fn start(&self, order: StartTask) -> StartReply {
        let name = self.worker();
        let call = self.ports.workers.start(self.worker.address, &name, order);
        self.platform.sim.block_on(call).expect("an answer")
    }

    fn request(&self, tag: &str, idempotent: bool) -> QuickRequest {
        let node = self.platform.nodes[0].node.clone();
        QuickRequest {
            id: RequestId {
                node,
                started_ms: 1,
                number: 1,
            },
            service: self.platform.service(),
            key: None,
            idempotent,
            deadline_ms: Millis(1_000),
            urgency: Urgency::Normal,
            headers: BTreeMap::from([(Arc::from("tag"), Arc::from(tag))]),
            body: Bytes::from_static(b"order 1"),
        }
    }

    fn send(&self, tag: &str) -> hemlocksaddle_node::ports::Result<Bytes> {
        let request = self.request(tag, false);
        let service = self.platform.service();
        let targets = &self.ports.targets;
        let call = targets.send(self.executor, &service, 60, request, Millis(1_000));
        self.platform
            .sim
            .block_on(call)
            .map(|response| response.body)
    }

    fn broken(&self) -> Vec<Rule> {
        let violations = self.platform.judges.violations();
        violations
            .into_iter()
            .map(|violation| violation.rule)
            .collect()
    }
}

fn task(number: u64) -> TaskId {
    let job = JobId {
        queue: QueueIndex(0),
        number,
    };
    TaskId { job, index: 0 }
}

/// Guards against a log that loses the effect together with the answer.
#[gtest]
fn an_append_whose_answer_is_lost_is_in_the_log() {
    let bench = Bench::new();
    let log = &bench.ports.log;
    bench.platform.faults.borrow_mut().log_lost_percent = 100;
    let append = log.append(Stream::Claims, Bytes::from_static(b"x"));
    expect_that!(
        bench.platform.sim.block_on(append),
        err(eq(PortError::Unknown))
    );
    let read = log.read(Stream::Claims, Offset(0), Millis(500));
    let batch = bench.platform.sim.block_on(read).expect("served");
    expect_that!(batch.records.len(), eq(1));
    expect_that!(batch.next, eq(Offset(1)));
}

/// Guards against a worker that goes on after its lease, or that takes a late order.
#[gtest]
fn a_worker_ends_a_task_with_its_lease_and_refuses_a_late_order() {
    let bench = Bench::new();
    expect_that!(
        bench.start(bench.order(1, 1, Millis(12_000))),
        eq(&StartReply::Started)
    );
    let late = bench.order(2, 1, Millis(8_000));
    bench.platform.sim.run_for(Millis(13_000));
    expect_that!(bench.start(late), eq(&StartReply::TooLate));
    let report = bench.renew(Renew::default());
    expect_that!(report.running, is_empty());
    let TaskEnd::LeaseLapsed(Some(Checkpoint { progress_ms, .. })) = report.ended[0].end else {
        panic!("{report:?}");
    };
    expect_that!(progress_ms, eq(10_000));
    expect_that!(bench.broken(), is_empty());
}

/// Guards against a silent connection that never comes to an end for its user.
#[gtest]
fn a_silent_connection_times_out_and_a_new_one_works() {
    let bench = Bench::new();
    expect_that!(
        bench.send("a"),
        ok(eq(&Bytes::from_static(b"answer to order 1")))
    );
    bench.platform.silence(100);
    expect_that!(bench.send("b"), err(eq(&PortError::Unknown)));
    expect_that!(bench.send("c"), ok(anything()));
    expect_that!(bench.broken(), is_empty());
}

/// Breaks a rule on purpose and expects exactly this rule to be reported.
fn expect_broken(rule: Rule, break_it: impl FnOnce(&Bench)) {
    let bench = Bench::new();
    break_it(&bench);
    expect_that!(bench.broken(), eq(&vec![rule]), "expected only {rule:?}");
}

#[gtest]
fn the_capacity_judge_fires() {
    expect_broken(Rule::Invariant(Invariant::HostCapacity), |bench| {
        bench.start(bench.order(1, 1, Millis(8_000)));
        bench.start(bench.order(2, 1, Millis(8_000)));
    });
}

#[gtest]
fn the_single_place_judge_fires() {
    expect_broken(Rule::Invariant(Invariant::SinglePlace), |bench| {
        bench.start(StartTask {
            demand: Resources::default(),
            ..bench.order(1, 1, Millis(8_000))
        });
        bench.start(StartTask {
            demand: Resources::default(),
            ..bench.order(1, 2, Millis(8_000))
        });
    });
}

#[gtest]
fn the_resume_judge_fires() {
    expect_broken(Rule::Invariant(Invariant::ResumeOnce), |bench| {
        bench.start(bench.order(1, 1, Millis(3_000)));
        bench.platform.sim.run_for(Millis(4_000));
        let name = "elsewhere".into();
        let checkpoint = Some(Checkpoint {
            name,
            progress_ms: 1,
        });
        bench.start(StartTask {
            checkpoint,
            ..bench.order(1, 2, Millis(3_000))
        });
    });
}

#[gtest]
fn the_take_out_judge_fires() {
    expect_broken(
        Rule::Invariant(Invariant::NoStartInOutDataCentre),
        |bench| {
            bench
                .platform
                .judges
                .take_out("hosts", &bench.worker.data_centre);
            bench.platform.sim.run_for(Millis(4_100));
            bench.start(bench.order(1, 1, Millis(8_000)));
        },
    );
}

#[gtest]
fn the_at_most_once_judge_fires() {
    expect_broken(Rule::Invariant(Invariant::AtMostOnce), |bench| {
        bench.send("a").expect("an answer");
        bench.send("a").expect("an answer");
    });
}

#[gtest]
fn the_refusal_judge_fires() {
    expect_broken(Rule::Invariant(Invariant::TruthfulRefusal), |bench| {
        bench.send("a").expect("an answer");
        bench
            .platform
            .judges
            .answered(&"a".into(), ResultCode::Overloaded, false);
    });
}

#[gtest]
fn the_answer_judge_fires() {
    expect_broken(Rule::Invariant(Invariant::OwnAnswer), |bench| {
        bench.send("a").expect("an answer");
        bench
            .platform
            .judges
            .answered(&"a".into(), ResultCode::Completed, false);
    });
}

#[gtest]
fn the_leaving_target_judge_fires() {
    expect_broken(
        Rule::Invariant(Invariant::NoWorkForLeavingTarget),
        |bench| {
            bench.platform.set_leaving(&bench.executor, true);
            bench.platform.sim.run_for(Millis(5_100));
            bench.send("a").expect("an answer");
        },
    );
}

/// Sends requests at once, with a limit on connections that the caller keeps to or not.
fn send_at_once(bench: &Bench, count: usize, connections: u32) {
    let targets: Rc<dyn hemlocksaddle_node::ports::Targets> = bench.ports.targets.clone();
    for number in 0..count {
        let (targets, service) = (targets.clone(), bench.platform.service());
        let (executor, request) = (bench.executor, bench.request(&number.to_string(), true));
        bench.ports.runtime.spawn(Box::pin(async move {
            let call = targets.send(executor, &service, connections, request, Millis(1_000));
            let _ = call.await;
        }));
    }
    bench.platform.sim.run_for(Millis(2_000));
}

#[gtest]
fn the_slot_judge_fires() {
    expect_broken(Rule::Slots, |bench| {
        bench.platform.faults.borrow_mut().service_ms = 400;
        send_at_once(bench, 9, 60);
    });
}

#[gtest]
fn the_connection_judge_fires() {
    expect_broken(Rule::Connections, |bench| send_at_once(bench, 4, 3));
}

#[gtest]
fn the_log_budget_judge_fires() {
    expect_broken(Rule::LogBudget, |bench| {
        for _ in 0..1_501 {
            let log = bench.ports.log.clone();
            bench.ports.runtime.spawn(Box::pin(async move {
                let _ = log.append(Stream::Claims, Bytes::new()).await;
            }));
        }
        bench.platform.sim.run_for(Millis(2_000));
    });
}

/// Puts an accepted document into the log.
fn publish(bench: &Bench) {
    let publish = Publish {
        service: bench.platform.service(),
        expected: Revision(0),
        text: bench.platform.deployment.document(&[]).into(),
        publish_id: 1,
    };
    let batch = Batch {
        id: BatchId {
            node: bench.platform.nodes[0].node.clone(),
            started_ms: 1,
            number: 1,
        },
        term: Term(0),
        records: vec![Record::Publish(publish)],
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&batch, &mut bytes).expect("a batch can be written");
    bench.platform.put(Stream::Documents, bytes.into());
}

#[gtest]
fn the_configuration_judge_fires_on_a_late_document() {
    expect_broken(Rule::ConfigurationLate, |bench| {
        publish(bench);
        bench.platform.sim.run_for(Millis(15_100));
        let node = &bench.platform.nodes[0].node;
        bench.platform.judges.in_force(node, 0, &[], 15_100);
    });
}

#[gtest]
fn the_configuration_judge_fires_on_a_revert() {
    expect_broken(
        Rule::Invariant(Invariant::ConfigurationNeverReverts),
        |bench| {
            let (node, service) = (&bench.platform.nodes[0].node, bench.platform.service());
            for revision in [2, 1] {
                let documents = [(service.clone(), Revision(revision))];
                bench.platform.judges.in_force(node, 0, &documents, 0);
            }
        },
    );
}

#[gtest]
fn the_graceful_stop_judge_fires() {
    let cluster = Cluster::start(Deployment::small(), 5);
    let sim = cluster.platform.sim.clone();
    sim.run_for(Millis(10_000));
    let cut_off = cluster.call(0, |_| std::future::pending::<()>());
    let stopping = async {
        sim.sleep(Millis(100)).await;
        cluster.stop_node(0, Millis(60_000)).await
    };
    let (answer, stopped) = sim.block_on(futures_util::future::join(cut_off, stopping));
    expect_that!(answer, none());
    expect_true!(stopped);
    let violations = cluster.platform.judges.violations();
    let rules: Vec<Rule> = violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect();
    expect_that!(rules, eq(&vec![Rule::Invariant(Invariant::GracefulStop)]));
}
