//! The platform's log: streams with offsets, limited retention and injected faults.

use std::{collections::VecDeque, future::pending, rc::Rc};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::select;
use hemlocksaddle_node::ports::{Log, PortError, PortFuture, ReadBatch, Result};
use hemlocksaddle_types::{
    clock::Millis,
    record::{Batch, Offset, Stream},
};

use crate::{
    network::CALL_TIMEOUT,
    platform::{NodePorts, Platform},
};

/// Maximum number of records that one read returns.
const MAX_READ_RECORDS: usize = 1_000;
/// Bound on the delay of a late append.
const MAX_LATE_MS: u64 = 20_000;

#[derive(Default)]
pub(crate) struct StreamRecords {
    first: u64,
    retained: VecDeque<(u64, Bytes)>,
    waiters: Vec<oneshot::Sender<()>>,
}

impl StreamRecords {
    fn next(&self) -> u64 {
        self.first + self.retained.len() as u64
    }
}

impl Platform {
    /// Appends a record to a stream without delay or faults.
    pub fn append_now(&self, stream: Stream, record: Bytes) -> Offset {
        if let Ok(batch) = ciborium::from_reader::<Batch, _>(&*record) {
            self.checker.batch_logged(stream, &batch);
        }
        let mut log = self.log.borrow_mut();
        let records = log.entry(stream).or_default();
        let offset = records.next();
        records.retained.push_back((self.sim.now().0, record));
        records.waiters.clear();
        Offset(offset)
    }

    async fn serve_append(self: Rc<Self>, stream: Stream, record: Bytes) -> Result<Offset> {
        self.delay_or_fail().await?;
        self.checker.appended();
        let faults = self.faults.borrow().clone();
        if self.sim.below(100) < faults.log_late_percent {
            let late_ms = self.sim.below(MAX_LATE_MS);
            self.sim.sleep(Millis(late_ms)).await;
            self.append_now(stream, record);
            return pending().await;
        }
        let offset = self.append_now(stream, record);
        if self.sim.below(100) < faults.log_lost_percent {
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
        self.delay_or_fail().await?;
        if let Some(changed) = self.wait_for_change(stream, from) {
            select(changed, self.sim.sleep(wait)).await;
        }
        if self.faults.borrow().log_down {
            return pending().await;
        }
        Ok(self.read_now(stream, from))
    }

    /// Returns a receiver that completes at the next append; `None` if the stream already has a record
    /// at or after the offset.
    fn wait_for_change(&self, stream: Stream, from: Offset) -> Option<oneshot::Receiver<()>> {
        let mut log = self.log.borrow_mut();
        let records = log.entry(stream).or_default();
        (from.0 >= records.next()).then(|| {
            let (sender, changed) = oneshot::channel();
            records.waiters.push(sender);
            changed
        })
    }

    /// Reads from a stream without delay or faults.
    #[must_use]
    pub fn read_now(&self, stream: Stream, from: Offset) -> ReadBatch {
        let mut log = self.log.borrow_mut();
        let records = log.entry(stream).or_default();
        let retention = self.faults.borrow().log_retention;
        let oldest = self.sim.now().0.saturating_sub(retention.0);
        while records
            .retained
            .front()
            .is_some_and(|(at_ms, _)| *at_ms < oldest)
        {
            records.retained.pop_front();
            records.first += 1;
        }
        let numbered = (records.first..).map(Offset).zip(&records.retained);
        let found = numbered.skip_while(|(offset, _)| *offset < from);
        let found = found.take(MAX_READ_RECORDS);
        ReadBatch {
            records: found
                .map(|(offset, (_, record))| (offset, record.clone()))
                .collect(),
            first: Offset(records.first),
            next: Offset(records.next()),
        }
    }

    async fn delay_or_fail(&self) -> Result<()> {
        let faults = self.faults.borrow().clone();
        if faults.log_down && self.sim.below(2) == 0 {
            return Err(PortError::NotSent);
        }
        if faults.log_down {
            return pending().await;
        }
        let delay_ms = 1 + self.sim.below(3 + 2 * faults.log_slow.0);
        self.sim.sleep(Millis(delay_ms)).await;
        Ok(())
    }
}

impl Log for NodePorts {
    fn append(&self, stream: Stream, record: Bytes) -> PortFuture<'_, Result<Offset>> {
        let log = self.platform.clone();
        let work = move || log.serve_append(stream, record);
        let call = self.call_platform("log", CALL_TIMEOUT, work);
        Box::pin(async move { call.await? })
    }

    fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Millis,
    ) -> PortFuture<'_, Result<ReadBatch>> {
        let log = self.platform.clone();
        let work = move || log.serve_read(stream, from, wait);
        let call = self.call_platform("log", CALL_TIMEOUT + wait, work);
        Box::pin(async move { call.await? })
    }
}
