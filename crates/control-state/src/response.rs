//! The responses to commands.

use derive_more::From;
use duties::UsageReport;
use serde::{Deserialize, Serialize};
use tables::Revision;

use crate::FencingToken;

/// The response to a command.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Response {
    /// The result of a proposal of tables.
    Tables(TablesAnswer),
    /// The result of putting a document.
    Document(DocumentAnswer),
    /// The result of a claim.
    Claim(ClaimAnswer),
    /// The result of reporting the outcome of a claimed order.
    Settle(SettleAnswer),
    /// The acquired fencing token.
    Fencing(FencingToken),
    /// The result of putting a plan.
    Plan(PlanAnswer),
    /// A command that always succeeds was applied.
    #[from(ignore)]
    #[serde(rename = "noted")]
    Applied,
    /// The bytes do not decode to a command of this version.
    #[from(ignore)]
    Unreadable,
    /// The result of settling the usage of a window.
    Usage(UsageAnswer),
}

/// The result of settling the usage of a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UsageAnswer {
    /// The report in force, which may have been settled earlier with other counts.
    Settled(UsageReport),
    /// The window is older than those that are kept.
    TooOld,
}

/// The result of a proposal of tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TablesAnswer {
    /// The tables are in force from this revision on.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The base revision is outdated because another change was accepted first.
    Conflict {
        /// The revision in force when the proposal was applied.
        current: Revision,
    },
    /// The change id was used before for other tables.
    ChangeReused,
}

/// The result of putting a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentAnswer {
    /// The document is in force from now on.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// A document with this or a higher version is in force and is kept.
    Kept {
        /// The version in force.
        current: u64,
    },
}

/// The result of a claim on an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimAnswer {
    /// The claim is granted: only this attempt may send the order.
    Granted,
    /// Another attempt holds the claim and the order may be running.
    InProgress {
        /// When the other claim started, in milliseconds since the Unix epoch.
        since_ms: u64,
    },
    /// The order already ran.
    Done(StoredAnswer),
    /// The order may have run already and must not be sent again.
    MayHaveRun,
    /// The key was used before for a request with another body.
    KeyReused,
    /// This attempt released its claim before.
    Released,
    /// The request is so old that its key may have expired.
    TooOld,
    /// The maximum number of keys is retained.
    Full,
}

/// The answer of an order that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredAnswer {
    /// The complete answer.
    Kept(Vec<u8>),
    /// The answer exceeded the limit for one answer or the space left for all of them, and was not
    /// stored.
    TooLong {
        /// The length of the answer in bytes.
        len_bytes: u64,
    },
}

/// The result of reporting the outcome of a claimed order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SettleAnswer {
    /// The report is recorded, by this command or an earlier one.
    Settled,
    /// The claim does not belong to this attempt.
    NotHeld,
    /// The order counts as one that may have run, which a release cannot change.
    MayHaveRun,
}

/// The result of putting a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanAnswer {
    /// The plan is in force.
    Accepted,
    /// A newer fencing token was issued.
    OldFencing {
        /// The newest token.
        current: FencingToken,
    },
}
