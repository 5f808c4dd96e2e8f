//! A complete request, as passed to handlers.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::signal::Signal;

/// A request with its whole body.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The request target as received.
    pub uri: Uri,
    /// The header fields.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The address of the peer.
    pub peer: SocketAddr,
    /// Raised when the connection is closed by the caller or breaks before the end of the reply.
    pub disconnected: Signal,
}

impl Request {
    /// The value of a header field, or `None` when it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
