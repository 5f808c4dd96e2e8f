//! A small file beside the log to which values are appended.

use std::{
    fs::File,
    io::{self, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use consensus::StorageError;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    formatted_file::{self, FORMAT_BYTES, corrupt},
    record::{self, RecordError},
};

/// The format of the files; the records follow its number, each behind its length.
const FORMAT: u32 = 1;
const LENGTH_BYTES: usize = size_of::<u32>();

/// A file that holds values in the order in which they were appended.
#[derive(Debug, Clone)]
pub struct AppendFile {
    path: PathBuf,
}

/// An [`AppendFile`] that was begun by this process.
#[derive(Debug)]
pub struct Appender {
    path: PathBuf,
    file: File,
    /// The end of the last record that was saved. Bytes behind it are of a write that failed.
    end: u64,
}

impl AppendFile {
    /// The file of this name in a data folder; it need not exist.
    #[must_use]
    pub fn new(folder: &Path, name: &str) -> AppendFile {
        AppendFile { path: folder.join(name) }
    }

    /// Reads the values. A loss of power may leave the last ones incomplete; reading ends before the first
    /// of them.
    ///
    /// # Errors
    /// Fails if the file cannot be read, or is of a later format.
    pub fn read<T: DeserializeOwned>(&self) -> Result<Vec<T>, StorageError> {
        let Some(records) = formatted_file::read(&self.path, FORMAT)? else {
            return Ok(Vec::new());
        };
        read_records(&records).map_err(|err| err.of_file(&self.path))
    }

    /// Replaces all values by `first`; after `Ok` it survives a crash, which leaves the old values or this one.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn begin<T: Serialize>(&self, first: &T) -> Result<Appender, StorageError> {
        let offset = FORMAT_BYTES as u64;
        let frame = frame(offset, first).map_err(|it| corrupt(&self.path, it))?;
        let file = formatted_file::replace(&self.path, FORMAT, &frame)?;
        Ok(Appender { path: self.path.clone(), file, end: offset + frame.len() as u64 })
    }
}

impl Appender {
    /// Appends a value; after `Ok` it survives a crash.
    ///
    /// # Errors
    /// Fails if the file cannot be written. The values before are kept, and another one may be appended.
    pub fn append<T: Serialize>(&mut self, value: &T) -> Result<(), StorageError> {
        let bytes = frame(self.end, value).map_err(|it| corrupt(&self.path, it))?;
        self.write(&bytes).map_err(|err| StorageError::from_io(&self.path, &err))?;
        self.end += bytes.len() as u64;
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.seek(SeekFrom::Start(self.end))?;
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }
}

/// The length of a record and the record, which is to stand at `offset`.
fn frame<T: Serialize>(offset: u64, value: &T) -> Result<Vec<u8>, String> {
    let record = record::encode(offset, value)?;
    let length = u32::try_from(record.len()).map_err(|err| err.to_string())?;
    let mut frame = length.to_le_bytes().to_vec();
    frame.extend(record);
    Ok(frame)
}

fn read_records<T: DeserializeOwned>(mut rest: &[u8]) -> Result<Vec<T>, RecordError> {
    let mut values = Vec::new();
    let mut offset = FORMAT_BYTES;
    while let Some((length, behind)) = rest.split_first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_le_bytes(*length) as usize;
        let Some((record, behind)) = behind.split_at_checked(length) else { break };
        match record::decode(offset as u64, record) {
            Ok(value) => values.push(value),
            Err(RecordError::Damaged(_)) => break,
            Err(error @ RecordError::Unknown(_)) => return Err(error),
        }
        offset += LENGTH_BYTES + length;
        rest = behind;
    }
    Ok(values)
}
