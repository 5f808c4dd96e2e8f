//! The encoding of values on disk: a checksum over key and content, then the content.

use serde::{Serialize, de::DeserializeOwned};

const CHECKSUM_BYTES: usize = 4;

/// Encodes a value; the checksum covers the key, so that a record under a wrong key is detected.
pub(crate) fn encode<T: Serialize>(key: u64, value: &T) -> Result<Vec<u8>, String> {
    let content = postcard::to_stdvec(value).map_err(|err| err.to_string())?;
    let mut record = checksum(key, &content).to_le_bytes().to_vec();
    record.extend(content);
    Ok(record)
}

/// Decodes a value that was encoded under the same key.
pub(crate) fn decode<T: DeserializeOwned>(key: u64, record: &[u8]) -> Result<T, String> {
    let Some((stored, content)) = record.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(format!("record {key} is shorter than its checksum of {CHECKSUM_BYTES} bytes"));
    };
    if u32::from_le_bytes(*stored) != checksum(key, content) {
        return Err(format!("record {key} fails its checksum"));
    }
    postcard::from_bytes(content).map_err(|err| format!("record {key}: {err}"))
}

fn checksum(key: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
