//! Reads messages within a budget of memory.
//!
//! Cap'n Proto allocates a message of any declared size before its bytes come. This reader keeps back the head of a
//! message until there is memory for all of it, and ends connections whose messages are too large or do not come.

use std::{
    future::Future,
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use byte_budget::{ByteBudget, Charge};
use futures::{AsyncRead, future::LocalBoxFuture};
use monoio::time::{self, Sleep};

/// A word of a message.
const WORD_BYTES: usize = 8;
/// A number in the head of a message.
const NUMBER_BYTES: usize = size_of::<u32>();
/// The segments that Cap'n Proto accepts in a message.
const SEGMENTS_MAX: usize = 512;

/// What the messages of clients may hold.
#[derive(Debug, Clone)]
pub struct MessageLimits {
    /// The size of the largest message, in bytes.
    pub message_bytes_max: usize,
    /// The memory of all messages that are arriving. One of them at a time may exceed it.
    pub memory: ByteBudget,
    /// How long a peer may send nothing before its first message or within a message.
    pub stall_timeout_ms: u64,
    /// How long a message waits for memory.
    pub memory_timeout_ms: u64,
}

impl Default for MessageLimits {
    fn default() -> Self {
        MessageLimits {
            message_bytes_max: 64 << 20,
            memory: ByteBudget::default(),
            stall_timeout_ms: 3_000,
            memory_timeout_ms: 10_000,
        }
    }
}

/// Passes the bytes of whole messages on to their reader.
pub(crate) struct MessageReader<R> {
    inner: R,
    limits: MessageLimits,
    state: State,
    /// Whether a message has been passed on.
    is_used: bool,
    /// Until when the next byte, or memory, must come.
    timeout: Option<Pin<Box<Sleep>>>,
}

enum State {
    /// The head of a message is read, which is a table of its segments.
    Head(Vec<u8>),
    /// A message waits for memory.
    Waiting { head: Vec<u8>, body_bytes: usize, charged: LocalBoxFuture<'static, Charge> },
    /// The rest of the head, and then of the body, is passed on.
    Passing { head: Vec<u8>, body_bytes: usize, _charge: Charge },
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    pub(crate) fn new(inner: R, limits: MessageLimits) -> MessageReader<R> {
        let state = State::Head(Vec::new());
        MessageReader { inner, limits, state, is_used: false, timeout: None }
    }

    /// Reads the rest of a head. Returns whether it is complete; the connection may end in front of it.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let State::Head(head) = &mut self.state else { unreachable!("a head is read") };
        loop {
            let length = head_bytes(head)?;
            if head.len() >= WORD_BYTES && head.len() == length {
                return Poll::Ready(Ok(true));
            }
            let start = head.len();
            head.resize(length, 0);
            let read = Pin::new(&mut self.inner).poll_read(cx, &mut head[start..]);
            head.truncate(start + if let Poll::Ready(Ok(count)) = read { count } else { 0 });
            match ready!(read)? {
                0 if head.is_empty() => return Poll::Ready(Ok(false)),
                0 => return Poll::Ready(Err(ErrorKind::UnexpectedEof.into())),
                _ => self.timeout = None,
            }
        }
    }

    /// Charges the message with this head.
    fn wait_for_memory(&mut self, head: Vec<u8>) -> io::Result<()> {
        let body_bytes = body_bytes(&head)?;
        let bytes = body_bytes.saturating_add(head.len());
        let bytes_max = self.limits.message_bytes_max;
        if bytes > bytes_max {
            tracing::warn!(event = "rpc_message_too_large", bytes, bytes_max);
            return Err(io::Error::new(ErrorKind::InvalidData, "a message is larger than allowed"));
        }
        let mut charge = self.limits.memory.charge(Some(bytes));
        let charged = async move {
            charge.resize(bytes).await;
            charge
        };
        self.state = State::Waiting { head, body_bytes, charged: Box::pin(charged) };
        Ok(())
    }

    /// Passes bytes of a message on.
    fn poll_pass(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let State::Passing { head, body_bytes, .. } = &mut self.state else {
            unreachable!("a message is passed on")
        };
        let count = if head.is_empty() {
            let wanted = buf.len().min(*body_bytes);
            let count = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf[..wanted]))?;
            if count == 0 && wanted > 0 {
                return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
            }
            self.timeout = None;
            *body_bytes -= count;
            count
        } else {
            let count = buf.len().min(head.len());
            buf[..count].copy_from_slice(&head[..count]);
            head.drain(..count);
            count
        };
        if head.is_empty() && *body_bytes == 0 {
            self.is_used = true;
            self.state = State::Head(Vec::new());
        }
        Poll::Ready(Ok(count))
    }

    /// Makes progress as far as it goes without waiting.
    fn poll_step(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            match &mut self.state {
                State::Head(_) => {
                    if !ready!(self.poll_head(cx))? {
                        return Poll::Ready(Ok(0));
                    }
                    let State::Head(head) = &mut self.state else { unreachable!("a head is read") };
                    let head = std::mem::take(head);
                    self.wait_for_memory(head)?;
                }
                State::Waiting { head, body_bytes, charged } => {
                    let _charge = ready!(charged.as_mut().poll(cx));
                    let (head, body_bytes) = (std::mem::take(head), *body_bytes);
                    self.timeout = None;
                    self.state = State::Passing { head, body_bytes, _charge };
                }
                State::Passing { .. } => return self.poll_pass(cx, buf),
            }
        }
    }

    /// How long the peer, or memory, may take now; `None` between two messages.
    fn timeout(&self) -> Option<Duration> {
        let timeout_ms = match &self.state {
            State::Head(head) if head.is_empty() && self.is_used => return None,
            State::Head(_) | State::Passing { .. } => self.limits.stall_timeout_ms,
            State::Waiting { .. } => self.limits.memory_timeout_ms,
        };
        Some(Duration::from_millis(timeout_ms))
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for MessageReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if let Poll::Ready(result) = this.poll_step(cx, buf) {
            return Poll::Ready(result);
        }
        let Some(timeout) = this.timeout() else { return Poll::Pending };
        let timer = this.timeout.get_or_insert_with(|| Box::pin(time::sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

/// The size of a head that begins with these bytes, as far as they tell it.
fn head_bytes(head: &[u8]) -> io::Result<usize> {
    let Some(segments) = number(head, 0).map(|it| it as usize) else { return Ok(WORD_BYTES) };
    if segments >= SEGMENTS_MAX {
        return Err(io::Error::new(ErrorKind::InvalidData, "a message has too many segments"));
    }
    // The count is one less than the number of segments, whose sizes follow it.
    Ok(((segments + 2) * NUMBER_BYTES).next_multiple_of(WORD_BYTES))
}

/// The size of the body that follows a head.
fn body_bytes(head: &[u8]) -> io::Result<usize> {
    let too_large = || io::Error::new(ErrorKind::InvalidData, "a message is larger than allowed");
    let segments = number(head, 0).ok_or_else(too_large)? as usize + 1;
    let words = (1..=segments).filter_map(|it| number(head, it)).map(u64::from).sum::<u64>();
    let bytes = words.checked_mul(WORD_BYTES as u64).ok_or_else(too_large)?;
    usize::try_from(bytes).map_err(|_| too_large())
}

/// A number of a head, if it has come.
fn number(head: &[u8], idx: usize) -> Option<u32> {
    let bytes = head.get(idx * NUMBER_BYTES..(idx + 1) * NUMBER_BYTES)?;
    bytes.try_into().ok().map(u32::from_le_bytes)
}
