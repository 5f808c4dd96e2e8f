//! Logs whether the pieces of state beside the log are saved.

use consensus::StorageError;

/// Logs when saving begins to fail and when it works again.
pub(crate) struct SaveLog {
    event: &'static str,
    was_saved: bool,
}

impl SaveLog {
    /// Logs under the name `event`; nothing has failed yet.
    pub(crate) fn new(event: &'static str) -> SaveLog {
        SaveLog { event, was_saved: true }
    }

    /// Records the result of a save.
    pub(crate) fn record(&mut self, result: &Result<(), StorageError>) {
        if result.is_ok() == self.was_saved {
            return;
        }
        self.was_saved = result.is_ok();
        let error = result.as_ref().err().map(ToString::to_string);
        tracing::warn!(event = self.event, is_saved = self.was_saved, error);
    }
}
