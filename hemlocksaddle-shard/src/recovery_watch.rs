//! Watch over an owner that has not recovered: what its recovery waits for, and when the shard is given up.
//!
//! `hemlocksaddle_policy::recovery_watch` decides when. An owner that gives its shard up goes on with its
//! recovery until another node has claimed the shard; the fences order the two.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use hemlocksaddle_policy::recovery_watch::{Reports, recovery_limit};
use hemlocksaddle_types::clock::Millis;
use serde_json::{Value, json};

use crate::{claims::Handover, event::Event, owner::Owner, ports::Stream};

/// Interval at which a recovery is looked at.
const WATCH_INTERVAL_MS: Millis = Millis(250);

/// Progress of reading a stream.
#[derive(Debug, Default)]
pub(crate) struct ReadProgress {
    /// Offset from which records are followed; `None` while the newest ones are read.
    from: Cell<Option<u64>>,
    /// End of the stream at the latest read.
    to: Cell<Option<u64>>,
    reads: Cell<u64>,
    records: Cell<u64>,
}

impl ReadProgress {
    /// Records that the newest records are read.
    pub(crate) fn record_newest(&self) {
        self.from.set(None);
        self.to.set(None);
    }

    /// Records the offset from which records are read.
    pub(crate) fn record_from(&self, from: u64) {
        self.from.set(Some(from));
    }

    /// Records the end of the stream.
    pub(crate) fn record_end(&self, end: u64) {
        self.to.set(Some(end));
    }

    /// Counts an answer and its records.
    pub(crate) fn record_read(&self, records: usize) {
        self.reads.set(self.reads.get() + 1);
        self.records.set(self.records.get() + records as u64);
    }
}

/// Part of a recovery that has not ended.
enum Wait {
    Fence(Stream),
    Read(Stream, Rc<ReadProgress>),
}

impl Wait {
    fn describe(&self) -> Value {
        match self {
            Wait::Fence(stream) => json!({ "fence": format!("{stream:?}") }),
            Wait::Read(stream, read) => json!({
                "stream": format!("{stream:?}"), "from": read.from.get(), "to": read.to.get(),
                "reads": read.reads.get(), "records": read.records.get(),
            }),
        }
    }
}

/// What the recovery of an owner waits for, and how much it has read.
#[derive(Default)]
pub(crate) struct RecoveryWaits {
    open: RefCell<Vec<Rc<Wait>>>,
    /// Reads and records of the parts that have ended.
    ended: Cell<(u64, u64)>,
}

impl RecoveryWaits {
    fn begin(&self, wait: Wait) -> Rc<Wait> {
        let wait = Rc::new(wait);
        self.open.borrow_mut().push(wait.clone());
        wait
    }

    fn end(&self, wait: &Rc<Wait>) {
        if let Wait::Read(_, read) = &**wait {
            let (reads, records) = self.ended.get();
            let sum = (reads + read.reads.get(), records + read.records.get());
            self.ended.set(sum);
        }
        self.open
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, wait));
    }

    /// Records that a fence is being appended to a stream, until the guard is dropped.
    pub(crate) fn wait_for_fence(&self, stream: Stream) -> FenceWait<'_> {
        FenceWait {
            waits: self,
            wait: self.begin(Wait::Fence(stream)),
        }
    }

    /// Records that a stream is being read, until the guard is dropped.
    pub(crate) fn wait_for_read(&self, stream: Stream) -> ReadWait<'_> {
        let progress = Rc::new(ReadProgress::default());
        ReadWait {
            waits: self,
            wait: self.begin(Wait::Read(stream, progress.clone())),
            progress,
        }
    }

    /// Numbers of answers and records that were read.
    fn totals(&self) -> (u64, u64) {
        let open = self.open.borrow();
        let read = open.iter().filter_map(|wait| match &**wait {
            Wait::Read(_, read) => Some((read.reads.get(), read.records.get())),
            Wait::Fence(_) => None,
        });
        read.fold(self.ended.get(), |sum, read| {
            (sum.0 + read.0, sum.1 + read.1)
        })
    }

    fn describe(&self) -> Vec<Value> {
        let open = self.open.borrow();
        open.iter().map(|wait| wait.describe()).collect()
    }
}

/// Append of a fence that has not been answered.
pub(crate) struct FenceWait<'a> {
    waits: &'a RecoveryWaits,
    wait: Rc<Wait>,
}

impl Drop for FenceWait<'_> {
    fn drop(&mut self) {
        self.waits.end(&self.wait);
    }
}

/// Read of a stream that is not complete.
pub(crate) struct ReadWait<'a> {
    waits: &'a RecoveryWaits,
    wait: Rc<Wait>,
    progress: Rc<ReadProgress>,
}

impl ReadWait<'_> {
    /// Progress of the read.
    pub(crate) fn progress(&self) -> &ReadProgress {
        &self.progress
    }
}

impl Drop for ReadWait<'_> {
    fn drop(&mut self) {
        self.waits.end(&self.wait);
    }
}

impl Owner {
    /// Reports a recovery that takes long, and offers the shard after the time that this term is given.
    pub(crate) async fn watch_recovery(self: Rc<Self>) {
        let claimed_at = self.env.now();
        let terms = self.claims.unrecovered_terms(self.shard, self.term);
        let limit = recovery_limit(self.env.settings.link_kbps, terms);
        let gauge = &self.env.metrics.unrecovered_s;
        let gauge = gauge.with_label_values(&[&self.shard.to_string()]);
        let mut reports = Reports::default();
        while self.is_recovering() {
            let waited = self.env.now().since(claimed_at);
            gauge.set(waited.0 as f64 / 1_000.0);
            if reports.is_due(waited) {
                self.report_recovery(waited, terms);
            }
            if waited >= limit && !self.is_offered() {
                self.give_up();
            }
            self.env.sleep(WATCH_INTERVAL_MS).await;
        }
        gauge.set(0.0);
    }

    fn report_recovery(&self, waited: Millis, terms: u32) {
        let (reads, records) = self.recovery.totals();
        let store = self.env.store_view();
        let inputs = json!({
            "shard": self.shard, "term": self.term, "waited_ms": waited.0,
            "waits_for": self.recovery.describe(), "reads": reads, "records": records,
            "unrecovered_terms": terms, "store_failing_ms": store.failing_for.0,
            "store_latency_ms": store.latency.0,
        });
        self.env.event(Event::RecoveryWaits, &inputs);
    }

    /// Offers the shard to a node that may recover sooner, if one is known.
    fn give_up(&self) {
        let Some(successor) = self.dispatcher.better_owner() else {
            return;
        };
        self.env.metrics.shards_given_up.inc();
        self.offer(Handover {
            successor: Some(successor),
            offered_at: self.env.now(),
            is_given_up: true,
        });
    }
}
