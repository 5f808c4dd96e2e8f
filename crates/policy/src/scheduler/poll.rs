//! Dispatch: selects the waiting or paused request for the next free slot, and its server.

use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::{
    keys::{BackendKey, ClassKey, PoolKey, Ticket},
    pace::Ceiling,
    partition::Side,
    pool::{Contender, Pool, Turn, Urgency},
    quarantine::Isolation,
    request::{Attempt, Phase, Preemption, Refusal, RefusalReason, Request},
    selection::{Criteria, Selector},
};

/// A request is pressing once less than this fraction of its first-token target is left for
/// waiting, after the expected time from dispatch to the first token is subtracted.
const PRESSING_FRACTION: f64 = 0.75;

/// The next request of a class.
#[derive(Debug, Clone, Copy)]
pub(super) enum Head {
    Paused(Ticket),
    Waiting(Ticket),
}

impl Scheduler {
    /// Returns the actions to carry out now. The crate's documentation says when to call it.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.refuse_quarantined(now);
        self.refuse_parts(now);
        self.requeue_delayed(now);
        self.refuse_expired(now);
        self.run_checks(now);
        let pools: Vec<_> = self.pools.keys().collect();
        for pool in pools {
            self.refuse_unserved(now, pool);
            while self.dispatch_next(now, pool) {}
            self.refuse_without_permit(now, pool);
            while self.preempt_next(now, pool) {}
            self.pause_for_engine_queued(now, pool);
            self.update_saturation(now, pool);
        }
        self.hedge(now);
        std::mem::take(&mut self.actions)
    }

    fn requeue_delayed(&mut self, now: Instant) {
        while let Some((until, ticket)) = self.delayed.first().copied()
            && until <= now
        {
            self.delayed.pop_first();
            self.requeue(ticket);
        }
    }

    /// Refuses the queued copies of requests that have just been quarantined: no server may run
    /// them, so they would wait until their deadline.
    fn refuse_quarantined(&mut self, now: Instant) {
        let quarantined = self.quarantine.take_newly_quarantined();
        if quarantined.is_empty() {
            return;
        }
        let queued = self.requests.iter().filter(|(_, it)| {
            it.attempt().is_none() && quarantined.contains(&it.offer.request_hash)
        });
        let tickets: Vec<_> = queued.map(|(ticket, _)| ticket).collect();
        for ticket in tickets {
            let request_hash = self.requests[ticket].offer.request_hash;
            if let Some(retry_after) = self.quarantine.remaining(now, request_hash) {
                self.remove_from_queue(ticket);
                let refusal = Refusal { reason: RefusalReason::Quarantined, retry_after };
                self.close_refused(ticket, refusal);
            }
        }
    }

    fn refuse_expired(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.dispatch_deadlines.first().copied()
            && at <= now
        {
            self.refuse_waiting(now, ticket, RefusalReason::DeadlineUnreachable);
        }
    }

    /// Refuses requests whose class or pool is no longer in the tables, and those of a pool that
    /// had no usable server for longer than the grace period.
    fn refuse_unserved(&mut self, now: Instant, key: PoolKey) {
        let usable = self.has_usable_backend(now, key);
        let is_paused = self.end_of_pauses(now, key).is_some();
        let grace = self.backend_grace(key);
        let pool = &mut self.pools[key];
        let since = pool.without_backend_since.get_or_insert(now);
        let is_past_grace = now.saturating_duration_since(*since) >= grace;
        if usable {
            pool.without_backend_since = None;
        }
        let is_pool_retired = pool.retired;
        if pool.waiting == 0 {
            return;
        }
        let classes: Vec<_> = self.pools[key].queues.keys().collect();
        for class in classes {
            if is_pool_retired || self.classes[class].retired {
                self.refuse_queue(now, key, class, RefusalReason::Unknown);
            } else if is_paused || !usable && is_past_grace {
                self.refuse_queue(now, key, class, RefusalReason::NoBackend);
            }
        }
    }

    fn update_saturation(&mut self, now: Instant, pool: PoolKey) {
        let pool = &mut self.pools[pool];
        pool.saturated_since = (pool.waiting > 0).then(|| pool.saturated_since.unwrap_or(now));
    }

    fn refuse_queue(
        &mut self,
        now: Instant,
        pool: PoolKey,
        class: ClassKey,
        reason: RefusalReason,
    ) {
        let tickets: Vec<_> = self.pools[pool].queues[class].tickets().collect();
        for ticket in tickets {
            self.refuse_waiting(now, ticket, reason);
        }
    }

    /// Starts or resumes one request; returns false if there is none or no server for it.
    fn dispatch_next(&mut self, now: Instant, pool: PoolKey) -> bool {
        if !self.has_free_slot(now, pool) {
            return false;
        }
        let contenders = self.contenders(now, pool);
        let order = self.pools[pool].dispatch_order(&contenders);
        for (contender, turn) in order {
            if self.try_place(now, pool, &contenders, contender, turn) {
                return true;
            }
        }
        self.set_restricted_aside(now, pool, &contenders)
    }

    fn has_free_slot(&self, now: Instant, pool: PoolKey) -> bool {
        let mut members = self.pools[pool].members.iter();
        members.any(|it| self.backends[*it].free_slots(now, &self.settings) > 0)
    }

    /// The classes with queued or paused requests in the pool, most urgent first.
    pub(super) fn contenders(&mut self, now: Instant, pool: PoolKey) -> Vec<Contender> {
        let order = self.order.clone();
        order.into_iter().filter_map(|it| self.contender(now, pool, it)).collect()
    }

    fn contender(&mut self, now: Instant, pool: PoolKey, class: ClassKey) -> Option<Contender> {
        let waiting = self.waiting_head(pool, class);
        let paused = self.pools[pool].queues.get(class)?.paused.front().copied();
        let cost = match (paused, waiting) {
            (Some(ticket), _) => self.requests[ticket].remaining_tokens(),
            (None, Some(ticket)) => self.requests[ticket].cost,
            (None, None) => return None,
        };
        let urgency = waiting.map_or(Urgency::Slack, |it| self.urgency(now, it));
        let spec = &self.classes[class].spec;
        let (priority, share_permille) = (spec.priority, spec.share_permille);
        Some(Contender { class, priority, share_permille, cost, urgency })
    }

    /// The next waiting request of the class whose workspace is below its limit.
    pub(super) fn waiting_head(&mut self, pool: PoolKey, class: ClassKey) -> Option<Ticket> {
        let queue = self.pools[pool].queues.get_mut(class)?;
        while let Some((key, item)) = queue.peek() {
            let workspace = &self.workspaces[key];
            let limit = workspace.spec.in_flight_limit.div_ceil(self.settings.routers.max(1));
            if workspace.in_flight < limit.max(1) {
                return Some(item.ticket);
            }
            queue.park(key);
        }
        None
    }

    pub(super) fn urgency(&self, now: Instant, ticket: Ticket) -> Urgency {
        let request = &self.requests[ticket];
        let spec = &self.classes[request.offer.class].spec;
        let waited = now.saturating_duration_since(request.arrived);
        let needed = waited + self.first_token_time(request.offer.pool);
        let slack = spec.first_token_target().saturating_sub(needed);
        let is_pressing = slack < spec.first_token_target().mul_f64(PRESSING_FRACTION);
        if is_pressing { Urgency::Pressing } else { Urgency::Slack }
    }

    fn first_token_time(&self, pool: PoolKey) -> Duration {
        Duration::from_secs_f64(self.pools[pool].median_first_token_ms.unwrap_or(0.0) / 1e3)
    }

    fn try_place(
        &mut self,
        now: Instant,
        pool: PoolKey,
        contenders: &[Contender],
        contender: Contender,
        turn: Turn,
    ) -> bool {
        let Some((head, backend)) = self.placement(now, pool, &contender) else {
            return false;
        };
        let preemption = match turn {
            Turn::Guaranteed => Preemption::Protected,
            Turn::Priority => Preemption::Pausable,
        };
        let cost = match head {
            Head::Paused(ticket) => self.resume(now, ticket, preemption),
            Head::Waiting(ticket) => self.dispatch(now, ticket, backend, preemption),
        };
        self.pools[pool].charge(contenders, contender.class, cost);
        true
    }

    fn placement(
        &mut self,
        now: Instant,
        pool: PoolKey,
        contender: &Contender,
    ) -> Option<(Head, BackendKey)> {
        let class = contender.class;
        let ceiling = self.ceiling(pool, class, contender.cost);
        let paused = self.pools[pool].queues[class].paused.iter();
        for ticket in paused {
            let attempt = self.requests[*ticket].attempt()?;
            if self.backends[attempt.backend].free_slots_within(now, &self.settings, ceiling) > 0 {
                return Some((Head::Paused(*ticket), attempt.backend));
            }
        }
        let ticket = self.waiting_head(pool, class)?;
        let backend = self.select_server(now, ticket, ceiling)?;
        Some((Head::Waiting(ticket), backend))
    }

    /// Dispatches the waiting request at the head of its class's queue, and returns its cost.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        ticket: Ticket,
        backend: BackendKey,
        preemption: Preemption,
    ) -> u32 {
        let offer = self.requests[ticket].offer;
        let pool = &mut self.pools[offer.pool];
        let item = pool.queue(offer.class).pop();
        debug_assert_eq!(item.map(|it| it.ticket), Some(ticket));
        pool.waiting -= 1;
        self.start_attempt(now, ticket, backend, preemption);
        self.actions.push(Action::Dispatch { ticket, backend });
        self.requests[ticket].cost
    }

    fn resume(&mut self, now: Instant, ticket: Ticket, preemption: Preemption) -> u32 {
        let request = &mut self.requests[ticket];
        let remaining = request.remaining_tokens();
        let Phase::Paused(mut attempt) = request.phase else { return remaining };
        attempt.last_token_at = now;
        request.phase = Phase::Running(attempt);
        request.preemption = preemption;
        let offer = request.offer;
        let queue = self.pools[offer.pool].queue(offer.class);
        queue.paused.retain(|it| *it != ticket);
        queue.running.push(ticket);
        queue.dispatch_rate.add(now, u64::from(remaining));
        self.occupy_slot(offer.request_hash, attempt.backend);
        self.actions.push(Action::Resume { ticket, backend: attempt.backend });
        remaining
    }

    /// The best server with a free slot for the request, if there is one.
    pub(super) fn select_server(
        &mut self,
        now: Instant,
        ticket: Ticket,
        ceiling: Ceiling,
    ) -> Option<BackendKey> {
        let request = &self.requests[ticket];
        let allowed = self.allowed_hosts(now, request);
        let suspect_hosts = self.suspect_hosts(now, request);
        let criteria = self.criteria(now, request, allowed.as_deref(), &suspect_hosts);
        let criteria = Criteria { ceiling, ..criteria };
        let (pool, class) = (request.offer.pool, request.offer.class);
        let own_side = self.own_side(now, pool, class);
        let side = self.side(&self.pools[pool], class);
        let prompt = self.prompts.get(ticket);
        let to_try = self.server_to_try(ticket);
        let criteria = Criteria { prompt, own_side: &own_side, side, to_try, ..criteria };
        let (backends, settings, recent_prefixes) =
            (&self.backends, &self.settings, &self.recent_prefixes);
        let members = &self.pools[request.offer.pool].members;
        let selector = Selector { backends, members, settings, recent_prefixes, now };
        selector.pick(&criteria, &mut self.rng)
    }

    /// The servers that the class prefers; empty if all classes of the pool have the same target
    /// between tokens.
    pub(super) fn own_side(&self, now: Instant, pool: PoolKey, class: ClassKey) -> Vec<BackendKey> {
        let pool = &self.pools[pool];
        let Some(side) = self.side(pool, class) else { return Vec::new() };
        pool.partition.side(now, &self.backends, &pool.members, side)
    }

    /// The class's side of the partition: strict if it has the strictest target between tokens of
    /// the classes that use the pool, `None` if all have the same target.
    pub(super) fn side(&self, pool: &Pool, class: ClassKey) -> Option<Side> {
        let target_ms = self.classes[class].spec.between_token_target_ms;
        let strictest_ms = self.strictest_target_ms(pool)?;
        Some(if target_ms <= strictest_ms { Side::Strict } else { Side::Lenient })
    }

    /// The strictest target between tokens of the classes that use the pool; `None` if all have the same.
    fn strictest_target_ms(&self, pool: &Pool) -> Option<u64> {
        let target = |it: ClassKey| self.classes[it].spec.between_token_target_ms;
        let used = pool.queues.keys().filter(|it| !self.classes[*it].retired);
        let (least, most) = used
            .fold((u64::MAX, 0), |(least, most), it| (least.min(target(it)), most.max(target(it))));
        (least < most).then_some(least)
    }

    /// Records the longest pause of a complete stream of a lenient class.
    pub(super) fn record_pause(&mut self, pool: PoolKey, class: ClassKey, attempt: &Attempt) {
        let entry = &self.pools[pool];
        let (side, strictest_ms) = (self.side(entry, class), self.strictest_target_ms(entry));
        let (Some(Side::Lenient), Some(strictest_ms)) = (side, strictest_ms) else { return };
        if attempt.tokens > 0 {
            let ratio = attempt.longest_pause.as_secs_f64() * 1e3 / strictest_ms as f64;
            self.pools[pool].partition.record_pause(ratio);
        }
    }

    /// A selector over all servers of a pool.
    pub(super) fn selector(&self, now: Instant, pool: PoolKey) -> Selector<'_> {
        let members = &self.pools[pool].members;
        let (backends, settings, recent_prefixes) =
            (&self.backends, &self.settings, &self.recent_prefixes);
        Selector { backends, members, settings, recent_prefixes, now }
    }

    /// The criteria for a request without its prompt and its side of the partition.
    pub(super) fn criteria<'a>(
        &self,
        now: Instant,
        request: &'a Request,
        allowed: Option<&'a [BackendKey]>,
        suspect_hosts: &'a [BackendKey],
    ) -> Criteria<'a> {
        let offer = &request.offer;
        Criteria {
            prefix_hash: offer.prefix_hash,
            prompt: None,
            own_side: &[],
            side: None,
            priority: self.classes[offer.class].spec.priority,
            tried: &request.tried,
            to_try: None,
            version: request.version,
            repeat: offer.repeat,
            allowed,
            isolation: self.quarantine.isolation(now, offer.request_hash),
            suspect_hosts,
            ceiling: Ceiling::Full,
            gap_limit_ms: self.classes[offer.class].spec.between_token_target_ms as f64,
        }
    }

    /// The servers on which other suspects run; empty unless the request itself is a suspect.
    pub(super) fn suspect_hosts(&self, now: Instant, request: &Request) -> Vec<BackendKey> {
        let own_hash = request.offer.request_hash;
        if self.quarantine.isolation(now, own_hash) == Isolation::None {
            return Vec::new();
        }
        let others = self.quarantine.suspects(now).filter(|it| *it != own_hash);
        let hosts = others.filter_map(|it| self.fingerprint_hosts.get(&it)).flatten();
        hosts.map(|it| it.0).collect()
    }

    /// The servers to which a fingerprint that is not cleared is restricted, once it runs on as
    /// many servers as it may still crash before it is quarantined.
    pub(super) fn allowed_hosts(&self, now: Instant, request: &Request) -> Option<Vec<BackendKey>> {
        let hash = request.offer.request_hash;
        if self.quarantine.is_cleared(now, hash) {
            return None;
        }
        let crashes_left = self.quarantine.crashes_left(now, hash);
        let hosts = self.fingerprint_hosts.get(&hash).map_or(&[][..], Vec::as_slice);
        (hosts.len() >= crashes_left).then(|| hosts.iter().map(|it| it.0).collect())
    }
}
