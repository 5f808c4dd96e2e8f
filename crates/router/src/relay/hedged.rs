//! Races a second attempt against one that is slow. The first to answer is relayed; the other is ended at once by
//! closing its connection.

use std::{pin::pin, rc::Rc, time::Instant};

use futures::future::{Either, FutureExt, select};
use http::HeaderValue;
use policy::HedgeRefusal;
use tables::Exchange;

use super::relayed_call::RelayedCall;
use crate::{
    backends::AttemptError,
    call::CallSeed,
    dialect::Dialect,
    dispatch::{HedgeWait, Lease},
};

/// The beginning of an answer, or all of it.
pub(super) trait Raced {
    /// Whether the server says that it failed.
    fn is_server_error(&self) -> bool;
}

/// Makes one attempt, and a second one beside it if the scheduler finds the first one slow.
///
/// # Errors
/// If every attempt failed; the last failure is not yet reported to the scheduler.
pub(super) async fn race<T: Raced>(
    relayed: &mut RelayedCall,
    attempt: impl AsyncFn(&mut RelayedCall) -> Result<T, AttemptError>,
) -> Result<T, AttemptError> {
    let Some(wait) = relayed.await_hedge() else { return attempt(relayed).await };
    let seed = relayed.seed();
    let first = attempt(relayed).boxed_local();
    let (decided, first) = match select(first, pin!(decision(wait))).await {
        Either::Left((result, _)) => return result,
        Either::Right(decided) => decided,
    };
    let mut second = match decided {
        Ok(lease) => SecondCall::start(seed, lease),
        Err(reason) => {
            seed.call.record_refused_hedge(reason);
            return first.await;
        }
    };
    let mut first = first;
    let mut hedge = hedge_attempt(second.get_mut(), &attempt).boxed_local();
    let (is_first, result) = match select(&mut first, &mut hedge).await {
        Either::Left((result, _)) => (true, result),
        Either::Right((result, _)) => (false, result),
    };
    match (is_first, result) {
        (true, Ok(answer)) => {
            drop((first, hedge));
            second.lose();
            Ok(answer)
        }
        (false, Ok(answer)) => {
            drop((first, hedge));
            relayed.continue_from(second, true);
            Ok(answer)
        }
        (true, Err(error)) => {
            drop(first);
            relayed.call.fail_beside_other(&error);
            relayed.call.leave_to_hedge();
            let result = hedge.await;
            relayed.continue_from(second, result.is_ok());
            result
        }
        (false, Err(error)) => {
            drop(hedge);
            let failed = second.fail(&error);
            let result = first.await;
            relayed.call.count_failed_hedge(failed.call);
            result
        }
    }
}

/// The wait ends with the decision, so that it is not kept for the rest of the race.
async fn decision(mut wait: HedgeWait) -> Result<Lease, HedgeRefusal> {
    wait.decision().await
}

/// Makes the second attempt. An answer by which the server says that it failed does not win the race.
async fn hedge_attempt<T: Raced>(
    call: &mut RelayedCall,
    attempt: impl AsyncFn(&mut RelayedCall) -> Result<T, AttemptError>,
) -> Result<T, AttemptError> {
    let answer = attempt(call).await?;
    match answer.is_server_error() {
        true => Err(AttemptError::in_doubt("the second attempt was answered with an error")),
        false => Ok(answer),
    }
}

/// What the second attempt of a relayed call is made from.
pub(super) struct RelayedSeed {
    call: CallSeed,
    dialect: Rc<dyn Dialect>,
    deadline: Instant,
    last_event: Option<u64>,
    resumed_request: Option<String>,
    id: HeaderValue,
}

/// The call of a second attempt, which is abandoned if the race is dropped.
struct SecondCall(Option<RelayedCall>);

impl SecondCall {
    fn start(seed: RelayedSeed, lease: Lease) -> SecondCall {
        let RelayedSeed { call, dialect, deadline, last_event, resumed_request, id } = seed;
        let call = call.into_call(lease);
        call.record_hedge("started");
        SecondCall(Some(RelayedCall {
            call,
            dialect,
            deadline,
            last_event,
            events: 0,
            resumed_request,
            reported_at: None,
            id,
        }))
    }

    fn get_mut(&mut self) -> &mut RelayedCall {
        self.0.as_mut().expect("the call is taken only at the end of its attempt")
    }

    fn take(mut self) -> RelayedCall {
        self.0.take().expect("the call is taken only once")
    }

    fn lose(self) {
        let call = self.take().call;
        call.record_hedge("lost");
        call.lose();
    }

    fn fail(self, error: &AttemptError) -> RelayedCall {
        let mut failed = self.take();
        failed.call.record_hedge("failed");
        failed.call.fail_beside_other(error);
        failed
    }
}

impl Drop for SecondCall {
    fn drop(&mut self) {
        if let Some(relayed) = self.0.take() {
            relayed.call.record_hedge("abandoned");
            relayed.call.abandon();
        }
    }
}

impl RelayedCall {
    /// Registers the next attempt for a second one beside it, if its answer may come from either.
    fn await_hedge(&self) -> Option<HedgeWait> {
        let may_race = match self.call.routed.route().exchange {
            Exchange::Whole | Exchange::ResumableEvents => self.is_repeatable(),
            Exchange::Native | Exchange::Events => false,
        };
        (may_race && self.events == 0).then(|| self.call.lease.await_hedge())?
    }

    fn seed(&self) -> RelayedSeed {
        RelayedSeed {
            call: self.call.seed(),
            dialect: Rc::clone(&self.dialect),
            deadline: self.deadline,
            last_event: self.last_event,
            resumed_request: self.resumed_request.clone(),
            id: self.id.clone(),
        }
    }

    /// Goes on as the second attempt.
    fn continue_from(&mut self, second: SecondCall, has_won: bool) {
        let first = std::mem::replace(self, second.take());
        self.call.record_hedge(if has_won { "won" } else { "failed" });
        self.call.continue_from(first.call);
    }
}
