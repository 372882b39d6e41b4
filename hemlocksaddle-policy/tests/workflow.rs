//! Decisions of the board: what starts, where, and when it may start again.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Phase, StartAnswer};
use hemlocksaddle_types::workflow::{Run, State, Step};
use workflow_support::{LEASE_MS, World, lasting, step};

/// Guards against a workflow that is not shown as completed, or too early.
#[gtest]
fn a_workflow_of_two_steps_runs_in_order_and_completes_once_saved() {
    let mut world = World::with_workers(2, 16_000);
    let second = Step {
        depends_on: vec![0],
        ..step(1, 1_000)
    };
    world.accept(1, vec![step(2, 1_000), second]);
    let starts = world.starts();
    expect_that!(starts.len(), eq(2));
    world.answer_all(&starts, StartAnswer::Accepted);
    world.end(&starts[0], EndKind::Done);
    expect_that!(world.starts(), is_empty());
    world.end(&starts[1], EndKind::Done);
    let last = world.starts();
    expect_that!(last.len(), eq(1));
    expect_that!(last[0].name.step, eq(1));
    world.answer_all(&last, StartAnswer::Accepted);
    world.end(&last[0], EndKind::Done);
    expect_that!(world.state(1), some(eq(State::Running)));
    world.save();
    expect_that!(world.state(1), some(eq(State::Completed)));
}

/// Guards against a second run of a task whose first start was not answered.
#[gtest]
fn a_start_without_an_answer_keeps_its_place() {
    let mut world = World::with_workers(2, 16_000);
    world.accept(1, vec![step(1, 1_000)]);
    let start = world.starts().remove(0);
    expect_that!(world.answer(&start, StartAnswer::Unknown), eq(true));
    world.pass(2_000);
    expect_that!(world.starts(), is_empty());
    // A refusal now does not prove that the first order was not carried out.
    expect_that!(world.answer(&start, StartAnswer::NoRoom), eq(false));
    expect_that!(world.starts(), is_empty());
    expect_that!(world.stops(), contains(eq(&(start.name, start.run))));
}

/// Guards against a task that counts as stuck, and is stopped, because a report lists it before
/// its start is answered.
#[gtest]
fn a_task_whose_report_is_faster_than_the_answer_goes_on() {
    let mut world = World::with_workers(1, 16_000);
    world.accept(1, vec![step(1, 1_000)]);
    world.pass(10_000);
    let start = world.starts().remove(0);
    world.pass(5);
    world.report_progress(0, 1, start.run, 0);
    expect_that!(world.stops(), is_empty());
    expect_that!(world.answer(&start, StartAnswer::Unknown), eq(false));
    expect_that!(world.stops(), is_empty());
}

/// Guards against a start that is sent again after the run was stopped.
#[gtest]
fn a_start_is_wanted_until_its_run_is_over() {
    let mut world = World::with_workers(2, 16_000);
    world.accept(1, vec![step(1, 1_000)]);
    let start = world.starts().remove(0);
    expect_that!(world.answer(&start, StartAnswer::Unknown), eq(true));
    expect_that!(world.board.start_is_wanted(&start), eq(true));
    world.cancel(1);
    expect_that!(world.board.start_is_wanted(&start), eq(false));
}

/// Guards against a task that waits for ever after a worker refused it for want of room.
#[gtest]
fn a_start_that_was_refused_for_want_of_room_goes_to_another_worker() {
    let mut world = World::with_workers(2, 16_000);
    world.accept(1, vec![step(1, 1_000)]);
    let first = world.starts().remove(0);
    world.answer(&first, StartAnswer::NoRoom);
    let second = world.starts().remove(0);
    expect_that!(second.worker, not(eq(first.worker)));
    expect_that!(second.run, gt(first.run));
}

/// Guards against a second run while the lease of a silent worker may still hold.
#[gtest]
fn a_silent_worker_keeps_its_tasks_until_its_lease_has_lapsed() {
    let mut world = World::with_workers(2, 16_000);
    world.accept(1, vec![step(1, 1_000)]);
    let start = world.starts().remove(0);
    world.answer(&start, StartAnswer::Accepted);
    world.board.worker_silent(start.worker, true);
    world.pass(LEASE_MS - 100);
    expect_that!(world.starts(), is_empty());
    world.pass(200);
    let again = world.starts();
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].worker, not(eq(start.worker)));
}

/// Guards against an owner that starts what its predecessor may have started.
#[gtest]
fn inherited_tasks_wait_until_every_worker_has_reported() {
    let mut world = World::unreported(2, 16_000, 10_000);
    world.accept_inherited(1, vec![step(1, 1_000)]);
    world.report_idle(0);
    expect_that!(world.starts(), is_empty());
    world.accept(2, vec![step(1, 1_000)]);
    expect_that!(world.starts().len(), eq(1), "a new workflow need not wait");
    world.report_idle(1);
    expect_that!(world.starts().len(), eq(1));
}

/// Guards against an owner that waits for a dead worker for ever.
#[gtest]
fn inherited_tasks_start_once_the_predecessors_leases_have_lapsed() {
    let mut world = World::unreported(2, 16_000, 10_000);
    world.accept_inherited(1, vec![step(1, 1_000)]);
    world.report_idle(0);
    world.pass(9_000);
    world.report_idle(0);
    expect_that!(world.starts(), is_empty());
    world.pass(1_100);
    world.report_idle(0);
    expect_that!(world.starts().len(), eq(1));
}

/// Guards against a restart of what the predecessor started and a worker reports.
#[gtest]
fn a_run_of_the_predecessor_is_adopted_from_the_report() {
    let mut world = World::unreported(1, 16_000, 10_000);
    world.accept_inherited(1, vec![step(1, 1_000)]);
    world.report_running(0, 1, Run(7));
    expect_that!(world.starts(), is_empty());
    expect_that!(world.phase(1, 0), matches_pattern!(Phase::Running { .. }));
    expect_that!(world.state(1), some(eq(State::Running)));
}

/// Guards against work that goes on after its workflow was cancelled.
#[gtest]
fn a_cancelled_workflow_is_stopped_also_where_a_worker_reports_it_late() {
    let mut world = World::with_workers(1, 16_000);
    world.accept(1, vec![step(2, 1_000)]);
    let starts = world.starts();
    world.answer(&starts[0], StartAnswer::Accepted);
    world.cancel(1);
    expect_that!(world.stops().len(), eq(2));
    expect_that!(world.state(1), some(eq(State::Cancelled)));
    world.end(&starts[0], EndKind::Stopped);
    world.report_running(0, 1, Run(starts[1].run.0 + 1));
    expect_that!(world.stops().len(), ge(1));
}

/// Guards against more attempts than allowed, and against counting one attempt twice.
#[gtest]
fn a_task_is_given_up_after_its_attempts_and_a_listed_end_counts_once() {
    let mut world = World::with_workers(2, 16_000);
    world.accept(1, vec![step(1, 1_000)]);
    let first = world.starts().remove(0);
    world.answer(&first, StartAnswer::Accepted);
    world.end(&first, EndKind::Failed);
    world.list_ends_again(&first, EndKind::Failed);
    expect_that!(world.state(1), some(eq(State::Running)));
    world.pass(100);
    let second = world.starts().remove(0);
    world.answer(&second, StartAnswer::Accepted);
    world.end(&second, EndKind::Failed);
    world.save();
    expect_that!(world.state(1), some(eq(State::Failed)));
}

/// Guards against ends that are lost between two owners: what was saved is not run again.
#[gtest]
fn restored_progress_runs_only_what_is_left() {
    let mut world = World::with_workers(1, 16_000);
    world.accept(1, vec![step(3, 1_000)]);
    let starts = world.starts();
    world.answer_all(&starts, StartAnswer::Accepted);
    world.end(&starts[1], EndKind::Done);
    let progress = world.save();
    let mut successor = World::unreported(1, 16_000, 0);
    successor.accept_inherited(1, vec![step(3, 1_000)]);
    successor.restore(progress);
    successor.report_idle(0);
    let again = successor.starts();
    let left: Vec<u32> = again.iter().map(|start| start.name.index).collect();
    expect_that!(left, elements_are![eq(&0), eq(&2)]);
}

/// Guards against a gang of which only some members start.
#[gtest]
fn a_gang_that_does_not_fit_as_a_whole_starts_no_member() {
    let mut world = World::with_workers(2, 2_000);
    let gang = Step {
        gang: true,
        ..step(3, 2_000)
    };
    world.accept(1, vec![gang]);
    expect_that!(world.starts(), is_empty());
    let mut world = World::with_workers(3, 2_000);
    let gang = Step {
        gang: true,
        ..step(3, 2_000)
    };
    world.accept(1, vec![gang]);
    let starts = world.starts();
    expect_that!(starts.len(), eq(3));
    expect_that!(
        starts.iter().all(|start| start.run == starts[0].run),
        eq(true)
    );
}

/// Guards against a worker whose tasks all fail taking the attempts of many workflows.
#[gtest]
fn a_worker_that_fails_what_it_starts_is_left_out() {
    let mut world = World::with_workers(2, 64_000);
    for id in 1..=2 {
        world.accept(id, vec![step(1, 1_000)]);
    }
    let starts = world.starts();
    let bad = starts[0].worker;
    world.answer_all(&starts, StartAnswer::Accepted);
    for start in starts.iter().filter(|start| start.worker == bad) {
        world.end(start, EndKind::Failed);
    }
    for id in 3..=4 {
        world.accept(id, vec![step(2, 1_000)]);
    }
    world.pass(100);
    let next = world.starts();
    world.answer_all(&next, StartAnswer::Accepted);
    for start in next.iter().filter(|start| start.worker == bad) {
        world.end(start, EndKind::Failed);
    }
    world.pass(100);
    world.accept(5, vec![step(8, 1_000)]);
    let after = world.starts();
    expect_that!(after.iter().any(|start| start.worker == bad), eq(false));
}

/// Load pattern: one of several best-effort images drives lasting tasks over their target.
#[gtest]
fn a_harmful_best_effort_image_is_halted_and_a_harmless_one_goes_on() {
    let mut world = World::with_workers(1, 32_000);
    world.accept(1, vec![lasting(4, 2_000, "serving")]);
    let serving = world.starts();
    world.answer_all(&serving, StartAnswer::Accepted);
    world.accept(2, vec![workflow_support::filler(1, 3_000, "harmful")]);
    world.accept(3, vec![workflow_support::filler(1, 3_000, "harmless")]);
    let fillers = world.starts();
    world.answer_all(&fillers, StartAnswer::Accepted);
    // The tails are long exactly while the harmful image works.
    for _ in 0..40 {
        let harmful_works = world.pace_of(2) > 0;
        let tail_ms = if harmful_works { 150 } else { 40 };
        world.report_tails(0, tail_ms);
        world.pass(700);
        let _ = world.starts();
    }
    expect_that!(world.pace_of(2), eq(0));
    expect_that!(world.pace_of(3), eq(100));
}

/// Load pattern: lasting tasks of several images arrive on empty workers.
#[gtest]
fn lasting_tasks_are_grouped_by_image() {
    let mut world = World::with_workers(4, 32_000);
    for (id, image) in [(1, "a"), (2, "b"), (3, "a"), (4, "b")] {
        world.accept(id, vec![lasting(2, 4_000, image)]);
    }
    let starts = world.starts();
    let workers = |id: u64| -> Vec<_> {
        let of = starts.iter().filter(|start| start.name.workflow.0 == id);
        of.map(|start| start.worker).collect()
    };
    expect_that!(workers(1), eq(&workers(3)));
    expect_that!(workers(2), eq(&workers(4)));
    expect_that!(workers(1)[0], not(eq(workers(2)[0])));
}

/// Load pattern: best-effort work beside lasting tasks that use half of what they reserve.
#[gtest]
fn best_effort_tasks_use_what_lasting_tasks_reserve_but_leave() {
    let mut world = World::with_workers(1, 16_000);
    world.accept(1, vec![lasting(4, 4_000, "serving")]);
    let serving = world.starts();
    world.answer_all(&serving, StartAnswer::Accepted);
    world.accept(2, vec![workflow_support::filler(2, 3_000, "harmless")]);
    expect_that!(world.starts().len(), eq(2));
}

/// Guards against short work that waits behind lasting work when processors are short: it is worth
/// several times as much for each processor, and only while it is in time.
#[gtest]
fn short_work_goes_before_lasting_work_that_waits() {
    let mut world = World::with_workers(1, 16_000);
    world.accept(1, vec![step(1, 16_000)]);
    let first = world.starts();
    world.answer_all(&first, StartAnswer::Accepted);
    world.accept(2, vec![lasting(2, 8_000, "a")]);
    world.accept(3, vec![step(1, 8_000)]);
    expect_that!(world.starts(), is_empty());
    world.end(&first[0], EndKind::Done);
    let next = world.starts();
    expect_that!(next[0].name.workflow.0, eq(3));
}

/// Guards against lasting work that arrives between two waves of short work, takes what these
/// share in turn, and keeps it for minutes.
#[gtest]
fn lasting_work_leaves_room_for_the_short_work_of_the_last_seconds() {
    let mut world = World::with_workers(4, 16_000);
    world.accept(1, vec![step(4, 8_000)]);
    let wave = world.starts();
    world.answer_all(&wave, StartAnswer::Accepted);
    world.pass(1_000);
    expect_that!(world.starts(), is_empty());
    wave.iter()
        .for_each(|start| world.end(start, EndKind::Done));
    world.pass(1_000);
    world.accept(2, vec![lasting(8, 8_000, "a")]);
    let lasting = world.starts();
    // Half of each of the four workers.
    expect_that!(lasting.len(), eq(4));
    world.answer_all(&lasting, StartAnswer::Accepted);
    world.accept(3, vec![step(4, 8_000)]);
    expect_that!(world.starts().len(), eq(4));
}

/// Guards against lasting work that waits although most of the processors are free.
#[gtest]
fn lasting_work_starts_while_half_of_the_processors_are_free() {
    let mut world = World::with_workers(4, 16_000);
    world.accept(1, vec![step(8, 8_000)]);
    let wave = world.starts();
    world.answer_all(&wave, StartAnswer::Accepted);
    world.pass(1_000);
    wave.iter()
        .for_each(|start| world.end(start, EndKind::Done));
    world.accept(2, vec![lasting(4, 8_000, "a")]);
    expect_that!(world.starts().len(), eq(4));
}

/// Guards against a gang of a later queue that is held to the room of the lasting step before it.
#[gtest]
fn a_gang_takes_free_room_after_a_lasting_step_that_waits() {
    let mut world = World::with_workers(1, 16_000);
    world.accept(1, vec![step(1, 8_000)]);
    let short = world.starts();
    world.answer_all(&short, StartAnswer::Accepted);
    world.pass(1_000);
    expect_that!(world.starts(), is_empty());
    world.end(&short[0], EndKind::Done);
    world.accept(2, vec![lasting(1, 12_000, "a")]);
    let gang = Step {
        gang: true,
        ..step(1, 10_000)
    };
    world.accept_in(3, "later", vec![gang]);
    let starts = world.starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(starts[0].name.workflow.0, eq(3));
}
