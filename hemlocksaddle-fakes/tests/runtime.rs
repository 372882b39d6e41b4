//! Tests of the virtual-time executor.

use std::{cell::RefCell, rc::Rc};

use googletest::prelude::*;
use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_types::{clock::Millis, name::NodeName};

fn node(name: &str) -> NodeName {
    NodeName::try_from(name).expect("valid name")
}

/// Runs concurrent tasks of two nodes; returns the order and times of their steps, and the trace hash.
fn interleaving(seed: u64) -> (Vec<(u64, u64)>, u64) {
    let sim = SimRuntime::new(seed);
    let order = Rc::new(RefCell::new(Vec::new()));
    for number in 0..6 {
        let runtime = sim.node_runtime(&node(if number % 2 == 0 { "a" } else { "b" }));
        let (order, sim) = (order.clone(), sim.clone());
        runtime.clone().spawn(Box::pin(async move {
            for _ in 0..4 {
                order.borrow_mut().push((sim.now().0, number));
                runtime.sleep(Millis(10)).await;
            }
        }));
    }
    sim.run_for(Millis(1_000));
    (order.take(), sim.trace_hash())
}

/// Guards against state that does not depend on the seed alone.
#[gtest]
fn the_seed_decides_the_interleaving() {
    let (first, hash) = interleaving(1);
    expect_that!(first.len(), eq(24));
    expect_that!(interleaving(1), eq(&(first.clone(), hash)));
    expect_that!(interleaving(2).1, not(eq(hash)));
}

/// Guards against a paused process that runs before its pause ends, or never again.
#[gtest]
fn a_paused_node_is_not_polled_while_its_clock_advances() {
    let sim = SimRuntime::new(3);
    let runtime = sim.node_runtime(&node("a"));
    let before = runtime.now();
    sim.pause(&node("a"), Millis(500));
    let woke_at = Rc::new(RefCell::new(None));
    let (task, seen, time) = (runtime.clone(), woke_at.clone(), sim.clone());
    runtime.spawn(Box::pin(async move {
        task.sleep(Millis(10)).await;
        *seen.borrow_mut() = Some((time.now(), task.now().since(before)));
    }));
    sim.run_for(Millis(499));
    expect_that!(*woke_at.borrow(), none());
    sim.run_for(Millis(30));
    let (true_time, local) = woke_at.borrow().expect("woken after the pause");
    expect_that!(true_time.0, ge(500));
    expect_that!(local.0, ge(495));
}

/// Guards against a suspension that the monotonic clock counts, timers included, or the wall clock
/// does not.
#[gtest]
fn only_the_wall_clock_counts_a_suspension() {
    let sim = SimRuntime::new(3);
    let runtime = sim.node_runtime(&node("a"));
    let woke_at = Rc::new(RefCell::new(None));
    let (task, seen) = (runtime.clone(), woke_at.clone());
    runtime.spawn(Box::pin(async move {
        let (mono, wall) = (task.now(), task.wall_now());
        task.sleep(Millis(1_000)).await;
        *seen.borrow_mut() = Some((task.now().since(mono), task.wall_now().since(wall)));
    }));
    sim.run_for(Millis(100));
    sim.suspend(&node("a"), Millis(200));
    sim.run_for(Millis(300));
    sim.suspend(&node("a"), Millis(5_000));
    sim.run_for(Millis(5_500));
    expect_that!(*woke_at.borrow(), none());
    sim.run_for(Millis(500));
    let (mono, wall) = woke_at.borrow().expect("woken after the suspensions");
    expect_that!(mono.0, ge(1_000).and(le(1_002)));
    expect_that!(wall.0, ge(6_180).and(le(6_220)));
}

/// Guards against tasks that outlive their killed process, and a restart that reuses it.
#[gtest]
fn a_killed_node_runs_nothing_and_can_be_started_again() {
    let sim = SimRuntime::new(4);
    let ran = Rc::new(RefCell::new(0));
    for _ in 0..2 {
        let (runtime, count) = (sim.node_runtime(&node("a")), ran.clone());
        let task = runtime.clone();
        runtime.spawn(Box::pin(async move {
            loop {
                task.sleep(Millis(100)).await;
                *count.borrow_mut() += 1;
            }
        }));
        sim.run_for(Millis(1_050));
        sim.kill(&node("a"));
        sim.run_for(Millis(1_000));
    }
    expect_that!(*ran.borrow(), ge(18).and(le(22)));
}
