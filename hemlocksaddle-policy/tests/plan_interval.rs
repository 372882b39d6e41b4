//! Pauses between plans.
//!
//! Load pattern: plans take longer than usual, on a slow processor or beside many waiting steps.

use googletest::prelude::*;
use hemlocksaddle_policy::plan_interval::PlanInterval;
use hemlocksaddle_types::clock::Millis;

fn pauses(took_ms: &[u64]) -> Vec<u64> {
    let mut interval = PlanInterval::default();
    let took = took_ms.iter().copied().map(Millis);
    took.map(|took| interval.pause_after(took).0).collect()
}

/// Guards against plans that leave no processor time to renewals of the claim.
#[gtest]
fn plans_that_take_long_get_half_of_the_time() {
    expect_that!(
        pauses(&[30, 40, 60]),
        elements_are![eq(&4), eq(&30), eq(&40)]
    );
}

/// Guards against a pause between short plans that grows, and one that outlasts the longest interval.
#[gtest]
fn pauses_stay_within_their_bounds() {
    expect_that!(pauses(&[0, 1, 3]), each(eq(&4)));
    expect_that!(pauses(&[2_000, 3_000]).last(), some(eq(&100)));
}

/// Guards against orders that wait because the process was suspended once during a plan.
#[gtest]
fn one_long_plan_does_not_lengthen_the_pause() {
    expect_that!(pauses(&[2, 500, 2, 2]), each(eq(&4)));
}
