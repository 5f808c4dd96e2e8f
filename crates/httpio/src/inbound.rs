//! The read half of a connection, with a bounded buffer in front of the codec.
//!
//! The codec's own framed reader loses its buffer when a timeout drops a read. This reader keeps
//! the received bytes, so that a read can be raced against other events.

use std::{future, io};

use bytes::BytesMut;
use derive_more::Display;
use futures::FutureExt;
use monoio::{
    io::{AsyncReadRent, OwnedReadHalf},
    net::TcpStream,
};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::DecodeError;

use crate::{
    Limits,
    progress::Progress,
    turns::{ReadTurns, Turn},
};

/// The size of a read of a connection that sends little, which its buffer takes also while it is idle.
const READ_BYTES_MIN: usize = 1 << 10;
/// The size of a read of a connection that sends much.
pub(crate) const READ_BYTES_MAX: usize = 4 << 10;
/// The bytes after the current request that are read ahead.
const READ_AHEAD_BYTES: usize = 4 << 10;
/// The bytes for which the work for a message counts in the turn of its connection, beside its own.
const MESSAGE_COST_BYTES: usize = 1 << 10;
/// The growth of a buffer that is too small.
const GROWTH_FACTOR: usize = 4;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The result of one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Received {
    Data,
    Eof,
}

/// Why a head could not be decoded.
#[derive(Debug, Display)]
pub(crate) enum HeadFault {
    #[display("the head is larger than allowed")]
    TooBig,
    #[display("a line of the head ends without a carriage return; end lines with CR LF")]
    BareLineFeed,
    #[display("the head is malformed: {_0}")]
    Malformed(DecodeError),
}

/// Reads from a connection into a buffer that keeps its bytes when a read is dropped.
pub(crate) struct Inbound {
    half: OwnedReadHalf<TcpStream>,
    scratch: Vec<u8>,
    /// The size of the next read.
    read_bytes: usize,
    turn: Turn,
    progress: Progress,
    pub(crate) buffer: BytesMut,
}

impl Inbound {
    pub(crate) fn new(
        half: OwnedReadHalf<TcpStream>,
        turns: ReadTurns,
        progress: Progress,
    ) -> Inbound {
        Inbound {
            half,
            scratch: Vec::new(),
            read_bytes: READ_BYTES_MIN,
            turn: Turn::first(turns),
            progress,
            buffer: BytesMut::new(),
        }
    }

    /// Reads once in the turn of this connection, and appends to the buffer. Dropping the future loses no data.
    pub(crate) async fn fill(&mut self) -> io::Result<Received> {
        self.turn.wait().await;
        self.read().await
    }

    /// Whether the peer has neither sent anything nor closed the connection.
    pub(crate) fn is_silent(&mut self) -> bool {
        self.buffer.is_empty() && self.read().now_or_never().is_none()
    }

    /// Counts the work for one message, however few bytes it has.
    pub(crate) fn spend_turn(&mut self) {
        self.turn.spend(MESSAGE_COST_BYTES);
    }

    async fn read(&mut self) -> io::Result<Received> {
        let mut scratch = std::mem::take(&mut self.scratch);
        scratch.clear();
        scratch.reserve_exact(self.read_bytes);
        let (result, scratch) = self.half.read(scratch).await;
        let count = result?;
        self.turn.spend(count);
        self.progress.record();
        self.append(&scratch[..count]);
        if count < scratch.capacity() {
            self.read_bytes = READ_BYTES_MIN;
        } else {
            self.read_bytes = (2 * self.read_bytes).min(READ_BYTES_MAX);
        }
        // A connection that waits for its next read keeps no more than that needs.
        if scratch.capacity() <= self.read_bytes {
            self.scratch = scratch;
        }
        Ok(if count == 0 { Received::Eof } else { Received::Data })
    }

    /// Grows the buffer in few large steps, as each step leaves a gap in the memory of the process.
    fn append(&mut self, piece: &[u8]) {
        let (needed, capacity) = (self.buffer.len() + piece.len(), self.buffer.capacity());
        if needed > capacity {
            let wanted = needed.max(GROWTH_FACTOR * capacity);
            self.buffer.reserve(wanted - self.buffer.len());
        }
        self.buffer.extend_from_slice(piece);
    }

    /// Frees the memory of the buffer if it holds nothing.
    pub(crate) fn release_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Resolves when the peer closes the connection or the connection breaks.
    ///
    /// Bytes of a pipelined request stay in the buffer. Once it holds `READ_AHEAD_BYTES`, the future
    /// stops reading and never resolves, so that a peer cannot exhaust memory.
    pub(crate) async fn closed(&mut self) {
        while self.buffer.len() < READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(Received::Data) => {}
                Ok(Received::Eof) | Err(_) => return,
            }
        }
        future::pending().await
    }

    /// Decodes a head from the buffer, or returns `None` when more bytes are needed.
    pub(crate) fn take_head<D>(
        &mut self,
        mut decoder: D,
        limits: &Limits,
    ) -> Result<Option<D::Item>, HeadFault>
    where
        D: Decoder<Error = DecodeError>,
    {
        let end = self.head_end();
        if self.buffer.len() >= limits.head_bytes && end.is_none_or(|it| it > limits.head_bytes) {
            return Err(HeadFault::TooBig);
        }
        // The codec would wait forever for the end of such a head. If a body follows it, the codec would
        // take the body for a part of the head and discard it.
        if has_bare_line_feed(&self.buffer[..end.unwrap_or(self.buffer.len())]) {
            return Err(HeadFault::BareLineFeed);
        }
        match decoder.decode(&mut self.buffer).map_err(head_fault)? {
            Decoded::Some(head) => Ok(Some(head)),
            // The codec skips empty lines before a head, so these need a bound as well.
            _ if self.buffer.len() >= limits.head_bytes => Err(HeadFault::TooBig),
            Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => Ok(None),
        }
    }

    /// The offset after the first empty line.
    fn head_end(&self) -> Option<usize> {
        let at = self.buffer.windows(HEAD_END.len()).position(|it| it == HEAD_END);
        at.map(|it| it + HEAD_END.len())
    }
}

fn has_bare_line_feed(head: &[u8]) -> bool {
    head.first() == Some(&b'\n') || head.windows(2).any(|it| it[1] == b'\n' && it[0] != b'\r')
}

fn head_fault(error: DecodeError) -> HeadFault {
    match &error {
        DecodeError::Parse(parse) if parse.to_string() == "too many headers" => HeadFault::TooBig,
        _ => HeadFault::Malformed(error),
    }
}
