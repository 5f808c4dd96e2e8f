//! Values of log lines and header fields.

use std::time::Duration;

use http::HeaderValue;
use telemetry::TraceContext;

/// A duration in whole milliseconds, for logs.
#[must_use]
pub(crate) fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// The `traceparent` header value of a span for the next hop.
#[must_use]
pub(crate) fn traceparent(trace: &TraceContext) -> HeaderValue {
    HeaderValue::try_from(trace.to_string()).expect("a trace context is a valid header value")
}
