//! A small piece of state beside the log, which is replaced as a whole.

use std::path::{Path, PathBuf};

use consensus::StorageError;
use serde::{Serialize, de::DeserializeOwned};

use crate::{formatted_file, record};

/// The format of the files; the record follows its number.
const FORMAT: u32 = 1;

/// A file that holds one value.
#[derive(Debug, Clone)]
pub struct StateFile {
    path: PathBuf,
}

impl StateFile {
    /// The file of this name in a data folder; it need not exist.
    #[must_use]
    pub fn new(folder: &Path, name: &str) -> StateFile {
        StateFile { path: folder.join(name) }
    }

    /// Reads the value; `None` if it was never written.
    ///
    /// # Errors
    /// Fails if the file cannot be read, is damaged, or is of a later format.
    pub fn read<T: DeserializeOwned>(&self) -> Result<Option<T>, StorageError> {
        let Some(record) = formatted_file::read(&self.path, FORMAT)? else { return Ok(None) };
        let value = record::decode(u64::from(FORMAT), &record);
        value.map(Some).map_err(|err| err.of_file(&self.path))
    }

    /// Replaces the value; after `Ok` it survives a crash, which leaves the old value or the new one.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn write<T: Serialize>(&self, value: &T) -> Result<(), StorageError> {
        let record = record::encode(u64::from(FORMAT), value);
        let record = record.map_err(|it| formatted_file::corrupt(&self.path, it))?;
        formatted_file::replace(&self.path, FORMAT, &record)?;
        Ok(())
    }
}
