//! The tables in force on this control VM, and the deltas that update routers to them.

use std::{cell::RefCell, collections::VecDeque};

use rpc::{ByteCounters, TablesUpdate};
use tables::{Delta, Revision, Rows, TablesText};

/// The number of deltas kept; a router that is further behind gets a snapshot.
const DELTAS_MAX: usize = 512;

/// Provides the tables that are newer than a given revision.
#[derive(Default)]
pub(crate) struct TablesFeed {
    state: RefCell<State>,
    counters: ByteCounters,
}

#[derive(Default)]
struct State {
    revision: Revision,
    rows: Rows,
    text: TablesText,
    /// The digest of the rows to which the oldest kept delta applies.
    oldest_digest: u64,
    deltas: VecDeque<Delta>,
}

impl TablesFeed {
    /// Puts tables that the log has accepted in force; older ones are ignored.
    pub(crate) fn update(&self, revision: Revision, text: &TablesText) {
        let mut state = self.state.borrow_mut();
        if revision <= state.revision {
            return;
        }
        // Tables that do not parse are rejected before they are proposed.
        let Ok(rows) = Rows::parse(text) else { return };
        state.apply(revision, text.clone(), rows);
    }

    /// The revision of the tables in force.
    pub(crate) fn revision(&self) -> Revision {
        self.state.borrow().revision
    }

    /// The update from revision `held`, whose rows have `digest`, to the tables in force.
    pub(crate) fn since(&self, held: Revision, digest: u64) -> TablesUpdate {
        let state = self.state.borrow();
        if state.revision <= held {
            return TablesUpdate::Unchanged;
        }
        let delta = state.delta_from(held, digest);
        let encoded = delta.and_then(|it| postcard::to_stdvec(&it).ok());
        encoded.map_or_else(|| state.snapshot(), TablesUpdate::Delta)
    }

    /// All tables, for a router that starts.
    pub(crate) fn snapshot(&self, is_confirmed: bool) -> TablesUpdate {
        match self.state.borrow().snapshot() {
            TablesUpdate::Snapshot { revision, routes, pools, .. } => {
                TablesUpdate::Snapshot { revision, routes, pools, confirmed: is_confirmed }
            }
            other => other,
        }
    }

    /// The byte counters of the connections that this VM accepts.
    pub(crate) fn counters(&self) -> &ByteCounters {
        &self.counters
    }
}

impl State {
    fn apply(&mut self, revision: Revision, text: TablesText, rows: Rows) {
        let delta = Delta::between(self.revision, &self.rows, revision, &rows);
        self.deltas.push_back(delta);
        if self.deltas.len() > DELTAS_MAX {
            self.oldest_digest = self.deltas.pop_front().map_or(0, |it| it.digest);
        }
        (self.revision, self.text, self.rows) = (revision, text, rows);
    }

    fn delta_from(&self, held: Revision, digest: u64) -> Option<Delta> {
        let first = self.deltas.iter().position(|it| it.base == held)?;
        let expected = match first {
            0 => self.oldest_digest,
            _ => self.deltas[first - 1].digest,
        };
        (digest == expected).then(|| Delta::merged(self.deltas.iter().skip(first)))?
    }

    fn snapshot(&self) -> TablesUpdate {
        TablesUpdate::Snapshot {
            revision: self.revision.0,
            routes: self.text.routes.clone(),
            pools: self.text.pools.clone(),
            confirmed: false,
        }
    }
}
