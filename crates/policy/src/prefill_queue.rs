//! What a server still has to prefill for this router.

use std::collections::BTreeMap;

/// Prompt tokens that a server still has to prefill, by the priority of their requests.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    pub(crate) requests: u32,
    tokens: BTreeMap<u8, u64>,
}

impl PrefillQueue {
    /// The fraction of lower-priority prompt tokens that delays a request, because engines
    /// interleave the chunks of several prompts.
    const LOWER_PRIORITY_WEIGHT: f64 = 0.25;

    pub(crate) fn add(&mut self, priority: u8, tokens: u32) {
        self.requests += 1;
        *self.tokens.entry(priority).or_default() += u64::from(tokens);
    }

    pub(crate) fn remove(&mut self, priority: u8, tokens: u32) {
        self.requests = self.requests.saturating_sub(1);
        if let Some(queued) = self.tokens.get_mut(&priority) {
            *queued = queued.saturating_sub(u64::from(tokens));
        }
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens.values().sum()
    }

    /// The expected number of tokens that are prefilled before a request of this priority.
    pub(crate) fn tokens_ahead_of(&self, priority: u8) -> f64 {
        let weigh = |(other, tokens): (&u8, &u64)| match *other >= priority {
            true => *tokens as f64,
            false => *tokens as f64 * Self::LOWER_PRIORITY_WEIGHT,
        };
        self.tokens.iter().map(weigh).sum()
    }
}
