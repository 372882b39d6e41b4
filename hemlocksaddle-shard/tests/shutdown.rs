//! Requests during the graceful shutdown of a node.
//!
//! Load pattern: callers keep using a node until its process ends, while the store is silent, slow or
//! out of reach of the node, so that requests wait for the store or for an owner.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::{cell::Cell, rc::Rc};

use googletest::prelude::*;
use hemlocksaddle_fakes::runtime::ENVIRONMENT;
use hemlocksaddle_shard::{caller::Caller, frontend::Submitted};
use hemlocksaddle_types::{
    clock::Millis,
    workflow::{State, WorkflowId},
};
use support::{Deployment, Outcome, step};

const NODES: usize = 4;
const WORKERS: usize = 12;

/// Time from the signal to the kill.
const GRACE_MS: Millis = Millis(6_000);

/// Interval between two requests of each kind.
const REQUEST_INTERVAL_MS: Millis = Millis(70);

/// What is wrong with the store.
#[derive(Clone, Copy, Debug)]
enum Store {
    /// Loses all calls for 1.9 s of every 2.9 s.
    Silent,
    /// Loses all calls of the node that stops.
    CutOff,
    /// Answers late.
    Slow,
}

const STORES: [Store; 3] = [Store::Silent, Store::CutOff, Store::Slow];

impl Store {
    /// Applies the fault at a time since the start of the shutdown.
    fn apply(self, deployment: &Deployment, stopping: usize, elapsed_ms: u64) {
        match self {
            Store::Silent => {
                let is_silent = elapsed_ms % 2_900 < 1_900;
                (0..NODES).for_each(|number| deployment.set_store_silent(number, is_silent));
            }
            Store::CutOff => deployment.set_store_silent(stopping, true),
            Store::Slow => deployment.store.latency_factor.set(60),
        }
    }

    fn end(self, deployment: &Deployment) {
        (0..NODES).for_each(|number| deployment.set_store_silent(number, false));
        deployment.store.latency_factor.set(1);
    }
}

/// Requests that were sent to the node that stops.
#[derive(Default)]
struct Requests {
    submissions: Vec<(u64, Outcome)>,
    queries: Vec<Rc<Cell<bool>>>,
}

impl Requests {
    fn send(&mut self, deployment: &Deployment, at: usize) {
        let id = self.submissions.len() as u64 + 1;
        let outcome = deployment.submit_in_background(at, id, vec![step(1)]);
        self.submissions.push((id, outcome));
        let answered = Rc::new(Cell::new(false));
        self.queries.push(answered.clone());
        let node = deployment.node(at).expect("node");
        deployment.sim.spawn(ENVIRONMENT, async move {
            let caller = Caller::default();
            node.frontend.state(WorkflowId(id), &caller).await;
            answered.set(true);
        });
    }

    fn with_outcome(&self, outcome: Option<Submitted>) -> Vec<u64> {
        let with_outcome = self.submissions.iter();
        with_outcome
            .filter(|(_, actual)| actual.get() == outcome)
            .map(|&(id, _)| id)
            .collect()
    }
}

/// Guards against requests that are cut off at the end of the process although it has read them, and
/// against refusals of submissions that run nevertheless.
#[gtest]
fn every_request_is_answered_truly_before_the_process_ends() {
    for (seed, store) in (1..=10).flat_map(|seed| STORES.map(|store| (seed, store))) {
        let deployment = Deployment::new(seed, NODES, WORKERS);
        deployment.wait_for_owner();
        let owner = deployment.owner().expect("owner");
        let stopping = (owner + seed as usize % 2) % NODES;
        deployment.sim.run_for(Millis(37 * seed));
        let shutdown = deployment.node(stopping).expect("node").shut_down(GRACE_MS);
        let begun_at = deployment.sim.now();
        let mut requests = Requests::default();
        let is_over = || {
            let node = deployment.node(stopping).expect("node");
            shutdown.is_over(node.now())
        };
        while !is_over() {
            let elapsed_ms = deployment.sim.now().0 - begun_at.0;
            store.apply(&deployment, stopping, elapsed_ms);
            requests.send(&deployment, stopping);
            deployment.sim.run_for(REQUEST_INTERVAL_MS);
        }
        let label = format!("{store:?}, seed {seed}");
        expect_that!(requests.with_outcome(None), is_empty(), "{label}");
        let unanswered = requests.queries.iter().filter(|answered| !answered.get());
        expect_that!(unanswered.count(), eq(0), "{label}");

        deployment.kill(stopping);
        store.end(&deployment);
        deployment.start(stopping);
        deployment.sim.run_for(Millis(25_000));
        let refused = requests.with_outcome(Some(Submitted::Unavailable));
        let untrue = refused
            .into_iter()
            .filter(|&id| deployment.fleet.has_started(id));
        expect_that!(untrue.collect::<Vec<_>>(), is_empty(), "{label}");
        for id in requests.with_outcome(Some(Submitted::Accepted)) {
            let ended = deployment.wait_for_end(stopping, id, Millis(1_000));
            expect_that!(ended, some(eq(State::Completed)), "{label}: {id}");
        }
        expect_that!(*deployment.fleet.violations.borrow(), is_empty(), "{label}");
    }
}
