//! The steps of a daemon's start, any of which a stop request ends.

use std::{
    panic,
    sync::mpsc::{self, RecvTimeoutError},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use derive_more::{Display, Error};
use telemetry::LogGuard;

use crate::Signals;

/// The interval at which a step of the start looks for a stop request.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a start waits for settings that can be read. A file that is being replaced may be missing, empty or
/// half written for a moment.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(5);
const SETTINGS_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A stop was requested before the daemon served, which is no failure.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("stopped during the start: {step}")]
pub struct StoppedEarly {
    /// What the daemon was doing.
    #[error(not(source))]
    pub step: &'static str,
}

/// A daemon that is starting.
#[derive(Debug)]
pub struct Start<'a> {
    /// The requests to stop and to reload.
    pub signals: Signals,
    logs: &'a LogGuard,
}

impl<'a> Start<'a> {
    /// Begins a start that writes to `logs`.
    #[must_use]
    pub fn new(signals: Signals, logs: &'a LogGuard) -> Start<'a> {
        Start { signals, logs }
    }

    /// Reads the settings by `read`, again for some seconds while they cannot be read.
    ///
    /// # Errors
    /// The last error of `read`, and [`StoppedEarly`] after a stop request.
    pub fn read_settings<T: Send + 'static>(
        &self,
        read: impl Fn() -> anyhow::Result<T> + Send + 'static,
    ) -> anyhow::Result<T> {
        self.run_step("read the settings", move || read_when_whole(read))?
    }

    /// Applies the log filter of the settings.
    ///
    /// # Errors
    /// If the filter does not parse.
    pub fn set_log_filter(&self, filter: &str) -> anyhow::Result<()> {
        self.logs.set_filter(filter)
    }

    /// Runs a step that may block, for instance on a file or a disk, and waits for its result or for a
    /// stop request.
    ///
    /// # Errors
    /// [`StoppedEarly`] after a stop request, while the step may still be under way: the process must
    /// end then.
    pub fn run_step<T: Send + 'static>(
        &self,
        step: &'static str,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> anyhow::Result<T> {
        let (sender, result) = mpsc::channel();
        // Sending fails only after a stop request, when nobody waits for the result.
        let run = move || _ = sender.send(work());
        let worker = thread::Builder::new().spawn(run).context(step)?;
        loop {
            if self.signals.is_stop_requested() {
                return Err(StoppedEarly { step }.into());
            }
            match result.recv_timeout(STOP_POLL_INTERVAL) {
                Ok(result) => return Ok(result),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        match worker.join() {
            Err(panic) => panic::resume_unwind(panic),
            Ok(()) => unreachable!("a step that does not panic sends its result"),
        }
    }
}

fn read_when_whole<T>(read: impl Fn() -> anyhow::Result<T>) -> anyhow::Result<T> {
    let begun = Instant::now();
    let mut is_logged = false;
    loop {
        let error = match read() {
            Err(error) if begun.elapsed() < SETTINGS_TIMEOUT => error,
            result => return result,
        };
        if !is_logged {
            tracing::warn!(event = "settings_unreadable", error = format!("{error:#}"));
            is_logged = true;
        }
        thread::sleep(SETTINGS_RETRY_INTERVAL);
    }
}
