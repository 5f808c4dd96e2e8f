//! The statistics of a stand-in, served at `GET /stats`.

use serde::{Deserialize, Serialize};

/// Counters since the start of a stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stats {
    /// Requests that passed admission.
    pub requests_started: u64,
    /// Requests refused before they started.
    pub requests_refused: u64,
    /// Requests whose last token was generated, or that were executed or looked up.
    pub requests_finished: u64,
    /// Requests cancelled by a call, or because no reader returned within the retention period.
    pub requests_cancelled: u64,
    /// Answers that a fault cut.
    pub answers_cut: u64,
    /// Answers that a fault replaced with another request's.
    pub answers_crossed: u64,
    /// Tokens generated.
    pub tokens_generated: u64,
    /// Tokens generated for requests that were then cancelled or whose answer was cut or crossed.
    pub tokens_wasted: u64,
    /// Tokens generated for undelivered streams that have no reader at the moment.
    pub tokens_detached: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Orders executed.
    pub executions: u64,
    /// Orders executed with a key that had been executed before.
    pub repeated_executions: u64,
    /// Engine orders applied although their fencing number was old.
    pub stale_orders_applied: u64,
}
