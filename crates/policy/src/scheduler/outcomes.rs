//! Outcomes of attempts: their effect on health, quarantine and estimates, and retry decisions.

use std::time::Instant;

use rand::RngExt;

use super::Scheduler;
use crate::{
    backend::Health,
    keys::{BackendKey, Ticket},
    quarantine::{Crash, CrashSite, QuarantineEvent, Suspicion},
    request::{Attempt, Offer, Phase, Repeat, Request},
    retry::{Execution, Failure, GiveUp, Outcome, RetryDecision},
};

impl Scheduler {
    /// Reports that the request has ended and is not retried; its ticket is closed.
    pub fn finished(&mut self, ticket: Ticket, now: Instant, outcome: Outcome) {
        match outcome {
            Outcome::Complete { tokens } => self.complete(ticket, now, tokens),
            Outcome::Failed(failure, _) => self.record_failure(ticket, now, failure),
        }
        self.cancelled(ticket);
    }

    /// Reports a failed attempt. The ticket is closed, or queued again for a retry.
    pub fn retry(&mut self, ticket: Ticket, outcome: Outcome, now: Instant) -> RetryDecision {
        let Outcome::Failed(failure, execution) = outcome else {
            return RetryDecision::GiveUp(GiveUp::NotFailed);
        };
        if self.requests.get(ticket).is_none_or(|it| it.attempt().is_none()) {
            return RetryDecision::GiveUp(GiveUp::NotFailed);
        }
        self.record_failure(ticket, now, failure);
        let cost = self.retry_cost(ticket, failure, execution, now);
        if self.requests[ticket].other_attempt.is_some() {
            self.separate(ticket);
            self.cancelled(ticket);
            return RetryDecision::GiveUp(GiveUp::OtherAttemptRunning);
        }
        match self.spend_retry(ticket, execution, cost, now) {
            Ok(()) => self.schedule_retry(ticket, now),
            Err(reason) => {
                self.cancelled(ticket);
                RetryDecision::GiveUp(reason)
            }
        }
    }

    fn complete(&mut self, ticket: Ticket, now: Instant, tokens: u32) {
        let Some(request) = self.requests.get(ticket) else { return };
        let Some(attempt) = request.attempt() else { return };
        let offer = request.offer;
        self.quarantine.record_completion(now, offer.request_hash, self.settings.quarantine_ttl);
        self.record_parts_answered(now, ticket);
        self.record_attempt_success(now, ticket);
        if attempt.tokens == 0 {
            self.record_answer_time(now, ticket);
        }
        let duration = now.saturating_duration_since(attempt.sent_at);
        self.pools[offer.pool].work_time.add(duration, attempt.expected_turns);
        self.record_answer(now, ticket);
        self.record_pause(offer.pool, offer.class, &attempt);
        self.backends[attempt.backend].clear_overload_backoff();
        self.backends[attempt.backend].kept.put(now, &self.settings.kept_connections);
        let uncounted = tokens.saturating_sub(attempt.tokens);
        let pool = &mut self.pools[offer.pool];
        pool.throughput.add(now, u64::from(uncounted));
        pool.queue(offer.class).answer_tokens.add(f64::from(tokens));
        if attempt.tokens == 0 && tokens > 0 {
            let gap = now.saturating_duration_since(attempt.sent_at) / tokens;
            self.backends[attempt.backend].observe_gap(now, gap);
        }
    }

    /// Counts attempts of a request that has been offered which another router has made.
    pub fn count_prior_attempts(&mut self, ticket: Ticket, attempts: u32) {
        if let Some(request) = self.requests.get_mut(ticket) {
            request.attempts += attempts;
        }
    }

    /// Whether a running attempt could be abandoned and retried, assuming that its server was
    /// reached and that no crash is recorded for it.
    pub fn could_retry(&self, ticket: Ticket, now: Instant) -> bool {
        let Some(request) = self.requests.get(ticket) else { return false };
        let Offer { pool, class, .. } = request.offer;
        let budget = self.pools[pool].queues.get(class).map(|it| it.retries);
        budget.is_some_and(|mut it| it.spend())
            && self.check_retry(ticket, Execution::MayHaveRun, now).is_ok()
    }

    fn spend_retry(
        &mut self,
        ticket: Ticket,
        execution: Execution,
        cost: RetryCost,
        now: Instant,
    ) -> Result<(), GiveUp> {
        let Offer { pool, class, .. } = self.requests[ticket].offer;
        self.check_retry(ticket, execution, now)?;
        if cost == RetryCost::Budget && !self.pools[pool].queue(class).retries.spend() {
            return Err(GiveUp::RetryBudgetExhausted);
        }
        Ok(())
    }

    /// Whether the permits of the attempt's server bound how many requests it rejects, so that this
    /// rejection needs no budget.
    fn is_bounded(&self, ticket: Ticket, failure: Failure, now: Instant) -> bool {
        let attempt = self.requests[ticket].attempt();
        let limit = attempt.and_then(|it| self.backends[it.backend].limit.as_ref());
        failure == Failure::Overloaded
            && limit.is_some_and(|it| it.is_fragile && it.available(now).is_some())
    }

    fn check_retry(
        &self,
        ticket: Ticket,
        execution: Execution,
        now: Instant,
    ) -> Result<(), GiveUp> {
        let request = &self.requests[ticket];
        let offer = request.offer;
        let class = &self.classes[offer.class].spec;
        if !is_retryable(request, execution) {
            return Err(GiveUp::NotRetryable);
        }
        let is_quarantined = self.quarantine.crashes_left(now, offer.request_hash) == 0;
        if is_quarantined || self.part_refusal(now, ticket).is_some() {
            return Err(GiveUp::Quarantined);
        }
        if request.attempts >= class.max_attempts {
            return Err(GiveUp::AttemptsExhausted);
        }
        if now + self.settings.retry_jitter > request.dispatch_deadline {
            return Err(GiveUp::DeadlineUnreachable);
        }
        if !self.has_usable_backend_for(now, request) {
            return Err(GiveUp::NoBackend);
        }
        Ok(())
    }

    /// Determines what a retry costs. Up to [`UNCOUNTED_CONNECT_FAILURES_MAX`] refused connections of a
    /// request neither count as attempts nor use the retry budget.
    fn retry_cost(
        &mut self,
        ticket: Ticket,
        failure: Failure,
        execution: Execution,
        now: Instant,
    ) -> RetryCost {
        if self.is_bounded(ticket, failure, now) {
            return RetryCost::Free;
        }
        let request = &mut self.requests[ticket];
        let is_unreached = failure == Failure::ConnectRefused && execution == Execution::NotRun;
        if !is_unreached || request.failed_connects >= UNCOUNTED_CONNECT_FAILURES_MAX {
            return RetryCost::Budget;
        }
        request.failed_connects += 1;
        request.attempts -= 1;
        RetryCost::Free
    }

    fn schedule_retry(&mut self, ticket: Ticket, now: Instant) -> RetryDecision {
        let delay = self.settings.retry_jitter.mul_f64(self.rng.random_range(0.0..1.0));
        let attempt = self.end_attempt(ticket);
        let request = &mut self.requests[ticket];
        if let Some(attempt) = attempt {
            request.record_tried(attempt.backend);
        }
        request.phase = Phase::Delayed { until: now + delay };
        self.delayed.insert((now + delay, ticket));
        self.dispatch_deadlines.insert((request.dispatch_deadline, ticket));
        RetryDecision::Retry { delay }
    }

    fn record_failure(&mut self, ticket: Ticket, now: Instant, failure: Failure) {
        self.record_attempt_failure(now, ticket, failure);
        let Some(attempt) = self.requests.get(ticket).and_then(Request::attempt) else { return };
        self.record_rejection(now, attempt.backend, failure);
        let is_current = self.backends[attempt.backend].incarnation == attempt.incarnation;
        if matches!(failure, Failure::Overloaded | Failure::Other) {
            // Most of these failures are whole answers.
            self.backends[attempt.backend].kept.put(now, &self.settings.kept_connections);
        }
        match failure {
            Failure::ConnectRefused | Failure::Replaced if is_current => {
                self.mark_down(attempt.backend, now)
            }
            Failure::Reset => self.record_crash(attempt, now),
            Failure::Overloaded if is_current => {
                self.backends[attempt.backend].start_overload_backoff(now)
            }
            Failure::Timeout if is_current => self.connection_timed_out(attempt.backend, now),
            _ => {}
        }
    }

    /// Makes every request that ran on the crashed server a suspect, once per incarnation.
    fn record_crash(&mut self, attempt: Attempt, now: Instant) {
        let backend = &mut self.backends[attempt.backend];
        if backend.crashed_incarnation == Some(attempt.incarnation) {
            return;
        }
        backend.crashed_incarnation = Some(attempt.incarnation);
        let (server_hash, returns) = (backend.name_hash, backend.recoveries);
        let site = CrashSite { server_hash, incarnation: attempt.incarnation, returns };
        if backend.incarnation == attempt.incarnation {
            self.mark_down(attempt.backend, now);
        }
        let tickets = self.running_on(attempt);
        self.record_part_crashes(now, site, &tickets);
        let suspects = tickets.iter().map(|it| &self.requests[*it]);
        let suspects = suspects.map(|it| (it.offer.request_hash, suspicion_of(it)));
        let suspects: Vec<_> = suspects.collect();
        self.quarantine.record_event(QuarantineEvent::Crashed {
            backend: attempt.backend,
            suspects: suspects.iter().map(|it| it.0).collect(),
        });
        for (hash, suspicion) in suspects {
            let crash = Crash { site, suspicion, ttl: self.settings.quarantine_ttl };
            self.quarantine.record_crash(now, hash, crash);
        }
    }

    /// The requests that ran on a server.
    fn running_on(&self, crashed: Attempt) -> Vec<Ticket> {
        let pool = &self.pools[self.backends[crashed.backend].pool];
        let running = pool.queues.values().flat_map(|it| it.running.iter().copied());
        let on_server = running.filter(|it| {
            self.requests[*it].attempt().is_some_and(|attempt| {
                attempt.backend == crashed.backend && attempt.incarnation == crashed.incarnation
            })
        });
        on_server.collect()
    }

    pub(super) fn mark_down(&mut self, backend: BackendKey, now: Instant) {
        let entry = &mut self.backends[backend];
        entry.path.failed();
        entry.kept.clear();
        if matches!(entry.health, Health::Up | Health::Suspect) {
            entry.health = Health::Down;
            entry.next_probe = Some(now + self.settings.probe_interval);
        }
    }
}

/// What a retry costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryCost {
    /// One retry of the budget.
    Budget,
    /// Nothing: no server was reached, or permits bound what servers reject.
    Free,
}

/// Refused connections of one request that do not count as attempts.
const UNCOUNTED_CONNECT_FAILURES_MAX: u32 = 3;

fn is_retryable(request: &Request, execution: Execution) -> bool {
    match execution {
        Execution::NotRun => true,
        Execution::MayHaveRun => request.offer.repeat == Repeat::Idempotent,
        Execution::Ran => false,
    }
}

fn suspicion_of(request: &Request) -> Suspicion {
    match request.attempt() {
        Some(attempt) if attempt.tokens > 0 => Suspicion::Weak,
        _ => Suspicion::Strong,
    }
}
