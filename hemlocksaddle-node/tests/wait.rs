//! Waiting for events.

use std::{future::Future, pin::pin, task::Context};

use futures_util::{future::select, task::noop_waker};
use googletest::prelude::*;
use hemlocksaddle_node::wait::Signal;

/// Load pattern: many requests that each wait for an event which comes once, at the end of the
/// process. Guards against wakers that keep ended tasks in memory.
#[gtest]
fn a_wait_that_ends_or_is_abandoned_leaves_nothing_behind() {
    let signal = Signal::default();
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    for _ in 0..100 {
        let mut abandoned = Box::pin(signal.wait_past(0));
        expect_that!(abandoned.as_mut().poll(&mut context).is_pending(), eq(true));
        expect_that!(abandoned.as_mut().poll(&mut context).is_pending(), eq(true));
        expect_that!(signal.waiting(), eq(1));
        let ended = select(abandoned, std::future::ready(()));
        expect_that!(pin!(ended).poll(&mut context).is_ready(), eq(true));
    }
    expect_that!(signal.waiting(), eq(0));
    let mut woken = Box::pin(signal.wait_past(0));
    expect_that!(woken.as_mut().poll(&mut context).is_pending(), eq(true));
    signal.notify();
    expect_that!(woken.as_mut().poll(&mut context).is_ready(), eq(true));
    expect_that!(signal.waiting(), eq(0));
}
