//! Keeps the replicated log on disk under one data folder.
//!
//! [`format()`] makes a data folder with a new disk id, [`LogFile`] implements the border that crate
//! `consensus` defines. A commit that was cut off by a crash is dropped whole; a record whose
//! checksum fails is refused, since cutting it off would forget what this member has promised.
//! All calls block until the disk has synced, so the caller gives them a thread of their own.

mod folder;
mod log_file;
mod record;
mod settings;

pub use folder::{format, format_bootstrap_member, is_formatted};
pub use log_file::LogFile;
pub use settings::{CommitPhases, Settings};
