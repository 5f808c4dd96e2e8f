//! Replies of handlers, either complete or streamed through a bounded channel.

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::{SinkExt, channel::mpsc};
use http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE};

/// The reply to one request.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The header fields. The server sets those that declare the length.
    pub headers: HeaderMap,
    pub(super) body: ReplyBody,
}

#[derive(Debug)]
pub(super) enum ReplyBody {
    Whole(Bytes),
    Stream(mpsc::Receiver<Part>),
    Abort,
}

#[derive(Debug)]
pub(super) enum Part {
    Data(Bytes),
    End,
}

impl Reply {
    /// Creates a reply whose body is held in memory.
    #[must_use]
    pub fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Reply {
        Reply { status, headers, body: ReplyBody::Whole(body) }
    }

    /// Creates a reply with a body of the given media type.
    #[must_use]
    pub fn typed(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        Reply::whole(status, headers, body)
    }

    /// Creates a reply whose body is sent through the returned sender. The channel buffers at most
    /// `capacity` parts, besides the one that the sender is passing to it.
    #[must_use]
    pub fn stream(
        status: StatusCode,
        headers: HeaderMap,
        capacity: usize,
    ) -> (StreamSender, Reply) {
        let (sender, receiver) = mpsc::channel(capacity);
        let reply = Reply { status, headers, body: ReplyBody::Stream(receiver) };
        (StreamSender(sender), reply)
    }

    /// Closes the connection without a response, as a crashed server would.
    #[must_use]
    pub fn abort() -> Reply {
        let (status, headers) = (StatusCode::INTERNAL_SERVER_ERROR, HeaderMap::new());
        Reply { status, headers, body: ReplyBody::Abort }
    }
}

/// The caller has closed its connection, or a write to it has timed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the caller has gone; stop producing its answer")]
pub struct CallerDisconnected;

/// Sends the parts of a streamed reply. Dropping it without [`StreamSender::finish`] closes the
/// connection without the last chunk, by which the caller detects the truncated body.
#[derive(Debug)]
pub struct StreamSender(mpsc::Sender<Part>);

impl StreamSender {
    /// Enqueues a part, and waits for capacity while the caller reads slowly.
    ///
    /// # Errors
    /// [`CallerDisconnected`] when the server has stopped sending the reply.
    pub async fn send(&mut self, data: Bytes) -> Result<(), CallerDisconnected> {
        self.0.send(Part::Data(data)).await.map_err(|_| CallerDisconnected)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    /// [`CallerDisconnected`] when the server has stopped sending the reply.
    pub async fn finish(mut self) -> Result<(), CallerDisconnected> {
        self.0.send(Part::End).await.map_err(|_| CallerDisconnected)
    }

    /// Whether the server has stopped sending the reply.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}
