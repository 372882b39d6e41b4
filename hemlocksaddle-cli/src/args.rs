//! Command-line arguments.
//!
//! The doc comments of options and commands are their `--help` texts.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Command line of hemlocksaddle, a scheduler for services and batch work.
///
/// Exit codes: 0 success, 1 refused or failed, 2 invalid usage, 3 no node answered.
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// address of a node's caller port, as IP:PORT; repeat the option for each node
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// print the output as JSON
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommand and its arguments.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a document.
    Check(Check),
    /// Check a configuration.
    CheckConfiguration(CheckConfiguration),
    /// Publish a document.
    Publish(Publish),
    /// Show the current documents.
    Documents(Documents),
    /// Show the state of all nodes.
    Status(Status),
    /// Submit a job.
    Submit(Submit),
    /// Wait until a job has ended.
    Watch(Watch),
    /// Cancel a job.
    Cancel(Cancel),
    /// Take a data centre out of service.
    Drain(Drain),
    /// Bring a data centre back into service.
    Undrain(Undrain),
    /// Explain the decisions about a job.
    Explain(Explain),
    /// Report error budget burn.
    Burn(Burn),
}

/// check a document without publishing it
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// path of the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// check a configuration without sending it; exit code 1 if there are findings, 2 if it cannot be read
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check-config")]
pub struct CheckConfiguration {
    /// path of the configuration record
    #[argh(positional)]
    pub file: PathBuf,
    /// path of the record in force, to show the changes
    #[argh(option)]
    pub in_force: Option<PathBuf>,
}

/// publish a document; fails if its current revision is not the expected one
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// path of the document
    #[argh(positional)]
    pub file: PathBuf,
    /// revision that the edit is based on; 0 for a new service
    #[argh(option)]
    pub expected: u64,
}

/// show the current documents
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "documents")]
pub struct Documents {
    /// service; all services if omitted
    #[argh(positional)]
    pub service: Option<String>,
}

/// show the state of all nodes
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// submit a job and print its ID
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// service that the job belongs to
    #[argh(positional)]
    pub service: String,
    /// number of tasks
    #[argh(option, default = "1")]
    pub tasks: u32,
    /// CPU demand of a task, in thousandths of a core
    #[argh(option)]
    pub cpu_milli: u64,
    /// memory demand of a task, in MB
    #[argh(option)]
    pub memory_mb: u64,
    /// number of accelerators of a task
    #[argh(option, default = "0")]
    pub accelerators: u64,
    /// expected run time of a task, in milliseconds
    #[argh(option)]
    pub expected_run_ms: u64,
    /// urgency: urgent, normal or batch
    #[argh(option, default = "String::from(\"batch\")")]
    pub urgency: String,
    /// idempotency key; a repeated submission with the same key returns the same job
    #[argh(option)]
    pub key: Option<String>,
    /// tasks are idempotent: a lost task may be restarted from the beginning
    #[argh(switch)]
    pub idempotent: bool,
    /// tasks can be checkpointed and resumed
    #[argh(switch)]
    pub resumable: bool,
}

/// wait until a job has ended and print its result
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// ID of the job
    #[argh(positional)]
    pub job: String,
}

/// cancel a job
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// ID of the job
    #[argh(positional)]
    pub job: String,
}

/// take a data centre out of service by revising the documents of all services
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// bring a data centre back into service by revising the documents of all services
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct Undrain {
    /// name of the data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// show the decisions about a job and their reasons
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// ID of the job
    #[argh(positional)]
    pub job: String,
}

/// report the error budget burn of each service, gathered from all nodes
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct Burn {
    /// also write a self-contained HTML page to this file
    #[argh(option)]
    pub html: Option<PathBuf>,
}
