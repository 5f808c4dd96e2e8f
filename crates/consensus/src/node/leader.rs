//! The leader's side: rounds of heartbeats, replication, commit and the lease.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use super::{Node, State};
use crate::{
    Body, Entry, LogIndex, Payload, Peer, PeerStatus, Proposal, ProposeError, Term,
    node::transfer::Transfer,
};

/// How many heartbeat rounds a leader waits for the answer to a snapshot.
const SNAPSHOT_RETRY_ROUNDS: u64 = 8;

/// What a leader knows in its term.
#[derive(Debug)]
pub(super) struct Leader {
    /// The first entry of the term; reads and membership changes wait until it is committed.
    pub(super) first_index: LogIndex,
    pub(super) heartbeat_at: Instant,
    pub(super) transfer: Transfer,
    progress: BTreeMap<Peer, Progress>,
    round: u64,
    /// When the rounds that no majority has answered were sent.
    sent: VecDeque<(u64, Instant)>,
    /// When the newest round that a majority has answered was sent.
    majority_sent_at: Option<Instant>,
    /// The start of the term, and afterwards the sending of the last round that was answered.
    majority_heard_at: Instant,
}

/// Whether a message goes out even if it carries no entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AtRest {
    Send,
    Skip,
}

/// What a leader knows about another member.
#[derive(Debug, Default)]
struct Progress {
    matched: LogIndex,
    next: LogIndex,
    answered_round: u64,
    answered_at: Option<Instant>,
    /// The round in which a snapshot was sent that is not answered yet.
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
            sent: VecDeque::new(),
            majority_sent_at: None,
            majority_heard_at: now,
        }
    }

    pub(super) fn matched(&self, peer: Peer) -> LogIndex {
        self.progress.get(&peer).map_or(LogIndex(0), |it| it.matched)
    }

    pub(super) fn answered_at(&self, peer: Peer) -> Option<Instant> {
        self.progress.get(&peer).and_then(|it| it.answered_at)
    }

    fn majority_answered(&mut self, round: u64) {
        while let Some((sent_round, sent_at)) = self.sent.front().copied() {
            if sent_round > round {
                return;
            }
            self.majority_sent_at = Some(sent_at);
            self.majority_heard_at = sent_at;
            self.sent.pop_front();
        }
    }
}

impl Progress {
    fn is_snapshot_due(&self, round: u64) -> bool {
        self.snapshot_round.is_none_or(|it| round >= it + SNAPSHOT_RETRY_ROUNDS)
    }
}

impl Node {
    /// How long this node may act as leader; zero if it does not lead or handed over.
    ///
    /// The lease counts from the sending of the heartbeats that a majority has answered, so a
    /// leader that is cut off or was frozen finds it over without any message.
    pub fn lease_left(&self, now: Instant) -> Duration {
        let State::Leader(leader) = &self.state else { return Duration::ZERO };
        let Some(sent_at) = leader.majority_sent_at else { return Duration::ZERO };
        if leader.transfer.has_given_up_lease() {
            return Duration::ZERO;
        }
        (sent_at + self.settings.lease()).saturating_duration_since(now)
    }

    pub(super) fn check_can_propose(&self, now: Instant) -> Result<(), ProposeError> {
        let State::Leader(leader) = &self.state else {
            return Err(ProposeError::NotLeader { leader: self.leader });
        };
        if leader.transfer.is_under_way() {
            return Err(ProposeError::TransferInProgress);
        }
        if self.lease_left(now).is_zero() {
            return Err(ProposeError::NoLease);
        }
        Ok(())
    }

    pub(super) fn push_own(&mut self, payload: Payload) -> Proposal {
        let index = self.log.push(self.hard.term, payload);
        Proposal { index, term: self.hard.term }
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let timeout = self.settings.election_timeout;
        let State::Leader(leader) = &mut self.state else { return };
        leader.transfer.give_up_catching_up(now);
        let is_cut_off = now >= leader.majority_heard_at + timeout;
        let is_round_due = now >= leader.heartbeat_at;
        if is_cut_off || leader.transfer.is_hand_over_overdue(now) {
            self.become_follower(now, self.hard.term);
            return;
        }
        if is_round_due {
            self.start_round(now);
        }
    }

    /// Sends a heartbeat to every member and remembers when.
    pub(super) fn start_round(&mut self, now: Instant) {
        let interval = self.settings.heartbeat_interval;
        let State::Leader(leader) = &mut self.state else { return };
        leader.round += 1;
        leader.sent.push_back((leader.round, now));
        leader.heartbeat_at = now + interval;
        for peer in self.other_members() {
            self.send_append(peer, AtRest::Send);
        }
        self.count_round();
    }

    /// Sends new entries to every member that lacks some.
    pub(super) fn send_appends(&mut self) {
        if !matches!(self.state, State::Leader(_)) {
            return;
        }
        for peer in self.other_members() {
            self.send_append(peer, AtRest::Skip);
        }
    }

    pub(super) fn on_appended(&mut self, now: Instant, from: Peer, matched: LogIndex, round: u64) {
        let Some(progress) = self.answered(now, from, round) else { return };
        if progress.snapshot_round.is_some_and(|it| round >= it) {
            progress.snapshot_round = None;
        }
        progress.matched = progress.matched.max(matched);
        progress.next = progress.next.max(matched.next());
        self.count_round();
        self.advance_commit();
        self.hand_over_if_caught_up(now);
    }

    pub(super) fn on_refused(&mut self, now: Instant, from: Peer, hint: LogIndex, round: u64) {
        let Some(progress) = self.answered(now, from, round) else { return };
        progress.next = hint.next().min(progress.next).max(progress.matched.next());
        self.count_round();
    }

    /// Commits what a majority has synced, if it includes an entry of the own term.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let saved = self.log.saved();
        let matched = |peer| if peer == self.me { saved } else { leader.matched(peer) };
        let Some(index) = self.log.members().reached_by_majority(matched) else { return };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }

    pub(super) fn peer_statuses(&self, now: Instant) -> Vec<PeerStatus> {
        let State::Leader(leader) = &self.state else { return Vec::new() };
        let status = |peer| {
            let matched = leader.matched(peer);
            let answer_age = leader.answered_at(peer).map(|it| now.saturating_duration_since(it));
            let lag_entries = self.commit.0.saturating_sub(matched.0);
            let is_heard = answer_age.is_some_and(|it| it < self.settings.election_timeout);
            let synced = is_heard && lag_entries == 0;
            PeerStatus { peer, matched, lag_entries, answer_age, synced }
        };
        self.other_members().into_iter().map(status).collect()
    }

    fn other_members(&self) -> Vec<Peer> {
        self.log.members().all().filter(|it| *it != self.me).collect()
    }

    fn answered(&mut self, now: Instant, from: Peer, round: u64) -> Option<&mut Progress> {
        let State::Leader(leader) = &mut self.state else { return None };
        let progress = leader.progress.get_mut(&from)?;
        progress.answered_round = progress.answered_round.max(round);
        progress.answered_at = Some(now);
        Some(progress)
    }

    fn count_round(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        let answered = |peer| {
            if peer == self.me {
                return leader.round;
            }
            leader.progress.get(&peer).map_or(0, |it| it.answered_round)
        };
        if let Some(round) = self.log.members().reached_by_majority(answered) {
            leader.majority_answered(round);
        }
    }

    fn send_append(&mut self, peer: Peer, at_rest: AtRest) {
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
            } else if at_rest == AtRest::Send {
                self.send(peer, bare_heartbeat(round));
            }
            return;
        }
        let limit = LogIndex(last.0.min(progress.matched.0 + self.settings.inflight_entries));
        let prev_index = progress.next.prev();
        let entries = bounded(self.log.range(progress.next, limit), self.settings.append_bytes);
        if entries.is_empty() && at_rest == AtRest::Skip {
            return;
        }
        progress.next = LogIndex(progress.next.0 + entries.len() as u64);
        let prev_term = self.log.term_at(prev_index).unwrap_or_default();
        let commit = self.commit;
        self.send(peer, Body::Append { prev_index, prev_term, entries, commit, round });
    }
}

fn bare_heartbeat(round: u64) -> Body {
    Body::Append {
        prev_index: LogIndex(0),
        prev_term: Term(0),
        entries: Vec::new(),
        commit: LogIndex(0),
        round,
    }
}

/// The first entries whose commands fit into `limit_bytes`, at least one.
fn bounded<'a>(entries: impl Iterator<Item = &'a Entry>, limit_bytes: usize) -> Vec<Entry> {
    let mut bytes = 0;
    let mut taken = Vec::new();
    for entry in entries {
        if let Payload::Command(command) = &entry.payload {
            bytes += command.len();
        }
        if bytes > limit_bytes && !taken.is_empty() {
            break;
        }
        taken.push(entry.clone());
    }
    taken
}
