//! Earlier attempts of submissions that would be refused.

use googletest::prelude::*;
use hemlocksaddle_policy::retries::{
    AfterRead, AttemptEnd, Attempts, Lookup, RETRY_WINDOW_MS, StoredIds, SubmissionKey,
    UnservedAnswer, answer_unserved,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::WorkflowId,
};

const SLOW_LINK_KBPS: u32 = 2_000;

fn key(id: u64, tenant: Option<u64>) -> SubmissionKey {
    SubmissionKey {
        id: WorkflowId(id),
        tenant,
    }
}

/// Failures: an answer that is lost, a caller that leaves. Guards against a refusal of a retry whose earlier attempt
/// may be stored, and against attempts that are remembered for ever or mixed up between tenants.
#[gtest]
fn earlier_attempts_at_a_node_are_remembered_while_a_retry_may_follow() {
    for (end, expected) in [
        (AttemptEnd::NotStored, AttemptEnd::NotStored),
        (AttemptEnd::Unknown, AttemptEnd::Unknown),
        (AttemptEnd::Stored, AttemptEnd::Stored),
    ] {
        let mut attempts = Attempts::default();
        let first = key(1, Some(7));
        attempts.begin(first);
        attempts.begin(first);
        let under_way = attempts.earlier(first, 1, MonoMs(0));
        expect_that!(under_way, eq(AttemptEnd::Unknown), "{end:?}");
        attempts.end(first, end, MonoMs(1_000));
        let last = MonoMs(1_000) + RETRY_WINDOW_MS;
        expect_that!(attempts.earlier(first, 1, last), eq(expected));
        for other in [key(1, None), key(1, Some(8)), key(2, Some(7))] {
            let earlier = attempts.earlier(other, 0, MonoMs(1_000));
            expect_that!(earlier, eq(AttemptEnd::NotStored));
        }
        attempts.end(first, AttemptEnd::NotStored, last);
        expect_that!(attempts.is_empty(), eq(true), "{end:?}");
    }
}

/// Load: more attempts than are remembered. Guards against memory without a bound, and against a refusal of an
/// attempt that was left out.
#[gtest]
fn too_many_attempts_at_a_node_leave_none_to_be_refused() {
    let mut attempts = Attempts::default();
    for id in 0..10_000 {
        attempts.begin(key(id, None));
        attempts.end(key(id, None), AttemptEnd::Stored, MonoMs(10));
    }
    expect_that!(attempts.len(), le(4_096));
    let left_out = key(0, None);
    attempts.begin(left_out);
    let within = MonoMs(9) + RETRY_WINDOW_MS;
    expect_that!(
        attempts.earlier(left_out, 1, within),
        eq(AttemptEnd::Unknown)
    );
    let after = MonoMs(10) + RETRY_WINDOW_MS;
    expect_that!(
        attempts.earlier(left_out, 1, after),
        eq(AttemptEnd::NotStored)
    );
}

/// Failure: no owner serves. Guards against an id that counts as absent before that is certain, and against one that
/// another tenant or a deletion hides.
#[gtest]
fn an_id_is_absent_only_after_a_whole_window_and_a_read_since_its_arrival() {
    let (own, other) = (key(1, Some(1)), key(1, Some(2)));
    let mut ids = StoredIds::new(MonoMs(1_000));
    let read = |ids: &mut StoredIds| {
        ids.begin_read();
        ids.end_read(true, 0, SLOW_LINK_KBPS)
    };
    let covered = MonoMs(1_000) + RETRY_WINDOW_MS;
    let early = ids.arrival(MonoMs(covered.0 - 1));
    let arrival = ids.arrival(covered);
    expect_that!(ids.lookup(own, arrival), eq(Lookup::Behind));
    expect_that!(read(&mut ids), eq(AfterRead::Continue(Millis(100))));
    expect_that!(ids.lookup(own, early), eq(Lookup::Unsure));
    expect_that!(ids.lookup(own, arrival), eq(Lookup::Absent));
    // A read that was sent before the arrival may miss a record that was stored between.
    ids.begin_read();
    let arrival = ids.arrival(covered);
    ids.end_read(true, 0, SLOW_LINK_KBPS);
    expect_that!(ids.lookup(own, arrival), eq(Lookup::Behind));
    ids.add(other, false, covered);
    read(&mut ids);
    expect_that!(ids.lookup(own, arrival), eq(Lookup::OtherTenant));
    expect_that!(ids.lookup(other, early), eq(Lookup::Stored));
    ids.add(own, false, covered);
    expect_that!(ids.lookup(own, early), eq(Lookup::Stored));
    ids.add(own, true, covered);
    expect_that!(ids.lookup(own, arrival), eq(Lookup::Unsure));
    ids.add(other, true, covered);
    let third = key(1, None);
    expect_that!(ids.lookup(third, arrival), eq(Lookup::Absent));
}

/// Load: submissions faster than a link of 2 Mbit/s carries, and more than are kept. Guards against reads that fill
/// the link, against memory without a bound, and against refusals of ids that were left out.
#[gtest]
fn reads_leave_most_of_a_slow_link_to_others() {
    let mut ids = StoredIds::new(MonoMs(0));
    let mut read = |is_at_end| {
        ids.begin_read();
        ids.end_read(is_at_end, 264_000, SLOW_LINK_KBPS)
    };
    // 264 kB take 1,056 ms.
    let pause = Millis(3 * 1_056);
    expect_that!(read(false), eq(AfterRead::Continue(pause)));
    expect_that!(read(true), eq(AfterRead::Continue(pause)));
    expect_that!(read(false), eq(AfterRead::Continue(pause)));
    expect_that!(read(false), eq(AfterRead::Continue(pause)));
    expect_that!(read(false), eq(AfterRead::Restart(pause)));
    for id in 0..30_000 {
        ids.add(key(id, None), false, MonoMs(id));
    }
    expect_that!(ids.len(), eq(20_000));
    let arrival = ids.arrival(MonoMs(9_999 + RETRY_WINDOW_MS.0 - 1));
    expect_that!(ids.lookup(key(9_999, None), arrival), eq(Lookup::Unsure));
    expect_that!(ids.lookup(key(10_000, None), arrival), eq(Lookup::Stored));
}

/// Failure: no owner serves. Guards against refusals of what may be stored.
#[gtest]
fn only_an_absent_submission_is_refused() {
    let after = Millis(5_000);
    for (lookup, refused, stored) in [
        (Lookup::Unsure, UnservedAnswer::Store, UnservedAnswer::Store),
        (Lookup::Behind, UnservedAnswer::Store, UnservedAnswer::Store),
        (
            Lookup::Absent,
            UnservedAnswer::Refuse(after),
            UnservedAnswer::Store,
        ),
        (
            Lookup::Stored,
            UnservedAnswer::AlreadyStored,
            UnservedAnswer::AlreadyStored,
        ),
        (
            Lookup::OtherTenant,
            UnservedAnswer::IdInUse,
            UnservedAnswer::IdInUse,
        ),
    ] {
        expect_that!(answer_unserved(Some(after), lookup), eq(refused));
        expect_that!(answer_unserved(None, lookup), eq(stored));
    }
}
