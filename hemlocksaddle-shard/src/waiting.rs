//! Log lines and metrics about tasks that have waited long.

use hemlocksaddle_policy::workflow::{ReservedRoom, WaitReason, Waiting, WaitingStep};
use hemlocksaddle_types::clock::Millis;
use serde_json::{Value, json};

use crate::{event::Event, owner::Owner};

/// Interval at which the owner looks for tasks that have waited long; a third of the shortest wait
/// that is reported.
const LOOK_INTERVAL_MS: Millis = Millis(1_000);

/// Label value for tasks of steps that were not examined.
const UNEXAMINED: &str = "not examined";

impl Owner {
    /// Reports tasks that have waited long, once the interval since the last look has passed.
    ///
    /// Must come right after a plan, whose choices it explains.
    pub(crate) fn report_waiting(&self) {
        let now = self.env.now();
        let interval = now.since(self.waiting_reported_at.get());
        if interval < LOOK_INTERVAL_MS {
            return;
        }
        self.waiting_reported_at.set(now);
        let scheduler = self.scheduler.borrow();
        let waiting = scheduler.waiting(now, interval);
        self.set_reserved(scheduler.reserved_cpu_milli());
        drop(scheduler);
        self.count_waiting(&waiting);
        self.report_awaited();
        self.report_tenants();
        // Logged at the threshold and at each doubling of it, which bounds the lines of a step.
        for step in waiting.steps.iter().filter(|step| step.has_doubled) {
            self.log_waiting(step, waiting.start_budget);
        }
    }

    /// Resets the metrics when ownership ends.
    pub(crate) fn clear_waiting(&self) {
        self.count_waiting(&Waiting::default());
        self.clear_awaited();
        self.clear_tenants();
        self.set_reserved(0);
    }

    fn set_reserved(&self, cpu_milli: u64) {
        let gauge = &self.env.metrics.reserved_cpu_milli;
        gauge.set(i64::try_from(cpu_milli).unwrap_or(i64::MAX));
    }

    fn count_waiting(&self, waiting: &Waiting) {
        let metrics = &self.env.metrics;
        let gauge = |reason: &str| metrics.waiting_tasks.with_label_values(&[reason]);
        for reason in WaitReason::ALL {
            let steps = waiting.steps.iter().filter(|step| step.reason == *reason);
            let tasks: u32 = steps.map(|step| step.tasks).sum();
            gauge(reason.text()).set(i64::from(tasks));
        }
        gauge(UNEXAMINED).set(i64::from(waiting.unexamined_tasks));
        metrics
            .longest_wait_s
            .set(waiting.longest.0 as f64 / 1_000.0);
    }

    fn describe(&self, room: &ReservedRoom) -> Value {
        let scheduler = self.scheduler.borrow();
        let worker = scheduler.worker(room.worker);
        json!({
            "worker": worker.map(|worker| worker.listing.name.to_string()),
            "expected_in_ms": room.expected_in.0, "kept_for_ms": room.kept_for.0,
            "awaited_runs": room.awaited_runs,
            "last_run": room.last_run.map(|run| run.to_string()),
            "reservations": room.reservations,
        })
    }

    fn log_waiting(&self, step: &WaitingStep, start_budget: u32) {
        let workers = &step.capacity;
        let inputs = json!({
            "task": step.task.to_string(), "term": self.term,
            "waited_ms": step.waited.0, "reason": step.reason.text(), "tasks": step.tasks,
            "cpu_milli": step.demand.cpu_milli, "memory_mb": step.demand.memory_mb,
            "accelerators": step.demand.accelerators,
            "start_budget": start_budget,
            "workers": {
                "usable": workers.usable, "unreported": workers.unreported,
                "draining": workers.draining, "silent": workers.silent,
                "suspended": workers.suspended, "closed": workers.closed,
                "held_back": workers.held_back, "room_for_one": workers.room_for_one,
                "room_for_two": workers.room_for_two, "allowed": workers.allowed,
                "cpu_milli": workers.cpu_milli, "free_cpu_milli": workers.free_cpu_milli,
                "largest_free_cpu_milli": workers.largest_free_cpu_milli,
                "started_meanwhile": workers.started_meanwhile,
                "started_less_urgent": workers.started_less_urgent,
            },
            "reservation": step.reservation.as_ref().map(|room| self.describe(room)),
        });
        self.env.event(Event::TaskWaits, &inputs);
    }
}
