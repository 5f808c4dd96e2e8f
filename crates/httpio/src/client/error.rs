//! Failures of an exchange, with how far it had come.

use std::io;

use derive_more::{Display, Error};

use crate::FramingFault;

/// How far an exchange had come when it failed, which decides what may be said of its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Stage {
    /// There was no connection.
    #[display("not connected")]
    NotConnected,
    /// There was a connection, and it took no byte of the request.
    #[display("no byte sent")]
    NothingSent,
    /// A byte of the request was sent, so the server may have run it.
    #[display("request sent")]
    Sent,
    /// The head of the answer had arrived.
    #[display("head received")]
    HeadReceived,
}

/// What failed.
#[derive(Debug, Display)]
pub enum FailureKind {
    /// The connection could not be opened.
    #[display("the connection could not be opened: {_0}; check that the server is up")]
    Connect(io::Error),
    /// The connection was not opened in time.
    #[display("the connection was not opened in time; check the path to the server")]
    ConnectTimeout,
    /// A read or write failed.
    #[display("the connection broke: {_0}")]
    Io(io::Error),
    /// The server took no data for too long.
    #[display("the server took no data in time")]
    WriteTimeout,
    /// No head came in time.
    #[display("no head came in time")]
    HeadTimeout,
    /// The body paused for too long.
    #[display("the body paused for too long")]
    IdleTimeout,
    /// The connection ended before the message did.
    #[display("the connection ended before the answer did")]
    CutShort,
    /// The body's length cannot be told.
    #[display("the answer is refused: {_0}")]
    Framing(FramingFault),
    /// The head is larger than allowed.
    #[display("the head of the answer is larger than allowed")]
    HeadTooBig,
    /// The body is larger than allowed.
    #[display("the body of the answer is larger than allowed")]
    BodyTooBig,
    /// A chunk is larger than allowed.
    #[display("a chunk of the answer is larger than allowed")]
    ChunkTooBig,
    /// The answer is not HTTP/1.1 as the codec reads it.
    #[display("the answer is malformed: {_0}")]
    Malformed(String),
}

/// A failed exchange.
#[derive(Debug, Display, Error)]
#[display("{kind} ({stage})")]
pub struct ClientError {
    /// How far the exchange had come.
    pub stage: Stage,
    /// What failed.
    #[error(not(source))]
    pub kind: FailureKind,
    /// Whether the connection had served an exchange before.
    pub reused: bool,
}
