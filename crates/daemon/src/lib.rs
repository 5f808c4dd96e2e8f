//! Infrastructure that all daemons share: the start and the end of the process, its signals, health
//! checks and metrics.
//!
//! The crate contains no logic that is specific to one daemon.

mod admin;
mod descriptors;
mod listen;
mod process;
mod settings_log;
mod signals;
mod start;
mod watch;

pub use admin::{Admin, Health, admin_server};
pub use descriptors::client_connections_fitting;
pub use listen::bind_when_free;
pub use process::{Launch, run_process};
pub use settings_log::log_unknown_settings;
pub use signals::{RequestStream, Signals};
pub use start::{Start, StoppedEarly};
pub use watch::Watch;
