//! Server-sent events: taking whole events out of chunks, and writing them.
//!
//! A chunk may hold many events or a part of one, so a reader that must not pass on half an event
//! collects bytes here until an empty line ends it.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// The media type of an event stream.
pub const CONTENT_TYPE: &str = "text/event-stream";

/// An event grew beyond the splitter's bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an event is larger than {limit_bytes} bytes; send smaller events")]
pub struct EventTooBig {
    /// The bound, in bytes.
    pub limit_bytes: usize,
}

/// Takes whole events out of a stream of chunks.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
    limit_bytes: usize,
}

impl Splitter {
    /// A splitter that holds at most `limit_bytes` of an unfinished event.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Splitter {
        Splitter { buffer: BytesMut::new(), scanned: 0, limit_bytes }
    }

    /// Adds a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Takes the next whole event with the empty line that ends it.
    ///
    /// # Errors
    /// [`EventTooBig`] when an unfinished event is larger than the bound.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooBig> {
        // The end may straddle the last scan, by three bytes at most.
        let from = self.scanned.saturating_sub(3);
        if let Some(end) = end_of_event(&self.buffer[from..]) {
            self.scanned = 0;
            return Ok(Some(self.buffer.split_to(from + end).freeze()));
        }
        self.scanned = self.buffer.len();
        if self.scanned > self.limit_bytes {
            return Err(EventTooBig { limit_bytes: self.limit_bytes });
        }
        Ok(None)
    }

    /// Whether bytes of an unfinished event are held.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The value of the first field called `name`, such as `data` or `event`.
#[must_use]
pub fn field<'a>(event: &'a [u8], name: &str) -> Option<&'a [u8]> {
    event.split(|it| *it == b'\n').find_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name.as_bytes())?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}

/// Writes an event that has data only; `data` must hold no line break.
#[must_use]
pub fn data_event(data: &str) -> Bytes {
    format!("data: {data}\n\n").into()
}

/// Writes an event with a name; neither part may hold a line break.
#[must_use]
pub fn named_event(name: &str, data: &str) -> Bytes {
    format!("event: {name}\ndata: {data}\n\n").into()
}

/// The end of the first empty line; looking no further keeps the cost of a chunk linear.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_ends.map(|(at, _)| at + 1).find_map(|next| match &bytes[next..] {
        [b'\n', ..] => Some(next + 1),
        [b'\r', b'\n', ..] => Some(next + 2),
        _ => None,
    })
}
