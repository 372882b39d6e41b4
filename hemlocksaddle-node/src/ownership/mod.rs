//! Unit ownership: claims in the log, leases, failover and handover.
//!
//! The claims stream of the log is the authority on which node owns a unit. An
//! owner may act only while it holds a lease, which is extended by either of:
//!
//! - a read of the claims that reached the tail of the stream;
//! - promises not to claim from all successors named in the owner's claim.
//!
//! A lease runs from the time at which the read or the promise was requested,
//! not from the arrival of the answer, which may have been delayed in the network
//! or in a paused process. A successor keeps its promise for longer than the owner
//! relies on it, by the margin for clock drift.
//!
//! A new owner waits until every order and lease of the previous owner has
//! expired, unless the previous owner released the unit.

mod claims;
mod handover;
mod promises;
pub mod rendezvous;
mod takeover;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::HostList,
    name::{NodeName, RackName},
    peer::{Heartbeat, Request, Response},
    record::{Claim, Offset, Record, Stream},
    unit::{Term, Unit},
};

use crate::{
    core::{Calls, Configuration, Handler, Journal, Ownership, OwnershipLease},
    env::Env,
    event::Event,
    journal::LogWriter,
    ports::PortFuture,
    snapshot_schedule::SnapshotSchedule,
    stream::{Follower, StreamReader, ValidBatch},
    wait::Signal,
};

use claims::ClaimTable;

/// Maximum request deadline assumed for a target whose document is unknown.
const FALLBACK_DEADLINE_MS: Millis = Millis(60_000);

/// Unit that this process owns according to the log.
struct HeldUnit {
    term: Term,
    /// End of the failover wait, if any; the previous owner cannot act from then on.
    active_from_ms: MonoMs,
    /// Whether no failover wait is needed; see [`claims::UnitState`].
    is_clean_handover: bool,
    /// Whether the end of the failover wait has been logged.
    is_active: bool,
    is_releasing: bool,
    successors: Vec<NodeName>,
    /// Expiry of each successor's promise, without the clock margin.
    promised_until_ms: BTreeMap<NodeName, MonoMs>,
}

impl HeldUnit {
    /// Earliest expiry of the promises; `None` without successors or if one has not promised.
    fn earliest_promise_expiry(&self) -> Option<MonoMs> {
        let promised = |node| self.promised_until_ms.get(node).copied();
        let until: Option<Vec<MonoMs>> = self.successors.iter().map(promised).collect();
        until?.into_iter().min()
    }
}

/// Ownership of all units, as far as this node has read the claims.
pub struct UnitTable {
    env: Rc<Env>,
    journal: Rc<dyn Journal>,
    log: Rc<LogWriter>,
    calls: Rc<dyn Calls>,
    configuration: Rc<dyn Configuration>,
    reader: RefCell<StreamReader>,
    follower: Follower,
    has_caught_up: Cell<bool>,
    applied: Signal,
    claims: RefCell<ClaimTable>,
    held: RefCell<BTreeMap<Unit, HeldUnit>>,
    /// Units that this node has claimed without having read the outcome.
    pending_claims: RefCell<BTreeSet<Unit>>,
    /// Expiry of the promises that this node granted, with the clock margin.
    granted_until_ms: RefCell<BTreeMap<Unit, MonoMs>>,
    unclaimed_since_ms: RefCell<BTreeMap<Unit, MonoMs>>,
    /// End of the period in which a recently claimed unit is not claimed from a silent owner.
    protected_until_ms: RefCell<BTreeMap<Unit, MonoMs>>,
    racks: RefCell<(Rc<HostList>, BTreeSet<RackName>)>,
    /// Time of the start or of the end of the last pause of this process.
    running_since_ms: Cell<MonoMs>,
    last_check_ms: Cell<MonoMs>,
    peer_up_since_ms: RefCell<BTreeMap<NodeName, MonoMs>>,
    /// Time of each peer's last heartbeat that reported it as ready or leaving.
    peer_last_served_ms: RefCell<BTreeMap<NodeName, MonoMs>>,
    snapshot_schedule: SnapshotSchedule<Unit>,
}

impl UnitTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(
        env: Rc<Env>,
        journal: Rc<dyn Journal>,
        log: Rc<LogWriter>,
        calls: Rc<dyn Calls>,
        configuration: Rc<dyn Configuration>,
    ) -> Rc<UnitTable> {
        let now = env.now();
        let snapshot_schedule = SnapshotSchedule::new(env.settings.timing.retention_ms);
        Rc::new(UnitTable {
            env,
            journal,
            log,
            calls,
            configuration,
            reader: RefCell::default(),
            follower: Follower::default(),
            has_caught_up: Cell::default(),
            applied: Signal::default(),
            claims: RefCell::default(),
            held: RefCell::default(),
            pending_claims: RefCell::default(),
            granted_until_ms: RefCell::default(),
            unclaimed_since_ms: RefCell::default(),
            protected_until_ms: RefCell::default(),
            racks: RefCell::default(),
            running_since_ms: Cell::new(now),
            last_check_ms: Cell::new(now),
            peer_up_since_ms: RefCell::default(),
            peer_last_served_ms: RefCell::default(),
            snapshot_schedule,
        })
    }

    /// Starts the background tasks.
    pub fn start(self: &Rc<Self>) {
        self.env.spawn(self.clone().follow_claims());
        self.env.spawn(self.clone().run_claims());
        self.env.spawn(self.clone().run_promises());
        self.env.spawn(self.clone().run_moves());
        self.env.spawn(self.clone().run_snapshots());
    }

    /// Whether the claims have been read to the tail since the start.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.has_caught_up.get()
    }

    /// Units that this process owns according to the log, with their terms.
    ///
    /// Includes units in the failover wait, on which it may not act yet.
    #[must_use]
    pub fn held_units(&self) -> Vec<(Unit, Term)> {
        let held = self.held.borrow();
        held.iter()
            .map(|(unit, held)| (unit.clone(), held.term))
            .collect()
    }

    /// Offset of the next claim record to read.
    #[must_use]
    pub fn claims_next(&self) -> Offset {
        self.reader.borrow().next()
    }

    async fn follow_claims(self: Rc<Self>) {
        while !self.env.ended.get() {
            let next = self.reader.borrow().next();
            let read = self.follower.poll(&self.env, Stream::Claims, next, true);
            let Some(read) = read.await else {
                continue;
            };
            let (batches, is_at_tail) = self.reader.borrow_mut().apply(read.batch);
            batches.iter().for_each(|batch| self.apply_batch(batch));
            self.follower.record_applied(read.sent_ms, is_at_tail);
            if is_at_tail && !self.has_caught_up.replace(true) {
                let next = self.reader.borrow().next();
                self.log.skip_to(Stream::Claims, next);
            }
            self.applied.notify();
        }
    }

    fn apply_batch(&self, batch: &ValidBatch) {
        let now = self.env.now();
        for record in &batch.records {
            match record {
                Record::Claim(claim) => self.apply_claim(claim, now),
                Record::Release { unit, term } => {
                    if self.claims.borrow_mut().release(unit, *term, now) {
                        self.lose(unit, "released");
                    }
                    self.postpone_snapshot(unit);
                }
                Record::RestateClaim(claim) => {
                    if self.claims.borrow_mut().apply_snapshot(claim, now) {
                        self.lose(&claim.unit, "restated with a later term");
                    }
                    self.postpone_snapshot(&claim.unit);
                }
                other => Event::RecordInvalid.log(format_args!("not for claims: {other:?}")),
            }
        }
    }

    fn apply_claim(&self, claim: &Claim, now: MonoMs) {
        let is_truncated = self.reader.borrow().is_truncated();
        let has_effect = self.claims.borrow_mut().claim(claim, is_truncated, now);
        if !has_effect {
            return;
        }
        self.lose(&claim.unit, "claimed anew");
        // The age of claims read during catch-up is unknown; they are treated as old.
        if self.has_caught_up.get() {
            self.protect(&claim.unit, now);
        }
        let is_ours = claim.node == *self.env.node() && claim.started_ms == self.env.started_ms;
        if is_ours {
            self.acquire(claim, now);
        }
        self.postpone_snapshot(&claim.unit);
    }

    fn acquire(&self, claim: &Claim, now: MonoMs) {
        let is_clean_handover = {
            let claims = self.claims.borrow();
            claims
                .get(&claim.unit)
                .is_some_and(|state| state.is_clean_handover)
        };
        let active_from_ms = match is_clean_handover {
            true => now,
            false => now + self.failover_wait(&claim.unit),
        };
        Event::UnitClaimed.log(format_args!("{} term {}", claim.unit, claim.term.0));
        let held = HeldUnit {
            term: claim.term,
            active_from_ms,
            is_clean_handover,
            is_active: false,
            is_releasing: false,
            successors: claim.successors.clone(),
            promised_until_ms: BTreeMap::new(),
        };
        self.held.borrow_mut().insert(claim.unit.clone(), held);
    }

    fn lose(&self, unit: &Unit, reason: &str) {
        if let Some(held) = self.held.borrow_mut().remove(unit) {
            Event::UnitLost.log(format_args!("{unit} term {}: {reason}", held.term.0));
        }
    }

    /// Time after which no lease, order or request of a previous owner can still take effect.
    fn failover_wait(&self, unit: &Unit) -> Millis {
        let timing = &self.env.settings.timing;
        let lease_and_order = timing.right_valid_ms + timing.start_by_ms;
        let deadline_ms = self.longest_deadline(unit).unwrap_or_default();
        (lease_and_order + deadline_ms).with_clock_margin()
    }

    /// Maximum deadline of requests to a target; `None` for other units.
    fn longest_deadline(&self, unit: &Unit) -> Option<Millis> {
        let Unit::Target(service, _) = unit else {
            return None;
        };
        let document = self.configuration.document(service);
        Some(document.map_or(FALLBACK_DEADLINE_MS, |document| document.max_deadline_ms))
    }

    fn lease_at(&self, unit: &Unit, now: MonoMs) -> Option<OwnershipLease> {
        let held = self.held.borrow();
        let held = held.get(unit)?;
        if held.is_releasing || now < held.active_from_ms {
            return None;
        }
        let valid_ms = self.env.settings.timing.right_valid_ms;
        let by_read = self
            .follower
            .tail_read_sent_ms()
            .map(|sent_ms| sent_ms + valid_ms);
        let until_ms = by_read.max(held.earliest_promise_expiry())?;
        (now < until_ms).then_some(OwnershipLease {
            term: held.term,
            until_ms,
        })
    }

    fn active_units(&self) -> Vec<(Unit, Term)> {
        let now = self.env.now();
        let held = self.held.borrow();
        let active = held
            .iter()
            .filter(|(_, held)| now >= held.active_from_ms && !held.is_releasing);
        active
            .map(|(unit, held)| (unit.clone(), held.term))
            .collect()
    }
}

/// [`Ownership`] backed by a shared [`UnitTable`].
pub struct SharedOwnership(pub Rc<UnitTable>);

impl Ownership for SharedOwnership {
    fn lease(&self, unit: &Unit) -> Option<OwnershipLease> {
        self.0.lease_at(unit, self.0.env.now())
    }

    fn owner(&self, unit: &Unit) -> Option<NodeName> {
        self.0.claims.borrow().owner(unit).cloned()
    }

    fn owned(&self) -> Vec<(Unit, Term)> {
        self.0.active_units()
    }

    fn was_released(&self, unit: &Unit) -> bool {
        let held = self.0.held.borrow();
        held.get(unit).is_some_and(|held| held.is_clean_handover)
    }
}

impl Handler for UnitTable {
    fn handle(&self, from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>> {
        let Request::Promise(units) = request else {
            return None;
        };
        let promised = self.grant_promises(from, units);
        Some(Box::pin(async { Response::Promised(promised) }))
    }

    fn fill_heartbeat(&self, _heartbeat: &mut Heartbeat) {}
}
