//! Arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Command line of hemlocksaddle, a scheduler for services and batch work.
///
/// Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 no node answered.
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// address of a node's callers' port, as IP:PORT; repeat it for each node
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// command
    #[argh(subcommand)]
    pub command: Command,
}

/// Commands.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a document.
    Check(Check),
    /// Publish a document.
    Publish(Publish),
    /// Show documents in force.
    Documents(Documents),
    /// Show the state of all nodes.
    Status(Status),
    /// Submit a job.
    Submit(Submit),
    /// Wait for a job's end.
    Watch(Watch),
    /// Cancel a job.
    Cancel(Cancel),
    /// Take a data centre out.
    Drain(Drain),
    /// Bring a data centre back.
    Undrain(Undrain),
    /// Explain a job.
    Explain(Explain),
    /// Report on service-level burn.
    Burn(Burn),
}

/// check a document without publishing it
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// document's file
    #[argh(positional)]
    pub file: PathBuf,
}

/// publish a document; fails if its revision has changed meanwhile
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// document's file
    #[argh(positional)]
    pub file: PathBuf,
    /// revision that was edited; 0 for a new service
    #[argh(option)]
    pub expected: u64,
}

/// show the documents in force
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "documents")]
pub struct Documents {
    /// service; all without it
    #[argh(positional)]
    pub service: Option<String>,
}

/// show the state of all nodes
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// submit a job and print its number
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// service
    #[argh(positional)]
    pub service: String,
    /// number of tasks
    #[argh(option, default = "1")]
    pub tasks: u32,
    /// processors of a task in thousandths of a core
    #[argh(option)]
    pub cpu_milli: u64,
    /// memory of a task in MB
    #[argh(option)]
    pub memory_mb: u64,
    /// accelerators of a task
    #[argh(option, default = "0")]
    pub accelerators: u64,
    /// expected run time of a task in milliseconds
    #[argh(option)]
    pub expected_run_ms: u64,
    /// urgency: urgent, normal or batch
    #[argh(option, default = "String::from(\"batch\")")]
    pub urgency: String,
    /// key under which a repeated submission finds the same job
    #[argh(option)]
    pub key: Option<String>,
    /// a lost task may be run again from the start
    #[argh(switch)]
    pub idempotent: bool,
    /// tasks can be checkpointed
    #[argh(switch)]
    pub resumable: bool,
}

/// wait until a job has ended and print its result
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// job
    #[argh(positional)]
    pub job: String,
}

/// cancel a job
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// job
    #[argh(positional)]
    pub job: String,
}

/// take a data centre out by revising the documents of all services
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// bring a data centre back by revising the documents of all services
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct Undrain {
    /// data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// explain what was decided about a job, and why
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// job
    #[argh(positional)]
    pub job: String,
}

/// report on service-level burn, gathered from all nodes
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct Burn {
    /// also write a self-contained HTML page to this file
    #[argh(option)]
    pub html: Option<PathBuf>,
}
