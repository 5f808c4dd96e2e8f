//! The settings of the log file.

/// Settings of a [`crate::LogFile`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The most memory for cached pages, in bytes.
    pub cache_bytes: usize,
    /// How a commit reaches the disk.
    pub commit_phases: CommitPhases,
}

/// The number of phases of a commit, each of which needs a sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitPhases {
    /// One sync. After a crash, a damaged newest commit is treated as interrupted and dropped.
    One,
    /// Two syncs. A damaged newest commit is distinguished from an interrupted one.
    Two,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { cache_bytes: 4 * 1024 * 1024, commit_phases: CommitPhases::One }
    }
}
