//! The command-line tool `gooseberry-load`.

mod cli;

use std::process::ExitCode;

use telemetry::{LogOutput, LogSettings, init_logs};

fn main() -> ExitCode {
    // Standard output is for results, so the logs go to standard error, from warnings up.
    let logs = LogSettings { filter: "warn".to_owned(), output: LogOutput::Stderr };
    match init_logs(&logs).and_then(|_guard| cli::run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            ExitCode::FAILURE
        }
    }
}
