//! Limits of the orders in flight, against a path that carries a fixed number of calls.

use std::collections::VecDeque;

use googletest::prelude::*;
use hemlocksaddle_policy::congestion::{
    LatencyEstimate, StartWindow, append_bytes, save_pause, silent_poll_pause,
};
use hemlocksaddle_types::clock::{Millis, MonoMs};

/// Time at which a run of a path starts; not zero, so that "never" and "now" differ.
const START_MS: u64 = 10_000;

/// First-in-first-out path from an owner to its workers.
struct Path {
    now_ms: u64,
    /// Time that the path takes for each call.
    call_us: u64,
    /// Time that a call takes besides.
    round_trip_ms: u64,
    busy_until_us: u64,
}

impl Path {
    fn new(call_us: u64, round_trip_ms: u64) -> Path {
        Path {
            now_ms: START_MS,
            call_us,
            round_trip_ms,
            busy_until_us: 0,
        }
    }

    /// Sends a call and returns the time of its answer.
    fn send(&mut self, now_ms: u64) -> u64 {
        self.busy_until_us = self.busy_until_us.max(now_ms * 1_000) + self.call_us;
        self.busy_until_us / 1_000 + self.round_trip_ms
    }
}

struct Outcome {
    answered: usize,
    worst_latency_ms: u64,
}

/// Orders `per_s` starts per second; what the window holds back waits.
fn run(path: &mut Path, per_s: u64, seconds: u64) -> Outcome {
    let mut window = StartWindow::default();
    let mut in_flight: VecDeque<(u64, u64)> = VecDeque::new();
    let mut outcome = Outcome {
        answered: 0,
        worst_latency_ms: 0,
    };
    let mut waiting = 0;
    let until_ms = path.now_ms + seconds * 1_000;
    for ms in path.now_ms..until_ms {
        while in_flight.front().is_some_and(|&(_, answer)| answer <= ms) {
            let (sent, _) = in_flight.pop_front().expect("call");
            window.answered(MonoMs(sent), MonoMs(ms));
            outcome.answered += 1;
            outcome.worst_latency_ms = outcome.worst_latency_ms.max(ms - sent);
        }
        waiting += (ms * per_s / 1_000) - ((ms - 1) * per_s / 1_000);
        while waiting > 0 && window.available() > 0 {
            window.sent();
            in_flight.push_back((ms, path.send(ms)));
            waiting -= 1;
        }
    }
    path.now_ms = until_ms;
    outcome
}

/// Load pattern: owner's link full. Guards against orders that queue on the link until they time
/// out, and against a link that idles because the window is too small.
#[gtest]
fn an_owner_with_a_full_link_keeps_its_orders_fast() {
    // 2 Mbit/s carry 250 orders of 1,000 bytes per second; twice as many wait.
    let outcome = run(&mut Path::new(4_000, 2), 500, 20);
    expect_that!(outcome.worst_latency_ms, lt(400));
    expect_that!(outcome.answered, gt(250 * 20 * 9 / 10));
}

/// Load pattern: owner's processor full. The path gets slower while orders are in flight.
#[gtest]
fn an_owner_with_a_full_processor_shrinks_its_window() {
    let mut path = Path::new(400, 2);
    run(&mut path, 2_000, 5);
    path.call_us = 8_000;
    let outcome = run(&mut path, 2_000, 20);
    expect_that!(outcome.worst_latency_ms, lt(800));
    expect_that!(outcome.answered, gt(125 * 20 * 8 / 10));
}

/// Load pattern: many large steps at once on an idle path. Guards against a window that limits the
/// starts of a fleet of hundreds of workers.
#[gtest]
fn a_fast_path_is_used_in_full() {
    let outcome = run(&mut Path::new(250, 20), 3_000, 10);
    expect_that!(outcome.answered, gt(3_000 * 10 * 9 / 10));
}

/// Guards against one dead worker that slows down the orders to all others.
#[gtest]
fn lost_orders_shrink_the_window_only_without_fast_answers() {
    let mut window = StartWindow::default();
    let size = window.available();
    for number in 0..40 {
        let sent_at = MonoMs(START_MS + number * 100);
        window.sent();
        window.sent();
        window.answered(sent_at, sent_at + Millis(5));
        window.lost(sent_at, sent_at + Millis(400));
    }
    expect_that!(window.available(), ge(size));
    let mut window = StartWindow::default();
    // Grows the window before all answers stop.
    for number in 0..200 {
        let sent_at = MonoMs(START_MS + number * 10);
        (0..window.available()).for_each(|_| window.sent());
        window.answered(sent_at, sent_at + Millis(5));
    }
    let grown = window;
    let sent_at = MonoMs(START_MS + 10_000);
    window.lost(sent_at, sent_at + Millis(400));
    (0..200).for_each(|_| window.lost(sent_at, sent_at + Millis(400)));
    let mut drained = grown;
    (0..201).for_each(|_| drained.lost(MonoMs(START_MS), MonoMs(START_MS + 400)));
    expect_that!(window.available(), lt(drained.available()));
}

/// Load pattern: all paths slow, none better. Guards against calls that are repeated while the
/// first one is still on its way.
#[gtest]
fn the_timeout_follows_the_latency_of_answers() {
    let mut latency = LatencyEstimate::default();
    let (min, max) = (Millis(400), Millis(2_000));
    expect_that!(latency.timeout(min, max), eq(min));
    (0..50).for_each(|_| latency.record(Millis(5)));
    expect_that!(latency.timeout(min, max), eq(min));
    (0..50).for_each(|number| latency.record(Millis(600 + number % 7 * 50)));
    expect_that!(latency.timeout(min, max), gt(Millis(900)));
    (0..50).for_each(|_| latency.record(Millis(9_000)));
    expect_that!(latency.timeout(min, max), eq(max));
    (0..100).for_each(|_| latency.record(Millis(5)));
    expect_that!(latency.timeout(min, max), eq(min));
}

/// Load pattern: owner's link full. Guards against reports of tail latencies that take the link from
/// orders.
#[gtest]
fn reports_are_requested_less_often_while_answers_take_long() {
    let mut latency = LatencyEstimate::default();
    let wait = |latency: &LatencyEstimate| latency.report_wait(Millis(350), Millis(1_000));
    expect_that!(wait(&latency), eq(Millis(350)));
    (0..50).for_each(|_| latency.record(Millis(20)));
    expect_that!(wait(&latency), eq(Millis(350)));
    (0..50).for_each(|_| latency.record(Millis(150)));
    expect_that!(wait(&latency), gt(Millis(800)));
    (0..50).for_each(|_| latency.record(Millis(900)));
    expect_that!(wait(&latency), eq(Millis(1_000)));
}

/// Load pattern: a rack or a data centre silent at once. Guards against polls of silent workers
/// that grow with their number.
#[gtest]
fn silent_workers_are_polled_at_a_bounded_rate() {
    expect_that!(silent_poll_pause(1), eq(Millis(150)));
    for silent in [16, 50, 140] {
        let pause = silent_poll_pause(silent);
        expect_that!(silent as u64 * 1_000 / pause.0, le(110), "{silent} workers");
    }
    expect_that!(silent_poll_pause(2_400), eq(Millis(1_500)));
}

/// Load pattern: owner's link full. Guards against progress records that take the link from orders.
#[gtest]
fn saving_progress_takes_a_bounded_share_of_the_link() {
    for (bytes, link_kbps) in [
        (500, 2_000),
        (2_000, 2_000),
        (5_000, 2_000),
        (5_000, 20_000),
    ] {
        let pause = save_pause(bytes, link_kbps);
        let kbps = bytes as f64 * 8.0 / pause.0 as f64;
        expect_that!(kbps, le(f64::from(link_kbps) * 0.11), "{bytes} bytes");
    }
    expect_that!(save_pause(5_000, 1_000_000), eq(Millis(20)));
    expect_that!(save_pause(1_000_000, 100), eq(Millis(250)));
}

/// Load pattern: much progress to save over a slow link. Guards against appends that take longer than a call to the
/// store may, and so are repeated without end.
#[gtest]
fn an_append_takes_half_of_the_time_limit_of_a_call_at_most() {
    for link_kbps in [100, 2_000, 10_000, 1_000_000] {
        let took_ms = append_bytes(link_kbps) as u64 * 8 / u64::from(link_kbps);
        expect_that!(took_ms, le(600), "{link_kbps} kbit/s");
    }
    expect_that!(append_bytes(1_000_000), eq(1 << 20));
    expect_that!(append_bytes(u32::MAX), eq(1 << 20));
}
