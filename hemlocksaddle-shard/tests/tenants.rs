//! Work of tenants in a deployment: who may see and cancel it, and keys that change.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::{rc::Rc, sync::Arc};

use googletest::prelude::*;
use hemlocksaddle_shard::{
    Node,
    caller::Caller,
    frontend::{StateLookup, Submitted},
    ports::Stream,
};
use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    resources::Resources,
    workflow::{Catalogue, KeyDigest, State, Step, Tenant, Workflow, WorkflowId},
};
use support::{Deployment, step, workflow};

/// Time within which a change of the configuration is in force on all nodes.
const CONFIG_APPLY_MS: Millis = Millis(3_000);

const NODES: usize = 3;

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        weight: 1,
        cap: Resources::default(),
    }
}

fn add_tenants(catalogue: &mut Catalogue) {
    catalogue.tenants = vec![tenant("a", &["key-a"]), tenant("b", &["key-b"])];
    let public = hemlocksaddle_types::workflow::Queue {
        name: "public".into(),
        path_prefix: "/p/".into(),
        public: true,
        ..catalogue.queues[0].clone()
    };
    catalogue.queues.push(public);
}

/// Deployment of which the configuration has the tenants a and b and a public queue.
fn deployment(seed: u64, workers: usize) -> Deployment {
    let deployment = Deployment::without_nodes(seed, workers);
    deployment.configure(add_tenants);
    (0..NODES).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    deployment
}

fn node(deployment: &Deployment, at: usize) -> Rc<Node> {
    deployment.node(at).expect("node")
}

/// Identifies a caller at a node; `None` if it is refused.
fn identify(deployment: &Deployment, at: usize, queue: &str, key: Option<&str>) -> Option<Caller> {
    let frontend = &node(deployment, at).frontend;
    let catalogue = frontend.catalogue().expect("configuration");
    let queue = catalogue.queue(queue).expect("queue");
    frontend.identify(queue, key.map(str::as_bytes))
}

fn caller(deployment: &Deployment, at: usize, key: &str) -> Caller {
    identify(deployment, at, "queue", Some(key)).expect("known key")
}

/// Work that waits for good, because no worker has its label.
fn waiting_work(tenant: Option<&str>) -> Workflow {
    let step = Step {
        required_label: Some("none".into()),
        ..step(1)
    };
    Workflow {
        steps: vec![step],
        ..of(tenant, 1)
    }
}

fn of(tenant: Option<&str>, tasks: u32) -> Workflow {
    Workflow {
        tenant: tenant.map(Arc::from),
        ..workflow(vec![step(tasks)])
    }
}

fn submit(deployment: &Deployment, at: usize, id: u64, workflow: Workflow) -> Submitted {
    let node = node(deployment, at);
    let submit = node.frontend.submit(WorkflowId(id), workflow);
    deployment.sim.block_on(submit)
}

fn cancel(deployment: &Deployment, at: usize, id: u64, caller: &Caller) -> Submitted {
    let node = node(deployment, at);
    let cancel = node.frontend.cancel(WorkflowId(id), caller);
    deployment.sim.block_on(cancel)
}

fn state(deployment: &Deployment, at: usize, id: u64, caller: &Caller) -> StateLookup {
    let node = node(deployment, at);
    let state = node.frontend.state(WorkflowId(id), caller);
    deployment.sim.block_on(state)
}

fn waiting(deployment: &Deployment, at: usize, queue: &str, caller: &Caller) -> Option<u32> {
    let node = node(deployment, at);
    let queue = queue.into();
    let waiting = node.frontend.waiting(&queue, caller);
    deployment.sim.block_on(waiting)
}

/// Guards against work of one tenant that another one, or a caller without a key, sees, cancels or counts, on
/// any node and whether it runs or has ended.
#[gtest]
fn a_workflow_of_another_tenant_does_not_exist() {
    let deployment = deployment(1, 3);
    let (a, b) = (
        caller(&deployment, 0, "key-a"),
        caller(&deployment, 0, "key-b"),
    );
    let nobody = identify(&deployment, 0, "public", None).expect("public");
    assert_that!(
        submit(&deployment, 0, 1, waiting_work(Some("a"))),
        eq(Submitted::Accepted)
    );
    assert_that!(
        submit(&deployment, 1, 2, waiting_work(None)),
        eq(Submitted::Accepted)
    );
    for at in 0..NODES {
        for other in [&b, &nobody] {
            expect_that!(state(&deployment, at, 1, other), eq(&StateLookup::NotFound));
            expect_that!(state(&deployment, at, 9, other), eq(&StateLookup::NotFound));
            expect_that!(cancel(&deployment, at, 1, other), eq(Submitted::NotFound));
            expect_that!(cancel(&deployment, at, 9, other), eq(Submitted::NotFound));
        }
        let queued = StateLookup::State(State::Queued);
        expect_that!(state(&deployment, at, 1, &a), eq(&queued));
        // Work without a tenant is open to all callers.
        for caller in [&a, &b, &nobody] {
            expect_that!(state(&deployment, at, 2, caller), eq(&queued));
        }
        let counts = [&a, &b, &nobody].map(|caller| waiting(&deployment, at, "queue", caller));
        expect_that!(counts, eq([Some(1), Some(0), Some(1)]));
    }
    // What had no effect leaves no record that a successor would have to read.
    let keys = deployment.store.live_keys(Stream::Submissions);
    expect_that!(keys, not(contains(starts_with("cancelled/"))));
    expect_that!(cancel(&deployment, 2, 1, &a), eq(Submitted::Accepted));
    deployment.sim.run_for(Millis(5_000));
    expect_that!(
        state(&deployment, 1, 1, &a),
        eq(&StateLookup::State(State::Cancelled))
    );
    expect_that!(state(&deployment, 1, 1, &b), eq(&StateLookup::NotFound));
    let keys = deployment.store.live_keys(Stream::Submissions);
    expect_that!(
        keys.iter().any(|key| key.contains("0000000000000001")),
        eq(false)
    );
}

/// Guards against a successor that shows work to other tenants, or loses a tenant's work or its cancellation.
#[gtest]
fn the_tenant_of_a_workflow_outlasts_a_change_of_owner() {
    for seed in 1..=5 {
        let deployment = deployment(seed, 3);
        let owner = deployment.owner().expect("owner");
        let at = (owner + 1) % NODES;
        let (a, b) = (
            caller(&deployment, at, "key-a"),
            caller(&deployment, at, "key-b"),
        );
        assert_that!(
            submit(&deployment, at, 1, of(Some("a"), 1)),
            eq(Submitted::Accepted)
        );
        assert_that!(
            submit(&deployment, at, 2, waiting_work(Some("a"))),
            eq(Submitted::Accepted)
        );
        deployment.sim.run_for(Millis(6_000 + 100 * seed));
        deployment.kill(owner);
        deployment.wait_for_owner();
        let completed = StateLookup::State(State::Completed);
        expect_that!(state(&deployment, at, 1, &a), eq(&completed), "seed {seed}");
        for id in [1, 2] {
            expect_that!(state(&deployment, at, id, &b), eq(&StateLookup::NotFound));
            expect_that!(cancel(&deployment, at, id, &b), eq(Submitted::NotFound));
        }
        expect_that!(
            state(&deployment, at, 2, &a),
            eq(&StateLookup::State(State::Queued))
        );
        expect_that!(cancel(&deployment, at, 2, &a), eq(Submitted::Accepted));
        deployment.sim.run_for(Millis(3_000));
        expect_that!(
            state(&deployment, at, 2, &a),
            eq(&StateLookup::State(State::Cancelled))
        );
        expect_that!(*deployment.fleet.violations.borrow(), is_empty());
    }
}

/// Guards against a cancellation that is answered 410 although the workflow was accepted: a node without an
/// owner has stored it, and the next owner gets the cancellation before it has read the submission.
#[gtest]
fn a_workflow_that_was_stored_without_an_owner_can_be_cancelled() {
    for seed in 1..=10 {
        let deployment = deployment(seed, 3);
        let owner = deployment.owner().expect("owner");
        let at = (owner + 1) % NODES;
        let a = caller(&deployment, at, "key-a");
        let b = caller(&deployment, at, "key-b");
        deployment.kill(owner);
        deployment.sim.run_for(Millis(100 * seed));
        assert_that!(
            submit(&deployment, at, 1, waiting_work(Some("a"))),
            eq(Submitted::Accepted)
        );
        let by_other = cancel(&deployment, at, 1, &b);
        expect_that!(
            by_other,
            any![eq(Submitted::NotFound), eq(Submitted::Unavailable)]
        );
        deployment.wait_for_owner();
        expect_that!(
            state(&deployment, at, 1, &a),
            eq(&StateLookup::State(State::Queued))
        );
        // The owner cannot be asked, so the node appends the submission.
        deployment.lose_requests(at);
        assert_that!(
            submit(&deployment, at, 2, waiting_work(Some("a"))),
            eq(Submitted::Accepted)
        );
        let owner = deployment.owner().expect("owner");
        expect_that!(
            cancel(&deployment, owner, 2, &a),
            eq(Submitted::Accepted),
            "seed {seed}"
        );
        deployment.sim.run_for(Millis(500));
        let state = state(&deployment, owner, 2, &a);
        expect_that!(
            state,
            eq(&StateLookup::State(State::Cancelled)),
            "seed {seed}"
        );
    }
}

/// Guards against an answer that work does not exist while no owner can tell.
#[gtest]
fn without_an_owner_nothing_is_answered_as_unknown() {
    let deployment = deployment(3, 3);
    let owner = deployment.owner().expect("owner");
    let at = (owner + 1) % NODES;
    let (a, b) = (
        caller(&deployment, at, "key-a"),
        caller(&deployment, at, "key-b"),
    );
    assert_that!(
        submit(&deployment, at, 1, waiting_work(Some("a"))),
        eq(Submitted::Accepted)
    );
    deployment.lose_requests(at);
    for caller in [&a, &b] {
        expect_that!(
            state(&deployment, at, 1, caller),
            eq(&StateLookup::Unavailable)
        );
        let cancelled = cancel(&deployment, at, 1, caller);
        expect_that!(
            cancelled,
            any![eq(Submitted::Unavailable), eq(Submitted::Unknown)]
        );
        expect_that!(waiting(&deployment, at, "queue", caller), none());
    }
}

/// Guards against a tenant's accepted work that another tenant's submission under the same id replaces, runs
/// twice, or is told to exist.
#[gtest]
fn an_id_belongs_to_the_tenant_that_used_it_first() {
    let deployment = deployment(4, 3);
    let (a, b) = (
        caller(&deployment, 0, "key-a"),
        caller(&deployment, 0, "key-b"),
    );
    assert_that!(
        submit(&deployment, 0, 1, of(Some("a"), 2)),
        eq(Submitted::Accepted)
    );
    for other in [Some("b"), None] {
        expect_that!(
            submit(&deployment, 1, 1, of(other, 3)),
            eq(Submitted::Unavailable)
        );
    }
    expect_that!(
        submit(&deployment, 1, 1, of(Some("a"), 2)),
        eq(Submitted::Accepted)
    );
    deployment.sim.run_for(Millis(4_000));
    expect_that!(deployment.fleet.starts(), eq(2));
    expect_that!(
        state(&deployment, 1, 1, &a),
        eq(&StateLookup::State(State::Completed))
    );
    expect_that!(state(&deployment, 1, 1, &b), eq(&StateLookup::NotFound));
    expect_that!(
        submit(&deployment, 1, 1, of(Some("b"), 3)),
        eq(Submitted::Unavailable)
    );
    // At the same time, one of them is refused.
    let outcomes: Vec<_> = [("a", 0), ("b", 1), ("a", 2)]
        .map(|(tenant, at)| {
            let (node, outcome) = (node(&deployment, at), support::Outcome::default());
            let kept = outcome.clone();
            let environment = hemlocksaddle_fakes::runtime::ENVIRONMENT;
            deployment.sim.spawn(environment, async move {
                let submit = node.frontend.submit(WorkflowId(5), of(Some(tenant), 1));
                kept.set(Some(submit.await));
            });
            (tenant, outcome)
        })
        .into();
    deployment.sim.run_for(Millis(4_000));
    let accepted: std::collections::BTreeSet<&str> = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.get() == Some(Submitted::Accepted))
        .map(|(tenant, _)| *tenant)
        .collect();
    expect_that!(accepted.len(), eq(1));
    expect_that!(deployment.fleet.starts(), eq(3));
}

/// Guards against a successor that runs another tenant's work in place of what was accepted first, where nodes
/// without an owner have stored both under one id.
#[gtest]
fn a_successor_keeps_the_work_that_was_received_first() {
    for first in ["a", "b"] {
        let deployment = deployment(5, 3);
        let owner = deployment.owner().expect("owner");
        let at = (owner + 1) % NODES;
        let (a, b) = (
            caller(&deployment, at, "key-a"),
            caller(&deployment, at, "key-b"),
        );
        deployment.kill(owner);
        let second = if first == "a" { "b" } else { "a" };
        for (tenant, received_ms) in [(second, 2), (first, 1)] {
            let workflow = Workflow {
                received_ms: WallMs(received_ms),
                ..of(Some(tenant), 2)
            };
            assert_that!(
                submit(&deployment, at, 1, workflow),
                eq(Submitted::Accepted)
            );
        }
        deployment.wait_for_owner();
        let (of_first, of_second) = if first == "a" { (&a, &b) } else { (&b, &a) };
        deployment.sim.run_for(Millis(4_000));
        let completed = StateLookup::State(State::Completed);
        expect_that!(
            state(&deployment, at, 1, of_first),
            eq(&completed),
            "{first}"
        );
        expect_that!(
            state(&deployment, at, 1, of_second),
            eq(&StateLookup::NotFound)
        );
        expect_that!(deployment.fleet.starts(), eq(2));
        let keys = deployment.store.live_keys(Stream::Submissions);
        expect_that!(
            keys.iter().any(|key| key.contains("0000000000000001")),
            eq(false)
        );
    }
}

/// Guards against a removed key that a connected client can go on using, a new one that is not known in time,
/// an older configuration that brings a key back, and a lost configuration while the store is away.
#[gtest]
fn keys_take_effect_on_all_nodes_within_the_time_of_a_change() {
    let deployment = deployment(6, 1);
    let connected: Vec<Caller> = (0..NODES)
        .map(|at| caller(&deployment, at, "key-a"))
        .collect();
    let is_known = |at: usize, key: &str| identify(&deployment, at, "queue", Some(key)).is_some();
    deployment.set_store_silent(0, true);
    deployment.configure(|catalogue| catalogue.tenants[0] = tenant("a", &["key-c"]));
    deployment.sim.run_for(CONFIG_APPLY_MS);
    for (at, caller) in connected.iter().enumerate().skip(1) {
        expect_that!(is_known(at, "key-a"), eq(false));
        expect_that!(is_known(at, "key-c"), eq(true));
        let frontend = &node(&deployment, at).frontend;
        let catalogue = frontend.catalogue().expect("configuration");
        let queue = catalogue.queue("queue").expect("queue");
        expect_that!(frontend.is_still_known(queue, caller), eq(false));
    }
    // A node that cannot read the store keeps the configuration that it has.
    expect_that!(
        (is_known(0, "key-a"), is_known(0, "key-c")),
        eq((true, false))
    );
    deployment.set_store_silent(0, false);
    deployment.sim.run_for(CONFIG_APPLY_MS);
    expect_that!(
        (is_known(0, "key-a"), is_known(0, "key-c")),
        eq((false, true))
    );
    deployment.configure(|catalogue| {
        catalogue.version -= 2;
        catalogue.tenants[0] = tenant("a", &["key-a"]);
    });
    deployment.sim.run_for(CONFIG_APPLY_MS);
    expect_that!(
        (is_known(1, "key-a"), is_known(1, "key-c")),
        eq((false, true))
    );
    // Without tenants, no key is needed, and an unknown one does no harm.
    deployment.configure(|catalogue| {
        catalogue.version += 2;
        catalogue.tenants.clear();
    });
    deployment.sim.run_for(CONFIG_APPLY_MS);
    expect_that!(
        identify(&deployment, 1, "queue", Some("key-a")),
        some(eq(&Caller::default()))
    );
}

/// Guards against a public queue that asks for a key or forgets the tenant of a known one, and another that
/// takes calls without one.
#[gtest]
fn only_a_public_queue_takes_calls_without_a_key() {
    let deployment = deployment(7, 1);
    let tenant = |queue: &str, key: Option<&str>| {
        let caller = identify(&deployment, 0, queue, key);
        caller.map(|caller| caller.tenant().map(|tenant| tenant.to_string()))
    };
    expect_that!(tenant("queue", None), none());
    expect_that!(tenant("queue", Some("")), none());
    expect_that!(tenant("queue", Some("key-x")), none());
    expect_that!(tenant("queue", Some("key-a")), some(some(eq("a"))));
    expect_that!(tenant("public", None), some(none()));
    expect_that!(tenant("public", Some("key-x")), some(none()));
    expect_that!(tenant("public", Some("key-b")), some(some(eq("b"))));
    let text = node(&deployment, 0).metrics_text().expect("metrics");
    let text = String::from_utf8(text).expect("text");
    expect_that!(
        text,
        contains_substring("shard_refused_calls_total{reason=\"no key\"} 1")
    );
    expect_that!(
        text,
        contains_substring("shard_refused_calls_total{reason=\"unknown key\"} 2")
    );
    expect_that!(text, not(contains_substring("key-")));
}

/// Load: a tenant sends several times what it may run (`hot_tenant`). Guards against its work that is accepted
/// although it ends too late, a refusal of work that runs, or of a repeated submission, and against another
/// tenant that is refused as well.
#[gtest]
fn a_tenant_is_refused_what_it_cannot_run_in_time() {
    let deployment = Deployment::without_nodes(8, 3);
    deployment.configure(|catalogue| {
        add_tenants(catalogue);
        // Two tasks of one core at a time; work is worth nothing 5,250 ms after its submission.
        catalogue.tenants[0].cap.cpu_milli = 2_000;
    });
    (0..NODES).for_each(|number| deployment.start(number));
    deployment.wait_for_owner();
    let a = caller(&deployment, 0, "key-a");
    let mut accepted = 0;
    let mut refused = Vec::new();
    for id in 1..=40 {
        match submit(&deployment, id as usize % NODES, id, of(Some("a"), 1)) {
            Submitted::Accepted => accepted += 1,
            Submitted::OverQuota { retry_after_s } => refused.push((id, retry_after_s)),
            other => panic!("{other:?}"),
        }
    }
    // The work before the last accepted one takes at most 4,250 ms, and what the owner has done meanwhile.
    expect_that!(accepted, all![ge(9), le(20)]);
    expect_that!(refused, not(is_empty()));
    for (id, retry_after_s) in &refused {
        expect_that!(*retry_after_s, all![ge(1), le(60)]);
        let expected = StateLookup::NotFound;
        expect_that!(state(&deployment, 0, *id, &a), eq(&expected));
    }
    expect_that!(
        submit(&deployment, 0, 1, of(Some("a"), 1)),
        eq(Submitted::Accepted)
    );
    for id in 101..=110 {
        expect_that!(
            submit(&deployment, 0, id, of(Some("b"), 1)),
            eq(Submitted::Accepted)
        );
    }
    deployment.sim.run_for(Millis(10_000));
    expect_that!(deployment.fleet.starts(), eq(accepted + 10));
    // There is room again.
    let (id, _) = refused[0];
    expect_that!(
        submit(&deployment, 0, id, of(Some("a"), 1)),
        eq(Submitted::Accepted)
    );
}
