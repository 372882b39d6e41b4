//! Steps that fit nowhere in a plan.
//!
//! Within a plan, the free capacity only shrinks. A step of which no further task fits, or a gang whose members do not
//! fit together, therefore rules out each later one that needs at least as much in the same place. The number of steps that
//! are kept is bounded, so that a later step is compared with few of them. A step that is not kept rules out nothing: the
//! later ones are compared with all workers instead.

use std::sync::Arc;

use foldhash::HashMap;
use hemlocksaddle_types::{resources::Resources, workflow::Step};

use super::{capacity::CapacityRule, interference::ImageId};

/// Maximum number of steps that are kept for one place and image.
///
/// No kept step rules out another one. Of random demands of two resources, about as many are kept as the logarithm of
/// their number, so that the bound takes effect only for demands that are chosen to exceed it.
const MAX_KEPT: usize = 32;

/// Step of which no further task fits on any candidate in this plan.
#[derive(Debug)]
pub(super) struct Unplaced {
    place: Place,
    need: Need,
}

/// Where a step may run, and for which image.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
    pool: Arc<str>,
    required_label: Option<Arc<str>>,
    /// Image of a best-effort step; the others need no headroom.
    image: Option<ImageId>,
}

impl Place {
    fn of(step: &Step, image: ImageId, pool: &Arc<str>) -> Place {
        Place {
            pool: pool.clone(),
            required_label: step.required_label.clone(),
            image: step.best_effort.then_some(image),
        }
    }
}

/// What a step needs in its place.
#[derive(Clone, Copy, Debug)]
struct Need {
    capacity_rule: CapacityRule,
    /// Demand of each task.
    demand: Resources,
    /// Number of tasks that would have to fit at once.
    tasks: u64,
    /// Class of the run time; a step of a lower class may still use reserved room.
    run_class: u32,
}

impl Need {
    /// Whether a step with another need fits nowhere either.
    fn rules_out(&self, other: &Need) -> bool {
        let same_rule =
            self.capacity_rule == CapacityRule::Any || self.capacity_rule == other.capacity_rule;
        same_rule
            && self.demand.fits_in(&other.demand)
            && self.tasks <= other.tasks
            && self.run_class <= other.run_class
    }
}

/// Class of the run time of a step: powers of two, so that few steps are compared again.
fn run_class(step: &Step) -> u32 {
    if step.long_running {
        u32::MAX
    } else {
        step.expected_run_ms.checked_ilog2().unwrap_or(0)
    }
}

impl Unplaced {
    /// `None` if the step has limits of its own, so that its failure says nothing about others.
    pub(super) fn new(
        step: &Step,
        image: ImageId,
        pool: &Arc<str>,
        capacity_rule: CapacityRule,
    ) -> Option<Unplaced> {
        (step.max_per_worker == 0).then(|| Unplaced {
            place: Place::of(step, image, pool),
            need: Need {
                capacity_rule,
                demand: step.demand,
                tasks: 1,
                run_class: 0,
            },
        })
    }

    /// A gang for whose members there is room in all for `room` tasks; `None` as for [`Unplaced::new`].
    pub(super) fn gang(
        step: &Step,
        image: ImageId,
        pool: &Arc<str>,
        room: u64,
    ) -> Option<Unplaced> {
        let mut unplaced = Unplaced::new(step, image, pool, CapacityRule::Any)?;
        unplaced.need.tasks = room.saturating_add(1);
        Some(unplaced)
    }

    /// Does not rule out steps with shorter runs, which may end before reserved room is needed.
    pub(super) fn except_shorter(mut self, step: &Step) -> Unplaced {
        self.need.run_class = run_class(step);
        self
    }
}

/// Steps that fit nowhere in a plan.
#[derive(Debug, Default)]
pub(super) struct UnplacedSteps {
    by_place: HashMap<Place, Vec<Need>>,
    /// Comparisons of a step with another one.
    pub(super) compared: u64,
}

impl Extend<Unplaced> for UnplacedSteps {
    fn extend<T: IntoIterator<Item = Unplaced>>(&mut self, steps: T) {
        steps.into_iter().for_each(|unplaced| self.add(unplaced));
    }
}

impl UnplacedSteps {
    /// Keeps a step in place of those that it rules out.
    fn add(&mut self, Unplaced { place, need }: Unplaced) {
        let kept = self.by_place.entry(place).or_default();
        self.compared += kept.len() as u64;
        kept.retain(|other| !need.rules_out(other));
        if kept.len() < MAX_KEPT {
            kept.push(need);
        }
    }

    /// Whether a step fits nowhere either, since it needs at least as much as one of these in the same place.
    pub(super) fn rules_out(
        &mut self,
        step: &Step,
        image: ImageId,
        pool: &Arc<str>,
        capacity_rule: CapacityRule,
    ) -> bool {
        let need = Need {
            capacity_rule,
            demand: step.demand,
            tasks: if step.gang { u64::from(step.tasks) } else { 1 },
            run_class: run_class(step),
        };
        let mut place = Place::of(step, image, pool);
        if place.required_label.is_some() && self.rules_out_in(&place, &need) {
            return true;
        }
        // Where a step without a label does not fit, one with a label does not fit either.
        place.required_label = None;
        self.rules_out_in(&place, &need)
    }

    fn rules_out_in(&mut self, place: &Place, need: &Need) -> bool {
        let Some(kept) = self.by_place.get(place) else {
            return false;
        };
        let found = kept.iter().position(|other| other.rules_out(need));
        let compared = found.map_or(kept.len(), |index| index + 1);
        self.compared += compared as u64;
        found.is_some()
    }
}
