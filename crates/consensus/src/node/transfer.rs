//! Planned leadership transfer, so that a leader can stop without an election timeout of downtime.

use std::time::Instant;

use super::{Node, State};
use crate::{Body, Campaign, Peer, TransferError};

/// The phase of a leadership transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Transfer {
    None,
    /// The leader accepts no commands until the target has its whole log; at the deadline it cancels
    /// the transfer.
    CatchingUp {
        target: Peer,
        deadline: Instant,
    },
    /// The leader has released its lease for the rest of the term, since the target may start an
    /// election at any time; at the deadline it steps down.
    HandedOver {
        deadline: Instant,
    },
}

impl Transfer {
    pub(super) fn is_in_progress(self) -> bool {
        self != Transfer::None
    }

    pub(super) fn has_released_lease(self) -> bool {
        matches!(self, Transfer::HandedOver { .. })
    }

    pub(super) fn is_takeover_overdue(self, now: Instant) -> bool {
        matches!(self, Transfer::HandedOver { deadline } if now >= deadline)
    }

    pub(super) fn abort_overdue_catch_up(&mut self, now: Instant) {
        if matches!(*self, Transfer::CatchingUp { deadline, .. } if now >= deadline) {
            *self = Transfer::None;
        }
    }
}

impl Node {
    /// Starts to transfer the leadership to another voter, for a planned stop.
    ///
    /// # Errors
    /// Fails if this node does not lead, a transfer is in progress, or the target is not a voter
    /// that answers.
    pub fn transfer(&mut self, now: Instant, target: Peer) -> Result<(), TransferError> {
        let timeout = self.settings.election_timeout;
        let is_voter = target != self.me && self.log.members().voters.contains(&target);
        let State::Leader(leader) = &mut self.state else { return Err(TransferError::NotLeader) };
        if leader.transfer.is_in_progress() {
            return Err(TransferError::InProgress);
        }
        if !is_voter {
            return Err(TransferError::NotVoter(target));
        }
        let is_responsive = leader.answered_at(target).is_some_and(|it| now < it + timeout);
        if !is_responsive {
            return Err(TransferError::Unresponsive(target));
        }
        leader.transfer = Transfer::CatchingUp { target, deadline: now + timeout };
        self.hand_over_if_caught_up(now);
        Ok(())
    }

    pub(super) fn hand_over_if_caught_up(&mut self, now: Instant) {
        let last = self.log.last_index();
        let deadline = now + self.settings.election_timeout;
        let State::Leader(leader) = &mut self.state else { return };
        let Transfer::CatchingUp { target, .. } = leader.transfer else { return };
        if leader.matched(target) != last {
            return;
        }
        leader.transfer = Transfer::HandedOver { deadline };
        self.send(target, Body::TakeOver);
    }

    pub(super) fn on_take_over(&mut self, now: Instant) {
        if self.log.members().voters.contains(&self.me) {
            self.start_election(now, Campaign::Transfer);
        }
    }
}
