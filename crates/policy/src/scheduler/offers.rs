//! Admission: a request that can't be served in time is refused at its offer.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::{
    backend::Health,
    keys::{ClassKey, PoolKey, Ticket},
    lane::Waiting,
    prompt::Prompt,
    request::{Offer, Phase, Refusal, RefusalReason, Request, Room, Standing},
    spec::{Admission, WHOLE_PERMILLE},
};

const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// An answer rarely exceeds this multiple of its expected length.
const LENGTH_MARGIN: u32 = 3;
/// A wait is expected to stay within the target if it is this part of it.
const TARGET_MARGIN: u32 = 2;
/// The margin takes at most this part of the deadline.
const MARGIN_DEADLINE_DIVISOR: u32 = 3;
/// At least this part of the deadline is left for waiting.
const WAIT_DEADLINE_DIVISOR: u32 = 3;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The drain rate counts once requests have waited for this time; before, it shows the demand.
const SATURATION: Duration = Duration::from_secs(3);
/// Tokens a second below which a rate is taken to be this one.
const MIN_RATE: f64 = 0.1;
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

impl Scheduler {
    /// Admits a request to its queue, or refuses it at once.
    ///
    /// # Errors
    /// A [`Refusal`] with the reason and the time after which it is worth to come back.
    pub fn offer(&mut self, now: Instant, offer: Offer) -> Result<Ticket, Refusal> {
        self.check_known(&offer)?;
        self.check_quarantine(now, &offer)?;
        self.check_backends(&offer)?;
        let cost = self.expected_tokens(&offer);
        let service = self.service_with_margin(&offer, cost);
        self.check_deadline(now, &offer, cost, service)?;
        self.make_place(now, &offer)?;
        Ok(self.admit(now, offer, cost, service))
    }

    /// As [`Scheduler::offer`], for a request whose prompt is known by its parts.
    ///
    /// # Errors
    /// As for [`Scheduler::offer`].
    pub fn offer_prompt(
        &mut self,
        now: Instant,
        offer: Offer,
        prompt: Prompt,
    ) -> Result<Ticket, Refusal> {
        let ticket = self.offer(now, offer)?;
        if !prompt.parts.is_empty() {
            self.prompts.insert(ticket, prompt);
        }
        Ok(ticket)
    }

    /// Time after which the class's waiting work in the pool has drained, at the measured rate.
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
        Refusal { reason, retry_after: self.retry_after(now, offer.class, offer.pool) }
    }

    /// Time from dispatch to the last token, by the pool's present speed.
    pub(super) fn service_time(&self, pool: PoolKey, tokens: u32) -> Duration {
        let gap_ms = self.pools[pool].median_gap_ms.unwrap_or(0.0);
        Duration::from_secs_f64(gap_ms * f64::from(tokens) / 1e3)
    }

    /// The time to reserve before the deadline, because an answer may be longer than its estimate.
    ///
    /// Nothing is reserved for an answer whose length is not known, and never so much that a
    /// request could not wait at all: that it may be late is no reason while a server is free.
    fn service_with_margin(&self, offer: &Offer, cost: u32) -> Duration {
        let measured = self.pools[offer.pool].lanes.get(offer.class);
        let measured = measured.and_then(|it| it.answer_tokens.value());
        if measured.is_none() && offer.max_tokens.is_none() {
            return Duration::ZERO;
        }
        let service = self.service_time(offer.pool, cost);
        let deadline = self.classes[offer.class].spec.deadline();
        let most = deadline / MARGIN_DEADLINE_DIVISOR;
        let reserved = service.max(most.min(service * LENGTH_MARGIN));
        reserved.min(deadline - deadline / WAIT_DEADLINE_DIVISOR)
    }

    fn check_known(&self, offer: &Offer) -> Result<(), Refusal> {
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

    fn check_backends(&self, offer: &Offer) -> Result<(), Refusal> {
        if self.has_usable_backend(offer.pool) {
            return Ok(());
        }
        Err(Refusal { reason: RefusalReason::NoBackend, retry_after: MIN_RETRY_AFTER })
    }

    pub(super) fn has_usable_backend(&self, pool: PoolKey) -> bool {
        let mut members = self.pools[pool].members.iter();
        members.any(|it| matches!(self.backends[*it].health, Health::Up | Health::Suspect))
    }

    fn expected_tokens(&mut self, offer: &Offer) -> u32 {
        let lane = self.pools[offer.pool].lane(offer.class);
        let mean = lane.answer_tokens.value().map_or(DEFAULT_ANSWER_TOKENS, |it| it as u32);
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
        let longest = match spec.admission {
            Admission::UntilDeadline => by_deadline,
            Admission::WithinTarget => by_deadline.min(spec.first_token_target() / TARGET_MARGIN),
        };
        if wait <= longest {
            return Ok(());
        }
        let retry_after = (wait - longest).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Err(Refusal { reason: RefusalReason::DeadlineUnreachable, retry_after })
    }

    /// Waiting and paused tokens of the class and of more urgent ones.
    pub(super) fn tokens_ahead(&self, class: ClassKey, pool: PoolKey) -> u64 {
        let priority = self.classes[class].spec.priority;
        let lanes = self.pools[pool].lanes.iter();
        let ahead = lanes.filter(|(key, _)| self.classes[*key].spec.priority >= priority);
        ahead.map(|(_, lane)| lane.waiting_tokens).sum()
    }

    /// Time in which the class's waiting work and `tokens` more are served; `None` before anything
    /// was measured.
    ///
    /// The class is served by its guaranteed share, or by what more urgent classes and the
    /// guaranteed shares of waiting lower ones leave, whichever is sooner.
    pub(super) fn drain_time(
        &mut self,
        now: Instant,
        class: ClassKey,
        pool: PoolKey,
        tokens: u32,
    ) -> Option<Duration> {
        let capacity = self.tokens_per_second(now, pool)?.max(1.0);
        let spec = &self.classes[class].spec;
        let (priority, share) = (spec.priority, permille(spec.share_permille));
        let (mut rest, mut higher_tokens) = (capacity, 0);
        for (key, lane) in &mut self.pools[pool].lanes {
            let other = &self.classes[key].spec;
            if other.priority > priority {
                rest -= lane.dispatched.per_second(now).unwrap_or(0.0);
                higher_tokens += lane.waiting_tokens;
            } else if other.priority < priority && lane.waiting > 0 {
                rest -= capacity * permille(other.share_permille);
            }
        }
        let own_tokens = self.pools[pool].lane(class).waiting_tokens + u64::from(tokens);
        let by_share = own_tokens as f64 / (capacity * share).max(MIN_RATE);
        let by_rest = higher_tokens as f64 / capacity + own_tokens as f64 / rest.max(MIN_RATE);
        Some(Duration::from_secs_f64(by_share.min(by_rest)))
    }

    /// The measured rate once requests have waited for a while, else what all slots would give.
    pub(super) fn tokens_per_second(&mut self, now: Instant, pool: PoolKey) -> Option<f64> {
        let since = self.pools[pool].saturated_since;
        let is_saturated = since.is_some_and(|it| now >= it + SATURATION);
        let drained = self.pools[pool].drained.per_second(now);
        if is_saturated && drained.is_some_and(|it| it > 0.0) {
            return drained;
        }
        let gap_ms = self.pools[pool].median_gap_ms?;
        let members = self.pools[pool].members.iter();
        // A router without a lease gets one soon, so each usable server counts for a slot.
        let usable = members.filter(|it| self.backends[**it].is_usable());
        let limits = usable.map(|it| self.backends[*it].limit(now, &self.settings).max(1));
        let slots: u32 = limits.sum();
        Some(f64::from(slots) * 1e3 / gap_ms.max(0.001))
    }

    /// Makes a place in the queue, at the cost of less urgent work before all else.
    fn make_place(&mut self, now: Instant, offer: &Offer) -> Result<(), Refusal> {
        let pool = &self.pools[offer.pool];
        let class_limit = self.classes[offer.class].spec.queue_limit;
        if pool.lanes[offer.class].waiting >= class_limit {
            return self.displace_peer(now, offer);
        }
        let has_own_place = pool.lanes[offer.class].waiting < self.places(offer.pool, offer.class);
        if pool.waiting < pool.spec.queue_limit || has_own_place {
            return Ok(());
        }
        match self.lowest_waiting_below(offer) {
            Some(class) => self.displace(now, offer.pool, class),
            None => self.displace_peer(now, offer),
        }
    }

    /// Places of the pool's queue that more urgent work does not take from the class.
    fn places(&self, pool: PoolKey, class: ClassKey) -> usize {
        let share_permille = self.classes[class].spec.share_permille as usize;
        let part = self.pools[pool].spec.queue_limit * share_permille;
        part.div_ceil(WHOLE_PERMILLE as usize)
    }

    fn lowest_waiting_below(&self, offer: &Offer) -> Option<ClassKey> {
        let priority = self.classes[offer.class].spec.priority;
        let lanes = self.pools[offer.pool].lanes.iter();
        let waiting = lanes.filter(|(key, lane)| lane.waiting > self.places(offer.pool, *key));
        let lower = waiting.map(|(key, _)| (self.classes[key].spec.priority, key));
        lower.filter(|it| it.0 < priority).min_by_key(|it| it.0).map(|it| it.1)
    }

    /// Takes the newest place of the workspace that waits with more than the one that asks.
    fn displace_peer(&mut self, now: Instant, offer: &Offer) -> Result<(), Refusal> {
        let lane = &self.pools[offer.pool].lanes[offer.class];
        let own = lane.backlog_per_weight(offer.workspace);
        let longest = lane.newest_of_longest();
        let outweighs = longest.is_some_and(|(workspace, _)| {
            let one =
                lane.backlog_per_weight(workspace) - own.min(lane.backlog_per_weight(workspace));
            workspace != offer.workspace && one > crate::lane::TAG_SCALE
        });
        if outweighs {
            return self.displace(now, offer.pool, offer.class);
        }
        Err(self.refusal(now, offer, RefusalReason::QueueFull))
    }

    fn displace(&mut self, now: Instant, pool: PoolKey, class: ClassKey) -> Result<(), Refusal> {
        if let Some((_, item)) = self.pools[pool].lanes[class].newest_of_longest() {
            self.refuse_waiting(now, item.ticket, RefusalReason::Displaced);
        }
        Ok(())
    }

    fn admit(&mut self, now: Instant, offer: Offer, cost: u32, service: Duration) -> Ticket {
        let class = &self.classes[offer.class].spec;
        let give_up_at = now + class.deadline().saturating_sub(service);
        let (budget, burst) = (class.retry_budget_permille, self.settings.retry_burst);
        let ticket = self.requests.insert(Request {
            offer,
            cost,
            arrived: now,
            give_up_at,
            phase: Phase::Waiting,
            attempts: 0,
            unreached: 0,
            tried: Vec::new(),
            standing: Standing::Pausable,
            room: Room::NotMade,
            twin: None,
        });
        let weight = self.workspaces[offer.workspace].spec.weight;
        let pool = &mut self.pools[offer.pool];
        pool.waiting += 1;
        let lane = pool.lane(offer.class);
        lane.push_back(offer.workspace, weight, Waiting { ticket, cost });
        lane.last_arrival = Some(now);
        lane.retries.earn(budget, burst);
        self.give_ups.insert((give_up_at, ticket));
        ticket
    }
}

fn permille(value: u32) -> f64 {
    f64::from(value) / f64::from(WHOLE_PERMILLE)
}
