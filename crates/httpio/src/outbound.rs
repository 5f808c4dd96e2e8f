//! The write half of a connection, which counts the bytes that the kernel has accepted.
//!
//! monoio-http's encoder does not flush between the chunks of a streamed body. It therefore writes
//! the head only, and this module writes each chunk by itself, so that it is sent immediately.

use std::{convert::Infallible, io, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri, header};
use monoio::{
    BufResult,
    buf::{IoBuf, IoVecBuf},
    io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf, sink::Sink},
    net::TcpStream,
    time,
};
use monoio_http::{
    common::{
        body::{Body, StreamHint},
        error::HttpError,
        request::Request,
        response::Response,
    },
    h1::codec::{decoder::DecodeError, encoder::EncodeError, encoder::GenericEncoder},
};

use crate::progress::Progress;

/// The last chunk, which the encoder also writes after a stream without chunks.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes messages and chunks to a connection.
pub(crate) struct Outbound {
    half: OwnedWriteHalf<TcpStream>,
    /// The number of bytes of the current request that the kernel has accepted.
    pub(crate) sent_bytes: usize,
    timeout: Duration,
    progress: Progress,
}

impl Outbound {
    pub(crate) fn new(
        half: OwnedWriteHalf<TcpStream>,
        timeout: Duration,
        progress: Progress,
    ) -> Outbound {
        Outbound { half, sent_bytes: 0, timeout, progress }
    }

    /// Writes a request with its whole body.
    pub(crate) async fn write_request(
        &mut self,
        method: Method,
        uri: Uri,
        mut headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        declare_zero_length(&mut headers, &body);
        let mut request = Request::new(WholeBody::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        self.sent_bytes = 0;
        let timeout = self.timeout;
        let mut encoder = GenericEncoder::new(EncoderSink { outbound: self, withheld_bytes: 0 });
        with_timeout(timeout, async {
            encoder.send(request).await.map_err(io_error)?;
            Sink::<Request<WholeBody>>::flush(&mut encoder).await.map_err(io_error)
        })
        .await
    }

    /// Writes a response with its whole body.
    pub(crate) async fn write_response(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        declare_zero_length(&mut headers, &body);
        self.write_message(response(status, headers, WholeBody::new(body)), 0).await
    }

    /// Writes the head of a response whose body is written chunk by chunk.
    pub(crate) async fn write_stream_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
    ) -> io::Result<()> {
        self.write_message(response(status, headers, EmptyStream), LAST_CHUNK.len()).await
    }

    /// Writes one chunk. Empty data is skipped, because an empty chunk would end the body.
    pub(crate) async fn write_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            return Ok(());
        }
        let mut frame = format!("{:X}\r\n", data.len()).into_bytes();
        frame.extend_from_slice(data);
        frame.extend_from_slice(b"\r\n");
        self.write_raw(frame).await
    }

    /// Writes the last chunk, which ends the body.
    pub(crate) async fn write_last_chunk(&mut self) -> io::Result<()> {
        self.write_raw(LAST_CHUNK.to_vec()).await
    }

    /// Writes a `100 Continue` response, upon which the peer sends the body of its request.
    pub(crate) async fn write_continue(&mut self) -> io::Result<()> {
        self.write_raw(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()).await
    }

    fn record(&mut self, written: &io::Result<usize>) {
        if let Ok(count) = written {
            self.sent_bytes += count;
            self.progress.record();
        }
    }

    /// Shuts down the write direction of the connection.
    pub(crate) async fn shutdown(&mut self) -> io::Result<()> {
        self.half.shutdown().await
    }

    async fn write_raw(&mut self, frame: Vec<u8>) -> io::Result<()> {
        with_timeout(self.timeout, async {
            let mut sink = EncoderSink { outbound: self, withheld_bytes: 0 };
            let (result, _) = sink.write_all(frame).await;
            result.map(drop)
        })
        .await
    }

    async fn write_message<B>(
        &mut self,
        response: Response<B>,
        withheld_bytes: usize,
    ) -> io::Result<()>
    where
        B: Body<Data = Bytes, Error = Infallible>,
    {
        let timeout = self.timeout;
        let mut encoder = GenericEncoder::new(EncoderSink { outbound: self, withheld_bytes });
        with_timeout(timeout, async {
            encoder.send(response).await.map_err(io_error)?;
            Sink::<Response<B>>::flush(&mut encoder).await.map_err(io_error)
        })
        .await
    }
}

async fn with_timeout<F>(timeout: Duration, write: F) -> io::Result<()>
where
    F: Future<Output = io::Result<()>>,
{
    time::timeout(timeout, write).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

fn response<B>(status: StatusCode, headers: HeaderMap, body: B) -> Response<B> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Sets the length of an empty body, which monoio-http's encoder does not add by itself.
fn declare_zero_length(headers: &mut HeaderMap, body: &Bytes) {
    if body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, 0.into());
    }
}

fn io_error(error: HttpError) -> io::Error {
    match error {
        HttpError::IOError(error)
        | HttpError::H1EncodeError(EncodeError::Io(error))
        | HttpError::H1DecodeError(DecodeError::Io(error)) => error,
        error => io::Error::other(error.to_string()),
    }
}

/// A body that is held in memory.
struct WholeBody(Option<Bytes>);

impl WholeBody {
    fn new(body: Bytes) -> WholeBody {
        WholeBody(Some(body).filter(|it| !it.is_empty()))
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    async fn next_data(&mut self) -> Option<Result<Bytes, Infallible>> {
        self.0.take().map(Ok)
    }

    fn stream_hint(&self) -> StreamHint {
        match self.0 {
            Some(_) => StreamHint::Fixed,
            None => StreamHint::None,
        }
    }
}

/// A stream without chunks, which makes the encoder write the head of a streamed response.
struct EmptyStream;

impl Body for EmptyStream {
    type Data = Bytes;
    type Error = Infallible;

    async fn next_data(&mut self) -> Option<Result<Bytes, Infallible>> {
        None
    }

    fn stream_hint(&self) -> StreamHint {
        StreamHint::Stream
    }
}

/// Forwards the encoder's output, except for the last `withheld_bytes` of its single flush.
struct EncoderSink<'a> {
    outbound: &'a mut Outbound,
    withheld_bytes: usize,
}

impl AsyncWriteRent for EncoderSink<'_> {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let len = buf.bytes_init();
        let kept = len.saturating_sub(self.withheld_bytes);
        if kept == 0 {
            return (Ok(len), buf);
        }
        let (result, slice) = self.outbound.half.write(buf.slice(..kept)).await;
        self.outbound.record(&result);
        (result, slice.into_inner())
    }

    async fn writev<T: IoVecBuf>(&mut self, bufs: T) -> BufResult<usize, T> {
        let (result, bufs) = self.outbound.half.writev(bufs).await;
        self.outbound.record(&result);
        (result, bufs)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.outbound.half.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.outbound.half.shutdown().await
    }
}
