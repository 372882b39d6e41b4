//! Shares of tenant caps of a shard's owner.
//!
//! `hemlocksaddle_policy::cap_shares` decides. The records are appended with renewals of the claim,
//! and count as stored once they have been read back.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use foldhash::HashMap;
use hemlocksaddle_node::wait::within;
use hemlocksaddle_policy::{
    cap_shares::{Division, Holder, Holding, Round, WantReport},
    workflow::TenantDemand,
};
use hemlocksaddle_types::{clock::Millis, error::Result, resources::Resources};
use serde_json::json;

use crate::{
    event::Event,
    owner::Owner,
    ports::Record,
    record::{self, TenantTag},
};

/// Longest time between two checks of the demand of tenants.
const CHECK_INTERVAL_MS: Millis = Millis(500);

/// Shortest time between two checks, so that one covers the records of several shards.
const MIN_CHECK_INTERVAL_MS: Millis = Millis(50);

/// Largest number of records that are appended with a renewal: about 10 kB, which take 40 ms on a link of
/// 2 Mbit/s.
const MAX_RECORDS: usize = 32;

/// Part of a cap by which a share changes before this is logged again, as a divisor.
const LOGGED_DIVISOR: u64 = 16;

/// Tenants whose shares are updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tenants {
    /// All tenants, after a change of the configuration.
    All,
    /// Tenants with work or records.
    Active,
}

/// Share of one tenant's cap.
struct Share {
    tag: TenantTag,
    holder: Holder,
    report: WantReport,
    division: Division,
    /// Round that was decided here and has not been read back.
    decided: Option<Round>,
    /// Limit when it was last logged.
    logged: Resources,
}

/// Shares of the caps of all tenants in one shard.
#[derive(Default)]
pub(crate) struct CapShares {
    shares: RefCell<HashMap<Arc<str>, Share>>,
    /// Records that are not known to be stored.
    unsaved: RefCell<Vec<Record>>,
    /// Position in the records that are not stored, from which the next renewal takes some.
    next_record: Cell<usize>,
    /// Number of rounds that were decided.
    rounds: Cell<u32>,
}

impl Owner {
    /// Keeps the shares of this shard up to date until ownership ends.
    pub(crate) async fn divide_caps(self: Rc<Self>) {
        while self.shards > 1 && !self.ended.get() {
            let seen = self.claims.shares.changed.count();
            self.update_shares(Tenants::Active);
            let changed = self.claims.shares.changed.wait_past(seen);
            let _ = within(&*self.env.ports.runtime, CHECK_INTERVAL_MS, changed).await;
            self.env.sleep(MIN_CHECK_INTERVAL_MS).await;
        }
    }

    /// Records that are to be appended with the next renewal of the claim.
    pub(crate) fn share_records(&self) -> Vec<Record> {
        let unsaved = self.cap_shares.unsaved.borrow();
        let count = unsaved.len().min(MAX_RECORDS);
        // Records that change at each renewal must not keep others from being stored.
        let from = self.cap_shares.next_record.get();
        self.cap_shares.next_record.set(from.wrapping_add(count));
        let from = from % unsaved.len().max(1);
        let records = unsaved.iter().cycle().skip(from);
        records.take(count).cloned().collect()
    }

    /// Applies the latest records and demand to the limits of tenants, and prepares the records of this shard.
    pub(crate) fn update_shares(&self, tenants: Tenants) {
        if self.shards <= 1 || self.scheduler.borrow().tenants() == 0 {
            self.cap_shares.unsaved.borrow_mut().clear();
            return;
        }
        let records = &self.claims.shares;
        let has_records = |name: &Arc<str>| {
            let shares = self.cap_shares.shares.borrow();
            let known = shares.get(name).map(|share| share.tag);
            records.has(known.unwrap_or_else(|| TenantTag::of(name)))
        };
        let (now, wall) = (self.env.now(), self.env.wall());
        let mut scheduler = self.scheduler.borrow_mut();
        let demands = scheduler.tenant_demands(now, wall, |name| {
            tenants == Tenants::All || has_records(name)
        });
        drop(scheduler);
        let mut shares = self.cap_shares.shares.borrow_mut();
        let mut unsaved = Vec::new();
        let mut is_urgent = false;
        for demand in &demands {
            let tag = shares.get(&demand.name).map(|share| share.tag);
            let tag = tag.unwrap_or_else(|| TenantTag::of(&demand.name));
            let holdings = records.holdings(tag);
            let own = holdings[self.shard as usize];
            // The cap of a removed tenant may be known from its records only.
            let Some(cap) = demand.cap.or(own.map(|own| own.cap)) else {
                continue;
            };
            let share = shares
                .entry(demand.name.clone())
                .or_insert_with(|| Share::new(self, tag, cap, own.as_ref()));
            let holdings = &holdings[..(self.shards as usize).min(holdings.len())];
            let (changed, urgent) = self.update_share(share, demand, &cap, holdings);
            is_urgent |= urgent;
            for record in changed {
                match record {
                    Ok(record) => unsaved.push(record),
                    Err(cause) => {
                        let inputs = json!({ "cause": cause.to_string() });
                        self.env.event(Event::InvariantViolated, &inputs);
                    }
                }
            }
        }
        self.cap_shares.unsaved.replace(unsaved);
        // A renewal would make the claim of a named successor fail.
        if is_urgent && !self.is_offered() {
            self.claim_changed.notify();
        }
    }

    /// Updates the share of one tenant; returns the records that are to be stored, and whether others wait for them.
    fn update_share(
        &self,
        share: &mut Share,
        demand: &TenantDemand,
        cap: &Resources,
        holdings: &[Option<Holding>],
    ) -> (Vec<Result<Record>>, bool) {
        let now = self.env.now();
        let round = self.claims.shares.round(share.tag);
        share
            .holder
            .update(cap, &demand.need, round.as_ref(), holdings);
        let limit = share.holder.limit(cap);
        let mut scheduler = self.scheduler.borrow_mut();
        if scheduler.set_tenant_limit(&demand.name, limit) {
            self.changed.notify();
        }
        drop(scheduler);
        let mut records = Vec::new();
        let mut is_urgent = false;
        let stored = holdings.get(self.shard as usize).copied().flatten();
        let want = share.report.update(now, demand.want);
        if let Some(holding) = share.holder.record(want)
            && stored.is_none_or(|stored| !stored.equals_but_for_limit(&holding))
        {
            is_urgent = stored.map_or(0, |stored| stored.round) != holding.round;
            records.push(record::encode(record::cap_share_key(share.tag), &holding));
        }
        self.log_share(share, demand, limit, cap);
        if self.shard == 0 {
            let is_read =
                |decided: &Round| round.is_some_and(|latest| latest.number >= decided.number);
            share.decided = share.decided.filter(|decided| !is_read(decided));
            if share.decided.is_none() {
                let number = self.next_round();
                let next = share
                    .division
                    .next(now, number, cap, round.as_ref(), holdings);
                if let Some(next) = next {
                    self.cap_shares.rounds.set(self.cap_shares.rounds.get() + 1);
                    self.log_round(demand, &next);
                    share.decided = Some(next);
                    is_urgent = true;
                }
            }
            let decided = share.decided.iter();
            records.extend(
                decided.map(|round| record::encode(record::cap_round_key(share.tag), round)),
            );
        }
        (records, is_urgent)
    }

    /// Number of the next round, which is higher than those of all earlier terms.
    fn next_round(&self) -> u64 {
        self.term << u32::BITS | u64::from(self.cap_shares.rounds.get() + 1)
    }

    fn log_round(&self, demand: &TenantDemand, round: &Round) {
        let inputs = json!({
            "tenant": &*demand.name, "term": self.term, "round": round.number,
            "receiver": round.receiver,
            "keep_cpu_milli": round.keep.cpu_milli, "keep_memory_mb": round.keep.memory_mb,
            "keep_accelerators": round.keep.accelerators,
            "cap_cpu_milli": round.cap.cpu_milli,
        });
        self.env.event(Event::CapDivided, &inputs);
    }

    /// Logs a limit that differs noticeably from the one that was logged before.
    fn log_share(
        &self,
        share: &mut Share,
        demand: &TenantDemand,
        limit: Resources,
        cap: &Resources,
    ) {
        let is_far = |before: u64, now: u64, cap: u64| before.abs_diff(now) > cap / LOGGED_DIVISOR;
        let before = share.logged;
        if !(is_far(before.cpu_milli, limit.cpu_milli, cap.cpu_milli)
            || is_far(before.memory_mb, limit.memory_mb, cap.memory_mb)
            || is_far(before.accelerators, limit.accelerators, cap.accelerators))
        {
            return;
        }
        share.logged = limit;
        let inputs = json!({
            "tenant": &*demand.name, "shard": self.shard, "term": self.term,
            "cpu_milli": limit.cpu_milli, "memory_mb": limit.memory_mb,
            "accelerators": limit.accelerators, "cpu_milli_before": before.cpu_milli,
            "used_cpu_milli": demand.need.used.cpu_milli, "cap_cpu_milli": cap.cpu_milli,
        });
        self.env.event(Event::CapShareChanged, &inputs);
    }
}

impl Share {
    fn new(owner: &Owner, tag: TenantTag, cap: Resources, own: Option<&Holding>) -> Share {
        let holder = Holder::new(owner.shard, owner.shards, cap, own);
        Share {
            tag,
            logged: holder.limit(&cap),
            holder,
            report: WantReport::default(),
            division: Division::default(),
            decided: None,
        }
    }
}
