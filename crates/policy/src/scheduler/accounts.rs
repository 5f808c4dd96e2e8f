//! The counts that a request moves as it waits, runs, pauses and ends, each in one place.

use std::time::Instant;

use super::{Action, Scheduler};
use crate::{
    keys::{BackendKey, Ticket},
    lane::Waiting,
    request::{Phase, Refusal, RefusalReason, Room, Run, Standing},
};

/// Engine time of one token in a batch of usual size.
const TOKEN_MS: f64 = 0.3;

impl Scheduler {
    /// Takes a waiting request out and answers its caller.
    pub(super) fn refuse_waiting(&mut self, now: Instant, ticket: Ticket, reason: RefusalReason) {
        let Some(request) = self.requests.get(ticket) else { return };
        let offer = request.offer;
        self.unqueue(ticket);
        let refusal = self.refusal(now, &offer, reason);
        self.close_refused(ticket, refusal);
    }

    pub(super) fn close_refused(&mut self, ticket: Ticket, refusal: Refusal) {
        self.requests.remove(ticket);
        self.actions.push(Action::Refuse { ticket, refusal });
    }

    /// Takes a waiting or delayed request out of its queue.
    pub(super) fn unqueue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else { return };
        self.give_ups.remove(&(request.give_up_at, ticket));
        let offer = request.offer;
        match request.phase {
            Phase::Delayed { until } => {
                self.delayed.remove(&(until, ticket));
            }
            Phase::Waiting => {
                let pool = &mut self.pools[offer.pool];
                if pool.lane(offer.class).remove(offer.workspace, ticket) {
                    pool.waiting -= 1;
                }
            }
            Phase::Running(_) | Phase::Paused(_) => {}
        }
    }

    /// Puts a delayed request at the head of its workspace's queue.
    pub(super) fn requeue(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.phase = Phase::Waiting;
        let (offer, cost) = (request.offer, request.cost);
        let weight = self.workspaces[offer.workspace].spec.weight;
        let pool = &mut self.pools[offer.pool];
        pool.waiting += 1;
        pool.lane(offer.class).push_front(offer.workspace, weight, Waiting { ticket, cost });
    }

    /// Starts an attempt of a request that is in no queue.
    pub(super) fn start(
        &mut self,
        now: Instant,
        ticket: Ticket,
        backend: BackendKey,
        standing: Standing,
    ) {
        let incarnation = self.backends[backend].incarnation;
        let unread_tokens = self.send_prompt(now, ticket, backend);
        let request = &mut self.requests[ticket];
        let run = Run { backend, incarnation, sent: now, tokens: 0, last: now, unread_tokens };
        request.phase = Phase::Running(run);
        request.standing = standing;
        request.attempts += 1;
        request.room = Room::NotMade;
        let (offer, cost) = (request.offer, request.cost);
        self.give_ups.remove(&(request.give_up_at, ticket));
        self.enter_site(offer.request_hash, backend);
        self.workspaces[offer.workspace].in_flight += 1;
        let lane = self.pools[offer.pool].lane(offer.class);
        lane.running.push(ticket);
        lane.dispatched.add(now, u64::from(cost));
    }

    /// Notes that the server reads the request's prompt; gives the tokens that it has to read.
    fn send_prompt(&mut self, now: Instant, ticket: Ticket, backend: BackendKey) -> u32 {
        let Some(prompt) = self.prompts.get(ticket) else { return 0 };
        let request = &self.requests[ticket];
        let (offer, cost) = (request.offer, request.cost);
        let own_side = self.own_side(offer.pool, offer.class);
        let choice = self.choice(now, offer.pool);
        let homes = choice.homes(prompt, &own_side);
        let unread = choice.unread_tokens(backend, prompt, &homes).max(1);
        self.sent.note(now, prompt, backend);
        if let Some(side) = self.side(&self.pools[offer.pool], offer.class) {
            let reading_ms = f64::from(unread) / self.settings.prefill_tokens_per_ms;
            let work_ms = reading_ms + f64::from(cost) * TOKEN_MS;
            self.pools[offer.pool].partition.add(now, side, work_ms);
        }
        let priority = self.classes[offer.class].spec.priority;
        self.backends[backend].unread.add(priority, unread);
        unread
    }

    /// Notes that the server has read the request's prompt, or will not.
    pub(super) fn prompt_read(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let (Phase::Running(run) | Phase::Paused(run)) = &mut request.phase else { return };
        let unread = std::mem::take(&mut run.unread_tokens);
        if unread > 0 {
            let priority = self.classes[request.offer.class].spec.priority;
            self.backends[run.backend].unread.remove(priority, unread);
        }
    }

    /// Ends the attempt of a running or paused request; the request itself stays.
    pub(super) fn release(&mut self, ticket: Ticket) -> Option<Run> {
        let request = self.requests.get(ticket)?;
        let run = request.run()?;
        let is_running = matches!(request.phase, Phase::Running(_));
        let offer = request.offer;
        self.use_room(ticket);
        self.prompt_read(ticket);
        self.hedges.retain(|it| it.1 != ticket);
        let lane = self.pools[offer.pool].lane(offer.class);
        lane.running.retain(|it| *it != ticket);
        lane.paused.retain(|it| *it != ticket);
        if is_running {
            self.leave_site(offer.request_hash, run.backend);
        }
        self.workspaces[offer.workspace].in_flight -= 1;
        for pool in self.pools.values_mut() {
            pool.lanes.values_mut().for_each(|it| it.unpark(offer.workspace));
        }
        Some(run)
    }

    /// Gives the slot back that was kept for the request's first token.
    pub(super) fn use_room(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let Some(run) = request.run().filter(|_| request.room == Room::Reserved) else { return };
        request.room = Room::Used;
        self.backends[run.backend].reserved -= 1;
    }

    pub(super) fn enter_site(&mut self, hash: u64, key: BackendKey) {
        self.backends[key].in_flight += 1;
        let sites = self.sites.entry(hash).or_default();
        match sites.iter_mut().find(|it| it.0 == key) {
            Some(site) => site.1 += 1,
            None => sites.push((key, 1)),
        }
    }

    pub(super) fn leave_site(&mut self, hash: u64, key: BackendKey) {
        self.backends[key].in_flight -= 1;
        let Some(sites) = self.sites.get_mut(&hash) else { return };
        if let Some(site) = sites.iter_mut().find(|it| it.0 == key) {
            site.1 -= 1;
        }
        sites.retain(|it| it.1 > 0);
        if sites.is_empty() {
            self.sites.remove(&hash);
        }
    }
}
