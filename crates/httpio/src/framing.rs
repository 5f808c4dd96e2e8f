//! Determines where a message body ends and rejects messages whose length is ambiguous.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::Display;
use http::{HeaderMap, Method, StatusCode, header};

use crate::{Limits, UnsizedBody};

/// The longest line with the size of a chunk that is read.
const SIZE_LINE_BYTES_MAX: usize = 32;
const LINE_END: &[u8] = b"\r\n";

/// Why the length of a body cannot be determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FramingFault {
    /// Both `content-length` and `transfer-encoding` are present.
    #[display("both content-length and transfer-encoding are present; send one of them")]
    BothLengths,
    /// `content-length` or `transfer-encoding` is present more than once.
    #[display("a length header is present more than once; send it once")]
    DuplicateLength,
    /// Neither header is present, although the message must declare the length of its body.
    #[display("neither content-length nor chunked coding is present; send one of them")]
    NoLength,
    /// The value of `content-length` is not a whole number.
    #[display("content-length is not a whole number")]
    BadLength,
    /// The transfer coding is not `chunked`.
    #[display("the transfer coding is not `chunked`")]
    UnknownCoding,
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Empty,
    Fixed(usize),
    Chunked,
    UntilClose,
}

impl Framing {
    /// The length of the body, if the head declares one.
    pub(crate) fn declared_bytes(self) -> Option<usize> {
        match self {
            Framing::Empty => Some(0),
            Framing::Fixed(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }
}

/// Why decoding a body failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFault {
    TooBig,
    ChunkTooBig,
    Malformed,
}

/// The result of one decoding step.
pub(crate) enum Step {
    Data(Bytes),
    NeedsData,
    End,
}

/// Determines the framing of a request. A request that declares no length has no body.
pub(crate) fn of_request(headers: &HeaderMap) -> Result<Framing, FramingFault> {
    Ok(declared_framing(headers)?.unwrap_or(Framing::Empty))
}

/// Determines the framing of the response to a request of `method`. A response that declares no length
/// is handled according to `unsized_body`.
pub(crate) fn of_response(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
    unsized_body: UnsizedBody,
) -> Result<Framing, FramingFault> {
    let declared = declared_framing(headers)?;
    if is_always_empty(method, status) {
        return Ok(Framing::Empty);
    }
    match (declared, unsized_body) {
        (Some(framing), _) => Ok(framing),
        (None, UnsizedBody::UntilClose) => Ok(Framing::UntilClose),
        (None, UnsizedBody::Refused) => Err(FramingFault::NoLength),
    }
}

/// Whether a response has no body, whatever its head declares.
pub(crate) fn is_always_empty(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn declared_framing(headers: &HeaderMap) -> Result<Option<Framing>, FramingFault> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(FramingFault::DuplicateLength);
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(FramingFault::BothLengths),
        (Some(length), None) => parse_content_length(length.as_bytes()).map(Some),
        (None, Some(coding)) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(FramingFault::UnknownCoding),
        (None, None) => Ok(None),
    }
}

fn parse_content_length(value: &[u8]) -> Result<Framing, FramingFault> {
    // Rejects signs and white space; `parse` alone would accept a leading plus sign.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(FramingFault::BadLength);
    }
    let text = std::str::from_utf8(value).map_err(|_| FramingFault::BadLength)?;
    match text.parse().map_err(|_| FramingFault::BadLength)? {
        0 => Ok(Framing::Empty),
        length => Ok(Framing::Fixed(length)),
    }
}

/// Decodes one body from a buffer, piece by piece.
pub(crate) struct BodyDecoder {
    state: State,
    bytes_left: usize,
    chunk_bytes: usize,
}

enum State {
    Fixed(usize),
    ChunkSize,
    InChunk(usize),
    /// In front of the line end after a chunk.
    ChunkEnd,
    /// In front of the empty line after the last chunk.
    BodyEnd,
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// Starts decoding a body. A declared length over the limit fails immediately.
    pub(crate) fn new(framing: Framing, limits: &Limits) -> Result<BodyDecoder, BodyFault> {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Fixed(length) if length > limits.body_bytes => return Err(BodyFault::TooBig),
            Framing::Fixed(length) => State::Fixed(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Ok(BodyDecoder { state, bytes_left: limits.body_bytes, chunk_bytes: limits.chunk_bytes })
    }

    /// Decodes the next piece from `buffer`. A chunk is decoded as its bytes come, so that the buffer stays small.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Step, BodyFault> {
        match self.state {
            State::Done => Ok(Step::End),
            State::Fixed(left) => Ok(self.decode_fixed(left, buffer)),
            State::UntilClose => self.decode_until_close(buffer),
            State::ChunkSize | State::InChunk(_) | State::ChunkEnd | State::BodyEnd => {
                self.decode_chunks(buffer)
            }
        }
    }

    /// Whether the end of the connection marks the end of the body.
    pub(crate) fn ends_at_eof(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    fn decode_until_close(&mut self, buffer: &mut BytesMut) -> Result<Step, BodyFault> {
        if buffer.is_empty() {
            return Ok(Step::NeedsData);
        }
        self.bytes_left = self.bytes_left.checked_sub(buffer.len()).ok_or(BodyFault::TooBig)?;
        Ok(Step::Data(buffer.split().freeze()))
    }

    fn decode_fixed(&mut self, left: usize, buffer: &mut BytesMut) -> Step {
        if buffer.is_empty() {
            return Step::NeedsData;
        }
        let data = buffer.split_to(buffer.len().min(left)).freeze();
        self.state = match left - data.len() {
            0 => State::Done,
            left => State::Fixed(left),
        };
        Step::Data(data)
    }

    /// Decodes all chunks in the buffer. Their data becomes one piece, so that a piece costs about the same however
    /// small the chunks are.
    fn decode_chunks(&mut self, buffer: &mut BytesMut) -> Result<Step, BodyFault> {
        // The data is moved to the front of the buffer; what is not decoded yet begins at `next`.
        let (mut data_bytes, mut next) = (0, 0);
        let decoded = loop {
            match self.decode_part(&buffer[next..]) {
                Ok(Some(Part { bytes, state })) => {
                    if let State::InChunk(_) = self.state {
                        buffer.copy_within(next..next + bytes, data_bytes);
                        data_bytes += bytes;
                    }
                    next += bytes;
                    self.state = state;
                }
                Ok(None) => break Ok(()),
                Err(fault) => break Err(fault),
            }
        };
        let data = buffer.split_to(data_bytes).freeze();
        buffer.advance(next - data_bytes);
        if !data.is_empty() {
            // A fault behind the data is found again by the next call.
            return Ok(Step::Data(data));
        }
        decoded.map(|()| match self.state {
            State::Done => Step::End,
            _ => Step::NeedsData,
        })
    }

    /// Decodes the next part of a chunked body; `None` while it is incomplete and behind the end.
    fn decode_part(&mut self, rest: &[u8]) -> Result<Option<Part>, BodyFault> {
        match self.state {
            State::ChunkSize => self.decode_size(rest),
            State::InChunk(left) => {
                let bytes = rest.len().min(left);
                let state = match left - bytes {
                    0 => State::ChunkEnd,
                    left => State::InChunk(left),
                };
                Ok((bytes > 0).then_some(Part { bytes, state }))
            }
            State::ChunkEnd => decode_line_end(rest, State::ChunkSize),
            State::BodyEnd => decode_line_end(rest, State::Done),
            State::Fixed(_) | State::UntilClose | State::Done => Ok(None),
        }
    }

    /// Decodes the line with the size of a chunk; `None` while it is incomplete.
    fn decode_size(&mut self, rest: &[u8]) -> Result<Option<Part>, BodyFault> {
        let line = &rest[..rest.len().min(SIZE_LINE_BYTES_MAX)];
        if !may_be_size_line(line) {
            return Err(BodyFault::Malformed);
        }
        let (bytes, size) = match httparse::parse_chunk_size(line) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if line.len() < SIZE_LINE_BYTES_MAX => return Ok(None),
            Ok(httparse::Status::Partial) | Err(_) => return Err(BodyFault::Malformed),
        };
        let size = usize::try_from(size).map_err(|_| BodyFault::ChunkTooBig)?;
        if size > self.chunk_bytes {
            return Err(BodyFault::ChunkTooBig);
        }
        self.bytes_left = self.bytes_left.checked_sub(size).ok_or(BodyFault::TooBig)?;
        let state = if size == 0 { State::BodyEnd } else { State::InChunk(size) };
        Ok(Some(Part { bytes, state }))
    }
}

/// A decoded part of a chunked body.
struct Part {
    bytes: usize,
    /// The state behind it.
    state: State,
}

/// Whether a line with the size of a chunk may begin like this. Extensions of chunks are refused, and so is a line
/// without a size, with which a body that was cut short would look complete.
fn may_be_size_line(line: &[u8]) -> bool {
    let digits = line.iter().take_while(|it| it.is_ascii_hexdigit()).count();
    let (size, rest) = line.split_at(digits);
    let has_size = !size.is_empty() || rest.is_empty();
    has_size && (LINE_END.starts_with(rest) || rest.starts_with(LINE_END))
}

/// Decodes a line end, behind which the state is `state`; `None` while it is incomplete.
fn decode_line_end(rest: &[u8], state: State) -> Result<Option<Part>, BodyFault> {
    let found = &rest[..rest.len().min(LINE_END.len())];
    if !LINE_END.starts_with(found) {
        return Err(BodyFault::Malformed);
    }
    let is_complete = found.len() == LINE_END.len();
    Ok(is_complete.then_some(Part { bytes: LINE_END.len(), state }))
}
