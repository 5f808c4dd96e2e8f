//! Prompts as engines cache them: a sequence of parts, where each part is cached only together with
//! all parts before it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{keys::BackendKey, selection::mix};

/// Time for which a prefix that was sent to a server is assumed to be cached there. It is short, so
/// that a prefix returns to the home server that all routers agree on once a burst is over.
const CACHE_RETENTION: Duration = Duration::from_secs(5);

/// Number of recorded prefixes above which expired ones are removed.
const RECENT_PREFIXES_MAX: usize = 4_096;

/// The known structure of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one is specific to this request or its session.
    pub parts: Vec<PromptPart>,
}

/// One part of a prompt; equal parts have equal ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The identifier of its content.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// The length in tokens.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        tokens(&self.parts)
    }

    /// The length of the prefix that other requests may share, in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        tokens(self.shared())
    }

    /// The ids of the parts that other requests may share.
    #[must_use]
    pub fn shared_ids(&self) -> Vec<u64> {
        self.shared().iter().map(|it| it.id).collect()
    }

    /// The hash of the prefix that other requests may share; zero if there is none.
    #[must_use]
    pub fn shared_hash(&self) -> u64 {
        self.shared().iter().fold(0, |hash: u64, it| mix(hash.rotate_left(1) ^ it.id).max(1))
    }

    /// The parts that other requests may share: all but the last one.
    fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[][..], |(_, shared)| shared)
    }
}

fn tokens(parts: &[PromptPart]) -> u32 {
    parts.iter().fold(0, |sum, it| sum.saturating_add(it.tokens))
}

/// The shared prefixes that this router has recently sent to each server.
#[derive(Debug, Default)]
pub(crate) struct RecentPrefixes {
    sent: HashMap<u64, Vec<(BackendKey, Instant)>>,
}

impl RecentPrefixes {
    /// Records that a prompt is sent to a server.
    pub(crate) fn record(&mut self, now: Instant, prompt: &Prompt, backend: BackendKey) {
        if self.sent.len() >= RECENT_PREFIXES_MAX {
            self.sent.retain(|_, sent| sent.iter().any(|it| is_recent(now, it.1)));
        }
        let sent = self.sent.entry(prompt.shared_hash()).or_default();
        sent.retain(|it| it.0 != backend && is_recent(now, it.1));
        sent.push((backend, now));
    }

    /// Whether the shared prefix of a prompt was recently sent to the server.
    pub(crate) fn contains(&self, now: Instant, prompt: &Prompt, backend: BackendKey) -> bool {
        let sent = self.sent.get(&prompt.shared_hash());
        sent.is_some_and(|it| it.iter().any(|it| it.0 == backend && is_recent(now, it.1)))
    }
}

fn is_recent(now: Instant, sent: Instant) -> bool {
    now.saturating_duration_since(sent) < CACHE_RETENTION
}
