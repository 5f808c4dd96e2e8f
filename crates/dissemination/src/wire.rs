//! Encoding of summaries and digests.

use derive_more::{Display, Error};

use crate::{Digest, Summary};

/// The bytes do not decode to a summary or digest.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("cannot decode: {reason}; run the same version on all VMs of a failure domain")]
pub struct DecodeError {
    /// The error of the codec.
    pub reason: String,
}

/// Encodes a summary; if that fails, the result is empty, which the hub rejects.
pub fn encode_summary(summary: &Summary) -> Vec<u8> {
    postcard::to_stdvec(summary).unwrap_or_default()
}

/// Decodes a summary.
///
/// # Errors
/// Fails if the bytes do not decode to a summary.
pub fn decode_summary(bytes: &[u8]) -> Result<Summary, DecodeError> {
    postcard::from_bytes(bytes).map_err(decode_error)
}

/// Encodes a digest; if that fails, the result is empty, which the router rejects.
pub fn encode_digest(digest: &Digest) -> Vec<u8> {
    postcard::to_stdvec(digest).unwrap_or_default()
}

/// Decodes a digest.
///
/// # Errors
/// Fails if the bytes do not decode to a digest.
pub fn decode_digest(bytes: &[u8]) -> Result<Digest, DecodeError> {
    postcard::from_bytes(bytes).map_err(decode_error)
}

fn decode_error(err: postcard::Error) -> DecodeError {
    DecodeError { reason: err.to_string() }
}
