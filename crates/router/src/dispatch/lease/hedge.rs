//! The lease of a second attempt of a slow request.

use std::{cell::RefCell, rc::Rc};

use futures::channel::oneshot;
use policy::{HedgeRefusal, Offer, Ticket};

use super::Lease;
use crate::dispatch::pool_dispatcher::{HedgeDecision, PoolDispatcher};

/// Waits until the scheduler finds an attempt slow, and decides about a second one.
pub struct HedgeWait {
    dispatcher: Rc<PoolDispatcher>,
    /// The first attempt.
    ticket: Ticket,
    offer: Offer,
    decided: oneshot::Receiver<HedgeDecision>,
}

impl HedgeWait {
    /// The lease for the second attempt.
    ///
    /// # Errors
    /// If there is to be none.
    pub async fn decision(&mut self) -> Result<Lease, HedgeRefusal> {
        match (&mut self.decided).await {
            Ok(Ok(placement)) => {
                let dispatcher = Rc::clone(&self.dispatcher);
                let mut lease = Lease::new(dispatcher, placement.ticket, self.offer);
                lease.server = Some(placement.server);
                Ok(lease)
            }
            Ok(Err(reason)) => Err(reason),
            // The dispatcher drops the sender only with the request.
            Err(oneshot::Canceled) => futures::future::pending().await,
        }
    }
}

impl Drop for HedgeWait {
    fn drop(&mut self) {
        self.dispatcher.forget_hedge(self.ticket);
        if let Ok(Some(Ok(placement))) = self.decided.try_recv() {
            self.dispatcher.apply_and_run(|scheduler, now| {
                scheduler.attempt_abandoned(placement.ticket, now);
            });
        }
    }
}

impl Lease {
    /// Registers the attempt that is about to begin for a second one beside it; `None` if it is not to be hedged.
    #[must_use]
    pub fn await_hedge(&self) -> Option<HedgeWait> {
        let decided = self.dispatcher.await_hedge(self.ticket)?;
        let dispatcher = Rc::clone(&self.dispatcher);
        Some(HedgeWait { dispatcher, ticket: self.ticket, offer: self.offer, decided })
    }

    /// Takes the lease of a failed attempt out of its request, whose other attempt goes on. A closed lease of the
    /// same server stays behind.
    #[must_use]
    pub fn separate(&mut self) -> Lease {
        self.dispatcher.apply(|scheduler, _| scheduler.separate(self.ticket));
        let closed = Lease {
            dispatcher: Rc::clone(&self.dispatcher),
            ticket: self.ticket,
            offer: self.offer,
            server: self.server,
            controls: None,
            verifying: None,
            attempt: RefCell::default(),
            is_open: false,
        };
        std::mem::replace(self, closed)
    }
}
