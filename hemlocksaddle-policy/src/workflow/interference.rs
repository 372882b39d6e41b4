//! Interference of best-effort tasks with long-running tasks, learned from tail latencies.
//!
//! A long-running task is modelled as an M/M/1 queue with utilisation `u`: its tail
//! latency is a base, the tail without load, divided by `1 - u`. Best-effort tasks
//! raise the utilisation to the load of the task times `1 + sum(weight x share)`,
//! where the share is the fraction of the worker's processors that they use and the
//! weight depends on the pair of images. The load varies within seconds and is the
//! same for all tasks of a step, so tasks without interfering neighbours reveal it;
//! the weights are stable. For each long-running image the weights are fitted by a
//! non-negative ridge regression over all best-effort images, with one sweep of
//! coordinate descent per observation. The equation of a best-effort image forgets
//! exponentially, with each observation of that image alone: placement keeps images that
//! interfere away, so time without observations says nothing against their weights.

use std::sync::Arc;

use foldhash::HashMap;
use hemlocksaddle_types::hash::stable_hash;
use serde::{Deserialize, Serialize};

/// Base as a fraction of the target, before shorter tails are observed.
const INITIAL_BASE: f64 = 0.2;

/// Fraction of a short tail that is taken as the base, since even then there is some load.
const BASE_FRACTION: f64 = 0.77;

/// Relative decrease of the base after a shorter tail.
const BASE_DECREASE: f64 = 0.01;

/// Relative increase of the base after a longer tail; the base settles where one tail in eleven is
/// shorter.
const BASE_INCREASE: f64 = 0.001;

/// Load of a step before its first tail is observed.
const INITIAL_LOAD: f64 = 0.45;

/// Lower bound of the load, so that a nearly idle task does not exaggerate an increase.
const MIN_LOAD: f64 = 0.1;

/// Exponential smoothing factor of the load of a step.
const LOAD_SMOOTHING: f64 = 0.4;

/// Increase of the utilisation below which a tail reflects the load alone.
const NEGLIGIBLE_INCREASE: f64 = 0.1;

/// Utilisation assumed for a saturated task, whose actual one cannot be observed.
const MAX_UTILISATION: f64 = 0.97;

/// Bounds of the utilisation increase derived from one observation.
const INCREASE_BOUNDS: (f64, f64) = (-0.5, 2.0);

/// Ridge penalty of a weight, in squared shares: one observation of a typical task.
const RIDGE: f64 = 0.015;

/// Factor applied to the sums of older observations of an image with each new one.
const FORGETTING_FACTOR: f64 = 0.999;

/// Weight up to which a pair counts as harmless: within the noise of a few hundred observations.
const NOISE_WEIGHT: f64 = 0.8;

/// Weight above which a typical best-effort task does not fit beside a typical long-running one.
///
/// A tenth of a worker's processors then raises the utilisation by a quarter, about
/// what long-running tasks at half of their load tolerate.
const INCOMPATIBLE_WEIGHT: f64 = 2.5;

/// Factor applied to the earlier demand with each best-effort step that is accepted.
const DEMAND_DECAY: f64 = 0.995;

/// Maximum number of images in a regression; further ones share the last column.
///
/// A regression takes space and time with the square of it: 32 kB and a few microseconds for each
/// observation.
const MAX_IMAGES: usize = 64;

/// Maximum number of images that are told apart; further ones share the last id.
///
/// Bounds the stored state at 200 kB, with a regression for each of them.
const MAX_KNOWN_IMAGES: usize = 256;

/// Longest name of an image that is stored; of a longer one, the beginning and a hash are.
const MAX_IMAGE_NAME_BYTES: usize = 64;

/// Id of a task image; all tasks without an image share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ImageId(usize);

/// Best-effort run on the same worker as a long-running task.
#[derive(Clone, Debug)]
pub(super) struct Neighbour {
    pub(super) image: ImageId,
    /// Share of the worker's processors.
    pub(super) share: f64,
}

/// Regression of the utilisation increase on the shares, for one long-running image.
#[derive(Clone, Debug)]
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

    fn grow(&mut self, columns: usize) {
        while self.weights.len() < columns {
            self.weights.push(0.0);
            self.products.push(0.0);
            self.squares.iter_mut().for_each(|row| row.push(0.0));
            self.squares.push(vec![0.0; self.weights.len()]);
        }
    }

    /// Adds an observation to the equations of the images that it contains.
    ///
    /// The other equations keep their sums. Scaling one equation as a whole does not change its solution.
    fn add(&mut self, shares: &[f64], increase: f64) {
        let present = shares.iter().enumerate().filter(|(_, share)| **share > 0.0);
        for (row, share) in present {
            self.products[row] = self.products[row] * FORGETTING_FACTOR + share * increase;
            for (column, other) in shares.iter().enumerate() {
                let square = &mut self.squares[row][column];
                *square = *square * FORGETTING_FACTOR + share * other;
            }
        }
    }

    /// Regression that a predecessor has learned, without the correlations of its columns.
    fn restored(weights: &[f32], strengths: &[f32]) -> Regression {
        let mut regression = Regression::new();
        regression.grow(weights.len());
        for (column, (weight, strength)) in weights.iter().zip(strengths).enumerate() {
            let (weight, strength) = (f64::from(*weight), f64::from(*strength));
            regression.weights[column] = weight;
            regression.products[column] = weight * (strength + RIDGE);
            regression.squares[column][column] = strength;
        }
        regression
    }

    fn sweep(&mut self) {
        for column in 0..self.weights.len() {
            let row = &self.squares[column];
            let others = row.iter().zip(&self.weights).enumerate();
            let explained: f64 = others
                .filter(|(other, _)| *other != column)
                .map(|(_, (square, weight))| square * weight)
                .sum();
            let weight = (self.products[column] - explained) / (row[column] + RIDGE);
            self.weights[column] = weight.max(0.0);
        }
    }
}

/// Learned interference weights.
#[derive(Debug, Default)]
pub(super) struct InterferenceModel {
    images: HashMap<Arc<str>, ImageId>,
    /// Regression of each long-running image, indexed by its id.
    regressions: Vec<Option<Regression>>,
    /// Base of each long-running image.
    bases: HashMap<ImageId, f64>,
    /// Recent demand for best-effort work, by the column of its image.
    demand: Vec<f64>,
    /// Whether the demand includes that of inherited workflows.
    has_restored_demand: bool,
}

/// Learned state of one long-running image, with a weight and its strength for each column.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ImageSnapshot {
    image: usize,
    #[serde(default)]
    weights: Vec<f32>,
    /// Sums of squared shares that the weights were learned from.
    #[serde(default)]
    strengths: Vec<f32>,
    base: f64,
}

/// Learned state of the model, stored for the next owner.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InterferenceSnapshot {
    images: Vec<Arc<str>>,
    #[serde(rename = "lasting")]
    long_running: Vec<ImageSnapshot>,
    #[serde(default)]
    demand: Vec<f32>,
}

impl InterferenceModel {
    /// Current learned state.
    pub(super) fn snapshot(&self) -> InterferenceSnapshot {
        let mut images: Vec<(&Arc<str>, ImageId)> = self
            .images
            .iter()
            .map(|(name, image)| (name, *image))
            .collect();
        images.sort_by_key(|(_, image)| *image);
        let long_running = self
            .regressions
            .iter()
            .enumerate()
            .filter_map(|(image, regression)| {
                let regression = regression.as_ref()?;
                let diagonal = regression.squares.iter().enumerate();
                Some(ImageSnapshot {
                    image,
                    weights: regression.weights.iter().map(|w| *w as f32).collect(),
                    strengths: diagonal.map(|(column, row)| row[column] as f32).collect(),
                    base: self.base(ImageId(image)),
                })
            });
        InterferenceSnapshot {
            long_running: long_running.collect(),
            demand: self.demand.iter().map(|work| *work as f32).collect(),
            images: images.into_iter().map(|(name, _)| name.clone()).collect(),
        }
    }

    /// Restores a predecessor's learned state; ignored if inconsistent or once images are known.
    pub(super) fn restore(&mut self, snapshot: InterferenceSnapshot) {
        let mut snapshot = snapshot;
        snapshot.images.truncate(MAX_KNOWN_IMAGES);
        let long_running = &mut snapshot.long_running;
        long_running.retain(|long_running| long_running.image < MAX_KNOWN_IMAGES);
        let consistent = snapshot.long_running.iter().all(|long_running| {
            let size = long_running.weights.len();
            long_running.image < snapshot.images.len()
                && size <= MAX_IMAGES
                && long_running.strengths.len() == size
        });
        if !self.images.is_empty() || !consistent {
            return;
        }
        if snapshot.demand.len() <= MAX_IMAGES {
            self.has_restored_demand = !snapshot.demand.is_empty();
            self.demand = snapshot.demand.into_iter().map(f64::from).collect();
        }
        let images = snapshot.images.into_iter().enumerate();
        let images = images.map(|(key, name)| (stored_name(name), ImageId(key)));
        self.images = images.collect();
        self.regressions = vec![None; self.images.len()];
        for long_running in snapshot.long_running {
            self.bases
                .insert(ImageId(long_running.image), long_running.base);
            let regression = Regression::restored(&long_running.weights, &long_running.strengths);
            self.regressions[long_running.image] = Some(regression);
        }
    }

    /// Id of an image, assigned on first use.
    pub(super) fn image_id(&mut self, name: Option<&Arc<str>>) -> ImageId {
        let name = stored_name(name.cloned().unwrap_or_else(|| Arc::from("")));
        let next = ImageId(self.images.len());
        if next.0 < MAX_KNOWN_IMAGES {
            return *self.images.entry(name).or_insert(next);
        }
        let known = self.images.get(&name).copied();
        known.unwrap_or(ImageId(MAX_KNOWN_IMAGES - 1))
    }

    /// Weight of best-effort work of `image` beside `long_running`; 0 for a harmless pair.
    pub(super) fn weight(&self, image: ImageId, long_running: ImageId) -> f64 {
        let regression = self
            .regressions
            .get(long_running.0)
            .and_then(Option::as_ref);
        let weight = regression.and_then(|regression| regression.weights.get(column(image)));
        weight
            .copied()
            .filter(|weight| *weight > NOISE_WEIGHT)
            .unwrap_or(0.0)
    }

    /// Whether the demand of a predecessor's workflows was restored.
    pub(super) fn has_restored_demand(&self) -> bool {
        self.has_restored_demand
    }

    /// Records demand for best-effort work, in thousandths of a core times seconds.
    pub(super) fn record_demand(&mut self, image: ImageId, work: f64) {
        let column = column(image);
        if self.demand.len() <= column {
            self.demand.resize(column + 1, 0.0);
        }
        self.demand
            .iter_mut()
            .for_each(|known| *known *= DEMAND_DECAY);
        self.demand[column] += work;
    }

    /// Whether typical work of `image` does not fit beside a typical task of `long_running`.
    pub(super) fn is_incompatible(&self, image: ImageId, long_running: ImageId) -> bool {
        self.weight(image, long_running) > INCOMPATIBLE_WEIGHT
    }

    /// Fraction of the best-effort demand that exactly one of two long-running images tolerates.
    ///
    /// Images without observations count as entirely different.
    pub(super) fn difference(&self, long_running: ImageId, other: ImageId) -> f64 {
        if long_running == other {
            return 0.0;
        }
        let known = |image: ImageId| self.regressions.get(image.0).is_some_and(Option::is_some);
        let total: f64 = self.demand.iter().sum();
        if total <= 0.0 || !known(long_running) || !known(other) {
            return 1.0;
        }
        let differing = self.demand.iter().enumerate().filter(|(column, _)| {
            let image = ImageId(*column);
            self.is_incompatible(image, long_running) != self.is_incompatible(image, other)
        });
        differing.map(|(_, work)| work).sum::<f64>() / total
    }

    /// Relative increase of the utilisation of a long-running task that its neighbours cause.
    pub(super) fn utilisation_increase(
        &self,
        long_running: ImageId,
        neighbours: &[Neighbour],
    ) -> f64 {
        let parts = neighbours
            .iter()
            .map(|neighbour| self.weight(neighbour.image, long_running) * neighbour.share);
        parts.sum()
    }

    /// Utilisation at which the tail of a long-running task reaches its target.
    pub(super) fn target_utilisation(&self, long_running: ImageId) -> f64 {
        1.0 - self.base(long_running)
    }

    fn base(&self, long_running: ImageId) -> f64 {
        self.bases
            .get(&long_running)
            .copied()
            .unwrap_or(INITIAL_BASE)
    }

    /// Learns from the tail of a long-running task, as a fraction of its target.
    ///
    /// Returns the new load of the task's step.
    pub(super) fn observe(
        &mut self,
        long_running: ImageId,
        load: Option<f64>,
        tail: f64,
        neighbours: &[Neighbour],
    ) -> f64 {
        let base = self.base(long_running);
        let shorter = tail * BASE_FRACTION < base;
        let step = if shorter {
            -BASE_DECREASE
        } else {
            BASE_INCREASE
        };
        self.bases.insert(long_running, base * (1.0 + step));
        let utilisation = (1.0 - base / tail.max(base)).min(MAX_UTILISATION);
        let increase = self.utilisation_increase(long_running, neighbours);
        let load = load.unwrap_or(INITIAL_LOAD);
        if !neighbours.is_empty() {
            let (lower, upper) = INCREASE_BOUNDS;
            let observed = (utilisation / load.max(MIN_LOAD) - 1.0).clamp(lower, upper);
            self.learn(long_running, observed, neighbours);
        }
        // The stronger the interference, the less a tail says about the load.
        let rate = if increase < NEGLIGIBLE_INCREASE {
            LOAD_SMOOTHING
        } else {
            LOAD_SMOOTHING * NEGLIGIBLE_INCREASE / increase
        };
        load + rate * (utilisation / (1.0 + increase) - load)
    }

    fn learn(&mut self, long_running: ImageId, increase: f64, neighbours: &[Neighbour]) {
        if self.regressions.len() <= long_running.0 {
            self.regressions.resize(long_running.0 + 1, None);
        }
        let regression = self.regressions[long_running.0].get_or_insert_with(Regression::new);
        let columns = neighbours.iter().map(|neighbour| column(neighbour.image));
        regression.grow(1 + columns.max().unwrap_or(0));
        let mut shares = vec![0.0; regression.weights.len()];
        for neighbour in neighbours {
            shares[column(neighbour.image)] += neighbour.share;
        }
        regression.add(&shares, increase);
        regression.sweep();
    }
}

/// Estimated load of a step, or the initial one before any observation.
pub(super) fn expected_load(load: Option<f64>) -> f64 {
    load.unwrap_or(INITIAL_LOAD)
}

/// Name under which an image is stored.
fn stored_name(name: Arc<str>) -> Arc<str> {
    if name.len() <= MAX_IMAGE_NAME_BYTES {
        return name;
    }
    let hash = format!("#{:016x}", stable_hash(&[name.as_bytes()]));
    let beginning = name.floor_char_boundary(MAX_IMAGE_NAME_BYTES - hash.len());
    format!("{}{hash}", &name[..beginning]).into()
}

/// Column of an image in a regression.
fn column(image: ImageId) -> usize {
    image.0.min(MAX_IMAGES - 1)
}
