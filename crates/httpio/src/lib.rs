//! HTTP/1.1 over monoio-http with limits and time limits around the codec.
//!
//! The library's codec decodes heads and chunks; this crate bounds what it may read, refuses
//! messages whose length is ambiguous, and tells its users how far a failed exchange had come.
//! Nothing here knows about routes, pools or outcomes.

pub mod client;
mod framing;
mod inbound;
mod limits;
mod outbound;
pub mod server;
pub mod signal;
pub mod sse;

pub use bytes::Bytes;
pub use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header};

pub use crate::{
    framing::FramingFault,
    limits::{Limits, UnsizedBody},
};
