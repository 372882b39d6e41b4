//! Measures the resource usage of a node per worker, task, peer and so on.
//!
//! `cargo run --release --example capacity` starts itself again as nodes and as
//! the fake platform on loopback sockets. It varies one size in a few steps,
//! fits a line to the usage of the first node by linear regression, and prints
//! the table that `docs/CAPACITY.md` quotes. Bytes are TCP payload in both
//! directions, counted by relays on the connections of the first node. Processor
//! time and memory are those that the operating system accounts to its process.

#![forbid(unsafe_code)]

mod cluster;
mod fit;
mod loads;
mod process;
mod relay;
mod slopes;

use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let outcome = match arguments.as_slice() {
        [] => run(measure()),
        ["node", settings] => hemlocksaddle_daemon::run(Path::new(settings)),
        ["platform"] => run(cluster::platform()),
        _ => Err(eyre::eyre!("this example takes no arguments")),
    };
    if let Err(error) = outcome {
        eprintln!("{error:?}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn run(future: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    compio::runtime::Runtime::new()?.block_on(future)
}

async fn measure() -> eyre::Result<()> {
    slopes::print_header();
    slopes::workers(2_000, 1_000).await?;
    slopes::workers(4_000, 2_000).await?;
    slopes::listed_hosts().await?;
    slopes::peers(500).await?;
    slopes::peers(1_000).await?;
    slopes::units().await?;
    slopes::racks().await?;
    slopes::tasks().await?;
    loads::documents().await?;
    loads::requests().await?;
    loads::waiting_jobs().await
}
