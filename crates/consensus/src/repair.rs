//! Chooses the next safe membership change after a disk was lost, a voter failed or leaves, or a
//! node was added.

use std::{collections::BTreeSet, time::Duration};

use derive_more::Display;

use crate::{MemberChange, Peer, PeerStatus, Role, Status};

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

/// What the leader knows beside its status when it chooses a step.
#[derive(Debug, Clone)]
pub struct RepairInput {
    /// The peers that run.
    pub running: BTreeSet<Peer>,
    /// The peers that are about to stop and have asked to give up their votes.
    pub leaving: BTreeSet<Peer>,
    /// The number of voters to keep; further members stay learners until a voter fails or leaves.
    pub voters_max: usize,
    /// How long the leader has led without interruption.
    pub leading_for: Duration,
    /// A voter that has not answered the leader for this long has failed, and a synced learner
    /// takes its vote.
    pub voter_timeout: Duration,
}

impl Default for RepairInput {
    fn default() -> Self {
        RepairInput {
            running: BTreeSet::new(),
            leaving: BTreeSet::new(),
            voters_max: usize::MAX,
            leading_for: Duration::ZERO,
            voter_timeout: Duration::MAX,
        }
    }
}

/// Chooses the next step from the leader's status and what else it knows.
///
/// A node that runs with a new disk is added as a learner. Once it is synced, its old identity is
/// removed before the new one is promoted, so that a majority never depends on the lost disk, nor
/// counts one node twice. A voter that fails or leaves is replaced by a synced learner, which is
/// promoted first, so that a false alarm leaves no fewer voters than before.
pub fn next_repair_step(status: &Status, input: &RepairInput) -> RepairStep {
    if status.role != Role::Leader || status.lease_left.is_zero() {
        return RepairStep::AskLeader;
    }
    if !status.members_committed {
        return RepairStep::AwaitCommit;
    }
    let repair = Repair { status, input };
    let change = repair
        .add_unknown()
        .or_else(|| repair.remove_surplus())
        .or_else(|| repair.use_learner())
        .or_else(|| repair.remove_stopped_learner());
    match change {
        Some(change) => RepairStep::Change(change),
        None => repair.await_sync(),
    }
}

struct Repair<'a> {
    status: &'a Status,
    input: &'a RepairInput,
}

impl Repair<'_> {
    fn add_unknown(&self) -> Option<MemberChange> {
        let is_new = |it: &&Peer| !self.status.members.contains(**it) && !self.is_leaving(**it);
        self.input.running.iter().find(is_new).copied().map(MemberChange::AddLearner)
    }

    /// Removes one of an even number of voters above the limit: an even number bears no more losses
    /// than one voter fewer does.
    fn remove_surplus(&self) -> Option<MemberChange> {
        let voters = &self.status.members.voters;
        if voters.len() <= self.input.voters_max || !voters.len().is_multiple_of(2) {
            return None;
        }
        let last_other = || voters.iter().rev().copied().find(|it| *it != self.status.me);
        self.replaceable_voter().or_else(last_other).map(MemberChange::Remove)
    }

    /// Gives a synced learner the vote of its node's lost disk, a free vote, or that of a voter that
    /// has failed or leaves.
    fn use_learner(&self) -> Option<MemberChange> {
        let members = &self.status.members;
        let learner = members.learners.iter().copied().find(|it| self.can_vote(*it))?;
        if let Some(lost_disk) = members.voter_of(learner.node) {
            return Some(MemberChange::Remove(lost_disk));
        }
        let has_free_vote = members.voters.len() < self.input.voters_max;
        let is_due = has_free_vote || self.replaceable_voter().is_some();
        (is_due && self.can_commit_with(learner)).then_some(MemberChange::Promote(learner))
    }

    fn remove_stopped_learner(&self) -> Option<MemberChange> {
        let is_stopped = |it: &&Peer| !self.input.running.contains(it) && !self.is_leaving(**it);
        let learner = self.status.members.learners.iter().find(is_stopped)?;
        Some(MemberChange::Remove(*learner))
    }

    fn await_sync(&self) -> RepairStep {
        let lagging = self.status.peers.iter().find(|it| !it.synced);
        lagging.map_or(RepairStep::Finished, |it| RepairStep::AwaitSync(it.peer))
    }

    /// A voter whose vote a learner may take: one that leaves or has not answered in time.
    fn replaceable_voter(&self) -> Option<Peer> {
        let voters = || self.status.members.voters.iter().copied();
        let others = || voters().filter(|it| *it != self.status.me);
        others()
            .find(|it| self.is_leaving(*it))
            .or_else(|| others().find(|it| self.has_failed(*it)))
    }

    fn has_failed(&self, voter: Peer) -> bool {
        let Some(peer) = self.peer(voter) else { return false };
        // A member that has not answered in this term has had as long as the leader has led.
        peer.answer_age.unwrap_or(self.input.leading_for) >= self.input.voter_timeout
    }

    fn can_vote(&self, learner: Peer) -> bool {
        self.input.running.contains(&learner)
            && !self.is_leaving(learner)
            && self.is_synced(learner)
    }

    /// Whether the voters that are synced now are a majority once the learner votes too.
    fn can_commit_with(&self, learner: Peer) -> bool {
        let next = self.status.members.after(MemberChange::Promote(learner));
        let synced = next.voters.iter().filter(|it| self.is_synced(**it)).count();
        synced >= next.majority()
    }

    fn is_synced(&self, peer: Peer) -> bool {
        peer == self.status.me || self.peer(peer).is_some_and(|it| it.synced)
    }

    fn is_leaving(&self, peer: Peer) -> bool {
        self.input.leaving.contains(&peer)
    }

    fn peer(&self, peer: Peer) -> Option<&PeerStatus> {
        self.status.peers.iter().find(|it| it.peer == peer)
    }
}
