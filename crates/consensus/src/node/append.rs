//! The receiving side of replication.

use std::{sync::Arc, time::Instant};

use super::{Node, State};
use crate::{Body, Entry, LogIndex, Peer, Snapshot, Term};

impl Node {
    /// Becomes a follower of the sender and restarts the election timer.
    pub(super) fn follow_leader(&mut self, now: Instant, from: Peer) {
        self.state = State::Follower;
        self.leader = Some(from);
        self.leader_contact_at = now;
        self.reset_election_timer(now);
    }

    pub(super) fn on_append(
        &mut self,
        from: Peer,
        prev: (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        round: u64,
    ) {
        let (prev_index, prev_term) = prev;
        if !self.matches_at(prev_index, prev_term) {
            let hint = self.log.last_index().min(prev_index.prev()).max(self.commit);
            self.send_after_sync(from, Body::AppendRefused { hint, round });
            return;
        }
        let matched = self.log.merge(prev_index, entries);
        self.commit = self.commit.max(commit.min(matched));
        self.send_after_sync(from, Body::Appended { matched, round });
    }

    pub(super) fn on_install(&mut self, from: Peer, snapshot: Arc<Snapshot>, round: u64) {
        let matched = snapshot.index;
        if !self.matches_at(snapshot.index, snapshot.term) {
            self.log.install(snapshot);
        }
        self.commit = self.commit.max(matched);
        self.send_after_sync(from, Body::Appended { matched, round });
    }

    /// Whether the log matches the leader's log at the index; committed entries always match.
    fn matches_at(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }
}
