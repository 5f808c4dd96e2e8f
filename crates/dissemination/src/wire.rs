//! Encoding of summaries and digests.
//!
//! The base of each form is what builds before level 1 exchange. What was added later is an extension.

use wire_form::{ExtensionId, Extensions, FormError};

use crate::{Digest, Summary};

/// In a summary, the [`wire_form::LEVEL`] of the router.
const LEVEL: ExtensionId = ExtensionId(1);

/// Encodes a summary; if that fails, the result is empty, which the hub rejects.
pub fn encode_summary(summary: &Summary) -> Vec<u8> {
    let mut extensions = Extensions::default();
    let level = summary.level.map_or(Ok(()), |it| extensions.insert(LEVEL, &it));
    level.and_then(|()| wire_form::encode(summary, &extensions)).unwrap_or_default()
}

/// Decodes a summary.
///
/// # Errors
/// Fails if the bytes do not decode to a summary.
pub fn decode_summary(bytes: &[u8]) -> Result<Summary, FormError> {
    let (summary, extensions): (Summary, _) = wire_form::decode(bytes)?;
    Ok(Summary { level: extensions.get(LEVEL)?, ..summary })
}

/// Encodes a digest; if that fails, the result is empty, which the router rejects.
pub fn encode_digest(digest: &Digest) -> Vec<u8> {
    wire_form::encode(digest, &Extensions::default()).unwrap_or_default()
}

/// Decodes a digest.
///
/// # Errors
/// Fails if the bytes do not decode to a digest.
pub fn decode_digest(bytes: &[u8]) -> Result<Digest, FormError> {
    wire_form::decode(bytes).map(|(digest, _)| digest)
}
