//! Serves calls of plain services: idempotent calls with retries, orders at most once.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderMap, StatusCode, header};
use httpio::{Bytes, budget::ByteBudget, client::Response, server::Reply};
use monoio::time;
use policy::{Execution, Failure as FailureKind};

use crate::{
    backends::{Attempt, AttemptError, forwarded_headers, refuse_late_answer},
    call::Call,
    deadline::{Completion, before_stop, run_until_deadline},
    order_ledger::StoredAnswer,
    outcome::{Code, Failure, OUTCOME_HEADER, Outcome, outcome_value},
    refusals,
    silence::{Remedy, probe_on_silence},
};

/// The header with the key that an order shares with its resends.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The header fields of the caller that are forwarded to a service.
const FORWARDED_HEADERS: [header::HeaderName; 3] =
    [header::CONTENT_TYPE, header::ACCEPT, header::ACCEPT_LANGUAGE];

/// A complete answer.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Answers an idempotent call, with retries as the retry budget allows.
pub(crate) async fn serve_idempotent(mut call: Call) -> Result<Reply, Failure> {
    let disconnected = call.routed.arrival.request.disconnected.clone();
    let (stop, left) = (call.services.stop.clone(), call.time_left());
    let attempts = call_with_retries(&mut call);
    let completion = run_until_deadline(&disconnected, &stop, left, attempts).await;
    let Completion::Done(answer) = completion else {
        let outcome = call.outcome.worse(Outcome::MayHaveRun);
        call.abandon();
        return Err(refusals::deadline_passed(outcome));
    };
    let answer = answer?;
    call.finish(0);
    Ok(answer.into_reply())
}

/// Runs an order at most once; attempts that are proven not to have run are retried.
///
/// No attempt starts at or after `send_before`, because the claim on the key may have expired by
/// then.
pub(crate) async fn serve_order(mut call: Call, send_before: Instant) -> Result<Answer, Failure> {
    let stop = call.services.stop.clone();
    loop {
        if call.services.clock.now() >= send_before {
            return Err(claim_expired());
        }
        let left = call.time_left();
        let attempt = attempt(&mut call);
        // An idle connection may be broken without notice, and an order sent on it could not be
        // resent.
        let exchange = call.services.backends.send_fresh(attempt);
        let memory = call.services.memory.answers.clone();
        let collected = time::timeout(left, collect_answer(exchange, memory));
        let answer = before_stop(&stop, collected).await;
        let error = match answer {
            Some(Ok(Ok(answer))) => {
                call.finish(0);
                return Ok(answer);
            }
            Some(Ok(Err(error))) => error,
            Some(Err(_)) | None => AttemptError {
                failure: FailureKind::Timeout,
                execution: Execution::MayHaveRun,
                detail: "no answer came before the deadline".to_owned(),
            },
        };
        let retried = before_stop(&stop, call.retry(error)).await;
        retried.unwrap_or_else(|| Err(refusals::deadline_passed(call.known_outcome())))?;
    }
}

async fn call_with_retries(call: &mut Call) -> Result<Answer, Failure> {
    loop {
        let attempt = attempt(call);
        let memory = call.services.memory.answers.clone();
        let exchange = collect_answer(call.services.backends.send(attempt), memory);
        let silence = call.services.timeouts.first_silence();
        let error = match probe_on_silence(exchange, silence, &call.lease, Remedy::Retry).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error,
            Err(silent) => {
                call.services.backends.close_idle(call.lease.server().addr);
                silent.into()
            }
        };
        call.retry(error).await?;
    }
}

fn attempt(call: &mut Call) -> Attempt {
    let request = Rc::clone(&call.routed.arrival.request);
    let mut headers = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        if let Some(value) = request.headers.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    if let Some(key) = request.headers.get(IDEMPOTENCY_KEY_HEADER) {
        headers.insert(IDEMPOTENCY_KEY_HEADER, key.clone());
    }
    call.start_attempt(request.method.clone(), request.uri.clone(), headers, request.body.clone())
}

async fn collect_answer(
    exchange: impl Future<Output = Result<Response, AttemptError>>,
    memory: ByteBudget,
) -> Result<Answer, AttemptError> {
    let response = refuse_late_answer(exchange.await?)?;
    let (status, headers) = (response.head.status, forwarded_headers(&response.head.headers));
    let body = response.body.collect_within(&memory).await?;
    Ok(Answer { status, headers, body })
}

fn claim_expired() -> Failure {
    let message = "the claim on the key ran out before the order was sent; send the order again";
    Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, Code::OrderClaimExpired, message)
        .retry_after(Duration::from_secs(1))
}

impl Answer {
    pub(crate) fn into_reply(self) -> Reply {
        let mut reply = Reply::whole(self.status, self.headers, self.body);
        reply.headers.insert(OUTCOME_HEADER, outcome_value(Outcome::Ran));
        reply
    }

    /// The answer in the form that is stored for resends.
    pub(crate) fn to_stored(&self) -> StoredAnswer {
        let text = |it: &header::HeaderValue| it.to_str().unwrap_or_default().to_owned();
        StoredAnswer {
            status: self.status.as_u16(),
            headers: self.headers.iter().map(|(k, v)| (k.to_string(), text(v))).collect(),
            body: self.body.to_vec(),
        }
    }
}

impl From<StoredAnswer> for Answer {
    fn from(stored: StoredAnswer) -> Self {
        let fields = stored.headers.iter();
        Answer {
            status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
            headers: fields
                .filter_map(|(k, v)| Some((k.parse::<header::HeaderName>().ok()?, v.parse().ok()?)))
                .collect(),
            body: stored.body.into(),
        }
    }
}
