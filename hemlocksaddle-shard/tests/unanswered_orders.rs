//! Workers that leave orders unanswered and carry them out late.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, step};

/// Time for which a worker holds the connection of an order that it carries out late.
const HELD_MS: Millis = Millis(20_000);

/// Most connections that may be left open by unanswered orders: the limit of a worker less idle ones of two nodes.
const MAX_HELD: usize = 64 - 2 * 8;

/// Load: tasks for two workers, of which one leaves all orders unanswered, answers reports, and carries orders out
/// after 20 s. Guards against repeated orders that open more connections than a worker takes, which it resets
/// together with those of reports; and against tasks that are lost because repeats are held back.
#[gtest]
fn repeated_orders_do_not_exceed_the_connections_of_a_worker() {
    for seed in 1..=5 {
        let deployment = Deployment::new(seed, 3, 2);
        deployment.wait_for_owner();
        deployment.fleet.unanswered.workers.set(1);
        deployment.fleet.unanswered.late.set(HELD_MS);
        for id in 1..=4 {
            deployment.submit(0, id, vec![step(4)]);
        }
        deployment.sim.run_for(Millis(25_000));
        deployment.fleet.unanswered.workers.set(0);
        for id in 1..=4 {
            let end = deployment.wait_for_end(0, id, Millis(60_000));
            expect_that!(end, some(eq(State::Completed)), "seed {seed}");
        }
        let most = deployment.fleet.unanswered.most_within(HELD_MS);
        expect_that!(most, le(MAX_HELD), "seed {seed}");
        let violations = deployment.fleet.violations.borrow().clone();
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}
