//! Decides when to save a snapshot, so that neither many small entries nor a few large ones fill the
//! disk and the memory.

/// A state up to this size is saved again once entries of its own size were applied; a larger one
/// sooner, since those entries stay in the log until then.
const STATE_WEIGHT_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Counts the entries that were applied since the last snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotPace {
    every_entries: u64,
    every_bytes: usize,
    entries: u64,
    bytes: usize,
    state_bytes: usize,
}

impl SnapshotPace {
    /// A pace of one snapshot every so many entries or bytes, whichever comes first.
    pub(crate) fn new(every_entries: u64, every_bytes: usize) -> SnapshotPace {
        SnapshotPace { every_entries, every_bytes, entries: 0, bytes: 0, state_bytes: 0 }
    }

    /// Counts an applied entry and returns whether a snapshot is due.
    pub(crate) fn count(&mut self, entry_bytes: usize) -> bool {
        self.entries += 1;
        self.bytes += entry_bytes;
        // A snapshot that is larger than the entries that it replaces would cost more than it saves.
        let due_bytes = self.every_bytes.max(self.state_bytes.min(STATE_WEIGHT_MAX_BYTES));
        self.entries >= self.every_entries || self.bytes >= due_bytes
    }

    /// Starts to count anew after a snapshot of this size was taken or restored.
    pub(crate) fn restart(&mut self, state_bytes: usize) {
        self.entries = 0;
        self.bytes = 0;
        self.state_bytes = state_bytes;
    }
}
