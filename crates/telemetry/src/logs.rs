//! Sets up logs: one line of key=value pairs an event, on the standard output.
//!
//! A thread of its own writes the lines, so that a slow reader of the output never holds the
//! process up. Lines beyond the buffer are dropped and counted; the count is a line of the log
//! and a metric.

use std::sync::OnceLock;

use anyhow::Context;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, Layer, fmt, layer::SubscriberExt, util::SubscriberInitExt};

/// What a daemon logs.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// A filter such as `info` or `info,router=debug`.
    pub filter: String,
    /// Where the lines go.
    pub output: LogOutput,
}

/// Where the lines of the log go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// The standard output.
    Stdout,
    /// The standard error stream, for programs whose results are on the standard output.
    Stderr,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { filter: "info".to_owned(), output: LogOutput::Stdout }
    }
}

/// Lines that may wait for the writer. At 300 bytes a line that is less than 2 MB.
const LINES_MAX: usize = 6_000;

/// The count of the process's log, which is set up once.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// How many lines of the process's log were dropped so far.
pub(crate) fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Keeps the writer of the log; the lines that wait are written when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl LogGuard {
    /// How many lines were dropped because the output was not read in time.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let count = self.dropped_lines();
        if count > 0 {
            tracing::warn!(event = "log_lines_dropped", count);
        }
    }
}

/// Installs the process's log subscriber.
///
/// # Errors
///
/// If the filter does not parse or a subscriber is installed already.
pub fn init_logs(settings: &LogSettings) -> anyhow::Result<LogGuard> {
    let filter = EnvFilter::try_new(&settings.filter)
        .with_context(|| format!("log filter `{}`: write one such as info", settings.filter))?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES_MAX);
    let (writer, guard) = match settings.output {
        LogOutput::Stdout => builder.finish(std::io::stdout()),
        LogOutput::Stderr => builder.finish(std::io::stderr()),
    };
    let dropped = DROPPED.get_or_init(|| writer.error_counter()).clone();
    let lines = fmt::layer()
        .event_format(tracing_logfmt::EventsFormatter::default())
        .fmt_fields(tracing_logfmt::FieldsFormatter::default())
        .with_writer(writer)
        .with_filter(filter);
    tracing_subscriber::registry()
        .with(lines)
        .try_init()
        .context("logs are set up once a process")?;
    Ok(LogGuard { dropped, _writer: guard })
}
