//! The border to the disk.

use std::path::PathBuf;

use derive_more::{Display, Error};

use crate::{DiskId, Entry, HardState, Snapshot, Writes};

/// Keeps a member's state; an implementation may block until the disk has synced.
pub trait Storage {
    /// The identity made when the disk was formatted.
    fn disk(&self) -> DiskId;

    /// Reads what was saved.
    ///
    /// # Errors
    /// Fails if the disk cannot be read or holds damaged data.
    fn load(&self) -> Result<Recovered, StorageError>;

    /// Saves all changes together; after `Ok` they survive a crash.
    ///
    /// # Errors
    /// Fails if the disk cannot be written. What was saved is then unknown until the next start.
    fn save(&mut self, writes: &Writes) -> Result<(), StorageError>;
}

/// What a member starts from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot; the empty one at index zero on a new disk.
    pub snapshot: Snapshot,
    /// The entries, without gaps; those within the snapshot are ignored.
    pub entries: Vec<Entry>,
}

/// Why state on disk cannot be used.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum StorageError {
    /// The operating system or the library reports a fault.
    #[display("{}: {reason}: check the disk, then restart the process", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The report.
        reason: String,
    },
    /// The folder was never formatted, or its disk was lost.
    #[display("{}: no formatted data: format it; the node then joins as a new member", path.display())]
    NotFormatted {
        /// The data folder.
        path: PathBuf,
    },
    /// The folder holds data already.
    #[display("{}: formatted already: start with it, or move it away first", path.display())]
    AlreadyFormatted {
        /// The data folder.
        path: PathBuf,
    },
    /// Another process has the folder open.
    #[display("{}: in use: stop the other process that runs on this folder", path.display())]
    InUse {
        /// The file.
        path: PathBuf,
    },
    /// Saved data fails its checksum or does not fit together.
    #[display(
        "{}: {what}: move the folder away, format a new one and let the node join as a new member",
        path.display()
    )]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        what: String,
    },
}
