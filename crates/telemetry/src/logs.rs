//! Sets up logs: one line of key=value pairs an event, on the standard error stream.

use anyhow::Context;
use tracing_subscriber::{EnvFilter, Layer, fmt, layer::SubscriberExt, util::SubscriberInitExt};

/// What a daemon logs.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// A filter such as `info` or `info,router=debug`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { filter: "info".to_owned() }
    }
}

/// Installs the process's log subscriber.
///
/// # Errors
///
/// If the filter does not parse or a subscriber is installed already.
pub fn init_logs(settings: &LogSettings) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(&settings.filter)
        .with_context(|| format!("log filter `{}`: write one such as info", settings.filter))?;
    let lines = fmt::layer()
        .event_format(tracing_logfmt::EventsFormatter::default())
        .fmt_fields(tracing_logfmt::FieldsFormatter::default())
        .with_writer(std::io::stderr)
        .with_filter(filter);
    tracing_subscriber::registry().with(lines).try_init().context("logs are set up once a process")
}
