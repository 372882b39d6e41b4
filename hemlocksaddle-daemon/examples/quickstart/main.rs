//! Small deployment on this machine, run through a set of failures.
//!
//! `cargo run --release --example quickstart` starts itself again as three nodes
//! in three data centres and as the fake platform, all on loopback sockets. It
//! publishes a document, sends synchronous requests and batch jobs, kills and
//! replaces a node, evacuates a data centre and restores it, and makes the log
//! unavailable for a while. It then prints the measurements and the results of
//! the invariant checks, and exits with 1 if anything was violated, lost or left
//! unfinished.

#![forbid(unsafe_code)]

mod client;
mod deployment;
mod load;
mod processes;
mod report;
mod scenario;

use std::{path::Path, process::ExitCode};

use eyre::WrapErr;
use hemlocksaddle_fakes::http::{FakePlatform, Layout};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let outcome = match arguments.as_slice() {
        [] => run_scenario(),
        ["node", settings] => node(settings).map(|()| true),
        ["platform"] => platform().map(|()| true),
        _ => Err(eyre::eyre!("the quickstart takes no arguments")),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the scenario; returns whether it passed.
fn run_scenario() -> eyre::Result<bool> {
    compio::runtime::Runtime::new()?.block_on(scenario::run())
}

/// Runs a node and logs to standard error.
fn node(settings: &str) -> eyre::Result<()> {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    WriteLogger::init(LevelFilter::Info, config, std::io::stderr())?;
    hemlocksaddle_daemon::run(Path::new(settings))
}

/// Runs the fake platform and prints its addresses as one line of JSON.
fn platform() -> eyre::Result<()> {
    let serve = async {
        let nodes = deployment::read_nodes_from_stdin()?;
        let layout = Layout {
            hosts: deployment::hosts(&nodes),
            service: deployment::parse_name(deployment::SERVICE),
            slots: deployment::SLOTS,
            connections: deployment::CONNECTIONS,
            seed: 1,
        };
        let fake_platform = FakePlatform::start(layout).await;
        let fake_platform = fake_platform.wrap_err("the fake platform cannot listen")?;
        println!("{}", serde_json::to_string(&fake_platform.addresses)?);
        fake_platform.run().await;
        Ok(())
    };
    compio::runtime::Runtime::new()?.block_on(serve)
}
