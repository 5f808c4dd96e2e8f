//! One request inside the engine and the state that it is in.

use crate::RequestSpec;

#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) spec: RequestSpec,
    pub(crate) state: SequenceState,
    /// Order of submission; breaks ties of priority.
    pub(crate) order: u64,
    /// Tokens of the answer made so far.
    pub(crate) produced_tokens: u32,
    /// Blocks of KV memory held.
    pub(crate) kv_blocks: u32,
    /// Whether the KV of all tokens so far exists or must be computed.
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
    /// No KV is held: the prompt and the tokens made so far have to be computed.
    Missing,
    /// The KV came from another engine and takes memory once the sequence runs.
    Imported,
    /// Memory is held and some tokens are still to be computed.
    Prefilling { left_tokens: u32 },
    /// Every step makes a token.
    Ready,
}

impl Sequence {
    /// Tokens of the prompt and of the answer so far.
    pub(crate) fn context_tokens(&self) -> u32 {
        self.spec.prompt_tokens + self.produced_tokens
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.produced_tokens >= self.spec.output_tokens
    }
}
