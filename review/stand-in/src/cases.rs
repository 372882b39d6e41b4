//! Cases of the review.

use std::{
    collections::HashMap,
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Deployment, Route,
    client::{Clients, Step},
    executors::{Run, step_of},
    write_config,
};

/// Most requests of clients that are open at once.
const MAX_OPEN_REQUESTS: usize = 150;

/// Runs a case; returns how its rule was broken.
pub fn run(case: &str, record: &Path) -> io::Result<Vec<String>> {
    match case {
        "same-id" => same_id(record),
        "removed-route" => removed_route(record),
        _ => Err(io::Error::other(format!("no case {case}"))),
    }
}

/// Clients that submit at a steady rate until they are stopped, each on a connection of its own.
struct Traffic {
    stopped: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Traffic {
    fn start(
        clients: &Arc<Clients>,
        prefix: &'static str,
        spec: &'static str,
        step: Step,
        interval: Duration,
    ) -> Traffic {
        let stopped = Arc::new(AtomicBool::new(false));
        let (clients, is_stopped) = (clients.clone(), stopped.clone());
        let thread = thread::spawn(move || {
            let mut next = Instant::now();
            let mut open: Vec<thread::JoinHandle<()>> = Vec::new();
            while !is_stopped.load(Ordering::Relaxed) {
                let (clients, step) = (clients.clone(), step.clone());
                open.retain(|thread| !thread.is_finished());
                if open.len() < MAX_OPEN_REQUESTS {
                    open.push(thread::spawn(move || {
                        clients.submit(prefix, spec, std::slice::from_ref(&step));
                    }));
                }
                next += interval;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            for thread in open {
                let _ = thread.join();
            }
        });
        Traffic { stopped, thread }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// Where a task ran twice at the same time, or was started after an end `done` that was noted.
fn run_twice(deployment: &Deployment) -> Vec<String> {
    let mut by_task: HashMap<String, Vec<Run>> = HashMap::new();
    for run in deployment.world.runs() {
        by_task.entry(run.task.clone()).or_default().push(run);
    }
    let record = &deployment.record;
    let text = |run: &Run| {
        let end = run.ended_at.map(|at| record.ms(at));
        format!(
            "run {} on executor {} (born {}) from {} ms to {end:?}: {}",
            run.run,
            run.executor,
            run.born_ms,
            record.ms(run.started_at),
            run.end
        )
    };
    let mut broken = Vec::new();
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started_at);
        for (index, first) in runs.iter().enumerate() {
            for second in &runs[index + 1..] {
                let overlap = first.ended_at.is_none_or(|end| second.started_at < end);
                let again = first.end == "done" && first.noted;
                if overlap {
                    broken.push(format!(
                        "{task}: two runs at the same time: {}; {}",
                        text(first),
                        text(second)
                    ));
                } else if again {
                    broken.push(format!(
                        "{task}: started after a noted end: {}; {}",
                        text(first),
                        text(second)
                    ));
                }
            }
        }
    }
    for line in &broken {
        record.line(&format!("BROKEN: {line}"));
    }
    broken
}

/// An executor loses power for a moment and starts again under the id that it had.
fn same_id(record: &Path) -> io::Result<Vec<String>> {
    const ROUTES: &[Route] = &[("orders", "/orders/", 3)];
    /// The site files play crashes of up to 4.6 s.
    const DOWN: Duration = Duration::from_millis(700);
    let deployment = Deployment::start(record, 3, 8, ROUTES)?;
    let step = Step {
        count: 6,
        cpu: 500,
        estimate_ms: 2_000,
        ..Step::default()
    };
    let interval = Duration::from_millis(150);
    let traffic = Traffic::start(&deployment.clients, "/orders/", "ms=2000", step, interval);
    deployment.wait(4_000);
    for number in 0..3 {
        if deployment.trouble {
            deployment.executors[number].crash(DOWN, true);
        }
        deployment.wait(8_000);
    }
    traffic.stop();
    deployment.wait(4_000);
    Ok(run_twice(&deployment))
}

/// A route is removed, and the process that owns the shard is killed later.
fn removed_route(record: &Path) -> io::Result<Vec<String>> {
    const ROUTES: &[Route] = &[("orders", "/orders/", 3), ("editions", "/editions/", 3)];
    /// `finish_s` of the small sites.
    const FINISH: Duration = Duration::from_secs(14);
    let mut deployment = Deployment::start(record, 3, 8, ROUTES)?;
    let first = Step {
        count: 3,
        cpu: 1_000,
        estimate_ms: 8_000,
        ..Step::default()
    };
    let second = Step {
        after: Some(0),
        ..first.clone()
    };
    let mut ids = Vec::new();
    for _ in 0..4 {
        let steps = [first.clone(), second.clone()];
        let (id, accepted) = deployment.clients.submit("/editions/", "ms=8000", &steps);
        if !accepted {
            return Err(io::Error::other("a submission was not accepted"));
        }
        ids.push(id);
    }
    deployment.wait(2_000);
    write_config(&deployment.store, &deployment.record, 7, &ROUTES[..1]);
    deployment.wait(3_000);
    if deployment.trouble {
        let owner = deployment.store.last_conditional().unwrap_or(0);
        deployment.nodes.list[owner].kill_and_restart()?;
    }
    // All traffic has ended; the first steps have ended after 8 s at most.
    thread::sleep(Duration::from_secs(8) + FINISH);
    let runs = deployment.world.runs();
    let mut broken = Vec::new();
    for id in ids {
        let of_step = |step: &str| {
            let name = format!("{id}.{step}");
            let of_step = runs.iter().filter(move |run| step_of(&run.task) == name);
            of_step.cloned().collect::<Vec<Run>>()
        };
        let (first, second) = (of_step("0"), of_step("1"));
        let first_done = first.iter().filter(|run| run.end == "done").count();
        let second_done = second.iter().filter(|run| run.end == "done").count();
        if first_done == 3 && second_done < 3 && second.iter().all(|run| run.ended_at.is_some()) {
            let ended_at = first.iter().filter_map(|run| run.ended_at).max();
            let since = ended_at.map_or(0, |at| at.elapsed().as_millis());
            broken.push(format!(
                "{id}: step 0 was done {since} ms ago, and nothing of step 1 runs; the executors are empty"
            ));
        }
    }
    for line in &broken {
        deployment.record.line(&format!("BROKEN: {line}"));
    }
    Ok(broken)
}
