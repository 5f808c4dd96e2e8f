//! Counts the bytes of a connection, so that the cost of control can be measured at its source.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use futures::{AsyncRead, AsyncWrite};

/// Bytes sent and received, shared by all connections that were given a clone.
#[derive(Debug, Clone, Default)]
pub struct ByteCounters {
    sent: Rc<Cell<u64>>,
    received: Rc<Cell<u64>>,
}

impl ByteCounters {
    /// Bytes of payload written to sockets.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.get()
    }

    /// Bytes of payload read from sockets.
    pub fn received_bytes(&self) -> u64 {
        self.received.get()
    }
}

pub(crate) struct Counted<S> {
    inner: S,
    counters: ByteCounters,
}

impl<S> Counted<S> {
    pub(crate) fn new(inner: S, counters: ByteCounters) -> Self {
        Counted { inner, counters }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        add_ready(&self.counters.received, &poll);
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, buf);
        add_ready(&self.counters.sent, &poll);
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

fn add_ready(counter: &Cell<u64>, poll: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(count)) = poll {
        counter.set(counter.get() + *count as u64);
    }
}
