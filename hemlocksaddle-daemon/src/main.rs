//! Program that runs one node.

#![forbid(unsafe_code)]

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use hemlocksaddle_daemon::settings::File;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Exit code for settings that are not valid.
const BAD_SETTINGS: u8 = 2;

/// Runs one hemlocksaddle node until SIGTERM or SIGINT.
#[derive(FromArgs)]
struct Arguments {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// run a node that owns shards of workflows on a managed platform
    #[argh(switch)]
    shards: bool,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
    /// least severe level that is logged: off, error, warn, info (default), debug or trace
    #[argh(option, default = "LevelFilter::Info")]
    log_level: LevelFilter,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.shards {
        return run_shards(arguments);
    }
    let file = match File::load(&arguments.settings) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("settings file {} is valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    start_log(arguments.log_level);
    match hemlocksaddle_daemon::run_node(file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "hemlocksaddle", "{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a node of workflow shards.
fn run_shards(arguments: Arguments) -> ExitCode {
    let file = match hemlocksaddle_platform::settings::File::load(&arguments.settings) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("settings file {} is valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    start_structured_log(arguments.log_level);
    match hemlocksaddle_daemon::shards::run(arguments.settings, file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "hemlocksaddle", "{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Logs the lines as they are, without a prefix, to standard output.
fn start_structured_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    // Fails only if a logger is set already, which no one else in this program does.
    let _ = WriteLogger::init(level, config, std::io::stdout());
}

fn start_log(level: LevelFilter) {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    // Fails only if a logger is set already, which no one else in this program does.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
