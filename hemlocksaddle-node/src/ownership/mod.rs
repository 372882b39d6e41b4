//! Ownership of units.
//!
//! The log decides who owns a unit; two kinds of evidence decide until when the
//! owner may act: a read of the claims that reached the tail, and promises of
//! both successors. Each counts from the time at which it was asked for, since
//! the answer may have waited anywhere, this process included. A promise binds
//! its giver for longer than it serves the owner, by the clock margin.
//!
//! A new owner acts only after everything that the previous one may still have
//! sent has expired, unless the previous one released the unit.

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

/// Longest deadline of a target whose document is not known.
const UNKNOWN_DEADLINE_MS: Millis = Millis(60_000);

/// Unit that this process owns by the log.
struct Held {
    term: Term,
    /// Time from which the previous owner cannot act any more.
    act_from_ms: MonoMs,
    was_clean: bool,
    is_settled: bool,
    is_releasing: bool,
    successors: Vec<NodeName>,
    /// Time until which each successor's promise serves this owner.
    promised_until_ms: BTreeMap<NodeName, MonoMs>,
}

impl Held {
    /// Time until which all successors have promised; `None` if one has not, or there is none.
    fn promised_by_all(&self) -> Option<MonoMs> {
        let promised = |node| self.promised_until_ms.get(node).copied();
        let until: Option<Vec<MonoMs>> = self.successors.iter().map(promised).collect();
        until?.into_iter().min()
    }
}

/// Ownership as this node sees it.
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
    held: RefCell<BTreeMap<Unit, Held>>,
    /// Units with a claim of this node whose outcome it has not read yet.
    claiming: RefCell<BTreeSet<Unit>>,
    /// Time until which this node has promised not to claim.
    given_until_ms: RefCell<BTreeMap<Unit, MonoMs>>,
    unclaimed_since_ms: RefCell<BTreeMap<Unit, MonoMs>>,
    /// Time until which a silent owner keeps a unit that it claimed lately.
    protected_until_ms: RefCell<BTreeMap<Unit, MonoMs>>,
    racks: RefCell<(Rc<HostList>, BTreeSet<RackName>)>,
    awake_since_ms: Cell<MonoMs>,
    last_tick_ms: Cell<MonoMs>,
    peer_up_since_ms: RefCell<BTreeMap<NodeName, MonoMs>>,
    /// Time of each peer's last heartbeat as a node that serves or is stopping.
    peer_served_ms: RefCell<BTreeMap<NodeName, MonoMs>>,
    restates: SnapshotSchedule<Unit>,
}

impl UnitTable {
    /// Table without units.
    #[must_use]
    pub fn new(
        env: Rc<Env>,
        journal: Rc<dyn Journal>,
        log: Rc<LogWriter>,
        calls: Rc<dyn Calls>,
        configuration: Rc<dyn Configuration>,
    ) -> Rc<UnitTable> {
        let now = env.now();
        let restates = SnapshotSchedule::new(env.settings.timing.retention_ms);
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
            claiming: RefCell::default(),
            given_until_ms: RefCell::default(),
            unclaimed_since_ms: RefCell::default(),
            protected_until_ms: RefCell::default(),
            racks: RefCell::default(),
            awake_since_ms: Cell::new(now),
            last_tick_ms: Cell::new(now),
            peer_up_since_ms: RefCell::default(),
            peer_served_ms: RefCell::default(),
            restates,
        })
    }

    /// Starts following the claims, claiming, asking for promises and moving units.
    pub fn start(self: &Rc<Self>) {
        self.env.spawn(self.clone().follow_claims());
        self.env.spawn(self.clone().run_claims());
        self.env.spawn(self.clone().run_promises());
        self.env.spawn(self.clone().run_moves());
        self.env.spawn(self.clone().run_restates());
    }

    /// Whether the stream was read to the tail since the start.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.has_caught_up.get()
    }

    /// Units that this process owns by the log, with their terms, whether it may act yet or not.
    #[must_use]
    pub fn held(&self) -> Vec<(Unit, Term)> {
        let held = self.held.borrow();
        held.iter()
            .map(|(unit, held)| (unit.clone(), held.term))
            .collect()
    }

    /// First offset of the claims that this node has not read.
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
                    self.note_seen(unit);
                }
                Record::RestateClaim(claim) => {
                    if self.claims.borrow_mut().restate(claim, now) {
                        self.lose(&claim.unit, "restated with a later term");
                    }
                    self.note_seen(&claim.unit);
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
        // The age of a claim that was there at the start is not known; it counts as old.
        if self.has_caught_up.get() {
            self.protect(&claim.unit, now);
        }
        let is_ours = claim.node == *self.env.node() && claim.started_ms == self.env.started_ms;
        if is_ours {
            self.hold(claim, now);
        }
        self.note_seen(&claim.unit);
    }

    fn hold(&self, claim: &Claim, now: MonoMs) {
        let was_clean = {
            let claims = self.claims.borrow();
            claims.get(&claim.unit).is_some_and(|state| state.was_clean)
        };
        let act_from_ms = match was_clean {
            true => now,
            false => now + self.takeover_wait(&claim.unit),
        };
        Event::UnitClaimed.log(format_args!("{} term {}", claim.unit, claim.term.0));
        let held = Held {
            term: claim.term,
            act_from_ms,
            was_clean,
            is_settled: false,
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

    /// Span after which nothing of an owner that lost the unit can take effect any more.
    fn takeover_wait(&self, unit: &Unit) -> Millis {
        let timing = &self.env.settings.timing;
        let span = timing.right_valid_ms + timing.start_by_ms;
        let deadline_ms = self.longest_deadline(unit).unwrap_or_default();
        (span + deadline_ms).with_clock_margin()
    }

    /// Longest deadline of requests to a target; `None` for other units.
    fn longest_deadline(&self, unit: &Unit) -> Option<Millis> {
        let Unit::Target(service, _) = unit else {
            return None;
        };
        let document = self.configuration.document(service);
        Some(document.map_or(UNKNOWN_DEADLINE_MS, |document| document.max_deadline_ms))
    }

    fn right_at(&self, unit: &Unit, now: MonoMs) -> Option<OwnershipLease> {
        let held = self.held.borrow();
        let held = held.get(unit)?;
        if held.is_releasing || now < held.act_from_ms {
            return None;
        }
        let valid_ms = self.env.settings.timing.right_valid_ms;
        let by_read = self
            .follower
            .tail_read_sent_ms()
            .map(|sent_ms| sent_ms + valid_ms);
        let until_ms = by_read.max(held.promised_by_all())?;
        (now < until_ms).then_some(OwnershipLease {
            term: held.term,
            until_ms,
        })
    }

    fn settled(&self) -> Vec<(Unit, Term)> {
        let now = self.env.now();
        let held = self.held.borrow();
        let settled = held
            .iter()
            .filter(|(_, held)| now >= held.act_from_ms && !held.is_releasing);
        settled
            .map(|(unit, held)| (unit.clone(), held.term))
            .collect()
    }
}

/// Ownership with a shared table.
pub struct SharedOwnership(pub Rc<UnitTable>);

impl Ownership for SharedOwnership {
    fn lease(&self, unit: &Unit) -> Option<OwnershipLease> {
        self.0.right_at(unit, self.0.env.now())
    }

    fn owner(&self, unit: &Unit) -> Option<NodeName> {
        self.0.claims.borrow().owner(unit).cloned()
    }

    fn owned(&self) -> Vec<(Unit, Term)> {
        self.0.settled()
    }

    fn was_released(&self, unit: &Unit) -> bool {
        let held = self.0.held.borrow();
        held.get(unit).is_some_and(|held| held.was_clean)
    }
}

impl Handler for UnitTable {
    fn handle(&self, from: &NodeName, request: &Request) -> Option<PortFuture<'static, Response>> {
        let Request::Promise(units) = request else {
            return None;
        };
        let promised = self.give_promises(from, units);
        Some(Box::pin(async { Response::Promised(promised) }))
    }

    fn fill_heartbeat(&self, _heartbeat: &mut Heartbeat) {}
}
