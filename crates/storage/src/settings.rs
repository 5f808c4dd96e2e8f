//! The sizes of a data folder's store.

/// Settings of a [`crate::LogFile`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The largest memory for cached pages, in bytes.
    pub cache_bytes: usize,
    /// How a commit reaches the disk.
    pub commit_phases: CommitPhases,
}

/// How many syncs a commit needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitPhases {
    /// One sync. After a crash, a damaged newest commit counts as cut off and is dropped.
    One,
    /// Two syncs. A damaged newest commit is told from one that was cut off.
    Two,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { cache_bytes: 4 * 1024 * 1024, commit_phases: CommitPhases::One }
    }
}
