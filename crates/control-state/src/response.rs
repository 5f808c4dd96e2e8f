//! The answers to commands.

use derive_more::From;
use serde::{Deserialize, Serialize};
use tables::Revision;

use crate::FencingToken;

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Response {
    /// To a proposal of tables.
    Tables(TablesAnswer),
    /// To a document.
    Document(DocumentAnswer),
    /// To a claim.
    Claim(ClaimAnswer),
    /// To what became of a claimed order.
    Settle(SettleAnswer),
    /// To a request for a fencing number.
    Fencing(FencingToken),
    /// To a plan.
    Plan(PlanAnswer),
    /// To a command that always succeeds.
    #[from(ignore)]
    #[serde(rename = "noted")]
    Applied,
    /// To bytes that are no command of this version.
    #[from(ignore)]
    Unreadable,
}

/// What became of proposed tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TablesAnswer {
    /// They are in force from this revision on.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// Another change came first.
    Conflict {
        /// The revision at that time.
        current: Revision,
    },
    /// The change's number was used for other tables before.
    ChangeReused,
}

/// What became of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentAnswer {
    /// It is in force from now on.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// A document of this or a higher version is in force, and stays.
    Kept {
        /// The version in force.
        current: u64,
    },
}

/// Whether an order may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimAnswer {
    /// The claim holds: this attempt, and no other, may send the order.
    Granted,
    /// Another attempt holds the claim.
    InProgress {
        /// When the other attempt received its request.
        since_ms: u64,
    },
    /// The order ran before.
    Done(StoredAnswer),
    /// The order may have run before; nobody may send it again.
    MayHaveRun,
    /// The key stands for another request body.
    KeyReused,
    /// This attempt gave its claim back before.
    Released,
    /// The request is so old that its key may have expired.
    TooOld,
    /// Too many keys are remembered.
    Full,
}

/// The answer of an order that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredAnswer {
    /// The whole answer.
    Kept(Vec<u8>),
    /// The answer was longer than the room for it: a limit for each, and one for all together.
    TooLong {
        /// Its length.
        len_bytes: u64,
    },
}

/// What a report about a claimed order led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SettleAnswer {
    /// The report is taken, now or before.
    Settled,
    /// The claim is not this attempt's.
    NotHeld,
    /// The order counts as one that may have run, for good.
    MayHaveRun,
}

/// What became of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanAnswer {
    /// It is in force.
    Accepted,
    /// A newer fencing number was given out.
    OldFencing {
        /// The newest number.
        current: FencingToken,
    },
}
