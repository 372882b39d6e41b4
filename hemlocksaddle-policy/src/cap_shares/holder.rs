//! Share of one shard: its limit and what it confirms.

use hemlocksaddle_types::resources::Resources;

use super::{Holding, NOTHING, Round, UNLIMITED, Want, each, equal_share, held_by_others, rest};

/// Part of the cap that a shard keeps beyond its need, as a divisor.
///
/// With nothing beyond it, the next task of a tenant would start another round.
const SPARE_DIVISOR: u64 = 16;

/// What a tenant needs in a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Resources in use, including those of runs that may be running unseen.
    pub used: Resources,
    /// Resources of tasks that wait to be started.
    pub waiting: Resources,
}

/// Limit that holds while the cap is at least the one that it was agreed for.
#[derive(Clone, Copy, Debug)]
struct Agreed {
    limit: Resources,
    cap: Resources,
}

/// Round that the shard takes part in.
#[derive(Clone, Copy, Debug)]
struct Active {
    round: Round,
    /// Most that the shard keeps.
    keep: Resources,
    held: Resources,
}

/// Share of a tenant's cap that one shard holds.
#[derive(Clone, Debug)]
pub struct Holder {
    shard: u32,
    shards: u32,
    agreed: Agreed,
    /// Confirmation by an earlier owner, until its round is known or followed by another.
    earlier: Option<Holding>,
    active: Option<Active>,
}

impl Holder {
    /// Share of a shard of which `own` is the latest record, if there is any.
    ///
    /// `cap` is the configured cap, with the largest number for no limit.
    #[must_use]
    pub fn new(shard: u32, shards: u32, cap: Resources, own: Option<&Holding>) -> Holder {
        let equal = Agreed {
            limit: equal_share(&cap, shard, shards),
            cap,
        };
        let own = own.filter(|own| own.shards == shards || own.is_unreadable());
        Holder {
            shard,
            shards,
            agreed: own.map_or(equal, |own| Agreed {
                limit: own.limit,
                cap: own.cap,
            }),
            earlier: own
                .copied()
                .filter(|own| own.round > 0 || own.is_unreadable()),
            active: None,
        }
    }

    /// Whether the cap is divided equally, since no round was ever confirmed.
    fn is_equal(&self) -> bool {
        self.active.is_none() && self.earlier.is_none()
    }

    /// Number of the confirmed round; 0 if there was none.
    fn round(&self) -> u64 {
        let earlier = self.earlier.map_or(0, |earlier| earlier.round);
        self.active.map_or(earlier, |active| active.round.number)
    }

    /// Limit of the usage under a configured cap.
    #[must_use]
    pub fn limit(&self, cap: &Resources) -> Resources {
        // The other shards may still use all of theirs, so that the whole decrease counts.
        let decrease = self.agreed.cap.saturating_sub(cap);
        let limit = match self.active {
            Some(active) => self.agreed.limit.min(&active.keep),
            None => self.agreed.limit,
        };
        limit.saturating_sub(&decrease)
    }

    /// Takes note of the configured cap, of the latest round and of the latest holdings of all shards.
    pub fn update(
        &mut self,
        cap: &Resources,
        need: &Need,
        round: Option<&Round>,
        holdings: &[Option<Holding>],
    ) {
        if self.is_equal() {
            let highest = self.agreed.cap.max(cap);
            self.agreed = Agreed {
                limit: equal_share(&highest, self.shard, self.shards),
                cap: highest,
            };
        }
        if let Some(round) = round.filter(|round| round.shards == self.shards) {
            self.join(round, need);
        }
        self.agree(holdings);
        self.adjust_held(need);
    }

    /// Joins a round, which from here on limits the shard, or goes on with that of an earlier owner.
    fn join(&mut self, round: &Round, need: &Need) {
        let is_resumed = self.active.is_none() && self.round() == round.number;
        // An unreadable record may confirm this round, or a later one that is not read yet, with any amount.
        let is_unreadable = self.earlier.is_some_and(|own| own.is_unreadable());
        if is_unreadable || !is_resumed && round.number <= self.round() {
            return;
        }
        let is_receiver = round.receiver == self.shard;
        let earlier = self.earlier.filter(|_| is_resumed);
        let keep = match earlier {
            _ if is_receiver => UNLIMITED,
            Some(earlier) => round.keep.min(&earlier.held),
            None => {
                let spare = each(&round.cap, &NOTHING, |cap, _| match cap {
                    u64::MAX => cap,
                    _ => cap / SPARE_DIVISOR,
                });
                let need = need.used.saturating_add(&need.waiting);
                round.keep.min(&need.saturating_add(&spare))
            }
        };
        if earlier.is_none() {
            let limit = self.limit(&UNLIMITED);
            let decrease = self.agreed.cap.saturating_sub(&round.cap);
            // From the confirmation on, the others may use what is left of the round's cap, also of a higher one.
            self.agreed = Agreed {
                limit: limit.saturating_sub(&decrease),
                cap: round.cap,
            };
        }
        let held = match earlier {
            Some(earlier) => earlier.held,
            None if is_receiver => self.agreed.limit.max(&need.used),
            None => keep.max(&need.used),
        };
        self.earlier = None;
        self.active = Some(Active {
            round: *round,
            keep,
            held,
        });
    }

    /// Raises or lowers the limit once all other shards have confirmed the round.
    fn agree(&mut self, holdings: &[Option<Holding>]) {
        let Some(Active { round, keep, .. }) = self.active else {
            return;
        };
        let others = held_by_others(holdings, self.shard, self.shards, round.number);
        if let Some(others) = others {
            self.agreed = Agreed {
                limit: rest(&round.cap, &others).min(&keep),
                cap: round.cap,
            };
        }
    }

    fn adjust_held(&mut self, need: &Need) {
        let limit = self.limit(&UNLIMITED);
        if let Some(active) = &mut self.active {
            let is_receiver = active.round.receiver == self.shard;
            let most = if is_receiver { limit } else { active.keep };
            let lowered = active.held.min(&most.max(&need.used));
            // Reports may show runs that nobody knew.
            active.held = lowered.max(&need.used);
        }
    }

    /// Record of the holding; `None` if the cap is divided equally and nothing is wanted.
    #[must_use]
    pub fn record(&self, want: Option<Want>) -> Option<Holding> {
        if self.is_equal() && want.is_none() {
            return None;
        }
        let limit = self.limit(&UNLIMITED);
        let earlier = self.earlier.map_or(limit, |earlier| earlier.held);
        Some(Holding {
            round: self.round(),
            shards: self.shards,
            cap: self.agreed.cap,
            limit,
            held: self.active.map_or(earlier, |active| active.held),
            want,
        })
    }
}
