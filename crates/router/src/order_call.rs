//! Orders, which run at most once: each makes a durable claim on the caller's idempotency key
//! before the first byte is sent to a backend server.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::StatusCode;
use httpio::server::Reply;
use monoio::time;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    call::{Call, SchedulingHints},
    class_limits::Permit,
    order_ledger::{BodyHash, ClaimId, ClaimResult, LedgerError, OrderEnd, OrderKey},
    outcome::{Code, Failure, Outcome},
    routing::Routed,
    service_call::{self, Answer, IDEMPOTENCY_KEY_HEADER},
    services::Services,
};

const KEY_LENGTH_MAX: usize = 128;
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// With [`RECORD_INTERVAL`], the retries last at least as long as a claim. A claim in doubt may
/// still be committed when an outage of the control VMs ends, and would then block its key if its
/// release were not retried.
const RECORD_ATTEMPTS_MAX: u32 = 300;
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Serves an order: claims its key, sends it at most once and records the result.
pub(crate) async fn serve(
    services: Rc<Services>,
    routed: Routed,
    permit: Permit,
) -> Result<Reply, Failure> {
    let key = order_key(&routed)?;
    let body = body_hash(&routed);
    let claim = OrderClaim {
        services: Rc::clone(&services),
        key,
        id: ClaimId(services.ids.nonce()),
        caller: routed.arrival.request.peer,
    };
    // The claim's time to live counts from here, since the ledger may start counting at any later
    // moment.
    let send_before = services.clock.now() + services.ledger.claim_ttl();
    match claim.acquire(body).await? {
        ClaimResult::Granted => {}
        ClaimResult::Answered(stored) => return Ok(Answer::from(stored).into_reply()),
        other => return Err(claim_failure(other)),
    }
    let served = match Call::dispatch(services, routed, permit, SchedulingHints::default()).await {
        Ok(call) => service_call::serve_order(call, send_before).await,
        Err(failure) => Err(failure),
    };
    claim.settle(served).await
}

/// The claim of one request on the key of its order.
#[derive(Clone)]
struct OrderClaim {
    services: Rc<Services>,
    key: OrderKey,
    id: ClaimId,
    caller: SocketAddr,
}

/// What is recorded about a finished claim.
enum ClaimRecord {
    End(OrderEnd),
    Release,
}

impl OrderClaim {
    /// The timeout of a call to the ledger, within the time that a stopping router has.
    fn ledger_timeout(&self) -> Duration {
        self.services.stop.limit_record(self.services.timeouts.ledger_timeout())
    }

    async fn acquire(&self, body: BodyHash) -> Result<ClaimResult, Failure> {
        let result = self.services.ledger.claim(self.key.clone(), self.id, body);
        let result = time::timeout(self.ledger_timeout(), result).await;
        match result.unwrap_or(Err(LedgerError::InDoubt)) {
            Ok(result) => Ok(result),
            Err(error) => {
                if error == LedgerError::InDoubt {
                    // The claim may have been made; it is released, since nothing was sent.
                    self.record_in_background(ClaimRecord::Release);
                }
                Err(Failure::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    Code::OrderLedgerUnreachable,
                    error.to_string(),
                )
                .retry_after(LEDGER_RETRY_AFTER))
            }
        }
    }

    /// Records the result of the order and returns the reply to the caller.
    async fn settle(self, served: Result<Answer, Failure>) -> Result<Reply, Failure> {
        let record = match &served {
            Ok(answer) => ClaimRecord::End(OrderEnd::Answered(answer.to_stored())),
            Err(failure) if failure.outcome == Outcome::NotRun => ClaimRecord::Release,
            Err(_) => ClaimRecord::End(OrderEnd::MayHaveRun),
        };
        // The answer is valid whether or not it is recorded. A claim without a record stays held,
        // so a resend receives the answer that the order may have run.
        if !self.record(&record).await {
            if self.services.stop.has_begun() {
                // The process may end before it can be recorded.
                tracing::warn!(event = "order_not_recorded", key = %self.key, claim = %self.id);
            }
            self.record_in_background(record);
        }
        served.map(Answer::into_reply)
    }

    async fn record(&self, record: &ClaimRecord) -> bool {
        let ledger = &self.services.ledger;
        let recorded = match record {
            ClaimRecord::End(end) => ledger.complete(self.key.clone(), self.id, end.clone()),
            ClaimRecord::Release => ledger.release(self.key.clone(), self.id),
        };
        let recorded = time::timeout(self.ledger_timeout(), recorded).await;
        matches!(recorded, Ok(Ok(())))
    }

    /// Retries the record until it succeeds or the attempts are exhausted.
    fn record_in_background(&self, record: ClaimRecord) {
        let claim = self.clone();
        let record = async move {
            for _ in 0..RECORD_ATTEMPTS_MAX {
                time::sleep(RECORD_INTERVAL).await;
                if claim.record(&record).await {
                    return;
                }
            }
            tracing::warn!(event = "order_not_recorded", key = %claim.key, claim = %claim.id);
        };
        monoio::spawn(telemetry::contain("order_record", self.caller, record));
    }
}

fn order_key(routed: &Routed) -> Result<OrderKey, Failure> {
    let key = routed.arrival.request.header(IDEMPOTENCY_KEY_HEADER).unwrap_or_default();
    if key.is_empty() || key.len() > KEY_LENGTH_MAX {
        return Err(Failure::not_run(
            StatusCode::BAD_REQUEST,
            Code::IdempotencyKeyMissing,
            format!(
                "send idempotency-key with 1 to {KEY_LENGTH_MAX} characters, the same one when \
                 the order is sent again"
            ),
        ));
    }
    Ok(OrderKey {
        workspace: routed.caller.name().to_owned(),
        class: routed.route().class.clone(),
        key: key.to_owned(),
    })
}

fn body_hash(routed: &Routed) -> BodyHash {
    let request = &routed.arrival.request;
    let target = format!("{} {}", request.method, request.uri);
    // The log keeps this hash, so it must stay the same across versions.
    BodyHash(xxh3_64(&request.body) ^ xxh3_64(target.as_bytes()).rotate_left(1))
}

fn claim_failure(result: ClaimResult) -> Failure {
    match result {
        ClaimResult::InProgress { retry_after } => Failure {
            status: StatusCode::CONFLICT,
            code: Code::OrderInProgress,
            message: "the order is in progress; send it again later with the same key".to_owned(),
            outcome: Outcome::MayHaveRun,
            retry_after: Some(retry_after),
        },
        ClaimResult::KeyReused => Failure::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            Code::IdempotencyKeyReused,
            "the idempotency key was used with another body; use a new key for a new order",
        ),
        ClaimResult::MayHaveRun | ClaimResult::Granted | ClaimResult::Answered(_) => Failure {
            status: StatusCode::CONFLICT,
            code: Code::OrderInDoubt,
            message: "an earlier attempt may have run and is not repeated; ask the service what \
                      became of it"
                .to_owned(),
            outcome: Outcome::MayHaveRun,
            retry_after: None,
        },
    }
}
