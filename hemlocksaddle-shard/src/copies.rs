//! Log lines and metrics about speculative copies.

use hemlocksaddle_policy::workflow::CopyEvent;
use serde_json::json;

use crate::{event::Event, owner::Owner};

impl Owner {
    /// Reports the copies that were ordered and decided since the last call.
    pub(crate) fn report_copies(&self) {
        let (events, tasks) = {
            let mut scheduler = self.scheduler.borrow_mut();
            (scheduler.take_copy_events(), scheduler.copied_tasks())
        };
        self.set_copied_tasks(tasks);
        for event in events {
            self.report_copy(&event);
        }
    }

    /// Resets the metric when ownership ends.
    pub(crate) fn clear_copies(&self) {
        self.set_copied_tasks(0);
    }

    fn set_copied_tasks(&self, tasks: usize) {
        let gauge = &self.env.metrics.copied_tasks;
        gauge.set(i64::try_from(tasks).unwrap_or(i64::MAX));
    }

    fn report_copy(&self, event: &CopyEvent) {
        let count = |outcome: &str| {
            let copies = &self.env.metrics.copies;
            copies.with_label_values(&[outcome]).inc();
        };
        match event {
            CopyEvent::Started {
                task,
                run,
                worker,
                earlier,
                earlier_worker,
                reason,
                expected_in,
            } => {
                count(reason.text());
                let inputs = json!({
                    "task": task.to_string(), "term": self.term, "run": run.0, "worker": &**worker,
                    "earlier_run": earlier.0, "earlier_worker": &**earlier_worker,
                    "reason": reason.text(), "expected_in_ms": expected_in.0,
                });
                self.env.event(Event::CopyOrdered, &inputs);
            }
            CopyEvent::Decided { task, by_copy } => {
                let first = if *by_copy { "copy" } else { "earlier run" };
                count(first);
                let inputs = json!({
                    "task": task.to_string(), "term": self.term, "first": first,
                });
                self.env.event(Event::CopyDecided, &inputs);
            }
        }
    }
}
