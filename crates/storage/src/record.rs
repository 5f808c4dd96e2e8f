//! The encoding of values on disk: a checksum over key and content, then the content.

use std::path::Path;

use consensus::StorageError;
use serde::{Serialize, de::DeserializeOwned};

const CHECKSUM_BYTES: usize = 4;

/// Encodes a value; the checksum covers the key, so that a record under a wrong key is detected.
pub(crate) fn encode<T: Serialize>(key: u64, value: &T) -> Result<Vec<u8>, String> {
    let content = postcard::to_stdvec(value).map_err(|err| err.to_string())?;
    let mut record = checksum(key, &content).to_le_bytes().to_vec();
    record.extend(content);
    Ok(record)
}

/// Why a record cannot be decoded.
#[derive(Debug)]
pub(crate) enum RecordError {
    /// It is not what was written.
    Damaged(String),
    /// It is what was written, by a build that writes other records.
    Unknown(String),
}

impl RecordError {
    /// The error of the file at `path`.
    pub(crate) fn of_file(self, path: &Path) -> StorageError {
        let path = path.to_owned();
        match self {
            RecordError::Damaged(detail) => StorageError::Corrupt { path, detail },
            RecordError::Unknown(detail) => StorageError::UnknownRecord { path, detail },
        }
    }
}

/// Decodes a value that was encoded under the same key.
pub(crate) fn decode<T: DeserializeOwned>(key: u64, record: &[u8]) -> Result<T, RecordError> {
    let Some((stored, content)) = record.split_first_chunk::<CHECKSUM_BYTES>() else {
        let detail = format!("record {key} is shorter than its checksum of {CHECKSUM_BYTES} bytes");
        return Err(RecordError::Damaged(detail));
    };
    if u32::from_le_bytes(*stored) != checksum(key, content) {
        return Err(RecordError::Damaged(format!("record {key} fails its checksum")));
    }
    postcard::from_bytes(content)
        .map_err(|err| RecordError::Unknown(format!("record {key} is whole: {err}")))
}

fn checksum(key: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
