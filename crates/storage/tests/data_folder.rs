//! A data folder is formatted only once, returns the saved state, and detects damage; its errors
//! name the remedy.

#[path = "support/sample.rs"]
mod sample;

use std::fs;

use consensus::{Members, Recovered, Snapshot, Storage, StorageError};
use proptest::{prelude::*, test_runner::RngSeed};
use redb::{Database, ReadableTable, TableDefinition};
use sample::{append, truncate};
use storage::{LogFile, Settings, format, replace_damaged};
use tempfile::TempDir;

const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");

fn formatted() -> (TempDir, LogFile) {
    let folder = TempDir::new().unwrap();
    format(folder.path(), &Settings::default()).unwrap();
    let log = open(&folder).unwrap();
    (folder, log)
}

fn open(folder: &TempDir) -> Result<LogFile, StorageError> {
    LogFile::open(folder.path(), &Settings::default())
}

/// Opens the log in `folder`, which must fail, and returns the error text without the folder's path.
fn open_error(folder: &TempDir) -> String {
    let err = open(folder).and_then(|it| it.load()).expect_err("opening the folder fails");
    let text = err.to_string();
    text.rsplit_once(&folder.path().display().to_string()).unwrap().1.to_owned()
}

#[test]
fn reopen_after_save() {
    let (folder, mut log) = formatted();
    log.save(&append(2, 1..=5)).unwrap();
    log.save(&truncate(4, 3, 4..=6)).unwrap();
    let state = log.load().unwrap();
    let disk = log.disk();
    drop(log);

    let log = open(&folder).unwrap();
    assert_eq!(log.load().unwrap(), state);
    assert_eq!(log.disk(), disk);
    let terms: Vec<_> = state.entries.iter().map(|it| (it.index.0, it.term.0)).collect();
    assert_eq!(terms, [(1, 2), (2, 2), (3, 2), (4, 3), (5, 3), (6, 3)]);
}

/// A folder that is formatted again after a loss must get another disk id.
#[test]
fn lost_folder() {
    let (folder, log) = formatted();
    let disk = log.disk();
    drop(log);
    fs::remove_dir_all(folder.path()).unwrap();
    assert_eq!(
        open_error(&folder),
        ": no formatted data: format it; the node then joins as a new member"
    );
    assert_ne!(format(folder.path(), &Settings::default()).unwrap(), disk);
    assert_eq!(open(&folder).unwrap().load().unwrap(), Recovered::default());
}

#[test]
fn format_twice() {
    let (folder, mut log) = formatted();
    let again = format(folder.path(), &Settings::default());
    assert!(matches!(again, Err(StorageError::AlreadyFormatted { .. })), "{again:?}");

    log.bootstrap(Snapshot::bootstrap(Members::default())).unwrap();
    let again = log.bootstrap(Snapshot::bootstrap(Members::default()));
    assert!(matches!(again, Err(StorageError::AlreadyFormatted { .. })), "{again:?}");
}

#[test]
fn open_twice() {
    let (folder, _log) = formatted();
    assert_eq!(
        open_error(&folder),
        "/log.redb: in use: stop the other process that runs on this folder"
    );
}

/// A file that an interrupted format left behind must not block the next format.
#[test]
fn interrupted_format() {
    let folder = TempDir::new().unwrap();
    fs::write(folder.path().join("log.redb.unfinished"), "interrupted").unwrap();
    format(folder.path(), &Settings::default()).unwrap();
    open(&folder).unwrap();
}

#[test]
fn damaged_entry() {
    let (folder, mut log) = formatted();
    log.save(&append(1, 1..=9)).unwrap();
    drop(log);
    edit_entry_5(&folder, |bytes| bytes[5] ^= 1);
    assert_eq!(
        open_error(&folder),
        "/log.redb: record 5 fails its checksum: move the folder away, format a new one and let \
         the node join as a new member"
    );
}

#[test]
fn missing_entry() {
    let (folder, mut log) = formatted();
    log.save(&append(1, 1..=9)).unwrap();
    drop(log);
    edit_entry_5(&folder, Vec::clear);
    assert!(open_error(&folder).starts_with("/log.redb: entries after 4 are missing"));
}

/// Guards against a log that was cut off and is taken for whole, or for an error that is no damage.
#[test]
fn cut_off_log() {
    let (folder, mut log) = formatted();
    log.save(&append(1, 1..=200)).unwrap();
    let saved = log.load().unwrap();
    drop(log);
    let path = folder.path().join("log.redb");
    let whole = fs::read(&path).unwrap();
    let lengths = [0, 1, 9, 100, 4_095].into_iter().chain((4_096..whole.len()).step_by(64 << 10));
    for length in lengths {
        fs::write(&path, &whole[..length]).unwrap();
        match open(&folder).and_then(|it| it.load()) {
            Ok(recovered) => assert_eq!(recovered, saved, "cut off after {length} bytes"),
            Err(StorageError::Corrupt { .. }) => {}
            Err(err) => panic!("cut off after {length} bytes: {err}"),
        }
    }
}

/// Guards against a new disk in place of a damaged one that has the old id, or that cannot be made a
/// second time.
#[test]
fn damaged_log_replaced() {
    let (folder, log) = formatted();
    let mut disks = vec![log.disk()];
    drop(log);
    for _ in 0..2 {
        fs::write(folder.path().join("log.redb"), "damaged").unwrap();
        let replaced = replace_damaged(folder.path(), &Settings::default()).unwrap();
        assert!(replaced.not_kept.is_none(), "{replaced:?}");
        let disk = replaced.disk;
        let log = open(&folder).unwrap();
        assert_eq!((log.disk(), log.load().unwrap()), (disk, Recovered::default()));
        assert!(!disks.contains(&disk));
        disks.push(disk);
        assert_eq!(fs::read(folder.path().join("log.redb.damaged")).unwrap(), b"damaged");
    }
}

/// Guards against a folder that is formatted anew, under an id that has voted, because the system could not tell
/// whether it holds a log.
#[test]
fn unknown_contents() {
    let (folder, log) = formatted();
    drop(log);
    // A name that leads to itself cannot be followed.
    let looped = folder.path().join("looped");
    std::os::unix::fs::symlink(&looped, &looped).unwrap();
    assert!(matches!(format(&looped, &Settings::default()), Err(StorageError::Io { .. })));
    assert!(storage::is_formatted(&looped).is_err());
    assert!(storage::is_formatted(folder.path()).unwrap());
}

/// Guards against a damaged log that is not replaced because it cannot be kept, as on a file system
/// without links.
#[test]
fn damaged_log_not_kept() {
    let (folder, log) = formatted();
    drop(log);
    fs::write(folder.path().join("log.redb"), "damaged").unwrap();
    fs::create_dir(folder.path().join("log.redb.damaged")).unwrap();
    let replaced = replace_damaged(folder.path(), &Settings::default()).unwrap();
    assert!(replaced.not_kept.is_some());
    assert_eq!(open(&folder).unwrap().disk(), replaced.disk);
}

/// Edits the record of entry 5 directly in the database; a record that is then empty is removed.
fn edit_entry_5(folder: &TempDir, change: impl FnOnce(&mut Vec<u8>)) {
    let database = Database::open(folder.path().join("log.redb")).unwrap();
    let transaction = database.begin_write().unwrap();
    {
        let mut table = transaction.open_table(ENTRIES).unwrap();
        let mut bytes = table.get(5).unwrap().unwrap().value().to_vec();
        change(&mut bytes);
        match bytes.is_empty() {
            true => _ = table.remove(5).unwrap(),
            false => _ = table.insert(5, bytes.as_slice()).unwrap(),
        }
    }
    transaction.commit().unwrap();
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(5);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// A flipped bit must cause an error or leave the state as it was saved.
    #[test]
    fn flipped_bit(position in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let (folder, mut log) = formatted();
        log.save(&append(1, 1..=200)).unwrap();
        let saved = log.load().unwrap();
        drop(log);
        let path = folder.path().join("log.redb");
        let mut bytes = fs::read(&path).unwrap();
        let position = position.index(bytes.len());
        bytes[position] ^= 1 << bit;
        fs::write(&path, bytes).unwrap();
        let recovered = open(&folder).and_then(|it| it.load());
        prop_assert!(recovered.as_ref().map_or(true, |it| *it == saved), "recovered {recovered:?}");
    }
}
