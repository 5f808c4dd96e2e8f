//! State transitions of a request, with the counters and queues that change with each of them.

use std::time::{Duration, Instant};

use super::{Action, Scheduler};
use crate::{
    class_queue::QueuedRequest,
    keys::{BackendKey, Ticket},
    request::{Attempt, Phase, PlacementEstimate, Preemption, Refusal, RefusalReason, Reservation},
};

impl Scheduler {
    /// Removes a waiting request and refuses it.
    pub(super) fn refuse_waiting(&mut self, now: Instant, ticket: Ticket, reason: RefusalReason) {
        let Some(request) = self.requests.get(ticket) else { return };
        let offer = request.offer;
        self.remove_from_queue(ticket);
        let refusal = self.refusal(now, &offer, reason);
        self.close_refused(ticket, refusal);
    }

    pub(super) fn close_refused(&mut self, ticket: Ticket, refusal: Refusal) {
        self.requests.remove(ticket);
        self.actions.push(Action::Refuse { ticket, refusal });
    }

    /// Removes a waiting or delayed request from its queue.
    pub(super) fn remove_from_queue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else { return };
        self.dispatch_deadlines.remove(&(request.dispatch_deadline, ticket));
        let offer = request.offer;
        match request.phase {
            Phase::Delayed { until } => {
                self.delayed.remove(&(until, ticket));
            }
            Phase::Waiting => {
                let pool = &mut self.pools[offer.pool];
                if pool.queue(offer.class).remove(offer.workspace, ticket) {
                    pool.waiting -= 1;
                }
            }
            Phase::Running(_) | Phase::Paused(_) => {}
        }
    }

    /// Puts a delayed request at the head of its workspace's queue, since its retry delay has
    /// passed.
    pub(super) fn requeue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.phase = Phase::Waiting;
        let (offer, cost) = (request.offer, request.cost);
        let weight = self.workspaces[offer.workspace].spec.weight;
        let pool = &mut self.pools[offer.pool];
        pool.waiting += 1;
        pool.queue(offer.class).push_front(offer.workspace, weight, QueuedRequest { ticket, cost });
    }

    /// Starts an attempt of a request that is not queued.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        ticket: Ticket,
        backend: BackendKey,
        preemption: Preemption,
    ) {
        let (incarnation, version) =
            (self.backends[backend].incarnation, self.backends[backend].version);
        if let Some(limit) = &mut self.backends[backend].limit {
            limit.take(now);
        }
        self.backends[backend].kept.take();
        self.count_for_trials(self.requests[ticket].offer.pool, backend);
        let estimate = self.record_prefill(now, ticket, backend);
        let request = &mut self.requests[ticket];
        let attempt = Attempt {
            backend,
            incarnation,
            version,
            sent_at: now,
            tokens: 0,
            first_token_at: None,
            is_proven: false,
            last_token_at: now,
            longest_pause: Duration::ZERO,
            expected_turns: self.backends[backend].expected_turns(now),
            prefill_tokens: estimate.map_or(0, |it| it.prefill_tokens),
            estimate,
        };
        request.phase = Phase::Running(attempt);
        request.preemption = preemption;
        request.attempts += 1;
        request.reservation = Reservation::None;
        let (offer, cost) = (request.offer, request.cost);
        self.dispatch_deadlines.remove(&(request.dispatch_deadline, ticket));
        self.occupy_slot(offer.request_hash, backend);
        self.workspaces[offer.workspace].in_flight += 1;
        let queue = self.pools[offer.pool].queue(offer.class);
        queue.running.push(ticket);
        queue.dispatch_rate.add(now, u64::from(cost));
    }

    /// Records the prefill that the request causes at the server, and returns what was known before;
    /// `None` if the prompt is unknown.
    fn record_prefill(
        &mut self,
        now: Instant,
        ticket: Ticket,
        backend: BackendKey,
    ) -> Option<PlacementEstimate> {
        let prompt = self.prompts.get(ticket)?;
        let request = &self.requests[ticket];
        let offer = request.offer;
        let own_side = self.own_side(now, offer.pool, offer.class);
        let selector = self.selector(now, offer.pool);
        let homes = selector.homes(prompt, &own_side);
        let uncached = selector.uncached_tokens(backend, prompt, &homes).max(1);
        let server = &self.backends[backend];
        let (other_requests, other_tokens) = server.other_routers_load(now);
        let estimate = PlacementEstimate {
            home_rank: homes.iter().position(|it| *it == backend).map(|it| it + 1),
            prefill_tokens: uncached,
            queued_tokens: server.prefill_queue.tokens() + other_tokens as u64,
            server_requests: server.in_flight + other_requests as u32,
        };
        self.recent_prefixes.record(now, prompt, backend);
        let priority = self.classes[offer.class].spec.priority;
        self.backends[backend].prefill_queue.add(priority, uncached);
        Some(estimate)
    }

    /// Removes the request's prefill from the server's queue, after it finished or the attempt
    /// ended.
    pub(super) fn finish_prefill(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let (Phase::Running(attempt) | Phase::Paused(attempt)) = &mut request.phase else { return };
        let prefill_tokens = std::mem::take(&mut attempt.prefill_tokens);
        if prefill_tokens > 0 {
            let priority = self.classes[request.offer.class].spec.priority;
            self.backends[attempt.backend].prefill_queue.remove(priority, prefill_tokens);
        }
    }

    /// Ends the attempt of a running or paused request, which itself remains open.
    pub(super) fn end_attempt(&mut self, ticket: Ticket) -> Option<Attempt> {
        let request = self.requests.get(ticket)?;
        let attempt = request.attempt()?;
        let is_running = matches!(request.phase, Phase::Running(_));
        let offer = request.offer;
        self.release_reservation(ticket);
        self.finish_prefill(ticket);
        self.hedges.retain(|it| it.1 != ticket);
        let queue = self.pools[offer.pool].queue(offer.class);
        queue.running.retain(|it| *it != ticket);
        queue.paused.retain(|it| *it != ticket);
        if is_running {
            self.free_slot(offer.request_hash, attempt.backend);
        }
        self.workspaces[offer.workspace].in_flight -= 1;
        for pool in self.pools.values_mut() {
            pool.queues.values_mut().for_each(|it| it.unpark(offer.workspace));
        }
        Some(attempt)
    }

    /// Releases the slot that was reserved until the request's first token.
    pub(super) fn release_reservation(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let Some(attempt) = request.attempt().filter(|_| request.reservation == Reservation::Held)
        else {
            return;
        };
        request.reservation = Reservation::Released;
        self.backends[attempt.backend].reserved -= 1;
    }

    /// Counts a request as in flight at a server.
    pub(super) fn occupy_slot(&mut self, hash: u64, key: BackendKey) {
        self.backends[key].in_flight += 1;
        let hosts = self.fingerprint_hosts.entry(hash).or_default();
        match hosts.iter_mut().find(|it| it.0 == key) {
            Some(host) => host.1 += 1,
            None => hosts.push((key, 1)),
        }
    }

    /// Reverses [`Self::occupy_slot`].
    pub(super) fn free_slot(&mut self, hash: u64, key: BackendKey) {
        self.backends[key].in_flight -= 1;
        let Some(hosts) = self.fingerprint_hosts.get_mut(&hash) else { return };
        if let Some(host) = hosts.iter_mut().find(|it| it.0 == key) {
            host.1 -= 1;
        }
        hosts.retain(|it| it.1 > 0);
        if hosts.is_empty() {
            self.fingerprint_hosts.remove(&hash);
        }
    }
}
