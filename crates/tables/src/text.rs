//! The tables as operators write them.

use serde::{Deserialize, Serialize};

/// Both tables as INI text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TablesText {
    /// The table of routes.
    pub routes: String,
    /// The table of pools.
    pub pools: String,
}
