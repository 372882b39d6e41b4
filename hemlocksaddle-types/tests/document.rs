//! Parsing of service documents: accepted texts, rejected texts and error messages.

use std::sync::Arc;

use googletest::prelude::*;
use hemlocksaddle_types::{
    document::{Document, MAX_EXECUTORS, MAX_TEXT_BYTES},
    error::Error,
};
use proptest::prelude::*;

const VALID: &str = "\
[service]
name = orders
team = makers
data_centres_out =
[objective]
latency_ms = 250
success_percent = 99.9
window_hours = 720
[targets]
slots = 8
connections = 60
max_deadline_ms = 10000
executor.1 = khomas-a 127.0.0.1:7101
[quota]
cpu_milli = 400000
memory_mb = 1500000
accelerators = 0
";

fn parse(text: &str) -> std::result::Result<Document, Error> {
    Document::try_from(Arc::from(text))
}

fn changed(from: &str, to: &str) -> String {
    assert_that!(VALID, contains_substring(from));
    VALID.replacen(from, to, 1)
}

/// Guards against a documented key whose value is rejected or stored in the wrong field.
#[googletest::test]
fn the_documented_example_is_valid() {
    let document = parse(VALID).expect("the example is valid");
    expect_that!(document.service.as_str(), eq("orders"));
    expect_that!(document.team.as_str(), eq("makers"));
    expect_that!(document.data_centres_out.len(), eq(0));
    expect_that!(document.objective.success_milli_percent, eq(99_900));
    expect_that!(document.slots, eq(8));
    expect_that!(document.max_deadline_ms.0, eq(10_000));
    expect_that!(document.executors[0].name.as_str(), eq("1"));
    expect_that!(document.executors[0].address.port(), eq(7_101));
    expect_that!(document.quota.memory_mb, eq(1_500_000));
    expect_that!(&*document.text, eq(VALID));
}

/// Guards against an invalid document that is accepted, or rejected with a message that does not
/// state where the mistake is and what is allowed.
#[googletest::test]
fn mistakes_are_rejected_with_section_key_value_and_allowed_values() {
    let cases: &[(&str, &str, &[&str])] = &[
        (
            "name = orders",
            "name = two words",
            &["[service]", "name", "\"two words\"", "a-z"],
        ),
        ("team = makers\n", "", &["[service]", "team", "missing"]),
        ("[quota]", "[quotas]", &["[quota]", "missing"]),
        (
            "[quota]",
            "[extra]\n[quota]",
            &["[extra]", "unknown", "objective, targets"],
        ),
        (
            "[quota]",
            "[service]\n[quota]",
            &["[service]", "repeated", "once"],
        ),
        (
            "slots = 8",
            "slots = 8\nslots = 9",
            &["[targets]", "slots", "\"9\"", "once"],
        ),
        (
            "slots = 8",
            "slots = 0",
            &["[targets]", "slots", "\"0\"", "from 1 to 1024"],
        ),
        (
            "slots = 8",
            "slots = +8",
            &["[targets]", "slots", "\"+8\"", "whole numbers"],
        ),
        ("slots = 8", "slot = 8", &["[targets]", "slots", "missing"]),
        (
            "slots = 8",
            "slots = 8\nslot = 8",
            &["[targets]", "\"slot\"", "unknown", "connections"],
        ),
        (
            "connections = 60",
            "connections = 7",
            &["connections", "\"7\"", "from 8"],
        ),
        (
            "99.9",
            "100.001",
            &[
                "[objective]",
                "success_percent",
                "\"100.001\"",
                "0.001 to 100",
            ],
        ),
        (
            "99.9",
            "99.9999",
            &["success_percent", "\"99.9999\"", "three decimals"],
        ),
        ("99.9", "0", &["success_percent", "\"0\"", "0.001"]),
        (
            "127.0.0.1:7101",
            "localhost:7101",
            &["[targets]", "executor.1", "localhost", "IP:PORT"],
        ),
        (
            "127.0.0.1:7101",
            "127.0.0.1:0",
            &["executor.1", "127.0.0.1:0", "1 to 65535"],
        ),
        (
            "127.0.0.1:7101",
            "0.0.0.0:7101",
            &["executor.1", "0.0.0.0:7101", "unicast"],
        ),
        (
            "[quota]",
            "executor.2 = khomas-b 127.0.0.1:7101\n[quota]",
            &["executor.2", "127.0.0.1:7101", "each address once"],
        ),
        (
            "data_centres_out =",
            "data_centres_out = a, a",
            &["data_centres_out", "\"a\"", "once"],
        ),
        (
            "data_centres_out =",
            "data_centres_out = a b,/",
            &["data_centres_out", "\"/\"", "a-z"],
        ),
        (
            "[service]",
            "key = 1\n[service]",
            &["\"key\"", "outside a section"],
        ),
        (
            "accelerators = 0",
            "accelerators = 0\n  stray words",
            &["line 18", "not INI", "KEY = VALUE"],
        ),
    ];
    for (from, to, words) in cases {
        let Err(error) = parse(&changed(from, to)) else {
            add_failure!("{to:?} was accepted");
            continue;
        };
        for word in *words {
            expect_that!(error.to_string(), contains_substring(*word));
        }
    }
}

/// Guards against a document that takes up unbounded memory on every node.
#[googletest::test]
fn text_size_and_executor_count_are_limited() {
    let long = format!("{VALID}#{}", "x".repeat(MAX_TEXT_BYTES));
    let message = parse(&long).expect_err("too long").to_string();
    expect_that!(message, contains_substring(MAX_TEXT_BYTES.to_string()));

    let listed = |count: usize| {
        let line = |n: usize| format!("executor.{n} = a 127.0.{}.{}:80\n", n / 250, n % 250 + 1);
        let lines: String = (0..count).map(line).collect();
        changed("executor.1 = khomas-a 127.0.0.1:7101\n", &lines)
    };
    expect_that!(parse(&listed(MAX_EXECUTORS)), ok(anything()));
    let message = parse(&listed(MAX_EXECUTORS + 1)).expect_err("too many");
    expect_that!(
        message.to_string(),
        contains_substring("at most 1024 executors")
    );
}

fn name() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9][a-zA-Z0-9._-]{0,20}"
}

proptest! {
    /// Guards against a panic in the parser: every node parses each published text, so all would crash.
    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,400}") {
        let _ = parse(&text);
    }

    /// Guards against a panic after the first checks, which random text rarely passes.
    #[test]
    fn edited_valid_text_does_not_panic(at in 0..VALID.len(), removed in 0..40_usize, insert in "\\PC{0,8}") {
        let end = (at + removed).min(VALID.len());
        let _ = parse(&format!("{}{insert}{}", &VALID[..at], &VALID[end..]));
    }

    /// Guards against a field that is read from the wrong key or rounded.
    #[test]
    fn rendered_document_parses_to_the_same_values(
        service in name(),
        team in name(),
        out in proptest::collection::btree_set(name(), 0..4),
        latency in 1..600_000_u64,
        success in 1..=100_000_u32,
        slots in 1..=1_024_u32,
        ports in proptest::collection::btree_set(1..=u16::MAX, 0..5),
        cpu in 0..1_000_000_u64,
    ) {
        let out: Vec<String> = out.into_iter().collect();
        let line = |port: &u16| format!("executor.e{port} = dc 127.0.0.1:{port}\n");
        let executors: String = ports.iter().map(line).collect();
        let text = format!(
            "[service]\nname = {service}\nteam={team}\ndata_centres_out = {}\n\
             [objective]\nlatency_ms = {latency}\nsuccess_percent = {}.{:03}\nwindow_hours = 1\n\
             [targets]\nslots = {slots}\nconnections = 4096\nmax_deadline_ms = 5\n{executors}\
             [quota]\ncpu_milli = {cpu}\nmemory_mb = 2\naccelerators = 3\n",
            out.join(", "),
            success / 1_000,
            success % 1_000,
        );
        let document = parse(&text).map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert_eq!(document.service.as_str(), service);
        prop_assert_eq!(document.team.as_str(), team);
        let found: Vec<String> = document.data_centres_out.iter().map(ToString::to_string).collect();
        prop_assert_eq!(found, out);
        prop_assert_eq!(document.objective.latency_ms.0, latency);
        prop_assert_eq!(document.objective.success_milli_percent, success);
        prop_assert_eq!(document.slots, slots);
        let found: Vec<u16> = document.executors.iter().map(|e| e.address.port()).collect();
        let mut expected: Vec<u16> = ports.into_iter().collect();
        expected.sort_by_key(|port| format!("e{port}"));
        prop_assert_eq!(found, expected);
        prop_assert_eq!(document.quota.cpu_milli, cpu);
    }
}
