//! The errors of requests to the replicated log; each text names the remedy.

use derive_more::{Display, Error};

use crate::{NodeId, Peer};

/// A command was refused: it is not in the log and never runs.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// Another node is the leader, or there is none.
    #[display("this node does not lead: send the command to {}", leader_text(leader))]
    NotLeader {
        /// The leader, if it is known.
        #[error(not(source))]
        leader: Option<Peer>,
    },
    /// The leader's lease has expired, since no majority has answered it in time.
    #[display("no majority answers within the lease: restore the links or retry at another node")]
    NoLease,
    /// The leader is transferring its leadership.
    #[display("leadership is moving to another node: retry there")]
    TransferInProgress,
    /// The entries that wait to be applied or saved use up the limit of the log.
    #[display("the log is full of entries that are not applied yet: retry soon")]
    LogFull,
}

/// A read cannot be served from this node's state.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// Another node is the leader, or there is none.
    #[display("this node does not lead: read from {}", leader_text(leader))]
    NotLeader {
        /// The leader, if it is known.
        #[error(not(source))]
        leader: Option<Peer>,
    },
    /// The leader's lease has expired or not started yet.
    #[display("the lease is not held: retry after the next heartbeat")]
    NoLease,
    /// The leader has not committed an entry of its own term, so it does not know which entries of
    /// earlier terms are committed.
    #[display("the leader has committed nothing in its own term yet: retry soon")]
    NotCaughtUp,
}

/// A membership change was refused as unsafe or impossible.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum ChangeError {
    /// The node cannot propose an entry now.
    #[display("{_0}")]
    Propose(ProposeError),
    /// The leader has not committed an entry of its own term.
    #[display("the leader is not caught up: retry soon")]
    NotCaughtUp,
    /// An earlier change is not committed yet.
    #[display("another membership change is under way: retry when it is committed")]
    ChangeInProgress,
    /// The peer is a member already.
    #[display("{_0} is a member already: nothing to do")]
    AlreadyMember(#[error(not(source))] Peer),
    /// The peer is not among the learners.
    #[display("{_0} is not a learner: add it as a learner first")]
    NotLearner(#[error(not(source))] Peer),
    /// The peer is not a member.
    #[display("{_0} is not a member: read the member list again")]
    NotMember(#[error(not(source))] Peer),
    /// The learner lacks committed entries or has not answered within the election timeout.
    #[display("{_0} is not synced: wait until its lag is 0")]
    NotSynced(#[error(not(source))] Peer),
    /// The node's identity under a previous disk is still a voter.
    #[display("node {_0} votes under an older disk: remove that member first")]
    PreviousDiskIsVoter(#[error(not(source))] NodeId),
    /// The leader cannot remove itself.
    #[display("{_0} leads: transfer the leadership first")]
    RemovesLeader(#[error(not(source))] Peer),
    /// The remaining voters would include no synced majority.
    #[display("too few synced voters would be left: repair another member first")]
    TooFewSyncedVoters,
}

/// The leadership cannot be transferred to the target.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum TransferError {
    /// This node is not the leader.
    #[display("this node does not lead: ask the leader")]
    NotLeader,
    /// The target is this node or not a voter.
    #[display("{_0} is no other voter: choose another target")]
    NotVoter(#[error(not(source))] Peer),
    /// The target has not answered within the election timeout.
    #[display("{_0} does not answer: choose another target")]
    Unresponsive(#[error(not(source))] Peer),
    /// Another transfer is in progress.
    #[display("a transfer is under way: wait for its end")]
    InProgress,
}

fn leader_text(leader: &Option<Peer>) -> String {
    match leader {
        Some(peer) => format!("node {}", peer.node),
        None => "a majority, when one has elected a leader".to_owned(),
    }
}
