//! A row of the table of routes: a class of request, what it is owed, and the pool that serves it.

use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::PoolIdx;

/// One class of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Route {
    /// The class, which is the name of the row.
    pub class: String,
    /// The host that callers name; empty for any.
    pub host: String,
    /// The path of the requests; a trailing `*` stands for any rest.
    pub path: String,
    /// The urgency among all classes.
    pub priority: Priority,
    /// The pool that serves the class.
    pub pool: PoolIdx,
    /// The pools among which the requests are divided, with their weights; empty if `pool` serves
    /// all of them.
    pub split: Vec<PoolShare>,
    /// How requests and answers are exchanged with the pool.
    pub exchange: Exchange,
    /// Who may use the class without a key.
    pub access: Access,
    /// The latency targets.
    pub targets: Targets,
    /// The time after which the caller no longer wants the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The part of the pool that the class is guaranteed, in thousandths.
    pub share_permille: u32,
    /// Whether a request may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// How many further attempts one request may have.
    pub retries_max: u32,
    /// Further attempts as a part of first attempts, in thousandths.
    pub retry_budget_permille: u32,
    /// How many requests may wait in one router.
    pub queue_max: u32,
    /// How many requests of one workspace may be in flight in one router.
    pub workspace_in_flight_max: u32,
    /// The workspaces that may use the class; empty for all.
    pub workspaces: Vec<String>,
}

/// One part of a class whose requests are divided among pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolIdx,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// How requests and answers are exchanged with a pool.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Exchange {
    /// By the product's own interface: chat completions at engines, calls and orders at services.
    #[default]
    Native,
    /// Passed on unchanged; the answer counts once it is whole.
    Whole,
    /// Passed on unchanged; the answer is a stream of events.
    Events,
    /// As [`Exchange::Events`], and another server can go on behind any whole event.
    ResumableEvents,
}

impl Exchange {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Exchange::Events | Exchange::ResumableEvents)
    }
}

/// Who may use a class without a key.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Only callers of a known workspace.
    #[default]
    Workspace,
    /// Everybody; keys are not looked at.
    Public,
}

/// What the class is owed; a target that is not set is not measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Targets {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Time between two tokens, in milliseconds.
    pub between_tokens_ms: Option<u64>,
    /// Time to the whole answer, in milliseconds.
    pub whole_ms: Option<u64>,
}

/// The urgency of a class; 0 is the most urgent.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// The least urgent of the six service tiers.
    pub const LOWEST: Priority = Priority(5);
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// The request is idempotent and may be retried.
    Idempotent,
    /// The request runs at most once, under an idempotency key.
    #[default]
    AtMostOnce,
}

impl Route {
    /// Whether a request with this host and path can belong to the class.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        if !self.host.is_empty() && !self.host.eq_ignore_ascii_case(host) {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => self.path == path,
        }
    }

    /// The pools that may serve a request.
    pub fn pools(&self) -> impl Iterator<Item = PoolIdx> + '_ {
        let whole = self.split.is_empty().then_some(self.pool);
        whole.into_iter().chain(self.split.iter().map(|it| it.pool))
    }

    /// The pool of a request, for a number that is drawn evenly from all of its type.
    pub fn pool_for(&self, drawn: u32) -> PoolIdx {
        let sum: u64 = self.split.iter().map(|it| u64::from(it.weight)).sum();
        let mut rest = (u64::from(drawn) * sum) >> u32::BITS;
        for share in &self.split {
            let Some(left) = rest.checked_sub(u64::from(share.weight)) else { return share.pool };
            rest = left;
        }
        self.pool
    }

    /// The time after which the caller no longer wants the answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Whether `workspace` may use the class.
    pub fn admits(&self, workspace: &str) -> bool {
        self.workspaces.is_empty() || self.workspaces.iter().any(|it| it == workspace)
    }
}
