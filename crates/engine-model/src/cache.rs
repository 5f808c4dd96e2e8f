//! The prefix cache: a bounded LRU cache of prompt blocks with a bounded log of its changes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Chained hash of a prompt block and all blocks before it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PrefixBlock(pub u64);

/// Sequence number in the log of cache events; the first event has 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CacheSeq(pub u64);

/// One change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CacheEvent {
    /// The event's sequence number.
    pub seq: CacheSeq,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block that was stored or evicted.
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

/// The events from a requested sequence number on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CacheEvents {
    /// The events still in the log, oldest first.
    pub events: Vec<CacheEvent>,
    /// The sequence number to request next.
    pub next: CacheSeq,
    /// Whether the requested sequence number is unavailable: its event has left the log, or the
    /// number is beyond `next`.
    pub gap: bool,
}

/// The cached blocks, indexed by their last use.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    blocks_max: usize,
    last_uses: HashMap<PrefixBlock, u64>,
    by_last_use: BTreeMap<u64, PrefixBlock>,
    use_count: u64,
    log: EventLog,
}

impl PrefixCache {
    pub(crate) fn new(blocks_max: u32, events_max: u32) -> PrefixCache {
        PrefixCache {
            blocks_max: blocks_max as usize,
            last_uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            log: EventLog { events_max: events_max as usize, next: 1, events: VecDeque::new() },
        }
    }

    /// Counts the leading blocks of `prefix` that are cached and marks them as used.
    pub(crate) fn hit_blocks(&mut self, prefix: &[PrefixBlock]) -> u32 {
        let hits = prefix.iter().take_while(|it| self.last_uses.contains_key(it)).count();
        // The first block is touched last, so that eviction removes the tail of a prefix first.
        for block in prefix[..hits].iter().rev() {
            self.touch(*block);
        }
        hits as u32
    }

    /// Adds the leading blocks of `prefix` that fit, evicting the least recently used blocks.
    pub(crate) fn store(&mut self, prefix: &[PrefixBlock]) {
        let fitting = prefix.len().min(self.blocks_max);
        for block in prefix[..fitting].iter().rev() {
            if !self.last_uses.contains_key(block) {
                self.evict_if_full();
                self.log.push(CacheEventKind::Stored, *block);
            }
            self.touch(*block);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.last_uses.len()
    }

    pub(crate) fn events_since(&self, since: CacheSeq) -> CacheEvents {
        self.log.since(since)
    }

    fn touch(&mut self, block: PrefixBlock) {
        self.use_count += 1;
        if let Some(previous) = self.last_uses.insert(block, self.use_count) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.use_count, block);
    }

    fn evict_if_full(&mut self) {
        if self.last_uses.len() < self.blocks_max {
            return;
        }
        let Some((_, oldest)) = self.by_last_use.pop_first() else { return };
        self.last_uses.remove(&oldest);
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
        let from_seq = since.0.max(1);
        let oldest = self.events.front().map_or(self.next, |it| it.seq.0);
        let first = self.events.partition_point(|it| it.seq.0 < from_seq);
        let events = self.events.range(first..).copied().collect();
        CacheEvents {
            events,
            next: CacheSeq(self.next),
            gap: from_seq < oldest || from_seq > self.next,
        }
    }
}
