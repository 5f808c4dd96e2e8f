//! The prefix cache: limited memory, least recently used out first, and a log of its events.

use std::collections::{BTreeMap, HashMap, VecDeque};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Hash of a prompt's block and of all blocks before it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PrefixBlock(pub u64);

/// Position in the log of cache events; the first event has 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CacheSeq(pub u64);

/// One change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CacheEvent {
    /// Its position in the log.
    pub seq: CacheSeq,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block that it happened to.
    pub prefix: PrefixBlock,
}

/// What happened to a block of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The block was added.
    Stored,
    /// The block was evicted to make room.
    Evicted,
}

/// A reader's page of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CacheEvents {
    /// The events that are still in the log, oldest first.
    pub events: Vec<CacheEvent>,
    /// What to ask for next.
    pub next: CacheSeq,
    /// Whether events between the position asked for and the first one here are lost.
    pub gap: bool,
}

/// The blocks in the cache, by the time of their last use.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    blocks_max: usize,
    used_at: HashMap<PrefixBlock, u64>,
    by_use: BTreeMap<u64, PrefixBlock>,
    uses: u64,
    log: EventLog,
}

impl PrefixCache {
    pub(crate) fn new(blocks_max: u32, events_max: u32) -> PrefixCache {
        PrefixCache {
            blocks_max: blocks_max as usize,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            log: EventLog { events_max: events_max as usize, next: 1, events: VecDeque::new() },
        }
    }

    /// Counts the blocks at the head of `prefix` that are cached, and marks them as used.
    pub(crate) fn hit(&mut self, prefix: &[PrefixBlock]) -> u32 {
        let hits = prefix.iter().take_while(|it| self.used_at.contains_key(it)).count();
        // The head is used last, so that eviction takes the tail of a prefix first.
        for block in prefix[..hits].iter().rev() {
            self.touch(*block);
        }
        hits as u32
    }

    /// Adds the blocks of `prefix` that fit, evicting the least recently used ones.
    pub(crate) fn store(&mut self, prefix: &[PrefixBlock]) {
        let fitting = prefix.len().min(self.blocks_max);
        for block in prefix[..fitting].iter().rev() {
            if !self.used_at.contains_key(block) {
                self.evict_for_one();
                self.log.push(CacheEventKind::Stored, *block);
            }
            self.touch(*block);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.used_at.len()
    }

    pub(crate) fn events_since(&self, since: CacheSeq) -> CacheEvents {
        self.log.since(since)
    }

    fn touch(&mut self, block: PrefixBlock) {
        self.uses += 1;
        if let Some(previous) = self.used_at.insert(block, self.uses) {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.uses, block);
    }

    fn evict_for_one(&mut self) {
        if self.used_at.len() < self.blocks_max {
            return;
        }
        let Some((_, oldest)) = self.by_use.pop_first() else { return };
        self.used_at.remove(&oldest);
        self.log.push(CacheEventKind::Evicted, oldest);
    }
}

#[derive(Debug)]
struct EventLog {
    events_max: usize,
    next: u64,
    events: VecDeque<CacheEvent>,
}

impl EventLog {
    fn push(&mut self, kind: CacheEventKind, prefix: PrefixBlock) {
        self.events.push_back(CacheEvent { seq: CacheSeq(self.next), kind, prefix });
        self.next += 1;
        if self.events.len() > self.events_max {
            self.events.pop_front();
        }
    }

    fn since(&self, since: CacheSeq) -> CacheEvents {
        let wanted = since.0.max(1);
        let oldest = self.events.front().map_or(self.next, |it| it.seq.0);
        let first = self.events.partition_point(|it| it.seq.0 < wanted);
        let events = self.events.range(first..).copied().collect();
        CacheEvents {
            events,
            next: CacheSeq(self.next),
            gap: wanted < oldest || wanted > self.next,
        }
    }
}
