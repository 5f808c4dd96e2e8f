//! Failures of attempts, decisions about retries, and the retry budget.

use std::time::Duration;

use crate::spec::WHOLE_PERMILLE;

/// Whether a failed attempt was executed by the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// No byte reached a server, or the server refused the request with its documented reply before
    /// running it.
    NotRun,
    /// Bytes were sent, and it is unknown whether the server ran the request.
    MayHaveRun,
    /// It ran, and the caller has received part of the answer or the effect has taken place.
    Ran,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused: the server is down.
    ConnectRefused,
    /// The server turned the request away because another one had its address: it is gone.
    Replaced,
    /// The connection was reset or closed while the request ran: the server may have crashed.
    Reset,
    /// The server refused the request before running it, because it is full.
    Overloaded,
    /// The open connection received nothing within the timeout.
    Timeout,
    /// Another failure, which implies nothing about the server.
    Other,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Complete {
        /// The length of the answer.
        tokens: u32,
    },
    /// The attempt failed.
    Failed(Failure, Execution),
}

/// Whether a failed request is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The ticket is queued again; a later poll dispatches it, to another server if possible.
    Retry {
        /// Time until it may be dispatched.
        delay: Duration,
    },
    /// The ticket is closed; the caller must be answered.
    GiveUp(GiveUp),
}

/// Why a failed request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// It may have run and is not idempotent, or part of its answer was delivered.
    NotRetryable,
    /// The retry budget of the class in this pool is exhausted.
    RetryBudgetExhausted,
    /// The request has used its last attempt.
    AttemptsExhausted,
    /// A retry could not meet the deadline.
    DeadlineUnreachable,
    /// It crashed two servers and is refused until its quarantine entry expires.
    Quarantined,
    /// No server of the pool is usable.
    NoBackend,
    /// The other attempt of the hedged request is still running; the caller must not be answered
    /// yet.
    OtherAttemptRunning,
    /// The ticket is unknown, or the attempt did not fail.
    NotFailed,
}

/// The retry budget of one class in one pool, in thousandths of a retry.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RetryBudget {
    permille: u64,
    started: bool,
}

impl RetryBudget {
    /// Adds the budget of one first attempt, up to the burst; the budget starts full.
    pub(crate) fn earn(&mut self, budget_permille: u32, burst: u32) {
        let full = u64::from(burst) * u64::from(WHOLE_PERMILLE);
        let before = if self.started { self.permille } else { full };
        self.started = true;
        self.permille = (before + u64::from(budget_permille)).min(full);
    }

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    pub(crate) fn spend(&mut self) -> bool {
        let Some(rest) = self.permille.checked_sub(u64::from(WHOLE_PERMILLE)) else {
            return false;
        };
        self.permille = rest;
        true
    }
}
