//! The record of one request, as observed by its caller.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    answer_check::AnswerFault,
    plan::{AnswerMode, ArrivalId, Attempt, ClassIdx, RequestKind},
};

/// What the router reported about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was not executed.
    #[display("not-run")]
    NotRun,
    /// It is unknown whether the request was executed.
    #[display("may-have-run")]
    MayHaveRun,
    /// The request was executed.
    #[display("ran")]
    Ran,
    /// The reply has no outcome, or there was no reply.
    #[display("unstated")]
    Unstated,
}

impl Outcome {
    /// Parses the value of the header `x-outcome`.
    pub fn from_header(value: Option<&str>) -> Outcome {
        match value {
            Some("not-run") => Outcome::NotRun,
            Some("may-have-run") => Outcome::MayHaveRun,
            Some("ran") => Outcome::Ran,
            _ => Outcome::Unstated,
        }
    }
}

/// How the reply ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The answer is whole.
    Answered,
    /// An explicit refusal or failure with this HTTP status, before or within the answer.
    Failed(u16),
    /// The connection failed or the reply could not be parsed, for this reason.
    Broken(String),
    /// The reply did not end within the caller's timeout.
    TimedOut,
}

/// The record of one request. Latencies are measured from the planned send time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestRecord {
    /// The id of the arrival in the plan.
    pub arrival: ArrivalId,
    /// The index of its class.
    pub class: ClassIdx,
    /// The kind of the request.
    pub kind: RequestKind,
    /// How a chat answer was requested.
    pub answer: AnswerMode,
    /// First attempt or resend.
    #[serde(rename = "sending")]
    pub attempt: Attempt,
    /// The idempotency key, if the request has one.
    pub idempotency_key: Option<String>,
    /// The request id, sent in `x-request-id`.
    pub request_id: String,
    /// The planned send time in microseconds since the start of the run.
    pub at_us: u64,
    /// The delay between the planned and the actual send time in microseconds.
    pub send_lag_us: u64,
    /// Time to the first token, or to the response head if the answer has no tokens, in
    /// microseconds.
    pub first_token_us: Option<u64>,
    /// Time to the end of the reply in microseconds.
    pub whole_us: Option<u64>,
    /// The number of tokens received.
    pub tokens: u32,
    /// What the router reported about the execution.
    pub outcome: Outcome,
    /// How the reply ended.
    pub ending: Ending,
    /// The fault found in the answer.
    pub answer_fault: Option<AnswerFault>,
    /// The delay after which a failed reply allows a retry, in seconds.
    pub retry_after_s: Option<u64>,
}

impl RequestRecord {
    /// Time from the planned send time to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        self.first_token_us.map(Duration::from_micros)
    }

    /// Time from the planned send time to the end of the reply.
    pub fn whole(&self) -> Option<Duration> {
        self.whole_us.map(Duration::from_micros)
    }

    /// The mean time between two tokens, for streamed answers with at least two tokens.
    pub fn between_tokens(&self) -> Option<Duration> {
        if self.answer == AnswerMode::Whole {
            return None;
        }
        let gaps = self.tokens.checked_sub(1).filter(|it| *it > 0)?;
        let span = self.whole()?.checked_sub(self.first_token()?)?;
        Some(span / gaps)
    }

    /// Whether the answer is whole and correct.
    pub fn is_good(&self) -> bool {
        self.ending == Ending::Answered && self.answer_fault.is_none()
    }
}
