//! The catalogues in `docs/` match the code.
//!
//! Guards against events, result codes, invariants and metrics that are not
//! documented, and against entries for items that no longer exist.

use std::{collections::BTreeSet, fs, path::Path};

use googletest::prelude::*;

use hemlocksaddle_node::{
    event::Event,
    invariant::{Invariant, Invariants, OnViolation},
    metrics::Metrics,
};
use hemlocksaddle_types::outcome::ResultCode;

/// Returns the cells of each table row in a page of `docs/`, without the heading rows.
fn rows(page: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(page);
    let text = fs::read_to_string(path).expect("page exists");
    let rows = text.lines().filter(|line| line.starts_with('|'));
    rows.skip(2)
        .map(|line| {
            let cells = line.trim_matches('|').split('|');
            cells.map(|cell| cell.trim().to_string()).collect()
        })
        .collect()
}

#[gtest]
fn every_event_is_in_the_catalogue_and_no_other() {
    let expected = Event::ALL.iter().map(|event| {
        let level = event.level().to_string().to_lowercase();
        vec![event.number().to_string(), level, event.text().to_string()]
    });
    let listed = rows("events.md").into_iter().map(|row| row[..3].to_vec());
    expect_that!(
        listed.collect::<Vec<_>>(),
        eq(&expected.collect::<Vec<_>>())
    );
}

#[gtest]
fn every_result_code_is_in_the_catalogue_and_no_other() {
    let expected = ResultCode::ALL.iter().map(|code| {
        let status = match code {
            ResultCode::TargetError => String::from("as the target"),
            _ => code.http_status().to_string(),
        };
        let state = code.run_state().as_str().to_string();
        vec![
            code.number().to_string(),
            code.text().to_string(),
            state,
            status,
        ]
    });
    let listed = rows("result-codes.md")
        .into_iter()
        .map(|row| row[..4].to_vec());
    expect_that!(
        listed.collect::<Vec<_>>(),
        eq(&expected.collect::<Vec<_>>())
    );
}

#[gtest]
fn every_invariant_has_an_entry() {
    let listed: BTreeSet<String> = rows("invariants.md")
        .into_iter()
        .map(|row| row[1].trim_matches('`').to_string())
        .collect();
    let expected: BTreeSet<String> = Invariant::ALL
        .iter()
        .map(|i| i.name().to_string())
        .collect();
    expect_that!(listed, eq(&expected));
}

#[gtest]
fn metrics_render_checks_and_violations_of_each_invariant() {
    let metrics = Metrics::new();
    let invariants = Invariants::new(OnViolation::Record);
    let held = invariants.check(Invariant::AtMostOnce, false, || {
        String::from("broken on purpose")
    });
    expect_false!(held);
    let text = metrics.render(&invariants);
    for invariant in Invariant::ALL {
        let violations = u32::from(invariant == Invariant::AtMostOnce);
        let line = format!(
            "hemlocksaddle_invariant_violations{{invariant=\"{}\"}} {violations}",
            invariant.name()
        );
        expect_that!(text, contains_substring(line));
    }
}

#[gtest]
fn every_metric_is_listed_and_no_other() {
    let metrics = Metrics::new();
    metrics.results.with_label_values(&["3001"]).inc();
    metrics.appends.with_label_values(&["ok"]).inc();
    metrics.tasks.with_label_values(&["ended"]).inc();
    metrics.owned_units.with_label_values(&["rack"]).set(1);
    let text = metrics.render(&Invariants::new(OnViolation::Record));
    let rendered: BTreeSet<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|rest| rest.split(' ').next())
        .map(String::from)
        .collect();
    let listed: BTreeSet<String> = rows("metrics.md")
        .into_iter()
        .map(|row| row[0].trim_matches('`').to_string())
        .collect();
    expect_that!(listed, eq(&rendered));
}
