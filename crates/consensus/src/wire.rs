//! The encoding of messages.

use derive_more::{Display, Error};

use crate::Message;

/// A message cannot be encoded or decoded.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{reason}: run the same version on all control nodes")]
pub struct WireError {
    /// The error of the codec.
    pub reason: String,
}

/// Encodes a message.
///
/// # Errors
/// Fails if the codec cannot represent the message.
pub fn encode(message: &Message) -> Result<Vec<u8>, WireError> {
    postcard::to_stdvec(message).map_err(wire_error)
}

/// Decodes a message.
///
/// # Errors
/// Fails if the bytes are not one complete message.
pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
    postcard::from_bytes(bytes).map_err(wire_error)
}

fn wire_error(err: postcard::Error) -> WireError {
    WireError { reason: err.to_string() }
}
