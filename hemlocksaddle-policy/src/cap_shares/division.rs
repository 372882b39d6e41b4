//! When a tenant's cap is divided anew, and for which shard.

use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    resources::Resources,
};

use super::{Holding, NOTHING, Round, Want, each, equal_share, held_by_others, part, rest};

/// Shortest time between two rounds of a tenant: several renewals of each claim, which carry the holdings.
const ROUND_INTERVAL_MS: Millis = Millis(5_000);

/// Time after which a shard that received last may receive again.
///
/// What the others have left since has to be worth a record of each shard.
const REPEAT_INTERVAL_MS: Millis = Millis(10_000);

/// Longest time for which a large task that still waits keeps its turn while others wait.
const LARGE_TURN_MS: Millis = Millis(30_000);

/// Part of the cap that a round has to gain its receiver at least, as a divisor.
const GAIN_DIVISOR: u64 = 16;

/// Division of one tenant's cap, as the deciding owner sees it.
#[derive(Clone, Debug, Default)]
pub struct Division {
    /// Time since which each shard has waited, counted from its latest turn.
    waiting_since: Vec<Option<MonoMs>>,
    /// Number of the latest round that was seen, and the time of that.
    latest: Option<(u64, MonoMs)>,
}

impl Division {
    /// Decides whether a round follows, which is to be given `number`.
    ///
    /// `cap` is the configured cap, with the largest number for no limit; `round` the latest round; `holdings`
    /// are the latest of each shard.
    pub fn next(
        &mut self,
        now: MonoMs,
        number: u64,
        cap: &Resources,
        round: Option<&Round>,
        holdings: &[Option<Holding>],
    ) -> Option<Round> {
        let shards = u32::try_from(holdings.len()).unwrap_or(u32::MAX);
        let round = round.filter(|round| round.shards == shards);
        self.see(now, round, holdings);
        let mut first = self.in_turn();
        let since = self.latest.map(|(_, at)| now.since(at));
        let (Some(round), Some(since)) = (round, since) else {
            let shard = first.next()?;
            return Some(new_round(number, cap, shard, holdings));
        };
        let has_new_cap = round.cap != *cap;
        let is_confirmed = held_by_others(holdings, shards, shards, round.number).is_some();
        if since < ROUND_INTERVAL_MS || !is_confirmed && !has_new_cap {
            return None;
        }
        let keeps_turn = wants_large(round, holdings) && since < LARGE_TURN_MS && !has_new_cap;
        first
            .filter(|&shard| match shard == round.receiver {
                true => has_new_cap || since >= REPEAT_INTERVAL_MS,
                false => !keeps_turn,
            })
            .map(|shard| new_round(number, cap, shard, holdings))
            .find(|next| has_new_cap || gains(round, next, holdings))
    }

    /// Takes note of the latest round and of the shards that wait.
    fn see(&mut self, now: MonoMs, round: Option<&Round>, holdings: &[Option<Holding>]) {
        self.waiting_since.resize(holdings.len(), None);
        for (since, holding) in self.waiting_since.iter_mut().zip(holdings) {
            let wants = holding.is_some_and(|holding| holding.want.is_some());
            *since = wants.then(|| since.unwrap_or(now));
        }
        let Some(round) = round else { return };
        if self.latest.is_none_or(|(latest, _)| latest != round.number) {
            self.latest = Some((round.number, now));
            let receiver = self.waiting_since.get_mut(round.receiver as usize);
            if let Some(Some(since)) = receiver {
                *since = now;
            }
        }
    }

    /// Shards that wait, the one that has waited longest first.
    fn in_turn(&self) -> impl Iterator<Item = u32> + use<> {
        let waiting = (0..).zip(&self.waiting_since);
        let mut waiting: Vec<(MonoMs, u32)> = waiting
            .filter_map(|(shard, since)| since.map(|since| (since, shard)))
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, shard)| shard)
    }
}

fn want_of(shard: u32, holdings: &[Option<Holding>]) -> Option<Want> {
    holdings.get(shard as usize).copied().flatten()?.want
}

fn wanted_unit(shard: u32, holdings: &[Option<Holding>]) -> Resources {
    want_of(shard, holdings).map_or(NOTHING, |want| want.unit)
}

fn wanted_total(shard: u32, holdings: &[Option<Holding>]) -> Resources {
    want_of(shard, holdings).map_or(NOTHING, |want| want.total)
}

/// Whether the receiver of a round still wants more than an equal part for one task or gang.
fn wants_large(round: &Round, holdings: &[Option<Holding>]) -> bool {
    !wanted_unit(round.receiver, holdings).fits_in(&part(&round.cap, round.shards))
}

fn new_round(number: u64, cap: &Resources, receiver: u32, holdings: &[Option<Holding>]) -> Round {
    let shards = u32::try_from(holdings.len()).unwrap_or(u32::MAX);
    let unit = wanted_unit(receiver, holdings);
    let left = rest(cap, &unit);
    let left = part(&left, shards.saturating_sub(1));
    Round {
        number,
        shards,
        cap: *cap,
        receiver,
        keep: part(cap, shards).min(&left),
    }
}

/// Limit of a shard in the present round.
fn present_limit(round: &Round, shard: u32, holdings: &[Option<Holding>]) -> Resources {
    let others = held_by_others(holdings, shard, round.shards, round.number);
    let holding = holdings.get(shard as usize).copied().flatten();
    match (others, holding) {
        (Some(others), _) if shard == round.receiver => rest(&round.cap, &others),
        (Some(others), Some(holding)) => rest(&round.cap, &others).min(&holding.held),
        (_, Some(holding)) => holding.limit,
        (_, None) => equal_share(&round.cap, shard, round.shards),
    }
}

/// Whether the receiver of a round may get noticeably more than it has now, or room for a task that has none.
///
/// The others leave what they do not want; what those want that are not held back is not known.
fn gains(round: &Round, next: &Round, holdings: &[Option<Holding>]) -> bool {
    let others = (0..)
        .zip(holdings)
        .filter(|&(shard, _)| shard != next.receiver);
    let kept = others.fold(NOTHING, |sum, (_, holding)| {
        let want = holding.and_then(|holding| holding.want);
        let kept = want.map_or(NOTHING, |want| next.keep.min(&want.total));
        sum.saturating_add(&kept)
    });
    let expected = rest(&next.cap, &kept);
    let present = present_limit(round, next.receiver, holdings);
    let wanted = wanted_total(next.receiver, holdings).min(&expected);
    let unit = wanted_unit(next.receiver, holdings);
    let gained = each(&wanted, &present, u64::saturating_sub);
    let least = each(&next.cap, &NOTHING, |cap, _| cap / GAIN_DIVISOR);
    !gained.fits_in(&least) || unit.fits_in(&expected) && !unit.fits_in(&present)
}
