//! Differences between two revisions of the tables, sent in place of complete tables.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Revision, Row, Rows};

/// One of the two tables.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum TableKind {
    /// The table of routes.
    #[display("routes")]
    Routes,
    /// The table of pools.
    #[display("pools")]
    Pools,
}

/// The changes from one revision of the tables to a later one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Delta {
    /// The revision to which the changes apply.
    pub base: Revision,
    /// The revision after the changes.
    pub target: Revision,
    /// The digest of the rows at the target revision.
    pub digest: u64,
    /// The rows that were added, changed or removed.
    pub changes: Vec<RowChange>,
}

/// The new state of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RowChange {
    /// The table.
    pub table: TableKind,
    /// The name of the row.
    pub name: String,
    /// The row, or `None` if it was removed.
    pub row: Option<Row>,
}

/// Why a delta could not be applied; the recipient then requests a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum DeltaError {
    /// The recipient holds another revision than the base of the delta.
    #[display("the delta applies to revision {base}, not to revision {held}: request a snapshot")]
    WrongBase {
        /// The base revision of the delta.
        base: Revision,
        /// The revision that the recipient holds.
        held: Revision,
    },
    /// The resulting tables differ from those of the sender.
    #[display("the tables differ from the sender's after applying the delta: request a snapshot")]
    WrongDigest,
}

impl Delta {
    /// Computes the changes from `old` to `new`.
    pub fn between(base: Revision, old: &Rows, target: Revision, new: &Rows) -> Delta {
        let changes = [TableKind::Routes, TableKind::Pools]
            .into_iter()
            .flat_map(|table| changed_rows(table, old, new))
            .collect();
        Delta { base, target, digest: new.digest(), changes }
    }

    /// Merges consecutive deltas into one with the same effect; `None` if there are none.
    pub fn merged<'a>(deltas: impl IntoIterator<Item = &'a Delta>) -> Option<Delta> {
        let mut deltas = deltas.into_iter();
        let mut merged = deltas.next()?.clone();
        for delta in deltas {
            merged.changes.retain(|it| !delta.changes.iter().any(|new| new.is_same_row(it)));
            merged.changes.extend(delta.changes.iter().cloned());
            merged.target = delta.target;
            merged.digest = delta.digest;
        }
        Some(merged)
    }

    /// Applies the changes to `rows` at the revision `held`.
    ///
    /// # Errors
    ///
    /// Fails if `held` is not the base revision of the delta, or if the digest of the result differs
    /// from that of the sender.
    pub fn apply(&self, held: Revision, rows: &Rows) -> Result<Rows, DeltaError> {
        if held != self.base {
            return Err(DeltaError::WrongBase { base: self.base, held });
        }
        let mut result = rows.clone();
        for change in &self.changes {
            let table = result.table_mut(change.table);
            match &change.row {
                Some(row) => table.insert(change.name.clone(), row.clone()),
                None => table.remove(&change.name),
            };
        }
        if result.digest() != self.digest {
            return Err(DeltaError::WrongDigest);
        }
        Ok(result)
    }
}

impl RowChange {
    fn is_same_row(&self, other: &RowChange) -> bool {
        self.table == other.table && self.name == other.name
    }
}

fn changed_rows(table: TableKind, old: &Rows, new: &Rows) -> Vec<RowChange> {
    let (old, new) = (old.table(table), new.table(table));
    let written = new
        .iter()
        .filter(|(name, row)| old.get(*name) != Some(row))
        .map(|(name, row)| RowChange { table, name: name.clone(), row: Some(row.clone()) });
    let removed = old.keys().filter(|name| !new.contains_key(*name)).map(|name| RowChange {
        table,
        name: name.clone(),
        row: None,
    });
    written.chain(removed).collect()
}
