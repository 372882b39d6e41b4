//! Catching up with a stream that grows while it is read.

use googletest::prelude::*;
use hemlocksaddle_policy::catch_up::{CatchUp, Next};

/// Load pattern: each read takes long enough for more records to arrive. Guards against a reader that follows the
/// end for ever.
#[gtest]
fn the_end_is_that_of_the_first_read() {
    let mut catch_up = CatchUp::new(490);
    let first = catch_up.after_read(1_000, 1_300, 1_500);
    expect_that!(first, eq(Next::Follow));
    let second = catch_up.after_read(1_300, 1_600, 1_900);
    expect_that!(second, eq(Next::Complete));
}

/// Load pattern: 490 workers wrote for 20 s while the state was read over a narrow link. Guards against a reader
/// that follows every record although the newest of each key are fewer.
#[gtest]
fn many_records_of_few_keys_are_not_followed() {
    let cases = [
        ("nothing to read", 0, 490, Next::Complete),
        ("fewer than two a key", 980, 490, Next::Follow),
        ("more than two a key", 981, 490, Next::ReadNewest),
        ("all keys unknown", 1, 0, Next::ReadNewest),
    ];
    for (case, left, keys, next) in cases {
        let mut catch_up = CatchUp::new(keys);
        expect_that!(catch_up.after_read(10, 20, 20 + left), eq(next), "{case}");
    }
}

/// Guards against a reader that repeats a read for ever which brings nothing although the stream goes on.
#[gtest]
fn a_read_that_brings_nothing_is_not_repeated() {
    let mut catch_up = CatchUp::new(490);
    expect_that!(catch_up.after_read(10, 10, 12), eq(Next::ReadNewest));
}
