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

/// Image of a task; tasks without one share a name.
pub(super) type Image = Arc<str>;

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
    places: HashMap<Image, usize>,
    regressions: HashMap<Image, Regression>,
}

impl Harm {
    /// Weight of best-effort work of `image` beside `lasting`; 0 for a pair without harm.
    pub(super) fn weight(&self, image: &Image, lasting: &Image) -> f64 {
        let place = self.places.get(image);
        let regression = self.regressions.get(lasting);
        let weight = place
            .zip(regression)
            .and_then(|(place, regression)| regression.weights.get(*place));
        weight
            .copied()
            .filter(|weight| *weight > NOISE_WEIGHT)
            .unwrap_or(0.0)
    }

    /// Part of its target by which work prolongs the tail of a lasting task.
    pub(super) fn harm(&self, lasting: &Image, beside: &[Neighbour]) -> f64 {
        let parts = beside
            .iter()
            .map(|near| self.weight(&near.image, lasting) * near.share);
        parts.sum()
    }

    /// Learns from the tail of a lasting task, as a share of its target.
    pub(super) fn observe(&mut self, lasting: &Image, tail: f64, beside: &[Neighbour]) {
        let places: Vec<usize> = beside.iter().map(|near| self.place(&near.image)).collect();
        let size = 1 + self.places.len().min(MAX_IMAGES);
        let regression = self
            .regressions
            .entry(lasting.clone())
            .or_insert_with(Regression::new);
        regression.grow(size);
        let mut shares = vec![0.0; size];
        shares[0] = 1.0;
        for (place, near) in places.into_iter().zip(beside) {
            shares[place] += near.share;
        }
        regression.add(&shares, tail.clamp(0.0, MOST_TAIL));
        regression.sweep();
    }

    fn place(&mut self, image: &Image) -> usize {
        let next = (self.places.len() + 1).min(MAX_IMAGES);
        *self.places.entry(image.clone()).or_insert(next)
    }
}
