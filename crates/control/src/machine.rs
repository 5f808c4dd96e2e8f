//! The border between the replicated log and what it decides.

use std::rc::Rc;

use consensus::LogIndex;
use control_state::Document;
use tables::{Revision, TablesText};

/// A deterministic state machine that is fed by the log.
pub trait ControlMachine {
    /// Applies one committed command and gives the encoded response.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8>;

    /// The whole state, encoded.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by a snapshot's; empty data stand for the first state.
    ///
    /// # Errors
    ///
    /// If the data are not a snapshot of this version.
    fn restore(&mut self, data: &[u8]) -> anyhow::Result<()>;

    /// The revision of the tables in force.
    fn revision(&self) -> Revision;

    /// The tables in force with their revision.
    fn tables(&self) -> (Revision, TablesText);

    /// The operator's document in force.
    fn document(&self) -> Rc<Document>;

    /// Whether something in the state waits for time to pass.
    fn has_timed_entries(&self) -> bool;
}
