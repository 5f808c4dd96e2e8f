//! Maps the scheduler's refusals and failed retries to the failures that callers receive.

use std::time::Duration;

use http::StatusCode;
use policy::{Failure as FailureKind, GiveUp, Refusal, RefusalReason};

use crate::{
    backends::AttemptError,
    outcome::{Code, Failure, Outcome},
    services::Services,
};

/// The failure of a request that the scheduler refused after attempts with `outcome`.
#[must_use]
pub(crate) fn from_refusal(refusal: Refusal, outcome: Outcome) -> Failure {
    let (status, code) = match refusal.reason {
        RefusalReason::QueueFull | RefusalReason::Displaced => {
            (StatusCode::SERVICE_UNAVAILABLE, Code::Overloaded)
        }
        RefusalReason::DeadlineUnreachable => (StatusCode::SERVICE_UNAVAILABLE, Code::Deadline),
        RefusalReason::RateLimited => (StatusCode::SERVICE_UNAVAILABLE, Code::Overloaded),
        RefusalReason::Quarantined => (StatusCode::UNPROCESSABLE_ENTITY, Code::Quarantined),
        RefusalReason::NoBackend | RefusalReason::NoVersion => {
            (StatusCode::SERVICE_UNAVAILABLE, Code::NoBackendServer)
        }
        RefusalReason::Unknown => (StatusCode::SERVICE_UNAVAILABLE, Code::NoRoute),
    };
    let message = refusal.reason.to_string();
    Failure { status, code, message, outcome, retry_after: Some(refusal.retry_after) }
}

/// The failure of a request whose last attempt failed and that is not retried.
#[must_use]
pub(crate) fn from_give_up(reason: GiveUp, last: &AttemptError, outcome: Outcome) -> Failure {
    let (status, code) = match reason {
        GiveUp::Quarantined => (StatusCode::UNPROCESSABLE_ENTITY, Code::Quarantined),
        GiveUp::NoBackend => (StatusCode::SERVICE_UNAVAILABLE, Code::NoBackendServer),
        GiveUp::DeadlineUnreachable => (StatusCode::SERVICE_UNAVAILABLE, Code::Deadline),
        _ if outcome == Outcome::NotRun && last.failure == FailureKind::ConnectRefused => {
            (StatusCode::SERVICE_UNAVAILABLE, Code::Unreachable)
        }
        _ if outcome == Outcome::NotRun => (StatusCode::SERVICE_UNAVAILABLE, Code::Overloaded),
        GiveUp::NotRetryable
        | GiveUp::RetryBudgetExhausted
        | GiveUp::AttemptsExhausted
        | GiveUp::OtherAttemptRunning
        | GiveUp::NotFailed => (StatusCode::BAD_GATEWAY, Code::BackendFailed),
    };
    let remedy = match reason {
        GiveUp::Quarantined => "the request crashed backend servers: change it",
        GiveUp::NotRetryable => "it is not tried again: check what it did before sending it anew",
        GiveUp::AttemptsExhausted => "it had its last attempt: come back later",
        GiveUp::RetryBudgetExhausted => "its class may not retry more now: come back later",
        _ => "it is not tried again now: come back later",
    };
    let message = format!("{}; {remedy}", last.detail);
    Failure { status, code, message, outcome, retry_after: None }
}

/// The time after which a caller may resend a request whose deadline passed.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The failure of a request whose deadline passed. A request that did not run gets the status of a
/// refusal, and callers may rely on that.
#[must_use]
pub(crate) fn deadline_passed(outcome: Outcome) -> Failure {
    let status = match outcome {
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::MayHaveRun | Outcome::Ran => StatusCode::GATEWAY_TIMEOUT,
    };
    Failure {
        status,
        code: Code::Deadline,
        message: "no answer came before the deadline; come back later".to_owned(),
        outcome,
        retry_after: Some(DEADLINE_RETRY_AFTER),
    }
}

/// The time after which a caller may resend a request that a stopping router refused. Another router can
/// serve it at once, so a caller that honours fractions of a second hardly waits.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Checks that a request which may take the time `timeout` does not come too late in a stop.
///
/// # Errors
/// If it cannot be expected to be answered before the process ends.
pub(crate) fn check_stop(services: &Services, timeout: Duration) -> Result<(), Failure> {
    if !services.stop.is_too_late(timeout) {
        return Ok(());
    }
    let message = "the router is stopping; send the request to another one";
    let failure = Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, Code::NoRoute, message);
    Err(failure.retry_after(STOP_RETRY_AFTER))
}

/// The time after which a caller may resend a request that the router did not read.
const UNREAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The failure of a request that did not arrive as a whole and readable one. With the status 503 that is the
/// router's fault, and temporary: it is stopping, or has no memory for the request.
#[must_use]
pub(crate) fn unreadable(status: StatusCode, remedy: &str) -> Failure {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => {
            Failure::not_run(status, Code::Overloaded, remedy).retry_after(UNREAD_RETRY_AFTER)
        }
        _ => Failure::not_run(status, Code::BadRequest, remedy),
    }
}
