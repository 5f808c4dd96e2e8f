//! What members send to each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Entry, LogIndex, Peer, Snapshot, Term};

/// A message between two members; it may be lost, repeated or overtaken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Message {
    /// The sender with its disk.
    pub from: Peer,
    /// The receiver with its disk; a node with another disk ignores the message.
    pub to: Peer,
    /// The sender's term, or the term that a pre-vote asks about.
    pub term: Term,
    /// What is said.
    pub body: Body,
}

/// The kinds of messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Asks whether a candidate would win, without a change of term.
    PreVote {
        /// The last entry of the candidate's log.
        last_index: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers a pre-vote; a refusal carries the voter's own term.
    PreVoteReply {
        /// Whether the voter would vote for the candidate.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The last entry of the candidate's log.
        last_index: LogIndex,
        /// The term of that entry.
        last_term: Term,
        /// Why the candidate stands.
        campaign: Campaign,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the voter voted for the candidate.
        granted: bool,
    },
    /// Entries to append; without entries, a heartbeat.
    Append {
        /// The entry before the first one sent.
        prev_index: LogIndex,
        /// The term of that entry.
        prev_term: Term,
        /// The entries, without gaps.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The heartbeat round that the answer counts for.
        round: u64,
    },
    /// The receiver's log agrees with the leader's up to an index, synced.
    Appended {
        /// The last index that agrees.
        matched: LogIndex,
        /// The round of the message answered.
        round: u64,
    },
    /// The receiver's log lacks the entry before the first one sent.
    AppendRefused {
        /// The last index that may agree.
        hint: LogIndex,
        /// The round of the message answered.
        round: u64,
    },
    /// A snapshot for a member whose missing entries are gone from the leader's log.
    Install {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The heartbeat round that the answer counts for.
        round: u64,
    },
    /// The leader has given up its lease and asks the receiver to take over at once.
    TakeOver,
}

/// Why a candidate stands for election.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Campaign {
    /// The candidate has not heard from a leader within its election timeout.
    #[serde(rename = "leader-silent")]
    ElectionTimeout,
    /// The leader handed over, so its lease binds no voter any more.
    Transfer,
}
