//! The leader's side of replication: heartbeat rounds, appends, the commit index and the lease.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use super::{Node, State};
use crate::{
    Body, Entry, LogIndex, Payload, Peer, PeerStatus, Proposal, ProposeError, Term,
    node::transfer::Transfer,
};

/// How many heartbeat rounds a leader waits for the answer to a snapshot before it resends it.
const SNAPSHOT_RETRY_ROUNDS: u64 = 8;

/// The state that a leader keeps during its term.
#[derive(Debug)]
pub(super) struct Leader {
    /// The index of the first entry of the term; reads and membership changes wait for its commit.
    pub(super) first_index: LogIndex,
    pub(super) heartbeat_at: Instant,
    pub(super) transfer: Transfer,
    progress: BTreeMap<Peer, Progress>,
    /// The number of the newest heartbeat round.
    round: u64,
    /// The rounds that no majority has answered yet, with the times at which they were sent.
    pending_rounds: VecDeque<(u64, Instant)>,
    /// When the newest round that a majority has answered was sent; the lease counts from it.
    lease_start: Option<Instant>,
    /// As `lease_start`, but the start of the term until a majority has answered a round. The leader
    /// steps down an election timeout after it.
    majority_contact_at: Instant,
}

/// Whether to send an append message that carries no entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EmptyAppend {
    Send,
    Skip,
}

/// The replication progress of another member.
#[derive(Debug, Default)]
struct Progress {
    /// The last index known to match the leader's log and to be synced.
    matched: LogIndex,
    /// The index of the next entry to send.
    next: LogIndex,
    /// The newest round that the member has answered.
    answered_round: u64,
    answered_at: Option<Instant>,
    /// The round in which the unanswered snapshot was sent, if there is one.
    snapshot_round: Option<u64>,
}

impl Leader {
    pub(super) fn new(now: Instant, first_index: LogIndex) -> Leader {
        Leader {
            first_index,
            heartbeat_at: now,
            transfer: Transfer::None,
            progress: BTreeMap::new(),
            round: 0,
            pending_rounds: VecDeque::new(),
            lease_start: None,
            majority_contact_at: now,
        }
    }

    pub(super) fn matched(&self, peer: Peer) -> LogIndex {
        self.progress.get(&peer).map_or(LogIndex(0), |it| it.matched)
    }

    pub(super) fn answered_at(&self, peer: Peer) -> Option<Instant> {
        self.progress.get(&peer).and_then(|it| it.answered_at)
    }

    /// Extends the lease for the rounds up to `round`, which a majority has answered.
    fn acknowledge_rounds(&mut self, round: u64) {
        while let Some((sent_round, sent_at)) = self.pending_rounds.front().copied() {
            if sent_round > round {
                return;
            }
            self.lease_start = Some(sent_at);
            self.majority_contact_at = sent_at;
            self.pending_rounds.pop_front();
        }
    }
}

impl Progress {
    fn is_snapshot_due(&self, round: u64) -> bool {
        self.snapshot_round.is_none_or(|it| round >= it + SNAPSHOT_RETRY_ROUNDS)
    }
}

impl Node {
    /// How long this node may still act as leader; zero if it does not lead or has transferred its
    /// leadership.
    ///
    /// The lease counts from the time at which the heartbeats that a majority has answered were
    /// sent, so it expires by the clock alone at a leader that is cut off or was frozen.
    pub fn lease_left(&self, now: Instant) -> Duration {
        let State::Leader(leader) = &self.state else { return Duration::ZERO };
        let Some(sent_at) = leader.lease_start else { return Duration::ZERO };
        if leader.transfer.has_released_lease() {
            return Duration::ZERO;
        }
        (sent_at + self.settings.lease()).saturating_duration_since(now)
    }

    pub(super) fn check_can_propose(&self, now: Instant) -> Result<(), ProposeError> {
        let State::Leader(leader) = &self.state else {
            return Err(ProposeError::NotLeader { leader: self.leader });
        };
        if leader.transfer.is_in_progress() {
            return Err(ProposeError::TransferInProgress);
        }
        if self.lease_left(now).is_zero() {
            return Err(ProposeError::NoLease);
        }
        Ok(())
    }

    /// Appends an entry of this leader's term to its log.
    pub(super) fn append_own(&mut self, payload: Payload) -> Proposal {
        let index = self.log.push(self.hard_state.term, payload);
        Proposal { index, term: self.hard_state.term }
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let timeout = self.settings.election_timeout;
        let is_disk_stalled = self.is_disk_stalled(now);
        let State::Leader(leader) = &mut self.state else { return };
        leader.transfer.abort_overdue_catch_up(now);
        let is_cut_off = now >= leader.majority_contact_at + timeout;
        let is_round_due = now >= leader.heartbeat_at;
        if is_cut_off || is_disk_stalled || leader.transfer.is_takeover_overdue(now) {
            self.become_follower(now, self.hard_state.term);
            return;
        }
        if is_round_due {
            self.start_round(now);
        }
    }

    /// Starts a heartbeat round: sends an append message to every member and records the time.
    pub(super) fn start_round(&mut self, now: Instant) {
        let interval = self.settings.heartbeat_interval;
        let State::Leader(leader) = &mut self.state else { return };
        leader.round += 1;
        leader.pending_rounds.push_back((leader.round, now));
        leader.heartbeat_at = now + interval;
        for peer in self.other_members() {
            self.send_append(peer, EmptyAppend::Send);
        }
        self.update_answered_rounds();
    }

    /// Sends the entries that each member lacks and that are not in flight to it.
    pub(super) fn send_appends(&mut self) {
        if !matches!(self.state, State::Leader(_)) {
            return;
        }
        for peer in self.other_members() {
            self.send_append(peer, EmptyAppend::Skip);
        }
    }

    pub(super) fn on_appended(&mut self, now: Instant, from: Peer, matched: LogIndex, round: u64) {
        let Some(progress) = self.record_answer(now, from, round) else { return };
        if progress.snapshot_round.is_some_and(|it| round >= it) {
            progress.snapshot_round = None;
        }
        progress.matched = progress.matched.max(matched);
        progress.next = progress.next.max(matched.next());
        self.update_answered_rounds();
        self.advance_commit();
        self.hand_over_if_caught_up(now);
    }

    pub(super) fn on_append_refused(
        &mut self,
        now: Instant,
        from: Peer,
        hint: LogIndex,
        round: u64,
    ) {
        let Some(progress) = self.record_answer(now, from, round) else { return };
        progress.next = hint.next().min(progress.next).max(progress.matched.next());
        self.update_answered_rounds();
    }

    /// Advances the commit index to the last entry that a majority has synced, if that entry is of
    /// the leader's own term; entries of earlier terms are committed with it.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let saved = self.log.saved();
        let matched = |peer| if peer == self.me { saved } else { leader.matched(peer) };
        let Some(index) = self.log.members().reached_by_majority(matched) else { return };
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit = index;
        }
    }

    pub(super) fn peer_statuses(&self, now: Instant) -> Vec<PeerStatus> {
        let State::Leader(leader) = &self.state else { return Vec::new() };
        let status = |peer| {
            let matched = leader.matched(peer);
            let answer_age = leader.answered_at(peer).map(|it| now.saturating_duration_since(it));
            let lag_entries = self.commit.0.saturating_sub(matched.0);
            let is_responsive = answer_age.is_some_and(|it| it < self.settings.election_timeout);
            let synced = is_responsive && lag_entries == 0;
            PeerStatus { peer, matched, lag_entries, answer_age, synced }
        };
        self.other_members().into_iter().map(status).collect()
    }

    fn other_members(&self) -> Vec<Peer> {
        self.log.members().all().filter(|it| *it != self.me).collect()
    }

    /// Records an answer and returns the sender's progress; `None` if this node does not lead or
    /// has sent nothing to that peer.
    fn record_answer(&mut self, now: Instant, from: Peer, round: u64) -> Option<&mut Progress> {
        let State::Leader(leader) = &mut self.state else { return None };
        let progress = leader.progress.get_mut(&from)?;
        progress.answered_round = progress.answered_round.max(round);
        progress.answered_at = Some(now);
        Some(progress)
    }

    /// Extends the lease by the newest round that a majority has answered.
    fn update_answered_rounds(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        let answered = |peer| {
            if peer == self.me {
                return leader.round;
            }
            leader.progress.get(&peer).map_or(0, |it| it.answered_round)
        };
        if let Some(round) = self.log.members().reached_by_majority(answered) {
            leader.acknowledge_rounds(round);
        }
    }

    /// Sends the next entries to a member, or the snapshot if the log no longer holds them.
    fn send_append(&mut self, peer: Peer, empty_append: EmptyAppend) {
        let last = self.log.last_index();
        let State::Leader(leader) = &mut self.state else { return };
        let round = leader.round;
        let progress = leader
            .progress
            .entry(peer)
            .or_insert_with(|| Progress { next: last.next(), ..Progress::default() });
        if progress.next <= self.log.base_index() {
            if progress.is_snapshot_due(round) {
                progress.snapshot_round = Some(round);
                let snapshot = self.log.snapshot().clone();
                self.send(peer, Body::Install { snapshot, round });
            } else if empty_append == EmptyAppend::Send {
                self.send(peer, bare_heartbeat(round));
            }
            return;
        }
        let limit = LogIndex(last.0.min(progress.matched.0 + self.settings.inflight_entries));
        let prev_index = progress.next.prev();
        let entries =
            entries_within(self.log.range(progress.next, limit), self.settings.append_bytes);
        if entries.is_empty() && empty_append == EmptyAppend::Skip {
            return;
        }
        progress.next = LogIndex(progress.next.0 + entries.len() as u64);
        let prev_term = self.log.term_at(prev_index).unwrap_or_default();
        let commit = self.commit;
        self.send(peer, Body::Append { prev_index, prev_term, entries, commit, round });
    }
}

/// A heartbeat for a member that still has to install a snapshot; it matches any log.
fn bare_heartbeat(round: u64) -> Body {
    Body::Append {
        prev_index: LogIndex(0),
        prev_term: Term(0),
        entries: Vec::new(),
        commit: LogIndex(0),
        round,
    }
}

/// The first entries that fit into `limit_bytes`, but at least one if there is any.
fn entries_within<'a>(entries: impl Iterator<Item = &'a Entry>, limit_bytes: usize) -> Vec<Entry> {
    let mut bytes = 0;
    let mut taken = Vec::new();
    for entry in entries {
        bytes += entry.size_bytes();
        if bytes > limit_bytes && !taken.is_empty() {
            break;
        }
        taken.push(entry.clone());
    }
    taken
}
