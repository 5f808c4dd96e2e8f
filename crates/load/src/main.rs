//! The load tool's command line.

mod cli;

use std::process::ExitCode;

use telemetry::{LogSettings, init_logs};

fn main() -> ExitCode {
    // Results go to the standard output; events of the libraries matter only when they warn.
    let logs = LogSettings { filter: "warn".to_owned() };
    match init_logs(&logs).and_then(|()| cli::run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            ExitCode::FAILURE
        }
    }
}
