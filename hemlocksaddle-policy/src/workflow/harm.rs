//! Harm that best-effort tasks do to lasting tasks, learned from reported tails.
//!
//! Most pairs of images do not disturb each other, a few do so badly, and both
//! the load of a lasting task and the harm swing within seconds. What is learned
//! is therefore the mean: for each lasting image a non-negative ridge regression
//! of the tail, as a bounded share of the target, on the shares of the worker's
//! processors that the best-effort images use. One sweep of coordinate descent
//! follows each observation.

use std::sync::Arc;

use foldhash::HashMap;

/// Largest tail, as a share of the target, that counts; longer ones say no more about the mean.
const MOST_TAIL: f64 = 2.0;

/// Tail without harm, as a share of the target, before anything is learned.
const FIRST_BASE: f64 = 0.4;

/// Ridge of a weight, in squared shares: four observations of a usual task.
const RIDGE: f64 = 0.05;

/// Part of older observations that is kept with each new one.
const KEPT: f64 = 0.999;

/// Weight up to which a pair counts as harmless: within the noise of some hundred observations.
const NOISE_WEIGHT: f64 = 0.8;

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

/// Regression for one lasting image. Place 0 of each row is the base.
#[derive(Clone, Debug)]
struct Regression {
    weights: Vec<f64>,
    products: Vec<f64>,
    squares: Vec<Vec<f64>>,
}

impl Regression {
    fn new() -> Regression {
        Regression {
            weights: vec![FIRST_BASE],
            products: vec![FIRST_BASE],
            squares: vec![vec![1.0]],
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

    fn add(&mut self, shares: &[f64], tail: f64) {
        for (row, share) in shares.iter().enumerate() {
            self.products[row] = self.products[row] * KEPT + share * tail;
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
}

impl Harm {
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

    /// Part of its target by which work prolongs the tail of a lasting task.
    pub(super) fn harm(&self, lasting: Image, beside: &[Neighbour]) -> f64 {
        let parts = beside
            .iter()
            .map(|near| self.weight(near.image, lasting) * near.share);
        parts.sum()
    }

    /// Learns from the tail of a lasting task, as a share of its target.
    pub(super) fn observe(&mut self, lasting: Image, tail: f64, beside: &[Neighbour]) {
        if self.regressions.len() <= lasting.0 {
            self.regressions.resize(lasting.0 + 1, None);
        }
        let regression = self.regressions[lasting.0].get_or_insert_with(Regression::new);
        let places = beside.iter().map(|near| place(near.image));
        regression.grow(1 + places.max().unwrap_or(0));
        let mut shares = vec![0.0; regression.weights.len()];
        shares[0] = 1.0;
        for near in beside {
            shares[place(near.image)] += near.share;
        }
        regression.add(&shares, tail.clamp(0.0, MOST_TAIL));
        regression.sweep();
    }
}

/// Place of an image in a regression.
fn place(image: Image) -> usize {
    1 + image.0.min(MAX_IMAGES - 1)
}
