//! Policies for batch tasks: placement, backoff, fairness, failure attribution,
//! interference and checkpoints.

use googletest::prelude::*;
use hemlocksaddle_policy::{
    backoff::{Backoff, BackoffConfig, Permission, jittered},
    checkpoint::interval,
    failure_attribution::FailureAttribution,
    fairness::{dominant_share_milli, next_team, over_quota},
    interference::{Action, InterferenceModel, Mitigation, Thresholds},
    placement::{RackView, Victim, WorkerView, choose_rack, choose_victims, choose_worker},
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    resources::Resources,
};
use proptest::{prop_assert, proptest};

const BACKOFF: BackoffConfig = BackoffConfig {
    initial_ms: Millis(200),
    max_ms: Millis(5_000),
    probe_timeout_ms: Millis(1_000),
};

fn cores(count: u64) -> Resources {
    Resources {
        cpu_milli: count * 1_000,
        memory_mb: count * 1_000,
        accelerators: 0,
    }
}

fn worker(free: u64) -> WorkerView {
    WorkerView {
        free: cores(free),
        capacity: cores(16),
        ..WorkerView::default()
    }
}

fn rack(free: u64, largest: u64) -> RackView {
    RackView {
        free: cores(free),
        largest_free: cores(largest),
        capacity: cores(160),
        ..RackView::default()
    }
}

/// Guards against small tasks that are spread over all workers, so that no large task fits.
#[gtest]
fn small_tasks_are_packed() {
    let workers = [worker(16), worker(3), worker(8)];
    expect_that!(choose_worker(&cores(2), workers), some(eq(1)));
    expect_that!(choose_worker(&cores(9), workers), some(eq(0)));
    expect_that!(choose_worker(&cores(17), workers), none());
}

/// Guards against placing all tasks of a job on one worker or rack, or next to
/// tasks that slow them down.
#[gtest]
fn tasks_of_a_job_and_noisy_neighbours_are_avoided() {
    let crowded = WorkerView {
        same_job: 3,
        ..worker(4)
    };
    expect_that!(choose_worker(&cores(1), [crowded, worker(5)]), some(eq(1)));
    let noisy = WorkerView {
        interference_milli: 400,
        ..worker(4)
    };
    expect_that!(choose_worker(&cores(1), [noisy, worker(8)]), some(eq(1)));
    let same_rack = RackView {
        same_job: 4,
        ..rack(100, 16)
    };
    let chosen = choose_rack(&cores(1), false, [same_rack, rack(90, 16)], || 0);
    expect_that!(chosen, some(eq(1)));
}

/// Guards against choosing a rack by its total free resources although the task fits on no single
/// worker.
#[gtest]
fn a_rack_needs_a_worker_with_free_capacity_or_tasks_to_evict() {
    let full = RackView {
        evictable: cores(8),
        ..rack(40, 4)
    };
    expect_that!(choose_rack(&cores(8), false, [full], || 0), none());
    expect_that!(choose_rack(&cores(8), true, [full], || 0), some(eq(0)));
    let with_free_capacity = choose_rack(&cores(8), true, [full, rack(20, 10)], || 0);
    expect_that!(
        with_free_capacity,
        some(eq(1)),
        "free capacity is preferred to eviction"
    );
}

/// Guards against evictions that lose more work than needed, or that free too little.
#[gtest]
fn victims_lose_the_least_work() {
    let victim = |key: u32, size: u64, unsaved_ms: u64, over_quota: bool| Victim {
        key,
        demand: cores(size),
        unsaved_ms,
        over_quota,
    };
    let tasks = vec![
        victim(1, 4, 60_000, false),
        victim(2, 4, 1_000, false),
        victim(3, 2, 9_000, true),
    ];
    let keys = |missing: u64| {
        let chosen = choose_victims(&cores(missing), tasks.clone());
        chosen.map(|chosen| chosen.into_iter().map(|v| v.key).collect::<Vec<_>>())
    };
    expect_that!(keys(2), some(eq(&vec![3])));
    expect_that!(keys(5), some(eq(&vec![3, 2])));
    expect_that!(keys(11), none());
}

/// Guards against retries in a tight loop while a key refuses, and against several probes at once.
#[gtest]
fn backoff_grows_and_then_permits_one_probe() {
    let mut backoff: Backoff<&str, u8> = Backoff::new(BACKOFF);
    let mut now = MonoMs(0);
    let mut waits = Vec::new();
    for _ in 0..6 {
        let until = backoff.record_refusal(&"r1", 1, now, u64::MAX / 2);
        waits.push(until.since(now).0);
        now = until;
    }
    expect_that!(waits.is_sorted(), eq(true));
    expect_that!(waits[5], le(5_000));
    expect_that!(backoff.acquire(&"r1", now), eq(Permission::Probe));
    expect_that!(
        backoff.acquire(&"r1", now),
        eq(Permission::NotBefore(now + Millis(1_000)))
    );
    expect_that!(backoff.acquire(&"r2", now), eq(Permission::Granted));
    let until = backoff.record_refusal(&"r1", 2, now, 0);
    expect_that!(
        until.since(now).0,
        le(200),
        "another kind of refusal resets the delay"
    );
    backoff.record_success(&"r1");
    expect_that!(backoff.acquire(&"r1", now), eq(Permission::Granted));
}

/// Guards against serving a team without a quota before teams with one.
#[gtest]
fn the_team_with_the_lowest_dominant_share_is_next() {
    let half = dominant_share_milli(&cores(4), &cores(8));
    let none = dominant_share_milli(&cores(1), &Resources::default());
    expect_that!(half, eq(500));
    expect_that!(next_team([(none, 0), (half, 9), (half, 3)]), some(eq(2)));
    expect_that!(over_quota(&cores(9), &cores(8)), eq(true));
}

/// Guards against a bad job that makes good workers suspect, and against a bad
/// worker that is not detected.
#[gtest]
fn failures_are_attributed_to_the_worker_or_the_job() {
    let mut attribution: FailureAttribution<&str, u32> = FailureAttribution::default();
    for worker in ["w1", "w2", "w3"] {
        attribution.record_failure(&worker, &7);
    }
    expect_that!(attribution.is_bad_job(&7), eq(true));
    expect_that!(attribution.is_suspect(&"w1"), eq(false));
    attribution.record_success(&"w2", &8);
    attribution.record_failure(&"w1", &8);
    attribution.record_failure(&"w1", &8);
    expect_that!(attribution.is_suspect(&"w1"), eq(true));
    expect_that!(
        attribution.is_bad_job(&7),
        eq(false),
        "one of the three workers is suspect"
    );
    attribution.record_success(&"w1", &8);
    expect_that!(attribution.is_suspect(&"w1"), eq(false));
}

/// Guards against attributing a slowdown to a harmless neighbour, and against using
/// outdated evidence.
#[gtest]
fn the_model_finds_the_interfering_pair() {
    let mut model: InterferenceModel<&str> = InterferenceModel::default();
    for step in 0..40 {
        let now = MonoMs(step * 2_000);
        model.observe(&"orders", &[("scan", 4_000), ("match", 4_000)], 400, now);
        model.observe(&"orders", &[("match", 4_000)], 0, now);
    }
    let now = MonoMs(80_000);
    let noisy = model.expected_slowdown_milli(&"orders", [&"scan"], now);
    let quiet = model.expected_slowdown_milli(&"orders", [&"match"], now);
    expect_that!(noisy, gt(200));
    expect_that!(quiet, lt(noisy / 3));
    expect_that!(
        model.expected_slowdown_milli(&"orders", [&"unknown"], now),
        eq(0)
    );
    let much_later = MonoMs(40_000_000);
    expect_that!(
        model.expected_slowdown_milli(&"orders", [&"scan"], much_later),
        lt(50)
    );
}

/// Guards against an action before measurements show the effect of the previous
/// one, and against throttles that oscillate.
#[gtest]
fn mitigation_waits_for_its_effect_and_holds_throttles() {
    let limits = Thresholds {
        act_milli: 200,
        release_milli: 80,
        settle_ms: Millis(12_000),
        hold_ms: Millis(30_000),
    };
    let mut mitigation = Mitigation::default();
    let mut next = |slowdown, at_ms| mitigation.next_action(slowdown, &limits, MonoMs(at_ms));
    expect_that!(next(150, 0), eq(Action::None));
    expect_that!(next(500, 1_000), eq(Action::Throttle));
    expect_that!(next(500, 12_000), eq(Action::None));
    expect_that!(next(500, 14_000), eq(Action::Move));
    expect_that!(next(500, 30_000), eq(Action::Throttle));
    expect_that!(next(100, 90_000), eq(Action::None));
    expect_that!(next(50, 92_000), eq(Action::Release));
    expect_that!(next(500, 110_000), eq(Action::Throttle));
    expect_that!(
        next(50, 145_000),
        eq(Action::None),
        "a release doubles the hold time"
    );
    expect_that!(next(50, 171_000), eq(Action::Release));
}

/// Guards against checkpoints that cost more than they save, or that are too rare.
#[gtest]
fn the_checkpoint_interval_follows_the_failure_rate() {
    let day = Millis(86_400_000);
    let calm = interval(Millis(5_000), 0, day);
    let rough = interval(Millis(5_000), 100, day);
    expect_that!(rough, lt(calm));
    expect_that!(calm.0, le(3_600_000));
    expect_that!(interval(Millis(1), 1_000_000, day).0, eq(30_000));
}

proptest! {
    /// Guards against delays outside the upper half of the range.
    #[test]
    fn jitter_stays_in_the_upper_half(delay in 0u64..10_000_000, random: u64) {
        let wait = jittered(Millis(delay), random).0;
        prop_assert!(wait <= delay && wait >= delay / 2);
    }

    /// Guards against choosing a worker without enough free capacity.
    #[test]
    fn the_chosen_worker_has_free_capacity(free in proptest::collection::vec(0u64..17, 0..12), demand in 1u64..17) {
        let workers: Vec<WorkerView> = free.iter().map(|free| worker(*free)).collect();
        match choose_worker(&cores(demand), workers) {
            Some(index) => prop_assert!(free[index] >= demand),
            None => prop_assert!(free.iter().all(|free| *free < demand)),
        }
    }
}
