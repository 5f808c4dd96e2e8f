//! The state machine of one member, and the calls that drive it.

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
    Role, RoleChange, Settings, Status, Term, WriteId, Writes,
    log::{KeptEntries, Log},
};
use election::Votes;
use leader::Leader;

/// A disk that has not finished a write for this many election timeouts counts as stalled: its member
/// cannot apply what is committed, so it leaves the leadership to others.
const STALLED_DISK_ELECTION_TIMEOUTS: u32 = 5;

/// One member of the cluster as a pure state machine.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    me: Peer,
    rng: ChaCha8Rng,
    hard_state: HardState,
    /// The hard state in the last write that was returned to the caller.
    issued_hard_state: HardState,
    log: Log,
    commit: LogIndex,
    /// The last index that was returned to the caller for applying.
    applied: LogIndex,
    state: State,
    leader: Option<Peer>,
    /// When the last message from a leader arrived; initially the start of this process, since the
    /// process before it may have answered a leader just before it ended.
    leader_contact_at: Instant,
    election_deadline: Instant,
    /// Messages that may be sent now.
    outbox: Vec<Message>,
    /// Messages that may depend on changes that no write contains yet.
    after_next_write: Vec<Message>,
    /// Messages that depend on the write in flight.
    after_current_write: Vec<Message>,
    /// The id of the last write that was returned to the caller.
    write_id: WriteId,
    /// The write in flight and since when a tick has found it so.
    waiting_write: Option<(WriteId, Instant)>,
    /// The last role change that was returned to the caller.
    reported_role: Option<RoleChange>,
}

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leader>),
}

impl Node {
    /// Starts a member from the state recovered from its disk.
    pub fn new(settings: Settings, me: Peer, recovered: Recovered, now: Instant) -> Node {
        let hard_state = recovered.hard_state;
        let log = Log::new(recovered);
        let start = log.snapshot().index;
        let mut node = Node {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            me,
            hard_state,
            issued_hard_state: hard_state,
            commit: start,
            applied: start,
            log,
            state: State::Follower,
            leader: None,
            leader_contact_at: now,
            election_deadline: now,
            outbox: Vec::new(),
            after_next_write: Vec::new(),
            after_current_write: Vec::new(),
            write_id: WriteId(0),
            waiting_write: None,
            reported_role: None,
        };
        node.hard_state.term = node.hard_state.term.max(node.log.last_term());
        node.reset_election_timer(now);
        node
    }

    /// Starts elections and heartbeats that are due; call it at [`Node::next_tick`] at the latest.
    pub fn tick(&mut self, now: Instant) {
        self.observe_write(now);
        match self.state {
            State::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// The time at which [`Node::tick`] is due at the latest.
    pub fn next_tick(&self) -> Instant {
        match &self.state {
            State::Leader(leader) => leader.heartbeat_at,
            _ => self.election_deadline,
        }
    }

    /// Handles a message from another member; a message to another peer is ignored.
    pub fn step(&mut self, now: Instant, message: Message) {
        if message.to != self.me {
            return;
        }
        if self.is_campaign_blocked(now, &message) {
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
                self.follow_leader(now, from);
                self.on_append(from, (prev_index, prev_term), entries, commit, round);
            }
            Body::Install { snapshot, round } => {
                self.follow_leader(now, from);
                self.on_install(from, snapshot, round);
            }
            Body::Appended { matched, round } => self.on_appended(now, from, matched, round),
            Body::AppendRefused { hint, round } => self.on_append_refused(now, from, hint, round),
            Body::TakeOver => self.on_take_over(now),
        }
    }

    /// Adds a command to the log of a leader that holds its lease.
    ///
    /// Commands proposed between two calls of [`Node::ready`] share one write and one message.
    ///
    /// # Errors
    /// Fails if this node is not a leader with a valid lease, is transferring its leadership, or its
    /// log is full. The command is then not in the log and never runs.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<Proposal, ProposeError> {
        self.check_can_propose(now)?;
        if self.log.bytes() >= self.settings.log_bytes_max {
            return Err(ProposeError::LogFull);
        }
        Ok(self.append_own(crate::Payload::Command(command)))
    }

    /// The index up to which entries must be applied before a read is served under the lease.
    ///
    /// # Errors
    /// Fails if this node does not hold the lease, or has not committed an entry of its own term and
    /// so does not know which entries are committed.
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

    /// Returns the work that the preceding calls have caused.
    pub fn ready(&mut self) -> Ready {
        self.send_appends();
        let writes = self.take_writes();
        if writes.is_none() && !self.log.is_write_in_flight() {
            self.outbox.append(&mut self.after_next_write);
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

    /// Records that a write is synced; the next [`Node::ready`] returns the messages that depend on
    /// it.
    pub fn persisted(&mut self, now: Instant, id: WriteId) {
        if id != self.write_id || !self.log.is_write_in_flight() {
            return;
        }
        self.log.persisted();
        for message in std::mem::take(&mut self.after_current_write) {
            if message.to == self.me {
                self.step(now, message);
            } else {
                self.outbox.push(message);
            }
        }
        self.advance_commit();
    }

    /// Makes the application's state after the entry at `index` the new snapshot, and removes the
    /// entries before it except the newest [`Settings::kept_entries`] that fit into
    /// [`Settings::kept_bytes`].
    ///
    /// Does nothing if the index is not applied yet or is covered by the last snapshot.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index > self.applied || index <= self.log.snapshot().index {
            return;
        }
        let kept =
            KeptEntries { entries: self.settings.kept_entries, bytes: self.settings.kept_bytes };
        self.log.compact(index, data, kept);
    }

    /// The status of this member for operators and for [`crate::next_repair_step`].
    pub fn status(&self, now: Instant) -> Status {
        Status {
            me: self.me,
            role: self.role(),
            term: self.hard_state.term,
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

    /// Adopts the message's term if it is newer; `false` if the message is stale and to be dropped.
    ///
    /// A pre-vote and a granted reply to it carry the term of an election that may never start, so
    /// they leave the term unchanged.
    fn adopt_term(&mut self, now: Instant, message: &Message) -> bool {
        match message.body {
            Body::PreVote { .. } if message.term > self.hard_state.term => return true,
            Body::PreVoteReply { granted: true } => {
                return message.term == self.hard_state.term.next();
            }
            _ => {}
        }
        if message.term > self.hard_state.term {
            self.become_follower(now, message.term);
        }
        let is_stale =
            message.term < self.hard_state.term || matches!(message.body, Body::PreVote { .. });
        if is_stale {
            self.refuse_stale_term(message);
        }
        !is_stale
    }

    /// Replies to a leader or candidate of an older term, which then adopts the newer one.
    fn refuse_stale_term(&mut self, message: &Message) {
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

    /// Notes since when the write in flight waits for the disk.
    fn observe_write(&mut self, now: Instant) {
        let is_waiting = self.log.is_write_in_flight();
        let earlier = self.waiting_write.filter(|(id, _)| is_waiting && *id == self.write_id);
        self.waiting_write = earlier.or(is_waiting.then_some((self.write_id, now)));
    }

    /// Whether the disk has not finished a write for so long that this member should not lead.
    fn is_disk_stalled(&self, now: Instant) -> bool {
        let timeout = self.settings.election_timeout * STALLED_DISK_ELECTION_TIMEOUTS;
        self.waiting_write.is_some_and(|(_, since)| now >= since + timeout)
    }

    fn become_follower(&mut self, now: Instant, term: Term) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
        }
        self.state = State::Follower;
        self.leader = None;
        self.reset_election_timer(now);
    }

    fn send(&mut self, to: Peer, body: Body) {
        self.outbox.push(Message { from: self.me, to, term: self.hard_state.term, body });
    }

    /// Sends a message after all changes made so far are synced.
    fn send_after_sync(&mut self, to: Peer, body: Body) {
        self.after_next_write.push(Message { from: self.me, to, term: self.hard_state.term, body });
    }

    fn take_writes(&mut self) -> Option<Writes> {
        if self.log.is_write_in_flight() {
            return None;
        }
        let hard_state = (self.hard_state != self.issued_hard_state).then_some(self.hard_state);
        let mut writes = self.log.take_writes(hard_state)?;
        self.issued_hard_state = self.hard_state;
        self.write_id = WriteId(self.write_id.0 + 1);
        self.after_current_write = std::mem::take(&mut self.after_next_write);
        writes.id = self.write_id;
        Some(writes)
    }

    /// The entries to apply; none while a snapshot waits to be restored first.
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
        let change =
            RoleChange { role: self.role(), term: self.hard_state.term, leader: self.leader };
        if self.reported_role == Some(change) {
            return None;
        }
        self.reported_role = Some(change);
        self.reported_role
    }
}
