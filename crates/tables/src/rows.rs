//! The tables as rows in canonical order, so that equal tables have equal digests.

use std::collections::BTreeMap;

use ini_settings::{Document, Faults};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{TableKind, TablesText};

/// The keys and values of one row.
pub type Row = BTreeMap<String, String>;

/// Both tables, each as a map from names to rows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Rows {
    /// The rows of the table of routes, by class.
    pub routes: BTreeMap<String, Row>,
    /// The rows of the table of pools, by name.
    pub pools: BTreeMap<String, Row>,
}

impl Rows {
    /// Parses the rows without validating their values.
    ///
    /// # Errors
    ///
    /// Returns syntax faults and duplicate names.
    pub fn parse(text: &TablesText) -> Result<Rows, Faults> {
        Ok(Rows {
            routes: rows_of(&Document::parse("routes", &text.routes)?),
            pools: rows_of(&Document::parse("pools", &text.pools)?),
        })
    }

    /// Formats the rows as INI text in canonical order.
    pub fn to_text(&self) -> TablesText {
        TablesText { routes: table_text(&self.routes), pools: table_text(&self.pools) }
    }

    /// A hash by which two processes check that they hold the same tables.
    pub fn digest(&self) -> u64 {
        let text = self.to_text();
        xxh3_64(format!("{}\0{}", text.routes, text.pools).as_bytes())
    }

    /// The rows of one table.
    pub fn table(&self, kind: TableKind) -> &BTreeMap<String, Row> {
        match kind {
            TableKind::Routes => &self.routes,
            TableKind::Pools => &self.pools,
        }
    }

    pub(crate) fn table_mut(&mut self, kind: TableKind) -> &mut BTreeMap<String, Row> {
        match kind {
            TableKind::Routes => &mut self.routes,
            TableKind::Pools => &mut self.pools,
        }
    }
}

fn rows_of(document: &Document) -> BTreeMap<String, Row> {
    let row = |section: &ini_settings::Section| {
        section.entries.iter().map(|it| (it.key.clone(), it.value.clone())).collect()
    };
    document.sections().iter().map(|it| (it.name.clone(), row(it))).collect()
}

fn table_text(table: &BTreeMap<String, Row>) -> String {
    let mut text = String::new();
    for (name, row) in table {
        text.push_str(&format!("[{name}]\n"));
        for (key, value) in row {
            text.push_str(&format!("{key} = {value}\n"));
        }
        text.push('\n');
    }
    text
}
