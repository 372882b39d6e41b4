//! Single-threaded executor with a virtual clock and seeded scheduling.
//!
//! Time advances only when no task is ready; it then jumps to the next timer. The
//! seed decides which ready task runs next, so that a seed always reproduces the
//! same run and different seeds give different interleavings. Each process has
//! its own clocks, which differ from true time in offset and rate.

use std::{
    cell::{Ref, RefCell, RefMut},
    collections::BTreeMap,
    future::Future,
    pin::{Pin, pin},
    rc::Rc,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Wake, Waker},
};

use hemlocksaddle_node::ports::{PortFuture, Runtime};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    name::NodeName,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Wall-clock time at which every run starts.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Bound on the offset of a process's wall clock from true time.
const MAX_WALL_OFFSET_MS: u64 = 50;
/// Largest rate error of a process's clock, in parts per million.
const MAX_RATE_ERROR_PPM: u64 = 10_000;
/// Longest sleep, about 100 days; keeps times in microseconds from overflowing.
const MAX_SLEEP_US: u64 = 1 << 43;
/// Multiplier of the trace hash: the 64-bit FNV prime.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Polls at one virtual instant after which the run counts as a busy loop.
const MAX_POLLS_PER_INSTANT: u64 = 2_000_000;

/// Index of a simulated process, which has its own clocks and can be paused or killed.
pub type ProcessId = usize;

/// Process of the test environment; its clocks show true time.
pub const ENVIRONMENT: ProcessId = 0;

struct TaskWaker {
    id: u64,
    queued: AtomicBool,
    woken: Arc<Mutex<Vec<u64>>>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            let mut woken = self.woken.lock().unwrap_or_else(PoisonError::into_inner);
            woken.push(self.id);
        }
    }
}

struct Task {
    process: ProcessId,
    future: PortFuture<'static, ()>,
    waker: Arc<TaskWaker>,
}

#[derive(Default)]
struct Process {
    offset_ms: u64,
    rate_ppm: i64,
    dead: bool,
    paused_until_us: u64,
    deferred: Vec<u64>,
    /// Start and end of the latest suspension of its machine.
    suspension_us: (u64, u64),
    /// Duration of earlier suspensions.
    suspended_us: u64,
}

impl Process {
    fn rate(&self) -> u64 {
        (1_000_000 + self.rate_ppm).unsigned_abs()
    }

    /// True time until `now_us` that its machine was suspended.
    fn suspended_us(&self, now_us: u64) -> u64 {
        let (from_us, until_us) = self.suspension_us;
        self.suspended_us + now_us.min(until_us).saturating_sub(from_us)
    }

    /// Microseconds that its monotonic clock has counted since the start of the run.
    fn counted_us(&self, now_us: u64) -> u64 {
        (now_us - self.suspended_us(now_us)) * self.rate() / 1_000_000
    }

    /// Converts counted microseconds to true time, if no suspension follows `now_us`.
    fn true_us(&self, counted_us: u64, now_us: u64) -> u64 {
        counted_us * 1_000_000 / self.rate() + self.suspended_us(now_us)
    }
}

struct State {
    now_us: u64,
    polls: u64,
    trace_hash: u64,
    next_id: u64,
    random: Pcg64Mcg,
    tasks: BTreeMap<u64, Task>,
    ready: Vec<u64>,
    timers: BTreeMap<(u64, u64), Waker>,
    processes: Vec<Process>,
    nodes: BTreeMap<NodeName, ProcessId>,
}

/// Executor, virtual clock and random number generator of one run.
#[derive(Clone)]
pub struct SimRuntime {
    state: Rc<RefCell<State>>,
    woken: Arc<Mutex<Vec<u64>>>,
}

impl SimRuntime {
    /// Creates an executor at time zero.
    #[must_use]
    pub fn new(seed: u64) -> SimRuntime {
        let state = State {
            now_us: 0,
            polls: 0,
            trace_hash: seed,
            next_id: 1,
            random: Pcg64Mcg::seed_from_u64(seed),
            tasks: BTreeMap::new(),
            ready: Vec::new(),
            timers: BTreeMap::new(),
            processes: vec![Process::default()],
            nodes: BTreeMap::new(),
        };
        SimRuntime {
            state: Rc::new(RefCell::new(state)),
            woken: Arc::default(),
        }
    }

    fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    fn state_mut(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// True time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(self.now_us() / 1_000)
    }

    /// True time since the start of the run in microseconds.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.state().now_us
    }

    /// Hash over the order and times of all task polls.
    #[must_use]
    pub fn trace_hash(&self) -> u64 {
        self.state().trace_hash
    }

    /// Converts a time of a process's monotonic clock to true time in microseconds.
    #[must_use]
    pub fn true_us(&self, process: ProcessId, local: MonoMs) -> u64 {
        let now_us = self.now_us();
        let process = &self.state().processes[process];
        let counted_us = local.0.saturating_sub(process.offset_ms) * 1_000;
        process.true_us(counted_us, now_us)
    }

    /// Uniform random number below a bound; 0 if the bound is 0.
    #[must_use]
    pub fn below(&self, bound: u64) -> u64 {
        self.state_mut().random.random_range(0..bound.max(1))
    }

    /// Adds a process with a random clock offset and rate.
    #[must_use]
    pub fn new_process(&self) -> ProcessId {
        let process = Process {
            offset_ms: self.below(1_000_000_000),
            rate_ppm: self.below(2 * MAX_RATE_ERROR_PPM + 1).cast_signed()
                - MAX_RATE_ERROR_PPM.cast_signed(),
            ..Process::default()
        };
        let processes = &mut self.state_mut().processes;
        processes.push(process);
        processes.len() - 1
    }

    /// Runtime port of a process.
    #[must_use]
    pub fn runtime(&self, process: ProcessId) -> Rc<dyn Runtime> {
        let sim = self.clone();
        Rc::new(ProcessRuntime { sim, process })
    }

    /// Runtime port of the process that runs a node; a new process after the node was killed.
    #[must_use]
    pub fn node_runtime(&self, node: &NodeName) -> Rc<dyn Runtime> {
        self.runtime(self.node_process(node))
    }

    /// Process that runs a node; a new one after the node was killed.
    #[must_use]
    pub fn node_process(&self, node: &NodeName) -> ProcessId {
        let known = self.state().nodes.get(node).copied();
        if let Some(process) = known.filter(|process| !self.state().processes[*process].dead) {
            return process;
        }
        let process = self.new_process();
        self.state_mut().nodes.insert(node.clone(), process);
        process
    }

    /// Stops polling a node's tasks for a duration; its clocks keep running.
    pub fn pause(&self, node: &NodeName, duration: Millis) {
        let process = self.node_process(node);
        let until_us = self.now_us() + duration.0 * 1_000;
        self.state_mut().processes[process].paused_until_us = until_us;
        let sim = self.clone();
        self.spawn(ENVIRONMENT, async move {
            sim.sleep_until(until_us).await;
            let deferred = std::mem::take(&mut sim.state_mut().processes[process].deferred);
            sim.state_mut().ready.extend(deferred);
        });
    }

    /// Suspends a node's machine for a duration, which only its wall clock counts.
    pub fn suspend(&self, node: &NodeName, duration: Millis) {
        let process = self.node_process(node);
        let now_us = self.now_us();
        {
            let process = &mut self.state_mut().processes[process];
            process.suspended_us = process.suspended_us(now_us);
            process.suspension_us = (now_us, now_us + duration.0 * 1_000);
        }
        self.pause(node, duration);
    }

    /// Kills a node's process and drops its tasks.
    pub fn kill(&self, node: &NodeName) {
        let process = self.node_process(node);
        self.state_mut().processes[process].dead = true;
        let killed = {
            let state = &mut *self.state_mut();
            let killed = state
                .tasks
                .extract_if(.., |_, task| task.process == process);
            killed.collect::<Vec<_>>()
        };
        drop(killed);
    }

    /// Drops all tasks, which breaks the reference cycles between them and the executor.
    pub fn close(&self) {
        let tasks = std::mem::take(&mut self.state_mut().tasks);
        drop(tasks);
    }

    /// Spawns a task in a process; does nothing if the process is dead.
    pub fn spawn(&self, process: ProcessId, future: impl Future<Output = ()> + 'static) {
        if self.state().processes[process].dead {
            return;
        }
        let id = self.unique_id();
        let waker = Arc::new(TaskWaker {
            id,
            queued: AtomicBool::new(false),
            woken: self.woken.clone(),
        });
        let task = Task {
            process,
            future: Box::pin(future),
            waker: waker.clone(),
        };
        self.state_mut().tasks.insert(id, task);
        waker.wake();
    }

    /// Completes at a true time in microseconds.
    pub fn sleep_until(&self, at_us: u64) -> impl Future<Output = ()> + Unpin + 'static {
        let sim = self.clone();
        let key = (at_us, self.unique_id());
        Sleep { sim, key }
    }

    /// Completes after a duration of true time.
    pub fn sleep(&self, duration: Millis) -> impl Future<Output = ()> + Unpin + 'static {
        let duration_us = duration.0.saturating_mul(1_000);
        self.sleep_until(self.now_us().saturating_add(duration_us))
    }

    /// Runs until the future is ready.
    ///
    /// # Panics
    ///
    /// Panics if no task is ready and no timer is set.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        loop {
            let poll = future
                .as_mut()
                .poll(&mut Context::from_waker(Waker::noop()));
            if let Poll::Ready(output) = poll {
                return output;
            }
            assert!(
                self.step(u64::MAX),
                "deadlock: no task is ready and no timer is set"
            );
        }
    }

    /// Advances the run by a duration of true time.
    pub fn run_for(&self, duration: Millis) {
        let end_us = self.now_us() + duration.0 * 1_000;
        while self.step(end_us) {}
        self.state_mut().now_us = end_us;
    }

    fn unique_id(&self) -> u64 {
        let state = &mut self.state_mut();
        state.next_id += 1;
        state.next_id
    }

    /// Polls a random ready task, or fires the next timer due by `end_us`; false if there is neither.
    fn step(&self, end_us: u64) -> bool {
        let mut woken = self.woken.lock().unwrap_or_else(PoisonError::into_inner);
        self.state_mut().ready.append(&mut woken);
        drop(woken);
        let count = self.state().ready.len();
        if count == 0 {
            return self.fire_timer(end_us);
        }
        let index = usize::try_from(self.below(count as u64)).unwrap_or(0);
        let id = self.state_mut().ready.swap_remove(index);
        self.poll(id);
        true
    }

    fn fire_timer(&self, end_us: u64) -> bool {
        let state = &mut *self.state_mut();
        let Some(entry) = state.timers.first_entry() else {
            return false;
        };
        let (at_us, _) = *entry.key();
        if at_us > end_us {
            return false;
        }
        entry.remove().wake();
        if at_us > state.now_us {
            (state.now_us, state.polls) = (at_us, 0);
        }
        true
    }

    fn poll(&self, id: u64) {
        let Some(mut task) = self.state_mut().tasks.remove(&id) else {
            return;
        };
        if self.defer_if_paused(task.process, id) {
            self.state_mut().tasks.insert(id, task);
            return;
        }
        self.update_trace_hash(id);
        task.waker.queued.store(false, Ordering::Relaxed);
        let waker = Waker::from(task.waker.clone());
        let poll = task.future.as_mut().poll(&mut Context::from_waker(&waker));
        if poll.is_pending() && !self.state().processes[task.process].dead {
            self.state_mut().tasks.insert(id, task);
        }
    }

    fn update_trace_hash(&self, id: u64) {
        let state = &mut self.state_mut();
        state.polls += 1;
        assert!(
            state.polls < MAX_POLLS_PER_INSTANT,
            "busy loop: no time passes, task {id} was polled last"
        );
        let mixed = (state.trace_hash ^ state.now_us ^ id.rotate_left(40)).wrapping_mul(FNV_PRIME);
        state.trace_hash = mixed ^ (mixed >> 29);
    }

    fn defer_if_paused(&self, process: ProcessId, id: u64) -> bool {
        let state = &mut *self.state_mut();
        let process = &mut state.processes[process];
        let paused = process.paused_until_us > state.now_us;
        if paused {
            process.deferred.push(id);
        }
        paused
    }
}

struct Sleep {
    sim: SimRuntime,
    key: (u64, u64),
}

impl Future for Sleep {
    type Output = ();
    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let state = &mut *self.sim.state_mut();
        if state.now_us >= self.key.0 {
            return Poll::Ready(());
        }
        state.timers.insert(self.key, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        let waker = self.sim.state_mut().timers.remove(&self.key);
        drop(waker);
    }
}

struct ProcessRuntime {
    sim: SimRuntime,
    process: ProcessId,
}

impl ProcessRuntime {
    fn counted_us(&self) -> u64 {
        let state = self.sim.state();
        state.processes[self.process].counted_us(state.now_us)
    }

    /// Timer that fires when the monotonic clock has counted `wake_us`, unless it is suspended before.
    fn timer(&self, wake_us: u64) -> impl Future<Output = ()> + Unpin + 'static {
        let now_us = self.sim.now_us();
        let true_us = self.sim.state().processes[self.process].true_us(wake_us, now_us);
        self.sim.sleep_until(true_us + 1)
    }
}

impl Runtime for ProcessRuntime {
    fn now(&self) -> MonoMs {
        let state = self.sim.state();
        let process = &state.processes[self.process];
        MonoMs(process.offset_ms + process.counted_us(state.now_us) / 1_000)
    }

    fn wall_now(&self) -> WallMs {
        let offset_ms = self.sim.state().processes[self.process].offset_ms % MAX_WALL_OFFSET_MS;
        WallMs(EPOCH_MS + offset_ms + self.sim.now().0)
    }

    fn sleep(&self, duration: Millis) -> PortFuture<'static, ()> {
        let duration_us = duration.0.saturating_mul(1_000).min(MAX_SLEEP_US);
        let wake_us = self.counted_us() + duration_us;
        let (sim, process) = (self.sim.clone(), self.process);
        let first = self.timer(wake_us);
        let runtime = ProcessRuntime { sim, process };
        Box::pin(async move {
            first.await;
            while runtime.counted_us() < wake_us {
                runtime.timer(wake_us).await;
            }
        })
    }

    fn spawn(&self, future: PortFuture<'static, ()>) {
        self.sim.spawn(self.process, future);
    }

    fn random(&self) -> u64 {
        self.sim.state_mut().random.random()
    }
}
