//! The platform's log: streams with offsets, limited retention and faults.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    future::pending,
    rc::Rc,
};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::select;
use hemlocksaddle_node::ports::{Log, PortError, PortFuture, ReadBatch, Result};
use hemlocksaddle_types::{
    clock::Millis,
    record::{Batch, Offset, Stream},
};

use crate::{
    judge::Judges,
    network::{CALL_TIMEOUT, Endpoint, Network},
};

/// Records that one read returns at most.
const READ_RECORDS: usize = 1_000;
/// Longest time by which a late append is late.
const LATE_MS: u64 = 20_000;

/// What is wrong with the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// Nothing is taken or served.
    pub down: bool,
    /// Added to each call.
    pub slow: Millis,
    /// Share of appends that take effect without an answer, in percent.
    pub lost_percent: u64,
    /// Share of appends that take effect long after the caller gave up, in percent.
    pub late_percent: u64,
}

#[derive(Default)]
struct Records {
    first: u64,
    kept: VecDeque<(u64, Bytes)>,
    waiting: Vec<oneshot::Sender<()>>,
}

/// Log of one run.
pub struct FakeLog {
    network: Rc<Network>,
    judges: Rc<Judges>,
    streams: RefCell<BTreeMap<Stream, Records>>,
    /// Faults in force.
    pub faults: Cell<LogFaults>,
    /// Time for which records are kept.
    pub retention: Cell<Millis>,
    /// Appends that took effect.
    pub appends: Cell<u64>,
}

impl FakeLog {
    /// Empty log.
    #[must_use]
    pub fn new(network: &Rc<Network>, judges: &Rc<Judges>) -> Rc<FakeLog> {
        Rc::new(FakeLog {
            network: network.clone(),
            judges: judges.clone(),
            streams: RefCell::default(),
            faults: Cell::default(),
            retention: Cell::new(Millis(24 * 3_600_000)),
            appends: Cell::new(0),
        })
    }

    /// Port of one process.
    #[must_use]
    pub fn port(self: &Rc<Self>, from: &Endpoint) -> Rc<dyn Log> {
        Rc::new(LogPort {
            log: self.clone(),
            from: from.clone(),
        })
    }

    /// All records that are kept in a stream.
    #[must_use]
    pub fn records(&self, stream: Stream) -> Vec<Bytes> {
        let streams = self.streams.borrow();
        let kept = streams.get(&stream).map(|records| &records.kept);
        kept.into_iter()
            .flatten()
            .map(|(_, record)| record.clone())
            .collect()
    }

    /// Puts a record at the end of a stream at once.
    pub fn put(&self, stream: Stream, record: Bytes) -> Offset {
        self.appends.set(self.appends.get() + 1);
        if let Ok(batch) = ciborium::from_reader::<Batch, _>(&*record) {
            self.judges.logged(stream, &batch);
        }
        let mut streams = self.streams.borrow_mut();
        let records = streams.entry(stream).or_default();
        let offset = records.first + records.kept.len() as u64;
        records.kept.push_back((self.network.sim.now().0, record));
        for waiting in records.waiting.drain(..) {
            let _ = waiting.send(());
        }
        Offset(offset)
    }

    async fn serve_append(self: Rc<Self>, stream: Stream, record: Bytes) -> Result<Offset> {
        self.respond().await?;
        self.judges.appended();
        let sim = &self.network.sim;
        let faults = self.faults.get();
        if sim.below(100) < faults.late_percent {
            sim.sleep(Millis(sim.below(LATE_MS))).await;
            self.put(stream, record);
            return pending().await;
        }
        let offset = self.put(stream, record);
        if sim.below(100) < faults.lost_percent {
            return pending().await;
        }
        Ok(offset)
    }

    async fn serve_read(
        self: Rc<Self>,
        stream: Stream,
        from: Offset,
        wait: Millis,
    ) -> Result<ReadBatch> {
        self.respond().await?;
        let changed = {
            let mut streams = self.streams.borrow_mut();
            let records = streams.entry(stream).or_default();
            let next = records.first + records.kept.len() as u64;
            (from.0 >= next && wait > Millis(0)).then(|| {
                let (sender, receiver) = oneshot::channel();
                records.waiting.push(sender);
                receiver
            })
        };
        if let Some(changed) = changed {
            let timeout = Box::pin(self.network.sim.sleep(wait));
            select(changed, timeout).await;
        }
        if self.faults.get().down {
            return pending().await;
        }
        Ok(self.read_now(stream, from))
    }

    fn read_now(&self, stream: Stream, from: Offset) -> ReadBatch {
        let mut streams = self.streams.borrow_mut();
        let records = streams.entry(stream).or_default();
        let oldest = self
            .network
            .sim
            .now()
            .0
            .saturating_sub(self.retention.get().0);
        while records
            .kept
            .front()
            .is_some_and(|(at_ms, _)| *at_ms < oldest)
        {
            records.kept.pop_front();
            records.first += 1;
        }
        let start = from.0.max(records.first);
        let skipped = usize::try_from(start - records.first).unwrap_or(usize::MAX);
        let found = records.kept.iter().skip(skipped).take(READ_RECORDS);
        ReadBatch {
            records: found
                .zip(start..)
                .map(|((_, record), offset)| (Offset(offset), record.clone()))
                .collect(),
            first: Offset(records.first),
            next: Offset(records.first + records.kept.len() as u64),
        }
    }

    async fn respond(&self) -> Result<()> {
        let sim = &self.network.sim;
        let faults = self.faults.get();
        if faults.down {
            if sim.below(2) == 0 {
                return Err(PortError::NotSent);
            }
            return pending().await;
        }
        sim.sleep(Millis(1 + sim.below(3 + 2 * faults.slow.0)))
            .await;
        Ok(())
    }
}

struct LogPort {
    log: Rc<FakeLog>,
    from: Endpoint,
}

impl Log for LogPort {
    fn append(&self, stream: Stream, record: Bytes) -> PortFuture<'_, Result<Offset>> {
        let log = self.log.clone();
        let to = Endpoint::platform("log");
        let call = self
            .log
            .network
            .call(&self.from, &to, CALL_TIMEOUT, move || {
                log.serve_append(stream, record)
            });
        Box::pin(async move { call.await? })
    }

    fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Millis,
    ) -> PortFuture<'_, Result<ReadBatch>> {
        let log = self.log.clone();
        let to = Endpoint::platform("log");
        let call = self
            .log
            .network
            .call(&self.from, &to, CALL_TIMEOUT + wait, move || {
                log.serve_read(stream, from, wait)
            });
        Box::pin(async move { call.await? })
    }
}
