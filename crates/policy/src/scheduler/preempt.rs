//! Pausing lower streams for urgent requests, and second attempts for slow ones.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{Action, Scheduler};
use crate::{
    keys::{BackendKey, ClassKey, PoolKey, Ticket},
    pool::{Contender, Urgency},
    request::{Phase, Repeat, Request, Room, Standing},
    spec::{Hedge, Pausing},
};

/// Requests that one router may send to a server beyond its limit.
const OVERDRAFT_SLOTS: u32 = 1;
/// A request is late after this part of its first-token target.
const LATE_PART: f64 = 0.4;
/// A request without a token for this time after it was sent waits inside the engine.
const STUCK: Duration = Duration::from_millis(100);
const HEDGE_PART: f64 = 0.5;

impl Scheduler {
    /// Pauses one stream of the lowest class for the most urgent pressing request.
    pub(super) fn preempt_next(&mut self, now: Instant, pool: PoolKey) -> bool {
        if self.pools[pool].waiting == 0 || self.pools[pool].spec.pausing == Pausing::Unsupported {
            return false;
        }
        let contenders = self.contenders(now, pool);
        contenders.iter().any(|it| self.preempt_for(now, pool, &contenders, it))
            || contenders.first().is_some_and(|it| self.overdraw(now, pool, &contenders, it))
    }

    fn preempt_for(
        &mut self,
        now: Instant,
        pool: PoolKey,
        contenders: &[Contender],
        it: &Contender,
    ) -> bool {
        if it.urgency != Urgency::Pressing {
            return false;
        }
        let Some(ticket) = self.waiting_head(pool, it.class) else { return false };
        let Some((victim, backend)) = self.victim(now, pool, ticket) else { return false };
        self.pause(victim, backend);
        let cost = self.dispatch(now, ticket, backend, Standing::Pausable);
        self.pools[pool].book(contenders, it.class, cost);
        true
    }

    /// Sends a late request of the most urgent class beyond this router's limit.
    ///
    /// The engine admits it by its priority as soon as a stream of any router ends there.
    fn overdraw(
        &mut self,
        now: Instant,
        pool: PoolKey,
        contenders: &[Contender],
        it: &Contender,
    ) -> bool {
        let is_top = self.order.first() == Some(&it.class) && self.order.len() > 1;
        // A class that is due by its share waits for a slot, so the limit has to hold.
        let turns = self.pools[pool].turns(contenders);
        let is_next = turns.first().is_some_and(|(first, _)| first.class == it.class);
        if !is_top || !is_next {
            return false;
        }
        let Some(ticket) = self.waiting_head(pool, it.class) else { return false };
        if !self.is_late(now, ticket) {
            return false;
        }
        let hosts = self.hosts(now, &self.requests[ticket]);
        let open = hosts.into_iter().filter(|it| self.may_overdraw(now, *it));
        let open: Vec<_> = open.collect();
        if open.is_empty() {
            return false;
        }
        // A random one, because routers that all take the least loaded one meet there.
        let backend = open[self.rng.random_range(0..open.len())];
        let cost = self.dispatch(now, ticket, backend, Standing::Pausable);
        self.pools[pool].book(contenders, it.class, cost);
        true
    }

    fn may_overdraw(&self, now: Instant, backend: BackendKey) -> bool {
        let backend = &self.backends[backend];
        backend.in_flight < backend.limit(now, &self.settings) + OVERDRAFT_SLOTS
    }

    /// Whether most of the time to the request's first-token target has passed.
    fn is_late(&self, now: Instant, ticket: Ticket) -> bool {
        let request = &self.requests[ticket];
        let target = self.classes[request.offer.class].spec.first_token_target();
        now.saturating_duration_since(request.arrived) >= target.mul_f64(LATE_PART)
    }

    /// Pauses a lower stream at the server of each late request that waits inside it.
    pub(super) fn make_room(&mut self, now: Instant, pool: PoolKey) {
        let Some(urgent) = self.order.first().copied() else { return };
        let can_pause = self.pools[pool].spec.pausing == Pausing::Supported;
        let Some(lane) = self.pools[pool].lanes.get(urgent).filter(|_| can_pause) else { return };
        let waits = |it: &Ticket| {
            let request = &self.requests[*it];
            let stuck = request.run().is_some_and(|run| run.tokens == 0 && now >= run.sent + STUCK);
            stuck && request.room == Room::NotMade && self.is_late(now, *it)
        };
        let late: Vec<_> = lane.running.iter().copied().filter(waits).collect();
        late.into_iter().for_each(|it| self.make_room_for(now, pool, it));
    }

    fn make_room_for(&mut self, now: Instant, pool: PoolKey, ticket: Ticket) {
        let Some(run) = self.requests[ticket].run() else { return };
        let hosts = self.hosts(now, &self.requests[ticket]);
        let here: Vec<_> = hosts.into_iter().filter(|it| *it == run.backend).collect();
        let Some((victim, backend)) = self.victim_on(now, pool, ticket, &here) else { return };
        self.pause(victim, backend);
        self.requests[ticket].room = Room::Reserved;
        self.backends[backend].reserved += 1;
    }

    /// The stream to pause: of the lowest class that holds a slot, the one with most to come.
    ///
    /// If none of that class can be paused now, none is: a higher class does not make way for it.
    fn victim(&self, now: Instant, pool: PoolKey, ticket: Ticket) -> Option<(Ticket, BackendKey)> {
        let hosts = self.hosts(now, &self.requests[ticket]);
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
            self.pools[pool].lanes.keys().map(|it| (self.priority(it), it)).collect();
        lower.retain(|it| it.0 < priority);
        lower.sort();
        let lanes = &self.pools[pool].lanes;
        let lowest = lower.into_iter().find(|it| self.holds_slot(&lanes[it.1].running, hosts))?;
        // Estimates of the remaining time may be wrong, so a late request does not wait for it.
        let is_late = self.is_late(now, ticket);
        let min = if is_late { Duration::ZERO } else { self.settings.pause_min_remaining };
        self.longest_running(pool, lowest.1, hosts, min)
    }

    fn priority(&self, class: ClassKey) -> u8 {
        self.classes[class].spec.priority
    }

    /// The servers on which the request may run, if a slot there were free.
    fn hosts(&self, now: Instant, request: &Request) -> Vec<BackendKey> {
        let members = &self.pools[request.offer.pool].members;
        let only = self.allowed_sites(now, request);
        let suspect_hosts = self.suspect_hosts(now, request);
        let wanted = self.wanted(now, request, only.as_deref(), &suspect_hosts);
        let choice = self.choice(now, request.offer.pool);
        let hosts = members.iter().copied().filter(|it| choice.admits(*it, &wanted));
        hosts.filter(|it| choice.is_good_host(*it)).collect()
    }

    /// Whether a stream that its class's share does not protect runs on one of the servers.
    ///
    /// Before its first token a stream may wait inside the engine, so its pause frees no slot.
    fn holds_slot(&self, running: &[Ticket], hosts: &[BackendKey]) -> bool {
        let requests = running.iter().map(|it| &self.requests[*it]);
        let mut open = requests.filter(|it| it.standing == Standing::Pausable);
        open.any(|it| it.run().is_some_and(|run| run.tokens > 0 && hosts.contains(&run.backend)))
    }

    fn longest_running(
        &self,
        pool: PoolKey,
        class: ClassKey,
        hosts: &[BackendKey],
        min_remaining: Duration,
    ) -> Option<(Ticket, BackendKey)> {
        let running = self.pools[pool].lanes[class].running.iter().copied();
        let pausable = running.filter_map(|ticket| {
            let request = &self.requests[ticket];
            let run = request.run()?;
            let worth = self.service_time(pool, request.remaining_tokens()) >= min_remaining;
            let allowed = request.standing == Standing::Pausable && request.twin.is_none();
            let open = allowed && worth && run.tokens > 0 && hosts.contains(&run.backend);
            open.then_some((request.remaining_tokens(), ticket, run.backend))
        });
        pausable.max().map(|(_, ticket, backend)| (ticket, backend))
    }

    fn pause(&mut self, ticket: Ticket, backend: BackendKey) {
        let request = &mut self.requests[ticket];
        let Phase::Running(run) = request.phase else { return };
        request.phase = Phase::Paused(run);
        let offer = request.offer;
        let lane = self.pools[offer.pool].lane(offer.class);
        lane.running.retain(|it| *it != ticket);
        lane.paused.push_back(ticket);
        self.leave_site(offer.request_hash, backend);
        self.actions.push(Action::Pause { ticket, backend });
    }

    pub(super) fn plan_hedge(&mut self, now: Instant, ticket: Ticket) {
        let request = &self.requests[ticket];
        let spec = &self.classes[request.offer.class].spec;
        let may_repeat = request.offer.repeat == Repeat::Idempotent;
        if spec.hedge == Hedge::On && may_repeat {
            let at = now + spec.first_token_target().mul_f64(HEDGE_PART);
            self.hedges.insert((at, ticket));
        }
    }

    pub(super) fn hedge(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.hedges.first().copied()
            && at <= now
        {
            self.hedges.pop_first();
            self.hedge_one(now, ticket);
        }
    }

    fn hedge_one(&mut self, now: Instant, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let Phase::Running(run) = request.phase else { return };
        if run.tokens > 0 || request.twin.is_some() {
            return;
        }
        request.note_tried(run.backend);
        let (offer, cost) = (request.offer, request.cost);
        let ceiling = self.ceiling(offer.pool, offer.class, cost);
        let picked = self.pick(now, ticket, ceiling);
        let Some(backend) = picked.filter(|it| *it != run.backend) else { return };
        if !self.pools[offer.pool].lane(offer.class).retries.spend() {
            return;
        }
        let request = &self.requests[ticket];
        let twin = Request { twin: Some(ticket), ..request.second_attempt() };
        let hedge = self.requests.insert(twin);
        self.requests[ticket].twin = Some(hedge);
        self.start(now, hedge, backend, Standing::Protected);
        self.actions.push(Action::Hedge { ticket, hedge, backend });
    }
}
