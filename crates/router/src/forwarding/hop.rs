//! The header fields that a forwarded request carries from one router to the other, besides those of its
//! caller.

use std::{rc::Rc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue};
use telemetry::TraceContext;

use crate::fields::{millis, traceparent};

const ROUTER: HeaderName = HeaderName::from_static("x-forwarding-router");
const TIME_LEFT_MS: HeaderName = HeaderName::from_static("x-forwarding-time-left-ms");
const ATTEMPTS: HeaderName = HeaderName::from_static("x-forwarding-attempts");
const TRACE: HeaderName = HeaderName::from_static("x-forwarding-trace");
const TOKEN: HeaderName = HeaderName::from_static("x-forwarding-token");
/// Marks the answer to a request that failed at the other router; its body is the failure.
pub(super) const FAILURE: HeaderName = HeaderName::from_static("x-forwarding-failure");

/// What a router knows about a request that it forwards.
#[derive(Debug, Clone)]
pub(crate) struct Hop {
    /// The name of the router's VM.
    pub(crate) router: Rc<str>,
    /// The time until the deadline of the request.
    pub(crate) time_left: Duration,
    /// The attempts that may have run already.
    pub(crate) attempts: u32,
    /// The span of the request at that router.
    pub(crate) trace: Option<TraceContext>,
}

impl Hop {
    /// Adds the fields to those of the caller.
    pub(super) fn write(&self, headers: &mut HeaderMap, token: Option<&str>) {
        // The settings do not check that the name of a VM is a valid header value.
        let router = HeaderValue::try_from(&*self.router);
        headers.insert(ROUTER, router.unwrap_or(HeaderValue::from_static("unnamed")));
        headers.insert(TIME_LEFT_MS, millis(self.time_left).into());
        headers.insert(ATTEMPTS, self.attempts.into());
        if let Some(trace) = &self.trace {
            headers.insert(TRACE, traceparent(trace));
        }
        if let Some(token) = token.and_then(|it| HeaderValue::try_from(it).ok()) {
            headers.insert(TOKEN, token);
        }
    }

    /// Removes the fields from a forwarded request; `None` if one of them is missing or unreadable.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Hop> {
        let mut take = |name| headers.remove(name)?.to_str().ok().map(str::to_owned);
        let (router, time_left) = (take(ROUTER), take(TIME_LEFT_MS));
        let (attempts, trace) = (take(ATTEMPTS), take(TRACE));
        Some(Hop {
            router: router?.into(),
            time_left: Duration::from_millis(time_left?.parse().ok()?),
            attempts: attempts?.parse().ok()?,
            trace: trace.and_then(|it| it.parse().ok()),
        })
    }
}

/// Removes the token of a forwarded request.
pub(super) fn take_token(headers: &mut HeaderMap) -> Option<String> {
    headers.remove(TOKEN)?.to_str().ok().map(str::to_owned)
}
