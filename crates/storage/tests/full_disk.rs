//! A full disk is told from a broken one, and the same change is saved once there is room. Guards
//! against a member that ends again and again after its disk was full once.

#[path = "support/simulated_disk.rs"]
mod simulated_disk;

use consensus::{DiskId, Entry, LogIndex, Payload, Snapshot, Storage, StorageError, Term, Writes};
use simulated_disk::SimulatedDisk;
use storage::{LogFile, Settings};

const DISK: DiskId = DiskId(7);
const LIMIT_BYTES: usize = 8 * 1024 * 1024;

fn open(disk: &SimulatedDisk) -> Result<LogFile, StorageError> {
    LogFile::with_backend(disk.clone(), &Settings::default(), DISK)
}

fn large_entry(index: u64) -> Writes {
    let payload = Payload::Command(vec![1; 300 * 1024]);
    let entry = Entry { index: LogIndex(index), term: Term(2), payload };
    Writes { append: vec![entry], ..Writes::default() }
}

/// Appends large entries until one no longer fits; returns its index.
fn fill(log: &mut LogFile) -> u64 {
    for index in 1.. {
        match log.save(&large_entry(index)) {
            Ok(()) => {}
            Err(StorageError::Full { .. }) => return index,
            Err(err) => panic!("a full disk was reported as {err}"),
        }
    }
    unreachable!("the disk has no limit");
}

#[test]
fn retry_with_room() {
    let disk = SimulatedDisk::default();
    let mut log = open(&disk).unwrap();
    disk.limit(Some(LIMIT_BYTES));
    let refused = fill(&mut log);
    assert!(refused > 4, "only {} entries of 300 KiB fit into 8 MiB", refused - 1);
    log.reopen().unwrap();
    assert!(matches!(log.save(&large_entry(refused)), Err(StorageError::Full { .. })));

    disk.limit(None);
    log.reopen().unwrap();
    log.save(&large_entry(refused)).unwrap();
    let entries = log.load().unwrap().entries;
    assert_eq!(entries.len() as u64, refused);
    assert_eq!(log.disk(), DISK);
}

/// A compaction that saves a snapshot of everything up to an index.
fn compaction(last: u64) -> Writes {
    let snapshot = Snapshot {
        index: LogIndex(last),
        term: Term(2),
        data: vec![1; 300 * 1024],
        ..Snapshot::default()
    };
    let (snapshot, compact_to) = (Some(snapshot.into()), Some(LogIndex(last)));
    Writes { snapshot, compact_to, ..Writes::default() }
}

#[test]
fn restart_while_full() {
    let disk = SimulatedDisk::default();
    let mut log = open(&disk).unwrap();
    disk.limit(Some(LIMIT_BYTES));
    let refused = fill(&mut log);
    drop(log);
    let mut log = open(&disk).unwrap();
    assert_eq!(log.load().unwrap().entries.len() as u64, refused - 1);

    // Once a larger disk has taken the snapshot, what that frees is used again.
    disk.limit(Some(2 * LIMIT_BYTES));
    log.reopen().unwrap();
    log.save(&compaction(refused - 1)).unwrap();
    for index in refused..refused + 100 {
        log.save(&large_entry(index)).unwrap();
        log.save(&compaction(index)).unwrap();
    }
    assert!(log.load().unwrap().entries.is_empty());
}
