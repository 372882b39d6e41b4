//! Shares of tenant caps, as read from the claims.

use std::{cell::RefCell, collections::hash_map::Entry};

use foldhash::HashMap;
use hemlocksaddle_node::wait::Signal;
use hemlocksaddle_policy::cap_shares::{Holding, Round};
use hemlocksaddle_types::error::Result;

use super::MAX_SHARDS;
use crate::{
    ports::Record,
    record::{self, CapKey, TenantTag},
};

/// Latest holding of each shard.
pub(crate) type Holdings = [Option<Holding>; MAX_SHARDS as usize];

/// Latest records about the caps of tenants.
#[derive(Default)]
pub(crate) struct ShareRecords {
    rounds: RefCell<HashMap<TenantTag, Round>>,
    holdings: RefCell<HashMap<TenantTag, Holdings>>,
    /// Signals that a record was read.
    pub(crate) changed: Signal,
}

impl ShareRecords {
    /// Applies a record of the partition of a shard.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be decoded. A holding then counts as one of nothing.
    pub(super) fn apply(&self, partition: u32, key: CapKey, record: &Record) -> Result<()> {
        let Some(value) = &record.value else {
            return Ok(());
        };
        let applied = match key {
            CapKey::Round(tenant) => record::decode(&record.key, value).map(|round| {
                self.rounds.borrow_mut().insert(tenant, round);
            }),
            CapKey::Share(tenant) => {
                let decoded = record::decode::<Holding>(&record.key, value);
                let holding = match &decoded {
                    Ok(holding) => *holding,
                    Err(_) => Holding::unreadable(),
                };
                let mut holdings = self.holdings.borrow_mut();
                let of_shards = match holdings.entry(tenant) {
                    Entry::Occupied(entry) => entry.into_mut(),
                    Entry::Vacant(entry) => entry.insert([None; MAX_SHARDS as usize]),
                };
                if let Some(of_shard) = of_shards.get_mut(partition as usize) {
                    *of_shard = Some(holding);
                }
                decoded.map(|_| ())
            }
        };
        self.changed.notify();
        applied
    }

    /// Whether any record about a tenant is known.
    pub(crate) fn has(&self, tenant: TenantTag) -> bool {
        self.rounds.borrow().contains_key(&tenant) || self.holdings.borrow().contains_key(&tenant)
    }

    /// Latest round of a tenant.
    pub(crate) fn round(&self, tenant: TenantTag) -> Option<Round> {
        self.rounds.borrow().get(&tenant).copied()
    }

    /// Latest holdings of a tenant.
    pub(crate) fn holdings(&self, tenant: TenantTag) -> Holdings {
        let holdings = self.holdings.borrow();
        holdings.get(&tenant).copied().unwrap_or_default()
    }
}
