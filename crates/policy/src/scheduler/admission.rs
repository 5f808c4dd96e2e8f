//! Admission: requests that can't be served in time are refused when they are offered.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::Scheduler;
use crate::{
    class_queue::QueuedRequest,
    keys::{ClassKey, PoolKey, Ticket},
    prompt::Prompt,
    request::{Offer, Phase, Preemption, Refusal, RefusalReason, Request, Reservation},
    spec::{Admission, WHOLE_PERMILLE},
};

/// Expected answer length of a class before any answer is measured.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Few answers exceed this multiple of their expected length.
const ANSWER_LENGTH_MARGIN: u32 = 3;
/// The expected wait may be at most the target divided by this, as the actual wait may be longer.
const TARGET_WAIT_DIVISOR: u32 = 2;
/// The margin for long answers is at most the deadline divided by this.
const MARGIN_DEADLINE_DIVISOR: u32 = 3;
/// At least the deadline divided by this is left for waiting.
const MIN_WAIT_DEADLINE_DIVISOR: u32 = 3;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The measured throughput is used once requests have waited for this time; before that, it
/// reflects the demand rather than the capacity.
const SATURATION_TIME: Duration = Duration::from_secs(3);
/// Lower bound of a rate, which avoids division by zero.
const MIN_TOKENS_PER_SECOND: f64 = 0.1;
/// Callers come back after up to this multiple of the pause that servers have asked for.
const PAUSE_SPREAD_MAX: f64 = 1.25;
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

impl Scheduler {
    /// Admits a request to its queue, or refuses it immediately.
    ///
    /// # Errors
    /// A [`Refusal`] with the reason and the time after which the caller may retry.
    pub fn offer(&mut self, now: Instant, offer: Offer) -> Result<Ticket, Refusal> {
        self.check_configured(&offer)?;
        self.check_quarantine(now, &offer)?;
        self.pools[offer.pool].arrivals.add(now, 1);
        self.check_backends(now, &offer)?;
        self.check_limits(now, &offer)?;
        let cost = self.expected_tokens(&offer);
        let service = self.service_with_margin(&offer, cost);
        self.check_deadline(now, &offer, cost, service)?;
        self.ensure_queue_place(now, &offer)?;
        Ok(self.admit(now, offer, cost, service))
    }

    /// Like [`Scheduler::offer`], for a request whose prompt structure is known.
    ///
    /// # Errors
    /// The same as of [`Scheduler::offer`].
    pub fn offer_prompt(
        &mut self,
        now: Instant,
        offer: Offer,
        prompt: Prompt,
    ) -> Result<Ticket, Refusal> {
        self.check_parts(now, &prompt)?;
        let ticket = self.offer(now, offer)?;
        if !prompt.parts.is_empty() {
            self.prompts.insert(ticket, prompt);
        }
        Ok(ticket)
    }

    /// The expected time until the class's queue in the pool has drained.
    pub fn retry_after(&mut self, now: Instant, class: ClassKey, pool: PoolKey) -> Duration {
        let wait = self.drain_time(now, class, pool, 0).unwrap_or(MIN_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn refusal(
        &mut self,
        now: Instant,
        offer: &Offer,
        reason: RefusalReason,
    ) -> Refusal {
        let retry_after = match reason {
            RefusalReason::NoBackend => self.retry_after_no_backend(now, offer.pool),
            _ => self.retry_after(now, offer.class, offer.pool),
        };
        Refusal { reason, retry_after }
    }

    /// The expected time from dispatch to the last token at the pool's current speed.
    pub(super) fn service_time(&self, pool: PoolKey, tokens: u32) -> Duration {
        let gap_ms = self.pools[pool].median_gap_ms.unwrap_or(0.0);
        Duration::from_secs_f64(gap_ms * f64::from(tokens) / 1e3)
    }

    /// The time to reserve before the deadline for serving the request, including a margin because
    /// the answer may be longer than estimated.
    ///
    /// Nothing is reserved for an answer of unknown length. Some time is always left for waiting,
    /// so that a request is not refused while a server is free just because it might miss its
    /// deadline.
    fn service_with_margin(&self, offer: &Offer, cost: u32) -> Duration {
        let measured = self.pools[offer.pool].queues.get(offer.class);
        let measured = measured.and_then(|it| it.answer_tokens.value());
        if measured.is_none() && offer.max_tokens.is_none() {
            return Duration::ZERO;
        }
        let service = self.service_time(offer.pool, cost);
        let deadline = self.classes[offer.class].spec.deadline();
        let margin_max = deadline / MARGIN_DEADLINE_DIVISOR;
        let reserved = service.max(margin_max.min(service * ANSWER_LENGTH_MARGIN));
        reserved.min(deadline - deadline / MIN_WAIT_DEADLINE_DIVISOR)
    }

    fn check_configured(&self, offer: &Offer) -> Result<(), Refusal> {
        let class = self.classes.get(offer.class).is_some_and(|it| !it.retired);
        let pool = self.pools.get(offer.pool).is_some_and(|it| !it.retired);
        let workspace = self.workspaces.get(offer.workspace).is_some_and(|it| !it.retired);
        if class && pool && workspace {
            return Ok(());
        }
        Err(Refusal { reason: RefusalReason::Unknown, retry_after: MAX_RETRY_AFTER })
    }

    fn check_quarantine(&self, now: Instant, offer: &Offer) -> Result<(), Refusal> {
        match self.quarantine.remaining(now, offer.request_hash) {
            Some(retry_after) => Err(Refusal { reason: RefusalReason::Quarantined, retry_after }),
            None => Ok(()),
        }
    }

    fn check_backends(&mut self, now: Instant, offer: &Offer) -> Result<(), Refusal> {
        if self.has_usable_backend(now, offer.pool) || self.awaits_first_list(now, offer.pool) {
            return Ok(());
        }
        Err(self.refusal(now, offer, RefusalReason::NoBackend))
    }

    /// Whether the pool is so new that the list of its servers has not arrived yet.
    fn awaits_first_list(&mut self, now: Instant, key: PoolKey) -> bool {
        let grace = self.settings.first_list_grace;
        let pool = &mut self.pools[key];
        let since = *pool.without_backend_since.get_or_insert(now);
        pool.members.is_empty() && now.saturating_duration_since(since) < grace
    }

    /// How long requests wait while no server of the pool is usable.
    pub(super) fn backend_grace(&self, pool: PoolKey) -> Duration {
        match self.pools[pool].members.is_empty() {
            true => self.settings.first_list_grace,
            false => self.settings.no_backend_grace,
        }
    }

    pub(super) fn has_usable_backend(&self, now: Instant, pool: PoolKey) -> bool {
        self.has_usable_backend_of(now, pool, None)
    }

    /// When the first server is usable again if all usable servers have asked for a pause.
    pub(super) fn end_of_pauses(&self, now: Instant, pool: PoolKey) -> Option<Instant> {
        let members = self.pools[pool].members.iter().map(|it| &self.backends[*it]);
        let pauses: Vec<_> =
            members.filter(|it| it.is_usable()).map(|it| it.pause_end(now)).collect();
        let is_paused = !pauses.is_empty() && pauses.iter().all(Option::is_some);
        pauses.into_iter().flatten().min().filter(|_| is_paused)
    }

    /// When to come back if no server is usable. After a pause the callers come back over some time,
    /// so that they do not all meet the server at once.
    fn retry_after_no_backend(&mut self, now: Instant, pool: PoolKey) -> Duration {
        let Some(end) = self.end_of_pauses(now, pool) else { return MIN_RETRY_AFTER };
        let spread = self.rng.random_range(1.0..PAUSE_SPREAD_MAX);
        end.saturating_duration_since(now).mul_f64(spread)
    }

    fn expected_tokens(&mut self, offer: &Offer) -> u32 {
        let queue = self.pools[offer.pool].queue(offer.class);
        let mean = queue.answer_tokens.value().map_or(DEFAULT_ANSWER_TOKENS, |it| it as u32);
        mean.min(offer.max_tokens.unwrap_or(u32::MAX)).max(1)
    }

    fn check_deadline(
        &mut self,
        now: Instant,
        offer: &Offer,
        cost: u32,
        service: Duration,
    ) -> Result<(), Refusal> {
        if self.tokens_ahead(offer.class, offer.pool) == 0 {
            return Ok(());
        }
        let Some(wait) = self.drain_time(now, offer.class, offer.pool, cost) else {
            return Ok(());
        };
        let spec = &self.classes[offer.class].spec;
        let by_deadline = spec.deadline().saturating_sub(service);
        let max_wait = match spec.admission {
            Admission::UntilDeadline => by_deadline,
            Admission::WithinTarget => {
                by_deadline.min(spec.first_token_target() / TARGET_WAIT_DIVISOR)
            }
        };
        if wait <= max_wait {
            return Ok(());
        }
        let retry_after = (wait - max_wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Err(Refusal { reason: RefusalReason::DeadlineUnreachable, retry_after })
    }

    /// The expected tokens of the queued requests of the class and of classes at least as urgent.
    pub(super) fn tokens_ahead(&self, class: ClassKey, pool: PoolKey) -> u64 {
        let priority = self.classes[class].spec.priority;
        let queues = self.pools[pool].queues.iter();
        let ahead = queues.filter(|(key, _)| self.classes[*key].spec.priority >= priority);
        ahead.map(|(_, queue)| queue.waiting_tokens).sum()
    }

    /// The expected time until the class's queue and `tokens` more are dispatched; `None` before
    /// any measurement.
    ///
    /// The class is served at the rate of its guaranteed share, or at the rate that remains after
    /// more urgent classes and the guaranteed shares of waiting lower classes, whichever is faster.
    pub(super) fn drain_time(
        &mut self,
        now: Instant,
        class: ClassKey,
        pool: PoolKey,
        tokens: u32,
    ) -> Option<Duration> {
        let total_rate = self.tokens_per_second(now, pool)?.max(1.0);
        let spec = &self.classes[class].spec;
        let (priority, share) = (spec.priority, permille(spec.share_permille));
        let (mut remaining_rate, mut higher_tokens) = (total_rate, 0);
        for (key, queue) in &mut self.pools[pool].queues {
            let other = &self.classes[key].spec;
            if other.priority > priority {
                remaining_rate -= queue.dispatch_rate.per_second(now).unwrap_or(0.0);
                higher_tokens += queue.waiting_tokens;
            } else if other.priority < priority && queue.waiting > 0 {
                remaining_rate -= total_rate * permille(other.share_permille);
            }
        }
        let own_tokens = self.pools[pool].queue(class).waiting_tokens + u64::from(tokens);
        let by_share = own_tokens as f64 / (total_rate * share).max(MIN_TOKENS_PER_SECOND);
        let by_remaining_rate = higher_tokens as f64 / total_rate
            + own_tokens as f64 / remaining_rate.max(MIN_TOKENS_PER_SECOND);
        Some(Duration::from_secs_f64(by_share.min(by_remaining_rate)))
    }

    /// The pool's rate: as measured if it is saturated, otherwise as expected with all slots in
    /// use.
    pub(super) fn tokens_per_second(&mut self, now: Instant, pool: PoolKey) -> Option<f64> {
        let since = self.pools[pool].saturated_since;
        let is_saturated = since.is_some_and(|it| now >= it + SATURATION_TIME);
        let throughput = self.pools[pool].throughput.per_second(now);
        if is_saturated && throughput.is_some_and(|it| it > 0.0) {
            return throughput;
        }
        let gap_ms = self.pools[pool].median_gap_ms?;
        let members = self.pools[pool].members.iter();
        // Each usable server counts as at least one slot, since a router without a lease gets one
        // soon.
        let usable = members.filter(|it| self.backends[**it].is_usable());
        let limits = usable.map(|it| self.backends[*it].slot_limit(now, &self.settings).max(1));
        let slots: u32 = limits.sum();
        Some(f64::from(slots) * 1e3 / gap_ms.max(0.001))
    }

    /// Ensures that the queue has a place, if necessary by evicting a request, preferably of a less
    /// urgent class.
    fn ensure_queue_place(&mut self, now: Instant, offer: &Offer) -> Result<(), Refusal> {
        let pool = &self.pools[offer.pool];
        let class_limit = self.classes[offer.class].spec.queue_limit;
        if pool.queues[offer.class].waiting >= class_limit {
            return self.evict_from_longest_backlog(now, offer);
        }
        let has_own_place =
            pool.queues[offer.class].waiting < self.guaranteed_places(offer.pool, offer.class);
        if pool.waiting < pool.spec.queue_limit || has_own_place {
            return Ok(());
        }
        match self.lowest_evictable_class(offer) {
            Some(class) => self.evict_newest(now, offer.pool, class),
            None => self.evict_from_longest_backlog(now, offer),
        }
    }

    /// The places in the pool's queue from which more urgent requests can't evict the class.
    fn guaranteed_places(&self, pool: PoolKey, class: ClassKey) -> usize {
        let share_permille = self.classes[class].spec.share_permille as usize;
        let places = self.pools[pool].spec.queue_limit * share_permille;
        places.div_ceil(WHOLE_PERMILLE as usize)
    }

    fn lowest_evictable_class(&self, offer: &Offer) -> Option<ClassKey> {
        let priority = self.classes[offer.class].spec.priority;
        let queues = self.pools[offer.pool].queues.iter();
        let evictable =
            queues.filter(|(key, queue)| queue.waiting > self.guaranteed_places(offer.pool, *key));
        let lower = evictable.map(|(key, _)| (self.classes[key].spec.priority, key));
        lower.filter(|it| it.0 < priority).min_by_key(|it| it.0).map(|it| it.1)
    }

    /// Evicts the newest request of the workspace with the largest backlog in the class, if that
    /// exceeds the backlog of the offering workspace by more than one request at weight 1;
    /// otherwise refuses the offer.
    fn evict_from_longest_backlog(&mut self, now: Instant, offer: &Offer) -> Result<(), Refusal> {
        let queue = &self.pools[offer.pool].queues[offer.class];
        let own_backlog = queue.backlog_per_weight(offer.workspace);
        let longest = queue.newest_of_longest();
        let has_larger_backlog = longest.is_some_and(|(workspace, _)| {
            let excess = queue.backlog_per_weight(workspace)
                - own_backlog.min(queue.backlog_per_weight(workspace));
            workspace != offer.workspace && excess > crate::class_queue::FINISH_TAG_SCALE
        });
        if has_larger_backlog {
            return self.evict_newest(now, offer.pool, offer.class);
        }
        Err(self.refusal(now, offer, RefusalReason::QueueFull))
    }

    /// Evicts the newest request of the workspace with the largest backlog.
    fn evict_newest(
        &mut self,
        now: Instant,
        pool: PoolKey,
        class: ClassKey,
    ) -> Result<(), Refusal> {
        if let Some((_, item)) = self.pools[pool].queues[class].newest_of_longest() {
            self.refuse_waiting(now, item.ticket, RefusalReason::Displaced);
        }
        Ok(())
    }

    fn admit(&mut self, now: Instant, offer: Offer, cost: u32, service: Duration) -> Ticket {
        let class = &self.classes[offer.class].spec;
        let dispatch_deadline = now + class.deadline().saturating_sub(service);
        let (budget, burst) = (class.retry_budget_permille, self.settings.retry_burst);
        let hedge_permille = self.settings.hedge_permille;
        let ticket = self.requests.insert(Request {
            offer,
            cost,
            arrived: now,
            dispatch_deadline,
            phase: Phase::Waiting,
            attempts: 0,
            failed_connects: 0,
            tried: Vec::new(),
            version: None,
            preemption: Preemption::Pausable,
            reservation: Reservation::None,
            other_attempt: None,
            is_hedge: false,
        });
        let weight = self.workspaces[offer.workspace].spec.weight;
        let pool = &mut self.pools[offer.pool];
        pool.waiting += 1;
        let queue = pool.queue(offer.class);
        queue.push_back(offer.workspace, weight, QueuedRequest { ticket, cost });
        queue.last_arrival = Some(now);
        queue.retries.earn(budget, burst);
        queue.hedging.earn(hedge_permille);
        self.dispatch_deadlines.insert((dispatch_deadline, ticket));
        ticket
    }
}

fn permille(value: u32) -> f64 {
    f64::from(value) / f64::from(WHOLE_PERMILLE)
}
