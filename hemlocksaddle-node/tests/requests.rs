//! Synchronous requests in a cluster of nodes on the virtual clock.
//!
//! In these tests a request without a key is idempotent. A request with a key is not: it runs at
//! most once, and the key identifies repeats of it.

mod requests_support;

use googletest::prelude::*;
use hemlocksaddle_node::invariant::{Invariant, OnViolation};
use hemlocksaddle_types::{clock::Millis, outcome::ResultCode};
use requests_support::{Behaviour, Options, SimCluster};

/// Basic path: one idempotent request through one node to one executor and back.
#[googletest::test]
fn idempotent_request_is_answered() {
    let cluster = SimCluster::new(&Options::default());
    let response = cluster.execute(0, cluster.request(0, None, 1_000));
    expect_that!(response.code, eq(ResultCode::Completed));
    expect_that!(response.status, eq(200));
    expect_that!(cluster.runs(), eq(1));
}

/// Guards against refusing a request at a node without executors instead of forwarding it.
#[googletest::test]
fn node_without_executors_forwards() {
    let options = Options {
        nodes: 2,
        ..Options::default()
    };
    let cluster = SimCluster::new(&options);
    cluster.sim.run_for(Millis(100));
    let response = cluster.execute(1, cluster.request(1, None, 1_000));
    expect_that!(response.code, eq(ResultCode::Completed));
    expect_that!(cluster.runs(), eq(1));
}

fn cluster(nodes: usize, executors: usize, slots: u32) -> std::rc::Rc<SimCluster> {
    let cluster = SimCluster::new(&Options {
        nodes,
        executors,
        slots,
        ..Options::default()
    });
    cluster.sim.run_for(Millis(600));
    cluster
}

/// Cluster without retries and hedges, so that each request must run exactly once.
fn cluster_without_extra_sends(
    nodes: usize,
    executors: usize,
    slots: u32,
) -> std::rc::Rc<SimCluster> {
    let cluster = SimCluster::new(&Options {
        nodes,
        executors,
        slots,
        retry_percent: 0,
        ..Options::default()
    });
    cluster.sim.run_for(Millis(600));
    cluster
}

/// Guards against exceeding an executor's slots when three nodes receive a burst at once.
#[googletest::test]
fn executor_slots_are_never_exceeded() {
    let cluster = cluster_without_extra_sends(3, 6, 2);
    let responses: Vec<_> = (0..40)
        .map(|n| cluster.spawn_request(n % 3, cluster.request(n % 3, None, 5_000)))
        .collect();
    cluster.sim.run_for(Millis(3_000));
    for response in responses {
        let code = response.borrow().as_ref().map(|r| r.code);
        expect_that!(code, some(eq(ResultCode::Completed)));
    }
    for executor in &cluster.executors {
        expect_that!(executor.peak_in_use.get(), le(2));
    }
    expect_that!(cluster.runs(), eq(40));
}

/// Guards against leaving requests waiting at a busy node while another node is idle.
///
/// Either node may notice first: the busy one forwards, the idle one pulls.
#[googletest::test]
fn waiting_requests_move_to_idle_nodes() {
    let cluster = cluster(2, 2, 1);
    let responses: Vec<_> = (0..6)
        .map(|_| cluster.spawn_request(0, cluster.request(0, None, 5_000)))
        .collect();
    cluster.sim.run_for(Millis(100));
    expect_true!(responses.iter().all(|r| r.borrow().is_some()));
    expect_that!(cluster.executors[1].runs.borrow().len(), ge(2));
}

/// Guards against retrying a non-idempotent request: it may have run although its answer was lost.
///
/// Idempotent requests are retried once, on another executor.
#[googletest::test]
fn lost_answer_is_retried_on_another_executor() {
    let cluster = cluster(1, 2, 8);
    cluster.executors[0].behaviour.set(Behaviour::LoseAnswer);
    cluster.executors[1].behaviour.set(Behaviour::Fixed(1_000));
    for _ in 0..4 {
        let response = cluster.execute(0, cluster.request(0, None, 1_000));
        expect_that!(response.code, eq(ResultCode::Completed));
    }
    expect_that!(cluster.executors[0].runs.borrow().len(), ge(1));
    cluster.sim.run_for(Millis(1_000));
    cluster.executors[1].behaviour.set(Behaviour::LoseAnswer);
    let before = cluster.runs();
    let response = cluster.execute(0, cluster.request(0, Some("k"), 1_000));
    expect_that!(response.code, eq(ResultCode::AnswerLost));
    expect_that!(cluster.runs(), eq(before + 1));
    let repeat = cluster.execute(0, cluster.request(0, Some("k"), 1_000));
    expect_that!(repeat.code, eq(ResultCode::EarlierAttemptUnknown));
    expect_that!(cluster.runs(), eq(before + 1));
}

/// Guards against multiplying the load by retries when every executor fails.
#[googletest::test]
fn extra_sends_stay_within_the_budget() {
    let cluster = cluster(1, 4, 8);
    let mut first_sends = 0;
    for executor in &cluster.executors {
        executor.behaviour.set(Behaviour::LoseAnswer);
    }
    for _ in 0..200 {
        let response = cluster.execute(0, cluster.request(0, None, 1_000));
        if response.code == ResultCode::AnswerLost {
            first_sends += 1;
        }
        cluster.sim.run_for(Millis(100));
    }
    // The budget's reserve of 10 plus 10% of 200 requests.
    expect_that!(cluster.runs(), le(first_sends + 30));
    expect_that!(cluster.runs(), gt(first_sends));
}

/// Guards against running a request again when it is repeated with the same key.
///
/// The request runs only after its intent is logged; repeats receive the recorded response. The
/// same key with another body is refused.
#[googletest::test]
fn repeated_key_returns_the_recorded_response() {
    let cluster = cluster(2, 1, 8);
    let first = cluster.spawn_request(1, cluster.request(1, Some("k"), 2_000));
    cluster.sim.run_for(Millis(10));
    expect_that!(cluster.runs(), eq(0));
    let second = cluster.execute(0, cluster.request(0, Some("k"), 2_000));
    expect_that!(second.code, eq(ResultCode::Completed));
    expect_that!(
        first.borrow().as_ref().map(|r| r.code),
        some(eq(ResultCode::Completed))
    );
    let third = cluster.execute(1, cluster.request(1, Some("k"), 2_000));
    expect_that!(third, eq(&second));
    let mut other = cluster.request(1, Some("k"), 2_000);
    other.body = "another".into();
    expect_that!(cluster.execute(1, other).code, eq(ResultCode::KeyReused));
    expect_that!(cluster.runs(), eq(1));
    cluster.sim.run_for(Millis(1_000));
    expect_that!(cluster.records.borrow().len(), eq(2));
}

/// Guards against sending a request although its intent is not durable.
///
/// Such a request is refused with `LogUnavailable` (1009), which means "not run", so its key can be
/// used again. Idempotent requests need no intent and run during the outage.
#[googletest::test]
fn request_without_a_durable_intent_is_not_run() {
    let cluster = cluster(1, 1, 8);
    cluster.append_outcome_unknown.set(true);
    let refused = cluster.execute(0, cluster.request(0, Some("k"), 1_000));
    expect_that!(refused.code, eq(ResultCode::LogUnavailable));
    cluster.log_up.set(false);
    let refused = cluster.execute(0, cluster.request(0, Some("other"), 1_000));
    expect_that!(refused.code, eq(ResultCode::LogUnavailable));
    expect_that!(refused.retry_after_ms, some(anything()));
    expect_that!(cluster.runs(), eq(0));
    let idempotent = cluster.execute(0, cluster.request(0, None, 1_000));
    expect_that!(idempotent.code, eq(ResultCode::Completed));
    cluster.append_outcome_unknown.set(false);
    cluster.log_up.set(true);
    cluster.sim.run_for(Millis(1_000));
    let repeat = cluster.execute(0, cluster.request(0, Some("k"), 1_000));
    expect_that!(repeat.code, eq(ResultCode::Completed));
    expect_that!(cluster.runs(), eq(2));
}

/// Guards against running a request again when the reply of the queue's owner is lost.
///
/// The entry node repeats the call; the owner recognises the key and returns the same outcome.
#[googletest::test]
fn call_to_the_owner_is_repeated_after_a_lost_reply() {
    let cluster = cluster(2, 2, 8);
    cluster.lose_replies.set(true);
    let responses: Vec<_> = ["a", "b", "c", "d"]
        .iter()
        .map(|key| cluster.spawn_request(0, cluster.request(0, Some(key), 3_000)))
        .collect();
    cluster.sim.run_for(Millis(80));
    cluster.lose_replies.set(false);
    cluster.sim.run_for(Millis(3_000));
    for response in responses {
        let code = response.borrow().as_ref().map(|r| r.code);
        expect_that!(code, some(eq(ResultCode::Completed)));
    }
    expect_that!(cluster.runs(), eq(4));
}

/// Guards against sending new requests to leaving targets.
///
/// If all targets are leaving, the request is refused as "owner unreachable".
#[googletest::test]
fn leaving_target_receives_no_new_requests() {
    let cluster = cluster(1, 2, 8);
    cluster.set_leaving(&[0]);
    for _ in 0..20 {
        let response = cluster.execute(0, cluster.request(0, None, 1_000));
        expect_that!(response.code, eq(ResultCode::Completed));
    }
    expect_that!(cluster.executors[0].runs.borrow().len(), eq(0));
    cluster.set_leaving(&[0, 1]);
    let refused = cluster.execute(0, cluster.request(0, None, 1_000));
    expect_that!(refused.code, eq(ResultCode::OwnerUnreachable));
}

/// Guards against sending a request without a valid ownership lease.
///
/// The node is still the owner according to the log, but its lease is not valid.
#[googletest::test]
fn nothing_is_sent_without_an_ownership_lease() {
    let cluster = cluster(1, 1, 8);
    cluster.leases_valid.set(false);
    let refused = cluster.execute(0, cluster.request(0, None, 500));
    expect_that!(refused.code, eq(ResultCode::OwnerUnreachable));
    expect_that!(cluster.runs(), eq(0));
    cluster.leases_valid.set(true);
    let response = cluster.execute(0, cluster.request(0, None, 500));
    expect_that!(response.code, eq(ResultCode::Completed));
}

/// Guards against routing most requests to a failing executor.
///
/// An executor that fails immediately looks fast. It must receive few requests while it
/// fails and be used again after a successful probe.
#[googletest::test]
fn failing_executors_are_put_into_backoff() {
    for behaviour in [Behaviour::Refuse, Behaviour::Error, Behaviour::WrongId] {
        let cluster = cluster(1, 4, 8);
        cluster.executors[0].behaviour.set(behaviour);
        let completed = (0..200)
            .filter(|_| {
                let response = cluster.execute(0, cluster.request(0, None, 1_000));
                response.code == ResultCode::Completed
            })
            .count();
        expect_that!(completed, ge(190), "{behaviour:?}");
        expect_that!(
            cluster.executors[0].runs.borrow().len(),
            le(12),
            "{behaviour:?}"
        );
        cluster.executors[0].behaviour.set(Behaviour::Fixed(20_000));
        cluster.sim.run_for(Millis(11_000));
        for _ in 0..40 {
            let _ = cluster.execute(0, cluster.request(0, None, 1_000));
        }
        let after = cluster.executors[0].runs.borrow().len();
        expect_that!(
            after,
            ge(8),
            "{behaviour:?}: it is used again after its probe"
        );
    }
}

/// Guards against routing as many requests to a slow executor as to the others.
#[googletest::test]
fn slow_executor_is_avoided() {
    let cluster = cluster(1, 4, 8);
    for executor in &cluster.executors {
        executor.behaviour.set(Behaviour::Exponential(20_000));
    }
    cluster.executors[0]
        .behaviour
        .set(Behaviour::Exponential(60_000));
    for _ in 0..2_000 {
        let _ = cluster.spawn_request(0, cluster.request(0, None, 5_000));
        cluster.sim.run_for(Millis(2));
    }
    let slow = cluster.executors[0].runs.borrow().len();
    expect_that!(slow, le(100));
}

/// Guards against reporting a missed deadline with the wrong result code.
///
/// A request whose deadline passes while it waits has not run; one whose deadline passes after it
/// was sent may have run.
#[googletest::test]
fn deadline_result_depends_on_whether_the_request_started() {
    let cluster = cluster(1, 1, 1);
    cluster.executors[0]
        .behaviour
        .set(Behaviour::Fixed(300_000));
    let running = cluster.spawn_request(0, cluster.request(0, None, 100));
    // Two requests that arrive at the same time may be processed in either order.
    cluster.sim.run_for(Millis(5));
    let waiting = cluster.spawn_request(0, cluster.request(0, None, 90));
    cluster.sim.run_for(Millis(1_000));
    let code = |cell: &std::cell::RefCell<Option<_>>| {
        let response: &Option<hemlocksaddle_types::request::QuickResponse> = &cell.borrow();
        response.as_ref().map(|response| response.code)
    };
    expect_that!(code(&running), some(eq(ResultCode::DeadlineWhileRunning)));
    expect_that!(code(&waiting), some(eq(ResultCode::DeadlineBeforeStart)));
    expect_that!(cluster.runs(), eq(1));
}

/// Sends requests for five seconds at this percentage of the capacity.
///
/// Returns the completed requests as a fraction of the capacity.
fn goodput(percent: u64) -> f64 {
    let cluster = cluster(2, 4, 4);
    for executor in &cluster.executors {
        executor.behaviour.set(Behaviour::Exponential(20_000));
    }
    // 16 slots of 20 ms serve 800 requests a second.
    let gap_us = 125_000 / percent;
    let mut responses = Vec::new();
    let start_us = cluster.sim.now_us();
    for n in 0..(5_000_000 / gap_us) {
        let node = usize::from(n % 2 == 1);
        responses.push(cluster.spawn_request(node, cluster.request(node, None, 250)));
        let until = Millis((start_us + n * gap_us) / 1_000);
        if until > cluster.sim.now() {
            cluster.sim.run_for(Millis(until.0 - cluster.sim.now().0));
        }
    }
    cluster.sim.run_for(Millis(1_000));
    let codes: Vec<ResultCode> = responses
        .iter()
        .filter_map(|r| r.borrow().as_ref().map(|r| r.code))
        .collect();
    expect_that!(codes.len(), eq(responses.len()));
    let good = codes.iter().filter(|code| **code == ResultCode::Completed);
    good.count() as f64 / 4_000.0
}

/// Guards against congestion collapse: goodput at 200% load is at least 95% of that at 95% load.
#[googletest::test]
fn overload_does_not_reduce_goodput() {
    let (near, twice) = (goodput(95), goodput(200));
    expect_that!(near, ge(0.85));
    expect_that!(twice, ge(0.95 * near));
}

/// Guards against aborting requests in a planned stop.
///
/// Requests that are running complete. Requests that a peer forwarded and that still wait for a
/// slot are returned to that peer, their entry node. New requests are refused.
#[googletest::test]
fn planned_stop_completes_running_requests() {
    let cluster = cluster_without_extra_sends(2, 2, 1);
    let responses: Vec<_> = (0..6)
        .map(|n| cluster.spawn_request(n % 2, cluster.request(n % 2, None, 5_000)))
        .collect();
    cluster.sim.run_for(Millis(5));
    let stopping = cluster.nodes.borrow()[0].clone();
    cluster.stopping.borrow()[0].set(true);
    let refused = cluster.execute(0, cluster.request(0, None, 1_000));
    expect_that!(refused.code, eq(ResultCode::Stopping));
    cluster.sim.block_on(stopping.stop());
    cluster.sim.run_for(Millis(1_000));
    for response in responses {
        let code = response.borrow().as_ref().map(|r| r.code);
        expect_that!(code, some(eq(ResultCode::Completed)));
    }
    expect_that!(cluster.runs(), eq(6));
}

/// Cluster that records violations instead of panicking, for tests that provoke them.
fn recording_cluster(nodes: usize) -> std::rc::Rc<SimCluster> {
    let cluster = SimCluster::new(&Options {
        nodes,
        on_violation: OnViolation::Record,
        ..Options::default()
    });
    cluster.sim.run_for(Millis(600));
    cluster
}

fn violations(cluster: &SimCluster, node: usize, invariant: Invariant) -> u64 {
    cluster.cores.borrow()[node]
        .invariants
        .violations(invariant)
}

/// Attempts to violate at-most-once: the same request is repeated under another key.
///
/// The second send is prevented and counted as a violation.
#[googletest::test]
fn second_send_is_prevented_and_counted_as_a_violation() {
    let cluster = recording_cluster(1);
    let first = cluster.request(0, Some("a"), 1_000);
    let mut again = cluster.request(0, Some("b"), 1_000);
    again.id = first.id.clone();
    expect_that!(cluster.execute(0, first).code, eq(ResultCode::Completed));
    let refused = cluster.execute(0, again);
    expect_that!(refused.code, not(eq(ResultCode::Completed)));
    expect_that!(cluster.runs(), eq(1));
    expect_that!(violations(&cluster, 0, Invariant::AtMostOnce), ge(1));
}

/// Attempts to violate own-answer: a peer returns the answer to another request.
///
/// The answer is dropped and counted as a violation.
#[googletest::test]
fn answer_to_another_request_violates_own_answer() {
    let cluster = recording_cluster(2);
    cluster.wrong_answer_ids.set(true);
    let response = cluster.execute(1, cluster.request(1, None, 1_000));
    expect_that!(response.code.number(), ge(1_000).and(lt(3_000)));
    expect_that!(violations(&cluster, 1, Invariant::OwnAnswer), ge(1));
}

/// Attempts to violate truthful-refusal: an executor answers "not run" to a request that was sent.
///
/// The caller is told that the request may have run, and a violation is counted.
#[googletest::test]
fn refusal_after_a_send_violates_truthful_refusal() {
    let cluster = recording_cluster(1);
    cluster.executors[0].behaviour.set(Behaviour::FalseRefusal);
    let response = cluster.execute(0, cluster.request(0, Some("k"), 1_000));
    expect_that!(response.code, eq(ResultCode::AnswerLost));
    expect_that!(violations(&cluster, 0, Invariant::TruthfulRefusal), eq(1));
}

/// Violates graceful-stop on purpose: a send never returns and keeps its slot.
///
/// The stop still ends, after its time limit, and counts a violation.
#[googletest::test]
fn hanging_send_violates_graceful_stop() {
    let cluster = recording_cluster(1);
    cluster.executors[0].behaviour.set(Behaviour::Hang);
    let late = cluster.execute(0, cluster.request(0, None, 1_000));
    expect_that!(late.code, eq(ResultCode::DeadlineWhileRunning));
    let requests = cluster.nodes.borrow()[0].clone();
    cluster.sim.block_on(requests.stop());
    expect_that!(violations(&cluster, 0, Invariant::GracefulStop), eq(1));
}

/// Guards against waiting until the deadline for an executor that does not answer.
///
/// An idempotent request is hedged on another executor. With a retry budget of 0% it is not hedged
/// and ends at its deadline.
#[googletest::test]
fn long_request_is_hedged_within_the_budget() {
    for (retry_percent, expected) in [
        (10, ResultCode::Completed),
        (0, ResultCode::DeadlineWhileRunning),
    ] {
        let cluster = SimCluster::new(&Options {
            executors: 2,
            retry_percent,
            ..Options::default()
        });
        cluster.executors[0].behaviour.set(Behaviour::NeverAnswer);
        cluster.sim.run_for(Millis(600));
        let responses: Vec<_> = (0..2)
            .map(|_| cluster.spawn_request(0, cluster.request(0, None, 500)))
            .collect();
        cluster.sim.run_for(Millis(600));
        expect_that!(cluster.executors[0].runs.borrow().len(), eq(1));
        let codes: Vec<_> = responses
            .iter()
            .filter_map(|response| response.borrow().as_ref().map(|r| r.code))
            .collect();
        expect_that!(codes, contains(eq(&expected)));
        expect_that!(codes, contains(eq(&ResultCode::Completed)));
    }
}

/// Guards against exceeding an executor's slots after an answer was lost.
///
/// The request may still run until its deadline, so its slot is held until then.
#[googletest::test]
fn slot_of_a_lost_answer_is_held_until_the_deadline() {
    let cluster = cluster_without_extra_sends(1, 1, 1);
    cluster.executors[0].behaviour.set(Behaviour::LoseAnswer);
    let lost = cluster.execute(0, cluster.request(0, None, 2_000));
    expect_that!(lost.code, eq(ResultCode::AnswerLost));
    cluster.executors[0].behaviour.set(Behaviour::Fixed(1_000));
    let next = cluster.spawn_request(0, cluster.request(0, None, 5_000));
    cluster.sim.run_for(Millis(1_900));
    expect_that!(cluster.runs(), eq(1));
    cluster.sim.run_for(Millis(200));
    expect_that!(
        next.borrow().as_ref().map(|r| r.code),
        some(eq(ResultCode::Completed))
    );
}
