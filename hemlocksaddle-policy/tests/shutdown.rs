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

/// Guards against times before the beginning of the shutdown where the grace period is shorter than
/// the reserves.
#[gtest]
fn a_short_grace_period_leaves_no_time() {
    for grace_ms in [0, 500, 900, 1_400] {
        let shutdown = Shutdown::new(NOW, Millis(grace_ms));
        let in_order = NOW <= shutdown.refuse_from
            && shutdown.refuse_from <= shutdown.answer_by
            && shutdown.answer_by <= shutdown.exit_by;
        expect_that!(in_order, eq(true), "{grace_ms} ms: {shutdown:?}");
        expect_that!(shutdown.exit_by, le(NOW + Millis(grace_ms)));
        expect_that!(shutdown.refuses(NOW), eq(true), "{grace_ms} ms");
    }
}

/// Load pattern: callers that keep connections, or open one to a node that is stopping. Guards against a new
/// connection that is closed before its first request arrives, and against an unused one that delays the
/// restart until the end of the grace period.
#[gtest]
fn connections_are_closed_after_half_the_grace_period_without_a_request() {
    let shutdown = Shutdown::new(NOW, Millis(6_000));
    let left = |last_used_ms| shutdown.time_to_idle_limit(MonoMs(12_300), MonoMs(last_used_ms));
    expect_that!(left(12_300), eq(Millis(3_000)));
    expect_that!(left(9_900), eq(Millis(600)));
    expect_that!(left(9_300), eq(Millis(0)));
    expect_that!(left(0), eq(Millis(0)));
}
