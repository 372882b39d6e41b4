//! State of a shard in the store, as of some offset of each stream.
//!
//! A snapshot is read page by page and brought up to date from the records that follow.

use std::{collections::BTreeMap, sync::Arc};

use hemlocksaddle_types::clock::Millis;

use crate::{
    node::Env,
    ports::{Record, Result, Stream},
};

/// Newest record of each key of a stream.
#[derive(Debug)]
pub(crate) struct Snapshot {
    records: BTreeMap<Arc<str>, Record>,
    /// Offset of the first record that is not included.
    pub(crate) end: u64,
}

impl Snapshot {
    /// Reads a stream completely.
    pub(crate) async fn read(env: &Env, stream: Stream, partition: u32) -> Result<Snapshot> {
        let (records, end) = env.read_all(stream, partition).await?;
        let by_key = records.into_iter();
        Ok(Snapshot {
            records: by_key.map(|record| (record.key.clone(), record)).collect(),
            end,
        })
    }

    /// Adds the records that have followed.
    ///
    /// # Errors
    ///
    /// Fails with `Truncated` if some of them are no longer in the store.
    pub(crate) async fn update(&mut self, env: &Env, stream: Stream, partition: u32) -> Result<()> {
        while self.read_following(env, stream, partition).await? {}
        Ok(())
    }

    /// Adds records that have followed, of one call; returns whether there were any.
    async fn read_following(&mut self, env: &Env, stream: Stream, partition: u32) -> Result<bool> {
        let tail = env.read(stream, partition, self.end, Millis(0)).await?;
        let has_grown = tail.next != self.end;
        self.end = tail.next;
        for record in tail.records.into_iter().flatten() {
            if record.value.is_some() {
                self.records.insert(record.key.clone(), record);
            } else {
                self.records.remove(&record.key);
            }
        }
        Ok(has_grown)
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
