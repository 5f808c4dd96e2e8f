//! Membership changes, made one at a time and only where they are safe.

use std::time::Instant;

use super::{Node, State};
use crate::{ChangeError, MemberChange, Payload, Peer, Proposal};

impl Node {
    /// Appends a membership change to the log; it takes effect when its entry is appended, before
    /// it is committed.
    ///
    /// # Errors
    /// Fails if this node cannot propose or the change is unsafe now; the error text names the
    /// remedy.
    pub fn change_members(
        &mut self,
        now: Instant,
        change: MemberChange,
    ) -> Result<Proposal, ChangeError> {
        self.check_can_propose(now).map_err(ChangeError::Propose)?;
        self.check_no_change_in_progress()?;
        match change {
            MemberChange::AddLearner(peer) => self.check_add(peer),
            MemberChange::Promote(peer) => self.check_promote(now, peer),
            MemberChange::Remove(peer) => self.check_remove(now, peer),
        }?;
        let members = self.log.members().after(change);
        Ok(self.append_own(Payload::Members(members)))
    }

    /// Checks that every earlier membership change is committed. Majorities of two member lists
    /// that differ by one change overlap; after two changes they may not.
    fn check_no_change_in_progress(&self) -> Result<(), ChangeError> {
        let State::Leader(leader) = &self.state else { return Err(ChangeError::NotCaughtUp) };
        if self.commit < leader.first_index {
            return Err(ChangeError::NotCaughtUp);
        }
        if self.log.members_index() > self.commit {
            return Err(ChangeError::ChangeInProgress);
        }
        Ok(())
    }

    fn check_add(&self, peer: Peer) -> Result<(), ChangeError> {
        if self.log.members().contains(peer) {
            return Err(ChangeError::AlreadyMember(peer));
        }
        Ok(())
    }

    fn check_promote(&self, now: Instant, peer: Peer) -> Result<(), ChangeError> {
        let members = self.log.members();
        if !members.learners.contains(&peer) {
            return Err(ChangeError::NotLearner(peer));
        }
        if members.voter_of(peer.node).is_some() {
            return Err(ChangeError::PreviousDiskIsVoter(peer.node));
        }
        if !self.is_synced(now, peer) {
            return Err(ChangeError::NotSynced(peer));
        }
        Ok(())
    }

    fn check_remove(&self, now: Instant, peer: Peer) -> Result<(), ChangeError> {
        let members = self.log.members();
        if !members.contains(peer) {
            return Err(ChangeError::NotMember(peer));
        }
        if peer == self.me {
            return Err(ChangeError::RemovesLeader(peer));
        }
        if members.learners.contains(&peer) {
            return Ok(());
        }
        let remaining = members.after(MemberChange::Remove(peer));
        let synced = remaining.voters.iter().filter(|it| self.is_synced(now, **it)).count();
        if synced < remaining.majority() {
            return Err(ChangeError::TooFewSyncedVoters);
        }
        Ok(())
    }

    fn is_synced(&self, now: Instant, peer: Peer) -> bool {
        if peer == self.me {
            return true;
        }
        self.peer_statuses(now).iter().any(|it| it.peer == peer && it.synced)
    }
}
