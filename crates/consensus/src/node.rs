//! The member itself: its state, and the calls that drive it.

mod append;
mod change;
mod election;
mod leader;
mod transfer;

use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    Body, HardState, LogIndex, Message, Peer, Proposal, ProposeError, ReadError, Ready, Recovered,
    Role, RoleChange, Settings, Status, Term, WriteId, Writes, log::Log,
};
use election::Votes;
use leader::Leader;

/// A member of the cluster as a pure state machine.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    me: Peer,
    rng: ChaCha8Rng,
    hard: HardState,
    handed_hard: HardState,
    log: Log,
    commit: LogIndex,
    applied: LogIndex,
    state: State,
    leader: Option<Peer>,
    /// When a leader was last heard; a start counts, since an earlier life may have heard one.
    heard_at: Instant,
    election_at: Instant,
    outbox: Vec<Message>,
    after_sync: Vec<Message>,
    held_for_write: Vec<Message>,
    write_id: WriteId,
    told_role: Option<RoleChange>,
}

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leader>),
}

impl Node {
    /// Starts a member from what its disk holds.
    pub fn new(settings: Settings, me: Peer, recovered: Recovered, now: Instant) -> Node {
        let hard = recovered.hard_state;
        let log = Log::new(recovered);
        let start = log.snapshot().index;
        let mut node = Node {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            me,
            hard,
            handed_hard: hard,
            commit: start,
            applied: start,
            log,
            state: State::Follower,
            leader: None,
            heard_at: now,
            election_at: now,
            outbox: Vec::new(),
            after_sync: Vec::new(),
            held_for_write: Vec::new(),
            write_id: WriteId(0),
            told_role: None,
        };
        node.hard.term = node.hard.term.max(node.log.last_term());
        node.reset_election_timer(now);
        node
    }

    /// Moves time on; call it at least every [`Node::next_tick`].
    pub fn tick(&mut self, now: Instant) {
        match self.state {
            State::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_at => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// When [`Node::tick`] is due at the latest.
    pub fn next_tick(&self) -> Instant {
        match &self.state {
            State::Leader(leader) => leader.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Takes a message from another member.
    pub fn step(&mut self, now: Instant, message: Message) {
        if message.to != self.me {
            return;
        }
        if self.is_campaign_barred(now, &message) {
            self.refuse_campaign(&message);
            return;
        }
        if !self.adopt_term(now, &message) {
            return;
        }
        let from = message.from;
        match message.body {
            Body::PreVote { last_index, last_term } => {
                self.on_pre_vote(from, message.term, last_index, last_term);
            }
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(now, from, granted),
            Body::Vote { last_index, last_term, .. } => {
                self.on_vote(now, from, last_index, last_term);
            }
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted),
            Body::Append { prev_index, prev_term, entries, commit, round } => {
                self.hear_leader(now, from);
                self.on_append(from, (prev_index, prev_term), entries, commit, round);
            }
            Body::Install { snapshot, round } => {
                self.hear_leader(now, from);
                self.on_install(from, snapshot, round);
            }
            Body::Appended { matched, round } => self.on_appended(now, from, matched, round),
            Body::AppendRefused { hint, round } => self.on_refused(now, from, hint, round),
            Body::TakeOver => self.on_take_over(now),
        }
    }

    /// Adds a command to the log of a leader that holds its lease.
    ///
    /// Commands proposed between two calls of [`Node::ready`] share one write and one message.
    ///
    /// # Errors
    /// Fails at once if this node cannot get the command committed now; it then never runs.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<Proposal, ProposeError> {
        self.check_can_propose(now)?;
        Ok(self.push_own(crate::Payload::Command(command)))
    }

    /// The index up to which the state must be applied to serve a read under the lease.
    ///
    /// # Errors
    /// Fails if this node does not hold the lease or does not yet know what is committed.
    pub fn read_index(&self, now: Instant) -> Result<LogIndex, ReadError> {
        let State::Leader(leader) = &self.state else {
            return Err(ReadError::NotLeader { leader: self.leader });
        };
        if self.lease_left(now).is_zero() {
            return Err(ReadError::NoLease);
        }
        if self.commit < leader.first_index {
            return Err(ReadError::NotCaughtUp);
        }
        Ok(self.commit)
    }

    /// Hands out the work that the calls before have caused.
    pub fn ready(&mut self) -> Ready {
        self.send_appends();
        let writes = self.take_writes();
        if writes.is_none() && !self.log.is_write_under_way() {
            self.outbox.append(&mut self.after_sync);
        }
        let restore = self.log.take_restore();
        if let Some(snapshot) = &restore {
            self.applied = self.applied.max(snapshot.index);
        }
        Ready {
            messages: std::mem::take(&mut self.outbox),
            writes,
            restore,
            committed: self.take_committed(),
            role: self.take_role_change(),
        }
    }

    /// Notes that a write is synced; its dependent messages come with the next [`Node::ready`].
    pub fn persisted(&mut self, now: Instant, id: WriteId) {
        if id != self.write_id || !self.log.is_write_under_way() {
            return;
        }
        self.log.persisted();
        for message in std::mem::take(&mut self.held_for_write) {
            if message.to == self.me {
                self.step(now, message);
            } else {
                self.outbox.push(message);
            }
        }
        self.advance_commit();
    }

    /// Keeps the application's state after the entry at `index` and shortens the log.
    ///
    /// Indexes that are not applied, or that the last snapshot contains, are ignored.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index > self.applied || index <= self.log.snapshot().index {
            return;
        }
        self.log.compact(index, data, self.settings.kept_entries);
    }

    /// The state of this member for operators.
    pub fn status(&self, now: Instant) -> Status {
        Status {
            me: self.me,
            role: self.role(),
            term: self.hard.term,
            leader: self.leader,
            commit: self.commit,
            applied: self.applied,
            last: self.log.last_index(),
            saved: self.log.saved(),
            members: self.log.members().clone(),
            members_committed: self.log.members_index() <= self.commit,
            lease_left: self.lease_left(now),
            peers: self.peer_statuses(now),
        }
    }

    fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Compares terms; `false` if the message is too old to matter.
    fn adopt_term(&mut self, now: Instant, message: &Message) -> bool {
        match message.body {
            Body::PreVote { .. } if message.term > self.hard.term => return true,
            Body::PreVoteReply { granted: true } => return message.term == self.hard.term.next(),
            _ => {}
        }
        if message.term > self.hard.term {
            self.become_follower(now, message.term);
        }
        let is_old = message.term < self.hard.term || matches!(message.body, Body::PreVote { .. });
        if is_old {
            self.answer_old_term(message);
        }
        !is_old
    }

    /// Tells a leader or candidate of an older term that its term is over.
    fn answer_old_term(&mut self, message: &Message) {
        let body = match message.body {
            Body::Append { round, .. } | Body::Install { round, .. } => {
                Body::AppendRefused { hint: LogIndex(0), round }
            }
            Body::Vote { .. } => Body::VoteReply { granted: false },
            Body::PreVote { .. } => Body::PreVoteReply { granted: false },
            _ => return,
        };
        self.send_after_sync(message.from, body);
    }

    fn become_follower(&mut self, now: Instant, term: Term) {
        if term > self.hard.term {
            self.hard = HardState { term, voted_for: None };
        }
        self.state = State::Follower;
        self.leader = None;
        self.reset_election_timer(now);
    }

    fn send(&mut self, to: Peer, body: Body) {
        self.outbox.push(Message { from: self.me, to, term: self.hard.term, body });
    }

    fn send_after_sync(&mut self, to: Peer, body: Body) {
        self.after_sync.push(Message { from: self.me, to, term: self.hard.term, body });
    }

    fn take_writes(&mut self) -> Option<Writes> {
        if self.log.is_write_under_way() {
            return None;
        }
        let hard_state = (self.hard != self.handed_hard).then_some(self.hard);
        let mut writes = self.log.take_writes(hard_state)?;
        self.handed_hard = self.hard;
        self.write_id = WriteId(self.write_id.0 + 1);
        self.held_for_write = std::mem::take(&mut self.after_sync);
        writes.id = self.write_id;
        Some(writes)
    }

    fn take_committed(&mut self) -> Vec<crate::Entry> {
        if self.log.is_restore_due() {
            return Vec::new();
        }
        let last = self.commit.min(self.log.saved());
        let committed: Vec<_> = self.log.range(self.applied.next(), last).cloned().collect();
        self.applied = committed.last().map_or(self.applied, |it| it.index);
        committed
    }

    fn take_role_change(&mut self) -> Option<RoleChange> {
        let change = RoleChange { role: self.role(), term: self.hard.term, leader: self.leader };
        if self.told_role == Some(change) {
            return None;
        }
        self.told_role = Some(change);
        self.told_role
    }
}
