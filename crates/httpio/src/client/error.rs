//! Errors of an exchange, with the stage at which it failed.

use std::io;

use derive_more::{Display, Error};

use crate::FramingFault;

/// The stage at which an exchange failed, which determines whether the server may have run the
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Stage {
    /// No connection was established.
    #[display("not connected")]
    NotConnected,
    /// A connection was established, but no byte of the request was sent.
    #[display("no byte sent")]
    NothingSent,
    /// At least one byte of the request was sent, so the server may have run it.
    #[display("request sent")]
    Sent,
    /// The head of the response was received.
    #[display("head received")]
    HeadReceived,
}

/// What failed.
#[derive(Debug, Display)]
pub enum FailureKind {
    /// The connection could not be opened.
    #[display("the connection could not be opened: {_0}; check that the server is up")]
    Connect(io::Error),
    /// The connection was not opened within the connect timeout.
    #[display("the connection was not opened in time; check the path to the server")]
    ConnectTimeout,
    /// A read or write failed.
    #[display("the connection broke: {_0}")]
    Io(io::Error),
    /// A write did not complete within the write timeout.
    #[display("the server took no data in time")]
    WriteTimeout,
    /// No response head arrived within the head timeout.
    #[display("no head came in time")]
    HeadTimeout,
    /// No data of the body arrived within the idle timeout.
    #[display("the body paused for too long")]
    IdleTimeout,
    /// The server closed the connection before the end of the response.
    #[display("the connection ended before the answer did")]
    CutShort,
    /// The length of the body cannot be determined.
    #[display("the answer is refused: {_0}")]
    Framing(FramingFault),
    /// The head exceeds its limit.
    #[display("the head of the answer is larger than allowed")]
    HeadTooBig,
    /// The body exceeds its limit.
    #[display("the body of the answer is larger than allowed")]
    BodyTooBig,
    /// A chunk exceeds its limit.
    #[display("a chunk of the answer is larger than allowed")]
    ChunkTooBig,
    /// The codec cannot decode the response as HTTP/1.1.
    #[display("the answer is malformed: {_0}")]
    Malformed(String),
}

/// A failed exchange.
#[derive(Debug, Display, Error)]
#[display("{kind} ({stage}{})", if *reused { ", on a kept connection" } else { "" })]
pub struct ClientError {
    /// The stage that the exchange had reached.
    pub stage: Stage,
    /// What failed.
    #[error(not(source))]
    pub kind: FailureKind,
    /// Whether the connection had completed an earlier exchange.
    pub reused: bool,
}
