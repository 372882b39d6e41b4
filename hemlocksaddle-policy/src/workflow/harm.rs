//! Harm that best-effort tasks do to lasting tasks, learned from reported tails.
//!
//! A lasting task is taken as a queue with a utilisation `u`: its tail is a base
//! divided by `1 - u`. Best-effort tasks raise the utilisation to the load of the
//! task times `1 + sum(weight x share)`, where the share is the part of the
//! worker's processors that they use and the weight depends on the pair of
//! images. The load swings within seconds and is the same for all tasks of a
//! step, so that those without harmful neighbours show it; the weights stay. For
//! each lasting image they are a non-negative ridge regression over all
//! best-effort images, with one sweep of coordinate descent for each observation.

use std::sync::Arc;

use foldhash::HashMap;
use serde::{Deserialize, Serialize};

/// Base of a tail as a share of the target, before shorter tails are seen.
const FIRST_BASE: f64 = 0.2;

/// Part of a short tail that is taken as the base: even then there is some load.
const BASE_OF_SHORT: f64 = 0.77;

/// Step by which the base falls below a shorter tail.
const BASE_FALL: f64 = 0.01;

/// Step by which the base rises to a longer tail: the base settles where one tail in eleven is shorter.
const BASE_RISE: f64 = 0.001;

/// Load of a step before its first tail is seen.
const FIRST_LOAD: f64 = 0.45;

/// Least load that is assumed, so that a quiet task does not exaggerate a raise.
const LEAST_LOAD: f64 = 0.1;

/// Part of an error by which the load of a step follows a tail.
const LOAD_RATE: f64 = 0.4;

/// Raise of the utilisation below which a tail shows the load alone.
const UNPRESSED: f64 = 0.1;

/// Utilisation of a saturated task, whose true one cannot be seen.
const MAX_UTILISATION: f64 = 0.97;

/// Bounds of the raise that one observation shows.
const RAISE_BOUNDS: (f64, f64) = (-0.5, 2.0);

/// Ridge of a weight, in squared shares: one observation of a usual task.
const RIDGE: f64 = 0.015;

/// Part of older observations that is kept with each new one.
const KEPT: f64 = 0.999;

/// Weight up to which a pair counts as harmless: within the noise of some hundred observations.
const NOISE_WEIGHT: f64 = 0.8;

/// Weight from which a usual best-effort task does not fit beside a usual lasting one.
///
/// A tenth of a worker's processors then raises the utilisation by a quarter, about
/// what lasting tasks at half of their load bear.
const BARRED_WEIGHT: f64 = 2.5;

/// Part of the earlier demand for an image that is kept with each workflow.
const DEMAND_KEPT: f64 = 0.995;

/// Most best-effort images of a regression; further ones share the last place.
const MAX_IMAGES: usize = 32;

/// Image of tasks; all tasks without one share a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Image(usize);

/// Best-effort work beside a lasting task.
#[derive(Clone, Debug)]
pub(super) struct Neighbour {
    pub(super) image: Image,
    /// Share of the worker's processors.
    pub(super) share: f64,
}

/// Regression of the raise on the shares for one lasting image.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Regression {
    weights: Vec<f64>,
    products: Vec<f64>,
    squares: Vec<Vec<f64>>,
}

impl Regression {
    fn new() -> Regression {
        Regression {
            weights: Vec::new(),
            products: Vec::new(),
            squares: Vec::new(),
        }
    }

    fn grow(&mut self, places: usize) {
        while self.weights.len() < places {
            self.weights.push(0.0);
            self.products.push(0.0);
            self.squares.iter_mut().for_each(|row| row.push(0.0));
            self.squares.push(vec![0.0; self.weights.len()]);
        }
    }

    fn add(&mut self, shares: &[f64], raise: f64) {
        for (row, share) in shares.iter().enumerate() {
            self.products[row] = self.products[row] * KEPT + share * raise;
            for (column, other) in shares.iter().enumerate() {
                let square = &mut self.squares[row][column];
                *square = *square * KEPT + share * other;
            }
        }
    }

    fn sweep(&mut self) {
        for place in 0..self.weights.len() {
            let row = &self.squares[place];
            let others = row.iter().zip(&self.weights).enumerate();
            let explained: f64 = others
                .filter(|(other, _)| *other != place)
                .map(|(_, (square, weight))| square * weight)
                .sum();
            let weight = (self.products[place] - explained) / (row[place] + RIDGE);
            self.weights[place] = weight.max(0.0);
        }
    }
}

/// Learned weights.
#[derive(Debug, Default)]
pub(super) struct Harm {
    images: HashMap<Arc<str>, Image>,
    /// Regression of each lasting image, by its key.
    regressions: Vec<Option<Regression>>,
    /// Base of each lasting image, by its key.
    bases: HashMap<Image, f64>,
    /// Best-effort work that was asked for lately, by the place of its image.
    demand: Vec<f64>,
}

/// What was learned about one lasting image.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct LearnedImage {
    image: usize,
    regression: Regression,
    base: f64,
}

/// What was learned, for the next owner.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Learned {
    images: Vec<Arc<str>>,
    lasting: Vec<LearnedImage>,
}

impl Harm {
    /// What was learned so far.
    pub(super) fn learned(&self) -> Learned {
        let mut images: Vec<(&Arc<str>, Image)> = self
            .images
            .iter()
            .map(|(name, image)| (name, *image))
            .collect();
        images.sort_by_key(|(_, image)| *image);
        let lasting = self
            .regressions
            .iter()
            .enumerate()
            .filter_map(|(image, regression)| {
                Some(LearnedImage {
                    image,
                    regression: regression.clone()?,
                    base: self.base(Image(image)),
                })
            });
        Learned {
            lasting: lasting.collect(),
            images: images.into_iter().map(|(name, _)| name.clone()).collect(),
        }
    }

    /// Goes on from what a predecessor learned; ignored once images are known.
    pub(super) fn restore(&mut self, learned: Learned) {
        let consistent = learned.lasting.iter().all(|lasting| {
            let size = lasting.regression.weights.len();
            lasting.image < learned.images.len()
                && size <= MAX_IMAGES
                && lasting.regression.products.len() == size
                && lasting.regression.squares.len() == size
                && lasting
                    .regression
                    .squares
                    .iter()
                    .all(|row| row.len() == size)
        });
        if !self.images.is_empty() || !consistent {
            return;
        }
        let images = learned.images.into_iter().enumerate();
        self.images = images.map(|(key, name)| (name, Image(key))).collect();
        self.regressions = vec![None; self.images.len()];
        for lasting in learned.lasting {
            self.bases.insert(Image(lasting.image), lasting.base);
            self.regressions[lasting.image] = Some(lasting.regression);
        }
    }

    /// Key of an image.
    pub(super) fn image(&mut self, name: Option<&Arc<str>>) -> Image {
        let name = name.cloned().unwrap_or_else(|| Arc::from(""));
        let next = Image(self.images.len());
        *self.images.entry(name).or_insert(next)
    }

    /// Weight of best-effort work of `image` beside `lasting`; 0 for a pair without harm.
    pub(super) fn weight(&self, image: Image, lasting: Image) -> f64 {
        let regression = self.regressions.get(lasting.0).and_then(Option::as_ref);
        let weight = regression.and_then(|regression| regression.weights.get(place(image)));
        weight
            .copied()
            .filter(|weight| *weight > NOISE_WEIGHT)
            .unwrap_or(0.0)
    }

    /// Notes best-effort work that was asked for.
    pub(super) fn note_demand(&mut self, image: Image, work: f64) {
        let place = place(image);
        if self.demand.len() <= place {
            self.demand.resize(place + 1, 0.0);
        }
        self.demand
            .iter_mut()
            .for_each(|known| *known *= DEMAND_KEPT);
        self.demand[place] += work;
    }

    /// Whether usual work of `image` does not fit beside a usual task of `lasting`.
    pub(super) fn is_barred(&self, image: Image, lasting: Image) -> bool {
        self.weight(image, lasting) > BARRED_WEIGHT
    }

    /// Part of the best-effort demand that one of two lasting images bears and the other does not.
    ///
    /// Images of which nothing is known differ wholly.
    pub(super) fn difference(&self, lasting: Image, other: Image) -> f64 {
        if lasting == other {
            return 0.0;
        }
        let known = |image: Image| self.regressions.get(image.0).is_some_and(Option::is_some);
        let all: f64 = self.demand.iter().sum();
        if all <= 0.0 || !known(lasting) || !known(other) {
            return 1.0;
        }
        let differing = self.demand.iter().enumerate().filter(|(place, _)| {
            let image = Image(*place);
            self.is_barred(image, lasting) != self.is_barred(image, other)
        });
        differing.map(|(_, work)| work).sum::<f64>() / all
    }

    /// Part by which work raises the utilisation of a lasting task.
    pub(super) fn raise(&self, lasting: Image, beside: &[Neighbour]) -> f64 {
        let parts = beside
            .iter()
            .map(|near| self.weight(near.image, lasting) * near.share);
        parts.sum()
    }

    /// Utilisation at which a lasting task meets its target.
    pub(super) fn target_utilisation(&self, lasting: Image) -> f64 {
        1.0 - self.base(lasting)
    }

    fn base(&self, lasting: Image) -> f64 {
        self.bases.get(&lasting).copied().unwrap_or(FIRST_BASE)
    }

    /// Learns from the tail of a lasting task, as a share of its target; returns the new load of its step.
    pub(super) fn observe(
        &mut self,
        lasting: Image,
        load: Option<f64>,
        tail: f64,
        beside: &[Neighbour],
    ) -> f64 {
        let base = self.base(lasting);
        let shorter = tail * BASE_OF_SHORT < base;
        let step = if shorter { -BASE_FALL } else { BASE_RISE };
        self.bases.insert(lasting, base * (1.0 + step));
        let utilisation = (1.0 - base / tail.max(base)).min(MAX_UTILISATION);
        let raise = self.raise(lasting, beside);
        let load = load.unwrap_or(FIRST_LOAD);
        if !beside.is_empty() {
            let (least, most) = RAISE_BOUNDS;
            let seen = (utilisation / load.max(LEAST_LOAD) - 1.0).clamp(least, most);
            self.learn(lasting, seen, beside);
        }
        // Pressed tasks say less about the load, the more they are pressed.
        let rate = if raise < UNPRESSED {
            LOAD_RATE
        } else {
            LOAD_RATE * UNPRESSED / raise
        };
        load + rate * (utilisation / (1.0 + raise) - load)
    }

    fn learn(&mut self, lasting: Image, raise: f64, beside: &[Neighbour]) {
        if self.regressions.len() <= lasting.0 {
            self.regressions.resize(lasting.0 + 1, None);
        }
        let regression = self.regressions[lasting.0].get_or_insert_with(Regression::new);
        let places = beside.iter().map(|near| place(near.image));
        regression.grow(1 + places.max().unwrap_or(0));
        let mut shares = vec![0.0; regression.weights.len()];
        for near in beside {
            shares[place(near.image)] += near.share;
        }
        regression.add(&shares, raise);
        regression.sweep();
    }
}

/// Load that a step is expected to have.
pub(super) fn expected_load(load: Option<f64>) -> f64 {
    load.unwrap_or(FIRST_LOAD)
}

/// Place of an image in a regression.
fn place(image: Image) -> usize {
    image.0.min(MAX_IMAGES - 1)
}
