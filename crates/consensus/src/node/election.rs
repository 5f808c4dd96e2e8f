//! Pre-votes, votes, and the rule that voters ignore campaigns while a leader is active.

use std::{collections::BTreeSet, time::Instant};

use rand::RngExt;

use super::{Node, State};
use crate::{Body, Campaign, LogIndex, Message, Payload, Peer, Term, node::leader::Leader};

/// The peers that have granted their votes in a campaign.
#[derive(Debug, Default)]
pub(super) struct Votes {
    granted: BTreeSet<Peer>,
}

impl Node {
    /// Whether to ignore a campaign because a leader may still hold its lease.
    ///
    /// A voter waits a whole election timeout after the last message from a leader. The leader's
    /// lease, which counts from the time the heartbeat was sent, has expired by then. A campaign
    /// after a leadership transfer is not blocked, since that leader has released its lease.
    pub(super) fn is_campaign_blocked(&self, now: Instant, message: &Message) -> bool {
        let is_campaign = match message.body {
            Body::PreVote { .. } => true,
            Body::Vote { campaign, .. } => campaign == Campaign::ElectionTimeout,
            _ => false,
        };
        is_campaign && (self.has_recent_leader(now) || !self.lease_left(now).is_zero())
    }

    /// Answers a blocked pre-vote; a blocked vote request gets no answer.
    pub(super) fn refuse_campaign(&mut self, message: &Message) {
        if matches!(message.body, Body::PreVote { .. }) {
            self.send_after_sync(message.from, Body::PreVoteReply { granted: false });
        }
    }

    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let shortest = self.settings.election_timeout;
        self.election_deadline = now + self.rng.random_range(shortest..=shortest * 2);
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_timer(now);
        if !self.log.members().voters.contains(&self.me) || self.is_disk_stalled(now) {
            return;
        }
        self.leader = None;
        self.state = State::PreCandidate(Votes::default());
        let body =
            Body::PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let term = self.hard_state.term.next();
        for to in self.other_voters() {
            self.outbox.push(Message { from: self.me, to, term, body: body.clone() });
        }
        self.on_pre_vote_reply(now, self.me, true);
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: Peer,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = self.is_log_up_to_date(last_index, last_term);
        let term = if granted { term } else { self.hard_state.term };
        let body = Body::PreVoteReply { granted };
        self.after_next_write.push(Message { from: self.me, to: from, term, body });
    }

    pub(super) fn on_pre_vote_reply(&mut self, now: Instant, from: Peer, granted: bool) {
        let State::PreCandidate(votes) = &mut self.state else { return };
        if !granted {
            return;
        }
        votes.granted.insert(from);
        if votes.is_majority(self.log.members()) {
            self.start_election(now, Campaign::ElectionTimeout);
        }
    }

    pub(super) fn start_election(&mut self, now: Instant, campaign: Campaign) {
        self.become_follower(now, self.hard_state.term.next());
        self.hard_state.voted_for = Some(self.me);
        self.state = State::Candidate(Votes::default());
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            campaign,
        };
        for to in self.other_voters() {
            self.send_after_sync(to, body.clone());
        }
        // The candidate's own vote is sent as a message, so that it counts only after its sync.
        self.send_after_sync(self.me, Body::VoteReply { granted: true });
    }

    pub(super) fn on_vote(
        &mut self,
        now: Instant,
        from: Peer,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let can_vote = self.hard_state.voted_for.is_none_or(|it| it == from);
        let granted = can_vote && self.is_log_up_to_date(last_index, last_term);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.reset_election_timer(now);
        }
        self.send_after_sync(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, now: Instant, from: Peer, granted: bool) {
        let State::Candidate(votes) = &mut self.state else { return };
        if !granted {
            return;
        }
        votes.granted.insert(from);
        if votes.is_majority(self.log.members()) {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Instant) {
        let first_index = self.log.push(self.hard_state.term, Payload::Empty);
        self.leader = Some(self.me);
        self.state = State::Leader(Box::new(Leader::new(now, first_index)));
        self.start_round(now);
    }

    fn has_recent_leader(&self, now: Instant) -> bool {
        now < self.leader_contact_at + self.settings.election_timeout
    }

    /// Whether a candidate's log is at least as up to date as this member's.
    fn is_log_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn other_voters(&self) -> Vec<Peer> {
        self.log.members().voters.iter().copied().filter(|it| *it != self.me).collect()
    }
}

impl Votes {
    fn is_majority(&self, members: &crate::Members) -> bool {
        let granted = self.granted.iter().filter(|it| members.voters.contains(it)).count();
        granted >= members.majority()
    }
}
