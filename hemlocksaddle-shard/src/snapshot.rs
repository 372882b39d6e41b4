//! State of a shard in the store, as of some offset of each stream.
//!
//! A snapshot is read page by page and brought up to date from the records that follow. A
//! node that is to own a shard next reads it while the owner goes on, so that only the
//! records since then have to be read after the claim.

use std::{collections::BTreeMap, sync::Arc};

use futures_util::future::join3;
use hemlocksaddle_policy::catch_up::{CatchUp, Next};
use hemlocksaddle_types::clock::Millis;

use crate::{
    node::Env,
    ports::{Record, Result, Stream},
    recovery_watch::ReadProgress,
};

/// Number of reads of what has followed before a claim; each takes a fraction of the time of the one before.
const FOLLOWING_READS: usize = 2;

/// Time after which no further read of what has followed begins; the owner's process ends soon.
const FOLLOWING_LIMIT_MS: Millis = Millis(400);

/// Newest record of each key of a stream.
#[derive(Debug)]
pub(crate) struct Snapshot {
    records: BTreeMap<Arc<str>, Record>,
    /// Offset of the first record that is not included.
    pub(crate) end: u64,
}

impl Snapshot {
    /// Reads a stream completely.
    pub(crate) async fn read(
        env: &Env,
        stream: Stream,
        partition: u32,
        progress: &ReadProgress,
    ) -> Result<Snapshot> {
        progress.record_newest();
        let read = env.read_pages(stream, partition, |records| progress.record_read(records));
        let (records, end) = read.await?;
        let by_key = records.into_iter();
        Ok(Snapshot {
            records: by_key.map(|record| (record.key.clone(), record)).collect(),
            end,
        })
    }

    /// Adds the records that have followed, up to the end of the stream at the first read.
    ///
    /// # Errors
    ///
    /// Fails with `Truncated` if some of them are no longer in the store.
    pub(crate) async fn update(
        &mut self,
        env: &Env,
        stream: Stream,
        partition: u32,
        progress: &ReadProgress,
    ) -> Result<()> {
        let mut catch_up = CatchUp::new(self.records.len());
        loop {
            let from = self.end;
            progress.record_from(from);
            let end = self
                .read_following(env, stream, partition, progress)
                .await?;
            progress.record_end(end);
            match catch_up.after_read(from, self.end, end) {
                Next::Follow => {}
                Next::ReadNewest => {
                    *self = Snapshot::read(env, stream, partition, progress).await?;
                    return Ok(());
                }
                Next::Complete => return Ok(()),
            }
        }
    }

    /// Adds records that have followed, of one call; returns the end of the stream.
    async fn read_following(
        &mut self,
        env: &Env,
        stream: Stream,
        partition: u32,
        progress: &ReadProgress,
    ) -> Result<u64> {
        let tail = env.read_following(stream, partition, self.end).await?;
        progress.record_read(tail.records.len());
        self.end = tail.next;
        for record in tail.records.into_iter().flatten() {
            if record.value.is_some() {
                self.records.insert(record.key.clone(), record);
            } else {
                self.records.remove(&record.key);
            }
        }
        Ok(tail.end)
    }

    /// Number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Records by key.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}

/// Snapshots of all streams that a shard's owner recovers from.
#[derive(Debug)]
pub(crate) struct Snapshots {
    pub(crate) submissions: Snapshot,
    pub(crate) progress: Snapshot,
    pub(crate) workers: Snapshot,
}

impl Snapshots {
    /// Reads what has followed while the shard's owner adds to the streams, so that little is left to read.
    pub(crate) async fn read_following(&mut self, env: &Env, shard: u32) -> Result<()> {
        let started_at = env.now();
        let progress = &ReadProgress::default();
        for _ in 0..FOLLOWING_READS {
            let before = self.ends();
            let (submissions, progress, workers) = join3(
                self.submissions
                    .read_following(env, Stream::Submissions, shard, progress),
                self.progress
                    .read_following(env, Stream::Progress, shard, progress),
                self.workers
                    .read_following(env, Stream::Workers, 0, progress),
            )
            .await;
            let _ = (submissions?, progress?, workers?);
            let has_grown = self.ends() != before;
            if !has_grown || env.now().since(started_at) >= FOLLOWING_LIMIT_MS {
                break;
            }
        }
        Ok(())
    }

    fn ends(&self) -> [u64; 3] {
        [self.submissions.end, self.progress.end, self.workers.end]
    }

    /// Reads the streams of a shard, at the same time.
    pub(crate) async fn read(env: &Env, shard: u32) -> Result<Snapshots> {
        let read = &ReadProgress::default();
        let (submissions, progress, workers) = join3(
            Snapshot::read(env, Stream::Submissions, shard, read),
            Snapshot::read(env, Stream::Progress, shard, read),
            Snapshot::read(env, Stream::Workers, 0, read),
        )
        .await;
        Ok(Snapshots {
            submissions: submissions?,
            progress: progress?,
            workers: workers?,
        })
    }
}
