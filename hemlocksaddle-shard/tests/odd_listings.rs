//! Listings of workers that another writer left, beside those of sound workers.
//!
//! Load pattern: ordinary work on a few workers, and one listing that can be decoded but has a name, text or
//! numbers far beyond those of any worker.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, step};

/// Longest time until a workflow of one-second tasks is completed.
const TIMEOUT_MS: Millis = Millis(20_000);

/// Keys for which the fake formats return an odd listing.
const ODD_KEYS: [&str; 4] = [
    "long name:",
    "many labels:",
    "large numbers:",
    "late start:",
];

fn expect_completed(deployment: &Deployment, at: usize, id: u64, what: &str) {
    let accepted = deployment.submit(at, id, vec![step(4)]);
    expect_that!(accepted, eq(Submitted::Accepted), "{what}");
    let ended = deployment.wait_for_end(at, id, TIMEOUT_MS);
    expect_that!(ended, some(eq(State::Completed)), "{what}: workflow {id}");
}

/// Guards against an odd listing that the owner cannot store in its roster, or cannot calculate with: it would
/// store no progress any more, or end.
#[gtest]
fn an_odd_listing_does_not_keep_the_owner_from_working() {
    for key in ODD_KEYS {
        let deployment = Deployment::new(1, 3, 4);
        deployment.wait_for_owner();
        // Two of them, since sums of numbers may overflow.
        deployment.store.put_listing(&format!("{key}1"));
        deployment.store.put_listing(&format!("{key}2"));
        deployment.sim.run_for(Millis(1_000));
        expect_completed(&deployment, 0, 1, key);
        deployment.kill(deployment.owner().expect("owner"));
        deployment.sim.run_for(Millis(4_000));
        let other = deployment.owner().expect("successor");
        expect_completed(&deployment, other, 2, key);
    }
}
