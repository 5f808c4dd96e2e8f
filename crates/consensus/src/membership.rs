//! Who votes and who learns, and the majorities that follow.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{NodeId, Peer};

/// The members of a cluster at one point of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Members {
    /// The peers whose votes and acknowledgements count.
    pub voters: BTreeSet<Peer>,
    /// The peers that receive the log without a vote.
    pub learners: BTreeSet<Peer>,
}

/// One step of a membership change; majorities before and after it always overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberChange {
    /// Starts to send the log to a new peer.
    AddLearner(Peer),
    /// Gives a synced learner a vote.
    Promote(Peer),
    /// Removes a voter or a learner.
    Remove(Peer),
}

impl Members {
    /// Members that all vote.
    pub fn of_voters(voters: impl IntoIterator<Item = Peer>) -> Members {
        Members { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Whether the peer is a voter or a learner.
    pub fn contains(&self, peer: Peer) -> bool {
        self.voters.contains(&peer) || self.learners.contains(&peer)
    }

    /// All voters and learners.
    pub fn all(&self) -> impl Iterator<Item = Peer> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// The voter that carries the node's number, under whichever disk.
    pub fn voter_of(&self, node: NodeId) -> Option<Peer> {
        self.voters.iter().copied().find(|it| it.node == node)
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The largest value that a majority of voters has reached; `None` without voters.
    pub(crate) fn reached_by_majority<T: Ord>(&self, value: impl Fn(Peer) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|it| value(*it)).collect();
        values.sort_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.majority() - 1)
    }

    /// The members after a change that was checked before.
    pub(crate) fn after(&self, change: MemberChange) -> Members {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(peer) => {
                next.learners.insert(peer);
            }
            MemberChange::Promote(peer) => {
                next.learners.remove(&peer);
                next.voters.insert(peer);
            }
            MemberChange::Remove(peer) => {
                next.learners.remove(&peer);
                next.voters.remove(&peer);
            }
        }
        next
    }
}
