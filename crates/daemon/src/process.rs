//! The process of a daemon, from its first instruction to its exit code.

use std::{
    io::{self, Write},
    path::Path,
    process::ExitCode,
};

use anyhow::Context;
use telemetry::LogSettings;

use crate::{Signals, Start, StoppedEarly};

/// The exit code after an error. It is 0 after a stop, 2 after a wrong command line and 101 after a
/// panic.
const FAILURE_EXIT_CODE: u8 = 1;

/// How a daemon was started.
#[derive(Debug)]
pub struct Launch<'a> {
    /// The name of the program.
    pub program: &'static str,
    /// The version of the program.
    pub version: &'static str,
    /// The settings file, which is not read yet.
    pub settings_file: &'a Path,
    /// The result of [`Signals::install`], which is called before anything else.
    pub signals: io::Result<Signals>,
}

/// Runs a daemon and returns the exit code of its process. The log says what ended it.
pub fn run_process(
    role: &'static str,
    launch: Launch<'_>,
    daemon: impl FnOnce(Start<'_>) -> anyhow::Result<()>,
) -> ExitCode {
    // The settings, which name the filter of the log, are read later.
    let logs = match telemetry::init_logs(&LogSettings::default()) {
        Ok(logs) => logs,
        Err(error) => return fail(&error),
    };
    telemetry::log_panics();
    let Launch { program, version, settings_file, signals } = launch;
    let settings = settings_file.display();
    tracing::info!(event = "starting", program, role, version, %settings);
    let signals = signals.context("install the handlers of signals");
    let result = signals.and_then(|signals| daemon(Start::new(signals, &logs)));
    let Err(error) = result else { return ExitCode::SUCCESS };
    match error.downcast() {
        Ok(StoppedEarly { step }) => {
            tracing::info!(event = "stopped", during_start = step);
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

fn fail(error: &anyhow::Error) -> ExitCode {
    // The causes, but no backtrace: to resolve one takes much memory, of which there may be too little.
    let error = format!("{error:#}");
    tracing::error!(event = "failed", exit_code = FAILURE_EXIT_CODE, error);
    // The log may be full or unwritable, and so may the standard error: neither changes the exit code.
    let _ = writeln!(io::stderr(), "Error: {error}");
    ExitCode::from(FAILURE_EXIT_CODE)
}
