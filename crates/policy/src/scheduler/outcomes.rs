//! How attempts end: health, quarantine, estimates, and whether to try again.

use std::time::Instant;

use rand::RngExt;

use super::Scheduler;
use crate::{
    backend::Health,
    keys::{BackendKey, Ticket},
    quarantine::{CRASH_LIMIT, Crash, CrashSite, Level},
    request::{Offer, Phase, Repeat, Request, Run},
    retry::{Execution, Failure, GiveUp, Outcome, RetryDecision},
};

impl Scheduler {
    /// The request has ended and is not tried again; its ticket is closed.
    pub fn finished(&mut self, ticket: Ticket, now: Instant, outcome: Outcome) {
        match outcome {
            Outcome::Complete { tokens } => self.complete(ticket, now, tokens),
            Outcome::Failed(failure, _) => self.note_failure(ticket, now, failure),
        }
        self.cancelled(ticket);
    }

    /// An attempt failed: closes the ticket, or puts it back to wait for another server.
    pub fn retry(&mut self, ticket: Ticket, outcome: Outcome, now: Instant) -> RetryDecision {
        let Outcome::Failed(failure, execution) = outcome else {
            return RetryDecision::GiveUp(GiveUp::NotFailed);
        };
        if self.requests.get(ticket).is_none_or(|it| it.run().is_none()) {
            return RetryDecision::GiveUp(GiveUp::NotFailed);
        }
        self.note_failure(ticket, now, failure);
        let reached = self.reach(ticket, failure, execution);
        if let Some(twin) = self.requests[ticket].twin {
            return self.leave_to_twin(ticket, twin);
        }
        match self.may_retry(ticket, execution, reached, now) {
            Ok(()) => self.schedule_retry(ticket, now),
            Err(reason) => {
                self.cancelled(ticket);
                RetryDecision::GiveUp(reason)
            }
        }
    }

    fn complete(&mut self, ticket: Ticket, now: Instant, tokens: u32) {
        let Some(request) = self.requests.get(ticket) else { return };
        let Some(run) = request.run() else { return };
        let offer = request.offer;
        self.quarantine.note_complete(now, offer.request_hash, self.settings.quarantine_ttl);
        self.backends[run.backend].note_served();
        let unseen = tokens.saturating_sub(run.tokens);
        let pool = &mut self.pools[offer.pool];
        pool.drained.add(now, u64::from(unseen));
        pool.lane(offer.class).answer_tokens.add(f64::from(tokens));
        if run.tokens == 0 && tokens > 0 {
            let gap = now.saturating_duration_since(run.sent) / tokens;
            self.backends[run.backend].observe_gap(now, gap);
        }
    }

    fn leave_to_twin(&mut self, ticket: Ticket, twin: Ticket) -> RetryDecision {
        if let Some(other) = self.requests.get_mut(twin) {
            other.twin = None;
        }
        self.requests[ticket].twin = None;
        self.cancelled(ticket);
        RetryDecision::GiveUp(GiveUp::OtherAttemptRunning)
    }

    /// Whether a running attempt could be given up for another one, if its server can be reached
    /// and nothing is known against it.
    pub fn could_retry(&self, ticket: Ticket, now: Instant) -> bool {
        let Some(request) = self.requests.get(ticket) else { return false };
        let Offer { pool, class, .. } = request.offer;
        let budget = self.pools[pool].lanes.get(class).map(|it| it.retries);
        budget.is_some_and(|mut it| it.spend())
            && self.check_retry(request, Execution::MayHaveRun, now).is_ok()
    }

    fn may_retry(
        &mut self,
        ticket: Ticket,
        execution: Execution,
        reached: Reached,
        now: Instant,
    ) -> Result<(), GiveUp> {
        let request = &self.requests[ticket];
        let Offer { pool, class, .. } = request.offer;
        self.check_retry(request, execution, now)?;
        if reached == Reached::Server && !self.pools[pool].lane(class).retries.spend() {
            return Err(GiveUp::RetryBudgetExhausted);
        }
        Ok(())
    }

    fn check_retry(
        &self,
        request: &Request,
        execution: Execution,
        now: Instant,
    ) -> Result<(), GiveUp> {
        let offer = request.offer;
        let class = &self.classes[offer.class].spec;
        if !outcome_allows(request, execution) {
            return Err(GiveUp::NotRetryable);
        }
        if self.quarantine.crashes(now, offer.request_hash) >= CRASH_LIMIT {
            return Err(GiveUp::Quarantined);
        }
        if request.attempts >= class.max_attempts {
            return Err(GiveUp::AttemptsExhausted);
        }
        if now + self.settings.retry_jitter > request.give_up_at {
            return Err(GiveUp::DeadlineUnreachable);
        }
        if !self.has_usable_backend(offer.pool) {
            return Err(GiveUp::NoBackend);
        }
        Ok(())
    }

    /// An attempt without a connection counts for nothing, but for a few of one request.
    fn reach(&mut self, ticket: Ticket, failure: Failure, execution: Execution) -> Reached {
        let request = &mut self.requests[ticket];
        let is_unreached = failure == Failure::ConnectRefused && execution == Execution::NotRun;
        if !is_unreached || request.unreached >= UNREACHED_MAX {
            return Reached::Server;
        }
        request.unreached += 1;
        request.attempts -= 1;
        Reached::Nobody
    }

    fn schedule_retry(&mut self, ticket: Ticket, now: Instant) -> RetryDecision {
        let delay = self.settings.retry_jitter.mul_f64(self.rng.random_range(0.0..1.0));
        let run = self.release(ticket);
        let request = &mut self.requests[ticket];
        if let Some(run) = run {
            request.note_tried(run.backend);
        }
        request.phase = Phase::Delayed { until: now + delay };
        self.delayed.insert((now + delay, ticket));
        self.give_ups.insert((request.give_up_at, ticket));
        RetryDecision::Retry { delay }
    }

    fn note_failure(&mut self, ticket: Ticket, now: Instant, failure: Failure) {
        let Some(run) = self.requests.get(ticket).and_then(Request::run) else { return };
        let is_current = self.backends[run.backend].incarnation == run.incarnation;
        match failure {
            Failure::ConnectRefused if is_current => self.mark_down(run.backend, now),
            Failure::Reset => self.note_crash(run, now),
            Failure::Overloaded if is_current => self.backends[run.backend].note_refusal(now),
            Failure::Timeout if is_current => self.connection_timed_out(run.backend, now),
            _ => {}
        }
    }

    /// A crash makes every request that ran on the server a suspect, once for each incarnation.
    fn note_crash(&mut self, run: Run, now: Instant) {
        let backend = &mut self.backends[run.backend];
        if backend.crashed_incarnation == Some(run.incarnation) {
            return;
        }
        backend.crashed_incarnation = Some(run.incarnation);
        let (server_hash, returns) = (backend.name_hash, backend.returns);
        let site = CrashSite { server_hash, incarnation: run.incarnation, returns };
        if backend.incarnation == run.incarnation {
            self.mark_down(run.backend, now);
        }
        for (hash, level) in self.ran_on(run) {
            let crash = Crash { site, level, ttl: self.settings.quarantine_ttl };
            self.quarantine.note_crash(now, hash, crash);
        }
    }

    /// The fingerprints that ran on a server; those without a token yet are the likelier ones.
    fn ran_on(&self, crashed: Run) -> Vec<(u64, Level)> {
        let pool = &self.pools[self.backends[crashed.backend].pool];
        let running = pool.lanes.values().flat_map(|it| it.running.iter());
        let requests = running.map(|it| &self.requests[*it]);
        let there = requests.filter(|it| {
            it.run().is_some_and(|run| {
                run.backend == crashed.backend && run.incarnation == crashed.incarnation
            })
        });
        there.map(|it| (it.offer.request_hash, level_of(it))).collect()
    }

    fn mark_down(&mut self, backend: BackendKey, now: Instant) {
        let entry = &mut self.backends[backend];
        if matches!(entry.health, Health::Up | Health::Suspect) {
            entry.health = Health::Down;
            entry.next_probe = Some(now + self.settings.probe_interval);
        }
    }
}

/// Whom an attempt has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reached {
    /// A server, perhaps.
    Server,
    /// Nobody: there was no connection.
    Nobody,
}

/// Attempts without a connection that one request may have beside its others.
const UNREACHED_MAX: u32 = 3;

fn outcome_allows(request: &Request, execution: Execution) -> bool {
    match execution {
        Execution::NotRun => true,
        Execution::MayHaveRun => request.offer.repeat == Repeat::Idempotent,
        Execution::Ran => false,
    }
}

fn level_of(request: &Request) -> Level {
    match request.run() {
        Some(run) if run.tokens > 0 => Level::Weak,
        _ => Level::Strong,
    }
}
