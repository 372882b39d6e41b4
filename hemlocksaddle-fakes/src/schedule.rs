//! Faults of a randomised run: drawn from the seed, alone and in pairs.

use std::rc::Rc;

use hemlocksaddle_types::{
    clock::Millis,
    host::{Host, HostRole, HostState},
    name::WorkerName,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    platform::{Faults, name},
    runtime::ENVIRONMENT,
    workload::Workload,
};

/// Time between the notice that a data centre leaves and its end.
const NOTICE: Millis = Millis(8_000);
/// Time that a planned stop of a node may take.
const STOP_WITHIN: Millis = Millis(120_000);

/// Kind of a fault with what it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "the names are those of section 1.7 of the design"
)]
pub enum Kind {
    LoadShift { percent: u64 },
    NoisyWave { milli: u64 },
    WorkerDeath(usize),
    RackDeath(usize),
    FailingWorker(usize),
    SlowExecutor(usize),
    ExecutorDeath(usize),
    LateAnswers { percent: u64 },
    CancellationWave,
    NodeDeath(usize),
    NodePause(usize),
    NodeStop(usize),
    LogDown,
    LogSlow { by_ms: u64 },
    LostAppends { percent: u64 },
    LateAppends { percent: u64 },
    LogOutOfReach(usize),
    LostAnswers { percent: u64 },
    HostListLag { ms: u64 },
    RacingOperators,
    SilentConnections { percent: u64 },
    TakeOut(usize),
    DataCentreLeaves(usize),
    DataCentreLost(usize),
    Partition(usize, usize),
}

/// Fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// True time of its beginning.
    pub at: Millis,
    /// How long it lasts.
    pub lasts: Millis,
    /// Kind.
    pub kind: Kind,
}

/// Draws the faults of a run; the last one ends before the span does.
#[must_use]
pub fn draw(seed: u64, span: Millis) -> Vec<Planned> {
    let random = &mut Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let mut planned = Vec::new();
    let mut at = 30_000;
    loop {
        let lasts = random.random_range(4_000..45_000);
        if at + 2 * lasts > span.0 {
            return planned;
        }
        let mut end = at + lasts;
        let mut add = |at, lasts, kind| {
            planned.push(Planned {
                at: Millis(at),
                lasts: Millis(lasts),
                kind,
            })
        };
        add(at, lasts, Kind::draw(random));
        if random.random_range(0..2) == 0 {
            let second = at + random.random_range(0..lasts);
            add(second, lasts, Kind::draw(random));
            end = second + lasts;
        }
        at = end + random.random_range(5_000..40_000);
    }
}

impl Kind {
    fn draw(random: &mut Pcg64Mcg) -> Kind {
        let index = random.random_range(0..64);
        let other = index + random.random_range(1..3);
        let percent = random.random_range(5..60);
        match random.random_range(0..25) {
            0 => Kind::LoadShift {
                percent: percent * 6,
            },
            1 => Kind::NoisyWave {
                milli: percent * 40,
            },
            2 => Kind::WorkerDeath(index),
            3 => Kind::RackDeath(index),
            4 => Kind::FailingWorker(index),
            5 => Kind::SlowExecutor(index),
            6 => Kind::ExecutorDeath(index),
            7 => Kind::LateAnswers { percent },
            8 => Kind::CancellationWave,
            9 => Kind::NodeDeath(index),
            10 => Kind::NodePause(index),
            11 => Kind::NodeStop(index),
            12 => Kind::LogDown,
            13 => Kind::LogSlow {
                by_ms: percent * 10,
            },
            14 => Kind::LostAppends { percent },
            15 => Kind::LateAppends { percent },
            16 => Kind::LogOutOfReach(index),
            17 => Kind::LostAnswers {
                percent: percent / 2,
            },
            18 => Kind::HostListLag { ms: percent * 200 },
            19 => Kind::RacingOperators,
            20 => Kind::SilentConnections {
                percent: percent + 40,
            },
            21 => Kind::TakeOut(index),
            22 => Kind::DataCentreLeaves(index),
            23 => Kind::DataCentreLost(index),
            _ => Kind::Partition(index, other),
        }
    }

    /// Whether a data centre leaves and returns.
    #[must_use]
    pub fn is_change(self) -> bool {
        matches!(
            self,
            Kind::TakeOut(_) | Kind::DataCentreLeaves(_) | Kind::DataCentreLost(_)
        )
    }

    fn keeps_documents_away(self) -> bool {
        use Kind::*;
        matches!(
            self,
            NodePause(_)
                | LogDown
                | LogSlow { .. }
                | LostAppends { .. }
                | LateAppends { .. }
                | LogOutOfReach(_)
                | LostAnswers { .. }
                | SilentConnections { .. }
                | Partition(..)
        )
    }
}

impl Workload {
    /// Begins a fault, waits and ends it.
    pub async fn strike(self: Rc<Self>, planned: Planned) {
        let platform = &self.cluster.platform;
        platform.sim.sleep_until(planned.at.0 * 1_000).await;
        if planned.kind.keeps_documents_away() {
            self.cluster.disturb(true);
        }
        self.clone().strike_now(planned.kind, planned.lasts).await;
        if planned.kind.keeps_documents_away() {
            self.cluster.disturb(false);
        }
    }

    async fn strike_now(self: Rc<Self>, kind: Kind, lasts: Millis) {
        match kind {
            Kind::LoadShift { percent } => {
                self.load_percent.set(percent);
                self.wait(lasts).await;
                self.load_percent.set(100);
            }
            Kind::NoisyWave { milli } => {
                self.with(lasts, |faults| &mut faults.noise_milli, milli)
                    .await
            }
            Kind::LateAnswers { percent } => {
                self.with(lasts, |faults| &mut faults.late_answers_percent, percent)
                    .await;
            }
            Kind::LogDown => self.with(lasts, |faults| &mut faults.log_down, true).await,
            Kind::LogSlow { by_ms } => {
                self.with(lasts, |faults| &mut faults.log_slow, Millis(by_ms))
                    .await
            }
            Kind::LostAppends { percent } => {
                self.with(lasts, |faults| &mut faults.log_lost_percent, percent)
                    .await;
            }
            Kind::LateAppends { percent } => {
                self.with(lasts, |faults| &mut faults.log_late_percent, percent)
                    .await;
            }
            Kind::LostAnswers { percent } => {
                self.with(lasts, |faults| &mut faults.lost_answers_percent, percent)
                    .await;
            }
            Kind::HostListLag { ms } => {
                self.with(lasts, |faults| &mut faults.hosts_lag, Millis(ms))
                    .await
            }
            Kind::CancellationWave => self.cancel_wave().await,
            Kind::RacingOperators => self.race(lasts).await,
            Kind::SilentConnections { percent } => self.cluster.platform.silence(percent),
            Kind::TakeOut(index) => self.take_out(index, lasts).await,
            Kind::Partition(one, other) => {
                let names = &self.cluster.platform.deployment.data_centres;
                self.cut(names[one % 3], names[other % 3], lasts).await;
            }
            Kind::LogOutOfReach(index) => {
                let node = self.node(index);
                let name = self.cluster.platform.nodes[node].node.clone();
                self.cut(name.as_str(), "log", lasts).await;
            }
            _ => self.strike_hosts(kind, lasts).await,
        }
    }

    async fn strike_hosts(self: Rc<Self>, kind: Kind, lasts: Millis) {
        let platform = &self.cluster.platform;
        let (workers, rack) = platform.deployment.workers;
        match kind {
            Kind::WorkerDeath(index) => self.lose_workers(index % workers, 1, lasts).await,
            Kind::RackDeath(index) => {
                let racks = workers.div_ceil(rack);
                self.lose_workers(index % racks * rack, rack, lasts).await;
            }
            Kind::FailingWorker(index) => {
                let worker = name::<WorkerName>(&format!("worker-{}", index % workers));
                platform.set_fails_all(&worker, true);
                self.wait(lasts).await;
                platform.set_fails_all(&worker, false);
            }
            Kind::SlowExecutor(index) | Kind::ExecutorDeath(index) => {
                let hosts = platform.true_hosts();
                let mut executors = hosts.iter().filter(|host| is_executor(host));
                let Some(host) = executors.nth(index % platform.deployment.executors) else {
                    return;
                };
                let dead = matches!(kind, Kind::ExecutorDeath(_));
                platform.set_slow(&host.address, 1_000);
                platform.set_dead(&host.address.to_string(), dead);
                self.wait(lasts).await;
                platform.set_slow(&host.address, 100);
                platform.set_dead(&host.address.to_string(), false);
            }
            Kind::NodeDeath(index) => {
                self.cluster.kill_node(self.node(index));
                self.wait(lasts).await;
                self.cluster.start_node(self.node(index));
            }
            Kind::NodePause(index) => {
                platform
                    .sim
                    .pause(&platform.nodes[self.node(index)].node, lasts);
                self.wait(lasts).await;
            }
            Kind::NodeStop(index) => {
                let node = self.node(index);
                if !self.cluster.stop_node(node, STOP_WITHIN).await {
                    let detail = format!("node {node} did not stop within {STOP_WITHIN}");
                    platform
                        .judges
                        .report(crate::judge::Rule::Unsettled, detail);
                }
                self.wait(lasts).await;
                self.cluster.start_node(node);
            }
            Kind::DataCentreLeaves(index) => self.lose_data_centre(index, NOTICE, lasts).await,
            Kind::DataCentreLost(index) => self.lose_data_centre(index, Millis(0), lasts).await,
            _ => {}
        }
    }

    async fn wait(&self, span: Millis) {
        self.cluster.platform.sim.sleep(span).await;
    }

    fn node(&self, index: usize) -> usize {
        index % self.cluster.platform.nodes.len()
    }

    /// Sets a field of the faults for a span.
    async fn with<T>(&self, lasts: Millis, field: impl Fn(&mut Faults) -> &mut T, value: T) {
        let faults = &self.cluster.platform.faults;
        *field(&mut faults.borrow_mut()) = value;
        self.wait(lasts).await;
        std::mem::swap(
            field(&mut faults.borrow_mut()),
            field(&mut Faults::default()),
        );
    }

    async fn cut(&self, one: &str, other: &str, lasts: Millis) {
        self.cluster.platform.set_cut(one, other, true);
        self.wait(lasts).await;
        self.cluster.platform.set_cut(one, other, false);
    }

    async fn race(self: &Rc<Self>, lasts: Millis) {
        for _ in 0..1 + lasts.0 / 10_000 {
            let one = self.publish_once();
            let other = self.publish_once();
            futures_util::future::join(one, other).await;
            self.wait(Millis(1_000)).await;
        }
    }

    async fn take_out(self: Rc<Self>, index: usize, lasts: Millis) {
        let data_centre = self.cluster.platform.deployment.data_centres[index % 3];
        self.out.borrow_mut().insert(data_centre);
        self.clone().publish().await;
        self.wait(lasts).await;
        self.out.borrow_mut().remove(data_centre);
        self.clone().publish().await;
    }

    async fn lose_workers(&self, first: usize, count: usize, lasts: Millis) {
        let numbers = first..(first + count).min(self.cluster.platform.deployment.workers.0);
        let names: Vec<WorkerName> = numbers
            .map(|number| name(&format!("worker-{number}")))
            .collect();
        names
            .iter()
            .for_each(|name| self.cluster.platform.kill_worker(name));
        self.wait(lasts).await;
        names
            .iter()
            .for_each(|name| self.cluster.platform.restart_worker(name));
    }

    /// Lets all hosts of a data centre die, after a notice in the host list if it is not zero.
    async fn lose_data_centre(self: &Rc<Self>, index: usize, notice: Millis, lasts: Millis) {
        let platform = &self.cluster.platform;
        let data_centre = platform.deployment.data_centre(index);
        let within = |host: &Host| host.data_centre == data_centre;
        let hosts: Vec<Host> = platform.true_hosts().into_iter().filter(within).collect();
        let all = 0..platform.nodes.len();
        let nodes = all.filter(|node| platform.nodes[*node].data_centre == data_centre);
        let nodes: Vec<usize> = nodes.collect();
        if notice > Millis(0) {
            platform.set_state(HostState::Leaving, within);
            for node in nodes.iter().copied() {
                let cluster = self.cluster.clone();
                platform.sim.spawn(ENVIRONMENT, async move {
                    cluster.stop_node(node, NOTICE).await;
                });
            }
            self.wait(notice).await;
        }
        platform.set_state(HostState::Gone, within);
        nodes.iter().for_each(|node| self.cluster.kill_node(*node));
        self.set_hosts_dead(&hosts, true);
        self.wait(lasts).await;
        self.set_hosts_dead(&hosts, false);
        platform.set_state(HostState::Live, within);
        nodes.iter().for_each(|node| self.cluster.start_node(*node));
    }

    fn set_hosts_dead(&self, hosts: &[Host], dead: bool) {
        let platform = &self.cluster.platform;
        for host in hosts {
            match &host.role {
                HostRole::Worker { name, .. } if dead => platform.kill_worker(name),
                HostRole::Worker { name, .. } => platform.restart_worker(name),
                HostRole::Executor { .. } => platform.set_dead(&host.address.to_string(), dead),
                HostRole::Node { .. } => {}
            }
        }
    }
}

fn is_executor(host: &Host) -> bool {
    matches!(host.role, HostRole::Executor { .. })
}
