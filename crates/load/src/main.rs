//! The load tool's command line.

mod cli;

use std::process::ExitCode;

use telemetry::{LogOutput, LogSettings, init_logs};

fn main() -> ExitCode {
    // Results go to the standard output; events of the libraries matter only when they warn.
    let logs = LogSettings { filter: "warn".to_owned(), output: LogOutput::Stderr };
    match init_logs(&logs).and_then(|_guard| cli::run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            ExitCode::FAILURE
        }
    }
}
