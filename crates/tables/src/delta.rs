//! Differences between two states of the tables, which travel in place of whole tables.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Revision, Row, Rows};

/// Which of the two tables a row belongs to.
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

/// What leads from one revision of the tables to a later one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Delta {
    /// The revision that the changes start from.
    pub base: Revision,
    /// The revision that they lead to.
    pub target: Revision,
    /// The digest of the rows at the target.
    pub digest: u64,
    /// The rows that differ.
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
    /// The row, or nothing if it was removed.
    pub row: Option<Row>,
}

/// Why a delta was not applied; the holder then asks for a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum DeltaError {
    /// The holder is at another revision.
    #[display(
        "the delta starts from revision {base} but revision {held} is held: ask for a snapshot"
    )]
    WrongBase {
        /// The revision that the delta starts from.
        base: Revision,
        /// The revision held.
        held: Revision,
    },
    /// The result differs from the sender's.
    #[display("the tables differ from the sender's after the delta: ask for a snapshot")]
    WrongDigest,
}

impl Delta {
    /// The changes from `old` to `new`.
    pub fn between(base: Revision, old: &Rows, target: Revision, new: &Rows) -> Delta {
        let changes = [TableKind::Routes, TableKind::Pools]
            .into_iter()
            .flat_map(|table| changed_rows(table, old, new))
            .collect();
        Delta { base, target, digest: new.digest(), changes }
    }

    /// One delta with the effect of `deltas` one after the other; nothing if there are none.
    pub fn merged<'a>(deltas: impl IntoIterator<Item = &'a Delta>) -> Option<Delta> {
        let mut deltas = deltas.into_iter();
        let mut merged = deltas.next()?.clone();
        for delta in deltas {
            merged.changes.retain(|it| !delta.changes.iter().any(|new| new.is_about(it)));
            merged.changes.extend(delta.changes.iter().cloned());
            merged.target = delta.target;
            merged.digest = delta.digest;
        }
        Some(merged)
    }

    /// The rows after the changes.
    ///
    /// # Errors
    ///
    /// If `held` is not the revision that the delta starts from, or the result is not the
    /// sender's.
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
    fn is_about(&self, other: &RowChange) -> bool {
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
