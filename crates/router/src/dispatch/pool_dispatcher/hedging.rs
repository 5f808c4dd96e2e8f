//! Second attempts of slow requests: the way from the scheduler's decision to the request that waits for it.

use std::rc::Rc;

use futures::channel::oneshot;
use policy::{BackendKey, HedgeRefusal, Ticket};

use super::{PoolDispatcher, State};
use crate::dispatch::Server;

/// A second attempt that the scheduler has started.
#[derive(Debug, Clone, Copy)]
pub(in crate::dispatch) struct HedgePlacement {
    pub(in crate::dispatch) ticket: Ticket,
    pub(in crate::dispatch) server: Server,
}

/// What the scheduler decided about an attempt that is slow.
pub(in crate::dispatch) type HedgeDecision = Result<HedgePlacement, HedgeRefusal>;

impl PoolDispatcher {
    /// Registers an attempt that is about to begin, and against which a second one can be raced; `None` if it is
    /// not to be hedged.
    pub(in crate::dispatch) fn await_hedge(
        self: &Rc<Self>,
        ticket: Ticket,
    ) -> Option<oneshot::Receiver<HedgeDecision>> {
        if !self.apply(|scheduler, now| scheduler.await_hedge(ticket, now)) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.state.borrow_mut().hedges.insert(ticket, sender);
        // Arms the timer.
        self.run_actions();
        Some(receiver)
    }

    /// Reverses [`Self::await_hedge`].
    pub(in crate::dispatch) fn forget_hedge(&self, ticket: Ticket) {
        self.state.borrow_mut().hedges.remove(&ticket);
    }

    pub(super) fn start_hedge(
        &self,
        state: &mut State,
        ticket: Ticket,
        hedge: Ticket,
        backend: BackendKey,
    ) {
        let waiting = state.hedges.remove(&ticket).zip(state.servers.find_by_key(backend));
        let delivered = waiting
            .map(|(to, server)| to.send(Ok(HedgePlacement { ticket: hedge, server })).is_ok());
        if delivered != Some(true) {
            state.scheduler.attempt_abandoned(hedge, self.clock.now());
        }
    }
}

impl State {
    pub(super) fn refuse_hedge(&mut self, ticket: Ticket, reason: HedgeRefusal) {
        if let Some(to) = self.hedges.remove(&ticket) {
            // The attempt may have ended.
            let _ = to.send(Err(reason));
        }
    }
}
