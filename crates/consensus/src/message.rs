//! The messages that members send to each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Entry, LogIndex, Peer, Snapshot, Term};

/// A message between two members; it may be lost, repeated or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Message {
    /// The sender with its disk.
    pub from: Peer,
    /// The receiver with its disk; a node with another disk ignores the message.
    pub to: Peer,
    /// The sender's term; for a pre-vote and a granted reply to it, the term of the proposed
    /// election.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Asks whether the receiver would vote for the sender, without a change of term.
    PreVote {
        /// The index of the last entry in the sender's log.
        last_index: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers a pre-vote; a refusal carries the voter's current term.
    PreVoteReply {
        /// Whether the voter would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The index of the last entry in the candidate's log.
        last_index: LogIndex,
        /// The term of that entry.
        last_term: Term,
        /// Why the candidate started the election.
        campaign: Campaign,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the voter voted for the candidate.
        granted: bool,
    },
    /// Sends entries to append (`AppendEntries` in Raft); without entries, a heartbeat.
    Append {
        /// The index of the entry before the first one sent.
        prev_index: LogIndex,
        /// The term of that entry.
        prev_term: Term,
        /// The entries, with consecutive indexes.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's heartbeat round, which the answer repeats.
        round: u64,
    },
    /// Confirms an append or a snapshot: the sender's synced log matches the leader's up to an index.
    Appended {
        /// The last index that matches.
        matched: LogIndex,
        /// The round of the message that this answers.
        round: u64,
    },
    /// Refuses an append, since the sender's log lacks the entry before the first one sent or the
    /// leader's term is stale.
    AppendRefused {
        /// The last index that may match.
        hint: LogIndex,
        /// The round of the message that this answers.
        round: u64,
    },
    /// Sends a snapshot to a member that lacks entries which the leader has compacted away
    /// (`InstallSnapshot` in Raft).
    Install {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The leader's heartbeat round, which the answer repeats.
        round: u64,
    },
    /// Asks the receiver to start an election at once (`TimeoutNow` in Raft); the leader has released
    /// its lease.
    TakeOver,
}

/// Why a candidate started an election.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Campaign {
    /// The candidate has not heard from a leader within its election timeout.
    #[serde(rename = "leader-silent")]
    ElectionTimeout,
    /// The leader transferred its leadership and released its lease, so voters need not wait.
    Transfer,
}
