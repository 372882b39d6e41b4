//! Consistency of the settings reference and its example with the program.
//!
//! Guards against a default that changes without an update of the reference, and
//! against an example that the program rejects.

use std::{fs, path::Path};

use googletest::prelude::*;

use hemlocksaddle_daemon::settings::File;

fn read_page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(name);
    fs::read_to_string(path).expect("page exists")
}

/// Returns the key and default of each table row in the section under a heading.
fn defaults(heading: &str) -> Vec<(String, String)> {
    let text = read_page("settings.md");
    let (_, below) = text.split_once(heading).expect("heading exists");
    let section = below.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        (cells[1].trim_matches('`').to_string(), cells[2].to_string())
    })
    .collect()
}

#[googletest::test]
fn example_is_valid_and_defaults_match_the_reference() {
    let example = read_page("examples/node.ini");
    let minimal = File::parse("node.ini", &example).expect("example is valid");
    for (section, heading, keys) in [("limits", "## Limits", 10), ("timing", "## Timing", 15)] {
        let rows = defaults(heading);
        expect_that!(rows.len(), eq(keys), "keys of [{section}]");
        let lines = rows.iter().map(|(key, value)| format!("{key} = {value}\n"));
        let text = format!("{example}[{section}]\n{}", lines.collect::<String>());
        let explicit = File::parse("node.ini", &text).expect("all keys of the page exist");
        expect_that!(explicit.node, eq(&minimal.node), "defaults of [{section}]");
    }
}
