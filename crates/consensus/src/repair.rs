//! Chooses the next safe membership change after a disk was lost or a node was added.

use std::collections::BTreeSet;

use derive_more::Display;

use crate::{MemberChange, Peer, Role, Status};

/// The next step of a repair, for an operator or for the leader to carry out.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RepairStep {
    /// Every voter is synced, so the loss of any one loses no committed entry.
    #[display("finished: every voter is synced")]
    Finished,
    /// This node is not the leader; only the leader can choose the step.
    #[display("ask the leader")]
    AskLeader,
    /// This member must be synced before the next change is safe.
    #[display("wait until {_0} is synced")]
    AwaitSync(Peer),
    /// An earlier change is not committed yet.
    #[display("wait until the last change is committed")]
    AwaitCommit,
    /// This change is safe and advances the repair.
    #[display("change members: {_0:?}")]
    Change(MemberChange),
}

/// Chooses the next step from the leader's status and the peers that are running.
///
/// A node that runs with a new disk is added as a learner. Once it is synced, its old identity is
/// removed before the new one is promoted, so that a majority never depends on the lost disk, nor
/// counts one node twice.
pub fn next_repair_step(status: &Status, running: &BTreeSet<Peer>) -> RepairStep {
    if status.role != Role::Leader || status.lease_left.is_zero() {
        return RepairStep::AskLeader;
    }
    if !status.members_committed {
        return RepairStep::AwaitCommit;
    }
    let unknown = running.iter().copied().find(|it| !status.members.contains(*it));
    if let Some(peer) = unknown {
        return RepairStep::Change(MemberChange::AddLearner(peer));
    }
    if let Some(step) = learner_step(status, running) {
        return step;
    }
    let lagging = status.peers.iter().find(|it| !it.synced);
    lagging.map_or(RepairStep::Finished, |it| RepairStep::AwaitSync(it.peer))
}

fn learner_step(status: &Status, running: &BTreeSet<Peer>) -> Option<RepairStep> {
    let learner = *status.members.learners.first()?;
    if !running.contains(&learner) {
        return Some(RepairStep::Change(MemberChange::Remove(learner)));
    }
    let is_synced = status.peers.iter().any(|it| it.peer == learner && it.synced);
    if !is_synced {
        return Some(RepairStep::AwaitSync(learner));
    }
    let change = match status.members.voter_of(learner.node) {
        Some(old) => MemberChange::Remove(old),
        None => MemberChange::Promote(learner),
    };
    Some(RepairStep::Change(change))
}
