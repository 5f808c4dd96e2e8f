//! Servers that fail if they have to reject too many requests: their rate is limited to what they bear.
//!
//! What all routers together send beyond the places of such a server is rejected there, and no router sees
//! that sum. So they state a limit on the rate of the server's requests: at first by its places and the
//! time that requests take, then lower with each rejection, and higher while there is none. The permits of
//! that limit do the rest.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::{
    keys::{BackendKey, Ticket},
    rate_limit::{LimitChange, LimitStatement, RequestRate},
    request::{Attempt, Request},
};

/// The part of the places that requests use on average, at first, if the server survives many rejections.
const USE_AT_FIRST: f64 = 0.77;
/// A server that survives few is used less at first: by this part, divided by the rejections that it survives.
const UNUSED_AT_FIRST: f64 = 0.7;
/// Bounds of the limit relative to the rate at which requests use all places.
const BOUNDS: [f64; 2] = [0.3, 1.0];
/// The limit grows by this factor while no request is rejected, once in this time.
const GROWTH: f64 = 1.05;
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);
/// The limit settles where a server rejects this part of its requests, or this part of the rejections that
/// it survives if that is less.
const SETTLED_PARTS: [f64; 2] = [0.04, 0.1];
/// The largest part by which a rejection lowers the limit.
const DECREASE_MAX: f64 = 0.3;
/// After the first statement on a server its requests need no permit for this long, in which all routers
/// learn of it and get their first ones.
const FREE_TIME: Duration = Duration::from_secs(1);

/// What an answer of a server says that fails if it has to reject too many requests.
#[derive(Debug, Clone, Copy)]
pub struct FragileAnswer {
    /// The rejections in a second that the server survives.
    pub rejections_max: u32,
    /// Whether the answer rejects the request for want of room.
    pub is_rejection: bool,
    /// The limit on the rate of its requests that the server names besides.
    pub named: Option<RequestRate>,
}

impl Scheduler {
    /// Records what an answer to the request's current attempt says of its server. Returns whether the limit
    /// on the server's rate has changed.
    pub fn fragile_named(
        &mut self,
        now: Instant,
        ticket: Ticket,
        answer: FragileAnswer,
    ) -> LimitChange {
        let attempt = self.requests.get(ticket).and_then(Request::attempt);
        let Some(attempt) = attempt else { return LimitChange::Unchanged };
        let Some(full_per_s) = self.full_rate_per_s(ticket, &attempt) else {
            return LimitChange::Unchanged;
        };
        let known = self.backends[attempt.backend].limit.as_ref().map(|it| it.statement);
        let known = known.filter(|it| it.rate.is_some());
        let per_s = match known {
            Some(known) => next_rate_per_s(now, known, full_per_s, answer),
            None => Some(full_per_s * use_at_first(answer.rejections_max)),
        };
        let rate = per_s.and_then(RequestRate::from_per_second);
        let Some(rate) = [rate, answer.named].into_iter().flatten().min() else {
            return LimitChange::Unchanged;
        };
        self.state_limit(now, attempt.backend, LimitStatement { rate: Some(rate), at: now })
    }

    /// The requests a second that take all of the server's places; `None` while it is unknown how long
    /// requests take.
    fn full_rate_per_s(&self, ticket: Ticket, attempt: &Attempt) -> Option<f64> {
        let work_ms = self.pools[self.requests[ticket].offer.pool].work_time.ms()?;
        Some(f64::from(self.backends[attempt.backend].slots()) * 1e3 / work_ms.max(1.0))
    }

    fn state_limit(
        &mut self,
        now: Instant,
        backend: BackendKey,
        statement: LimitStatement,
    ) -> LimitChange {
        let was_limited = self.rate_limit(backend).is_some();
        let change = self.merge_limit(now, backend, statement);
        if let Some(limit) = &mut self.backends[backend].limit {
            limit.is_fragile = true;
            if !was_limited {
                limit.free_until = Some(now + FREE_TIME);
            }
        }
        change
    }
}

/// The part of the places that requests to a server use at first that survives so many rejections.
fn use_at_first(rejections_max: u32) -> f64 {
    let unused = UNUSED_AT_FIRST / f64::from(rejections_max.max(1));
    (USE_AT_FIRST - unused).max(BOUNDS[0])
}

/// The next limit of a server that has one, if it is another one.
fn next_rate_per_s(
    now: Instant,
    known: LimitStatement,
    full_per_s: f64,
    answer: FragileAnswer,
) -> Option<f64> {
    let known_per_s = known.rate?.per_second();
    let [least, most] = BOUNDS.map(|it| it * full_per_s);
    let [of_requests, of_survived] = SETTLED_PARTS;
    let survived_per_s = f64::from(answer.rejections_max.max(1));
    let settled_per_s = f64::min(of_requests * known_per_s, of_survived * survived_per_s);
    let decrease =
        ((GROWTH - 1.0) / GROWTH_INTERVAL.as_secs_f64() / settled_per_s).min(DECREASE_MAX);
    let is_old = now.saturating_duration_since(known.at) >= GROWTH_INTERVAL;
    match answer.is_rejection {
        true => Some((known_per_s * (1.0 - decrease)).max(least)),
        false if is_old && known_per_s < most => Some((known_per_s * GROWTH).min(most)),
        false => None,
    }
}
