//! The in-memory log of one member, and the changes to it that are not on disk yet.

use std::{collections::VecDeque, sync::Arc};

use crate::{Entry, HardState, LogIndex, Members, Payload, Recovered, Snapshot, Term, Writes};

/// The entries after the base index, and the changes that storage has not saved yet.
#[derive(Debug)]
pub(crate) struct Log {
    /// The last index that was compacted away; at most the snapshot's index.
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// The size of all entries.
    bytes: usize,
    snapshot: Arc<Snapshot>,
    members: Members,
    members_index: LogIndex,
    /// The last index that is synced.
    saved: LogIndex,
    /// The last index that is synced or in the write in flight.
    issued: LogIndex,
    unsaved: Unsaved,
    in_flight: Option<InFlightWrite>,
    /// A snapshot that the application has not restored yet.
    restore: Option<Arc<Snapshot>>,
}

/// How much of the log before a snapshot to keep for lagging members.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeptEntries {
    pub(crate) entries: u64,
    pub(crate) bytes: usize,
}

/// Changes beside appended entries that no write contains yet.
#[derive(Debug, Default)]
struct Unsaved {
    snapshot: Option<Arc<Snapshot>>,
    compact_to: Option<LogIndex>,
    truncate_from: Option<LogIndex>,
}

/// The write that was returned to the caller and is not synced yet.
#[derive(Debug)]
struct InFlightWrite {
    /// The last index that is synced once the write is; lower after a truncation.
    last: LogIndex,
    /// Whether the write holds a snapshot that the application is to restore after the sync.
    installs_snapshot: bool,
}

impl Log {
    pub(crate) fn new(recovered: Recovered) -> Log {
        let snapshot = Arc::new(recovered.snapshot);
        let entries: VecDeque<_> =
            recovered.entries.into_iter().filter(|it| it.index > snapshot.index).collect();
        let saved = entries.back().map_or(snapshot.index, |it| it.index);
        let mut log = Log {
            base_index: snapshot.index,
            base_term: snapshot.term,
            bytes: entries.iter().map(Entry::size_bytes).sum(),
            entries,
            members: Members::default(),
            members_index: LogIndex(0),
            saved,
            issued: saved,
            unsaved: Unsaved::default(),
            in_flight: None,
            restore: (!snapshot.data.is_empty()).then(|| snapshot.clone()),
            snapshot,
        };
        log.refresh_members();
        log
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |it| it.term)
    }

    /// The size of all entries that the log holds.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    pub(crate) fn saved(&self) -> LogIndex {
        self.saved
    }

    pub(crate) fn members(&self) -> &Members {
        &self.members
    }

    /// The index of the entry or snapshot that defines the current members.
    pub(crate) fn members_index(&self) -> LogIndex {
        self.members_index
    }

    /// The term of an entry; `None` if the entry is missing or compacted away.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|it| it.term)
    }

    /// The entries from `from` to `to`, both inclusive, as far as the log holds them.
    pub(crate) fn range(
        &self,
        from: LogIndex,
        to: LogIndex,
    ) -> impl Iterator<Item = &Entry> + Clone {
        let first = from.0.saturating_sub(self.base_index.0 + 1) as usize;
        let end = to.0.saturating_sub(self.base_index.0) as usize;
        self.entries.iter().take(end).skip(first)
    }

    pub(crate) fn push(&mut self, term: Term, payload: Payload) -> LogIndex {
        let index = self.last_index().next();
        self.push_entry(Entry { index, term, payload });
        index
    }

    /// Appends a leader's entries and truncates conflicting ones; returns the last index that matches
    /// the leader's log.
    pub(crate) fn merge(&mut self, prev_index: LogIndex, entries: Vec<Entry>) -> LogIndex {
        let last_matching = LogIndex(prev_index.0 + entries.len() as u64);
        for entry in entries {
            if entry.index <= self.base_index {
                continue;
            }
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None => {}
            }
            self.push_entry(entry);
        }
        last_matching
    }

    /// Replaces the whole log with a leader's snapshot.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.truncate(self.base_index.next());
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.saved = LogIndex(0);
        self.issued = snapshot.index;
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last = LogIndex(0);
        }
        self.unsaved.snapshot = Some(snapshot.clone());
        self.unsaved.compact_to = Some(snapshot.index);
        self.restore = Some(snapshot.clone());
        self.snapshot = snapshot;
        self.refresh_members();
    }

    /// Makes the application's state at `index` the snapshot and removes the entries before it except
    /// the newest of them that `kept` allows.
    pub(crate) fn compact(&mut self, index: LogIndex, data: Vec<u8>, kept: KeptEntries) {
        let Some(term) = self.term_at(index) else { return };
        let members = self.members_at(index);
        let snapshot = Arc::new(Snapshot { index, term, members, data });
        self.snapshot = snapshot.clone();
        self.unsaved.snapshot = Some(snapshot);
        let base = LogIndex(index.0 - self.count_kept(index, kept));
        if base <= self.base_index {
            return;
        }
        let Some(base_term) = self.term_at(base) else { return };
        let removed = self.entries.drain(..(base.0 - self.base_index.0) as usize);
        self.bytes -= removed.map(|it| it.size_bytes()).sum::<usize>();
        self.base_index = base;
        self.base_term = base_term;
        self.unsaved.compact_to = Some(base);
    }

    /// How many of the entries up to `index` to keep.
    fn count_kept(&self, index: LogIndex, kept: KeptEntries) -> u64 {
        let mut bytes = 0;
        let held = self.entries.iter().take((index.0 - self.base_index.0) as usize).rev();
        let fits = |entry: &&Entry| {
            bytes += entry.size_bytes();
            bytes <= kept.bytes
        };
        held.take_while(fits).take(kept.entries as usize).count() as u64
    }

    pub(crate) fn is_write_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns all unsaved changes and the hard state as one write; `None` if nothing changed.
    pub(crate) fn take_writes(&mut self, hard_state: Option<HardState>) -> Option<Writes> {
        let append: Vec<_> = self.range(self.issued.next(), self.last_index()).cloned().collect();
        let unsaved = std::mem::take(&mut self.unsaved);
        if append.is_empty() && unsaved.is_empty() && hard_state.is_none() {
            return None;
        }
        self.issued = self.last_index();
        let installs_snapshot = unsaved.snapshot.is_some() && self.restore.is_some();
        self.in_flight = Some(InFlightWrite { last: self.issued, installs_snapshot });
        Some(Writes {
            hard_state,
            snapshot: unsaved.snapshot,
            compact_to: unsaved.compact_to,
            truncate_from: unsaved.truncate_from,
            append,
            ..Writes::default()
        })
    }

    /// Records that the write in flight is synced.
    pub(crate) fn persisted(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.saved = self.saved.max(in_flight.last);
        }
    }

    /// The snapshot that the application is to restore, once it is synced.
    pub(crate) fn take_restore(&mut self) -> Option<Arc<Snapshot>> {
        let installing = self.in_flight.as_ref().is_some_and(|it| it.installs_snapshot);
        if installing || self.unsaved.snapshot.is_some() {
            return None;
        }
        self.restore.take()
    }

    /// Whether a snapshot waits to be restored by the application.
    pub(crate) fn is_restore_due(&self) -> bool {
        self.restore.is_some()
    }

    fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    fn push_entry(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.bytes += entry.size_bytes();
        self.entries.push_back(entry);
    }

    fn truncate(&mut self, from: LogIndex) {
        if from > self.last_index() {
            return;
        }
        let removed = self.entries.drain((from.0 - self.base_index.0 - 1) as usize..);
        self.bytes -= removed.map(|it| it.size_bytes()).sum::<usize>();
        let last = from.prev();
        if self.issued >= from {
            let earlier = self.unsaved.truncate_from.unwrap_or(from);
            self.unsaved.truncate_from = Some(earlier.min(from));
        }
        self.issued = self.issued.min(last);
        self.saved = self.saved.min(last);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last = in_flight.last.min(last);
        }
        if self.members_index >= from {
            self.refresh_members();
        }
    }

    /// Recomputes the current members after entries were removed.
    fn refresh_members(&mut self) {
        self.members = self.members_at(self.last_index());
        self.members_index = self
            .entries
            .iter()
            .rev()
            .find(|it| matches!(it.payload, Payload::Members(_)))
            .map_or(self.snapshot.index, |it| it.index);
    }

    fn members_at(&self, index: LogIndex) -> Members {
        let newest = self.range(self.base_index.next(), index).filter_map(|it| match &it.payload {
            Payload::Members(members) => Some(members),
            Payload::Empty | Payload::Command(_) => None,
        });
        newest.last().unwrap_or(&self.snapshot.members).clone()
    }
}

impl Unsaved {
    fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.compact_to.is_none() && self.truncate_from.is_none()
    }
}
