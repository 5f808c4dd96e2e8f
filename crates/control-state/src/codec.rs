//! Commands and answers as bytes.

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

use crate::{Command, Response};

/// Bytes that hold no value of this version.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{reason}: run the same version on all nodes")]
pub struct CodecError {
    /// What the codec found.
    pub reason: String,
}

/// Writes a command.
pub fn encode_command(command: &Command) -> Vec<u8> {
    encode(command)
}

/// Reads a command.
///
/// # Errors
/// Fails if the bytes are not one whole command.
pub fn decode_command(bytes: &[u8]) -> Result<Command, CodecError> {
    decode(bytes)
}

/// Writes an answer.
pub fn encode_response(response: &Response) -> Vec<u8> {
    encode(response)
}

/// Reads an answer.
///
/// # Errors
/// Fails if the bytes are not one whole answer.
pub fn decode_response(bytes: &[u8]) -> Result<Response, CodecError> {
    decode(bytes)
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("maps, strings and numbers in memory can be written")
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, rest) =
        postcard::take_from_bytes(bytes).map_err(|err| CodecError { reason: err.to_string() })?;
    if !rest.is_empty() {
        return Err(CodecError { reason: format!("{} bytes too many", rest.len()) });
    }
    Ok(value)
}
