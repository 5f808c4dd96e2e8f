//! The daemon on VMs with a disk: replicates the tables and order claims and serves them to routers.
//!
//! It supplies the I/O around the deterministic crates `consensus` and `control-state`: sockets,
//! the disk thread and timers. What a command means is decided in `control-state`.

mod address_book;
mod bootstrap;
mod commands;
pub mod daemon;
mod disk_writer;
mod documents;
mod duties;
mod envelope;
mod graceful_stop;
mod handler;
mod health;
mod hub_broadcast;
mod log_state;
mod memory;
mod peers;
mod replica;
mod saved_streams;
mod saver;
mod server_feed;
mod settings;
mod snapshot_pace;
mod state_machine;
mod status;
mod tables_feed;
mod version_history;

pub use address_book::{AddressBook, node_id_of};
pub use bootstrap::{FormatMode, format};
pub use commands::CommandCheck;
pub use disk_writer::{DiskWriter, SaveResult};
pub use documents::{Documents, OperatorApi, SharedDocument, Unavailable};
pub use duties::{Duty, DutyApi, DutyCredentials, DutySettings, UnknownDuty};
pub use envelope::Envelope;
pub use log_state::{LogRules, LogState};
pub use replica::pending::Pending;
pub use settings::{ConnectionBounds, Settings, TokenFiles};
pub use state_machine::StateMachine;
pub use version_history::VersionHistory;
