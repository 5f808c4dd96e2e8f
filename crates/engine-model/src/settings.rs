//! What a caller tells the engine: its settings and the requests.

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use crate::PrefixBlock;

/// Permille of a whole, the unit of [`EngineSettings::slowdown_permille`].
pub(crate) const WHOLE_PERMILLE: u64 = 1_000;

/// The capacity and the speed of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Time of a step with an empty batch.
    pub step_base_us: u64,
    /// Time that each running sequence adds to a step.
    pub step_per_sequence_us: u64,
    /// Time that each prompt token outside the prefix cache adds to a step.
    pub prefill_per_token_us: u64,
    /// Prompt tokens computed in one step at most; the rest waits for the next step.
    pub prefill_step_max_tokens: u32,
    /// Sequences in the batch at most.
    pub batch_max: u32,
    /// Requests that wait for the batch at most.
    pub waiting_max: u32,
    /// Tokens in one block of KV memory.
    pub block_tokens: u32,
    /// Blocks of KV memory for sequences.
    pub kv_blocks: u32,
    /// Blocks of memory for cached prompt prefixes, beside `kv_blocks`.
    pub prefix_cache_blocks: u32,
    /// Cache events kept for readers; older ones are a gap to a reader that lags.
    pub cache_events_max: u32,
    /// What becomes of the KV memory of a paused sequence.
    pub paused_kv: PausedKv,
    /// Time of a step against a healthy engine's: 1,000 is healthy, 4,000 a straggler.
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
            slowdown_permille: WHOLE_PERMILLE,
        }
    }
}

/// What becomes of the KV memory of a paused sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PausedKv {
    /// It stays until a sequence that could run needs the memory.
    Keep,
    /// It is freed at once and computed again after the resume.
    Free,
}

/// Names a request within one engine; the caller chooses it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Order of admission to the batch: the smaller number is admitted first.
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

/// One request as the engine sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestSpec {
    /// Names the request; no two live requests share it.
    pub id: RequestId,
    /// Tokens of the prompt; at least one is computed even if the whole prefix is cached.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's whole blocks, each of `block_tokens` tokens.
    pub prefix: Vec<PrefixBlock>,
    /// Tokens of the answer; no caller of a real engine knows it in advance.
    pub output_tokens: u32,
    /// Order of admission to the batch.
    pub priority: Priority,
}
