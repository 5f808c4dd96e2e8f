//! Gives up the vote of a member that is about to stop to a synced learner.
//!
//! A VM may be removed for good once its successor has caught up, and the next VM may fail right
//! after that. The vote therefore moves while both still run, not after the first has been silent
//! for a while.

use std::time::Duration;

use consensus::Peer;

use super::Replica;
use crate::envelope::Envelope;

/// The interval at which a member that stops asks the leader to take its vote.
const LEAVE_INTERVAL: Duration = Duration::from_millis(50);

/// How long the leader remembers such a request; it is repeated while the member runs.
pub(super) const LEAVE_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// How far a member that stops has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Departure {
    /// The member keeps running.
    #[default]
    None,
    /// The member asks the leader to take its vote.
    Leaving,
    /// The leader has committed members without this one's vote.
    Left,
}

impl Replica {
    /// Asks the leader to give this member's vote to a learner, until it has done so.
    ///
    /// Returns at once if this member has no vote or there is no learner that could take it.
    pub(crate) async fn give_up_vote(&self) {
        let members = self.status().members;
        if !members.voters.contains(&self.me()) || members.learners.is_empty() {
            return;
        }
        self.departure.set(Departure::Leaving);
        while self.departure.get() != Departure::Left {
            if let Some(leader) = self.status().leader.filter(|it| *it != self.me()) {
                self.send(leader.node, &Envelope::Leave(self.me()));
            }
            monoio::time::sleep(LEAVE_INTERVAL).await;
        }
    }

    /// Records that a member is about to stop, and answers it once it no longer votes.
    pub(crate) fn record_leave(&self, peer: Peer) {
        if !self.leads() {
            return;
        }
        let status = self.status();
        if status.members_committed && !status.members.voters.contains(&peer) {
            self.send(peer.node, &Envelope::Left(peer));
            return;
        }
        let now = self.clock.now();
        let earlier = self.core.borrow_mut().leave_requests.insert(peer, now);
        if earlier.is_none() {
            tracing::info!(event = "leave_requested", member = %peer);
        }
        self.run_repair_step();
    }

    /// Records that this member no longer votes.
    pub(crate) fn record_left(&self, peer: Peer) {
        if peer == self.me() && self.departure.get() == Departure::Leaving {
            self.departure.set(Departure::Left);
            tracing::info!(event = "vote_given_up", member = %peer);
        }
    }

    /// Whether this member is about to stop and no longer announces itself.
    pub(super) fn is_departing(&self) -> bool {
        self.departure.get() != Departure::None
    }
}
