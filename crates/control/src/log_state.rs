//! Connects the crate `control-state` to the replicated log.

use std::rc::Rc;

use consensus::LogIndex;
use control_state::{Document, State, TablesRules};
use duties::{UsageReport, WindowId};
use tables::{Revision, TablesText};

use crate::{CommandCheck, StateMachine};

/// The replicated state: tables, order claims and the operator's document.
#[derive(Debug, Default)]
pub struct LogState {
    state: State,
}

impl StateMachine for LogState {
    fn apply(&mut self, _index: LogIndex, command: &[u8]) -> Vec<u8> {
        self.state.apply_bytes(command)
    }

    fn admit(&self, command: &[u8]) -> Result<(), String> {
        let command = control_state::decode_command(command).map_err(|err| err.to_string())?;
        self.state.admit(&command).map_err(|err| err.to_string())
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot()
    }

    fn restore(&mut self, data: &[u8]) -> anyhow::Result<()> {
        self.state = State::restore(data)?;
        Ok(())
    }

    fn revision(&self) -> Revision {
        self.state.revision()
    }

    fn tables(&self) -> (Revision, TablesText) {
        (self.state.revision(), self.state.tables().clone())
    }

    fn document(&self) -> Rc<Document> {
        Rc::clone(self.state.document())
    }

    fn fencing_holder(&self) -> String {
        self.state.fencing_holder().to_owned()
    }

    fn fencing_token(&self) -> u64 {
        self.state.fencing().0
    }

    fn is_usage_settled(&self, window: WindowId) -> bool {
        self.state.is_usage_settled(window)
    }

    fn open_usage(&self) -> Vec<UsageReport> {
        self.state.open_usage()
    }

    fn settled_usage(&self) -> Vec<(UsageReport, bool)> {
        self.state.settled_usage().rev().collect()
    }

    fn has_timed_entries(&self) -> bool {
        self.state.order_key_count() > 0
    }
}

/// The rules that a command must meet before it enters the log.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogRules;

impl CommandCheck for LogRules {
    fn check(&self, command: &[u8]) -> Result<(), String> {
        control_state::check(command, &TablesRules).map_err(|err| err.to_string())
    }
}
