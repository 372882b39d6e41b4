//! Choice of the nodes that carry out an owner's calls, and of the one for each worker.

use std::collections::BTreeSet;

use googletest::prelude::*;
use hemlocksaddle_policy::delegation::{Delegates, should_offer, worker_capacity};
use hemlocksaddle_policy::recovery_watch::StoreView;
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    delegation::Offer,
    name::{DataCentre, NodeName},
};

/// Time at which a test starts; not zero, so that "never" and "now" differ.
const START: MonoMs = MonoMs(100_000);

const SLOW_MILLI: u32 = 120;
const FAST_MILLI: u32 = 500;

fn data_centre(number: usize) -> DataCentre {
    DataCentre::try_from(format!("dc-{number}").as_str()).expect("name")
}

fn node(number: usize) -> NodeName {
    NodeName::try_from(format!("node-{number:03}").as_str()).expect("name")
}

fn offer(number: usize, data_centres: usize, cpu_milli: u32, link_kbps: u32) -> Offer {
    Offer {
        node: node(number),
        data_centre: data_centre(number % data_centres),
        address: ([127, 0, 0, 1], 7_000 + number as u16).into(),
        cpu_milli,
        link_kbps,
        available: true,
        started_ms: 0,
        store_latency_ms: None,
        store_failing_ms: Millis(0),
    }
}

fn racks(count: usize) -> impl Iterator<Item = (DataCentre, String)> {
    (0..count).map(|number| (data_centre(number % 5), format!("rack-{number}")))
}

fn routes(delegates: &Delegates) -> Vec<Option<NodeName>> {
    racks(110)
        .map(|(data_centre, rack)| {
            let route = delegates.route(&data_centre, &rack);
            route.map(|delegate| delegate.node.clone())
        })
        .collect()
}

/// Owner on a fast node of a fleet with 15 fast and 82 slow nodes in five data centres.
fn large_fleet() -> Delegates {
    let mut delegates = Delegates::new(FAST_MILLI, 200_000);
    for number in 0..15 {
        delegates.record_offer(offer(number, 5, FAST_MILLI, 200_000), START);
    }
    for number in 15..97 {
        delegates.record_offer(offer(number, 5, SLOW_MILLI, 20_000), START);
    }
    delegates
}

/// Guards against calls that take a detour although the owner could make them.
#[gtest]
fn a_small_fleet_is_called_directly() {
    let mut delegates = Delegates::new(250, 1_000_000);
    (0..8).for_each(|number| delegates.record_offer(offer(number, 3, 250, 1_000_000), START));
    expect_that!(delegates.choose(66, START), eq(false));
    expect_that!(delegates.active(), is_empty());
    expect_that!(delegates.route(&data_centre(0), "rack"), none());
}

/// Load pattern: owner's processor full. Guards against an owner of hundreds of workers that calls
/// all of them, against delegates on slow nodes, and against data centres without one.
#[gtest]
fn a_large_fleet_is_called_through_fast_nodes_of_each_data_centre() {
    let mut delegates = large_fleet();
    expect_that!(delegates.choose(890, START), eq(true));
    let active = delegates.active();
    let capacity = worker_capacity(FAST_MILLI, 200_000) * active.len() as f64;
    expect_that!(capacity, ge(890.0 * 1.5));
    expect_that!(capacity, lt(890.0 * 1.5 + 400.0));
    let fast: Vec<NodeName> = (0..15).map(node).collect();
    expect_that!(active.iter().all(|d| fast.contains(&d.node)), eq(true));
    let near = racks(110).all(|(data_centre, rack)| {
        let route = delegates.route(&data_centre, &rack);
        active.iter().all(|d| d.data_centre != data_centre)
            || route.is_some_and(|route| route.data_centre == data_centre)
    });
    expect_that!(near, eq(true));
    let data_centres: BTreeSet<_> = active.iter().map(|d| &d.data_centre).collect();
    expect_that!(data_centres.len(), ge(active.len().min(5)));
}

/// Guards against racks that all go to one delegate of a data centre.
#[gtest]
fn racks_are_spread_over_the_delegates() {
    let mut delegates = Delegates::new(FAST_MILLI, 200_000);
    (0..4).for_each(|number| delegates.record_offer(offer(number, 1, FAST_MILLI, 200_000), START));
    delegates.choose(890, START);
    let count = delegates.active().len();
    expect_that!(count, ge(4));
    let racks = 200;
    let mut racks_of = std::collections::BTreeMap::new();
    for number in 0..racks {
        let route = delegates.route(&data_centre(0), &format!("r{number}"));
        *racks_of
            .entry(route.expect("delegate").node.clone())
            .or_insert(0) += 1;
    }
    expect_that!(racks_of.len(), eq(count));
    for (node, of_node) in racks_of {
        expect_that!(of_node, ge(racks / count / 2), "{}", node.as_str());
    }
}

/// Load pattern: owner's link full, all nodes slow, none better. Guards against an owner that has to
/// do without delegates because no node is fast.
#[gtest]
fn slow_nodes_are_used_where_there_are_no_others() {
    let mut delegates = Delegates::new(SLOW_MILLI, 2_000);
    for number in 0..16 {
        expect_that!(should_offer(SLOW_MILLI, SLOW_MILLI), eq(true));
        delegates.record_offer(offer(number, 5, SLOW_MILLI, 2_000), START);
    }
    delegates.choose(140, START);
    expect_that!(delegates.active().len(), ge(7));
    expect_that!(should_offer(SLOW_MILLI, FAST_MILLI), eq(false));
}

/// Guards against a lost delegate that moves the workers of others, and against its further use.
#[gtest]
fn a_lost_delegate_moves_only_its_own_racks() {
    let mut delegates = large_fleet();
    delegates.choose(890, START);
    let before = routes(&delegates);
    let lost = delegates.active()[1].node.clone();
    delegates.record_failure(&lost, START);
    let after = routes(&delegates);
    for (before, after) in before.iter().zip(&after) {
        expect_that!(after.as_ref(), not(some(eq(&lost))));
        if before.as_ref() != Some(&lost) {
            expect_that!(after, eq(before));
        }
    }
    delegates.choose(890, START + Millis(1_000));
    expect_that!(routes(&delegates).contains(&Some(lost.clone())), eq(false));
    delegates.record_offer(offer(1, 5, FAST_MILLI, 200_000), START + Millis(4_000));
    delegates.choose(890, START + Millis(4_000));
    expect_that!(delegates.active().len(), ge(4));
}

/// Load pattern: owner's link full. Guards against delegates that are given up because their offers
/// are late while they answer calls.
#[gtest]
fn a_delegate_that_answers_is_kept_without_offers() {
    let mut delegates = large_fleet();
    delegates.choose(890, START);
    let active: Vec<NodeName> = delegates.active().iter().map(|d| d.node.clone()).collect();
    for second in 1..=30 {
        let now = START + Millis(1_000 * second);
        active
            .iter()
            .for_each(|node| delegates.record_answer(node, now));
        delegates.choose(890, now);
        let kept = delegates.active().iter().all(|d| active.contains(&d.node));
        expect_that!(kept, eq(true), "after {second} s");
    }
    delegates.choose(890, START + Millis(60_000));
    expect_that!(delegates.active(), is_empty());
}

/// Guards against calls through a node that is about to stop.
#[gtest]
fn a_withdrawn_offer_is_not_used() {
    let mut delegates = large_fleet();
    delegates.choose(890, START);
    let stopping = delegates.active()[0].node.clone();
    let number = (0..97)
        .find(|&number| node(number) == stopping)
        .expect("node");
    let withdrawn = Offer {
        available: false,
        started_ms: 0,
        ..offer(number, 5, FAST_MILLI, 200_000)
    };
    delegates.record_offer(withdrawn, START);
    expect_that!(delegates.choose(890, START), eq(true));
    expect_that!(routes(&delegates).contains(&Some(stopping)), eq(false));
}

/// Load pattern: nodes stopped in turn on full links. Guards against a stopping node that is used again after 3 s, since
/// its last offer was late, and against a restarted one that is not.
#[gtest]
fn a_node_that_declined_is_used_again_after_its_restart() {
    let mut delegates = large_fleet();
    delegates.choose(890, START);
    let declined = delegates.active()[0].node.clone();
    let number = (0..97)
        .find(|&number| node(number) == declined)
        .expect("node");
    delegates.record_declined(&declined);
    expect_that!(
        routes(&delegates).contains(&Some(declined.clone())),
        eq(false)
    );
    let is_used = |delegates: &mut Delegates, started_ms, now| {
        let offer = Offer {
            started_ms,
            ..offer(number, 5, FAST_MILLI, 200_000)
        };
        delegates.record_offer(offer, now);
        delegates.choose(890, now);
        routes(delegates).contains(&Some(declined.clone()))
    };
    expect_that!(is_used(&mut delegates, 0, START + Millis(10)), eq(false));
    expect_that!(is_used(&mut delegates, 0, START + Millis(4_000)), eq(false));
    expect_that!(
        is_used(&mut delegates, 9_000, START + Millis(5_000)),
        eq(true)
    );
}

/// Load pattern: owner's link full. Guards against calls that wait until a connection is open, and against a pause
/// once it is open again.
#[gtest]
fn a_node_is_used_while_a_connection_to_it_is_open() {
    let mut delegates = large_fleet();
    let closed = offer(1, 5, FAST_MILLI, 200_000);
    let is_used = |delegates: &mut Delegates, is_open: bool| {
        delegates.record_offer(closed.clone(), START);
        delegates.record_connections(|address| is_open || address != closed.address);
        delegates.choose(890, START);
        routes(delegates).contains(&Some(closed.node.clone()))
    };
    expect_that!(is_used(&mut delegates, false), eq(false));
    expect_that!(is_used(&mut delegates, true), eq(true));
    delegates.record_disconnected(&closed.node);
    expect_that!(
        routes(&delegates).contains(&Some(closed.node.clone())),
        eq(false)
    );
    expect_that!(is_used(&mut delegates, false), eq(false));
    expect_that!(is_used(&mut delegates, true), eq(true));
    // Whether the owner has a connection does not matter to who should succeed it.
    delegates.record_connections(|_| false);
    expect_that!(delegates.successor(0, START), some(anything()));
}

/// Load pattern: nodes stopped in turn. Guards against a successor that is stopped next, and against one that
/// reads the state for longer than others, or is slow.
#[gtest]
fn the_successor_is_fast_was_restarted_and_has_the_widest_link() {
    let owner_started_ms = 1_000_000;
    let restarted_ms = owner_started_ms + 60_000;
    let offer = |number, cpu_milli, link_kbps, started_ms| Offer {
        started_ms,
        ..offer(number, 1, cpu_milli, link_kbps)
    };
    let mut delegates = Delegates::new(FAST_MILLI, 10_000);
    let mut expect_successor = |added: Offer, expected: usize| {
        delegates.record_offer(added, START);
        let successor = delegates.successor(owner_started_ms, START);
        expect_that!(successor, some(eq(&node(expected))));
    };
    expect_successor(offer(1, SLOW_MILLI, 90_000, restarted_ms), 1);
    expect_successor(offer(2, FAST_MILLI, 10_000, owner_started_ms), 2);
    expect_successor(offer(3, FAST_MILLI, 20_000, owner_started_ms + 900), 3);
    expect_successor(offer(4, FAST_MILLI, 10_000, restarted_ms), 4);
    expect_successor(offer(5, FAST_MILLI, 20_000, restarted_ms), 5);
    let stopping = Offer {
        available: false,
        ..offer(5, FAST_MILLI, 20_000, restarted_ms)
    };
    expect_successor(stopping, 4);
}

/// Failure: an owner that does not recover. Guards against a hand-over to a node that recovers no sooner, is about to
/// stop or is gone.
#[gtest]
fn a_better_owner_has_no_less_and_a_store_that_answers_sooner() {
    let offer = |number, cpu_milli, link_kbps, latency| Offer {
        store_latency_ms: Some(Millis(latency)),
        ..offer(number, 1, cpu_milli, link_kbps)
    };
    let mut delegates = Delegates::new(FAST_MILLI, 10_000);
    let mut expect_better = |added: Offer, now, latency, expected: Option<usize>| {
        let name = format!("{added:?}");
        delegates.record_offer(added, START);
        let store = StoreView {
            latency: Millis(latency),
            failing_for: Millis(0),
        };
        let better = delegates.better_owner(FAST_MILLI, 10_000, store, now);
        expect_that!(better, eq(expected.map(node).as_ref()), "{name}");
    };
    expect_better(offer(1, SLOW_MILLI, 10_000, 4), START, 400, None);
    expect_better(offer(2, FAST_MILLI, 9_999, 4), START, 400, None);
    expect_better(offer(3, FAST_MILLI, 10_000, 300), START, 400, None);
    expect_better(offer(4, FAST_MILLI, 10_000, 200), START, 400, Some(4));
    expect_better(offer(5, FAST_MILLI, 90_000, 30), START, 400, Some(5));
    expect_better(offer(6, FAST_MILLI, 10_000, 4), START, 400, Some(6));
    let stopping = Offer {
        available: false,
        ..offer(6, FAST_MILLI, 10_000, 4)
    };
    expect_better(stopping.clone(), START, 400, Some(5));
    expect_better(stopping, START + Millis(3_000), 400, None);
}

/// Load pattern: nodes stopped in turn, the successor of an owner among them. Guards against a shard that waits for a
/// node that is about to stop and has just begun to read, and against a successor that is named too late to read
/// the state.
#[gtest]
fn another_successor_is_named_early_or_not_at_all() {
    let next = |delegates: &Delegates, named: Option<usize>, waited_ms| {
        let named = named.map(node);
        let next = delegates.next_successor(named.as_ref(), 0, Millis(waited_ms), START);
        next.cloned()
    };
    let mut delegates = Delegates::new(FAST_MILLI, 10_000);
    // An owner that has just recovered knows no offers yet.
    expect_that!(next(&delegates, None, 0), none());
    delegates.record_offer(offer(1, 1, FAST_MILLI, 10_000), START);
    delegates.record_offer(offer(2, 1, FAST_MILLI, 20_000), START);
    expect_that!(next(&delegates, None, 700), some(eq(&node(2))));
    expect_that!(next(&delegates, None, 2_000), none());
    expect_that!(next(&delegates, Some(1), 4_000), some(eq(&node(1))));
    let stopping = Offer {
        available: false,
        ..offer(1, 1, FAST_MILLI, 10_000)
    };
    delegates.record_offer(stopping, START);
    expect_that!(next(&delegates, Some(1), 700), some(eq(&node(2))));
    // It has read most of the state, and claims it for the time that it has left.
    expect_that!(next(&delegates, Some(1), 4_000), some(eq(&node(1))));
    // One that is gone leaves the shard to any node.
    expect_that!(next(&delegates, Some(3), 4_000), none());
}
