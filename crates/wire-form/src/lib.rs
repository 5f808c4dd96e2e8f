//! Forms of messages that processes of different builds exchange.
//!
//! A message is a *base*, whose fields are the same in all builds, followed by any number of
//! *extensions*. Each extension has a number and a length, so that a build skips those that it does not
//! know; builds before the first extension ignore everything after the base. What a message needs beyond
//! its base is a new extension: fields of a base are never added, removed or reordered.

mod extensions;

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

pub use crate::extensions::{ExtensionId, Extensions};

/// The number of this build's set of forms, by which operators see how far an upgrade has come. It
/// increases with each extension and each form that is added; builds that send none have level 0.
pub const LEVEL: u16 = 4;

/// The bytes are not a message of the expected form.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "{reason}: the sender's build writes a form that this build does not read, so upgrade the older one"
)]
pub struct FormError {
    /// The error of the codec.
    pub reason: String,
}

/// Encodes a message.
///
/// # Errors
/// If the codec cannot represent the base.
pub fn encode<T: Serialize>(base: &T, extensions: &Extensions) -> Result<Vec<u8>, FormError> {
    let mut bytes = postcard::to_stdvec(base).map_err(form_error)?;
    extensions.append_to(&mut bytes);
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
/// If the bytes do not begin with a base, or what follows is not a series of extensions.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, Extensions), FormError> {
    let (base, rest) = postcard::take_from_bytes(bytes).map_err(form_error)?;
    Ok((base, Extensions::read(rest)?))
}

fn form_error(err: postcard::Error) -> FormError {
    FormError { reason: err.to_string() }
}
