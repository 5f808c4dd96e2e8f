//! Files beside the log, which begin with the number of their format.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

use consensus::StorageError;

pub(crate) const FORMAT_BYTES: usize = size_of::<u32>();

/// Reads what follows the number of the format; `None` if there is no file.
pub(crate) fn read(path: &Path, format: u32) -> Result<Option<Vec<u8>>, StorageError> {
    let mut bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(err) => return Err(StorageError::from_io(path, &err)),
    };
    let Some(found) = bytes.first_chunk::<FORMAT_BYTES>() else {
        return Err(corrupt(path, "the file has no format".to_owned()));
    };
    match u32::from_le_bytes(*found) {
        found if found == format => Ok(Some(bytes.split_off(FORMAT_BYTES))),
        format => Err(StorageError::LaterFormat { path: path.to_owned(), format }),
    }
}

/// Replaces the content of a file by the number of the format and `content`, and returns the open file. A crash
/// leaves the old content or the new one.
pub(crate) fn replace(path: &Path, format: u32, content: &[u8]) -> Result<File, StorageError> {
    let replace = || -> io::Result<File> {
        let temporary = path.with_extension("unfinished");
        let mut file = File::create(&temporary)?;
        file.write_all(&format.to_le_bytes())?;
        file.write_all(content)?;
        file.sync_data()?;
        fs::rename(&temporary, path)?;
        if let Some(folder) = path.parent() {
            File::open(folder)?.sync_all()?;
        }
        Ok(file)
    };
    replace().map_err(|err| StorageError::from_io(path, &err))
}

/// The error of a file with damaged content, or of content that cannot be encoded.
pub(crate) fn corrupt(path: &Path, detail: String) -> StorageError {
    StorageError::Corrupt { path: path.to_owned(), detail }
}
