//! A place at a backend server, held by one request from its offer to its end.

use std::{rc::Rc, time::Duration};

use futures::channel::{mpsc, oneshot};
use policy::{
    Execution, Failure, GiveUp, LoadReport, Offer, Outcome, ProbeResult, Refusal, RetryDecision,
    Ticket,
};

use super::{
    Server, UNKNOWN,
    pool_dispatcher::{Placement, PoolDispatcher},
};

/// A place at a backend server. Dropping it frees the place, as when the caller has gone.
pub struct Lease {
    dispatcher: Rc<PoolDispatcher>,
    ticket: Ticket,
    offer: Offer,
    server: Option<Server>,
    controls: Option<mpsc::UnboundedReceiver<Control>>,
    is_open: bool,
}

/// What the scheduler asks of a running stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Control {
    /// Make way for more urgent work.
    Pause,
    /// Go on.
    Resume,
}

/// What follows a failed attempt.
#[derive(Debug)]
pub enum RetryResult {
    /// The request has a place again, at another server where there is one.
    Placed,
    /// It is not tried again.
    GivenUp {
        /// Why.
        reason: GiveUp,
        /// When the class's queue is expected to have drained.
        retry_after: Duration,
    },
    /// It waited for another place and was refused.
    Refused(Refusal),
}

impl Lease {
    pub(super) fn new(dispatcher: Rc<PoolDispatcher>, ticket: Ticket, offer: Offer) -> Lease {
        let controls = Some(dispatcher.await_controls(ticket));
        Lease { dispatcher, ticket, offer, server: None, controls, is_open: true }
    }

    pub(super) async fn wait(
        &mut self,
        placed: oneshot::Receiver<Placement>,
    ) -> Result<(), Refusal> {
        match placed.await.unwrap_or(Err(UNKNOWN)) {
            Ok(server) => {
                self.server = Some(server);
                Ok(())
            }
            Err(refusal) => {
                // The scheduler has closed the ticket.
                self.is_open = false;
                self.dispatcher.forget(self.ticket);
                Err(refusal)
            }
        }
    }

    /// The backend server.
    ///
    /// # Panics
    /// While the request waits, which no caller sees: leases are handed out once placed.
    #[must_use]
    pub fn server(&self) -> Server {
        self.server.expect("a lease is handed out once it has a place")
    }

    /// The name under which the backend server answers; empty if it has none.
    #[must_use]
    pub fn server_label(&self) -> Rc<str> {
        self.dispatcher.label(self.server())
    }

    /// Takes in a load report that came with an answer of the server.
    pub fn report_load(&self, report: &LoadReport) {
        self.dispatcher.report_load(&self.server(), report);
    }

    /// What the scheduler asks of the stream, for the one who relays it.
    ///
    /// # Panics
    /// When it is taken a second time.
    #[must_use]
    pub fn take_controls(&mut self) -> mpsc::UnboundedReceiver<Control> {
        self.controls.take().expect("one relay takes the controls")
    }

    /// The request was written.
    pub fn dispatched(&self) {
        self.dispatcher.note(|scheduler, now| scheduler.dispatched(self.ticket, now));
    }

    /// The first token arrived.
    pub fn first_token(&self) {
        self.dispatcher.tell(|scheduler, now| scheduler.first_token(self.ticket, now));
    }

    /// `count` further tokens arrived.
    pub fn tokens(&self, count: u32) {
        self.dispatcher.note(|scheduler, now| scheduler.tokens(self.ticket, now, count));
    }

    /// The whole answer arrived.
    pub fn finished(self, tokens: u32) {
        self.end(Outcome::Complete { tokens });
    }

    /// The attempt failed and no other is wanted.
    pub fn failed(self, failure: Failure, execution: Execution) {
        self.end(Outcome::Failed(failure, execution));
    }

    /// The attempt failed; waits for another place if the outcome and the budgets allow one.
    ///
    /// A connection that was cut is a crash only if the server does not answer a probe.
    pub async fn retry(&mut self, failure: Failure, execution: Execution) -> RetryResult {
        let failure = self.proven(failure).await;
        let outcome = Outcome::Failed(failure, execution);
        // Registered before the scheduler is told, since it may place the request at once.
        let placed = self.dispatcher.await_place(self.ticket);
        match self.dispatcher.tell(|scheduler, now| scheduler.retry(self.ticket, outcome, now)) {
            RetryDecision::Retry { .. } => match self.wait(placed).await {
                Ok(()) => RetryResult::Placed,
                Err(refusal) => RetryResult::Refused(refusal),
            },
            RetryDecision::GiveUp(reason) => {
                self.is_open = false;
                self.dispatcher.forget(self.ticket);
                let Offer { class, pool, .. } = self.offer;
                let retry_after =
                    self.dispatcher.note(|scheduler, now| scheduler.retry_after(now, class, pool));
                RetryResult::GivenUp { reason, retry_after }
            }
        }
    }

    /// Whether the attempt under way could be given up for another one.
    #[must_use]
    pub fn could_retry(&self) -> bool {
        self.dispatcher.note(|scheduler, now| scheduler.could_retry(self.ticket, now))
    }

    /// The connection fell silent; asks on a new one whether the server is alive.
    pub async fn probe(&self) -> ProbeResult {
        let server = self.server();
        self.dispatcher.note(|scheduler, now| scheduler.connection_timed_out(server.key, now));
        let result = self.dispatcher.probe(server).await;
        self.dispatcher.probed(server, result);
        result
    }

    /// The failure by what a probe proves of the server.
    async fn proven(&self, failure: Failure) -> Failure {
        match failure {
            Failure::Reset if self.probe().await != ProbeResult::Dead => Failure::Other,
            _ => failure,
        }
    }

    fn end(mut self, outcome: Outcome) {
        self.is_open = false;
        self.dispatcher.forget(self.ticket);
        self.dispatcher.tell(|scheduler, now| scheduler.finished(self.ticket, now, outcome));
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.is_open {
            self.dispatcher.forget(self.ticket);
            self.dispatcher.tell(|scheduler, _| scheduler.cancelled(self.ticket));
        }
    }
}
