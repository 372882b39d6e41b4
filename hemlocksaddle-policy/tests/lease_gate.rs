//! Leases that are withheld from workers which a claim names.

use std::sync::Arc;

use googletest::prelude::*;
use hemlocksaddle_policy::unreached::{LeaseGate, Withheld};

fn without(names: &[&str]) -> Withheld {
    Withheld {
        from_all: false,
        workers: names.iter().map(|&name| Arc::from(name)).collect(),
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
    expect_that!(gate.may_grant("a"), eq(false));
    gate.send(without(&[]));
    expect_that!(gate.may_grant("a"), eq(false));
    expect_that!(gate.is_open(), eq(false));
    gate.stored();
    expect_that!(gate.may_grant("a"), eq(true));
    expect_that!(gate.is_open(), eq(true));
}

/// Failure: a worker stops to answer. Guards against a lease that is granted while the record that names the worker
/// is on its way.
#[gtest]
fn a_worker_gets_no_lease_from_the_sending_of_the_record_that_names_it() {
    let mut gate = gate(&[]);
    gate.send(without(&["a"]));
    expect_that!(gate.may_grant("a"), eq(false));
    expect_that!(gate.may_grant("b"), eq(true));
}

/// Failure: the store loses the answer to a renewal that names a worker, and answers the repeat, which does not,
/// like the first attempt. Guards against a lease of which a successor does not know.
#[gtest]
fn the_answer_to_a_repeated_renewal_may_be_of_the_attempt_that_names_the_worker() {
    let mut gate = gate(&[]);
    gate.send(without(&["a"]));
    gate.send(without(&[]));
    gate.stored();
    expect_that!(gate.may_grant("a"), eq(false));
    gate.send(without(&[]));
    expect_that!(gate.may_grant("a"), eq(false));
    gate.stored();
    expect_that!(gate.may_grant("a"), eq(true));
}

/// Failure: the store expects another sequence number, since an attempt without an answer has taken effect. Guards
/// against a lease for a worker that this attempt names.
#[gtest]
fn an_attempt_of_an_earlier_sequence_number_counts_until_the_next_is_stored() {
    let mut gate = gate(&["a"]);
    gate.send(without(&["b"]));
    gate.out_of_sequence();
    gate.send(without(&[]));
    expect_that!(gate.may_grant("a"), eq(false));
    expect_that!(gate.may_grant("b"), eq(false));
    gate.stored();
    expect_that!(gate.may_grant("a"), eq(true));
    expect_that!(gate.may_grant("b"), eq(true));
}
