//! Preemption of lower classes for urgent requests.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{Action, Scheduler};
use crate::{
    keys::{BackendKey, ClassKey, PoolKey, Ticket},
    pool::{Contender, Urgency},
    request::{Phase, Preemption, Request, Reservation},
    spec::Pausing,
};

/// Requests that one router may send to a server beyond its slot limit.
const OVERCOMMIT_SLOTS: u32 = 1;
/// A request is late after this fraction of its first-token target.
const LATE_FRACTION: f64 = 0.4;
/// A request counts as queued inside the engine if it has no token this long after it was sent.
const ENGINE_QUEUE_THRESHOLD: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Pauses one stream of the lowest class for the most urgent pressing request, or sends a late
    /// request beyond the slot limit. Returns whether a request was dispatched.
    pub(super) fn preempt_next(&mut self, now: Instant, pool: PoolKey) -> bool {
        if self.pools[pool].waiting == 0 || self.pools[pool].spec.pausing == Pausing::Unsupported {
            return false;
        }
        let contenders = self.contenders(now, pool);
        contenders.iter().any(|it| self.preempt_for(now, pool, &contenders, it))
            || contenders.first().is_some_and(|it| self.overcommit(now, pool, &contenders, it))
    }

    fn preempt_for(
        &mut self,
        now: Instant,
        pool: PoolKey,
        contenders: &[Contender],
        contender: &Contender,
    ) -> bool {
        if contender.urgency != Urgency::Pressing {
            return false;
        }
        let Some(ticket) = self.waiting_head(pool, contender.class) else { return false };
        let Some((victim, backend)) = self.victim(now, pool, ticket) else { return false };
        self.pause(victim, backend);
        let cost = self.dispatch(now, ticket, backend, Preemption::Pausable);
        self.pools[pool].charge(contenders, contender.class, cost);
        true
    }

    /// Sends a late request of the most urgent class to a server beyond this router's slot limit.
    ///
    /// The engine starts it by its priority as soon as a stream of any router ends on the server.
    fn overcommit(
        &mut self,
        now: Instant,
        pool: PoolKey,
        contenders: &[Contender],
        contender: &Contender,
    ) -> bool {
        let is_top = self.order.first() == Some(&contender.class) && self.order.len() > 1;
        // If another class is first by its guaranteed share, the next free slot belongs to it.
        let dispatch_order = self.pools[pool].dispatch_order(contenders);
        let is_next =
            dispatch_order.first().is_some_and(|(first, _)| first.class == contender.class);
        if !is_top || !is_next {
            return false;
        }
        let Some(ticket) = self.waiting_head(pool, contender.class) else { return false };
        if !self.is_late(now, ticket) {
            return false;
        }
        let hosts = self.hosts(now, &self.requests[ticket]);
        let candidates = hosts.into_iter().filter(|it| self.may_overcommit(now, *it));
        let candidates: Vec<_> = candidates.collect();
        if candidates.is_empty() {
            return false;
        }
        // The choice is random because routers that all choose the least loaded server overload it.
        let backend = candidates[self.rng.random_range(0..candidates.len())];
        let cost = self.dispatch(now, ticket, backend, Preemption::Pausable);
        self.pools[pool].charge(contenders, contender.class, cost);
        true
    }

    fn may_overcommit(&self, now: Instant, backend: BackendKey) -> bool {
        let backend = &self.backends[backend];
        backend.in_flight < backend.slot_limit(now, &self.settings) + OVERCOMMIT_SLOTS
            && backend.has_permit(now)
    }

    /// Whether [`LATE_FRACTION`] of the request's first-token target has passed.
    fn is_late(&self, now: Instant, ticket: Ticket) -> bool {
        let request = &self.requests[ticket];
        let target = self.classes[request.offer.class].spec.first_token_target();
        now.saturating_duration_since(request.arrived) >= target.mul_f64(LATE_FRACTION)
    }

    /// Pauses a stream of a lower class for each late request that is queued inside its engine.
    pub(super) fn pause_for_engine_queued(&mut self, now: Instant, pool: PoolKey) {
        let Some(top) = self.order.first().copied() else { return };
        let can_pause = self.pools[pool].spec.pausing == Pausing::Supported;
        let Some(queue) = self.pools[pool].queues.get(top).filter(|_| can_pause) else { return };
        let is_late_and_queued = |it: &Ticket| {
            let request = &self.requests[*it];
            let is_queued = request.attempt().is_some_and(|attempt| {
                attempt.tokens == 0 && now >= attempt.sent_at + ENGINE_QUEUE_THRESHOLD
            });
            is_queued && request.reservation == Reservation::None && self.is_late(now, *it)
        };
        let late: Vec<_> = queue.running.iter().copied().filter(is_late_and_queued).collect();
        late.into_iter().for_each(|it| self.pause_for_engine_queued_request(now, pool, it));
    }

    fn pause_for_engine_queued_request(&mut self, now: Instant, pool: PoolKey, ticket: Ticket) {
        let Some(attempt) = self.requests[ticket].attempt() else { return };
        let hosts = self.hosts(now, &self.requests[ticket]);
        let host: Vec<_> = hosts.into_iter().filter(|it| *it == attempt.backend).collect();
        let Some((victim, backend)) = self.victim_on(now, pool, ticket, &host) else { return };
        self.pause(victim, backend);
        self.requests[ticket].reservation = Reservation::Held;
        self.backends[backend].reserved += 1;
    }

    /// The stream to pause: of the lowest class that holds a slot, the one with the most remaining
    /// tokens.
    ///
    /// If no stream of that class can be paused, none is: a higher class is not paused instead.
    fn victim(&self, now: Instant, pool: PoolKey, ticket: Ticket) -> Option<(Ticket, BackendKey)> {
        let mut hosts = self.hosts(now, &self.requests[ticket]);
        hosts.retain(|it| self.backends[*it].has_permit(now));
        self.victim_on(now, pool, ticket, &hosts)
    }

    fn victim_on(
        &self,
        now: Instant,
        pool: PoolKey,
        ticket: Ticket,
        hosts: &[BackendKey],
    ) -> Option<(Ticket, BackendKey)> {
        let priority = self.priority(self.requests[ticket].offer.class);
        let mut lower: Vec<_> =
            self.pools[pool].queues.keys().map(|it| (self.priority(it), it)).collect();
        lower.retain(|it| it.0 < priority);
        lower.sort();
        let queues = &self.pools[pool].queues;
        let lowest =
            lower.into_iter().find(|it| self.has_pausable_stream(&queues[it.1].running, hosts))?;
        // The estimate of the remaining time may be wrong, so a late request does not rely on it.
        let is_late = self.is_late(now, ticket);
        let min_remaining =
            if is_late { Duration::ZERO } else { self.settings.pause_min_remaining };
        self.longest_running(pool, lowest.1, hosts, min_remaining)
    }

    fn priority(&self, class: ClassKey) -> u8 {
        self.classes[class].spec.priority
    }

    /// The servers that could run the request if one of their streams were paused.
    fn hosts(&self, now: Instant, request: &Request) -> Vec<BackendKey> {
        let members = &self.pools[request.offer.pool].members;
        let allowed = self.allowed_hosts(now, request);
        let suspect_hosts = self.suspect_hosts(now, request);
        let criteria = self.criteria(now, request, allowed.as_deref(), &suspect_hosts);
        let selector = self.selector(now, request.offer.pool);
        let hosts = members.iter().copied().filter(|it| selector.admits(*it, &criteria));
        hosts.filter(|it| selector.can_reuse_slot(*it)).collect()
    }

    /// Whether a stream runs on one of the servers that is not protected by its class's share.
    ///
    /// A stream without a token may still be queued inside the engine, so pausing it frees no slot.
    fn has_pausable_stream(&self, running: &[Ticket], hosts: &[BackendKey]) -> bool {
        let requests = running.iter().map(|it| &self.requests[*it]);
        let mut candidates = requests.filter(|it| it.preemption == Preemption::Pausable);
        candidates.any(|it| {
            it.attempt()
                .is_some_and(|attempt| attempt.tokens > 0 && hosts.contains(&attempt.backend))
        })
    }

    fn longest_running(
        &self,
        pool: PoolKey,
        class: ClassKey,
        hosts: &[BackendKey],
        min_remaining: Duration,
    ) -> Option<(Ticket, BackendKey)> {
        let running = self.pools[pool].queues[class].running.iter().copied();
        let pausable = running.filter_map(|ticket| {
            let request = &self.requests[ticket];
            let attempt = request.attempt()?;
            let is_worthwhile =
                self.service_time(pool, request.remaining_tokens()) >= min_remaining;
            let is_allowed =
                request.preemption == Preemption::Pausable && request.other_attempt.is_none();
            let is_candidate = is_allowed
                && is_worthwhile
                && attempt.tokens > 0
                && hosts.contains(&attempt.backend);
            is_candidate.then_some((request.remaining_tokens(), ticket, attempt.backend))
        });
        pausable.max().map(|(_, ticket, backend)| (ticket, backend))
    }

    fn pause(&mut self, ticket: Ticket, backend: BackendKey) {
        let request = &mut self.requests[ticket];
        let Phase::Running(attempt) = request.phase else { return };
        request.phase = Phase::Paused(attempt);
        let offer = request.offer;
        let queue = self.pools[offer.pool].queue(offer.class);
        queue.running.retain(|it| *it != ticket);
        queue.paused.push_back(ticket);
        self.free_slot(offer.request_hash, backend);
        self.actions.push(Action::Pause { ticket, backend });
    }
}
