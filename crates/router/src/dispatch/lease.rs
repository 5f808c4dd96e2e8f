//! A slot at a backend server, leased to one request from its admission to its end.

mod hedge;

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures::channel::{mpsc, oneshot};
use httpio::signal::Signal;
use policy::{
    Execution, Failure, FragileAnswer, GiveUp, LimitChange, LoadReport, Offer, Outcome,
    PlacementEstimate, ProbeResult, Prompt, Refusal, RequestRate, RetryDecision, Scheduler, Ticket,
    VersionHash,
};

use crate::fingerprint::Fingerprint;

use super::{
    Server, UNKNOWN_REFUSAL,
    decision_log::log_limit,
    pool_dispatcher::{Placement, PoolDispatcher},
    reach::AttemptInFlight,
};

pub use self::hedge::HedgeWait;

/// A slot at a backend server. Dropping the lease frees the slot and cancels the request, for
/// example when the caller has disconnected.
pub struct Lease {
    dispatcher: Rc<PoolDispatcher>,
    ticket: Ticket,
    offer: Offer,
    server: Option<Server>,
    controls: Option<mpsc::UnboundedReceiver<Control>>,
    /// What the failed attempt proves about the execution, while a probe verifies its failure.
    verifying: Option<Execution>,
    /// The attempt in flight, if the request was sent.
    attempt: RefCell<Option<AttemptInFlight>>,
    is_open: bool,
}

/// A command of the scheduler to a running stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Control {
    /// Pause, so that more urgent requests can run.
    Pause,
    /// Continue a paused stream.
    Resume,
}

/// What the scheduler decided about a failed attempt.
#[derive(Debug)]
pub struct FailureReport {
    /// Whether a probe confirmed that the server crashed.
    pub has_crashed: bool,
    decision: RetryDecision,
    placed: oneshot::Receiver<Placement>,
}

impl FailureReport {
    /// Whether the request is queued for another attempt.
    #[must_use]
    pub fn is_retried(&self) -> bool {
        matches!(self.decision, RetryDecision::Retry { .. })
    }
}

/// What follows a failed attempt.
#[derive(Debug)]
pub enum RetryResult {
    /// The request has a new server, a different one if any is available.
    Placed,
    /// The request is not retried.
    GivenUp {
        /// The reason.
        reason: GiveUp,
        /// The time until the class's queue is expected to have drained.
        retry_after: Duration,
    },
    /// The request was queued for another server and was refused.
    Refused(Refusal),
}

impl Lease {
    pub(super) fn new(dispatcher: Rc<PoolDispatcher>, ticket: Ticket, offer: Offer) -> Lease {
        let controls = Some(dispatcher.register_controls(ticket));
        Lease {
            dispatcher,
            ticket,
            offer,
            server: None,
            controls,
            verifying: None,
            attempt: RefCell::default(),
            is_open: true,
        }
    }

    pub(super) async fn wait_for_server(
        &mut self,
        placed: oneshot::Receiver<Placement>,
    ) -> Result<(), Refusal> {
        match placed.await.unwrap_or(Err(UNKNOWN_REFUSAL)) {
            Ok(server) => {
                self.server = Some(server);
                Ok(())
            }
            Err(refusal) => {
                // The scheduler has closed the ticket.
                self.is_open = false;
                self.dispatcher.unregister(self.ticket);
                Err(refusal)
            }
        }
    }

    /// The backend server.
    ///
    /// # Panics
    /// While the request is queued. Callers do not see this, because a lease is returned only after
    /// a server was assigned.
    #[must_use]
    pub fn server(&self) -> Server {
        self.server.expect("a lease is returned only after a server was assigned")
    }

    /// The fingerprint of the request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint(self.offer.request_hash)
    }

    /// The name that the backend server reports of itself; empty if it has none.
    #[must_use]
    pub fn server_label(&self) -> Rc<str> {
        self.dispatcher.label(self.server())
    }

    /// The version of the backend server's software; empty if it is unknown.
    #[must_use]
    pub fn software_version(&self) -> Rc<str> {
        self.dispatcher.software_version(self.server())
    }

    /// What the scheduler knew about the server when it selected it; `None` if the prompt is
    /// unknown.
    #[must_use]
    pub fn placement_estimate(&self) -> Option<PlacementEstimate> {
        self.dispatcher.apply(|scheduler, _| scheduler.placement_estimate(self.ticket))
    }

    /// The ids of the parts of the prompt that other requests may share, for logs.
    pub(crate) fn shared_parts(&self) -> Vec<u64> {
        let prompt =
            |scheduler: &mut Scheduler| scheduler.prompt(self.ticket).map(Prompt::shared_ids);
        self.dispatcher.apply(|scheduler, _| prompt(scheduler)).unwrap_or_default()
    }

    /// Records that the server has sent data.
    pub(crate) fn heard(&self) {
        self.dispatcher.reach.heard();
    }

    /// Raised when this router is next found to be cut off from all servers.
    pub(crate) fn cut_off(&self) -> Signal {
        self.dispatcher.reach.cut_off()
    }

    /// Applies a load report that came with one of the server's answers.
    pub fn report_load(&self, report: &LoadReport) {
        self.dispatcher.report_load(&self.server(), report);
    }

    /// Records that the server says of itself that it is leaving: it gets no further request.
    pub fn report_leaving(&self) {
        let server = self.server();
        let was_live = self
            .dispatcher
            .apply_and_run(|scheduler, _| scheduler.announced_leaving(self.ticket, server.key));
        if was_live {
            tracing::info!(event = "server_leaving", server = %server.addr, source = "answer");
        }
    }

    /// Records that the server has refused the request and wants no other for some time.
    pub fn report_pause(&self, pause: std::time::Duration) {
        let server = self.server();
        let pause = self
            .dispatcher
            .apply(|scheduler, now| scheduler.pause_requested(now, server.key, pause));
        tracing::info!(
            event = "server_paused",
            server = %server.addr,
            pause_ms = pause.as_millis() as u64,
        );
    }

    /// Records what an answer of the server says of the rate of requests that it takes.
    pub fn report_rate_limit(&self, rate: Option<RequestRate>) {
        let server = self.server();
        let limit_named =
            |scheduler: &mut Scheduler, now| scheduler.limit_named(now, self.ticket, rate);
        if self.dispatcher.apply_and_run(limit_named) == LimitChange::Changed {
            log_limit(server.addr, rate, "answer");
        }
    }

    /// Records an answer of a server that fails if it has to reject too many requests.
    pub fn report_fragile(&self, answer: FragileAnswer) {
        let server = self.server();
        let named = |scheduler: &mut Scheduler, now| {
            let change = scheduler.fragile_named(now, self.ticket, answer);
            (change, scheduler.rate_limit(server.key))
        };
        let (change, rate) = self.dispatcher.apply_and_run(named);
        if change == LimitChange::Changed {
            log_limit(server.addr, rate, "rejections");
        }
    }

    /// The scheduler's commands for the stream, to be read by its relay.
    ///
    /// # Panics
    /// If called twice.
    #[must_use]
    pub fn take_controls(&mut self) -> mpsc::UnboundedReceiver<Control> {
        self.controls.take().expect("the controls are taken only once")
    }

    /// Records that the request was sent.
    pub fn dispatched(&self) {
        self.dispatcher.apply(|scheduler, now| scheduler.dispatched(self.ticket, now));
        self.attempt.replace(Some(self.dispatcher.reach.attempt_began()));
    }

    /// Records that the first token arrived.
    pub fn first_token(&self) {
        self.heard();
        self.dispatcher.apply_and_run(|scheduler, now| scheduler.first_token(self.ticket, now));
    }

    /// Restricts the request to the software version of its server, because the caller receives the first
    /// event; returns the version.
    pub fn pin_version(&self) -> Option<VersionHash> {
        self.dispatcher.apply(|scheduler, _| scheduler.pin_version(self.ticket))
    }

    /// Records that `count` further tokens arrived.
    pub fn tokens(&self, count: u32) {
        self.heard();
        self.dispatcher.apply(|scheduler, now| scheduler.tokens(self.ticket, now, count));
    }

    /// Ends the lease after the complete answer arrived.
    pub fn finished(self, tokens: u32) {
        self.heard();
        self.end(Outcome::Complete { tokens });
    }

    /// Ends the lease after a failed attempt that is not retried; returns whether the server
    /// crashed. As for [`Lease::report_failure`], a probe decides that.
    pub async fn failed(mut self, failure: Failure, execution: Execution) -> bool {
        let failure = self.verify_failure(failure, execution).await;
        self.end(Outcome::Failed(failure, execution));
        failure == Failure::Reset
    }

    /// Reports a failed attempt, which is retried if the outcome and the retry budget allow it.
    ///
    /// A connection that was reset counts as a crash only if the server does not answer a probe.
    pub async fn report_failure(
        &mut self,
        failure: Failure,
        execution: Execution,
    ) -> FailureReport {
        let failure = self.verify_failure(failure, execution).await;
        self.attempt.replace(None);
        let outcome = Outcome::Failed(failure, execution);
        // Register first, because the scheduler may dispatch the request within the call below.
        let placed = self.dispatcher.register_waiter(self.ticket);
        let decision = self
            .dispatcher
            .apply_and_run(|scheduler, now| scheduler.retry(self.ticket, outcome, now));
        if let RetryDecision::GiveUp(_) = decision {
            self.is_open = false;
            self.dispatcher.unregister(self.ticket);
        }
        FailureReport { has_crashed: failure == Failure::Reset, decision, placed }
    }

    /// Waits for another server if the reported attempt is retried.
    pub async fn wait_for_retry(&mut self, report: FailureReport) -> RetryResult {
        match report.decision {
            RetryDecision::Retry { .. } => match self.wait_for_server(report.placed).await {
                Ok(()) => RetryResult::Placed,
                Err(refusal) => RetryResult::Refused(refusal),
            },
            RetryDecision::GiveUp(reason) => {
                let Offer { class, pool, .. } = self.offer;
                let retry_after =
                    self.dispatcher.apply(|scheduler, now| scheduler.retry_after(now, class, pool));
                RetryResult::GivenUp { reason, retry_after }
            }
        }
    }

    /// Whether the attempt in flight could be abandoned for a retry.
    #[must_use]
    pub fn could_retry(&self) -> bool {
        self.dispatcher.apply(|scheduler, now| scheduler.could_retry(self.ticket, now))
    }

    /// Reports a silent connection and probes the server on a new one.
    pub async fn probe(&self) -> ProbeResult {
        let server = self.server();
        self.dispatcher.apply(|scheduler, now| scheduler.connection_timed_out(server.key, now));
        self.dispatcher.probe(server).await
    }

    /// Downgrades a connection reset to another failure if the server still answers a probe, or if no
    /// server does.
    async fn verify_failure(&mut self, failure: Failure, execution: Execution) -> Failure {
        if failure != Failure::Reset {
            return failure;
        }
        self.verifying = Some(execution);
        let failure = verify_crash(&self.dispatcher, self.server()).await;
        self.verifying = None;
        failure
    }

    fn end(mut self, outcome: Outcome) {
        self.is_open = false;
        self.dispatcher.unregister(self.ticket);
        self.dispatcher
            .apply_and_run(|scheduler, now| scheduler.finished(self.ticket, now, outcome));
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.dispatcher.unregister(self.ticket);
        match self.verifying.zip(self.server) {
            Some((execution, server)) => {
                let dispatcher = Rc::clone(&self.dispatcher);
                let ended = end_verified(dispatcher, self.ticket, server, execution);
                monoio::spawn(telemetry::contain("crash_check", server.addr, ended));
            }
            None => {
                self.dispatcher
                    .apply_and_run(|scheduler, now| scheduler.attempt_abandoned(self.ticket, now));
            }
        }
    }
}

/// Ends a request whose caller does not wait for the probe that verifies its failure, so that its
/// crash of the server still counts.
async fn end_verified(
    dispatcher: Rc<PoolDispatcher>,
    ticket: Ticket,
    server: Server,
    execution: Execution,
) {
    let failure = verify_crash(&dispatcher, server).await;
    let outcome = Outcome::Failed(failure, execution);
    dispatcher.apply_and_run(|scheduler, now| scheduler.finished(ticket, now, outcome));
}

/// What a reset connection indicates: a crash only if the server is dead and others are not. While the path
/// to the server is not proven after a cut, it indicates that the cut goes on.
async fn verify_crash(dispatcher: &Rc<PoolDispatcher>, server: Server) -> Failure {
    if !dispatcher.apply(|scheduler, _| scheduler.has_proven_path(server.key)) {
        return Failure::ConnectRefused;
    }
    let mut others = dispatcher.reach.probe_targets();
    others.retain(|it| it.addr != server.addr);
    match dispatcher.probe(server).await {
        ProbeResult::Dead if dispatcher.reach.is_cut_off(others).await => Failure::ConnectRefused,
        ProbeResult::Dead => Failure::Reset,
        ProbeResult::Alive | ProbeResult::AliveAs { .. } => Failure::Other,
    }
}
