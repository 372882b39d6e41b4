//! How long the work of lost workers waits while the owner of its shard changes, once or several times.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::frontend::Submitted;
use hemlocksaddle_types::{clock::Millis, workflow::Step};
use support::{Deployment, LEASE_MS, kept_lines, kept_lines::lines_of, step};

/// Number of nodes, of which up to three own the shard in turn.
const NODES: usize = 5;

/// Tasks that run when the first worker is lost.
const TASKS: u32 = 12;

/// Time from the loss of a worker until a renewal names it: a report request of 1 s that is still answered, one
/// without an answer with its timeout of 0.6 s, and the interval of renewals.
const NAMED_AFTER_MS: Millis = Millis(3_500);

/// Time from the end of a worker's lease until the owner takes it as certain: a renewal that was sent after the loss,
/// within a report request of 1 s, a clock that is 2% slow, and a margin.
const LEASE_MARGIN_MS: u64 = 1_000 + LEASE_MS * 2 / 98 + 60 + 10;

/// What each further owner adds: 3% of what is left, and a margin.
const PER_OWNER_MS: u64 = LEASE_MS * 3 / 100 + 100;

/// The same, where up to 8 s are left.
const FURTHER_OWNER_MS: u64 = (2_000 + LEASE_MS) * 3 / 100 + 100;

/// Time of a start: a plan, the order and an answer.
const START_MS: u64 = 250;

/// Way in which an owner ends.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Stopped,
    Killed,
}

/// Work of lost workers.
struct Lost {
    deployment: Deployment,
    /// Worker that was lost.
    worker: usize,
    /// Number of tasks that ran on it.
    tasks: u64,
    /// End of its lease.
    lease_until: Millis,
    /// Nodes that have owned the shard.
    owners: Vec<usize>,
}

/// Starts long-running tasks on three workers, and loses the worker that has most of them.
fn lose_worker(seed: u64) -> Lost {
    let deployment = Deployment::new(seed, NODES, 3);
    deployment.fleet.run_ms.set(100_000);
    deployment.wait_for_owner();
    let owner = deployment.owner().expect("owner");
    let long_running = Step {
        long_running: true,
        ..step(TASKS)
    };
    let accepted = deployment.submit((owner + 1) % NODES, 1, vec![long_running]);
    assert_that!(accepted, eq(Submitted::Accepted));
    deployment.sim.run_for(Millis(1_000 + 67 * seed));
    let fleet = &deployment.fleet;
    assert_that!(fleet.starts(), eq(u64::from(TASKS)), "seed {seed}");
    let worker = (0..3).max_by_key(|&number| fleet.running_on(number));
    let worker = worker.expect("worker");
    let tasks = fleet.running_on(worker) as u64;
    fleet.set_unreachable(worker, true);
    Lost {
        worker,
        tasks,
        lease_until: fleet.lease_until(worker),
        owners: vec![owner],
        deployment,
    }
}

impl Lost {
    /// Ends the owner and runs until another node owns the shard.
    fn change_owner(&mut self, ending: Ending) {
        let owner = *self.owners.last().expect("owner");
        match ending {
            Ending::Stopped => self.deployment.node(owner).expect("node").release(),
            Ending::Killed => self.deployment.kill(owner),
        }
        self.await_successor();
    }

    fn await_successor(&mut self) {
        for _ in 0..1_000 {
            let owns = |number: &usize| {
                let node = self.deployment.node(*number);
                !self.owners.contains(number) && node.is_some_and(|node| node.owned() > 0)
            };
            if let Some(successor) = (0..NODES).find(owns) {
                return self.owners.push(successor);
            }
            self.deployment.sim.run_for(Millis(10));
        }
        panic!("no successor");
    }

    /// Runs until the lost tasks run again; returns the time.
    fn run_again_at(&self) -> Millis {
        let (sim, fleet) = (&self.deployment.sim, &self.deployment.fleet);
        let until = sim.now() + Millis(30_000);
        while fleet.starts() < u64::from(TASKS) + self.tasks && sim.now() < until {
            sim.run_for(Millis(10));
        }
        expect_that!(*fleet.violations.borrow(), is_empty());
        sim.now()
    }

    /// Latest time at which the lost tasks may run again, if the first owner has named their worker.
    fn due(&self) -> Millis {
        let owners = self.owners.len() as u64 - 1;
        self.lease_until + Millis(LEASE_MARGIN_MS + owners * PER_OWNER_MS + START_MS)
    }

    /// The same, if the first owner ended at `changed_at` without having named their worker: all its leases end
    /// within a full one and 2 s after its last renewal.
    fn due_unnamed(&self, changed_at: Millis) -> Millis {
        let further_owners = self.owners.len() as u64 - 2;
        let wait_ms = (2_000 + LEASE_MS) * 103 / 100 + 100;
        changed_at + Millis(wait_ms + further_owners * FURTHER_OWNER_MS + START_MS)
    }
}

/// Load pattern: a worker is lost, and 3.5 s later one, two or three owners in turn, 300 ms apart. Guards against
/// work that waits for a lease of which an owner knew the end, and against a wait that begins anew with each owner.
#[gtest]
fn work_of_a_lost_worker_runs_again_when_its_lease_has_expired_whoever_owns_the_shard() {
    for seed in 1..=8 {
        for owners in 1..=3 {
            for ending in [Ending::Stopped, Ending::Killed] {
                let mut lost = lose_worker(seed);
                lost.deployment.sim.run_for(NAMED_AFTER_MS);
                for _ in 0..owners {
                    lost.change_owner(ending);
                    lost.deployment.sim.run_for(Millis(300));
                }
                // A killed owner is noticed and replaced after the lease has ended.
                let due = lost.due().max(lost.deployment.sim.now() + Millis(START_MS));
                let at = lost.run_again_at();
                expect_that!(at, le(due), "seed {seed}, {owners} owners {ending:?}");
            }
        }
    }
}

/// Load pattern: a worker is lost in the moment in which the owner changes, and one or two more owners follow 3.5 s
/// apart. Guards against a wait for leases of earlier terms that begins anew with each owner, although none of them
/// has reached the worker.
#[gtest]
fn the_wait_for_a_worker_that_no_owner_has_reached_goes_on_with_the_next() {
    for seed in 1..=8 {
        for further in 1..=2 {
            let mut lost = lose_worker(seed);
            let changed_at = lost.deployment.sim.now();
            lost.change_owner(Ending::Stopped);
            for _ in 0..further {
                lost.deployment.sim.run_for(NAMED_AFTER_MS);
                lost.change_owner(Ending::Stopped);
            }
            let due = lost.due_unnamed(changed_at);
            let at = lost.run_again_at();
            expect_that!(at, le(due), "seed {seed}, {further} more owners");
        }
    }
}

/// Load pattern: a worker is lost, its owner is killed, and the successors are killed within 100 ms of their claims.
/// Guards against a wait that begins anew with owners which have granted no lease.
#[gtest]
fn owners_that_are_killed_right_after_their_claim_do_not_prolong_the_wait() {
    for seed in 1..=8 {
        let mut lost = lose_worker(seed);
        let killed_at = lost.deployment.sim.now();
        lost.change_owner(Ending::Killed);
        lost.deployment.sim.run_for(Millis(seed % 3));
        lost.change_owner(Ending::Killed);
        lost.change_owner(Ending::Killed);
        let due = lost.due_unnamed(killed_at);
        let at = lost.run_again_at();
        expect_that!(at, le(due), "seed {seed}");
    }
}

/// Load pattern: a worker that its owner has named answers only this owner again, which has just lost the store or
/// the answers of the store. Guards against a lease of which the successors do not know, and so against two runs.
#[gtest]
fn an_owner_without_the_store_grants_no_lease_to_a_worker_that_it_has_named() {
    for seed in 1..=12 {
        let mut lost = lose_worker(seed);
        let owner = lost.owners[0];
        lost.deployment.sim.run_for(NAMED_AFTER_MS);
        let fleet = &lost.deployment.fleet;
        if seed % 2 == 0 {
            lost.deployment.set_store_silent(owner, true);
        } else {
            lost.deployment.reject_store_calls(owner);
        }
        fleet.set_reachable_by_term(lost.worker, 1);
        fleet.set_unreachable(lost.worker, false);
        if seed % 3 == 0 {
            lost.deployment.pause(owner, Millis(100 * seed));
        }
        lost.await_successor();
        let due = lost.due().max(lost.deployment.sim.now() + Millis(START_MS));
        let at = lost.run_again_at();
        let lease_until = lost.deployment.fleet.lease_until(lost.worker);
        expect_that!(lease_until, eq(lost.lease_until), "seed {seed}");
        expect_that!(at, le(due), "seed {seed}");
    }
}

/// Load pattern: a worker does not answer for 3.5 s, and then answers again. Guards against a healthy worker that
/// keeps being named, loses its lease and with it its tasks.
#[gtest]
fn a_named_worker_that_answers_again_keeps_its_tasks() {
    for seed in 1..=8 {
        let lost = lose_worker(seed);
        lost.deployment.sim.run_for(NAMED_AFTER_MS);
        lost.deployment.fleet.set_unreachable(lost.worker, false);
        lost.deployment.sim.run_for(Millis(10_000));
        let fleet = &lost.deployment.fleet;
        expect_that!(fleet.starts(), eq(u64::from(TASKS)), "seed {seed}");
        expect_that!(fleet.running_on(lost.worker) as u64, eq(lost.tasks));
        expect_that!(*fleet.violations.borrow(), is_empty());
    }
}

/// Load pattern: a worker without a lease answers again during a burst, while the store takes 300 ms. Guards against
/// orders that wait until the worker may get a lease, and are sent although their tasks have started elsewhere.
#[gtest]
fn tasks_of_a_burst_start_once_on_a_worker_that_answers_again() {
    for seed in 1..=8 {
        let deployment = Deployment::new(seed, NODES, 3);
        deployment.fleet.run_ms.set(2_000);
        deployment.wait_for_owner();
        let node = (deployment.owner().expect("owner") + 1) % NODES;
        deployment.fleet.set_unreachable(2, true);
        deployment.sim.run_for(Millis(15_000));
        deployment.store.latency_factor.set(60);
        deployment.fleet.set_unreachable(2, false);
        for id in 1..=20 {
            let accepted = deployment.submit(node, id, vec![step(4)]);
            assert_that!(accepted, eq(Submitted::Accepted), "seed {seed}");
            deployment.sim.run_for(Millis(37));
        }
        deployment.sim.run_for(Millis(60_000));
        let fleet = &deployment.fleet;
        expect_that!(*fleet.violations.borrow(), is_empty(), "seed {seed}");
        expect_that!(fleet.starts(), eq(80), "seed {seed}");
    }
}

/// Load pattern: a worker is lost, and the owner is killed. Guards against a wait of which neither log nor metrics tell
/// for which worker it is, and how long it lasts.
#[gtest]
fn the_wait_for_a_lost_worker_is_logged_and_counted() {
    let mut lost = lose_worker(1);
    kept_lines::keep();
    lost.change_owner(Ending::Killed);
    lost.deployment.sim.run_for(Millis(1_500));
    let successor = *lost.owners.last().expect("owner");
    let metrics = lost
        .deployment
        .node(successor)
        .expect("node")
        .metrics_text();
    let metrics = String::from_utf8(metrics.expect("metrics")).expect("text");
    expect_that!(metrics, contains_substring("shard_awaited_reports 1\n"));
    let no_wait = contains_substring("shard_awaited_reports_seconds 0\n");
    expect_that!(metrics, not(no_wait));
    let is_own = |line: &serde_json::Value| {
        let worker = line["workers"][0]["worker"].as_str();
        worker == Some(&*lost.worker.to_string())
    };
    expect_that!(lines_of(62).iter().any(is_own), eq(true));
    lost.run_again_at();
    lost.deployment.sim.run_for(Millis(1_100));
    expect_that!(lines_of(63), not(is_empty()));
}

/// Load pattern: workers that are lost and answer again, owners that are killed, stopped, paused or cut off from the
/// store, and answers of the store that are lost, in random order for half a minute. Guards against two runs of a
/// task, and against tasks that do not run afterwards.
#[gtest]
fn nothing_runs_twice_while_workers_and_owners_come_and_go() {
    for seed in 1..=30 {
        let lost = lose_worker(seed);
        let (deployment, sim) = (&lost.deployment, &lost.deployment.sim);
        let mut silent = None;
        for _ in 0..40 {
            let worker = sim.below(3) as usize;
            let owner = deployment.owner().unwrap_or(0);
            match sim.below(10) {
                0..=2 => deployment.fleet.set_unreachable(worker, true),
                3..=5 => deployment.fleet.set_unreachable(worker, false),
                6 => {
                    deployment.kill(owner);
                    deployment.start(owner);
                    silent = silent.filter(|&node| node != owner);
                }
                7 => deployment.pause(owner, Millis(300 + sim.below(2_500))),
                8 if silent.is_none() => {
                    deployment.set_store_silent(owner, true);
                    silent = Some(owner);
                }
                8 => deployment.set_store_silent(silent.take().unwrap_or(0), false),
                _ => {
                    let loses = &deployment.store.lose_answers;
                    loses.set(!loses.get());
                }
            }
            sim.run_for(Millis(100 + sim.below(1_300)));
        }
        deployment.store.lose_answers.set(false);
        (0..3).for_each(|number| deployment.fleet.set_unreachable(number, false));
        if let Some(node) = silent {
            deployment.set_store_silent(node, false);
        }
        sim.run_for(Millis(25_000));
        let violations = deployment.fleet.violations.borrow();
        expect_that!(*violations, is_empty(), "seed {seed}");
        let running = deployment.fleet.running();
        expect_that!(running, eq(TASKS as usize), "seed {seed}");
    }
}
