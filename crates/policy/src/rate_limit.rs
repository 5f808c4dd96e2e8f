//! Limits on the rate of requests that a backend server takes from all routers together.
//!
//! A server in need names such a limit in its answers. What is known of it is a [`LimitStatement`],
//! which every router and hub merges in the same way. No router can hold the limit by itself, so the
//! right to send a request is a permit: the control VM that leads issues permits at the rate of the
//! limit, and a router has them in an [`Allowance`].

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

const MILLI: f64 = 1e3;

/// The lowest rate at which a server is sent requests, because only its answers tell that its limit
/// has ended.
const TRIAL_REQUESTS_PER_S: f64 = 0.2;
/// The shortest time until a permit expires at its holder.
const PERMIT_TTL_MIN: Duration = Duration::from_millis(600);
/// The time of the rate's permits that may pile up; at least one permit may.
const PILED_UP_TIME: Duration = Duration::from_millis(500);
/// The time over which the share of a holder is measured.
const SHARE_SPAN: Duration = Duration::from_secs(4);
/// Without an answer to its requests for permits for this long, a holder goes on with its last share.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// The identity of a server in messages about its limit: a hash of its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServerHash(pub u32);

/// Requests per second, kept in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate {
    millirequests_per_s: u32,
}

impl RequestRate {
    /// The rate of so many requests per second; `None` if that is no rate. Very large ones are reduced
    /// to the largest that can be represented.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<RequestRate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        // A cast to an integer saturates.
        Some(RequestRate { millirequests_per_s: (per_second * MILLI).round() as u32 })
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.millirequests_per_s) / MILLI
    }

    /// Time until a permit expires at its holder: a little longer than the interval of grants, and at low
    /// rates the time in which one permit is issued, as fewer requests can use it. Permits of a limit
    /// that was lowered meanwhile, or of a holder that has stopped, are soon void.
    #[must_use]
    pub fn permit_ttl(self) -> Duration {
        PERMIT_TTL_MIN + Duration::from_secs_f64(1.0 / self.permits_per_second())
    }

    /// Permits issued per second: the rate, or that of trials if it is lower.
    pub(crate) fn permits_per_second(self) -> f64 {
        self.per_second().max(TRIAL_REQUESTS_PER_S)
    }
}

/// What a server has said about its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitStatement {
    /// The limit; `None` if it has none.
    pub rate: Option<RequestRate>,
    /// A time at which the statement was true. Of two statements the later one holds.
    pub at: Instant,
}

/// What merging a statement has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is another one now.
    Changed,
    /// The limit is as known.
    Unchanged,
    /// The statement differs from a later one that was known.
    Outdated,
}

impl LimitStatement {
    /// What an answer says of its server's limit.
    ///
    /// Answers overtake one another. A lower limit holds from its arrival on. That a limit has ended or
    /// is higher is only certain as of the time when the request was sent, as the server cannot have
    /// said it before.
    #[must_use]
    pub fn of_answer(
        known: Option<LimitStatement>,
        rate: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) -> LimitStatement {
        let is_stricter = |known: Option<RequestRate>| match (rate, known) {
            (Some(rate), Some(known)) => rate <= known,
            (Some(_), None) => true,
            (None, known) => known.is_none(),
        };
        let at = if is_stricter(known.and_then(|it| it.rate)) { now } else { sent_at };
        LimitStatement { rate, at }
    }

    /// Merges another statement on the same server.
    pub fn merge(&mut self, other: LimitStatement) -> LimitChange {
        let change = match (other.rate == self.rate, other.at > self.at) {
            (true, _) => LimitChange::Unchanged,
            (false, true) => LimitChange::Changed,
            (false, false) => LimitChange::Outdated,
        };
        if other.at > self.at {
            *self = other;
        }
        change
    }
}

/// A statement on the limit of a server as it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LimitEntry {
    /// The server.
    pub server: ServerHash,
    /// The limit; `None` if it has none.
    pub rate: Option<RequestRate>,
    /// The age of the statement.
    pub age_ms: u32,
}

impl LimitEntry {
    /// The entry of a statement that is sent now.
    #[must_use]
    pub fn new(server: ServerHash, statement: LimitStatement, now: Instant) -> LimitEntry {
        let age = now.saturating_duration_since(statement.at);
        let age_ms = age.as_millis().try_into().unwrap_or(u32::MAX);
        LimitEntry { server, rate: statement.rate, age_ms }
    }

    /// The statement, if it arrives now.
    #[must_use]
    pub fn statement(&self, now: Instant) -> LimitStatement {
        let at = now.checked_sub(Duration::from_millis(self.age_ms.into()));
        LimitStatement { rate: self.rate, at: at.unwrap_or(now) }
    }
}

/// The permits that a holder asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PermitDemand {
    /// For requests that wait, and that no other server can take.
    pub waiting: u16,
    /// For requests that are expected soon.
    pub expected: u16,
}

/// The permits that a router asks for, for requests to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PermitRequest {
    /// The server.
    pub server: ServerHash,
    /// The permits.
    pub demand: PermitDemand,
}

/// Permits for requests to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PermitGrant {
    /// The server.
    pub server: ServerHash,
    /// The number of permits.
    pub count: u16,
}

/// Issues permits at a rate.
#[derive(Debug, Clone, Copy)]
pub struct PermitIssuer {
    permits: f64,
    refilled_at: Instant,
}

impl PermitIssuer {
    /// An issuer that has no permits yet.
    #[must_use]
    pub fn new(now: Instant) -> PermitIssuer {
        PermitIssuer { permits: 0.0, refilled_at: now }
    }

    /// The permits that can be issued now under a server's limit.
    pub fn refill(&mut self, now: Instant, limit: RequestRate) -> u32 {
        self.refill_at(now, limit.permits_per_second())
    }

    fn refill_at(&mut self, now: Instant, per_second: f64) -> u32 {
        self.permits = self.at(now, per_second);
        self.refilled_at = now;
        self.permits as u32
    }

    /// Issues permits that were counted by the last refill.
    pub fn issue(&mut self, count: u32) {
        self.permits -= f64::from(count);
    }

    fn at(&self, now: Instant, per_second: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let piled_up_max = (per_second * PILED_UP_TIME.as_secs_f64()).max(1.0);
        (self.permits + elapsed * per_second).min(piled_up_max)
    }
}

/// The permits that a router or a hub has for requests to one server.
///
/// While its requests for permits are not answered, the holder issues permits to itself at the rate of
/// its last share. Together all holders then still keep to the limit.
#[derive(Debug, Clone)]
pub struct Allowance {
    granted: VecDeque<Grant>,
    /// The grants of the last [`SHARE_SPAN`].
    received: VecDeque<(Instant, u32)>,
    answered_at: Option<Instant>,
    share_per_s: f64,
    own: PermitIssuer,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    count: u32,
    expires_at: Instant,
}

impl Allowance {
    /// An allowance without permits.
    #[must_use]
    pub fn new(now: Instant) -> Allowance {
        Allowance {
            granted: VecDeque::new(),
            received: VecDeque::new(),
            answered_at: None,
            share_per_s: 0.0,
            own: PermitIssuer::new(now),
        }
    }

    /// Records an answer to a request for permits, which may grant none. The permits are for requests
    /// under the server's limit `rate`.
    pub fn answered(&mut self, now: Instant, rate: RequestRate, count: u32) {
        self.answered_at = Some(now);
        self.own = PermitIssuer::new(now);
        if count > 0 {
            self.granted.push_back(Grant { count, expires_at: now + rate.permit_ttl() });
            self.received.push_back((now, count));
        }
        while self.received.front().is_some_and(|it| now >= it.0 + SHARE_SPAN) {
            self.received.pop_front();
        }
        let count: u32 = self.received.iter().map(|it| it.1).sum();
        self.share_per_s = f64::from(count) / SHARE_SPAN.as_secs_f64();
    }

    /// Forgets the permits that are left, because the limit was lowered.
    pub fn revoke(&mut self) {
        self.granted.clear();
    }

    /// The number of permits.
    #[must_use]
    pub fn available(&self, now: Instant) -> u32 {
        let valid = self.granted.iter().filter(|it| it.expires_at > now);
        let granted: u32 = valid.map(|it| it.count).sum();
        let own = if self.is_silent(now) { self.own.at(now, self.share_per_s) as u32 } else { 0 };
        granted + own
    }

    /// Uses one permit, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.granted.retain(|it| it.expires_at > now && it.count > 0);
        if let Some(grant) = self.granted.front_mut() {
            grant.count -= 1;
            return true;
        }
        let has_own = self.is_silent(now) && self.own.refill_at(now, self.share_per_s) > 0;
        if has_own {
            self.own.issue(1);
        }
        has_own
    }

    /// Permits per second that the holder was granted lately.
    #[must_use]
    pub fn share_per_s(&self) -> f64 {
        self.share_per_s
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.answered_at.is_some_and(|it| now >= it + SILENT_AFTER)
    }
}

/// The limit of one server at one router.
#[derive(Debug, Clone)]
pub(crate) struct ServerLimit {
    pub(crate) statement: LimitStatement,
    pub(crate) permits: Permits,
    /// Until then requests need no permit.
    pub(crate) free_until: Option<Instant>,
    /// Whether the server fails if it has to reject too many requests.
    pub(crate) is_fragile: bool,
}

/// Where the permits of a router come from.
#[derive(Debug, Clone)]
pub(crate) enum Permits {
    /// From its hub.
    Granted(Allowance),
    /// The router is the only one.
    Own(PermitIssuer),
}

impl ServerLimit {
    /// The limit, unless it has ended.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.statement.rate
    }

    /// Merges a statement.
    pub(crate) fn merge(&mut self, now: Instant, statement: LimitStatement) -> LimitChange {
        let (before, change) = (self.statement.rate, self.statement.merge(statement));
        let is_lowered = match (before, self.statement.rate) {
            (Some(before), Some(rate)) => rate < before,
            (None, rate) => rate.is_some(),
            (Some(_), None) => false,
        };
        if is_lowered {
            match &mut self.permits {
                Permits::Granted(allowance) => allowance.revoke(),
                Permits::Own(issuer) => *issuer = PermitIssuer::new(now),
            }
        }
        change
    }

    /// Records the hub's answer to a request for permits.
    pub(crate) fn granted(&mut self, now: Instant, count: u32) {
        if let (Permits::Granted(allowance), Some(rate)) = (&mut self.permits, self.statement.rate)
        {
            allowance.answered(now, rate, count);
        }
    }

    /// The requests that the router may send now; `None` if that is not limited.
    pub(crate) fn available(&self, now: Instant) -> Option<u32> {
        self.held(now).filter(|_| !self.is_free(now))
    }

    fn is_free(&self, now: Instant) -> bool {
        self.free_until.is_some_and(|it| now < it)
    }

    /// The permits that the router has; `None` if the server has no limit.
    pub(crate) fn held(&self, now: Instant) -> Option<u32> {
        let rate = self.rate()?;
        Some(match &self.permits {
            Permits::Granted(allowance) => allowance.available(now),
            Permits::Own(issuer) => issuer.at(now, rate.permits_per_second()) as u32,
        })
    }

    /// Uses a permit, if the server has a limit. Returns whether there was one.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let Some(rate) = self.rate().filter(|_| !self.is_free(now)) else { return true };
        match &mut self.permits {
            Permits::Granted(allowance) => allowance.take(now),
            Permits::Own(issuer) => {
                let has_permit = issuer.refill(now, rate) > 0;
                if has_permit {
                    issuer.issue(1);
                }
                has_permit
            }
        }
    }

    /// Requests per second that the router may expect to send.
    pub(crate) fn share_per_s(&self) -> f64 {
        let rate = self.rate().map_or(0.0, RequestRate::permits_per_second);
        match &self.permits {
            Permits::Granted(allowance) => allowance.share_per_s().min(rate),
            Permits::Own(_) => rate,
        }
    }
}
