//! The daemon on VMs with a disk: replicates the tables and order claims and serves them to routers.
//!
//! It is the rim around the pure crates `consensus` and `control-state`: sockets, the disk's
//! thread, timers. It never decides what a command means.

mod address_book;
mod commands;
pub mod daemon;
mod disk;
mod documents;
mod envelope;
mod founding;
mod handler;
mod health;
mod log_state;
mod machine;
mod peers;
mod replica;
mod server_feed;
mod settings;
mod status;
mod tables_feed;
mod work_exchange;

pub use address_book::{AddressBook, node_named_after};
pub use commands::CommandCheck;
pub use documents::{Documents, OperatorApi, Unavailable};
pub use founding::{Founding, format, prepare};
pub use log_state::{LogRules, LogState};
pub use machine::ControlMachine;
pub use replica::pending::Pending;
pub use settings::{Settings, TokenFiles};
