//! The data folder: formatting it once, and finding the log in it.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
};

use consensus::{DiskId, Snapshot, StorageError};

use crate::{LogFile, Settings};

const LOG_FILE: &str = "log.redb";
const TEMPORARY_FILE: &str = "log.redb.unfinished";
/// The last log that was found damaged.
const DAMAGED_FILE: &str = "log.redb.damaged";

/// Whether `folder` is formatted.
///
/// # Errors
/// If that cannot be told: a folder that seems empty would be formatted under an id that may have voted.
pub fn is_formatted(folder: &Path) -> Result<bool, StorageError> {
    folder.join(LOG_FILE).try_exists().map_err(|err| StorageError::from_io(folder, &err))
}

/// Formats `folder` as a new disk and returns the random id of that disk.
///
/// # Errors
/// Fails if the folder is formatted already or cannot be written.
pub fn format(folder: &Path, settings: &Settings) -> Result<DiskId, StorageError> {
    let disk = DiskId(rand::random());
    create_log(folder, settings, disk, None)?;
    Ok(disk)
}

/// Formats `folder` for a first member of a new cluster, under a disk id that all its members know.
///
/// The snapshot `start` holds the member list. The log file is renamed into place after both are
/// saved, so a process that ends early leaves the folder unformatted.
///
/// # Errors
/// Fails if the folder is formatted already or cannot be written.
pub fn format_bootstrap_member(
    folder: &Path,
    settings: &Settings,
    disk: DiskId,
    start: Snapshot,
) -> Result<(), StorageError> {
    create_log(folder, settings, disk, Some(start))
}

/// A new disk in place of one whose log was damaged.
#[derive(Debug)]
pub struct ReplacedDisk {
    /// The random id of the new disk.
    pub disk: DiskId,
    /// Why the damaged log is not kept beside the new one, if it is not.
    pub not_kept: Option<StorageError>,
}

/// Formats `folder` as a new disk in place of one whose log is damaged. The damaged log is kept beside
/// the new one, if the file system has links.
///
/// The new log takes the place of the old one in a single step, so a process that ends early never
/// leaves a folder that seems to be empty, which a first member of a cluster would format under an id
/// that has voted already.
///
/// # Errors
/// Fails if the folder cannot be written.
pub fn replace_damaged(folder: &Path, settings: &Settings) -> Result<ReplacedDisk, StorageError> {
    let not_kept = keep_damaged(folder).err().map(|err| StorageError::from_io(folder, &err));
    let disk = DiskId(rand::random());
    put_log(folder, settings, disk, None)?;
    Ok(ReplacedDisk { disk, not_kept })
}

fn keep_damaged(folder: &Path) -> io::Result<()> {
    let damaged = folder.join(DAMAGED_FILE);
    remove_if_exists(&damaged)?;
    fs::hard_link(folder.join(LOG_FILE), damaged)
}

fn create_log(
    folder: &Path,
    settings: &Settings,
    disk: DiskId,
    start: Option<Snapshot>,
) -> Result<(), StorageError> {
    if is_formatted(folder)? {
        return Err(StorageError::AlreadyFormatted { path: folder.to_owned() });
    }
    fs::create_dir_all(folder).map_err(|err| StorageError::from_io(folder, &err))?;
    put_log(folder, settings, disk, start)
}

/// Writes a new log to a file of its own, and moves that to its place once it is saved.
fn put_log(
    folder: &Path,
    settings: &Settings,
    disk: DiskId,
    start: Option<Snapshot>,
) -> Result<(), StorageError> {
    let io_error = |err| StorageError::from_io(folder, &err);
    let temporary = folder.join(TEMPORARY_FILE);
    remove_if_exists(&temporary).map_err(io_error)?;
    let mut log = LogFile::create(&temporary, settings, disk)?;
    if let Some(start) = start {
        log.bootstrap(start)?;
    }
    drop(log);
    fs::rename(&temporary, folder.join(LOG_FILE)).map_err(io_error)?;
    File::open(folder).and_then(|it| it.sync_all()).map_err(io_error)
}

/// The path of the log file in a formatted folder.
pub(crate) fn log_path(folder: &Path) -> Result<PathBuf, StorageError> {
    let path = folder.join(LOG_FILE);
    if !path.exists() {
        return Err(StorageError::NotFormatted { path: folder.to_owned() });
    }
    Ok(path)
}

fn remove_if_exists(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(err) if err.kind() != io::ErrorKind::NotFound => Err(err),
        _ => Ok(()),
    }
}
