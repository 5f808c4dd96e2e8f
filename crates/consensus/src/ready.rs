//! What the caller has to carry out for a member.

use std::sync::Arc;

use derive_more::Display;

use crate::{Entry, HardState, LogIndex, Message, Peer, Role, Snapshot, Term};

/// The work that a member hands to its caller.
///
/// Send `messages` and apply `restore`, then `committed`, in any order with the writes. Save
/// `writes` with one sync and report it by [`crate::Node::persisted`]; messages that depend on
/// the writes come with a later [`Ready`].
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages that may leave now.
    pub messages: Vec<Message>,
    /// Changes for the disk; at most one write is under way at a time.
    pub writes: Option<Writes>,
    /// A snapshot from the leader that replaces the application's state.
    pub restore: Option<Arc<Snapshot>>,
    /// Committed and locally synced entries in order, each handed out once a start.
    pub committed: Vec<Entry>,
    /// The role after a change since the last call.
    pub role: Option<RoleChange>,
}

impl Ready {
    /// Whether nothing is to be done.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.writes.is_none()
            && self.restore.is_none()
            && self.committed.is_empty()
            && self.role.is_none()
    }
}

/// The number of a write, which its report repeats.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// Changes that must be saved together, in the order of the fields, with one sync.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Writes {
    /// The number to report by [`crate::Node::persisted`].
    pub id: WriteId,
    /// The new hard state.
    pub hard_state: Option<HardState>,
    /// A snapshot to keep in place of the one before.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries up to and including this index are to be removed.
    pub compact_to: Option<LogIndex>,
    /// Entries from this index on are to be removed.
    pub truncate_from: Option<LogIndex>,
    /// Entries to add at the end.
    pub append: Vec<Entry>,
}

/// A new role, term or leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The role now.
    pub role: Role,
    /// The term now.
    pub term: Term,
    /// The leader as far as it is known.
    pub leader: Option<Peer>,
}

/// Where a command stands in the log.
///
/// It is committed when the entry handed out at `index` has this `term`. An entry of another term
/// there means that the command was lost and never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proposal {
    /// The index of the command's entry.
    pub index: LogIndex,
    /// The term of the command's entry.
    pub term: Term,
}
