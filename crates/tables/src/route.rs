//! A row of the table of routes: a class of requests with its limits, its targets and its pool.

use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::PoolIdx;

/// One class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Route {
    /// The name of the class, which is the name of the row.
    pub class: String,
    /// The host of the requests; empty for any.
    pub host: String,
    /// The path of the requests; a trailing `*` matches any rest.
    pub path: String,
    /// The urgency of the class relative to the others.
    pub priority: Priority,
    /// The pool that serves the class.
    pub pool: PoolIdx,
    /// The pools among which the requests are split, with their weights; empty if `pool` serves
    /// all requests.
    pub split: Vec<PoolShare>,
    /// How requests and answers are forwarded to and from the pool.
    pub exchange: Exchange,
    /// Whether the class requires an API key.
    pub access: Access,
    /// The latency targets.
    pub targets: Targets,
    /// The time limit for a complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// The guaranteed share of the pool's capacity, in thousandths.
    pub share_permille: u32,
    /// Whether a request may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// The maximum number of retries of one request.
    pub retries_max: u32,
    /// The retry budget: retries as a fraction of first attempts, in thousandths.
    pub retry_budget_permille: u32,
    /// The maximum number of queued requests per router.
    pub queue_max: u32,
    /// The maximum number of requests in flight per workspace and router.
    pub workspace_in_flight_max: u32,
    /// The workspaces that may use the class; empty for all.
    pub workspaces: Vec<String>,
}

/// One pool of a class whose requests are split among pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolIdx,
    /// Its weight relative to the sum of all weights.
    pub weight: u32,
}

/// How requests and answers are forwarded to and from a pool.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Exchange {
    /// The router's own API: chat completions at engines, calls and orders at services.
    #[default]
    Native,
    /// Forwarded unchanged; the answer is valid only when it is complete.
    Whole,
    /// Forwarded unchanged; the answer is a stream of events.
    Events,
    /// Like [`Exchange::Events`], but another server can resume after any complete event.
    ResumableEvents,
}

impl Exchange {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Exchange::Events | Exchange::ResumableEvents)
    }
}

/// Whether a class requires an API key.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Only callers with the API key of a workspace are allowed.
    #[default]
    Workspace,
    /// All callers are allowed; keys are not checked.
    Public,
}

/// The latency targets of a class; a target that is not set is not measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Targets {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Time between two tokens, in milliseconds.
    pub between_tokens_ms: Option<u64>,
    /// Time to the complete answer, in milliseconds.
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
    /// The request runs at most once, identified by an idempotency key.
    #[default]
    AtMostOnce,
}

impl Route {
    /// Whether a request with this host and path matches the class.
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
        let single = self.split.is_empty().then_some(self.pool);
        single.into_iter().chain(self.split.iter().map(|it| it.pool))
    }

    /// The pool of a request by the weights of the split; `random` is uniform over all `u32`.
    pub fn pool_for(&self, random: u32) -> PoolIdx {
        let sum: u64 = self.split.iter().map(|it| u64::from(it.weight)).sum();
        // The sum may take more than 32 bits, and so the product more than 64. The result is below the sum.
        let mut offset = ((u128::from(random) * u128::from(sum)) >> u32::BITS) as u64;
        for share in &self.split {
            let Some(rest) = offset.checked_sub(u64::from(share.weight)) else { return share.pool };
            offset = rest;
        }
        self.pool
    }

    /// The time limit for a complete answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Whether `workspace` may use the class.
    pub fn admits(&self, workspace: &str) -> bool {
        self.workspaces.is_empty() || self.workspaces.iter().any(|it| it == workspace)
    }
}
