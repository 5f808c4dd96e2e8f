//! The interface of the order ledger, which holds claims on idempotency keys. The client of the
//! replicated ledger implements it.

use std::{collections::BTreeMap, time::Duration};

use derive_more::{Display, Error};
use futures::{FutureExt, future::LocalBoxFuture};
use serde::{Deserialize, Serialize};

/// The key of an order, with the scope in which it is unique.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{workspace}/{class}/{key}")]
pub struct OrderKey {
    /// The caller's workspace.
    pub workspace: String,
    /// The class of the route.
    pub class: String,
    /// The caller's idempotency key.
    pub key: String,
}

/// The ID of one attempt to claim, so that only the attempt that made the claim can complete or
/// release it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{_0:016x}")]
pub struct ClaimId(pub u64);

/// A hash of an order's method, target and body; a resend has the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BodyHash(pub u64);

/// The result of an attempt to claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The order may be sent now, once.
    Granted,
    /// The order ran already; this is its answer.
    Answered(StoredAnswer),
    /// Another attempt is in progress.
    InProgress {
        /// The time after which the caller may resend the order.
        retry_after: Duration,
    },
    /// An earlier attempt may have run, and its answer is unknown.
    MayHaveRun,
    /// The key was used with another body.
    KeyReused,
}

/// How a claimed order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEnd {
    /// It was answered.
    Answered(StoredAnswer),
    /// It was sent, and whether it ran is unknown.
    MayHaveRun,
}

/// An answer that is stored for resends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The header fields that callers receive.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// An error of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum LedgerError {
    /// No quorum can be reached; the claim was not made.
    #[display(
        "the order ledger cannot be reached, so this send did not run and what became of an \
         earlier one is not known here: send the order again later with the same key"
    )]
    Unreachable,
    /// The claim may have been made or not; the order was not sent in any case.
    #[display(
        "the order ledger did not confirm in time, so this send did not run and what became of an \
         earlier one is not known here: send the order again later with the same key"
    )]
    InDoubt,
}

/// Claims keys durably before the first byte of an order is sent.
pub trait OrderLedger {
    /// The time to live of a claim, from the moment at which it was requested. After that, other
    /// callers may have been answered that the order may have run, so it must no longer be sent.
    fn claim_ttl(&self) -> Duration;

    /// Claims `key` for one attempt.
    fn claim(
        &self,
        key: OrderKey,
        claim: ClaimId,
        body: BodyHash,
    ) -> LocalBoxFuture<'static, Result<ClaimResult, LedgerError>>;

    /// Records the result of the attempt that holds the claim.
    fn complete(
        &self,
        key: OrderKey,
        claim: ClaimId,
        end: OrderEnd,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>>;

    /// Releases the claim, because it is proven that the order did not run.
    fn release(
        &self,
        key: OrderKey,
        claim: ClaimId,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>>;
}

/// A ledger that refuses every claim, for routers that serve no orders.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoLedger;

impl OrderLedger for NoLedger {
    fn claim_ttl(&self) -> Duration {
        Duration::ZERO
    }

    fn claim(
        &self,
        _key: OrderKey,
        _claim: ClaimId,
        _body: BodyHash,
    ) -> LocalBoxFuture<'static, Result<ClaimResult, LedgerError>> {
        async { Err(LedgerError::Unreachable) }.boxed_local()
    }

    fn complete(
        &self,
        _key: OrderKey,
        _claim: ClaimId,
        _end: OrderEnd,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        async { Err(LedgerError::Unreachable) }.boxed_local()
    }

    fn release(
        &self,
        _key: OrderKey,
        _claim: ClaimId,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        async { Err(LedgerError::Unreachable) }.boxed_local()
    }
}
