//! A TCP proxy between callers and the server that injects framing and connection faults.
//!
//! A correct HTTP library cannot produce these faults, so the relay changes the bytes instead. It
//! parses no HTTP; it only searches for request prefixes and the ends of lines and heads.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use futures::{FutureExt, StreamExt, channel::mpsc, pin_mut, select, select_biased};
use monoio::{
    io::{
        AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable,
    },
    net::{TcpListener, TcpStream},
};

use crate::{Framing, faults::FaultInjector};

const READ_BUFFER_BYTES: usize = 16 << 10;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Prefixes of the requests whose replies get a framing fault.
const REFRAMED_REQUESTS: [&[u8]; 3] = [b"POST /v1/", b"POST /orders", b"GET /lookup/"];

/// Relays connections until the fault injector closes the listener and the last one has ended.
pub(crate) async fn serve(
    listener: TcpListener,
    upstream: SocketAddr,
    injector: Rc<FaultInjector>,
) {
    let (open_guard, mut all_closed) = mpsc::channel::<()>(0);
    let closing = injector.closing.raised().fuse();
    pin_mut!(closing);
    loop {
        let accepted = listener.accept().fuse();
        pin_mut!(accepted);
        let accepted = select_biased! {
            () = closing => break,
            accepted = accepted => accepted,
        };
        // A failed accept concerns only one connection, which its caller has closed.
        let Ok((downstream, _)) = accepted else { continue };
        let injector = Rc::clone(&injector);
        let open_guard = open_guard.clone();
        monoio::spawn(async move {
            // An error drops, and so closes, both sides; it needs no other handling.
            let _ = relay(downstream, upstream, injector).await;
            drop(open_guard);
        });
    }
    drop(listener);
    drop(open_guard);
    // The channel carries no items; it ends when every connection has dropped its sender.
    while all_closed.next().await.is_some() {}
}

async fn relay(
    downstream: TcpStream,
    upstream: SocketAddr,
    injector: Rc<FaultInjector>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(upstream).await?;
    // Nagle's algorithm would delay small chunks; a failure here costs only latency.
    let _ = downstream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let connection = Connection {
        silences_at_open: injector.silence_count(),
        upstream_local_addr: upstream.local_addr()?,
        injector,
    };
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let framing = Cell::new(Framing::Right);
    let up = connection.relay_requests(downstream_read, upstream_write, &framing).fuse();
    let down = connection.relay_replies(upstream_read, downstream_write, &framing).fuse();
    pin_mut!(up, down);
    select! {
        // The server still answers the requests it received after the caller stops sending.
        requests = up => {
            requests?;
            down.await
        }
        replies = down => replies,
    }
}

/// One relayed connection, and the silence count when it was opened.
struct Connection {
    injector: Rc<FaultInjector>,
    silences_at_open: u64,
    /// The relay's own address on the connection to the server.
    upstream_local_addr: SocketAddr,
}

impl Connection {
    async fn relay_requests(
        &self,
        mut from: OwnedReadHalf<TcpStream>,
        mut to: OwnedWriteHalf<TcpStream>,
        framing: &Cell<Framing>,
    ) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            buffer = read(&mut from, buffer).await?;
            if buffer.is_empty() && self.is_silenced() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if buffer.is_empty() {
                return to.shutdown().await;
            }
            if self.is_silenced() {
                continue;
            }
            let fault = self.injector.faults().framing;
            if fault != Framing::Right && REFRAMED_REQUESTS.iter().any(|it| buffer.starts_with(it))
            {
                framing.set(fault);
                // The end of the connection then marks the end of the corrupted reply.
                insert_header(&mut buffer, b"connection: close");
            }
            buffer = write(&mut to, buffer).await?;
        }
    }

    async fn relay_replies(
        &self,
        mut from: OwnedReadHalf<TcpStream>,
        mut to: OwnedWriteHalf<TcpStream>,
        framing: &Cell<Framing>,
    ) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            buffer = read(&mut from, buffer).await?;
            if self.is_silenced() {
                if buffer.is_empty() {
                    // A silenced caller gets no end of stream; the relay ends when the caller
                    // closes or the server stops.
                    self.injector.closing.raised().await;
                    return Ok(());
                }
                continue;
            }
            if buffer.is_empty() {
                return to.shutdown().await;
            }
            corrupt_framing(&mut buffer, framing.replace(Framing::Right));
            buffer = write(&mut to, buffer).await?;
        }
    }

    fn is_silenced(&self) -> bool {
        self.injector.is_silenced(self.silences_at_open, self.upstream_local_addr)
    }
}

/// Reads once; an empty buffer means the end of the stream.
async fn read(from: &mut OwnedReadHalf<TcpStream>, mut buffer: Vec<u8>) -> io::Result<Vec<u8>> {
    buffer.clear();
    buffer.reserve(READ_BUFFER_BYTES);
    let (result, buffer) = from.read(buffer).await;
    result.map(|_| buffer)
}

async fn write(to: &mut OwnedWriteHalf<TcpStream>, buffer: Vec<u8>) -> io::Result<Vec<u8>> {
    let (result, buffer) = to.write_all(buffer).await;
    result.map(|_| buffer)
}

/// Applies a framing fault to a reply whose complete head is in `buffer`.
fn corrupt_framing(buffer: &mut Vec<u8>, framing: Framing) {
    match framing {
        Framing::Right => {}
        Framing::NoLength => remove_length(buffer),
        Framing::LengthAndChunked => insert_header(buffer, b"transfer-encoding: chunked"),
        Framing::TwoLengths => insert_header(buffer, b"content-length: 1"),
    }
}

/// Inserts a header line after the start line.
fn insert_header(buffer: &mut Vec<u8>, header: &[u8]) {
    let Some(line_end) = find(buffer, LINE_END) else { return };
    let mut line = LINE_END.to_vec();
    line.extend_from_slice(header);
    buffer.splice(line_end..line_end, line);
}

fn remove_length(buffer: &mut Vec<u8>) {
    let Some(head_end) = find(buffer, HEAD_END) else { return };
    let Some(start) = find(&buffer[..head_end], b"\r\ncontent-length:") else { return };
    let line_start = start + LINE_END.len();
    let Some(length) = find(&buffer[line_start..], LINE_END) else { return };
    buffer.drain(start..line_start + length);
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|it| it == part)
}
