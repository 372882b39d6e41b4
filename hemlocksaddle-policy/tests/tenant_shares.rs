//! Shares of tenants when all capacity is in use, and the work that they take.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod workflow_support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use hemlocksaddle_policy::workflow::{EndKind, Start, StartAnswer};
use hemlocksaddle_types::workflow::{Step, WorkflowId};
use workflow_support::{Harness, LEASE_MS, step};

/// Interval at which work arrives and ends, and after which the scheduler plans.
const TICK_MS: u64 = 50;

/// Run time of a task.
const RUN_MS: u64 = 1_000;

/// Fleet that runs what it is told to start, each task for [`RUN_MS`].
struct Play {
    harness: Harness,
    /// Runs by the time of their end.
    running: BTreeMap<u64, Vec<Start>>,
    tenant_of: BTreeMap<WorkflowId, String>,
    /// Waits of the started tasks by tenant, in ms.
    waits_ms: BTreeMap<String, Vec<u64>>,
    next_id: u64,
}

impl Play {
    fn new(workers: usize, cpu_milli: u64, tenants: &[(&str, u32, u64)]) -> Play {
        let mut harness = Harness::with_workers(workers, cpu_milli);
        harness.configure_tenants(tenants);
        Play {
            harness,
            running: BTreeMap::new(),
            tenant_of: BTreeMap::new(),
            waits_ms: BTreeMap::new(),
            next_id: 1,
        }
    }

    fn submit(&mut self, tenant: &str, steps: Vec<Step>) {
        let id = self.next_id;
        self.next_id += 1;
        self.tenant_of.insert(WorkflowId(id), tenant.to_owned());
        self.harness.accept_of(tenant, id, steps);
    }

    /// Ends the runs that are due, and starts what the scheduler orders.
    fn tick(&mut self) {
        self.harness.advance(TICK_MS);
        let now_ms = self.harness.now().0;
        while let Some(entry) = self.running.first_entry()
            && *entry.key() <= now_ms
        {
            for start in entry.remove() {
                self.harness.end(&start, EndKind::Done);
            }
        }
        self.harness.save();
        let starts = self.harness.starts();
        self.harness.answer_all(&starts, StartAnswer::Accepted);
        for start in &starts {
            let tenant = self.tenant_of[&start.name.workflow].clone();
            self.waits_ms
                .entry(tenant)
                .or_default()
                .push(start.waited.0);
        }
        self.running
            .entry(now_ms + RUN_MS)
            .or_default()
            .extend(starts);
    }

    fn waits_of(&self, tenant: &str) -> &[u64] {
        self.waits_ms.get(tenant).map_or(&[], Vec::as_slice)
    }
}

/// Plays 20 s of 20 tenants on 128 cores that all together use at 90% in workflows of six tasks; the first sends
/// `factor_percent` of its usual load. Returns the waits of the other tenants' tasks.
fn waits_beside_hot_tenant(factor_percent: u64) -> BTreeMap<String, Vec<u64>> {
    let names: Vec<String> = (0..20).map(|number| format!("t{number}")).collect();
    let tenants: Vec<_> = names.iter().map(|name| (name.as_str(), 1, 0)).collect();
    let mut play = Play::new(16, 8_000, &tenants);
    // Each tenant sends 5.76 tasks of one core a second: a workflow of six every 1,042 ms.
    let interval_ms = |number: u64| {
        if number == 0 {
            104_200 / factor_percent
        } else {
            1_042
        }
    };
    let mut sent = [0; 20];
    for tick in 0..400 {
        for number in 0..20 {
            let due = (tick * TICK_MS + 51 * number) / interval_ms(number);
            while sent[number as usize] < due {
                sent[number as usize] += 1;
                play.submit(&names[number as usize], vec![step(6, 1_000)]);
            }
        }
        play.tick();
    }
    play.waits_ms.remove("t0");
    play.waits_ms
}

/// Load: one tenant at 7.5 times its usual load beside 19 others on a fleet at 90% (`hot_tenant`). Guards against
/// a backlog of one tenant that delays all others: they may wait for runs that are about to end, no longer.
#[gtest]
fn a_hot_tenant_costs_the_others_nothing() {
    let (usual, hot) = (waits_beside_hot_tenant(100), waits_beside_hot_tenant(750));
    for (tenant, usual) in &usual {
        let hot = &hot[tenant];
        expect_that!(hot.len(), ge(usual.len().saturating_sub(6)), "{tenant}");
        let (longest, usual_longest) = (hot.iter().max(), usual.iter().max());
        let bound = usual_longest.copied().unwrap_or(0) + RUN_MS / 4;
        expect_that!(longest, some(le(&bound)), "{tenant}");
    }
}

/// Load: two tenants of weights 3 and 1 with endless backlogs, then one of them alone, and a third that rarely
/// sends a single task. Guards against shares that ignore the weights, unused shares that are left idle, and a small tenant
/// that starves.
#[gtest]
fn tenants_share_by_weight_and_an_unused_share_is_handed_on() {
    let mut play = Play::new(
        10,
        8_000,
        &[("heavy", 3, 0), ("light", 1, 0), ("small", 1, 0)],
    );
    play.submit("light", vec![step(2_000, 1_000)]);
    (0..10).for_each(|_| play.tick());
    expect_that!(play.harness.used("light"), eq(80_000));
    play.submit("heavy", vec![step(600, 1_000)]);
    for _ in 0..100 {
        play.tick();
        let used =
            play.harness.used("heavy") + play.harness.used("light") + play.harness.used("small");
        expect_that!(used, eq(80_000), "all capacity is in use");
        if play.harness.now().0.is_multiple_of(1_000) {
            play.submit("small", vec![step(1, 1_000)]);
        }
        let is_settled = play.waits_of("heavy").len() > 120;
        if is_settled && play.waits_of("heavy").len() < 540 {
            // A turn may exceed the share by eight tasks.
            expect_that!(play.harness.used("heavy").abs_diff(60_000), le(8_000));
        }
    }
    for _ in 0..180 {
        play.tick();
    }
    expect_that!(play.waits_of("heavy").len(), eq(600));
    expect_that!(play.harness.used("light"), eq(80_000));
    expect_that!(play.waits_of("small").len(), ge(4));
    expect_that!(play.waits_of("small").iter().max(), some(le(&TICK_MS)));
}

/// Load: a tenant whose tasks take little of the processors and most of the memory. Guards against a share that
/// looks at processors alone.
#[gtest]
fn the_share_is_that_of_the_dominant_resource() {
    let mut play = Play::new(2, 8_000, &[("memory", 1, 0), ("processors", 1, 0)]);
    let mut large = step(3, 100);
    large.demand.memory_mb = 45_000;
    play.submit("memory", vec![large]);
    play.tick();
    expect_that!(play.waits_of("memory").len(), eq(3));
    // 3.75% of the processors, but 67% of the memory, against 50% of the processors.
    play.submit("processors", vec![step(8, 1_000)]);
    play.tick();
    let mut last = step(1, 100);
    last.demand.memory_mb = 9_000;
    play.submit("memory", vec![step(20, 1_000)]);
    play.submit("processors", vec![step(20, 1_000)]);
    play.tick();
    expect_that!(play.waits_of("memory").len(), eq(3));
    expect_that!(play.waits_of("processors").len(), eq(14));
}

/// Load: tasks without a tenant beside a tenant's. Guards against work without a tenant that starves or
/// is served before all others.
#[gtest]
fn work_without_a_tenant_shares_as_one_of_weight_1() {
    let mut harness = Harness::with_workers(10, 8_000);
    harness.configure_tenants(&[("a", 1, 0)]);
    harness.accept(1, vec![step(200, 1_000)]);
    harness.accept_of("a", 2, vec![step(200, 1_000)]);
    expect_that!(harness.start_all(), eq(80));
    expect_that!(harness.used("a").abs_diff(40_000), le(8_000));
}

/// Load: 10,000 tenants with a waiting step each on a full fleet. Guards against a plan whose work grows faster
/// than the steps, starts that cost more with more tenants, and state that stays when tenants are gone.
#[gtest]
fn the_work_of_a_plan_is_bounded_with_10_000_tenants() {
    const TENANTS: u64 = 10_000;
    let names: Vec<String> = (0..TENANTS).map(|number| format!("t{number}")).collect();
    let tenants: Vec<_> = names.iter().map(|name| (name.as_str(), 1, 0)).collect();
    let mut harness = Harness::with_workers(20, 16_000);
    harness.scheduler.take_work_counts();
    let work_of = |harness: &mut Harness| {
        let starts = harness.start_all() as u64;
        (starts, harness.scheduler.take_work_counts())
    };
    for id in 1..=TENANTS {
        harness.accept_of(&names[id as usize - 1], id, vec![step(1, 1_000)]);
    }
    harness.configure_tenants(&tenants);
    let (starts, work) = work_of(&mut harness);
    expect_that!(starts, eq(320));
    expect_that!(work.tenant_turns, le(TENANTS));
    expect_that!(work.steps, le(TENANTS));
    // One comparison of all workers for each start, and one for the step that fits nowhere.
    expect_that!(work.compared_workers, le(20 * (starts + 1)));
    let (starts, work) = work_of(&mut harness);
    expect_that!((starts, work.compared_workers), eq((0, 20)));
    expect_that!(work.tenant_turns, le(TENANTS));
    let uses = harness.scheduler.tenant_uses(20).expect("tenants");
    expect_that!(uses.highest.len(), eq(20));
    let waiting = uses
        .highest
        .iter()
        .map(|(_, of)| of.waiting_tasks)
        .sum::<u64>();
    expect_that!(waiting + uses.others.waiting_tasks, eq(TENANTS - 320));
    expect_that!(uses.others.used.cpu_milli, eq(300_000));

    // All work ends, the last of it with the leases.
    harness.configure_tenants(&[("a", 1, 0)]);
    (1..=TENANTS).for_each(|id| harness.cancel(id));
    harness.advance(LEASE_MS + 1);
    harness.starts();
    harness.starts();
    while !harness.save().is_empty() {}
    harness.advance(130_000);
    harness.scheduler.forget_ended(harness.wall());
    expect_that!(harness.scheduler.tenants(), eq(1));
}

/// Load: two tenants with 1,000 tasks each on an empty fleet. Guards against a turn for each start, which compares
/// all workers anew.
#[gtest]
fn a_turn_has_several_starts() {
    let mut harness = Harness::with_workers(100, 16_000);
    harness.configure_tenants(&[("a", 1, 0), ("b", 1, 0)]);
    harness.accept_of("a", 1, vec![step(1_000, 1_000)]);
    harness.accept_of("b", 2, vec![step(1_000, 1_000)]);
    harness.scheduler.take_work_counts();
    expect_that!(harness.start_all(), eq(1_600));
    let work = harness.scheduler.take_work_counts();
    expect_that!(work.tenant_turns, le(1_600 / 8 + 2));
    // One comparison of all workers for each turn, and one of the worker that each start changed.
    expect_that!(work.compared_workers, le(100 * work.tenant_turns + 1_600));
}
