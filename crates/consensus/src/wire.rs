//! Messages as bytes.

use derive_more::{Display, Error};

use crate::Message;

/// Bytes that hold no message.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{reason}: run the same version on all control nodes")]
pub struct WireError {
    /// What the codec found.
    pub reason: String,
}

/// Writes a message.
///
/// # Errors
/// Fails if the codec cannot hold the message.
pub fn encode(message: &Message) -> Result<Vec<u8>, WireError> {
    postcard::to_stdvec(message).map_err(wire_error)
}

/// Reads a message.
///
/// # Errors
/// Fails if the bytes are not one whole message.
pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
    postcard::from_bytes(bytes).map_err(wire_error)
}

fn wire_error(err: postcard::Error) -> WireError {
    WireError { reason: err.to_string() }
}
