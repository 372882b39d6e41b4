//! Interference between tasks that share a worker ("noisy neighbours").
//!
//! `InterferenceModel` estimates, for each pair of task classes, how much a
//! neighbour of one class slows down a task of the other. A report contains only
//! the total over all neighbours, so the unexplained part of a slowdown is
//! distributed over the pairs in proportion to the neighbours' sizes. Evidence
//! decays exponentially, and an estimate is shrunk towards zero while there is
//! little evidence for it.
//!
//! `Mitigation` is a controller with hysteresis that throttles first and migrates
//! second. After each action it waits until measurements can show the effect. It
//! releases throttles only well below the threshold at which it acts, and each
//! release doubles the time for which later throttles are held, up to 64 times the
//! initial one.

use std::{collections::HashMap, hash::Hash};

use foldhash::fast::FixedState;
use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Half-life of evidence.
const HALF_LIFE_MS: f64 = 1_800_000.0;
/// Weight of evidence, in observations, at which an estimate is shrunk to one half.
const HALF_CONFIDENCE: f64 = 4.0;
/// Minimum fraction of an unexplained slowdown that one observation adds to an estimate.
const MIN_LEARNING_RATE: f64 = 0.3;
/// Maximum number of pairs; the pair with the least evidence is evicted first.
const MAX_PAIRS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    slowdown_milli: f64,
    weight: f64,
    updated_ms: MonoMs,
}

impl Estimate {
    fn weight_at(&self, now: MonoMs) -> f64 {
        let age_ms = to_f64(now.since(self.updated_ms).0);
        self.weight * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }

    fn expected_slowdown_at(&self, now: MonoMs) -> f64 {
        let weight = self.weight_at(now);
        self.slowdown_milli * weight / (weight + HALF_CONFIDENCE)
    }
}

/// Estimated slowdown per pair of classes.
#[derive(Clone, Debug)]
pub struct InterferenceModel<C> {
    pairs: HashMap<(C, C), Estimate, FixedState>,
}

impl<C> Default for InterferenceModel<C> {
    fn default() -> InterferenceModel<C> {
        InterferenceModel {
            pairs: HashMap::with_hasher(FixedState::default()),
        }
    }
}

impl<C: Eq + Hash + Clone + Ord> InterferenceModel<C> {
    /// Updates the model with the slowdown of a task and its neighbours, each with
    /// its size in millicores.
    pub fn observe(
        &mut self,
        class: &C,
        neighbours: &[(C, u64)],
        slowdown_milli: u64,
        now: MonoMs,
    ) {
        let total: u64 = neighbours.iter().map(|(_, size)| *size).sum();
        if total == 0 {
            return;
        }
        let explained: f64 = neighbours
            .iter()
            .filter_map(|(other, _)| self.pairs.get(&(class.clone(), other.clone())))
            .map(|estimate| estimate.slowdown_milli)
            .sum();
        let unexplained = to_f64(slowdown_milli) - explained;
        for (other, size) in neighbours {
            let share = to_f64(*size) / to_f64(total);
            self.update(
                (class.clone(), other.clone()),
                unexplained * share,
                share,
                now,
            );
        }
        self.evict_excess_pair(now);
    }

    fn update(&mut self, pair: (C, C), unexplained: f64, share: f64, now: MonoMs) {
        let estimate = self.pairs.entry(pair).or_insert(Estimate {
            slowdown_milli: 0.0,
            weight: 0.0,
            updated_ms: now,
        });
        let weight = estimate.weight_at(now);
        let rate = (1.0 / (weight + 1.0)).max(MIN_LEARNING_RATE);
        estimate.slowdown_milli = (estimate.slowdown_milli + rate * unexplained).max(0.0);
        estimate.weight = weight + share;
        estimate.updated_ms = now;
    }

    fn evict_excess_pair(&mut self, now: MonoMs) {
        if self.pairs.len() <= MAX_PAIRS {
            return;
        }
        let pairs = self.pairs.iter();
        let least = pairs.min_by(|(a_pair, a), (b_pair, b)| {
            let by_weight = a.weight_at(now).total_cmp(&b.weight_at(now));
            by_weight.then_with(|| a_pair.cmp(b_pair))
        });
        if let Some(pair) = least.map(|(pair, _)| pair.clone()) {
            self.pairs.remove(&pair);
        }
    }

    /// Expected slowdown of a task next to these neighbours, in thousandths.
    #[must_use]
    pub fn expected_slowdown_milli<'a>(
        &self,
        class: &C,
        neighbours: impl IntoIterator<Item = &'a C>,
        now: MonoMs,
    ) -> u64
    where
        C: 'a,
    {
        let neighbours = neighbours.into_iter();
        let estimates =
            neighbours.filter_map(|other| self.pairs.get(&(class.clone(), other.clone())));
        to_u64(
            estimates
                .map(|estimate| estimate.expected_slowdown_at(now))
                .sum(),
        )
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes and times are far below 2^52"
)]
fn to_f64(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
fn to_u64(value: f64) -> u64 {
    value.clamp(0.0, 1e9) as u64
}

/// Thresholds and delays of the mitigation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Thresholds {
    /// Slowdown above which the mitigation acts, in thousandths.
    pub act_milli: u64,
    /// Slowdown below which throttles are released, in thousandths.
    pub release_milli: u64,
    /// Settling time after an action, until measurements show its effect.
    pub settle_ms: Millis,
    /// Minimum time before a throttle is released; doubles with each release.
    pub hold_ms: Millis,
}

/// Action to take on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// No action.
    None,
    /// Throttle the neighbour that interferes most.
    Throttle,
    /// Checkpoint and migrate the neighbour that interferes most.
    Move,
    /// Release all throttles.
    Release,
}

/// State of the mitigation on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mitigation {
    throttled: bool,
    last_action_ms: Option<MonoMs>,
    releases: u32,
}

impl Mitigation {
    /// Next action, given the worst measured slowdown of a task to be protected, in thousandths.
    pub fn next_action(&mut self, slowdown_milli: u64, limits: &Thresholds, now: MonoMs) -> Action {
        let elapsed = self
            .last_action_ms
            .map(|last_action_ms| now.since(last_action_ms));
        if elapsed.is_some_and(|elapsed| elapsed < limits.settle_ms) {
            return Action::None;
        }
        let action = self.decide(slowdown_milli, limits, elapsed);
        if action != Action::None {
            self.last_action_ms = Some(now);
        }
        action
    }

    fn decide(
        &mut self,
        slowdown_milli: u64,
        limits: &Thresholds,
        elapsed: Option<Millis>,
    ) -> Action {
        if slowdown_milli > limits.act_milli {
            let action = match self.throttled {
                true => Action::Move,
                false => Action::Throttle,
            };
            self.throttled = action == Action::Throttle;
            return action;
        }
        let hold_ms = limits.hold_ms.0 << self.releases.min(6);
        let held = elapsed.is_none_or(|elapsed| elapsed.0 >= hold_ms);
        if self.throttled && slowdown_milli < limits.release_milli && held {
            self.throttled = false;
            self.releases += 1;
            return Action::Release;
        }
        Action::None
    }
}
