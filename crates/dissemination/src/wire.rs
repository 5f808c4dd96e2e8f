//! Encoding of summaries and digests.
//!
//! The base of each form is what builds before level 1 exchange. What was added later is an extension.

use wire_form::{ExtensionId, Extensions, FormError};

use crate::{Digest, Summary};

/// In a summary, the [`wire_form::LEVEL`] of the router.
const LEVEL: ExtensionId = ExtensionId(1);
/// In a summary, the servers that the router has found down.
const OWN_DOWN: ExtensionId = ExtensionId(2);
/// In a summary, the pauses that the router has measured.
const OWN_PAUSES: ExtensionId = ExtensionId(3);
/// In a summary, the counts of begun requests.
const OWN_USAGE: ExtensionId = ExtensionId(4);
/// In a digest, the servers that several routers have found down.
const DOWN: ExtensionId = ExtensionId(1);
/// In a digest, the pauses that all routers have measured.
const ALL_PAUSES: ExtensionId = ExtensionId(2);
/// In a digest, the pools that have had a single software version for longer than streams last.
const SOLE_VERSIONS: ExtensionId = ExtensionId(3);

/// Encodes a summary; if that fails, the result is empty, which the hub rejects.
pub fn encode_summary(summary: &Summary) -> Vec<u8> {
    summary_extensions(summary).and_then(|it| wire_form::encode(summary, &it)).unwrap_or_default()
}

fn summary_extensions(summary: &Summary) -> Result<Extensions, FormError> {
    let mut extensions = Extensions::default();
    if let Some(level) = summary.level {
        extensions.insert(LEVEL, &level)?;
    }
    if !summary.down.is_empty() {
        extensions.insert(OWN_DOWN, &summary.down)?;
    }
    if !summary.pauses.is_empty() {
        extensions.insert(OWN_PAUSES, &summary.pauses)?;
    }
    if let Some(usage) = &summary.usage {
        extensions.insert(OWN_USAGE, usage)?;
    }
    Ok(extensions)
}

/// Decodes a summary.
///
/// # Errors
/// Fails if the bytes do not decode to a summary.
pub fn decode_summary(bytes: &[u8]) -> Result<Summary, FormError> {
    let (summary, extensions): (Summary, _) = wire_form::decode(bytes)?;
    let down = extensions.get(OWN_DOWN)?.unwrap_or_default();
    let pauses = extensions.get(OWN_PAUSES)?.unwrap_or_default();
    let usage = extensions.get(OWN_USAGE)?;
    Ok(Summary { level: extensions.get(LEVEL)?, down, pauses, usage, ..summary })
}

/// Encodes a digest; if that fails, the result is empty, which the router rejects.
pub fn encode_digest(digest: &Digest) -> Vec<u8> {
    digest_extensions(digest).and_then(|it| wire_form::encode(digest, &it)).unwrap_or_default()
}

fn digest_extensions(digest: &Digest) -> Result<Extensions, FormError> {
    let mut extensions = Extensions::default();
    if !digest.down.is_empty() {
        extensions.insert(DOWN, &digest.down)?;
    }
    if !digest.pauses.is_empty() {
        extensions.insert(ALL_PAUSES, &digest.pauses)?;
    }
    if !digest.sole_versions.is_empty() {
        extensions.insert(SOLE_VERSIONS, &digest.sole_versions)?;
    }
    Ok(extensions)
}

/// Decodes a digest.
///
/// # Errors
/// Fails if the bytes do not decode to a digest.
pub fn decode_digest(bytes: &[u8]) -> Result<Digest, FormError> {
    let (digest, extensions): (Digest, _) = wire_form::decode(bytes)?;
    let down = extensions.get(DOWN)?.unwrap_or_default();
    let pauses = extensions.get(ALL_PAUSES)?.unwrap_or_default();
    let sole_versions = extensions.get(SOLE_VERSIONS)?.unwrap_or_default();
    Ok(Digest { down, pauses, sole_versions, ..digest })
}
