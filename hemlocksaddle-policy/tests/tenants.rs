//! Caps of tenants, and what a tenant may learn and cancel.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, StartAnswer, WaitReason};
use hemlocksaddle_types::{
    resources::Resources,
    workflow::{Run, State, Step, WorkflowId},
};
use workflow_support::{Harness, LEASE_MS, best_effort, long_running, step};

/// Four workers of 16 cores; tenants `a` and `b` may use four and eight cores.
fn capped() -> Harness {
    let mut harness = Harness::with_workers(4, 16_000);
    harness.configure_tenants(&[("a", 1, 4_000), ("b", 1, 8_000)]);
    harness
}

/// Load: one tenant with twice its cap on an empty fleet. Guards against a refused start that
/// goes on counting, and against an unanswered order that stops counting before its lease has expired.
#[gtest]
fn caps_count_unanswered_orders_and_not_refused_ones() {
    let mut harness = capped();
    harness.accept_of("a", 1, vec![step(8, 1_000)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(4));
    harness.answer(&starts[0], StartAnswer::NoRoom);
    harness.answer(&starts[1], StartAnswer::Unknown);
    harness.answer_all(&starts[2..], StartAnswer::Accepted);
    expect_that!(harness.used("a"), eq(3_000));
    expect_that!(harness.start_all(), eq(1));
    let silent = harness.number_of(&starts[1]);
    harness.silence(harness.workers[silent]);
    let report_others = |harness: &mut Harness| {
        let others = (0..4).filter(|&number| number != silent);
        others.for_each(|number| harness.report_assigned(number));
    };
    for _ in 0..2 {
        harness.advance(LEASE_MS / 2);
        report_others(&mut harness);
        expect_that!(harness.start_all(), eq(0));
    }
    harness.advance(1);
    report_others(&mut harness);
    expect_that!(harness.start_all(), ge(1));
    expect_that!(harness.used("a"), eq(4_000));
}

/// Load: a tenant cancels a workflow that fills its cap and submits the next. Guards against stops in progress
/// that do not count, so that both workflows run at once.
#[gtest]
fn caps_count_stops_in_progress() {
    let mut harness = capped();
    harness.accept_of("a", 1, vec![step(1, 4_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    expect_that!(
        harness
            .scheduler
            .cancel_by(WorkflowId(1), Some("a"), harness.now()),
        eq(true)
    );
    harness.accept_of("a", 2, vec![step(4, 1_000)]);
    expect_that!(harness.start_all(), eq(0));
    harness.end(&starts[0], EndKind::Stopped);
    expect_that!(harness.start_all(), eq(4));
}

/// Load: a run that a report shows after its task was done elsewhere, and whose workflow is then
/// forgotten. Guards against runs left on a worker that nobody counts, and against some that count for ever.
#[gtest]
fn caps_count_runs_that_are_left_on_a_worker() {
    let mut harness = capped();
    harness.accept_of("a", 1, vec![step(1, 4_000)]);
    let starts = harness.starts();
    harness.end(&starts[0], EndKind::Done);
    expect_that!(harness.used("a"), eq(0));
    let number = (harness.number_of(&starts[0]) + 1) % 4;
    harness.advance(10);
    harness.report_running(number, 1, Run(1));
    expect_that!(harness.used("a"), eq(4_000));
    harness.save();
    harness.advance(130_000);
    harness.scheduler.forget_ended(harness.wall());
    harness.report_running(number, 1, Run(1));
    expect_that!(harness.used("a"), eq(4_000));
    harness.accept_of("a", 2, vec![step(1, 1_000)]);
    expect_that!(harness.start_all(), eq(0));
    harness.advance(10);
    (0..4).for_each(|number| harness.report_idle(number));
    expect_that!(harness.used("a"), eq(0));
    expect_that!(harness.start_all(), eq(1));
}

/// Failure: a worker with such a run is replaced by another process, or silent for longer than its lease. Guards
/// against runs that have ended with their process or lease and go on counting.
#[gtest]
fn runs_left_on_a_worker_count_until_they_have_certainly_ended() {
    for is_replaced in [true, false] {
        let mut harness = capped();
        harness.accept_of("a", 1, vec![step(1, 4_000)]);
        let starts = harness.starts();
        harness.end(&starts[0], EndKind::Done);
        let number = (harness.number_of(&starts[0]) + 1) % 4;
        harness.report_running(number, 1, Run(1));
        if is_replaced {
            harness.crash_worker(number, 100);
        } else {
            harness.silence(harness.workers[number]);
            harness.advance(LEASE_MS);
            harness.starts();
            expect_that!(harness.used("a"), eq(4_000));
            harness.advance(1);
            harness.starts();
        }
        expect_that!(harness.used("a"), eq(0), "replaced: {is_replaced}");
    }
}

/// Load: a gang larger than its tenant's cap, and one that fits. Guards against gangs of which some
/// members start, or that count after they were not placed.
#[gtest]
fn gangs_start_whole_within_the_cap_or_not_at_all() {
    let gang = |tasks, cpu_milli| Step {
        gang: true,
        ..step(tasks, cpu_milli)
    };
    let mut harness = capped();
    harness.accept_of("a", 1, vec![gang(5, 1_000)]);
    // The first members fit, the last ones do not.
    harness.accept_of("b", 2, vec![gang(1, 17_000)]);
    expect_that!(harness.start_all(), eq(0));
    expect_that!((harness.used("a"), harness.used("b")), eq((0, 0)));
    harness.accept_of("a", 3, vec![gang(4, 1_000)]);
    harness.accept_of("a", 4, vec![step(1, 1_000)]);
    expect_that!(harness.start_all(), eq(4));
}

/// Load: best-effort and long-running tasks of one tenant, some of which were interrupted. Guards against
/// paths beside the usual one that start tasks above the cap.
#[gtest]
fn caps_count_best_effort_and_long_running_tasks_in_full() {
    let mut harness = capped();
    harness.accept_of("a", 1, vec![best_effort(3, 1_000, "batch")]);
    harness.accept_of("a", 2, vec![long_running(3, 1_000, "service")]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    expect_that!(harness.used("a"), eq(4_000));
    // An interrupted task competes with the others for the cap, and is overdue after 5 s.
    for start in &starts {
        harness.end(start, EndKind::Broken);
    }
    for _ in 0..12 {
        harness.advance(1_000);
        (0..4).for_each(|number| harness.report_assigned(number));
        harness.start_all();
        expect_that!(harness.used("a"), le(4_000));
    }
    expect_that!(harness.used("a"), eq(4_000));
    let waiting = harness.waiting();
    let reasons: Vec<_> = waiting.steps.iter().map(|step| step.reason).collect();
    expect_that!(reasons, each(eq(&WaitReason::TenantCap)));
    expect_that!(reasons, not(is_empty()));
}

/// Load: a long-running task is interrupted, and its tenant's other work takes the cap. Guards against workers
/// that are held free for a task which may not start anyway, while the work of others waits.
#[gtest]
fn no_worker_is_held_for_a_task_above_the_cap() {
    let mut harness = capped();
    harness.accept_of("a", 1, vec![long_running(1, 4_000, "service")]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.end(&starts[0], EndKind::Broken);
    harness.configure_tenants(&[("a", 1, 3_999), ("b", 1, 0)]);
    harness.accept_of("b", 2, vec![step(4, 14_000)]);
    expect_that!(harness.start_all(), eq(4));
    harness.advance(6_000);
    (0..4).for_each(|number| harness.report_assigned(number));
    harness.accept_of("b", 3, vec![step(4, 2_000)]);
    expect_that!(harness.start_all(), eq(4));
}

/// Load: the cap is halved while it is in full use, and raised again. Guards against runs that are stopped for a
/// lower cap, starts above it, and starts that wait for more than the next plan.
#[gtest]
fn a_lowered_cap_stops_nothing_and_a_raised_one_counts_at_once() {
    let mut harness = capped();
    harness.accept_of("a", 1, vec![step(12, 1_000)]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.configure_tenants(&[("a", 1, 2_000)]);
    for start in &starts[..2] {
        expect_that!(harness.start_all(), eq(0));
        harness.end(start, EndKind::Done);
    }
    expect_that!(harness.start_all(), eq(0));
    expect_that!(harness.stops(), is_empty());
    harness.end(&starts[2], EndKind::Done);
    expect_that!(harness.start_all(), eq(1));
    harness.configure_tenants(&[("a", 1, 5_000)]);
    expect_that!(harness.start_all(), eq(3));
}

/// Load: a tenant is removed while its work runs. Guards against work that runs without a cap from then on, and
/// against tenants that are kept for ever.
#[gtest]
fn a_removed_tenant_keeps_its_cap_while_it_has_work() {
    let mut harness = capped();
    harness.accept_of("a", 1, vec![step(5, 1_000)]);
    let mut starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    harness.configure_tenants(&[("b", 1, 1_000)]);
    harness.end(&starts[0], EndKind::Done);
    starts.extend(harness.starts());
    expect_that!(starts.len(), eq(5));
    for start in &starts[1..] {
        harness.end(start, EndKind::Done);
    }
    harness.save();
    harness.advance(130_000);
    harness.scheduler.forget_ended(harness.wall());
    expect_that!(harness.scheduler.tenants(), eq(1));
    // This process does not know the cap of a tenant that was removed before it read the configuration.
    harness.accept_of("gone", 2, vec![step(4, 1_000)]);
    harness.accept_of("gone too", 3, vec![step(2, 3_000)]);
    (0..4).for_each(|number| harness.report_idle(number));
    expect_that!(harness.start_all(), eq(2));
}

/// Failure: the owner is lost while a tenant uses nearly all of its cap, and some workers have not reported to the
/// next. Guards against new work that starts beside the predecessor's, also of a step whose dependency
/// was not yet stored as done.
#[gtest]
fn a_successor_counts_what_may_be_running_until_all_workers_have_reported() {
    let mut harness = Harness::unreported(3, 16_000, 60_000);
    harness.configure_tenants(&[("a", 1, 6_000), ("b", 1, 6_000)]);
    let dependent = Step {
        depends_on: vec![0],
        ..step(5, 1_000)
    };
    harness.inherit_of("a", 1, vec![step(1, 1_000), dependent]);
    harness.accept_of("a", 2, vec![step(6, 1_000)]);
    harness.accept_of("b", 3, vec![step(6, 1_000)]);
    harness.report_idle(0);
    harness.report_idle(1);
    // The predecessor may have five tasks of `a` on the third worker, and none of `b`.
    expect_that!(harness.start_all(), eq(7));
    expect_that!((harness.used("a"), harness.used("b")), eq((1_000, 6_000)));
    harness.report_idle(2);
    harness.start_all();
    expect_that!(harness.used("a"), eq(6_000));
}

/// Failure: as before, and a report shows one of the runs. Guards against a run that counts twice, and
/// against runs that count after the leases of the predecessor have expired.
#[gtest]
fn a_successor_counts_each_run_once() {
    let mut harness = Harness::unreported(3, 16_000, 60_000);
    harness.configure_tenants(&[("a", 1, 6_000)]);
    harness.inherit_of("a", 1, vec![step(5, 1_000)]);
    harness.report_running(0, 1, Run(1));
    harness.accept_of("a", 2, vec![step(6, 1_000)]);
    expect_that!(harness.start_all(), eq(1));
    let unseen = |harness: &Harness| {
        harness
            .scheduler
            .tenant_usage("a")
            .map(|usage| usage.1.cpu_milli)
    };
    expect_that!(unseen(&harness), some(eq(4_000)));
    harness.advance(60_001);
    harness.start_all();
    expect_that!(unseen(&harness), some(eq(0)));
}

/// Failure: as before, and the run that a worker has shown ends. Guards against a task that counts as
/// running elsewhere although its end is known, so that it waits for the last worker.
#[gtest]
fn a_located_task_that_has_ended_does_not_count() {
    let mut harness = Harness::unreported(2, 16_000, 60_000);
    harness.configure_tenants(&[("a", 1, 1_000)]);
    harness.inherit_of("a", 1, vec![step(1, 1_000)]);
    for _ in 0..2 {
        harness.report_running(0, 1, Run(1));
        harness.advance(1_200);
    }
    harness.end_stopped(0, 1, Run(1));
    expect_that!(harness.start_all(), eq(1));
}

/// Failure: the owner is lost, and one of many workers with it, beside a long queue of its tenant. Guards against new
/// work that waits for the leases to expire although one worker cannot run much.
#[gtest]
fn a_successor_counts_no_more_than_the_missing_workers_can_run() {
    let mut harness = Harness::unreported(10, 8_000, 60_000);
    harness.configure_tenants(&[("a", 1, 40_000)]);
    harness.inherit_of("a", 1, vec![step(500, 1_000)]);
    harness.accept_of("a", 2, vec![step(60, 1_000)]);
    (0..9).for_each(|number| harness.report_idle(number));
    expect_that!(harness.start_all(), eq(40 - 16));
    harness.report_idle(9);
    expect_that!(harness.start_all(), eq(16));
}

/// Failure: as before, with more due occurrences of a schedule than get state at once. Guards against
/// those that are not counted.
#[gtest]
fn a_successor_counts_all_due_occurrences() {
    let mut harness = Harness::unreported(2, 16_000, 60_000);
    harness.configure_tenants(&[("a", 1, 8_000)]);
    harness.inherit_scheduled_of("a", 1, vec![step(1, 10)], 800);
    harness.accept_of("a", 2, vec![step(1, 10)]);
    harness.report_idle(0);
    expect_that!(harness.start_all(), eq(0));
}

/// Load: 2,400 workers in two shards, of which one owner is away. Guards against owners that use more than the
/// cap together.
#[gtest]
fn owners_of_several_shards_use_their_part_of_each_cap() {
    let started = [0, 1].map(|shard| {
        let mut harness = Harness::with_workers(2, 16_000);
        harness.scheduler.set_cap_share(shard, 2);
        harness.configure_tenants(&[("a", 1, 7)]);
        harness.accept_of("a", 1, vec![step(20, 1)]);
        harness.start_all()
    });
    expect_that!(started, eq([4, 3]));
    let mut harness = Harness::with_workers(2, 16_000);
    harness.scheduler.set_cap_share(1, 2);
    harness.configure_tenants(&[("a", 1, 1)]);
    harness.accept_of("a", 1, vec![step(1, 1)]);
    expect_that!(
        harness.start_all(),
        eq(0),
        "a share of nothing is not 'no limit'"
    );
}

/// Failure: the owner of one of two shards is lost while its tenant uses more than half the cap. Guards against a
/// successor that offers the others, before its first plan, what its predecessor's runs still use.
#[gtest]
fn the_demand_of_a_new_owner_includes_runs_that_are_not_reported() {
    let mut harness = Harness::unreported(2, 16_000, 60_000);
    harness.scheduler.set_cap_share(1, 2);
    harness.configure_tenants(&[("a", 1, 10_000)]);
    harness.inherit_of("a", 1, vec![step(6, 1_000)]);
    let (now, wall) = (harness.now(), harness.wall());
    let demands = harness.scheduler.tenant_demands(now, wall, |_| false);
    expect_that!(demands.len(), eq(1));
    expect_that!(demands[0].need.used.cpu_milli, eq(6_000));
}

/// Load: two tenants in one of two shards, of which one waits beyond its share and one for workers only. Guards against
/// a shortage that is not reported, or is where the cap is not the cause.
#[gtest]
fn a_want_is_what_the_share_holds_back() {
    let mut harness = Harness::with_workers(1, 4_000);
    harness.scheduler.set_cap_share(0, 2);
    harness.configure_tenants(&[("a", 1, 4_000), ("b", 1, 40_000), ("c", 1, 4_000)]);
    harness.accept_of("a", 1, vec![step(1, 3_000), step(1, 1_000)]);
    harness.accept_of("b", 2, vec![step(20, 1_000)]);
    harness.start_all();
    let (now, wall) = (harness.now(), harness.wall());
    let demands = harness.scheduler.tenant_demands(now, wall, |_| false);
    let wants = demands.iter().map(|demand| (&*demand.name, demand.want));
    let wants: Vec<_> = wants
        .map(|(name, want)| (name, want.map(|want| want.unit.cpu_milli)))
        .collect();
    expect_that!(
        wants,
        unordered_elements_are![eq(&("a", Some(3_000))), eq(&("b", None))]
    );
    let limit = Resources {
        cpu_milli: 4_000,
        ..harness.scheduler.tenant_limit("a").expect("tenant")
    };
    expect_that!(
        harness.scheduler.set_tenant_limit(&"a".into(), limit),
        eq(true)
    );
    let demands = harness.scheduler.tenant_demands(now, wall, |_| false);
    expect_that!(demands.iter().all(|demand| demand.want.is_none()), eq(true));
}

/// Guards against a tenant that sees, counts or cancels the workflows of another, also before the
/// submission was read and after only the outcome is left.
#[gtest]
fn workflows_of_other_tenants_do_not_exist() {
    let mut harness = capped();
    let (first, second) = (WorkflowId(1), WorkflowId(2));
    let now = harness.now();
    // A cancellation by another tenant neither takes effect nor replaces the right one.
    for id in [first, second] {
        harness.scheduler.cancel_by(id, Some("b"), now);
    }
    harness.scheduler.cancel_by(second, Some("a"), now);
    harness.scheduler.cancel_by(second, None, now);
    harness.accept_of("a", 1, vec![step(1, 1_000)]);
    harness.accept_of("a", 2, vec![step(1, 1_000)]);
    expect_that!(harness.state(1), some(eq(State::Queued)));
    expect_that!(harness.state(2), some(eq(State::Cancelled)));
    let count = |tenant| harness.scheduler.count_waiting_of("queue", tenant);
    expect_that!(
        [count(Some("a")), count(Some("b")), count(None)],
        eq([1, 0, 0])
    );
    expect_that!(harness.scheduler.count_waiting("queue"), eq(1));
    expect_that!(
        harness.scheduler.cancel_by(first, Some("b"), now),
        eq(false)
    );
    let starts = harness.starts();
    harness.end(&starts[0], EndKind::Done);
    let progress = harness.save();
    let mut successor = capped();
    successor.restore(progress);
    let taken = harness.scheduler.take_ended_submissions(10, now);
    expect_that!(taken.len(), eq(2));
    for scheduler in [&harness.scheduler, &successor.scheduler] {
        let belongs = |tenant| scheduler.belongs_to(first, tenant);
        expect_that!(
            [belongs(Some("a")), belongs(Some("b")), belongs(None)],
            eq([true, false, false])
        );
    }
    expect_that!(
        harness.scheduler.belongs_to(WorkflowId(3), Some("a")),
        eq(false)
    );
}
