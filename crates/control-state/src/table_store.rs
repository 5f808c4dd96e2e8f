//! The tables in force, and the results of recent changes for deduplicating retries.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tables::{Revision, TablesText};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ChangeId, ProposeTables, TablesAnswer, codec};

/// The maximum number of recent changes whose results are remembered.
///
/// A retry of an older change is decided again. If that change was accepted, its base revision is
/// outdated, so the retry conflicts and the change is never applied twice.
pub const CHANGE_IDS_MAX: usize = 10_000;

/// The tables with the results of recent changes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct TableStore {
    revision: Revision,
    text: TablesText,
    answers: BTreeMap<ChangeId, AnsweredChange>,
    /// The remembered changes from oldest to newest, for eviction.
    order: VecDeque<ChangeId>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct AnsweredChange {
    digest: u64,
    answer: TablesAnswer,
}

impl TableStore {
    /// Replaces the tables by compare-and-set; a retry gets the result of the first attempt.
    pub(crate) fn propose(&mut self, proposal: ProposeTables) -> TablesAnswer {
        // The digest excludes the base: an operator that reads the revision again before a retry
        // may get a newer one.
        let digest = xxh3_64(&codec::encode(&proposal.text));
        if let Some(first) = self.answers.get(&proposal.change) {
            return if first.digest == digest { first.answer } else { TablesAnswer::ChangeReused };
        }
        let answer = self.decide(proposal.base, proposal.text);
        self.remember(proposal.change, AnsweredChange { digest, answer });
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

    fn remember(&mut self, change: ChangeId, answered: AnsweredChange) {
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
