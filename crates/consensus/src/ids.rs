//! Newtypes for the numbers that the algorithm compares, so that they cannot be mixed up.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// The id of a control node, configured in its settings; it stays the same over restarts and lost
/// disks.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct NodeId(pub u64);

/// The id that formatting writes to a data folder. It is random, so that a disk that replaces a lost
/// one has another id, except for the common id of the first members of a cluster.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Serialize,
    Deserialize,
)]
#[display("{_0:x}")]
#[serde(transparent)]
pub struct DiskId(pub u64);

/// The identity under which a member votes: a node together with the disk that stores its votes.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{node}.{disk}")]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// Its disk.
    pub disk: DiskId,
}

/// A period of the Raft algorithm with at most one leader; terms are numbered consecutively.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

/// The position of an entry in the log; the first entry has index 1.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The index after this one.
    pub fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }

    /// The index before this one, or zero before the first.
    pub fn prev(self) -> LogIndex {
        LogIndex(self.0.saturating_sub(1))
    }
}
