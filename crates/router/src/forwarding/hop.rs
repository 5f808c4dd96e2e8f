//! The header fields that a forwarded request and its answer carry from one router to the other, besides those
//! of the caller and the backend server.
//!
//! Callers and servers may send fields of these names, too. They are removed before a router adds its own, so
//! that what a router reads here was written by a router.

use std::{rc::Rc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue};
use telemetry::TraceContext;

use crate::fields::{millis, traceparent};

const PREFIX: &str = "x-forwarding-";
const ROUTER: HeaderName = HeaderName::from_static("x-forwarding-router");
const TIME_LEFT_MS: HeaderName = HeaderName::from_static("x-forwarding-time-left-ms");
const ATTEMPTS: HeaderName = HeaderName::from_static("x-forwarding-attempts");
const TRACE: HeaderName = HeaderName::from_static("x-forwarding-trace");
const TOKEN: HeaderName = HeaderName::from_static("x-forwarding-token");
/// Marks the answer to a request that failed at the other router; its body is the failure.
const FAILURE: HeaderName = HeaderName::from_static("x-forwarding-failure");
/// Marks the answer to a request that was served at the other router. Earlier builds do not send it.
const SERVED: HeaderName = HeaderName::from_static("x-forwarding-served");

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
        remove_fields(headers);
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
        remove_fields(headers);
        Some(Hop {
            router: router?.into(),
            time_left: Duration::from_millis(time_left?.parse().ok()?),
            attempts: attempts?.parse().ok()?,
            trace: trace.and_then(|it| it.parse().ok()),
        })
    }
}

/// What a router says about the answer that it sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerMark {
    /// The request was served, and this is the answer of the server.
    Served,
    /// The request failed; the body is the failure.
    Failure,
    /// It says nothing: the answer to a ping, or any answer but a failure of an earlier build.
    Unmarked,
}

impl AnswerMark {
    /// Marks an answer.
    pub(super) fn write(self, headers: &mut HeaderMap) {
        remove_fields(headers);
        let name = match self {
            AnswerMark::Served => SERVED,
            AnswerMark::Failure => FAILURE,
            AnswerMark::Unmarked => return,
        };
        headers.insert(name, HeaderValue::from_static("1"));
    }

    /// Removes the mark from an answer.
    pub(super) fn take(headers: &mut HeaderMap) -> AnswerMark {
        let mark = match (headers.contains_key(SERVED), headers.contains_key(FAILURE)) {
            (true, _) => AnswerMark::Served,
            (false, true) => AnswerMark::Failure,
            (false, false) => AnswerMark::Unmarked,
        };
        remove_fields(headers);
        mark
    }
}

/// Removes all fields that only routers may set.
fn remove_fields(headers: &mut HeaderMap) {
    let names: Vec<_> =
        headers.keys().filter(|it| it.as_str().starts_with(PREFIX)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// Removes the token of a forwarded request.
pub(super) fn take_token(headers: &mut HeaderMap) -> Option<String> {
    headers.remove(TOKEN)?.to_str().ok().map(str::to_owned)
}
