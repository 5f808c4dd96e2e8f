//! The errors that callers receive, and what they state about the execution of the request.

use std::{borrow::Cow, time::Duration};

use derive_more::{Display, Error};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use httpio::{Bytes, server::Reply};
use serde::{Deserialize, Serialize};

/// The header that carries an [`Outcome`].
pub const OUTCOME_HEADER: &str = "x-outcome";
/// The header that carries the ID of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// What is known about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of it reached a backend server, or the server refused it before starting.
    #[display("not-run")]
    NotRun,
    /// It was sent, and it is unknown whether it ran.
    #[display("may-have-run")]
    MayHaveRun,
    /// A backend server ran it, whether or not the complete answer arrived.
    #[display("ran")]
    Ran,
}

impl Outcome {
    /// The worse of two outcomes, in the order not run, may have run, ran.
    #[must_use]
    pub fn worse(self, other: Outcome) -> Outcome {
        match (self, other) {
            (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
            (Outcome::MayHaveRun, _) | (_, Outcome::MayHaveRun) => Outcome::MayHaveRun,
            (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
        }
    }
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The bearer token is unknown.
    #[display("unknown_token")]
    UnknownToken,
    /// The workspace may not use the class.
    #[display("class_not_allowed")]
    ClassNotAllowed,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The workspace has too many requests in flight.
    #[display("workspace_limit")]
    WorkspaceLimit,
    /// The queue is full, or the request was evicted from it by a more urgent one.
    #[display("overloaded")]
    Overloaded,
    /// The answer would arrive after the deadline.
    #[display("deadline")]
    Deadline,
    /// The request crashed backend servers.
    #[display("quarantined")]
    Quarantined,
    /// No backend server of the pool is usable.
    #[display("no_backend_server")]
    NoBackendServer,
    /// The backend servers that were tried refused connections.
    #[display("unreachable")]
    Unreachable,
    /// The attempt at the backend server failed.
    #[display("backend_failed")]
    BackendFailed,
    /// The caller disconnected while its request was queued.
    #[display("caller_gone")]
    CallerGone,
    /// The answer ended early.
    #[display("incomplete")]
    Incomplete,
    /// An order has no idempotency key.
    #[display("idempotency_key_missing")]
    IdempotencyKeyMissing,
    /// The idempotency key was used with another body.
    #[display("idempotency_key_reused")]
    IdempotencyKeyReused,
    /// The order is in progress.
    #[display("order_in_progress")]
    OrderInProgress,
    /// The claim on the order's key expired before the order was sent.
    #[display("order_claim_expired")]
    OrderClaimExpired,
    /// An earlier attempt of the order may have run.
    #[display("order_in_doubt")]
    OrderInDoubt,
    /// The order ledger cannot be reached.
    #[display("order_ledger_unreachable")]
    OrderLedgerUnreachable,
}

/// The failure of a request, as its caller receives it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{code}: {message}")]
pub struct Failure {
    /// The HTTP status.
    pub status: StatusCode,
    /// The reason, for programs.
    pub code: Code,
    /// The reason and the remedy, for people.
    pub message: String,
    /// What is known about the execution.
    pub outcome: Outcome,
    /// The time after which a resend may succeed.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure of a request that did not run.
    #[must_use]
    pub fn not_run(status: StatusCode, code: Code, message: impl Into<String>) -> Failure {
        let (message, outcome) = (message.into(), Outcome::NotRun);
        Failure { status, code, message, outcome, retry_after: None }
    }

    /// The same failure with a time after which a resend may succeed.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Failure {
        Failure { retry_after: Some(wait), ..self }
    }

    /// The JSON text of the error.
    #[must_use]
    pub fn to_json(&self) -> String {
        let retry_after_ms = self.retry_after.map(|it| it.as_millis() as u64);
        let error = ErrorDetail {
            code: self.code,
            message: Cow::Borrowed(&self.message),
            outcome: self.outcome,
            retry_after_ms,
        };
        serde_json::to_string(&ErrorBody { error })
            .expect("an error consists of serializable fields")
    }

    /// Reads the JSON text of an error that was answered with `status`.
    ///
    /// # Errors
    /// If the text is not that of an error.
    pub fn from_json(status: StatusCode, text: &[u8]) -> serde_json::Result<Failure> {
        let ErrorBody { error } = serde_json::from_slice(text)?;
        let ErrorDetail { code, message, outcome, retry_after_ms } = error;
        let (message, retry_after) =
            (message.into_owned(), retry_after_ms.map(Duration::from_millis));
        Ok(Failure { status, code, message, outcome, retry_after })
    }

    /// The reply to the caller.
    #[must_use]
    pub fn to_reply(&self) -> Reply {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME_HEADER, outcome_value(self.outcome));
        if let Some(wait) = self.retry_after {
            headers.insert(header::RETRY_AFTER, whole_seconds(wait).into());
        }
        Reply::whole(self.status, headers, Bytes::from(self.to_json()))
    }
}

/// The header value of an outcome.
#[must_use]
pub fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::NotRun => "not-run",
        Outcome::MayHaveRun => "may-have-run",
        Outcome::Ran => "ran",
    })
}

/// Rounds up, so that no caller resends too early.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1_000) as u64
}

#[derive(Serialize, Deserialize)]
struct ErrorBody<'a> {
    #[serde(borrow)]
    error: ErrorDetail<'a>,
}

#[derive(Serialize, Deserialize)]
struct ErrorDetail<'a> {
    code: Code,
    #[serde(borrow)]
    message: Cow<'a, str>,
    outcome: Outcome,
    retry_after_ms: Option<u64>,
}
