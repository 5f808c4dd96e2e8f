//! The interface to the disk that holds a member's state.

use std::{
    io,
    path::{Path, PathBuf},
};

use derive_more::{Display, Error};

use crate::{DiskId, Entry, HardState, Snapshot, Writes};

/// Stores a member's state; an implementation may block until the disk has synced.
pub trait Storage {
    /// The identity that the disk got when it was formatted.
    fn disk(&self) -> DiskId;

    /// Reads the saved state.
    ///
    /// # Errors
    /// Fails if the disk cannot be read or holds damaged data.
    fn load(&self) -> Result<Recovered, StorageError>;

    /// Saves all changes atomically; after `Ok` they survive a crash.
    ///
    /// # Errors
    /// Fails if the disk cannot be written. Whether the changes were saved is then unknown until the
    /// next start.
    fn save(&mut self, writes: &Writes) -> Result<(), StorageError>;

    /// Prepares for a retry of a save that failed; the retry writes the same changes.
    ///
    /// # Errors
    /// Fails if the disk cannot be used yet.
    fn reopen(&mut self) -> Result<(), StorageError>;
}

/// The state that a member recovers from its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot; on a new disk, the empty one at index zero.
    pub snapshot: Snapshot,
    /// The entries, with consecutive indexes; those that the snapshot covers are ignored.
    pub entries: Vec<Entry>,
}

/// The numbers that Linux gives to the errors of too many open files, of the process and of the system.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

/// Why the state on disk cannot be read or written.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum StorageError {
    /// The operating system or the database library reported an error.
    #[display("{}: {reason}: check the disk, then restart the process", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The reported error.
        reason: String,
    },
    /// The disk has no room for the change, or a limit of the system on the size of all files or of
    /// one is reached. The same change can be saved once there is room.
    #[display("{}: the disk is full: free space on it or enlarge it, or raise the limit on file sizes", path.display())]
    Full {
        /// The file or folder.
        path: PathBuf,
    },
    /// The file cannot be opened, because the process or the system has too many files open. It can be
    /// once some are closed.
    #[display("{}: too many files are open: raise the limit of open files", path.display())]
    NoDescriptors {
        /// The file or folder.
        path: PathBuf,
    },
    /// The folder was never formatted, or its disk was lost.
    #[display("{}: no formatted data: format it; the node then joins as a new member", path.display())]
    NotFormatted {
        /// The data folder.
        path: PathBuf,
    },
    /// The folder is formatted already.
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
    /// A later build wrote the folder in a format that this build does not know. The folder is unchanged.
    #[display(
        "{}: format {format} is not known: run the build that wrote it or a later one on this folder",
        path.display()
    )]
    LaterFormat {
        /// The file.
        path: PathBuf,
        /// The number of the format.
        format: u32,
    },
    /// A record is whole, but of a form that this build does not know. The file is unchanged.
    #[display("{}: {detail}: run the build that wrote it on this folder", path.display())]
    UnknownRecord {
        /// The file.
        path: PathBuf,
        /// Which record it is.
        detail: String,
    },
    /// Saved data fails its checksum or is inconsistent.
    #[display(
        "{}: {detail}: move the folder away, format a new one and let the node join as a new member",
        path.display()
    )]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is damaged or missing.
        detail: String,
    },
}

impl StorageError {
    /// The error of a failed system call on `path`.
    #[must_use]
    pub fn from_io(path: &Path, err: &io::Error) -> StorageError {
        let path = path.to_owned();
        if matches!(err.raw_os_error(), Some(EMFILE | ENFILE)) {
            return StorageError::NoDescriptors { path };
        }
        match err.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => StorageError::Full { path },
            _ => StorageError::Io { path, reason: err.to_string() },
        }
    }
}
