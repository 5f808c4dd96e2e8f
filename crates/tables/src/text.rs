//! The tables as text.

use serde::{Deserialize, Serialize};

/// Both tables as INI text, as written by operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TablesText {
    /// The table of routes.
    pub routes: String,
    /// The table of pools.
    pub pools: String,
}
