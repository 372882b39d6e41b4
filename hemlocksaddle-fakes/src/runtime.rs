//! Single-threaded executor with a virtual clock and a seed.
//!
//! Time passes only when no task is ready; it then jumps to the next timer. The
//! seed decides which ready task runs next, so that one seed always gives the
//! same run and different seeds give different interleavings. Each process has
//! its own clocks, which differ from the true time in value and in rate.

use std::{
    cell::{Cell, RefCell},
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
/// Largest rate error of a process's clock in millionths.
const MAX_RATE_PPM: i64 = 10_000;
/// Polls without any passing of time after which the run is taken for a busy loop.
const MAX_POLLS_PER_INSTANT: u64 = 2_000_000;
/// Identifier of the future that [`SimRuntime::block_on`] runs.
const MAIN: u64 = u64::MAX;

/// Index of a process: something with clocks of its own that can be paused or killed.
pub type ProcessId = usize;

/// Process of the environment, whose clock is the true one.
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

struct Process {
    offset_ms: u64,
    wall_offset_ms: u64,
    rate_ppm: i64,
    alive: bool,
    paused_until_us: u64,
    held: Vec<u64>,
}

impl Process {
    const ENVIRONMENT: Process = Process {
        offset_ms: 0,
        wall_offset_ms: 0,
        rate_ppm: 0,
        alive: true,
        paused_until_us: 0,
        held: Vec::new(),
    };

    fn rate(&self) -> u64 {
        (1_000_000 + self.rate_ppm).unsigned_abs()
    }
}

struct Inner {
    now_us: Cell<u64>,
    polls: Cell<u64>,
    trace: Cell<u64>,
    next: Cell<u64>,
    random: RefCell<Pcg64Mcg>,
    tasks: RefCell<BTreeMap<u64, Task>>,
    woken: Arc<Mutex<Vec<u64>>>,
    ready: RefCell<Vec<u64>>,
    timers: RefCell<BTreeMap<(u64, u64), Waker>>,
    processes: RefCell<Vec<Process>>,
    nodes: RefCell<BTreeMap<NodeName, ProcessId>>,
}

/// Executor, clock and randomness of one run.
#[derive(Clone)]
pub struct SimRuntime(Rc<Inner>);

/// What one step of the executor did.
enum Step {
    Task,
    Main,
    Idle,
}

impl SimRuntime {
    /// Executor at time zero.
    #[must_use]
    pub fn new(seed: u64) -> SimRuntime {
        SimRuntime(Rc::new(Inner {
            now_us: Cell::new(0),
            polls: Cell::new(0),
            trace: Cell::new(0xcbf2_9ce4_8422_2325),
            next: Cell::new(1),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            tasks: RefCell::default(),
            woken: Arc::default(),
            ready: RefCell::default(),
            timers: RefCell::default(),
            processes: RefCell::new(vec![Process::ENVIRONMENT]),
            nodes: RefCell::default(),
        }))
    }

    /// True time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(self.now_us() / 1_000)
    }

    /// True time since the start of the run in microseconds.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.0.now_us.get()
    }

    /// Hash over everything that was mixed in and over the order in which tasks ran.
    #[must_use]
    pub fn trace_hash(&self) -> u64 {
        self.0.trace.get()
    }

    /// Mixes a value into the trace hash.
    pub fn mix(&self, value: u64) {
        let mixed = (self.0.trace.get() ^ value).wrapping_mul(0x0100_0000_01b3);
        self.0.trace.set(mixed ^ (mixed >> 29));
    }

    /// True time in microseconds at which a process's monotonic clock shows a time.
    #[must_use]
    pub fn true_us(&self, process: ProcessId, local: MonoMs) -> u64 {
        let processes = self.0.processes.borrow();
        let local_us = local.0.saturating_sub(processes[process].offset_ms) * 1_000;
        local_us * 1_000_000 / processes[process].rate()
    }

    /// Uniform random number below a bound.
    #[must_use]
    pub fn below(&self, bound: u64) -> u64 {
        self.0.random.borrow_mut().random_range(0..bound.max(1))
    }

    /// New process with clocks of its own.
    #[must_use = "tasks are spawned on a process"]
    pub fn process(&self) -> ProcessId {
        let process = Process {
            offset_ms: self.below(1_000_000_000),
            wall_offset_ms: self.below(50),
            rate_ppm: self
                .below(2 * MAX_RATE_PPM.unsigned_abs() + 1)
                .cast_signed()
                - MAX_RATE_PPM,
            alive: true,
            paused_until_us: 0,
            held: Vec::new(),
        };
        let mut processes = self.0.processes.borrow_mut();
        processes.push(process);
        processes.len() - 1
    }

    /// Clock, tasks and randomness of a process.
    #[must_use]
    pub fn runtime(&self, process: ProcessId) -> Rc<dyn Runtime> {
        Rc::new(ProcessRuntime {
            sim: self.clone(),
            process,
        })
    }

    /// Runtime of the process that runs a node; a new process after the node was killed.
    #[must_use]
    pub fn node_runtime(&self, node: &NodeName) -> Rc<dyn Runtime> {
        self.runtime(self.node_process(node))
    }

    /// Process that runs a node; a new one after the node was killed.
    #[must_use]
    pub fn node_process(&self, node: &NodeName) -> ProcessId {
        let known = self.0.nodes.borrow().get(node).copied();
        if let Some(process) = known.filter(|process| self.is_alive(*process)) {
            return process;
        }
        let process = self.process();
        self.0.nodes.borrow_mut().insert(node.clone(), process);
        process
    }

    /// Whether a process was not killed.
    #[must_use]
    pub fn is_alive(&self, process: ProcessId) -> bool {
        self.0.processes.borrow()[process].alive
    }

    /// Stops polling a node's tasks for a span, while its clocks go on.
    pub fn pause(&self, node: &NodeName, span: Millis) {
        self.pause_process(self.node_process(node), span);
    }

    /// Drops all tasks of a node.
    pub fn kill(&self, node: &NodeName) {
        self.kill_process(self.node_process(node));
    }

    /// Stops polling a process's tasks for a span, while its clocks go on.
    pub fn pause_process(&self, process: ProcessId, span: Millis) {
        let until_us = self.now_us() + span.0 * 1_000;
        let paused_until_us = {
            let state = &mut self.0.processes.borrow_mut()[process];
            state.paused_until_us = state.paused_until_us.max(until_us);
            state.paused_until_us
        };
        let sim = self.clone();
        self.spawn(ENVIRONMENT, async move {
            sim.sleep_until(paused_until_us).await;
            let mut processes = sim.0.processes.borrow_mut();
            let held = std::mem::take(&mut processes[process].held);
            sim.0.ready.borrow_mut().extend(held);
        });
    }

    /// Drops all tasks of a process.
    pub fn kill_process(&self, process: ProcessId) {
        self.0.processes.borrow_mut()[process].alive = false;
        let killed: Vec<Task> = {
            let mut tasks = self.0.tasks.borrow_mut();
            tasks
                .extract_if(.., |_, task| task.process == process)
                .map(|(_, task)| task)
                .collect()
        };
        drop(killed);
    }

    /// Drops all tasks, which breaks the reference cycles between them and the executor.
    pub fn close(&self) {
        let tasks = std::mem::take(&mut *self.0.tasks.borrow_mut());
        drop(tasks);
    }

    /// Runs a future in the background of a process.
    pub fn spawn(&self, process: ProcessId, future: impl Future<Output = ()> + 'static) {
        if !self.is_alive(process) {
            return;
        }
        let id = self.unique();
        let waker = self.waker(id);
        let task = Task {
            process,
            future: Box::pin(future),
            waker: waker.clone(),
        };
        self.0.tasks.borrow_mut().insert(id, task);
        waker.wake();
    }

    /// Completes at a true time.
    pub fn sleep_until(&self, at_us: u64) -> impl Future<Output = ()> + 'static {
        Sleep {
            sim: self.clone(),
            at_us,
            key: None,
        }
    }

    /// Completes after a span of true time.
    pub fn sleep(&self, span: Millis) -> impl Future<Output = ()> + 'static {
        self.sleep_until(self.now_us().saturating_add(span.0.saturating_mul(1_000)))
    }

    /// Runs until the future is ready.
    ///
    /// # Panics
    ///
    /// Panics if nothing is left that could wake the future.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        let main = self.waker(MAIN);
        let waker = Waker::from(main.clone());
        main.clone().wake();
        loop {
            match self.step(u64::MAX) {
                Step::Task => {}
                Step::Idle => panic!("no task is ready and no timer is set"),
                Step::Main => {
                    main.queued.store(false, Ordering::Relaxed);
                    let poll = future.as_mut().poll(&mut Context::from_waker(&waker));
                    if let Poll::Ready(output) = poll {
                        return output;
                    }
                }
            }
        }
    }

    /// Runs for a span of true time.
    pub fn run_for(&self, span: Millis) {
        let end_us = self.now_us() + span.0 * 1_000;
        // A late wake-up of a future that `block_on` ran does not end the span.
        while !matches!(self.step(end_us), Step::Idle) {}
        self.0.now_us.set(end_us);
    }

    fn unique(&self) -> u64 {
        let id = self.0.next.get();
        self.0.next.set(id + 1);
        id
    }

    fn waker(&self, id: u64) -> Arc<TaskWaker> {
        Arc::new(TaskWaker {
            id,
            queued: AtomicBool::new(false),
            woken: self.0.woken.clone(),
        })
    }

    fn step(&self, end_us: u64) -> Step {
        loop {
            self.collect_woken();
            let count = self.0.ready.borrow().len();
            if count > 0 {
                let index = usize::try_from(self.below(count as u64)).unwrap_or(0);
                let id = self.0.ready.borrow_mut().swap_remove(index);
                if id == MAIN {
                    return Step::Main;
                }
                self.poll(id);
                return Step::Task;
            }
            if !self.fire_timer(end_us) {
                return Step::Idle;
            }
        }
    }

    fn collect_woken(&self) {
        let mut woken = self.0.woken.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.ready.borrow_mut().append(&mut woken);
    }

    fn fire_timer(&self, end_us: u64) -> bool {
        let entry = {
            let mut timers = self.0.timers.borrow_mut();
            match timers.first_entry() {
                Some(entry) if entry.key().0 <= end_us => entry.remove_entry(),
                _ => return false,
            }
        };
        let ((at_us, _), waker) = entry;
        if at_us > self.now_us() {
            self.0.now_us.set(at_us);
            self.0.polls.set(0);
        }
        waker.wake();
        true
    }

    fn poll(&self, id: u64) {
        let Some(mut task) = self.0.tasks.borrow_mut().remove(&id) else {
            return;
        };
        if self.hold_if_paused(task.process, id) {
            self.0.tasks.borrow_mut().insert(id, task);
            return;
        }
        self.0.polls.set(self.0.polls.get() + 1);
        assert!(
            self.0.polls.get() < MAX_POLLS_PER_INSTANT,
            "task {id} of process {} is polled again and again while no time passes",
            task.process
        );
        self.mix(self.now_us() ^ id.rotate_left(40));
        task.waker.queued.store(false, Ordering::Relaxed);
        let waker = Waker::from(task.waker.clone());
        let poll = task.future.as_mut().poll(&mut Context::from_waker(&waker));
        if poll.is_pending() && self.is_alive(task.process) {
            self.0.tasks.borrow_mut().insert(id, task);
        }
    }

    fn hold_if_paused(&self, process: ProcessId, id: u64) -> bool {
        let state = &mut self.0.processes.borrow_mut()[process];
        let paused = state.paused_until_us > self.now_us();
        if paused {
            state.held.push(id);
        }
        paused
    }
}

struct Sleep {
    sim: SimRuntime,
    at_us: u64,
    key: Option<(u64, u64)>,
}

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.sim.now_us() >= self.at_us {
            return Poll::Ready(());
        }
        let key = self.key.unwrap_or_else(|| (self.at_us, self.sim.unique()));
        self.key = Some(key);
        let waker = context.waker().clone();
        self.sim.0.timers.borrow_mut().insert(key, waker);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.sim.0.timers.borrow_mut().remove(&key);
        }
    }
}

struct ProcessRuntime {
    sim: SimRuntime,
    process: ProcessId,
}

impl ProcessRuntime {
    fn local_us(&self) -> u64 {
        self.sim.now_us() * self.rate() / 1_000_000
    }

    fn rate(&self) -> u64 {
        self.sim.0.processes.borrow()[self.process].rate()
    }
}

impl Runtime for ProcessRuntime {
    fn now(&self) -> MonoMs {
        let offset_ms = self.sim.0.processes.borrow()[self.process].offset_ms;
        MonoMs(offset_ms + self.local_us() / 1_000)
    }

    fn wall_now(&self) -> WallMs {
        let offset_ms = self.sim.0.processes.borrow()[self.process].wall_offset_ms;
        WallMs(EPOCH_MS + offset_ms + self.sim.now().0)
    }

    fn sleep(&self, span: Millis) -> PortFuture<'static, ()> {
        let local_us = self.local_us() + span.0.saturating_mul(1_000).min(1 << 43);
        let at_us = local_us * 1_000_000 / self.rate() + 1;
        Box::pin(self.sim.sleep_until(at_us))
    }

    fn spawn(&self, future: PortFuture<'static, ()>) {
        self.sim.spawn(self.process, future);
    }

    fn random(&self) -> u64 {
        self.sim.0.random.borrow_mut().random()
    }
}
