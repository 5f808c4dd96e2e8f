//! The work that a member returns to its caller.

use std::sync::Arc;

use derive_more::Display;

use crate::{Entry, HardState, LogIndex, Message, Peer, Role, Snapshot, Term};

/// The work that a member returns to its caller.
///
/// Send `messages`; apply `restore`, then `committed`. Save `writes` with one sync and report it
/// with [`crate::Node::persisted`]. The three may be done in any order; messages that depend on the
/// writes come with a later [`Ready`].
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages that may be sent now.
    pub messages: Vec<Message>,
    /// Changes for the disk; at most one write is in flight at a time.
    pub writes: Option<Writes>,
    /// A snapshot that replaces the application's state: one from the leader, or at the start the
    /// one recovered from the disk.
    pub restore: Option<Arc<Snapshot>>,
    /// Committed and locally synced entries in order, each returned once per start of the process.
    pub committed: Vec<Entry>,
    /// The new role, term or leader, if one has changed since the last call.
    pub role: Option<RoleChange>,
}

impl Ready {
    /// Whether there is no work to do.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.writes.is_none()
            && self.restore.is_none()
            && self.committed.is_empty()
            && self.role.is_none()
    }
}

/// The id of a write, which the caller passes to [`crate::Node::persisted`].
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// Changes to save atomically, in the order of the fields, with one sync.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Writes {
    /// The id to pass to [`crate::Node::persisted`] after the sync.
    pub id: WriteId,
    /// The new hard state.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the previous one.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Remove the entries up to and including this index.
    pub compact_to: Option<LogIndex>,
    /// Remove the entries from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub append: Vec<Entry>,
}

/// A new role, term or leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The current role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader, if it is known.
    pub leader: Option<Peer>,
}

/// The position of a proposed command in the log.
///
/// The command is committed when [`Ready::committed`] holds an entry with this `index` and `term`.
/// An entry with the same index and another term means that the command is lost and never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proposal {
    /// The index of the command's entry.
    pub index: LogIndex,
    /// The term of the command's entry.
    pub term: Term,
}
