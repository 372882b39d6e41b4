//! Workers that an owner does not reach, and how long its successor waits for them.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use googletest::prelude::*;
use hemlocksaddle_policy::unreached::{MAX_UNREACHED, Process};
use hemlocksaddle_types::clock::{Millis, MonoMs};
use workflow_support::{Harness, LEASE_MS, step};

/// End of the leases of earlier terms.
const FAILOVER_MS: u64 = 10_000;

/// End of those on a worker that the predecessor's claim names.
const NAMED_MS: u64 = 2_000;

/// Names all of the harness's workers with the time until which earlier leases may last on them.
fn name_workers(harness: &mut Harness, numbers: &[usize], until: MonoMs) {
    let roster = harness.roster();
    let processes = numbers.iter().map(|&number| Process::of(&roster[number]));
    let named = processes.map(|process| (process, until)).collect();
    harness.scheduler.set_earlier_leases(named);
}

/// Load: two workers are lost before a change of owner. Guards against a wait for the leases of all workers where
/// the predecessor has told when those of the lost ones end.
#[gtest]
fn inherited_work_starts_once_the_leases_on_named_workers_have_expired() {
    let mut harness = Harness::unreported(3, 16_000, FAILOVER_MS);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    let until = harness.now() + Millis(NAMED_MS);
    name_workers(&mut harness, &[1, 2], until);
    harness.report_idle(0);
    harness.advance(NAMED_MS - 1);
    expect_that!(harness.starts(), is_empty());
    harness.advance(1);
    harness.report_idle(0);
    expect_that!(harness.starts().len(), eq(1));
}

/// Load: two workers are lost before a change of owner, of which the claim names one. Guards against a task that
/// starts while its former run may go on at the other.
#[gtest]
fn inherited_work_waits_for_a_worker_that_is_not_named() {
    let mut harness = Harness::unreported(3, 16_000, FAILOVER_MS);
    harness.accept_inherited(1, vec![step(1, 1_000)]);
    let until = harness.now() + Millis(NAMED_MS);
    name_workers(&mut harness, &[1], until);
    harness.advance(FAILOVER_MS - 1);
    harness.report_idle(0);
    expect_that!(harness.starts(), is_empty());
    harness.advance(1);
    harness.report_idle(0);
    expect_that!(harness.starts().len(), eq(1));
}

/// Load: a worker that has reported is lost. Guards against a successor that waits beyond its lease.
#[gtest]
fn a_lost_worker_is_named_with_the_end_of_its_lease() {
    let mut harness = Harness::with_workers(2, 16_000);
    expect_that!(harness.scheduler.unreached(), is_empty());
    let lost_at = harness.now();
    harness.advance(1_600);
    harness.silence(harness.workers[1]);
    let process = Process::of(&harness.roster()[1]);
    let unreached = harness.scheduler.unreached();
    expect_that!(unreached, eq(&vec![(process, lost_at + Millis(LEASE_MS))]));
}

/// Load: a worker is lost before two changes of owner. Guards against a wait that begins anew with the second.
#[gtest]
fn a_worker_that_was_never_reached_is_named_with_the_end_of_earlier_leases() {
    let mut harness = Harness::unreported(2, 16_000, FAILOVER_MS);
    let (named, complete) = (Millis(NAMED_MS), Millis(FAILOVER_MS));
    let (named, complete) = (harness.now() + named, harness.now() + complete);
    name_workers(&mut harness, &[1], named);
    harness.silence(harness.workers[0]);
    harness.silence(harness.workers[1]);
    let mut unreached = harness.scheduler.unreached();
    unreached.sort_by_key(|(_, until)| *until);
    let until: Vec<MonoMs> = unreached.iter().map(|(_, until)| *until).collect();
    expect_that!(until, eq(&vec![named, complete]));
    let awaited = harness.scheduler.awaited_reports(harness.now());
    expect_that!(awaited.len(), eq(2));
}

/// Load: a worker is lost before two changes of owner, 100 ms apart. Guards against an owner that has recovered, but
/// not met the worker's silence yet, and lets the wait begin anew.
#[gtest]
fn a_named_worker_stays_named_until_it_has_reported() {
    let mut harness = Harness::unreported(2, 16_000, FAILOVER_MS);
    let until = harness.now() + Millis(NAMED_MS);
    name_workers(&mut harness, &[1], until);
    let process = Process::of(&harness.roster()[1]);
    expect_that!(harness.scheduler.unreached(), eq(&vec![(process, until)]));
    harness.report_idle(1);
    expect_that!(harness.scheduler.unreached(), is_empty());
}

/// Load: more workers are lost at once than a claim names. Guards against records that grow with the number of
/// workers.
#[gtest]
fn no_worker_is_named_while_too_many_do_not_answer() {
    let mut harness = Harness::with_workers(MAX_UNREACHED + 1, 16_000);
    for &worker in &harness.workers.clone() {
        harness.silence(worker);
    }
    expect_that!(harness.scheduler.unreached(), is_empty());
    harness.report_idle(0);
    let unreached = harness.scheduler.unreached();
    expect_that!(unreached.len(), eq(MAX_UNREACHED));
}
