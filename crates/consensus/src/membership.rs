//! The voters and learners of a cluster, and their majorities.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{NodeId, Peer};

/// The members of a cluster as of one index of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Members {
    /// The peers whose votes and acknowledgements count towards a majority.
    pub voters: BTreeSet<Peer>,
    /// The peers that receive the log but have no vote.
    pub learners: BTreeSet<Peer>,
}

/// One membership change; a majority before it and one after it always overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberChange {
    /// Adds a peer that receives the log but has no vote.
    AddLearner(Peer),
    /// Makes a synced learner a voter.
    Promote(Peer),
    /// Removes a voter or a learner.
    Remove(Peer),
}

impl Members {
    /// Creates a member list of these voters without learners.
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

    /// The voter with this node id, whatever its disk.
    pub fn voter_of(&self, node: NodeId) -> Option<Peer> {
        self.voters.iter().copied().find(|it| it.node == node)
    }

    /// The number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The largest value that a majority of voters have reached; `None` without voters.
    pub(crate) fn reached_by_majority<T: Ord>(&self, value: impl Fn(Peer) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|it| value(*it)).collect();
        values.sort_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.majority() - 1)
    }

    /// The members after a change, which the caller has checked.
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
