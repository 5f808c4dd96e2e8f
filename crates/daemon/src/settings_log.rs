//! Logs what a settings file holds that this build does not know.

use ini_settings::Fault;

/// Logs names that are ignored, because the file may also be read by a newer or an older build.
pub fn log_unknown_settings(unknown: &[Fault]) {
    for Fault { source_name, line, name, problem, remedy } in unknown {
        tracing::warn!(event = "setting_ignored", file = source_name, line, name, problem, remedy);
    }
}
