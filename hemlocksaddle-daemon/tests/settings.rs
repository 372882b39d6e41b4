//! Validation of settings files: accepted values, rejected values and error messages.

use googletest::prelude::*;
use hemlocksaddle_daemon::settings::File;
use hemlocksaddle_node::settings::{Limits, Timing};

const KEY: &str = "0123456789abcdef0123456789abcdef";

const VALID: &str = "\
[node]
name = n1
data_centre = khomas-a
callers = 127.0.0.1:8000
peers_listen = 127.0.0.1:9000
[peers]
n1 = khomas-a 127.0.0.1:9000
n2 = khomas-b 127.0.0.1:9001
[platform]
log = 127.0.0.1:7000
hosts = 127.0.0.1:7001
[secret]
peer_key = 0123456789abcdef0123456789abcdef
";

/// Guards against a default of the parser that differs from `Timing::default` or `Limits::default`.
#[googletest::test]
fn a_minimal_file_takes_the_defaults() {
    let file = File::parse("file x.ini", VALID).expect("valid");
    expect_that!(file.node.timing, eq(Timing::default()));
    expect_that!(file.node.limits, eq(Limits::default()));
    expect_that!(file.node.peers.len(), eq(2));
    expect_that!(file.addresses.workers, none());
}

/// Guards against a key that is validated but not applied.
#[googletest::test]
fn given_values_are_applied() {
    let text = format!(
        "{VALID}[timing]\nlease_ms = 6000\nretention_ms = 90000\n[limits]\nqueues = 4\nbody_bytes = 2048\n"
    );
    let file = File::parse("file x.ini", &text).expect("valid");
    expect_that!(file.node.timing.lease_ms.0, eq(6_000));
    expect_that!(file.node.timing.retention_ms.0, eq(90_000));
    expect_that!(file.node.limits.queues, eq(4));
    expect_that!(file.node.limits.body_bytes, eq(2_048));
}

/// Guards against an invalid setting that is accepted, or rejected without its location and reason.
#[googletest::test]
fn errors_name_file_section_key_value_and_allowed_values() {
    let cases: &[(&str, &str, &[&str])] = &[
        (
            "name = n1",
            "name = n 1",
            &["[node]", "name", "\"n 1\"", "a-z"],
        ),
        (
            "name = n1",
            "name = n3",
            &["[peers]", "n3", "missing", "IP:PORT"],
        ),
        (
            "data_centre = khomas-a",
            "data_centre = khomas-b",
            &["[peers]", "n1", "khomas-b"],
        ),
        (
            "127.0.0.1:8000",
            "0:80",
            &["[node]", "callers", "\"0:80\"", "IP:PORT"],
        ),
        (
            "127.0.0.1:9001",
            "127.0.0.1:9000",
            &["[peers]", "n2", "each address once"],
        ),
        (
            "[secret]",
            "[timing]\nlease = 1\n[secret]",
            &["[timing]", "\"lease\"", "lease_ms"],
        ),
        (
            "[secret]",
            "[timing]\nheartbeat_ms = 1500\n[secret]",
            &[
                "[timing]",
                "heartbeat_ms",
                "\"1500\"",
                "half of peer_silent_ms = 2000",
            ],
        ),
        (
            "[secret]",
            "[limits]\nqueues = 0\n[secret]",
            &["[limits]", "queues", "\"0\"", "1 to 1024"],
        ),
        (
            "[secret]",
            "[other]\n[secret]",
            &["[other]", "unknown", "node, peers"],
        ),
        (
            "log = 127.0.0.1:7000\n",
            "",
            &["[platform]", "log", "missing", "IP:PORT"],
        ),
    ];
    for (from, to, words) in cases {
        assert_that!(VALID, contains_substring(*from));
        let Err(error) = File::parse("file x.ini", &VALID.replacen(from, to, 1)) else {
            add_failure!("{to:?} was accepted");
            continue;
        };
        for word in words.iter().chain(&["file x.ini"]) {
            expect_that!(error.to_string(), contains_substring(*word));
        }
    }
}

/// Guards against a peer key that leaks into a log through an error message or `Debug` output.
#[googletest::test]
fn errors_and_debug_output_omit_the_peer_key() {
    let line = format!("peer_key = {KEY}");
    let texts = [
        VALID.replace(KEY, &KEY[..20]),
        VALID.replace(&line, &format!("{line}\n{line}")),
        VALID.replace(&line, &format!("{line}\npeer_kei = {KEY}")),
        VALID.replace(&line, &format!("{line}\n{KEY}")),
        VALID.replace("[node]", &format!("{line}\n[node]")),
    ];
    for text in texts {
        let error = File::parse("file x.ini", &text).expect_err("not valid");
        expect_that!(error.to_string(), not(contains_substring(&KEY[..20])));
    }
    let file = File::parse("file x.ini", VALID).expect("valid");
    expect_that!(format!("{file:?}"), not(contains_substring(&KEY[..20])));
}

/// Guards against an I/O error that does not name the file.
#[googletest::test]
fn error_for_a_missing_file_names_it() {
    let error = File::load("does-not-exist.ini".as_ref()).expect_err("no such file");
    expect_that!(error.to_string(), contains_substring("does-not-exist.ini"));
}
