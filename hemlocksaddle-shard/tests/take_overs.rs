//! Changes of owner beside a store that loses calls, with submissions through all nodes.
//!
//! Load pattern: the store is silent for 0.5 to 2 s, so that reads which were sent meanwhile stay
//! open although later calls are answered. The owner is stopped, killed, suspended or cut off at
//! that time, and submissions go on arriving at the old owner, at its successor and at other nodes.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::{frontend::Submitted, ports::Stream};
use hemlocksaddle_types::{clock::Millis, workflow::State};
use support::{Deployment, Outcome, step};

const NODES: usize = 5;
const WORKERS: usize = 12;

/// Number of seeds of each trouble.
const SEEDS: u64 = 16;

/// Bandwidth of a link that carries the calls to all workers.
const FAST_LINK_KBPS: u32 = 1_000_000;

/// Bandwidth for the calls to two workers, so that the owner has delegates.
const DELEGATING_LINK_KBPS: u32 = 200;

/// Time for an owner to be elected and to choose delegates.
const SETTLE_MS: Millis = Millis(9_000);

/// Changes of owner of each deployment.
const TAKE_OVERS: u64 = 4;

/// Time after which a process that is stopped ends.
const GRACE_MS: u64 = 5_300;

/// Time after its end at which a process starts again.
const RESTART_MS: u64 = 300;

/// Longest time that an answer of the store takes to a node.
const MAX_ANSWER_MS: u64 = 80;

/// Interval between two submissions; longer than a read takes, so that a recovery does not go on
/// reading until the predecessor has ended.
const SUBMIT_INTERVAL_MS: u64 = 90;

/// Time of a change of owner, with submissions.
const LOADED_MS: u64 = 4_500;

/// Time after it, without submissions.
const PAUSE_MS: u64 = 3_000;

/// Time within which all accepted work ends after the last change of owner.
const COMPLETION_MS: Millis = Millis(40_000);

/// Run time of a task; few tasks end during a change of owner, so that an owner which saves their
/// ends does not notice its successor by that.
const RUN_MS: u64 = 2_500;

/// Time for which a run goes on after the order to stop it.
const STOP_MS: u64 = 500;

/// What happens to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Stopped,
    Killed,
    Frozen,
    Cut,
}

/// Something to be done to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    SilenceStore,
    EndSilence,
    LoseClaims,
    RegainClaims,
    Begin(Trouble),
    End,
    Start,
}

/// Deployment with a load, in which the owner changes.
struct Play {
    deployment: Deployment,
    submitted: Vec<(u64, Outcome)>,
    /// Actions that are due, with time in milliseconds and node.
    due: Vec<(u64, usize, Action)>,
}

impl Play {
    fn new(seed: u64, link_kbps: u32) -> Play {
        let deployment = Deployment::without_nodes(seed, WORKERS);
        (0..NODES).for_each(|number| deployment.start_with(number, 0.25, link_kbps));
        deployment.sim.run_for(SETTLE_MS);
        deployment.fleet.run_ms.set(RUN_MS);
        deployment.fleet.stop_ms.set(STOP_MS);
        Play {
            deployment,
            submitted: Vec::new(),
            due: Vec::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.deployment.sim.now().0
    }

    fn below(&self, bound: u64) -> u64 {
        self.deployment.sim.below(bound)
    }

    /// Plans a change of owner beside a silence of the store, with a second one in it if `nested`.
    fn plan_take_over(&mut self, trouble: Trouble, nested: bool) {
        let Some(owner) = self.deployment.owner() else {
            return;
        };
        let (begin_ms, silence_ms) = (self.now_ms() + 50, 500 + self.below(1_500));
        let trouble_ms = begin_ms + self.below(silence_ms + 200);
        for number in 0..NODES {
            if self.deployment.node(number).is_some() {
                let answer = Millis(self.below(MAX_ANSWER_MS));
                self.deployment.set_answer_time(number, answer);
            }
            self.due.push((begin_ms, number, Action::SilenceStore));
            let end_ms = begin_ms + silence_ms;
            self.due.push((end_ms, number, Action::EndSilence));
        }
        // The connection on which the owner reads the claims is silent for longer than the others.
        let regained_ms = trouble_ms + self.below(2 * LOADED_MS);
        self.due.push((begin_ms, owner, Action::LoseClaims));
        self.due.push((regained_ms, owner, Action::RegainClaims));
        self.due.push((trouble_ms, owner, Action::Begin(trouble)));
        if nested {
            let next = (owner + 1 + self.below(NODES as u64 - 1) as usize) % NODES;
            let nested_ms = trouble_ms + 700 + self.below(1_500);
            self.due.push((nested_ms, next, Action::Begin(trouble)));
        }
    }

    fn act(&mut self, number: usize, action: Action) {
        let deployment = &self.deployment;
        let node = deployment.node(number);
        let at_ms = self.now_ms();
        match (action, node) {
            (Action::Start, None) => deployment.start(number),
            (Action::Start, Some(_)) | (_, None) => {}
            (Action::SilenceStore, _) => deployment.set_store_silent(number, true),
            (Action::EndSilence, _) => deployment.set_store_silent(number, false),
            (Action::LoseClaims, _) => {
                deployment.set_stream_silent(number, Some(Stream::Claims));
            }
            (Action::RegainClaims, _) => deployment.set_stream_silent(number, None),
            (Action::Begin(Trouble::Stopped), Some(node)) => {
                node.release();
                self.due.push((at_ms + GRACE_MS, number, Action::End));
            }
            (Action::Begin(Trouble::Killed) | Action::End, _) => {
                deployment.kill(number);
                self.due.push((at_ms + RESTART_MS, number, Action::Start));
            }
            (Action::Begin(Trouble::Frozen), _) => {
                deployment.pause(number, Millis(500 + self.below(3_500)));
            }
            (Action::Begin(Trouble::Cut), _) => {
                deployment.set_store_silent(number, true);
                let until_ms = at_ms + 1_000 + self.below(3_000);
                self.due.push((until_ms, number, Action::EndSilence));
            }
        }
    }

    /// Runs for a time, submits workflows if `loaded`, and carries out what is due.
    fn run(&mut self, duration_ms: u64, loaded: bool) {
        let until_ms = self.now_ms() + duration_ms;
        while self.now_ms() < until_ms {
            let now_ms = self.now_ms();
            let (due, later) = std::mem::take(&mut self.due)
                .into_iter()
                .partition(|&(at_ms, ..)| at_ms <= now_ms);
            self.due = later;
            for (_, number, action) in due {
                self.act(number, action);
            }
            if loaded {
                let id = self.submitted.len() as u64 + 1;
                let at = self.below(NODES as u64) as usize;
                let deployment = &self.deployment;
                let outcome = deployment.submit_in_background(at, id, vec![step(1)]);
                self.submitted.push((id, outcome));
            }
            self.deployment.sim.run_for(Millis(SUBMIT_INTERVAL_MS));
        }
    }

    /// Checks that no task ran twice and that all accepted work has ended.
    fn check(&self, label: &str) {
        self.deployment.sim.run_for(COMPLETION_MS);
        let violations = self.deployment.fleet.violations.borrow().clone();
        expect_that!(violations, is_empty(), "{label}");
        let at = self.deployment.owner().expect("owner");
        let accepted = self
            .submitted
            .iter()
            .filter(|(_, outcome)| outcome.get() == Some(Submitted::Accepted));
        let unfinished: Vec<u64> = accepted
            .map(|&(id, _)| id)
            .filter(|&id| {
                let ended = self.deployment.wait_for_end(at, id, Millis(1_000));
                ended != Some(State::Completed)
            })
            .collect();
        expect_that!(unfinished, is_empty(), "{label}");
    }
}

fn play(trouble: Trouble, nested: bool, link_kbps: u32) {
    for seed in 1..=SEEDS {
        let mut play = Play::new(seed, link_kbps);
        for _ in 0..TAKE_OVERS {
            play.plan_take_over(trouble, nested);
            play.run(LOADED_MS, true);
            play.run(PAUSE_MS, false);
        }
        play.check(&format!("{trouble:?}, seed {seed}"));
    }
}

/// Number of submissions during one change of owner.
const SUBMISSIONS: u64 = 12;

/// Time that an answer of the store takes to a slow successor.
const SLOW_ANSWER_MS: Millis = Millis(60);

/// Guards against a successor that starts a task which its predecessor has started after the
/// successor's last read of the submissions: the predecessor does not see the claim, because its
/// read of the claims is lost, and stores and starts submissions until a worker refuses it.
#[gtest]
fn a_successor_starts_no_task_of_a_submission_that_its_predecessor_has_started() {
    for seed in 1..=20 {
        let deployment = Deployment::new(seed, 3, WORKERS);
        deployment.wait_for_owner();
        deployment.fleet.run_ms.set(RUN_MS);
        deployment.fleet.stop_ms.set(STOP_MS);
        let owner = deployment.owner().expect("owner");
        let others = (0..3).filter(|&number| number != owner);
        others.for_each(|number| deployment.set_answer_time(number, SLOW_ANSWER_MS));
        deployment.set_stream_silent(owner, Some(Stream::Claims));
        deployment.sim.run_for(Millis(37 * seed));
        deployment.node(owner).expect("node").release();
        let mut outcomes = Vec::new();
        for id in 1..=SUBMISSIONS {
            outcomes.push(deployment.submit_in_background(owner, id, vec![step(1)]));
            deployment.sim.run_for(Millis(SUBMIT_INTERVAL_MS));
        }
        deployment.sim.run_for(Millis(10_000));
        let accepted = outcomes
            .iter()
            .filter(|outcome| outcome.get() == Some(Submitted::Accepted))
            .count();
        // The node does not learn who its successor is, and refuses some.
        expect_that!(accepted, ge(SUBMISSIONS as usize / 2), "seed {seed}");
        let violations = deployment.fleet.violations.borrow();
        expect_that!(*violations, is_empty(), "seed {seed}");
        expect_that!(
            deployment.fleet.starts(),
            eq(accepted as u64),
            "seed {seed}"
        );
    }
}

/// Guards against two runs of a task when an owner stops that does not see its successor's claim.
#[gtest]
fn no_task_runs_twice_when_its_owner_stops() {
    play(Trouble::Stopped, false, FAST_LINK_KBPS);
}

/// Guards against two runs of a task when the owner's process is killed.
#[gtest]
fn no_task_runs_twice_when_its_owner_is_killed() {
    play(Trouble::Killed, false, FAST_LINK_KBPS);
}

/// Guards against two runs of a task when the owner is suspended and goes on with orders of its old term.
#[gtest]
fn no_task_runs_twice_when_its_owner_is_frozen() {
    play(Trouble::Frozen, false, FAST_LINK_KBPS);
}

/// Guards against two runs of a task when the owner is cut off from the store and still reaches the workers.
#[gtest]
fn no_task_runs_twice_when_its_owner_is_cut_off() {
    play(Trouble::Cut, false, FAST_LINK_KBPS);
}

/// Guards against two runs of a task when a successor is replaced before it has recovered.
#[gtest]
fn no_task_runs_twice_in_a_take_over_within_a_take_over() {
    play(Trouble::Stopped, true, FAST_LINK_KBPS);
    play(Trouble::Cut, true, FAST_LINK_KBPS);
}

/// Guards against two runs of a task when delegates still carry out orders of the old term.
#[gtest]
fn no_task_runs_twice_beside_delegates_of_the_old_owner() {
    play(Trouble::Stopped, false, DELEGATING_LINK_KBPS);
    play(Trouble::Frozen, false, DELEGATING_LINK_KBPS);
}
