//! Writes to the disk on a separate thread, since file I/O would block the async runtime.

use std::{sync::mpsc, thread};

use consensus::{Storage, StorageError, WriteId, Writes};
use futures::channel::mpsc as async_mpsc;

/// The result of one write.
pub(crate) type SaveResult = Result<WriteId, StorageError>;

/// Passes writes to the disk thread.
pub(crate) struct DiskWriter {
    writes: mpsc::Sender<Writes>,
}

impl DiskWriter {
    /// Starts the disk thread; the receiver yields the results in the order of the writes.
    pub(crate) fn start(
        mut storage: Box<dyn Storage + Send>,
    ) -> (DiskWriter, async_mpsc::UnboundedReceiver<SaveResult>) {
        let (writes, incoming) = mpsc::channel::<Writes>();
        let (results, saved) = async_mpsc::unbounded();
        thread::spawn(move || {
            for writes in incoming {
                let result = storage.save(&writes).map(|()| writes.id);
                if results.unbounded_send(result).is_err() {
                    return;
                }
            }
        });
        (DiskWriter { writes }, saved)
    }

    /// Enqueues a write; at most one is in flight, so the queue stays short.
    pub(crate) fn save(&self, writes: Writes) {
        // A disk thread that has ended has reported its error, which stops the process.
        let _ = self.writes.send(writes);
    }
}
