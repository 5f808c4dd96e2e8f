//! The calls of a holder and their results.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::WindowId;

/// What a fencing token is checked against: the platform keeps the highest token of each subject.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// The usage reports of all windows.
    Usage,
    /// The servers of a pool in a failure domain.
    Servers {
        /// The pool.
        pool: String,
        /// The failure domain.
        failure_domain: String,
    },
}

/// The requests that backend servers began in one window, by workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct UsageReport {
    /// The window.
    pub window: WindowId,
    /// The requests of each workspace that had any.
    pub counts: BTreeMap<String, u64>,
}

/// Whether the platform may take a server back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerKind {
    /// It stays until it is given up.
    #[default]
    Firm,
    /// It costs less, and the platform may reclaim it at short notice.
    Spot,
}

/// How many servers of a kind a pool is to have in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The pool.
    pub pool: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The kind of the servers; the kinds are counted separately.
    pub kind: ServerKind,
    /// The number of servers.
    pub count: u32,
}

/// How a call to the platform ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The platform accepted it.
    Accepted,
    /// Another holder has used a higher token, or no such servers are available.
    Conflict,
    /// The platform did not carry it out because it limits the rate of calls.
    Busy,
    /// No answer told the outcome: the call may have been carried out, or may be later.
    Unanswered,
}
