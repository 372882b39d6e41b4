//! Earlier attempts of a submission that is about to be refused.
//!
//! A caller that does not learn the outcome of a submission repeats it under the same id, at any node, within its
//! time budget, and does not say so. A refusal says that the submission never runs, which is wrong if an earlier
//! attempt has been stored. [`Attempts`] remembers those at one node. [`StoredIds`] knows the ids that all nodes have
//! stored while no owner serves a shard, and whether it can tell that an id is absent.

use std::collections::VecDeque;

use foldhash::{HashMap, HashMapExt};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::WorkflowId,
};

/// Longest time from the arrival of a first attempt until that of its last retry: the time budget of callers of 3 s,
/// with a margin for the way of the retry and for clocks with a rate error of 3%.
pub const RETRY_WINDOW_MS: Millis = Millis(3_500);

/// Time for which a shard has to be unserved before nodes follow its submissions, so that a change of owner with a
/// short recovery adds no reads to the store.
pub const FOLLOW_AFTER_MS: Millis = Millis(250);

/// Longest time for which a submission waits until it is known whether its id is stored.
///
/// Enough for the pause between two reads and two answers of a slow store (300 ms each), and leaves most of the time
/// budget to store it.
pub const LOOKUP_LIMIT_MS: Millis = Millis(900);

/// Shortest pause between two reads of the submissions, so that tens of nodes do not saturate a partition.
const READ_INTERVAL_MS: Millis = Millis(100);

/// Share of the node's link that reads of the submissions may take, as a divisor.
const LINK_DIVISOR: u64 = 4;

/// Number of consecutive reads without reaching the end of the stream after which the records between are left out.
const MAX_READS_BEHIND: u32 = 3;

/// Largest number of ids that are kept of a shard, at about 110 bytes each; those of 35 submissions a second for
/// nearly 10 min.
const MAX_STORED_IDS: usize = 20_000;

/// Largest number of ended attempts that a node remembers: 1,170 a second.
const MAX_ATTEMPTS: usize = 4_096;

/// Submission as its attempts share it: the id, and the tenant as a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubmissionKey {
    /// Id, chosen by the caller.
    pub id: WorkflowId,
    /// Tenant that submits it; `None` for a caller without a tenant.
    pub tenant: Option<u64>,
}

/// What is known of an attempt when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Certainly not stored.
    NotStored,
    /// May be stored, or may be stored later.
    Unknown,
    /// Stored.
    Stored,
}

/// Attempts of one submission.
#[derive(Clone, Copy, Debug, Default)]
struct Attempted {
    /// Number of attempts that have not ended.
    open: u32,
    /// Number of ended attempts that are remembered.
    ended: u32,
    is_stored: bool,
}

/// Attempts at one node, for as long as a retry may follow; bounded.
#[derive(Debug, Default)]
pub struct Attempts {
    by_key: HashMap<SubmissionKey, Attempted>,
    /// Ended attempts that may be stored, with the time until which they are remembered.
    ended: VecDeque<(MonoMs, SubmissionKey)>,
    /// Time until which an attempt would be remembered that had to be left out.
    incomplete_until: Option<MonoMs>,
}

impl Attempts {
    /// Counts an attempt that begins.
    pub fn begin(&mut self, key: SubmissionKey) {
        self.by_key.entry(key).or_default().open += 1;
    }

    /// Records how an attempt has ended.
    pub fn end(&mut self, key: SubmissionKey, end: AttemptEnd, now: MonoMs) {
        let attempted = self.by_key.entry(key).or_default();
        attempted.open = attempted.open.saturating_sub(1);
        if end == AttemptEnd::NotStored {
            self.remove_unused(key);
        } else {
            attempted.ended += 1;
            attempted.is_stored |= end == AttemptEnd::Stored;
            self.ended.push_back((now + RETRY_WINDOW_MS, key));
        }
        while let Some(&(until, key)) = self.ended.front() {
            let is_over = until <= now;
            if !is_over && self.ended.len() <= MAX_ATTEMPTS {
                break;
            }
            if !is_over {
                self.incomplete_until = Some(until);
            }
            self.ended.pop_front();
            if let Some(attempted) = self.by_key.get_mut(&key) {
                attempted.ended -= 1;
            }
            self.remove_unused(key);
        }
    }

    fn remove_unused(&mut self, key: SubmissionKey) {
        let attempted = self.by_key.get(&key);
        if attempted.is_some_and(|attempted| attempted.open == 0 && attempted.ended == 0) {
            self.by_key.remove(&key);
        }
    }

    /// What is known of the attempts of a submission, without those that the caller itself has begun.
    #[must_use]
    pub fn earlier(&self, key: SubmissionKey, own: u32, now: MonoMs) -> AttemptEnd {
        let attempted = self.by_key.get(&key).copied().unwrap_or_default();
        let is_incomplete = self.incomplete_until.is_some_and(|until| now < until);
        if attempted.is_stored {
            AttemptEnd::Stored
        } else if attempted.open > own || attempted.ended > 0 || is_incomplete {
            AttemptEnd::Unknown
        } else {
            AttemptEnd::NotStored
        }
    }

    /// Number of submissions that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no submission is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}

/// What the submissions of a shard tell of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing certain.
    Unsure,
    /// Nothing certain until the next read has reached the end of the stream.
    Behind,
    /// No attempt was stored before this one arrived.
    Absent,
    /// Stored.
    Stored,
    /// Stored by another tenant, and by none of the attempts before this one arrived.
    OtherTenant,
}

/// Arrival of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    at: MonoMs,
    /// Number of reads that were sent before.
    reads_sent: u64,
}

/// What follows a read of the submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRead {
    /// Next read, after a pause.
    Continue(Millis),
    /// Reading begins anew at the end of the stream, with a new [`StoredIds`], after a pause.
    Restart(Millis),
}

/// Submission of a tenant under an id.
#[derive(Clone, Copy, Debug)]
struct Submitter {
    tenant: Option<u64>,
    /// Whether a record deletes the submission; another attempt may have been stored before it.
    is_deleted: bool,
}

/// Ids that were stored in a shard's submissions since a time, bounded.
#[derive(Debug)]
pub struct StoredIds {
    /// Time since which every id that is stored is read.
    since: MonoMs,
    /// Number of reads that were sent.
    reads_sent: u64,
    /// Number of the latest read that reached the end.
    complete_read: u64,
    reads_behind: u32,
    submitters: HashMap<WorkflowId, Vec<Submitter>>,
    /// Ids by the time of their first record.
    read: VecDeque<(MonoMs, WorkflowId)>,
}

impl StoredIds {
    /// Ids that are stored from the end of the stream on, which the store told by an answer that came at `since`.
    #[must_use]
    pub fn new(since: MonoMs) -> StoredIds {
        StoredIds {
            since,
            reads_sent: 0,
            complete_read: 0,
            reads_behind: 0,
            submitters: HashMap::new(),
            read: VecDeque::new(),
        }
    }

    /// Adds a record of a submission; `is_deleted` if it deletes an earlier one.
    pub fn add(&mut self, key: SubmissionKey, is_deleted: bool, now: MonoMs) {
        let submitters = self.submitters.entry(key.id).or_insert_with(|| {
            self.read.push_back((now, key.id));
            Vec::with_capacity(1)
        });
        let mut known = submitters.iter_mut();
        match known.find(|known| known.tenant == key.tenant) {
            Some(known) => known.is_deleted = is_deleted,
            None => submitters.push(Submitter {
                tenant: key.tenant,
                is_deleted,
            }),
        }
        while self.read.len() > MAX_STORED_IDS
            && let Some((read_at, id)) = self.read.pop_front()
        {
            self.submitters.remove(&id);
            // A retry may be of an attempt that was stored up to then.
            self.since = self.since.max(read_at);
        }
    }

    /// Counts a read that is sent now.
    pub fn begin_read(&mut self) {
        self.reads_sent += 1;
    }

    /// Records the answer to the latest read, with `bytes` of records, over a link of `link_kbps`.
    pub fn end_read(&mut self, is_at_end: bool, bytes: usize, link_kbps: u32) -> AfterRead {
        let transfer_ms = bytes as u64 * 8 / u64::from(link_kbps.max(1));
        let pause = Millis(transfer_ms.saturating_mul(LINK_DIVISOR - 1)).max(READ_INTERVAL_MS);
        if is_at_end {
            self.complete_read = self.reads_sent;
            self.reads_behind = 0;
            return AfterRead::Continue(pause);
        }
        self.reads_behind += 1;
        if self.reads_behind >= MAX_READS_BEHIND {
            AfterRead::Restart(pause)
        } else {
            AfterRead::Continue(pause)
        }
    }

    /// Describes an attempt that arrives now.
    #[must_use]
    pub fn arrival(&self, now: MonoMs) -> Arrival {
        Arrival {
            at: now,
            reads_sent: self.reads_sent,
        }
    }

    /// What is known of a submission of which an attempt has arrived.
    #[must_use]
    pub fn lookup(&self, key: SubmissionKey, arrival: Arrival) -> Lookup {
        let submitters = self.submitters.get(&key.id);
        let submitters = submitters.map_or(&[][..], Vec::as_slice);
        let own = submitters
            .iter()
            .find(|submitter| submitter.tenant == key.tenant);
        match own {
            Some(own) if own.is_deleted => return Lookup::Unsure,
            Some(_) => return Lookup::Stored,
            None => {}
        }
        if arrival.at.since(self.since) < RETRY_WINDOW_MS {
            return Lookup::Unsure;
        }
        // A record that was stored before a read was sent is part of its answer.
        if self.complete_read <= arrival.reads_sent {
            return Lookup::Behind;
        }
        let is_other = submitters.iter().any(|other| !other.is_deleted);
        if is_other {
            Lookup::OtherTenant
        } else {
            Lookup::Absent
        }
    }

    /// Whether another tenant's submission was read under an id, and none of the key's tenant.
    #[must_use]
    pub fn is_used_by_other(&self, key: SubmissionKey) -> bool {
        let submitters = self.submitters.get(&key.id);
        submitters.is_some_and(|submitters| {
            let mut stored = submitters.iter().filter(|other| !other.is_deleted);
            let is_own = submitters.iter().any(|own| own.tenant == key.tenant);
            !is_own && stored.next().is_some()
        })
    }

    /// Number of ids that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.submitters.len()
    }

    /// Whether no id is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.submitters.is_empty()
    }
}

/// Answer to a submission to a shard without an owner that starts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedAnswer {
    /// It is stored as usual.
    Store,
    /// It is known to be stored already.
    AlreadyStored,
    /// Refused, with the time after which the caller should retry.
    Refuse(Millis),
    /// Refused, because another tenant uses the id.
    IdInUse,
}

/// Decides the answer; `refuse_until` is that of [`crate::unserved::refuse_until`].
#[must_use]
pub fn answer_unserved(refuse_until: Option<Millis>, lookup: Lookup) -> UnservedAnswer {
    match (lookup, refuse_until) {
        (Lookup::Unsure | Lookup::Behind, _) | (Lookup::Absent, None) => UnservedAnswer::Store,
        (Lookup::Stored, _) => UnservedAnswer::AlreadyStored,
        (Lookup::Absent, Some(after)) => UnservedAnswer::Refuse(after),
        (Lookup::OtherTenant, _) => UnservedAnswer::IdInUse,
    }
}
