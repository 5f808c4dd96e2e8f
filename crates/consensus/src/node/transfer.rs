//! Planned handing over of leadership, so that a stopping leader leaves no gap of a timeout.

use std::time::Instant;

use super::{Node, State};
use crate::{Body, Campaign, Peer, TransferError};

/// How far a handing over has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Transfer {
    None,
    /// The leader takes no commands until the target has its whole log.
    CatchingUp {
        target: Peer,
        until: Instant,
    },
    /// The lease is given up for the rest of the term, since the target may stand at any time.
    HandedOver {
        until: Instant,
    },
}

impl Transfer {
    pub(super) fn is_under_way(self) -> bool {
        self != Transfer::None
    }

    pub(super) fn has_given_up_lease(self) -> bool {
        matches!(self, Transfer::HandedOver { .. })
    }

    pub(super) fn is_hand_over_overdue(self, now: Instant) -> bool {
        matches!(self, Transfer::HandedOver { until } if now >= until)
    }

    pub(super) fn give_up_catching_up(&mut self, now: Instant) {
        if matches!(*self, Transfer::CatchingUp { until, .. } if now >= until) {
            *self = Transfer::None;
        }
    }
}

impl Node {
    /// Hands the leadership to another voter, for a planned stop.
    ///
    /// # Errors
    /// Fails if this node does not lead or the target cannot take over.
    pub fn transfer(&mut self, now: Instant, target: Peer) -> Result<(), TransferError> {
        let timeout = self.settings.election_timeout;
        let is_voter = target != self.me && self.log.members().voters.contains(&target);
        let State::Leader(leader) = &mut self.state else { return Err(TransferError::NotLeader) };
        if leader.transfer.is_under_way() {
            return Err(TransferError::InProgress);
        }
        if !is_voter {
            return Err(TransferError::NotVoter(target));
        }
        let is_heard = leader.answered_at(target).is_some_and(|it| now < it + timeout);
        if !is_heard {
            return Err(TransferError::Unresponsive(target));
        }
        leader.transfer = Transfer::CatchingUp { target, until: now + timeout };
        self.hand_over_if_caught_up(now);
        Ok(())
    }

    pub(super) fn hand_over_if_caught_up(&mut self, now: Instant) {
        let last = self.log.last_index();
        let until = now + self.settings.election_timeout;
        let State::Leader(leader) = &mut self.state else { return };
        let Transfer::CatchingUp { target, .. } = leader.transfer else { return };
        if leader.matched(target) != last {
            return;
        }
        leader.transfer = Transfer::HandedOver { until };
        self.send(target, Body::TakeOver);
    }

    pub(super) fn on_take_over(&mut self, now: Instant) {
        if self.log.members().voters.contains(&self.me) {
            self.start_election(now, Campaign::Transfer);
        }
    }
}
