//! Caps of tenants while owners fail.
//!
//! Load: a tenant sends several times what its cap lets run, beside one below its cap, on workers that have room for
//! both. The owner is killed while the cap is in full use; some workers cannot be reached by the
//! next one at first, and go on running what they have.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{State, Step},
};
use support::{Deployment, Outcome, step};

const NODES: usize = 4;
const WORKERS: usize = 8;

/// Caps in tasks; the workers have room for 64.
const CAPS: [(&str, u64); 2] = [("large", 20), ("small", 12)];

/// Run time of a task; runs of the predecessor go on while its successor starts work.
const RUN_MS: u64 = 5_000;

/// Interval at which workflows are submitted.
const SUBMIT_INTERVAL_MS: u64 = 150;

/// Time within which all accepted work ends.
const COMPLETION_MS: Millis = Millis(90_000);

/// What goes wrong beside the loss of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Nothing.
    None,
    /// Two workers cannot be reached for 5 s.
    UnreachableWorkers,
    /// Every third answer to a start is lost.
    LostAnswers,
    /// Stopped runs go on for 800 ms.
    SlowStops,
}

struct Play {
    deployment: Deployment,
    submitted: Vec<(u64, Outcome)>,
}

impl Play {
    fn new(seed: u64) -> Play {
        let deployment = Deployment::without_nodes(seed, WORKERS);
        deployment.configure_tenants(&CAPS);
        (0..NODES).for_each(|number| deployment.start(number));
        deployment.wait_for_owner();
        deployment.fleet.run_ms.set(RUN_MS);
        Play {
            deployment,
            submitted: Vec::new(),
        }
    }

    /// Submits to a node that is there for a time: the large tenant several times what its cap lets end.
    fn load(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / SUBMIT_INTERVAL_MS {
            let at = (0..NODES).find(|&node| self.deployment.node(node).is_some());
            let dependent = Step {
                depends_on: vec![0],
                ..step(2)
            };
            let id = self.submitted.len() as u64 + 1;
            let (tenant, steps) = match id % 5 {
                0 => ("small", vec![step(1)]),
                _ => ("large", vec![step(1), dependent]),
            };
            let node = at.expect("node");
            let outcome = self
                .deployment
                .submit_of_in_background(tenant, node, id, steps);
            self.submitted.push((id, outcome));
            self.deployment.sim.run_for(Millis(SUBMIT_INTERVAL_MS));
        }
    }

    fn check(&self, what: &str) {
        for (id, outcome) in &self.submitted {
            if outcome.get() == Some(Submitted::Accepted) {
                let node = (0..NODES).find(|&node| self.deployment.node(node).is_some());
                let ended = self
                    .deployment
                    .wait_for_end(node.expect("node"), *id, COMPLETION_MS);
                let is_final = any![eq(State::Completed), eq(State::Cancelled)];
                expect_that!(ended, some(is_final), "{what}: workflow {id}");
            }
        }
        let fleet = &self.deployment.fleet;
        expect_that!(*fleet.violations.borrow(), is_empty(), "{what}");
        expect_that!(
            fleet.peak_of("large"),
            eq(20),
            "{what}: the cap is in full use"
        );
    }
}

/// Kills the owner while the large tenant's cap is in full use.
fn play_take_over(seed: u64, trouble: Trouble) {
    let what = format!("seed {seed}, {trouble:?}");
    let mut play = Play::new(seed);
    if trouble == Trouble::LostAnswers {
        play.deployment.fleet.lose_answer_every.set(3);
    }
    play.load(4_000 + 130 * seed);
    let fleet = play.deployment.fleet.clone();
    expect_that!(fleet.running_of("large"), ge(14), "{what}");
    if trouble == Trouble::SlowStops {
        fleet.stop_ms.set(800);
        let running = play.submitted.len() as u64;
        for id in (1..running).step_by(3) {
            play.deployment.cancel(0, id);
        }
    }
    let is_cut = trouble == Trouble::UnreachableWorkers;
    (0..2).for_each(|number| fleet.set_unreachable(number, is_cut));
    let owner = play.deployment.owner().expect("owner");
    play.deployment.kill(owner);
    play.load(5_000);
    (0..2).for_each(|number| fleet.set_unreachable(number, false));
    play.deployment.start(owner);
    play.load(2_000);
    play.check(&what);
}

/// Guards against a successor that starts new work of a tenant beside the runs of its predecessor, which it does
/// not know yet.
#[gtest]
fn caps_hold_when_the_owner_is_killed() {
    for seed in 1..=6 {
        play_take_over(seed, Trouble::None);
        play_take_over(seed, Trouble::UnreachableWorkers);
    }
}

/// Guards against starts whose answers were lost, or runs that are being stopped, which only the
/// predecessor knew of.
#[gtest]
fn caps_hold_through_lost_answers_and_slow_stops() {
    for seed in 1..=6 {
        play_take_over(seed, Trouble::LostAnswers);
        play_take_over(seed, Trouble::SlowStops);
    }
}

/// Guards against metrics of tenants that are missing, or that grow with the number of tenants.
#[gtest]
fn metrics_of_tenants_have_a_bounded_number_of_labels() {
    let deployment = Deployment::without_nodes(1, WORKERS);
    let names: Vec<String> = (0..100).map(|number| format!("t{number}")).collect();
    let tenants: Vec<_> = names.iter().map(|name| (name.as_str(), 3)).collect();
    deployment.configure_tenants(&tenants);
    deployment.start(0);
    deployment.wait_for_owner();
    deployment.fleet.run_ms.set(5_000);
    for (id, name) in (1..).zip(&names[..40]) {
        let accepted = deployment.submit_of(name, 0, id, vec![step(4)]);
        expect_that!(accepted, eq(Submitted::Accepted));
    }
    deployment.sim.run_for(Millis(2_000));
    let node = deployment.node(0).expect("node");
    let text = String::from_utf8(node.metrics_text().expect("metrics")).expect("text");
    let lines = |name: &str| {
        let lines = text
            .lines()
            .filter(|line| line.starts_with(&format!("{name}{{")));
        let value = |line: &str| {
            line.rsplit(' ')
                .next()
                .and_then(|value| value.parse::<u64>().ok())
        };
        lines
            .map(|line| value(line).expect("value"))
            .collect::<Vec<_>>()
    };
    let used = lines("shard_tenant_used_cpu_milli");
    expect_that!(used.len(), eq(22));
    expect_that!(used.iter().sum::<u64>(), eq(64_000));
    expect_that!(
        lines("shard_tenant_waiting_tasks").iter().sum::<u64>(),
        eq(96)
    );
    expect_that!(lines("shard_tenant_cap_cpu_milli").len(), eq(20));
}
