//! Hedged requests: a second attempt beside a slow one, at another server. The first to answer is kept.

use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::{
    hedging::HedgeRefusal,
    keys::{BackendKey, PoolKey, Ticket},
    quarantine::Isolation,
    request::{Offer, Phase, Preemption, Repeat, Request},
    retry::Failure,
    spec::Hedge,
};

/// After a server has rejected a request for want of room, its pool is not hedged for this long.
const REJECTION_REST: Duration = Duration::from_secs(1);
/// A pool of which a larger part of the slots is known to be in use is not hedged: a second attempt would take
/// the place of a request that has none.
const USED_FRACTION_MAX: f64 = 0.75;
/// A second attempt needs another server beside that of the first.
const USABLE_SERVERS_MIN: usize = 2;

impl Scheduler {
    /// Reports that the router can race a second attempt against the current one, which has just begun.
    ///
    /// Returns whether it may be hedged: then [`Action::Hedge`] or [`Action::HedgeRefused`] follows, unless the
    /// attempt answers or ends before.
    pub fn await_hedge(&mut self, ticket: Ticket, now: Instant) -> bool {
        let Some(request) = self.requests.get(ticket) else { return false };
        let Offer { class, pool, repeat, .. } = request.offer;
        let spec = &self.classes[class].spec;
        let may_hedge = self.settings.hedge_permille > 0
            && spec.hedge == Hedge::On
            && repeat == Repeat::Idempotent
            && request.attempts < spec.max_attempts
            && request.awaits_answer();
        let delay = self.pools[pool].queue(class).hedging.delay().filter(|_| may_hedge);
        if let Some(delay) = delay {
            self.hedges.insert((now + delay, ticket));
        }
        delay.is_some()
    }

    /// Starts the hedges that are due.
    pub(super) fn hedge(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.hedges.first().copied()
            && at <= now
        {
            self.hedges.pop_first();
            let request = self.requests.get(ticket);
            if request.is_some_and(|it| it.awaits_answer() && it.other_attempt.is_none()) {
                self.start_hedge(now, ticket);
            }
        }
    }

    /// Makes the two attempts of a hedged request independent, because this one has failed: the other goes on as
    /// the only one.
    pub fn separate(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let backend = request.attempt().map(|it| it.backend);
        let other = request.other_attempt.take().and_then(|it| self.requests.get_mut(it));
        if let Some(other) = other {
            other.other_attempt = None;
            if let Some(backend) = backend {
                other.record_tried(backend);
            }
        }
    }

    /// Reports that the router has ended the attempt, and closes the ticket. Another attempt of the request goes
    /// on.
    pub fn attempt_abandoned(&mut self, ticket: Ticket, now: Instant) {
        self.record_unanswered(now, ticket);
        self.separate(ticket);
        self.cancelled(ticket);
    }

    /// Records how long the first answer to an attempt took.
    pub(super) fn record_answer_time(&mut self, now: Instant, ticket: Ticket) {
        if let Some((offer, time)) = self.measured_time(now, ticket) {
            self.pools[offer.pool].queue(offer.class).hedging.record_answer(time);
        }
    }

    /// Records how long an attempt that ends without an answer has waited for one.
    pub(super) fn record_unanswered(&mut self, now: Instant, ticket: Ticket) {
        let awaits_answer = self.requests.get(ticket).is_some_and(Request::awaits_answer);
        if let Some((offer, time)) = self.measured_time(now, ticket).filter(|_| awaits_answer) {
            self.pools[offer.pool].queue(offer.class).hedging.record_unanswered(time);
        }
    }

    /// Records that a server has rejected a request for want of room.
    pub(super) fn record_rejection(&mut self, now: Instant, backend: BackendKey, failure: Failure) {
        if failure == Failure::Overloaded {
            let pool = self.backends[backend].pool;
            self.pools[pool].last_rejection = Some(now);
        }
    }

    /// The time that the attempt has taken. That of a hedge is not measured: only slow requests have one.
    fn measured_time(&self, now: Instant, ticket: Ticket) -> Option<(Offer, Duration)> {
        let is_on = self.settings.hedge_permille > 0;
        let request = self.requests.get(ticket).filter(|it| is_on && !it.is_hedge)?;
        Some((request.offer, now.saturating_duration_since(request.attempt()?.sent_at)))
    }

    fn start_hedge(&mut self, now: Instant, ticket: Ticket) {
        let backend = match self.check_hedge(now, ticket) {
            Ok(backend) => backend,
            Err(reason) => {
                self.actions.push(Action::HedgeRefused { ticket, reason });
                return;
            }
        };
        let request = &self.requests[ticket];
        let Offer { pool, class, .. } = request.offer;
        let second = Request { other_attempt: Some(ticket), ..request.clone_for_hedge() };
        self.pools[pool].queue(class).hedging.spend();
        let hedge = self.requests.insert(second);
        if let Some(prompt) = self.prompts.get(ticket).cloned() {
            self.prompts.insert(hedge, prompt);
        }
        let request = &mut self.requests[ticket];
        request.other_attempt = Some(hedge);
        // Both attempts count for whichever of them goes on after the other has failed.
        request.attempts += 1;
        self.start_attempt(now, hedge, backend, Preemption::Protected);
        self.actions.push(Action::Hedge { ticket, hedge, backend });
    }

    /// The server for a second attempt. The retry budget is spent if there is one.
    fn check_hedge(&mut self, now: Instant, ticket: Ticket) -> Result<BackendKey, HedgeRefusal> {
        let request = &self.requests[ticket];
        let offer = request.offer;
        if now > request.dispatch_deadline {
            return Err(HedgeRefusal::TooLate);
        }
        if self.is_suspected(now, ticket) {
            return Err(HedgeRefusal::Suspected);
        }
        if self.is_short_of_room(now, offer.pool) || self.is_at_limit(&offer) {
            return Err(HedgeRefusal::NoRoom);
        }
        if !self.pools[offer.pool].queue(offer.class).hedging.has_budget() {
            return Err(HedgeRefusal::Limit);
        }
        let backend = self.second_server(now, ticket).ok_or(HedgeRefusal::NoServer)?;
        match self.pools[offer.pool].queue(offer.class).retries.spend() {
            true => Ok(backend),
            false => Err(HedgeRefusal::RetryBudget),
        }
    }

    fn second_server(&mut self, now: Instant, ticket: Ticket) -> Option<BackendKey> {
        let request = &mut self.requests[ticket];
        let first = request.attempt()?.backend;
        request.record_tried(first);
        let (offer, cost) = (request.offer, request.cost);
        let ceiling = self.ceiling(offer.pool, offer.class, cost);
        self.select_server(now, ticket, ceiling).filter(|it| *it != first)
    }

    /// Whether the request or a part of its prompt is refused for crashes, or might come to be.
    fn is_suspected(&self, now: Instant, ticket: Ticket) -> bool {
        let hash = self.requests[ticket].offer.request_hash;
        let has_suspect =
            self.prompt(ticket).is_some_and(|it| self.part_suspects.has_suspect(&it.shared_ids()));
        self.quarantine.isolation(now, hash) != Isolation::None
            || self.quarantine.crashes_left(now, hash) == 0
            || self.part_refusal(now, ticket).is_some()
            || has_suspect
    }

    fn is_at_limit(&self, offer: &Offer) -> bool {
        let workspace = &self.workspaces[offer.workspace];
        let limit = workspace.spec.in_flight_limit.div_ceil(self.settings.routers.max(1));
        workspace.in_flight >= limit.max(1)
    }

    /// Whether the pool has more work than it can take at once, or may soon have.
    fn is_short_of_room(&self, now: Instant, pool: PoolKey) -> bool {
        let pool = &self.pools[pool];
        let has_paused = pool.queues.values().any(|it| !it.paused.is_empty());
        let rejected = pool.last_rejection.is_some_and(|it| now < it + REJECTION_REST);
        if pool.waiting > 0 || has_paused || rejected {
            return true;
        }
        let usable = pool.members.iter().map(|it| &self.backends[*it]).filter(|it| it.is_usable());
        let (mut count, mut used, mut slots) = (0, 0.0, 0.0);
        for backend in usable {
            if !backend.has_permit(now) || backend.pause_end(now).is_some() {
                return true;
            }
            count += 1;
            used += f64::from(backend.in_flight) + backend.other_routers_load(now).0;
            slots += f64::from(backend.slots());
        }
        count < USABLE_SERVERS_MIN || used > slots * USED_FRACTION_MAX
    }
}

impl Request {
    /// Whether it has an attempt that has not begun to answer.
    fn awaits_answer(&self) -> bool {
        matches!(self.phase, Phase::Running(attempt) if attempt.tokens == 0)
    }
}
