//! Journal: what it reports as durable is in the log once and in order, what it refuses never is.

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

/// Journals of several nodes over one log.
struct Bench {
    platform: Rc<Platform>,
    results: Rc<RefCell<BTreeMap<u64, AppendResult>>>,
}

impl Bench {
    fn new(nodes: usize, seed: u64) -> Bench {
        Bench {
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

    fn faults(&self, lost_percent: u64, late_percent: u64) {
        self.platform.faults.replace(Faults {
            log_lost_percent: lost_percent,
            log_late_percent: late_percent,
            ..Faults::default()
        });
    }

    fn set_down(&self, down: bool) {
        self.platform.faults.replace(Faults {
            log_down: down,
            ..Faults::default()
        });
    }

    fn run(&self, span_ms: u64) {
        self.platform.run_for(Millis(span_ms));
    }

    fn open(
        &self,
        journal: &Rc<SharedJournal>,
        term: u64,
    ) -> std::result::Result<Vec<Record>, Fenced> {
        self.platform.sim.block_on(journal.open(QUEUE, Term(term)))
    }

    /// Appends a record in the background and keeps the result under its number.
    fn append(&self, journal: &Rc<SharedJournal>, term: u64, number: u64, within: Option<u64>) {
        let (journal, results) = (journal.clone(), self.results.clone());
        let process = self.platform.sim.node_process(&self.platform.nodes[0].node);
        self.platform.sim.spawn(process, async move {
            let records = vec![record(number)];
            let append = journal.append(QUEUE, Term(term), records, within.map(Millis));
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

    /// Compares all results with what is in the stream.
    fn check_results(&self, label: &str) {
        let valid = self.valid();
        for (number, result) in self.results.borrow().iter() {
            let times = valid.iter().filter(|found| *found == number).count();
            match result {
                Ok(_) => expect_that!(times, eq(1), "{label}: record {number} is durable"),
                Err(AppendError::NotAppended) => {
                    expect_that!(times, eq(0), "{label}: record {number} was refused");
                }
                Err(AppendError::Unsettled) => expect_that!(times, le(1), "{label}: {number}"),
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

/// Guards against records that are lost, written twice or put out of order when
/// answers are lost and appends take effect late.
#[gtest]
fn durable_means_once_and_in_order() {
    for seed in 0..20 {
        let bench = Bench::new(1, seed);
        let journal = bench.journal(0);
        expect_that!(bench.open(&journal, 1), ok(is_empty()));
        bench.faults(20, 20);
        for number in 0..60 {
            let limit = bench.platform.sim.below(8_000);
            let within = (limit < 5_000).then_some(limit);
            bench.append(&journal, 1, number, within);
            bench.run(bench.platform.sim.below(1_500));
        }
        bench.run(120_000);
        expect_that!(bench.results.borrow().len(), eq(60), "seed {seed}");
        bench.check_results(&format!("seed {seed}"));
        let valid = bench.valid();
        expect_true!(valid.is_sorted(), "seed {seed}: {valid:?}");
    }
}

/// Guards against a previous owner whose late batches become valid behind the
/// fence, or who reports them as durable.
#[gtest]
fn a_fence_voids_what_the_previous_owner_sends() {
    for seed in 0..20 {
        let bench = Bench::new(2, seed);
        let (old, new) = (bench.journal(0), bench.journal(1));
        expect_that!(bench.open(&old, 1), ok(is_empty()));
        bench.faults(20, 30);
        for number in 0..20 {
            bench.append(&old, 1, number, None);
            bench.run(bench.platform.sim.below(800));
        }
        let opened = bench.open(&new, 2).expect("no higher term");
        let before: Vec<u64> = opened.iter().map(number_of).collect();
        for number in 20..30 {
            bench.append(&old, 1, number, None);
            bench.append(&new, 2, number + 1_000, None);
            bench.run(500);
        }
        bench.run(120_000);
        bench.check_results(&format!("seed {seed}"));
        let old_ones: Vec<u64> = bench.valid().into_iter().filter(|n| *n < 1_000).collect();
        expect_that!(
            old_ones,
            eq(&before),
            "seed {seed}: all that is valid before the fence"
        );
        for number in 20..30 {
            let refused = Some(Err(AppendError::NotAppended));
            expect_that!(bench.result(number), eq(refused), "seed {seed}");
            expect_true!(matches!(bench.result(number + 1_000), Some(Ok(_))));
        }
        expect_that!(bench.open(&old, 1), err(eq(&Fenced)));
    }
}

/// Guards against a node that loses the records of its own earlier term when it owns a queue again.
#[gtest]
fn a_queue_that_comes_back_is_read_in_full() {
    let bench = Bench::new(2, 1);
    let (one, two) = (bench.journal(0), bench.journal(1));
    for (round, journal) in [&one, &two, &one, &two].into_iter().enumerate() {
        let term = round as u64 + 1;
        let opened = bench.open(journal, term).expect("terms rise");
        expect_that!(opened.len(), eq(round));
        bench.append(journal, term, term, None);
        bench.run(200);
    }
    expect_that!(bench.valid(), elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]);
}

/// Guards against "not appended" for records that appear when the log returns,
/// and against accepted work whose records an outage loses.
#[gtest]
fn an_outage_withdraws_what_has_a_limit_and_keeps_the_rest() {
    for seed in 0..10 {
        let bench = Bench::new(1, seed);
        let journal = bench.journal(0);
        expect_that!(bench.open(&journal, 1), ok(anything()));
        bench.set_down(true);
        for number in 0..40 {
            let within = (number % 2 == 0).then_some(1_000);
            bench.append(&journal, 1, number, within);
            bench.run(200);
        }
        bench.run(30_000);
        expect_false!(journal.log_is_up());
        // Only what one append without an answer carried stays unsettled.
        let results = bench.results.borrow().clone();
        let unsettled = results
            .iter()
            .filter(|(_, result)| **result == Err(AppendError::Unsettled));
        let unsettled: Vec<u64> = unsettled.map(|(number, _)| *number).collect();
        let from = unsettled.first().copied().unwrap_or(0);
        let one_batch: Vec<u64> = (from..40).step_by(2).take(unsettled.len()).collect();
        expect_that!(unsettled, eq(&one_batch), "seed {seed}");
        // Records with a limit come every 400 ms and wait at most 1,000 ms, so a batch has at most 3.
        expect_that!(unsettled.len(), le(3), "seed {seed}");
        let refused = results
            .values()
            .filter(|result| **result == Err(AppendError::NotAppended));
        expect_that!(refused.count() + unsettled.len(), eq(20), "seed {seed}");
        bench.set_down(false);
        bench.run(10_000);
        bench.check_results(&format!("seed {seed}"));
        // Nothing took effect during the outage, so what was given up then must never appear.
        let given_up = results.iter().filter(|(_, result)| result.is_err());
        let mut given_up = given_up.map(|(number, _)| number);
        expect_false!(
            given_up.any(|number| bench.valid().contains(number)),
            "seed {seed}"
        );
        let kept: Vec<u64> = bench.valid().into_iter().filter(|n| n % 2 == 1).collect();
        let expected: Vec<u64> = (0..40).filter(|number| number % 2 == 1).collect();
        expect_that!(kept, eq(&expected), "seed {seed}");
        bench.append(&journal, 1, 41, None);
        bench.run(1_000);
        expect_true!(journal.log_is_up());
    }
}

/// Guards against a backlog that grows without bound, and against one that is
/// sent in a burst when the log returns.
#[gtest]
fn the_backlog_is_bounded_and_paced() {
    let bench = Bench::new(9, 2);
    let journal = bench.journal(0);
    expect_that!(bench.open(&journal, 1), ok(anything()));
    bench.set_down(true);
    let records = MAX_WAITING_RECORDS as u64 + 100;
    (0..records).for_each(|number| bench.append(&journal, 1, number, Some(60_000)));
    bench.run(2_000);
    let refused = bench.results.borrow().len() as u64;
    expect_that!(refused, ge(100));
    bench.set_down(false);
    let before = bench.platform.checker.counts().appends;
    bench.run(4_000);
    let sent = bench.platform.checker.counts().appends - before;
    // 4,196 records need at least 17 batches of 256; 9 nodes give an interval of 30 ms.
    expect_that!(sent, all![ge(16), le(40)]);
    bench.check_results("backlog");
    expect_that!(bench.valid().len() as u64, eq(records - refused));
}

/// Guards against nodes that together send more appends than the log takes.
#[gtest]
fn all_nodes_together_stay_within_the_append_budget() {
    let bench = Bench::new(9, 3);
    let journals: Vec<_> = (0..9).map(|index| bench.journal(index)).collect();
    let before = bench.platform.checker.counts().appends;
    for _ in 0..500 {
        for journal in &journals {
            for queue in 1..3 {
                let (journal, stream) = (journal.clone(), Stream::Queue(QueueIndex(queue)));
                bench.platform.sim.spawn(0, async move {
                    let append = journal.append(stream, Term(0), vec![record(1)], None);
                    // Only the number of appends counts here.
                    let _ = append.await;
                });
            }
        }
        bench.run(10);
    }
    let sent = bench.platform.checker.counts().appends - before;
    expect_that!(sent, all![ge(900), le(5 * 300 + 18)]);
}

/// Guards against readers that differ in which batches they take for valid.
#[gtest]
fn the_two_rules_decide_validity() {
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
