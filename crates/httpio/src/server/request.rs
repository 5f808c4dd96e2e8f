//! A request as handlers see it, read whole within the limits.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::signal::Signal;

/// A request with its whole body.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The target as sent.
    pub uri: Uri,
    /// The header fields.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The address of the other end of the connection.
    pub peer: SocketAddr,
    /// Raised when the caller closes or breaks the connection before the answer's end.
    pub disconnected: Signal,
}

impl Request {
    /// A header field as text; nothing when it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
