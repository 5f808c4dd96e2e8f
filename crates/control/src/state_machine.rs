//! The interface between the replicated log and the state machine that applies it.

use std::rc::Rc;

use consensus::LogIndex;
use control_state::Document;
use duties::{UsageReport, WindowId};
use tables::{Revision, TablesText};

/// A deterministic state machine that applies the entries of the log in order.
pub trait StateMachine {
    /// Applies one committed command and returns the encoded response.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8>;

    /// Whether the state has room for what a command adds to it; asked before the command enters the
    /// log.
    ///
    /// # Errors
    ///
    /// The limit that is reached.
    fn admit(&self, command: &[u8]) -> Result<(), String>;

    /// The whole state, encoded.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by that of a snapshot; empty data stand for the initial state.
    ///
    /// # Errors
    ///
    /// If the data cannot be decoded as a snapshot of this version.
    fn restore(&mut self, data: &[u8]) -> anyhow::Result<()>;

    /// The revision of the tables in force.
    fn revision(&self) -> Revision;

    /// The tables in force with their revision.
    fn tables(&self) -> (Revision, TablesText);

    /// The operator's document in force.
    fn document(&self) -> Rc<Document>;

    /// The VM that acquired the newest fencing token; empty before the first one.
    fn fencing_holder(&self) -> String;

    /// The newest fencing token; 0 before the first one.
    fn fencing_token(&self) -> u64;

    /// Whether the usage of a window can no longer be settled.
    fn is_usage_settled(&self, window: WindowId) -> bool;

    /// The settled usage that has not been reported, from the oldest window to the newest.
    fn open_usage(&self) -> Vec<UsageReport>;

    /// The settled usage that is kept, from the newest window to the oldest, and whether each window needs no
    /// further report.
    fn settled_usage(&self) -> Vec<(UsageReport, bool)>;

    /// Whether the state holds entries that expire, so that the replicated clock must advance.
    fn has_timed_entries(&self) -> bool;
}
