//! Latency of synchronous requests under several routing strategies.
//!
//! 70 executors with 8 slots each, 9 entry nodes that are 1 ms apart, Poisson
//! arrivals at random nodes, exponential service times with a mean of 20 ms. The
//! load is a fraction of the total capacity. "Slow" makes every tenth executor
//! three times slower. The lower bound is a single queue (M/M/c if no executor is
//! slow) that knows all slots and costs no messages. "random" and "two choices"
//! send directly to an executor, which queues what exceeds its slots. "design" and
//! "with hedges" run the node's code on the virtual clock, including the messages
//! between nodes, with a retry budget of 0% and 10% of the requests.
//!
//! `cargo run --release --example routing [seconds] [seed]`

#[path = "../tests/requests_support/mod.rs"]
mod requests_support;

use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    rc::Rc,
};

use hemlocksaddle_node::invariant::OnViolation;
use hemlocksaddle_policy::backoff::fixed_hash;
use hemlocksaddle_types::{clock::Millis, outcome::ResultCode, unit::Unit};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use requests_support::{Behaviour, Options, SimCluster};

const EXECUTORS: usize = 70;
const SLOTS: usize = 8;
const NODES: usize = 9;
const SERVICE_US: f64 = 20_000.0;
const SLOW_FACTOR: f64 = 3.0;
const WARM_UP_US: u64 = 3_000_000;

/// Parameters of one simulation.
#[derive(Clone, Copy)]
struct Case {
    load: f64,
    slow: bool,
    end_us: u64,
    seed: u64,
}

impl Case {
    fn is_slow(&self, executor: usize) -> bool {
        self.slow && executor.is_multiple_of(10)
    }

    fn mean_us(&self, executor: usize) -> f64 {
        let factor = if self.is_slow(executor) {
            SLOW_FACTOR
        } else {
            1.0
        };
        SERVICE_US * factor
    }

    /// Requests per microsecond.
    fn rate(&self) -> f64 {
        let served = (0..EXECUTORS).map(|executor| SLOTS as f64 / self.mean_us(executor));
        self.load * served.sum::<f64>()
    }
}

/// Routing strategy of a baseline.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    SharedQueue,
    Random,
    TwoChoices,
}

fn exponential(random: &mut Pcg64Mcg, mean_us: f64) -> u64 {
    (-(1.0 - random.random::<f64>()).ln() * mean_us) as u64
}

/// Simulation of a baseline with one queue for all executors or one per executor.
struct Baseline {
    case: Case,
    strategy: Strategy,
    random: Pcg64Mcg,
    in_use: Vec<usize>,
    queues: Vec<VecDeque<(u64, usize)>>,
    counts: Vec<Vec<usize>>,
    ends: BinaryHeap<Reverse<(u64, usize, u64, usize)>>,
    latencies: Vec<u64>,
}

impl Baseline {
    fn run(case: Case, strategy: Strategy) -> Vec<u64> {
        let mut baseline = Baseline {
            case,
            strategy,
            random: Pcg64Mcg::seed_from_u64(case.seed),
            in_use: vec![0; EXECUTORS],
            queues: vec![VecDeque::new(); EXECUTORS],
            counts: vec![vec![0; EXECUTORS]; NODES],
            ends: BinaryHeap::new(),
            latencies: Vec::new(),
        };
        let mut now_us = 0;
        while now_us < case.end_us {
            now_us += exponential(&mut baseline.random, 1.0 / case.rate());
            baseline.end_until(now_us);
            baseline.arrive(now_us);
        }
        baseline.end_until(u64::MAX);
        baseline.latencies
    }

    fn arrive(&mut self, now_us: u64) {
        let node = self.random.random_range(0..NODES);
        let executor = match self.strategy {
            Strategy::SharedQueue => self.any_free(),
            Strategy::Random => self.random.random_range(0..EXECUTORS),
            Strategy::TwoChoices => {
                let first = self.random.random_range(0..EXECUTORS);
                let second = self.random.random_range(0..EXECUTORS);
                let counts = &self.counts[node];
                if counts[second] < counts[first] {
                    second
                } else {
                    first
                }
            }
        };
        self.counts[node][executor] += 1;
        if self.in_use[executor] < SLOTS {
            self.start(now_us, executor, now_us, node);
        } else {
            let queue = if self.strategy == Strategy::SharedQueue {
                0
            } else {
                executor
            };
            self.queues[queue].push_back((now_us, node));
        }
    }

    /// Executor of a random free slot; the first executor if no slot is free.
    fn any_free(&mut self) -> usize {
        let free: usize = self.in_use.iter().map(|in_use| SLOTS - in_use).sum();
        if free == 0 {
            return 0;
        }
        let mut index = self.random.random_range(0..free);
        let found = self.in_use.iter().position(|in_use| {
            let free = SLOTS - in_use;
            let here = index < free;
            index = index.saturating_sub(free);
            here
        });
        found.unwrap_or(0)
    }

    fn start(&mut self, now_us: u64, executor: usize, arrived_us: u64, node: usize) {
        self.in_use[executor] += 1;
        let mean_us = self.case.mean_us(executor);
        let end_us = now_us + exponential(&mut self.random, mean_us);
        self.ends
            .push(Reverse((end_us, executor, arrived_us, node)));
    }

    fn end_until(&mut self, until_us: u64) {
        while let Some(Reverse((end_us, executor, arrived_us, node))) = self.ends.peek().copied() {
            if end_us > until_us {
                return;
            }
            self.ends.pop();
            self.in_use[executor] -= 1;
            self.counts[node][executor] -= 1;
            if arrived_us >= WARM_UP_US {
                self.latencies.push(end_us - arrived_us);
            }
            let queue = if self.strategy == Strategy::SharedQueue {
                0
            } else {
                executor
            };
            if let Some((arrived_us, node)) = self.queues[queue].pop_front() {
                self.start(end_us, executor, arrived_us, node);
            }
        }
    }
}

/// Runs the node's code; returns the latencies, the number of failed requests, and message counts.
fn run_node_code(case: Case, retry_percent: u32) -> (Vec<u64>, usize, String) {
    let cluster = SimCluster::new(&Options {
        seed: case.seed,
        nodes: NODES,
        executors: EXECUTORS,
        slots: SLOTS as u32,
        on_violation: OnViolation::Panic,
        retry_percent,
        keep_runs: false,
    });
    for executor in 0..EXECUTORS {
        let mean_us = case.mean_us(executor) as u64;
        let state = &cluster.executors[executor];
        state.behaviour.set(Behaviour::Exponential(mean_us));
        let score = |node: &usize| fixed_hash((*node, executor));
        let owner = (0..NODES).max_by_key(score).unwrap_or(0);
        cluster.set_owner(executor, owner);
    }
    let latencies = Rc::new(RefCell::new(Vec::new()));
    let failed = Rc::new(RefCell::new(0));
    let sent = Rc::new(RefCell::new(0_u64));
    let mut random = Pcg64Mcg::seed_from_u64(case.seed);
    let driver = {
        let (cluster, latencies, failed) = (cluster.clone(), latencies.clone(), failed.clone());
        let sent = sent.clone();
        async move {
            let mut at_us = 1_000_000;
            while at_us < case.end_us {
                at_us += exponential(&mut random, 1.0 / case.rate());
                cluster.sim.sleep_until(at_us).await;
                *sent.borrow_mut() += 1;
                let node = random.random_range(0..NODES);
                let request = cluster.request(node, None, 10_000);
                let requests = cluster.nodes.borrow()[node].clone();
                let (sim, latencies, failed) =
                    (cluster.sim.clone(), latencies.clone(), failed.clone());
                cluster.sim.spawn(0, async move {
                    let response = requests.execute(request).await;
                    if response.code != ResultCode::Completed {
                        *failed.borrow_mut() += 1;
                    } else if at_us >= WARM_UP_US {
                        latencies.borrow_mut().push(sim.now_us() - at_us);
                    }
                });
            }
        }
    };
    cluster.sim.block_on(driver);
    cluster.sim.run_for(Millis(2_000));
    let requests = *sent.borrow() as f64;
    let calls = cluster.calls.borrow();
    let count = |kind| calls.get(kind).copied().unwrap_or(0) as f64;
    let messages = format!(
        "{:.2} forwards and {:.3} pulls a request, {:.1} heartbeats a second and node",
        count("forward") / requests,
        count("pull") / requests,
        count("beat") / NODES as f64 / (case.end_us as f64 / 1e6)
    );
    drop(calls);
    let owned = |node| {
        let owners = cluster.owners.borrow();
        let targets = owners
            .iter()
            .filter(|(unit, _)| matches!(unit, Unit::Target(..)));
        targets.filter(|(_, owner)| **owner == node).count()
    };
    let owned: Vec<usize> = (0..NODES).map(owned).collect();
    let messages = format!("{messages}; executors per node {owned:?}");
    let peak = cluster.executors.iter().map(|e| e.peak_in_use.get()).max();
    assert!(
        peak <= Some(SLOTS as u32),
        "an executor got more than its slots"
    );
    cluster.sim.close();
    (latencies.take(), *failed.borrow(), messages)
}

/// Prints one row of percentiles and returns the 99th in milliseconds.
fn report(name: &str, mut latencies: Vec<u64>, bound_ms: Option<f64>) -> f64 {
    latencies.sort_unstable();
    let at = |share: f64| {
        let index = (latencies.len() as f64 * share) as usize;
        latencies[index.min(latencies.len() - 1)] as f64 / 1_000.0
    };
    let p99_ms = at(0.99);
    let ratio = bound_ms.map_or(1.0, |bound_ms| p99_ms / bound_ms);
    println!(
        "  {name:<13} p50 {:>7.1}  p99 {p99_ms:>7.1}  p99.9 {:>7.1} ms  p99 / bound {ratio:.3}",
        at(0.5),
        at(0.999)
    );
    p99_ms
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default| {
        arguments
            .next()
            .map_or(Some(default), |text| text.parse().ok())
    };
    let seconds: u64 = number(20).expect("seconds is a number");
    let seed = number(1).expect("seed is a number");
    println!("{seconds} s of virtual time, seed {seed}");
    for slow in [false, true] {
        for load in [0.5, 0.8, 0.95] {
            let case = Case {
                load,
                slow,
                end_us: WARM_UP_US + seconds * 1_000_000,
                seed,
            };
            println!("load {:.0}%, one in ten slow: {slow}", load * 100.0);
            let bound_ms = report(
                "shared queue",
                Baseline::run(case, Strategy::SharedQueue),
                None,
            );
            report(
                "random",
                Baseline::run(case, Strategy::Random),
                Some(bound_ms),
            );
            let two_choices = Baseline::run(case, Strategy::TwoChoices);
            report("two choices", two_choices, Some(bound_ms));
            for (name, retry_percent) in [("design", 0), ("with hedges", 10)] {
                let (latencies, failed, messages) = run_node_code(case, retry_percent);
                report(name, latencies, Some(bound_ms));
                println!("    {failed} requests failed; {messages}");
            }
        }
    }
}
