//! HTTP/1.1 client that sends one request at a time on a connection.
//!
//! A connection returns to its pool only after a complete response. An exchange that ends earlier
//! closes its connection, so that a late response is never matched to another request.

mod body;
mod connection;
mod error;
mod pool;

use bytes::Bytes;
pub use http::response::Parts as ResponseHead;
use http::{HeaderMap, Method, Uri};

pub use self::{
    body::Body,
    connection::Connection,
    error::{ClientError, FailureKind, Stage},
    pool::{Pool, PoolSettings},
};

/// A request with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The target; only its path and query are sent.
    pub uri: Uri,
    /// The header fields. The client sets the length, and the host unless it is given.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The head of a response and the body that follows it.
#[derive(Debug)]
pub struct Response {
    /// The status and header fields.
    pub head: ResponseHead,
    /// The body, which is read on demand.
    pub body: Body,
}

impl Response {
    /// Whether its connection carried an earlier exchange, of which a late answer may come.
    #[must_use]
    pub fn is_on_kept_connection(&self) -> bool {
        self.body.is_on_kept_connection()
    }

    /// Closes the connection behind this response instead of keeping it for a later exchange.
    pub fn close_afterwards(&mut self) {
        self.body.close_afterwards();
    }

    /// Discards this response and reads the next one on the same connection, for example when this
    /// one belongs to an earlier request.
    ///
    /// # Errors
    /// As for [`Connection::send`].
    pub async fn next_response(self) -> Result<Response, ClientError> {
        self.body.next_response().await
    }
}
