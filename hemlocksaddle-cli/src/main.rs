//! Entry point of the `hemlocksaddle` binary.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use argh::FromArgs;

use hemlocksaddle_cli::{
    args::{Args, Command},
    command, configuration,
    error::{Error, ErrorKind},
};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["hemlocksaddle"], &arguments) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitCode::from(2);
        }
    };
    if let Command::CheckConfiguration(arguments) = &args.command {
        return match configuration::check(arguments, args.json) {
            Ok(checked) => {
                println!("{}", checked.output);
                checked.exit_code()
            }
            Err(error) => fail(&error),
        };
    }
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(command::run(args)) {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

fn fail(error: &Error) -> ExitCode {
    eprintln!("{error}");
    if error.kind() == ErrorKind::Usage {
        eprintln!("run hemlocksaddle --help for usage");
    }
    ExitCode::from(error.exit_code())
}
