//! Sends requests over HTTP/1.1, one at a time on a connection.
//!
//! A connection goes back to its pool only after a whole answer; whatever ends earlier closes it,
//! so that a late answer never reaches another request.

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
    /// The header fields; the host, unless given, and the length are set by the client.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The head of an answer and the body that follows it.
#[derive(Debug)]
pub struct Response {
    /// The status and header fields.
    pub head: ResponseHead,
    /// The body, read when asked for.
    pub body: Body,
}

impl Response {
    /// Passes over this answer and reads the next one of the same connection, as when this one
    /// belongs to an earlier request.
    ///
    /// # Errors
    /// As for [`Connection::send`].
    pub async fn next_response(self) -> Result<Response, ClientError> {
        self.body.next_response().await
    }
}
