//! Calls of a node to the store, with time limits, metrics and a view of the store's health.

use foldhash::{HashSet, HashSetExt};
use hemlocksaddle_policy::recovery_watch::StoreView;
use hemlocksaddle_types::clock::Millis;
use serde_json::json;

use super::Env;
use crate::{
    event::Event,
    ports::{Conditions, Record, Result, StoreError, Stream, Tail},
    record::Key,
};

/// Timeout of a call to the store, beyond the wait of a read.
///
/// Long enough for a few consecutive answers of a slow store, which takes 60 times the usual 4 ms
/// for each, and short enough to detect a silent connection before the ownership lease expires.
const STORE_TIMEOUT_MS: Millis = Millis(1_200);

/// Timeout of the request for the end of the submissions, of which the answer may come late without harm.
///
/// A store that answers requests for pages too late for recovery would otherwise keep nodes from following them.
const SUBMISSIONS_END_TIMEOUT_MS: Millis = Millis(5_000);

/// Maximum size of a page of newest records on the wire, encoded in base64.
const MAX_PAGE_BYTES: u64 = 1_400_000;

/// Number of streams that a new owner reads at the same time, over one link.
const CONCURRENT_STREAMS: u64 = 2;

/// Pause after a read that was answered early without records.
const EARLY_ANSWER_PAUSE_MS: Millis = Millis(100);

impl Env {
    /// Reads the newest record of each key, with the offset to follow from.
    pub(crate) async fn read_all(
        &self,
        stream: Stream,
        partition: u32,
    ) -> Result<(Vec<Record>, u64)> {
        self.read_pages(stream, partition, |_| {}).await
    }

    /// Reads the newest record of each key, as [`Env::read_all`] does; `on_page` gets the number of records of each
    /// page.
    ///
    /// # Errors
    ///
    /// Fails if a page ends with the same key as an earlier one, since the pages between would be read for ever.
    pub(crate) async fn read_pages(
        &self,
        stream: Stream,
        partition: u32,
        on_page: impl Fn(usize),
    ) -> Result<(Vec<Record>, u64)> {
        let mut records: Vec<Record> = Vec::new();
        let mut end = None;
        // Keys are only compared for equality, since the store's order of them may be any.
        let mut last_keys = HashSet::new();
        loop {
            let after = records.last().map(|record| record.key.clone());
            let page = self.ports.store.newest(stream, partition, after.clone());
            let page = self
                .with_timeout("newest", self.page_timeout(), page)
                .await?;
            on_page(page.records.len());
            // Changes between two pages are read again when the stream is followed.
            end.get_or_insert(page.end);
            let is_empty = page.records.is_empty();
            let last = page.records.last().map(|record| record.key.clone());
            if last.is_some() && !last_keys.insert(last.clone()) {
                let inputs = json!({
                    "stream": format!("{stream:?}"), "partition": partition,
                    "after": after, "last": last,
                });
                self.event(Event::OddAnswer, &inputs);
                return Err(StoreError::Unreadable);
            }
            records.extend(page.records);
            if !page.more || is_empty {
                return Ok((records, end.unwrap_or(page.end)));
            }
        }
    }

    /// Timeout of a call that reads a page: the page may be as large as the store allows.
    fn page_timeout(&self) -> Millis {
        let link_kbps = u64::from(self.settings.link_kbps.max(1));
        Millis(STORE_TIMEOUT_MS.0 + CONCURRENT_STREAMS * MAX_PAGE_BYTES * 8 / link_kbps)
    }

    pub(crate) async fn read(
        &self,
        stream: Stream,
        partition: u32,
        from: u64,
        wait: Millis,
    ) -> Result<Tail> {
        let sent_at = self.now();
        let read = self.read_timed(stream, partition, from, wait).await;
        let is_empty = read.as_ref().is_ok_and(|tail| tail.next <= from);
        if is_empty && self.now().since(sent_at).0 < wait.0 / 2 {
            // The caller reads on at once, since an answer without records has usually waited.
            self.log_early_answer(stream, partition, from);
            self.sleep(EARLY_ANSWER_PAUSE_MS).await;
        }
        read
    }

    /// Logs that a read which was to wait was answered early without records: the first one, and at each doubling.
    fn log_early_answer(&self, stream: Stream, partition: u32, from: u64) {
        let count = self.early_answers.get() + 1;
        self.early_answers.set(count);
        if count.is_power_of_two() {
            let inputs = json!({
                "stream": format!("{stream:?}"), "partition": partition, "from": from,
                "early_answers": count,
            });
            self.event(Event::OddAnswer, &inputs);
        }
    }

    /// Logs that the records from an offset on, which were to be read next, are deleted up to `first`.
    pub(crate) fn log_position_lost(&self, stream: Stream, partition: u32, from: u64, first: u64) {
        let inputs = json!({
            "stream": format!("{stream:?}"), "partition": partition, "from": from, "first": first,
        });
        self.event(Event::PositionLost, &inputs);
    }

    /// Reads records that may be as many as the store returns at once; does not wait for new ones.
    ///
    /// Its time does not count as the store's latency, as most of it may be that of the transfer.
    pub(crate) async fn read_following(
        &self,
        stream: Stream,
        partition: u32,
        from: u64,
    ) -> Result<Tail> {
        let read = self.ports.store.read(stream, partition, from, Millis(0));
        self.with_timeout("read", self.page_timeout(), read).await
    }

    /// Returns the offset after the last record of a shard's submissions.
    ///
    /// Like the reads that follow, it does not count for the store's health: whether submissions are refused
    /// because the store is unavailable must not depend on reads that only serve to refuse them.
    pub(crate) async fn submissions_end(&self, shard: u32) -> Result<u64> {
        // No key of a submission follows that of the fence, so the page is empty.
        let after = Some(Key::Fence.text());
        let page = self.ports.store.newest(Stream::Submissions, shard, after);
        let page = self.with_timeout_aside("newest", SUBMISSIONS_END_TIMEOUT_MS, page);
        Ok(page.await?.end)
    }

    /// Reads submissions from an offset on; does not wait for new ones.
    pub(crate) async fn read_submissions_aside(&self, shard: u32, from: u64) -> Result<Tail> {
        let store = &self.ports.store;
        let read = store.read(Stream::Submissions, shard, from, Millis(0));
        self.with_timeout_aside("read", self.page_timeout(), read)
            .await
    }

    async fn read_timed(
        &self,
        stream: Stream,
        partition: u32,
        from: u64,
        wait: Millis,
    ) -> Result<Tail> {
        let sent_at = self.now();
        let read = self.ports.store.read(stream, partition, from, wait);
        let read = self
            .with_timeout("read", wait + STORE_TIMEOUT_MS, read)
            .await;
        let took = self.now().since(sent_at);
        match took.0.checked_sub(wait.0) {
            _ if matches!(read, Err(StoreError::NotDone)) => {}
            Some(delay) => self.store_latency.set(Millis(delay)),
            // A record ended the wait early, so the latency is at most the whole time.
            None => self.store_latency.set(self.store_latency.get().min(took)),
        }
        read
    }

    /// Returns the latency of the store's latest answer, without the wait of a read.
    pub(crate) fn store_latency(&self) -> Millis {
        self.store_latency.get()
    }

    pub(crate) async fn append(
        &self,
        stream: Stream,
        partition: u32,
        records: Vec<Record>,
        conditions: Conditions,
    ) -> Result<u64> {
        let sent_at = self.now();
        let append = self
            .ports
            .store
            .append(stream, partition, records, conditions);
        let append = self.with_timeout("append", STORE_TIMEOUT_MS, append).await;
        // A rejected call does not show how long others take.
        if !matches!(append, Err(StoreError::NotDone)) {
            self.store_latency.set(self.now().since(sent_at));
        }
        append
    }

    async fn with_timeout<T>(
        &self,
        call: &str,
        limit: Millis,
        future: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let answer = self.with_timeout_aside(call, limit, future).await;
        self.track_store_health(call, answer.as_ref().err().copied());
        answer
    }

    /// Limits the time of a call whose outcome does not count for the store's health.
    async fn with_timeout_aside<T>(
        &self,
        call: &str,
        limit: Millis,
        future: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let answer = hemlocksaddle_node::wait::within(&*self.ports.runtime, limit, future).await;
        let answer = answer.unwrap_or(Err(StoreError::Unknown));
        let outcome = match &answer {
            Ok(_) => "ok",
            Err(StoreError::NotDone) => "not done",
            Err(StoreError::Unknown) => "unknown",
            Err(_) => "refused",
        };
        self.metrics
            .store_calls
            .with_label_values(&[call, outcome])
            .inc();
        answer
    }

    fn track_store_health(&self, call: &str, error: Option<StoreError>) {
        let failing = matches!(error, Some(StoreError::NotDone | StoreError::Unknown));
        let since = self.store_failing_since.get();
        if failing && since.is_none() {
            self.store_failing_since.set(Some(self.now()));
            let inputs = json!({ "call": call, "error": format!("{error:?}") });
            self.event(Event::StoreLost, &inputs);
        }
        if !failing && let Some(since) = since {
            self.store_failing_since.set(None);
            let away_ms = self.now().since(since);
            let inputs = json!({ "call": call, "away_ms": away_ms.0 });
            self.event(Event::StoreRegained, &inputs);
        }
    }

    /// Returns how the store answers this node.
    pub(crate) fn store_view(&self) -> StoreView {
        StoreView {
            latency: self.store_latency(),
            failing_for: self.store_failing_for(),
        }
    }

    /// Returns the time for which all calls to the store have failed.
    pub(crate) fn store_failing_for(&self) -> Millis {
        let since = self.store_failing_since.get();
        since.map_or(Millis(0), |since| self.now().since(since))
    }
}
