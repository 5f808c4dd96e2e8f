//! Copies bytes between callers and the server, and does to them what no proper server would.
//!
//! Faults of framing and of the path can't be made behind an HTTP library that is right, so they
//! are made here on the bytes. The relay reads no HTTP beyond the marks of the server's own heads.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use futures::{FutureExt, StreamExt, channel::mpsc, pin_mut, select, select_biased};
use monoio::{
    io::{
        AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable,
    },
    net::{TcpListener, TcpStream},
};

use crate::{Framing, faults::FaultBoard};

const READ_BYTES: usize = 16 << 10;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Starts of the requests whose replies a framing fault spoils.
const SPOILED: [&[u8]; 3] = [b"POST /v1/", b"POST /orders", b"GET /lookup/"];

/// Relays all connections until the board closes the listener and the last one has ended.
pub(crate) async fn serve(listener: TcpListener, inner: SocketAddr, board: Rc<FaultBoard>) {
    let (alive, mut ended) = mpsc::channel::<()>(0);
    let closing = board.closing.raised().fuse();
    pin_mut!(closing);
    loop {
        let accepted = listener.accept().fuse();
        pin_mut!(accepted);
        let accepted = select_biased! {
            () = closing => break,
            accepted = accepted => accepted,
        };
        // A failed accept concerns one connection, which its caller has given up.
        let Ok((outer, _)) = accepted else { continue };
        let board = Rc::clone(&board);
        let alive = alive.clone();
        monoio::spawn(async move {
            // A broken connection is closed on both sides, which is all there is to do.
            let _ = relay(outer, inner, board).await;
            drop(alive);
        });
    }
    drop(listener);
    drop(alive);
    // Yields nothing but the end, once each connection has dropped its sender.
    while ended.next().await.is_some() {}
}

async fn relay(outer: TcpStream, inner: SocketAddr, board: Rc<FaultBoard>) -> io::Result<()> {
    let inner = TcpStream::connect(inner).await?;
    // Small chunks must not wait for acknowledgements; a failure costs latency only.
    let _ = outer.set_nodelay(true);
    let _ = inner.set_nodelay(true);
    let path = Path { opened_at: board.silences(), inner_addr: inner.local_addr()?, board };
    let (outer_read, outer_write) = outer.into_split();
    let (inner_read, inner_write) = inner.into_split();
    let framing = Cell::new(Framing::Right);
    let up = path.requests(outer_read, inner_write, &framing).fuse();
    let down = path.replies(inner_read, outer_write, &framing).fuse();
    pin_mut!(up, down);
    select! {
        // The server answers what it has been sent, even if the caller sends no more.
        requests = up => {
            requests?;
            down.await
        }
        replies = down => replies,
    }
}

/// One connection and the count of silences at its start.
struct Path {
    board: Rc<FaultBoard>,
    opened_at: u64,
    /// The relay's own end towards the server.
    inner_addr: SocketAddr,
}

impl Path {
    async fn requests(
        &self,
        mut from: OwnedReadHalf<TcpStream>,
        mut to: OwnedWriteHalf<TcpStream>,
        framing: &Cell<Framing>,
    ) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            buffer = read(&mut from, buffer).await?;
            if buffer.is_empty() && self.is_silent() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if buffer.is_empty() {
                return to.shutdown().await;
            }
            if self.is_silent() {
                continue;
            }
            let wanted = self.board.faults().framing;
            if wanted != Framing::Right && SPOILED.iter().any(|it| buffer.starts_with(it)) {
                framing.set(wanted);
                // The end of the connection then marks the end of the spoiled reply.
                insert_header(&mut buffer, b"connection: close");
            }
            buffer = write(&mut to, buffer).await?;
        }
    }

    async fn replies(
        &self,
        mut from: OwnedReadHalf<TcpStream>,
        mut to: OwnedWriteHalf<TcpStream>,
        framing: &Cell<Framing>,
    ) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            buffer = read(&mut from, buffer).await?;
            if self.is_silent() {
                if buffer.is_empty() {
                    // The caller is not told of the end; its own close ends the relay.
                    self.board.closing.raised().await;
                    return Ok(());
                }
                continue;
            }
            if buffer.is_empty() {
                return to.shutdown().await;
            }
            spoil(&mut buffer, framing.replace(Framing::Right));
            buffer = write(&mut to, buffer).await?;
        }
    }

    fn is_silent(&self) -> bool {
        self.board.is_silent(self.opened_at, self.inner_addr)
    }
}

/// Reads once; an empty buffer is the end of the stream.
async fn read(from: &mut OwnedReadHalf<TcpStream>, mut buffer: Vec<u8>) -> io::Result<Vec<u8>> {
    buffer.clear();
    buffer.reserve(READ_BYTES);
    let (result, buffer) = from.read(buffer).await;
    result.map(|_| buffer)
}

async fn write(to: &mut OwnedWriteHalf<TcpStream>, buffer: Vec<u8>) -> io::Result<Vec<u8>> {
    let (result, buffer) = to.write_all(buffer).await;
    result.map(|_| buffer)
}

/// Changes the declared length of a reply whose head is whole in `buffer`.
fn spoil(buffer: &mut Vec<u8>, framing: Framing) {
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
