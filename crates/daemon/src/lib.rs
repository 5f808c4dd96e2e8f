//! Infrastructure that all daemons share: process signals, health checks and metrics.
//!
//! The crate contains no logic that is specific to one daemon.

mod admin;
mod settings_log;
pub mod signals;
mod watch;

pub use admin::{Admin, Health};
pub use settings_log::log_unknown_settings;
pub use watch::Watch;
