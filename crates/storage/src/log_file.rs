//! Stores the state of one member in a redb database.

use std::{
    fmt,
    io::ErrorKind,
    path::{Path, PathBuf},
};

use consensus::{
    DiskId, Entry, HardState, LogIndex, Recovered, Snapshot, Storage, StorageError, Writes,
};
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, Table, TableDefinition,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    CommitPhases, Settings, folder,
    record::{self, RecordError},
};

/// The values that exist once: the disk id, the hard state, the snapshot and the number of the format.
const SINGLES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("singles");
/// The entries of the log by index.
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
const DISK_KEY: u64 = 0;
const HARD_STATE_KEY: u64 = 1;
const SNAPSHOT_KEY: u64 = 2;
const FORMAT_KEY: u64 = 3;
/// The format of the records. Folders without a number have the first one.
const FORMAT: u32 = 1;

/// The open log file of a formatted data folder, which holds a member's state.
pub struct LogFile {
    path: PathBuf,
    /// `None` only if it could not be opened again after a failed write.
    database: Option<Database>,
    opener: Opener,
    disk: DiskId,
    commit_phases: CommitPhases,
}

impl fmt::Debug for LogFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = f.debug_struct("LogFile");
        text.field("path", &self.path).field("disk", &self.disk).finish_non_exhaustive()
    }
}

/// Opens the database again after a failed write, which leaves an open one unusable.
type Opener = Box<dyn Fn() -> Result<Database, redb::DatabaseError> + Send>;

impl LogFile {
    /// Opens a formatted folder; a commit that a crash interrupted is dropped.
    ///
    /// # Errors
    /// Fails if the folder is not formatted, is in use, or holds damaged data.
    pub fn open(folder: &Path, settings: &Settings) -> Result<LogFile, StorageError> {
        let path = folder::log_path(folder)?;
        let database = file_opener(&path, settings)().map_err(|err| open_error(&path, err))?;
        let opener = file_opener(&path, settings);
        LogFile::from_database(path, database, opener, settings)
    }

    /// Opens a log on a backend other than a file; an empty backend is formatted under `disk`.
    ///
    /// # Errors
    /// Fails if the backend cannot be used or holds damaged data.
    pub fn with_backend(
        backend: impl StorageBackend + Clone,
        settings: &Settings,
        disk: DiskId,
    ) -> Result<LogFile, StorageError> {
        let path = PathBuf::from("backend");
        let opener: Opener = {
            let settings = settings.clone();
            Box::new(move || database_builder(&settings).create_with_backend(backend.clone()))
        };
        let database = opener().map_err(|err| open_error(&path, err))?;
        if is_empty(&database).map_err(|err| open_error(&path, err))? {
            write_identity(&path, &database, disk)?;
        }
        LogFile::from_database(path, database, opener, settings)
    }

    /// Saves the initial snapshot of a new cluster; only the cluster's first members need it.
    ///
    /// # Errors
    /// Fails if the folder holds the state of a cluster already or cannot be written.
    pub fn bootstrap(&mut self, snapshot: Snapshot) -> Result<(), StorageError> {
        if self.load()? != Recovered::default() {
            return Err(StorageError::AlreadyFormatted { path: self.path.clone() });
        }
        let snapshot = Some(snapshot.into());
        self.save(&Writes { snapshot, ..Writes::default() })
    }

    /// Creates the log file of a new disk.
    pub(crate) fn create(
        path: &Path,
        settings: &Settings,
        disk: DiskId,
    ) -> Result<LogFile, StorageError> {
        let database =
            database_builder(settings).create(path).map_err(|err| open_error(path, err))?;
        write_identity(path, &database, disk)?;
        let opener = file_opener(path, settings);
        LogFile::from_database(path.to_owned(), database, opener, settings)
    }

    fn from_database(
        path: PathBuf,
        database: Database,
        opener: Opener,
        settings: &Settings,
    ) -> Result<LogFile, StorageError> {
        let disk = DiskId(0);
        let commit_phases = settings.commit_phases;
        let mut log = LogFile { path, database: Some(database), opener, disk, commit_phases };
        let format = log.read_single(FORMAT_KEY)?.unwrap_or(FORMAT);
        if format > FORMAT {
            return Err(StorageError::LaterFormat { path: log.path, format });
        }
        let found = log.read_single(DISK_KEY)?;
        log.disk = found.ok_or_else(|| log.corrupt("the disk id is missing".to_owned()))?;
        Ok(log)
    }

    fn read_single<T: DeserializeOwned>(&self, key: u64) -> Result<Option<T>, StorageError> {
        let read = || -> Result<_, redb::Error> {
            let table = self.database()?.begin_read()?.open_table(SINGLES)?;
            Ok(table.get(key)?.map(|it| it.value().to_vec()))
        };
        let bytes = read().map_err(|err| self.error(err))?;
        bytes.map(|it| record::decode(key, &it).map_err(|err| err.of_file(&self.path))).transpose()
    }

    fn read_entries(&self) -> Result<Vec<Entry>, StorageError> {
        let read = || -> Result<Vec<_>, redb::Error> {
            let table = self.database()?.begin_read()?.open_table(ENTRIES)?;
            let mut records = Vec::new();
            for item in table.iter()? {
                let (key, value) = item?;
                records.push((key.value(), value.value().to_vec()));
            }
            Ok(records)
        };
        let records = read().map_err(|err| self.error(err))?;
        let entries = records.into_iter().map(|(key, bytes)| record::decode::<Entry>(key, &bytes));
        entries.collect::<Result<_, _>>().map_err(|err: RecordError| err.of_file(&self.path))
    }

    /// Checks that no entry is missing after the snapshot.
    fn check_no_gap(&self, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), StorageError> {
        let first = entries.first().map_or(snapshot.index, |it| it.index);
        if first > snapshot.index.next() {
            return Err(self.corrupt(format!("entries before {first} are missing")));
        }
        let gap = entries.windows(2).find(|it| it[1].index != it[0].index.next());
        match gap {
            Some(pair) => Err(self.corrupt(format!("entries after {} are missing", pair[0].index))),
            None => Ok(()),
        }
    }

    fn write(&self, writes: &Writes) -> Result<(), redb::Error> {
        let mut transaction = self.database()?.begin_write()?;
        transaction.set_two_phase_commit(self.commit_phases == CommitPhases::Two);
        {
            let mut singles = transaction.open_table(SINGLES)?;
            if let Some(hard_state) = &writes.hard_state {
                insert(&mut singles, HARD_STATE_KEY, hard_state)?;
            }
            if let Some(snapshot) = &writes.snapshot {
                insert(&mut singles, SNAPSHOT_KEY, &**snapshot)?;
            }
            let mut entries = transaction.open_table(ENTRIES)?;
            if let Some(LogIndex(last)) = writes.compact_to {
                entries.retain_in(..=last, |_, _| false)?;
            }
            if let Some(LogIndex(first)) = writes.truncate_from {
                entries.retain_in(first.., |_, _| false)?;
            }
            for entry in &writes.append {
                insert(&mut entries, entry.index.0, entry)?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    fn database(&self) -> Result<&Database, redb::Error> {
        self.database.as_ref().ok_or(redb::Error::PreviousIo)
    }

    fn error(&self, err: redb::Error) -> StorageError {
        redb_error(&self.path, err)
    }

    fn corrupt(&self, detail: String) -> StorageError {
        StorageError::Corrupt { path: self.path.clone(), detail }
    }
}

impl Storage for LogFile {
    fn disk(&self) -> DiskId {
        self.disk
    }

    fn load(&self) -> Result<Recovered, StorageError> {
        let hard_state: Option<HardState> = self.read_single(HARD_STATE_KEY)?;
        let snapshot: Option<Snapshot> = self.read_single(SNAPSHOT_KEY)?;
        let snapshot = snapshot.unwrap_or_default();
        let entries = self.read_entries()?;
        self.check_no_gap(&snapshot, &entries)?;
        Ok(Recovered { hard_state: hard_state.unwrap_or_default(), snapshot, entries })
    }

    fn save(&mut self, writes: &Writes) -> Result<(), StorageError> {
        self.write(writes).map_err(|err| self.error(err))
    }

    fn reopen(&mut self) -> Result<(), StorageError> {
        // The file is locked until the old database is closed.
        self.database = None;
        let database = (self.opener)().map_err(|err| open_error(&self.path, err))?;
        self.database = Some(database);
        Ok(())
    }
}

fn file_opener(path: &Path, settings: &Settings) -> Opener {
    let (path, settings) = (path.to_owned(), settings.clone());
    Box::new(move || database_builder(&settings).open(&path))
}

fn database_builder(settings: &Settings) -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(settings.cache_bytes);
    builder.set_check_integrity_on_open(true);
    builder
}

/// Whether the database holds no tables yet.
fn is_empty(database: &Database) -> Result<bool, redb::DatabaseError> {
    let storage_error = |err| match err {
        redb::TransactionError::Storage(err) => redb::DatabaseError::Storage(err),
        err => redb::DatabaseError::Storage(redb::StorageError::Corrupted(err.to_string())),
    };
    let transaction = database.begin_read().map_err(storage_error)?;
    Ok(transaction.open_table(SINGLES).is_err())
}

fn write_identity(path: &Path, database: &Database, disk: DiskId) -> Result<(), StorageError> {
    let write = || -> Result<(), redb::Error> {
        let transaction = database.begin_write()?;
        {
            let mut singles = transaction.open_table(SINGLES)?;
            insert(&mut singles, DISK_KEY, &disk)?;
            insert(&mut singles, FORMAT_KEY, &FORMAT)?;
        }
        transaction.open_table(ENTRIES)?;
        transaction.commit()?;
        Ok(())
    };
    write().map_err(|err| redb_error(path, err))
}

fn insert<T: Serialize>(
    table: &mut Table<'_, u64, &'static [u8]>,
    key: u64,
    value: &T,
) -> Result<(), redb::Error> {
    let bytes = record::encode(key, value).map_err(redb::Error::Corrupted)?;
    table.insert(key, bytes.as_slice())?;
    Ok(())
}

fn open_error(path: &Path, err: redb::DatabaseError) -> StorageError {
    redb_error(path, err.into())
}

fn redb_error(path: &Path, err: redb::Error) -> StorageError {
    let path = path.to_owned();
    match err {
        redb::Error::Corrupted(detail) => StorageError::Corrupt { path, detail },
        redb::Error::DatabaseAlreadyOpen => StorageError::InUse { path },
        // The file is no database, or is cut off.
        redb::Error::Io(err)
            if matches!(err.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            StorageError::Corrupt { path, detail: err.to_string() }
        }
        redb::Error::Io(err) => StorageError::from_io(&path, &err),
        err => StorageError::Io { path, reason: err.to_string() },
    }
}
