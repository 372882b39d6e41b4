//! Table of idempotency keys: replay, repeats, expiry and terms.

use googletest::prelude::*;
use hemlocksaddle_node::requests::idempotency::{BeginOutcome, IdempotencyTable, ScopedKey};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    name::{IdempotencyKey, ServiceName},
    outcome::ResultCode,
    record::Record,
    request::QuickResponse,
    unit::{QueueIndex, Term},
};

const QUEUE: QueueIndex = QueueIndex(3);
const TERM: Term = Term(7);
const RETENTION: Millis = Millis(60_000);

fn key(name: &str) -> ScopedKey {
    let service = ServiceName::try_from("decks").expect("valid");
    (service, IdempotencyKey::try_from(name).expect("valid"))
}

fn intent(name: &str, body_hash: u64) -> Record {
    let (service, key) = key(name);
    Record::RequestIntent {
        service,
        key,
        body_hash,
        at_ms: WallMs(1_000),
    }
}

fn outcome(name: &str, code: ResultCode) -> Record {
    let (service, key) = key(name);
    Record::RequestOutcome {
        service,
        key,
        response: QuickResponse::refusal(code, name),
    }
}

fn replayed_table(records: &[Record]) -> IdempotencyTable {
    let table = IdempotencyTable::with_max_keys(RETENTION, 2);
    table.reset(QUEUE, TERM);
    for record in records {
        table.apply(QUEUE, record);
    }
    table.finish_replay(QUEUE);
    table
}

fn begin(table: &IdempotencyTable, name: &str, body_hash: u64, now: u64) -> BeginOutcome {
    table.begin(QUEUE, TERM, &key(name), body_hash, WallMs(now))
}

/// Guards against running a request again whose intent a previous owner has logged.
///
/// Without a logged outcome it may have run; only an outcome of "not run" frees the key.
#[googletest::test]
fn replayed_records_determine_the_answer_to_repeats() {
    let records = [
        intent("open", 1),
        intent("done", 1),
        outcome("done", ResultCode::Completed),
        intent("freed", 1),
        outcome("freed", ResultCode::DeadlineBeforeStart),
    ];
    let table = replayed_table(&records);
    expect_that!(begin(&table, "open", 1, 2_000), pat!(BeginOutcome::Unknown));
    expect_that!(
        begin(&table, "done", 1, 2_000),
        pat!(BeginOutcome::Recorded(_))
    );
    expect_that!(begin(&table, "done", 2, 2_000), pat!(BeginOutcome::Reused));
    expect_that!(table.len(QUEUE), eq(2));
}

/// Guards against evicting a key from a full table, which would allow its request to run again.
///
/// Keys of requests that did not run are freed at once, all others when the retention ends.
#[googletest::test]
fn full_table_refuses_new_keys_until_old_ones_expire() {
    let table = replayed_table(&[intent("a", 1)]);
    expect_that!(begin(&table, "b", 1, 2_000), pat!(BeginOutcome::Run));
    expect_that!(begin(&table, "c", 1, 2_000), pat!(BeginOutcome::Full));
    let refused = QuickResponse::refusal(ResultCode::Overloaded, "");
    table.finish(QUEUE, TERM, &key("b"), &refused);
    expect_that!(begin(&table, "c", 1, 2_000), pat!(BeginOutcome::Run));
    expect_that!(
        begin(&table, "b", 1, 1_000 + RETENTION.0),
        pat!(BeginOutcome::Run)
    );
    expect_that!(
        begin(&table, "a", 1, 1_000 + RETENTION.0),
        pat!(BeginOutcome::Full)
    );
}

/// Guards against running and sending a request again when it is repeated during its run.
#[googletest::test]
fn repeat_waits_for_the_run_in_progress() {
    let table = replayed_table(&[]);
    expect_that!(begin(&table, "a", 1, 0), pat!(BeginOutcome::Run));
    let BeginOutcome::Wait(mut waiter) = begin(&table, "a", 1, 0) else {
        panic!("the key is in progress");
    };
    expect_that!(table.mark_sent(QUEUE, TERM, &key("a")), some(eq(true)));
    expect_that!(table.mark_sent(QUEUE, TERM, &key("a")), some(eq(false)));
    let response = QuickResponse::refusal(ResultCode::Completed, "answer");
    table.finish(QUEUE, TERM, &key("a"), &response);
    expect_that!(waiter.try_recv(), ok(some(eq(&response))));
}

/// Guards against accepting requests before the queue's stream is replayed, or under an older term.
#[googletest::test]
fn requests_are_refused_before_replay_and_under_an_older_term() {
    let table = IdempotencyTable::new(RETENTION);
    expect_that!(begin(&table, "a", 1, 0), pat!(BeginOutcome::NotOwner));
    table.reset(QUEUE, TERM);
    expect_that!(begin(&table, "a", 1, 0), pat!(BeginOutcome::NotOwner));
    table.finish_replay(QUEUE);
    expect_that!(begin(&table, "a", 1, 0), pat!(BeginOutcome::Run));
    table.reset(QUEUE, Term(8));
    table.finish_replay(QUEUE);
    expect_that!(begin(&table, "a", 1, 0), pat!(BeginOutcome::NotOwner));
    expect_that!(table.mark_sent(QUEUE, TERM, &key("a")), none());
}
