//! A write that finds the disk full waits for room. Guards against a control process that ends, and
//! ends again after each restart, while its disk is full.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use consensus::{DiskId, Recovered, Storage, StorageError, WriteId, Writes};
use control::DiskWriter;
use futures::{StreamExt, executor::block_on};

/// A disk that is full for some attempts and unusable after a failed write until it is reopened.
struct FullDisk {
    full_attempts: usize,
    needs_reopen: bool,
    saved: Arc<AtomicUsize>,
}

impl Storage for FullDisk {
    fn disk(&self) -> DiskId {
        DiskId(1)
    }

    fn load(&self) -> Result<Recovered, StorageError> {
        Ok(Recovered::default())
    }

    fn save(&mut self, _writes: &Writes) -> Result<(), StorageError> {
        assert!(!self.needs_reopen, "the disk was not reopened after a failed write");
        if self.full_attempts == 0 {
            self.saved.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.full_attempts -= 1;
        self.needs_reopen = true;
        Err(StorageError::Full { path: PathBuf::from("disk") })
    }

    fn reopen(&mut self) -> Result<(), StorageError> {
        self.needs_reopen = false;
        Ok(())
    }
}

#[test]
fn waits_for_room() {
    let saved = Arc::new(AtomicUsize::new(0));
    let disk = FullDisk { full_attempts: 2, needs_reopen: false, saved: Arc::clone(&saved) };
    let (writer, mut results) = DiskWriter::start(Box::new(disk));
    for id in [WriteId(1), WriteId(2)] {
        writer.save(Writes { id, ..Writes::default() });
        assert_eq!(block_on(results.next()), Some(Ok(id)));
    }
    assert_eq!(saved.load(Ordering::Relaxed), 2);
    assert!(!writer.is_full());
}
