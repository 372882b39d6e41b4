//! When a node claims a shard, one case for each kind of failure.

use googletest::prelude::*;
use hemlocksaddle_policy::take_over::{
    AppendAttempts, Candidate, ClockReading, OWNERSHIP_LEASE_MS, OwnerView, RENEW_INTERVAL_MS,
    ShardView, Successor, failover_complete_at, granted_lease, leases_end_within,
    leases_expired_at, renew_interval, should_claim_before_stop, worker_lease,
};
use hemlocksaddle_types::clock::{Millis, MonoMs, WallMs};

const NOW: MonoMs = MonoMs(100_000);

fn before(ms: u64) -> MonoMs {
    MonoMs(NOW.0 - ms)
}

fn candidate(cpu_share: f64) -> Candidate {
    Candidate {
        cpu_share,
        owned: 0,
        jitter_seed: 0,
    }
}

/// Clocks that were read a time before now.
fn clocks(before_ms: u64) -> ClockReading {
    ClockReading {
        mono: before(before_ms),
        wall: WallMs(900_000 - before_ms),
    }
}

/// Owner that renewed its claim recently and responds.
fn healthy() -> OwnerView {
    OwnerView {
        renewed_at: before(300),
        claimed_at: before(50_000),
        released_since: None,
        successor: Successor::Any,
        cpu_share: 0.25,
        unanswered_since: None,
    }
}

fn claims(candidate: Candidate, owner: OwnerView) -> bool {
    let shard = ShardView {
        read_since: before(60_000),
        owner: Some(owner),
    };
    candidate.should_claim(&shard, NOW)
}

/// Guards against a slow failover, and against a claim without evidence that the owner has failed.
#[gtest]
fn a_shard_is_claimed_on_evidence_only() {
    let silent = |ms: u64, unanswered_ms: Option<u64>| OwnerView {
        renewed_at: before(ms),
        unanswered_since: unanswered_ms.map(before),
        ..healthy()
    };
    let cases = [
        ("healthy owner", healthy(), false),
        (
            "owner killed: no response, one renewal missed",
            silent(950, Some(600)),
            true,
        ),
        (
            "owner killed: no response, next renewal not due yet",
            silent(650, Some(600)),
            false,
        ),
        (
            "slow store: renewals late, responses arrive",
            silent(1_500, None),
            false,
        ),
        (
            "one response late, renewals late",
            silent(1_500, Some(100)),
            false,
        ),
        (
            "candidate partitioned from an owner that renews",
            silent(400, Some(5_000)),
            false,
        ),
        (
            "owner lost: renewals stopped, no missing response noticed",
            silent(2_000, None),
            true,
        ),
        (
            "planned shutdown",
            OwnerView {
                released_since: Some(before(300)),
                ..healthy()
            },
            true,
        ),
    ];
    for (case, owner, expected) in cases {
        expect_that!(claims(candidate(0.25), owner), eq(expected), "{case}");
    }
}

/// Load pattern: nodes with an eighth of a core, stopped in turn. Guards against an owner that keeps its successors
/// from claiming by renewing a claim that it has offered.
#[gtest]
fn a_slow_node_claims_an_offered_shard_although_its_owner_renews() {
    let offered = |since_ms| OwnerView {
        released_since: Some(before(since_ms)),
        ..healthy()
    };
    expect_that!(claims(candidate(0.12), offered(500)), eq(false));
    expect_that!(claims(candidate(0.12), offered(1_300)), eq(true));
}

/// Guards against several nodes that read the state of an offered shard at once, and against a shard that waits for
/// a node that does not claim it.
#[gtest]
fn an_offered_shard_is_claimed_by_the_named_node_first() {
    let offered = |since_ms, successor| OwnerView {
        released_since: Some(before(since_ms)),
        successor,
        ..healthy()
    };
    let slow = candidate(0.12);
    expect_that!(claims(slow, offered(0, Successor::Candidate)), eq(true));
    let fast = candidate(0.5);
    expect_that!(claims(fast, offered(4_900, Successor::Other)), eq(false));
    expect_that!(claims(fast, offered(5_300, Successor::Other)), eq(true));
}

/// Guards against a slow node that owns a shard although a fast one is available.
#[gtest]
fn slow_nodes_leave_shards_to_fast_ones() {
    let slow_owner = OwnerView {
        cpu_share: 0.12,
        ..healthy()
    };
    let new_slow_owner = OwnerView {
        claimed_at: before(500),
        ..slow_owner
    };
    let cases = [
        ("fast node, slow owner", 0.5, slow_owner, true),
        (
            "fast node, slow owner still in recovery",
            0.5,
            new_slow_owner,
            false,
        ),
        ("slow node, slow owner", 0.12, slow_owner, false),
        ("slightly faster node", 0.2, slow_owner, false),
        (
            "faster node, owner with a full share",
            1.0,
            healthy(),
            false,
        ),
    ];
    for (case, share, owner, expected) in cases {
        expect_that!(claims(candidate(share), owner), eq(expected), "{case}");
    }
    let fast = Candidate {
        jitter_seed: 249,
        ..candidate(0.25)
    };
    expect_that!(candidate(0.12).claim_delay(), gt(fast.claim_delay()));
}

/// Guards against a claim by a node that has just started to read and has not seen
/// the renewals yet.
#[gtest]
fn a_node_that_has_just_started_to_read_waits() {
    let gone = OwnerView {
        renewed_at: before(30_000),
        unanswered_since: Some(before(30_000)),
        ..healthy()
    };
    let shard = |read_ms: u64, owner| ShardView {
        read_since: before(read_ms),
        owner,
    };
    let fast = candidate(0.25);
    expect_that!(fast.should_claim(&shard(500, Some(gone)), NOW), eq(false));
    expect_that!(fast.should_claim(&shard(1_000, Some(gone)), NOW), eq(true));
    let slow = candidate(0.12);
    expect_that!(fast.should_claim(&shard(0, None), NOW), eq(true));
    expect_that!(slow.should_claim(&shard(500, None), NOW), eq(false));
    expect_that!(slow.should_claim(&shard(2_000, None), NOW), eq(true));
}

/// Guards against a claim while the next renewal of a healthy owner, which this
/// node cannot reach, is still on its way.
#[gtest]
fn a_renewal_arrives_within_the_timeout_of_a_suspect_owner() {
    let owner = OwnerView {
        renewed_at: NOW,
        unanswered_since: Some(before(5_000)),
        ..healthy()
    };
    let shard = ShardView {
        read_since: before(60_000),
        owner: Some(owner),
    };
    let renewed = NOW + RENEW_INTERVAL_MS + Millis(150);
    expect_that!(candidate(0.25).should_claim(&shard, renewed), eq(false));
}

/// Load pattern: a slow store beside a planned stop. Guards against an owner that waits for a claim and loses its
/// lease meanwhile, and against renewals that claims meet.
#[gtest]
fn an_owner_that_waits_for_a_claim_renews_late_and_within_its_lease() {
    let slowest_answer_ms = 1_200;
    let waited = renew_interval(true);
    expect_that!(waited, ge(RENEW_INTERVAL_MS + RENEW_INTERVAL_MS));
    let last_answer = waited + Millis(slowest_answer_ms + 250);
    expect_that!(last_answer, lt(OWNERSHIP_LEASE_MS));
    expect_that!(renew_interval(false), eq(RENEW_INTERVAL_MS));
}

/// Load pattern: lost answers of the store. Guards against a lease that runs from a repeat, which
/// the store has answered like the first attempt.
#[gtest]
fn the_lease_of_a_repeated_append_runs_from_its_first_attempt() {
    let mut attempts = AppendAttempts::default();
    expect_that!(attempts.send(clocks(1_500)), eq(clocks(1_500)));
    expect_that!(attempts.send(clocks(800)), eq(clocks(1_500)));
    // A rejected repeat does not tell whether the first attempt took effect.
    attempts.rejected(clocks(800));
    expect_that!(attempts.send(clocks(0)), eq(clocks(1_500)));
}

/// Load pattern: outage of the store. Guards against a lease that has expired when the store
/// returns, because it runs from an attempt that certainly had no effect.
#[gtest]
fn a_rejected_append_does_not_shorten_the_lease_of_the_next() {
    let mut attempts = AppendAttempts::default();
    attempts.send(clocks(4_000));
    attempts.rejected(clocks(4_000));
    expect_that!(attempts.first_sent_at(), none());
    expect_that!(attempts.send(clocks(0)), eq(clocks(0)));
}

/// Load pattern: suspended machines and clocks that are set. Guards against orders of an owner whose
/// lease has expired while its monotonic clock stood still.
#[gtest]
fn the_ownership_lease_is_valid_by_both_clocks() {
    let read = |mono_ms: u64, wall_ms: i64| ClockReading {
        mono: before(mono_ms),
        wall: WallMs(900_000_u64.saturating_add_signed(-wall_ms)),
    };
    let cases = [
        ("renewed just now", read(0, 0), true),
        ("one missed renewal", read(1_400, 1_400), true),
        ("almost expired", read(2_999, 2_999), true),
        ("expired", read(3_000, 3_000), false),
        ("suspended for 2 s", read(400, 2_400), true),
        ("suspended for 5 s", read(400, 5_400), false),
        ("wall clock set forward", read(700, 60_700), false),
        ("wall clock set back", read(700, -59_300), false),
    ];
    for (case, from, expected) in cases {
        expect_that!(from.lease_is_valid(clocks(0)), eq(expected), "{case}");
    }
}

/// Load pattern: workers lost for good, on platforms with short and with long leases. Guards against work
/// that cannot run again within 9 s of its last run, and against a lease that the platform shortens.
#[gtest]
fn no_lease_is_longer_than_lost_work_may_wait() {
    let run_again_within = Millis(9_000);
    for limit_ms in [2_000, 6_000, 10_000, 60_000] {
        let lease = worker_lease(Millis(limit_ms));
        expect_that!(lease, le(Millis(limit_ms)));
        // A worker's clock is up to 2% slow; noticing the loss and the start take two seconds.
        expect_that!(Millis(lease.0 * 102 / 100 + 2_000), le(run_again_within));
    }
}

/// Load pattern: an owner killed beside a worker that does not report. Guards against a wait for the
/// leases that the owner granted which is too short for the last of them, and against one that
/// begins at the claim although the owner has not renewed since.
#[gtest]
fn earlier_leases_are_counted_from_the_last_record_before_the_claim() {
    let lease = Millis(6_000);
    let wait = |read_at| failover_complete_at(read_at, NOW, lease).since(NOW);
    // The owner's clock and the worker's are both 2% slow.
    let longest = Millis((OWNERSHIP_LEASE_MS.0 + lease.0) * 102 / 100);
    for read_ms in [0, 900, 1_900, 4_000] {
        let remaining = Millis(longest.0 - read_ms);
        let waited = wait(Some(before(read_ms)));
        expect_that!(waited, ge(remaining), "{read_ms}");
        expect_that!(waited, le(remaining + Millis(200)), "{read_ms}");
    }
    expect_that!(wait(Some(before(60_000))), eq(Millis(0)));
    expect_that!(wait(None), ge(longest));
}

/// Load pattern: an owner killed beside a worker that leaves at the same time. Guards against a wait for
/// earlier leases that alone takes as long as a long-running task may stay away, against a lease that ends
/// after that wait, and against leases that are shortened while the owner renews its claim in time.
#[gtest]
fn a_successor_waits_for_less_than_the_longest_lease_at_the_end_of_a_term() {
    for limit_ms in [2_000, 6_000, 10_000] {
        let limit = Millis(limit_ms);
        let within = leases_end_within(limit);
        let expired_at = leases_expired_at(NOW, within);
        expect_that!(expired_at.since(NOW), le(Millis(8_500)));
        for after_ms in (0..=OWNERSHIP_LEASE_MS.0).step_by(100) {
            let granted_at = NOW + Millis(after_ms);
            let read = |ms| ClockReading {
                mono: NOW,
                wall: WallMs(1_000_000 + ms),
            };
            let awake = ClockReading {
                mono: granted_at,
                ..read(after_ms)
            };
            let lease = granted_lease(limit, read(0), awake);
            // The monotonic clock does not count a suspension.
            expect_that!(granted_lease(limit, read(0), read(after_ms)), eq(lease));
            if after_ms <= 2 * RENEW_INTERVAL_MS.0 {
                expect_that!(lease, eq(worker_lease(limit)), "{limit_ms}, {after_ms}");
            }
            let end = granted_at.since(NOW).0 + lease.0;
            // The owner's clock and the worker's are both 2% slow.
            expect_that!(
                NOW + Millis(end * 102 / 100),
                le(expired_at),
                "{limit_ms}, {after_ms}"
            );
        }
    }
}

/// Load pattern: nodes stopped in turn over slow links. Guards against a node that claims a shard and ends
/// before another one can have read it, and against one that lets what it has read go to waste.
#[gtest]
fn a_stopping_node_claims_only_with_time_for_its_successor() {
    expect_that!(should_claim_before_stop(Millis(3_700)), eq(true));
    expect_that!(should_claim_before_stop(Millis(2_500)), eq(true));
    expect_that!(should_claim_before_stop(Millis(2_400)), eq(false));
    expect_that!(should_claim_before_stop(Millis(0)), eq(false));
}
