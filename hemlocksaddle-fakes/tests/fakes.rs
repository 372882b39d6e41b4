//! Tests of the fakes and of the checker, which must report each rule that is violated on purpose.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc};

use bytes::Bytes;
use googletest::prelude::*;
use hemlocksaddle_fakes::{
    checker::Rule,
    cluster::Cluster,
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

struct Fixture {
    platform: Rc<Platform>,
    ports: Ports,
    worker: Host,
    executor: SocketAddr,
}

impl Fixture {
    fn new() -> Fixture {
        let platform = Platform::new(Deployment::small(), 7);
        let hosts = platform.true_hosts();
        let executor = hosts
            .iter()
            .find(|host| matches!(host.role, HostRole::Executor { .. }));
        Fixture {
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
        self.platform.sim.block_on(call).expect("a response")
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

    fn violated_rules(&self) -> Vec<Rule> {
        let violations = self.platform.checker.violations();
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

/// Guards against an append that is not stored when its response is lost.
#[gtest]
fn an_append_whose_response_is_lost_is_in_the_log() {
    let fixture = Fixture::new();
    let log = &fixture.ports.log;
    fixture.platform.faults.borrow_mut().log_lost_percent = 100;
    let append = log.append(Stream::Claims, Bytes::from_static(b"x"));
    expect_that!(
        fixture.platform.sim.block_on(append),
        err(eq(PortError::Unknown))
    );
    let read = log.read(Stream::Claims, Offset(0), Millis(500));
    let batch = fixture.platform.sim.block_on(read).expect("served");
    expect_that!(batch.records.len(), eq(1));
    expect_that!(batch.next, eq(Offset(1)));
}

/// Guards against a worker that runs a task past its lease or accepts a late start.
#[gtest]
fn a_worker_ends_a_task_with_its_lease_and_refuses_a_late_order() {
    let fixture = Fixture::new();
    expect_that!(
        fixture.start(fixture.order(1, 1, Millis(12_000))),
        eq(&StartReply::Started)
    );
    let late = fixture.order(2, 1, Millis(8_000));
    fixture.platform.sim.run_for(Millis(13_000));
    expect_that!(fixture.start(late), eq(&StartReply::TooLate));
    let report = fixture.renew(Renew::default());
    expect_that!(report.running, is_empty());
    let TaskEnd::LeaseLapsed(Some(Checkpoint { progress_ms, .. })) = report.ended[0].end else {
        panic!("{report:?}");
    };
    expect_that!(progress_ms, eq(10_000));
    expect_that!(fixture.violated_rules(), is_empty());
}

/// Guards against a silent connection that is not replaced after a call on it has timed out.
#[gtest]
fn a_silent_connection_times_out_and_a_new_one_works() {
    let fixture = Fixture::new();
    expect_that!(
        fixture.send("a"),
        ok(eq(&Bytes::from_static(b"answer to order 1")))
    );
    fixture.platform.silence(100);
    expect_that!(fixture.send("b"), err(eq(&PortError::Unknown)));
    expect_that!(fixture.send("c"), ok(anything()));
    expect_that!(fixture.violated_rules(), is_empty());
}

/// Violates a rule on purpose and expects exactly this rule to be reported.
fn expect_violation(rule: Rule, violate: impl FnOnce(&Fixture)) {
    let fixture = Fixture::new();
    violate(&fixture);
    expect_that!(
        fixture.violated_rules(),
        eq(&vec![rule]),
        "expected only {rule:?}"
    );
}

#[gtest]
fn capacity_violations_are_detected() {
    expect_violation(Rule::Invariant(Invariant::HostCapacity), |fixture| {
        fixture.start(fixture.order(1, 1, Millis(8_000)));
        fixture.start(fixture.order(2, 1, Millis(8_000)));
    });
}

#[gtest]
fn single_place_violations_are_detected() {
    expect_violation(Rule::Invariant(Invariant::SinglePlace), |fixture| {
        fixture.start(StartTask {
            demand: Resources::default(),
            ..fixture.order(1, 1, Millis(8_000))
        });
        fixture.start(StartTask {
            demand: Resources::default(),
            ..fixture.order(1, 2, Millis(8_000))
        });
    });
}

#[gtest]
fn resume_violations_are_detected() {
    expect_violation(Rule::Invariant(Invariant::ResumeOnce), |fixture| {
        fixture.start(fixture.order(1, 1, Millis(3_000)));
        fixture.platform.sim.run_for(Millis(4_000));
        let name = "elsewhere".into();
        let checkpoint = Some(Checkpoint {
            name,
            progress_ms: 1,
        });
        fixture.start(StartTask {
            checkpoint,
            ..fixture.order(1, 2, Millis(3_000))
        });
    });
}

#[gtest]
fn starts_in_a_data_centre_that_is_out_are_detected() {
    expect_violation(
        Rule::Invariant(Invariant::NoStartInOutDataCentre),
        |fixture| {
            fixture
                .platform
                .checker
                .mark_out("hosts", &fixture.worker.data_centre);
            fixture.platform.sim.run_for(Millis(4_100));
            fixture.start(fixture.order(1, 1, Millis(8_000)));
        },
    );
}

#[gtest]
fn at_most_once_violations_are_detected() {
    expect_violation(Rule::Invariant(Invariant::AtMostOnce), |fixture| {
        fixture.send("a").expect("a response");
        fixture.send("a").expect("a response");
    });
}

#[gtest]
fn untruthful_refusals_are_detected() {
    expect_violation(Rule::Invariant(Invariant::TruthfulRefusal), |fixture| {
        fixture.send("a").expect("a response");
        fixture
            .platform
            .checker
            .response_received(&"a".into(), ResultCode::Overloaded, false);
    });
}

#[gtest]
fn wrong_responses_are_detected() {
    expect_violation(Rule::Invariant(Invariant::OwnAnswer), |fixture| {
        fixture.send("a").expect("a response");
        fixture
            .platform
            .checker
            .response_received(&"a".into(), ResultCode::Completed, false);
    });
}

#[gtest]
fn requests_to_leaving_targets_are_detected() {
    expect_violation(
        Rule::Invariant(Invariant::NoWorkForLeavingTarget),
        |fixture| {
            fixture.platform.set_leaving(&fixture.executor, true);
            fixture.platform.sim.run_for(Millis(5_100));
            fixture.send("a").expect("a response");
        },
    );
}

/// Sends requests concurrently, with a connection limit that may be below their number.
fn send_at_once(fixture: &Fixture, count: usize, connections: u32) {
    let targets: Rc<dyn hemlocksaddle_node::ports::Targets> = fixture.ports.targets.clone();
    for number in 0..count {
        let (targets, service) = (targets.clone(), fixture.platform.service());
        let (executor, request) = (fixture.executor, fixture.request(&number.to_string(), true));
        fixture.ports.runtime.spawn(Box::pin(async move {
            let call = targets.send(executor, &service, connections, request, Millis(1_000));
            let _ = call.await;
        }));
    }
    fixture.platform.sim.run_for(Millis(2_000));
}

#[gtest]
fn slot_violations_are_detected() {
    expect_violation(Rule::Slots, |fixture| {
        fixture.platform.faults.borrow_mut().service_ms = 400;
        send_at_once(fixture, 9, 60);
    });
}

#[gtest]
fn connection_violations_are_detected() {
    expect_violation(Rule::Connections, |fixture| send_at_once(fixture, 4, 3));
}

#[gtest]
fn log_budget_violations_are_detected() {
    expect_violation(Rule::LogBudget, |fixture| {
        for _ in 0..1_501 {
            let log = fixture.ports.log.clone();
            fixture.ports.runtime.spawn(Box::pin(async move {
                let _ = log.append(Stream::Claims, Bytes::new()).await;
            }));
        }
        fixture.platform.sim.run_for(Millis(2_000));
    });
}

/// Appends an accepted document to the log.
fn publish(fixture: &Fixture) {
    let publish = Publish {
        service: fixture.platform.service(),
        expected: Revision(0),
        text: fixture.platform.deployment.document(&[]).into(),
        publish_id: 1,
    };
    let batch = Batch {
        id: BatchId {
            node: fixture.platform.nodes[0].node.clone(),
            started_ms: 1,
            number: 1,
        },
        term: Term(0),
        records: vec![Record::Publish(publish)],
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&batch, &mut bytes).expect("a batch can be written");
    fixture.platform.append_now(Stream::Documents, bytes.into());
}

#[gtest]
fn late_documents_are_detected() {
    expect_violation(Rule::ConfigurationLate, |fixture| {
        publish(fixture);
        fixture.platform.sim.run_for(Millis(15_100));
        let node = &fixture.platform.nodes[0].node;
        fixture
            .platform
            .checker
            .documents_applied(node, 0, &[], 15_100);
    });
}

#[gtest]
fn reverted_documents_are_detected() {
    expect_violation(
        Rule::Invariant(Invariant::ConfigurationNeverReverts),
        |fixture| {
            let (node, service) = (&fixture.platform.nodes[0].node, fixture.platform.service());
            for revision in [2, 1] {
                let documents = [(service.clone(), Revision(revision))];
                fixture
                    .platform
                    .checker
                    .documents_applied(node, 0, &documents, 0);
            }
        },
    );
}

#[gtest]
fn graceful_stop_violations_are_detected() {
    let cluster = Cluster::start(Deployment::small(), 5);
    let sim = cluster.platform.sim.clone();
    sim.run_for(Millis(10_000));
    let unanswered = cluster.call(0, |_| std::future::pending::<()>());
    let stopping = async {
        sim.sleep(Millis(100)).await;
        cluster.stop_node(0, Millis(60_000)).await
    };
    let (response, stopped) = sim.block_on(futures_util::future::join(unanswered, stopping));
    expect_that!(response, none());
    expect_true!(stopped);
    let violations = cluster.platform.checker.violations();
    let rules: Vec<Rule> = violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect();
    expect_that!(rules, eq(&vec![Rule::Invariant(Invariant::GracefulStop)]));
}
