//! Replies of handlers: whole, or streamed through a bounded channel.

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::{SinkExt, channel::mpsc};
use http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE};

/// The answer to one request.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The header fields; the length fields are set by the server.
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
    /// A reply whose body is in memory.
    #[must_use]
    pub fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Reply {
        Reply { status, headers, body: ReplyBody::Whole(body) }
    }

    /// A reply with a body of one media type.
    #[must_use]
    pub fn typed(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        Reply::whole(status, headers, body)
    }

    /// A reply whose parts follow through the sender, of which at most `capacity` wait unsent
    /// beside the one that the sender is handing over.
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

    /// Closes the connection without an answer, as a broken server would.
    #[must_use]
    pub fn abort() -> Reply {
        let (status, headers) = (StatusCode::INTERNAL_SERVER_ERROR, HeaderMap::new());
        Reply { status, headers, body: ReplyBody::Abort }
    }
}

/// The caller has closed its connection, or it took no data for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the caller has gone; stop producing its answer")]
pub struct CallerDisconnected;

/// Sends the parts of a streamed reply. Dropping it without [`StreamSender::finish`] closes the
/// connection without the last chunk, which a caller can tell from an end.
#[derive(Debug)]
pub struct StreamSender(mpsc::Sender<Part>);

impl StreamSender {
    /// Hands a part over and waits while the caller is slow.
    ///
    /// # Errors
    /// [`CallerDisconnected`] when nobody takes the answer any more.
    pub async fn send(&mut self, data: Bytes) -> Result<(), CallerDisconnected> {
        self.0.send(Part::Data(data)).await.map_err(|_| CallerDisconnected)
    }

    /// Ends the body as whole.
    ///
    /// # Errors
    /// [`CallerDisconnected`] when nobody takes the answer any more.
    pub async fn finish(mut self) -> Result<(), CallerDisconnected> {
        self.0.send(Part::End).await.map_err(|_| CallerDisconnected)
    }

    /// Whether the server has stopped taking parts.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}
