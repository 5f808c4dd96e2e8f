//! Prompts as engines cache them: parts in order, each of which is kept only behind all before it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{choice::mix, keys::BackendKey};

/// How long a shared part that was sent to a server is believed to be kept there. It is short, so
/// that a subject whose burst is over goes back to the home that all routers agree on.
const KEPT_FOR: Duration = Duration::from_secs(5);

/// Shared parts that are remembered before those that were sent long ago are forgotten.
const REMEMBERED_MAX: usize = 4_096;

/// What is known of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts in order; the last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

/// One part of a prompt; equal parts have equal ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What it is known by.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

impl Prompt {
    /// Its length.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        tokens(&self.parts)
    }

    /// The length of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        tokens(self.shared())
    }

    /// The hash of the parts that other requests may share; zero if there are none.
    #[must_use]
    pub fn shared_hash(&self) -> u64 {
        self.shared().iter().fold(0, |hash: u64, it| mix(hash.rotate_left(1) ^ it.id).max(1))
    }

    fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[][..], |(_, shared)| shared)
    }
}

fn tokens(parts: &[PromptPart]) -> u32 {
    parts.iter().fold(0, |sum, it| sum.saturating_add(it.tokens))
}

/// Which shared parts this router has sent to which servers of late.
#[derive(Debug, Default)]
pub(crate) struct SentParts {
    sent: HashMap<u64, Vec<(BackendKey, Instant)>>,
}

impl SentParts {
    /// Notes that a prompt goes to a server.
    pub(crate) fn note(&mut self, now: Instant, prompt: &Prompt, backend: BackendKey) {
        if self.sent.len() >= REMEMBERED_MAX {
            self.sent.retain(|_, sent| sent.iter().any(|it| is_recent(now, it.1)));
        }
        let sent = self.sent.entry(prompt.shared_hash()).or_default();
        sent.retain(|it| it.0 != backend && is_recent(now, it.1));
        sent.push((backend, now));
    }

    /// Whether the shared parts of a prompt went to the server of late.
    pub(crate) fn has(&self, now: Instant, prompt: &Prompt, backend: BackendKey) -> bool {
        let sent = self.sent.get(&prompt.shared_hash());
        sent.is_some_and(|it| it.iter().any(|it| it.0 == backend && is_recent(now, it.1)))
    }
}

fn is_recent(now: Instant, sent: Instant) -> bool {
    now.saturating_duration_since(sent) < KEPT_FOR
}
