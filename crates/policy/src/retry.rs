//! Which failures may be tried again, and how often.

use std::time::Duration;

use crate::spec::WHOLE_PERMILLE;

/// What a failed attempt may have done at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// No byte reached a server, or it refused before starting by its documented reply.
    NotRun,
    /// Bytes were sent and nothing proves what became of them.
    MayHaveRun,
    /// It ran, and the caller has part of its answer or its effect is done.
    Ran,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused: the server is down.
    ConnectRefused,
    /// The connection was reset or closed while the request ran: the server may have crashed.
    Reset,
    /// The server refused before starting, because it is full.
    Overloaded,
    /// The open connection fell silent.
    Timeout,
    /// Another failure that says nothing about the server.
    Other,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Complete {
        /// Its length.
        tokens: u32,
    },
    /// The attempt failed.
    Failed(Failure, Execution),
}

/// What to do with a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The ticket waits again; a later poll dispatches it to another server.
    Retry {
        /// Time until it may be dispatched.
        delay: Duration,
    },
    /// The ticket is closed; answer the caller now.
    GiveUp(GiveUp),
}

/// Why a failed request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// It may have run or did run, and it is not idempotent or part of it was delivered.
    NotRetryable,
    /// The class has spent its budget in this pool.
    RetryBudgetExhausted,
    /// The request had its last attempt.
    AttemptsExhausted,
    /// It can't meet its deadline any more.
    DeadlineUnreachable,
    /// It crashed two servers and is refused until the entry expires.
    Quarantined,
    /// No server of the pool is usable.
    NoBackend,
    /// The other attempt of the hedged request still runs; don't answer the caller yet.
    OtherAttemptRunning,
    /// The ticket is not known or the attempt did not fail.
    NotFailed,
}

/// Retries that one class may spend in one pool, in permille of a retry.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RetryBudget {
    permille: u64,
    started: bool,
}

impl RetryBudget {
    /// Grows the budget by one first attempt, up to the burst.
    pub(crate) fn earn(&mut self, budget_permille: u32, burst: u32) {
        let full = u64::from(burst) * u64::from(WHOLE_PERMILLE);
        let before = if self.started { self.permille } else { full };
        self.started = true;
        self.permille = (before + u64::from(budget_permille)).min(full);
    }

    /// Takes one retry; false if the budget is spent.
    pub(crate) fn spend(&mut self) -> bool {
        let Some(rest) = self.permille.checked_sub(u64::from(WHOLE_PERMILLE)) else {
            return false;
        };
        self.permille = rest;
        true
    }
}
