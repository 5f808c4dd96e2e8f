//! The commands of the replicated log.

use derive_more::{Display, From};
use duties::{UsageReport, WindowId};
use serde::{Deserialize, Serialize};
use tables::{Revision, TablesText};

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Replaces the tables if their revision is still `base`.
    ProposeTables(ProposeTables),
    /// Replaces the operator's document if the new version is higher than the current one.
    PutDocument(Document),
    /// Claims the exclusive right to run an order.
    ClaimOrder(ClaimOrder),
    /// Records that an order ran, with its answer.
    CompleteOrder {
        /// The order.
        order: OrderKey,
        /// The claim under which it ran.
        claim: ClaimId,
        /// The answer to replay to later requests with the same key.
        answer: Vec<u8>,
    },
    /// Releases a claim whose order did not run.
    ReleaseOrder {
        /// The order.
        order: OrderKey,
        /// The claim, which may not have been committed yet.
        claim: ClaimId,
    },
    /// Records that an order may have run because its outcome is unknown.
    #[serde(rename = "doubt-order")]
    MarkOrderInDoubt {
        /// The order.
        order: OrderKey,
        /// The claim under which it was sent.
        claim: ClaimId,
    },
    /// Records that a router process ended; each of its running orders may have run.
    RouterGone {
        /// The router process that ended.
        router: RouterId,
    },
    /// Advances the time of the state: running orders past their deadline count as orders that may
    /// have run, and keys past their retention expire. The leader proposes it from its wall clock.
    AdvanceTime {
        /// Milliseconds since the Unix epoch; a time that is not later than the current one is
        /// ignored.
        now_ms: u64,
    },
    /// Acquires the next fencing token.
    AcquireFencing {
        /// The node that sends commands to engines under this token.
        holder: String,
    },
    /// Replaces the plan for the engines.
    PutPlan {
        /// The newest fencing token; an older one is rejected.
        fencing: FencingToken,
        /// The plan.
        plan: Plan,
    },
    /// Registers the address and location of a control node.
    RegisterNode(ControlNode),
    /// Removes a control node from the registry.
    #[serde(rename = "forget-node")]
    DeregisterNode {
        /// The node id.
        node: u64,
    },
    /// Settles the usage of a window, unless it is settled already.
    SettleUsage(UsageReport),
    /// Records that the usage of a window has been accepted or given up.
    CloseUsage {
        /// The window.
        window: WindowId,
    },
}

/// A compare-and-set of the tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ProposeTables {
    /// The operator's id for this change, the same in every retry.
    pub change: ChangeId,
    /// The revision on which the change is based.
    pub base: Revision,
    /// The new tables.
    pub text: TablesText,
}

/// A complete configuration with a version chosen by the operator, stored as received.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// The operator's version; 0 means that there is no document.
    pub version: u64,
    /// The text, which the log does not interpret.
    pub text: Vec<u8>,
}

/// A request to claim an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClaimOrder {
    /// The order.
    pub order: OrderKey,
    /// A hash of the request body, to detect a key that is reused for another request.
    pub body_hash: u64,
    /// The router that sends the claim.
    pub router: RouterId,
    /// The id of this attempt, unique to it.
    pub claim: ClaimId,
    /// When the router received the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// When an order without a reported outcome starts to count as one that may have run, in
    /// milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// An idempotency key with its scope.
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

/// The operator's id of a change, by which retries are deduplicated.
#[derive(
    Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ChangeId(pub String);

/// The id of one attempt to claim an order; random and never reused.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// The id of a router process; a restarted router has a new id.
#[derive(
    Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouterId(pub String);

/// A fencing token carried by commands to engines; each new holder gets a higher one.
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

/// The models that the engines serve: one plan for all engines, with one load rate for the weight
/// store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// The engines.
    pub servers: Vec<PlannedServer>,
    /// How many weight loads may start per minute, over the whole plan.
    pub weight_loads_per_minute: u32,
}

/// The model that one engine serves.
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

/// The address and location of a control node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ControlNode {
    /// The node id.
    pub node: u64,
    /// The id of its disk.
    pub disk: u64,
    /// The address on which it listens.
    pub addr: String,
    /// Its failure domain.
    pub failure_domain: String,
}
