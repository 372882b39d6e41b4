//! Admission of the work of tenants.
//!
//! Load: one tenant sends 3.5 to 7.5 times its usual work (`hot_tenant`), beside others that send what they
//! always do.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::tenant_admission::{
    Backlog, Decision, Line, Rate, Request, decide, decide_long_running,
};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    resources::Resources,
    workflow::{Queue, Schedule, Step, Workflow, WorkflowId},
};
use workflow_support::{Harness, long_running, step};

const ACCEPT: Decision = Decision::Accept;

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        ..Resources::default()
    }
}

fn queue(priority: u32) -> Queue {
    Queue {
        name: "queue".into(),
        host: "host".into(),
        path_prefix: "/q/".into(),
        pool: "pool".into(),
        priority,
        max_attempts: 2,
        stretch: 1.5,
        target_completion_ms: Millis(250),
        timeout_ms: Millis(3_000),
        public: false,
    }
}

fn workflow(tenant: &str, steps: Vec<Step>) -> Workflow {
    Workflow {
        queue: "queue".into(),
        text: "text".into(),
        steps,
        schedule: None,
        received_ms: WallMs(0),
        tenant: Some(tenant.into()),
    }
}

/// Ten tasks of 5.1 cores for 0.8 s.
fn check_step() -> Step {
    Step {
        expected_run_ms: 800,
        ..step(10, 5_100)
    }
}

/// Request whose work is worth nothing 4,350 ms after its submission.
fn check() -> Request {
    Request::new(&workflow("a", vec![check_step()]), &queue(0))
}

fn line(requests: u32, rate: Rate) -> Line {
    let mut backlog = Backlog::default();
    (0..requests).for_each(|_| backlog.add(&check().work));
    Line { backlog, rate }
}

/// Guards against work that is accepted although it ends when it is worth nothing, work that is refused although
/// it ends in time, and a time to retry that does not follow the queue.
#[gtest]
fn work_is_refused_if_it_would_be_worth_nothing() {
    let rate = Rate::under_cap(&cores(100), &Resources::default());
    // Each takes 408 ms of the cap, and 800 ms by itself.
    for (before, spread, expected) in [
        (0, 0.0, ACCEPT),
        (8, 0.0, ACCEPT),
        (9, 0.0, Decision::Refuse { retry_after_s: 1 }),
        (30, 0.0, Decision::Refuse { retry_after_s: 9 }),
        (30, 1.0, Decision::Refuse { retry_after_s: 18 }),
        (1_000, 0.5, Decision::Refuse { retry_after_s: 60 }),
    ] {
        let decision = decide(&[line(before, rate)], &check(), spread);
        expect_that!(decision, eq(expected), "{before}, {spread}");
    }
    // Without a cap, nothing is known of the rate.
    expect_that!(
        decide(&[line(1_000, Rate::default())], &check(), 0.0),
        eq(ACCEPT)
    );
    let undeclared = Request::default();
    expect_that!(decide(&[line(1_000, rate)], &undeclared, 0.0), eq(ACCEPT));
    // A share counts as well, and long-running tasks take part of either.
    let share = Rate::of_share(&cores(1_000), 1, 40, &Resources::default());
    expect_that!(share.cpu_milli, some(eq(25_000)));
    expect_that!(
        decide(&[line(8, rate), line(8, share)], &check(), 0.0),
        not(eq(ACCEPT))
    );
    let beside = Rate::under_cap(&cores(100), &cores(100));
    expect_that!(decide(&[line(0, beside)], &check(), 0.0), eq(ACCEPT));
    expect_that!(decide(&[line(1, beside)], &check(), 0.0), not(eq(ACCEPT)));
}

/// Guards against a hot tenant whose accepted work ends too late, or that is refused what it could run.
#[gtest]
fn a_hot_tenant_keeps_its_rate_and_its_accepted_work_ends_in_time() {
    let rate = Rate::under_cap(&cores(100), &Resources::default());
    for hot_percent in [350, 750] {
        // Arrivals of work for `hot_percent` of the cap, in steps of 10 ms.
        let (mut backlog, mut arrived, mut accepted) = (Backlog::default(), 0_u64, 0_u64);
        let work = check().work.cpu_milli_ms;
        for now_ms in (0..60_000_u64).step_by(10) {
            backlog.cpu_milli_ms = backlog.cpu_milli_ms.saturating_sub(100_000 * 10);
            while arrived * work < now_ms * 100_000 * hot_percent / 100 {
                arrived += 1;
                if decide(&[Line { backlog, rate }], &check(), 0.0) == ACCEPT {
                    accepted += 1;
                    backlog.add(&check().work);
                    let end_ms = backlog.time_at(&rate).0 + 800;
                    assert_that!(end_ms, le(4_350 + 408));
                }
            }
        }
        let capacity = 60_000 * 100_000 / work;
        expect_that!(accepted, ge(capacity), "{hot_percent} percent");
        expect_that!(arrived, gt(3 * accepted));
    }
}

/// Guards against long-running or scheduled work that is refused because it cannot end soon, and against a tenant
/// that queues it without bound.
#[gtest]
fn work_that_is_useful_at_any_time_is_bounded_by_its_demand_only() {
    let rate = Rate::under_cap(&cores(1), &Resources::default());
    let lasting = Request::new(
        &workflow("a", vec![long_running(14, 1_000, "i")]),
        &queue(0),
    );
    let schedule = Schedule {
        occurrences: 3,
        first_ms: WallMs(0),
        interval_ms: Millis(1_000),
    };
    let scheduled = Workflow {
        schedule: Some(schedule),
        ..workflow("a", vec![check_step()])
    };
    let scheduled = Request::new(&scheduled, &queue(0));
    for request in [lasting, scheduled] {
        expect_that!(decide(&[line(1_000, rate)], &request, 0.0), eq(ACCEPT));
    }
    for (cap, accepted, is_accepted) in [
        (14, 0, true),
        (14, 126, true),
        (14, 127, false),
        (0, 1_000, true),
    ] {
        let decision = decide_long_running(&cores(cap), &cores(accepted), &lasting);
        expect_that!(decision == ACCEPT, eq(is_accepted), "{cap}, {accepted}");
    }
}

/// Guards against urgent work that is refused because of work that it comes before, a tenant that is refused
/// because of another's work, and work that is still counted when it is done.
#[gtest]
fn only_a_tenants_own_work_that_comes_first_counts() {
    let mut harness = Harness::with_workers(1, 16_000);
    let now = harness.now();
    let minute = Step {
        expected_run_ms: 60_000,
        ..step(4, 2_000)
    };
    for id in 1..=5 {
        let later = Workflow {
            queue: "later".into(),
            ..workflow("a", vec![minute.clone()])
        };
        harness.scheduler.accept(WorkflowId(id), later, now, false);
    }
    let decide = |harness: &Harness, tenant: &str, priority: u32| {
        let loads = harness.scheduler.tenant_loads(|_| 1);
        loads.decide(tenant, &cores(16), 1, &queue(priority), &check(), 0.0)
    };
    expect_that!(decide(&harness, "a", 0), eq(ACCEPT));
    expect_that!(
        decide(&harness, "a", 1),
        eq(Decision::Refuse { retry_after_s: 60 })
    );
    expect_that!(decide(&harness, "b", 1), eq(ACCEPT));
    // Full of the work of a; b has its share of the pool, which a's work does not wait for.
    expect_that!(harness.starts().len(), eq(8));
    expect_that!(decide(&harness, "b", 1), eq(ACCEPT));
    for id in 1..=5 {
        harness.scheduler.cancel_by(WorkflowId(id), Some("a"), now);
    }
    expect_that!(decide(&harness, "a", 1), eq(ACCEPT));
}
