//! Encoding of commands and responses.

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};
use wire_form::FormError;

use crate::{Command, Response};

/// The bytes do not decode to a value of this version.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{reason}: run the same version on all nodes")]
pub struct CodecError {
    /// The error of the codec.
    pub reason: String,
}

/// Encodes a command.
pub fn encode_command(command: &Command) -> Vec<u8> {
    encode(command)
}

/// Decodes a command.
///
/// # Errors
/// Fails if the bytes are not exactly one command.
pub fn decode_command(bytes: &[u8]) -> Result<Command, CodecError> {
    decode(bytes)
}

/// Encodes a response.
pub fn encode_response(response: &Response) -> Vec<u8> {
    encode(response)
}

/// Decodes a response.
///
/// # Errors
/// Fails if the bytes are not exactly one response.
pub fn decode_response(bytes: &[u8]) -> Result<Response, CodecError> {
    decode(bytes)
}

impl From<FormError> for CodecError {
    fn from(error: FormError) -> Self {
        CodecError { reason: error.reason }
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the state's maps, strings and numbers always serialize")
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, rest) =
        postcard::take_from_bytes(bytes).map_err(|err| CodecError { reason: err.to_string() })?;
    if !rest.is_empty() {
        return Err(CodecError { reason: format!("{} bytes too many", rest.len()) });
    }
    Ok(value)
}
