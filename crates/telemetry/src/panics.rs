//! Writes panics to the log, in its format.

use std::{panic, thread};

/// Logs each panic of any thread from now on, before it unwinds. The message on the standard error
/// stays.
pub fn log_panics() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        let message = info.payload_as_str().unwrap_or("a value that is no text");
        let current = thread::current();
        let thread = current.name().unwrap_or("unnamed");
        tracing::error!(event = "panic", thread, location, message);
        default_hook(info);
    }));
}
