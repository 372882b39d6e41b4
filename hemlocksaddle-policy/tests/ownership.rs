//! Tenants of workflows in the scheduler.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use std::sync::Arc;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Owned, StartAnswer};
use hemlocksaddle_types::{
    clock::WallMs,
    workflow::{State, Workflow, WorkflowId},
};
use workflow_support::{Harness, step};

fn accept(harness: &mut Harness, id: u64, tenant: Option<&str>) {
    let now = harness.now();
    let workflow = Workflow {
        queue: "queue".into(),
        text: "text".into(),
        steps: vec![step(1, 1_000)],
        schedule: None,
        received_ms: WallMs(0),
        tenant: tenant.map(Arc::from),
    };
    harness
        .scheduler
        .accept(WorkflowId(id), workflow, now, false);
}

fn cancel(harness: &mut Harness, id: u64, tenant: Option<&str>) {
    let now = harness.now();
    harness.scheduler.cancel_by(WorkflowId(id), tenant, now);
}

/// Guards against a cancellation by another tenant, or by a caller without one, that stops a tenant's work,
/// whether it is read before or after the submission.
#[gtest]
fn only_the_own_tenant_cancels_a_workflow() {
    for is_early in [false, true] {
        for canceller in [None, Some("b"), Some("a")] {
            let mut harness = Harness::with_workers(1, 16_000);
            if is_early {
                cancel(&mut harness, 1, canceller);
            }
            accept(&mut harness, 1, Some("a"));
            if !is_early {
                cancel(&mut harness, 1, canceller);
            }
            let is_own = canceller == Some("a");
            let expected = usize::from(!is_own);
            expect_that!(
                harness.starts().len(),
                eq(expected),
                "{is_early} {canceller:?}"
            );
            expect_that!(harness.state(1) == Some(State::Cancelled), eq(is_own));
        }
    }
}

/// Guards against an outcome that is shown to other tenants once only it is kept, also by a successor that has
/// read nothing else or meets another tenant's submission under its id, and against a count that includes the
/// work of other tenants.
#[gtest]
fn the_tenant_of_a_workflow_is_known_until_it_is_forgotten() {
    let mut harness = Harness::with_workers(1, 16_000);
    accept(&mut harness, 1, Some("a"));
    accept(&mut harness, 2, None);
    accept(&mut harness, 3, Some("b"));
    let scheduler = &harness.scheduler;
    let counts =
        [None, Some("a"), Some("c")].map(|tenant| scheduler.count_waiting_of("queue", tenant));
    expect_that!(counts, eq([1, 1, 0]));
    expect_that!(scheduler.count_waiting("queue"), eq(3));
    for start in harness.starts() {
        harness.answer(&start, StartAnswer::Accepted);
        harness.end(&start, EndKind::Done);
    }
    let unsaved = harness.scheduler.take_unsaved();
    let progress = unsaved.progress.clone();
    harness.scheduler.mark_saved(unsaved);
    let now = harness.now();
    expect_that!(
        harness.scheduler.take_ended_submissions(10, now).len(),
        eq(3)
    );
    let mut successor = Harness::with_workers(1, 16_000);
    successor.restore(progress.clone());
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    // Another tenant's submission under the id was stored without an owner.
    let mut met = Harness::with_workers(1, 16_000);
    accept(&mut met, 1, Some("b"));
    met.restore(progress.clone());
    expect_that!(met.scheduler.tenant_of(WorkflowId(1)), eq(Owned::By(&a)));
    expect_that!(met.state(1), some(eq(State::Completed)));
    expect_that!(met.starts(), is_empty());
    let now = met.now();
    let taken = met.scheduler.take_ended_submissions(10, now);
    expect_that!(taken, elements_are![eq(&WorkflowId(1))]);
    for scheduler in [&harness.scheduler, &successor.scheduler] {
        expect_that!(scheduler.tenant_of(WorkflowId(1)), eq(Owned::By(&a)));
        expect_that!(scheduler.tenant_of(WorkflowId(2)), eq(Owned::ByNone));
        expect_that!(scheduler.tenant_of(WorkflowId(3)), eq(Owned::By(&b)));
        expect_that!(scheduler.tenant_of(WorkflowId(4)), eq(Owned::Unknown));
    }
}
