//! Ends that are not acknowledged because their task was started again, and when they are acknowledged after all.
//!
//! Load pattern: a worker is cut off for longer than its lease while its only run completes, so that no run on it
//! lapses.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{End, EndKind, Phase, Report, Start, StartAnswer};
use hemlocksaddle_types::workflow::{Run, State};
use workflow_support::{Harness, LEASE_MS, step};

/// Returns the first run of a task, on a worker that is silent past its lease, and the second.
fn restarted(harness: &mut Harness) -> (Start, Start) {
    harness.accept(1, vec![step(1, 1_000)]);
    let first = harness.starts().remove(0);
    harness.answer(&first, StartAnswer::Accepted);
    harness.silence(first.worker);
    harness.advance(LEASE_MS + 100);
    let second = harness.starts().remove(0);
    harness.answer(&second, StartAnswer::Accepted);
    harness.report_running(harness.number_of(&second), 1, second.run);
    (first, second)
}

/// Reports that the run of a start is done, in the answer to a request that did not renew the lease.
fn done_without_renewal(harness: &mut Harness, start: &Start) {
    let end = End {
        number: 1,
        task: Some(start.name),
        run: start.run,
        kind: EndKind::Done,
        checkpoint: None,
    };
    let report = Report {
        sent_at: harness.now(),
        running: Vec::new(),
        ends: vec![end],
    };
    let (now, wall) = (harness.now(), harness.wall());
    harness
        .scheduler
        .apply_report(start.worker, &report, now, wall);
}

fn acknowledged_ends(harness: &Harness, start: &Start) -> u64 {
    let worker = harness.scheduler.worker(start.worker);
    worker.expect("worker").saved_ends
}

/// Guards against a worker that is held back for good after its lease expired without a run that lapsed.
#[gtest]
fn an_end_from_before_an_expired_lease_is_acknowledged() {
    let mut harness = Harness::with_workers(2, 16_000);
    let (first, second) = restarted(&mut harness);
    done_without_renewal(&mut harness, &first);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(1));
    // The result of the later run counts.
    expect_that!(harness.state(1), some(eq(State::Running)));
    expect_that!(
        harness.phase(1, 0),
        pat!(Phase::Running {
            worker: eq(second.worker),
            ..
        })
    );
}

/// Guards against a successor that holds a worker back for good whose predecessor's leases have all expired.
#[gtest]
fn an_end_from_before_the_expired_leases_of_a_predecessor_is_acknowledged() {
    let mut harness = Harness::unreported(2, 16_000, 10_000);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    harness.report_idle(0);
    harness.advance(10_100);
    harness.report_idle(0);
    let second = harness.starts().remove(0);
    harness.answer(&second, StartAnswer::Accepted);
    let first = Start {
        worker: harness.workers[1],
        run: Run(1),
        ..second
    };
    let leased_until = harness.now() + hemlocksaddle_types::clock::Millis(LEASE_MS);
    harness
        .scheduler
        .assume_earlier_lease(first.worker, leased_until);
    done_without_renewal(&mut harness, &first);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(1));
    expect_that!(harness.state(1), some(eq(State::Running)));
}

/// Guards against a worker that is held back for good because its lease is renewed while nothing runs on it.
#[gtest]
fn an_idle_worker_that_lists_a_withheld_end_loses_its_lease() {
    let mut harness = Harness::with_workers(2, 16_000);
    let (first, second) = restarted(&mut harness);
    harness.end(&first, EndKind::Done);
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(0));
    let may_renew = |harness: &Harness, start: &Start| {
        let worker = harness.scheduler.worker(start.worker);
        worker.expect("worker").may_renew_lease()
    };
    expect_that!(may_renew(&harness, &first), eq(false));
    expect_that!(may_renew(&harness, &second), eq(true));
    harness.advance(LEASE_MS + 100);
    harness.report_running(harness.number_of(&second), 1, second.run);
    harness.stops();
    harness.save();
    expect_that!(acknowledged_ends(&harness, &first), eq(1));
    expect_that!(may_renew(&harness, &first), eq(true));
}
