//! Journal: records reported as durable are in the log once and in order, refused ones never.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use googletest::prelude::*;
use hemlocksaddle_fakes::platform::{Deployment, Faults, Platform};
use hemlocksaddle_node::{
    core::{AppendError, AppendResult, Fenced, Journal},
    env::Env,
    invariant::OnViolation,
    journal::{LogWriter, MAX_WAITING_RECORDS, SharedJournal},
    ports::ReadBatch,
    stream::StreamReader,
};
use hemlocksaddle_types::{
    clock::Millis,
    job::JobId,
    record::{Batch, BatchId, Offset, Record, Stream},
    unit::{QueueIndex, Term},
};

const QUEUE: Stream = Stream::Queue(QueueIndex(0));

/// Journals of several nodes on one log.
struct JournalCluster {
    platform: Rc<Platform>,
    results: Rc<RefCell<BTreeMap<u64, AppendResult>>>,
}

impl JournalCluster {
    fn new(nodes: usize, seed: u64) -> JournalCluster {
        JournalCluster {
            platform: Platform::new(Deployment::small().with_nodes(nodes), seed),
            results: Rc::default(),
        }
    }

    fn journal(&self, index: usize) -> Rc<SharedJournal> {
        let node = &self.platform.nodes[index];
        let (ports, settings) = (self.platform.ports(node), self.platform.settings(node));
        let env = Env::new(ports, settings, OnViolation::Panic);
        Rc::new(SharedJournal(LogWriter::new(env)))
    }

    fn set_append_faults(&self, lost_percent: u64, late_percent: u64) {
        self.platform.faults.replace(Faults {
            log_lost_percent: lost_percent,
            log_late_percent: late_percent,
            ..Faults::default()
        });
    }

    fn set_log_down(&self, down: bool) {
        self.platform.faults.replace(Faults {
            log_down: down,
            ..Faults::default()
        });
    }

    fn run(&self, duration_ms: u64) {
        self.platform.run_for(Millis(duration_ms));
    }

    fn open(
        &self,
        journal: &Rc<SharedJournal>,
        term: u64,
    ) -> std::result::Result<Vec<Record>, Fenced> {
        self.platform.sim.block_on(journal.open(QUEUE, Term(term)))
    }

    /// Appends a record in the background and keeps the result under its number.
    fn append(&self, journal: &Rc<SharedJournal>, term: u64, number: u64, timeout_ms: Option<u64>) {
        let (journal, results) = (journal.clone(), self.results.clone());
        let process = self.platform.sim.node_process(&self.platform.nodes[0].node);
        self.platform.sim.spawn(process, async move {
            let records = vec![record(number)];
            let append = journal.append(QUEUE, Term(term), records, timeout_ms.map(Millis));
            let result = append.await;
            results.borrow_mut().insert(number, result);
        });
    }

    fn result(&self, number: u64) -> Option<AppendResult> {
        self.results.borrow().get(&number).copied()
    }

    /// Numbers of the valid records in the stream, in order.
    fn valid(&self) -> Vec<u64> {
        let read = self.platform.read_now(QUEUE, Offset(0));
        let (batches, _) = StreamReader::new().apply(read);
        let records = batches.into_iter().flat_map(|batch| batch.records);
        records.map(|record| number_of(&record)).collect()
    }

    /// Checks all results against the valid records of the stream.
    fn check_results(&self, label: &str) {
        let valid = self.valid();
        for (number, result) in self.results.borrow().iter() {
            let times = valid.iter().filter(|found| *found == number).count();
            match result {
                Ok(_) => expect_that!(times, eq(1), "{label}: record {number} is durable"),
                Err(AppendError::NotAppended) => {
                    expect_that!(times, eq(0), "{label}: record {number} was refused");
                }
                Err(AppendError::OutcomeUnknown) => expect_that!(times, le(1), "{label}: {number}"),
            }
        }
    }
}

fn record(number: u64) -> Record {
    let queue = QueueIndex(0);
    Record::JobCancelled {
        job: JobId { queue, number },
    }
}

fn number_of(record: &Record) -> u64 {
    match record {
        Record::JobCancelled { job } => job.number,
        other => panic!("unexpected {other:?}"),
    }
}

/// Guards against lost, duplicated or reordered records when answers of appends
/// are lost and appends take effect late.
#[gtest]
fn durable_records_appear_once_and_in_order() {
    for seed in 0..20 {
        let cluster = JournalCluster::new(1, seed);
        let journal = cluster.journal(0);
        expect_that!(cluster.open(&journal, 1), ok(is_empty()));
        cluster.set_append_faults(20, 20);
        for number in 0..60 {
            let limit = cluster.platform.sim.below(8_000);
            let timeout_ms = (limit < 5_000).then_some(limit);
            cluster.append(&journal, 1, number, timeout_ms);
            cluster.run(cluster.platform.sim.below(1_500));
        }
        cluster.run(120_000);
        expect_that!(cluster.results.borrow().len(), eq(60), "seed {seed}");
        cluster.check_results(&format!("seed {seed}"));
        let valid = cluster.valid();
        expect_true!(valid.is_sorted(), "seed {seed}: {valid:?}");
    }
}

/// Guards against batches of a previous owner that become valid after the fence
/// of a higher term, or are reported as durable.
#[gtest]
fn a_fence_invalidates_later_batches_of_the_previous_owner() {
    for seed in 0..20 {
        let cluster = JournalCluster::new(2, seed);
        let (old, new) = (cluster.journal(0), cluster.journal(1));
        expect_that!(cluster.open(&old, 1), ok(is_empty()));
        cluster.set_append_faults(20, 30);
        for number in 0..20 {
            cluster.append(&old, 1, number, None);
            cluster.run(cluster.platform.sim.below(800));
        }
        let opened = cluster.open(&new, 2).expect("no higher term");
        let before: Vec<u64> = opened.iter().map(number_of).collect();
        for number in 20..30 {
            cluster.append(&old, 1, number, None);
            cluster.append(&new, 2, number + 1_000, None);
            cluster.run(500);
        }
        cluster.run(120_000);
        cluster.check_results(&format!("seed {seed}"));
        let old_ones: Vec<u64> = cluster.valid().into_iter().filter(|n| *n < 1_000).collect();
        expect_that!(
            old_ones,
            eq(&before),
            "seed {seed}: all that is valid before the fence"
        );
        for number in 20..30 {
            let refused = Some(Err(AppendError::NotAppended));
            expect_that!(cluster.result(number), eq(refused), "seed {seed}");
            expect_true!(matches!(cluster.result(number + 1_000), Some(Ok(_))));
        }
        expect_that!(cluster.open(&old, 1), err(eq(&Fenced)));
    }
}

/// Guards against a node that misses records of its own earlier term when it reopens a queue.
#[gtest]
fn a_reopened_queue_returns_all_records() {
    let cluster = JournalCluster::new(2, 1);
    let (one, two) = (cluster.journal(0), cluster.journal(1));
    for (round, journal) in [&one, &two, &one, &two].into_iter().enumerate() {
        let term = round as u64 + 1;
        let opened = cluster.open(journal, term).expect("terms rise");
        expect_that!(opened.len(), eq(round));
        cluster.append(journal, term, term, None);
        cluster.run(200);
    }
    expect_that!(
        cluster.valid(),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
    );
}

/// Guards against reporting "not appended" for records that appear in the log after an
/// outage, and against losing records in an outage that were appended without a timeout.
#[gtest]
fn an_outage_fails_appends_with_a_timeout_and_keeps_the_others() {
    for seed in 0..10 {
        let cluster = JournalCluster::new(1, seed);
        let journal = cluster.journal(0);
        expect_that!(cluster.open(&journal, 1), ok(anything()));
        cluster.set_log_down(true);
        for number in 0..40 {
            let timeout_ms = (number % 2 == 0).then_some(1_000);
            cluster.append(&journal, 1, number, timeout_ms);
            cluster.run(200);
        }
        cluster.run(30_000);
        expect_false!(journal.log_is_up());
        // Only the records of a single batch without an answer have an unknown outcome.
        let results = cluster.results.borrow().clone();
        let unresolved = results
            .iter()
            .filter(|(_, result)| **result == Err(AppendError::OutcomeUnknown));
        let unresolved: Vec<u64> = unresolved.map(|(number, _)| *number).collect();
        let from = unresolved.first().copied().unwrap_or(0);
        let one_batch: Vec<u64> = (from..40).step_by(2).take(unresolved.len()).collect();
        expect_that!(unresolved, eq(&one_batch), "seed {seed}");
        // Appends with a timeout start every 400 ms and wait at most 1,000 ms, so a batch has at most 3.
        expect_that!(unresolved.len(), le(3), "seed {seed}");
        let refused = results
            .values()
            .filter(|result| **result == Err(AppendError::NotAppended));
        expect_that!(refused.count() + unresolved.len(), eq(20), "seed {seed}");
        cluster.set_log_down(false);
        cluster.run(10_000);
        cluster.check_results(&format!("seed {seed}"));
        // No append took effect during the outage, so records abandoned then must never appear.
        let abandoned = results.iter().filter(|(_, result)| result.is_err());
        let mut abandoned = abandoned.map(|(number, _)| number);
        expect_false!(
            abandoned.any(|number| cluster.valid().contains(number)),
            "seed {seed}"
        );
        let kept: Vec<u64> = cluster.valid().into_iter().filter(|n| n % 2 == 1).collect();
        let expected: Vec<u64> = (0..40).filter(|number| number % 2 == 1).collect();
        expect_that!(kept, eq(&expected), "seed {seed}");
        cluster.append(&journal, 1, 41, None);
        cluster.run(1_000);
        expect_true!(journal.log_is_up());
    }
}

/// Guards against a backlog that grows without bound, and against one that is
/// sent in a burst after an outage.
#[gtest]
fn the_backlog_is_bounded_and_rate_limited() {
    let cluster = JournalCluster::new(9, 2);
    let journal = cluster.journal(0);
    expect_that!(cluster.open(&journal, 1), ok(anything()));
    cluster.set_log_down(true);
    let records = MAX_WAITING_RECORDS as u64 + 100;
    (0..records).for_each(|number| cluster.append(&journal, 1, number, Some(60_000)));
    cluster.run(2_000);
    let refused = cluster.results.borrow().len() as u64;
    expect_that!(refused, ge(100));
    cluster.set_log_down(false);
    let before = cluster.platform.checker.counts().appends;
    cluster.run(4_000);
    let sent = cluster.platform.checker.counts().appends - before;
    // 4,196 records need at least 17 batches of 256; 9 nodes give an interval of 30 ms.
    expect_that!(sent, all![ge(16), le(40)]);
    cluster.check_results("backlog");
    expect_that!(cluster.valid().len() as u64, eq(records - refused));
}

/// Guards against nodes that together exceed the append budget of the log.
#[gtest]
fn all_nodes_together_stay_within_the_append_budget() {
    let cluster = JournalCluster::new(9, 3);
    let journals: Vec<_> = (0..9).map(|index| cluster.journal(index)).collect();
    let before = cluster.platform.checker.counts().appends;
    for _ in 0..500 {
        for journal in &journals {
            for queue in 1..3 {
                let (journal, stream) = (journal.clone(), Stream::Queue(QueueIndex(queue)));
                cluster.platform.sim.spawn(0, async move {
                    let append = journal.append(stream, Term(0), vec![record(1)], None);
                    // Only the number of appends is checked here.
                    let _ = append.await;
                });
            }
        }
        cluster.run(10);
    }
    let sent = cluster.platform.checker.counts().appends - before;
    expect_that!(sent, all![ge(900), le(5 * 300 + 18)]);
}

/// Guards against readers that disagree on which batches are valid.
#[gtest]
fn validity_depends_on_batch_number_and_term() {
    let node = Platform::new(Deployment::small(), 1).nodes[0].node.clone();
    let batch = |started_ms: u64, number: u64, term: u64, tag: u64| {
        let id = BatchId {
            node: node.clone(),
            started_ms,
            number,
        };
        let mut bytes = Vec::new();
        let batch = Batch {
            id,
            term: Term(term),
            records: vec![record(tag)],
        };
        ciborium::into_writer(&batch, &mut bytes).expect("encodes");
        bytes::Bytes::from(bytes)
    };
    let records = [
        batch(1, 1, 0, 10),
        batch(1, 1, 0, 11),
        bytes::Bytes::from_static(b"not CBOR"),
        batch(1, 3, 0, 12),
        batch(1, 2, 0, 13),
        batch(2, 1, 5, 14),
        batch(1, 4, 4, 15),
        batch(1, 5, 5, 16),
    ];
    let read = ReadBatch {
        next: Offset(records.len() as u64),
        records: records
            .into_iter()
            .enumerate()
            .map(|(at, bytes)| (Offset(at as u64), bytes))
            .collect(),
        first: Offset(0),
    };
    let (batches, is_at_tail) = StreamReader::new().apply(read);
    let tags = batches
        .iter()
        .flat_map(|batch| &batch.records)
        .map(number_of);
    expect_that!(
        tags.collect::<Vec<_>>(),
        elements_are![eq(&10), eq(&12), eq(&14), eq(&16)]
    );
    expect_true!(is_at_tail);
}
