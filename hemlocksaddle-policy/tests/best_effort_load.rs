//! Best-effort work beside long-running tasks: what is learned of their interference, and at whose cost.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{InterferenceSnapshot, StartAnswer};
use workflow_support::{Harness, best_effort, long_running};

/// Weight of `loud` beside `frail` in the estimates of an owner.
fn weight_of_loud(harness: &Harness) -> f64 {
    let snapshot = serde_json::to_value(harness.scheduler.interference_snapshot());
    let snapshot = snapshot.expect("encoded");
    snapshot["lasting"][0]["weights"][1]
        .as_f64()
        .expect("weight")
}

/// Load: hundreds of workers, whose reports observe a long-running image about a thousand times a second, while placement
/// keeps an image that interferes with it away. Guards against weights that are forgotten for want of the image, so that
/// each of its next runs drives long-running tasks over their target.
#[gtest]
fn a_weight_is_not_forgotten_while_its_image_is_kept_away() {
    let mut harness = Harness::with_workers(1, 16_000);
    let learned: InterferenceSnapshot = serde_json::from_value(serde_json::json!({
        "images": ["frail", "loud", "quiet"],
        "lasting": [
            { "image": 0, "weights": [0.0, 6.0, 0.0], "strengths": [0.0, 1.0, 1.0], "base": 0.2 },
        ],
    }))
    .expect("valid");
    harness.scheduler.restore_interference(learned);
    harness.accept(1, vec![long_running(1, 8_000, "frail")]);
    harness.accept(2, vec![best_effort(1, 1_000, "quiet")]);
    let starts = harness.starts();
    harness.answer_all(&starts, StartAnswer::Accepted);
    for _ in 0..10_000 {
        harness.advance(700);
        harness.report_tails(0, 40);
    }
    expect_that!(weight_of_loud(&harness), near(6.0, 0.5));
}
