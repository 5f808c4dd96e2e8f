//! HTTP/1.1 client and server over monoio-http, with size limits and timeouts around its codec.
//!
//! monoio-http decodes heads, and httparse the sizes of chunks. This crate limits how much it may read, rejects messages
//! whose length is ambiguous, and reports at which stage an exchange failed. It has no knowledge of
//! routing, pools of backend servers or request outcomes.

mod body_buffer;
pub mod client;
mod fields;
mod framing;
mod held;
mod held_events;
mod inbound;
mod limits;
mod outbound;
mod progress;
pub mod server;
pub mod signal;
pub mod sse;
mod turns;

pub use byte_budget as budget;
pub use bytes::Bytes;
pub use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header};

pub use crate::{
    fields::end_to_end,
    framing::FramingFault,
    held::{UNCHARGED_PIECE_BYTES, hold_piece},
    held_events::HeldEvents,
    limits::{Limits, UnsizedBody},
};
