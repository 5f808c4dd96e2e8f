//! The order ledger on the replicated log.
//!
//! A refusal by the log proves that the claim was not made. Without an answer the claim is in
//! doubt; the caller of the ledger then does not send the order and releases the claim.

use std::{rc::Rc, time::Duration};

use clock::Clock;
use control_client::{CommandError, submit};
use control_state::{
    ClaimAnswer, ClaimOrder, Command, Response, RouterId, StoredAnswer as LoggedAnswer,
};
use futures::{FutureExt, future::LocalBoxFuture};
use rpc::Link;
use telemetry::Secret;

use crate::order_ledger::{
    BodyHash, ClaimId, ClaimResult, LedgerError, OrderEnd, OrderKey, OrderLedger, StoredAnswer,
};

/// An order whose result is not recorded within this time counts as one that may have run.
const CLAIM_TTL: Duration = Duration::from_secs(300);

/// Longer than a control VM waits for a commit, so that its answer arrives first.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after which a caller may resend an order in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Claims orders in the replicated log.
#[derive(Clone)]
pub struct ControlLedger {
    link: Link,
    token: Secret,
    router: RouterId,
    clock: Rc<dyn Clock>,
}

impl ControlLedger {
    /// Uses the control VM of `link`; `router` is the ID of this router process.
    pub fn new(link: Link, token: Secret, router: RouterId, clock: Rc<dyn Clock>) -> Self {
        ControlLedger { link, token, router, clock }
    }

    async fn submit(self, command: Command) -> Result<Response, LedgerError> {
        let client = self.link.client().map_err(|_| LedgerError::Unreachable)?;
        let answer = submit(&client, self.token.expose(), &command, SUBMIT_TIMEOUT).await;
        answer.map_err(|err| match err {
            CommandError::Refused { reason } => {
                tracing::warn!(event = "command_refused", reason);
                LedgerError::Unreachable
            }
            CommandError::InDoubt { reason } => {
                tracing::warn!(event = "command_in_doubt", reason);
                LedgerError::InDoubt
            }
        })
    }

    /// Records the result or the release of a claim; the caller does not need the log's answer.
    fn record(&self, command: Command) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        self.clone().submit(command).map(|it| it.map(|_| ())).boxed_local()
    }
}

impl OrderLedger for ControlLedger {
    fn claim_ttl(&self) -> Duration {
        CLAIM_TTL
    }

    fn claim(
        &self,
        key: OrderKey,
        claim: ClaimId,
        body: BodyHash,
    ) -> LocalBoxFuture<'static, Result<ClaimResult, LedgerError>> {
        let at_ms = self.clock.unix_ms();
        let command = Command::ClaimOrder(ClaimOrder {
            order: to_log_key(key),
            body_hash: body.0,
            router: self.router.clone(),
            claim: control_state::ClaimId(claim.0),
            at_ms,
            until_ms: at_ms + CLAIM_TTL.as_millis() as u64,
        });
        let answer = self.clone().submit(command);
        async move {
            match answer.await? {
                Response::Claim(answer) => claim_result(answer),
                _ => Err(LedgerError::InDoubt),
            }
        }
        .boxed_local()
    }

    fn complete(
        &self,
        key: OrderKey,
        claim: ClaimId,
        end: OrderEnd,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        let (order, claim) = (to_log_key(key), control_state::ClaimId(claim.0));
        self.record(match end {
            OrderEnd::Answered(answer) => match postcard::to_stdvec(&answer) {
                Ok(answer) => Command::CompleteOrder { order, claim, answer },
                Err(_) => Command::MarkOrderInDoubt { order, claim },
            },
            OrderEnd::MayHaveRun => Command::MarkOrderInDoubt { order, claim },
        })
    }

    fn release(
        &self,
        key: OrderKey,
        claim: ClaimId,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        let claim = control_state::ClaimId(claim.0);
        self.record(Command::ReleaseOrder { order: to_log_key(key), claim })
    }
}

fn to_log_key(key: OrderKey) -> control_state::OrderKey {
    control_state::OrderKey { workspace: key.workspace, route: key.class, key: key.key }
}

fn claim_result(answer: ClaimAnswer) -> Result<ClaimResult, LedgerError> {
    match answer {
        ClaimAnswer::Granted => Ok(ClaimResult::Granted),
        ClaimAnswer::InProgress { .. } => {
            Ok(ClaimResult::InProgress { retry_after: IN_PROGRESS_RETRY_AFTER })
        }
        ClaimAnswer::Done(LoggedAnswer::Kept(bytes)) => Ok(decode_answer(&bytes)),
        // The order ran, but its answer was too long to store; only the service knows it.
        ClaimAnswer::Done(LoggedAnswer::TooLong { .. }) | ClaimAnswer::MayHaveRun => {
            Ok(ClaimResult::MayHaveRun)
        }
        ClaimAnswer::KeyReused => Ok(ClaimResult::KeyReused),
        ClaimAnswer::Released | ClaimAnswer::TooOld | ClaimAnswer::Full => {
            Err(LedgerError::Unreachable)
        }
    }
}

fn decode_answer(bytes: &[u8]) -> ClaimResult {
    match postcard::from_bytes::<StoredAnswer>(bytes) {
        Ok(answer) => ClaimResult::Answered(answer),
        Err(_) => ClaimResult::MayHaveRun,
    }
}
