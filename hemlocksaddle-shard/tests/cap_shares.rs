//! Caps of tenants in two shards, whose owners fail while shares move.
//!
//! Load: a tenant sends several times what its cap lets run, all of it to one shard for some seconds and then to the
//! other. The workers check at each start that the cap holds over both shards.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use googletest::prelude::*;
use hemlocksaddle_shard::{frontend::Submitted, ports::Stream};
use hemlocksaddle_types::{
    clock::Millis,
    hash::stable_hash,
    workflow::{State, Step},
};
use support::{Deployment, Outcome, step};

const NODES: usize = 5;
const WORKERS: usize = 24;

/// Cap of the tenant in tasks.
const CAP: u64 = 20;

const TENANT: &str = "uneven";

/// Time within which all accepted work ends.
const COMPLETION_MS: Millis = Millis(120_000);

/// What goes wrong while shares move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Owner of a shard is killed, and started again later.
    Kill(u32),
    /// Owner of a shard is frozen for 5 s and resumes.
    Freeze(u32),
    /// Answers of the store are lost for 6 s.
    LostAnswers,
    /// Cap is lowered by a half, then raised.
    LoweredCap,
}

struct Play {
    deployment: Deployment,
    next_id: u64,
    submitted: Vec<(u64, Outcome)>,
}

impl Play {
    fn new(seed: u64, shards: u32) -> Play {
        let deployment = Deployment::without_nodes(seed, WORKERS);
        deployment.store.put_layout(shards);
        deployment.configure_tenants(&[(TENANT, CAP)]);
        (0..NODES).for_each(|number| deployment.start(number));
        deployment.wait_for_owner();
        deployment.fleet.run_ms.set(1_000);
        Play {
            deployment,
            next_id: 1,
            submitted: Vec::new(),
        }
    }

    /// Submits a workflow to one of two shards, at a node that is there.
    fn submit(&mut self, shard: u32, steps: Vec<Step>) -> u64 {
        let hash = |id: u64| stable_hash(&[&id.to_be_bytes()]) % 2;
        while hash(self.next_id) != u64::from(shard) {
            self.next_id += 1;
        }
        let id = self.next_id;
        self.next_id += 1;
        let at = (0..NODES).find(|&node| self.deployment.node(node).is_some());
        let at = at.expect("node");
        let outcome = self
            .deployment
            .submit_of_in_background(TENANT, at, id, steps);
        self.submitted.push((id, outcome));
        id
    }

    /// Sends more to a shard than the cap lets run; returns the most tasks that ran at once.
    fn load(&mut self, shard: u32, duration_ms: u64) -> u64 {
        let mut most = 0;
        for _ in 0..duration_ms / 100 {
            self.submit(shard, vec![step(3)]);
            self.deployment.sim.run_for(Millis(100));
            most = most.max(self.deployment.fleet.running_of(TENANT));
        }
        most
    }

    fn strike(&self, trouble: Trouble) {
        let owner = |shard| self.deployment.owner_of(shard).expect("owner");
        match trouble {
            Trouble::Kill(shard) => self.deployment.kill(owner(shard)),
            Trouble::Freeze(shard) => self.deployment.pause(owner(shard), Millis(5_000)),
            Trouble::LostAnswers => self.deployment.store.lose_answers.set(true),
            Trouble::LoweredCap => self.deployment.write_tenants(&[(TENANT, CAP / 2)]),
        }
    }

    fn check(&self, what: &str) {
        let node = (0..NODES).find(|&node| self.deployment.node(node).is_some());
        for (id, outcome) in &self.submitted {
            if outcome.get() == Some(Submitted::Accepted) {
                let ended = self
                    .deployment
                    .wait_for_end(node.expect("node"), *id, COMPLETION_MS);
                expect_that!(ended, some(eq(State::Completed)), "{what}: workflow {id}");
            }
        }
        let violations = self.deployment.fleet.violations.borrow();
        expect_that!(*violations, is_empty(), "{what}");
    }
}

/// Guards against a tenant that is held back to half its cap, because all of its work is in one of two shards.
#[gtest]
fn a_tenant_with_all_work_in_one_shard_uses_its_cap() {
    for seed in 1..=3 {
        let mut play = Play::new(seed, 2);
        for shard in [0, 1] {
            play.load(shard, 22_000);
            let most = play.load(shard, 3_000);
            expect_that!(most, ge(CAP - 2), "seed {seed}, shard {shard}");
        }
        play.check(&format!("seed {seed}"));
    }
}

/// Load: gangs of 14 tasks in one shard with a cap of 20, small work in the other. Guards against a gang larger than
/// half the cap that never starts, and against small work that starves for it.
#[gtest]
fn a_gang_larger_than_half_the_cap_starts() {
    let mut play = Play::new(1, 2);
    let gang = Step {
        gang: true,
        ..step(14)
    };
    (0..3).for_each(|_| {
        play.submit(1, vec![gang.clone()]);
    });
    for _ in 0..200 {
        play.submit(0, vec![step(2)]);
        play.deployment.sim.run_for(Millis(100));
    }
    play.check("gang");
}

/// Guards against two owners that use the same share, or a share that is lost, when an owner or the store fails or the
/// cap changes while shares move.
#[gtest]
fn the_cap_holds_while_shares_move_and_owners_fail() {
    let troubles = [
        Trouble::Kill(0),
        Trouble::Kill(1),
        Trouble::Freeze(0),
        Trouble::Freeze(1),
        Trouble::LostAnswers,
        Trouble::LoweredCap,
    ];
    for trouble in troubles {
        for seed in 1..=2 {
            let what = format!("seed {seed}, {trouble:?}");
            let mut play = Play::new(seed, 2);
            let killed = play.deployment.owner_of(match trouble {
                Trouble::Kill(shard) => shard,
                _ => 0,
            });
            play.load(1, 6_000 + 1_300 * seed);
            // The share is moving, or has just moved.
            play.load(0, 700 + 900 * seed);
            play.strike(trouble);
            play.load(1, 3_000);
            if trouble == Trouble::LoweredCap {
                play.deployment.check_caps(&[(TENANT, CAP / 2)]);
            }
            play.load(0, 3_000);
            match trouble {
                Trouble::Kill(_) => play.deployment.start(killed.expect("owner")),
                Trouble::LoweredCap => play.deployment.configure_tenants(&[(TENANT, CAP)]),
                _ => play.deployment.store.lose_answers.set(false),
            }
            play.load(1, 22_000);
            let most = play.load(1, 3_000);
            expect_that!(most, ge(CAP - 3), "{what}: the share has moved again");
            play.check(&what);
        }
    }
}

/// Load: 10,000 tenants, of which one is held back in one shard. Guards against records of the others, and against some
/// for every renewal; also checks the metric of the share.
#[gtest]
fn records_are_written_for_the_tenant_that_is_held_back_only() {
    let mut play = Play::new(1, 2);
    let names: Vec<String> = (0..10_000).map(|number| format!("t{number}")).collect();
    let others = names.iter().map(|name| (name.as_str(), CAP));
    let tenants: Vec<_> = others.chain([(TENANT, CAP)]).collect();
    play.deployment.configure_tenants(&tenants);
    play.load(1, 20_000);
    let store = &play.deployment.store;
    let count = |prefix: &str| -> usize {
        let of_shard = |shard| store.count_with_prefix(Stream::Claims, shard, prefix);
        (0..2).map(of_shard).sum()
    };
    expect_that!(count("cap-round/"), all![ge(1), le(3)]);
    expect_that!(count("cap-share/"), all![ge(3), le(30)]);
    let owner = play.deployment.owner_of(1).expect("owner");
    let node = play.deployment.node(owner).expect("node");
    let text = String::from_utf8(node.metrics_text().expect("metrics")).expect("text");
    let share = format!("shard_tenant_limit_cpu_milli{{tenant=\"{TENANT}\"}} ");
    let share = text.lines().find_map(|line| line.strip_prefix(&share));
    let share = share.and_then(|share| share.parse::<u64>().ok());
    expect_that!(share, some(ge((CAP - 2) * 1_000)));
}

/// Guards against records that are written although no share can move, or nobody is held back.
#[gtest]
fn nothing_is_written_with_one_shard_or_below_the_shares() {
    let written = |play: &Play| -> usize {
        let store = &play.deployment.store;
        let count = |shard| store.count_with_prefix(Stream::Claims, shard, "cap-");
        (0..2).map(count).sum()
    };
    let mut play = Play::new(1, 1);
    play.load(0, 10_000);
    expect_that!(written(&play), eq(0), "one shard");
    let mut play = Play::new(1, 2);
    for _ in 0..50 {
        play.submit(0, vec![step(1)]);
        play.submit(1, vec![step(1)]);
        play.deployment.sim.run_for(Millis(250));
    }
    expect_that!(written(&play), eq(0), "below the shares");
    play.check("below the shares");
}
