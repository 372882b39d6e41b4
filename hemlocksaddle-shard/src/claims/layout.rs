//! Layout of a deployment, decided once by the node that writes it first.

use hemlocksaddle_types::clock::Millis;

use super::{Claims, MAX_SHARDS, RETRY_MS};
use crate::{
    ports::{Conditions, Stream},
    record::{self, LAYOUT_KEY, Layout},
};

/// Workers per shard, from which the first start of a deployment derives the number of shards.
///
/// An owner that sees all workers places tasks better than several that see a part, because racks
/// and workflows are assigned whole and spread unevenly, and it learns interference from all runs.
/// Calls to workers do not limit it, since it delegates them.
const WORKERS_PER_SHARD: usize = 1_200;

/// Time for workers to register before the layout is decided: two of their registration intervals.
const LAYOUT_WAIT_MS: Millis = Millis(3_500);

/// Time after which the layout is decided even if no worker has registered.
const LAYOUT_WAIT_WITHOUT_WORKERS_MS: Millis = Millis(8_000);

impl Claims {
    /// Writes the layout when a deployment starts for the first time.
    pub(super) async fn decide_layout(&self) {
        let Some(read_since) = self.partition(0).read_since.get() else {
            return;
        };
        // Read first: a layout that another node writes from here on makes the append fail.
        let end = self.partition(0).end.get();
        let waited = self.env.now().since(read_since);
        if waited < LAYOUT_WAIT_MS + self.candidate(0, 0).claim_delay() {
            return;
        }
        let Ok((workers, _)) = self.env.read_all(Stream::Workers, 0).await else {
            return;
        };
        if workers.is_empty() && waited < LAYOUT_WAIT_WITHOUT_WORKERS_MS {
            return;
        }
        let shards = workers
            .len()
            .div_ceil(WORKERS_PER_SHARD)
            .clamp(1, MAX_SHARDS as usize);
        let random = || self.env.ports.runtime.random();
        let peer_key = format!("{:016x}{:016x}", random(), random());
        let layout = Layout {
            shards: u32::try_from(shards).unwrap_or(1),
            peer_key: peer_key.into(),
        };
        let Ok(record) = record::encode(LAYOUT_KEY.into(), &layout) else {
            return;
        };
        let conditions = Conditions {
            end: Some(end),
            writer: None,
        };
        // After a conflict or a lost answer, the layout is read from the stream.
        let decided = self
            .env
            .append(Stream::Claims, 0, vec![record], conditions)
            .await;
        if decided.is_err() {
            self.env.sleep(RETRY_MS).await;
        }
    }
}
