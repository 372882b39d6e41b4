//! End-to-end tests of shards: submission, failover and store outages.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use futures_util::future::join_all;
use googletest::prelude::*;
use hemlocksaddle_shard::{
    frontend::{StateLookup, Submitted},
    ports::Stream,
};
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{State, Step, WorkflowId},
};
use support::{Deployment, step, workflow};

/// Guards against a workflow that one node has accepted and another reports as unknown.
#[gtest]
fn a_workflow_is_accepted_run_and_shown_at_any_node() {
    let deployment = Deployment::new(1, 3, 2);
    deployment.wait_for_owner();
    let second = Step {
        depends_on: vec![0],
        ..step(1)
    };
    expect_that!(
        deployment.submit(0, 7, vec![step(3), second]),
        eq(Submitted::Accepted)
    );
    let ended = deployment.wait_for_end(1, 7, Millis(10_000));
    expect_that!(ended, some(eq(State::Completed)));
    expect_that!(
        deployment.state(2, 7),
        eq(&StateLookup::State(State::Completed))
    );
    expect_that!(deployment.state(2, 8), eq(&StateLookup::NotFound));
    expect_that!(deployment.fleet.starts(), eq(4));
    expect_that!(*deployment.fleet.violations.borrow(), is_empty());
}

/// Guards against a first owner on a slow node although faster nodes started with it.
///
/// The layout is decided seconds after the start. If that time counted towards the claim delay,
/// every node could claim as soon as the layout is known.
#[gtest]
fn the_first_owner_is_one_of_the_fast_nodes() {
    for seed in 1..=20 {
        let deployment = Deployment::without_nodes(seed, 2);
        (0..6).for_each(|number| deployment.start_with_share(number, 0.12));
        (6..8).for_each(|number| deployment.start_with_share(number, 0.5));
        deployment.wait_for_owner();
        expect_that!(deployment.owner(), some(ge(6)), "seed {seed}");
    }
}

/// Guards against a slow node that keeps a shard of many workers after fast nodes have returned,
/// and against work that is lost or repeated during the handover.
#[gtest]
fn a_slow_owner_hands_over_to_a_fast_node() {
    for seed in 1..=10 {
        let deployment = Deployment::without_nodes(seed, 3);
        (0..2).for_each(|number| deployment.start_with_share(number, 0.12));
        deployment.sim.run_for(Millis(8_000));
        expect_that!(deployment.owner(), some(le(1)), "seed {seed}");
        (1..=4).for_each(|id| {
            deployment.submit(0, id, vec![step(4)]);
        });
        deployment.start_with_share(2, 0.5);
        for id in 1..=4 {
            let ended = deployment.wait_for_end(1, id, Millis(20_000));
            expect_that!(ended, some(eq(State::Completed)), "seed {seed}, {id}");
        }
        deployment.sim.run_for(Millis(4_000));
        expect_that!(deployment.owner(), some(eq(2)), "seed {seed}");
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}

/// Guards against a second run of a workflow when its submission is repeated at another node.
#[gtest]
fn a_repeated_submission_runs_once() {
    let deployment = Deployment::new(2, 3, 2);
    deployment.wait_for_owner();
    for node in 0..3 {
        expect_that!(
            deployment.submit(node, 7, vec![step(2)]),
            eq(Submitted::Accepted)
        );
    }
    deployment.wait_for_end(0, 7, Millis(10_000));
    expect_that!(deployment.fleet.starts(), eq(2));
}

/// Guards against work that is lost or repeated when the owner's process is killed.
#[gtest]
fn a_successor_continues_running_workflows_when_the_owner_is_killed() {
    for seed in 1..=20 {
        let deployment = Deployment::new(seed, 3, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        for id in 1..=6 {
            let accepted = deployment.submit(other, id, vec![step(4)]);
            assert_that!(accepted, eq(Submitted::Accepted));
        }
        deployment.sim.run_for(Millis(50 * seed));
        deployment.kill(owner);
        for id in 1..=6 {
            let ended = deployment.wait_for_end(other, id, Millis(30_000));
            assert_that!(
                ended,
                some(eq(State::Completed)),
                "seed {seed}, workflow {id}"
            );
        }
        assert_that!(
            *deployment.fleet.violations.borrow(),
            is_empty(),
            "seed {seed}"
        );
    }
}

/// Maximum time without task starts after the loss of an owner while the store is available
/// (issue 9).
const FAILOVER_TARGET: Millis = Millis(1_500);

fn since(deployment: &Deployment, earlier: Millis) -> Millis {
    Millis(deployment.sim.now().0 - earlier.0)
}

/// Returns the time from the loss of the owner to the first start of a workflow submitted at
/// that moment.
fn time_without_starts(seed: u64, lose: impl Fn(&Deployment, usize)) -> Millis {
    let deployment = Deployment::new(seed, 4, 3);
    deployment.wait_for_owner();
    deployment.sim.run_for(Millis(37 * seed));
    let owner = deployment.owner().expect("owner");
    lose(&deployment, owner);
    let lost_at = deployment.sim.now();
    let accepted = deployment.submit((owner + 1) % 4, 1, vec![step(1)]);
    assert_that!(accepted, eq(Submitted::Accepted), "seed {seed}");
    while deployment.fleet.starts() == 0 {
        assert_that!(since(&deployment, lost_at), lt(Millis(20_000)));
        deployment.sim.run_for(Millis(10));
    }
    since(&deployment, lost_at)
}

/// Guards against a shard that starts no tasks for seconds after its owner is killed, loses power
/// or hangs, while the other nodes and the store are healthy.
#[gtest]
fn a_lost_owner_is_replaced_within_the_target() {
    for seed in 1..=40 {
        let killed = time_without_starts(seed, Deployment::kill);
        expect_that!(killed, lt(FAILOVER_TARGET), "killed, seed {seed}");
        let silent = time_without_starts(seed, |deployment, owner| {
            deployment.pause(owner, Millis(30_000));
        });
        expect_that!(silent, lt(FAILOVER_TARGET), "silent, seed {seed}");
    }
}

/// Guards against a submission that waits, until its caller times out, for an owner that has lost
/// power.
#[gtest]
fn a_submission_is_stored_without_the_owner_if_it_is_silent() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 2);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        deployment.pause(owner, Millis(30_000));
        for id in 1..=3 {
            let sent_at = deployment.sim.now();
            let accepted = deployment.submit((owner + 1) % 3, id, vec![step(1)]);
            expect_that!(accepted, eq(Submitted::Accepted), "seed {seed}");
            let took = since(&deployment, sent_at);
            expect_that!(took, lt(Millis(1_000)), "seed {seed}, workflow {id}");
        }
    }
}

/// Guards against callers that wait until their deadline and then get no outcome, while the store
/// fails every call without an answer. No append is sent for a refused submission, so that its
/// caller can safely retry.
#[gtest]
fn while_the_store_resets_calls_new_submissions_are_refused_at_once() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 2);
        deployment.wait_for_owner();
        deployment.store.reset.set(true);
        deployment.sim.run_for(Millis(1_000));
        for at in 0..3 {
            let sent_at = deployment.sim.now();
            let id = 10 + at as u64;
            let refused = deployment.submit(at, id, vec![step(1)]);
            expect_that!(refused, eq(Submitted::Unavailable), "seed {seed}, {at}");
            let took = since(&deployment, sent_at);
            expect_that!(took, lt(Millis(300)), "seed {seed}, node {at}");
        }
        deployment.store.reset.set(false);
        deployment.sim.run_for(Millis(500));
        let accepted = deployment.submit(0, 1, vec![step(1)]);
        expect_that!(accepted, eq(Submitted::Accepted), "seed {seed}");
        deployment.sim.run_for(Millis(3_000));
        expect_that!(deployment.fleet.starts(), eq(1), "seed {seed}");
    }
}

/// Guards against nodes that all append by themselves while the owner is replaced. A slow store
/// processes three appends per second, so these would saturate the partition and the successor
/// could not read it.
#[gtest]
fn with_a_slow_store_nodes_wait_for_the_successor_of_a_lost_owner() {
    for seed in 1..=5 {
        let deployment = Deployment::new(seed, 20, 3);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        deployment.store.latency_factor.set(85);
        deployment.sim.run_for(Millis(1_500));
        deployment.kill(owner);
        let submissions = (1..=100).map(|id| {
            let at = (owner + 1 + id % 19) % 20;
            let node = deployment.node(at).expect("node");
            let sim = deployment.sim.clone();
            async move {
                sim.sleep(Millis(40 * id as u64)).await;
                let id = WorkflowId(id as u64);
                node.frontend.submit(id, workflow(vec![step(1)])).await
            }
        });
        let outcomes = deployment.sim.block_on(join_all(submissions));
        let after_failover = FAILOVER_TARGET.0 as usize / 40;
        expect_that!(
            outcomes,
            not(contains(eq(&Submitted::Unknown))),
            "seed {seed}"
        );
        expect_that!(
            outcomes[after_failover..],
            each(eq(&Submitted::Accepted)),
            "seed {seed}"
        );
    }
}

/// Guards against concurrent runs of a task because a paused owner continues after it resumes.
#[gtest]
fn a_paused_owner_causes_no_duplicate_run_when_it_resumes() {
    for seed in 1..=20 {
        let deployment = Deployment::new(seed, 3, 3);
        deployment.fleet.lose_answer_every.set(5);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        for id in 1..=6 {
            deployment.submit(
                other,
                id,
                vec![
                    step(3),
                    Step {
                        depends_on: vec![0],
                        ..step(3)
                    },
                ],
            );
        }
        deployment.sim.run_for(Millis(37 * seed));
        deployment.pause(owner, Millis(2_500 + 250 * seed));
        for id in 1..=6 {
            let ended = deployment.wait_for_end(other, id, Millis(40_000));
            assert_that!(
                ended,
                some(eq(State::Completed)),
                "seed {seed}, workflow {id}"
            );
        }
        assert_that!(
            *deployment.fleet.violations.borrow(),
            is_empty(),
            "seed {seed}"
        );
    }
}

/// Guards against a second run, after a failover, of a task that an unreachable worker may still
/// be running.
#[gtest]
fn a_successor_waits_for_a_worker_that_it_cannot_reach() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 2);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        deployment.submit(other, 1, vec![step(8)]);
        deployment.sim.run_for(Millis(100));
        deployment.fleet.set_unreachable(0, true);
        deployment.kill(owner);
        let ended = deployment.wait_for_end(other, 1, Millis(40_000));
        assert_that!(ended, some(eq(State::Completed)), "seed {seed}");
        assert_that!(
            *deployment.fleet.violations.borrow(),
            is_empty(),
            "seed {seed}"
        );
    }
}

/// Guards against late or false refusals while the store is unavailable.
#[gtest]
fn while_the_store_is_unavailable_submissions_are_refused_at_once_and_work_goes_on() {
    let deployment = Deployment::new(3, 3, 2);
    deployment.wait_for_owner();
    deployment.submit(0, 1, vec![step(2)]);
    deployment.sim.run_for(Millis(200));
    deployment.store.down.set(true);
    let asked_at = deployment.sim.now();
    expect_that!(
        deployment.submit(0, 2, vec![step(1)]),
        eq(Submitted::Unavailable)
    );
    expect_that!(deployment.sim.now().0 - asked_at.0, lt(500));
    expect_that!(deployment.fleet.running(), eq(2));
    deployment.sim.run_for(Millis(4_000));
    deployment.store.down.set(false);
    let ended = deployment.wait_for_end(1, 1, Millis(10_000));
    expect_that!(ended, some(eq(State::Completed)));
    expect_that!(deployment.state(1, 2), eq(&StateLookup::NotFound));
    expect_that!(deployment.fleet.starts(), eq(2));
    expect_that!(*deployment.fleet.violations.borrow(), is_empty());
}

/// Guards against refusing a submission whose append was carried out but not answered.
#[gtest]
fn a_submission_whose_append_is_not_answered_is_not_refused() {
    let deployment = Deployment::new(4, 3, 2);
    deployment.wait_for_owner();
    deployment.store.lose_answers.set(true);
    let answer = deployment.submit(0, 1, vec![step(1)]);
    expect_that!(answer, not(eq(Submitted::Unavailable)));
    deployment.store.lose_answers.set(false);
    let ended = deployment.wait_for_end(1, 1, Millis(20_000));
    expect_that!(ended, some(eq(State::Completed)));
}

/// Guards against tasks that keep running after their workflow's cancellation was accepted.
#[gtest]
fn a_cancelled_workflow_stops_everywhere() {
    let deployment = Deployment::new(5, 3, 2);
    deployment.wait_for_owner();
    deployment.submit(
        0,
        1,
        vec![Step {
            long_running: true,
            ..step(4)
        }],
    );
    deployment.sim.run_for(Millis(500));
    expect_that!(deployment.fleet.running(), eq(4));
    expect_that!(deployment.cancel(1, 1), eq(Submitted::Accepted));
    deployment.sim.run_for(Millis(500));
    expect_that!(deployment.fleet.running(), eq(0));
    expect_that!(
        deployment.state(2, 1),
        eq(&StateLookup::State(State::Cancelled))
    );
}

/// Guards against two layouts, when nodes decide it at the same time: nodes with different peer
/// keys cannot reach the owner.
#[gtest]
fn nodes_that_start_together_agree_on_one_layout() {
    for seed in 1..=20 {
        let deployment = Deployment::new(seed, 5, 2);
        deployment.store.worker_read_delay_ms.set(400);
        deployment.wait_for_owner();
        expect_that!(
            deployment.store.record_count(Stream::Claims, "layout"),
            eq(1),
            "seed {seed}"
        );
    }
}

/// Guards against a period without an owner at a planned stop.
#[gtest]
fn a_stopping_owner_continues_until_another_node_has_claimed() {
    let deployment = Deployment::new(6, 3, 2);
    deployment.wait_for_owner();
    let owner = deployment.owner().expect("owner");
    let other = (owner + 1) % 3;
    deployment.node(owner).expect("node").release();
    expect_that!(
        deployment.submit(other, 1, vec![step(2)]),
        eq(Submitted::Accepted)
    );
    deployment.sim.run_for(Millis(2_000));
    let next = deployment.owner().expect("owner");
    expect_that!(next, not(eq(owner)));
    let ended = deployment.wait_for_end(other, 1, Millis(10_000));
    expect_that!(ended, some(eq(State::Completed)));
    expect_that!(*deployment.fleet.violations.borrow(), is_empty());
}

/// Guards against callers that wait until their deadline when they repeatedly call a node that can
/// reach neither the owner nor the store.
#[gtest]
fn an_isolated_node_refuses_at_once() {
    let deployment = Deployment::new(7, 3, 2);
    deployment.wait_for_owner();
    let owner = deployment.owner().expect("owner");
    let other = (owner + 1) % 3;
    // With the owner killed and the store unavailable, no node can take over.
    deployment.store.down.set(true);
    deployment.kill(owner);
    deployment.submit(other, 1, vec![step(1)]);
    deployment.sim.run_for(Millis(500));
    deployment.submit(other, 2, vec![step(1)]);
    let asked_at = deployment.sim.now();
    expect_that!(
        deployment.submit(other, 3, vec![step(1)]),
        eq(Submitted::Unavailable)
    );
    expect_that!(deployment.state(other, 1), eq(&StateLookup::Unavailable));
    expect_that!(deployment.sim.now().0 - asked_at.0, lt(100));
}

/// Guards against an owner that keeps or starts tasks after its ownership lease has expired.
///
/// The store rejects the owner's calls; the owner reaches only one worker and its successor only
/// the other.
#[gtest]
fn an_owner_without_the_store_gives_up_workers_its_successor_cannot_reach() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 2);
        deployment.fleet.run_ms.set(100_000);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let other = (owner + 1) % 3;
        let accepted = deployment.submit(other, 1, vec![step(12)]);
        assert_that!(accepted, eq(Submitted::Accepted));
        deployment.sim.run_for(Millis(300));
        deployment.fleet.set_reachable_by_term(0, 1);
        deployment.fleet.set_reachable_by_term(1, 2);
        deployment.reject_store_calls(owner);
        deployment.sim.run_for(Millis(30_000));
        assert_that!(
            *deployment.fleet.violations.borrow(),
            is_empty(),
            "seed {seed}"
        );
    }
}

/// Load pattern: loss of all nodes, behind slow links. Guards against a state that no successor can
/// read, because its pages take longer than a call to the store may.
#[gtest]
fn a_successor_reads_its_state_over_a_slow_link() {
    let deployment = Deployment::without_nodes(1, 2);
    // 1.4 MB take 5.6 s at 2 Mbit/s.
    let start_all = || {
        for number in 0..3 {
            deployment.start_with(number, 0.25, 2_000);
            deployment.set_page_time(number, Millis(5_600));
        }
    };
    start_all();
    deployment.sim.run_for(Millis(30_000));
    deployment.submit(0, 1, vec![step(4)]);
    (0..3).for_each(|number| deployment.kill(number));
    start_all();
    deployment.sim.run_for(Millis(30_000));
    let ended = deployment.wait_for_end(1, 1, Millis(10_000));
    expect_that!(ended, some(eq(State::Completed)));
    expect_that!(*deployment.fleet.violations.borrow(), is_empty());
}

/// Guards against one malformed record that stops an owner or ends its process: records of other
/// writers, in any stream, before the start and while work runs.
#[gtest]
fn malformed_records_are_left_out() {
    let streams = [Stream::Submissions, Stream::Progress, Stream::Workers];
    let deployment = Deployment::without_nodes(1, 3);
    for stream in streams {
        deployment.store.put_garbage(stream);
    }
    (0..3).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    deployment.submit(0, 1, vec![step(4)]);
    for stream in [Stream::Claims, Stream::Operator]
        .into_iter()
        .chain(streams)
    {
        deployment.store.put_garbage(stream);
    }
    deployment.sim.run_for(Millis(500));
    deployment.submit(1, 2, vec![step(4)]);
    for id in 1..=2 {
        let ended = deployment.wait_for_end(2, id, Millis(20_000));
        expect_that!(ended, some(eq(State::Completed)), "workflow {id}");
    }
    let owner = deployment.owner().expect("owner");
    deployment.kill(owner);
    let other = (owner + 1) % 3;
    deployment.sim.run_for(Millis(4_000));
    expect_that!(
        deployment.submit(other, 3, vec![step(2)]),
        eq(Submitted::Accepted)
    );
    let ended = deployment.wait_for_end(other, 3, Millis(20_000));
    expect_that!(ended, some(eq(State::Completed)));
}
