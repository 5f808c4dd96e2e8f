//! What a cluster has promised so far; each check fails the test at the first broken promise.

use std::{collections::BTreeMap, time::Duration};

use consensus::Entry;

/// The promises seen so far.
#[derive(Default)]
pub(crate) struct History {
    committed: BTreeMap<u64, (Entry, Vec<u8>)>,
    leaders: BTreeMap<u64, u64>,
    applied: BTreeMap<u64, u64>,
}

impl History {
    /// A term has one leader.
    pub(crate) fn check_leader(&mut self, id: u64, term: u64) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "n{first} and n{id} both lead term {term}");
    }

    /// Leases never overlap, by the clocks of their holders.
    pub(crate) fn check_lease(&self, holders: &[u64], elapsed: Duration) {
        assert!(holders.len() <= 1, "leases overlap at {elapsed:?}: {holders:?}");
    }

    /// Committed entries never change, are applied in order, and lead to the same state.
    pub(crate) fn check_apply(&mut self, id: u64, entry: Entry, digest: Vec<u8>) {
        let index = entry.index.0;
        if let Some(before) = self.applied.insert(id, index) {
            assert_eq!(before + 1, index, "n{id} skips or repeats an entry");
        }
        let new = (entry, digest);
        let known = self.committed.entry(index).or_insert_with(|| new.clone());
        assert_eq!(known.0, new.0, "n{id} changes the committed entry {index}");
        assert_eq!(known.1, new.1, "n{id} has another state after entry {index}");
    }

    /// A snapshot holds the state that its entries lead to, and no process steps back.
    pub(crate) fn check_restore(&mut self, id: u64, index: u64, digest: &[u8]) {
        if let Some(before) = self.applied.insert(id, index) {
            assert!(before < index, "n{id} steps back from {before} to {index}");
        }
        if let Some((_, known)) = self.committed.get(&index) {
            assert_eq!(known, digest, "n{id} restores another state at {index}");
        }
    }

    /// A new process applies from its snapshot on.
    pub(crate) fn forget_applied(&mut self, id: u64) {
        self.applied.remove(&id);
    }
}
