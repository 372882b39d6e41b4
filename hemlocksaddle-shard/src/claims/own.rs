//! This node's own claims: their records, leases and renewals.

use std::{
    cell::{Cell, RefMut},
    sync::Arc,
};

use foldhash::HashMap;
use hemlocksaddle_policy::{
    take_over::{
        AppendAttempts, ClockReading, failover_complete_at, leases_end_within, leases_expired_at,
    },
    unreached::{Process, Withheld},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    hash::stable_hash,
};

use super::{Claims, Handover};
use crate::{
    ports::{Conditions, Record, Result, StoreError, Stream, Writer},
    record::{self, Claim, FORMAT},
};

/// This node's latest claim of a shard.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnClaim {
    term: u64,
    pub(super) attempts: AppendAttempts,
    /// Time at which the last record before the claim was read.
    pub(super) earlier_read_at: Option<MonoMs>,
    /// Time after the last record before the claim within which earlier leases end; `None` if there was no
    /// such record.
    pub(super) earlier_leases_end_within: Option<Millis>,
    /// Workers that this record names, with the time after it within which earlier leases on them end.
    pub(super) earlier_unreached: Vec<(Arc<str>, u64, Millis)>,
    /// Number of consecutive terms that have not recovered, this one included; 0 once it has.
    pub(super) unrecovered_terms: u32,
}

impl OwnClaim {
    /// Returns the time by which all leases of earlier terms have expired; `None` if there was no earlier claim.
    fn earlier_leases_expired_at(&self) -> Option<MonoMs> {
        let end_within = self.earlier_leases_end_within?;
        Some(leases_expired_at(self.earlier_read_at?, end_within))
    }
}

/// What a record of an own claim says about leases of workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTerms {
    /// Whether no lease has been granted in this term.
    pub(crate) none_granted: bool,
    /// Names of workers that get no lease, with the time by which all leases on them have expired.
    pub(crate) unreached: Vec<(Process, MonoMs)>,
}

impl LeaseTerms {
    /// Leases that the owner must not grant from the sending of the record.
    pub(crate) fn withheld(&self) -> Withheld {
        Withheld {
            from_all: self.none_granted,
            workers: self
                .unreached
                .iter()
                .map(|(name, _)| name.clone())
                .collect(),
        }
    }
}

impl Claims {
    /// Returns the record of an own claim, which replaces that of another term.
    pub(super) fn own_claim_record(&self, shard: u32, term: u64) -> RefMut<'_, OwnClaim> {
        let own_claims = self.own_claims.borrow_mut();
        let mut latest = RefMut::map(own_claims, |claims| claims.entry(shard).or_default());
        if latest.term != term {
            *latest = OwnClaim {
                term,
                ..OwnClaim::default()
            };
        }
        latest
    }

    fn latest_own_claim(&self, shard: u32, term: u64) -> Option<OwnClaim> {
        let own_claims = self.own_claims.borrow();
        let latest = own_claims.get(&shard).filter(|latest| latest.term == term);
        latest.cloned()
    }

    /// Returns the time from which the ownership lease of this node's claim runs.
    ///
    /// It is the time of sending, because the process may be suspended for seconds before
    /// it sees the answer.
    pub(crate) fn claim_sent_at(&self, shard: u32, term: u64) -> Option<ClockReading> {
        let claim = self.latest_own_claim(shard, term)?;
        claim.attempts.first_sent_at()
    }

    /// Returns the time by which all workers' leases granted before this node's claim have expired.
    pub(crate) fn earlier_leases_expired_at(&self, shard: u32, term: u64) -> MonoMs {
        let claim = self.latest_own_claim(shard, term);
        let known = claim.and_then(|claim| claim.earlier_leases_expired_at());
        known.unwrap_or_else(|| {
            failover_complete_at(None, self.env.now(), self.env.settings.lease_ms)
        })
    }

    /// Returns the names of workers that the claim before this node's named, with the time by which all leases
    /// granted before this node's claim have expired on them.
    pub(crate) fn earlier_unreached(&self, shard: u32, term: u64) -> HashMap<Process, MonoMs> {
        let Some(claim) = self.latest_own_claim(shard, term) else {
            return HashMap::default();
        };
        let Some(read_at) = claim.earlier_read_at else {
            return HashMap::default();
        };
        let named = claim.earlier_unreached.into_iter();
        named
            .map(|(name, born_ms, end_within)| {
                (
                    Process { name, born_ms },
                    leases_expired_at(read_at, end_within),
                )
            })
            .collect()
    }

    /// Returns what the records of this node's claim say about leases until it has recovered: it grants none.
    pub(crate) fn terms_before_recovery(&self, shard: u32, term: u64) -> LeaseTerms {
        LeaseTerms {
            none_granted: true,
            unreached: self.earlier_unreached(shard, term).into_iter().collect(),
        }
    }

    /// Returns the time after a record of this node's claim within which all workers' leases end, those of earlier
    /// terms included.
    fn leases_end_within(&self, shard: u32, term: u64, none_granted: bool) -> Option<Millis> {
        let claim = self.latest_own_claim(shard, term)?;
        let end_within = leases_end_within(self.env.settings.lease_ms);
        let Some(expired_at) = claim.earlier_leases_expired_at() else {
            return Some(end_within);
        };
        let earlier = expired_at.since(self.env.now());
        let granted = if none_granted { Millis(0) } else { end_within };
        Some(granted.max(earlier))
    }

    /// Returns the sequence number of a term's first append.
    ///
    /// It differs between nodes: the store treats an append with the same number and epoch
    /// as a retry and answers it like the original, which must not happen to a concurrent claim
    /// by another node.
    pub(crate) fn first_sequence(&self) -> u64 {
        let settings = &self.env.settings;
        let started = self.env.started_ms.to_be_bytes();
        stable_hash(&[settings.node.as_str().as_bytes(), &started]) >> 32
    }

    pub(super) fn own_claim(
        &self,
        shard: u32,
        term: u64,
        handover: Option<&Handover>,
        leases: &LeaseTerms,
    ) -> Claim {
        let now = self.env.now();
        let unreached = leases.unreached.iter();
        Claim {
            term,
            node: self.env.settings.node.clone(),
            started_ms: self.env.started_ms,
            address: self.env.settings.peer_address,
            cpu_milli: self.env.settings.cpu_milli(),
            released: handover.is_some(),
            successor: handover.and_then(|handover| handover.successor.clone()),
            leases_end_within_ms: self.leases_end_within(shard, term, leases.none_granted),
            unrecovered_terms: self.unrecovered_terms(shard, term),
            unreached: unreached
                .map(|(process, until)| (process.name.clone(), process.born_ms, until.since(now)))
                .collect(),
            format: FORMAT,
        }
    }

    /// Returns the number of consecutive terms that have not recovered, this node's included.
    pub(crate) fn unrecovered_terms(&self, shard: u32, term: u64) -> u32 {
        let claim = self.latest_own_claim(shard, term);
        claim.map_or(0, |claim| claim.unrecovered_terms)
    }

    /// Records that this node has recovered the state of a shard; the next renewal tells the others.
    pub(crate) fn record_recovery(&self, shard: u32, term: u64) {
        self.own_claim_record(shard, term).unrecovered_terms = 0;
        if let Some(claim) = self.claim(shard).filter(|claim| claim.term == term) {
            let recovered = Claim {
                unrecovered_terms: 0,
                ..claim
            };
            self.observe(shard, recovered);
        }
    }

    pub(super) async fn append_claim(
        &self,
        shard: u32,
        claim: &Claim,
        sequence: u64,
        end: Option<u64>,
        further: Vec<Record>,
    ) -> Result<u64> {
        let key = record::claim_key(shard);
        let writer = Writer {
            name: key.clone(),
            epoch: claim.term,
            sequence,
        };
        let Ok(record) = record::encode(key, claim) else {
            return Err(StoreError::NotDone);
        };
        let mut records = vec![record];
        records.extend(further);
        let conditions = Conditions {
            end,
            writer: Some(writer),
        };
        self.env
            .append(Stream::Claims, shard, records, conditions)
            .await
    }

    /// Renews a claim and advances `sequence`, the writer's next sequence number.
    ///
    /// `further` records are appended with it. After a lost answer, those of the first attempt may be stored instead
    /// of those of the repeated one.
    pub(crate) async fn renew(
        &self,
        shard: u32,
        term: u64,
        handover: Option<&Handover>,
        leases: &LeaseTerms,
        sequence: &Cell<u64>,
        further: Vec<Record>,
    ) -> Result<()> {
        let claim = self.own_claim(shard, term, handover, leases);
        let appended = self.append_claim(shard, &claim, sequence.get(), None, further);
        match appended.await {
            Ok(_) => {
                sequence.set(sequence.get() + 1);
                Ok(())
            }
            Err(StoreError::OutOfSequence(expected)) => {
                sequence.set(expected);
                Err(StoreError::OutOfSequence(expected))
            }
            Err(error) => Err(error),
        }
    }
}
