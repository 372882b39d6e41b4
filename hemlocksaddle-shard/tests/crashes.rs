//! Tasks that crash their workers, and workers whose capacity changes, while nodes fail.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::{StateLookup, Submitted};
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Failure, State, WorkflowId},
};
use support::{Deployment, step};

/// Workflow whose task crashes each worker that starts it.
const DEADLY: u64 = 1;

/// Sound workflows.
const SOUND: std::ops::RangeInclusive<u64> = 2..=9;

/// Largest number of starts of a task that crashes its workers: two after three crashes.
const MAX_STARTS: u64 = 5;

/// Longest time until the deadly workflow is given up and the others are completed.
const TIMEOUT_MS: Millis = Millis(60_000);

/// Submits a deadly workflow and sound ones.
fn submit(deployment: &Deployment) {
    deployment
        .fleet
        .deadly
        .borrow_mut()
        .insert(WorkflowId(DEADLY));
    for id in std::iter::once(DEADLY).chain(SOUND) {
        let tasks = if id == DEADLY { 1 } else { 4 };
        let accepted = deployment.submit(0, id, vec![step(tasks)]);
        assert_that!(accepted, eq(Submitted::Accepted));
    }
}

/// Checks that the deadly workflow was given up in time, and that all others are completed.
fn expect_given_up(deployment: &Deployment, what: &str) {
    let ended = deployment.wait_for_end(0, DEADLY, TIMEOUT_MS);
    expect_that!(ended, some(eq(State::Failed)), "{what}");
    for id in SOUND {
        let ended = deployment.wait_for_end(0, id, TIMEOUT_MS);
        expect_that!(ended, some(eq(State::Completed)), "{what}: workflow {id}");
    }
    let crashes = deployment.fleet.crashes.borrow();
    expect_that!(
        crashes.values().copied().max(),
        some(le(MAX_STARTS)),
        "{what}"
    );
    expect_that!(*deployment.fleet.violations.borrow(), is_empty(), "{what}");
}

/// Guards against a workflow that is shown as failed at some node without the reason.
#[gtest]
fn a_workflow_that_was_given_up_says_why_at_every_node() {
    let deployment = Deployment::new(1, 3, 8);
    deployment.wait_for_owner();
    submit(&deployment);
    expect_given_up(&deployment, "no node fails");
    let crashes = deployment.fleet.crashes.borrow();
    let crashes = crashes.values().sum::<u64>() as usize;
    for node in 0..3 {
        let StateLookup::Failed(Some(failure)) = deployment.state(node, DEADLY) else {
            panic!("node {node} does not know why the workflow failed");
        };
        expect_that!(
            *failure,
            matches_pattern!(Failure::Crashes {
                workers: len(eq(crashes)),
                ..
            })
        );
    }
}

/// Guards against an owner's knowledge of crashes that ends with its process.
#[gtest]
fn crashes_are_known_after_the_owner_is_killed() {
    for seed in 1..=24 {
        let deployment = Deployment::new(seed, 4, 8);
        deployment.wait_for_owner();
        submit(&deployment);
        deployment.sim.run_for(Millis(290 * seed));
        let owner = deployment.owner().expect("owner");
        deployment.kill(owner);
        deployment.start(owner);
        expect_given_up(&deployment, &format!("seed {seed}"));
    }
}

/// Guards against knowledge of crashes that no node has after all of them were restarted.
#[gtest]
fn crashes_are_known_after_all_nodes_are_restarted() {
    for seed in 1..=24 {
        let deployment = Deployment::new(seed, 3, 8);
        deployment.wait_for_owner();
        submit(&deployment);
        deployment.sim.run_for(Millis(290 * seed));
        (0..3).for_each(|node| deployment.kill(node));
        deployment.sim.run_for(Millis(1_000));
        (0..3).for_each(|node| deployment.start(node));
        expect_given_up(&deployment, &format!("seed {seed}"));
    }
}

/// Guards against crashes that are missed because the answer to the start was lost.
#[gtest]
fn crashes_are_known_although_answers_are_lost() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 8);
        deployment.wait_for_owner();
        deployment.fleet.lose_answer_every.set(2);
        submit(&deployment);
        expect_given_up(&deployment, &format!("seed {seed}"));
    }
}

/// Guards against crashes that are missed because a delegate made the call, which is then killed.
#[gtest]
fn crashes_are_known_although_a_delegate_is_killed() {
    for seed in 1..=10 {
        let deployment = Deployment::without_nodes(seed, 12);
        (0..6).for_each(|number| deployment.start_with(number, 0.25, 200));
        deployment.sim.run_for(Millis(9_000));
        let owner = deployment.owner().expect("owner");
        (0..6).for_each(|node| {
            deployment.fleet.take_calls(node);
        });
        submit(&deployment);
        deployment.sim.run_for(Millis(500 * seed));
        let called = |&node: &usize| node != owner && deployment.fleet.take_calls(node) > 0;
        let delegate = (0..6).find(called).expect("delegate");
        deployment.kill(delegate);
        deployment.start_with(delegate, 0.25, 200);
        expect_given_up(&deployment, &format!("seed {seed}"));
    }
}

/// Load pattern: a share of the workflows crash their workers, the node that called the workers last
/// is killed meanwhile, and a part of the workers shrinks. Guards against deadly tasks that hide
/// behind each other, behind the change of caller, or behind workers that take fewer tasks.
#[gtest]
fn any_share_of_deadly_workflows_is_given_up_while_callers_are_killed_and_workers_shrink() {
    const WORKFLOWS: u64 = 20;
    for seed in 1..=12 {
        let deployment = Deployment::without_nodes(seed, 12);
        (0..6).for_each(|number| deployment.start_with(number, 0.25, 200));
        deployment.sim.run_for(Millis(9_000));
        assert_that!(deployment.owner(), some(anything()), "seed {seed}");
        let deadly = [1, 2, 6][seed as usize % 3];
        deployment
            .fleet
            .deadly
            .borrow_mut()
            .extend((1..=deadly).map(WorkflowId));
        let at_ms = 300 + deployment.sim.below(4_000);
        let shrunk = 1 + deployment.sim.below(12) as usize;
        for id in 1..=WORKFLOWS {
            let tasks = if id <= deadly { 1 } else { 3 };
            let accepted = deployment.submit(0, id, vec![step(tasks)]);
            assert_that!(accepted, eq(Submitted::Accepted));
            deployment.sim.run_for(Millis(40));
        }
        (0..shrunk).for_each(|worker| deployment.fleet.set_capacity(worker, 4_400));
        deployment.sim.run_for(Millis(at_ms));
        (0..6).for_each(|node| {
            deployment.fleet.take_calls(node);
        });
        deployment.sim.run_for(Millis(50));
        // Workflows are looked up at node 0.
        let caller = (1..6).max_by_key(|&node| deployment.fleet.take_calls(node));
        let caller = caller.expect("node");
        deployment.kill(caller);
        deployment.start_with(caller, 0.25, 200);
        deployment.sim.run_for(Millis(4_000));
        (0..shrunk).for_each(|worker| deployment.fleet.set_capacity(worker, 8_000));
        for id in 1..=WORKFLOWS {
            let expected = if id <= deadly {
                State::Failed
            } else {
                State::Completed
            };
            let ended = deployment.wait_for_end(0, id, TIMEOUT_MS);
            expect_that!(ended, some(eq(expected)), "seed {seed}: workflow {id}");
        }
        let crashes = deployment.fleet.crashes.borrow();
        let most = crashes.values().copied().max();
        expect_that!(most, some(le(MAX_STARTS)), "seed {seed}");
        let violations = deployment.fleet.violations.borrow();
        expect_that!(*violations, is_empty(), "seed {seed}");
    }
}

/// Guards against blame for crashes without a cause among the tasks, while the owner is killed.
#[gtest]
fn sound_workflows_are_completed_although_workers_crash() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 8);
        deployment.wait_for_owner();
        for id in SOUND {
            let accepted = deployment.submit(0, id, vec![step(4)]);
            assert_that!(accepted, eq(Submitted::Accepted));
        }
        for wave in 0..4 {
            deployment.sim.run_for(Millis(200 * seed));
            (0..3).for_each(|number| deployment.fleet.crash((wave + 2 * number) % 8));
            if wave == 1 {
                let owner = deployment.owner().expect("owner");
                deployment.kill(owner);
                deployment.start(owner);
            }
            deployment.sim.run_for(Millis(3_300));
        }
        for id in SOUND {
            let ended = deployment.wait_for_end(0, id, TIMEOUT_MS);
            expect_that!(ended, some(eq(State::Completed)), "seed {seed}: {id}");
        }
    }
}

/// Load pattern: full fleet whose workers lose and regain most of their capacity, and start what
/// does not fit. Guards against starts beyond a capacity that has shrunk, in particular by a new
/// owner and while the store cannot be read.
#[gtest]
fn starts_stay_within_a_capacity_that_shrinks_and_grows() {
    for seed in 1..=10 {
        let deployment = Deployment::new(seed, 3, 4);
        deployment.fleet.unguarded.set(true);
        deployment.wait_for_owner();
        for id in 1..=30 {
            let accepted = deployment.submit(0, id, vec![step(8)]);
            assert_that!(accepted, eq(Submitted::Accepted));
        }
        let mut rejected = 0;
        for change in 0..8 {
            for number in 0..4 {
                let milli = 1_000 + 1_000 * deployment.sim.below(8);
                deployment.fleet.set_capacity(number, milli);
            }
            let owner = deployment.owner();
            match (change, owner) {
                (2, Some(owner)) => {
                    deployment.kill(owner);
                    deployment.start(owner);
                }
                (4, Some(owner)) => {
                    rejected = owner;
                    deployment.reject_store_calls(owner);
                }
                (5, _) => {
                    deployment.kill(rejected);
                    deployment.start(rejected);
                }
                (6, _) => deployment.store.down.set(true),
                (7, _) => deployment.store.down.set(false),
                _ => {}
            }
            deployment.sim.run_for(Millis(3_000 + 400 * seed));
        }
        (0..4).for_each(|number| deployment.fleet.set_capacity(number, 8_000));
        for id in 1..=30 {
            let ended = deployment.wait_for_end(0, id, TIMEOUT_MS);
            expect_that!(ended, some(eq(State::Completed)), "seed {seed}: {id}");
        }
        expect_that!(
            *deployment.fleet.violations.borrow(),
            is_empty(),
            "seed {seed}"
        );
    }
}
