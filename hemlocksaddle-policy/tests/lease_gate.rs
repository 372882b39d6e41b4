//! Leases that are withheld from workers which a claim names.

use googletest::prelude::*;
use hemlocksaddle_policy::unreached::{LeaseGate, Process, Withheld};

fn without(names: &[&str]) -> Withheld {
    Withheld {
        from_all: false,
        workers: names.iter().map(|name| process(name, 1)).collect(),
    }
}

fn process(name: &str, born_ms: u64) -> Process {
    Process {
        name: name.into(),
        born_ms,
    }
}

/// Gate of an owner that has stored a renewal which names the given workers.
fn gate(names: &[&str]) -> LeaseGate {
    let mut gate = LeaseGate::after_claim();
    gate.send(without(names));
    gate.stored();
    gate
}

/// Failure: the owner is killed right after its claim. Guards against leases that its claim does not allow for.
#[gtest]
fn no_lease_is_granted_before_a_renewal_that_allows_it_is_stored() {
    let mut gate = LeaseGate::after_claim();
    gate.send(Withheld::from_all());
    gate.stored();
    expect_that!(gate.may_grant(&process("a", 1), true), eq(false));
    gate.send(without(&[]));
    expect_that!(gate.may_grant(&process("a", 1), true), eq(false));
    gate.stored();
    expect_that!(gate.may_grant(&process("a", 1), true), eq(true));
}

/// Failure: a worker stops to answer. Guards against a lease that is granted while the record that names the worker
/// is on its way.
#[gtest]
fn a_worker_gets_no_lease_from_the_sending_of_the_record_that_names_it() {
    let mut gate = gate(&[]);
    gate.send(without(&["a"]));
    expect_that!(gate.may_grant(&process("a", 1), true), eq(false));
    expect_that!(gate.may_grant(&process("b", 1), true), eq(true));
}

/// Failure: the store loses the answer to a renewal that names a worker, and answers the repeat, which does not,
/// like the first attempt. Guards against a lease of which a successor does not know.
#[gtest]
fn the_answer_to_a_repeated_renewal_may_be_of_the_attempt_that_names_the_worker() {
    let mut gate = gate(&[]);
    gate.send(without(&["a"]));
    gate.send(without(&[]));
    gate.stored();
    expect_that!(gate.may_grant(&process("a", 1), true), eq(false));
    gate.send(without(&[]));
    expect_that!(gate.may_grant(&process("a", 1), true), eq(false));
    gate.stored();
    expect_that!(gate.may_grant(&process("a", 1), true), eq(true));
}

/// Failure: the store expects another sequence number, since an attempt without an answer has taken effect. Guards
/// against a lease for a worker that this attempt names.
#[gtest]
fn an_attempt_of_an_earlier_sequence_number_counts_until_the_next_is_stored() {
    let mut gate = gate(&["a"]);
    gate.send(without(&["b"]));
    gate.out_of_sequence();
    gate.send(without(&[]));
    expect_that!(gate.may_grant(&process("a", 1), true), eq(false));
    expect_that!(gate.may_grant(&process("b", 1), true), eq(false));
    gate.stored();
    expect_that!(gate.may_grant(&process("a", 1), true), eq(true));
    expect_that!(gate.may_grant(&process("b", 1), true), eq(true));
}

/// Failure: a named worker is back as a new process, and the owner is killed before the roster lists it. Guards
/// against a lease for a process that a successor takes for the earlier one.
#[gtest]
fn a_new_process_of_a_named_worker_gets_no_lease_before_it_is_in_the_roster() {
    let gate = gate(&["b"]);
    let (new, other) = (process("b", 2), process("a", 2));
    expect_that!(gate.may_grant(&new, false), eq(false));
    expect_that!(gate.may_grant(&new, true), eq(true));
    expect_that!(gate.may_grant(&other, false), eq(true));
    expect_that!(gate.may_grant(&process("c", 2), false), eq(true));
}
