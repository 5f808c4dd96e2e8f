//! Dispatch: which waiting or paused request takes the next free slot.

use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::{
    choice::{Choice, Wanted},
    keys::{BackendKey, ClassKey, PoolKey, Ticket},
    pace::Ceiling,
    partition::Side,
    pool::{Contender, Pool, Turn, Urgency},
    quarantine::{CRASH_LIMIT, Isolation},
    request::{Phase, RefusalReason, Request, Standing},
};

/// A request is pressing once less than this part of its first-token target is left.
const PRESSING_PART: f64 = 0.75;

/// The next request of a class.
#[derive(Debug, Clone, Copy)]
pub(super) enum Head {
    Paused(Ticket),
    Waiting(Ticket),
}

impl Scheduler {
    /// Everything that is to be done now; the crate's documentation says when to call it.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.release_delayed(now);
        self.expire(now);
        self.watch(now);
        let pools: Vec<_> = self.pools.keys().collect();
        for pool in pools {
            self.refuse_unserved(now, pool);
            while self.dispatch_next(now, pool) {}
            while self.preempt_next(now, pool) {}
            self.make_room(now, pool);
            self.note_saturation(now, pool);
        }
        self.hedge(now);
        std::mem::take(&mut self.actions)
    }

    fn release_delayed(&mut self, now: Instant) {
        while let Some((until, ticket)) = self.delayed.first().copied()
            && until <= now
        {
            self.delayed.pop_first();
            self.requeue(ticket);
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.give_ups.first().copied()
            && at <= now
        {
            self.refuse_waiting(now, ticket, RefusalReason::DeadlineUnreachable);
        }
    }

    /// Refuses what waits for a row that is gone, or for a pool without servers for too long.
    fn refuse_unserved(&mut self, now: Instant, key: PoolKey) {
        let usable = self.has_usable_backend(key);
        let grace = self.settings.no_backend_grace;
        let pool = &mut self.pools[key];
        let since = pool.without_backend_since.get_or_insert(now);
        let lost = now.saturating_duration_since(*since) >= grace;
        if usable {
            pool.without_backend_since = None;
        }
        let pool_gone = pool.retired;
        if pool.waiting == 0 {
            return;
        }
        let classes: Vec<_> = self.pools[key].lanes.keys().collect();
        for class in classes {
            if pool_gone || self.classes[class].retired {
                self.refuse_lane(now, key, class, RefusalReason::Unknown);
            } else if !usable && lost {
                self.refuse_lane(now, key, class, RefusalReason::NoBackend);
            }
        }
    }

    fn note_saturation(&mut self, now: Instant, pool: PoolKey) {
        let pool = &mut self.pools[pool];
        pool.saturated_since = (pool.waiting > 0).then(|| pool.saturated_since.unwrap_or(now));
    }

    fn refuse_lane(&mut self, now: Instant, pool: PoolKey, class: ClassKey, why: RefusalReason) {
        let tickets: Vec<_> = self.pools[pool].lanes[class].tickets().collect();
        for ticket in tickets {
            self.refuse_waiting(now, ticket, why);
        }
    }

    /// Starts or resumes one request; false if nothing can be placed.
    fn dispatch_next(&mut self, now: Instant, pool: PoolKey) -> bool {
        if !self.has_free_slot(now, pool) {
            return false;
        }
        let contenders = self.contenders(now, pool);
        let turns = self.pools[pool].turns(&contenders);
        for (contender, turn) in turns {
            if self.try_place(now, pool, &contenders, contender, turn) {
                return true;
            }
        }
        false
    }

    fn has_free_slot(&self, now: Instant, pool: PoolKey) -> bool {
        let mut members = self.pools[pool].members.iter();
        members.any(|it| self.backends[*it].free(now, &self.settings) > 0)
    }

    /// The classes with work in the pool, most urgent first.
    pub(super) fn contenders(&mut self, now: Instant, pool: PoolKey) -> Vec<Contender> {
        let order = self.order.clone();
        order.into_iter().filter_map(|it| self.contender(now, pool, it)).collect()
    }

    fn contender(&mut self, now: Instant, pool: PoolKey, class: ClassKey) -> Option<Contender> {
        let waiting = self.waiting_head(pool, class);
        let paused = self.pools[pool].lanes.get(class)?.paused.front().copied();
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

    /// The class's next waiting request whose workspace is below its limit.
    pub(super) fn waiting_head(&mut self, pool: PoolKey, class: ClassKey) -> Option<Ticket> {
        let lane = self.pools[pool].lanes.get_mut(class)?;
        while let Some((key, item)) = lane.peek() {
            let workspace = &self.workspaces[key];
            let limit = workspace.spec.in_flight_limit.div_ceil(self.settings.routers.max(1));
            if workspace.in_flight < limit.max(1) {
                return Some(item.ticket);
            }
            lane.park(key);
        }
        None
    }

    pub(super) fn urgency(&self, now: Instant, ticket: Ticket) -> Urgency {
        let request = &self.requests[ticket];
        let spec = &self.classes[request.offer.class].spec;
        let waited = now.saturating_duration_since(request.arrived);
        let needed = waited + self.first_token_time(request.offer.pool);
        let slack = spec.first_token_target().saturating_sub(needed);
        let is_pressing = slack < spec.first_token_target().mul_f64(PRESSING_PART);
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
        let standing = match turn {
            Turn::Guaranteed => Standing::Protected,
            Turn::Priority => Standing::Pausable,
        };
        let cost = match head {
            Head::Paused(ticket) => self.resume(now, ticket, standing),
            Head::Waiting(ticket) => self.dispatch(now, ticket, backend, standing),
        };
        self.pools[pool].book(contenders, contender.class, cost);
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
        let paused = self.pools[pool].lanes[class].paused.iter();
        for ticket in paused {
            let run = self.requests[*ticket].run()?;
            if self.backends[run.backend].free_within(now, &self.settings, ceiling) > 0 {
                return Some((Head::Paused(*ticket), run.backend));
            }
        }
        let ticket = self.waiting_head(pool, class)?;
        let backend = self.pick(now, ticket, ceiling)?;
        Some((Head::Waiting(ticket), backend))
    }

    /// Sends a waiting request, whose lane shows it as its head.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        ticket: Ticket,
        backend: BackendKey,
        standing: Standing,
    ) -> u32 {
        let offer = self.requests[ticket].offer;
        let pool = &mut self.pools[offer.pool];
        let item = pool.lane(offer.class).pop();
        debug_assert_eq!(item.map(|it| it.ticket), Some(ticket));
        pool.waiting -= 1;
        self.start(now, ticket, backend, standing);
        self.plan_hedge(now, ticket);
        self.actions.push(Action::Dispatch { ticket, backend });
        self.requests[ticket].cost
    }

    fn resume(&mut self, now: Instant, ticket: Ticket, standing: Standing) -> u32 {
        let request = &mut self.requests[ticket];
        let remaining = request.remaining_tokens();
        let Phase::Paused(mut run) = request.phase else { return remaining };
        run.last = now;
        request.phase = Phase::Running(run);
        request.standing = standing;
        let offer = request.offer;
        let lane = self.pools[offer.pool].lane(offer.class);
        lane.paused.retain(|it| *it != ticket);
        lane.running.push(ticket);
        lane.dispatched.add(now, u64::from(remaining));
        self.enter_site(offer.request_hash, run.backend);
        self.actions.push(Action::Resume { ticket, backend: run.backend });
        remaining
    }

    /// The best server with a free slot for the request.
    pub(super) fn pick(
        &mut self,
        now: Instant,
        ticket: Ticket,
        ceiling: Ceiling,
    ) -> Option<BackendKey> {
        let request = &self.requests[ticket];
        let only = self.allowed_sites(now, request);
        let suspect_hosts = self.suspect_hosts(now, request);
        let wanted = self.wanted(now, request, only.as_deref(), &suspect_hosts);
        let wanted = Wanted { ceiling, ..wanted };
        let (pool, class) = (request.offer.pool, request.offer.class);
        let own_side = self.own_side(pool, class);
        let side = self.side(&self.pools[pool], class);
        let prompt = self.prompts.get(ticket);
        let wanted = Wanted { prompt, own_side: &own_side, side, ..wanted };
        let (backends, settings, sent) = (&self.backends, &self.settings, &self.sent);
        let members = &self.pools[request.offer.pool].members;
        let choice = Choice { backends, members, settings, sent, now };
        choice.pick(&wanted, &mut self.rng)
    }

    /// The servers that the class prefers; none if all classes of the pool have one target.
    pub(super) fn own_side(&self, pool: PoolKey, class: ClassKey) -> Vec<BackendKey> {
        let pool = &self.pools[pool];
        let Some(side) = self.side(pool, class) else { return Vec::new() };
        pool.partition.side(&self.backends, &pool.members, side)
    }

    /// Whether the class has the strictest target between tokens of those with work in the pool.
    pub(super) fn side(&self, pool: &Pool, class: ClassKey) -> Option<Side> {
        let target = |it: ClassKey| self.classes[it].spec.between_token_target_ms;
        let used = pool.lanes.keys().filter(|it| !self.classes[*it].retired);
        let (least, most) = used
            .fold((u64::MAX, 0), |(least, most), it| (least.min(target(it)), most.max(target(it))));
        if least >= most {
            return None;
        }
        Some(if target(class) <= least { Side::Strict } else { Side::Lenient })
    }

    /// The choice among all servers of a pool.
    pub(super) fn choice(&self, now: Instant, pool: PoolKey) -> Choice<'_> {
        let members = &self.pools[pool].members;
        let (backends, settings, sent) = (&self.backends, &self.settings, &self.sent);
        Choice { backends, members, settings, sent, now }
    }

    pub(super) fn wanted<'a>(
        &self,
        now: Instant,
        request: &'a Request,
        only: Option<&'a [BackendKey]>,
        suspect_hosts: &'a [BackendKey],
    ) -> Wanted<'a> {
        let offer = &request.offer;
        Wanted {
            prefix_hash: offer.prefix_hash,
            prompt: None,
            own_side: &[],
            side: None,
            priority: self.classes[offer.class].spec.priority,
            tried: &request.tried,
            only,
            isolation: self.quarantine.isolation(now, offer.request_hash),
            suspect_hosts,
            ceiling: Ceiling::Full,
            gap_limit_ms: self.classes[offer.class].spec.between_token_target_ms as f64,
        }
    }

    /// The servers on which other suspects run; only asked for a suspect.
    pub(super) fn suspect_hosts(&self, now: Instant, request: &Request) -> Vec<BackendKey> {
        let own = request.offer.request_hash;
        if self.quarantine.isolation(now, own) == Isolation::None {
            return Vec::new();
        }
        let others = self.quarantine.suspects(now).filter(|it| *it != own);
        let sites = others.filter_map(|it| self.sites.get(&it)).flatten();
        sites.map(|it| it.0).collect()
    }

    /// The servers that an unproven fingerprint may use, once it runs on as many as may fall.
    pub(super) fn allowed_sites(&self, now: Instant, request: &Request) -> Option<Vec<BackendKey>> {
        let hash = request.offer.request_hash;
        if self.quarantine.is_proven(now, hash) {
            return None;
        }
        let rest = CRASH_LIMIT.saturating_sub(self.quarantine.crashes(now, hash));
        let sites = self.sites.get(&hash).map_or(&[][..], Vec::as_slice);
        (sites.len() >= rest).then(|| sites.iter().map(|it| it.0).collect())
    }
}
