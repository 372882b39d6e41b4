//! Faults of a randomised run: generated from the seed, single or in overlapping pairs.

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

/// Time between the announcement that a data centre leaves and the end of its hosts.
const LEAVE_NOTICE: Millis = Millis(8_000);
/// Time that a planned stop of a node may take.
const STOP_TIMEOUT: Millis = Millis(120_000);

/// Kind of a fault, with its parameters or target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "the names are those of section 1.7 of the design"
)]
pub enum FaultKind {
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

/// Fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// True time of its start.
    pub at: Millis,
    /// Duration.
    pub duration: Millis,
    /// Kind.
    pub kind: FaultKind,
}

/// Generates the faults of a run; the last one ends before the run's duration does.
#[must_use]
pub fn generate(seed: u64, run_duration: Millis) -> Vec<ScheduledFault> {
    let random = &mut Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let mut scheduled = Vec::new();
    let mut at = 30_000;
    loop {
        let duration = random.random_range(4_000..45_000);
        if at + 2 * duration > run_duration.0 {
            return scheduled;
        }
        let mut end = at + duration;
        let mut add = |at, duration, kind| {
            scheduled.push(ScheduledFault {
                at: Millis(at),
                duration: Millis(duration),
                kind,
            })
        };
        add(at, duration, FaultKind::generate(random));
        if random.random_range(0..2) == 0 {
            let second = at + random.random_range(0..duration);
            add(second, duration, FaultKind::generate(random));
            end = second + duration;
        }
        at = end + random.random_range(5_000..40_000);
    }
}

impl FaultKind {
    fn generate(random: &mut Pcg64Mcg) -> FaultKind {
        let index = random.random_range(0..64);
        let other = index + random.random_range(1..3);
        let percent = random.random_range(5..60);
        match random.random_range(0..25) {
            0 => FaultKind::LoadShift {
                percent: percent * 6,
            },
            1 => FaultKind::NoisyWave {
                milli: percent * 40,
            },
            2 => FaultKind::WorkerDeath(index),
            3 => FaultKind::RackDeath(index),
            4 => FaultKind::FailingWorker(index),
            5 => FaultKind::SlowExecutor(index),
            6 => FaultKind::ExecutorDeath(index),
            7 => FaultKind::LateAnswers { percent },
            8 => FaultKind::CancellationWave,
            9 => FaultKind::NodeDeath(index),
            10 => FaultKind::NodePause(index),
            11 => FaultKind::NodeStop(index),
            12 => FaultKind::LogDown,
            13 => FaultKind::LogSlow {
                by_ms: percent * 10,
            },
            14 => FaultKind::LostAppends { percent },
            15 => FaultKind::LateAppends { percent },
            16 => FaultKind::LogOutOfReach(index),
            17 => FaultKind::LostAnswers {
                percent: percent / 2,
            },
            18 => FaultKind::HostListLag { ms: percent * 200 },
            19 => FaultKind::RacingOperators,
            20 => FaultKind::SilentConnections {
                percent: percent + 40,
            },
            21 => FaultKind::TakeOut(index),
            22 => FaultKind::DataCentreLeaves(index),
            23 => FaultKind::DataCentreLost(index),
            _ => FaultKind::Partition(index, other),
        }
    }

    /// Whether a data centre leaves and returns.
    #[must_use]
    pub fn removes_data_centre(self) -> bool {
        matches!(
            self,
            FaultKind::TakeOut(_) | FaultKind::DataCentreLeaves(_) | FaultKind::DataCentreLost(_)
        )
    }

    fn delays_documents(self) -> bool {
        use FaultKind::*;
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
    /// Starts a fault at its time and ends it after its duration.
    pub async fn inject(self: Rc<Self>, scheduled: ScheduledFault) {
        let platform = &self.cluster.platform;
        platform.sim.sleep_until(scheduled.at.0 * 1_000).await;
        if scheduled.kind.delays_documents() {
            self.cluster.record_document_fault(true);
        }
        self.clone()
            .inject_now(scheduled.kind, scheduled.duration)
            .await;
        if scheduled.kind.delays_documents() {
            self.cluster.record_document_fault(false);
        }
    }

    async fn inject_now(self: Rc<Self>, kind: FaultKind, duration: Millis) {
        match kind {
            FaultKind::LoadShift { percent } => {
                self.load_percent.set(percent);
                self.wait(duration).await;
                self.load_percent.set(100);
            }
            FaultKind::NoisyWave { milli } => {
                self.with_fault(
                    duration,
                    |faults| &mut faults.batch_interference_milli,
                    milli,
                )
                .await
            }
            FaultKind::LateAnswers { percent } => {
                self.with_fault(
                    duration,
                    |faults| &mut faults.late_responses_percent,
                    percent,
                )
                .await;
            }
            FaultKind::LogDown => {
                self.with_fault(duration, |faults| &mut faults.log_down, true)
                    .await
            }
            FaultKind::LogSlow { by_ms } => {
                self.with_fault(duration, |faults| &mut faults.log_slow, Millis(by_ms))
                    .await
            }
            FaultKind::LostAppends { percent } => {
                self.with_fault(duration, |faults| &mut faults.log_lost_percent, percent)
                    .await;
            }
            FaultKind::LateAppends { percent } => {
                self.with_fault(duration, |faults| &mut faults.log_late_percent, percent)
                    .await;
            }
            FaultKind::LostAnswers { percent } => {
                self.with_fault(
                    duration,
                    |faults| &mut faults.lost_responses_percent,
                    percent,
                )
                .await;
            }
            FaultKind::HostListLag { ms } => {
                self.with_fault(duration, |faults| &mut faults.hosts_lag, Millis(ms))
                    .await
            }
            FaultKind::CancellationWave => self.cancel_wave().await,
            FaultKind::RacingOperators => self.publish_concurrently(duration).await,
            FaultKind::SilentConnections { percent } => self.cluster.platform.silence(percent),
            FaultKind::TakeOut(index) => self.mark_data_centre_out(index, duration).await,
            FaultKind::Partition(one, other) => {
                let names = &self.cluster.platform.deployment.data_centres;
                self.partition(names[one % 3], names[other % 3], duration)
                    .await;
            }
            FaultKind::LogOutOfReach(index) => {
                let node = self.node(index);
                let name = self.cluster.platform.nodes[node].node.clone();
                self.partition(name.as_str(), "log", duration).await;
            }
            _ => self.inject_host_fault(kind, duration).await,
        }
    }

    async fn inject_host_fault(self: Rc<Self>, kind: FaultKind, duration: Millis) {
        let platform = &self.cluster.platform;
        let (workers, per_rack) = platform.deployment.workers;
        match kind {
            FaultKind::WorkerDeath(index) => self.crash_workers(index % workers, 1, duration).await,
            FaultKind::RackDeath(index) => {
                let racks = workers.div_ceil(per_rack);
                self.crash_workers(index % racks * per_rack, per_rack, duration)
                    .await;
            }
            FaultKind::FailingWorker(index) => {
                let worker = name::<WorkerName>(&format!("worker-{}", index % workers));
                platform.set_fails_all(&worker, true);
                self.wait(duration).await;
                platform.set_fails_all(&worker, false);
            }
            FaultKind::SlowExecutor(index) | FaultKind::ExecutorDeath(index) => {
                let hosts = platform.true_hosts();
                let mut executors = hosts.iter().filter(|host| is_executor(host));
                let Some(host) = executors.nth(index % platform.deployment.executors) else {
                    return;
                };
                let dead = matches!(kind, FaultKind::ExecutorDeath(_));
                platform.set_service_time_percent(&host.address, 1_000);
                platform.set_dead(&host.address.to_string(), dead);
                self.wait(duration).await;
                platform.set_service_time_percent(&host.address, 100);
                platform.set_dead(&host.address.to_string(), false);
            }
            FaultKind::NodeDeath(index) => {
                self.cluster.kill_node(self.node(index));
                self.wait(duration).await;
                self.cluster.start_node(self.node(index));
            }
            FaultKind::NodePause(index) => {
                platform
                    .sim
                    .pause(&platform.nodes[self.node(index)].node, duration);
                self.wait(duration).await;
            }
            FaultKind::NodeStop(index) => {
                let node = self.node(index);
                if !self.cluster.stop_node(node, STOP_TIMEOUT).await {
                    let detail = format!("node {node} did not stop within {STOP_TIMEOUT}");
                    platform
                        .checker
                        .report(crate::checker::Rule::Unsettled, detail);
                }
                self.wait(duration).await;
                self.cluster.start_node(node);
            }
            FaultKind::DataCentreLeaves(index) => {
                self.fail_data_centre(index, LEAVE_NOTICE, duration).await
            }
            FaultKind::DataCentreLost(index) => {
                self.fail_data_centre(index, Millis(0), duration).await
            }
            _ => {}
        }
    }

    async fn wait(&self, duration: Millis) {
        self.cluster.platform.sim.sleep(duration).await;
    }

    fn node(&self, index: usize) -> usize {
        index % self.cluster.platform.nodes.len()
    }

    /// Sets a field of the faults for a duration, then resets it to its default.
    async fn with_fault<T>(
        &self,
        duration: Millis,
        field: impl Fn(&mut Faults) -> &mut T,
        value: T,
    ) {
        let faults = &self.cluster.platform.faults;
        *field(&mut faults.borrow_mut()) = value;
        self.wait(duration).await;
        std::mem::swap(
            field(&mut faults.borrow_mut()),
            field(&mut Faults::default()),
        );
    }

    async fn partition(&self, one: &str, other: &str, duration: Millis) {
        self.cluster.platform.set_partitioned(one, other, true);
        self.wait(duration).await;
        self.cluster.platform.set_partitioned(one, other, false);
    }

    async fn publish_concurrently(self: &Rc<Self>, duration: Millis) {
        for _ in 0..1 + duration.0 / 10_000 {
            let one = self.publish_once();
            let other = self.publish_once();
            futures_util::future::join(one, other).await;
            self.wait(Millis(1_000)).await;
        }
    }

    async fn mark_data_centre_out(self: Rc<Self>, index: usize, duration: Millis) {
        let data_centre = self.cluster.platform.deployment.data_centres[index % 3];
        self.data_centres_out.borrow_mut().insert(data_centre);
        self.clone().publish().await;
        self.wait(duration).await;
        self.data_centres_out.borrow_mut().remove(data_centre);
        self.clone().publish().await;
    }

    async fn crash_workers(&self, first: usize, count: usize, duration: Millis) {
        let numbers = first..(first + count).min(self.cluster.platform.deployment.workers.0);
        let names: Vec<WorkerName> = numbers
            .map(|number| name(&format!("worker-{number}")))
            .collect();
        names
            .iter()
            .for_each(|name| self.cluster.platform.kill_worker(name));
        self.wait(duration).await;
        names
            .iter()
            .for_each(|name| self.cluster.platform.restart_worker(name));
    }

    /// Kills all hosts of a data centre and restores them after `duration`.
    ///
    /// If `notice` is not zero, the host list first shows them as leaving for that
    /// time, and the nodes are stopped as planned.
    async fn fail_data_centre(self: &Rc<Self>, index: usize, notice: Millis, duration: Millis) {
        let platform = &self.cluster.platform;
        let data_centre = platform.deployment.data_centre(index);
        let in_data_centre = |host: &Host| host.data_centre == data_centre;
        let hosts: Vec<Host> = platform
            .true_hosts()
            .into_iter()
            .filter(in_data_centre)
            .collect();
        let all = 0..platform.nodes.len();
        let nodes = all.filter(|node| platform.nodes[*node].data_centre == data_centre);
        let nodes: Vec<usize> = nodes.collect();
        if notice > Millis(0) {
            platform.set_state(HostState::Leaving, in_data_centre);
            for node in nodes.iter().copied() {
                let cluster = self.cluster.clone();
                platform.sim.spawn(ENVIRONMENT, async move {
                    cluster.stop_node(node, LEAVE_NOTICE).await;
                });
            }
            self.wait(notice).await;
        }
        platform.set_state(HostState::Gone, in_data_centre);
        nodes.iter().for_each(|node| self.cluster.kill_node(*node));
        self.set_hosts_dead(&hosts, true);
        self.wait(duration).await;
        self.set_hosts_dead(&hosts, false);
        platform.set_state(HostState::Live, in_data_centre);
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
