//! The invariants of the replicated log; each check fails the test at the first violation.

use std::{collections::BTreeMap, time::Duration};

use consensus::Entry;

/// What the checks have observed so far.
#[derive(Default)]
pub(crate) struct History {
    /// Each committed entry and the application's state after it, by index.
    committed: BTreeMap<u64, (Entry, Vec<u8>)>,
    /// The leader of each term.
    leaders: BTreeMap<u64, u64>,
    /// The last applied index of each running node.
    applied: BTreeMap<u64, u64>,
}

impl History {
    /// Checks that a term has at most one leader.
    pub(crate) fn check_leader(&mut self, id: u64, term: u64) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "n{first} and n{id} both lead term {term}");
    }

    /// Checks that leases never overlap, by the clocks of their holders.
    pub(crate) fn check_lease(&self, holders: &[u64], elapsed: Duration) {
        assert!(holders.len() <= 1, "leases overlap at {elapsed:?}: {holders:?}");
    }

    /// Checks that committed entries never change, are applied in order, and give the same state
    /// on every node.
    pub(crate) fn check_apply(&mut self, id: u64, entry: Entry, state: Vec<u8>) {
        let index = entry.index.0;
        if let Some(before) = self.applied.insert(id, index) {
            assert_eq!(before + 1, index, "n{id} skips or repeats an entry after {before}");
        }
        let new = (entry, state);
        let known = self.committed.entry(index).or_insert_with(|| new.clone());
        assert_eq!(
            known.0, new.0,
            "n{id} applies an entry other than the one committed at {index}"
        );
        assert_eq!(known.1, new.1, "the state of n{id} diverges after entry {index}");
    }

    /// Checks that a snapshot holds the state that its entries give, and that a running node never
    /// restores an older state.
    pub(crate) fn check_restore(&mut self, id: u64, index: u64, state: &[u8]) {
        if let Some(before) = self.applied.insert(id, index) {
            assert!(
                before < index,
                "n{id} restores index {index}, which is not after the applied index {before}"
            );
        }
        if let Some((_, known)) = self.committed.get(&index) {
            assert_eq!(known, state, "the restored state of n{id} diverges at {index}");
        }
    }

    /// Clears the applied index of a killed node, whose next process starts from its snapshot.
    pub(crate) fn reset_applied(&mut self, id: u64) {
        self.applied.remove(&id);
    }
}
