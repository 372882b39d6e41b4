//! Time for which the result of a workflow is of use to its caller.
//!
//! Callers expect the end within the completion target: a multiple of the longest chain of dependent steps, and a
//! constant time. Later results are worth less, and nothing beyond three times the target. Long-running and scheduled
//! work is of use at any time. Run times are those that the caller declared.

use hemlocksaddle_types::{
    clock::Millis,
    workflow::{Queue, Step, Workflow},
};

/// Multiple of its completion target after which the result of a workflow is worth nothing.
const USEFUL_TARGETS: u64 = 3;

/// Declared run time of the longest chain of dependent steps.
#[must_use]
pub fn longest_chain(steps: &[Step]) -> Millis {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = step.depends_on.iter();
        let before = before.filter_map(|&index| ends.get(usize::from(index)));
        let start = before.max().copied().unwrap_or(0);
        ends.push(start.saturating_add(step.expected_run_ms));
    }
    Millis(ends.into_iter().max().unwrap_or(0))
}

/// Declared run time of the longest chain of steps that depend on one, without its own.
#[must_use]
pub fn longest_chain_after(steps: &[Step], step: usize) -> Millis {
    // Ends of the steps that depend on it, from its end.
    let mut ends: Vec<Option<u64>> = vec![None; steps.len()];
    let mut longest = 0;
    for (number, after) in steps.iter().enumerate().skip(step) {
        if number == step {
            ends[number] = Some(0);
            continue;
        }
        let before = after.depends_on.iter();
        let before = before.filter_map(|&index| *ends.get(usize::from(index))?);
        ends[number] = before
            .max()
            .map(|start| start.saturating_add(after.expected_run_ms));
        longest = longest.max(ends[number].unwrap_or(0));
    }
    Millis(longest)
}

/// Time from a submission within which callers expect its result.
#[must_use]
pub fn completion_target(workflow: &Workflow, queue: &Queue) -> Millis {
    let chain = longest_chain(&workflow.steps);
    let stretched = (queue.stretch * chain.0 as f64).max(0.0) as u64;
    Millis(stretched.saturating_add(queue.target_completion_ms.0))
}

/// Time from a submission until its result is worth nothing, for work that is not of use at any time.
#[must_use]
pub fn useful_for(workflow: &Workflow, queue: &Queue) -> Millis {
    let target = completion_target(workflow, queue);
    Millis(target.0.saturating_mul(USEFUL_TARGETS))
}

/// Whether the result of a workflow is of use at any time.
#[must_use]
pub fn is_useful_any_time(workflow: &Workflow) -> bool {
    workflow.schedule.is_some() || workflow.steps.iter().any(|step| step.long_running)
}
