//! Sets up logging, with one line of key=value pairs per event.
//!
//! A dedicated thread writes the lines, so that a slow reader of the output never blocks the
//! process. Lines that exceed the buffer are dropped. Their count is logged and exported as a
//! metric.

use std::sync::OnceLock;

use anyhow::Context;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer, Registry, fmt, layer::SubscriberExt, reload, util::SubscriberInitExt,
};

/// Settings of a daemon's log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// A filter directive, for example `info` or `info,router=debug`.
    pub filter: String,
    /// The stream to which the lines are written.
    pub output: LogOutput,
}

/// The stream to which the lines of the log are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// The standard output.
    Stdout,
    /// The standard error stream, for programs that write results to the standard output.
    Stderr,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { filter: "info".to_owned(), output: LogOutput::Stdout }
    }
}

/// Maximum number of lines buffered for the writer thread. At 300 bytes a line, they take less than
/// 2 MB.
const BUFFERED_LINES_MAX: usize = 6_000;

/// Counts the dropped lines of the process's log, which is set up once.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// The number of lines of the process's log that have been dropped.
pub(crate) fn dropped_lines() -> usize {
    DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Keeps the writer thread of the log running. Dropping the guard writes the buffered lines.
#[derive(Debug)]
pub struct LogGuard {
    dropped: ErrorCounter,
    filter: reload::Handle<EnvFilter, Registry>,
    _writer: WorkerGuard,
}

impl LogGuard {
    /// The number of lines dropped because the output was not read fast enough.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Replaces the filter, for instance once the settings that name it have been read.
    ///
    /// # Errors
    ///
    /// If the filter does not parse.
    pub fn set_filter(&self, filter: &str) -> anyhow::Result<()> {
        self.filter.reload(parse_filter(filter)?).context("replace the filter of the log")
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
/// If the filter does not parse or a subscriber is already installed.
pub fn init_logs(settings: &LogSettings) -> anyhow::Result<LogGuard> {
    let (filter, filter_handle) = reload::Layer::new(parse_filter(&settings.filter)?);
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(BUFFERED_LINES_MAX);
    let (writer, guard) = match settings.output {
        LogOutput::Stdout => builder.finish(std::io::stdout()),
        LogOutput::Stderr => builder.finish(std::io::stderr()),
    };
    let dropped = DROPPED_LINES.get_or_init(|| writer.error_counter()).clone();
    let lines = fmt::layer()
        .event_format(tracing_logfmt::EventsFormatter::default())
        .fmt_fields(tracing_logfmt::FieldsFormatter::default())
        .with_writer(writer)
        .with_filter(filter);
    tracing_subscriber::registry()
        .with(lines)
        .try_init()
        .context("logs are set up once a process")?;
    Ok(LogGuard { dropped, filter: filter_handle, _writer: guard })
}

fn parse_filter(filter: &str) -> anyhow::Result<EnvFilter> {
    EnvFilter::try_new(filter)
        .with_context(|| format!("log filter `{filter}`: write one such as info"))
}
