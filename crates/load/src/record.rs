//! What was seen of one request at the caller.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    answer_check::AnswerFault,
    plan::{AnswerMode, ArrivalId, ClassIdx, RequestKind, Sending},
};

/// What the router said about the execution of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run.
    #[display("not-run")]
    NotRun,
    /// It is unknown whether the request ran.
    #[display("may-have-run")]
    MayHaveRun,
    /// The request ran.
    #[display("ran")]
    Ran,
    /// The reply names no outcome, or there was no reply.
    #[display("unstated")]
    Unstated,
}

impl Outcome {
    /// Reads the value of the header `x-outcome`.
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
    /// A whole answer.
    Answered,
    /// A clear refusal or failure with this HTTP status, before or within the answer.
    Failed(u16),
    /// The connection failed without a reply that a caller could read.
    Broken(String),
    /// No end of the reply came within the caller's time limit.
    TimedOut,
}

/// One request as its caller saw it. Times run from the planned time of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestRecord {
    /// The arrival in the plan.
    pub arrival: ArrivalId,
    /// Its class.
    pub class: ClassIdx,
    /// What it asked for.
    pub kind: RequestKind,
    /// How a chat answer was to be sent.
    pub answer: AnswerMode,
    /// First sending or repetition.
    pub sending: Sending,
    /// The key of an order.
    pub idempotency_key: Option<String>,
    /// The identity that the request carried in `x-request-id`.
    pub request_id: String,
    /// The planned time of sending in microseconds since the start of the run.
    pub at_us: u64,
    /// The delay between the planned and the true time of sending, in microseconds.
    pub send_lag_us: u64,
    /// Time to the first token, or to the answer's head where it has no tokens, in microseconds.
    pub first_token_us: Option<u64>,
    /// Time to the end of the reply in microseconds.
    pub whole_us: Option<u64>,
    /// Tokens received.
    pub tokens: u32,
    /// What the router said about the execution.
    pub outcome: Outcome,
    /// How the reply ended.
    pub ending: Ending,
    /// What was wrong with the answer.
    pub answer_fault: Option<AnswerFault>,
    /// Whether a failed reply said when to come back.
    pub retry_after_s: Option<u64>,
}

impl RequestRecord {
    /// Time to the first token from the planned time of sending.
    pub fn first_token(&self) -> Option<Duration> {
        self.first_token_us.map(Duration::from_micros)
    }

    /// Time to the end of the reply from the planned time of sending.
    pub fn whole(&self) -> Option<Duration> {
        self.whole_us.map(Duration::from_micros)
    }

    /// The mean time between two tokens, for streamed answers of at least two.
    pub fn between_tokens(&self) -> Option<Duration> {
        if self.answer == AnswerMode::Whole {
            return None;
        }
        let gaps = self.tokens.checked_sub(1).filter(|it| *it > 0)?;
        let span = self.whole()?.checked_sub(self.first_token()?)?;
        Some(span / gaps)
    }

    /// Whether the caller got the whole answer to its own request.
    pub fn is_good(&self) -> bool {
        self.ending == Ending::Answered && self.answer_fault.is_none()
    }
}
