//! Saves pieces of state beside the log on a thread of their own.

use std::{sync::mpsc, thread};

use consensus::StorageError;

/// Starts a thread that saves each value it is sent, until the sender is gone. One value may wait while the thread
/// saves another. The thread logs under the name `event` when saving begins to fail and when it works again.
pub(crate) fn start<T: Send + 'static>(
    event: &'static str,
    save: impl FnMut(T) -> Result<(), StorageError> + Send + 'static,
) -> mpsc::SyncSender<T> {
    let (sender, values) = mpsc::sync_channel(1);
    thread::spawn(move || save_all(event, values, save));
    sender
}

fn save_all<T>(
    event: &'static str,
    values: mpsc::Receiver<T>,
    mut save: impl FnMut(T) -> Result<(), StorageError>,
) {
    let mut was_saved = true;
    for value in values {
        let result = save(value);
        if result.is_ok() != was_saved {
            was_saved = result.is_ok();
            let error = result.err().map(|it| it.to_string());
            tracing::warn!(event, is_saved = was_saved, error);
        }
    }
}
