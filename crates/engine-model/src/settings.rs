//! The engine's settings and the specification of a request.

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use crate::PrefixBlock;

/// The [`EngineSettings::slowdown_permille`] of a healthy engine.
pub(crate) const NOMINAL_PERMILLE: u64 = 1_000;

/// The capacity and speed of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Base duration of each step.
    pub step_base_us: u64,
    /// Duration that each running sequence adds to a step.
    pub step_per_sequence_us: u64,
    /// Duration that each prefilled token adds to a step; tokens in the prefix cache add none.
    pub prefill_per_token_us: u64,
    /// Maximum number of tokens prefilled in one step; the rest follows in later steps.
    pub prefill_step_max_tokens: u32,
    /// Maximum number of sequences in the batch.
    pub batch_max: u32,
    /// Maximum number of requests that wait for admission to the batch.
    pub waiting_max: u32,
    /// Tokens per block of KV memory.
    pub block_tokens: u32,
    /// Blocks of KV memory for sequences.
    pub kv_blocks: u32,
    /// Blocks of memory for cached prompt prefixes, in addition to `kv_blocks`.
    pub prefix_cache_blocks: u32,
    /// Maximum number of cache events in the log; a reader that lags further behind sees a gap.
    pub cache_events_max: u32,
    /// Whether a paused sequence keeps its KV memory.
    pub paused_kv: PausedKv,
    /// Step duration relative to a healthy engine's: 1,000 is healthy, 4,000 is a straggler that
    /// takes four times as long.
    pub slowdown_permille: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            step_base_us: 12_000,
            step_per_sequence_us: 600,
            prefill_per_token_us: 40,
            prefill_step_max_tokens: 2_048,
            batch_max: 64,
            waiting_max: 256,
            block_tokens: 16,
            kv_blocks: 4_096,
            prefix_cache_blocks: 1_024,
            cache_events_max: 4_096,
            paused_kv: PausedKv::Keep,
            slowdown_permille: NOMINAL_PERMILLE,
        }
    }
}

/// Whether a paused sequence keeps its KV memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PausedKv {
    /// The memory is kept until a sequence that is to run needs it.
    Keep,
    /// The memory is freed at once and the KV is recomputed after the resume.
    Free,
}

/// Identifies a request within one engine; chosen by the caller.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Admission priority: the smaller number is admitted first.
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
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// A request as submitted to the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestSpec {
    /// Unique among the live requests of the engine.
    pub id: RequestId,
    /// Prompt tokens; at least one is prefilled even if the whole prompt is cached.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's complete blocks, each of `block_tokens` tokens.
    pub prefix: Vec<PrefixBlock>,
    /// Answer tokens to decode; with a real engine the caller does not know this in advance.
    pub output_tokens: u32,
    /// Admission priority.
    pub priority: Priority,
}
