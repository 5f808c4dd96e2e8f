//! The process of a daemon, from its first instruction to its exit code.

use std::{io, process::ExitCode};

use anyhow::Context;
use telemetry::LogSettings;

use crate::{Signals, Start, StoppedEarly};

/// Runs a daemon, whose settings are not read yet, and returns the exit code of its process.
///
/// `signals` is the result of the first call of the program, [`Signals::install`].
pub fn run_process(
    signals: io::Result<Signals>,
    daemon: impl FnOnce(Start<'_>) -> anyhow::Result<()>,
) -> anyhow::Result<ExitCode> {
    let signals = signals.context("install the handlers of signals")?;
    // The settings, which name the filter of the log, are read later.
    let logs = telemetry::init_logs(&LogSettings::default())?;
    let Err(error) = daemon(Start::new(signals, &logs)) else { return Ok(ExitCode::SUCCESS) };
    let StoppedEarly { step } = error.downcast()?;
    tracing::info!(event = "stopped", during_start = step);
    Ok(ExitCode::SUCCESS)
}
