//! Pre-vote, votes and the rule that a heard leader bars campaigns.

use std::{collections::BTreeSet, time::Instant};

use rand::RngExt;

use super::{Node, State};
use crate::{Body, Campaign, LogIndex, Message, Payload, Peer, Term, node::leader::Leader};

/// The peers that granted a vote.
#[derive(Debug, Default)]
pub(super) struct Votes {
    granted: BTreeSet<Peer>,
}

impl Node {
    /// Whether a campaign is to be ignored because a leader may still hold its lease.
    ///
    /// A voter waits a whole election timeout after it heard a leader; the leader's lease, counted
    /// from the sending of the heartbeat, is over by then. A handed-over lease bars nothing.
    pub(super) fn is_campaign_barred(&self, now: Instant, message: &Message) -> bool {
        let campaigns = match message.body {
            Body::PreVote { .. } => true,
            Body::Vote { campaign, .. } => campaign == Campaign::ElectionTimeout,
            _ => false,
        };
        campaigns && (self.has_heard_leader(now) || !self.lease_left(now).is_zero())
    }

    pub(super) fn refuse_campaign(&mut self, message: &Message) {
        if matches!(message.body, Body::PreVote { .. }) {
            self.send_after_sync(message.from, Body::PreVoteReply { granted: false });
        }
    }

    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let least = self.settings.election_timeout;
        self.election_at = now + self.rng.random_range(least..=least * 2);
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_timer(now);
        if !self.log.members().voters.contains(&self.me) {
            return;
        }
        self.leader = None;
        self.state = State::PreCandidate(Votes::default());
        let body =
            Body::PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let term = self.hard.term.next();
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
        let granted = self.is_log_as_new(last_index, last_term);
        let term = if granted { term } else { self.hard.term };
        let body = Body::PreVoteReply { granted };
        self.after_sync.push(Message { from: self.me, to: from, term, body });
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
        self.become_follower(now, self.hard.term.next());
        self.hard.voted_for = Some(self.me);
        self.state = State::Candidate(Votes::default());
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            campaign,
        };
        for to in self.other_voters() {
            self.send_after_sync(to, body.clone());
        }
        // The own vote goes the way of a message, so that it counts only when it is synced.
        self.send_after_sync(self.me, Body::VoteReply { granted: true });
    }

    pub(super) fn on_vote(
        &mut self,
        now: Instant,
        from: Peer,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let is_free = self.hard.voted_for.is_none_or(|it| it == from);
        let granted = is_free && self.is_log_as_new(last_index, last_term);
        if granted {
            self.hard.voted_for = Some(from);
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
        let first_index = self.log.push(self.hard.term, Payload::Empty);
        self.leader = Some(self.me);
        self.state = State::Leader(Box::new(Leader::new(now, first_index)));
        self.start_round(now);
    }

    fn has_heard_leader(&self, now: Instant) -> bool {
        now < self.heard_at + self.settings.election_timeout
    }

    fn is_log_as_new(&self, last_index: LogIndex, last_term: Term) -> bool {
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
