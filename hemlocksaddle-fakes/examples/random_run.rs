//! Runs real nodes on the virtual clock under random work and faults, and checks their behaviour.
//!
//! The same seed reproduces the same run. To shrink a failing run, skip faults with
//! `--skip-fault` until only those remain that are needed to reproduce it.

use std::process::ExitCode;

use argh::FromArgs;
use hemlocksaddle_fakes::{
    platform::Deployment,
    run::{Outcome, Plan, run},
};
use hemlocksaddle_types::clock::Millis;

/// Randomised run of several nodes.
#[derive(FromArgs)]
struct Args {
    /// deployment: small, khomas or jadran
    #[argh(option, default = "String::from(\"small\")")]
    deployment: String,
    /// seed of work, faults and interleaving
    #[argh(option)]
    seed: u64,
    /// virtual hours during which work arrives and faults are injected
    #[argh(option, default = "0.25")]
    hours: f64,
    /// number of nodes instead of the deployment's own
    #[argh(option)]
    nodes: Option<usize>,
    /// number of a fault to skip; may be repeated
    #[argh(option)]
    skip_fault: Vec<usize>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut deployment = match args.deployment.as_str() {
        "small" => Deployment::small(),
        "khomas" => Deployment::khomas(),
        "jadran" => Deployment::jadran(),
        other => {
            eprintln!("deployment {other:?} does not exist: small, khomas or jadran");
            return ExitCode::from(2);
        }
    };
    deployment.nodes = args.nodes.unwrap_or(deployment.nodes);
    let outcome = run(&Plan {
        deployment,
        seed: args.seed,
        duration: Millis((args.hours * 3_600_000.0) as u64),
        skipped: args.skip_fault.into_iter().collect(),
    });
    if args.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&outcome).expect("an outcome is plain data")
        );
    } else {
        print(&outcome);
    }
    ExitCode::from(u8::from(!outcome.violations.is_empty()))
}

fn print(outcome: &Outcome) {
    println!(
        "seed {}, trace hash {}, settled after {} ms",
        outcome.seed, outcome.trace_hash, outcome.settled_ms
    );
    outcome
        .faults
        .iter()
        .for_each(|fault| println!("fault {fault}"));
    println!("results of quick requests: {:?}", outcome.results);
    println!(
        "{} jobs, {} task starts, {} appends",
        outcome.jobs, outcome.task_starts, outcome.appends
    );
    println!(
        "quick p99 {} ms, batch work {:.2} cores, {} evictions, batch work in changes {:.2} cores",
        outcome.quick_p99_ms, outcome.work_cores, outcome.evictions, outcome.work_in_changes_cores
    );
    outcome
        .violations
        .iter()
        .for_each(|violation| println!("violation {violation}"));
}
