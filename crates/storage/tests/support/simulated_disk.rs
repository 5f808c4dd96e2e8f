//! An in-memory disk on which a crash may lose any of the unsynced changes.
#![allow(dead_code)]

use std::{
    io,
    sync::{Arc, Mutex},
};

use redb::{BackendError, StorageBackend};

/// A redb backend in memory; clones share their content.
#[derive(Debug, Clone, Default)]
pub(crate) struct SimulatedDisk(Arc<Mutex<Content>>);

#[derive(Debug, Default)]
struct Content {
    /// The bytes as of the last sync.
    synced: Vec<u8>,
    /// The bytes that reads return.
    visible: Vec<u8>,
    /// The changes since the last sync.
    unsynced: Vec<Change>,
    /// How many more changes and syncs succeed before the power loss, if one is planned.
    calls_left: Option<u64>,
    /// The size of the disk, if it is limited.
    limit_bytes: Option<usize>,
}

#[derive(Debug, Clone)]
enum Change {
    Write(usize, Vec<u8>),
    Resize(usize),
}

impl SimulatedDisk {
    /// Fails all changes and syncs after this many more of them.
    pub(crate) fn fail_after(&self, calls: u64) {
        self.0.lock().unwrap().calls_left = Some(calls);
    }

    /// Limits the size of the disk; without a limit it has room for everything.
    pub(crate) fn limit(&self, limit_bytes: Option<usize>) {
        self.0.lock().unwrap().limit_bytes = limit_bytes;
    }

    /// The disk after a crash. `keep` decides for each unsynced change whether it survives.
    pub(crate) fn after_crash(&self, mut keep: impl FnMut() -> bool) -> SimulatedDisk {
        let content = self.0.lock().unwrap();
        let mut bytes = content.synced.clone();
        for change in &content.unsynced {
            if keep() {
                change.apply(&mut bytes);
            }
        }
        SimulatedDisk::holding(bytes)
    }

    fn holding(bytes: Vec<u8>) -> SimulatedDisk {
        let content = Content { synced: bytes.clone(), visible: bytes, ..Content::default() };
        SimulatedDisk(Arc::new(Mutex::new(content)))
    }
}

impl Content {
    fn change(&mut self, change: Change) -> Result<(), BackendError> {
        self.consume_call()?;
        if self.limit_bytes.is_some_and(|it| change.end() > it) {
            return Err(BackendError::Io(io::ErrorKind::StorageFull.into()));
        }
        change.apply(&mut self.visible);
        self.unsynced.push(change);
        Ok(())
    }

    /// Counts a change or sync; fails once the planned number is used up.
    fn consume_call(&mut self) -> Result<(), BackendError> {
        match &mut self.calls_left {
            Some(0) => Err(BackendError::Io(io::Error::other("simulated power loss"))),
            Some(calls) => {
                *calls -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Change {
    /// The size that the disk needs for the change.
    fn end(&self) -> usize {
        match self {
            Change::Resize(len) => *len,
            Change::Write(offset, data) => offset + data.len(),
        }
    }

    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Resize(len) => bytes.resize(*len, 0),
            Change::Write(offset, data) => {
                let end = offset + data.len();
                bytes.resize(bytes.len().max(end), 0);
                bytes[*offset..end].copy_from_slice(data);
            }
        }
    }
}

impl StorageBackend for SimulatedDisk {
    fn len(&self) -> Result<u64, BackendError> {
        Ok(self.0.lock().unwrap().visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), BackendError> {
        let content = self.0.lock().unwrap();
        let start = offset as usize;
        let found = content.visible.get(start..start + out.len());
        let Some(found) = found else {
            return Err(BackendError::Io(io::Error::other("read past the end of the disk")));
        };
        out.copy_from_slice(found);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), BackendError> {
        self.0.lock().unwrap().change(Change::Resize(len as usize))
    }

    fn sync_data(&self) -> Result<(), BackendError> {
        let mut content = self.0.lock().unwrap();
        content.consume_call()?;
        content.synced = content.visible.clone();
        content.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), BackendError> {
        self.0.lock().unwrap().change(Change::Write(offset as usize, data.to_vec()))
    }
}
