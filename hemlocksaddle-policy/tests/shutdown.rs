//! Times of a graceful shutdown.

use googletest::prelude::*;
use hemlocksaddle_policy::shutdown::Shutdown;
use hemlocksaddle_types::clock::{Millis, MonoMs};

const NOW: MonoMs = MonoMs(10_000);

/// Load pattern: requests that arrive until a process ends. Guards against requests that are accepted
/// with too little time left for their answer.
#[gtest]
fn requests_are_refused_before_the_answers_are_due() {
    let shutdown = Shutdown::new(NOW, Millis(6_000));
    expect_that!(shutdown.refuses(NOW), eq(false));
    expect_that!(shutdown.refuses(MonoMs(14_499)), eq(false));
    expect_that!(shutdown.refuses(MonoMs(14_500)), eq(true));
    expect_that!(shutdown.time_to_answer(MonoMs(14_500)), eq(Millis(500)));
    expect_that!(shutdown.time_to_answer(MonoMs(15_100)), eq(Millis(0)));
    expect_that!(shutdown.is_over(MonoMs(15_299)), eq(false));
    expect_that!(shutdown.is_over(MonoMs(15_300)), eq(true));
}

/// Load pattern: nodes restarted in turn, whose callers keep connections that they do not use. Guards against
/// connections that are closed as soon as the load balancer has removed the node, and against nodes that are
/// away for the whole grace period.
#[gtest]
fn unused_connections_are_kept_for_half_of_the_grace_period() {
    let shutdown = Shutdown::new(NOW, Millis(6_000));
    expect_that!(shutdown.keeps_unused(MonoMs(12_999)), eq(true));
    expect_that!(shutdown.keeps_unused(MonoMs(13_000)), eq(false));
}

/// Guards against times before the beginning of the shutdown where the grace period is shorter than
/// the reserves.
#[gtest]
fn a_short_grace_period_leaves_no_time() {
    for grace_ms in [0, 500, 900, 1_400] {
        let shutdown = Shutdown::new(NOW, Millis(grace_ms));
        let in_order = NOW <= shutdown.leave_unused_from
            && shutdown.leave_unused_from <= shutdown.refuse_from
            && shutdown.refuse_from <= shutdown.answer_by
            && shutdown.answer_by <= shutdown.exit_by;
        expect_that!(in_order, eq(true), "{grace_ms} ms: {shutdown:?}");
        expect_that!(shutdown.exit_by, le(NOW + Millis(grace_ms)));
        expect_that!(shutdown.refuses(NOW), eq(true), "{grace_ms} ms");
    }
}
