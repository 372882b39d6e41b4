//! How a node gets a submission stored: one line for each pattern.

use googletest::prelude::*;
use hemlocksaddle_policy::intake::{SETTLE_MS, Situation, Step};
use hemlocksaddle_types::clock::Millis;

const CALM: Situation = Situation {
    waited: Millis(0),
    has_owner: true,
    asked_ago: None,
    store_delay: Millis(4),
    store_failing_for: Millis(0),
    turned_away_for: None,
    unsure: false,
};

/// Guards against nodes that fill a slow store's partition, and against callers who wait for nothing.
#[gtest]
fn each_pattern_has_its_step() {
    let lost = Situation {
        has_owner: false,
        waited: Millis(300),
        ..CALM
    };
    let slow = Situation {
        store_delay: Millis(340),
        ..lost
    };
    let away = Situation {
        turned_away_for: Some(Millis(150)),
        ..lost
    };
    let failing = Situation {
        store_failing_for: Millis(400),
        ..CALM
    };
    let cases = [
        ("calm", CALM, Step::AskOwner),
        ("owner killed, store quick", lost, Step::Append),
        ("owner killed beside a slow store", slow, Step::Wait),
        (
            "successor found beside a slow store",
            Situation {
                has_owner: true,
                ..slow
            },
            Step::AskOwner,
        ),
        (
            "owner still reads its state",
            Situation {
                asked_ago: Some(Millis(50)),
                ..CALM
            },
            Step::Append,
        ),
        (
            "owner still reads its state from a slow store",
            Situation {
                asked_ago: Some(Millis(50)),
                has_owner: true,
                ..slow
            },
            Step::Wait,
        ),
        ("store away", away, Step::GiveUp),
        (
            "store away, may be stored",
            Situation {
                unsure: true,
                ..away
            },
            Step::Append,
        ),
        ("store away, owner not asked yet", failing, Step::AskOwner),
        (
            "store away, and the owner does not reach it either",
            Situation {
                asked_ago: Some(Millis(0)),
                ..failing
            },
            Step::GiveUp,
        ),
        (
            "store away, an append was not answered",
            Situation {
                asked_ago: Some(Millis(0)),
                unsure: true,
                ..failing
            },
            Step::Append,
        ),
        (
            "no owner in time",
            Situation {
                waited: SETTLE_MS,
                ..slow
            },
            Step::GiveUp,
        ),
    ];
    for (pattern, situation, expected) in cases {
        expect_that!(situation.next_step(), eq(expected), "{pattern}");
    }
}
