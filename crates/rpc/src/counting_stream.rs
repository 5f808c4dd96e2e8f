//! Counts the bytes of a connection, to measure the network cost of control traffic.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use futures::{AsyncRead, AsyncWrite};

/// Counts bytes sent and received. Clones share the counts, so that they can span connections.
#[derive(Debug, Clone, Default)]
pub struct ByteCounters {
    sent: Rc<Cell<u64>>,
    received: Rc<Cell<u64>>,
}

impl ByteCounters {
    /// The number of payload bytes written to sockets.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.get()
    }

    /// The number of payload bytes read from sockets.
    pub fn received_bytes(&self) -> u64 {
        self.received.get()
    }
}

/// A stream that adds the bytes it carries to `counters`.
pub(crate) struct CountingStream<S> {
    inner: S,
    counters: ByteCounters,
}

impl<S> CountingStream<S> {
    pub(crate) fn new(inner: S, counters: ByteCounters) -> Self {
        CountingStream { inner, counters }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        count_ready(&self.counters.received, &poll);
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, buf);
        count_ready(&self.counters.sent, &poll);
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

fn count_ready(counter: &Cell<u64>, poll: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(count)) = poll {
        counter.set(counter.get() + *count as u64);
    }
}
