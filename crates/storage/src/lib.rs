//! Stores the replicated log on disk in one data folder.
//!
//! [`format()`] creates a data folder with a new disk id, and [`LogFile`] implements the trait
//! [`consensus::Storage`]. A commit that a crash interrupted is dropped as a whole. A record whose
//! checksum fails is an error, since dropping it could lose votes and entries that this member has
//! acknowledged. All calls block until the disk has synced, so the caller runs them on a thread of
//! their own.

mod append_file;
mod folder;
mod formatted_file;
mod log_file;
mod record;
mod settings;
mod state_file;

pub use append_file::{AppendFile, Appender};
pub use folder::{ReplacedDisk, format, format_bootstrap_member, is_formatted, replace_damaged};
pub use log_file::LogFile;
pub use settings::{CommitPhases, Settings};
pub use state_file::StateFile;
