//! A request inside the engine and its scheduling state.

use crate::RequestSpec;

#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) spec: RequestSpec,
    pub(crate) state: SequenceState,
    /// Order of submission, which breaks ties between equal priorities.
    pub(crate) order: u64,
    /// Answer tokens decoded so far.
    pub(crate) produced_tokens: u32,
    /// Blocks of KV memory held.
    pub(crate) kv_blocks: u32,
    /// Whether the KV of the context is complete or still has to be computed.
    pub(crate) kv: KvState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SequenceState {
    Waiting,
    Running,
    Paused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KvState {
    /// No KV is held: the whole context has to be prefilled.
    Missing,
    /// The KV was imported from another engine; its memory is reserved at admission.
    Imported,
    /// Memory is reserved and the prefill is incomplete.
    Prefilling { remaining_tokens: u32 },
    /// The KV is complete: each step decodes one token.
    Ready,
}

impl Sequence {
    /// Returns the number of prompt tokens and answer tokens so far.
    pub(crate) fn context_tokens(&self) -> u32 {
        self.spec.prompt_tokens + self.produced_tokens
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.produced_tokens >= self.spec.output_tokens
    }
}
