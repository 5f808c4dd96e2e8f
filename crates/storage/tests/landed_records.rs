//! Folders of a landed build are read, and records are written as it wrote them; a folder of a later
//! build is left as it is.
//!
//! The bytes in `landed` were written once by the build that they are named after, and are never written
//! anew. What may change is described in docs/DESIGN.md, "Builds side by side".

use std::path::Path;

use consensus::{
    DiskId, Entry, HardState, LogIndex, Members, NodeId, Payload, Peer, Recovered, Snapshot,
    Storage, StorageError, Term, Writes,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use storage::{LogFile, Settings};
use tempfile::TempDir;

const SINGLES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("singles");
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
const E542694: &str = include_str!("landed/e542694.txt");
/// The key of the format number among the singles.
const FORMAT_KEY: u64 = 3;
const NEXT_FORMAT: u8 = 2;

/// A record: its table, its key and its bytes.
type Record = (&'static str, u64, Vec<u8>);

fn member(number: u64) -> Peer {
    Peer { node: NodeId(number), disk: DiskId(number << 32) }
}

fn state() -> Recovered {
    let members = Members { voters: [member(1), member(2)].into(), learners: [member(3)].into() };
    let payloads =
        [Payload::Empty, Payload::Command(vec![1, 2]), Payload::Members(members.clone())];
    let entry = |(idx, payload)| Entry { index: LogIndex(idx), term: Term(4), payload };
    Recovered {
        hard_state: HardState { term: Term(5), voted_for: Some(member(2)) },
        snapshot: Snapshot { index: LogIndex(7), term: Term(3), members, data: vec![5; 3] },
        entries: (8..).zip(payloads).map(entry).collect(),
    }
}

/// The landed records, one `TABLE KEY = BYTES` a line.
fn landed() -> Vec<Record> {
    let record = |line: &'static str| {
        let (name, digits) = line.split_once(" = ").expect("a record");
        let (table, key) = name.split_once(' ').expect("a table and a key");
        let byte = |it: usize| u8::from_str_radix(&digits[it..it + 2], 16).expect("digits");
        let bytes = (0..digits.len()).step_by(2).map(byte).collect();
        (table, key.parse().expect("a key"), bytes)
    };
    E542694.lines().map(record).collect()
}

/// The folder that the landed build would have left.
fn landed_folder() -> TempDir {
    let folder = TempDir::new().expect("a folder");
    insert(folder.path(), &landed());
    folder
}

fn insert(folder: &Path, records: &[Record]) {
    let database = Database::create(folder.join("log.redb")).expect("a database");
    let transaction = database.begin_write().expect("a transaction");
    {
        let mut singles = transaction.open_table(SINGLES).expect("a table");
        let mut entries = transaction.open_table(ENTRIES).expect("a table");
        for (table, key, bytes) in records {
            let table = if *table == "singles" { &mut singles } else { &mut entries };
            table.insert(key, bytes.as_slice()).expect("an insert");
        }
    }
    transaction.commit().expect("a commit");
}

fn records(folder: &Path) -> Vec<Record> {
    let database = Database::open(folder.join("log.redb")).expect("a database");
    let transaction = database.begin_read().expect("a transaction");
    let mut records = Vec::new();
    for (name, definition) in [("singles", SINGLES), ("entries", ENTRIES)] {
        let table = transaction.open_table(definition).expect("a table");
        for item in table.iter().expect("records") {
            let (key, value) = item.expect("a record");
            records.push((name, key.value(), value.value().to_vec()));
        }
    }
    records
}

fn open(folder: &TempDir) -> Result<LogFile, StorageError> {
    LogFile::open(folder.path(), &Settings::default())
}

#[test]
fn landed_read() {
    let folder = landed_folder();
    let log = open(&folder).expect("a log");
    assert_eq!(log.disk(), DiskId(0x0123_4567));
    assert_eq!(log.load().expect("the state"), state());
}

#[test]
fn records_unchanged() {
    let folder = landed_folder();
    let mut log = open(&folder).expect("a log");
    let Recovered { hard_state, snapshot, entries } = state();
    let writes = Writes {
        hard_state: Some(hard_state),
        snapshot: Some(snapshot.into()),
        truncate_from: Some(LogIndex(8)),
        append: entries,
        ..Writes::default()
    };
    log.save(&writes).expect("a write");
    drop(log);
    assert_eq!(records(folder.path()), landed());
}

/// Guards against a build that misreads the folder of a later one, or damages it.
#[test]
fn later_format_kept() {
    let folder = landed_folder();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&FORMAT_KEY.to_le_bytes());
    hasher.update(&[NEXT_FORMAT]);
    let record = [&hasher.finalize().to_le_bytes()[..], &[NEXT_FORMAT]].concat();
    insert(folder.path(), &[("singles", FORMAT_KEY, record)]);
    let before = records(folder.path());
    let err = open(&folder).expect_err("a log of a later build");
    assert!(matches!(err, StorageError::LaterFormat { format: 2, .. }), "{err}");
    assert_eq!(records(folder.path()), before);
}
