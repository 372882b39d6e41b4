//! Checks that the event catalogue in `docs/` lists exactly the events of the code.
//!
//! Guards against events that operators cannot look up.

use std::{fs, path::Path};

use googletest::prelude::*;
use hemlocksaddle_shard::event::Event;

#[gtest]
fn every_event_is_in_the_catalogue_and_no_other() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/shard-events.md");
    let text = fs::read_to_string(path).expect("page exists");
    let rows = text.lines().filter(|line| line.starts_with('|')).skip(2);
    let listed: Vec<(String, String)> = rows
        .map(|row| {
            let mut cells = row.trim_matches('|').split('|').map(str::trim);
            let mut next = || cells.next().unwrap_or_default().to_owned();
            (next(), next())
        })
        .collect();
    let expected = Event::ALL.iter();
    let expected: Vec<(String, String)> = expected
        .map(|event| (event.number().to_string(), event.text().to_owned()))
        .collect();
    expect_that!(listed, eq(&expected));
}
