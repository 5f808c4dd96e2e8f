//! Determines where a message body ends and rejects messages whose length is ambiguous.

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http::{HeaderMap, Method, StatusCode, header};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use crate::{Limits, UnsizedBody};

/// Buffer space for the size line and the line ends of a chunk.
const CHUNK_OVERHEAD_BYTES: usize = 32;

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
    ChunkStart(ChunkedBodyDecoder),
    InChunk(ChunkedBodyDecoder),
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
            Framing::Chunked => State::ChunkStart(ChunkedBodyDecoder::default()),
            Framing::UntilClose => State::UntilClose,
        };
        Ok(BodyDecoder { state, bytes_left: limits.body_bytes, chunk_bytes: limits.chunk_bytes })
    }

    /// Decodes the next piece from `buffer`.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Step, BodyFault> {
        match std::mem::replace(&mut self.state, State::Done) {
            State::Done => Ok(Step::End),
            State::Fixed(left) => Ok(self.decode_fixed(left, buffer)),
            State::ChunkStart(decoder) => self.start_chunk(decoder, buffer),
            State::InChunk(decoder) => self.decode_chunk(decoder, buffer),
            State::UntilClose => self.decode_until_close(buffer),
        }
    }

    /// Whether the end of the connection marks the end of the body.
    pub(crate) fn ends_at_eof(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    fn decode_until_close(&mut self, buffer: &mut BytesMut) -> Result<Step, BodyFault> {
        self.state = State::UntilClose;
        if buffer.is_empty() {
            return Ok(Step::NeedsData);
        }
        self.bytes_left = self.bytes_left.checked_sub(buffer.len()).ok_or(BodyFault::TooBig)?;
        Ok(Step::Data(buffer.split().freeze()))
    }

    fn decode_fixed(&mut self, left: usize, buffer: &mut BytesMut) -> Step {
        if buffer.is_empty() {
            self.state = State::Fixed(left);
            return Step::NeedsData;
        }
        let data = buffer.split_to(buffer.len().min(left)).freeze();
        if data.len() < left {
            self.state = State::Fixed(left - data.len());
        }
        Step::Data(data)
    }

    fn start_chunk(
        &mut self,
        decoder: ChunkedBodyDecoder,
        buffer: &mut BytesMut,
    ) -> Result<Step, BodyFault> {
        let Some(first) = buffer.first() else {
            self.state = State::ChunkStart(decoder);
            return Ok(Step::NeedsData);
        };
        // The codec decodes an empty size line as the last chunk, so that a truncated body would
        // look complete.
        if !first.is_ascii_hexdigit() {
            return Err(BodyFault::Malformed);
        }
        self.decode_chunk(decoder, buffer)
    }

    fn decode_chunk(
        &mut self,
        mut decoder: ChunkedBodyDecoder,
        buffer: &mut BytesMut,
    ) -> Result<Step, BodyFault> {
        match decoder.decode(buffer).map_err(|_| BodyFault::Malformed)? {
            Decoded::Some(None) => Ok(Step::End),
            Decoded::Some(Some(data)) if data.len() > self.chunk_bytes => {
                Err(BodyFault::ChunkTooBig)
            }
            Decoded::Some(Some(data)) => {
                let left = self.bytes_left.checked_sub(data.len()).ok_or(BodyFault::TooBig)?;
                self.bytes_left = left;
                self.state = State::ChunkStart(decoder);
                Ok(Step::Data(data))
            }
            _ if buffer.len() > self.chunk_bytes + CHUNK_OVERHEAD_BYTES => {
                Err(BodyFault::ChunkTooBig)
            }
            _ => {
                self.state = State::InChunk(decoder);
                Ok(Step::NeedsData)
            }
        }
    }
}
