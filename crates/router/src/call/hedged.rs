//! Calls with two attempts beside one another.

use std::{rc::Rc, time::Duration};

use http::HeaderValue;
use policy::{Execution, HedgeRefusal};

use super::Call;
use crate::{
    backends::AttemptError,
    class_limits::Permit,
    dispatch::Lease,
    metrics::{InFlightGuard, Labels},
    outcome::Outcome,
    quarantine_exchange,
    routing::Routed,
    services::Services,
};

/// What the second attempt of a call is made from.
pub(crate) struct CallSeed {
    services: Rc<Services>,
    routed: Routed,
    id: HeaderValue,
    attempts: u32,
    is_metered: bool,
    permit: Rc<Permit>,
    in_flight: Rc<InFlightGuard>,
}

impl CallSeed {
    /// Counts and logs that a slow attempt gets no second one.
    pub(crate) fn record_refused_hedge(&self, reason: HedgeRefusal) {
        let labels = Labels { class: &self.routed.route().class, pool: &self.routed.pool().name };
        self.services.metrics.record_hedge(labels, &format!("refused-{reason}"));
        tracing::info!(
            event = "hedge_refused",
            request_id = %self.routed.arrival.id,
            class = labels.class,
            %reason,
        );
    }

    /// The call with its second attempt at the leased server.
    pub(crate) fn into_call(self, lease: Lease) -> Call {
        let started = self.services.clock.now();
        Call {
            span: self.routed.arrival.trace,
            services: self.services,
            routed: self.routed,
            lease,
            id: self.id,
            outcome: Outcome::NotRun,
            urgency: None,
            named_limit: None,
            attempts: self.attempts,
            first_token: None,
            last_tokens: None,
            longest_gap: Duration::ZERO,
            is_attempt_in_flight: false,
            is_hedge: true,
            is_hedge_in_flight: false,
            is_metered: self.is_metered,
            started,
            _permit: self.permit,
            _in_flight: self.in_flight,
        }
    }
}

impl Call {
    /// What a second attempt is made from beside the one that is about to begin.
    pub(crate) fn seed(&self) -> CallSeed {
        CallSeed {
            services: Rc::clone(&self.services),
            routed: self.routed.clone(),
            id: self.id.clone(),
            attempts: self.attempts + 1,
            is_metered: self.is_metered,
            permit: Rc::clone(&self._permit),
            in_flight: Rc::clone(&self._in_flight),
        }
    }

    /// Reports that this attempt has failed while the other goes on. The server is probed in the background.
    pub(crate) fn fail_beside_other(&mut self, error: &AttemptError) {
        self.log_attempt("failed", Some(error));
        self.record_failed(error);
        let (failure, execution) = (error.failure, error.execution);
        let (lease, services) = (self.lease.separate(), Rc::clone(&self.services));
        let server = lease.server().addr;
        let report = async move {
            if lease.failed(failure, execution).await {
                quarantine_exchange::announce_crash(services).await;
            }
        };
        monoio::spawn(telemetry::contain("hedge_failure", server, report));
    }

    /// Records that only the hedge is in flight.
    pub(crate) fn leave_to_hedge(&mut self) {
        self.is_hedge_in_flight = true;
    }

    /// Counts a second attempt that has failed, while this one is in flight or has just ended.
    pub(crate) fn count_failed_hedge(&mut self, hedge: Call) {
        self.outcome = self.outcome.worse(hedge.outcome);
        self.attempts = self.attempts.max(hedge.attempts);
        self.is_metered |= hedge.is_metered;
    }

    /// Goes on from the other attempt, which has ended.
    pub(crate) fn continue_from(&mut self, other: Call) {
        self.outcome = self.outcome.worse(other.outcome);
        self.attempts = self.attempts.max(other.attempts);
        self.is_metered |= other.is_metered;
        other.lose();
    }

    /// Ends the call because its other attempt has answered; dropping the exchange closes its connection.
    pub(crate) fn lose(self) {
        if self.is_attempt_in_flight {
            self.log_attempt("lost", None);
        }
    }

    /// Counts and logs what became of a hedge.
    pub(crate) fn record_hedge(&self, result: &str) {
        self.services.metrics.record_hedge(self.labels(), result);
        tracing::info!(
            event = "hedge",
            request_id = %self.routed.arrival.id,
            class = %self.routed.route().class,
            server = %self.lease.server().addr,
            result,
        );
    }

    /// Records what a failed attempt proves about the request.
    pub(super) fn record_failed(&mut self, error: &AttemptError) {
        if error.execution == Execution::Ran {
            self.meter(self.started);
        }
        self.outcome = self.outcome.worse(error.outcome());
        if error.execution != Execution::NotRun {
            self.routed.attempts.set(self.routed.attempts.get() + 1);
        }
        self.is_attempt_in_flight = false;
    }
}
