//! Leases that an owner withholds from workers, so that its successors need not wait for them.
//!
//! A successor waits for the leases of workers that do not report. To keep the wait from beginning anew with each
//! owner, the claim names the workers that its owner does not reach, with the time until which leases may last on
//! them. The owner must then grant no lease to a named worker until a record without the name is certainly stored:
//! a claim succeeds only after its node has read all earlier records, so a successor relies on the latest stored
//! one.

use std::{collections::BTreeSet, sync::Arc};

use crate::workflow::Listing;

/// Largest number of workers that a claim names; with more of them it names none.
///
/// 64 entries with names of 12 characters take 1.7 kB in each renewal, 1% of a link of 2 Mbit/s.
pub const MAX_UNREACHED: usize = 64;

/// Process of a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Name of the worker.
    pub name: Arc<str>,
    /// Time at which the process started, in milliseconds.
    pub born_ms: u64,
}

impl Process {
    /// Process that a listing describes.
    #[must_use]
    pub fn of(listing: &Listing) -> Process {
        Process {
            name: listing.name.clone(),
            born_ms: listing.born_ms,
        }
    }
}

/// Leases that an owner withholds, as a record of its claim says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Withheld {
    /// Whether no lease has been granted in this term.
    pub from_all: bool,
    /// Processes that get no lease.
    pub workers: BTreeSet<Process>,
}

impl Withheld {
    /// No lease is granted to any worker.
    #[must_use]
    pub fn from_all() -> Withheld {
        Withheld {
            from_all: true,
            workers: BTreeSet::new(),
        }
    }

    /// Whether a process gets no lease.
    ///
    /// A successor takes a worker as the process that the durable roster lists. Until this is the given one, it gets no
    /// lease either if an earlier process of its name is named.
    #[must_use]
    pub fn includes(&self, process: &Process, is_rostered: bool) -> bool {
        if self.from_all || self.workers.is_empty() || is_rostered {
            return self.from_all || self.workers.contains(process);
        }
        let first = Process {
            born_ms: 0,
            ..process.clone()
        };
        let mut same_name = self.workers.range(first..);
        same_name
            .next()
            .is_some_and(|other| other.name == process.name)
    }

    fn add(&mut self, other: Withheld) {
        self.from_all |= other.from_all;
        self.workers.extend(other.workers);
    }
}

/// Tells to which workers an owner may grant leases, from what its stored records may say.
#[derive(Clone, Debug)]
pub struct LeaseGate {
    /// What the latest record that is certainly stored may say, or one that replaced it.
    stored: Withheld,
    /// What the attempts to append the next record say.
    ///
    /// The store may answer a repeated attempt although an earlier one took effect.
    attempts: Withheld,
}

impl LeaseGate {
    /// Gate of an owner whose claim says that no lease has been granted in its term.
    #[must_use]
    pub fn after_claim() -> LeaseGate {
        LeaseGate {
            stored: Withheld::from_all(),
            attempts: Withheld::default(),
        }
    }

    /// Records an attempt to append a record; must come before the append is sent.
    pub fn send(&mut self, withheld: Withheld) {
        self.attempts.add(withheld);
    }

    /// Records that one of the attempts is certainly stored.
    pub fn stored(&mut self) {
        self.stored = std::mem::take(&mut self.attempts);
    }

    /// Records that the next attempt has another sequence number, while the earlier ones may have taken effect.
    pub fn out_of_sequence(&mut self) {
        let attempts = std::mem::take(&mut self.attempts);
        self.stored.add(attempts);
    }

    /// Whether a lease may be granted to a process, by a report request or an order to start.
    #[must_use]
    pub fn may_grant(&self, process: &Process, is_rostered: bool) -> bool {
        let withheld = [&self.stored, &self.attempts];
        !withheld
            .iter()
            .any(|withheld| withheld.includes(process, is_rostered))
    }
}
