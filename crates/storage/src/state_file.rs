//! A small piece of state beside the log, which is replaced as a whole.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use consensus::StorageError;
use serde::{Serialize, de::DeserializeOwned};

use crate::record;

/// The format of the files, at their start; the record follows.
const FORMAT: u32 = 1;
const FORMAT_BYTES: usize = size_of::<u32>();

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
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(err) => return Err(StorageError::from_io(&self.path, &err)),
        };
        let corrupt = |detail| StorageError::Corrupt { path: self.path.clone(), detail };
        let Some((format, record)) = bytes.split_first_chunk::<FORMAT_BYTES>() else {
            return Err(corrupt("the file has no format".to_owned()));
        };
        match u32::from_le_bytes(*format) {
            FORMAT => record::decode(u64::from(FORMAT), record)
                .map(Some)
                .map_err(|err| err.of_file(&self.path)),
            format => Err(StorageError::LaterFormat { path: self.path.clone(), format }),
        }
    }

    /// Replaces the value; after `Ok` it survives a crash, which leaves the old value or the new one.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn write<T: Serialize>(&self, value: &T) -> Result<(), StorageError> {
        let corrupt = |detail| StorageError::Corrupt { path: self.path.clone(), detail };
        let mut bytes = FORMAT.to_le_bytes().to_vec();
        bytes.extend(record::encode(u64::from(FORMAT), value).map_err(corrupt)?);
        replace(&self.path, &bytes).map_err(|err| StorageError::from_io(&self.path, &err))?;
        Ok(())
    }
}

/// Replaces the content of a file and returns the open file. A crash leaves the old content or the new one.
pub(crate) fn replace(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let temporary = path.with_extension("unfinished");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_data()?;
    fs::rename(&temporary, path)?;
    if let Some(folder) = path.parent() {
        File::open(folder)?.sync_all()?;
    }
    Ok(file)
}
