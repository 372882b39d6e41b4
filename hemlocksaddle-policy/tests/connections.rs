//! Slots and memory of the connections to a listener.

use googletest::prelude::*;
use hemlocksaddle_policy::connections::{
    ClientTimes, Close, CloseReason, ConnectionKey, Connections, Limits, Phase, ProcessLimits,
    max_head_bytes,
};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    workflow::ClientLimits,
};
use proptest::prelude::*;

/// Largest legal body in bytes.
const BODY_BYTES: usize = 262_144;

const HEAD_BYTES: usize = 16_384;

const TIMES: ClientTimes = ClientTimes {
    head_ms: Millis(3_000),
    idle_ms: Millis(15_000),
};

fn process(memory_mb: usize, max_fds: usize) -> ProcessLimits {
    ProcessLimits { memory_mb, max_fds }
}

/// Open connections, and what was closed.
struct Listener {
    connections: Connections,
    closed: Vec<Close>,
}

impl Listener {
    fn new(limits: Limits) -> Listener {
        Listener {
            connections: Connections::new(limits),
            closed: Vec::new(),
        }
    }

    fn open(&mut self, now: u64) -> Option<ConnectionKey> {
        self.connections.open(MonoMs(now), &mut self.closed)
    }

    /// Opens a connection that sends a head and claims its body.
    fn upload(&mut self, bytes: usize, now: u64) -> Option<ConnectionKey> {
        let key = self.open(now)?;
        self.received(key, 100, now);
        self.claim(key, bytes, now).then(|| {
            self.connections.enter(key, Phase::Body, MonoMs(now));
            key
        })
    }

    fn received(&mut self, key: ConnectionKey, bytes: usize, now: u64) {
        self.connections
            .received(key, bytes, HEAD_BYTES, MonoMs(now), &mut self.closed);
    }

    fn claim(&mut self, key: ConnectionKey, bytes: usize, now: u64) -> bool {
        self.connections
            .claim_body(key, bytes, MonoMs(now), &mut self.closed)
    }

    /// Closes what was decided to be closed.
    fn finish_closing(&mut self) -> Vec<Close> {
        let closed = std::mem::take(&mut self.closed);
        for close in &closed {
            self.connections.remove(close.key);
        }
        closed
    }
}

/// Load: as many callers as have room, half of them with a small body, none outside the limits. Guards against limits that ordinary
/// clients meet on any size of process.
#[gtest]
fn clients_in_calm_are_never_refused() {
    for (memory_mb, max_fds, callers) in [(32, 4_100, 128), (160, 4_100, 900), (512, 8_192, 3_000)]
    {
        let mut listener = Listener::new(process(memory_mb, max_fds).callers(max_fds));
        for number in 0..callers {
            let now = number as u64;
            let key = match number % 2 {
                0 => listener.open(now),
                _ => listener.upload(1_000, now),
            };
            expect_that!(key, some(anything()), "{memory_mb} MB, caller {number}");
        }
        // Each size takes several bodies of the largest size beside these.
        for number in 0..4 {
            let key = listener.upload(BODY_BYTES, callers as u64);
            expect_that!(key, some(anything()), "{memory_mb} MB, body {number}");
        }
        expect_that!(listener.closed, is_empty(), "{memory_mb} MB");
    }
}

/// Guards against limits that leave a process of 32 MB no room, or a large one no more than that.
#[gtest]
fn limits_follow_the_process() {
    for (memory_mb, max_fds, budget_mb, slots, pending, answer_kb) in [
        (32, 4_100, 8, 2_052, 64, 512),
        (160, 4_100, 40, 2_052, 64, 2_048),
        (512, 8_192, 128, 6_144, 64, 2_048),
        (32, 192, 8, 96, 12, 512),
    ] {
        let process = process(memory_mb, max_fds);
        let limits = process.callers(max_fds);
        expect_that!(limits.budget_bytes, eq(budget_mb << 20));
        expect_that!(limits.slots, eq(slots));
        expect_that!(process.pending_peers(), eq(pending));
        expect_that!(process.worker_answers().answer_bytes, eq(answer_kb << 10));
        expect_that!(process.store_answers().answer_bytes, ge(1_500_000));
        // The listeners leave descriptors to the store and the workers.
        let listeners = limits.slots + 2 * process.probes().slots + process.pending_peers();
        expect_that!(listeners, lt(max_fds * 4 / 5));
    }
}

/// Load: bodies that stop short of their end until all memory is taken. Guards against closing a connection that has held
/// less, or for a shorter time, before the one that holds most for longest.
#[gtest]
fn the_largest_claim_without_progress_is_closed_first() {
    let mut listener = Listener::new(process(32, 4_100).callers(4_100));
    let idle = listener.open(0).expect("a slot");
    let small = listener.upload(2_000, 0).expect("memory");
    let mut large = Vec::new();
    while let Some(key) = listener.upload(BODY_BYTES, 10 * large.len() as u64) {
        large.push(key);
        if large.len() > 100 {
            break;
        }
    }
    expect_that!(large.len(), all!(ge(5), le(15)));
    expect_that!(
        listener.closed,
        is_empty(),
        "none has been without progress for long"
    );
    // The first one goes on sending; the second is the next by age.
    listener.received(large[0], 5_000, 1_000);
    let late = listener.upload(BODY_BYTES, 1_100);
    expect_that!(late, some(anything()));
    let memory = |key| Close {
        key,
        reason: CloseReason::Memory,
    };
    expect_that!(
        listener.finish_closing().first(),
        some(eq(&memory(large[1])))
    );
    for key in [idle, small, large[0]] {
        listener.connections.enter(key, Phase::Idle, MonoMs(1_200));
    }
}

/// Load: large bodies take all that they may, and all of them make progress. Guards against an ordinary request that waits for them.
#[gtest]
fn small_bodies_do_not_wait_for_large_ones() {
    let mut listener = Listener::new(process(160, 4_100).callers(4_100));
    while listener.upload(BODY_BYTES, 0).is_some() {}
    for _ in 0..20 {
        expect_that!(listener.upload(10_000, 100), some(anything()));
    }
    expect_that!(listener.closed, is_empty());
}

/// Load: silent connections in all slots. Guards against a new caller that is refused while they stay, and
/// against one that is closed before its first request has arrived.
#[gtest]
fn a_silent_connection_makes_way() {
    let mut listener = Listener::new(process(32, 192).callers(192));
    let keys: Vec<_> = (0..96).map_while(|now| listener.open(now)).collect();
    expect_that!(keys.len(), eq(96));
    listener
        .connections
        .enter(keys[0], Phase::Working, MonoMs(100));
    expect_that!(listener.open(200), none(), "none has been silent for long");
    expect_that!(listener.open(1_000), some(anything()));
    let closed = Close {
        key: keys[1],
        reason: CloseReason::Slots,
    };
    expect_that!(listener.finish_closing(), elements_are![eq(&closed)]);
}

/// Load: heads of the largest size in all connections that have room. Guards against buffers for heads that
/// nothing accounts for, and against a new connection that finds no room once they have stalled.
#[gtest]
fn large_heads_are_claimed() {
    let limits = process(32, 4_100).callers(4_100);
    let mut listener = Listener::new(limits);
    for now in 0..200 {
        let Some(key) = listener.open(now) else {
            break;
        };
        listener.received(key, 4_096, now);
        listener.received(key, 4_096, now);
        expect_that!(listener.connections.held_bytes(), le(limits.budget_bytes));
        let closed = listener.finish_closing();
        expect_that!(
            closed.iter().all(|close| close.key == key),
            eq(true),
            "others had no stall"
        );
    }
    expect_that!(listener.open(1_000), some(anything()));
}

/// Load: connections of each phase for the time of each limit. Guards against a phase without an end, and against closing a connection
/// that waits for the node.
#[gtest]
fn each_phase_has_its_time() {
    let cases = [
        (Phase::Idle, 15_000, Some(CloseReason::Idle)),
        (Phase::Head, 3_000, Some(CloseReason::Head)),
        (Phase::Body, 15_000, Some(CloseReason::Body)),
        (Phase::Answering, 15_000, Some(CloseReason::Unread)),
        (Phase::Working, 1_000_000, None),
    ];
    for (phase, limit_ms, reason) in cases {
        let mut listener = Listener::new(process(160, 4_100).callers(4_100));
        let key = listener.open(0).expect("a slot");
        listener.connections.enter(key, phase, MonoMs(10));
        let before = MonoMs(10 + limit_ms - 1);
        expect_that!(
            listener.connections.expired(TIMES, before),
            is_empty(),
            "{phase:?}"
        );
        let closed = listener.connections.expired(TIMES, MonoMs(10 + limit_ms));
        let closed = closed.first().map(|close| close.reason);
        expect_that!(closed, eq(reason), "{phase:?}");
    }
}

/// Load: a head that arrives byte by byte, a body that does, and a body in parts of 4 KB. Guards against
/// single bytes that extend the time, and against a limit on a body that makes progress.
#[gtest]
fn single_bytes_are_no_progress() {
    let cases = [
        (Phase::Idle, 1, true),
        (Phase::Body, 1, true),
        (Phase::Body, 4_096, false),
    ];
    for (phase, bytes, closed) in cases {
        let mut listener = Listener::new(process(160, 4_100).callers(4_100));
        let key = listener.open(0).expect("a slot");
        listener.connections.enter(key, phase, MonoMs(0));
        let mut expired = Vec::new();
        for now in (0..60_000).step_by(1_000) {
            listener.received(key, bytes, now);
            expired.extend(listener.connections.expired(TIMES, MonoMs(now)));
        }
        expect_that!(!expired.is_empty(), eq(closed), "{phase:?}, {bytes} bytes");
    }
}

/// Guards against times of 0 where a configuration does not set them, and against a head that takes all memory.
#[gtest]
fn unset_limits_have_defaults() {
    let times = ClientTimes::from(ClientLimits::default());
    expect_that!(
        (times.head_ms, times.idle_ms),
        eq((Millis(15_000), Millis(15_000)))
    );
    for (set, bytes) in [(0, 16_384), (1, 8_192), (20_000, 20_000), (1 << 30, 65_536)] {
        let limits = ClientLimits {
            max_head_bytes: set,
            ..ClientLimits::default()
        };
        expect_that!(max_head_bytes(limits), eq(bytes));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Load: any order of connections, claims, releases and ends. Guards against claims beyond the budget, more
    /// connections than slots, and claims that are not returned.
    #[test]
    fn claims_stay_within_the_limits(steps in prop::collection::vec((0..6_u8, 0..20_usize, 0..BODY_BYTES, 0..400_u64), 1..400)) {
        let limits = Limits { budget_bytes: 2 << 20, slots: 12 };
        let mut listener = Listener::new(limits);
        let mut open: Vec<(ConnectionKey, usize)> = Vec::new();
        let mut now = 0;
        for (kind, index, bytes, later) in steps {
            now += later;
            let chosen = index.checked_rem(open.len());
            match (kind, chosen) {
                (0, _) => open.extend(listener.open(now).map(|key| (key, 0))),
                (1, Some(index)) => {
                    let (key, claimed) = &mut open[index];
                    if listener.claim(*key, bytes, now) {
                        *claimed += bytes;
                    }
                }
                (2, Some(index)) => {
                    let (key, claimed) = &mut open[index];
                    listener.connections.release_body(*key, std::mem::take(claimed));
                }
                (3, Some(index)) => listener.received(open[index].0, bytes, now),
                (4, Some(index)) => {
                    let phases = [Phase::Idle, Phase::Head, Phase::Body, Phase::Working, Phase::Answering];
                    listener.connections.enter(open[index].0, phases[bytes % 5], MonoMs(now));
                }
                (5, Some(index)) => {
                    listener.connections.remove(open.swap_remove(index).0);
                }
                _ => {}
            }
            let mut closed: Vec<_> = listener.finish_closing();
            let expired = listener.connections.expired(TIMES, MonoMs(now));
            expired.iter().for_each(|close| listener.connections.remove(close.key));
            closed.extend(expired);
            open.retain(|(key, _)| closed.iter().all(|close| close.key != *key));
            prop_assert!(listener.connections.held_bytes() <= limits.budget_bytes);
            prop_assert!(listener.connections.open_connections() <= limits.slots);
            prop_assert_eq!(listener.connections.open_connections(), open.len());
        }
        for (key, _) in open {
            listener.connections.remove(key);
        }
        prop_assert_eq!(listener.connections.held_bytes(), 0);
    }
}
