//! The persistent state of a member: entries, snapshots and the hard state.

use serde::{Deserialize, Serialize};

use crate::{LogIndex, Members, Peer, Term};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// The position in the log.
    pub index: LogIndex,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

/// The memory of an entry beside its command, rounded up.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// The size of the entry, for limits on the log.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let command_bytes = match &self.payload {
            Payload::Command(command) => command.len(),
            Payload::Empty | Payload::Members(_) => 0,
        };
        ENTRY_OVERHEAD_BYTES + command_bytes
    }
}

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Payload {
    /// The first entry of a term, with which a new leader commits the entries of earlier terms.
    Empty,
    /// A command of the application.
    Command(Vec<u8>),
    /// The members that take effect with this entry.
    Members(Members),
}

/// The state of the application after all entries up to an index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The members at that entry.
    pub members: Members,
    /// The application's state; empty before the first command.
    pub data: Vec<u8>,
}

impl Snapshot {
    /// The initial snapshot of a new cluster, to be saved by each of its first members before it
    /// starts.
    ///
    /// It is used once per cluster. A node that joins later starts with an empty log.
    pub fn bootstrap(members: Members) -> Snapshot {
        Snapshot { index: LogIndex(1), term: Term(1), members, data: Vec::new() }
    }
}

/// The state that must survive a restart so that a member votes at most once per term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HardState {
    /// The newest term that the member has seen.
    pub term: Term,
    /// The candidate that the member voted for in this term.
    pub voted_for: Option<Peer>,
}
