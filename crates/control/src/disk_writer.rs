//! Writes to the disk on a separate thread, since file I/O would block the async runtime.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use consensus::{Storage, StorageError, WriteId, Writes};
use futures::channel::mpsc as async_mpsc;

/// The pause between two attempts to open the data folder, or to write to a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The event of a full disk.
const FULL: &str = "disk_full";

/// The result of one write.
pub type SaveResult = Result<WriteId, StorageError>;

/// Passes writes to the disk thread.
///
/// A write that finds the disk full is retried until there is room. Until then the member neither
/// votes nor acknowledges anything that depends on the write.
#[derive(Debug)]
pub struct DiskWriter {
    writes: mpsc::Sender<Writes>,
    is_full: Arc<AtomicBool>,
}

impl DiskWriter {
    /// Starts the disk thread; the receiver yields the results in the order of the writes.
    #[must_use]
    pub fn start(
        mut storage: Box<dyn Storage + Send>,
    ) -> (DiskWriter, async_mpsc::UnboundedReceiver<SaveResult>) {
        let (writes, incoming) = mpsc::channel::<Writes>();
        let (results, saved) = async_mpsc::unbounded();
        let is_full = Arc::new(AtomicBool::new(false));
        let full_disk = Arc::clone(&is_full);
        thread::spawn(move || {
            for writes in incoming {
                let result = retry_while_unavailable(|| {
                    if full_disk.load(Ordering::Relaxed) {
                        storage.reopen()?;
                    }
                    let result = storage.save(&writes);
                    let found_full = matches!(result, Err(StorageError::Full { .. }));
                    full_disk.store(found_full, Ordering::Relaxed);
                    result
                });
                if results.unbounded_send(result.map(|()| writes.id)).is_err() {
                    return;
                }
            }
        });
        (DiskWriter { writes, is_full }, saved)
    }

    /// Enqueues a write; at most one is in flight, so the queue stays short.
    pub fn save(&self, writes: Writes) {
        // A disk thread that has ended has reported its error, which stops the process.
        let _ = self.writes.send(writes);
    }

    /// Whether a write waits for room on the disk.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.is_full.load(Ordering::Relaxed)
    }
}

/// Repeats an attempt while it fails for a reason that passes.
pub(crate) fn retry_while_unavailable<T>(
    mut attempt: impl FnMut() -> Result<T, StorageError>,
) -> Result<T, StorageError> {
    let mut attempts: u64 = 0;
    let mut last_event = "";
    loop {
        let result = attempt();
        let Some((event, path)) = result.as_ref().err().and_then(passing_reason) else {
            if attempts > 0 {
                let event = if last_event == FULL { "disk_has_room" } else { "disk_available" };
                tracing::info!(event, attempts);
            }
            return result;
        };
        if telemetry::is_logged_attempt(attempts) || event != last_event {
            tracing::error!(event, path = %path.display(), attempts);
        }
        last_event = event;
        attempts += 1;
        thread::sleep(RETRY_INTERVAL);
    }
}

/// The event to log and the path of an error whose reason passes; `None` if the error is final.
///
/// An error of the disk itself is final, as is one of a sync, after which the disk may hold less than
/// the process knows.
pub(crate) fn passing_reason(error: &StorageError) -> Option<(&'static str, &Path)> {
    match error {
        StorageError::Full { path } => Some((FULL, path)),
        StorageError::InUse { path } => Some(("disk_in_use", path)),
        StorageError::NoDescriptors { path } => Some(("no_descriptors", path)),
        _ => None,
    }
}
