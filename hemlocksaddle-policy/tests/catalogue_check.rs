//! Findings of the check of a configuration that depend on the nodes' own rules.

use googletest::prelude::*;
use hemlocksaddle_policy::catalogue_check::{FindingKind, check};
use hemlocksaddle_types::{
    clock::Millis,
    resources::Resources,
    workflow::{Catalogue, KeyDigest, Pool, Queue, Tenant},
};

fn queue(name: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "host".into(),
        path_prefix: "/q/".into(),
        pool: "pool".into(),
        priority: 0,
        max_attempts: 1,
        stretch: 1.5,
        target_completion_ms: Millis(250),
        timeout_ms: Millis(3_000),
        public: false,
    }
}

fn tenant(name: &str, weight: u32, keys: &[u8]) -> Tenant {
    Tenant {
        name: name.into(),
        keys: keys.iter().map(|&key| KeyDigest([key; 32])).collect(),
        weight,
        cap: Resources::default(),
    }
}

fn catalogue(queues: Vec<Queue>, tenants: Vec<Tenant>) -> Catalogue {
    Catalogue {
        version: 1,
        queues,
        pools: vec![Pool {
            name: "pool".into(),
            admission_check: true,
            standby: false,
        }],
        tenants,
        ..Catalogue::default()
    }
}

/// Guards against a check that names the wrong one of two queues, which the nodes match by a rule of their own.
#[gtest]
fn the_queue_that_never_matches_is_the_one_that_nodes_pass_over() {
    let catalogue = catalogue(vec![queue("a"), queue("b")], Vec::new());
    let findings = check(&catalogue, None);
    expect_that!(findings.len(), eq(1));
    expect_that!(findings[0].kind, eq(FindingKind::NeverMatches));
    expect_that!(findings[0].entry, eq("queue a"));
    let matched = catalogue
        .route("host", "/q/x")
        .map(|(queue, _)| &*queue.name);
    expect_that!(matched, some(eq("b")));
}

/// Guards against tenants that can never call or get no share, and against a key in an output.
#[gtest]
fn tenants_without_a_key_a_share_or_a_key_of_their_own_are_found() {
    let tenants = vec![
        tenant("a", 1, &[171]),
        tenant("b", 1, &[]),
        tenant("c", 0, &[2]),
        tenant("d", 1, &[171]),
        tenant("a", 1, &[4]),
    ];
    let findings = check(&catalogue(vec![queue("q")], tenants), None);
    let found: Vec<_> = findings.iter().map(|of| (of.kind, &*of.entry)).collect();
    expect_that!(
        found,
        elements_are![
            eq(&(FindingKind::DuplicateName, "tenant a")),
            eq(&(FindingKind::NeverMatches, "tenant b")),
            eq(&(FindingKind::Contradiction, "tenant c")),
            eq(&(FindingKind::Contradiction, "tenant d")),
        ]
    );
    let text = format!("{findings:?}");
    expect_that!(
        text,
        all![
            not(contains_substring("171")),
            not(contains_substring("abab"))
        ]
    );
}
