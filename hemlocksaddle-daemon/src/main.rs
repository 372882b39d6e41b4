//! Command line of `hemlocksaddled`, which runs one node.

#![forbid(unsafe_code)]

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use hemlocksaddle_daemon::settings::File;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Exit code for an invalid settings file.
const EXIT_INVALID_SETTINGS: u8 = 2;

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
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("settings file {} is valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    init_logger(arguments.log_level);
    match hemlocksaddle_daemon::run_node(file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "hemlocksaddle", "{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Checks the settings and runs a node that owns workflow shards.
fn run_shards(arguments: Arguments) -> ExitCode {
    let file = match hemlocksaddle_platform::settings::File::load(&arguments.settings) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("settings file {} is valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    init_structured_logger(arguments.log_level);
    match hemlocksaddle_daemon::shards::run(arguments.settings, file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "hemlocksaddle", "{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Logs to standard output without a prefix: each message is a complete structured line.
fn init_structured_logger(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    // Fails only if a logger is already set; nothing else in this program sets one.
    let _ = WriteLogger::init(level, config, std::io::stdout());
}

/// Logs to standard error with a timestamp on each line.
fn init_logger(level: LevelFilter) {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    // Fails only if a logger is already set; nothing else in this program sets one.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
