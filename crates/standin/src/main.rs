//! Starts `gooseberry-standin`; the library holds all of its logic.

use std::thread;

use anyhow::Context;
use httpio::signal::{Signal, Trigger, signal};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use standin::cli;
use telemetry::{LogOutput, LogSettings};

fn main() -> anyhow::Result<()> {
    let matches = cli::command().get_matches();
    let logs = LogSettings { output: LogOutput::Stderr, ..LogSettings::default() };
    let _logs = telemetry::init_logs(&logs)?;
    let cli::Invocation { server, service } = cli::invocation(&matches)?;
    let listen = server.listen;
    standin::run(server, service, stop_signal()?, |addr| {
        tracing::info!(event = "listening", %addr);
    })
    .with_context(|| format!("serve on {listen}"))
}

/// Returns a signal that SIGTERM or SIGINT raises; a second one exits the process at once.
fn stop_signal() -> anyhow::Result<Signal> {
    let (stop, stopped) = signal();
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("watch for signals")?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || raise_then_exit(stop, &mut signals))
        .context("start the thread that waits for signals")?;
    Ok(stopped)
}

fn raise_then_exit(stop: Trigger, signals: &mut Signals) {
    let mut received = signals.forever();
    if received.next().is_some() {
        stop.raise();
    }
    if let Some(signal) = received.next() {
        std::process::exit(128 + signal);
    }
}
