//! The tables in force, and the answers that resent changes get.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tables::{Revision, TablesText};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ChangeId, ProposeTables, TablesAnswer, codec};

/// How many of the last changes are remembered with their answers.
///
/// An older change that is resent is decided anew. If it had been accepted, its base revision has
/// passed for good, so it conflicts and never takes hold twice.
pub const CHANGE_IDS_MAX: usize = 10_000;

/// The tables and the history of changes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct TableStore {
    revision: Revision,
    text: TablesText,
    answers: BTreeMap<ChangeId, Answered>,
    order: VecDeque<ChangeId>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Answered {
    digest: u64,
    answer: TablesAnswer,
}

impl TableStore {
    pub(crate) fn propose(&mut self, proposal: ProposeTables) -> TablesAnswer {
        // The base is left out: an operator who asks for it again before a resend finds another.
        let digest = xxh3_64(&codec::encode(&proposal.text));
        if let Some(first) = self.answers.get(&proposal.change) {
            return if first.digest == digest { first.answer } else { TablesAnswer::ChangeReused };
        }
        let answer = self.decide(proposal.base, proposal.text);
        self.remember(proposal.change, Answered { digest, answer });
        answer
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn text(&self) -> &TablesText {
        &self.text
    }

    fn decide(&mut self, base: Revision, text: TablesText) -> TablesAnswer {
        if base != self.revision {
            return TablesAnswer::Conflict { current: self.revision };
        }
        self.revision = Revision(self.revision.0 + 1);
        self.text = text;
        TablesAnswer::Accepted { revision: self.revision }
    }

    fn remember(&mut self, change: ChangeId, answered: Answered) {
        self.order.push_back(change.clone());
        self.answers.insert(change, answered);
        if self.order.len() <= CHANGE_IDS_MAX {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.answers.remove(&oldest);
        }
    }
}
