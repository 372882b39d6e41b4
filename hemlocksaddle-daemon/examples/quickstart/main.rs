//! Small deployment on this machine, taken through the failures it is made for.
//!
//! `cargo run --release --example quickstart` starts itself again as three nodes
//! in three data centres and as the platform's stand-in, all on loopback sockets.
//! It publishes a document, sends quick requests and batch jobs, kills a node,
//! takes a data centre out and back, and lets the log fail for a while. It then
//! prints what was measured and what the invariants found, and exits with 1 if
//! anything was violated or lost.

#![forbid(unsafe_code)]

mod client;
mod deployment;
mod director;
mod load;
mod processes;
mod report;

use std::{path::Path, process::ExitCode};

use eyre::WrapErr;
use hemlocksaddle_fakes::http::{FakePlatform, Layout};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let ended = match arguments.as_slice() {
        [] => direct(),
        ["node", settings] => node(settings).map(|()| true),
        ["platform"] => platform().map(|()| true),
        _ => Err(eyre::eyre!("the quickstart takes no arguments")),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

fn direct() -> eyre::Result<bool> {
    compio::runtime::Runtime::new()?.block_on(director::direct())
}

fn node(settings: &str) -> eyre::Result<()> {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    WriteLogger::init(LevelFilter::Info, config, std::io::stderr())?;
    hemlocksaddle_daemon::run(Path::new(settings))
}

fn platform() -> eyre::Result<()> {
    let serve = async {
        let nodes = deployment::nodes_from_stdin()?;
        let layout = Layout {
            hosts: deployment::hosts(&nodes),
            service: deployment::name(deployment::SERVICE),
            slots: deployment::SLOTS,
            connections: deployment::CONNECTIONS,
            seed: 1,
        };
        let stand_in = FakePlatform::start(layout).await;
        let stand_in = stand_in.wrap_err("the stand-in cannot listen")?;
        println!("{}", serde_json::to_string(&stand_in.addresses)?);
        stand_in.run().await;
        Ok(())
    };
    compio::runtime::Runtime::new()?.block_on(serve)
}
