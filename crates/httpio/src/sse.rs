//! Splits chunks into server-sent events, and writes such events.
//!
//! A chunk may contain several events or a part of one. The splitter buffers bytes until an empty
//! line ends an event, so that its users handle complete events only.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// The media type of an event stream.
pub const CONTENT_TYPE: &str = "text/event-stream";

/// The fields of the format.
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// Fields that are in the head of nearly every HTTP message, and in no event.
const MESSAGE_FIELDS: [&[u8]; 4] =
    [b"connection", b"content-length", b"content-type", b"transfer-encoding"];
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
/// May precede the first event.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// An incomplete event exceeds the size limit of its splitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an event is larger than {limit_bytes} bytes; send smaller events")]
pub struct EventTooBig {
    /// The limit, in bytes.
    pub limit_bytes: usize,
}

/// Splits a stream of chunks into complete events.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    scanned_bytes: usize,
    limit_bytes: usize,
}

impl Splitter {
    /// Creates a splitter that buffers at most `limit_bytes` of an incomplete event.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Splitter {
        Splitter { buffer: BytesMut::new(), scanned_bytes: 0, limit_bytes }
    }

    /// Appends a chunk to the buffer.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes the next complete event from the buffer, with the empty line that ends it.
    ///
    /// # Errors
    /// [`EventTooBig`] when an incomplete event exceeds the limit.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooBig> {
        // Up to three bytes of the end may already have been scanned.
        let from = self.scanned_bytes.saturating_sub(3);
        if let Some(end) = end_of_event(&self.buffer[from..]) {
            self.scanned_bytes = 0;
            return Ok(Some(self.buffer.split_to(from + end).freeze()));
        }
        self.scanned_bytes = self.buffer.len();
        if self.scanned_bytes > self.limit_bytes {
            return Err(EventTooBig { limit_bytes: self.limit_bytes });
        }
        Ok(None)
    }

    /// The capacity that the buffer needs for a further chunk, if that is more than it has.
    pub(crate) fn needed_capacity(&self, chunk_bytes: usize) -> Option<usize> {
        let (needed, capacity) = (self.buffer.len() + chunk_bytes, self.buffer.capacity());
        (needed > capacity).then_some(needed.max(2 * capacity))
    }

    /// Grows the buffer to this capacity.
    pub(crate) fn grow(&mut self, capacity: usize) {
        self.buffer.reserve(capacity - self.buffer.len());
    }

    /// Moves what is buffered to memory of its own, which the events taken so far do not share.
    pub(crate) fn detach(&mut self) {
        self.buffer = BytesMut::from(&self.buffer[..]);
    }

    /// Whether the buffer holds a part of an event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Whether a block that ends with an empty line is an event: it has a field of the format, a comment, or
/// nothing at all, and no line of an HTTP message's head. A server that fails within a stream may write
/// the text or the head of its error there, and without this check callers would receive them.
#[must_use]
pub fn is_event(block: &[u8]) -> bool {
    let lines = || lines(block).filter(|it| !it.is_empty());
    let has_event_field = lines().any(|it| it[0] == b':' || EVENT_FIELDS.contains(&name(it)));
    (has_event_field || lines().next().is_none()) && !lines().any(is_of_message_head)
}

fn is_of_message_head(line: &[u8]) -> bool {
    let is_message_field = |it: &&[u8]| it.eq_ignore_ascii_case(name(line));
    line.starts_with(STATUS_LINE_START) || MESSAGE_FIELDS.iter().any(is_message_field)
}

fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    let block = block.strip_prefix(BYTE_ORDER_MARK).unwrap_or(block);
    block.split(|it| *it == b'\n').map(|it| it.strip_suffix(b"\r").unwrap_or(it))
}

/// The name of a line's field.
fn name(line: &[u8]) -> &[u8] {
    line.split(|it| *it == b':').next().unwrap_or_default()
}

/// The value of the first field called `name`, for example `data` or `event`.
#[must_use]
pub fn field<'a>(event: &'a [u8], name: &str) -> Option<&'a [u8]> {
    event.split(|it| *it == b'\n').find_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name.as_bytes())?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}

/// Formats an event that consists of data only. `data` must not contain a line break.
#[must_use]
pub fn data_event(data: &str) -> Bytes {
    format!("data: {data}\n\n").into()
}

/// Formats an event with a name. Neither `name` nor `data` may contain a line break.
#[must_use]
pub fn named_event(name: &str, data: &str) -> Bytes {
    format!("event: {name}\ndata: {data}\n\n").into()
}

/// The offset after the first empty line. Stopping there keeps the cost of a chunk linear.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_ends.map(|(at, _)| at + 1).find_map(|next| match &bytes[next..] {
        [b'\n', ..] => Some(next + 1),
        [b'\r', b'\n', ..] => Some(next + 2),
        _ => None,
    })
}
