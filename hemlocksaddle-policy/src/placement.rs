//! Choice of a rack and of a worker for a task attempt, and of tasks to preempt.
//!
//! The queue owner chooses a rack from summaries that are up to one heartbeat old.
//! A random part of the cost keeps several queue owners from choosing the same rack
//! at once. The rack owner then chooses a worker from its own current state. Small
//! tasks are packed onto the fullest worker with enough free capacity (best fit), so that
//! whole workers stay free for large ones. Expected interference and tasks of the
//! same job add to the cost of a worker.

use hemlocksaddle_types::resources::Resources;

/// Cost per task of the same job in the same data centre, in thousandths.
const SAME_DATA_CENTRE_MILLI: u64 = 40;
/// Cost per task of the same job in the same rack, in thousandths.
const SAME_RACK_MILLI: u64 = 80;
/// Cost per task of the same job on the same worker, in thousandths.
const SAME_WORKER_MILLI: u64 = 150;
/// Range of the random part of the cost of a rack, in thousandths.
const RACK_JITTER_MILLI: u64 = 120;

/// Summary of a rack, as seen by a queue owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RackView {
    /// Sum of the free resources of all workers.
    pub free: Resources,
    /// Largest free resources of a single worker.
    pub largest_free: Resources,
    /// Resources that urgent tasks could gain by evicting batch tasks.
    pub evictable: Resources,
    /// Total capacity of the rack.
    pub capacity: Resources,
    /// Tasks of the same job in the rack.
    pub same_job: u32,
    /// Tasks of the same job in the data centre of the rack.
    pub same_job_in_data_centre: u32,
}

/// State of a worker, as seen by the rack owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerView {
    /// Free resources.
    pub free: Resources,
    /// Total capacity of the worker.
    pub capacity: Resources,
    /// Tasks of the same job on the worker.
    pub same_job: u32,
    /// Expected slowdown due to the tasks on the worker, in thousandths above the
    /// uncontended run time.
    pub interference_milli: u64,
}

/// Index of the rack with the lowest cost for a demand; `None` if it appears to fit in no rack.
///
/// Calls `random` exactly once per rack.
pub fn choose_rack(
    demand: &Resources,
    may_evict: bool,
    racks: impl IntoIterator<Item = RackView>,
    mut random: impl FnMut() -> u64,
) -> Option<usize> {
    let costs = racks.into_iter().enumerate().filter_map(|(index, rack)| {
        let jitter = random() % RACK_JITTER_MILLI;
        let cost = rack_cost(demand, may_evict, &rack)?;
        Some((cost + jitter, index))
    });
    costs.min().map(|(_, index)| index)
}

fn rack_cost(demand: &Resources, may_evict: bool, rack: &RackView) -> Option<u64> {
    let fits = demand.fits_in(&rack.largest_free);
    let fits_after_eviction = may_evict && demand.fits_in(&(rack.largest_free + rack.evictable));
    if !fits && !fits_after_eviction {
        return None;
    }
    let spread = u64::from(rack.same_job) * SAME_RACK_MILLI
        + u64::from(rack.same_job_in_data_centre) * SAME_DATA_CENTRE_MILLI;
    let eviction = if fits { 0 } else { 2_000 };
    Some(used_share_milli(&rack.free, &rack.capacity) / 4 + spread + eviction)
}

/// Index of the worker with the lowest cost for a demand; `None` if it fits on no worker.
pub fn choose_worker(
    demand: &Resources,
    workers: impl IntoIterator<Item = WorkerView>,
) -> Option<usize> {
    let costs = workers
        .into_iter()
        .enumerate()
        .filter_map(|(index, worker)| {
            let fits = demand.fits_in(&worker.free);
            fits.then(|| (worker_cost(demand, &worker), index))
        });
    costs.min().map(|(_, index)| index)
}

fn worker_cost(demand: &Resources, worker: &WorkerView) -> u64 {
    let remaining = worker.free.saturating_sub(demand);
    let unused = 1_000 - used_share_milli(&remaining, &worker.capacity).min(1_000);
    unused + u64::from(worker.same_job) * SAME_WORKER_MILLI + worker.interference_milli * 2
}

/// Largest used fraction over all resource dimensions, in thousandths.
fn used_share_milli(free: &Resources, capacity: &Resources) -> u64 {
    let share = |free: u64, capacity: u64| match capacity {
        0 => 0,
        _ => capacity.saturating_sub(free) * 1_000 / capacity,
    };
    share(free.cpu_milli, capacity.cpu_milli)
        .max(share(free.memory_mb, capacity.memory_mb))
        .max(share(free.accelerators, capacity.accelerators))
}

/// Batch task that could be preempted for an urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Victim<K> {
    /// Key of the task.
    pub key: K,
    /// Resources that its eviction frees.
    pub demand: Resources,
    /// Progress since its last checkpoint in milliseconds, which an eviction may lose.
    pub unsaved_ms: u64,
    /// Whether its team is over quota; such tasks are evicted first.
    pub over_quota: bool,
}

/// Victims that free at least `missing`, tasks over quota first, then those with
/// the least lost work; `None` if all of them together free too little.
#[must_use]
pub fn choose_victims<K: Copy>(
    missing: &Resources,
    mut victims: Vec<Victim<K>>,
) -> Option<Vec<Victim<K>>> {
    victims.sort_by_key(|victim| (!victim.over_quota, lost_work(victim)));
    let mut chosen = Vec::new();
    let mut freed = Resources::default();
    for victim in victims {
        if missing.fits_in(&freed) {
            break;
        }
        freed += victim.demand;
        chosen.push(victim);
    }
    missing.fits_in(&freed).then_some(chosen)
}

/// Work lost by an eviction, in millicore-milliseconds: progress since the last
/// checkpoint times size.
#[must_use]
pub fn lost_work<K>(victim: &Victim<K>) -> u64 {
    victim.unsaved_ms.saturating_mul(victim.demand.cpu_milli)
}
