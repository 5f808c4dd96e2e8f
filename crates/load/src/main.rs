//! The load tool's command line.

mod cli;

use std::process::ExitCode;

use telemetry::{LogSettings, init_logs};

fn main() -> ExitCode {
    match init_logs(&LogSettings::default()).and_then(|()| cli::run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            ExitCode::FAILURE
        }
    }
}
