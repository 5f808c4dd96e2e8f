//! Gives the disk its own thread, since file I/O on the runtime's driver would block everything.

use std::{sync::mpsc, thread};

use consensus::{Storage, StorageError, WriteId, Writes};
use futures::channel::mpsc as async_mpsc;

/// What became of one write.
pub(crate) type Saved = Result<WriteId, StorageError>;

/// Hands writes to the disk's thread.
pub(crate) struct Disk {
    writes: mpsc::Sender<Writes>,
}

impl Disk {
    /// Starts the thread; results come out of the receiver in the order of the writes.
    pub(crate) fn start(
        mut storage: Box<dyn Storage + Send>,
    ) -> (Disk, async_mpsc::UnboundedReceiver<Saved>) {
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
        (Disk { writes }, saved)
    }

    /// Queues a write; at most one is under way, so the queue stays short.
    pub(crate) fn save(&self, writes: Writes) {
        // A thread that is gone has reported its fault, which ends the process.
        let _ = self.writes.send(writes);
    }
}
