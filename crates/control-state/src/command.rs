//! The commands that the log carries.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use tables::{Revision, TablesText};

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Replaces the tables if nobody did so since `base`.
    ProposeTables(ProposeTables),
    /// Replaces the operator's document if its version is above the one held.
    PutDocument(Document),
    /// Claims the right to run an order.
    ClaimOrder(ClaimOrder),
    /// Stores the answer of an order that ran.
    CompleteOrder {
        /// The order.
        order: OrderKey,
        /// The claim under which it ran.
        claim: ClaimId,
        /// The answer for resends.
        answer: Vec<u8>,
    },
    /// Gives a claim back whose order did not run.
    ReleaseOrder {
        /// The order.
        order: OrderKey,
        /// The claim, even if it is not known to be committed.
        claim: ClaimId,
    },
    /// Notes that an order may have run, since its outcome was lost.
    #[serde(rename = "doubt-order")]
    MarkOrderInDoubt {
        /// The order.
        order: OrderKey,
        /// The claim under which it was sent.
        claim: ClaimId,
    },
    /// Notes that a router is gone; all its running orders may have run.
    RouterGone {
        /// The router's life that ended.
        router: RouterId,
    },
    /// Moves the time of the state on: running orders past their end may have run, keys past
    /// their life expire. The leader proposes it from its wall clock.
    AdvanceTime {
        /// The time since the epoch; an earlier one than before is ignored.
        now_ms: u64,
    },
    /// Takes the next fencing number.
    AcquireFencing {
        /// Who will give orders under it.
        holder: String,
    },
    /// Replaces the plan for the engines.
    PutPlan {
        /// The newest fencing number.
        fencing: FencingToken,
        /// The plan.
        plan: Plan,
    },
    /// Notes where a control node runs.
    RegisterNode(ControlNode),
    /// Forgets a control node.
    #[serde(rename = "forget-node")]
    DeregisterNode {
        /// Its number.
        node: u64,
    },
}

/// A compare-and-set of the tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ProposeTables {
    /// The operator's number for this change, the same in every resend.
    pub change: ChangeId,
    /// The revision that the operator has seen.
    pub base: Revision,
    /// The new tables.
    pub text: TablesText,
}

/// A whole configuration under the operator's own version, kept as the text that was sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// The operator's version; zero stands for no document.
    pub version: u64,
    /// The text, whose notation the log does not know.
    pub text: Vec<u8>,
}

/// A claim on the key of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClaimOrder {
    /// The order.
    pub order: OrderKey,
    /// A hash of the request's body.
    pub body_hash: u64,
    /// The router that asks.
    pub router: RouterId,
    /// A number that the router uses for this attempt only.
    pub claim: ClaimId,
    /// When the router received the request, in milliseconds since the epoch.
    pub at_ms: u64,
    /// When the order counts as one that may have run, if nothing was heard of it.
    pub until_ms: u64,
}

/// An idempotency key in its scope.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OrderKey {
    /// The workspace of the caller.
    pub workspace: String,
    /// The class of the route.
    pub route: String,
    /// The caller's idempotency key.
    pub key: String,
}

/// The operator's number of a change.
#[derive(
    Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ChangeId(pub String);

/// The number of one attempt to claim an order, random and never used again.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// One life of a router: another one after each restart.
#[derive(
    Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouterId(pub String);

/// A number that engine orders carry; a newer holder has a higher one.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// What every engine is to serve: one plan for all, with one rate for the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// The engines.
    pub servers: Vec<PlannedServer>,
    /// How many loads the weight store may start a minute, for the whole plan.
    pub weight_loads_per_minute: u32,
}

/// What one engine is to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlannedServer {
    /// The engine.
    pub backend_server: String,
    /// The model.
    pub model: String,
    /// The model's version.
    pub version: String,
    /// The role, such as prefill or decode.
    pub role: String,
}

/// Where a control node runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ControlNode {
    /// Its number.
    pub node: u64,
    /// Its disk.
    pub disk: u64,
    /// Where it listens.
    pub addr: String,
    /// Its failure domain.
    pub failure_domain: String,
}
