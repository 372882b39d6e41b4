//! Listings of workers that another writer left.
//!
//! Load pattern: one listing among those of sound workers that can be decoded, with a text or number that
//! no worker has.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::Listing;
use hemlocksaddle_types::clock::{Millis, WallMs};
use workflow_support::{Harness, step};

/// Change of a sound listing.
type Change = fn(&mut Listing);

/// Time of the check.
const NOW: WallMs = WallMs(1_800_000_000_000);

fn sound() -> Listing {
    let listed = Harness::with_workers(1, 16_000).roster();
    Listing {
        born_ms: NOW.0,
        ..listed[0].clone()
    }
}

/// Guards against a check that leaves out a sound worker, or takes an odd one.
#[gtest]
fn a_listing_is_checked_for_texts_and_numbers_that_no_worker_has() {
    expect_that!(sound().check(NOW), ok(()));
    // Its clock may be ahead.
    let ahead = Listing {
        born_ms: (NOW + Millis(3_600_000)).0,
        ..sound()
    };
    expect_that!(ahead.check(NOW), ok(()));
    let changes: [(&str, Change); 9] = [
        ("long name", |listing| listing.name = "n".repeat(201).into()),
        ("empty name", |listing| listing.name = "".into()),
        ("name with a line break", |listing| {
            listing.name = "a\nb".into()
        }),
        ("long pool", |listing| listing.pool = "p".repeat(201).into()),
        ("many labels", |listing| {
            listing.labels = vec!["l".into(); 65]
        }),
        ("long label", |listing| {
            listing.labels = vec!["l".repeat(201).into()]
        }),
        ("large capacity", |listing| {
            listing.capacity.cpu_milli = u64::MAX
        }),
        ("start far ahead", |listing| listing.born_ms = u64::MAX),
        ("port 0", |listing| listing.address.set_port(0)),
    ];
    for (what, change) in changes {
        let mut listing = sound();
        change(&mut listing);
        expect_that!(listing.check(NOW).is_err(), eq(true), "{what}");
    }
}

/// Guards against sums over workers that overflow with the largest capacity that a listing may have.
#[gtest]
fn the_largest_capacities_can_be_added_up() {
    let mut harness = Harness::with_workers(3, 1 << 40);
    harness.accept(1, vec![step(2, 1 << 39), step(1, 1 << 41)]);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(2));
    harness.advance(60_000);
    let waiting = harness.waiting();
    expect_that!(waiting.steps.len(), ge(1));
}
