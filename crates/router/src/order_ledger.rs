//! Claims on idempotency keys: the border that the client of the replicated ledger implements.

use std::{collections::BTreeMap, time::Duration};

use derive_more::{Display, Error};
use futures::{FutureExt, future::LocalBoxFuture};
use serde::{Deserialize, Serialize};

/// What a key of an order is unique within, and the key itself.
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

/// Names one attempt to claim, so that only its maker can complete or release it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{_0:016x}")]
pub struct ClaimId(pub u64);

/// A hash of an order's body; a resend has the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BodyHash(pub u64);

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The order may be sent now, once.
    Granted,
    /// The order ran already; this is its answer.
    Answered(StoredAnswer),
    /// Another attempt is under way.
    InProgress {
        /// When to ask again.
        retry_after: Duration,
    },
    /// An earlier attempt may have run, and nobody knows its answer.
    MayHaveRun,
    /// The key was used with another body.
    KeyReused,
}

/// How a claimed order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEnd {
    /// It was answered.
    Answered(StoredAnswer),
    /// It was sent, and nothing proves what became of it.
    MayHaveRun,
}

/// An answer kept for resends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The header fields that callers see.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Why the ledger gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum LedgerError {
    /// No majority can be reached; the claim was not made.
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

/// Claims keys durably before an order's first byte goes out.
pub trait OrderLedger {
    /// How long a claim lives from the moment at which it was asked for. After that others may
    /// have been told that the order may have run, so it must not be sent any more.
    fn claim_ttl(&self) -> Duration;

    /// Claims `key` for one attempt.
    fn claim(
        &self,
        key: OrderKey,
        claim: ClaimId,
        body: BodyHash,
    ) -> LocalBoxFuture<'static, Result<ClaimResult, LedgerError>>;

    /// Records how the attempt that holds the claim ended.
    fn complete(
        &self,
        key: OrderKey,
        claim: ClaimId,
        end: OrderEnd,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>>;

    /// Gives the claim up, because it is proven that the order did not run.
    fn release(
        &self,
        key: OrderKey,
        claim: ClaimId,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>>;
}

/// The ledger of a router without control VMs, which accepts no order.
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
