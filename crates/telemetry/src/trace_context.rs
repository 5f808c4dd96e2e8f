//! W3C trace context: parses the `traceparent` header of a caller and formats the one for the next
//! hop.

use std::str::FromStr;

use derive_more::{Display, Error};
use rand::{Rng, RngExt};

/// Identifies the trace that a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{_0:032x}")]
pub struct TraceId(pub u128);

/// Identifies one span of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{_0:016x}")]
pub struct SpanId(pub u64);

/// The trace context that one hop passes to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("00-{trace_id}-{span_id}-{flags:02x}")]
pub struct TraceContext {
    /// The trace.
    pub trace_id: TraceId,
    /// The span of the sender.
    pub span_id: SpanId,
    /// The trace flags of the caller. Bit 0 means that the trace is sampled.
    pub flags: u8,
}

/// A `traceparent` header that does not conform to the W3C recommendation. Its receiver starts a
/// new trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("write traceparent as 00-<32 hex digits>-<16 hex digits>-<2 hex digits>, not all zero")]
pub struct TraceContextError;

const FLAG_SAMPLED: u8 = 1;

impl TraceContext {
    /// Starts a new trace.
    pub fn start(rng: &mut dyn Rng) -> TraceContext {
        let trace_id = TraceId(rng.random::<u128>().max(1));
        TraceContext { trace_id, span_id: random_span(rng), flags: FLAG_SAMPLED }
    }

    /// Creates the context of a new child span.
    #[must_use]
    pub fn child(&self, rng: &mut dyn Rng) -> TraceContext {
        TraceContext { span_id: random_span(rng), ..*self }
    }
}

impl FromStr for TraceContext {
    type Err = TraceContextError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fields: Vec<&str> = text.split('-').collect();
        let [version, trace, span, flags, ..] = fields[..] else { return Err(TraceContextError) };
        let is_current = version == "00" && fields.len() == 4;
        let is_later = version.len() == 2 && version != "00" && version != "ff";
        if !is_current && !is_later {
            return Err(TraceContextError);
        }
        let trace_id = TraceId(hex(trace, 32)?);
        let span_id = SpanId(hex(span, 16)? as u64);
        let flags = hex(flags, 2)? as u8;
        if trace_id.0 == 0 || span_id.0 == 0 {
            return Err(TraceContextError);
        }
        Ok(TraceContext { trace_id, span_id, flags })
    }
}

fn random_span(rng: &mut dyn Rng) -> SpanId {
    SpanId(rng.random::<u64>().max(1))
}

fn hex(text: &str, digits: usize) -> Result<u128, TraceContextError> {
    let is_lower_hex = text.bytes().all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
    if text.len() != digits || !is_lower_hex {
        return Err(TraceContextError);
    }
    u128::from_str_radix(text, 16).map_err(|_| TraceContextError)
}
