//! The data folder: making it once, and finding the log in it.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
};

use consensus::{DiskId, Snapshot, StorageError};

use crate::{LogFile, Settings};

const LOG_FILE: &str = "log.redb";
const UNFINISHED_FILE: &str = "log.redb.unfinished";

/// Whether `folder` holds a store.
pub fn is_formatted(folder: &Path) -> bool {
    folder.join(LOG_FILE).exists()
}

/// Makes the store of a new disk in `folder` and returns the disk's id.
///
/// # Errors
/// Fails if the folder holds a store already or cannot be written.
pub fn format(folder: &Path, settings: &Settings) -> Result<DiskId, StorageError> {
    let disk = DiskId(rand::random());
    make_store(folder, settings, disk, None)?;
    Ok(disk)
}

/// Makes the store of a first member of a new cluster under a disk id that all members know.
///
/// The store comes into being with its members or not at all, whenever the process ends.
///
/// # Errors
/// Fails if the folder holds a store already or cannot be written.
pub fn format_bootstrap_member(
    folder: &Path,
    settings: &Settings,
    disk: DiskId,
    start: Snapshot,
) -> Result<(), StorageError> {
    make_store(folder, settings, disk, Some(start))
}

fn make_store(
    folder: &Path,
    settings: &Settings,
    disk: DiskId,
    start: Option<Snapshot>,
) -> Result<(), StorageError> {
    let path = folder.join(LOG_FILE);
    if path.exists() {
        return Err(StorageError::AlreadyFormatted { path: folder.to_owned() });
    }
    let io_error = |err| io_error(folder, &err);
    fs::create_dir_all(folder).map_err(io_error)?;
    let unfinished = folder.join(UNFINISHED_FILE);
    remove_if_there(&unfinished).map_err(io_error)?;
    let mut log = LogFile::create(&unfinished, settings, disk)?;
    if let Some(start) = start {
        log.bootstrap(start)?;
    }
    drop(log);
    fs::rename(&unfinished, &path).map_err(io_error)?;
    File::open(folder).and_then(|it| it.sync_all()).map_err(io_error)
}

/// The path of the log in a formatted folder.
pub(crate) fn log_path(folder: &Path) -> Result<PathBuf, StorageError> {
    let path = folder.join(LOG_FILE);
    if !path.exists() {
        return Err(StorageError::NotFormatted { path: folder.to_owned() });
    }
    Ok(path)
}

fn remove_if_there(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(err) if err.kind() != io::ErrorKind::NotFound => Err(err),
        _ => Ok(()),
    }
}

fn io_error(path: &Path, err: &io::Error) -> StorageError {
    StorageError::Io { path: path.to_owned(), reason: err.to_string() }
}
