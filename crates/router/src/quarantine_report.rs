//! The report of a router's crashing requests to the other routers.

use std::collections::BTreeMap;

use policy::QuarantineEntry;
use serde::{Deserialize, Serialize};

/// The entries of each pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct QuarantineReport {
    /// The entries by the name of their pool.
    pub pools: BTreeMap<String, Vec<QuarantineEntry>>,
}
