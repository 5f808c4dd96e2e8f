//! Avoids servers whose requests fail, as long as most servers of the pool are well.

use std::time::Instant;

use super::Scheduler;
use crate::{
    keys::{BackendKey, PoolKey, Ticket},
    request::{Attempt, Repeat, Request},
    retry::Failure,
};

/// A server that begins or ceases to be avoided because its requests fail.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailingChange {
    /// The server.
    pub backend: BackendKey,
    /// Whether it is avoided now.
    pub is_failing: bool,
    /// The share of its latest requests that failed.
    pub failed_share: f64,
}

impl Scheduler {
    /// The servers that have begun or ceased to be avoided since the last call, for logs.
    pub fn take_failing_changes(&mut self) -> Vec<FailingChange> {
        std::mem::take(&mut self.failing_changes)
    }

    /// Counts a failed attempt against its server, if the failure may be the server's.
    pub(super) fn record_attempt_failure(
        &mut self,
        now: Instant,
        ticket: Ticket,
        failure: Failure,
    ) {
        let Some(request) = self.requests.get(ticket) else { return };
        let Some(attempt) = self.current_attempt(request) else { return };
        // Servers that are down or full are treated by their health and their backoff.
        if matches!(failure, Failure::Other | Failure::Timeout) {
            self.backends[attempt.backend].failures.record_failure(now, attempt.sent_at);
            self.compare_failures(self.backends[attempt.backend].pool);
        }
    }

    /// Counts a successful attempt for its server. A server that was failing gets its share by a slow
    /// start.
    pub(super) fn record_attempt_success(&mut self, now: Instant, ticket: Ticket) {
        let Some(attempt) = self.requests.get(ticket).and_then(|it| self.current_attempt(it))
        else {
            return;
        };
        let server = &mut self.backends[attempt.backend];
        if server.failures.record_success() {
            server.slow_start_since = Some(now);
            let (backend, failed_share) = (attempt.backend, server.failures.share());
            let change = FailingChange { backend, is_failing: false, failed_share };
            self.failing_changes.push(change);
        }
    }

    /// Whether a server is avoided because its requests fail.
    pub fn is_failing(&self, backend: BackendKey) -> bool {
        self.backends.get(backend).is_some_and(|it| it.failures.is_failing)
    }

    /// The failing server that is to be tried with this request, if there is one. Only the first attempt
    /// of a request that may be repeated is used for that.
    pub(super) fn server_to_try(&self, ticket: Ticket) -> Option<BackendKey> {
        let request = &self.requests[ticket];
        let is_first = request.attempts == 0 && request.version.is_none();
        if !is_first || request.offer.repeat != Repeat::Idempotent {
            return None;
        }
        let mut members = self.pools[request.offer.pool].members.iter().copied();
        members.find(|it| self.backends[*it].failures.is_trial_due())
    }

    /// Counts a request that is sent to a server of a pool, for the trials of failing ones.
    pub(super) fn count_for_trials(&mut self, pool: PoolKey, sent_to: BackendKey) {
        let members = &self.pools[pool].members;
        for member in members {
            let failures = &mut self.backends[*member].failures;
            if failures.is_failing {
                failures.count_request();
            }
        }
        let servers = members.len();
        let failures = &mut self.backends[sent_to].failures;
        if failures.is_trial_due() {
            failures.schedule_trial(servers);
        }
    }

    /// Finds the servers that are failing. If they are half of the pool, the cause is elsewhere and none
    /// is avoided.
    fn compare_failures(&mut self, pool: PoolKey) {
        let members = &self.pools[pool].members;
        let usable = members.iter().copied().filter(|it| self.backends[*it].is_usable());
        let usable: Vec<_> = usable.collect();
        let mut shares: Vec<_> =
            usable.iter().map(|it| self.backends[*it].failures.share()).collect();
        shares.sort_by(f64::total_cmp);
        let Some(median) = shares.get(shares.len() / 2).copied() else { return };
        let failing = usable.iter().filter(|it| self.backends[**it].failures.exceeds(median));
        let failing: Vec<_> = failing.copied().collect();
        let are_few = failing.len() * 2 < usable.len();
        let servers = members.len();
        for server in usable {
            let failures = &mut self.backends[server].failures;
            let is_failing = are_few && failing.contains(&server);
            if is_failing && !failures.is_failing {
                failures.schedule_trial(servers);
            }
            if std::mem::replace(&mut failures.is_failing, is_failing) != is_failing {
                let (backend, failed_share) = (server, failures.share());
                self.failing_changes.push(FailingChange { backend, is_failing, failed_share });
            }
        }
    }

    fn current_attempt(&self, request: &Request) -> Option<Attempt> {
        let attempt = request.attempt()?;
        let is_current = self.backends[attempt.backend].incarnation == attempt.incarnation;
        is_current.then_some(attempt)
    }
}
