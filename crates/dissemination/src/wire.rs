//! Rows as bytes.

use derive_more::{Display, Error};

use crate::{Digest, Summary};

/// Bytes that hold no summary or digest.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}: run one version on all VMs of a failure domain")]
pub struct DecodeError {
    /// What the codec found.
    pub reason: String,
}

/// Writes a summary; empty if the codec cannot hold it, which the hub refuses.
pub fn encode_summary(summary: &Summary) -> Vec<u8> {
    postcard::to_stdvec(summary).unwrap_or_default()
}

/// Reads a summary.
///
/// # Errors
/// If the bytes are not one whole summary.
pub fn decode_summary(bytes: &[u8]) -> Result<Summary, DecodeError> {
    postcard::from_bytes(bytes).map_err(decode_error)
}

/// Writes a digest; empty if the codec cannot hold it, which the router refuses.
pub fn encode_digest(digest: &Digest) -> Vec<u8> {
    postcard::to_stdvec(digest).unwrap_or_default()
}

/// Reads a digest.
///
/// # Errors
/// If the bytes are not one whole digest.
pub fn decode_digest(bytes: &[u8]) -> Result<Digest, DecodeError> {
    postcard::from_bytes(bytes).map_err(decode_error)
}

fn decode_error(err: postcard::Error) -> DecodeError {
    DecodeError { reason: err.to_string() }
}
