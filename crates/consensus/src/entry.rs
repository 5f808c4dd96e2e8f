//! What is kept on disk: entries, snapshots and the hard state of a member.

use serde::{Deserialize, Serialize};

use crate::{LogIndex, Members, Peer, Term};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// The position in the log.
    pub index: LogIndex,
    /// The term of the leader that made the entry.
    pub term: Term,
    /// What the entry says.
    pub payload: Payload,
}

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Payload {
    /// The first entry of a term, which lets a new leader commit what earlier terms left.
    Empty,
    /// A command of the application.
    Command(Vec<u8>),
    /// The members from this entry on.
    Members(Members),
}

/// The state of the application after all entries up to an index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Snapshot {
    /// The last entry that the snapshot contains.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The members at that entry.
    pub members: Members,
    /// The application's state, empty before the first command.
    pub data: Vec<u8>,
}

impl Snapshot {
    /// The start of a new cluster, to be saved on every first member before it starts.
    ///
    /// Use it once in the life of a cluster. A node that joins later starts with an empty log.
    pub fn bootstrap(members: Members) -> Snapshot {
        Snapshot { index: LogIndex(1), term: Term(1), members, data: Vec::new() }
    }
}

/// What a member must remember over restarts so that it votes once a term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HardState {
    /// The newest term that the member has seen.
    pub term: Term,
    /// The candidate that got the member's vote in this term.
    pub voted_for: Option<Peer>,
}
