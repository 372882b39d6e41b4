//! Periodic maintenance of a queue: deadlines, snapshots and removal of finished jobs.

use std::{rc::Rc, sync::Arc};

use hemlocksaddle_types::{
    clock::{Millis, MonoMs, WallMs},
    job::JobId,
    outcome::ResultCode,
    record::Record,
};

use super::{
    Queue, Queues, Stage,
    state::{Job, Outcome},
};

/// Interval of the maintenance; also the maximum wait for snapshots to be appended.
const MAINTENANCE_INTERVAL_MS: Millis = Millis(1_000);
/// Time for which a finished job is kept.
const KEEP_FINISHED_MS: Millis = Millis(3_600_000);
/// Maximum number of finished jobs kept; the oldest are removed first.
const MAX_FINISHED: usize = 8_192;
/// Maximum number of snapshots in one append.
const SNAPSHOT_BATCH: usize = 64;

impl Queues {
    /// Maintains a queue until it is closed.
    pub(super) async fn maintain(&self, queue: &Rc<Queue>) {
        while queue.stage.get() != Stage::Closed && self.running.get() {
            self.core.ports.runtime.sleep(MAINTENANCE_INTERVAL_MS).await;
            if !self.holds_lease(queue) {
                continue;
            }
            self.end_overdue(queue);
            self.forget_finished(queue);
            self.write_snapshots(queue).await;
        }
    }

    /// Ends jobs whose deadline has passed.
    fn end_overdue(&self, queue: &Rc<Queue>) {
        let now = self.core.ports.runtime.wall_now();
        let overdue: Vec<JobId> = {
            let jobs = queue.jobs.borrow();
            let unfinished = jobs.jobs.values().filter(|job| is_overdue(job, now));
            unfinished.map(|job| job.id).collect()
        };
        for id in overdue {
            self.end_job(queue, id, missed_deadline);
        }
    }

    fn forget_finished(&self, queue: &Queue) {
        let now = self.now();
        let mut jobs = queue.jobs.borrow_mut();
        let finished = jobs.jobs.values();
        let mut finished: Vec<(MonoMs, JobId)> = finished
            .filter_map(|job| Some((job.finished_ms?, job.id)))
            .collect();
        finished.sort();
        let excess = finished.len().saturating_sub(MAX_FINISHED);
        for (position, (finished_ms, id)) in finished.into_iter().enumerate() {
            if position < excess || now.since(finished_ms) > KEEP_FINISHED_MS {
                jobs.forget(id);
            }
        }
    }

    /// Writes snapshots of jobs whose oldest record is older than a max_age of the retention.
    async fn write_snapshots(&self, queue: &Rc<Queue>) {
        let now = self.core.ports.runtime.wall_now();
        let max_age = Millis(self.core.settings.timing.retention_ms.0 / 3);
        let due: Vec<(JobId, Record)> = {
            let jobs = queue.jobs.borrow();
            let old = jobs.jobs.values().filter(|job| {
                let committing = job.live.values().any(|live| live.committing);
                job.durable && !committing && !job.finishing && now.since(job.snapshot_ms) > max_age
            });
            let records = old.filter_map(|job| Some((job.id, job.snapshot_record()?)));
            records.take(SNAPSHOT_BATCH).collect()
        };
        if due.is_empty() || !self.core.journal.log_is_up() {
            return;
        }
        let (ids, records): (Vec<JobId>, Vec<Record>) = due.into_iter().unzip();
        if self
            .append(queue, records, Some(MAINTENANCE_INTERVAL_MS))
            .await
            .is_err()
        {
            return;
        }
        let mut jobs = queue.jobs.borrow_mut();
        for id in ids {
            if let Some(job) = jobs.jobs.get_mut(&id) {
                job.snapshot_ms = now;
            }
        }
    }
}

fn is_overdue(job: &Job, now: WallMs) -> bool {
    let passed = job.spec.deadline_ms.is_some_and(|deadline| now > deadline);
    passed && job.durable && job.result.is_none() && job.ending.is_none()
}

fn missed_deadline(job: &Job) -> Outcome {
    let code = match job.ever_ran || !job.live.is_empty() {
        true => ResultCode::DeadlineWhileRunning,
        false => ResultCode::DeadlineBeforeStart,
    };
    (code, Arc::from(code.text()))
}
