//! Quick requests over several nodes on the virtual clock.

mod requests_support;

use googletest::prelude::*;
use hemlocksaddle_node::invariant::{Invariant, OnViolation};
use hemlocksaddle_types::{clock::Millis, outcome::ResultCode};
use requests_support::{Behaviour, Options, World};

/// Guards the thin path: one idempotent request through one node to one executor and back.
#[googletest::test]
fn idempotent_request_is_answered() {
    let world = World::new(&Options::default());
    let response = world.quick(0, world.request(0, None, 1_000));
    expect_that!(response.code, eq(ResultCode::Completed));
    expect_that!(response.status, eq(200));
    expect_that!(world.runs(), eq(1));
}

/// Guards against a node without executors that refuses or runs a request itself.
#[googletest::test]
fn node_without_executors_forwards() {
    let options = Options {
        nodes: 2,
        ..Options::default()
    };
    let world = World::new(&options);
    world.sim.run_for(Millis(100));
    let response = world.quick(1, world.request(1, None, 1_000));
    expect_that!(response.code, eq(ResultCode::Completed));
    expect_that!(world.runs(), eq(1));
}

fn world(nodes: usize, executors: usize, slots: u32) -> std::rc::Rc<World> {
    let world = World::new(&Options {
        nodes,
        executors,
        slots,
        ..Options::default()
    });
    world.sim.run_for(Millis(600));
    world
}

/// World in which no request is sent a second time, so that each must run exactly once.
fn world_without_second_sends(nodes: usize, executors: usize, slots: u32) -> std::rc::Rc<World> {
    let world = World::new(&Options {
        nodes,
        executors,
        slots,
        retry_percent: 0,
        ..Options::default()
    });
    world.sim.run_for(Millis(600));
    world
}

/// Guards the executors' limit: a burst at three nodes never puts more than `slots` on an executor.
#[googletest::test]
fn executors_never_get_more_than_their_slots() {
    let world = world_without_second_sends(3, 6, 2);
    let responses: Vec<_> = (0..40)
        .map(|n| world.quick_later(n % 3, world.request(n % 3, None, 5_000)))
        .collect();
    world.sim.run_for(Millis(3_000));
    for response in responses {
        let code = response.borrow().as_ref().map(|r| r.code);
        expect_that!(code, some(eq(ResultCode::Completed)));
    }
    for executor in &world.executors {
        expect_that!(executor.most_in_use.get(), le(2));
    }
    expect_that!(world.runs(), eq(40));
}

/// Guards against waiting at a busy node while another one is idle, whichever of them notices first.
#[googletest::test]
fn waiting_requests_move_to_idle_nodes() {
    let world = world(2, 2, 1);
    let responses: Vec<_> = (0..6)
        .map(|_| world.quick_later(0, world.request(0, None, 5_000)))
        .collect();
    world.sim.run_for(Millis(100));
    expect_true!(responses.iter().all(|r| r.borrow().is_some()));
    expect_that!(world.executors[1].runs.borrow().len(), ge(2));
}

/// Guards the retry: once, on another executor, and only for idempotent requests.
#[googletest::test]
fn lost_answer_is_retried_on_another_executor() {
    let world = world(1, 2, 8);
    world.executors[0].behaviour.set(Behaviour::Lose);
    world.executors[1].behaviour.set(Behaviour::After(1_000));
    for _ in 0..4 {
        let response = world.quick(0, world.request(0, None, 1_000));
        expect_that!(response.code, eq(ResultCode::Completed));
    }
    expect_that!(world.executors[0].runs.borrow().len(), ge(1));
    world.sim.run_for(Millis(1_000));
    world.executors[1].behaviour.set(Behaviour::Lose);
    let before = world.runs();
    let response = world.quick(0, world.request(0, Some("k"), 1_000));
    expect_that!(response.code, eq(ResultCode::AnswerLost));
    expect_that!(world.runs(), eq(before + 1));
    let repeat = world.quick(0, world.request(0, Some("k"), 1_000));
    expect_that!(repeat.code, eq(ResultCode::EarlierAttemptUnknown));
    expect_that!(world.runs(), eq(before + 1));
}

/// Guards against retries that multiply the load when every executor fails.
#[googletest::test]
fn second_sends_stay_within_the_budget() {
    let world = world(1, 4, 8);
    let mut first_sends = 0;
    for executor in &world.executors {
        executor.behaviour.set(Behaviour::Lose);
    }
    for _ in 0..200 {
        let response = world.quick(0, world.request(0, None, 1_000));
        if response.code == ResultCode::AnswerLost {
            first_sends += 1;
        }
        world.sim.run_for(Millis(100));
    }
    // A reserve of 10 and 10% of 200 requests.
    expect_that!(world.runs(), le(first_sends + 30));
    expect_that!(world.runs(), gt(first_sends));
}

/// Guards at-most-once: the intent comes first, and repeats get the outcome without a second run.
#[googletest::test]
fn repeated_key_gets_the_recorded_outcome() {
    let world = world(2, 1, 8);
    let first = world.quick_later(1, world.request(1, Some("k"), 2_000));
    world.sim.run_for(Millis(10));
    expect_that!(world.runs(), eq(0));
    let second = world.quick(0, world.request(0, Some("k"), 2_000));
    expect_that!(second.code, eq(ResultCode::Completed));
    expect_that!(
        first.borrow().as_ref().map(|r| r.code),
        some(eq(ResultCode::Completed))
    );
    let third = world.quick(1, world.request(1, Some("k"), 2_000));
    expect_that!(third, eq(&second));
    let mut other = world.request(1, Some("k"), 2_000);
    other.body = "another".into();
    expect_that!(world.quick(1, other).code, eq(ResultCode::KeyReused));
    expect_that!(world.runs(), eq(1));
    world.sim.run_for(Millis(1_000));
    expect_that!(world.records.borrow().len(), eq(2));
}

/// Guards the truth of 1009: without a durable intent nothing is sent, and the key stays free.
#[googletest::test]
fn request_without_a_durable_intent_is_not_run() {
    let world = world(1, 1, 8);
    world.unsettled.set(true);
    let refused = world.quick(0, world.request(0, Some("k"), 1_000));
    expect_that!(refused.code, eq(ResultCode::LogUnavailable));
    world.log_up.set(false);
    let refused = world.quick(0, world.request(0, Some("other"), 1_000));
    expect_that!(refused.code, eq(ResultCode::LogUnavailable));
    expect_that!(refused.retry_after_ms, some(anything()));
    expect_that!(world.runs(), eq(0));
    let idempotent = world.quick(0, world.request(0, None, 1_000));
    expect_that!(idempotent.code, eq(ResultCode::Completed));
    world.unsettled.set(false);
    world.log_up.set(true);
    world.sim.run_for(Millis(1_000));
    let repeat = world.quick(0, world.request(0, Some("k"), 1_000));
    expect_that!(repeat.code, eq(ResultCode::Completed));
    expect_that!(world.runs(), eq(2));
}

/// Guards against a second run when the reply of the key's owner is lost.
#[googletest::test]
fn lost_reply_of_the_owner_is_asked_for_again() {
    let world = world(2, 2, 8);
    world.lose_replies.set(true);
    let responses: Vec<_> = ["a", "b", "c", "d"]
        .iter()
        .map(|key| world.quick_later(0, world.request(0, Some(key), 3_000)))
        .collect();
    world.sim.run_for(Millis(80));
    world.lose_replies.set(false);
    world.sim.run_for(Millis(3_000));
    for response in responses {
        let code = response.borrow().as_ref().map(|r| r.code);
        expect_that!(code, some(eq(ResultCode::Completed)));
    }
    expect_that!(world.runs(), eq(4));
}

/// Guards leaving targets: none gets a new request, and without any other the refusal says so.
#[googletest::test]
fn leaving_target_gets_nothing_new() {
    let world = world(1, 2, 8);
    world.set_hosts(&[0]);
    for _ in 0..20 {
        let response = world.quick(0, world.request(0, None, 1_000));
        expect_that!(response.code, eq(ResultCode::Completed));
    }
    expect_that!(world.executors[0].runs.borrow().len(), eq(0));
    world.set_hosts(&[0, 1]);
    let refused = world.quick(0, world.request(0, None, 1_000));
    expect_that!(refused.code, eq(ResultCode::OwnerUnreachable));
}

/// Guards the right to act: without it nothing is sent, although the node still counts as owner.
#[googletest::test]
fn nothing_is_sent_without_the_right() {
    let world = world(1, 1, 8);
    world.rights.set(false);
    let refused = world.quick(0, world.request(0, None, 500));
    expect_that!(refused.code, eq(ResultCode::OwnerUnreachable));
    expect_that!(world.runs(), eq(0));
    world.rights.set(true);
    let response = world.quick(0, world.request(0, None, 500));
    expect_that!(response.code, eq(ResultCode::Completed));
}

/// Guards against executors that refuse, or fail at once and look fast, getting most requests.
#[googletest::test]
fn failing_executors_are_set_aside() {
    for behaviour in [Behaviour::Refuse, Behaviour::Error, Behaviour::Foreign] {
        let world = world(1, 4, 8);
        world.executors[0].behaviour.set(behaviour);
        let completed = (0..200)
            .filter(|_| {
                let response = world.quick(0, world.request(0, None, 1_000));
                response.code == ResultCode::Completed
            })
            .count();
        expect_that!(completed, ge(190), "{behaviour:?}");
        expect_that!(
            world.executors[0].runs.borrow().len(),
            le(12),
            "{behaviour:?}"
        );
        world.executors[0].behaviour.set(Behaviour::After(20_000));
        world.sim.run_for(Millis(11_000));
        for _ in 0..40 {
            let _ = world.quick(0, world.request(0, None, 1_000));
        }
        let after = world.executors[0].runs.borrow().len();
        expect_that!(
            after,
            ge(8),
            "{behaviour:?}: it is used again after its probe"
        );
    }
}

/// Guards against a slow executor that gets its share of requests.
#[googletest::test]
fn slow_executor_is_avoided() {
    let world = world(1, 4, 8);
    for executor in &world.executors {
        executor.behaviour.set(Behaviour::Exponential(20_000));
    }
    world.executors[0]
        .behaviour
        .set(Behaviour::Exponential(60_000));
    for _ in 0..2_000 {
        let _ = world.quick_later(0, world.request(0, None, 5_000));
        world.sim.run_for(Millis(2));
    }
    let slow = world.executors[0].runs.borrow().len();
    expect_that!(slow, le(100));
}

/// Guards deadlines: a request that waited too long is not run, one that runs too long may have run.
#[googletest::test]
fn deadlines_are_told_apart() {
    let world = world(1, 1, 1);
    world.executors[0].behaviour.set(Behaviour::After(300_000));
    let running = world.quick_later(0, world.request(0, None, 100));
    // Two requests that come at once may be taken in either order.
    world.sim.run_for(Millis(5));
    let waiting = world.quick_later(0, world.request(0, None, 90));
    world.sim.run_for(Millis(1_000));
    let code = |cell: &std::cell::RefCell<Option<_>>| {
        let response: &Option<hemlocksaddle_types::request::QuickResponse> = &cell.borrow();
        response.as_ref().map(|response| response.code)
    };
    expect_that!(code(&running), some(eq(ResultCode::DeadlineWhileRunning)));
    expect_that!(code(&waiting), some(eq(ResultCode::DeadlineBeforeStart)));
    expect_that!(world.runs(), eq(1));
}

/// Sends requests at a rate for five seconds and returns the share of the capacity that was of use.
fn goodput(percent: u64) -> f64 {
    let world = world(2, 4, 4);
    for executor in &world.executors {
        executor.behaviour.set(Behaviour::Exponential(20_000));
    }
    // 16 slots of 20 ms serve 800 requests a second.
    let gap_us = 125_000 / percent;
    let mut responses = Vec::new();
    let start_us = world.sim.now_us();
    for n in 0..(5_000_000 / gap_us) {
        let node = usize::from(n % 2 == 1);
        responses.push(world.quick_later(node, world.request(node, None, 250)));
        let until = Millis((start_us + n * gap_us) / 1_000);
        if until > world.sim.now() {
            world.sim.run_for(Millis(until.0 - world.sim.now().0));
        }
    }
    world.sim.run_for(Millis(1_000));
    let codes: Vec<ResultCode> = responses
        .iter()
        .filter_map(|r| r.borrow().as_ref().map(|r| r.code))
        .collect();
    expect_that!(codes.len(), eq(responses.len()));
    let good = codes.iter().filter(|code| **code == ResultCode::Completed);
    good.count() as f64 / 4_000.0
}

/// Guards against a collapse past saturation: goodput at twice the capacity is within 5% of that at 95%.
#[googletest::test]
fn overload_does_not_reduce_goodput() {
    let (near, twice) = (goodput(95), goodput(200));
    expect_that!(near, ge(0.85));
    expect_that!(twice, ge(0.95 * near));
}

/// Guards the planned stop: what runs is finished, what waits for others goes back, new requests are refused.
#[googletest::test]
fn planned_stop_finishes_what_runs() {
    let world = world_without_second_sends(2, 2, 1);
    let responses: Vec<_> = (0..6)
        .map(|n| world.quick_later(n % 2, world.request(n % 2, None, 5_000)))
        .collect();
    world.sim.run_for(Millis(5));
    let stopping = world.nodes.borrow()[0].clone();
    world.stopping.borrow()[0].set(true);
    let refused = world.quick(0, world.request(0, None, 1_000));
    expect_that!(refused.code, eq(ResultCode::Stopping));
    world.sim.block_on(stopping.stop());
    world.sim.run_for(Millis(1_000));
    for response in responses {
        let code = response.borrow().as_ref().map(|r| r.code);
        expect_that!(code, some(eq(ResultCode::Completed)));
    }
    expect_that!(world.runs(), eq(6));
}

/// World that records violations, for tests that break an invariant on purpose.
fn recording_world(nodes: usize) -> std::rc::Rc<World> {
    let world = World::new(&Options {
        nodes,
        on_violation: OnViolation::Record,
        ..Options::default()
    });
    world.sim.run_for(Millis(600));
    world
}

fn violations(world: &World, node: usize, invariant: Invariant) -> u64 {
    world.cores.borrow()[node].invariants.violations(invariant)
}

/// Breaks at-most-once on purpose: the same request under two keys is sent once and the check fires.
#[googletest::test]
fn at_most_once_fires() {
    let world = recording_world(1);
    let first = world.request(0, Some("a"), 1_000);
    let mut again = world.request(0, Some("b"), 1_000);
    again.id = first.id.clone();
    expect_that!(world.quick(0, first).code, eq(ResultCode::Completed));
    let refused = world.quick(0, again);
    expect_that!(refused.code, not(eq(ResultCode::Completed)));
    expect_that!(world.runs(), eq(1));
    expect_that!(violations(&world, 0, Invariant::AtMostOnce), ge(1));
}

/// Breaks the matching of answers on purpose: a peer's answer to another request is not passed on.
#[googletest::test]
fn own_answer_fires() {
    let world = recording_world(2);
    world.confuse_answers.set(true);
    let response = world.quick(1, world.request(1, None, 1_000));
    expect_that!(response.code.number(), ge(1_000).and(lt(3_000)));
    expect_that!(violations(&world, 1, Invariant::OwnAnswer), ge(1));
}

/// Breaks a refusal on purpose: "not run" after a send becomes "may have run".
#[googletest::test]
fn truthful_refusal_fires() {
    let world = recording_world(1);
    world.executors[0].behaviour.set(Behaviour::FalseRefusal);
    let response = world.quick(0, world.request(0, Some("k"), 1_000));
    expect_that!(response.code, eq(ResultCode::AnswerLost));
    expect_that!(violations(&world, 0, Invariant::TruthfulRefusal), eq(1));
}

/// Breaks the planned stop on purpose: a send that never returns is noticed, and the stop ends.
#[googletest::test]
fn graceful_stop_fires() {
    let world = recording_world(1);
    world.executors[0].behaviour.set(Behaviour::Stuck);
    let late = world.quick(0, world.request(0, None, 1_000));
    expect_that!(late.code, eq(ResultCode::DeadlineWhileRunning));
    let requests = world.nodes.borrow()[0].clone();
    world.sim.block_on(requests.stop());
    expect_that!(violations(&world, 0, Invariant::GracefulStop), eq(1));
}

/// Guards the tail: an idempotent request at an executor that stays silent is answered by another one.
#[googletest::test]
fn long_request_is_hedged_within_the_budget() {
    for (retry_percent, expected) in [
        (10, ResultCode::Completed),
        (0, ResultCode::DeadlineWhileRunning),
    ] {
        let world = World::new(&Options {
            executors: 2,
            retry_percent,
            ..Options::default()
        });
        world.executors[0].behaviour.set(Behaviour::Silent);
        world.sim.run_for(Millis(600));
        let responses: Vec<_> = (0..2)
            .map(|_| world.quick_later(0, world.request(0, None, 500)))
            .collect();
        world.sim.run_for(Millis(600));
        expect_that!(world.executors[0].runs.borrow().len(), eq(1));
        let codes: Vec<_> = responses
            .iter()
            .filter_map(|response| response.borrow().as_ref().map(|r| r.code))
            .collect();
        expect_that!(codes, contains(eq(&expected)));
        expect_that!(codes, contains(eq(&ResultCode::Completed)));
    }
}

/// Guards the executors' limit after lost answers: their requests may still run until their deadline.
#[googletest::test]
fn slot_of_a_lost_answer_is_held_until_the_deadline() {
    let world = world_without_second_sends(1, 1, 1);
    world.executors[0].behaviour.set(Behaviour::Lose);
    let lost = world.quick(0, world.request(0, None, 2_000));
    expect_that!(lost.code, eq(ResultCode::AnswerLost));
    world.executors[0].behaviour.set(Behaviour::After(1_000));
    let next = world.quick_later(0, world.request(0, None, 5_000));
    world.sim.run_for(Millis(1_900));
    expect_that!(world.runs(), eq(1));
    world.sim.run_for(Millis(200));
    expect_that!(
        next.borrow().as_ref().map(|r| r.code),
        some(eq(ResultCode::Completed))
    );
}
