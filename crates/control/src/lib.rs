//! The daemon on VMs with a disk: replicates the tables and order claims and serves them to routers.
//!
//! It is the rim around the pure crates `consensus` and `control-state`: sockets, the disk's
//! thread, timers. It never decides what a command means.

mod commands;
pub mod daemon;
mod disk;
mod envelope;
mod founding;
mod handler;
mod health;
mod log_state;
mod machine;
mod peers;
mod replica;
mod settings;
mod status;
mod tables_feed;
mod watch;

pub use commands::CommandCheck;
pub use founding::{Founding, format};
pub use log_state::{LogRules, LogState};
pub use machine::ControlMachine;
pub use replica::pending::Pending;
pub use settings::Settings;
